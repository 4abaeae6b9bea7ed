// Package cmd holds the subcommands of the radishramp binary, one file each; they register themselves.
package cmd
