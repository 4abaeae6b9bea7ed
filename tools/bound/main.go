// Command bound prints the most that any policy could earn from a deployment at a steady load, and what binds.
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
	Burst map[string]float64 `long:"burst" value-name:"KIND:FACTOR" description:"Multiply the load of a kind of call; may be given more than once"`
	Args  struct {
		File string `positional-arg-name:"FILE" description:"Deployment, in JSON with comments"`
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
	d, err := load(opts.Args.File)
	if err != nil {
		return err
	}
	if err := burst(d, opts.Burst); err != nil {
		return err
	}
	b, err := radishbound.Most(d)
	if err != nil {
		return trace.Wrap(err)
	}
	return show(w, d, b)
}

func load(file string) (*radishbound.Deployment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var d radishbound.Deployment
	if err := decoder.Decode(&d); err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	return &d, nil
}

// burst multiplies the load of the kinds.
func burst(d *radishbound.Deployment, factors map[string]float64) error {
	for name, factor := range factors {
		found := false
		for i := range d.Kinds {
			if d.Kinds[i].Name == name {
				d.Kinds[i].PerSecond *= factor
				found = true
			}
		}
		if !found {
			return trace.BadParameter("there is no kind of call %q", name)
		}
	}
	return nil
}

// show prints the kinds and the limits as two tables.
func show(w io.Writer, d *radishbound.Deployment, b *radishbound.Bound) error {
	var text strings.Builder
	text.WriteString("kind\tasked a second\tserved at most\n")
	for k, kind := range d.Kinds {
		fmt.Fprintf(&text, "%s\t%.1f\t%.3f\n", kind.Name, kind.PerSecond, b.Served[k])
	}
	fmt.Fprintf(&text, "all, by worth\t\t%.3f\n\nlimit\tasked\tused\n", b.Share)
	for _, limit := range b.Limits {
		fmt.Fprintf(&text, "%s\t%.3f\t%.3f\n", limit.Name, limit.Asked, limit.Used)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}
