package jobs

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/control"
	"amaranthfork.example/control/shards"
	"amaranthfork.example/fleet"
)

// Guards against jobs of several steps that skip, repeat or mix up steps, and
// against repeated submissions that run again.
func TestStepsInOrderAndDeduplication(t *testing.T) {
	w := newWorld(3)
	w.tick(8, time.Second)
	j := job("one", 3, false)
	mustSubmit(t, w.nodes[0], j)
	w.drain(6)
	for i, n := range w.nodes {
		status, err := n.jobs.Submit(context.Background(), j)
		if err != nil || status.State != control.JobEnded {
			t.Fatalf("repeated submit at node %d: %+v, %v", i, status, err)
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
	if len(w.faults) > 0 {
		t.Error(w.faults)
	}
}

// Guards against starts on conditions that held when the job was picked and no
// longer hold when the start is sent.
func TestRecheckBeforeStart(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world, n *node, id fleet.JobID)
		want   fleet.Reason // of the final result; empty if the job waits on
	}{
		{"session invalid", func(_ *world, n *node, _ fleet.JobID) { n.invalid = true }, ""},
		{"view stale", func(_ *world, n *node, _ fleet.JobID) { n.stale = true }, ""},
		{"data centre out", func(w *world, _ *node, _ fleet.JobID) { w.reconfigure(fleet.DataCentreOut, false) }, ""},
		{"key withdrawn", func(w *world, _ *node, _ fleet.JobID) { w.reconfigure(fleet.DataCentreIn, true) }, fleet.ReasonUnauthorized},
		{"canceled", func(_ *world, n *node, id fleet.JobID) { _, _ = n.jobs.Cancel(context.Background(), id) }, fleet.ReasonCanceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(1)
			w.tick(2, time.Second)
			n := w.nodes[0]
			j := job("x", 1, false)
			j.Key = "k"
			mustSubmit(t, n, j)
			w.onReserve = func(n *node) { tt.change(w, n, j.ID); w.onReserve = nil }
			w.tick(1, time.Second)
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

// Guards against accepting, during an outage, jobs that cannot be recorded, and
// against holding back those that may run without a record.
func TestStoreOutage(t *testing.T) {
	ctx := context.Background()
	w := newWorld(1)
	w.tick(2, time.Second)
	n := w.nodes[0]
	waiting := job("before", 1, false)
	w.free = 0
	mustSubmit(t, n, waiting)
	w.setDown(n, true)
	w.free = 8
	if _, err := n.jobs.Submit(ctx, job("plain", 1, false)); refusalReason(err) != fleet.ReasonStoreUnavailable {
		t.Errorf("non-idempotent job: %v", err)
	}
	n.down = false // the view lags behind the outage
	if _, err := n.jobs.Submit(ctx, job("plain", 1, false)); refusalReason(err) != fleet.ReasonStoreUnavailable {
		t.Errorf("non-idempotent job, view lags: %v", err)
	}
	n.down = true
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
	heir := w.add()
	w.drain(8)
	status, err = heir.jobs.Status(ctx, again.ID)
	if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeCompleted {
		t.Errorf("result from the outage was not journaled: %+v, %v", status, err)
	}
	if status, err = heir.jobs.Status(ctx, waiting.ID); err != nil || status.Result == nil {
		t.Errorf("job from before the outage: %+v, %v", status, err)
	}
}

// Guards against a second life of a job id that takes the result of its first.
func TestResubmitAfterRetention(t *testing.T) {
	w := newWorld(0)
	w.options = Options{MaxRetained: 1}
	n := w.add()
	w.tick(2, time.Second)
	first, other := job("first", 1, false), job("other", 1, false)
	mustSubmit(t, n, first)
	w.drain(4)
	mustSubmit(t, n, other)
	w.drain(4)
	w.free = 0
	mustSubmit(t, n, first) // queued, not answered from the first life
	w.kill(n)
	w.free = 8
	w.add()
	w.drain(6)
	if starts := len(w.starts[stepKey(first.ID, 0)]); starts != 2 {
		t.Errorf("job started %d times in two lives", starts)
	}
}

// Guards against waiters that miss the end of a job, at its owner, at another
// entry, and when the job's owner fails while they wait.
func TestWaitersGetTheResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3)
		for _, n := range w.nodes {
			n.jobs.options.Sleep = sleep
		}
		w.tick(8, time.Second)
		j := job("waited", 1, false)
		mustSubmit(t, w.nodes[0], j)
		w.tick(1, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		results := make(chan control.JobStatus, 3)
		for _, n := range w.nodes {
			go func() {
				status, err := n.jobs.Wait(ctx, j.ID)
				if err == nil {
					results <- status
				}
			}()
		}
		synctest.Wait()
		owner := w.nodes[0].shards.Owner(shards.Of(j.ID, 8))
		for _, n := range slices.Clone(w.nodes) {
			if n.id == owner {
				w.kill(n)
			}
		}
		w.tick(6, time.Second)
		w.drain(4)
		for range 2 { // the third caller's entry has failed with the owner
			status := <-results
			if status.Result == nil || !bytes.Equal(status.Result.Body, body(j.ID, 0, status.Result.Attempt)) {
				t.Errorf("waiter got %+v", status)
			}
		}
	})
}
