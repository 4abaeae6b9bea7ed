package radishconn

import (
	"net"
	"sync"
	"time"
)

// listener accepts connections within the limit until it is stopped.
type listener struct {
	*HeadListener
	limiter *Limiter
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener. Once the listener is stopped, it waits until the listener is closed, so that the HTTP server goes on to serve
// the open connections.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, l.acceptError(err)
		}
		if l.limiter.admit(c, time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
}

// acceptError returns the error of Accept, after the wait for the end of a listener that was stopped.
func (l *listener) acceptError(err error) error {
	if !l.limiter.hasStopped() {
		return err
	}
	<-l.closed
	return net.ErrClosed
}

// stop makes the listener accept no more connections.
func (l *listener) stop() { _ = l.HeadListener.Close() }

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.HeadListener.Close()
	l.once.Do(func() { close(l.closed) })
	return err
}
