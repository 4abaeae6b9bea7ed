package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"radishramp.example/radishramp/internal/radishdial"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/platform/radishadapter"
)

// errNotInStore reports that a required record is missing from the store.
var errNotInStore = errors.New("not in the store")

// checkSite checks the settings in the file and the services that an entry VM on the users' platform depends on. It
// returns the number of failed checks.
func checkSite(ctx context.Context, file string) (failed int) {
	countResult := func(passed bool) {
		if !passed {
			failed++
		}
	}
	site, err := radishadapter.LoadSettings(file)
	if !printResult("settings", err, "valid") {
		return 1
	}
	store := &radishadapter.StoreClient{Address: site.StoreAddress, HTTP: &http.Client{Transport: radishadapter.NewTransport(true)}}
	records := make(map[radish.RecordKind][]radish.Record)
	kinds := radish.RecordKinds
	if site.HasExposureLimit {
		kinds = append(slices.Clip(kinds), radish.RecordRollout)
	}
	for _, kind := range kinds {
		startedAt := time.Now()
		kindRecords, _, err := store.List(ctx, kind)
		records[kind] = kindRecords
		countResult(printResult("store, "+string(kind), err, fmt.Sprintf("%d records in %v", len(kindRecords), time.Since(startedAt).Round(time.Millisecond))))
	}
	countResult(checkSiteConfig(records[radish.RecordConfig]))
	countResult(checkSiteVM(site, records[radish.RecordVM]))
	for _, r := range records[radish.RecordRollout] {
		countResult(checkOrder(r))
	}
	for _, seed := range site.Seeds {
		countResult(checkAddress(ctx, "seed", seed))
	}
	return failed
}

// checkSiteConfig reports whether the store has a configuration that can be decoded.
func checkSiteConfig(records []radish.Record) bool {
	for _, r := range records {
		cfg, isConfig, err := radishadapter.RecordDecoder{}.Config(r)
		if err != nil {
			return printResult("configuration", err, "")
		}
		if isConfig {
			return printResult("configuration", nil, fmt.Sprintf("version %d with %d routes and %d services", cfg.Version, len(cfg.Routes), len(cfg.Services)))
		}
	}
	return printResult("configuration", errNotInStore, "")
}

// checkOrder reports whether the record is an order to roll out a version that can be decoded, and its state.
func checkOrder(r radish.Record) bool {
	order, err := radishadapter.RecordDecoder{}.Rollout(r)
	state := order.Status.State
	if state == radish.RolloutPending || order.Status.Version != order.Version {
		state = "not begun"
	}
	return printResult("rollout of "+r.Name, err, fmt.Sprintf("version %s in %v: %s", order.Version, order.Duration, state))
}

// checkSiteVM reports whether the store has a record of this VM, by which the other entry VMs find it. A VM writes its
// record when it starts.
func checkSiteVM(site *radish.PlatformSettings, records []radish.Record) bool {
	names := make([]string, 0, len(records))
	for _, r := range records {
		if r.Name == site.VM {
			return printResult("own record", nil, fmt.Sprintf("one of %d VMs", len(records)))
		}
		names = append(names, r.Name)
	}
	return printResult("own record", fmt.Errorf("%w: %s is not among %s", errNotInStore, site.VM, strings.Join(names, ", ")), "")
}

// checkAddress reports whether the address accepts TCP connections.
func checkAddress(ctx context.Context, name, address string) bool {
	conn, err := radishdial.NewDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return printResult(name+" "+address, err, "")
	}
	return printResult(name+" "+address, conn.Close(), "accepts connections")
}
