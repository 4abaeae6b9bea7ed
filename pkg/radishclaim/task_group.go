package radishclaim

import "sync"

// taskGroup runs tasks in the background. Unlike sync.WaitGroup it may start one from zero while Wait is called, as
// when the time to leave runs out before the last requests end.
type taskGroup struct {
	mu      sync.Mutex
	running int
	idle    chan struct{}
}

// Go runs the task on a goroutine of its own.
func (g *taskGroup) Go(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		g.idle = make(chan struct{})
	}
	g.running++
	go func() {
		defer g.end()
		task()
	}()
}

func (g *taskGroup) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 {
		close(g.idle)
	}
}

// Wait returns once no task that began before the call is left.
func (g *taskGroup) Wait() {
	g.mu.Lock()
	idle := g.idle
	g.mu.Unlock()
	if idle != nil {
		<-idle
	}
}
