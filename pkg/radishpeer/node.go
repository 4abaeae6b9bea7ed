package radishpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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

// Times and sizes of the links.
const (
	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
	// maxMessageBytes bounds one message: a snapshot of all rules is the largest.
	maxMessageBytes = 16 << 20
)

// Peer is another entry VM.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
}

// peerKey tells a peer from one with the same name at another address.
type peerKey struct{ name, address string }

// Handler answers calls of peers.
type Handler interface {
	// Handle returns the response to a request of the peer named in it; an error reaches the caller as text.
	Handle(ctx context.Context, req *radishpeerpb.Request) (*radishpeerpb.Response, error)
}

// Node holds the links of one VM; set the exported fields before Run.
type Node struct {
	// Name is the VM's own name.
	Name string
	// Listener accepts links from peers.
	Listener net.Listener
	// Dial opens a connection; a TCP dialer when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handler answers the calls of peers.
	Handler Handler
	Log     hclog.Logger

	mu    sync.Mutex
	wg    sync.WaitGroup
	links map[string]*link
	// awaited holds peers without a link that count as in reach; changed is closed when that ends early.
	awaited map[string]awaited
	changed chan struct{}
	dials   map[peerKey]context.CancelFunc
	peers   []Peer
	root    context.Context

	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
}

// Traffic returns the bytes sent to and received from all peers so far.
func (n *Node) Traffic() (sent, received int64) {
	return n.bytesSent.Load(), n.bytesReceived.Load()
}

// Run accepts links until ctx ends, then closes all of them.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.root = ctx
	n.links = make(map[string]*link)
	n.awaited = make(map[string]awaited)
	n.changed = make(chan struct{})
	n.dials = make(map[peerKey]context.CancelFunc)
	n.dialPeers()
	n.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = n.Listener.Close() })
	defer stop()
	err := n.acceptLinks(ctx)
	cancel()
	n.closeLinks()
	n.wg.Wait()
	return err
}

func (n *Node) acceptLinks(ctx context.Context) error {
	for {
		conn, err := n.Listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return trace.Wrap(err)
		}
		n.wg.Go(func() { n.serveConn(ctx, conn, "") })
	}
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.root = nil
	for _, l := range n.links {
		_ = l.session.Close()
	}
}

// SetPeers makes the node keep links to these peers, one goroutine a peer; links to others are dropped.
func (n *Node) SetPeers(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = peers
	if n.root != nil {
		n.dialPeers()
	}
}

func (n *Node) dialPeers() {
	wanted := make(map[peerKey]bool, len(n.peers))
	for _, p := range n.peers {
		key := peerKey{name: p.Name, address: p.Address}
		wanted[key] = true
		if n.dials[key] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(n.root)
		n.dials[key] = cancel
		n.await(p.Name)
		n.wg.Go(func() { n.keepLink(ctx, p) })
	}
	for key, cancel := range n.dials {
		if !wanted[key] {
			cancel()
			delete(n.dials, key)
			delete(n.awaited, key.name)
		}
	}
}

// serveConn runs one session until it breaks; name is the dialled peer, empty for an accepted connection.
func (n *Node) serveConn(ctx context.Context, conn net.Conn, name string) {
	cfg := yamux.DefaultConfig()
	// Heartbeats find dead links, so yamux's own pings would only add traffic.
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	counted := &countedConn{Conn: conn, node: n}
	var session *yamux.Session
	var err error
	if name == "" {
		session, err = yamux.Server(counted, cfg)
	} else {
		session, err = yamux.Client(counted, cfg)
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	if name != "" {
		// The first call tells the peer who dialled, so that it can call back over the same session. The kernel takes
		// connections for a process that stands still, so that the peer counts as linked only once it has answered.
		if _, err := n.callSession(ctx, session, &radishpeerpb.Request{From: n.Name}); err != nil {
			n.Log.Debug("peer took the connection but did not answer", "peer", name, "error", err.Error())
			return
		}
		n.addLink(name, session)
	}
	n.serveStreams(ctx, session)
	n.dropLink(session, isReset(counted.failure()))
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
	res, err := n.Handler.Handle(ctx, &req)
	if err != nil {
		res = &radishpeerpb.Response{Error: err.Error()}
	}
	_, _ = protodelim.MarshalTo(stream, res)
}

// cancelOnClose ends a call's work when the caller gives it up: callers send nothing after the request.
func cancelOnClose(stream *yamux.Stream, cancel context.CancelFunc) {
	var b [1]byte
	_, _ = stream.Read(b[:])
	cancel()
}

// Call sends the request to the named peer; radish.ErrUnavailable when there is no link or it breaks, radish.ErrReset as
// well when the link is opened anew.
func (n *Node) Call(ctx context.Context, name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	session, err := n.session(ctx, name)
	if err != nil {
		return nil, err
	}
	req.From = n.Name
	res, err := n.callSession(ctx, session, req)
	if err != nil && n.isRelinked(name, session) {
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

// Ping returns once the named peer has answered; radish.ErrSilent when it has not before ctx ends, radish.ErrUnavailable
// when there is no open link or it breaks, which tells nothing of the peer.
func (n *Node) Ping(ctx context.Context, name string) error {
	session := n.linkTo(name)
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
	if left := time.Until(deadline); left > DefaultCallTimeout {
		req.TimeoutMs = uint32(left.Milliseconds())
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
