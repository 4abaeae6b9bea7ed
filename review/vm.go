package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// binary is the program that the deploy file builds; the deploy file runs it as "target/radishramp site".
const binary = "target/radishramp"

// Ports of every entry VM; the VMs have loopback addresses of their own.
const (
	frontPort   = 8625
	readyPort   = 8621
	controlPort = 8628
	metricsPort = 9464
)

// vm is an entry VM that runs as a process of its own.
type vm struct {
	e        *env
	name     string
	ip       string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports of an entry VM are free.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		isFree := true
		for _, port := range []int{frontPort, readyPort, controlPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
		}
		if isFree {
			return network
		}
	}
}

func (v *vm) front() string { return fmt.Sprintf("%s:%d", v.ip, frontPort) }

// addVMs prepares n entry VMs, which are spread over the zones.
func (e *env) addVMs(n int, zones ...string) {
	for i := range n {
		v := &vm{e: e, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), ip: fmt.Sprintf("%s.%d", e.network, i+1)}
		v.settings = e.settingsFor(v, zones, i%len(zones), n)
		e.vms = append(e.vms, v)
	}
}

func (e *env) settingsFor(v *vm, zones []string, zone, count int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name=%s\nrole=entry\nmachine_class=front\nserves=front,control\nip=%s\nzone=%s\nregion=jawa\n", v.name, v.ip, zones[zone])
	for _, z := range slices.Compact(slices.Clone(zones)) {
		fmt.Fprintf(&b, "zones.%s=jawa\n", z)
	}
	fmt.Fprintf(&b, "bind_addresses.front=%s:%d\nbind_addresses.ready=%s:%d\nbind_addresses.control=%s:%d\n", v.ip, frontPort, v.ip, readyPort, v.ip, controlPort)
	seeds := make([]string, 0, 3)
	for i := range min(3, count) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", e.network, i+1, controlPort))
	}
	fmt.Fprintf(&b, "internal_port_range=7740,7755\nseeds=%s\nbootstrap=true\nin_tolerance=false\nplatform.address=%s\n", strings.Join(seeds, ","), e.store.address)
	b.WriteString(commonSettings)
	return b.String()
}

const commonSettings = `limits.cpu_share=0.272
limits.cpu_cores=1
limits.memory_mb=206
limits.max_fds=2870
limits.link_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stability_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.lost_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.strict_revocation=false
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=119
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.evac_ms=5000
bounds.recover_s=12
bounds.pass_ms=120
bounds.again_s=10
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// start starts the VM's process; wrap, if any, are words before its command.
func (v *vm) start(wrap ...string) error {
	v.e.startMu.Lock()
	defer v.e.startMu.Unlock()
	if v.e.isClosing {
		return errors.New("the case is ending")
	}
	file := filepath.Join(v.e.temp, v.name+".conf")
	if err := os.WriteFile(file, []byte(v.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.e.temp, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	words := append(append([]string{}, wrap...), filepath.Join(v.e.root, binary), "site")
	v.cmd = exec.Command(words[0], words[1:]...)
	v.cmd.Dir = v.e.root
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RADISHRAMP_BOOT=" + file}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.e.record.add(v.name, "started, process %d", v.cmd.Process.Pid)
	exited := make(chan struct{})
	v.exited = exited
	cmd := v.cmd
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		v.e.record.add(v.name, "process %d ended: %v", cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

func (v *vm) isRunning() bool {
	if v.exited == nil {
		return false
	}
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

func (v *vm) signal(s syscall.Signal) {
	v.e.record.add(v.name, "gets signal %d (%v)", int(s), s)
	_ = v.cmd.Process.Signal(s)
}

func (v *vm) kill() {
	if v.isRunning() {
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
}

var readyClient = &http.Client{Timeout: time.Second}

func (v *vm) isReady() bool {
	res, err := readyClient.Get(fmt.Sprintf("http://%s:%d/radishramp/readyz", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (v *vm) waitUntilReady() error {
	for range 200 {
		if v.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("entry VM %s did not become ready", v.name)
}

// startVMs starts all entry VMs and waits until they are ready.
func (e *env) startVMs() error {
	for _, v := range e.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range e.vms {
		if err := v.waitUntilReady(); err != nil {
			return err
		}
	}
	return nil
}
