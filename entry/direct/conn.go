package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than that of common HTTP servers, so that an
	// endpoint seldom closes a connection on which a request is being sent.
	idleTimeout    = 15 * time.Second
	maxAnswerHeads = 64 << 10 // bytes of an answer's headers
)

var (
	errSealed = errors.New("the request was given up")
	errNoSlot = errors.New("the portion of the endpoint's connections is used up")
)

// newTransport returns the transport of one endpoint. open waits until it may
// open a connection, and closed is called at the connection's end.
func newTransport(open func(context.Context) error, closed func()) *http.Transport {
	dialer := &net.Dialer{}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			if err := open(ctx); err != nil {
				return nil, err
			}
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				closed()
				return nil, err
			}
			return &conn{Conn: raw, closed: sync.OnceFunc(closed)}, nil
		},
		MaxIdleConnsPerHost:    DefaultConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeads,
		DisableCompression:     true, // answers are passed on as they are
	}
}

// conn is a connection to an endpoint that knows whether a request was written.
type conn struct {
	net.Conn
	closed func()

	mu     sync.Mutex
	wrote  bool // since the last mark
	sealed bool
}

// Write writes unless the connection is sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	sealed := c.sealed
	c.wrote = c.wrote || !sealed
	c.mu.Unlock()
	if sealed {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// Close closes the connection and returns it to the portion.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed()
	return err
}

func (c *conn) mark() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal lets no further byte be written and reports whether any was written since
// the mark.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}

// sendWatch follows the connections that the transport uses for one request.
type sendWatch struct {
	mu     sync.Mutex
	conns  []*conn
	sealed bool
}

func (s *sendWatch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*conn) // all connections come from newTransport
			s.mu.Lock()
			defer s.mu.Unlock()
			c.mark()
			s.conns = append(s.conns, c)
			if s.sealed {
				c.seal()
			}
		},
	})
}

// seal lets no further byte of a failed request be written and reports whether
// any byte may have been sent. The connections cannot be used again.
func (s *sendWatch) seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	sent := false
	for _, c := range s.conns {
		sent = c.seal() || sent
	}
	return sent
}
