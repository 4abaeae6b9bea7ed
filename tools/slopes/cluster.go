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
	// projectedHeartbeat is the heartbeat interval that is recommended for large data centres.
	projectedHeartbeat = 2 * time.Second
	// connectDuration is how long the VMs may take to connect to each other before the measurement starts.
	connectDuration = 8 * time.Second
	loadReports     = 3000
)

// clusterCost is the measured cost of the control traffic: readsPerSec and updatesPerSec per data centre, the others per VM.
type clusterCost struct {
	bytesPerSec, cpuPercent, heapMiB, readsPerSec, updatesPerSec float64
}

// measureCluster measures data centres of several sizes without requests. All VMs run in this process and are connected
// over loopback TCP.
func measureCluster(duration time.Duration) error {
	var bytes, cpu, memory, reads, updates []point
	for _, vms := range []int{6, 12, 18, projectedVMsPerDC} {
		cost, err := measureClusterSize(vms, duration)
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
	reportFit("peer traffic of a VM, sent and received", "B/s", "VMs in the data centre", bytes, projectedVMsPerDC)
	reportFit("control overhead of a VM, all VMs in one process, load reports without HTTP", "% of a core", "VMs in the data centre", cpu,
		projectedVMsPerDC)
	reportFit("heap of a VM", "MiB", "VMs in the data centre", memory, projectedVMsPerDC)
	readsPerDC := reportFit("platform reads of a data centre", "reads/s", "VMs in the data centre", reads, projectedVMsPerDC)
	updatesPerDC := reportFit("platform updates of a data centre", "updates/s", "VMs in the data centre", updates, projectedVMsPerDC)
	fmt.Printf("slopes: %d data centres, without claims: %.0f platform reads/s and %.1f platform updates/s\n",
		projectedDataCentres, readsPerDC*projectedDataCentres, updatesPerDC*projectedDataCentres)
	return nil
}

func measureClusterSize(vms int, duration time.Duration) (clusterCost, error) {
	platform := radishstandin.NewPlatform()
	store := &radishconfig.Store{Platform: platform}
	if _, err := store.Apply(context.Background(), radishconfig.Change{By: "slopes", Lines: generateRules(100)}); err != nil {
		return clusterCost{}, err
	}
	fleet := &radishstandin.Fleet{}
	for i := range projectedTargetsPerDC {
		name := fmt.Sprintf("llm-%03d", i)
		fleet.Add(&radishstandin.Target{Name: name})
		platform.SetVM(radish.VM{Name: name, Address: name, DataCentre: "dc", Service: "llm", State: radish.VMLive})
	}
	heapBefore := heapInUse()
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
	time.Sleep(connectDuration)
	cost := measureServers(servers, platform, duration, heapBefore)
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
	cfg.Peer.HeartbeatInterval = projectedHeartbeat
	cfg.Routing.WarmBeliefTTL = 3 * projectedHeartbeat
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

func measureServers(servers []*radishserve.Server, platform *radishstandin.Platform, duration time.Duration, heapBefore uint64) clusterCost {
	traffic := totalTraffic(servers)
	counts := platform.Counts()
	cpu := cpuTime()
	time.Sleep(duration)
	usedCPU := cpuTime() - cpu
	seconds, n := duration.Seconds(), float64(len(servers))
	after := platform.Counts()
	return clusterCost{
		bytesPerSec:   float64(totalTraffic(servers)-traffic) / seconds / n,
		cpuPercent:    usedCPU.Seconds() / seconds / n * 100,
		readsPerSec:   float64(after.Reads-counts.Reads) / seconds,
		updatesPerSec: float64(after.Updates-counts.Updates) / seconds,
		heapMiB:       float64(heapInUse()-heapBefore) / (1 << 20) / n,
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

// measureLoadReports measures the CPU time of load reports over HTTP, of the client and the simulated target together.
func measureLoadReports() error {
	target := &radishstandin.Target{Name: "llm-1"}
	target.Start()
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	client := &radishtarget.Client{HTTP: &http.Client{Transport: radishtarget.NewTransport()}}
	loadTarget := radish.Target{Name: "llm-1", Address: strings.TrimPrefix(server.URL, "http://")}
	start := cpuTime()
	for range loadReports {
		if _, err := client.Load(context.Background(), loadTarget); err != nil {
			return err
		}
	}
	cpuPerReport := (cpuTime() - start).Seconds() / loadReports
	reportsPerSec := float64(projectedTargetsPerDC) / projectedVMsPerDC
	fmt.Printf("slopes: a load report over HTTP takes %.0f us of CPU time, including the target's; %.1f reports/s per VM take %.3f %% of a core\n",
		cpuPerReport*1e6, reportsPerSec, cpuPerReport*reportsPerSec*100)
	return nil
}
