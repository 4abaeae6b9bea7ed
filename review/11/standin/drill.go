package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the drill, and bounds of the sheet.
const (
	drillAway    = time.Second
	drillCopyAge = 5 * time.Second
	configApply  = 2 * time.Second
	stableFor    = 3 * time.Second
	// staleWatch is how long the VMs are observed after the change.
	staleWatch = 20 * time.Second
)

// drill lets the store be away for a moment and come back from the copy. Workers and operator then write again what it lacks.
func (l *lab) drill(stale content) error {
	l.store.shut()
	l.note("the store is away")
	time.Sleep(drillAway)
	l.store.restore(stale)
	if err := l.store.open(); err != nil {
		return err
	}
	l.note("the store is back from its copy, at revision %d, in era 2", stale.revision)
	return nil
}

// playDrill takes a key away and moves another one to another tenant when the store has been stable again for long enough after a drill. The
// rule is broken if requests with these keys run as before later than the bound after that.
func playDrill(l *lab) (bool, error) {
	if err := l.startDesk(4, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := l.startVMs(4); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	stale := l.store.snapshot()
	copied := time.Now()
	l.note("the copy of the store is of revision %d", stale.revision)
	cfg := newConfig()
	for _, timeout := range []int{4800, 4600, 4400} {
		cfg.Version += 2
		cfg.Routes[1].TimeoutMs = timeout
		l.publish(cfg, fmt.Sprintf("r-read has a timeout of %d ms", timeout))
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(drillCopyAge - drillAway - time.Since(copied))
	if l.trouble {
		if err := l.drill(stale); err != nil {
			return false, err
		}
		l.publish(cfg, "written again")
	}
	time.Sleep(stableFor + 2*time.Second)
	dropped, moved := l.probeKeys()
	l.note("before the change, %d requests ran with the key that will be dropped, and %d for north with the key that will move", dropped, moved)
	cfg.Version += 2
	cfg.Tenants = []tenant{{Name: "north", APIKeys: []string{"key-north-1"}}, {Name: "south", APIKeys: []string{"key-south-1", "key-north-2"}}}
	acknowledged := l.publish(cfg, "key-south-2 is dropped, key-north-2 moves from north to south")
	time.Sleep(configApply + 500*time.Millisecond)
	dropped, moved = 0, 0
	for time.Since(acknowledged) < staleWatch {
		d, m := l.probeKeys()
		dropped, moved = dropped+d, moved+m
		time.Sleep(time.Second)
	}
	l.note("from %v to %v after the change was acknowledged, %d requests ran with the dropped key, and %d with the moved key as those of north",
		configApply, staleWatch, dropped, moved)
	return dropped+moved > 0, nil
}

// probeKeys sends an order with the dropped and one with the moved key to each VM. It returns how many with the dropped key ran, and how many
// with the moved key ran for its former tenant.
func (l *lab) probeKeys() (dropped, moved int) {
	for _, v := range l.vms {
		c := l.newClient(v)
		d := c.send(http.MethodPost, "/order/1", "key-south-2", 1500*time.Millisecond)
		m := c.send(http.MethodPost, "/order/1", "key-north-2", 1500*time.Millisecond)
		c.http.CloseIdleConnections()
		if _, ok := l.tenantOf(d.id); ok {
			dropped++
		}
		if tenant, ok := l.tenantOf(m.id); ok && tenant == "north" {
			moved++
		}
	}
	return dropped, moved
}

// tenantOf returns the tenant for which a worker ran the request; ok is false if none ran it.
func (l *lab) tenantOf(id string) (tenant string, ok bool) {
	for _, w := range l.workers {
		for _, a := range w.all() {
			if a.id == id && a.ran {
				return a.tenant, true
			}
		}
	}
	return "", false
}
