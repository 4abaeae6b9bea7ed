package main

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// coldBound is the most requests within a second that a cold worker may get.
const coldBound float64 = coldPerSecond*coldOver + coldSlack

// Times of the cases with cold workers.
const (
	storeAway = 4500 * time.Millisecond
	coldAgain = 4500 * time.Millisecond
	// coldGrace is the time of a heartbeat and another second, in which the VMs can learn that a worker has turned cold.
	coldGrace = heartbeat + time.Second
	drainTime = 2 * time.Second
)

// newDeskWorker adds a worker of the service that crashes when it is cold and gets twice the bound. It must be started.
func (l *lab) newDeskWorker(number int, work time.Duration) (*worker, error) {
	w, err := l.newWorker(fmt.Sprintf("i-desk%d", number), "desk", fmt.Sprintf("z%d", 1+number%2), 8, work)
	if err != nil {
		return nil, err
	}
	w.coldCrash = int(math.Ceil(2 * coldBound))
	return w, nil
}

// startDesk starts the store and warm workers of the service, and writes the first configuration.
func (l *lab) startDesk(workers int, work time.Duration) error {
	if err := l.startStore(); err != nil {
		return err
	}
	for i := range workers {
		w, err := l.newDeskWorker(i+1, work)
		if err != nil {
			return err
		}
		if err := w.start(0); err != nil {
			return err
		}
	}
	time.Sleep(100 * time.Millisecond)
	l.publish(newConfig(), "the first one")
	return nil
}

// playCold turns one worker of six cold. While the store is away, only the worker's health answers say so.
func playCold(l *lab) (bool, error) {
	if err := l.startDesk(6, 150*time.Millisecond); err != nil {
		return false, err
	}
	if err := l.startVMs(3); err != nil {
		return false, err
	}
	end := l.load(http.MethodPost, "/order/1", "key-north-1", 5*time.Second, 80)
	time.Sleep(8 * time.Second)
	if l.trouble {
		l.store.shut()
		l.note("the store is away")
	}
	time.Sleep(100 * time.Millisecond)
	l.workers[0].turnCold(coldAgain, coldGrace)
	l.note("worker %s turns cold for %v", l.workers[0].id, coldAgain)
	time.Sleep(storeAway - 100*time.Millisecond)
	if l.trouble {
		if err := l.store.open(); err != nil {
			return false, err
		}
		l.note("the store is back")
	}
	time.Sleep(6 * time.Second)
	return l.judgeCold(end()), nil
}

// playMembers lets the store come back from a copy that is older than the records of the VMs, and later replaces the workers of the service,
// so that for a second all of them are cold.
func playMembers(l *lab) (bool, error) {
	if err := l.startDesk(2, 20*time.Millisecond); err != nil {
		return false, err
	}
	stale := l.store.snapshot()
	copied := time.Now()
	if err := l.startVMs(4); err != nil {
		return false, err
	}
	time.Sleep(drillCopyAge - time.Since(copied))
	if l.trouble {
		if err := l.drill(stale); err != nil {
			return false, err
		}
	}
	time.Sleep(stableFor)
	cfg := newConfig()
	for i := range 6 {
		cfg.Version++
		cfg.Routes[1].TimeoutMs = 4900 - 100*i
		l.publish(cfg, fmt.Sprintf("r-read has a timeout of %d ms", cfg.Routes[1].TimeoutMs))
		time.Sleep(time.Second)
	}
	time.Sleep(8 * time.Second)
	end := l.load(http.MethodPost, "/order/1", "key-north-1", 5*time.Second, 30)
	time.Sleep(2 * time.Second)
	for i := range 2 {
		w, err := l.newDeskWorker(3+i, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		if err := w.start(coldStart); err != nil {
			return false, err
		}
		l.note("worker %s starts, cold for %v", w.id, coldStart)
		l.workers[i].leave()
		time.Sleep(time.Second)
	}
	time.Sleep(5 * time.Second)
	return l.judgeCold(end()), nil
}

// judgeCold reports whether a cold worker got more requests within a second than it may.
func (l *lab) judgeCold(answers []answer) bool {
	broken := false
	l.note("answers by status: %v", countStatus(answers))
	for _, w := range l.workers {
		most, from := w.worstColdSecond()
		text := ""
		if most > 0 {
			text = fmt.Sprintf(", from %.3f s on", from.Sub(l.startedAt).Seconds())
		}
		l.note("worker %s: %d arrivals, at most %d within a second while cold (bound %.2f)%s; crashed: %v with %d unfinished", w.id, len(w.all()), most,
			coldBound, text, w.hasCrashed, w.crashedUnder)
		broken = broken || float64(most) > coldBound
	}
	return broken
}
