// Package radishpipeline runs the stages of a request's pipeline in order, within the request's deadline, and ensures
// that non-idempotent stages are executed at most once.
package radishpipeline
