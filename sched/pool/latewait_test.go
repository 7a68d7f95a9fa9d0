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

// Guards against a task that waits for longer than a call that was sent can be carried out (LOST):
// repetitions of its start that were not sent put the end of the wait off, again and again.
func TestStartsThatWereNotSentDoNotProlongTheWait(t *testing.T) {
	r := newRepeated(t)
	notSent := 0
	for r.now.Steady < r.first.sentAt+10*time.Second {
		r.advance(200 * time.Millisecond)
		r.renewAll()
		for _, c := range r.commit() {
			notSent++
			r.scheduler.NotSent(c)
		}
	}
	r.addVM("b", 8000)
	r.a.vm.Draining = true
	r.scheduler.ObserveVM(r.a.vm)
	r.runUntil(r.first.sentAt + orderTimeout + orderDelay + 3*time.Second)
	if r.vmOf(r.task) != "b" {
		t.Errorf("the task does not run on b %v after its only call, %d repetitions were not sent", r.now.Steady-r.first.sentAt, notSent)
	}
}

// Guards against the same with repetitions that the VM has refused: they begin nothing later.
func TestRefusedRepetitionsDoNotProlongTheWait(t *testing.T) {
	for _, result := range []pool.StartResult{pool.StartPastDeadline, pool.StartUnhealthy, pool.StartNoRoom} {
		r := newRepeated(t)
		r.runUntil(r.first.sentAt)
		refused := 0
		for r.now.Steady < r.first.sentAt+10*time.Second {
			r.advance(200 * time.Millisecond)
			if r.now.Steady < r.first.sentAt+8*time.Second {
				continue // the VM is slow to answer
			}
			r.renewAll()
			for _, c := range r.commit() {
				refused++
				r.scheduler.Started(c, result, r.now.Steady)
			}
		}
		if refused == 0 {
			t.Fatal("the start was not repeated")
		}
		r.addVM("b", 8000)
		r.a.vm.Draining = true
		r.scheduler.ObserveVM(r.a.vm)
		r.runUntil(r.first.sentAt + orderTimeout + orderDelay + 3*time.Second)
		if r.vmOf(r.task) != "b" {
			t.Errorf("%v: the task does not run on b %v after its only call without an answer", result, r.now.Steady-r.first.sentAt)
		}
	}
}
