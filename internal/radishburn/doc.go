// Package radishburn counts how many requests were answered completely within their deadline and calculates the burn
// rate of the error budget of each objective.
package radishburn
