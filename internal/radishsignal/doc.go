// Package radishsignal keeps SIGHUP, which asks a process to reload its settings, from ending a process that starts.
//
// The Go runtime ends a process at SIGHUP until signal.Notify is called, which is possible only after the packages of
// all libraries are initialized. A constructor in C therefore ignores the signal before the runtime starts, and the
// runtime keeps to that until signal.Notify is called. No reload is lost if that comes before the settings are read.
// Without cgo the signal is not ignored.
package radishsignal
