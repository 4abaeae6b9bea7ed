// Package radishexplain finds, in the logs of all entry VMs, what became of one call: the lines that name it, and what
// the VMs learned of the targets that it met.
package radishexplain
