// Package radishroute holds the operator's configuration, which consists of routes, services, teams and limits, and
// looks up the route and the team of a call.
package radishroute
