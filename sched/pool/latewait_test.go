package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// Guards against a job that is shown as failed without cause (LOST): a run has failed while a call of
// its start is left, so that its end is not acknowledged. The VM lists the end again to the next
// owner, which must not count it once more.
func TestNextOwnerCountsAHeldFailedEndOnce(t *testing.T) {
	r := newRepeated(t).repeat()
	r.end(r.a, r.task, pool.EndFailed)
	r.runUntil(r.now.Steady + time.Second)
	for range 2 { // the queue allows 3 attempts
		r.takeover()
		r.runUntil(r.now.Steady + time.Second)
	}
	if state := r.state(r.spec.ID); state == job.Failed {
		t.Errorf("the job is %v after %d failed run of 3", state, r.failuresByTask[r.task])
	}
}
