package radishgroup

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/oklog/run"
)

// AddHTTP serves until the group ends; a server that was shut down leaves the end of the group to who did that.
func AddHTTP(group *run.Group, server *http.Server, l net.Listener) {
	stopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(l)
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

// AddLoop runs a loop until the group or its context ends.
func AddLoop(ctx context.Context, group *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}
