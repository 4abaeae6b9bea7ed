package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishdial"
	"radishramp.example/radishramp/internal/radishsite"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/platform/radishadapter"
)

func init() {
	subcommands.Register("site", subcommand{
		short:   "Run an entry VM on the users' platform",
		long:    "Run the daemon of an entry VM with the settings, the store and the protocols of the users' platform.",
		command: &siteCommand{},
	})
}

// siteCommand runs the daemon on the users' platform.
type siteCommand struct {
	Config      string `short:"c" long:"config" description:"Settings file of the platform; by default the one that the environment names" value-name:"FILE"`
	MetricsPort string `long:"metrics-port" description:"TCP port of the metrics at the VM's address" default:"9464" value-name:"PORT"`
	LogLevel    string `long:"log-level" description:"Least level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
	Check       bool   `long:"check" description:"Check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *siteCommand) Execute([]string) error {
	file := c.Config
	if file == "" {
		file = radishadapter.SettingsPath()
	}
	site, err := radishadapter.LoadSettings(file)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("settings are valid")
		return nil
	}
	log, closeLog := newLog(c.LogLevel)
	defer closeLog()
	log = log.With("vm", site.VM)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	server := newSiteServer(site, log, c.MetricsPort)
	server.LoadSettings = func() (*radish.PlatformSettings, error) { return radishadapter.LoadSettings(file) }
	server.SettingsChanged = changed
	return server.Run(ctx)
}

func newSiteServer(site *radish.PlatformSettings, log hclog.Logger, metricsPort string) *radishsite.Server {
	targets := &radishadapter.TargetClient{
		ForwardHTTP: &http.Client{Transport: newTransport(false)},
		StageHTTP:   &http.Client{Transport: newTransport(true)},
	}
	host, _, _ := net.SplitHostPort(site.CallerAddress)
	return &radishsite.Server{
		InitialSettings: site, Store: &radishadapter.StoreClient{Address: site.StoreAddress, HTTP: &http.Client{Transport: newTransport(true)}},
		Decoder: radishadapter.RecordDecoder{}, Forwarder: targets, StageClient: targets, Log: log,
		MetricsAddress: net.JoinHostPort(host, metricsPort),
		NewCallerHandler: func(handler radish.CallHandler, maxBody func() int64, isLeaving func() bool) http.Handler {
			return &radishadapter.FrontEnd{Handler: handler, MaxBody: maxBody, IsLeaving: isLeaving}
		},
	}
}

func newTransport(keepsConnections bool) *http.Transport {
	return &http.Transport{
		DialContext: radishdial.NewDialer().DialContext, DisableCompression: true, DisableKeepAlives: !keepsConnections,
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: radishdial.IdleTimeout,
	}
}

// idlePerHost is how many connections to one address are kept for later.
const idlePerHost = 8
