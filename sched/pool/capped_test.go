package pool_test

import (
	"fmt"
	"testing"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
)

// catalogWithCap returns the catalog of h with a workspace that has a cap.
func catalogWithCap(h *harness, milliCPU int64) *catalog.Catalog {
	var queues []*catalog.Queue
	for _, q := range h.catalog.Queues {
		queues = append(queues, q)
	}
	return catalog.New(2, queues, []*catalog.Pool{{Name: testPool}},
		[]*catalog.Workspace{{Name: "ws", Weight: 1, Keys: []string{"key"}, Cap: fleet.Resources{MilliCPU: milliCPU}}}, catalog.Limits{})
}

// Guards against a task that waits for a share of its workspace's cap that nobody asks for
// (LOST, review/7), and against a share that is asked for and cannot be used: the VMs have no
// room, or the pool's own runs leave less of the cap.
func TestTaskThatWaitsForACapShareIsReported(t *testing.T) {
	for _, test := range []struct {
		name       string
		vms        int
		gang       bool
		count      int
		need       int64
		otherRuns  int
		wantsShare int64
	}{
		{"one task", 1, false, 1, 6000, 0, 6000},
		{"first of several tasks", 2, false, 3, 6000, 0, 6000},
		{"a gang", 2, true, 2, 5000, 0, 10_000},
		{"a gang without room", 1, true, 2, 5000, 0, 0},
		{"no room", 1, false, 1, 9000, 0, 0},
		{"beyond the cap", 2, true, 3, 5000, 0, 0},
		{"beyond the cap beside own runs", 2, true, 2, 5000, 3, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.catalog = catalogWithCap(h, 12_000)
			h.scheduler.Configure(h.catalog)
			for i := range test.vms {
				h.addVM(fmt.Sprintf("vm%d", i), 8000)
			}
			h.scheduler.SetCapShare("ws", fleet.Resources{MilliCPU: 3000, MemoryMB: 10_000}, false)
			if test.otherRuns > 0 {
				other := shortJob(test.otherRuns)
				other.ID, other.Workspace = "00000000000000cc", "ws"
				h.submit(other)
				h.settle()
			}
			spec := shortJob(test.count)
			spec.Workspace = "ws"
			spec.Steps[0].Gang, spec.Steps[0].Need = test.gang, fleet.Resources{MilliCPU: test.need}
			h.submit(spec)
			h.settle()
			if got := h.scheduler.CapWork("ws").Unit.MilliCPU; got != test.wantsShare {
				t.Errorf("the scheduler waits for a share of %d milli-CPU, want %d", got, test.wantsShare)
			}
		})
	}
}

// Guards against a pool that holds the rest of a cap for a backlog that its VMs have no room
// for, so that a task of another pool does not start (LOST, review/10).
func TestBacklogAsksForNoMoreThanItsVMsHold(t *testing.T) {
	h := newHarness(t)
	h.catalog = catalogWithCap(h, 100_000)
	h.scheduler.Configure(h.catalog)
	h.addVM("a", 4000)
	h.addVM("b", 4000)
	h.settle()
	h.scheduler.SetCapShare("ws", fleet.Resources{MilliCPU: 5000, MemoryMB: 100_000}, false)
	for range 10 {
		spec := shortJob(6)
		spec.Workspace = "ws"
		h.submit(spec)
	}
	h.settle()
	if got := h.scheduler.CapWork("ws"); got.Used.MilliCPU != 5000 || got.Need.MilliCPU != 8000 || got.Unit.MilliCPU != 1000 {
		t.Errorf("within a share of 5000, the pool uses %d, needs %d and waits for %d milli-CPU; its VMs have 8000", got.Used.MilliCPU, got.Need.MilliCPU, got.Unit.MilliCPU)
	}
	h.scheduler.SetCapShare("ws", fleet.Resources{MilliCPU: 100_000, MemoryMB: 100_000}, false)
	h.settle()
	if got := h.scheduler.CapWork("ws"); got.Used.MilliCPU != 8000 || got.Need.MilliCPU != 8000 || got.Unit.MilliCPU != 0 {
		t.Errorf("with all VMs full, the pool uses %d, needs %d and waits for %d milli-CPU, want 8000, 8000 and 0", got.Used.MilliCPU, got.Need.MilliCPU, got.Unit.MilliCPU)
	}
	bestEffort := shortJob(6)
	bestEffort.ID, bestEffort.Workspace = "00000000000000cc", "ws"
	bestEffort.Steps[0].BestEffort, bestEffort.Steps[0].LongRunning = true, true
	h.submit(bestEffort)
	h.settle()
	if got := h.scheduler.CapWork("ws"); got.Used.MilliCPU != 14_000 {
		t.Errorf("with six best-effort tasks, which occupy no processors of a VM, the pool uses %d, want 14000", got.Used.MilliCPU)
	}
}
