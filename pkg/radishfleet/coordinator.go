package radishfleet

import (
	"slices"

	"radishramp.example/radishramp/pkg/radish"
)

// largeShare is the part of the largest VM's processor from which on a VM is preferred as a coordinator.
const largeShare = 0.5

// Coordinators returns up to n of the VMs, given with how much of a processor each has, in the order in which they coordinate
// what the key names. Large VMs come first: a coordinator works for calls of all VMs, and a small one makes them wait.
func Coordinators(cores map[string]float64, key string, n int) []string {
	most := 0.0
	for _, c := range cores {
		most = max(most, c)
	}
	var large, small []string
	for name, c := range cores {
		if c >= largeShare*most {
			large = append(large, name)
			continue
		}
		small = append(small, name)
	}
	owners := radish.RendezvousOwners(large, key, n)
	return slices.Concat(owners, radish.RendezvousOwners(small, key, n-len(owners)))
}
