// Package session_test holds whole sessions of callers and operators with a
// fleet of real entries, compared with golden files. Ids, addresses and times
// do not appear in them; bounds on times are checked in code.
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
	inForce  = 4 * time.Second  // C4, C6, C10, C12
	patience = 60 * time.Second // for conditions that have no bound of their own
	pollTime = 20 * time.Millisecond

	keysFile = "00000002-keys.yaml"
)

// world is a running fleet and the record of a session with it.
type world struct {
	t      *testing.T
	ctx    context.Context
	fleet  *local.Fleet
	ledger *ledger
	keys   map[fleet.TeamName]string // as presented by callers; "" has none
	record bytes.Buffer
	gone   map[*local.Entry]bool // entries that were stopped or killed
	teams  map[fleet.JobID]fleet.TeamName
	mu     sync.Mutex // of gone and teams
}

// newWorld starts a fleet and applies the sample folder with a key for each
// team.
func newWorld(t *testing.T, entriesPerDataCentre int) *world {
	t.Helper()
	t.Parallel()
	l := &ledger{byStep: map[stepKey][]start{}}
	o := local.DefaultOptions()
	o.EntriesPerDataCentre = entriesPerDataCentre
	o.Platform = memory.Options{Runner: l.run}
	o.DrainDelay = time.Second
	f, err := local.New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	w := &world{t: t, ctx: ctx, fleet: f, ledger: l, keys: map[fleet.TeamName]string{}, teams: map[fleet.JobID]fleet.TeamName{}, gone: map[*local.Entry]bool{}}
	t.Cleanup(func() {
		defer cancel()
		if err := f.Stop(); err != nil {
			t.Errorf("stop the fleet: %v", err)
		}
	})
	w.configure()
	return w
}

func (w *world) configure() {
	w.t.Helper()
	folder := local.SampleFolder()
	var keys []byte
	for _, team := range []fleet.TeamName{"booking", "supply"} {
		key, presented, err := config.NewKey(entropy, fleet.KeyID(team+"-1"), team)
		if err != nil {
			w.t.Fatal(err)
		}
		w.keys[team] = presented
		keys = append(keys, config.KeyFile(key)...)
		keys = bytes.Replace(keys, []byte("\nkeys:\n"), []byte("\n"), 1) // one section for both
	}
	folder[keysFile] = keys
	change := client.Change{ID: "setup"}
	for _, file := range folder.Files() {
		change.Put = append(change.Put, client.File{Name: file.Name, Content: file.Content})
	}
	w.apply(change)
	w.waitReady(len(w.live()))
}

// say adds a line to the record.
func (w *world) say(format string, args ...any) {
	fmt.Fprintf(&w.record, format+"\n", args...)
}

// note remembers the team of a job.
func (w *world) note(job fleet.JobID, team fleet.TeamName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.teams[job] = team
}

// upperLimits are those of the sample folder.
var upperLimits = map[fleet.TeamName]int{"booking": 24, "supply": 16}

// checkLimits checks C5 at the workers.
func (w *world) checkLimits() {
	w.t.Helper()
	for team, limit := range upperLimits {
		peak := w.ledger.peak(func(job fleet.JobID) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.teams[job] == team
		})
		if peak > limit {
			w.t.Errorf("%d tasks of %s ran at the same time, above its limit of %d", peak, team, limit)
		}
	}
}

// golden checks the limits and compares the record with a golden file.
func (w *world) golden(name string) {
	w.t.Helper()
	if w.ledger != nil {
		w.checkLimits()
	}
	goldie.New(w.t, goldie.WithFixtureDir("testdata")).Assert(w.t, name, w.record.Bytes())
}

// eventually fails the test if a condition does not hold within a bound.
func (w *world) eventually(bound time.Duration, what string, holds func() bool) {
	w.t.Helper()
	end := time.Now().Add(bound)
	for !holds() {
		if time.Now().After(end) {
			w.t.Fatalf("not within %s: %s\n%s", bound, what, w.record.String())
		}
		time.Sleep(pollTime)
	}
}

// live returns the entries that were neither stopped nor killed.
func (w *world) live() []*local.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*local.Entry
	for _, e := range w.fleet.Entries {
		if !w.gone[e] {
			list = append(list, e)
		}
	}
	return list
}

// remove ends an entry with stop, so that callers go elsewhere afterwards.
func (w *world) remove(e *local.Entry, end func()) {
	end()
	w.mu.Lock()
	w.gone[e] = true
	w.mu.Unlock()
	w.fleet.Platform.SetEntry(backing.EntryVM{ID: e.VM, DataCentre: e.DataCentre, State: fleet.VMGone})
}

// add starts an entry.
func (w *world) add(dc fleet.DataCentreName) *local.Entry {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	e, err := w.fleet.StartEntry(dc)
	if err != nil {
		w.t.Fatal(err)
	}
	return e
}

// waitReady waits until the live entries are ready and know of n members.
func (w *world) waitReady(n int) {
	w.t.Helper()
	w.eventually(patience, fmt.Sprintf("every entry is ready with %d members and leads all VMs", n), func() bool {
		for _, e := range w.live() {
			status, err := w.operator(e).Status(w.ctx)
			if !e.Ready(w.ctx) || err != nil || !status.Fresh || len(status.Members) != n || slots(status) != 64 {
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

// caller returns a client of one entry that does not try again.
func (w *world) caller(e *local.Entry, team fleet.TeamName) *client.Client {
	return w.client(client.Options{BaseURL: e.URL, Key: w.keys[team], MaxTries: 1})
}

func (w *world) operator(e *local.Entry) *client.Client {
	return w.client(client.Options{BaseURL: e.URL, Token: w.fleet.Token, MaxTries: 1})
}

func (w *world) client(o client.Options) *client.Client {
	o.Transport = transport
	o.MinWait = pollTime
	c, err := client.New(o)
	if err != nil {
		panic(err) // the options are constant but for URLs of the fleet
	}
	return c
}

// apply applies a change at any entry until it is in force.
func (w *world) apply(change client.Change) client.Applied {
	w.t.Helper()
	var applied client.Applied
	w.eventually(patience, "change "+change.ID+" is in force", func() bool {
		var err error
		for _, e := range w.live() {
			if applied, err = w.operator(e).Apply(w.ctx, change); err == nil && !applied.Pending {
				return true
			}
		}
		return false
	})
	return applied
}

// work describes a job of a test.
type work struct {
	team       fleet.TeamName // "" on open queues
	queue      fleet.QueueName
	id         string
	commands   []string
	idempotent bool
}

func (k work) request() client.SubmitRequest {
	r := client.SubmitRequest{
		ID: k.id, Class: fleet.ClassStandard, RunTimeMS: 1000, Idempotent: k.idempotent,
		Declared: fleet.Resources{MilliCPU: 500, MemoryMB: 256},
	}
	for i, command := range k.commands {
		r.Steps = append(r.Steps, fleet.Step{Command: command, Payload: fmt.Appendf(nil, "%s/%d", k.id, i)})
	}
	return r
}

// submit submits a job at the live entries in turn until one accepts it.
func (w *world) submit(k work) client.Job {
	w.t.Helper()
	var job client.Job
	w.eventually(patience, "job "+k.id+" is accepted", func() bool {
		for _, e := range w.live() {
			var err error
			if job, err = w.caller(e, k.team).Submit(w.ctx, k.queue, k.request()); err == nil {
				return true
			}
		}
		return false
	})
	w.note(job.ID, k.team)
	return job
}

// result waits for the end of a job at any entry.
func (w *world) result(bound time.Duration, team fleet.TeamName, id fleet.JobID) fleet.Result {
	w.t.Helper()
	var result fleet.Result
	w.eventually(bound, "job has ended", func() bool {
		for _, e := range w.live() {
			job, err := w.caller(e, team).Job(w.ctx, id)
			if err == nil && job.State == client.JobEnded && job.Result != nil {
				result = *job.Result
				return true
			}
		}
		return false
	})
	return result
}

// batch is a number of submitted jobs.
type batch struct {
	works []work
	jobs  []client.Job
}

// submitAll submits n jobs that differ in their ids.
func (w *world) submitAll(n int, k work) batch {
	w.t.Helper()
	var b batch
	for i := range n {
		one := k
		one.id = fmt.Sprintf("%s-%d", k.id, i)
		b.works = append(b.works, one)
		b.jobs = append(b.jobs, w.submit(one))
	}
	return b
}

// summary waits for all jobs of a batch and returns the number of each result.
func (w *world) summary(bound time.Duration, b batch) string {
	w.t.Helper()
	end := time.Now().Add(bound)
	counts := map[string]int{}
	for i, job := range b.jobs {
		counts[resultText(w.result(time.Until(end), b.works[i].team, job.ID))]++
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

// errText describes the error of a client without ids.
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

// findings returns the faults of a refused folder.
func findings(err error) []client.Finding {
	var refusal *client.Error
	if errors.As(err, &refusal) {
		return refusal.Findings
	}
	return nil
}

// winner returns the accepted revision that a conflict names.
func winner(err error) fleet.Revision {
	var refusal *client.Error
	if errors.As(err, &refusal) {
		return refusal.Revision
	}
	return 0
}
