package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// progress sets the progress of all runs on a worker, by their time so far and their run time.
func (h *harness) progress(worker *worker, elapsed, runTime time.Duration) {
	for name, r := range worker.running {
		r.ProgressPercent = int(100 * elapsed / runTime)
		worker.running[name] = r
	}
}

// Guards against a VM that is healthy but runs its tasks 7.5 times slower (srv_grey slow,
// scale-2 of rml-quimper-grown): it kept getting work for as long as it was slow, and the jobs
// of that work were late.
func TestSlowVMGetsNoWork(t *testing.T) {
	h := newHarness(t)
	a, b, c := h.addVM("a", 4000), h.addVM("b", 4000), h.addVM("c", 4000)
	h.settle()
	first := shortJob(12)
	h.submit(first)
	h.settle()
	const elapsed = 800 * time.Millisecond
	h.advance(elapsed)
	h.progress(a, elapsed, 7500*time.Millisecond)
	h.progress(b, elapsed, time.Second)
	h.progress(c, elapsed, 1100*time.Millisecond)
	h.renewAll()
	h.settle()
	if len(a.running) != 4 {
		t.Fatalf("%d runs on the slow VM while the others are full, want 4", len(a.running))
	}
	for _, w := range []*worker{b, c} {
		for _, name := range sortedNames(w.running) {
			h.end(w, name, pool.EndDone)
		}
	}
	second := shortJob(4)
	h.submit(second)
	h.renewAll()
	h.settle()
	h.renewAll()
	h.settle()
	if len(a.running) != 0 {
		t.Errorf("the slow VM has %d runs, want none", len(a.running))
	}
	if n := len(b.running) + len(c.running); n != 8 {
		t.Errorf("%d runs on the other VMs, want the 4 of the slow one and 4 new ones", n)
	}
}

// Guards against a long job that is held for one on slow VMs, and is stopped again and again:
// its tasks take 7 times their estimate on all VMs.
func TestLongTasksAreNotASlowVM(t *testing.T) {
	h := newHarness(t)
	workers := []*worker{h.addVM("a", 4000), h.addVM("b", 4000), h.addVM("c", 8000)}
	h.settle()
	h.submit(shortJob(12))
	h.settle()
	for elapsed := 500 * time.Millisecond; elapsed < 7*time.Second; elapsed += 500 * time.Millisecond {
		h.advance(500 * time.Millisecond)
		for i, w := range workers {
			h.progress(w, elapsed, 7*time.Second+time.Duration(i)*time.Second)
		}
		h.renewAll()
		if stops := h.stopsOfNextCycle(); len(stops) > 0 {
			t.Fatalf("%d runs are stopped after %v", len(stops), elapsed)
		}
	}
}

// Guards against a VM that is held for slow because of its tasks: those away from their data take
// 3 times as long, and those that fill beside others are throttled.
func TestTasksThatAreSlowByThemselves(t *testing.T) {
	for name, change := range map[string]func(*job.Step){
		"away from their data": func(s *job.Step) { s.NearRack = "r2" },
		"best effort":          func(s *job.Step) { s.BestEffort = true },
	} {
		h := newHarness(t)
		a, b := h.addVM("a", 4000), h.addVM("b", 8000)
		b.vm.Rack = "r2"
		h.scheduler.ObserveVM(b.vm)
		h.settle()
		spec := shortJob(12)
		change(&spec.Steps[0])
		h.submit(spec)
		h.settle()
		const elapsed = 800 * time.Millisecond
		h.advance(elapsed)
		h.progress(a, elapsed, 3500*time.Millisecond)
		h.progress(b, elapsed, time.Second)
		if len(a.running) == 0 || len(b.running) < 3 {
			t.Fatalf("%s: %d and %d runs", name, len(a.running), len(b.running))
		}
		h.renewAll()
		h.renewAll() // compares with what the first listings have shown
		if load, ok := h.scheduler.LoadReport().VM(a.vm.ID); !ok || !load.Usable {
			t.Errorf("%s: the VM gets no new work", name)
		}
	}
}

// Guards against a task that is stopped again and again because it is longer than its siblings on
// any VM, and never ends: one task of 12 takes 5 times as long as the others.
func TestLongTaskIsNotStoppedAgainAndAgain(t *testing.T) {
	h := newHarness(t)
	workers := []*worker{h.addVM("a", 4000), h.addVM("b", 4000), h.addVM("c", 4000), h.addVM("d", 8000)}
	h.settle()
	spec := shortJob(12)
	h.submit(spec)
	h.settle()
	long := pool.TaskName(spec.ID, 0, 0, 0)
	const tick = 500 * time.Millisecond
	for elapsed := tick; elapsed < 6*time.Second; elapsed += tick {
		h.advance(tick)
		for _, w := range workers {
			for _, name := range sortedNames(w.running) {
				runTime := time.Second
				if name == long {
					runTime *= 5
				}
				if r := w.running[name]; elapsed < runTime {
					r.ProgressPercent = int(100 * elapsed / runTime)
					w.running[name] = r
				} else {
					h.end(w, name, pool.EndDone)
				}
			}
		}
		h.renewAll()
		if stops := h.stopsOfNextCycle(); len(stops) > 0 {
			t.Fatalf("%s is stopped after %v", stops[0].Task, elapsed)
		}
		for _, w := range workers {
			if load, _ := h.scheduler.LoadReport().VM(w.vm.ID); !load.Usable {
				t.Fatalf("%s gets no new work after %v", w.vm.ID, elapsed)
			}
		}
	}
	if got := h.state(spec.ID); got != job.Succeeded {
		t.Errorf("the job is %v, want succeeded", got)
	}
}
