package cmd

import (
	"os"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishlog"
)

// newLog returns a logger that writes JSON lines to standard output without blocking its callers, and a function that
// flushes and closes it.
func newLog(level string) (log hclog.Logger, closeLog func()) {
	out := radishlog.NewWriter(os.Stdout)
	log = hclog.New(&hclog.LoggerOptions{Name: "radishramp", Level: hclog.LevelFromString(level), Output: out, JSONFormat: true})
	return log, out.Close
}
