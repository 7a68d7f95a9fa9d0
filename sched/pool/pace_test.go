package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// servingWorld has one VM with a serving task and one with goal-less filling work
// beside it.
func servingWorld(t failer) (w *world, serving, filler string) {
	w = newWorld(t)
	w.addVM("a", 8000)
	serve := &job.Spec{Queue: "service", Steps: []job.Step{{Count: 1, Need: fleet.Resources{MilliCPU: 2000}, LongRunning: true, LatencyGoal: 100 * time.Millisecond}}}
	fill := &job.Spec{Queue: "service", Steps: []job.Step{{Count: 1, Need: fleet.Resources{MilliCPU: 9000}, LongRunning: true, Fills: true}}}
	w.submit(serve)
	w.submit(fill)
	w.settle()
	return w, serve.ID + ".0.0.0", fill.ID + ".0.0.0"
}

// report lists a tail latency for the serving task and returns the pace that is
// ordered for the filler, or -1.
func (w *world) report(serving string, latency int64) int {
	worker := w.workers["a"]
	r := worker.running[serving]
	r.Load = latency
	worker.running[serving] = r
	w.advance(500 * time.Millisecond)
	w.renew("a")
	for _, c := range w.commit() {
		w.carry(c)
	}
	pace := -1
	for _, c := range w.p.Commands() {
		if c.Kind == pool.Pace {
			pace = c.Percent
		}
		w.carry(c)
	}
	return pace
}

// Guards against HARM: a serving task that stays over its goal beside a filler
// that works on. The filler is cut at the first listing over the goal, stopped
// within three, and comes back in steps.
func TestFillersGiveWay(t *testing.T) {
	w, serving, filler := servingWorld(t)
	if w.where(filler) != "a" {
		t.Fatal("a filler needs room of its own")
	}
	if got := w.report(serving, 50); got != -1 {
		t.Fatalf("pace %d ordered while all is well", got)
	}
	first := w.report(serving, 150)
	if first < 0 || first > 50 {
		t.Fatalf("pace %d after the first listing over the goal, want a deep cut", first)
	}
	w.report(serving, 150)
	if got := w.report(serving, 150); got != 0 {
		t.Fatalf("pace %d after three listings over the goal, want 0", got)
	}
	if got := w.report(serving, 90); got != -1 {
		t.Fatalf("pace %d just below the goal, want no change", got)
	}
	if got := w.report(serving, 40); got <= 0 || got > 50 {
		t.Fatalf("pace %d well below the goal, want a small step", got)
	}
}

// Guards against a filler that stays paused for good: a new owner does not know
// the pace that the earlier one has ordered.
func TestPaceIsSetAnewAfterTakeover(t *testing.T) {
	w, serving, filler := servingWorld(t)
	for range 3 {
		w.report(serving, 150)
	}
	if w.paces[filler] != 0 {
		t.Fatalf("pace %d with the goal missed, want 0", w.paces[filler])
	}
	w.report(serving, 20)
	before := w.paces[filler]
	w.restart()
	for range 8 {
		w.report(serving, 20)
	}
	if w.where(filler) != "a" {
		t.Fatal("the filler was lost")
	}
	if w.paces[filler] != 100 {
		t.Fatalf("pace %d long after the goal is met, %d before the takeover; want 100", w.paces[filler], before)
	}
}
