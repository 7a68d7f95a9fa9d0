package httpapi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// DefaultEndpointConnections is the default of EndpointOptions.MaxConnections.
const DefaultEndpointConnections = 64

const (
	maxEndpointBodyBytes = 8 << 20  // of a request or answer
	chunkSizeBytes       = 16 << 10 // written to the connection at a time
	maxArrivalIDs        = 1 << 20  // ids whose arrivals are counted; further ids are ignored
)

// EndpointOptions configures Endpoints.
type EndpointOptions struct {
	// Reachable reports whether a VM answers; nil means that all do.
	Reachable func(fleet.VMID) bool
	// MaxConnections limits the open connections of each VM; a connection over
	// the limit is closed at once and counted as refused. 0 means
	// DefaultEndpointConnections.
	MaxConnections int
}

// Endpoints hosts the HTTP servers of workers, each on its own loopback port.
//
// An endpoint answers any request with the request's body. These query
// parameters change the answer:
//
//	delay=1s     wait before the answer
//	bytes=100    answer with this many bytes
//	status=500   answer with this status
//	chunked=1    send no Content-Length
//	truncate=10  close the connection after this many bytes of the body
//	reset=1      close the connection without an answer
//	id=x         count the arrival under this id
type Endpoints struct {
	options EndpointOptions

	mu        sync.Mutex
	endpoints map[fleet.VMID]*endpoint
	arrivals  map[string]int
}

// EndpointStats counts the requests and connections of an endpoint.
type EndpointStats struct {
	Requests        int `json:"requests"`
	Connections     int `json:"connections"`     // open now
	PeakConnections int `json:"peakConnections"` // most open at a time
	Refused         int `json:"refused"`         // connections over the limit
}

// endpoint is the HTTP server of one VM.
type endpoint struct {
	vm      fleet.VMID
	host    *Endpoints
	server  *http.Server
	address string

	mu    sync.Mutex
	stats EndpointStats
	open  map[net.Conn]bool
}

// NewEndpoints returns Endpoints without servers; Open starts them.
func NewEndpoints(o EndpointOptions) *Endpoints {
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultEndpointConnections
	}
	if o.Reachable == nil {
		o.Reachable = func(fleet.VMID) bool { return true }
	}
	return &Endpoints{options: o, endpoints: map[fleet.VMID]*endpoint{}, arrivals: map[string]int{}}
}

// Open starts the endpoint of a VM, unless it is running, and returns its host:port.
func (e *Endpoints) Open(vm fleet.VMID) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if running, ok := e.endpoints[vm]; ok {
		return running.address, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("open the endpoint of VM %q: %w", vm, err)
	}
	ep := &endpoint{vm: vm, host: e, address: listener.Addr().String(), open: map[net.Conn]bool{}}
	ep.server = &http.Server{Handler: ep, ConnState: ep.trackConn, ReadHeaderTimeout: time.Minute}
	e.endpoints[vm] = ep
	go ep.server.Serve(listener) // returns when Close closes the server
	return ep.address, nil
}

// Close closes all endpoints and their connections.
func (e *Endpoints) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var errs []error
	for _, ep := range e.endpoints {
		errs = append(errs, ep.server.Close())
	}
	return errors.Join(errs...)
}

// Stats returns the counts of each endpoint.
func (e *Endpoints) Stats() map[fleet.VMID]EndpointStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := map[fleet.VMID]EndpointStats{}
	for vm, ep := range e.endpoints {
		ep.mu.Lock()
		stats[vm] = ep.stats
		ep.mu.Unlock()
	}
	return stats
}

// Arrivals returns the number of requests with the id that have reached any
// endpoint.
func (e *Endpoints) Arrivals(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals[id]
}

// DuplicateArrivals returns the ids that arrived more than once, in no particular
// order.
func (e *Endpoints) DuplicateArrivals() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	duplicates := []string{}
	for id, n := range e.arrivals {
		if n > 1 {
			duplicates = append(duplicates, id)
		}
	}
	return duplicates
}

// recordArrival counts a request under its id. It ignores an empty id, and new ids
// once maxArrivalIDs are known.
func (e *Endpoints) recordArrival(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.arrivals[id]; id != "" && (ok || len(e.arrivals) < maxArrivalIDs) {
		e.arrivals[id]++
	}
}

// trackConn counts the connections. It closes those to an unreachable VM and those
// over the limit.
func (ep *endpoint) trackConn(c net.Conn, state http.ConnState) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	switch state {
	case http.StateNew:
		if !ep.host.options.Reachable(ep.vm) {
			c.Close()
			return
		}
		if len(ep.open) >= ep.host.options.MaxConnections {
			ep.stats.Refused++
			c.Close()
			return
		}
		ep.open[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(ep.open, c)
	}
	ep.stats.Connections = len(ep.open)
	ep.stats.PeakConnections = max(ep.stats.PeakConnections, len(ep.open))
}

// ServeHTTP answers a request as its query parameters specify.
func (ep *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ep.checkReachable()
	ep.mu.Lock()
	ep.stats.Requests++
	ep.mu.Unlock()
	query := r.URL.Query()
	ep.host.recordArrival(query.Get("id"))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEndpointBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	plan, err := parsePlan(query, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fleet.Sleep(r.Context(), plan.delay) != nil || plan.reset {
		panic(http.ErrAbortHandler)
	}
	ep.checkReachable()
	w.Header().Set("Amaranth-VM", string(ep.vm))
	plan.write(w)
}

// checkReachable closes the connection without an answer if the VM is unreachable.
func (ep *endpoint) checkReachable() {
	if !ep.host.options.Reachable(ep.vm) {
		panic(http.ErrAbortHandler)
	}
}

// answerPlan describes how an endpoint answers one request.
type answerPlan struct {
	body       []byte
	delay      time.Duration
	status     int
	chunked    bool
	truncateAt int // close the connection after this many bytes of the body; -1 sends all
	reset      bool
}

// parsePlan returns the answer that the query parameters specify. body is the body
// of the request.
func parsePlan(query url.Values, body []byte) (answerPlan, error) {
	p := answerPlan{body: body, status: http.StatusOK, truncateAt: -1}
	p.chunked = query.Get("chunked") != ""
	p.reset = query.Get("reset") != ""
	var err error
	if text := query.Get("delay"); text != "" {
		if p.delay, err = time.ParseDuration(text); err != nil {
			return p, fmt.Errorf("parameter delay: %w", err)
		}
	}
	size := len(body)
	for name, to := range map[string]*int{"bytes": &size, "status": &p.status, "truncate": &p.truncateAt} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		if *to, err = strconv.Atoi(text); err != nil || *to < 0 || *to > maxEndpointBodyBytes {
			return p, fmt.Errorf("parameter %s: %q is not a number from 0 to %d", name, text, maxEndpointBodyBytes)
		}
	}
	if query.Get("bytes") != "" {
		p.body = bytes.Repeat([]byte("x"), size)
	}
	if p.status < 200 || p.status > 599 {
		return p, fmt.Errorf("parameter status: %d is not from 200 to 599", p.status)
	}
	return p, nil
}

// write writes the answer. It panics with http.ErrAbortHandler to close the
// connection of a truncated one.
func (p answerPlan) write(w http.ResponseWriter) {
	if !p.chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(p.body)))
	}
	w.WriteHeader(p.status)
	body := p.body
	if p.truncateAt >= 0 && p.truncateAt < len(body) {
		body = body[:p.truncateAt]
	}
	for len(body) > 0 {
		n := min(chunkSizeBytes, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
		if p.chunked {
			http.NewResponseController(w).Flush()
		}
	}
	if p.truncateAt >= 0 {
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
