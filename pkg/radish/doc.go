// Package radish is the root of radishramp: the interfaces behind which behaviour varies, the plain
// structs that the parts exchange, the sentinel errors and the registries that plug-ins add themselves to.
package radish
