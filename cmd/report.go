package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/internal/radishburn"
	"radishramp.example/radishramp/internal/radishpipeline"
	"radishramp.example/radishramp/internal/radishserve"
)

func init() {
	subcommands.Register("report", subcommand{
		short: "Report on service levels", long: "Report on service levels.", command: &struct{}{},
		children: []childCommand{{"burn", "Show the error budget burn rate of each pipeline and team and the cost of each service", &reportBurnCommand{}}},
	})
}

// reportBurnCommand merges the request counts of the entry VMs and prints the burn rates.
type reportBurnCommand struct {
	operatorOptions
	JSON bool   `long:"json" description:"Print JSON"`
	SVG  string `long:"svg" description:"Write a plot of the burn rates to this file" value-name:"FILE"`
}

// burnReport is the merged report; with --json it is printed in this form.
type burnReport struct {
	VMs          int                            `json:"vms"`
	Unresponsive []string                       `json:"no_answer"`
	LatestStart  time.Time                      `json:"youngest_vm_counts_since"`
	Rates        []radishburn.Rate              `json:"rates"`
	Costs        map[string]radishpipeline.Cost `json:"cost_by_service"`
}

// Execute implements flags.Commander.
func (c *reportBurnCommand) Execute([]string) error {
	report := c.collect()
	if report.VMs == 0 {
		return trace.Errorf("none of %d entry VMs responded", len(c.Operator))
	}
	if c.SVG != "" {
		if err := writePlot(c.SVG, report.Rates); err != nil {
			return err
		}
	}
	if c.JSON {
		return trace.Wrap(json.NewEncoder(os.Stdout).Encode(report))
	}
	report.print()
	return nil
}

// collect queries the entry VMs and merges their counts. VMs that do not respond are listed in the report.
func (c *reportBurnCommand) collect() *burnReport {
	report := &burnReport{Costs: make(map[string]radishpipeline.Cost)}
	objectives := make(map[string]float64)
	var exports []radishburn.Export
	for _, address := range c.Operator {
		var burn radishserve.BurnReport
		if err := callOperator(http.MethodGet, address, "/v1/burn", nil, &burn); err != nil {
			report.Unresponsive = append(report.Unresponsive, address)
			continue
		}
		report.VMs++
		exports = append(exports, burn.Export)
		if burn.Export.Since.After(report.LatestStart) {
			report.LatestStart = burn.Export.Since
		}
		for name, objective := range burn.Objectives {
			objectives[name] = objective
		}
		for service, cost := range burn.Costs {
			total := report.Costs[service]
			total.Calls += cost.Calls
			total.Failed += cost.Failed
			total.Time += cost.Time
			report.Costs[service] = total
		}
	}
	report.Rates = radishburn.Rates(exports, objectives)
	return report
}

func writePlot(file string, rates []radishburn.Rate) error {
	out, err := os.Create(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	radishburn.Plot(out, rates)
	return trace.ConvertSystemError(out.Close())
}

func (r *burnReport) print() {
	fmt.Printf("%d entry VMs; the most recently started one has counted since %s; the counts of replaced VMs are lost\n",
		r.VMs, r.LatestStart.Format(time.RFC3339))
	for _, address := range r.Unresponsive {
		fmt.Printf("no response from %s\n", address)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "PIPELINE\tTEAM\tWINDOW\tWHOLE\tMISSED\tATTAINMENT\tOBJECTIVE\tBURN\t")
	for _, rate := range r.Rates {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.4f\t%.4f\t%.2f\t%s\n", rate.Pipeline, rate.Team, rate.Window, rate.Met, rate.Missed,
			rate.Attainment, rate.Objective, rate.BurnRate, alert(rate.BurnRate))
	}
	_, _ = fmt.Fprintln(w, "\nSERVICE\tSTAGES\tFAILED\tSECONDS\tMS A STAGE")
	var services []string
	for service := range r.Costs {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		cost := r.Costs[service]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\n", service, cost.Calls, cost.Failed, cost.Time.Seconds(),
			cost.Time.Seconds()*1e3/float64(max(1, cost.Calls)))
	}
	_ = w.Flush()
}

// alert returns the alert that a burn rate triggers, or "" if it triggers none.
func alert(burnRate float64) string {
	switch {
	case burnRate >= radishburn.FastBurnThreshold:
		return "FAST"
	case burnRate >= radishburn.SlowBurnThreshold:
		return "SLOW"
	default:
		return ""
	}
}
