package radishconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// startDrain drains the server's connections, and returns a channel for the result.
func (s *testServer) startDrain() <-chan error {
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		drained <- s.limiter.Drain(ctx)
	}()
	for !s.limiter.hasStopped() {
		time.Sleep(time.Millisecond)
	}
	return drained
}

// TestRequestReadAsDrainBeginsIsAnswered guards against a planned stop that drops a request that has just been read.
func TestRequestReadAsDrainBeginsIsAnswered(t *testing.T) {
	for _, isKept := range []bool{true, false} {
		s := newTestServer(t, 0)
		c := s.dial()
		if isKept {
			s.mustExchange(c)
		}
		var drained <-chan error
		drain := func() { drained = s.startDrain() }
		s.onRead.Store(&drain)
		if status, err := c.exchange(); status != http.StatusOK {
			t.Errorf("kept %t: status %d, error %v", isKept, status, err)
		}
		if err := <-drained; err != nil {
			t.Errorf("kept %t: drain: %v", isKept, err)
		}
	}
}

// TestDrainWaitsForRequests guards against a planned stop that ends before all requests have been answered, and against one that waits
// for callers that send none.
func TestDrainWaitsForRequests(t *testing.T) {
	s := newTestServer(t, 0)
	release := make(chan struct{})
	s.onRequest = func() { <-release }
	idle, silent, part, running := s.dial(), s.dial(), s.dial(), s.dial()
	if err := errors.Join(part.send(testRequest[:10]), running.send(testRequest)); err != nil {
		t.Fatal(err)
	}
	for s.handled.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	s.onRequest = nil
	s.mustExchange(idle)
	startedAt := time.Now()
	drained := s.startDrain()
	for _, c := range []*testCaller{idle, silent, part} {
		if _, err := c.status(); err == nil {
			t.Error("a connection without a whole request got a response")
		}
	}
	if took := time.Since(startedAt); took > 2*minNewAge {
		t.Errorf("connections without a whole request were closed after %v, want %v", took, minNewAge)
	}
	if _, err := net.DialTimeout("tcp", s.address, testTimeout); err == nil {
		t.Error("a connection was accepted after the drain had begun")
	}
	select {
	case err := <-drained:
		t.Errorf("the drain ended before the last request: %v", err)
	default:
	}
	close(release)
	if status, err := running.status(); status != http.StatusOK {
		t.Errorf("running request: status %d, error %v", status, err)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
}

// TestDrainHasItsTime guards against a planned stop that waits for a request beyond its time.
func TestDrainHasItsTime(t *testing.T) {
	s := newTestServer(t, 0)
	release := make(chan struct{})
	defer close(release)
	s.onRequest = func() { <-release }
	if err := s.dial().send(testRequest); err != nil {
		t.Fatal(err)
	}
	for s.handled.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := s.limiter.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v", err)
	}
}

// TestDrainEndsLateHeads guards against a caller that begins a request after its last one and does not go on, which kept a VM from stopping.
func TestDrainEndsLateHeads(t *testing.T) {
	for _, part := range []string{"GE", testRequest[:20]} {
		s := newTestServer(t, 0)
		release := make(chan struct{})
		s.onRequest = func() { <-release }
		c := s.dial()
		if err := c.send(testRequest + part); err != nil {
			t.Fatal(err)
		}
		for s.handled.Load() < 1 {
			time.Sleep(time.Millisecond)
		}
		drained := s.startDrain()
		time.Sleep(minNewAge + 2*drainInterval)
		close(release)
		endedAt := time.Now()
		if status, err := c.status(); status != http.StatusOK {
			t.Errorf("%q: status %d, error %v", part, status, err)
		}
		if err := <-drained; err != nil {
			t.Errorf("%q: drain: %v", part, err)
		}
		if took := time.Since(endedAt); took > 2*minNewAge {
			t.Errorf("%q: the drain went on for %v, want %v", part, took, minNewAge)
		}
	}
}
