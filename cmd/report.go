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
		children: []child{{"burn", "Tell how fast each pipeline and team burns its error budget, and what each service costs", &reportBurnCommand{}}},
	})
}

// reportBurnCommand merges what the entry VMs counted.
type reportBurnCommand struct {
	operatorOption
	JSON bool   `long:"json" description:"Print JSON"`
	SVG  string `long:"svg" description:"Write a plot to this file" value-name:"FILE"`
}

// burnReport is the report as JSON.
type burnReport struct {
	VMs      int                            `json:"vms"`
	NoAnswer []string                       `json:"no_answer"`
	Youngest time.Time                      `json:"youngest_vm_counts_since"`
	Rates    []radishburn.Rate              `json:"rates"`
	Costs    map[string]radishpipeline.Cost `json:"cost_by_service"`
}

// Execute implements flags.Commander.
func (c *reportBurnCommand) Execute([]string) error {
	report := c.collect()
	if report.VMs == 0 {
		return trace.Errorf("none of %d entry VMs gave an answer", len(c.Operator))
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

func (c *reportBurnCommand) collect() *burnReport {
	report := &burnReport{Costs: make(map[string]radishpipeline.Cost)}
	objectives := make(map[string]float64)
	var exports []radishburn.Export
	for _, address := range c.Operator {
		var burn radishserve.BurnReport
		if err := callOperator(http.MethodGet, address, "/v1/burn", nil, &burn); err != nil {
			report.NoAnswer = append(report.NoAnswer, address)
			continue
		}
		report.VMs++
		exports = append(exports, burn.Export)
		if burn.Export.Since.After(report.Youngest) {
			report.Youngest = burn.Export.Since
		}
		for name, objective := range burn.Objectives {
			objectives[name] = objective
		}
		for service, cost := range burn.Costs {
			sum := report.Costs[service]
			sum.Calls += cost.Calls
			sum.Failed += cost.Failed
			sum.Time += cost.Time
			report.Costs[service] = sum
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
	fmt.Printf("%d entry VMs; the youngest counts since %s, what replaced VMs had counted is lost\n", r.VMs, r.Youngest.Format(time.RFC3339))
	for _, address := range r.NoAnswer {
		fmt.Printf("no answer from %s\n", address)
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
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\n", service, cost.Calls, cost.Failed, cost.Time.Seconds(), cost.Time.Seconds()*1e3/float64(max(1, cost.Calls)))
	}
	_ = w.Flush()
}

func alert(burn float64) string {
	switch {
	case burn >= radishburn.FastBurnThreshold:
		return "FAST"
	case burn >= radishburn.SlowBurnThreshold:
		return "SLOW"
	default:
		return ""
	}
}
