// Package radishmirror keeps an in-memory copy of the platform's records. The copy never returns to an older state, in
// whatever order lists, changes from the store and changes from peers arrive.
package radishmirror
