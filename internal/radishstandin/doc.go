// Package radishstandin holds small stand-ins for what stands around the system: the platform's object API
// and targets, with faults that tests and the demo switch on.
package radishstandin
