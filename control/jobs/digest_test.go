package jobs

import (
	"context"
	"errors"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

// Guards against a caller that gets the result of different work because it
// reused an idempotency id.
func TestSameIDForDifferentWorkIsRefused(t *testing.T) {
	cluster := newTestCluster(3)
	cluster.tick(8, time.Second)
	first := job("one", 2, false)
	mustSubmit(t, cluster.entries[0], first)
	other := first
	other.Steps = append([]fleet.Step(nil), first.Steps...)
	other.Steps[1].Payload = []byte("other work")
	for _, when := range []string{"while the first is under way", "after its end"} {
		var refusal *fleet.Refusal
		if _, err := cluster.entries[1].jobs.Submit(context.Background(), other); !errors.As(err, &refusal) || refusal.Reason != fleet.ReasonInvalid {
			t.Errorf("%s: submit of other work with the same id returned %v, want a refusal as invalid", when, err)
		}
		later := first
		later.Deadline = later.Deadline.Add(time.Hour)
		if _, err := cluster.entries[2].jobs.Submit(context.Background(), later); err != nil {
			t.Errorf("%s: repeated submit returned %v", when, err)
		}
		cluster.completeAll(6)
	}
}
