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
