package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// newThrottleWorld returns a world with one VM, and the names of the
// latency-sensitive task and the best-effort task that run on it.
func newThrottleWorld(t testingT) (w *world, latencyTask, bestEffortTask string) {
	w = newWorld(t)
	w.addVM("a", 8000)
	latencyJob := &job.Spec{Queue: "service", Steps: []job.Step{{Count: 1, Need: fleet.Resources{MilliCPU: 2000}, LongRunning: true, LatencyGoal: 100 * time.Millisecond}}}
	bestEffortJob := &job.Spec{Queue: "service", Steps: []job.Step{{Count: 1, Need: fleet.Resources{MilliCPU: 9000}, LongRunning: true, BestEffort: true}}}
	w.submit(latencyJob)
	w.submit(bestEffortJob)
	w.settle()
	return w, latencyJob.ID + ".0.0.0", bestEffortJob.ID + ".0.0.0"
}

// reportLatency lists a tail latency, in ms, for the latency-sensitive task and
// returns the throttle that is set for the best-effort task, in percent, or -1 if
// none is set.
func (w *world) reportLatency(latencyTask string, latencyMS int64) int {
	worker := w.workers["a"]
	r := worker.running[latencyTask]
	r.Load = latencyMS
	worker.running[latencyTask] = r
	w.advance(500 * time.Millisecond)
	w.renew("a")
	for _, c := range w.commit() {
		w.execute(c)
	}
	throttle := -1
	for _, c := range w.p.Commands() {
		if c.Kind == pool.Throttle {
			throttle = c.ThrottlePercent
		}
		w.execute(c)
	}
	return throttle
}

// Guards against HARM: a latency-sensitive task misses its goal while a best-effort
// task on its VM goes on at full speed. The throttle is cut at the first listing
// over the goal, is 0 within three, and is raised again in steps.
func TestBestEffortTasksAreThrottled(t *testing.T) {
	w, latencyTask, bestEffortTask := newThrottleWorld(t)
	if w.vmOf(bestEffortTask) != "a" {
		t.Fatal("the best-effort task was not placed: it must need no free processors")
	}
	if got := w.reportLatency(latencyTask, 50); got != -1 {
		t.Fatalf("throttle %d set while the latency is below the goal", got)
	}
	first := w.reportLatency(latencyTask, 150)
	if first < 0 || first > 50 {
		t.Fatalf("throttle %d after the first listing over the goal, want a deep cut", first)
	}
	w.reportLatency(latencyTask, 150)
	if got := w.reportLatency(latencyTask, 150); got != 0 {
		t.Fatalf("throttle %d after three listings over the goal, want 0", got)
	}
	if got := w.reportLatency(latencyTask, 90); got != -1 {
		t.Fatalf("throttle %d just below the goal, want no change", got)
	}
	if got := w.reportLatency(latencyTask, 40); got <= 0 || got > 50 {
		t.Fatalf("throttle %d well below the goal, want a small step", got)
	}
}

// Guards against a best-effort task that stays throttled for good: a new owner
// does not know the throttle that the earlier one has set.
func TestThrottleIsRestoredAfterTakeover(t *testing.T) {
	w, latencyTask, bestEffortTask := newThrottleWorld(t)
	for range 3 {
		w.reportLatency(latencyTask, 150)
	}
	if w.throttles[bestEffortTask] != 0 {
		t.Fatalf("throttle %d with the goal missed, want 0", w.throttles[bestEffortTask])
	}
	w.reportLatency(latencyTask, 20)
	before := w.throttles[bestEffortTask]
	w.takeOver()
	for range 8 {
		w.reportLatency(latencyTask, 20)
	}
	if w.vmOf(bestEffortTask) != "a" {
		t.Fatal("the best-effort task was lost")
	}
	if w.throttles[bestEffortTask] != 100 {
		t.Fatalf("throttle %d long after the goal is met, %d before the takeover; want 100", w.throttles[bestEffortTask], before)
	}
}
