// Package radishgroup adds the usual parts of a process to an oklog/run group.
package radishgroup
