package pool_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/pool"
)

// Guards against members of a gang that resume from different checkpoints (UNASKED, review/9):
// their VMs list the checkpoints of a run at different moments, and all crash. The members'
// progress is in one row or in parts, with or without a later owner.
func TestGangMembersStartWithOneCheckpoint(t *testing.T) {
	for _, rowBytes := range []int{0, 4 << 10} {
		for _, event := range []string{"crash", "failed run", "later owner", "later owner after a failed run"} {
			t.Run(fmt.Sprintf("%s, rows of %d bytes", event, rowBytes), func(t *testing.T) {
				h := newHarness(t)
				h.rowBytes = rowBytes
				h.takeover()
				for i := range 4 {
					h.addVM(fmt.Sprintf("vm%d", i), 64_000)
				}
				spec := gangJob(160)
				spec.Steps[0].Need = fleet.Resources{MilliCPU: 1000}
				h.submit(spec)
				h.settle()
				if n := h.runningTasks(spec); n != 160 {
					t.Fatalf("%d members run, want 160", n)
				}
				// The VMs answer one after the other, some before and some after a new value.
				for i, worker := range h.sortedWorkers() {
					for name, r := range worker.running {
						r.Checkpoint = fmt.Sprintf("%016x", 2+i%2)
						worker.running[name] = r
					}
					h.renew(worker.vm.ID)
				}
				if event == "failed run" || event == "later owner after a failed run" {
					for i, worker := range h.sortedWorkers() {
						for _, name := range sortedNames(worker.running) {
							h.end(worker, name, pool.EndGangBroken)
							worker.ends[len(worker.ends)-1].Checkpoint = fmt.Sprintf("%016x", 4+i%2)
						}
						h.renew(worker.vm.ID)
					}
				}
				if event == "later owner after a failed run" {
					h.commit() // the starts are recorded, and not sent
				}
				if event == "crash" || event == "later owner" {
					for _, worker := range h.sortedWorkers() {
						h.restartWorker(worker)
					}
				}
				if event == "later owner" || event == "later owner after a failed run" {
					h.takeover()
				}
				starts := map[string]string{} // by task: checkpoint
				rounds := 20
				if event == "later owner after a failed run" {
					// It cannot tell starts that were not sent from those that are carried out late.
					rounds += int(orderDelay/(300*time.Millisecond)) + 1
				}
				for range rounds {
					h.renewAll()
					for _, c := range h.commit() {
						starts[c.Task] = c.Checkpoint
						h.execute(c)
						// A member that runs lists the next value before others have started.
						worker := h.workers[c.VM]
						r := worker.running[c.Task]
						r.Checkpoint = "00000000000000ff"
						worker.running[c.Task] = r
					}
					h.advance(300 * time.Millisecond)
				}
				values := map[string]int{}
				for _, checkpoint := range starts {
					values[checkpoint]++
				}
				if len(starts) != 160 || len(values) != 1 {
					t.Errorf("%d members start again with %v, want 160 with one checkpoint", len(starts), values)
				}
			})
		}
	}
}
