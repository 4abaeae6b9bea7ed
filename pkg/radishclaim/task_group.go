package radishclaim

import "sync"

// taskGroup runs tasks in the background. Unlike with a sync.WaitGroup, a task may be started while the count is zero
// and Wait is being called. This happens if the shutdown period ends before the last requests do.
type taskGroup struct {
	mu      sync.Mutex
	running int
	idle    chan struct{}
}

// Go runs the task in a new goroutine.
func (g *taskGroup) Go(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		g.idle = make(chan struct{})
	}
	g.running++
	go func() {
		defer g.taskDone()
		task()
	}()
}

func (g *taskGroup) taskDone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 {
		close(g.idle)
	}
}

// Wait blocks until all tasks that were started before the call have ended.
func (g *taskGroup) Wait() {
	g.mu.Lock()
	idle := g.idle
	g.mu.Unlock()
	if idle != nil {
		<-idle
	}
}
