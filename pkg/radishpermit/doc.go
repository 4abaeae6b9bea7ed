// Package radishpermit limits the concurrent work of cold targets across all VMs of a data centre. Each attempt at a
// cold target needs a permit. Only the VM that holds the data centre's lease, called the steward in the peer protocol
// and in metrics, grants permits.
package radishpermit
