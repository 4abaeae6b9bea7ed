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
		short:   "Tell what became of a call",
		long:    "Read the logs of entry VMs from files, or from standard input, and print what became of the call with the id, in the order of time.",
		command: &explainCommand{},
	})
}

// errNoSuchCall reports an id that no log line names.
var errNoSuchCall = errors.New("no log line names this id")

// explainCommand reads logs.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"Id of the call, as the caller sent it" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"Logs of entry VMs; standard input when there is none"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	found := radishexplain.Find(lines, c.Args.ID)
	if len(found) == 0 {
		return fmt.Errorf("%w: %s", errNoSuchCall, c.Args.ID)
	}
	return radishexplain.Print(os.Stdout, found)
}

func (c *explainCommand) read() ([]radishexplain.Line, error) {
	if len(c.Args.Files) == 0 {
		return readLog("standard input", os.Stdin)
	}
	var lines []radishexplain.Line
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		more, err := readLog(name, f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(name string, r io.Reader) ([]radishexplain.Line, error) {
	lines, skipped, err := radishexplain.Read(r)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are no log lines of radishramp\n", name, skipped)
	}
	return lines, nil
}
