package direct

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"amaranthfork.example/backing/httpapi"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
	"amaranthfork.example/node/intake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// okResponse is a complete response with the body "body".
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry is a forwarder behind an HTTP server. It records the observation and the
// error of each request.
type entry struct {
	*Forwarder
	url   string
	clock *fleettest.ManualClock

	handlers sync.WaitGroup // running requests; a caller has its response before the request is observed

	mu   sync.Mutex
	errs []error
	seen []Observation
}

// newEntry starts an entry and lets the grow delay pass, so that it has its quotas.
func newEntry(t testing.TB, endpoints []Endpoint, change func(*Options)) *entry {
	e := &entry{clock: fleettest.NewManualClock(start)}
	var vms []fleet.VMID
	for _, n := range endpoints {
		vms = append(vms, n.VM)
	}
	o := Options{
		DataCentre: "east", Clock: e.clock, StripHeaders: []string{"Authorization"},
		Candidates: func(fleet.WorkspaceName) ([]fleet.VMID, error) { return vms, nil },
		Observe: func(o Observation) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.seen = append(e.seen, o)
		},
	}
	if change != nil {
		change(&o)
	}
	f, err := New(o)
	must(t, err)
	e.Forwarder = f
	e.Update(endpoints)
	e.clock.Advance(DefaultGrowDelay)
	e.Update(endpoints)
	server := httptest.NewUnstartedServer(e)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	e.url = server.URL
	t.Cleanup(func() {
		server.Close()
		f.Close()
	})
	return e
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handlers.Add(1)
	defer e.handlers.Done()
	err := e.Forward(w, r, Target{Workspace: "w", Path: r.URL.EscapedPath(), Team: "t"})
	e.mu.Lock()
	e.errs = append(e.errs, err)
	e.mu.Unlock()
	if err != nil {
		var refusal *fleet.Refusal
		if errors.As(err, &refusal) {
			w.Header().Set("Outcome", string(fleet.OutcomeNotRun))
		}
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// last returns the observation and error of the last request.
func (e *entry) last() (Observation, error) {
	e.handlers.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[len(e.seen)-1], e.errs[len(e.errs)-1]
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// newEndpoints opens an endpoint for each VM on the in-process platform and returns the
// host with the list of endpoints.
func newEndpoints(t testing.TB, vms ...fleet.VMID) (*httpapi.Endpoints, []Endpoint) {
	host := httpapi.NewEndpoints(httpapi.EndpointOptions{})
	t.Cleanup(func() { must(t, host.Close()) })
	var list []Endpoint
	for _, vm := range vms {
		address, err := host.Open(vm)
		must(t, err)
		list = append(list, Endpoint{VM: vm, DataCentre: "east", Address: address, Entries: 1})
	}
	return host, list
}

// newRawEndpoint starts an endpoint that answers the requests of each connection with
// fixed bytes, one response for each request, and closes the connection after the
// last. It returns the endpoint and the number of requests that have arrived.
func newRawEndpoint(t testing.TB, answers ...string) (Endpoint, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	var arrivals atomic.Int64
	var open sync.WaitGroup
	open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, answer := range answers {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					arrivals.Add(1)
					io.WriteString(conn, answer)
				}
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		open.Wait()
	})
	return Endpoint{VM: "raw", DataCentre: "east", Address: listener.Addr().String(), Entries: 1}, &arrivals
}

// closedPort returns an address that refuses connections.
func closedPort(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// do sends a request as a caller and returns the complete response. header holds
// names and values in turn.
func do(t testing.TB, method, url, body string, header ...string) (status int, answer string, err error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	must(t, err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// TestOutcomes guards against a failure that is reported with the wrong outcome, a
// non-idempotent request that arrives more than once, and a truncated response that a
// caller mistakes for a complete one.
func TestOutcomes(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	large := strings.Repeat("x", DefaultMaxBufferedBytes+1)
	tests := []struct {
		name     string
		answer   string
		method   string
		header   []string
		outcome  fleet.Outcome
		arrivals int64
		status   int // seen by the caller; 0 if the response breaks off
	}{
		{"complete", okResponse, "POST", nil, fleet.OutcomeCompleted, 1, 200},
		{"reset after the request", "", "POST", nil, fleet.OutcomeUnknown, 1, 503},
		{"reset after the request with an idempotency key", "", "POST", []string{"Idempotency-Key", "1"}, fleet.OutcomeUnknown, 1, 503},
		{"reset, marked idempotent", "", "POST", []string{IdempotentHeader, "true"}, fleet.OutcomeUnknown, 3, 503},
		{"reset, GET", "", "GET", nil, fleet.OutcomeUnknown, 3, 503},
		{"truncated headers", "HTTP/1.1 200 OK\r\nContent-Le", "POST", nil, fleet.OutcomeUnknown, 1, 503},
		{"truncated body", okResponse[:len(okResponse)-1], "POST", nil, fleet.OutcomeUnknown, 1, 503},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "POST", nil, fleet.OutcomeUnknown, 1, 503},
		{"no length", "HTTP/1.0 200 OK\r\n\r\nbody", "POST", nil, fleet.OutcomeUnknown, 1, 503},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", "POST", nil, fleet.OutcomeUnknown, 1, 503},
		{"large", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large), large), "POST", nil, fleet.OutcomeCompleted, 1, 200},
		{"large, truncated", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large)+1, large), "POST", nil, fleet.OutcomeUnknown, 1, 0},
		{"large, truncated, GET", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large)+1, large), "GET", nil, fleet.OutcomeUnknown, 1, 0},
		{"large, truncated chunk", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(large), large), "POST", nil, fleet.OutcomeUnknown, 1, 0},
	}
	for _, test := range tests {
		endpoint, arrivals := newRawEndpoint(t, test.answer)
		e := newEntry(t, []Endpoint{endpoint}, nil)
		status, _, err := do(t, test.method, e.url, "x", test.header...)
		if broken := test.status == 0; broken != (err != nil) || !broken && status != test.status {
			t.Errorf("%s: caller saw status %d, %v; want the status of the test case, or an error if that is 0", test.name, status, err)
		}
		e.handlers.Wait()
		e.mu.Lock()
		got := e.seen[0]
		e.mu.Unlock()
		if got.Outcome != test.outcome || arrivals.Load() != test.arrivals {
			t.Errorf("%s: outcome %s, %d arrivals; want %s, %d", test.name, got.Outcome, arrivals.Load(), test.outcome, test.arrivals)
		}
	}
}

// TestReusedConnection guards against the automatic retry of net/http, which sends a
// request with an Idempotency-Key header again when a reused connection breaks.
func TestReusedConnection(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	endpoint, arrivals := newRawEndpoint(t, okResponse, "")
	e := newEntry(t, []Endpoint{endpoint}, nil)
	for i, want := range []fleet.Outcome{fleet.OutcomeCompleted, fleet.OutcomeUnknown} {
		_, _, err := do(t, "POST", e.url, "", "Idempotency-Key", "1")
		must(t, err)
		if seen, err := e.last(); seen.Outcome != want || arrivals.Load() != int64(i+1) {
			t.Errorf("request %d: outcome %v, %v, %d arrivals; want the first completed, the second unknown, and each to arrive once", i, seen.Outcome, err, arrivals.Load())
		}
	}
}

// TestSecondResponse guards against a response that reaches the wrong caller: an
// endpoint sends two responses to one request, and the second is read as that to the
// next request on the connection.
func TestSecondResponse(t *testing.T) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	defer transport.CloseIdleConnections()
	log.SetOutput(io.Discard) // net/http logs unsolicited responses
	defer log.SetOutput(os.Stderr)
	late := strings.Replace(okResponse, "body", "late", 1)
	for _, first := range []string{okResponse + late, okResponse + late[:5], "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse + late} {
		endpoint, arrivals := newRawEndpoint(t, first, okResponse, okResponse)
		endpoint.Entries = DefaultConnections / 2
		e := newEntry(t, []Endpoint{endpoint}, nil)
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for range 100 {
					resp, err := (&http.Client{Transport: transport}).Post(e.url, "text/plain", nil)
					if err != nil {
						t.Error(err)
						return
					}
					answer, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					if resp.StatusCode == 200 && string(answer) != "body" {
						t.Errorf("got response body %q, %v; want that of the caller's own request", answer, err)
					}
				}
			})
		}
		callers.Wait()
		e.handlers.Wait()
		if s := e.Stats(); s.Completed == 0 || s.Completed != arrivals.Load() || s.Unknown+s.Retries != 0 {
			t.Errorf("%d arrivals, stats %+v; want each completed, and none unknown or retried", arrivals.Load(), s)
		}
	}
}

// TestResponseSize guards against a connection that is used again although the endpoint
// has not sent exactly one complete response, however the bytes are split into reads.
func TestResponseSize(t *testing.T) {
	for _, test := range []struct {
		method, answer string
		reused         bool // by the next request
	}{
		{"POST", okResponse, true},
		{"POST", okResponse + "x", false},
		{"POST", okResponse[:len(okResponse)-1], false},
		{"POST", "HTTP/1.1 200 OK\r\nContent-Len", false},
		{"POST", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		{"POST", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, false},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"POST", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", true},
		{"HEAD", okResponse[:len(okResponse)-4], true},
		{"HEAD", okResponse, false},
		{"POST", "not HTTP\r\n\r\n", false},
		{"POST", strings.Repeat("x", 2*maxResponseHeaderBytes), false},
	} {
		for _, size := range []int{1, 7, len(test.answer)} {
			c := &conn{Conn: discard{}, closed: func() {}}
			if c.startRequest(test.method) {
				t.Fatal("a new connection counts as reused")
			}
			for part := range slices.Chunk([]byte(test.answer), size) {
				c.response.add(part)
			}
			reused := c.startRequest("POST")
			_, err := c.Write([]byte("x"))
			if !reused || (err == nil) != test.reused {
				t.Errorf("%s, response %.60q in parts of %d: wrong decision on the reuse of the connection: %v", test.method, test.answer, size, err)
			}
		}
	}
}

// TestResponseWithoutMemoryForIt guards against a response that is held, refused or cut
// because callers' requests use all the memory that they may: it is passed on as it arrives.
func TestResponseWithoutMemoryForIt(t *testing.T) {
	body := strings.Repeat("b", 100_000)
	endpoint, _ := newRawEndpoint(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	e := newEntry(t, []Endpoint{endpoint}, nil)
	port := intake.NewPort("callers", intake.DefaultSettings(), intake.Limits{Connections: 4, Bytes: 10_000, Grace: time.Second}, zap.NewNop())
	listener, err := port.Listen(t.Context(), "127.0.0.1:0")
	must(t, err)
	server := port.Server(e)
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })   // no request is left
	status, answer, err := do(t, "GET", "http://"+listener.Addr().String()+"/x", "")
	if err != nil || status != http.StatusOK || answer != body {
		t.Errorf("status %d, %d bytes, %v; want the whole response", status, len(answer), err)
	}
	var held string
	port.Publish(func(name string, v expvar.Var) {
		if name == "callers_refused_requests" {
			held = v.String()
		}
	})
	if held != "1" {
		t.Errorf("%s refusals of memory, want one: the response is not accounted for", held)
	}
}

// discard is a connection that accepts and drops all writes.
type discard struct{ net.Conn }

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// TestClosedConnections guards against refusals when the quota is in full use and
// one of its connections is just being closed.
func TestClosedConnections(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	endpoint, _ := newRawEndpoint(t, strings.Replace(okResponse, "OK\r\n", "OK\r\nConnection: close\r\n", 1))
	endpoint.Entries = DefaultConnections / 2
	e := newEntry(t, []Endpoint{endpoint}, nil)
	var callers sync.WaitGroup
	for range 2 {
		callers.Go(func() {
			for range 200 {
				if status, _, err := do(t, "POST", e.url, "x"); status != 200 {
					t.Errorf("status %d, %v; want 200", status, err)
				}
			}
		})
	}
	callers.Wait()
	e.handlers.Wait()
	if s := e.Stats(); s.Completed != 400 || s.Retries != 0 {
		t.Errorf("stats %+v, want 400 completed and no retries", s)
	}
}

// TestWaitForConnections guards against waiters that are not woken when the quota
// grows by more than one connection at a time.
func TestWaitForConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEndpointSet("east", 0, nil)
		e := s.newState(start)
		granted := make(chan error, 4)
		ctx, cancel := context.WithCancel(t.Context())
		for range 4 {
			go func() { granted <- s.reserveConnection(ctx, e) }()
		}
		synctest.Wait()
		s.mu.Lock()
		e.resizeQuota(start, 3, 0)
		s.mu.Unlock()
		synctest.Wait()
		if len(granted) != 3 {
			t.Errorf("%d waiters got a connection, want 3", len(granted))
		}
		cancel()
		synctest.Wait()
		if len(granted) != 4 || s.tryReserveConnection(e) {
			t.Errorf("a wait continues after its context ended, or the quota was exceeded")
		}
	})
}

// TestCanceledRequests guards against cancellations by callers that count as
// failures of the endpoint and eject it.
func TestCanceledRequests(t *testing.T) {
	_, endpoints := newEndpoints(t, "v")
	ended := make(chan Observation)
	e := newEntry(t, endpoints, func(o *Options) { o.Observe = func(o Observation) { ended <- o } })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 50 * time.Millisecond}
	for range 2 * ejectAfterFailures {
		if _, err := client.Get(e.url + "?delay=1h"); err == nil {
			t.Fatal("the request was not canceled")
		}
		if o := <-ended; o.Outcome != fleet.OutcomeUnknown {
			t.Errorf("canceled request: %+v, want an unknown outcome", o)
		}
	}
	if s := e.Stats(); s.Ejections != 0 || s.Retries != 0 {
		t.Errorf("stats %+v, want no ejections and no retries", s)
	}
}

// TestRefusedRetry guards against a request that is reported as not run because its
// retry was refused, although the first attempt had reached the endpoint.
func TestRefusedRetry(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	endpoint, _ := newRawEndpoint(t, "")
	calls := 0
	e := newEntry(t, []Endpoint{endpoint}, func(o *Options) {
		o.Candidates = func(fleet.WorkspaceName) ([]fleet.VMID, error) {
			if calls++; calls > 1 {
				return nil, &fleet.Refusal{Reason: fleet.ReasonStaleView}
			}
			return []fleet.VMID{"raw"}, nil
		}
	})
	_, _, err := do(t, "GET", e.url, "")
	must(t, err)
	var refusal *fleet.Refusal
	if seen, err := e.last(); errors.As(err, &refusal) || seen.Outcome != fleet.OutcomeUnknown {
		t.Errorf("got %v, %+v; want an unknown outcome and no refusal", err, seen)
	}
}

// TestRetriesAreBounded guards against retries without a bound when an endpoint fails
// all requests.
func TestRetriesAreBounded(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	endpoint, arrivals := newRawEndpoint(t, "")
	e := newEntry(t, []Endpoint{endpoint}, nil)
	for range 5 {
		_, _, err := do(t, "GET", e.url, "")
		must(t, err)
	}
	if n := arrivals.Load(); n != 5+minRetriesPerWindow || e.Stats().Retries != minRetriesPerWindow {
		t.Errorf("%d arrivals of 5 requests, stats %+v; want only the minimum of retries", n, e.Stats())
	}
}

// TestDeadline guards against a request that is reported as not run, or is sent again,
// after it has timed out.
func TestDeadline(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	host, endpoints := newEndpoints(t, "v")
	e := newEntry(t, endpoints, func(o *Options) { o.Timeout = 100 * time.Millisecond })
	_, _, err := do(t, "GET", e.url+"?delay=1h&id=late", "")
	must(t, err)
	if _, err := e.last(); !errors.Is(err, context.DeadlineExceeded) || host.Arrivals("late") != 1 {
		t.Errorf("got %v, %d arrivals; want a timeout and one arrival", err, host.Arrivals("late"))
	}
	var unknown *UnknownError
	if _, err := e.last(); !errors.As(err, &unknown) || unknown.VM != "v" || e.Stats().Retries != 0 {
		t.Errorf("got %v, stats %+v; want an UnknownError of VM v and no retries", err, e.Stats())
	}
}

// TestNotRun guards against a refusal of a request that has reached an endpoint.
func TestNotRun(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	host, endpoints := newEndpoints(t, "v")
	refusing := []Endpoint{{VM: "r", DataCentre: "east", Address: closedPort(t), Entries: 1}}
	leaving := slices.Clone(endpoints)
	leaving[0].Leaving = true
	crowded := slices.Clone(endpoints)
	crowded[0].Entries = 65
	stale := &fleet.Refusal{Reason: fleet.ReasonStaleView}
	tests := []struct {
		name      string
		endpoints []Endpoint
		body      string
		change    func(*Options)
		reason    fleet.Reason
	}{
		{"refused connection", refusing, "x", nil, fleet.ReasonNoCapacity},
		{"no endpoint", nil, "x", nil, fleet.ReasonNoCapacity},
		{"leaving endpoint", leaving, "x", nil, fleet.ReasonNoCapacity},
		{"quota of zero", crowded, "x", nil, fleet.ReasonNoCapacity},
		{"large request", endpoints, strings.Repeat("x", DefaultMaxRequestBytes+1), nil, fleet.ReasonInvalid},
		{"stale view", endpoints, "x", func(o *Options) {
			o.Candidates = func(fleet.WorkspaceName) ([]fleet.VMID, error) { return nil, stale }
		}, fleet.ReasonStaleView},
	}
	for _, test := range tests {
		e := newEntry(t, test.endpoints, test.change)
		_, _, err := do(t, "POST", e.url, test.body)
		must(t, err)
		seen, err := e.last()
		var refusal *fleet.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != test.reason || seen.Outcome != fleet.OutcomeNotRun {
			t.Errorf("%s: got %v, %+v; want a refusal with the reason of the test case", test.name, err, seen)
		}
	}
	if n := host.Stats()["v"].Requests; n != 0 {
		t.Errorf("%d refused requests reached an endpoint", n)
	}
	// A refused connection is not sent, so that even a POST may try another endpoint.
	e := newEntry(t, append(refusing, endpoints...), func(o *Options) { o.Random = func(int) int { return 0 } })
	if status, _, err := do(t, "POST", e.url, "x"); status != 200 {
		t.Errorf("POST after a refused connection: status %d, %v; want 200", status, err)
	}
}

// TestForwardedRequest guards against requests and responses that change on the way,
// and against hop-by-hop or private headers that are forwarded.
func TestForwardedRequest(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	var got *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-Kept", "1")
		w.WriteHeader(http.StatusTeapot)
		io.WriteString(w, "tea")
	}))
	t.Cleanup(server.Close)
	e := newEntry(t, []Endpoint{{VM: "v", Address: server.Listener.Addr().String(), Entries: 1}}, nil)
	r, err := http.NewRequest("PUT", e.url+"/a%2Fb/c?q=1&q=2", strings.NewReader("hello"))
	must(t, err)
	r.Host = "caller.example"
	r.Header = http.Header{
		"Connection": {"X-Private"}, "X-Private": {"1"}, "Authorization": {"key"}, "Te": {"trailers"},
		"X-Team": {"1", "2"}, "User-Agent": {"test"},
	}
	resp, err := http.DefaultClient.Do(r)
	must(t, err)
	answer, err := io.ReadAll(resp.Body)
	must(t, err)
	resp.Body.Close()
	if resp.StatusCode != http.StatusTeapot || string(answer) != "tea" || resp.ContentLength != 3 ||
		resp.Header.Get("X-Hop") != "" || resp.Header.Get("X-Kept") != "1" {
		t.Errorf("caller received body %q, response %+v", answer, resp)
	}
	if got.Method != "PUT" || got.RequestURI != "/a%2Fb/c?q=1&q=2" || got.Host != "caller.example" || string(body) != "hello" {
		t.Errorf("request %s %s for %s with body %q", got.Method, got.RequestURI, got.Host, body)
	}
	for _, name := range []string{"X-Private", "Authorization", "Te"} {
		if got.Header.Get(name) != "" {
			t.Errorf("header %s was forwarded", name)
		}
	}
	if len(got.Header["X-Team"]) != 2 {
		t.Errorf("forwarded headers %v, want both values of X-Team", got.Header)
	}
	if status, answer, err := do(t, "HEAD", e.url, ""); status != http.StatusTeapot || answer != "" || err != nil {
		t.Errorf("HEAD: status %d, body %q, %v; want 418 without a body", status, answer, err)
	}
}

// TestQuotas guards against more connections than an endpoint accepts while two entries
// share them under load and their quotas change.
func TestQuotas(t *testing.T) {
	host, endpoints := newEndpoints(t, "v")
	transport := &http.Transport{MaxIdleConnsPerHost: 200}
	defer transport.CloseIdleConnections()
	sharedBy := func(entries int) []Endpoint {
		list := slices.Clone(endpoints)
		list[0].Entries = entries
		return list
	}
	a := newEntry(t, sharedBy(1), nil)
	b := newEntry(t, sharedBy(2), nil)
	a.Update(sharedBy(2))
	load := func() (done int64) {
		var completed atomic.Int64
		var callers sync.WaitGroup
		for i := range 160 {
			e := a
			if i%2 == 0 {
				e = b
			}
			callers.Go(func() {
				for range 5 {
					resp, err := (&http.Client{Transport: transport}).Get(e.url + "?delay=2ms")
					if err != nil {
						t.Error(err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == 200 {
						completed.Add(1)
					}
				}
			})
		}
		callers.Wait()
		return completed.Load()
	}
	done := load()
	stats := host.Stats()["v"]
	if stats.Refused != 0 || stats.PeakConnections > 64 || stats.PeakConnections < 33 || done == 0 {
		t.Errorf("%d completed, stats %+v; want no refused connections and a peak of 33 to 64", done, stats)
	}
	connections := func(e *entry) [2]int { return e.Connections()["v"] }
	b.Update(sharedBy(4))
	if c := connections(b); c[1] != 16 || c[0] > 16 {
		t.Errorf("after a reduction: open %d of %d, want the quota at 16 at once", c[0], c[1])
	}
	b.Update(sharedBy(1))
	b.clock.Advance(DefaultGrowDelay - time.Millisecond)
	b.Update(sharedBy(1))
	if c := connections(b); c[1] != 16 {
		t.Errorf("quota of %d before the other entries have reduced theirs, want 16", c[1])
	}
	b.clock.Advance(time.Millisecond)
	b.Update(sharedBy(1))
	if c := connections(b); c[1] != 64 {
		t.Errorf("quota of %d after the delay, want 64", c[1])
	}
	b.Update(nil)
	if c := connections(b); c != [2]int{} {
		t.Errorf("an endpoint that is no longer known has connections: %v", c)
	}
	fresh, err := New(Options{Candidates: func(fleet.WorkspaceName) ([]fleet.VMID, error) { return nil, nil }, Clock: a.clock})
	must(t, err)
	fresh.Update(sharedBy(1))
	if c := fresh.Connections()["v"]; c[1] != 0 {
		t.Errorf("a new entry has a quota of %d at once, want 0", c[1])
	}
}

// TestFaultsTogether guards against responses to other requests, arrivals of requests
// that are reported as not run, and repeated arrivals of non-idempotent ones, while
// endpoints fail in several ways and quotas change.
func TestFaultsTogether(t *testing.T) {
	var unreachable [4]atomic.Bool
	vms := []fleet.VMID{"0", "1", "2", "3"}
	host := httpapi.NewEndpoints(httpapi.EndpointOptions{
		MaxConnections: 16,
		Reachable:      func(vm fleet.VMID) bool { return !unreachable[vm[0]-'0'].Load() },
	})
	defer host.Close()
	var endpoints []Endpoint
	for _, vm := range vms {
		address, err := host.Open(vm)
		must(t, err)
		endpoints = append(endpoints, Endpoint{VM: vm, DataCentre: "east", Address: address, Entries: 1, Connections: 16})
	}
	e := newEntry(t, endpoints, func(o *Options) { o.GrowDelay = time.Nanosecond })
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() {
		random := rand.New(rand.NewPCG(1, 1))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			i := random.IntN(len(endpoints))
			unreachable[i].Store(random.IntN(4) == 0)
			endpoints[i].Leaving = random.IntN(4) == 0
			endpoints[i].Entries = 1 + random.IntN(3)
			e.clock.Advance(time.Duration(random.IntN(300)) * time.Millisecond)
			e.Update(endpoints)
		}
	})
	kinds := []string{"", "", "&delay=1ms", "&chunked=1", "&truncate=5", "&truncate=5&chunked=1", "&reset=1"}
	var completed, arrived, nonIdempotent atomic.Int64
	for c := range 32 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(2, uint64(c)))
			for n := range 60 {
				id := fmt.Sprintf("%d-%d", c, n)
				body := id + strings.Repeat("x", random.IntN(20)*random.IntN(20)*100)
				method := []string{"POST", "POST", "PUT"}[random.IntN(3)]
				r, err := http.NewRequest(method, e.url+"/?id="+id+kinds[random.IntN(len(kinds))], strings.NewReader(body))
				must(t, err)
				idempotent := method == "PUT"
				if idempotent {
					r.Header.Set(IdempotentHeader, "true")
				}
				resp, err := client.Do(r)
				if err != nil {
					continue // the response broke off
				}
				answer, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				arrivals := host.Arrivals(id)
				switch {
				case err != nil:
				case resp.StatusCode == 200 && string(answer) != body:
					t.Errorf("%s: response of %d bytes does not belong to the request of %d bytes", id, len(answer), len(body))
				case resp.StatusCode == 200:
					completed.Add(1)
				case resp.Header.Get("Outcome") == "not_run" && arrivals != 0:
					t.Errorf("%s: request reported as not run has arrived: %s %s", id, r.URL, answer)
				case arrivals > 0:
					arrived.Add(1)
				}
				if !idempotent {
					nonIdempotent.Add(1)
					if arrivals > 1 {
						t.Errorf("%s: %s arrived %d times", id, method, arrivals)
					}
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	faults.Wait()
	e.handlers.Wait()
	s := e.Stats()
	if completed.Load() == 0 || arrived.Load() == 0 || nonIdempotent.Load() == 0 || s.NotRun == 0 || s.Unknown == 0 || s.Retries == 0 || s.Ejections == 0 {
		t.Errorf("the faults did not lead to every outcome: %d complete, %d arrived, %+v", completed.Load(), arrived.Load(), s)
	}
	for vm, stats := range host.Stats() {
		if stats.Refused != 0 {
			t.Errorf("VM %s refused %d connections over its limit", vm, stats.Refused)
		}
	}
	if c := e.Connections(); len(c) != len(vms) {
		t.Errorf("connections %v, want those of all VMs", c)
	}
}

// TestChoice guards against requests to leaving, ejected, remote or busier endpoints
// while there are better ones.
func TestChoice(t *testing.T) {
	now := start
	random := 0
	s := newEndpointSet("east", 0, func(n int) int { random++; return random % n })
	endpoint := func(vm fleet.VMID, dc fleet.DataCentreName) Endpoint {
		return Endpoint{VM: vm, DataCentre: dc, Entries: 1, Connections: 10}
	}
	list := []Endpoint{endpoint("a", "east"), endpoint("b", "east"), endpoint("far", "west")}
	all := []fleet.VMID{"a", "b", "far", "unknown"}
	acquire := func(n int, last fleet.VMID) (reservations []*reservation, countByVM map[fleet.VMID]int) {
		countByVM = map[fleet.VMID]int{}
		for range n {
			r, err := s.acquire(now, all, last)
			if err != nil {
				break
			}
			countByVM[r.vm]++
			reservations = append(reservations, r)
		}
		return reservations, countByVM
	}
	end := func(reservations []*reservation, ok bool) {
		for _, r := range reservations {
			s.release(now, r, ok)
		}
	}
	check := func(what string, countByVM map[fleet.VMID]int, want string) {
		t.Helper()
		if got := fmt.Sprint(countByVM); got != want {
			t.Errorf("%s: got %s, want %s", what, got, want)
		}
	}
	s.update(now, list)
	reservations, countByVM := acquire(8, "")
	check("less busy of this data centre", countByVM, "map[a:4 b:4]")
	more, countByVM := acquire(50, "")
	check("all connections", countByVM, "map[a:6 b:6 far:10]")
	end(append(reservations, more...), true)
	reservations, countByVM = acquire(3, "a")
	check("not the endpoint of the last attempt", countByVM, "map[b:3]")
	end(reservations, true)
	list[0].Leaving = true
	s.update(now, list)
	reservations, countByVM = acquire(3, "")
	check("leaving", countByVM, "map[b:3]")
	end(reservations, false) // ejects b
	reservations, countByVM = acquire(3, "")
	check("ejected", countByVM, "map[far:3]")
	end(reservations, true)
	now = now.Add(minEjectTime + rampUpTime/2)
	reservations, countByVM = acquire(20, "")
	check("half of the ramp-up", countByVM, "map[b:5 far:10]")
	end(reservations, true)
	b, err := s.acquire(now, []fleet.VMID{"b"}, "")
	must(t, err)
	s.release(now, b, false)
	now = now.Add(2*minEjectTime - 1)
	_, countByVM = acquire(1, "")
	check("ejected for longer after a failure during the ramp-up", countByVM, "map[far:1]")
	b, err = s.acquire(now, []fleet.VMID{"b"}, "")
	must(t, err) // an ejected endpoint is better than none
	s.release(now, b, true)
	now = now.Add(1 + rampUpTime)
	reservations, countByVM = acquire(11, "")
	check("after the ramp-up", countByVM, "map[b:10 far:1]")
	end(reservations, true)
}

// TestRetryBudget guards against retries of a team that exceed its budget and so
// amplify an overload.
func TestRetryBudget(t *testing.T) {
	b := newRetryBudget()
	now := start
	retries := func() (n int) {
		for b.allow(now, "t") {
			n++
		}
		return n
	}
	for range 100 {
		b.recordSuccess(now, "t")
	}
	if n := retries(); n != 10 {
		t.Errorf("%d retries after 100 successes, want 10", n)
	}
	if !b.allow(now, "other") {
		t.Error("the budget of a team was spent by another")
	}
	now = now.Add(retryWindowSeconds * time.Second)
	if n := retries(); n != minRetriesPerWindow {
		t.Errorf("%d retries without recent successes, want %d", n, minRetriesPerWindow)
	}
}

// TestSeal guards against a request that is reported as not sent but is written later,
// because a sealed connection still writes.
func TestSeal(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near, closed: func() {}}
	defer c.Close()
	c.startRequest("GET")
	if c.seal() {
		t.Error("seal reports a write before the first one")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errSealed) {
		t.Errorf("write after the seal: %v, want errSealed", err)
	}
}

// BenchmarkDelay measures the latency of a POST of 100 bytes to an endpoint, called
// directly and through an entry. The difference is what the entry adds.
func BenchmarkDelay(b *testing.B) {
	_, endpoints := newEndpoints(b, "v", "w", "x", "y")
	e := newEntry(b, endpoints, nil)
	for _, callers := range []int{1, 16} {
		for name, url := range map[string]string{"direct": "http://" + endpoints[0].Address, "entry": e.url} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) { measure(b, url, callers) })
		}
	}
}

func measure(b *testing.B, url string, callers int) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	body := strings.Repeat("x", 100)
	times := make([][]time.Duration, callers)
	var group sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		group.Go(func() {
			for range b.N/callers + 1 {
				started := time.Now()
				resp, err := (&http.Client{Transport: transport}).Post(url, "text/plain", strings.NewReader(body))
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				times[i] = append(times[i], time.Since(started))
			}
		})
	}
	group.Wait()
	all := slices.Concat(times...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}
