package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/internal/radishcheck"
	"radishramp.example/radishramp/platform/radishadapter"
)

// Exit codes of the check.
const (
	exitWarnings = 1
	exitErrors   = 2
)

func init() {
	subcommands.Register("check", subcommand{
		short: "Check a configuration without a VM",
		long: "Check a configuration in the operator's format, JSON that may have comments, and print what is wrong with it and how it differs from " +
			"the configuration in force. The exit status is 0 without findings, 1 with warnings only and 2 with errors.",
		command: &checkCommand{},
	})
}

// checkCommand checks a configuration.
type checkCommand struct {
	Against string `long:"against" description:"Configuration in force; differences from it are printed" value-name:"FILE"`
	JSON    bool   `long:"json" description:"Print JSON"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	report, err := c.check()
	if err == nil && c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else if err == nil {
		c.print(os.Stdout, report)
	}
	switch {
	case err != nil:
		return &exitError{code: exitErrors, err: err}
	case report.Errors > 0:
		return &exitError{code: exitErrors}
	case report.Warnings > 0:
		return &exitError{code: exitWarnings}
	default:
		return nil
	}
}

// check reads the files and checks them.
func (c *checkCommand) check() (*radishcheck.Report, error) {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var against []byte
	if c.Against != "" {
		if against, err = os.ReadFile(c.Against); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
	}
	return radishcheck.Check(radishadapter.ConfigFormat{}, text, against)
}

func (c *checkCommand) print(w io.Writer, report *radishcheck.Report) {
	for _, f := range report.Findings {
		_, _ = fmt.Fprintf(w, "%s:%d: %s: %s\n", c.Args.File, f.Line, f.Severity, f)
	}
	for _, d := range report.Differences {
		_, _ = fmt.Fprintln(w, d)
	}
	if report.HasComments {
		_, _ = fmt.Fprintln(w, "the file is JSON with comments; the store takes it only without them")
	}
	_, _ = fmt.Fprintf(w, "%d errors, %d warnings\n", report.Errors, report.Warnings)
}
