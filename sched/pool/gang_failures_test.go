package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// gangJob returns a job of one gang. Its queue allows three attempts.
func gangJob(members int) *job.Spec {
	return &job.Spec{Queue: "short", Steps: []job.Step{{Count: members, Need: fleet.Resources{MilliCPU: 1000}, Estimate: time.Second, Gang: true, Checkpoints: true}}}
}

// gangTest is a gang of eight members, two on each of four of six VMs.
type gangTest struct {
	*harness
	spec *job.Spec
}

func newGangTest(t *testing.T) *gangTest {
	h := &gangTest{newHarness(t), gangJob(8)}
	for i := range 6 {
		h.addVM(fmt.Sprintf("vm%d", i), 2000)
	}
	h.settle()
	h.submit(h.spec)
	h.waitForRun(t, 1)
	return h
}

// waitForRun has all members run under the given run number.
func (h *gangTest) waitForRun(t *testing.T, run int) {
	t.Helper()
	for range 10 {
		h.settle()
		if h.runningTasks(h.spec) == 8 {
			break
		}
		h.advance(300 * time.Millisecond)
	}
	for _, worker := range h.sortedWorkers() {
		for name, r := range worker.running {
			if r.Run != run {
				t.Fatalf("%s runs as run %d, want %d", name, r.Run, run)
			}
		}
	}
	if n := h.runningTasks(h.spec); n != 8 {
		t.Fatalf("%d members of run %d run, want 8", n, run)
	}
}

// busy returns the VMs with members, in order.
func (h *gangTest) busy() []*worker {
	return slices.DeleteFunc(h.sortedWorkers(), func(w *worker) bool { return len(w.running) == 0 })
}

// fail ends a run of the gang: all members on the given VMs as failed, the others as broken.
// The ends are not listed yet.
func (h *gangTest) fail(on ...*worker) {
	for _, worker := range h.busy() {
		cause := pool.EndGangBroken
		if slices.Contains(on, worker) {
			cause = pool.EndFailed
		}
		for _, name := range sortedNames(worker.running) {
			h.end(worker, name, cause)
		}
	}
}

// Guards against a gang that is given up after one failed run (LOST, review/8): several of
// its members fail in one and the same run, on one VM or on several, and their ends come in
// one listing or in several, in any order, also at a later owner or after a listing that
// shows only some of them.
func TestGangRunIsCountedAsOneFailure(t *testing.T) {
	for name, list := range map[string]func(h *gangTest, failed []*worker){
		"one listing each": func(h *gangTest, _ []*worker) { h.renewAll() },
		"reverse order": func(h *gangTest, _ []*worker) {
			for _, worker := range slices.Backward(h.sortedWorkers()) {
				h.renew(worker.vm.ID)
			}
		},
		"a record between": func(h *gangTest, failed []*worker) {
			h.renew(failed[0].vm.ID)
			h.cycle()
			h.renewAll()
		},
		"a later owner": func(h *gangTest, failed []*worker) {
			h.renew(failed[0].vm.ID)
			h.cycle()
			h.takeover()
			h.renewAll()
		},
		"a later owner in the middle of a VM's ends": func(h *gangTest, failed []*worker) {
			held := failed[0].ends[1:]
			failed[0].ends = failed[0].ends[:1]
			h.renew(failed[0].vm.ID)
			h.cycle()
			failed[0].ends = append(failed[0].ends, held...)
			h.takeover()
			h.renewAll()
		},
	} {
		for _, vms := range []int{1, 2, 4} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				h := newGangTest(t)
				for run := 1; run <= 3; run++ {
					failed := h.busy()[:vms]
					h.fail(failed...)
					list(h, failed)
					h.cycle()
					if run < 3 {
						if state := h.state(h.spec.ID); state.Final() {
							t.Fatalf("the job is %v after %d failed runs, want 3", state, run)
						}
						h.advance(1100 * time.Millisecond) // VMs that have failed are used again
						h.waitForRun(t, run+1)
					}
				}
				if state := h.state(h.spec.ID); state != job.Failed {
					t.Fatalf("the job is %v after three failed runs, want failed", state)
				}
			})
		}
	}
}

// Guards against a failed run that is counted again after the gang was started again: one of
// its members was given up, and its VM lists the end later.
func TestLateEndOfAGangRunIsNotCountedAgain(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		h := newGangTest(t)
		silent := h.busy()[0]
		silent.down = true
		h.fail(h.busy()[:2]...)
		for range 14 { // the lease of the silent VM ends
			h.renewAll()
			if restarted {
				h.cycle()
			}
			h.advance(500 * time.Millisecond)
		}
		silent.down = false
		h.renewAll()
		h.cycle()
		progress := h.storedProgress()[h.spec.ID]
		if progress.State.Final() {
			t.Errorf("restarted %v: the job is %v after one failed run", restarted, progress.State)
		} else if got := progress.Occurrences[0].Tasks[0].Failures; got != 1 {
			t.Errorf("restarted %v: %d failed runs are recorded after one, want 1", restarted, got)
		}
	}
}

// Guards against a gang that fails again on a VM that has failed it: another member is placed
// there, and each member remembers only its own failures.
func TestGangAvoidsAVMThatHasFailedIt(t *testing.T) {
	h := newGangTest(t)
	sick := h.busy()[0]
	h.fail(sick)
	h.renewAll()
	h.waitForRun(t, 2)
	if len(sick.running) > 0 {
		t.Errorf("%d members run on the VM that has failed the gang; two others are empty", len(sick.running))
	}
}

// Guards against a gang that never runs again (LOST): two VMs have restarted right after its
// start, and its members, each a likely cause, were kept apart on more VMs than there are.
func TestGangRunsAgainAfterCrashesUnderItsMembers(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b"} {
		h.addVM(id, 4000)
	}
	h.settle()
	spec := shortJob(4)
	spec.Steps[0].Gang = true
	h.submit(spec)
	for crashes := 0; ; crashes++ {
		for i := 0; h.runningTasks(spec) < 4; i++ {
			if i == 600 {
				t.Fatalf("%d members run a minute after crash %d, want 4: %v", h.runningTasks(spec), crashes, h.log)
			}
			h.advance(100 * time.Millisecond)
			h.renewAll()
			h.cycle()
		}
		if crashes == 2 {
			return
		}
		for _, worker := range h.sortedWorkers() {
			h.nextIncarnation(worker)
		}
	}
}
