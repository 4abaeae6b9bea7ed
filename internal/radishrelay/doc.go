// Package radishrelay forwards client calls to targets. It resolves a call's route and team, runs the route's
// preparatory stages, sends the call to a target and relays the response. It retries an attempt only if it did not
// execute or the route allows it to execute again. Targets that serve a model are called engines.
package radishrelay
