// Package radishserve is the kernel of the daemon: it builds the parts of an entry VM from the settings, connects
// them and runs them as one group.
package radishserve
