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

// doctorTimeout limits the total time of the checks of one run.
const doctorTimeout = 15 * time.Second

func init() {
	subcommands.Register("doctor", subcommand{
		short:   "Check what an entry VM depends on",
		long:    "Check the settings, the platform, the rules and the list of VMs. With --site, check the settings, the store and the seeds of a VM on the users' platform instead.",
		command: &doctorCommand{},
	})
}

// doctorCommand checks the settings and the external services that an entry VM depends on.
type doctorCommand struct {
	Config string `short:"c" long:"config" description:"Settings file, JSON with comments" value-name:"FILE"`
	Site   string `long:"site" description:"Settings file of an entry VM on the users' platform; its dependencies are checked instead" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *doctorCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), doctorTimeout)
	defer cancel()
	if c.Site != "" {
		return failedChecksError(checkSite(ctx, c.Site))
	}
	cfg, err := radishsetting.Load(c.Config)
	if !printResult("settings", err, "valid") {
		return errors.New("the settings could not be loaded, so the other checks were not run")
	}
	client := &radishplatform.Client{BaseURL: cfg.Platform.URL, Timeout: cfg.Platform.Timeout}
	checks := []func(context.Context, *radishsetting.Settings, *radishplatform.Client) bool{checkVMList, checkRules}
	failed := 0
	for _, check := range checks {
		if !check(ctx, cfg, client) {
			failed++
		}
	}
	return failedChecksError(failed)
}

// failedChecksError returns an error if failed, the number of failed checks, is not zero.
func failedChecksError(failed int) error {
	if failed > 0 {
		return trace.Errorf("%d checks failed", failed)
	}
	return nil
}

// printResult prints the result of a check and reports whether the check passed. The detail is printed if it did.
func printResult(name string, err error, detail string) bool {
	if err != nil {
		fmt.Printf("FAILED %s: %v\n", name, err)
		return false
	}
	fmt.Printf("ok     %s: %s\n", name, detail)
	return true
}

// checkVMList reports whether the platform responds and its list of VMs contains this VM.
func checkVMList(ctx context.Context, cfg *radishsetting.Settings, client *radishplatform.Client) bool {
	startedAt := time.Now()
	vms, err := client.VMs(ctx)
	if !printResult("platform", err, fmt.Sprintf("responded in %v", time.Since(startedAt).Round(time.Millisecond))) {
		return false
	}
	entryVMs, isListed := 0, false
	for _, vm := range vms {
		if vm.Service == radish.EntryService {
			entryVMs++
			isListed = isListed || vm.Name == cfg.VM.Name
		}
	}
	if !isListed {
		err = trace.NotFound("%s is not listed, so other entry VMs will not connect to it", cfg.VM.Name)
	}
	return printResult("list of VMs", err, fmt.Sprintf("%d entry VMs, %d targets", entryVMs, len(vms)-entryVMs))
}

// checkRules reports whether the accepted rules can be loaded and parsed.
func checkRules(ctx context.Context, _ *radishsetting.Settings, client *radishplatform.Client) bool {
	snapshot, err := (&radishconfig.Store{Platform: client}).Load(ctx)
	if err != nil {
		return printResult("rules", err, "")
	}
	_, err = radishrule.ParseLines(snapshot.Lines)
	return printResult("rules", err, fmt.Sprintf("generation %d with %d rules, by %s", snapshot.Head.Generation, len(snapshot.Lines), snapshot.Head.By))
}
