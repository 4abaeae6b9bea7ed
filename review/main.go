// Command standin plays one case of the review: it starts entry VMs as separate processes, with stand-ins for the platform's
// store, the workers and the clients, and exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions; each case adds itself.
var cases = make(map[string]func(e *env) error)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(e *env) error, folder string) int {
	e, err := newEnv(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer e.close()
	go e.closeEarly()
	if err := run(e); err != nil {
		e.record.add("standin", "the case could not run: %v", err)
		return exitNotRun
	}
	n := e.record.violations()
	e.record.add("standin", "rule broken %d times", n)
	if n > 0 {
		return exitBroken
	}
	return exitHeld
}

// env is what the cases share.
type env struct {
	root    string // the repository
	temp    string
	trouble bool
	network string // the first three numbers of the entry VMs' loopback addresses
	record  *record
	store   *store
	vms     []*vm
	closers []func()

	// startMu guards isClosing and the start of processes, so that none is started after close has begun.
	startMu   sync.Mutex
	isClosing bool
}

func newEnv(folder string) (*env, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, binary)); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	e := &env{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: r, network: freeNetwork()}
	e.store, err = newStore(e)
	if err != nil {
		return nil, err
	}
	r.add("standin", "trouble: %t", e.trouble)
	return e, nil
}

// timeLimit is the longest time that a case may take.
const timeLimit = 118 * time.Second

// closeEarly ends the case, and all processes that it started, when it is told to stop or takes too long.
func (e *env) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	e.close()
	os.Exit(exitNotRun)
}

// close ends all processes that the case started.
func (e *env) close() {
	e.startMu.Lock()
	e.isClosing = true
	e.startMu.Unlock()
	for _, v := range e.vms {
		v.kill()
	}
	for _, c := range e.closers {
		c()
	}
	e.record.close()
	_ = os.RemoveAll(e.temp)
}
