package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// headsSize is the number of connections of the crowd with long heads, crowdSize that of the other one.
	headsSize, crowdSize = 1000, 1100
	// calmSize is the size of a crowd without the disruption.
	calmSize = 10
	// longPrompt is the length of the prompt header of the crowd with long heads. The whole head is below the limit of 16,384 bytes.
	longPrompt = 15000
	// memoryMB is the memory of a VM.
	memoryMB = 206
	// rounds is the number of ends of a process, and minMachines that of machines, from which on the rule is broken; roundTime is the time of a
	// round.
	rounds, minMachines = 3, 2
	roundTime           = 6 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// bodySize is the length that the bodies announce; they stop a byte short of it.
	bodySize = 4096
	// maxOther is the number of other files that a process opens.
	maxOther = 500
	// newClients is the number of ordinary clients that try new connections at the same time.
	newClients = 8
	// triesEvery is the time between two tries, crowdWatch how long they go on.
	triesEvery = 250 * time.Millisecond
	crowdWatch = 9 * time.Second
)

// errDescriptors reports that this machine allows too few open files for a crowd.
var errDescriptors = errors.New("too few open files are allowed on this machine")

// checkDescriptors returns an error if the processes of a case with crowds at the given number of VMs may not open enough connections.
func checkDescriptors(vms int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Max < uint64(vms*crowdSize+maxOther) {
		return fmt.Errorf("%w: %d", errDescriptors, limit.Max)
	}
	return nil
}

// openCrowd opens n requests at the VM whose bodies stop just short of their end and stay open.
func (l *lab) openCrowd(v *vm, n int, prompt string) (conns []net.Conn) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", v.front, time.Second)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %016x\r\nAuthorization: Token key-south-1\r\n"+
				"Deadline-Ms: 12000\r\nPrompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n%s", i, prompt, bodySize, strings.Repeat("x", bodySize-1))
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, conn)
		})
	}
	wg.Wait()
	l.note("%d requests at %s stop a byte short of the end of their bodies and stay open", len(conns), v.name)
	return conns
}

// playHeads opens, in several rounds, requests at both VMs with heads of legal size that hold a list of very many parts of a prompt. The
// platform kills a process that takes more than its memory, and starts it again. The rule is broken if that happens often enough to both.
func playHeads(l *lab) (bool, error) {
	if err := checkDescriptors(2); err != nil {
		return false, err
	}
	if err := l.startDesk(2, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := l.startVMs(2); err != nil {
		return false, err
	}
	prompt := "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	if l.trouble {
		prompt = strings.Repeat(",", longPrompt)
	}
	end := l.load(http.MethodPost, "/order/1", "key-north-1", 5*time.Second, 20)
	time.Sleep(2 * time.Second)
	ends := make([]int, len(l.vms))
	for range rounds {
		var crowds sync.WaitGroup
		for i, v := range l.vms {
			crowds.Go(func() {
				if l.playRound(v, prompt) {
					ends[i]++
				}
			})
		}
		crowds.Wait()
		for _, v := range l.vms {
			if err := v.awaitReady(readyTimeout); err != nil {
				return false, err
			}
		}
	}
	answers := end()
	cut := 0
	for _, a := range answers {
		if _, ok := l.tenantOf(a.id); ok && a.status == 0 {
			cut++
		}
	}
	l.note("ordinary orders by status: %v; %d without an answer had run", countStatus(answers), cut)
	broken := 0
	for i, v := range l.vms {
		l.note("%s ended %d times for its memory", v.name, ends[i])
		if ends[i] >= rounds {
			broken++
		}
	}
	return broken >= minMachines, nil
}

// playRound opens a crowd with the prompt at the VM and closes it after some seconds. It reports whether the VM took more than its memory.
func (l *lab) playRound(v *vm, prompt string) bool {
	begin := time.Now()
	go func() {
		conns := l.openCrowd(v, headsSize, prompt)
		time.Sleep(roundTime - time.Since(begin))
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	most := 0
	for time.Since(begin) < roundTime {
		most = max(most, v.residentMB())
		if most > memoryMB {
			l.note("%s takes %d MB of its %d MB after %.1f s: the platform kills it and starts it again", v.name, most, memoryMB, time.Since(begin).Seconds())
			v.kill()
			time.Sleep(restartDelay)
			if err := v.start(); err != nil {
				l.note("%s cannot start: %v", v.name, err)
			}
			time.Sleep(roundTime - time.Since(begin))
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.note("%s took up to %d MB of its %d MB", v.name, most, memoryMB)
	return false
}

// playCrowd lets ordinary clients try new connections beside a crowd. The rule is broken if for the whole stability window the VM says that it
// is ready and takes none of them.
func playCrowd(l *lab) (bool, error) {
	if err := checkDescriptors(1); err != nil {
		return false, err
	}
	if err := l.startDesk(2, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := l.startVMs(2); err != nil {
		return false, err
	}
	v := l.vms[0]
	size := calmSize
	if l.trouble {
		size = crowdSize
	}
	conns := l.openCrowd(v, size, "91bd3f06:410")
	var deafSince time.Time
	longest := time.Duration(0)
	taken, tried := 0, 0
	for begin := time.Now(); time.Since(begin) < crowdWatch; time.Sleep(triesEvery) {
		startedAt := time.Now()
		isReady := v.awaitReady(100*time.Millisecond) == nil
		n := l.tryNewClients(v)
		taken, tried = taken+n, tried+newClients
		l.line(fmt.Sprintf("%s is ready: %v; of %d clients with new connections it takes %d", v.name, isReady, newClients, n))
		if !isReady || n > 0 {
			deafSince = time.Time{}
			continue
		}
		if deafSince.IsZero() {
			deafSince = startedAt
		}
		longest = max(longest, time.Since(deafSince))
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	l.note("%d of %d new connections of ordinary clients were taken; the longest time for which %s was ready and took none is %.1f s (bound %.1f s)", taken,
		tried, v.name, longest.Seconds(), stableFor.Seconds())
	return longest > stableFor, nil
}

// tryNewClients returns how many of several clients get an answer on a new connection.
func (l *lab) tryNewClients(v *vm) int {
	var taken atomic.Int32
	var wg sync.WaitGroup
	for range newClients {
		wg.Go(func() {
			c := l.newClient(v)
			if a := c.send(http.MethodPost, "/order/1", "key-north-1", 1500*time.Millisecond); a.status != 0 {
				taken.Add(1)
			}
			c.http.CloseIdleConnections()
		})
	}
	wg.Wait()
	return int(taken.Load())
}
