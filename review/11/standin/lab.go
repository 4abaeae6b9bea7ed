package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is one deployment: the store, the workers and the entry VMs.
type lab struct {
	trouble   bool
	startedAt time.Time
	dir       string
	// network is the beginning of the loopback addresses of this run.
	network string
	hosts   int
	store   *store
	closing sync.Once

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	vms     []*vm
	workers []*worker
}

// newLab returns an empty deployment whose record goes to the file.
func newLab(recordFile string, trouble bool) (*lab, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		trouble: trouble, startedAt: time.Now(), dir: dir, network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250)),
		file: file, record: bufio.NewWriter(file),
	}
	l.note("disruption: %v", trouble)
	return l, nil
}

// close ends all processes of the lab.
func (l *lab) close() { l.closing.Do(l.end) }

func (l *lab) end() {
	for _, v := range l.vms {
		v.kill()
	}
	for _, w := range l.workers {
		w.stop()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush()
	_ = l.file.Close()
	_ = os.RemoveAll(l.dir)
}

// note writes a line with the time since the start to the record, and to standard output.
func (l *lab) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.line(text)
	fmt.Println(text)
}

// line writes a line with the time since the start to the record.
func (l *lab) line(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.startedAt).Seconds(), text)
}

// newHost returns a loopback address that this run has not used yet.
func (l *lab) newHost() string {
	l.hosts++
	return fmt.Sprintf("%s.%d", l.network, l.hosts)
}

// freePort returns a port that is free at the host, below the ports of outgoing connections.
func freePort(host string) (int, error) {
	for range 100 {
		port := 10000 + rand.IntN(20000)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err == nil {
			return port, ln.Close()
		}
	}
	return 0, errors.New("no free port")
}

// readyTimeout is how long a VM may take until it says that it is ready.
const readyTimeout = 15 * time.Second

// vm is an entry VM, a process of the project.
type vm struct {
	lab          *lab
	name         string
	front, ready string
	// settings is the path of its settings file.
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// vmSettings is the settings file of an entry VM.
const vmSettings = `node_name=%[1]s
role=entry
machine_class=front
serves=front,control
ip=%[2]s
zone=%[7]s
region=r1
zones.z1=r1
zones.z2=r1
bind_addresses.front=%[2]s:%[3]d
bind_addresses.ready=%[2]s:%[4]d
bind_addresses.control=%[2]s:%[5]d
internal_port_range=7740,7755
seeds=%[8]s
bootstrap=true
limits.cpu_share=0.272
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
bounds.stability_window_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.lost_ms=200
bounds.config_apply_ms=2000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=119
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.evac_ms=5000
bounds.recover_s=12
platform.address=%[6]s
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// startVMs starts n entry VMs in the zones z1 and z2, and waits until all are ready.
func (l *lab) startVMs(n int) error {
	type place struct {
		host                  string
		front, ready, control int
	}
	var places []place
	var seeds []string
	for range n {
		p := place{host: l.newHost()}
		var errs [3]error
		p.front, errs[0] = freePort(p.host)
		p.ready, errs[1] = freePort(p.host)
		p.control, errs[2] = freePort(p.host)
		if err := errors.Join(errs[:]...); err != nil {
			return err
		}
		places = append(places, p)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", p.host, p.control))
		}
	}
	for i, p := range places {
		v := &vm{
			lab: l, name: fmt.Sprintf("front-%d", i+1), front: fmt.Sprintf("%s:%d", p.host, p.front), ready: fmt.Sprintf("%s:%d", p.host, p.ready),
		}
		v.settings = filepath.Join(l.dir, v.name+".conf")
		text := fmt.Sprintf(vmSettings, v.name, p.host, p.front, p.ready, p.control, l.store.address, fmt.Sprintf("z%d", 1+i%2), strings.Join(seeds, ","))
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		l.vms = append(l.vms, v)
	}
	for _, v := range l.vms {
		if err := v.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.lab.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command("target/radishramp", "site")
	v.cmd.Env = []string{"RADISHRAMP_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func() {
		err := v.cmd.Wait()
		v.lab.line(fmt.Sprintf("vm %s ended: %v", v.name, err))
		_ = out.Close()
		close(v.exited)
	}()
	return nil
}

func (v *vm) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + v.ready + "/radishramp/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

func (v *vm) hasExited() bool {
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

func (v *vm) signal(s syscall.Signal) {
	if !v.hasExited() {
		_ = v.cmd.Process.Signal(s)
	}
}

// kill ends the process, also a stopped one.
func (v *vm) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.exited
}

// residentMB returns the resident memory of the process in MB, 0 if it has ended.
func (v *vm) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}
