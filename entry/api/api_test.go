package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"

	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/entry/metrics"
	"amaranthfork.example/fleet"
)

type fakeView struct {
	snapshot *config.Snapshot
	stale    bool
}

func (v *fakeView) Snapshot() *config.Snapshot { return v.snapshot }
func (v *fakeView) StoreReachable() bool       { return !v.stale }
func (v *fakeView) Fresh() error {
	if v.stale {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "no evidence for 2.5s", RetryAfter: time.Second}
	}
	return nil
}

type fakeJobs struct {
	submitted []fleet.Job
	status    control.JobStatus
	err       error
	waiting   chan struct{}
}

func (j *fakeJobs) Submit(_ context.Context, job fleet.Job) (control.JobStatus, error) {
	j.submitted = append(j.submitted, job)
	return control.JobStatus{ID: job.ID, Team: job.Team, State: control.JobQueued}, j.err
}
func (j *fakeJobs) Status(context.Context, fleet.JobID) (control.JobStatus, error) {
	return j.status, j.err
}
func (j *fakeJobs) Cancel(context.Context, fleet.JobID) (control.JobStatus, error) {
	return j.status, j.err
}
func (j *fakeJobs) TaskEnded(context.Context, control.TaskEnd) error { return nil }
func (j *fakeJobs) Wait(ctx context.Context, _ fleet.JobID) (control.JobStatus, error) {
	close(j.waiting)
	<-ctx.Done()
	return control.JobStatus{}, ctx.Err()
}

func newServer(view *fakeView, jobs *fakeJobs) *Server {
	return New(Options{
		View: view, Jobs: jobs, Direct: func(w http.ResponseWriter, r *http.Request, _ fleet.Workspace, path string) error {
			_, err := fmt.Fprintf(w, "endpoint got %s key=%q", path, r.Header.Get(keyHeader))
			return err
		}, Clock: fleet.SystemClock{}, OperatorToken: "operator-secret",
		Metrics: metrics.New(fleet.SystemClock{}), Log: zap.NewNop(),
		JobID: func(team fleet.TeamName, id string) fleet.JobID { return fleet.JobID(string(team) + "-" + id) },
	})
}

func testSnapshot() *config.Snapshot {
	return &config.Snapshot{
		Revision: 7,
		Keys:     testKeys(),
		Queues: map[fleet.QueueName]fleet.Queue{
			"quotes": {Name: "quotes", Pool: "fast", Teams: []fleet.TeamName{"booking"}},
			"lobby":  {Name: "lobby", Pool: "fast", Open: true},
		},
		Workspaces: map[fleet.WorkspaceName]fleet.Workspace{
			"fair": {Name: "fair", Pool: "fast", Team: "booking"},
		},
	}
}

// testKeys returns keys of two teams and a withdrawn key, all with the secret "x".
func testKeys() map[fleet.KeyID]fleet.Key {
	keys := map[fleet.KeyID]fleet.Key{}
	for _, id := range []fleet.KeyID{"booking", "payroll", "withdrawn"} {
		sum := sha256.Sum256([]byte("x"))
		keys[id] = fleet.Key{ID: id, Team: fleet.TeamName(id), Hash: hex.EncodeToString(sum[:]), Withdrawn: id == "withdrawn"}
	}
	return keys
}

type request struct {
	name, method, path, key, token, body string
}

const goodJob = `{"id":"a1","class":"urgent","steps":[{"command":"quote"}],"idempotent":true}`

// TestRefusals guards against invalid requests that are accepted, crash the
// entry, or are refused without naming the field or limit. The responses are compared
// with a golden file.
func TestRefusals(t *testing.T) {
	requests := []request{
		{"accepted", "POST", "/v1/queues/quotes/jobs", "booking.x", "", goodJob},
		{"accepted without key on open queue", "POST", "/v1/queues/lobby/jobs", "", "", goodJob},
		{"no such queue", "POST", "/v1/queues/nowhere/jobs", "booking.x", "", goodJob},
		{"no key", "POST", "/v1/queues/quotes/jobs", "", "", goodJob},
		{"withdrawn key", "POST", "/v1/queues/quotes/jobs", "withdrawn.x", "", goodJob},
		{"withdrawn key on open queue", "POST", "/v1/queues/lobby/jobs", "withdrawn.x", "", goodJob},
		{"key of another team", "POST", "/v1/queues/quotes/jobs", "payroll.x", "", goodJob},
		{"unknown field", "POST", "/v1/queues/quotes/jobs", "booking.x", "", `{"id":"a1","colour":"red"}`},
		{"truncated body", "POST", "/v1/queues/quotes/jobs", "booking.x", "", goodJob[:20]},
		{"data after body", "POST", "/v1/queues/quotes/jobs", "booking.x", "", goodJob + "{}"},
		{"not JSON", "POST", "/v1/queues/quotes/jobs", "booking.x", "", "\x00\xff\x13"},
		{"too large", "POST", "/v1/queues/quotes/jobs", "booking.x", "", `{"id":"` + strings.Repeat("a", MaxBodyBytes) + `"}`},
		{"many faults", "POST", "/v1/queues/quotes/jobs", "booking.x", "", `{"class":"soon","steps":[{"command":""}],"declared":{"milliCPU":-1},"runTimeMS":-1,"deadlineMS":-5}`},
		{"bad wait", "GET", "/v1/jobs/x/wait?timeoutMS=soon", "booking.x", "", ""},
		{"job of another team", "GET", "/v1/jobs/x", "payroll.x", "", ""},
		{"cancel without key", "DELETE", "/v1/jobs/x", "", "", ""},
		{"direct", "GET", "/v1/workspaces/fair/direct/stencil/7", "booking.x", "", ""},
		{"direct with key of another team", "GET", "/v1/workspaces/fair/direct/x", "payroll.x", "", ""},
		{"no such workspace", "GET", "/v1/workspaces/none/direct/x", "booking.x", "", ""},
		{"operator token missing", "GET", "/v1/config", "", "", ""},
		{"operator token wrong", "POST", "/v1/config/apply", "", "guess", "{}"},
		{"change without id", "POST", "/v1/config/apply", "", "operator-secret", "{}"},
		{"no such path", "GET", "/v2/none", "", "", ""},
	}
	jobs := &fakeJobs{status: control.JobStatus{ID: "x", Team: "booking", State: control.JobRunning}}
	server := newServer(&fakeView{snapshot: testSnapshot()}, jobs)
	var transcript strings.Builder
	for _, r := range requests {
		record(&transcript, server, r)
	}
	if got := len(jobs.submitted); got != 2 {
		t.Errorf("submitted %d jobs, want only the 2 accepted ones", got)
	}
	goldie.New(t).Assert(t, "refusals", []byte(transcript.String()))
}

// record serves a request and appends its name, status and response body to transcript.
func record(transcript *strings.Builder, server *Server, r request) {
	req := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
	if r.key != "" {
		req.Header.Set(keyHeader, r.key)
	}
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	w := httptest.NewRecorder()
	server.ServeHTTP(w, req)
	fmt.Fprintf(transcript, "# %s\n%d %s\n", r.name, w.Code, strings.TrimSpace(w.Body.String()))
}

// TestStaleViewRefusesKeyedWork guards against work that is accepted for a key that
// may have been withdrawn, at an entry whose configuration is not known to be current.
// Status and cancellation must still work there.
func TestStaleViewRefusesKeyedWork(t *testing.T) {
	jobs := &fakeJobs{status: control.JobStatus{ID: "x", Team: "booking", State: control.JobRunning}}
	server := newServer(&fakeView{snapshot: testSnapshot(), stale: true}, jobs)
	var transcript strings.Builder
	record(&transcript, server, request{"keyed queue", "POST", "/v1/queues/quotes/jobs", "booking.x", "", goodJob})
	record(&transcript, server, request{"open queue", "POST", "/v1/queues/lobby/jobs", "", "", goodJob})
	record(&transcript, server, request{"open queue with key", "POST", "/v1/queues/lobby/jobs", "booking.x", "", goodJob})
	record(&transcript, server, request{"workspace", "GET", "/v1/workspaces/fair/direct/x", "booking.x", "", ""})
	record(&transcript, server, request{"status", "GET", "/v1/jobs/x", "booking.x", "", ""})
	record(&transcript, server, request{"cancel", "DELETE", "/v1/jobs/x", "booking.x", "", ""})
	goldie.New(t).Assert(t, "stale", []byte(transcript.String()))
}

// TestStopAnswersWaits guards against a planned stop that closes the connection of a
// caller that waits for a job, instead of answering it.
func TestStopAnswersWaits(t *testing.T) {
	jobs := &fakeJobs{
		status:  control.JobStatus{ID: "x", Team: "booking", State: control.JobRunning},
		waiting: make(chan struct{}),
	}
	server := newServer(&fakeView{snapshot: testSnapshot()}, jobs)
	req := httptest.NewRequest("GET", "/v1/jobs/x/wait", nil)
	req.Header.Set(keyHeader, "booking.x")
	w := httptest.NewRecorder()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		server.ServeHTTP(w, req)
	}()
	<-jobs.waiting
	server.Stop()
	<-answered
	if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), `"running"`) {
		t.Errorf("wait during a stop answered %d %s, want 200 with the last state", w.Code, w.Body)
	}
	ready := httptest.NewRecorder()
	server.ServeHTTP(ready, httptest.NewRequest("GET", "/readyz", nil))
	if ready.Code != http.StatusServiceUnavailable {
		t.Errorf("readyz answered %d after the stop, want 503", ready.Code)
	}
}

// TestSameIDWithoutKey guards against a job that is shared by two callers without a
// key, because they chose the same idempotency id for different work.
func TestSameIDWithoutKey(t *testing.T) {
	jobs := &fakeJobs{}
	server := newServer(&fakeView{snapshot: testSnapshot()}, jobs)
	var transcript strings.Builder
	other := strings.Replace(goodJob, "quote", "order", 1)
	for _, body := range []string{goodJob, goodJob, other} {
		record(&transcript, server, request{"submit", "POST", "/v1/queues/lobby/jobs", "", "", body})
	}
	if jobs.submitted[0].ID != jobs.submitted[1].ID {
		t.Errorf("a repeated submission got id %s, want %s", jobs.submitted[1].ID, jobs.submitted[0].ID)
	}
	if jobs.submitted[0].ID == jobs.submitted[2].ID {
		t.Errorf("different work shares the id %s", jobs.submitted[0].ID)
	}
}

// TestUnknownOutcome guards against a request that is reported as not run although it
// may have run: its error is no refusal.
func TestUnknownOutcome(t *testing.T) {
	jobs := &fakeJobs{err: context.DeadlineExceeded}
	server := newServer(&fakeView{snapshot: testSnapshot()}, jobs)
	var transcript strings.Builder
	record(&transcript, server, request{"submit", "POST", "/v1/queues/quotes/jobs", "booking.x", "", goodJob})
	if !strings.Contains(transcript.String(), `"outcome":"unknown"`) {
		t.Errorf("got %s, want outcome unknown", transcript.String())
	}
}
