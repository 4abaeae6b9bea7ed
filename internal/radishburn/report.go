package radishburn

import (
	"slices"
	"time"
)

// Alert thresholds of burn rates, as in the usual two-window practice.
const (
	// FastBurn spends a 30-day error budget in two days.
	FastBurn = 14.4
	// SlowBurn spends a 30-day error budget in five days.
	SlowBurn = 6.0
)

// Rate is how fast one subject burns its error budget over one window; 1 spends exactly the budget.
type Rate struct {
	Subject
	Window     time.Duration `json:"window_ns"`
	Whole      int64         `json:"whole"`
	Missed     int64         `json:"missed"`
	Objective  float64       `json:"objective"`
	Attainment float64       `json:"attainment"`
	Burn       float64       `json:"burn"`
}

// AllTeams is the team name of a row that adds up all teams of a pipeline.
const AllTeams = "*"

// Rates merges what several VMs counted and returns the burn rate of every pipeline and team that has an objective.
func Rates(exports []Export, objectives map[string]float64) []Rate {
	type key struct {
		Subject
		window time.Duration
	}
	sums := make(map[key]Count)
	for _, export := range exports {
		for _, row := range export.Rows {
			for _, team := range []string{row.Team, AllTeams} {
				k := key{Subject{Pipeline: row.Pipeline, Team: team}, row.Window}
				sum := sums[k]
				sum.Whole += row.Whole
				sum.Missed += row.Missed
				sums[k] = sum
			}
		}
	}
	var rates []Rate
	for k, sum := range sums {
		if objective, ok := objectives[k.Pipeline]; ok {
			rates = append(rates, newRate(k.Subject, k.window, sum, objective))
		}
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return compareRows(Row{Subject: a.Subject, Window: a.Window}, Row{Subject: b.Subject, Window: b.Window})
	})
	return rates
}

func newRate(subject Subject, window time.Duration, sum Count, objective float64) Rate {
	r := Rate{Subject: subject, Window: window, Whole: sum.Whole, Missed: sum.Missed, Objective: objective, Attainment: 1}
	if total := sum.Total(); total > 0 {
		r.Attainment = float64(sum.Whole) / float64(total)
	}
	r.Burn = (1 - r.Attainment) / (1 - objective)
	return r
}
