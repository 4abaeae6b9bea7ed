package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishdial"
	"radishramp.example/radishramp/internal/radishmemory"
	"radishramp.example/radishramp/internal/radishsignal"
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

// siteCommand runs the daemon of an entry VM on the users' platform.
type siteCommand struct {
	Config      string        `short:"c" long:"config" description:"Settings file of the platform; the default is read from the environment" value-name:"FILE"`
	MetricsPort string        `long:"metrics-port" description:"TCP port on the VM's address that serves the metrics" default:"9464" value-name:"PORT"`
	HedgeShare  float64       `long:"hedge-share" description:"Copies of slow calls, as a share of the calls of a service, from 0 (none) to 0.5" default:"0" value-name:"SHARE"`
	LogLevel    string        `long:"log-level" description:"Minimum level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
	BodyTimeout time.Duration `long:"body-timeout" description:"Time in which the next 64 kB of a request's body must arrive" default:"10s" value-name:"TIME"`
	SendTimeout time.Duration `long:"send-timeout" description:"Time in which a caller must take the next 32 kB of a response" default:"10s" value-name:"TIME"`
	QueueBytes  int64         `long:"queue-bytes" description:"How much of a response waits for a caller that does not read" default:"1048576" value-name:"BYTES"`
	Check       bool          `long:"check" description:"Check the settings and exit"`
}

// maxHedgeShare is the highest limit on copies. With more, the copies and not the calls would decide the load of the targets.
const maxHedgeShare = 0.5

// errHedgeShare reports a limit on copies that is out of range.
var errHedgeShare = errors.New("--hedge-share must be from 0 to 0.5")

// Execute implements flags.Commander.
func (c *siteCommand) Execute([]string) error {
	reload := radishsignal.Hangups()
	if !(c.HedgeShare >= 0 && c.HedgeShare <= maxHedgeShare) {
		return trace.Wrap(errHedgeShare)
	}
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
	server := newSiteServer(site, log, c.MetricsPort, c.callerLimits())
	server.LoadSettings = func() (*radish.PlatformSettings, error) { return radishadapter.LoadSettings(file) }
	server.SettingsChanged, server.HedgeShare = reload, c.HedgeShare
	return server.Run(ctx)
}

func (c *siteCommand) callerLimits() radish.CallerLimits {
	return radish.CallerLimits{BodyTimeout: c.BodyTimeout, SendTimeout: c.SendTimeout, MaxQueuedBytes: c.QueueBytes}
}

// newSiteServer returns a server that uses the protocols of the users' platform. Its metrics are served on the host of
// the address for callers.
func newSiteServer(site *radish.PlatformSettings, log hclog.Logger, metricsPort string, limits radish.CallerLimits) *radishsite.Server {
	request, response := radishsite.BufferSizes(site)
	forward := radishadapter.LimitBuffers(radishadapter.NewTransport(false), radishdial.Buffers{Receive: response, Send: request})
	targets := &radishadapter.TargetClient{
		ForwardHTTP: &http.Client{Transport: forward},
		ReleaseHTTP: &http.Client{Transport: radishadapter.NewTransport(true)},
	}
	store := &radishadapter.StoreClient{Address: site.StoreAddress, HTTP: &http.Client{Transport: radishadapter.NewTransport(true)}}
	host, _, _ := net.SplitHostPort(site.CallerAddress)
	server := &radishsite.Server{
		InitialSettings: site, Store: store, RolloutStore: store,
		Decoder: radishadapter.RecordDecoder{}, Forwarder: targets, Prober: targets, HealthChecker: targets, StageClient: targets, Log: log,
		MetricsAddress: net.JoinHostPort(host, metricsPort), SendTimeout: limits.WithDefaults().SendTimeout,
		NewCallerHandler: func(handler radish.CallHandler, memory *radishmemory.Account, maxBody func() int64, isLeaving func() bool) http.Handler {
			return &radishadapter.FrontEnd{Handler: handler, Memory: memory, Limits: limits, MaxBody: maxBody, IsLeaving: isLeaving}
		},
	}
	targets.Observer = server
	store.EraObserver = server
	return server
}
