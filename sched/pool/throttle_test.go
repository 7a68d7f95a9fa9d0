package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// newThrottleHarness returns a harness with one VM, and the names of the
// latency-sensitive task and the best-effort task that run on it.
func newThrottleHarness(t testingT) (h *harness, latencyTask, bestEffortTask string) {
	h = newHarness(t)
	h.addVM("a", 8000)
	latencyJob := &job.Spec{Queue: "service", Steps: []job.Step{{Count: 1, Need: fleet.Resources{MilliCPU: 2000}, LongRunning: true, LatencyGoal: 100 * time.Millisecond}}}
	bestEffortJob := &job.Spec{Queue: "service", Steps: []job.Step{{Count: 1, Need: fleet.Resources{MilliCPU: 9000}, LongRunning: true, BestEffort: true}}}
	h.submit(latencyJob)
	h.submit(bestEffortJob)
	h.settle()
	return h, latencyJob.ID + ".0.0.0", bestEffortJob.ID + ".0.0.0"
}

// reportLatency lists a tail latency, in ms, for the latency-sensitive task and
// returns the throttle that is set for the best-effort task, in percent, or -1 if
// none is set.
func (h *harness) reportLatency(latencyTask string, latencyMS int64) int {
	worker := h.workers["a"]
	r := worker.running[latencyTask]
	r.Load = latencyMS
	worker.running[latencyTask] = r
	h.advance(500 * time.Millisecond)
	h.renew("a")
	for _, c := range h.commit() {
		h.execute(c)
	}
	throttle := -1
	for _, c := range h.scheduler.Commands() {
		if c.Kind == pool.Throttle {
			throttle = c.ThrottlePercent
		}
		h.execute(c)
	}
	return throttle
}

// Guards against a latency-sensitive task that misses its goal while a best-effort
// task on its VM runs at full speed, reported as HARM. The throttle is cut at the
// first listing over the goal, is 0 within three, and is raised again in steps.
func TestBestEffortTasksAreThrottled(t *testing.T) {
	h, latencyTask, bestEffortTask := newThrottleHarness(t)
	if h.vmOf(bestEffortTask) != "a" {
		t.Fatal("the best-effort task was not placed: it must need no free processors")
	}
	if got := h.reportLatency(latencyTask, 50); got != -1 {
		t.Fatalf("throttle %d set while the latency is below the goal", got)
	}
	first := h.reportLatency(latencyTask, 150)
	if first < 0 || first > 50 {
		t.Fatalf("throttle %d after the first listing over the goal, want a deep cut", first)
	}
	h.reportLatency(latencyTask, 150)
	if got := h.reportLatency(latencyTask, 150); got != 0 {
		t.Fatalf("throttle %d after three listings over the goal, want 0", got)
	}
	if got := h.reportLatency(latencyTask, 90); got != -1 {
		t.Fatalf("throttle %d just below the goal, want no change", got)
	}
	if got := h.reportLatency(latencyTask, 40); got <= 0 || got > 50 {
		t.Fatalf("throttle %d well below the goal, want a small step", got)
	}
}

// Guards against a best-effort task that stays throttled forever: a new owner does
// not know the throttle that the earlier one has set.
func TestThrottleIsRestoredAfterTakeover(t *testing.T) {
	h, latencyTask, bestEffortTask := newThrottleHarness(t)
	for range 3 {
		h.reportLatency(latencyTask, 150)
	}
	if h.throttles[bestEffortTask] != 0 {
		t.Fatalf("throttle %d with the goal missed, want 0", h.throttles[bestEffortTask])
	}
	h.reportLatency(latencyTask, 20)
	before := h.throttles[bestEffortTask]
	h.takeover()
	for range 8 {
		h.reportLatency(latencyTask, 20)
	}
	if h.vmOf(bestEffortTask) != "a" {
		t.Fatal("the best-effort task was lost")
	}
	if h.throttles[bestEffortTask] != 100 {
		t.Fatalf("throttle %d long after the goal is met, %d before the takeover; want 100", h.throttles[bestEffortTask], before)
	}
}

// Guards against a best-effort task that stays throttled for good, or at full speed beside
// a task that misses its goal (HARM): a throttle had no answer, and is carried out after the
// newer ones that replaced it.
func TestLateThrottleIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after int64 // latencies, in ms, when the late throttle is sent, and from then on
		want          int   // throttle in the end, in percent
	}{
		{"late cut", 150, 40, 100},
		{"late rise", 40, 150, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, latencyTask, bestEffortTask := newThrottleHarness(t)
			for range 4 { // the throttle is 0, and can be raised as well as cut
				h.reportLatency(latencyTask, 150)
			}
			if test.before > 100 {
				h.reportLatency(latencyTask, 40)
			}
			r := h.workers["a"].running[latencyTask]
			r.Load = test.before
			h.workers["a"].running[latencyTask] = r
			h.advance(500 * time.Millisecond)
			h.renew("a")
			h.commit()
			var late pool.Command
			for _, c := range h.scheduler.Commands() {
				if c.Kind == pool.Throttle {
					late = c
				}
			}
			if late.Task != bestEffortTask {
				t.Fatalf("no throttle is sent")
			}
			h.advance(800 * time.Millisecond)
			h.scheduler.ThrottleUnconfirmed(late)
			for i := range 20 {
				if i == 11 {
					h.throttles[bestEffortTask] = late.ThrottlePercent // 7 s after it was sent
				}
				h.reportLatency(latencyTask, test.after)
			}
			if got := h.throttles[bestEffortTask]; got != test.want {
				t.Errorf("the throttle is %d in the end, want %d", got, test.want)
			}
		})
	}
}
