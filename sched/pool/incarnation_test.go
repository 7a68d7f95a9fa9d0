package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/pool"
)

// nextIncarnation starts a new incarnation of a worker under its id. The renewal that was
// waiting fails; the worker's row or its next listing tells of the restart.
func (h *harness) nextIncarnation(worker *worker) {
	h.loseRuns(worker)
	h.dropUnrecordedEnds(worker)
	worker.vm.StartedMS++
	worker.ends, worker.lastSequence, worker.uncountedUpTo = nil, 0, 0
	worker.highestEndedRun = map[string]int{}
	worker.leaseUntil, worker.token = 0, 0
	worker.brokenRenewal = true
}

// lateOrder is an order without an answer, which its worker may carry out later.
type lateOrder struct {
	pool.Command
	token int64
}

// loseStart leaves a start without an answer.
func (h *harness) loseStart(c pool.Command) lateOrder {
	worker := h.workers[c.VM]
	h.grant(worker)
	h.scheduler.Started(c, pool.StartUnconfirmed, h.now.Steady)
	return lateOrder{c, h.token(worker)}
}

// startLate lets the present incarnation of a worker carry out a start that had no answer,
// unless it has seen a higher token. It fails the test if a run of the task is on a VM.
func (h *harness) startLate(o lateOrder) {
	if worker := h.workers[o.VM]; worker.admits(o.token) {
		h.start(worker, o.Command, h.now.Steady+testLease)
	}
}

// Guards against a member of a gang that runs twice (TWICE): its start had no answer, and the
// stop that settles it was carried out by the incarnation before a restart. The answer to the
// stop comes after the row has told of the restart. Another stop, sent because a member has
// not started, is still under way.
func TestStopAnsweredByTheFormerIncarnationSettlesNothing(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		h.addVM(id, 1000)
	}
	h.settle()
	spec := shortJob(2)
	spec.Steps[0].Gang = true
	h.submit(spec)
	starts := h.commit()
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	h.advance(800 * time.Millisecond)
	late := h.loseStart(starts[0])
	worker := h.workers[late.VM]
	h.advance(100 * time.Millisecond)
	h.renew(late.VM)
	stops := h.stopsOfNextCycle()
	if len(stops) != 1 {
		t.Fatalf("%d stops, want the one of the start without an answer", len(stops))
	}
	h.stop(worker, stops[0])
	h.nextIncarnation(worker)
	h.scheduler.ObserveVM(worker.vm)
	h.renew(late.VM) // breaks off
	h.scheduler.Stopped(stops[0], true, h.now.Steady)
	h.advance(100 * time.Millisecond)
	h.scheduler.NotSent(starts[1])
	underWay := h.stopsOfNextCycle()
	h.advance(100 * time.Millisecond)
	h.renewAll()
	underWay = append(underWay, h.stopsOfNextCycle()...)
	h.startLate(late)
	for _, c := range underWay {
		h.execute(c)
	}
	for range 6 {
		h.advance(300 * time.Millisecond)
		h.settle()
	}
	if n := h.runningTasks(spec); n != 2 {
		t.Errorf("%d members run, want 2: %v", n, h.log)
	}
}
