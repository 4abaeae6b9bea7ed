// Command standin plays the cases of the second review: it is the platform's store, the workers, the balancer's checks and the clients, and it
// starts the project's program as its deploy file does. It uses the standard library only.
package main

import (
	"bufio"
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

// Results of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trouble is whether the disruption of the case is played.
var trouble = os.Getenv("TROUBLE") != "0"

var (
	startedAt = time.Now()
	recordMu  sync.Mutex
	record    io.Writer
)

// note writes a line to the record, with the seconds since the start.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
}

var vms []*vm

// folders are the temporary folders of the case, with the settings of the VMs.
var folders []string

// finish ends all processes of the case and removes its temporary folders.
func finish(code int) {
	for _, v := range vms {
		v.kill()
	}
	for _, dir := range folders {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

func fatal(format string, args ...any) {
	note("the case could not run: "+format, args...)
	finish(exitNotRun)
}

// verdict writes the result and ends the case.
func verdict(isBroken bool, text string) {
	if isBroken {
		note("RULE BROKEN: %s", text)
		finish(exitBroken)
	}
	note("rule held: %s", text)
	finish(exitHeld)
}

// newIP returns a loopback address that is probably used by nobody else, so that each VM can have the fixed ports of the deploy file.
func newIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
}

// vm is an entry VM that runs as a process with the command of the deploy file.
type vm struct {
	name, ip, settings string
	cmd                *exec.Cmd
	exited             chan struct{}
}

const (
	frontPort   = "8625"
	readyPort   = "8621"
	controlPort = "8628"
	memoryMB    = 206
	graceS      = 8
	drainMs     = 2000
	stabilityMs = 3000
)

// startVMs starts n more entry VMs in one data centre and waits until all are ready. The first ones of all are the seeds.
func startVMs(s *store, n int) []*vm {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fatal("%v", err)
	}
	folders = append(folders, dir)
	first := len(vms)
	for i := first; i < first+n; i++ {
		vms = append(vms, &vm{name: fmt.Sprintf("front-%d", i+1), ip: newIP(), settings: filepath.Join(dir, fmt.Sprintf("boot-%d.conf", i+1))})
	}
	seeds := make([]string, 0, len(vms))
	for _, v := range vms {
		seeds = append(seeds, v.ip+":"+controlPort)
	}
	added := vms[first:]
	for _, v := range added {
		text := strings.Join([]string{
			"node_name=" + v.name, "role=entry", "machine_class=front", "serves=front,control", "ip=" + v.ip, "zone=z1", "region=r1", "zones.z1=r1",
			"bind_addresses.front=" + v.ip + ":" + frontPort, "bind_addresses.ready=" + v.ip + ":" + readyPort,
			"bind_addresses.control=" + v.ip + ":" + controlPort, "internal_port_range=7740,7755", "seeds=" + strings.Join(seeds[:min(3, len(seeds))], ","),
			"bootstrap=true", "in_tolerance=false", "limits.cpu_share=0.272", "limits.cpu_cores=1", fmt.Sprintf("limits.memory_mb=%d", memoryMB),
			"limits.max_fds=2870", "limits.link_mbps=700.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
			"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
			"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2",
			fmt.Sprintf("bounds.stability_window_ms=%d", stabilityMs), "bounds.ack_ms=4000", "bounds.catch_up_s=4", fmt.Sprintf("bounds.drain_ms=%d", drainMs),
			fmt.Sprintf("bounds.grace_s=%d", graceS), "bounds.lost_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
			"bounds.outer_ms=5000", "bounds.strict_revocation=false", "bounds.revoke_ms=5000", "bounds.budget_ratio=0.2", "bounds.budget_window_s=10",
			"bounds.budget_slack=119", "bounds.cold_over=1.5", "bounds.cold_slack=5", "bounds.evac_ms=5000", "bounds.recover_s=12",
			"bounds.pass_ms=120", "bounds.again_s=10", "platform.address=" + s.address, "platform.form=objects", "platform.writes_per_s=400",
			"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "",
		}, "\n")
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			fatal("%v", err)
		}
		v.start()
	}
	for _, v := range added {
		v.awaitReady()
	}
	return added
}

// start starts the process with the run line of the deploy file, in the repository's root.
func (v *vm) start() {
	v.cmd = exec.Command("target/radishramp", "site")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RADISHRAMP_BOOT=" + v.settings}
	if err := v.cmd.Start(); err != nil {
		fatal("start: %v", err)
	}
	cmd, exited := v.cmd, make(chan struct{})
	v.exited = exited
	note("%s starts as process %d at %s", v.name, cmd.Process.Pid, v.ip)
	go func() {
		err := cmd.Wait()
		note("%s ended: %v", v.name, err)
		close(exited)
	}()
}

func (v *vm) kill() {
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
}

func (v *vm) signal(sig syscall.Signal) {
	note("%s gets %v", v.name, sig)
	_ = v.cmd.Process.Signal(sig)
}

// isReady asks as the platform's balancer does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + v.ip + ":" + readyPort + "/radishramp/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (v *vm) awaitReady() {
	for range 200 {
		if v.isReady() {
			note("%s is ready", v.name)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	fatal("%s is not ready", v.name)
}

// rssMB returns the process's resident memory.
func (v *vm) rssMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

const (
	host   = "app.example"
	apiKey = "9dnn2ctnfzs989anu6ws"
)

// newID returns a new Attempt-Id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client got for one attempt. Status is 0 if there was no answer; err is set if the answer is missing or not complete.
type answer struct {
	status int
	stamp  string
	body   []byte
	err    error
}

// connect opens a client's connection to the VM.
func (v *vm) connect() (net.Conn, error) {
	return net.DialTimeout("tcp", v.ip+":"+frontPort, time.Second)
}

// request returns the bytes of a client's request.
func request(method, path, id string, deadlineMs int, headers []string, body string) string {
	lines := []string{
		method + " " + path + " HTTP/1.1", "Host: " + host, "Attempt-Id: " + id, fmt.Sprintf("Deadline-Ms: %d", deadlineMs),
		"Authorization: Token " + apiKey,
	}
	lines = append(lines, headers...)
	if body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// exchange sends the request on the connection and reads the answer until the deadline.
func exchange(conn net.Conn, text string, deadlineMs int) answer {
	_ = conn.SetDeadline(time.Now().Add(time.Duration(deadlineMs) * time.Millisecond))
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	a := answer{status: res.StatusCode, stamp: res.Header.Get("Response-Stamp")}
	a.body, a.err = io.ReadAll(res.Body)
	return a
}

// call sends one request on a new connection.
func (v *vm) call(method, path, id string, deadlineMs int, headers []string, body string) answer {
	conn, err := v.connect()
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return exchange(conn, request(method, path, id, deadlineMs, headers, body), deadlineMs)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	record = file
	cases := map[string]func(){"stop": caseStop, "lapse": caseLapse, "join": caseJoin, "evidence": caseEvidence}
	play := cases[os.Args[1]]
	if play == nil {
		fatal("there is no case %s", os.Args[1])
	}
	note("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(115*time.Second, func() { fatal("it takes too long") })
	play()
}
