// Package radishroster keeps track of the entry VMs and targets, from the platform's list of VMs, which lags behind, and
// from heartbeats of peers. It also selects the entry VMs of a data centre that own a key.
package radishroster
