package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
)

const (
	// maxLinksPerPeer is above 1 because a peer may connect again before the failure
	// of its old link is noticed.
	maxLinksPerPeer = 4
	// maxHandshakes limits the concurrent connections that are not yet authenticated.
	maxHandshakes = 64
)

// Node holds the links of one member to its peers. It calls methods of peers and
// serves theirs. It is safe for concurrent use.
type Node struct {
	options Options
	client  *http.Client
	stats   counters

	ctx        context.Context
	cancel     context.CancelFunc
	loops      sync.WaitGroup // dial loops and links
	handlers   handlerGate
	handshakes chan struct{} // semaphore of accepted connections in the handshake

	mu      sync.Mutex
	leaving bool // no link is opened any more
	closed  bool
	remotes map[string]*remote // by member id
	opening sync.WaitGroup     // links that are being opened; Add only with mu, while not leaving
}

var (
	_ rpc.Caller   = (*Node)(nil)
	_ http.Handler = (*Node)(nil)
)

// New returns a node without peers, or all problems of the options as one error. It
// must be closed with Close or Shutdown.
func New(o Options) (*Node, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.setDefaults()
	n := &Node{
		options:    o,
		client:     newHTTPClient(o),
		handlers:   handlerGate{idle: make(chan struct{})},
		handshakes: make(chan struct{}, maxHandshakes),
		remotes:    map[string]*remote{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

func newHTTPClient(o Options) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DialContext: o.Dial, TLSClientConfig: o.TLS},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SetMembers sets the addresses (host:port) of the peers by member id. The node
// keeps a link to each, and closes links that it opened to other peers or addresses.
// Its own id is ignored.
func (n *Node) SetMembers(addresses map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	for id, r := range n.remotes {
		if addresses[id] != r.address {
			r.stopDialing()
		}
	}
	for id, address := range addresses {
		if id != n.options.Self && address != "" {
			n.startDialing(n.remote(id), address)
		}
	}
	n.removeUnused()
}

// remote returns the peer with an id and adds it if needed. The caller holds n.mu.
func (n *Node) remote(id string) *remote {
	r, ok := n.remotes[id]
	if !ok {
		r = newRemote(n, id)
		n.remotes[id] = r
	}
	return r
}

// removeUnused removes the peers that have neither an address nor an accepted link.
// The caller holds n.mu.
func (n *Node) removeUnused() {
	maps.DeleteFunc(n.remotes, func(_ string, r *remote) bool {
		return r.address == "" && r.accepted == 0
	})
}

// startDialing starts the dial loop for an address, unless it runs. The caller holds
// n.mu.
func (n *Node) startDialing(r *remote, address string) {
	if r.address == address {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	r.address, r.cancelDial = address, cancel
	r.setConnecting()
	n.loops.Go(func() { n.dialLoop(ctx, r, address) })
}

// Connected returns the sorted ids of the peers with a working link.
func (n *Node) Connected() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []string
	for id, r := range n.remotes {
		if r.link() != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Stats returns the counters.
func (n *Node) Stats() Stats { return n.stats.snapshot() }

// Call calls a method of a member and decodes its response into resp, unless resp is
// nil. It waits for the first attempt to connect but not for later ones. It returns
// rpc.ErrUnreachable if the request was certainly not handled, also because the peer
// was busy; rpc.ErrNoAnswer if it may have been handled; rpc.ErrUnknownMethod; or the
// *rpc.RemoteError of the handler. A call to this node's own id is handled directly.
func (n *Node) Call(ctx context.Context, member, method string, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return fmt.Errorf("%w: encode %s: %w", rpc.ErrUnreachable, method, err)
	}
	if len(body) > maxBodyBytes {
		return fmt.Errorf("%w: %s request of %d bytes is over the limit of %d", rpc.ErrUnreachable, method, len(body), maxBodyBytes)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.options.RequestTimeout)
		defer cancel()
	}
	answer, err := n.send(ctx, member, method, body)
	if err == nil {
		err = decodeAnswer(answer, method, resp)
	}
	n.countFailure(err)
	return err
}

func (n *Node) send(ctx context.Context, member, method string, body []byte) (frame, error) {
	if member == n.options.Self {
		return n.handle(ctx, member, frame{Method: method, Body: body}), nil
	}
	l, err := n.linkTo(ctx, member)
	if err != nil {
		return frame{}, err
	}
	return l.roundTrip(ctx, method, body)
}

func (n *Node) linkTo(ctx context.Context, member string) (*link, error) {
	n.mu.Lock()
	r, ok := n.remotes[member]
	n.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("%w: member %q is not known", rpc.ErrUnreachable, member)
	}
	return r.waitForLink(ctx)
}

func decodeAnswer(answer frame, method string, resp any) error {
	if answer.Kind != kindResponse {
		return decodeFailure(answer)
	}
	if resp == nil {
		return nil
	}
	if err := cbor.Unmarshal(answer.Body, resp); err != nil {
		return fmt.Errorf("%w: decode answer to %s: %w", rpc.ErrNoAnswer, method, err)
	}
	return nil
}

func (n *Node) countFailure(err error) {
	switch {
	case errors.Is(err, rpc.ErrUnreachable):
		n.stats.unreachable.Add(1)
	case errors.Is(err, rpc.ErrNoAnswer):
		n.stats.noAnswer.Add(1)
	}
}

// handle calls the handler of a request and returns the answer frame.
func (n *Node) handle(ctx context.Context, from string, f frame) frame {
	body, err := n.options.Router.Serve(ctx, from, f.Method, f.Body)
	var remote *rpc.RemoteError
	switch {
	case errors.Is(err, rpc.ErrUnknownMethod):
		return failureFrame(f.ID, kindReject, codeUnknownMethod, err.Error())
	case errors.As(err, &remote):
		return failureFrame(f.ID, kindError, remote.Code, remote.Message)
	case err != nil:
		return failureFrame(f.ID, kindError, "error", err.Error())
	case len(body) > maxBodyBytes:
		message := fmt.Sprintf("response of %d bytes is over the limit of %d", len(body), maxBodyBytes)
		return failureFrame(f.ID, kindError, "response_too_large", message)
	}
	return frame{Kind: kindResponse, ID: f.ID, Body: body}
}

// dialLoop keeps a link to a peer open until ctx is done. It does not dial while
// there is a link that the peer has dialed.
func (n *Node) dialLoop(ctx context.Context, r *remote, address string) {
	pause := &backoff.ExponentialBackOff{
		InitialInterval:     n.options.MinBackoff,
		RandomizationFactor: 0.5,
		Multiplier:          2,
		MaxInterval:         n.options.MaxBackoff,
	}
	for ctx.Err() == nil {
		if l := r.link(); l != nil {
			waitEither(ctx, l.ctx)
			continue
		}
		if n.dialOnce(ctx, r, address) == nil {
			pause.Reset()
		}
		if ctx.Err() == nil {
			r.setFailed()
		}
		_ = fleet.Sleep(ctx, pause.NextBackOff()) // the loop condition checks ctx
	}
}

// waitEither returns when either context is done.
func waitEither(a, b context.Context) {
	select {
	case <-a.Done():
	case <-b.Done():
	}
}

// dialOnce opens a link and serves it until it fails. It returns an error only if no
// link was opened.
func (n *Node) dialOnce(ctx context.Context, r *remote, address string) error {
	if !n.beginOpening() {
		return errLeaving
	}
	opened := sync.OnceFunc(n.opening.Done)
	defer opened()
	conn, err := n.dial(ctx, r.id, address)
	if err != nil {
		n.stats.handshakeFailures.Add(1)
		return err
	}
	l := newLink(n, r, conn, true)
	stop := context.AfterFunc(ctx, func() { l.fail(errNotMember) })
	defer stop()
	n.runLink(l, opened)
	return nil
}

// errLeaving refuses to dial in a node that shuts down.
var errLeaving = errors.New("the node shuts down")

var errNotMember = errors.New("the peer is no longer a member")

// dial opens an authenticated connection to the member id.
func (n *Node) dial(ctx context.Context, id, address string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.HandshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if n.options.TLS != nil {
		scheme = "wss://"
	}
	conn, _, err := websocket.Dial(ctx, scheme+address+Path, &websocket.DialOptions{HTTPClient: n.client})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxHandshakeBytes)
	if err := dialHandshake(ctx, conn, n.options.Secret, n.options.Self, id); err != nil {
		conn.CloseNow()
		return nil, err
	}
	return conn, nil
}

// ServeHTTP accepts a link and serves it until it fails or the node is closed.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case n.handshakes <- struct{}{}:
	default:
		http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
		return
	}
	if !n.beginOpening() {
		<-n.handshakes
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	opened := sync.OnceFunc(n.opening.Done)
	defer opened()
	conn, id, err := n.accept(w, r)
	<-n.handshakes
	if err != nil {
		n.stats.handshakeFailures.Add(1)
		return
	}
	peer, ok := n.addAccepted(id)
	if !ok {
		conn.CloseNow()
		return
	}
	defer n.removeAccepted(peer)
	n.runLink(newLink(n, peer, conn, false), opened)
}

// beginOpening reports whether a link may be opened now. If so, the caller calls
// opening.Done once the link is added to its peer, or has not been opened.
func (n *Node) beginOpening() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving || n.closed {
		return false
	}
	n.opening.Add(1)
	return true
}

// addAccepted counts an accepted link, unless the node is closed.
func (n *Node) addAccepted(id string) (*remote, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, false
	}
	n.loops.Add(1)
	peer := n.remote(id)
	peer.accepted++
	return peer, true
}

// removeAccepted undoes addAccepted.
func (n *Node) removeAccepted(peer *remote) {
	defer n.loops.Done()
	n.mu.Lock()
	defer n.mu.Unlock()
	peer.accepted--
	n.removeUnused()
}

// accept upgrades a request to a connection and returns it with the id of the
// authenticated dialer.
func (n *Node) accept(w http.ResponseWriter, r *http.Request) (*websocket.Conn, string, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, "", err
	}
	conn.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(n.ctx, n.options.HandshakeTimeout)
	defer cancel()
	id, err := acceptHandshake(ctx, conn, n.options.Secret, n.options.Self)
	if err != nil {
		conn.CloseNow()
		return nil, "", err
	}
	return conn, id, nil
}

// runLink serves a link until it fails. It calls opened once the link is added to its
// peer.
func (n *Node) runLink(l *link, opened func()) {
	n.stats.linksOpened.Add(1)
	n.stats.links.Add(1)
	defer n.stats.links.Add(-1)
	l.peer.add(l)
	opened()
	defer l.peer.remove(l)
	l.run()
}

// Drain rejects new requests and waits until open ones are handled. Calls of this
// node to its peers go on. If ctx is done first, it returns the error of ctx.
func (n *Node) Drain(ctx context.Context) error {
	select {
	case <-n.handlers.close():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Shutdown rejects new requests, waits until open ones are handled and their answers
// are sent, and closes the node. If ctx is done first, it closes the node at once
// and returns the error of ctx. No link is opened after the goodbyes: its requests would
// be cut by the end of the node, and their outcome would be unknown.
func (n *Node) Shutdown(ctx context.Context) error {
	defer n.Close()
	if err := n.Drain(ctx); err != nil {
		return err
	}
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	opened := make(chan struct{})
	go func() {
		n.opening.Wait()
		close(opened)
	}()
	select {
	case <-opened:
	case <-ctx.Done():
		return ctx.Err()
	}
	var closing sync.WaitGroup
	for _, l := range n.links() {
		closing.Go(func() { l.finish(ctx) })
	}
	closing.Wait()
	return ctx.Err()
}

func (n *Node) links() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var links []*link
	for _, r := range n.remotes {
		links = append(links, r.allLinks()...)
	}
	return links
}

// Close closes all links, cancels the contexts of running handlers and waits for
// them to return.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.loops.Wait()
	<-n.handlers.close()
	n.client.CloseIdleConnections()
}

// handlerGate counts the running handlers. After close it admits no more of them,
// and its idle channel is closed once the last one has returned.
type handlerGate struct {
	mu     sync.Mutex
	closed bool
	active int
	idle   chan struct{} // closed once the gate is closed and no handler runs
}

// enter reports whether a handler may start, and if so counts it until leave.
func (g *handlerGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

func (g *handlerGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.closed && g.active == 0 {
		close(g.idle)
	}
}

// close admits no further handler and returns the idle channel.
func (g *handlerGate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed && g.active == 0 {
		close(g.idle)
	}
	g.closed = true
	return g.idle
}
