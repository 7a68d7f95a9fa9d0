// Package session_test tests whole sessions of callers and operators with a
// fleet of real entries. Each session writes a transcript that is compared with
// a golden file. Transcripts contain no ids, addresses or times; bounds on times
// are checked in code.
package session_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/entry/local"
	"amaranthfork.example/fleet"
)

var entropy = rand.Reader

const (
	// inForceBound is the time within which a configuration change must be in force
	// everywhere. The same bound holds for keys that are withdrawn, data centres
	// that are taken out and endpoints that leave.
	inForceBound     = 4 * time.Second
	conditionTimeout = 60 * time.Second // for conditions without a bound of their own
	pollInterval     = 20 * time.Millisecond

	keysFile = "00000002-keys.yaml"
)

// harness is a running fleet and the transcript of a session with it.
type harness struct {
	t          *testing.T
	ctx        context.Context
	fleet      *local.Fleet
	startLog   *startLog                 // nil if the workers run in another process
	keys       map[fleet.TeamName]string // presented by the callers of a team; the team "" has none
	transcript bytes.Buffer
	removed    map[*local.Entry]bool // entries that were stopped or killed
	teams      map[fleet.JobID]fleet.TeamName
	mu         sync.Mutex // guards removed and teams
}

// newHarness starts a fleet and applies the sample folder with a key for each
// team.
func newHarness(t *testing.T, entriesPerDataCentre int) *harness {
	t.Helper()
	t.Parallel()
	l := &startLog{byStep: map[stepKey][]taskStart{}}
	o := local.DefaultOptions()
	o.EntriesPerDataCentre = entriesPerDataCentre
	o.Platform = memory.Options{Runner: l.recordStart}
	o.DrainDelay = time.Second
	f, err := local.New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	h := &harness{t: t, ctx: ctx, fleet: f, startLog: l, keys: map[fleet.TeamName]string{}, teams: map[fleet.JobID]fleet.TeamName{}, removed: map[*local.Entry]bool{}}
	t.Cleanup(func() {
		defer cancel()
		if err := f.Stop(); err != nil {
			t.Errorf("stop the fleet: %v", err)
		}
	})
	h.configure()
	return h
}

func (h *harness) configure() {
	h.t.Helper()
	folder := local.SampleFolder()
	var keys []byte
	for _, team := range []fleet.TeamName{"booking", "supply"} {
		key, presented, err := config.NewKey(entropy, fleet.KeyID(team+"-1"), team)
		if err != nil {
			h.t.Fatal(err)
		}
		h.keys[team] = presented
		keys = append(keys, config.KeyFile(key)...)
		keys = bytes.Replace(keys, []byte("\nkeys:\n"), []byte("\n"), 1) // one section for both
	}
	folder[keysFile] = keys
	change := client.Change{ID: "setup"}
	for _, file := range folder.Files() {
		change.Put = append(change.Put, client.File{Name: file.Name, Content: file.Content})
	}
	h.apply(change)
	h.waitReady(len(h.live()))
}

// report adds a line to the transcript.
func (h *harness) report(format string, args ...any) {
	fmt.Fprintf(&h.transcript, format+"\n", args...)
}

// rememberTeam stores the team of a job for checkLimits.
func (h *harness) rememberTeam(job fleet.JobID, team fleet.TeamName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.teams[job] = team
}

// teamLimits are the limits of the teams in the sample folder.
var teamLimits = map[fleet.TeamName]int{"booking": 24, "supply": 16}

// checkLimits checks, from the starts at the workers, that no team ever ran
// more tasks than its limit.
func (h *harness) checkLimits() {
	h.t.Helper()
	for team, limit := range teamLimits {
		peak := h.startLog.peakRunning(func(job fleet.JobID) bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.teams[job] == team
		})
		if peak > limit {
			h.t.Errorf("%d tasks of %s ran at the same time, above its limit of %d", peak, team, limit)
		}
	}
}

// assertGolden checks the limits and compares the transcript with a golden file.
func (h *harness) assertGolden(name string) {
	h.t.Helper()
	if h.startLog != nil {
		h.checkLimits()
	}
	goldie.New(h.t, goldie.WithFixtureDir("testdata")).Assert(h.t, name, h.transcript.Bytes())
}

// eventually waits until a condition holds, and fails the test after a timeout.
func (h *harness) eventually(timeout time.Duration, condition string, holds func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			h.t.Fatalf("not within %s: %s\ntranscript so far:\n%s", timeout, condition, h.transcript.String())
		}
		time.Sleep(pollInterval)
	}
}

// live returns the entries that were not removed.
func (h *harness) live() []*local.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*local.Entry
	for _, e := range h.fleet.Entries {
		if !h.removed[e] {
			list = append(list, e)
		}
	}
	return list
}

// remove calls end, which ends an entry. Afterwards callers use other entries,
// and the platform reports the entry's VM as gone.
func (h *harness) remove(e *local.Entry, end func()) {
	end()
	h.mu.Lock()
	h.removed[e] = true
	h.mu.Unlock()
	h.fleet.Platform.SetEntry(backing.EntryVM{ID: e.VM, DataCentre: e.DataCentre, State: fleet.VMGone})
}

// add starts an entry in a data centre.
func (h *harness) add(dc fleet.DataCentreName) *local.Entry {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	e, err := h.fleet.StartEntry(dc)
	if err != nil {
		h.t.Fatal(err)
	}
	return e
}

// waitReady waits until all live entries are ready, list n members and see the
// slots of all VMs.
func (h *harness) waitReady(n int) {
	h.t.Helper()
	h.eventually(conditionTimeout, fmt.Sprintf("every entry is ready with %d members and the entries own all VMs", n), func() bool {
		for _, e := range h.live() {
			status, err := h.operator(e).Status(h.ctx)
			if !e.Ready(h.ctx) || err != nil || !status.Fresh || len(status.Members) != n || slots(status) != 64 {
				return false
			}
		}
		return true
	})
}

func slots(s client.Status) int {
	total := 0
	for _, dc := range s.DataCentres {
		total += dc.TotalSlots
	}
	return total
}

// caller returns a client of a team for one entry; it makes no retries.
func (h *harness) caller(e *local.Entry, team fleet.TeamName) *client.Client {
	return h.client(client.Options{BaseURL: e.URL, Key: h.keys[team], MaxTries: 1})
}

func (h *harness) operator(e *local.Entry) *client.Client {
	return h.client(client.Options{BaseURL: e.URL, Token: h.fleet.Token, MaxTries: 1})
}

func (h *harness) client(o client.Options) *client.Client {
	o.Transport = transport
	o.MinPause = pollInterval
	c, err := client.New(o)
	if err != nil {
		panic(err) // all options but the URL are constant, and the URL is an entry's
	}
	return c
}

// apply repeats a change at the live entries in turn until it is in force.
func (h *harness) apply(change client.Change) client.Applied {
	h.t.Helper()
	var applied client.Applied
	h.eventually(conditionTimeout, "change "+change.ID+" is in force", func() bool {
		var err error
		for _, e := range h.live() {
			if applied, err = h.operator(e).Apply(h.ctx, change); err == nil && !applied.Pending {
				return true
			}
		}
		return false
	})
	return applied
}

// jobSpec describes a job that a test submits.
type jobSpec struct {
	team       fleet.TeamName // "" on open queues
	queue      fleet.QueueName
	id         string
	commands   []string
	idempotent bool
}

func (spec jobSpec) request() client.SubmitRequest {
	r := client.SubmitRequest{
		ID: spec.id, Class: fleet.ClassStandard, RunTimeMS: 1000, Idempotent: spec.idempotent,
		Declared: fleet.Resources{MilliCPU: 500, MemoryMB: 256},
	}
	for i, command := range spec.commands {
		r.Steps = append(r.Steps, fleet.Step{Command: command, Payload: fmt.Appendf(nil, "%s/%d", spec.id, i)})
	}
	return r
}

// submit submits a job at the live entries in turn until one accepts it.
func (h *harness) submit(spec jobSpec) client.Job {
	h.t.Helper()
	var job client.Job
	h.eventually(conditionTimeout, "job "+spec.id+" is accepted", func() bool {
		for _, e := range h.live() {
			var err error
			if job, err = h.caller(e, spec.team).Submit(h.ctx, spec.queue, spec.request()); err == nil {
				return true
			}
		}
		return false
	})
	h.rememberTeam(job.ID, spec.team)
	return job
}

// result waits for the end of a job at any entry.
func (h *harness) result(timeout time.Duration, team fleet.TeamName, id fleet.JobID) fleet.Result {
	h.t.Helper()
	var result fleet.Result
	h.eventually(timeout, "job has ended", func() bool {
		for _, e := range h.live() {
			job, err := h.caller(e, team).Job(h.ctx, id)
			if err == nil && job.State == client.JobEnded && job.Result != nil {
				result = *job.Result
				return true
			}
		}
		return false
	})
	return result
}

// batch holds submitted jobs with their specs.
type batch struct {
	specs []jobSpec
	jobs  []client.Job
}

// submitAll submits n jobs that differ only in their ids.
func (h *harness) submitAll(n int, spec jobSpec) batch {
	h.t.Helper()
	var b batch
	for i := range n {
		one := spec
		one.id = fmt.Sprintf("%s-%d", spec.id, i)
		b.specs = append(b.specs, one)
		b.jobs = append(b.jobs, h.submit(one))
	}
	return b
}

// resultCounts waits for all jobs of a batch and returns how many ended with
// each result, as text.
func (h *harness) resultCounts(timeout time.Duration, b batch) string {
	h.t.Helper()
	deadline := time.Now().Add(timeout)
	counts := map[string]int{}
	for i, job := range b.jobs {
		counts[resultText(h.result(time.Until(deadline), b.specs[i].team, job.ID))]++
	}
	return countText(counts)
}

func countText(counts map[string]int) string {
	var parts []string
	for text, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, text))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func resultText(r fleet.Result) string {
	text := string(r.Outcome)
	if r.Reason != "" {
		text += " " + string(r.Reason)
	}
	if r.Unrecorded {
		text += " unrecorded"
	}
	return text
}

// errText describes an error of the client without ids, "accepted" if it is nil.
func errText(err error) string {
	var refusal *client.Error
	var unknown *client.UnknownError
	var unavailable *client.UnavailableError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &unknown):
		return "outcome unknown"
	case errors.As(err, &unavailable):
		return "no answer"
	case errors.As(err, &refusal):
		return strings.TrimSpace(fmt.Sprintf("%d %s %s", refusal.Status, refusal.Outcome, refusal.Reason))
	}
	return err.Error()
}

// findings returns the findings that a refused change reports.
func findings(err error) []client.Finding {
	var refusal *client.Error
	if errors.As(err, &refusal) {
		return refusal.Findings
	}
	return nil
}

// acceptedRevision returns the accepted revision that a conflict names.
func acceptedRevision(err error) fleet.Revision {
	var refusal *client.Error
	if errors.As(err, &refusal) {
		return refusal.Revision
	}
	return 0
}
