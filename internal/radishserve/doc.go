// Package radishserve implements the entry VM daemon. It creates the components of an entry VM from the settings,
// connects them and runs them until the VM shuts down.
package radishserve
