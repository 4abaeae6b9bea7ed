package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"radishramp.example/radishramp/internal/radishdial"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/platform/radishadapter"
)

// errNotThere reports something that should stand in the store.
var errNotThere = errors.New("not in the store")

// checkSite checks what an entry VM on the users' platform depends on, and returns how many checks failed.
func checkSite(ctx context.Context, file string) (failed int) {
	count := func(ok bool) {
		if !ok {
			failed++
		}
	}
	site, err := radishadapter.LoadSettings(file)
	if !report("settings", err, "valid") {
		return 1
	}
	store := &radishadapter.StoreClient{Address: site.StoreAddress, HTTP: &http.Client{Transport: newTransport(true)}}
	records := make(map[radish.RecordKind][]radish.Record)
	for _, kind := range radish.RecordKinds {
		started := time.Now()
		list, _, err := store.List(ctx, kind)
		records[kind] = list
		count(report("store, "+string(kind), err, fmt.Sprintf("%d records within %v", len(list), time.Since(started).Round(time.Millisecond))))
	}
	count(checkSiteConfig(records[radish.RecordConfig]))
	count(checkSiteVM(site, records[radish.RecordVM]))
	for _, seed := range site.Seeds {
		count(checkAddress(ctx, "seed", seed))
	}
	return failed
}

func checkSiteConfig(records []radish.Record) bool {
	for _, r := range records {
		cfg, isConfig, err := radishadapter.RecordDecoder{}.Config(r)
		if err != nil {
			return report("configuration", err, "")
		}
		if isConfig {
			return report("configuration", nil, fmt.Sprintf("version %d with %d routes and %d services", cfg.Version, len(cfg.Routes), len(cfg.Services)))
		}
	}
	return report("configuration", errNotThere, "")
}

// checkSiteVM tells whether the others can find this VM, which writes its own record when it starts.
func checkSiteVM(site *radish.PlatformSettings, records []radish.Record) bool {
	names := make([]string, 0, len(records))
	for _, r := range records {
		if r.Name == site.VM {
			return report("own record", nil, fmt.Sprintf("one of %d VMs", len(records)))
		}
		names = append(names, r.Name)
	}
	return report("own record", fmt.Errorf("%w: %s is not among %s", errNotThere, site.VM, strings.Join(names, ", ")), "")
}

func checkAddress(ctx context.Context, name, address string) bool {
	conn, err := radishdial.NewDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return report(name+" "+address, err, "")
	}
	return report(name+" "+address, conn.Close(), "takes connections")
}
