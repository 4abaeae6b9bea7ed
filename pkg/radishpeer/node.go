package radishpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// Limits of calls between peers.
const (
	// DefaultCallTimeout limits a call whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
	// maxMessageBytes limits the size of one message. The largest message is a snapshot of all rules.
	maxMessageBytes = 16 << 20
)

// Peer is another entry VM. The Name of a VM that is configured by its address alone is that address.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
}

// peerKey identifies a peer by name and address, since a VM can be replaced by one with the same name at another address.
type peerKey struct{ name, address string }

// Handler handles calls from peers.
type Handler interface {
	// Handle returns the response to a request. The request names the calling peer, which receives the text of an error.
	Handle(ctx context.Context, req *radishpeerpb.Request) (*radishpeerpb.Response, error)
}

// Node manages the links of one VM. Set the exported fields before Run.
type Node struct {
	// Name is the name of this VM.
	Name string
	// Listener accepts links from peers.
	Listener net.Listener
	// Dial opens a connection. If it is nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handler handles the calls from peers.
	Handler Handler
	Log     hclog.Logger

	mu sync.Mutex
	wg sync.WaitGroup
	// links maps the names of peers to their links.
	links map[string]*link
	// pending maps the names of peers without a link that count as reachable to their expected links. pendingChanged is
	// closed and replaced when the wait for one of them ends before its time.
	pending        map[string]pendingLink
	pendingChanged chan struct{}
	// dialCancels maps peers to functions that stop the goroutines that keep their links.
	dialCancels map[peerKey]context.CancelFunc
	peers       []Peer
	// runCtx is the context of Run, and nil while Run is not active.
	runCtx context.Context

	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
	panics        atomic.Int64
	acceptErrors  atomic.Int64
}

// AcceptErrors returns how often accepting a link failed, for example because the process has no descriptor left.
func (n *Node) AcceptErrors() int64 { return n.acceptErrors.Load() }

// Panics returns how many calls of peers ended because the handler panicked.
func (n *Node) Panics() int64 { return n.panics.Load() }

// Traffic returns the number of bytes sent to and received from all peers so far.
func (n *Node) Traffic() (sent, received int64) {
	return n.bytesSent.Load(), n.bytesReceived.Load()
}

// Run accepts and dials links until ctx ends, then closes all of them.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.runCtx = ctx
	n.links = make(map[string]*link)
	n.pending = make(map[string]pendingLink)
	n.pendingChanged = make(chan struct{})
	n.dialCancels = make(map[peerKey]context.CancelFunc)
	n.updateDials()
	n.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = n.Listener.Close() })
	defer stop()
	err := n.acceptLinks(ctx)
	cancel()
	n.closeLinks()
	n.wg.Wait()
	return err
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runCtx = nil
	for _, l := range n.links {
		_ = l.session.Close()
	}
}

// SetPeers sets the peers to which the node keeps links, with one goroutine per peer. It closes the links that this node
// dialled to peers that are no longer in the list.
func (n *Node) SetPeers(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = peers
	if n.runCtx != nil {
		n.updateDials()
	}
}

// updateDials starts and stops the goroutines that keep the links, so that they match peers. The caller holds mu.
func (n *Node) updateDials() {
	current := make(map[peerKey]bool, len(n.peers))
	for _, p := range n.peers {
		key := peerKey{name: p.Name, address: p.Address}
		current[key] = true
		if n.dialCancels[key] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(n.runCtx)
		n.dialCancels[key] = cancel
		n.expectFirstLink(p.Name)
		n.wg.Go(func() { n.maintainLink(ctx, p) })
	}
	for key, cancel := range n.dialCancels {
		if !current[key] {
			cancel()
			delete(n.dialCancels, key)
			// A peer that is back at another address keeps the time that it has to connect.
			if !n.isListed(key.name) {
				delete(n.pending, key.name)
			}
		}
	}
}

// serveConn opens a session on the connection and serves it until it ends. name is the peer that was dialled, or "" for an
// accepted connection.
func (n *Node) serveConn(ctx context.Context, conn net.Conn, name string) {
	cfg := yamux.DefaultConfig()
	// The VMs detect broken links by heartbeats, so yamux's own pings would only add traffic.
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	counting := &countingConn{Conn: conn, node: n}
	var session *yamux.Session
	var err error
	if name == "" {
		session, err = yamux.Server(counting, cfg)
	} else {
		session, err = yamux.Client(counting, cfg)
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	if name != "" {
		// The first call gives the peer the name of this VM, so that it can call back over the same session. The kernel
		// accepts connections on behalf of a frozen process too, so the peer counts as linked only once it has responded.
		if _, err := n.callSession(ctx, session, &radishpeerpb.Request{From: n.Name}); err != nil {
			n.Log.Debug("peer accepted the connection but did not respond", "peer", name, "error", err.Error())
			return
		}
		n.addLink(name, session)
	}
	n.serveStreams(ctx, session)
	n.removeLink(session, isConnReset(counting.firstReadErr()))
}

func (n *Node) serveStreams(ctx context.Context, session *yamux.Session) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		calls.Go(func() { n.serveCall(ctx, session, stream) })
	}
}

func (n *Node) serveCall(ctx context.Context, session *yamux.Session, stream *yamux.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(DefaultCallTimeout))
	var req radishpeerpb.Request
	if err := readMessage(stream, &req); err != nil {
		return
	}
	if !n.hasLink(req.GetFrom(), session) {
		n.addLink(req.GetFrom(), session)
	}
	if req.GetBody() == nil {
		_, _ = protodelim.MarshalTo(stream, &radishpeerpb.Response{})
		return
	}
	timeout := max(DefaultCallTimeout, time.Duration(req.GetTimeoutMs())*time.Millisecond)
	_ = stream.SetDeadline(time.Now().Add(timeout))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go cancelOnClose(stream, cancel)
	res, err := n.handle(ctx, &req)
	if err != nil {
		res = &radishpeerpb.Response{Error: err.Error()}
	}
	_, _ = protodelim.MarshalTo(stream, res)
}

// errHandlerPanicked reports that a call ended because of a fault in the handler.
var errHandlerPanicked = errors.New("internal error")

// handle calls the handler. A panic ends only the call, since a request that triggers it may come from every peer at once.
func (n *Node) handle(ctx context.Context, req *radishpeerpb.Request) (res *radishpeerpb.Response, err error) {
	defer func() {
		if v := recover(); v != nil {
			n.panics.Add(1)
			n.Log.Error("handler of a peer's call panicked", "peer", req.GetFrom(), "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
			res, err = nil, errHandlerPanicked
		}
	}()
	return n.Handler.Handle(ctx, req)
}

// cancelOnClose calls cancel when the caller closes the stream, so that the handler stops. Callers send nothing after the
// request, so the read returns only then.
func cancelOnClose(stream *yamux.Stream, cancel context.CancelFunc) {
	var b [1]byte
	_, _ = stream.Read(b[:])
	cancel()
}

// Call sends the request to the named peer and returns its response. It returns radish.ErrUnavailable if there is no link
// or the link breaks, and also radish.ErrLinkReset if the link broke but the peer still counts as reachable.
func (n *Node) Call(ctx context.Context, name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	session, err := n.awaitSession(ctx, name)
	if err != nil {
		return nil, err
	}
	req.From = n.Name
	res, err := n.callSession(ctx, session, req)
	if err != nil && n.isRelinking(name, session) {
		return nil, fmt.Errorf("call to %s: %w, %w: %w", name, radish.ErrUnavailable, radish.ErrLinkReset, err)
	}
	if err != nil {
		return nil, trace.Wrap(radish.ErrUnavailable, "call to %s: %v", name, err)
	}
	if res.GetError() != "" {
		return nil, errors.New(res.GetError())
	}
	return res, nil
}

// Ping returns once the named peer has responded. It returns radish.ErrPeerTimeout if the peer has not responded before ctx
// ends, and radish.ErrUnavailable if there is no open link or the link breaks, which does not show whether
// the peer is running.
func (n *Node) Ping(ctx context.Context, name string) error {
	session := n.openSession(name)
	if session == nil {
		return trace.Wrap(radish.ErrUnavailable, "no open link to %s", name)
	}
	_, err := n.callSession(ctx, session, &radishpeerpb.Request{From: n.Name})
	switch {
	case err == nil:
		return nil
	case !session.IsClosed():
		return trace.Wrap(radish.ErrPeerTimeout, "ping of %s: %v", name, err)
	default:
		return trace.Wrap(radish.ErrUnavailable, "ping of %s: %v", name, err)
	}
}

func (n *Node) callSession(ctx context.Context, session *yamux.Session, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultCallTimeout)
	}
	if remaining := time.Until(deadline); remaining > DefaultCallTimeout {
		req.TimeoutMs = uint32(remaining.Milliseconds())
	}
	_ = stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	if _, err := protodelim.MarshalTo(stream, req); err != nil {
		return nil, err
	}
	var res radishpeerpb.Response
	if err := readMessage(stream, &res); err != nil {
		return nil, err
	}
	return &res, nil
}
