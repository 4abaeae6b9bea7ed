package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishserve"
	"radishramp.example/radishramp/internal/radishsetting"
	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishconfig"
)

const (
	// futureHeartbeat is the interval that the settings advise for large data centres.
	futureHeartbeat = 2 * time.Second
	meetingTime     = 8 * time.Second
	pollCount       = 3000
)

// clusterCost is what control costs a VM.
type clusterCost struct {
	bytesPerSec, cpuPercent, heapMiB, readsPerSec, updatesPerSec float64
}

// measureCluster runs idle data centres of several sizes over loopback TCP in this process.
func measureCluster(length time.Duration) error {
	var bytes, cpu, memory, reads, updates []point
	for _, vms := range []int{6, 12, 18, futureVMsPerDC} {
		cost, err := runCluster(vms, length)
		if err != nil {
			return err
		}
		size := float64(vms)
		bytes = append(bytes, point{size, cost.bytesPerSec})
		cpu = append(cpu, point{size, cost.cpuPercent})
		memory = append(memory, point{size, cost.heapMiB})
		reads = append(reads, point{size, cost.readsPerSec})
		updates = append(updates, point{size, cost.updatesPerSec})
	}
	show("peer traffic of a VM, both ways", "B/s", "VMs in the data centre", bytes, futureVMsPerDC)
	show("control of a VM, all in one process, polls not over HTTP", "% of a core", "VMs in the data centre", cpu, futureVMsPerDC)
	show("heap of a VM", "MiB", "VMs in the data centre", memory, futureVMsPerDC)
	perDC := show("platform reads of a data centre", "reads/s", "VMs in the data centre", reads, futureVMsPerDC)
	writes := show("platform updates of a data centre", "updates/s", "VMs in the data centre", updates, futureVMsPerDC)
	fmt.Printf("slopes: %d data centres: %.0f reads/s and %.1f updates/s without claims\n", futureDataCentres, perDC*futureDataCentres, writes*futureDataCentres)
	return nil
}

func runCluster(vms int, length time.Duration) (clusterCost, error) {
	platform := radishstandin.NewPlatform()
	store := &radishconfig.Store{Platform: platform}
	if _, err := store.Apply(context.Background(), radishconfig.Change{By: "slopes", Lines: rulesOf(100)}); err != nil {
		return clusterCost{}, err
	}
	fleet := &radishstandin.Fleet{}
	for i := range futureTargetsDC {
		name := fmt.Sprintf("llm-%03d", i)
		fleet.Add(&radishstandin.Target{Name: name})
		platform.SetVM(radish.VM{Name: name, Address: name, DataCentre: "dc", Service: "llm", State: radish.VMLive})
	}
	before := heap()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var servers []*radishserve.Server
	for i := range vms {
		server, err := newServer(fmt.Sprintf("vm-%02d", i), platform, fleet)
		if err != nil {
			cancel()
			return clusterCost{}, err
		}
		servers = append(servers, server)
		running.Go(func() { _ = server.Run(ctx) })
	}
	time.Sleep(meetingTime)
	cost := observe(servers, platform, length, before)
	cancel()
	running.Wait()
	return cost, nil
}

func newServer(name string, platform *radishstandin.Platform, fleet *radishstandin.Fleet) (*radishserve.Server, error) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cfg := radishsetting.Default()
	cfg.VM = radishsetting.VM{Name: name, DataCentre: "dc"}
	cfg.Caller.Listen, cfg.Operator.Listen, cfg.Peer.Listen = "127.0.0.1:0", "127.0.0.1:0", "peer"
	cfg.Peer.HeartbeatInterval = futureHeartbeat
	cfg.Routing.WarmBeliefTTL = 3 * futureHeartbeat
	cfg.Shutdown.BalancerWait = 0
	server := &radishserve.Server{Settings: cfg, Log: hclog.NewNullLogger(), Platform: platform, Targets: fleet}
	server.Listen = func(address string) (net.Listener, error) {
		if address == "peer" {
			return peer, nil
		}
		return net.Listen("tcp", address)
	}
	if err := server.Build(); err != nil {
		return nil, err
	}
	platform.SetVM(radish.VM{Name: name, Address: peer.Addr().String(), DataCentre: "dc", Service: radish.EntryService, State: radish.VMLive})
	return server, nil
}

func observe(servers []*radishserve.Server, platform *radishstandin.Platform, length time.Duration, before uint64) clusterCost {
	traffic := totalTraffic(servers)
	counts := platform.Counts()
	cpu := processorTime()
	time.Sleep(length)
	used := processorTime() - cpu
	seconds, n := length.Seconds(), float64(len(servers))
	after := platform.Counts()
	return clusterCost{
		bytesPerSec:   float64(totalTraffic(servers)-traffic) / seconds / n,
		cpuPercent:    used.Seconds() / seconds / n * 100,
		readsPerSec:   float64(after.Reads-counts.Reads) / seconds,
		updatesPerSec: float64(after.Updates-counts.Updates) / seconds,
		heapMiB:       float64(heap()-before) / (1 << 20) / n,
	}
}

func totalTraffic(servers []*radishserve.Server) int64 {
	var total int64
	for _, s := range servers {
		sent, received := s.PeerTraffic()
		total += sent + received
	}
	return total
}

// measurePolls times load reports over HTTP, client and stand-in together.
func measurePolls() error {
	target := &radishstandin.Target{Name: "llm-1"}
	target.Start()
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	client := &radishtarget.Client{HTTP: &http.Client{Transport: radishtarget.NewTransport()}}
	at := radish.Target{Name: "llm-1", Address: strings.TrimPrefix(server.URL, "http://")}
	start := processorTime()
	for range pollCount {
		if _, err := client.Load(context.Background(), at); err != nil {
			return err
		}
	}
	perPoll := (processorTime() - start).Seconds() / pollCount
	polls := float64(futureTargetsDC) / futureVMsPerDC
	fmt.Printf("slopes: a load report over HTTP takes %.0f us of a core, target's side included; %.1f reports/s a VM are %.3f %% of a core\n",
		perPoll*1e6, polls, perPoll*polls*100)
	return nil
}
