package intake

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// receiveBuffer bounds what a machine receives on a connection before the process reads
	// it, in bytes. The system doubles it for its own use, and may exceed that by one segment.
	receiveBuffer = 16 << 10
	// sendBuffer bounds the bytes of answers on a connection that the client has not taken, in
	// bytes; the system doubles it too. Without a bound it grows to megabytes for a client that
	// takes much and then stops.
	sendBuffer = 16 << 10
	// acceptQueue bounds the connections that wait to be accepted. They may hold unread bytes.
	acceptQueue = 256
	// leftoverTime is how long the rest of a body is awaited whose request has been answered.
	leftoverTime = time.Second
	// logInterval is the minimum time between two lines about limited clients.
	logInterval = 5 * time.Second
)

// Names of counters. They follow the name of the port.
const (
	closedIdle         = "_closed_idle"         // idle connections, closed for others
	closedIncomplete   = "_closed_incomplete"   // connections with the oldest incomplete requests, closed for others
	closedUntaken      = "_closed_untaken"      // connections whose client does not take its answer, closed for others
	closedUnanswered   = "_closed_unanswered"   // connections whose request has been in hand for very long, closed for others
	lastAnswers        = "_last_answers"        // connections that are closed with an answer, for others
	refusedConnections = "_refused_connections" // closed at once
	refusedHeaders     = "_refused_headers"     // larger than declared
	refusedRequests    = "_refused_requests"    // for lack of memory
	stalledRequests    = "_stalled_requests"    // whose body stopped or took too long
)

var counterNames = []string{closedIdle, closedIncomplete, closedUntaken, closedUnanswered, lastAnswers, refusedConnections, refusedHeaders, refusedRequests, stalledRequests}

// ErrNoMemory means that the memory for requests is used up.
var ErrNoMemory = errors.New("memory for requests is used up")

// Port applies limits to the connections of an HTTP server.
type Port struct {
	name     string
	settings Settings
	log      *zap.Logger
	began    time.Time
	counters map[string]*expvar.Int
	decoding chan struct{}   // holds an element while a large body is decoded
	declared func() Declared // what the operators declare; nil if they declare nothing

	mu       sync.Mutex
	ledger   *Ledger
	peak     int           // of connections
	full     bool          // the last new connection has waited for room in vain, and none has ended since
	freed    chan struct{} // holds an element once a connection has ended
	loggedAt time.Duration
	logged   bool
}

// NewPort returns a port with limits. The name begins the names of its counters.
func NewPort(name string, s Settings, l Limits, log *zap.Logger) *Port {
	p := &Port{name: name, settings: s, log: log, began: time.Now(), ledger: NewLedger(l), counters: map[string]*expvar.Int{}, decoding: make(chan struct{}, 1), freed: make(chan struct{}, 1)}
	for _, c := range counterNames {
		p.counters[c] = new(expvar.Int)
	}
	return p
}

// Declared are limits that operators declare and may change at any time. They hold where they
// are lower than the settings; 0 means that nothing is declared.
type Declared struct {
	HeaderBytes   int           // of a request's header
	HeaderTimeout time.Duration // until a request's header is complete
	IdleTimeout   time.Duration // of an unused connection
}

// Follow makes the port follow declared limits. Call it before the port is used.
func (p *Port) Follow(declared func() Declared) { p.declared = declared }

// limits returns the limits of headers and of unused connections in force.
func (p *Port) limits() Declared {
	l := Declared{p.settings.HeaderBytes, p.settings.HeaderTimeout, p.settings.IdleTimeout}
	if p.declared == nil {
		return l
	}
	d := p.declared()
	if d.HeaderBytes > 0 {
		l.HeaderBytes = min(l.HeaderBytes, d.HeaderBytes)
	}
	if d.HeaderTimeout > 0 {
		l.HeaderTimeout = min(l.HeaderTimeout, d.HeaderTimeout)
	}
	if d.IdleTimeout > 0 {
		l.IdleTimeout = min(l.IdleTimeout, d.IdleTimeout)
	}
	return l
}

func (p *Port) now() time.Duration { return time.Since(p.began) }

// Publish hands the port's counters and gauges over.
func (p *Port) Publish(publish func(name string, v expvar.Var)) {
	for name, c := range p.counters {
		publish(p.name+name, c)
	}
	gauge := func(name string, f func() any) {
		publish(p.name+name, expvar.Func(func() any {
			p.mu.Lock()
			defer p.mu.Unlock()
			return f()
		}))
	}
	gauge("_connections", func() any { return p.ledger.Connections() })
	gauge("_connections_peak", func() any { return p.peak })
	gauge("_request_bytes", func() any { return p.ledger.Bytes() })
}

// count counts an event, and writes a line unless there was one within logInterval.
func (p *Port) count(name string, n int) {
	if n == 0 {
		return
	}
	p.counters[name].Add(int64(n))
	now := p.now()
	p.mu.Lock()
	due := !p.logged || now-p.loggedAt >= logInterval
	connections, bytes := p.ledger.Connections(), p.ledger.Bytes()
	if due {
		p.logged, p.loggedAt = true, now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	fields := []zap.Field{zap.String("port", p.name), zap.String("last", p.name+name), zap.Int("connections", connections), zap.Int64("request_bytes", bytes)}
	for _, c := range counterNames {
		fields = append(fields, zap.Int64(p.name+c, p.counters[c].Value()))
	}
	p.log.Warn("clients_limited", fields...)
}

// Listen returns a listener whose connections are counted.
func (p *Port) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer))
		})
		if err = errors.Join(err, failed); err != nil {
			p.log.Warn("buffers_not_set", zap.String("port", p.name), zap.Error(err))
		}
		return nil
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := shortenQueue(l); err != nil {
		p.log.Warn("accept_queue_not_set", zap.String("port", p.name), zap.Error(err))
	}
	return newListener(l, p), nil
}

// shortenQueue sets the accept queue of a listener to acceptQueue.
func shortenQueue(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), acceptQueue) })
	return errors.Join(err, failed)
}

type listener struct {
	net.Listener
	port   *Port
	ctx    context.Context // ends with the listener
	closed context.CancelFunc
}

func newListener(l net.Listener, p *Port) *listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{l, p, ctx, cancel}
}

// Accept implements net.Listener. It takes connections in turn. One for which there is no room
// waits for it, with those behind it; if there is none within the grace, it is closed, and
// others are closed at once until a connection ends.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if counted := l.port.open(l.ctx, c); counted != nil {
			return counted, nil
		}
		abort(c)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closed()
	return l.Listener.Close()
}

// abort closes a connection without waiting for data that the client has not taken.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // nothing is expected of it any more
}

// open counts a new connection, once there is room. It returns nil if there is none within the
// grace or until ctx ends.
func (p *Port) open(ctx context.Context, c net.Conn) net.Conn {
	until := p.now() + p.ledger.limits.Grace
	for waiting := false; ; waiting = true {
		p.mu.Lock()
		now := p.now()
		e, victim := p.ledger.Open(now)
		if e != nil {
			e.close = func() { abort(c) }
			p.peak = max(p.peak, p.ledger.Connections())
			p.full = false
			p.mu.Unlock()
			if victim != nil {
				victim.close()
				p.count(closedCounter[victim.phase], 1)
			}
			return &conn{Conn: c, port: p, entry: e, awaited: time.Now()}
		}
		wait := min(until-now, p.ledger.NextVictim(now))
		if p.full || now >= until || ctx.Err() != nil {
			p.full = true
			p.ledger.GiveUp()
			p.mu.Unlock()
			p.count(refusedConnections, 1)
			return nil
		}
		if !waiting {
			p.ledger.Wait(now)
		}
		p.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-p.freed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// closedCounter is the counter of connections that were closed for others, by their phase.
var closedCounter = map[phase]string{idle: closedIdle, receiving: closedIncomplete, writing: closedUntaken, answering: closedUnanswered}

// signalRoom notes that connections have ended. The caller holds p.mu.
func (p *Port) signalRoom() {
	p.full = false
	select {
	case p.freed <- struct{}{}:
	default: // noted before
	}
}

const (
	// headerFactor is what a byte of a long header is charged as, in bytes: a header of many
	// short fields takes more than 20 times its size once it is decoded.
	headerFactor = 24
	// shortHeader is the size of a header whose memory connectionBytes covers.
	shortHeader = 4 << 10
)

// conn is a counted connection.
type conn struct {
	net.Conn
	port  *Port
	entry *Entry
	ended bool        // bytes were lost
	used  atomic.Bool // a request was answered on it
	// awaited is when the header of the present request began, before that when the connection
	// became idle or was opened. Whoever reads the connection uses it.
	awaited time.Time
	headed  atomic.Bool  // the header of the present request has been received
	header  atomic.Int64 // bytes received before that
}

// cost returns what n bytes that have just been received are charged as.
func (c *conn) cost(n int) int {
	if c.headed.Load() {
		return n
	}
	long := c.header.Add(int64(n)) - shortHeader // of the header so far
	return n + (headerFactor-1)*int(max(0, min(long, int64(n))))
}

// Read implements net.Conn. The error wraps ErrNoMemory if the bytes are beyond the limits; they
// are lost, and all later reads fail.
func (c *conn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, errRead
	}
	if err := c.limitHeader(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.header.Load() == 0 {
		c.awaited = time.Now()
	}
	if n > 0 && !c.charge(func(l *Ledger, now time.Duration) ([]*Entry, bool) { return l.Receive(c.entry, c.cost(n), now) }) {
		c.ended = true
		return 0, errRead
	}
	return n, err
}

// errRead is ErrNoMemory as a failure of the connection. To another error in a header, the
// server answers that the request is not valid.
var errRead error = &net.OpError{Op: "read", Net: "tcp", Err: ErrNoMemory}

// limitHeader bounds the time for the header of a request, and until it begins. The server has
// set a deadline by the settings, which the declared limits may shorten.
func (c *conn) limitHeader() error {
	if c.port.declared == nil || c.headed.Load() {
		return nil
	}
	limits := c.port.limits()
	timeout := limits.HeaderTimeout
	switch {
	case c.header.Load() > 0:
	case c.used.Load():
		timeout = limits.IdleTimeout
	default:
		timeout = min(limits.IdleTimeout, c.port.settings.HeaderTimeout)
	}
	return c.SetReadDeadline(c.awaited.Add(timeout))
}

// charge carries a decision of the ledger out.
func (c *conn) charge(decide func(*Ledger, time.Duration) ([]*Entry, bool)) bool {
	p := c.port
	p.mu.Lock()
	victims, ok := decide(p.ledger, p.now())
	evicted := c.entry.place == nil
	if len(victims) > 0 {
		p.signalRoom()
	}
	p.mu.Unlock()
	for _, v := range victims {
		v.close()
	}
	p.count(closedIncomplete, len(victims))
	if !ok && !evicted {
		p.count(refusedRequests, 1)
	}
	return ok
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.port.settings.AnswerTimeout)); err != nil {
		return 0, err
	}
	c.note((*Ledger).Write)
	defer c.note((*Ledger).Written)
	return c.Conn.Write(b)
}

// note passes what happens to the connection to the ledger.
func (c *conn) note(event func(*Ledger, *Entry, time.Duration)) {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	event(c.port.ledger, c.entry, c.port.now())
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.port.mu.Lock()
	c.port.ledger.Close(c.entry)
	c.port.signalRoom()
	c.port.mu.Unlock()
	return c.Conn.Close()
}

// next prepares for the next request, after an answer.
func (c *conn) next() {
	c.awaited = time.Now()
	c.used.Store(true)
	c.header.Store(0)
	c.headed.Store(false)
}

// lastAnswer reports whether the connection ends with the present answer.
func (c *conn) lastAnswer() bool {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.port.ledger.LastAnswer(c.entry, c.port.now())
}

// CloseWrite closes the sending direction, if the connection allows that.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// limitLeftover bounds the time for the rest of a body that nobody reads.
func (c *conn) limitLeftover() {
	_ = c.SetReadDeadline(time.Now().Add(leftoverTime)) // fails only on a closed connection
}

type connKey struct{}

// countedConn returns the counted connection under a connection of a server, which may be one of
// TLS; nil if there is none.
func countedConn(c net.Conn) *conn {
	if over, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = over.NetConn()
	}
	under, _ := c.(*conn)
	return under
}

// connOf returns the counted connection of a request, nil if it is not counted.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Server returns a server of the port, which serves connections of its listener.
func (p *Port) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           p.handler(handler),
		ReadHeaderTimeout: p.settings.HeaderTimeout,
		IdleTimeout:       p.settings.IdleTimeout,
		MaxHeaderBytes:    p.settings.HeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, countedConn(c))
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if counted := countedConn(c); counted != nil && state == http.StateIdle {
				counted.next()
				counted.note((*Ledger).Idle)
			}
		},
	}
}

// handler bounds the time for bodies, also where next does not read them.
func (p *Port) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.headed.Store(true)
		if headerSize(r) > p.limits().HeaderBytes {
			w.Header().Set("Connection", "close")
			p.count(refusedHeaders, 1)
			http.Error(w, "header is too large", http.StatusRequestHeaderFieldsTooLarge)
			c.limitLeftover()
			return
		}
		if c.lastAnswer() {
			w.Header().Set("Connection", "close")
			p.count(lastAnswers, 1)
		}
		if r.ContentLength == 0 {
			// Without bytes of a body there is nothing to refuse.
			c.charge(func(l *Ledger, now time.Duration) ([]*Entry, bool) { return l.Answer(c.entry, 0, now) })
			next.ServeHTTP(w, r)
			return
		}
		// The server reads what next leaves, to use the connection again.
		body := &awaited{r.Body, c, time.Now().Add(p.settings.BodyTimeout), false}
		c.limitLeftover()
		request := *r // the server looks at the body of its own
		request.Body = body
		next.ServeHTTP(w, &request)
		if !body.whole {
			c.limitLeftover()
		}
	})
}

// headerSize returns the size of a request's header as it was received, in bytes, without
// what the fields have of spaces around their values.
func headerSize(r *http.Request) int {
	const requestLine, field = len("  \r\n"), len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + requestLine + len("Host") + len(r.Host) + field
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + field
		}
	}
	return n
}
