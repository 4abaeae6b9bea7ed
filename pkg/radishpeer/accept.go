package radishpeer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the pause after a failed Accept, which doubles each time.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
	// acceptLogInterval is the shortest time between two log lines about failures of Accept.
	acceptLogInterval = 5 * time.Second
)

// acceptLinks accepts links until ctx ends. Errors of Accept other than a closed listener pass, such as a lack of descriptors, so that it
// tries again.
func (n *Node) acceptLinks(ctx context.Context) error {
	backoff := minAcceptBackoff
	var loggedAt time.Time
	for {
		conn, err := n.Listener.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				_ = conn.Close()
			}
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return trace.Wrap(err)
		case err != nil:
			n.acceptErrors.Add(1)
			if time.Since(loggedAt) >= acceptLogInterval {
				loggedAt = time.Now()
				n.Log.Warn("cannot accept a link, trying again", "error", err.Error(), "errors", n.acceptErrors.Load())
			}
			radish.Sleep(ctx, backoff)
			backoff = min(maxAcceptBackoff, 2*backoff)
		default:
			backoff = minAcceptBackoff
			n.wg.Go(func() { n.serveConn(ctx, conn, "") })
		}
	}
}
