package client

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"amaranthfork.example/fleet"
)

// answer is what scriptedTransport answers to one try.
type answer struct {
	status int    // HTTP status, 0 for no answer
	body   string // of the response
	dialed bool   // a connection was made, although there is no answer
	cut    bool   // the body ends early
}

// scriptedTransport is a transport that gives a list of answers in order, and the
// last one to all further tries. It records the requests.
type scriptedTransport struct {
	answers []answer
	bodies  [][]byte
	headers []http.Header
	paths   []string
}

func (s *scriptedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	next := s.answers[min(len(s.bodies), len(s.answers)-1)]
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	s.bodies = append(s.bodies, body)
	s.headers = append(s.headers, request.Header)
	s.paths = append(s.paths, request.URL.RequestURI())
	if next.status != 0 || next.dialed {
		httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
	}
	if next.status == 0 {
		return nil, errors.New("connection reset")
	}
	var content io.Reader = strings.NewReader(next.body)
	if next.cut {
		content = io.MultiReader(strings.NewReader(next.body[:len(next.body)/2]), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	return &http.Response{StatusCode: next.status, Body: io.NopCloser(content), Request: request}, nil
}

// Answers of scriptedTransport. An entry refuses with an outcome or a reason; a load
// balancer answers gateway and lbBusy.
var (
	refused  = answer{} // no connection
	lost     = answer{dialed: true}
	accepted = answer{status: 202, body: `{"id":"j1","team":"booking","state":"queued","step":0}`}
	cut      = answer{status: 202, body: accepted.body, cut: true}
	busy     = answer{status: 503, body: `{"outcome":"not_run","reason":"view_not_current","retryAfterMS":700}`}
	full     = answer{status: 429, body: `{"outcome":"not_run","reason":"queue_full"}`}
	gateway  = answer{status: 502, body: `<html>bad gateway</html>`}
	lbBusy   = answer{status: 503, body: `{"error":"no healthy upstream"}`}
	denied   = answer{status: 401, body: `{"outcome":"not_run","reason":"unauthorized","detail":"the key has been withdrawn"}`}
	conflict = answer{status: 409, body: `{"reason":"conflict","detail":"base 4 is not 5","revision":5}`}
)

// Guards against reporting "not run" for a request that may have run, against work
// that is submitted twice and against tries before the time that a refusal gives.
func TestTries(t *testing.T) {
	const (
		done        = "done"
		unknown     = "unknown"
		unavailable = "unavailable"
		refusal     = "refusal"
	)
	cases := []struct {
		name    string
		answers []answer
		submit  string // outcome of a call that changes something
		read    string // outcome of a call that does not
		tries   int
	}{
		{"accepted at once", []answer{accepted}, done, done, 1},
		{"never connected", []answer{refused}, unavailable, unavailable, 5},
		{"connected at the third try", []answer{refused, refused, accepted}, done, done, 3},
		{"answer lost once", []answer{lost, accepted}, done, done, 2},
		{"answer cut once", []answer{cut, accepted}, done, done, 2},
		{"all answers cut", []answer{cut}, unknown, unavailable, 5},
		{"all answers lost", []answer{lost}, unknown, unavailable, 5},
		{"lost, then refused connections", []answer{lost, refused}, unknown, unavailable, 5},
		{"lost, then a refusal", []answer{lost, denied}, unknown, refusal, 2},
		{"lost, then not run", []answer{lost, full}, unknown, refusal, 2},
		{"lost, then conflict", []answer{lost, conflict}, refusal, refusal, 2},
		{"refused once, with a time to wait", []answer{busy, accepted}, done, done, 2},
		{"refused at every try, with a time to wait", []answer{busy}, refusal, refusal, 5},
		{"refused without a time to wait", []answer{full}, refusal, refusal, 1},
		{"status 502 of a load balancer", []answer{gateway}, unknown, unavailable, 5},
		{"status 503 of a load balancer", []answer{lbBusy}, unknown, unavailable, 5},
		{"wrong key", []answer{denied}, refusal, refusal, 1},
	}
	outcome := func(err error) string {
		var unknownErr *UnknownError
		var unavailableErr *UnavailableError
		var refusalErr *Error
		switch {
		case err == nil:
			return done
		case errors.As(err, &unknownErr):
			return unknown
		case errors.As(err, &unavailableErr):
			return unavailable
		case errors.As(err, &refusalErr):
			return refusal
		}
		return err.Error()
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTransport{answers: c.answers}
				client := newClient(t, s)
				start := time.Now()
				_, err := client.Submit(t.Context(), "quotes", SubmitRequest{})
				if got := outcome(err); got != c.submit || len(s.bodies) != c.tries {
					t.Errorf("submit: %s after %d tries: %v", got, len(s.bodies), err)
				}
				if c.answers[0].status == 503 && c.submit != unknown && time.Since(start) < time.Duration(c.tries-1)*700*time.Millisecond {
					t.Errorf("all tries within only %v", time.Since(start))
				}
				checkSameID(t, s.bodies)
				s = &scriptedTransport{answers: c.answers}
				_, err = newClient(t, s).Job(t.Context(), "j1")
				if got := outcome(err); got != c.read || len(s.bodies) != c.tries {
					t.Errorf("read: %s after %d tries: %v", got, len(s.bodies), err)
				}
			})
		})
	}
}

// newClient returns a client of the transport whose base URL has a path.
func newClient(t *testing.T, s *scriptedTransport) *Client {
	t.Helper()
	client, err := New(Options{BaseURL: "http://entry.example/fleet/", Transport: s, Key: "k.s", Token: "op"})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// checkSameID checks that all tries have the same body with an idempotency id.
func checkSameID(t *testing.T, bodies [][]byte) {
	t.Helper()
	for _, body := range bodies {
		var request SubmitRequest
		if err := json.Unmarshal(body, &request); err != nil || request.ID == "" || !bytes.Equal(body, bodies[0]) {
			t.Fatalf("tries differ or lack an id: %s and %s", bodies[0], body)
		}
	}
}

// Guards against credentials in wrong headers, paths that are not escaped, ids that
// lead to another path, and changes without an id.
func TestRequests(t *testing.T) {
	s := &scriptedTransport{answers: []answer{accepted}}
	client := newClient(t, s)
	if _, err := client.Job(t.Context(), "team/a b?c"); err != nil {
		t.Fatal(err)
	}
	if s.paths[0] != "/fleet/v1/jobs/team%2Fa%20b%3Fc" {
		t.Errorf("path is %s", s.paths[0])
	}
	if s.headers[0].Get(KeyHeader) != "k.s" || s.headers[0].Get("Authorization") != "Bearer op" {
		t.Errorf("headers are %v", s.headers[0])
	}
	for _, id := range []string{"", ".", ".."} {
		if _, err := client.Job(t.Context(), fleet.JobID(id)); err == nil {
			t.Errorf("job id %q was sent", id)
		}
	}
	if _, err := client.Apply(t.Context(), Change{}); err == nil || len(s.paths) != 1 {
		t.Errorf("a change without an id was sent: %v", err)
	}
}

// Guards against a wait that ends before its job or context does, or never, and
// against statuses that Watch does not pass on.
func TestWatch(t *testing.T) {
	synctest.Test(t, testWatch)
}

func testWatch(t *testing.T) {
	running := answer{status: 200, body: `{"id":"j1","state":"running","step":1}`}
	ended := answer{status: 200, body: `{"id":"j1","state":"ended","step":1,"result":{"outcome":"completed","body":"aGk="}}`}
	s := &scriptedTransport{answers: []answer{accepted, running, running, ended}}
	var states []JobState
	job, err := newClient(t, s).Watch(t.Context(), "j1", func(job Job) { states = append(states, job.State) })
	if err != nil || job.Result == nil || string(job.Result.Body) != "hi" || len(states) != 4 {
		t.Errorf("job %+v after states %v: %v", job, states, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s = &scriptedTransport{answers: []answer{running, running, lost}}
	job, err = newClient(t, s).Wait(ctx, "j1")
	if !errors.Is(err, context.DeadlineExceeded) || job.State != JobRunning {
		t.Errorf("job %+v: %v", job, err)
	}
}

// Guards against invalid options that New accepts, so that only the first request
// fails.
func TestOptions(t *testing.T) {
	for _, o := range []Options{{}, {BaseURL: "entry:8080"}, {BaseURL: "ftp://entry"}, {BaseURL: "http://"}, {BaseURL: "https://entry", CAFile: "missing.pem"}, {BaseURL: "https://entry", CAFile: "client_test.go"}} {
		if _, err := New(o); err == nil {
			t.Errorf("options %+v were accepted", o)
		}
	}
}

// Guards against a CA file that is not used, and against a server that is trusted
// without the CA file.
func TestCAFile(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":7}`))
	}))
	defer server.Close()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	file := filepath.Join(t.TempDir(), "ca.pem")
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	if err := os.WriteFile(file, certificate, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, caFile := range []string{file, ""} {
		client, err := New(Options{BaseURL: server.URL, CAFile: caFile, MaxTries: 1})
		if err != nil {
			t.Fatal(err)
		}
		status, err := client.Status(t.Context())
		if trusted := caFile != ""; (err == nil) != trusted || (status.Revision == 7) != trusted {
			t.Errorf("CA file %q: %+v, %v", caFile, status, err)
		}
	}
}
