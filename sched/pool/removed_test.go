package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// removeQueues puts a catalog without queues in force.
func (h *harness) removeQueues() {
	h.catalog = catalog.New(h.catalog.Version+1, nil, []*catalog.Pool{{Name: testPool, ChecksAdmission: true}}, nil, catalog.Limits{})
	h.scheduler.Configure(h.catalog)
}

// Guards against a task that is started again without end (BUDGET): its queue is no longer
// declared, and the limit of attempts was lost with it. The owner is replaced meanwhile.
func TestAttemptsAreLimitedAfterTheQueueIsRemoved(t *testing.T) {
	h := newHarness(t)
	worker := h.addVM("vm1", 4000)
	h.settle()
	spec := shortJob(1)
	spec.Terms = &job.QueueTerms{MaxAttempts: 3, Stretch: 1.6}
	h.submit(spec)
	h.settle()
	h.removeQueues()
	for round := range 6 {
		for _, name := range sortedNames(worker.running) {
			h.end(worker, name, pool.EndFailed)
		}
		h.settle()
		h.advance(3 * time.Second) // the VM may run the task again
		h.settle()
		if round == 1 {
			h.takeover()
			h.settle()
		}
	}
	if got := h.startsByTask[pool.TaskName(spec.ID, 0, 0, 0)]; got != 3 {
		t.Errorf("%d starts, want 3", got)
	}
	if got := h.state(spec.ID); got != job.Failed {
		t.Errorf("the job is %v, want failed", got)
	}
}

// Guards against a job that never starts (LOST): its queue is no longer declared, and its
// starts lack the ticket that the workers ask for.
func TestAdviceIsAskedAfterTheQueueIsRemoved(t *testing.T) {
	h := newHarness(t)
	h.addVM("vm1", 4000)
	h.settle()
	spec := shortJob(1)
	spec.Terms = &job.QueueTerms{Advice: &job.AdviceTerms{CallTime: 20 * time.Millisecond, Validity: 3 * time.Second}}
	h.removeQueues()
	h.submit(spec)
	asked := 0
	for _, c := range append(h.commit(), h.scheduler.Commands()...) {
		switch c.Kind {
		case pool.Advise:
			asked++
		case pool.Start:
			t.Error("a start without a ticket")
		}
	}
	if asked != 1 {
		t.Errorf("the advisor was asked %d times, want once", asked)
	}
}
