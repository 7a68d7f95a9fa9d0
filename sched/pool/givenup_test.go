package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// unansweredBackoff is the time without starts on a VM after a call that it has not answered.
const unansweredBackoff = time.Second

// twoSteps returns a job with a task, or a gang, and a task that depends on it.
func twoSteps(tasks int, gang bool) *job.Spec {
	spec := shortJob(tasks)
	spec.Steps[0].Gang = gang
	spec.Steps = append(spec.Steps, job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second, After: []int{0}})
	return spec
}

// doneUnseen lets step 0 of a job, which runs on a worker alone, end there as done while the
// worker is silent, until the runs are given up and have begun on another worker, b, that has
// room for nothing else.
func (h *harness) doneUnseen(spec *job.Spec) (a, b *worker) {
	count := spec.Steps[0].Count
	a = h.addVM("a", 8000)
	h.submit(spec)
	h.settle()
	for i := range count {
		h.end(a, pool.TaskName(spec.ID, 0, 0, i), pool.EndDone)
	}
	a.down = true
	b = h.addVM("b", int64(count)*1000)
	for range 14 {
		h.advance(500 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	if len(b.running) != count {
		h.t.Fatalf("%d runs on b, want %d", len(b.running), count)
	}
	h.onStart = func(task string) {
		if task == pool.TaskName(spec.ID, 0, 1, 0) && len(b.running) > 1 {
			h.t.Fatalf("%s started beside the runs that are being stopped: %v", task, sortedNames(b.running))
		}
	}
	return a, b
}

// wantSecondStep fails the test unless step 0 has had two runs of each task and is over, and step 1
// runs.
func (h *harness) wantSecondStep(spec *job.Spec) {
	for i := range spec.Steps[0].Count {
		task := pool.TaskName(spec.ID, 0, 0, i)
		if h.vmOf(task) != "" || h.startsByTask[task] != 2 {
			h.t.Fatalf("%s: %d starts, runs on %q; want 2 starts and no run", task, h.startsByTask[task], h.vmOf(task))
		}
	}
	if next := pool.TaskName(spec.ID, 0, 1, 0); h.vmOf(next) == "" {
		h.t.Fatalf("%s does not run although the step before is done", next)
	}
}

// Guards against a job that stands still (LOST) until work that is done has been done again: its
// end was listed by a VM that was silent for longer than the lease, when the next run had begun.
func TestEndListedWhileALaterRunIsActiveCounts(t *testing.T) {
	for _, test := range []struct {
		name string
		spec *job.Spec
		meet func(h *harness, a, b *worker) // before a is heard again
	}{
		{"task", twoSteps(1, false), func(*harness, *worker, *worker) {}},
		{"tasks", twoSteps(3, false), func(*harness, *worker, *worker) {}},
		{"gang", twoSteps(3, true), func(*harness, *worker, *worker) {}},
		{"b restarts under its id", twoSteps(2, false), func(h *harness, _, b *worker) { h.nextIncarnation(b) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			a, b := h.doneUnseen(test.spec)
			test.meet(h, a, b)
			a.down = false
			h.settle()
			h.advance(unansweredBackoff)
			h.settle()
			h.wantSecondStep(test.spec)
			h.endAll(pool.EndDone)
			h.settle()
			if got := h.state(test.spec.ID); got != job.Succeeded {
				t.Errorf("the job is %v, want succeeded", got)
			}
		})
	}
}

// Guards against the same, and against a third run, when the VM of the later run falls silent
// before it is stopped.
func TestEndListedWhileALaterRunIsSilentCounts(t *testing.T) {
	h := newHarness(t)
	spec := twoSteps(1, false)
	a, b := h.doneUnseen(spec)
	b.down = true
	a.down = false
	for range 14 {
		h.settle()
		h.advance(500 * time.Millisecond)
	}
	h.wantSecondStep(spec)
}

// Guards against the same when the pool's owner is replaced before the later run has been stopped:
// the end is not acknowledged until its task is recorded as done.
func TestEndListedWhileALaterRunIsActiveCountsForTheNextOwner(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newHarness(t)
		spec := twoSteps(2, gang)
		a, b := h.doneUnseen(spec)
		a.down = false
		b.down = true
		for range 3 {
			h.renewAll()
			h.cycle()
		}
		if len(b.running) != 2 {
			t.Fatalf("the runs on b have been stopped: %v", h.log)
		}
		h.takeover()
		b.down = false
		h.settle()
		h.wantSecondStep(spec)
	}
}

// Guards against a start of work that is known to be done: the end is listed while the record of
// the next run is under way.
func TestEndListedWhileALaterRunIsRecordedWithdrawsIt(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	h.end(a, pool.TaskName(spec.ID, 0, 0, 0), pool.EndDone)
	a.down = true
	for range 14 {
		h.advance(500 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	h.addVM("b", 1000)
	h.renew("b")
	batch := h.nextBatch()
	h.write(batch)
	a.down = false
	h.renew("a")
	if starts := h.confirm(batch); len(starts) > 0 {
		t.Errorf("starts %v, want none", starts)
	}
	h.settle()
	if got := h.state(spec.ID); got != job.Succeeded || h.starts != 1 {
		t.Errorf("the job is %v after %d starts, want succeeded after 1", got, h.starts)
	}
}

// Guards against a job that is shown as failed although its task is done (LOST): the run that was
// started again fails, or crashes its VM, before it is stopped, like two runs before the one that
// was done.
func TestSetbackAfterARunThatWasDoneDoesNotCount(t *testing.T) {
	for _, test := range []struct {
		name    string
		setback func(h *harness, on *worker, task string)
	}{
		{"failure", func(h *harness, on *worker, task string) { h.end(on, task, pool.EndFailed) }},
		{"crash", func(h *harness, on *worker, _ string) { h.nextIncarnation(on) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			a := h.addVM("a", 1000)
			spec := twoSteps(1, false)
			h.submit(spec)
			task := pool.TaskName(spec.ID, 0, 0, 0)
			for range 2 {
				h.settle()
				test.setback(h, a, task)
				h.settle()
				for range 3 { // no run of the task starts on a for a second
					h.advance(500 * time.Millisecond)
					h.renewAll()
				}
			}
			h.settle()
			h.end(a, task, pool.EndDone)
			a.down = true
			b := h.addVM("b", 1000)
			for range 14 {
				h.advance(500 * time.Millisecond)
				h.renewAll()
				h.cycle()
			}
			if h.vmOf(task) != "b" {
				t.Fatalf("the task does not run on b: %v", h.log)
			}
			a.down = false
			h.renew("a")
			test.setback(h, b, task)
			h.settle()
			h.advance(unansweredBackoff)
			h.settle()
			if got := h.state(spec.ID); got != job.Running {
				t.Errorf("the job is %v, want running", got)
			}
			if next := pool.TaskName(spec.ID, 0, 1, 0); h.vmOf(next) == "" {
				t.Errorf("%s does not run although the step before is done", next)
			}
		})
	}
}

// Guards against a stop of a long-running task (AVAIL): it has been started again after a run that
// a silent VM lists as done.
func TestLongRunningTaskIsNotStoppedForAnEarlierEnd(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 1000)
	spec := longRunningJob(1, 0, 0)
	h.submit(spec)
	h.settle()
	task := pool.TaskName(spec.ID, 0, 0, 0)
	h.end(a, task, pool.EndDone)
	a.down = true
	h.addVM("b", 1000)
	for range 14 {
		h.advance(500 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	a.down = false
	for range 4 {
		h.advance(500 * time.Millisecond)
		h.settle()
	}
	if h.vmOf(task) != "b" || h.startsByTask[task] != 2 {
		t.Errorf("the task runs on %q after %d starts, want b after 2", h.vmOf(task), h.startsByTask[task])
	}
}
