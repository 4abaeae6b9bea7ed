// Package radishgroup adds HTTP servers and background loops to an oklog/run group.
package radishgroup
