package cmd

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"radishramp.example/radishramp/pkg/radish"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// subcommand is a plug-in of the command line.
type subcommand struct {
	short   string
	long    string
	command any
	// children are the subcommand's own subcommands.
	children []child
}

type child struct {
	name    string
	short   string
	command any
}

var subcommands radish.Registry[subcommand]

// Main runs the subcommand that args name and returns the process's exit code.
func Main(args []string) int {
	parser := flags.NewNamedParser("radishramp", flags.HelpFlag|flags.PassDoubleDash)
	for _, name := range subcommands.Names() {
		sub, _ := subcommands.Lookup(name)
		if err := addSubcommand(parser, name, sub); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

func addSubcommand(parser *flags.Parser, name string, sub subcommand) error {
	command, err := parser.AddCommand(name, sub.short, sub.long, sub.command)
	if err != nil {
		return err
	}
	for _, c := range sub.children {
		if _, err := command.AddCommand(c.name, c.short, c.short, c.command); err != nil {
			return err
		}
	}
	return nil
}
