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
	cluster := newTestCluster(3)
	cluster.tick(8, time.Second)
	j := job("one", 3, false)
	mustSubmit(t, cluster.entries[0], j)
	cluster.completeAll(6)
	for i, e := range cluster.entries {
		status, err := e.jobs.Submit(context.Background(), j)
		if err != nil || status.State != control.JobEnded {
			t.Fatalf("repeated submit at entry %d: %+v, %v", i, status, err)
		}
		r := status.Result
		if r.Outcome != fleet.OutcomeCompleted || !bytes.Equal(r.Body, body(j.ID, 2, r.Attempt)) {
			t.Errorf("result %+v, want that of the last step", r)
		}
	}
	for step := range 3 {
		if n := len(cluster.starts[stepKey(j.ID, step)]); n != 1 {
			t.Errorf("step %d started %d times, want 1", step, n)
		}
	}
	if len(cluster.violations) > 0 {
		t.Error(cluster.violations)
	}
}

// Guards against starts on conditions that held when the job was selected and
// no longer hold when the start is sent.
func TestRecheckBeforeStart(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *testCluster, e *testEntry, id fleet.JobID)
		want   fleet.Reason // of the final result; empty if the job keeps waiting
	}{
		{"session invalid", func(_ *testCluster, e *testEntry, _ fleet.JobID) { e.invalid = true }, ""},
		{"view stale", func(_ *testCluster, e *testEntry, _ fleet.JobID) { e.stale = true }, ""},
		{"data centre out", func(c *testCluster, _ *testEntry, _ fleet.JobID) { c.reconfigure(fleet.DataCentreOut, false) }, ""},
		{"key withdrawn", func(c *testCluster, _ *testEntry, _ fleet.JobID) { c.reconfigure(fleet.DataCentreIn, true) }, fleet.ReasonUnauthorized},
		{"canceled", func(_ *testCluster, e *testEntry, id fleet.JobID) { _, _ = e.jobs.Cancel(context.Background(), id) }, fleet.ReasonCanceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cluster := newTestCluster(1)
			cluster.tick(2, time.Second)
			e := cluster.entries[0]
			j := job("x", 1, false)
			j.Key = "k"
			mustSubmit(t, e, j)
			cluster.onReserve = func(e *testEntry) { tt.change(cluster, e, j.ID); cluster.onReserve = nil }
			cluster.tick(1, time.Second)
			if _, err := e.jobs.Status(context.Background(), j.ID); err != nil {
				t.Errorf("status without session or evidence: %v", err)
			}
			e.invalid, e.stale = false, false
			if len(cluster.starts) > 0 {
				t.Fatal("task was started although the conditions no longer held")
			}
			if e.taken["a"] != 0 {
				t.Errorf("%d units of the team are still held, want none", e.taken["a"])
			}
			if tt.want == "" {
				cluster.reconfigure(fleet.DataCentreIn, false)
				cluster.completeAll(8)
				status, err := e.jobs.Status(context.Background(), j.ID)
				if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
					t.Fatalf("job did not complete after the condition held again: %+v, %v", status, err)
				}
				return
			}
			cluster.tick(4, time.Second)
			status, err := e.jobs.Status(context.Background(), j.ID)
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
	cluster := newTestCluster(1)
	cluster.tick(2, time.Second)
	e := cluster.entries[0]
	waiting := job("before", 1, false)
	cluster.freeSlots = 0
	mustSubmit(t, e, waiting)
	cluster.setDown(e, true)
	cluster.freeSlots = 8
	if _, err := e.jobs.Submit(ctx, job("plain", 1, false)); refusalReason(err) != fleet.ReasonStoreUnavailable {
		t.Errorf("non-idempotent job: %v, want store_unavailable", err)
	}
	e.storeDown = false // the view has not noticed the outage yet
	if _, err := e.jobs.Submit(ctx, job("plain", 1, false)); refusalReason(err) != fleet.ReasonStoreUnavailable {
		t.Errorf("non-idempotent job, view lags: %v, want store_unavailable", err)
	}
	e.storeDown = true
	again := job("again", 1, true)
	if status, err := e.jobs.Submit(ctx, again); err != nil || !status.Unrecorded {
		t.Fatalf("idempotent job: %+v, %v, want it accepted without a record", status, err)
	}
	cluster.completeAll(4)
	if len(cluster.starts[stepKey(waiting.ID, 0)]) != 0 {
		t.Error("non-idempotent job started without a durable claim")
	}
	status, err := e.jobs.Status(ctx, again.ID)
	if err != nil || status.Result == nil || !status.Result.Unrecorded || status.Result.Outcome != fleet.OutcomeCompleted {
		t.Fatalf("idempotent job: %+v, %v, want an unrecorded result", status, err)
	}
	cluster.setDown(e, false)
	cluster.tick(2, time.Second)
	cluster.kill(e)
	successor := cluster.add()
	cluster.completeAll(8)
	status, err = successor.jobs.Status(ctx, again.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
		t.Errorf("result from the outage was not journaled: %+v, %v", status, err)
	}
	if status, err = successor.jobs.Status(ctx, waiting.ID); err != nil || status.Result == nil {
		t.Errorf("job from before the outage: %+v, %v, want a result", status, err)
	}
}

// Guards against answering a job that is submitted again after its result was
// dropped with the result of the first submission, for example after a
// takeover.
func TestResubmitAfterRetention(t *testing.T) {
	cluster := newTestCluster(0)
	cluster.options = Options{MaxRetained: 1}
	e := cluster.add()
	cluster.tick(2, time.Second)
	first, other := job("first", 1, false), job("other", 1, false)
	mustSubmit(t, e, first)
	cluster.completeAll(4)
	mustSubmit(t, e, other)
	cluster.completeAll(4)
	cluster.freeSlots = 0
	mustSubmit(t, e, first) // queued again, not answered with the first result
	cluster.kill(e)
	cluster.freeSlots = 8
	cluster.add()
	cluster.completeAll(6)
	if starts := len(cluster.starts[stepKey(first.ID, 0)]); starts != 2 {
		t.Errorf("job started %d times after two submissions, want 2", starts)
	}
}

// Guards against Wait calls that miss the end of a job: at its owner, at
// another entry, and when the owner fails during the wait.
func TestWaitersGetTheResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(3)
		for _, e := range cluster.entries {
			e.jobs.options.Sleep = fleet.Sleep
		}
		cluster.tick(8, time.Second)
		j := job("waited", 1, false)
		mustSubmit(t, cluster.entries[0], j)
		cluster.tick(1, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		results := make(chan control.JobStatus, 3)
		for _, e := range cluster.entries {
			go func() {
				status, err := e.jobs.Wait(ctx, j.ID)
				if err == nil {
					results <- status
				}
			}()
		}
		synctest.Wait()
		owner := cluster.entries[0].shards.Owner(shards.Of(j.ID, 8))
		for _, e := range slices.Clone(cluster.entries) {
			if e.id == owner {
				cluster.kill(e)
			}
		}
		cluster.tick(6, time.Second)
		cluster.completeAll(4)
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
		cluster := newTestCluster(1)
		cluster.tick(2, time.Second)
		e := cluster.entries[0]
		e.jobs.options.Sleep = fleet.Sleep
		j := job("moved", 1, false)
		mustSubmit(t, e, j)
		cluster.tick(1, time.Second)
		result := make(chan control.JobStatus, 1)
		go func() {
			if status, err := e.jobs.Wait(t.Context(), j.ID); err == nil {
				result <- status
			}
		}()
		synctest.Wait()
		for e.shards.Owner(e.jobs.shardOf(j.ID)) == e.id {
			cluster.add()
			cluster.tick(10, time.Second)
		}
		cluster.completeAll(4)
		if status := <-result; status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
			t.Errorf("waiter got %+v", status)
		}
		if starts := len(cluster.starts[stepKey(j.ID, 0)]); starts != 1 {
			t.Errorf("job started %d times, want 1", starts)
		}
	})
}

// Guards against reporting a submission as refused, or a job as not run, while
// an unanswered request or a former owner may have started it.
func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	ctx := context.Background()
	cluster := newTestCluster(2)
	cluster.tick(8, time.Second)
	near, far := cluster.entries[0], cluster.entries[1]
	j := job("far", 1, true)
	for i := 0; near.shards.Owner(near.jobs.shardOf(j.ID)) != far.id; i++ {
		j = job(fmt.Sprint("far", i), 1, true)
	}
	far.stale = true
	if _, err := near.jobs.Submit(ctx, j); refusalReason(err) != fleet.ReasonStaleView {
		t.Errorf("refusal of the owner: %v, want view_not_current", err)
	}
	cluster.network.LoseAnswers(near.id, far.id, 1)
	if _, err := near.jobs.Submit(ctx, j); !errors.Is(err, backing.ErrUnconfirmed) {
		t.Errorf("refusal after a try without an answer: %v, want ErrUnconfirmed", err)
	}
	cluster.network.Leave(far.id)
	if _, err := near.jobs.Submit(ctx, j); refusalReason(err) == "" {
		t.Errorf("submit to an unreachable owner: %v, want a refusal", err)
	}

	cluster = newTestCluster(1)
	cluster.tick(2, time.Second)
	e := cluster.entries[0]
	cluster.freeSlots = 0
	mustSubmit(t, e, j)
	cluster.setDown(e, true)
	cluster.freeSlots = 8
	cluster.tick(1, time.Second)
	if len(cluster.starts[stepKey(j.ID, 0)]) != 1 {
		t.Fatal("idempotent job was not started during the outage")
	}
	cluster.freeSlots = 0
	cluster.kill(e)
	successor := cluster.add()
	cluster.tick(2, time.Second)
	status, err := successor.jobs.Cancel(ctx, j.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeUnknown {
		t.Errorf("canceled after an unrecorded start: %+v, %v, want the outcome unknown", status, err)
	}
}

// Guards against refusing a submission as not accepted although its journal
// page may have been written.
func TestSubmissionOfUnknownOutcome(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.tick(2, time.Second)
	e := cluster.entries[0]
	j := job("x", 1, false)
	e.table.loseCommitAnswers = 1
	e.jobs.options.MaxCallTries = 1
	if _, err := e.jobs.Submit(context.Background(), j); !errors.Is(err, backing.ErrUnconfirmed) {
		t.Fatalf("submit: %v, want ErrUnconfirmed", err)
	}
	e.table.failReads = 0
	mustSubmit(t, e, j)
	cluster.completeAll(4)
	if starts := len(cluster.starts[stepKey(j.ID, 0)]); starts != 1 {
		t.Errorf("job started %d times, want 1", starts)
	}
}

// Guards against a process that acts in a new session on the state of a shard
// from before another entry owned it.
func TestNewSessionForgetsOldState(t *testing.T) {
	ctx := context.Background()
	cluster := newTestCluster(2)
	cluster.tick(8, time.Second)
	e, other := cluster.entries[0], cluster.entries[1]
	j := job("x", 1, false)
	for i := 0; e.shards.Owner(e.jobs.shardOf(j.ID)) != e.id; i++ {
		j = job(fmt.Sprint("x", i), 1, false)
	}
	next, key := "", fmt.Sprint("shard/", e.jobs.shardOf(j.ID))
	for i := 0; next == "" || sharding.Owner(key, []string{other.id, next}) != next; i++ {
		next = fmt.Sprint(e.id, "-", i) // find a session id that owns the shard again
	}
	cluster.freeSlots = 0
	mustSubmit(t, e, j)
	cluster.freeSlots = 8
	former := e.jobs.find(j.ID)
	cluster.kill(e)
	cluster.completeAll(6) // the other entry runs the job
	cluster.rejoin(e, next)
	for range 20 {
		cluster.clock.now = cluster.clock.now.Add(time.Second)
		_ = other.shards.Tick(ctx)
		_, _ = e.shards.Referenced(ctx) // reads the shard map
		if _, err := e.jobs.status(j.ID); err == nil {
			t.Fatal("status is answered from the state of the former session")
		}
		if _, err := e.jobs.cancel(ctx, j.ID); err == nil {
			t.Fatal("cancel changes the state of the former session")
		}
		if err := e.jobs.persist(ctx, former); !errors.Is(err, backing.ErrFenced) {
			t.Fatalf("journaling the state of the former session: %v, want ErrFenced", err)
		}
	}
	cluster.entries = append(cluster.entries, e)
	cluster.completeAll(6)
	status, err := e.jobs.Status(ctx, j.ID)
	if err != nil || status.Result == nil || len(cluster.starts[stepKey(j.ID, 0)]) != 1 {
		t.Errorf("status %+v, error %v, %d starts, want a result and 1 start", status, err, len(cluster.starts[stepKey(j.ID, 0)]))
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
			t.Errorf("order %v: %+v, want sequence 3 with the job", order, got.record)
		}
	}
}

// Guards against reports about former attempts that end the current attempt.
func TestReportOfFormerAttemptIsDropped(t *testing.T) {
	ctx := context.Background()
	cluster := newTestCluster(1)
	cluster.tick(2, time.Second)
	e := cluster.entries[0]
	j := job("x", 1, true)
	mustSubmit(t, e, j)
	cluster.tick(1, time.Second)
	first := cluster.running()[0]
	failed := cluster.finish(first, backing.TaskFailed)
	cluster.report(e, failed)
	cluster.tick(3, time.Second)
	second := cluster.running()[0]
	late := failed
	late.State, late.Body = backing.TaskCompleted, []byte("late")
	for _, end := range []control.TaskEnd{failed, late} {
		if err := e.jobs.TaskEnded(ctx, end); err != nil {
			t.Errorf("late report: %v, want it acknowledged", err)
		}
	}
	if status, _ := e.jobs.Status(ctx, j.ID); status.State != control.JobRunning || e.jobs.Stats().LateEnds != 2 {
		t.Errorf("status %+v, stats %+v, want a running job and 2 late ends", status, e.jobs.Stats())
	}
	cluster.report(e, cluster.finish(second, backing.TaskCompleted))
	if status, _ := e.jobs.Status(ctx, j.ID); status.Result == nil || status.Result.Attempt != second {
		t.Errorf("status %+v, want the result of the second attempt", status)
	}
}

// Guards against treating a checkpointed attempt as failed, which would end
// non-idempotent jobs and use up the attempts of the others.
func TestCheckpointedTaskContinues(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.tick(2, time.Second)
	e := cluster.entries[0]
	j := job("x", 1, false)
	mustSubmit(t, e, j)
	for range 6 {
		cluster.tick(2, time.Second)
		cluster.report(e, cluster.finish(cluster.running()[0], backing.TaskCheckpointed))
	}
	cluster.completeAll(4)
	status, err := e.jobs.Status(context.Background(), j.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
		t.Errorf("status %+v, error %v", status, err)
	}
}

// Guards against unbounded queues, and against jobs that start after their
// deadline or end without a result at it.
func TestBoundsAndDeadlines(t *testing.T) {
	ctx := context.Background()
	cluster := newTestCluster(1)
	cluster.snapshot.Queues["q"] = fleet.Queue{Name: "q", Pool: "p", Teams: []fleet.TeamName{"a"}, MaxQueued: 2}
	cluster.tick(2, time.Second)
	e := cluster.entries[0]
	cluster.freeSlots = 0
	urgent := job("urgent", 1, false)
	urgent.Class = fleet.ClassUrgent
	expiring := job("expiring", 1, false)
	expiring.Deadline = cluster.clock.now.Add(3 * time.Second)
	for _, j := range []fleet.Job{job("one", 1, false), expiring, urgent} {
		mustSubmit(t, e, j)
	}
	if _, err := e.jobs.Submit(ctx, job("three", 1, false)); refusalReason(err) != fleet.ReasonQueueFull {
		t.Errorf("third job of the class: %v, want queue_full", err)
	}
	large := job("large", 1, false)
	large.Declared.Accelerators = 1
	if _, err := e.jobs.Submit(ctx, large); refusalReason(err) != fleet.ReasonTooLarge {
		t.Errorf("job that fits no VM: %v, want no_vm_can_hold", err)
	}
	cluster.largestVM = fleet.Resources{}
	large.Class = fleet.ClassBatch
	if status, err := e.jobs.Submit(ctx, large); err != nil {
		t.Errorf("job for a pool of which nothing is known: %+v, %v", status, err)
	}
	if status, err := e.jobs.Cancel(ctx, large.ID); err != nil || status.State != control.JobEnded {
		t.Errorf("cancel: %+v, %v", status, err)
	}
	cluster.tick(5, time.Second)
	cluster.freeSlots = 8
	cluster.completeAll(6)
	status, err := e.jobs.Status(ctx, expiring.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeNotRun || status.Result.Reason != fleet.ReasonDeadline {
		t.Errorf("expired job: %+v, %v, want not_run with deadline_unreachable", status, err)
	}
	if len(cluster.starts) != 2 {
		t.Errorf("%d jobs started, want the other two", len(cluster.starts))
	}
	if _, err := e.jobs.Submit(ctx, job("four", 1, false)); err != nil {
		t.Errorf("submit once the queue is empty: %v", err)
	}
}
