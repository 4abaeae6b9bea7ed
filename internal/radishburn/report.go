package radishburn

import (
	"slices"
	"time"
)

// Alert thresholds for burn rates, as commonly used in alerting on two windows.
const (
	// FastBurnThreshold is the burn rate that spends the error budget of 30 days in about two days.
	FastBurnThreshold = 14.4
	// SlowBurnThreshold is the burn rate that spends the error budget of 30 days in five days.
	SlowBurnThreshold = 6.0
)

// Rate is the burn rate of the error budget of one team and pipeline in one window.
type Rate struct {
	TeamPipeline
	Window time.Duration `json:"window_ns"`
	// Met is the number of requests that were answered completely within their deadline.
	Met int64 `json:"whole"`
	// Missed is the number of all other requests.
	Missed int64 `json:"missed"`
	// Objective is the share of requests that should be answered completely within their deadline.
	Objective float64 `json:"objective"`
	// Attainment is the share of requests that were; 1 if there were no requests.
	Attainment float64 `json:"attainment"`
	// BurnRate is the rate at which the error budget is spent. A constant rate of 1 spends exactly the budget.
	BurnRate float64 `json:"burn"`
}

// AllTeams is the team name of a rate that sums up all teams of a pipeline.
const AllTeams = "*"

// Rates merges the counts of several VMs. It returns the burn rates of each pipeline that has an objective, for each of
// its teams and for AllTeams. The objectives are given by pipeline.
func Rates(exports []Export, objectives map[string]float64) []Rate {
	type key struct {
		TeamPipeline
		window time.Duration
	}
	sums := make(map[key]Counts)
	for _, export := range exports {
		for _, row := range export.Rows {
			for _, team := range []string{row.Team, AllTeams} {
				k := key{TeamPipeline{Pipeline: row.Pipeline, Team: team}, row.Window}
				sum := sums[k]
				sum.Met += row.Met
				sum.Missed += row.Missed
				sums[k] = sum
			}
		}
	}
	var rates []Rate
	for k, sum := range sums {
		if objective, ok := objectives[k.Pipeline]; ok {
			rates = append(rates, newRate(k.TeamPipeline, k.window, sum, objective))
		}
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return compareRows(Row{TeamPipeline: a.TeamPipeline, Window: a.Window}, Row{TeamPipeline: b.TeamPipeline, Window: b.Window})
	})
	return rates
}

func newRate(id TeamPipeline, window time.Duration, sum Counts, objective float64) Rate {
	r := Rate{TeamPipeline: id, Window: window, Met: sum.Met, Missed: sum.Missed, Objective: objective, Attainment: 1}
	if total := sum.Total(); total > 0 {
		r.Attainment = float64(sum.Met) / float64(total)
	}
	r.BurnRate = (1 - r.Attainment) / (1 - objective)
	return r
}
