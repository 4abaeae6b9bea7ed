// Package radishroster knows which entry VMs and targets there are: from the platform's lagging list and from the
// heartbeats of peers, whichever tells first.
package radishroster
