package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"amaranthfork.example/control/rpc"
)

// network is an in-memory network that connects nodes by address over net.Pipe, so
// that tests can run in a synctest bubble.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	buffer    int           // writes that a connection queues before Write blocks
	frozen    bool          // connections transmit nothing and new ones are refused
	latency   time.Duration // of each write
	thaw      chan struct{} // closed when frozen ends
	conns     []net.Conn
}

type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, thaw: make(chan struct{}), buffer: 64}
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	refused := !ok || n.frozen
	n.mu.Unlock()
	if refused {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	client, server = n.buffered(client), n.buffered(server)
	select {
	case l.conns <- server:
		n.mu.Lock()
		n.conns = append(n.conns, client, server)
		n.mu.Unlock()
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	client.Close()
	server.Close()
	return nil, errors.New("connection refused")
}

// cut closes all connections.
func (n *network) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.Close()
	}
	n.conns = nil
}

// freeze stops the transmission of data on all connections, or resumes it.
func (n *network) freeze(frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen && !frozen {
		close(n.thaw)
		n.thaw = make(chan struct{})
	}
	n.frozen = frozen
}

func (n *network) setLatency(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = d
}

// buffered is a connection that queues writes, like TCP, so that two peers that
// write to each other at the same time do not block. It transmits nothing while the
// network is frozen.
type buffered struct {
	net.Conn
	network *network
	writes  chan []byte
	closed  chan struct{}
	once    sync.Once
}

func (n *network) buffered(c net.Conn) net.Conn {
	b := &buffered{Conn: c, network: n, writes: make(chan []byte, n.buffer), closed: make(chan struct{})}
	go b.forward()
	return b
}

func (b *buffered) forward() {
	for {
		select {
		case p := <-b.writes:
			b.wait()
			b.Conn.Write(p) // fails after Close, like the loss of a segment
		case <-b.closed:
			return
		}
	}
}

// wait delays a write by the latency and until the network is no longer frozen.
func (b *buffered) wait() {
	b.network.mu.Lock()
	frozen, thaw, latency := b.network.frozen, b.network.thaw, b.network.latency
	b.network.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-b.closed:
		}
	}
	if frozen {
		select {
		case <-thaw:
		case <-b.closed:
		}
	}
}

func (b *buffered) Write(p []byte) (int, error) {
	select {
	case b.writes <- append([]byte(nil), p...):
		return len(p), nil
	case <-b.closed:
		return 0, net.ErrClosed
	}
}

func (b *buffered) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Conn.Close()
}

// serve serves a handler on port 80 of the host named address.
func (n *network) serve(t *testing.T, address string, handler http.Handler) {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address+":80"] = l
	n.mu.Unlock()
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
}

var secret = []byte("0123456789abcdef")

// join starts a node whose host name is its member id.
func (n *network) join(t *testing.T, id string, router *rpc.Router, change func(*Options)) *Node {
	t.Helper()
	o := Options{Self: id, Secret: secret, Router: router, Dial: n.dial}
	if change != nil {
		change(&o)
	}
	node, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	n.serve(t, id, node)
	t.Cleanup(func() {
		n.freeze(false)
		node.Close()
	})
	return node
}

// settle sleeps long enough for links to open after SetMembers or a failure.
func settle() { time.Sleep(10 * time.Second) }
