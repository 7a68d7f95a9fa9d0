package local

import (
	"context"
	"net"
	"sync"
)

// links is the network for the peer links between the entries. Each entry can be cut
// off from all others.
type links struct {
	mu             sync.Mutex
	entryByAddress map[string]string   // VM of the entry by its address for peers
	cutEntries     map[string]struct{} // by VM
	changed        chan struct{}       // closed and replaced at each change of cutEntries
}

func newLinks() *links {
	return &links{entryByAddress: map[string]string{}, cutEntries: map[string]struct{}{}, changed: make(chan struct{})}
}

func (l *links) add(entry, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryByAddress[address] = entry
}

// setCut cuts an entry off from all others, or ends that.
func (l *links) setCut(entry string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut {
		l.cutEntries[entry] = struct{}{}
	} else {
		delete(l.cutEntries, entry)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// cutState reports whether at least one of two entries is cut off, and returns a
// channel that is closed at the next change.
func (l *links) cutState(a, b string) (cut bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, cutA := l.cutEntries[a]
	_, cutB := l.cutEntries[b]
	return cutA || cutB, l.changed
}

// dialFrom returns the dial function of an entry.
func (l *links) dialFrom(entry string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l.mu.Lock()
		to := l.entryByAddress[address]
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

// wait waits while one of two entries is cut off and then returns nil. If done is
// closed before, it returns the error of cause.
func (l *links) wait(done <-chan struct{}, a, b string, cause func() error) error {
	for {
		cut, changed := l.cutState(a, b)
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

// linkConn is a connection that transmits nothing while one of its ends is cut off.
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

// Read returns data only while neither end is cut off.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write waits until neither end is cut off and then sends.
func (c *linkConn) Write(b []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection; reads and writes that wait return net.ErrClosed.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
