// Package radishbound computes an upper bound on the value that any scheduling policy could achieve on a deployment under
// constant load. It assumes that batches are always full, that results are read as soon as they exist, and that nothing fails.
package radishbound
