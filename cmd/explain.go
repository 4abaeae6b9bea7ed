package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/internal/radishexplain"
)

func init() {
	subcommands.Register("explain", subcommand{
		short:   "Show what happened to a call",
		long:    "Read the logs of entry VMs from files or from standard input and print the lines about the call with the given id in chronological order.",
		command: &explainCommand{},
	})
}

// errCallNotFound reports that no log line contains the id of the call.
var errCallNotFound = errors.New("no log line contains this id")

// explainCommand prints the log lines about one call.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"Id of the call as sent by the caller" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"Log files of entry VMs; standard input if none is given"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.readLogs()
	if err != nil {
		return err
	}
	found := radishexplain.Find(lines, c.Args.ID)
	if len(found) == 0 {
		return fmt.Errorf("%w: %s", errCallNotFound, c.Args.ID)
	}
	return radishexplain.Print(os.Stdout, found)
}

// readLogs returns the log lines of all files or, if no file is given, of standard input.
func (c *explainCommand) readLogs() ([]radishexplain.Line, error) {
	if len(c.Args.Files) == 0 {
		return readLog("standard input", os.Stdin)
	}
	var lines []radishexplain.Line
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		fileLines, err := readLog(name, f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}

// readLog returns the log lines of r and prints how many lines it skipped. The name of r is used in messages.
func readLog(name string, r io.Reader) ([]radishexplain.Line, error) {
	lines, skipped, err := radishexplain.Read(r)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines of radishramp\n", name, skipped)
	}
	return lines, nil
}
