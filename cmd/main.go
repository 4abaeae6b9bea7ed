package cmd

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"radishramp.example/radishramp/internal/radishsignal"
	"radishramp.example/radishramp/pkg/radish"
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// exitError ends the process with the code. A nil err means that the command has printed the reason.
type exitError struct {
	code int
	err  error
}

// Error returns the reason, or "" if the command has printed it.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the reason.
func (e *exitError) Unwrap() error { return e.err }

// subcommand is an entry of the registry of subcommands; its command defines the flags and runs it.
type subcommand struct {
	short   string
	long    string
	command any
	// children are nested subcommands, such as "check" of "rules check".
	children []childCommand
}

type childCommand struct {
	name    string
	short   string
	command any
}

var subcommands radish.Registry[subcommand]

// Main runs the subcommand that is named in args and returns the exit code of the process.
func Main(args []string) int {
	parser := flags.NewNamedParser("radishramp", flags.HelpFlag|flags.PassDoubleDash)
	for _, name := range subcommands.Names() {
		sub, _ := subcommands.Lookup(name)
		if err := addSubcommand(parser, name, sub); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	parser.CommandHandler = runCommand
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

// exitCode prints the error that a subcommand returned and returns the exit code of the process.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var usageErr *flags.Error
	if errors.As(err, &usageErr) {
		if usageErr.Type == flags.ErrHelp {
			fmt.Println(usageErr.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, usageErr.Message)
		return exitUsage
	}
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		if exitErr.err != nil {
			fmt.Fprintln(os.Stderr, exitErr)
		}
		return exitErr.code
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

// runCommand runs a subcommand. SIGHUP ends all of them but the one that reloads its settings then.
func runCommand(command flags.Commander, args []string) error {
	if _, reloads := command.(*siteCommand); !reloads {
		radishsignal.ExitOnHangup()
	}
	return command.Execute(args)
}

func addSubcommand(parser *flags.Parser, name string, sub subcommand) error {
	command, err := parser.AddCommand(name, sub.short, sub.long, sub.command)
	if err != nil {
		return err
	}
	for _, child := range sub.children {
		if _, err := command.AddCommand(child.name, child.short, child.short, child.command); err != nil {
			return err
		}
	}
	return nil
}
