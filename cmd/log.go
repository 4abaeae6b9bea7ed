package cmd

import (
	"os"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishlog"
)

// newLog returns the log of a daemon, JSON lines on standard output that never block who logs, and what ends it.
func newLog(level string) (log hclog.Logger, closeLog func()) {
	out := radishlog.NewWriter(os.Stdout)
	log = hclog.New(&hclog.LoggerOptions{Name: "radishramp", Level: hclog.LevelFromString(level), Output: out, JSONFormat: true})
	return log, out.Close
}
