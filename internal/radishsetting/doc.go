// Package radishsetting loads the settings of an entry VM: JSON with comments, decoded into typed sections
// and checked at start, with every fault reported at once.
package radishsetting
