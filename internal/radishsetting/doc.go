// Package radishsetting loads the settings of an entry VM from a file of JSON with comments. The settings are decoded
// into typed sections over the defaults and validated when they are loaded. All errors of a file are returned together.
package radishsetting
