// Package radishsite builds and runs an entry VM on the users' platform. It holds the VM's view of the configuration,
// the targets and the other entry VMs, and connects the components that serve callers.
package radishsite
