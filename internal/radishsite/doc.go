// Package radishsite builds and runs an entry VM on the users' platform: it keeps what the VM believes of the
// configuration, the targets and the other VMs, and connects the parts that serve callers.
package radishsite
