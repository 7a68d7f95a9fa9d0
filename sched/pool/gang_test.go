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

// Guards against a gang that is left incomplete (GANG): the VM of a member may no longer be
// used when the record of the placement is written, and the others wait for it until they end
// alone.
func TestGangWithAMemberThatMayNotStartStartsAgain(t *testing.T) {
	for name, lose := range map[string]func(h *harness, worker *worker){
		"its VM has restarted": func(h *harness, worker *worker) {
			h.nextIncarnation(worker)
			h.scheduler.ObserveVM(worker.vm)
		},
		"its VM is cordoned": func(h *harness, worker *worker) {
			h.scheduler.SetCordons(map[string]pool.Cordon{worker.vm.Machine: {VM: worker.vm.ID}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for _, id := range []string{"a", "b", "c", "d"} {
				h.addVM(id, 2000)
			}
			h.settle()
			spec := shortJob(6)
			spec.Steps[0].Gang = true
			h.submit(spec)
			batch := h.nextBatch()
			lose(h, h.workers["b"])
			h.write(batch)
			starts := h.confirm(batch)
			if len(starts) == 6 {
				t.Fatal("a member starts on a VM that may not be used")
			}
			for _, c := range starts {
				h.execute(c)
			}
			for range 8 {
				h.settle()
				h.advance(300 * time.Millisecond)
			}
			if got := h.runningTasks(spec); got != 6 {
				t.Errorf("%d members run 2.4 s later, want 6", got)
			}
		})
	}
}
