package radishgroup

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/oklog/run"
)

// AddHTTPServer adds an actor to the group that serves HTTP on the listener until the group is stopped. A graceful shutdown of
// the server does not stop the group, although Serve then returns at once: whoever shuts the server down also stops the
// group.
func AddHTTPServer(group *run.Group, server *http.Server, listener net.Listener) {
	stopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			<-stopped
			return nil
		}
		return err
	}, func(error) {
		_ = server.Close()
		close(stopped)
	})
}

// AddLoop adds an actor to the group that runs the loop until the group is stopped or ctx is done.
func AddLoop(ctx context.Context, group *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}
