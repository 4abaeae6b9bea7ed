package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/internal/radishsetting"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishplatform"
	"radishramp.example/radishramp/pkg/radishrule"
)

// doctorTimeout bounds all checks together.
const doctorTimeout = 15 * time.Second

func init() {
	subcommands.Register("doctor", subcommand{
		short:   "Check what an entry VM depends on",
		long:    "Check settings, platform, rules and the list of VMs; with --site the settings, the store and the seeds of a VM on the users' platform.",
		command: &doctorCommand{},
	})
}

// doctorCommand checks what an entry VM depends on.
type doctorCommand struct {
	Config string `short:"c" long:"config" description:"Settings file, JSON with comments" value-name:"FILE"`
	Site   string `long:"site" description:"Settings file of the users' platform, checked in place of the own interface" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *doctorCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), doctorTimeout)
	defer cancel()
	if c.Site != "" {
		return failures(checkSite(ctx, c.Site))
	}
	cfg, err := radishsetting.Load(c.Config)
	if !report("settings", err, "valid") {
		return errors.New("the other checks need valid settings")
	}
	client := &radishplatform.Client{BaseURL: cfg.Platform.URL, Timeout: cfg.Platform.Timeout}
	checks := []func(context.Context, *radishsetting.Settings, *radishplatform.Client) bool{checkList, checkRules}
	failed := 0
	for _, check := range checks {
		if !check(ctx, cfg, client) {
			failed++
		}
	}
	return failures(failed)
}

func failures(failed int) error {
	if failed > 0 {
		return trace.Errorf("%d checks failed", failed)
	}
	return nil
}

func report(name string, err error, detail string) bool {
	if err != nil {
		fmt.Printf("FAILED %s: %v\n", name, err)
		return false
	}
	fmt.Printf("ok     %s: %s\n", name, detail)
	return true
}

func checkList(ctx context.Context, cfg *radishsetting.Settings, client *radishplatform.Client) bool {
	started := time.Now()
	vms, err := client.VMs(ctx)
	if !report("platform", err, fmt.Sprintf("answers within %v", time.Since(started).Round(time.Millisecond))) {
		return false
	}
	entries, listed := 0, false
	for _, vm := range vms {
		if vm.Service == radish.EntryService {
			entries++
			listed = listed || vm.Name == cfg.VM.Name
		}
	}
	if !listed {
		err = trace.NotFound("%s is not in it, so its peers will not link to it", cfg.VM.Name)
	}
	return report("list of VMs", err, fmt.Sprintf("%d entry VMs, %d targets", entries, len(vms)-entries))
}

func checkRules(ctx context.Context, _ *radishsetting.Settings, client *radishplatform.Client) bool {
	snapshot, err := (&radishconfig.Store{Platform: client}).Load(ctx)
	if err != nil {
		return report("rules", err, "")
	}
	_, err = radishrule.ParseLines(snapshot.Lines)
	return report("rules", err, fmt.Sprintf("generation %d with %d rules, by %s", snapshot.Head.Generation, len(snapshot.Lines), snapshot.Head.By))
}
