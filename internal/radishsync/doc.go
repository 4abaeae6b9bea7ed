// Package radishsync keeps the mirror of the platform's records up to date from the store.
package radishsync
