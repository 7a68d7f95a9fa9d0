package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// fakeEntry is a fake of the HTTP API of an entry. Several of its fields make
// the next requests fail.
type fakeEntry struct {
	revision fleet.Revision
	folder   config.Folder
	applied  map[string]fleet.Revision // by change id
	jobs     map[string][]client.Job   // by job id: the next answers; the last one repeats

	mu                 sync.Mutex
	cancel             func()        // interrupts the running command
	unconfirmedAnswers int           // number of next apply requests that are answered as pending
	interruptAtLast    bool          // interrupt the command at the last of them
	concurrentChange   config.Folder // files that another operator applies before the next apply
	lostAnswers        int           // number of next apply requests whose answer is lost after they took effect
	refuseChanges      bool          // refuse all changes
	submitRefusal      string        // reason to refuse submissions, "" to accept them
	requests           []string      // method, path and credentials of all requests
}

func newFakeEntry(t *testing.T, folder config.Folder) (*fakeEntry, string) {
	t.Helper()
	f := &fakeEntry{revision: 41, folder: folder, applied: map[string]fleet.Revision{}, jobs: map[string][]client.Job{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", f.config)
	mux.HandleFunc("POST /v1/config/apply", f.apply)
	mux.HandleFunc("GET /v1/status", answerWith(`{"revision":41,"fresh":true,"storeReachable":false,
		"members":[{"id":"e-1","dataCentre":"dc-a","address":"10.0.0.1:7000"},{"id":"e-2","dataCentre":"dc-b","address":"10.0.1.1:7000"}],
		"dataCentres":[{"name":"dc-a","state":"in","freeSlots":12,"totalSlots":96},{"name":"dc-b","state":"out","freeSlots":0,"totalSlots":96}],
		"warnings":[{"subject":"team booking","message":"p99 start delay of class urgent is 1.9 s","action":"raise its share or move a spare VM to pool quotes"}]}`))
	mux.HandleFunc("GET /v1/pools", answerWith(`{"pools":[{"name":"quotes","spare":false,"vms":8,"unavailable":1,"budget":1,"freeSlots":3,"totalSlots":56},
		{"name":"spare","spare":true,"vms":8,"unavailable":0,"budget":2,"freeSlots":64,"totalSlots":64}]}`))
	mux.HandleFunc("GET /v1/teams", answerWith(`{"teams":[{"name":"booking","share":350,"limit":200,"running":31,"queued":4}]}`))
	mux.HandleFunc("POST /v1/vms/{vm}/drain", f.vm)
	mux.HandleFunc("POST /v1/vms/{vm}/undrain", f.vm)
	mux.HandleFunc("GET /v1/maintenance", answerWith(`{"paused":false,"stopped":true,"detail":"2 VMs of the wave did not come back","due":31,"done":15,"failed":2,
		"vms":[{"vm":"w-003","pool":"quotes","dataCentre":"dc-a","state":"draining"}]}`))
	mux.HandleFunc("POST /v1/maintenance/pause", answerWith(`{}`))
	mux.HandleFunc("POST /v1/maintenance/resume", answerWith(``))
	mux.HandleFunc("POST /v1/queues/{queue}/jobs", f.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", f.job)
	mux.HandleFunc("GET /v1/jobs/{id}/wait", f.job)
	mux.HandleFunc("DELETE /v1/jobs/{id}", f.job)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.requests = append(f.requests, r.Method+" "+r.URL.Path+" "+r.Header.Get("Authorization")+r.Header.Get(client.KeyHeader))
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return f, server.URL
}

func answerWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

func answer(w http.ResponseWriter, status int, value any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func refuse(w http.ResponseWriter, status int, reason, detail string) {
	answer(w, status, map[string]any{"outcome": "not_run", "reason": reason, "detail": detail})
}

func (f *fakeEntry) config(w http.ResponseWriter, _ *http.Request) {
	out := client.Configuration{Revision: f.revision, Files: apiFiles(f.folder.Files())}
	answer(w, http.StatusOK, out)
}

func (f *fakeEntry) apply(w http.ResponseWriter, r *http.Request) {
	var change config.Change
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil || r.Header.Get("Authorization") != "Bearer operator" {
		refuse(w, http.StatusUnauthorized, "unauthorized", "operator token needed")
		return
	}
	if f.concurrentChange != nil {
		maps.Copy(f.folder, f.concurrentChange)
		f.revision++
		f.concurrentChange = nil
	}
	revision, known := f.applied[change.ID]
	folder := config.Apply(f.folder, change)
	_, findings := config.Build(folder, f.revision+1)
	switch {
	case known:
	case f.refuseChanges:
		refuse(w, http.StatusServiceUnavailable, "store_unavailable", "the table service does not answer")
		return
	case change.Base != f.revision:
		answer(w, http.StatusConflict, map[string]any{"reason": "conflict", "detail": "the base is not the accepted revision", "revision": f.revision})
		return
	case len(findings) > 0:
		answer(w, http.StatusUnprocessableEntity, map[string]any{"findings": findings})
		return
	default:
		f.revision++
		revision = f.revision
		f.folder, f.applied[change.ID] = folder, revision
	}
	f.answerApplied(w, revision)
}

// answerApplied answers the request of an accepted change, or loses the answer.
func (f *fakeEntry) answerApplied(w http.ResponseWriter, revision fleet.Revision) {
	switch {
	case f.lostAnswers > 0:
		f.lostAnswers--
		panic(http.ErrAbortHandler)
	case f.unconfirmedAnswers > 0:
		f.unconfirmedAnswers--
		if f.unconfirmedAnswers == 0 && f.interruptAtLast {
			f.cancel()
		}
		answer(w, http.StatusAccepted, client.Applied{Revision: revision, Pending: true, Detail: "1 of 9 entries has not confirmed"})
	default:
		answer(w, http.StatusOK, client.Applied{Revision: revision, InForceAfterMS: 812})
	}
}

func (f *fakeEntry) vm(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("vm") != "w-003" {
		refuse(w, http.StatusNotFound, "invalid_request", "there is no VM "+r.PathValue("vm"))
	}
}

func (f *fakeEntry) submit(w http.ResponseWriter, r *http.Request) {
	var request client.SubmitRequest
	err := json.NewDecoder(r.Body).Decode(&request)
	_, knownQueue := map[string]bool{"quotes": true}[r.PathValue("queue")]
	switch {
	case err != nil || len(request.Steps) == 0:
		refuse(w, http.StatusBadRequest, "invalid_request", fmt.Sprintf("%d steps: %v", len(request.Steps), err))
	case !knownQueue:
		refuse(w, http.StatusNotFound, "no_such_queue", "there is no queue "+r.PathValue("queue"))
	case f.submitRefusal != "":
		refuse(w, http.StatusTooManyRequests, f.submitRefusal, "")
	default:
		id := "booking-" + request.ID
		f.jobs[id] = []client.Job{
			{ID: fleet.JobID(id), Team: "booking", State: client.JobRunning},
			{ID: fleet.JobID(id), Team: "booking", State: client.JobEnded, Result: &fleet.Result{Outcome: fleet.OutcomeCompleted, Body: request.Steps[0].Payload}},
		}
		answer(w, http.StatusAccepted, client.Job{ID: fleet.JobID(id), Team: "booking", State: client.JobQueued})
	}
}

func (f *fakeEntry) job(w http.ResponseWriter, r *http.Request) {
	answers := f.jobs[r.PathValue("id")]
	if len(answers) == 0 {
		refuse(w, http.StatusNotFound, "invalid_request", "there is no job "+r.PathValue("id"))
		return
	}
	if r.PathValue("id") == "slow" && strings.HasSuffix(r.URL.Path, "/wait") {
		f.cancel() // the operator stops waiting
	}
	if len(answers) > 1 {
		f.jobs[r.PathValue("id")] = answers[1:]
	}
	answer(w, http.StatusOK, answers[0])
}
