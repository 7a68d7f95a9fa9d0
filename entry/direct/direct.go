// Package direct forwards a caller's HTTP request to an endpoint of a workspace.
//
// It keeps within the entry's portion of each endpoint's connections, sends
// non-idempotent requests once, and passes on whole answers only: an answer that
// breaks off is either reported as unknown, or, if a part of it has been passed
// on, ends with a broken connection to the caller.
package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"amaranthfork.example/fleet"
)

// IdempotentHeader set to "true" marks a request that may be sent more than
// once. GET and HEAD requests need no mark.
const IdempotentHeader = "Amaranth-Idempotent"

// Defaults of Options.
const (
	DefaultMaxRequest  = 1 << 20 // bytes
	DefaultMaxBuffered = 1 << 20 // bytes
	DefaultMaxTime     = 30 * time.Second
	DefaultMaxAttempts = 3
	DefaultGrowDelay   = 2500 * time.Millisecond // evidence TTL: by then the other entries have shrunk their portions
)

const noCapacityRetry = 200 * time.Millisecond // advice to callers when every endpoint is full

// Options sets up a Forwarder. Zero values give the defaults.
type Options struct {
	DataCentre fleet.DataCentreName // of this entry
	// Candidates returns the VMs that may serve a workspace now, or the refusal
	// of the request. It is called before each attempt.
	Candidates func(fleet.WorkspaceName) ([]fleet.VMID, error)

	Clock        fleet.Clock
	Random       func(n int) int   // from 0 to n-1
	Observe      func(Observation) // called at the end of each request
	StripHeaders []string          // request headers that endpoints must not see, such as keys
	MaxRequest   int64             // bytes of a request's body
	MaxBuffered  int64             // bytes of an answer that is read before it is passed on
	MaxTime      time.Duration     // of a request
	MaxAttempts  int
	GrowDelay    time.Duration // before a larger portion of connections is used
}

// Target says where a request goes and for whom.
type Target struct {
	Workspace fleet.WorkspaceName
	Path      string // escaped path of the endpoint's URL, with a leading slash
	Team      fleet.TeamName
	Class     fleet.Class
}

// Observation describes an ended request.
type Observation struct {
	Target   Target
	VM       fleet.VMID // of the last attempt
	Outcome  fleet.Outcome
	Attempts int
	Time     time.Duration // of the whole request
}

// UnknownError reports a request that may have run.
type UnknownError struct {
	VM    fleet.VMID
	Cause error
}

// Error returns the VM and cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("request to VM %s may have run: %v", e.VM, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Stats counts the events of a Forwarder.
type Stats struct {
	Completed int64 `json:"completed"`
	NotRun    int64 `json:"notRun"`
	Unknown   int64 `json:"unknown"`
	Retries   int64 `json:"retries"`
	Ejections int64 `json:"ejections"`
}

// Forwarder forwards requests. It needs Update before the first request.
type Forwarder struct {
	options   Options
	endpoints *endpointSet
	budget    *retryBudget

	completed, notRun, unknown, retries atomic.Int64
}

// New returns a forwarder without endpoints.
func New(o Options) (*Forwarder, error) {
	if o.Candidates == nil {
		return nil, errors.New("direct path: candidates function is missing")
	}
	if o.Clock == nil {
		o.Clock = fleet.SystemClock{}
	}
	if o.Random == nil {
		o.Random = rand.IntN
	}
	if o.Observe == nil {
		o.Observe = func(Observation) {}
	}
	setDefault(&o.MaxRequest, DefaultMaxRequest)
	setDefault(&o.MaxBuffered, DefaultMaxBuffered)
	setDefault(&o.MaxTime, DefaultMaxTime)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.GrowDelay, DefaultGrowDelay)
	return &Forwarder{
		options:   o,
		endpoints: newEndpointSet(o.DataCentre, o.GrowDelay, o.Random),
		budget:    newRetryBudget(),
	}, nil
}

func setDefault[T int | int64 | time.Duration](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}

// Update replaces the known endpoints. It is called when the VM list or the live
// entries change, and at least every second so that portions can grow. Open
// requests to endpoints that are no longer known go on.
func (f *Forwarder) Update(endpoints []Endpoint) {
	f.endpoints.update(f.options.Clock.Now(), endpoints)
}

// Stats returns the counters.
func (f *Forwarder) Stats() Stats {
	return Stats{
		Completed: f.completed.Load(),
		NotRun:    f.notRun.Load(),
		Unknown:   f.unknown.Load(),
		Retries:   f.retries.Load(),
		Ejections: f.endpoints.ejections.Load(),
	}
}

// Connections returns the open connections and the portion of each endpoint.
func (f *Forwarder) Connections() map[fleet.VMID][2]int { return f.endpoints.connections() }

// Close closes the idle connections.
func (f *Forwarder) Close() { f.endpoints.closeIdle() }

// Forward sends the request to an endpoint and writes the whole answer to w. It
// returns nil once the answer is written, a *fleet.Refusal if the request was
// not run, and an *UnknownError if it may have run; after an error nothing has
// been written. If a large answer breaks off after its start has been written,
// Forward panics with http.ErrAbortHandler, upon which net/http breaks the
// connection to the caller.
func (f *Forwarder) Forward(w http.ResponseWriter, r *http.Request, target Target) error {
	started := f.options.Clock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), f.options.MaxTime)
	defer cancel()
	c := &call{forwarder: f, target: target, request: r, idempotent: isIdempotent(r)}
	err := c.run(ctx, w)
	o := Observation{
		Target: target, VM: c.vm, Attempts: c.attempts,
		Outcome: f.count(err), Time: f.options.Clock.Now().Sub(started),
	}
	f.options.Observe(o)
	if c.broken {
		panic(http.ErrAbortHandler)
	}
	return err
}

func (f *Forwarder) count(err error) fleet.Outcome {
	var refusal *fleet.Refusal
	switch {
	case err == nil:
		f.completed.Add(1)
		return fleet.OutcomeCompleted
	case errors.As(err, &refusal):
		f.notRun.Add(1)
		return fleet.OutcomeNotRun
	}
	f.unknown.Add(1)
	return fleet.OutcomeUnknown
}

func isIdempotent(r *http.Request) bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Header.Get(IdempotentHeader) == "true"
}

// call is one request with its attempts.
type call struct {
	forwarder  *Forwarder
	target     Target
	request    *http.Request
	idempotent bool
	path       string // unescaped
	body       []byte
	vm         fleet.VMID
	attempts   int
	sent       bool  // an attempt may have run
	failure    error // of the last attempt that was sent
	broken     bool  // a part of an answer was written that cannot be completed
}

func (c *call) run(ctx context.Context, w http.ResponseWriter) error {
	if err := c.check(); err != nil {
		return err
	}
	if err := c.readBody(w); err != nil {
		return err
	}
	for {
		err := c.attempt(ctx, w)
		if err == nil || !c.mayRetry(ctx, err) {
			return c.verdict(err)
		}
		c.forwarder.retries.Add(1)
	}
}

// check refuses what cannot be forwarded.
func (c *call) check() error {
	path, err := url.PathUnescape(c.target.Path)
	if err != nil || !strings.HasPrefix(path, "/") {
		return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: fmt.Sprintf("path %q is not valid", c.target.Path)}
	}
	if c.request.Method == http.MethodConnect {
		return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: "method CONNECT is not supported"}
	}
	c.path = path
	return nil
}

// readBody reads the request's body, so that it can be sent again.
func (c *call) readBody(w http.ResponseWriter) error {
	limit := c.forwarder.options.MaxRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, c.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: fmt.Sprintf("request body is over the limit of %d bytes", limit)}
	case err != nil:
		return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: fmt.Sprintf("read request body: %v", err)}
	}
	c.body = body
	return nil
}

// mayRetry reports whether another attempt is allowed after err.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	var failed *attemptError
	if !errors.As(err, &failed) || c.broken || ctx.Err() != nil {
		return false
	}
	if failed.sent && !c.idempotent || c.attempts >= c.forwarder.options.MaxAttempts {
		return false
	}
	return c.forwarder.budget.take(c.forwarder.options.Clock.Now(), c.target.Team)
}

// verdict turns the error of the last attempt into that of the request. A
// refusal is proved only if no attempt was sent: the refusal of a retry must not
// be found in the error of a request that may have run.
func (c *call) verdict(err error) error {
	switch {
	case err == nil:
		return nil
	case c.sent:
		return &UnknownError{VM: c.vm, Cause: c.failure}
	}
	var refusal *fleet.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: err.Error()}
	}
	return &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: err.Error(), RetryAfter: noCapacityRetry}
}

// attempt sends the request to one endpoint.
func (c *call) attempt(ctx context.Context, w http.ResponseWriter) error {
	f := c.forwarder
	candidates, err := f.options.Candidates(c.target.Workspace)
	if err != nil {
		return err
	}
	lease, err := f.endpoints.acquire(f.options.Clock.Now(), candidates, c.vm)
	if err != nil {
		return err
	}
	c.vm = lease.vm
	c.attempts++
	result := c.exchange(ctx, w, lease)
	f.endpoints.release(f.options.Clock.Now(), lease, !c.endpointFailed(result))
	if result == nil {
		f.budget.succeeded(f.options.Clock.Now(), c.target.Team)
	}
	return result
}

// endpointFailed reports whether the error of an attempt tells against the
// endpoint. The end of the caller's request and the own limits do not.
func (c *call) endpointFailed(err error) bool {
	return err != nil && c.request.Context().Err() == nil && !errors.Is(err, errCaller) && !errors.Is(err, errNoSlot)
}

// exchange sends the request over a connection of the lease and passes the
// answer on.
func (c *call) exchange(ctx context.Context, w http.ResponseWriter, lease *lease) error {
	watch := &sendWatch{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := lease.transport.RoundTrip(c.outgoing(watch.trace(ctx), lease.address))
	if err != nil {
		return c.failed(watch.seal(), err)
	}
	defer resp.Body.Close()
	if err := c.passOn(w, resp); err != nil {
		return c.failed(true, err)
	}
	return nil
}

func (c *call) failed(sent bool, err error) error {
	if sent {
		c.sent, c.failure = true, err
	}
	return &attemptError{sent: sent, cause: err}
}

// attemptError is the failure of one attempt.
type attemptError struct {
	sent  bool // the endpoint may have received a part of the request
	cause error
}

func (e *attemptError) Error() string { return e.cause.Error() }
func (e *attemptError) Unwrap() error { return e.cause }
