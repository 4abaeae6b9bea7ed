// Package radishrollout decides how far a service's traffic moves to the targets of a new version, and whether that version is
// served or reverted.
//
// The load that it addresses: calls of a service reach many VMs in uneven shares, while a new version runs beside the old one. Some
// of the new version's responses are failures or several times slower, from the start or later, only under load or on one route
// only. Moving the traffic by time alone sends it all to a bad version, and a single VM sees too few calls to notice. Each VM
// therefore limits by itself what it sends to the new version, counts the results, and merges its counts with those of its peers.
// The versions are compared over the same time and route, so that slow periods that affect both are no evidence against the new one.
//
// The package has no input, output or clock. See docs/design/rollouts.md.
package radishrollout
