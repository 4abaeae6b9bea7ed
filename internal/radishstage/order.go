package radishstage

import (
	"cmp"
	"slices"

	"radishramp.example/radishramp/pkg/radish"
)

// slownessStep is the difference in slowness below which targets count as alike.
const slownessStep = 0.5

// sortBySlowness puts targets that take about the expected time first and leaves the others in their order.
func sortBySlowness(targets []radish.Target, slowness func(radish.Target) float64) {
	slices.SortStableFunc(targets, func(a, b radish.Target) int {
		return cmp.Compare(int(slowness(a)/slownessStep), int(slowness(b)/slownessStep))
	})
}
