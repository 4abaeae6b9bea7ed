package radishstandin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
)

// TakenOrder is an order that changed a target's engine.
type TakenOrder struct {
	At     time.Time
	Fence  uint64
	Engine radish.Engine
}

// Engine returns the target's report of its engine.
func (t *Target) Engine() radish.EngineReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.engine
	report.IsLoading = time.Now().Before(t.loadUntil)
	return report
}

// Orders returns the orders that changed the engine so far.
func (t *Target) Orders() []TakenOrder {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.orders)
}

// TakeOrder changes the engine as ordered, or returns radish.ErrFenced.
func (t *Target) TakeOrder(engine radish.Engine, fence uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ChecksFencing && fence < t.engine.Fence {
		return radish.ErrFenced
	}
	t.engine.Fence = fence
	if t.engine.IsEqual(engine) {
		return nil
	}
	t.engine.Engine = engine
	t.orders = append(t.orders, TakenOrder{At: time.Now(), Fence: fence, Engine: engine})
	if t.LoadFor > 0 {
		t.coldSince = time.Now()
		t.loadUntil = time.Now().Add(t.LoadFor)
	}
	return nil
}

func (t *Target) putEngine(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseUint(r.Header.Get(radishtarget.HeaderFence), 10, 64)
	if err != nil {
		http.Error(w, radishtarget.HeaderFence+": "+err.Error(), http.StatusBadRequest)
		return
	}
	var engine radish.Engine
	if err := json.NewDecoder(r.Body).Decode(&engine); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := t.TakeOrder(engine, fence); errors.Is(err, radish.ErrFenced) {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// Orderer is one VM's way of giving orders to a fleet, which can be frozen between the VM's last test and the send;
// set the exported fields before first use.
type Orderer struct {
	Fleet *Fleet

	mu       sync.Mutex
	delay    time.Duration
	delaying sync.WaitGroup
}

var _ radish.OrderClient = (*Orderer)(nil)

// SetDelay makes orders arrive that much later, whatever their sender has given up meanwhile.
func (o *Orderer) SetDelay(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.delay = d
}

// Engine implements radish.OrderClient.
func (o *Orderer) Engine(ctx context.Context, target radish.Target) (radish.EngineReport, error) {
	t := o.Fleet.Target(target.Name)
	if t == nil || !sleep(ctx, o.Fleet.Latency) {
		return radish.EngineReport{}, radish.ErrUnavailable
	}
	return t.Engine(), nil
}

// Order implements radish.OrderClient.
func (o *Orderer) Order(ctx context.Context, order *radish.Order) error {
	t := o.Fleet.Target(order.Target.Name)
	if t == nil {
		return radish.ErrNotSent
	}
	o.mu.Lock()
	delay := o.delay
	o.mu.Unlock()
	if delay == 0 {
		sleep(ctx, o.Fleet.Latency)
		return t.TakeOrder(order.Engine, order.Fence)
	}
	o.delaying.Go(func() {
		time.Sleep(delay)
		_ = t.TakeOrder(order.Engine, order.Fence)
	})
	<-ctx.Done()
	return radish.ErrTargetFailed
}

// Wait returns once every delayed order has arrived.
func (o *Orderer) Wait() { o.delaying.Wait() }
