package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// Guards against a gang that is left incomplete (GANG): the start of one member is refused
// or not sent, and the others wait for it until they end alone.
func TestGangWithAMissingMemberStartsAgain(t *testing.T) {
	for name, miss := range map[string]func(h *harness, c pool.Command){
		"refused":           func(h *harness, c pool.Command) { h.scheduler.Started(c, pool.StartNoRoom, h.now.Steady) },
		"not sent":          func(h *harness, c pool.Command) { h.scheduler.NotSent(c) },
		"other incarnation": func(h *harness, c pool.Command) { h.scheduler.Started(c, pool.StartOtherIncarnation, h.now.Steady) },
	} {
		h := newHarness(t)
		for _, id := range []string{"a", "b", "c", "d"} {
			h.addVM(id, 2000)
		}
		h.settle()
		spec := &job.Spec{Queue: "short", Steps: []job.Step{{Count: 6, Need: fleet.Resources{MilliCPU: 1000}, Estimate: time.Second, Gang: true}}}
		h.submit(spec)
		starts := h.commit()
		if len(starts) != 6 {
			t.Fatalf("%s: %d starts, want 6", name, len(starts))
		}
		for i, c := range starts {
			if i == 3 {
				miss(h, c)
				continue
			}
			h.execute(c)
		}
		for range 8 {
			h.settle()
			h.advance(300 * time.Millisecond)
		}
		if got := h.runningTasks(spec); got != 6 {
			t.Errorf("%s: %d members run 2.4 s later, want 6", name, got)
		}
		run := 0
		for _, worker := range h.workers {
			for _, r := range worker.running {
				if run != 0 && r.Run != run {
					t.Errorf("%s: members of runs %d and %d", name, run, r.Run)
				}
				run = r.Run
			}
		}
	}
}
