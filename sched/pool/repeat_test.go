package pool_test

import (
	"math"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/tables"
)

// endlessJob returns a job of two tasks that has been due every minute for years.
func (h *harness) endlessJob() *job.Spec {
	spec := wideJob(2)
	spec.Repetitions, spec.FirstRunMS, spec.Interval = math.MaxInt, 1, time.Minute
	return spec
}

// Guards against owners that run out of memory one after the other (LOST): a job with
// 2^63-1 repetitions and a first run in the past passed the limit of tasks, because the
// product overflowed, and all due occurrences were opened at once.
func TestEndlessJobIsOpenedInParts(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	worker := h.addVM("vm1", 3000)
	h.settle()
	spec := h.endlessJob()
	h.submit(spec)
	h.submit(shortJob(1))
	for round := range 30 {
		h.settle()
		if n := h.runningTasks(spec); n > job.MaxTasks {
			t.Fatalf("round %d: %d tasks run, want at most %d", round, n, job.MaxTasks)
		}
		if wait := h.scheduler.NextDue(time.Second); wait != time.Second {
			t.Fatalf("round %d: the next occurrence is due in %v although no more may be opened", round, wait)
		}
		for _, name := range sortedNames(worker.running) {
			h.end(worker, name, pool.EndDone)
		}
		h.advance(300 * time.Millisecond)
		if round%10 == 9 {
			h.takeover()
		}
	}
	h.settle()
	progress := h.storedProgress()[spec.ID]
	if progress.FirstOpen < 10_000 {
		t.Errorf("%d occurrences are complete after 30 rounds of up to 1,500", progress.FirstOpen)
	}
	if n := len(progress.Parts); n > job.MaxTasks/64+10 {
		t.Errorf("%d parts are stored, those of complete occurrences among them", n)
	}
	if got := h.state(h.specs[1].ID); got != job.Succeeded {
		t.Errorf("the job beside it is %v, want succeeded", got)
	}
	h.cancelled[spec.ID] = true
	h.scheduler.Cancel(spec.ID)
	for range 10 {
		h.settle()
	}
	for key := range h.rows {
		if id, part, _ := tables.ParseProgress(key.Name); key.Table == tables.Progress && id == spec.ID && part >= 0 {
			t.Fatalf("part %d of a cancelled job is left", part)
		}
	}
}

// Guards against numbers of callers that overflow: a loop without a pause, a negative
// demand, or an objective in the past.
func TestNumbersAtTheEndOfTheirRange(t *testing.T) {
	h := newHarness(t)
	h.addVM("vm1", 4000)
	h.settle()
	const most = 1 << 36 // as the adapter passes them on
	huge := fleet.Resources{MilliCPU: most, MemoryMB: most, Accelerators: most}
	for _, spec := range []*job.Spec{
		{Repetitions: math.MaxInt, FirstRunMS: math.MaxInt64, Interval: math.MaxInt64},
		{Repetitions: math.MaxInt, FirstRunMS: h.now.Wall + 3000, Interval: math.MaxInt64},
		{Repetitions: 2, FirstRunMS: math.MaxInt64 - 1, Interval: time.Millisecond},
		{Repetitions: 3, Interval: math.MaxInt64},
	} {
		spec.Queue = "short"
		spec.Steps = []job.Step{{Count: job.MaxTasks, Need: huge, Estimate: 30 * 24 * time.Hour}}
		h.submit(spec)
	}
	ordinary := shortJob(2)
	h.submit(ordinary)
	h.settle()
	if h.runningTasks(ordinary) != 2 {
		t.Error("an ordinary job beside them does not run")
	}
	if wait := h.scheduler.NextDue(time.Second); wait <= 0 {
		t.Errorf("the next occurrence is due in %v, want a pause", wait)
	}
	if load := h.scheduler.LoadReport(); load.ReadyMilliCPU < 0 || load.BacklogCoreSeconds < 0 || load.LateCoreSeconds < 0 {
		t.Errorf("load %+v, want no negative number", load)
	}
}
