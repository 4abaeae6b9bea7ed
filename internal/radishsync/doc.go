// Package radishsync keeps a mirror of the platform's records up to date with the store, by lists and watches.
package radishsync
