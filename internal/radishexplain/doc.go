// Package radishexplain finds the log lines about one call in the logs of all entry VMs: the lines with the id of the
// call, and the lines about state changes of the targets to which the call was sent.
package radishexplain
