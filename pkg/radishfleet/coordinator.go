package radishfleet

import (
	"slices"

	"radishramp.example/radishramp/pkg/radish"
)

// minLargeVMShare is the share of the largest VM's cores from which a VM is preferred as a coordinator.
const minLargeVMShare = 0.5

// Coordinators returns up to n VMs in the order in which they are to coordinate the work identified by key; cores
// maps each VM to its CPU cores. Large VMs come first: a coordinator works for the calls of all VMs, and a small one
// delays them.
func Coordinators(cores map[string]float64, key string, n int) []string {
	maxCores := 0.0
	for _, vmCores := range cores {
		maxCores = max(maxCores, vmCores)
	}
	var large, small []string
	for name, vmCores := range cores {
		if vmCores >= minLargeVMShare*maxCores {
			large = append(large, name)
			continue
		}
		small = append(small, name)
	}
	owners := radish.RendezvousOwners(large, key, n)
	return slices.Concat(owners, radish.RendezvousOwners(small, key, n-len(owners)))
}
