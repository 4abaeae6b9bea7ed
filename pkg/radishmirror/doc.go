// Package radishmirror keeps a copy of the platform's records that only moves forward, whatever order lists, changes
// and peers' copies arrive in.
package radishmirror
