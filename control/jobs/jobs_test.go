package jobs

import (
	"bytes"
	"context"
	"testing"
	"time"

	"amaranthfork.example/control"
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
