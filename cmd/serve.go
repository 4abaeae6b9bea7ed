package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"radishramp.example/radishramp/internal/radishserve"
	"radishramp.example/radishramp/internal/radishsetting"
)

func init() {
	subcommands.Register("serve", subcommand{
		short:   "Run an entry VM",
		long:    "Run the daemon of an entry VM. Without a settings file, the built-in defaults are used.",
		command: &serveCommand{},
	})
}

// serveCommand runs the daemon of an entry VM.
type serveCommand struct {
	Config string `short:"c" long:"config" description:"Settings file, JSON with comments" value-name:"FILE"`
	Check  bool   `long:"check" description:"Check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	cfg, err := radishsetting.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("settings are valid")
		return nil
	}
	log, closeLog := newLog(cfg.Log.Level)
	defer closeLog()
	log = log.With("vm", cfg.VM.Name, "data_centre", cfg.VM.DataCentre)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &radishserve.Server{Settings: cfg, Log: log}
	return server.Run(ctx)
}
