// Package radishcheck finds errors and contradictions in a configuration before it is stored, and lists its differences from another one.
package radishcheck
