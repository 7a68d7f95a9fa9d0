package local

import (
	"context"
	"net"
	"sync"
)

// links is the network between the entries, with a switch for each entry.
type links struct {
	mu      sync.Mutex
	entries map[string]string   // by address of the peer link
	cuts    map[string]struct{} // entries that are cut off
	changed chan struct{}       // closed at each change of cuts
}

func newLinks() *links {
	return &links{entries: map[string]string{}, cuts: map[string]struct{}{}, changed: make(chan struct{})}
}

func (l *links) add(entry, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[address] = entry
}

func (l *links) cut(entry string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut {
		l.cuts[entry] = struct{}{}
	} else {
		delete(l.cuts, entry)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// state reports whether two entries are cut off from each other, and returns a
// channel that is closed at the next change.
func (l *links) state(a, b string) (cut bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, cutA := l.cuts[a]
	_, cutB := l.cuts[b]
	return cutA || cutB, l.changed
}

// dialFrom returns the dialer of an entry.
func (l *links) dialFrom(entry string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l.mu.Lock()
		to := l.entries[address]
		l.mu.Unlock()
		if err := l.wait(ctx.Done(), entry, to, ctx.Err); err != nil {
			return nil, err
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: inner, links: l, from: entry, to: to, closed: make(chan struct{})}, nil
	}
}

// wait returns nil once two entries are connected, or the error of cause after
// done is closed.
func (l *links) wait(done <-chan struct{}, a, b string, cause func() error) error {
	for {
		cut, changed := l.state(a, b)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return cause()
		}
	}
}

// linkConn is a connection that passes nothing while its ends are cut off.
type linkConn struct {
	net.Conn
	links    *links
	from, to string
	closed   chan struct{}
	once     sync.Once
}

func (c *linkConn) wait() error {
	return c.links.wait(c.closed, c.from, c.to, func() error { return net.ErrClosed })
}

// Read hands data on once the ends are connected.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write sends once the ends are connected.
func (c *linkConn) Write(b []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection and ends waiting reads and writes.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
