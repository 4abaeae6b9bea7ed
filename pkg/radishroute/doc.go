// Package radishroute holds a configuration of the platform's operator: routes, services, teams and limits, and finds
// the route and the team of a call.
package radishroute
