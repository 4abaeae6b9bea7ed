// Command standin-3 plays the cases of the third review. It starts entry VMs as separate processes with the command of the deploy file, and
// is itself the platform's store, the workers, the operator and the clients. Everything listens on loopback addresses.
package main
