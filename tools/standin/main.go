// Command standin runs a simulated platform or a simulated target as a separate process, for the demo and for end-to-end
// tests.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"radishramp.example/radishramp/internal/radishstandin"
)

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return serve(c.Listen, radishstandin.NewPlatform().Handler())
}

type targetCommand struct {
	Listen       string        `long:"listen" required:"yes"`
	Name         string        `long:"name" required:"yes"`
	Work         time.Duration `long:"work" default:"5ms"`
	ColdFor      time.Duration `long:"cold-for" default:"0s"`
	ColdFactor   int           `long:"cold-factor" default:"3"`
	ColdCapacity int           `long:"cold-capacity" default:"1"`
	Tokens       int           `long:"tokens" default:"16"`
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	target := &radishstandin.Target{
		Name: c.Name, ProcessingTime: c.Work, ColdFor: c.ColdFor, ColdFactor: c.ColdFactor, ColdCapacity: c.ColdCapacity, Tokens: c.Tokens,
	}
	target.Start()
	return serve(c.Listen, target.Handler())
}

func serve(address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	return server.ListenAndServe()
}

func main() {
	parser := flags.NewNamedParser("standin", flags.Default)
	_, _ = parser.AddCommand("platform", "Platform", "Run a simulated platform.", &platformCommand{})
	_, _ = parser.AddCommand("target", "Target", "Run a simulated target.", &targetCommand{})
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
