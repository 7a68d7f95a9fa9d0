package jobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/shards"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/sharding"
)

// Guards against jobs of several steps that skip, repeat or confuse steps, and
// against repeated submissions that run the job again.
func TestStepsInOrderAndDeduplication(t *testing.T) {
	w := newTestCluster(3)
	w.tick(8, time.Second)
	j := job("one", 3, false)
	mustSubmit(t, w.entries[0], j)
	w.drain(6)
	for i, n := range w.entries {
		status, err := n.jobs.Submit(context.Background(), j)
		if err != nil || status.State != control.JobEnded {
			t.Fatalf("repeated submit at entry %d: %+v, %v", i, status, err)
		}
		r := status.Result
		if r.Outcome != fleet.OutcomeCompleted || !bytes.Equal(r.Body, body(j.ID, 2, r.Attempt)) {
			t.Errorf("result %+v is not that of the last step", r)
		}
	}
	for step := range 3 {
		if n := len(w.starts[stepKey(j.ID, step)]); n != 1 {
			t.Errorf("step %d started %d times", step, n)
		}
	}
	if len(w.violations) > 0 {
		t.Error(w.violations)
	}
}

// Guards against starts on conditions that held when the job was selected and
// no longer hold when the start is sent.
func TestRecheckBeforeStart(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *testCluster, n *testEntry, id fleet.JobID)
		want   fleet.Reason // of the final result; empty if the job keeps waiting
	}{
		{"session invalid", func(_ *testCluster, n *testEntry, _ fleet.JobID) { n.invalid = true }, ""},
		{"view stale", func(_ *testCluster, n *testEntry, _ fleet.JobID) { n.stale = true }, ""},
		{"data centre out", func(w *testCluster, _ *testEntry, _ fleet.JobID) { w.reconfigure(fleet.DataCentreOut, false) }, ""},
		{"key withdrawn", func(w *testCluster, _ *testEntry, _ fleet.JobID) { w.reconfigure(fleet.DataCentreIn, true) }, fleet.ReasonUnauthorized},
		{"canceled", func(_ *testCluster, n *testEntry, id fleet.JobID) { _, _ = n.jobs.Cancel(context.Background(), id) }, fleet.ReasonCanceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestCluster(1)
			w.tick(2, time.Second)
			n := w.entries[0]
			j := job("x", 1, false)
			j.Key = "k"
			mustSubmit(t, n, j)
			w.onReserve = func(n *testEntry) { tt.change(w, n, j.ID); w.onReserve = nil }
			w.tick(1, time.Second)
			if _, err := n.jobs.Status(context.Background(), j.ID); err != nil {
				t.Errorf("status without session or evidence: %v", err)
			}
			n.invalid, n.stale = false, false
			if len(w.starts) > 0 {
				t.Fatal("task was started")
			}
			if n.taken["a"] != 0 {
				t.Errorf("%d units were not given back", n.taken["a"])
			}
			if tt.want == "" {
				w.reconfigure(fleet.DataCentreIn, false)
				w.drain(8)
				status, err := n.jobs.Status(context.Background(), j.ID)
				if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
					t.Fatalf("job did not go on: %+v, %v", status, err)
				}
				return
			}
			w.tick(4, time.Second)
			status, err := n.jobs.Status(context.Background(), j.ID)
			if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeNotRun || status.Result.Reason != tt.want {
				t.Fatalf("status %+v, error %v, want not_run with %s", status, err, tt.want)
			}
		})
	}
}

// Guards against accepting, during a store outage, jobs that must be recorded,
// and against not running jobs that may run without a record.
func TestStoreOutage(t *testing.T) {
	ctx := context.Background()
	w := newTestCluster(1)
	w.tick(2, time.Second)
	n := w.entries[0]
	waiting := job("before", 1, false)
	w.freeSlots = 0
	mustSubmit(t, n, waiting)
	w.setDown(n, true)
	w.freeSlots = 8
	if _, err := n.jobs.Submit(ctx, job("plain", 1, false)); refusalReason(err) != fleet.ReasonStoreUnavailable {
		t.Errorf("non-idempotent job: %v", err)
	}
	n.storeDown = false // the view has not noticed the outage yet
	if _, err := n.jobs.Submit(ctx, job("plain", 1, false)); refusalReason(err) != fleet.ReasonStoreUnavailable {
		t.Errorf("non-idempotent job, view lags: %v", err)
	}
	n.storeDown = true
	again := job("again", 1, true)
	if status, err := n.jobs.Submit(ctx, again); err != nil || !status.Unrecorded {
		t.Fatalf("idempotent job: %+v, %v", status, err)
	}
	w.drain(4)
	if len(w.starts[stepKey(waiting.ID, 0)]) != 0 {
		t.Error("non-idempotent job started without a durable claim")
	}
	status, err := n.jobs.Status(ctx, again.ID)
	if err != nil || status.Result == nil || !status.Result.Unrecorded || status.Result.Outcome != fleet.OutcomeCompleted {
		t.Fatalf("idempotent job: %+v, %v", status, err)
	}
	w.setDown(n, false)
	w.tick(2, time.Second)
	w.kill(n)
	successor := w.add()
	w.drain(8)
	status, err = successor.jobs.Status(ctx, again.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
		t.Errorf("result from the outage was not journaled: %+v, %v", status, err)
	}
	if status, err = successor.jobs.Status(ctx, waiting.ID); err != nil || status.Result == nil {
		t.Errorf("job from before the outage: %+v, %v", status, err)
	}
}

// Guards against answering a job that is submitted again after its result was
// dropped with the result of the first submission, for example after a
// takeover.
func TestResubmitAfterRetention(t *testing.T) {
	w := newTestCluster(0)
	w.options = Options{MaxRetained: 1}
	n := w.add()
	w.tick(2, time.Second)
	first, other := job("first", 1, false), job("other", 1, false)
	mustSubmit(t, n, first)
	w.drain(4)
	mustSubmit(t, n, other)
	w.drain(4)
	w.freeSlots = 0
	mustSubmit(t, n, first) // queued again, not answered with the first result
	w.kill(n)
	w.freeSlots = 8
	w.add()
	w.drain(6)
	if starts := len(w.starts[stepKey(first.ID, 0)]); starts != 2 {
		t.Errorf("job started %d times after two submissions", starts)
	}
}

// Guards against Wait calls that miss the end of a job: at its owner, at
// another entry, and when the owner fails during the wait.
func TestWaitersGetTheResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(3)
		for _, n := range w.entries {
			n.jobs.options.Sleep = fleet.Sleep
		}
		w.tick(8, time.Second)
		j := job("waited", 1, false)
		mustSubmit(t, w.entries[0], j)
		w.tick(1, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		results := make(chan control.JobStatus, 3)
		for _, n := range w.entries {
			go func() {
				status, err := n.jobs.Wait(ctx, j.ID)
				if err == nil {
					results <- status
				}
			}()
		}
		synctest.Wait()
		owner := w.entries[0].shards.Owner(shards.Of(j.ID, 8))
		for _, n := range slices.Clone(w.entries) {
			if n.id == owner {
				w.kill(n)
			}
		}
		w.tick(6, time.Second)
		w.drain(4)
		for range 2 { // the third caller waited at the failed owner
			status := <-results
			if status.Result == nil || !bytes.Equal(status.Result.Body, body(j.ID, 0, status.Result.Attempt)) {
				t.Errorf("waiter got %+v", status)
			}
		}
	})
}

// Guards against Wait calls that miss the end of a job because its owner hands
// the shard over during the wait.
func TestWaitersFollowAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(1)
		w.tick(2, time.Second)
		n := w.entries[0]
		n.jobs.options.Sleep = fleet.Sleep
		j := job("moved", 1, false)
		mustSubmit(t, n, j)
		w.tick(1, time.Second)
		result := make(chan control.JobStatus, 1)
		go func() {
			if status, err := n.jobs.Wait(t.Context(), j.ID); err == nil {
				result <- status
			}
		}()
		synctest.Wait()
		for n.shards.Owner(n.jobs.shardOf(j.ID)) == n.id {
			w.add()
			w.tick(10, time.Second)
		}
		w.drain(4)
		if status := <-result; status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
			t.Errorf("waiter got %+v", status)
		}
		if starts := len(w.starts[stepKey(j.ID, 0)]); starts != 1 {
			t.Errorf("job started %d times", starts)
		}
	})
}

// Guards against reporting a submission as refused, or a job as not run, while
// an unanswered request or a former owner may have started it.
func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	ctx := context.Background()
	w := newTestCluster(2)
	w.tick(8, time.Second)
	near, far := w.entries[0], w.entries[1]
	j := job("far", 1, true)
	for i := 0; near.shards.Owner(near.jobs.shardOf(j.ID)) != far.id; i++ {
		j = job(fmt.Sprint("far", i), 1, true)
	}
	far.stale = true
	if _, err := near.jobs.Submit(ctx, j); refusalReason(err) != fleet.ReasonStaleView {
		t.Errorf("refusal of the owner: %v", err)
	}
	w.network.LoseAnswers(near.id, far.id, 1)
	if _, err := near.jobs.Submit(ctx, j); !errors.Is(err, backing.ErrUnconfirmed) {
		t.Errorf("refusal after a try without an answer: %v", err)
	}
	w.network.Leave(far.id)
	if _, err := near.jobs.Submit(ctx, j); refusalReason(err) == "" {
		t.Errorf("nothing was sent: %v", err)
	}

	w = newTestCluster(1)
	w.tick(2, time.Second)
	n := w.entries[0]
	w.freeSlots = 0
	mustSubmit(t, n, j)
	w.setDown(n, true)
	w.freeSlots = 8
	w.tick(1, time.Second)
	if len(w.starts[stepKey(j.ID, 0)]) != 1 {
		t.Fatal("idempotent job was not started during the outage")
	}
	w.freeSlots = 0
	w.kill(n)
	successor := w.add()
	w.tick(2, time.Second)
	status, err := successor.jobs.Cancel(ctx, j.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeUnknown {
		t.Errorf("canceled after an unrecorded start: %+v, %v", status, err)
	}
}

// Guards against refusing a submission as not accepted although its journal
// page may have been written.
func TestSubmissionOfUnknownOutcome(t *testing.T) {
	w := newTestCluster(1)
	w.tick(2, time.Second)
	n := w.entries[0]
	j := job("x", 1, false)
	n.table.loseCommitAnswers = 1
	n.jobs.options.MaxCallTries = 1
	if _, err := n.jobs.Submit(context.Background(), j); !errors.Is(err, backing.ErrUnconfirmed) {
		t.Fatalf("submit: %v", err)
	}
	n.table.failReads = 0
	mustSubmit(t, n, j)
	w.drain(4)
	if starts := len(w.starts[stepKey(j.ID, 0)]); starts != 1 {
		t.Errorf("job started %d times", starts)
	}
}

// Guards against a process that acts in a new session on the state of a shard
// from before another entry owned it.
func TestNewSessionForgetsOldState(t *testing.T) {
	ctx := context.Background()
	w := newTestCluster(2)
	w.tick(8, time.Second)
	n, other := w.entries[0], w.entries[1]
	j := job("x", 1, false)
	for i := 0; n.shards.Owner(n.jobs.shardOf(j.ID)) != n.id; i++ {
		j = job(fmt.Sprint("x", i), 1, false)
	}
	next, key := "", fmt.Sprint("shard/", n.jobs.shardOf(j.ID))
	for i := 0; next == "" || sharding.Owner(key, []string{other.id, next}) != next; i++ {
		next = fmt.Sprint(n.id, "-", i) // find a session id that owns the shard again
	}
	w.freeSlots = 0
	mustSubmit(t, n, j)
	w.freeSlots = 8
	former := n.jobs.find(j.ID)
	w.kill(n)
	w.drain(6) // the other entry runs the job
	w.rejoin(n, next)
	for range 20 {
		w.clock.now = w.clock.now.Add(time.Second)
		_ = other.shards.Tick(ctx)
		_, _ = n.shards.Referenced(ctx) // reads the shard map
		if _, err := n.jobs.status(j.ID); err == nil {
			t.Fatal("answers from the state of its former session")
		}
		if _, err := n.jobs.cancel(ctx, j.ID); err == nil {
			t.Fatal("cancels in the state of its former session")
		}
		if err := n.jobs.persist(ctx, former); !errors.Is(err, backing.ErrFenced) {
			t.Fatalf("journals state of its former session: %v", err)
		}
	}
	w.entries = append(w.entries, n)
	w.drain(6)
	status, err := n.jobs.Status(ctx, j.ID)
	if err != nil || status.Result == nil || len(w.starts[stepKey(j.ID, 0)]) != 1 {
		t.Errorf("status %+v, error %v, %d starts", status, err, len(w.starts[stepKey(j.ID, 0)]))
	}
}

// Guards against rebuilt jobs that depend on the order in which pages and
// checkpoints are read.
func TestMergeInAnyOrder(t *testing.T) {
	j := job("x", 1, false)
	records := []record{
		{ID: j.ID, Sequence: 1, Job: &j},
		{ID: j.ID, Sequence: 2, Progress: progress{Started: 1}},
		{ID: j.ID, Sequence: 3, Progress: progress{Started: 2}},
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0, 1}, {2, 0, 1, 0}} {
		m := newMerger()
		for _, i := range order {
			m.add(0, records[i])
		}
		if got := m.jobs[j.ID]; got.Sequence != 3 || got.Progress.Started != 2 || got.Job == nil {
			t.Errorf("order %v: %+v", order, got.record)
		}
	}
}

// Guards against reports about former attempts that end the current attempt.
func TestReportOfFormerAttemptIsDropped(t *testing.T) {
	ctx := context.Background()
	w := newTestCluster(1)
	w.tick(2, time.Second)
	n := w.entries[0]
	j := job("x", 1, true)
	mustSubmit(t, n, j)
	w.tick(1, time.Second)
	first := w.running()[0]
	failed := w.finish(first, backing.TaskFailed)
	w.report(n, failed)
	w.tick(3, time.Second)
	second := w.running()[0]
	late := failed
	late.State, late.Body = backing.TaskCompleted, []byte("late")
	for _, end := range []control.TaskEnd{failed, late} {
		if err := n.jobs.TaskEnded(ctx, end); err != nil {
			t.Errorf("late report: %v", err)
		}
	}
	if status, _ := n.jobs.Status(ctx, j.ID); status.State != control.JobRunning || n.jobs.Stats().LateEnds != 2 {
		t.Errorf("status %+v, stats %+v", status, n.jobs.Stats())
	}
	w.report(n, w.finish(second, backing.TaskCompleted))
	if status, _ := n.jobs.Status(ctx, j.ID); status.Result == nil || status.Result.Attempt != second {
		t.Errorf("status %+v", status)
	}
}

// Guards against treating a checkpointed attempt as failed, which would end
// non-idempotent jobs and use up the attempts of the others.
func TestCheckpointedTaskGoesOn(t *testing.T) {
	w := newTestCluster(1)
	w.tick(2, time.Second)
	n := w.entries[0]
	j := job("x", 1, false)
	mustSubmit(t, n, j)
	for range 6 {
		w.tick(2, time.Second)
		w.report(n, w.finish(w.running()[0], backing.TaskCheckpointed))
	}
	w.drain(4)
	status, err := n.jobs.Status(context.Background(), j.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
		t.Errorf("status %+v, error %v", status, err)
	}
}

// Guards against unbounded queues, and against jobs that start after their
// deadline or end without a result at it.
func TestBoundsAndDeadlines(t *testing.T) {
	ctx := context.Background()
	w := newTestCluster(1)
	w.snapshot.Queues["q"] = fleet.Queue{Name: "q", Pool: "p", Teams: []fleet.TeamName{"a"}, MaxQueued: 2}
	w.tick(2, time.Second)
	n := w.entries[0]
	w.freeSlots = 0
	urgent := job("urgent", 1, false)
	urgent.Class = fleet.ClassUrgent
	expiring := job("expiring", 1, false)
	expiring.Deadline = w.clock.now.Add(3 * time.Second)
	for _, j := range []fleet.Job{job("one", 1, false), expiring, urgent} {
		mustSubmit(t, n, j)
	}
	if _, err := n.jobs.Submit(ctx, job("three", 1, false)); refusalReason(err) != fleet.ReasonQueueFull {
		t.Errorf("third job of the class: %v", err)
	}
	large := job("large", 1, false)
	large.Declared.Accelerators = 1
	if _, err := n.jobs.Submit(ctx, large); refusalReason(err) != fleet.ReasonTooLarge {
		t.Errorf("job that fits no VM: %v", err)
	}
	w.largestVM = fleet.Resources{}
	large.Class = fleet.ClassBatch
	if status, err := n.jobs.Submit(ctx, large); err != nil {
		t.Errorf("job for a pool of which nothing is known: %+v, %v", status, err)
	}
	if status, err := n.jobs.Cancel(ctx, large.ID); err != nil || status.State != control.JobEnded {
		t.Errorf("cancel: %+v, %v", status, err)
	}
	w.tick(5, time.Second)
	w.freeSlots = 8
	w.drain(6)
	status, err := n.jobs.Status(ctx, expiring.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeNotRun || status.Result.Reason != fleet.ReasonDeadline {
		t.Errorf("expired job: %+v, %v", status, err)
	}
	if len(w.starts) != 2 {
		t.Errorf("%d jobs started, want the other two", len(w.starts))
	}
	if _, err := n.jobs.Submit(ctx, job("four", 1, false)); err != nil {
		t.Errorf("submit once the queue is empty: %v", err)
	}
}
