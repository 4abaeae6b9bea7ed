// Package radishbound computes the most that any policy could earn from a deployment at a steady load: which part of each kind
// of call can be served when calls to stages are always full, results are read as soon as they are made, and nothing fails.
package radishbound
