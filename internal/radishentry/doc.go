// Package radishentry is the caller's HTTP API: it checks a request, admits it, has the pipeline run and answers
// whole, or refuses and tells truly whether anything ran.
package radishentry
