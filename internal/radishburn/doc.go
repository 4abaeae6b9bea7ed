// Package radishburn records how many requests were answered whole within their deadline and reports how fast the
// error budget of each objective burns.
package radishburn
