package pool_test

import (
	"strings"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// Guards against a pool that starts nothing any more (LOST): VMs are reserved for long-running
// tasks that cannot run there, since other long-running tasks hold a part of each VM for good.
func TestNoVMIsReservedThatNeverBecomesFree(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 16_000)
	h.addVM("b", 16_000)
	h.settle()
	small := longRunningJob(2, 1, 0)
	h.submit(small)
	h.settle()
	if n := h.runningTasks(small); n != 2 {
		t.Fatalf("%d small long-running tasks run, want one on each VM", n)
	}
	var large []*job.Spec
	for range 2 {
		spec := longRunningJob(1, 1, 0)
		spec.Steps[0].Need = fleet.Resources{MilliCPU: 16_000, MemoryMB: 100}
		h.submit(spec)
		large = append(large, spec)
	}
	ordinary := shortJob(8)
	h.submit(ordinary)
	h.settle()
	if n := h.runningTasks(ordinary); n != 8 {
		t.Errorf("%d of 8 tasks run; 30 of 32 processors are free", n)
	}
	// Once the small tasks are gone, the VMs are kept free for the large ones.
	h.cancelled[small.ID] = true
	h.scheduler.Cancel(small.ID)
	h.settle()
	more := shortJob(1)
	h.submit(more)
	h.settle()
	if n := h.runningTasks(more); n != 0 {
		t.Errorf("%d later tasks run on VMs that the large tasks wait for, want 0", n)
	}
	for _, worker := range h.sortedWorkers() {
		for _, name := range sortedNames(worker.running) {
			if strings.HasPrefix(name, ordinary.ID+".") {
				h.end(worker, name, pool.EndDone)
			}
		}
	}
	h.settle()
	for i, spec := range large {
		if n := h.runningTasks(spec); n != 1 {
			t.Errorf("large task %d does not run once the VMs are empty", i)
		}
	}
}

// Guards against a job that never starts beside idle VMs (LOST): lasting jobs for which the
// advisor allows no VM reserve them for ever. One VM has not been asked about, since it has no
// room, and is forbidden once it has.
func TestNoVMIsReservedThatTheAdvisorForbids(t *testing.T) {
	h := newAdvisorHarness(t)
	queues := []*catalog.Queue{h.catalog.Queues["short"], {Name: "service", Pool: testPool, Stretch: 2, Target: 2 * time.Second}}
	h.catalog = catalog.New(4, queues, []*catalog.Pool{{Name: testPool}}, nil, catalog.Limits{})
	h.scheduler.Configure(h.catalog)
	for _, id := range []string{"a", "b", "c"} {
		h.addVM(id, 4000)
	}
	h.settle()
	for range 2 {
		hopeless := longRunningJob(1, 0, 0)
		hopeless.Queue = "short"
		h.submit(hopeless)
	}
	for range 20 {
		h.advance(200 * time.Millisecond)
		h.renewAll()
		for _, c := range h.commit() {
			h.execute(c)
		}
		for _, c := range h.scheduler.Commands() {
			if c.Kind == pool.Advise {
				h.scheduler.Advised(c, nil, 3*time.Second, h.now.Steady, true)
				continue
			}
			h.execute(c)
		}
	}
	ordinary := shortJob(12)
	ordinary.Queue = "service"
	h.submit(ordinary)
	h.settle()
	if n := h.runningTasks(ordinary); n != 12 {
		t.Errorf("%d of 12 tasks run, with room for all", n)
	}
}
