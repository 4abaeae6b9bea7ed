package radishfleet

import (
	"slices"

	"radishramp.example/radishramp/pkg/radish"
)

// minLargeVMShare is the share of the largest VM's cores from which a VM is preferred as a coordinator.
const minLargeVMShare = 0.5

// Coordinators returns up to n VMs in the order in which they are to coordinate the work identified by key; cores
// maps each VM to its CPU cores. Large VMs come first: a coordinator works for the calls of all VMs, and a small one
// delays them. The incumbent comes first among those of its size; "" means that there is none.
func Coordinators(cores map[string]float64, key, incumbent string, n int) []string {
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
	owners := preferredOwners(large, key, incumbent, n)
	return slices.Concat(owners, preferredOwners(small, key, incumbent, n-len(owners)))
}

// preferredOwners returns up to n of the VMs in the order of rendezvous hashing, with the incumbent first if it is one of them.
func preferredOwners(names []string, key, incumbent string, n int) []string {
	owners := radish.RendezvousOwners(names, key, n)
	if n <= 0 || !slices.Contains(names, incumbent) {
		return owners
	}
	others := slices.DeleteFunc(owners, func(name string) bool { return name == incumbent })
	return slices.Concat([]string{incumbent}, others[:min(len(others), n-1)])
}
