// Package radishquarantine finds parts of prompts that crash targets, from the calls that were cut when targets ended, and decides
// which calls must therefore not be sent.
//
// Every part of a cut call is suspected until a call with it is answered after the crash. Parts that several crashes have in common
// are quarantined. VMs exchange their evidence; it only grows until it expires, so that the order of the exchanges does not matter.
package radishquarantine
