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
	idleTimeout            = 15 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

var (
	errSealed       = errors.New("connection sealed: no further writes to the endpoint")
	errNoConnection = errors.New("no free connection within the endpoint's quota")
)

// newTransport returns the HTTP transport of one endpoint. Before it dials, it calls
// open, which waits until the quota allows one more connection. It calls closed when
// the dial fails or the connection is closed.
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
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true, // responses are forwarded unchanged
	}
}

// conn is a connection to an endpoint. It records whether any byte of the current
// request was written and whether the endpoint has sent exactly one response to it.
// A sealed connection writes nothing more, which proves that a request that had
// not been written by then was not sent.
type conn struct {
	net.Conn
	closed func() // frees the connection's place in the quota

	mu           sync.Mutex
	used         bool         // a request has been started on the connection
	wroteRequest bool         // any byte since the last startRequest
	sealed       bool         // no further writes
	response     responseSize // to the last request
}

// Write writes p, or returns errSealed if the connection is sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	sealed := c.sealed
	c.wroteRequest = c.wroteRequest || !sealed
	c.mu.Unlock()
	if sealed {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// Read reads and counts bytes of the response.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response.add(p[:n])
	return n, err
}

// Close closes the connection, which frees its place in the quota.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed()
	return err
}

// startRequest prepares the connection for a request with the given method and
// reports whether it has served one before. It seals a reused connection unless the
// endpoint has sent exactly one response to the previous request: the transport
// would take leftover bytes for the response to this one.
func (c *conn) startRequest(method string) (reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reused, c.used = c.used, true
	if reused && !c.response.complete() {
		c.sealed = true
	}
	c.wroteRequest = false
	c.response = responseSize{noBody: method == http.MethodHead}
	return reused
}

// seal makes all further writes fail and reports whether anything was written since
// startRequest.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wroteRequest
}

// responseSize compares the number of bytes that an endpoint has sent with the
// length that its response declares.
type responseSize struct {
	noBody        bool   // response to a HEAD request
	head          []byte // start of the response until its headers are complete
	lengthKnown   bool   // the headers are complete and declare a length
	expectedBytes int64  // of headers and body; 0 until the headers are complete
	readBytes     int64
}

// add counts bytes of the response and parses its headers once they are complete.
func (r *responseSize) add(p []byte) {
	r.readBytes += int64(len(p))
	if r.expectedBytes > 0 || len(r.head) > maxResponseHeaderBytes {
		return
	}
	r.head = append(r.head, p...)
	end := bytes.Index(r.head, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	r.expectedBytes = int64(end) + 4
	r.parse(r.head[:r.expectedBytes])
	r.head = nil
}

// parse adds the length of the body to expectedBytes. For chunked and interim (1xx)
// responses the length stays unknown, so the connection is not used again.
func (r *responseSize) parse(head []byte) {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil || resp.StatusCode < http.StatusOK {
		return
	}
	resp.Body.Close()
	if r.noBody || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		r.lengthKnown = true
		return
	}
	r.lengthKnown = resp.ContentLength >= 0
	r.expectedBytes += resp.ContentLength
}

// complete reports whether exactly one response of known length was read.
func (r *responseSize) complete() bool { return r.lengthKnown && r.readBytes == r.expectedBytes }

// connTracker records the connections that the transport uses for one request.
type connTracker struct {
	mu     sync.Mutex
	conns  []*conn
	reused bool // the last connection has served another request
	sealed bool // connections obtained from now on are sealed
}

// trace returns a context that makes the transport report each connection that it
// obtains for the request.
func (t *connTracker) trace(ctx context.Context, method string) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*conn) // all connections come from newTransport
			t.mu.Lock()
			defer t.mu.Unlock()
			t.reused = c.startRequest(method)
			t.conns = append(t.conns, c)
			if t.sealed {
				c.seal()
			}
		},
	})
}

// responseMatches reports whether the request could be written to the last
// connection. On a sealed one it could not, so the response belongs to an earlier
// request.
func (t *connTracker) responseMatches() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.conns[len(t.conns)-1]
	last.mu.Lock()
	defer last.mu.Unlock()
	return !last.sealed
}

// seal seals all connections of a failed request, also one that the transport
// obtains later, so that no further byte is written; they cannot be used again. It
// reports whether any byte may have been sent, and whether the last connection had
// served another request before.
func (t *connTracker) seal() (sent, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	for _, c := range t.conns {
		sent = c.seal() || sent
	}
	return sent, t.reused
}
