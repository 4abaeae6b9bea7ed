// Package radishplacement brings the engines of targets to the state that the rules want: the VM that holds the
// data centre's lease reads what each engine has loaded and orders what differs, a bounded number of targets of a
// service at a time.
package radishplacement
