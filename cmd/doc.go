// Package cmd implements the command line of the radishramp binary. Each subcommand has a file of its own and registers
// itself when the package is initialized.
package cmd
