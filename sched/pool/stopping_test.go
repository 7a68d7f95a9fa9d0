package pool_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/tables"
)

// Guards against starts beyond a workspace's cap (QUOTA, "quota" of REPORT-3): a job that uses
// the cap has ended, a next owner takes the pool over while its runs are being stopped, and starts
// the workspace's next job at once.
func TestRunsBeingStoppedCountAfterATakeover(t *testing.T) {
	for _, test := range []struct {
		name     string
		tasks    int
		rowBytes int
		failed   bool // the job fails; it is cancelled otherwise
		owners   int
	}{
		{"cancelled", 8, 0, false, 1},
		{"failed", 8, 0, true, 1},
		{"two owners", 8, 0, false, 2},
		{"in parts", 200, 8 << 10, false, 1},
		{"in parts, two owners", 200, 8 << 10, false, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.rowBytes = test.rowBytes
			limit := fleet.Resources{MilliCPU: int64(test.tasks) * 1000, MemoryMB: 1 << 20}
			h.catalog = catalogWithCap(h, limit.MilliCPU)
			takeover := func() {
				h.takeover()
				h.scheduler.SetCapShare("ws", limit, false)
			}
			takeover()
			h.addVM("a", 2*limit.MilliCPU)
			h.addVM("b", 2*limit.MilliCPU)
			h.advance(20 * time.Second) // past the leases of the owner before
			h.settle()
			first := shortJob(test.tasks)
			first.Workspace = "ws"
			h.submit(first)
			for range 4 {
				h.settle()
			}
			if n := h.runningTasks(first); n != test.tasks {
				t.Fatalf("%d of %d tasks run", n, test.tasks)
			}
			stopping := test.tasks
			if test.failed {
				stopping-- // the task that fails
				for attempt := range 3 {
					task := pool.TaskName(first.ID, 0, 0, 0)
					worker := h.workers[h.vmOf(task)]
					h.end(worker, task, pool.EndFailed)
					if attempt == 2 {
						h.renew(worker.vm.ID)
						break
					}
					h.settle()
					h.advance(2 * time.Second)
					h.settle()
				}
			} else {
				h.cancelled[first.ID] = true
				h.scheduler.Cancel(first.ID)
			}
			batch := h.nextBatch() // its stops are not sent
			h.write(batch)
			h.confirm(batch)
			second := shortJob(test.tasks)
			second.Workspace = "ws"
			h.submit(second)
			for range test.owners {
				takeover()
				batch := h.nextBatch()
				h.write(batch)
				h.confirm(batch)
			}
			if got := h.scheduler.CapWork("ws").Used.MilliCPU; got != int64(stopping)*1000 {
				t.Errorf("the next owner counts %d milli-CPU in the cap, want the %d of the runs that are being stopped", got, stopping*1000)
			}
			most := 0
			h.onStart = func(string) { most = max(most, h.runningTasks(first)+h.runningTasks(second)) }
			for range 20 {
				h.advance(300 * time.Millisecond)
				h.settle()
			}
			if most > test.tasks {
				t.Errorf("%d tasks ran at a start, the cap allows %d", most, test.tasks)
			}
			if n, left := h.runningTasks(second), h.runningTasks(first); n != test.tasks || left != 0 {
				t.Errorf("%d of %d tasks of the next job run beside %d of the former, want all and none", n, test.tasks, left)
			}
			h.expectNoTasksStored(t, first)
		})
	}
}

// expectNoTasksStored checks that nothing is stored of the tasks of a job that has ended.
func (h *harness) expectNoTasksStored(t *testing.T, spec *job.Spec) {
	t.Helper()
	if progress := h.storedProgress()[spec.ID]; !progress.State.Final() || len(progress.Occurrences)+len(progress.Parts) > 0 {
		t.Errorf("stored progress: %v with %d occurrences and %d parts, want the state alone", progress.State, len(progress.Occurrences), len(progress.Parts))
	}
}

// Guards against a row that is written for each run of a job that has ended: of the runs that are
// being stopped, one row tells, and one that there is none left.
func TestEndsOfACancelledJobAreNotRecordedOneByOne(t *testing.T) {
	h := newHarness(t)
	for i := range 10 {
		h.addVM(fmt.Sprintf("vm%d", i), 1000)
	}
	spec := shortJob(10)
	h.submit(spec)
	h.settle()
	h.cancelled[spec.ID] = true
	h.scheduler.Cancel(spec.ID)
	written := 0
	count := func() []pool.Command {
		batch := h.nextBatch()
		for _, put := range batch.Puts {
			if put.Key == tables.ProgressKey(testPool, spec.ID) {
				written++
			}
		}
		h.write(batch)
		h.confirm(batch)
		return h.scheduler.Commands()
	}
	for _, c := range count() {
		h.execute(c)
	}
	for _, w := range h.sortedWorkers() {
		h.renew(w.vm.ID)
		count()
	}
	if written != 2 {
		t.Errorf("the job's row was written %d times, want 2", written)
	}
	h.expectNoTasksStored(t, spec)
}
