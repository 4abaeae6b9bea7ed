// Package radish defines the types that the packages of radishramp share: interfaces with several
// implementations, plain data structs, sentinel errors and the registries of plug-ins.
package radish
