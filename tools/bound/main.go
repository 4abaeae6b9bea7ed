// Command bound prints an upper bound on the value that any scheduling policy could achieve on a deployment under constant
// load, and the use of each limited resource.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"github.com/tailscale/hujson"

	"radishramp.example/radishramp/pkg/radishbound"
)

type options struct {
	Burst map[string]float64 `long:"burst" value-name:"KIND:FACTOR" description:"Multiply the load of a kind of call by a factor; may be given more than once"`
	Args  struct {
		File string `positional-arg-name:"FILE" description:"Description of the deployment, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(&opts, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bound:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(opts *options, w io.Writer) error {
	d, err := readDeployment(opts.Args.File)
	if err != nil {
		return err
	}
	if err := applyBursts(d, opts.Burst); err != nil {
		return err
	}
	b, err := radishbound.UpperBound(d)
	if err != nil {
		return trace.Wrap(err)
	}
	return printBound(w, d, b)
}

func readDeployment(file string) (*radishbound.Deployment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var d radishbound.Deployment
	if err := decoder.Decode(&d); err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	return &d, nil
}

// applyBursts multiplies the calls per second of each kind by its factor.
func applyBursts(d *radishbound.Deployment, factors map[string]float64) error {
	for name, factor := range factors {
		found := false
		for i := range d.Kinds {
			if d.Kinds[i].Name == name {
				d.Kinds[i].CallsPerSecond *= factor
				found = true
			}
		}
		if !found {
			return trace.BadParameter("unknown kind of call %q", name)
		}
	}
	return nil
}

// printBound prints one table of the kinds of calls and one of the resources.
func printBound(w io.Writer, d *radishbound.Deployment, b *radishbound.Bound) error {
	var text strings.Builder
	text.WriteString("kind\tcalls per second\tmax share served\n")
	for k, kind := range d.Kinds {
		fmt.Fprintf(&text, "%s\t%.1f\t%.3f\n", kind.Name, kind.CallsPerSecond, b.ServedShares[k])
	}
	fmt.Fprintf(&text, "all, by worth\t\t%.3f\n\nresource\tdemand\tused\n", b.WorthShare)
	for _, resource := range b.Resources {
		fmt.Fprintf(&text, "%s\t%.3f\t%.3f\n", resource.Name, resource.Demand, resource.Used)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}
