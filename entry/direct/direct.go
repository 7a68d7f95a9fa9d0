// Package direct forwards a caller's HTTP request to an endpoint of a workspace.
//
// Each entry opens at most its quota of an endpoint's connections, sends a
// non-idempotent request at most once, and never presents a truncated response as
// complete: if a response breaks off, the outcome is reported as unknown or, once
// a part of it has been written, the connection to the caller is aborted.
package direct

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/node/intake"
)

// IdempotentHeader set to "true" marks a request that may be sent more than
// once. GET and HEAD requests need no mark.
const IdempotentHeader = "Amaranth-Idempotent"

// Defaults of Options.
const (
	DefaultMaxRequestBytes  = 1 << 20
	DefaultMaxBufferedBytes = 1 << 20
	DefaultTimeout          = 30 * time.Second
	DefaultMaxAttempts      = 3
	DefaultGrowDelay        = 2500 * time.Millisecond // evidence TTL of the view: by then the other entries have reduced their quotas
)

// noCapacityRetryAfter is the retry delay advised to callers when no endpoint has
// a free connection.
const noCapacityRetryAfter = 200 * time.Millisecond

// notReceivedRetryAfter is the retry delay advised to callers whose request was not received.
const notReceivedRetryAfter = time.Second

// Options configures a Forwarder. Candidates is required; zero values of the other
// fields select the defaults.
type Options struct {
	DataCentre fleet.DataCentreName // of this entry
	// Candidates returns the VMs that may serve a workspace now, or an error, such
	// as a *fleet.Refusal, that ends the request. It is called before each attempt.
	Candidates func(fleet.WorkspaceName) ([]fleet.VMID, error)

	Clock            fleet.Clock
	Random           func(n int) int   // returns a number from 0 to n-1
	Observe          func(Observation) // called at the end of each request
	StripHeaders     []string          // request headers that are not forwarded, such as keys
	MaxRequestBytes  int64             // limit of a request's body
	MaxBufferedBytes int64             // part of a response that is read before any of it is written to the caller, if there is memory for it
	Timeout          time.Duration     // of a request with all its attempts
	MaxAttempts      int
	GrowDelay        time.Duration // before a larger quota of connections is used
}

// Target names the workspace and path that a request addresses, and the team and
// class that it is accounted to.
type Target struct {
	Workspace fleet.WorkspaceName
	Path      string // escaped path of the endpoint's URL, with a leading slash
	Team      fleet.TeamName
	Class     fleet.Class
}

// Observation describes a request that has ended.
type Observation struct {
	Target   Target
	VM       fleet.VMID // of the last attempt; empty if there was none
	Outcome  fleet.Outcome
	Attempts int
	Time     time.Duration // of the whole request
}

// UnknownError reports a request that an endpoint may have run although no
// complete response could be passed on.
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

// Stats counts the events of a Forwarder since its creation.
type Stats struct {
	Completed int64 `json:"completed"` // requests whose response was written
	NotRun    int64 `json:"notRun"`    // requests refused without reaching an endpoint
	Unknown   int64 `json:"unknown"`   // requests that may have run
	Retries   int64 `json:"retries"`   // attempts after the first
	Ejections int64 `json:"ejections"` // of endpoints, after failures
}

// Forwarder forwards requests to the endpoints set by Update. Until the first
// Update it refuses all requests. It is safe for concurrent use.
type Forwarder struct {
	options   Options
	endpoints *endpointSet
	budget    *retryBudget

	completed, notRun, unknown, retries atomic.Int64
}

// New returns a forwarder without endpoints. It fails only if Candidates is nil.
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
	setDefault(&o.MaxRequestBytes, DefaultMaxRequestBytes)
	setDefault(&o.MaxBufferedBytes, DefaultMaxBufferedBytes)
	setDefault(&o.Timeout, DefaultTimeout)
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

// Update replaces the known endpoints. It must be called when the VM list or the
// set of live entries changes, and at least every second, since quotas grow only
// during a call. Open requests to endpoints that were dropped continue.
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

// Connections returns, for each endpoint, the number of open connections and the
// quota.
func (f *Forwarder) Connections() map[fleet.VMID][2]int { return f.endpoints.connections() }

// Close closes the idle connections. Open requests continue.
func (f *Forwarder) Close() { f.endpoints.closeIdle() }

// Forward sends the request to an endpoint and writes the complete response to w.
// It returns nil once the response is written, a *fleet.Refusal if the request was
// not run, and an *UnknownError if it may have run; if it returns an error, nothing
// has been written to w. If a response breaks off after its start has been written,
// Forward panics with http.ErrAbortHandler, which makes net/http abort the
// connection to the caller.
func (f *Forwarder) Forward(w http.ResponseWriter, r *http.Request, target Target) error {
	started := f.options.Clock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), f.options.Timeout)
	defer cancel()
	c := &call{forwarder: f, target: target, request: r, idempotent: isIdempotent(r)}
	err := c.run(ctx, w)
	o := Observation{
		Target: target, VM: c.vm, Attempts: c.attempts,
		Outcome: f.count(err), Time: f.options.Clock.Now().Sub(started),
	}
	f.options.Observe(o)
	if c.truncated {
		panic(http.ErrAbortHandler)
	}
	return err
}

// count counts the outcome of a request that ended with err and returns it.
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

// call is one request of a caller and the state of its attempts.
type call struct {
	forwarder   *Forwarder
	target      Target
	request     *http.Request
	idempotent  bool
	path        string // target.Path, unescaped
	body        []byte
	vm          fleet.VMID // of the last attempt
	attempts    int
	mayHaveRun  bool  // an endpoint may have received a part of the request
	sentFailure error // failure of the last attempt that an endpoint may have received
	truncated   bool  // the caller has received only a part of the response
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
			return c.requestError(err)
		}
		c.forwarder.retries.Add(1)
	}
}

// check refuses requests whose path or method cannot be forwarded.
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

// readBody reads the request's body into memory, so that a retry can send it again.
func (c *call) readBody(w http.ResponseWriter) error {
	limit := c.forwarder.options.MaxRequestBytes
	body, err := intake.ReadBody(w, c.request, limit)
	if err == nil {
		err = body.Decode(c.request.Context(), func(b []byte) error { c.body = b; return nil })
	}
	var tooLarge *http.MaxBytesError
	switch {
	case intake.NotReceived(err):
		return &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: err.Error(), RetryAfter: notReceivedRetryAfter}
	case errors.As(err, &tooLarge):
		return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: fmt.Sprintf("request body is over the limit of %d bytes", limit)}
	case err != nil:
		return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: fmt.Sprintf("read request body: %v", err)}
	}
	return nil
}

// mayRetry reports whether another attempt is allowed after err, and counts it in
// the retry budget of the team.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	var failed *attemptError
	if !errors.As(err, &failed) || c.truncated || ctx.Err() != nil {
		return false
	}
	if failed.sent && !c.idempotent || c.attempts >= c.forwarder.options.MaxAttempts {
		return false
	}
	return c.forwarder.budget.allow(c.forwarder.options.Clock.Now(), c.target.Team)
}

// requestError converts the error of the last attempt to that of the request. A
// *fleet.Refusal asserts that the request was not run, so it is returned only if no
// attempt was sent. When a retry is refused after an attempt that was sent, the
// refusal must not be in the error chain.
func (c *call) requestError(err error) error {
	switch {
	case err == nil:
		return nil
	case c.mayHaveRun:
		return &UnknownError{VM: c.vm, Cause: c.sentFailure}
	}
	var refusal *fleet.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: err.Error()}
	}
	return &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: err.Error(), RetryAfter: noCapacityRetryAfter}
}

// attempt chooses an endpoint, sends the request to it and records the result.
func (c *call) attempt(ctx context.Context, w http.ResponseWriter) error {
	f := c.forwarder
	candidates, err := f.options.Candidates(c.target.Workspace)
	if err != nil {
		return err
	}
	reserved, err := f.endpoints.acquire(f.options.Clock.Now(), candidates, c.vm)
	if err != nil {
		return err
	}
	c.vm = reserved.vm
	c.attempts++
	result := c.exchange(ctx, w, reserved)
	f.endpoints.release(f.options.Clock.Now(), reserved, !c.endpointFailed(result))
	if result == nil {
		f.budget.recordSuccess(f.options.Clock.Now(), c.target.Team)
	}
	return result
}

// endpointFailed reports whether the error of an attempt counts as a failure of the
// endpoint. Cancellation by the caller, failed writes to the caller and the lack of
// a free connection in the quota do not.
func (c *call) endpointFailed(err error) bool {
	return err != nil && c.request.Context().Err() == nil && !errors.Is(err, errWriteToCaller) && !errors.Is(err, errNoConnection)
}

// exchange sends the request over a connection to the reserved endpoint and writes
// the response to the caller.
func (c *call) exchange(ctx context.Context, w http.ResponseWriter, reserved *reservation) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := c.roundTrip(ctx, reserved)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := c.relayResponse(w, resp); err != nil {
		return c.failed(true, err)
	}
	return nil
}

// roundTrip sends the request and returns the head of the response. If a reused
// connection proves unusable before any byte is sent, that is no failure of the
// endpoint, and another connection is used.
func (c *call) roundTrip(ctx context.Context, reserved *reservation) (*http.Response, error) {
	for {
		tracker := &connTracker{}
		resp, err := reserved.transport.RoundTrip(c.outgoing(tracker.trace(ctx, c.request.Method), reserved.address))
		if err == nil && tracker.responseMatches() {
			return resp, nil
		}
		if err == nil { // the response is left over from an earlier request
			resp.Body.Close()
			err = errSealed
		}
		sent, reused := tracker.seal()
		if sent || !reused || ctx.Err() != nil {
			return nil, c.failed(sent, err)
		}
	}
}

// failed records a failed attempt and returns its *attemptError.
func (c *call) failed(sent bool, err error) error {
	if sent {
		c.mayHaveRun, c.sentFailure = true, err
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
