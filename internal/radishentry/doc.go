// Package radishentry implements the HTTP API of callers. It validates and admits a request, runs its pipeline and
// returns the complete result, or an error that states whether any part of the request may have been executed.
package radishentry
