// Package radishpermit bounds the work in flight at cold targets over all VMs of a data centre: one VM, the
// steward, holds a lease and alone grants permits; each attempt at a cold target needs one.
package radishpermit
