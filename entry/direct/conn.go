package direct

import (
	"bufio"
	"bytes"
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

// conn is a connection to an endpoint that knows whether a request was written
// and whether its answer was the only thing that the endpoint sent.
type conn struct {
	net.Conn
	closed func()

	mu     sync.Mutex
	used   bool // by a request
	wrote  bool // since the last mark
	sealed bool
	answer answerSize // to the last request
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

// Read reads and measures the answer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.add(p[:n])
	return n, err
}

// Close closes the connection and returns it to the portion.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed()
	return err
}

// mark starts a request. It seals a reused connection unless the endpoint has
// sent exactly one answer to the request before: the transport might take
// anything that is left for the answer to this request. It reports whether the
// connection is a reused one.
func (c *conn) mark(method string) (reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reused, c.used = c.used, true
	if reused && !c.answer.whole() {
		c.sealed = true
	}
	c.wrote = false
	c.answer = answerSize{noBody: method == http.MethodHead}
	return reused
}

// seal lets no further byte be written and reports whether any was written since
// the mark.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}

// answerSize compares the bytes that an endpoint sends with the length that its
// answer declares.
type answerSize struct {
	noBody bool // the answer to a HEAD request
	head   []byte
	known  bool  // head is whole and declares a length
	want   int64 // bytes of the answer
	read   int64
}

func (a *answerSize) add(p []byte) {
	a.read += int64(len(p))
	if a.want > 0 || len(a.head) > maxAnswerHeads {
		return
	}
	a.head = append(a.head, p...)
	end := bytes.Index(a.head, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	a.want = int64(end) + 4
	a.parse(a.head[:a.want])
	a.head = nil
}

// parse adds the length of the body. It stays unknown for chunks and for interim
// answers, after which the connection is not used again.
func (a *answerSize) parse(head []byte) {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil || resp.StatusCode < http.StatusOK {
		return
	}
	resp.Body.Close()
	if a.noBody || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		a.known = true
		return
	}
	a.known = resp.ContentLength >= 0
	a.want += resp.ContentLength
}

// whole reports whether exactly one answer of known length was read.
func (a *answerSize) whole() bool { return a.known && a.read == a.want }

// sendWatch follows the connections that the transport uses for one request.
type sendWatch struct {
	mu     sync.Mutex
	conns  []*conn
	reused bool // the last connection has served another request
	sealed bool
}

func (s *sendWatch) trace(ctx context.Context, method string) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*conn) // all connections come from newTransport
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reused = c.mark(method)
			s.conns = append(s.conns, c)
			if s.sealed {
				c.seal()
			}
		},
	})
}

// usable reports whether the request was sent, so that the answer is its own.
func (s *sendWatch) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.conns[len(s.conns)-1]
	last.mu.Lock()
	defer last.mu.Unlock()
	return !last.sealed
}

// seal lets no further byte of a failed request be written. It reports whether
// any byte may have been sent, and whether the connection was a reused one. The
// connections cannot be used again.
func (s *sendWatch) seal() (sent, reused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	for _, c := range s.conns {
		sent = c.seal() || sent
	}
	return sent, s.reused
}
