package jobs

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// model drives a cluster with random faults and records the answers that
// callers got.
type model struct {
	*testCluster
	t           *rapid.T
	jobs        map[fleet.JobID]fleet.Job
	accepted    map[fleet.JobID]bool // answered as queued and durable
	unconfirmed map[fleet.JobID]bool // answered as unknown or unrecorded
	// unrecorded jobs may have been run by an owner that failed before it could
	// record them. The answers to their callers said so, and a later submission
	// is a new job.
	unrecorded     map[fleet.JobID]bool
	refused        map[fleet.JobID]bool
	results        map[fleet.JobID]fleet.Result // newest final result that a caller has seen
	reportedEnds   []control.TaskEnd            // for repeated reports
	serial         int                          // number of different jobs submitted
	startFaultsOff int                          // starts have no faults while this is above 0
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, jobs: map[fleet.JobID]fleet.Job{}, accepted: map[fleet.JobID]bool{}, unconfirmed: map[fleet.JobID]bool{},
		refused: map[fleet.JobID]bool{}, results: map[fleet.JobID]fleet.Result{},
		unrecorded: map[fleet.JobID]bool{},
	}
	m.testCluster = newTestCluster(3)
	m.testCluster.options = Options{LostAfter: 30 * time.Second, CheckpointInterval: 2 * time.Second}
	m.testCluster.onStart = m.startFaults
	m.tick(8, time.Second)
	return m
}

// pickEntry returns a random entry that is not paused.
func (m *model) pickEntry() *testEntry {
	var usable []*testEntry
	for _, e := range m.entries {
		if !e.paused {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return m.entries[0]
	}
	return rapid.SampledFrom(usable).Draw(m.t, "node")
}

// startFaults may lose the answer to a start, delay the start, refuse it, or
// pause its sender until another entry has taken over its shards.
func (m *model) startFaults(e *testEntry, task backing.Task) (lose, delay, refuse bool) {
	if m.t == nil || m.startFaultsOff > 0 {
		return false, false, false
	}
	switch rapid.IntRange(0, 9).Draw(m.t, "startFault") {
	case 0:
		return true, false, false
	case 1:
		return false, true, false
	case 2:
		return false, false, true
	case 3:
		m.pauseAndFence(e)
	}
	return false, false, false
}

// pauseAndFence pauses an entry in the middle of an action until the others have
// fenced it and taken over its shards.
func (m *model) pauseAndFence(e *testEntry) {
	if len(m.entries) < 2 || e.dead {
		return
	}
	m.startFaultsOff++
	e.paused = true
	m.kill(e)
	m.tick(6, time.Second)
	m.add()
	m.startFaultsOff--
}

func (m *model) submit() {
	var j fleet.Job
	if len(m.jobs) > 0 && rapid.IntRange(0, 3).Draw(m.t, "repeat") == 0 {
		j = m.jobs[rapid.SampledFrom(m.ids()).Draw(m.t, "job")]
	} else {
		m.serial++
		j = job(fmt.Sprint(m.serial), rapid.IntRange(1, 3).Draw(m.t, "steps"), rapid.Bool().Draw(m.t, "idempotent"))
		j.Class = rapid.SampledFrom(fleet.Classes).Draw(m.t, "class")
		if rapid.IntRange(0, 3).Draw(m.t, "deadline") == 0 {
			j.Deadline = m.clock.now.Add(5 * time.Second)
		}
	}
	m.jobs[j.ID] = j
	status, err := m.pickEntry().jobs.Submit(context.Background(), j)
	switch {
	case err == nil && status.Unrecorded:
		m.unconfirmed[j.ID], m.unrecorded[j.ID] = true, true
	case err == nil:
		m.accepted[j.ID] = true
		m.checkStatus(status)
	case refusalReason(err) != "":
		m.refused[j.ID] = true
	default:
		m.unconfirmed[j.ID] = true
	}
}

func (m *model) ids() []fleet.JobID {
	ids := make([]fleet.JobID, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// checkStatus checks a status that a caller received.
func (m *model) checkStatus(status control.JobStatus) {
	if status.State != control.JobEnded {
		return
	}
	r := *status.Result
	j := m.jobs[status.ID]
	if r.Job != j.ID {
		m.t.Fatalf("job %s got the result of %s", j.ID, r.Job)
	}
	if r.Outcome == fleet.OutcomeCompleted {
		last := len(j.Steps) - 1
		task := m.tasks[r.Attempt]
		if task == nil || task.Job != j.ID || task.Step != last || !bytes.Equal(r.Body, body(j.ID, last, r.Attempt)) {
			m.t.Fatalf("job %s: result %+v is not that of an attempt of its last step", j.ID, r)
		}
	}
	first, ok := m.results[j.ID]
	if ok && !first.Unrecorded && (first.Outcome != r.Outcome || first.Attempt != r.Attempt) {
		m.t.Fatalf("job %s: result changed from %+v to %+v", j.ID, first, r)
	}
	m.results[j.ID] = r
}

func (m *model) status() {
	if len(m.jobs) == 0 {
		return
	}
	id := rapid.SampledFrom(m.ids()).Draw(m.t, "job")
	if status, err := m.pickEntry().jobs.Status(context.Background(), id); err == nil {
		m.checkStatus(status)
	}
}

func (m *model) cancel() {
	if len(m.jobs) == 0 {
		return
	}
	for range rapid.IntRange(1, 5).Draw(m.t, "wave") {
		id := rapid.SampledFrom(m.ids()).Draw(m.t, "job")
		if status, err := m.pickEntry().jobs.Cancel(context.Background(), id); err == nil {
			m.checkStatus(status)
		}
	}
}

// endTask ends a task at its worker and reports the end once, twice or not at
// all.
func (m *model) endTask() {
	running := m.running()
	if len(running) == 0 {
		return
	}
	id := rapid.SampledFrom(running).Draw(m.t, "attempt")
	state := rapid.SampledFrom([]backing.TaskState{
		backing.TaskCompleted, backing.TaskCompleted, backing.TaskCompleted,
		backing.TaskFailed, backing.TaskCheckpointed, backing.TaskStopped,
	}).Draw(m.t, "state")
	end := m.finish(id, state)
	m.reportedEnds = append(m.reportedEnds, end)
	for range rapid.IntRange(0, 2).Draw(m.t, "reports") {
		m.report(m.pickEntry(), end)
	}
}

func (m *model) repeatEnd() {
	if len(m.reportedEnds) > 0 {
		m.report(m.pickEntry(), rapid.SampledFrom(m.reportedEnds).Draw(m.t, "end"))
	}
}

// loseWorker ends a task without any information on how far it came.
func (m *model) loseWorker() {
	running := m.running()
	if len(running) == 0 {
		return
	}
	id := rapid.SampledFrom(running).Draw(m.t, "attempt")
	m.tasks[id].State = taskLost
	end := m.tasks[id].end()
	m.reportedEnds = append(m.reportedEnds, end)
	for range rapid.IntRange(0, 2).Draw(m.t, "reports") {
		m.report(m.pickEntry(), end)
	}
}

func (m *model) killOne() {
	if len(m.entries) < 2 {
		return
	}
	m.kill(m.pickEntry())
	if rapid.Bool().Draw(m.t, "replace") || len(m.entries) < 2 {
		m.add()
	}
}

func (m *model) replaceAll() {
	for _, e := range slices.Clone(m.entries) {
		m.kill(e)
	}
	for range 3 {
		m.add()
	}
}

func (m *model) addOne() {
	if len(m.entries) < 5 {
		m.add()
	}
}

// loseAnswers makes store commits or calls to other entries take effect without
// an answer.
func (m *model) loseAnswers() {
	e := m.pickEntry()
	switch rapid.IntRange(0, 2).Draw(m.t, "kind") {
	case 0:
		e.faults.LoseAnswers(rapid.IntRange(1, 8).Draw(m.t, "commits"))
		return
	case 1:
		e.table.loseCommitAnswers = 1
		return
	}
	m.network.LoseAnswers(e.id, m.pickEntry().id, rapid.IntRange(1, 3).Draw(m.t, "calls"))
}

func (m *model) outage() {
	down := rapid.Bool().Draw(m.t, "down")
	if rapid.Bool().Draw(m.t, "all") {
		for _, e := range m.entries {
			m.setDown(e, down)
		}
		return
	}
	m.setDown(m.pickEntry(), down)
}

func (m *model) deliverDelayed() {
	if len(m.delayedStarts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedStarts)-1).Draw(m.t, "delayed")
	m.deliverStart(m.delayedStarts[i])
	m.delayedStarts = slices.Delete(m.delayedStarts, i, i+1)
}

func (m *model) advance() {
	m.tick(rapid.IntRange(1, 3).Draw(m.t, "rounds"), time.Duration(rapid.IntRange(10, 1500).Draw(m.t, "ms"))*time.Millisecond)
}

// check tests the invariants that hold at all times.
func (m *model) check(*rapid.T) {
	if len(m.violations) > 0 {
		m.t.Fatal(m.violations)
	}
	for _, id := range m.ids() {
		m.checkStarts(m.jobs[id])
	}
}

func (m *model) checkStarts(j fleet.Job) {
	total := 0
	for step := range j.Steps {
		starts := m.starts[stepKey(j.ID, step)]
		total += len(starts)
		notCheckpointed := 0
		for _, id := range starts {
			if m.tasks[id].State != backing.TaskCheckpointed {
				notCheckpointed++
			}
		}
		if notCheckpointed > 1 && !j.Idempotent {
			m.t.Fatalf("non-idempotent step %d of %s started %d times, want at most 1: %v", step, j.ID, notCheckpointed, starts)
		}
	}
	if r, ok := m.results[j.ID]; ok && r.Outcome == fleet.OutcomeNotRun && total > 0 && !m.unrecorded[j.ID] {
		m.t.Fatalf("job %s was reported as not run, but started %d times", j.ID, total)
	}
	if m.refused[j.ID] && !m.accepted[j.ID] && !m.unconfirmed[j.ID] && total > 0 {
		m.t.Fatalf("job %s was refused, but started %d times", j.ID, total)
	}
}

// endFaultsAndCheck ends all faults and checks that every accepted job ends and
// that no claim or unit remains.
func (m *model) endFaultsAndCheck(t *rapid.T) {
	m.startFaultsOff++
	m.lookupsUnanswered = false
	for _, e := range m.entries {
		e.paused, e.stale, e.limit = false, false, 1000
		m.setDown(e, false)
		e.faults.LoseAnswers(0)
		e.table.loseCommitAnswers, e.table.failReads = 0, 0
	}
	for _, p := range m.delayedStarts {
		m.deliverStart(p)
	}
	m.delayedStarts = nil
	m.completeAll(100)
	m.tick(3, time.Second) // units of handed-over tasks are reclaimed after the last end
	m.check(t)
	for _, id := range m.ids() {
		status, err := m.entries[0].jobs.Status(context.Background(), id)
		if m.accepted[id] && (err != nil || status.State != control.JobEnded) {
			t.Fatalf("accepted job %s is lost or stuck: %+v, %v", id, status, err)
		}
		if err == nil {
			m.checkStatus(status)
		}
	}
	m.check(t)
	for _, e := range m.entries {
		if open := e.jobs.Stats().Open; open > 0 {
			t.Fatalf("entry %s has %d open claims after all jobs have ended, want none", e.id, open)
		}
		for team, taken := range e.taken {
			if taken != 0 {
				t.Fatalf("entry %s holds %d units of %s after all jobs have ended, want none", e.id, taken, team)
			}
		}
	}
}

// Guards against starting a non-idempotent step twice, reporting a started job
// as not run, losing an accepted job, returning the result of another job or
// attempt, and leaking units of limits. It runs random sequences of actions and
// faults and checks the invariants after each.
func TestLifecycleUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := map[string]func(*rapid.T){
			"submit":   func(t *rapid.T) { m.t = t; m.submit() },
			"submit2":  func(t *rapid.T) { m.t = t; m.submit() },
			"status":   func(t *rapid.T) { m.t = t; m.status() },
			"cancel":   func(t *rapid.T) { m.t = t; m.cancel() },
			"end":      func(t *rapid.T) { m.t = t; m.endTask() },
			"repeat":   func(t *rapid.T) { m.t = t; m.repeatEnd() },
			"worker":   func(t *rapid.T) { m.t = t; m.loseWorker() },
			"kill":     func(t *rapid.T) { m.t = t; m.killOne() },
			"replace":  func(t *rapid.T) { m.t = t; m.replaceAll() },
			"join":     func(t *rapid.T) { m.t = t; m.addOne() },
			"lose":     func(t *rapid.T) { m.t = t; m.loseAnswers() },
			"outage":   func(t *rapid.T) { m.t = t; m.outage() },
			"delayed":  func(t *rapid.T) { m.t = t; m.deliverDelayed() },
			"silence":  func(t *rapid.T) { m.t = t; m.lookupsUnanswered = !m.lookupsUnanswered },
			"evidence": func(t *rapid.T) { m.t = t; e := m.pickEntry(); e.stale = !e.stale },
			"advance":  func(t *rapid.T) { m.t = t; m.advance() },
			"advance2": func(t *rapid.T) { m.t = t; m.advance() },
			"":         func(t *rapid.T) { m.t = t; m.check(t) },
		}
		t.Repeat(actions)
		m.t = t
		m.endFaultsAndCheck(t)
	})
}
