// Package radishpipeline runs a request through the stages of its pipeline under one deadline and lets its
// non-idempotent stages run at most once.
package radishpipeline
