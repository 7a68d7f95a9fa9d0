package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/job"
)

// leaveOrphan brings about an orphan run on VM "a", the only one, and returns its worker and
// the job, whose only task waits. The start of the run has no answer and is given up once it can
// no longer be carried out; the next incarnation of the worker carries it out nevertheless.
func (h *harness) leaveOrphan() (*worker, *job.Spec) {
	return h.leaveLateStart(orderDelay + time.Second)
}

// leaveLateStart lets the next incarnation of VM "a", the only one, carry a start out that had no
// answer, a time after that. It returns its worker and the job with the only task.
func (h *harness) leaveLateStart(after time.Duration) (*worker, *job.Spec) {
	a := h.addVM("a", 8000)
	for range 24 { // until the leases of earlier owners have ended
		h.advance(500 * time.Millisecond)
		h.settle()
	}
	spec := shortJob(1)
	h.submit(spec)
	starts := h.commit()
	if len(starts) != 1 {
		h.t.Fatalf("%d starts, want 1", len(starts))
	}
	late := h.loseStart(starts[0])
	late.sentAt += after // no worker should carry out an older one
	h.advance(after)
	h.advance(100 * time.Millisecond)
	h.renew("a")
	h.cycle() // a stop, unless the start may still be carried out
	h.advance(100 * time.Millisecond)
	h.renew("a")
	h.nextIncarnation(a)
	h.renew("a") // breaks off
	h.cycle()
	h.carryOutLate(late)
	if h.vmOf(spec.ID+".0.0.0") != "a" {
		h.t.Fatalf("the start was not carried out")
	}
	return a, spec
}

// listOrphan lets the worker list the run that leaveOrphan has left, and cuts it off before
// the stop arrives. The second renewal extends the lease.
func (h *harness) listOrphan(a *worker) {
	for range 2 {
		h.advance(100 * time.Millisecond)
		h.renew("a")
	}
	a.down = true
}

// runUntilStarted runs the scheduler until a task has started for the second time, which fails
// the test if the first run is still there, and returns the time that it took, at most limit.
func (h *harness) runUntilStarted(task string, limit time.Duration) time.Duration {
	from := h.now.Steady
	for h.startsByTask[task] < 2 && h.now.Steady-from < limit {
		h.renewAll()
		h.cycle()
		h.advance(100 * time.Millisecond)
	}
	return h.now.Steady - from
}

// Guards against a run that starts while an orphan run of its task is still there (TWICE): the
// VM that lists the orphan run is cut off and leaves discovery before the lease has ended.
func TestOrphanOnAVMThatLeavesDiscovery(t *testing.T) {
	h := newHarness(t)
	a, spec := h.leaveOrphan()
	h.addVM("b", 8000)
	h.listOrphan(a)
	h.scheduler.ForgetVM("a")
	if waited := h.runUntilStarted(spec.ID+".0.0.0", leaseBound+time.Second); waited > leaseBound+500*time.Millisecond {
		t.Errorf("the task has not started %v after its VM was cut off", waited)
	}
	for _, vm := range h.scheduler.RenewalTargets() {
		if vm.ID == "a" {
			t.Error("the VM that has left is still known")
		}
	}
}

// Guards against a task that waits without limit: the VM that lists an orphan run of it is cut
// off from its owner and stays in discovery.
func TestOrphanOnASilentVM(t *testing.T) {
	h := newHarness(t)
	a, spec := h.leaveOrphan()
	h.addVM("b", 8000)
	h.listOrphan(a)
	if waited := h.runUntilStarted(spec.ID+".0.0.0", 30*time.Second); waited > leaseBound+500*time.Millisecond {
		t.Errorf("the task starts only %v after the VM was cut off", waited)
	}
}

// Guards against a run that starts while an orphan run of its task is still there (TWICE): a
// new owner has seen the orphan run in one listing and has not granted a lease on the VM, but
// the lease of the earlier owner lasts.
func TestOrphanWithTheLeaseOfAnEarlierOwner(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		h := newHarness(t)
		a, spec := h.leaveOrphan()
		h.renew("a")
		h.takeover()
		a.leaseUntil = h.now.Steady + 10*time.Second // the longest that a worker accepts
		h.addVM("b", 8000)
		h.renew("a")
		a.down = true
		if leaves {
			h.scheduler.ForgetVM("a")
		}
		const inherited = 11 * time.Second // as in takeover
		if waited := h.runUntilStarted(spec.ID+".0.0.0", 30*time.Second); waited > inherited+500*time.Millisecond {
			t.Errorf("leaves %v: the task starts only %v after the takeover", leaves, waited)
		}
	}
}

// Guards against a task that waits for the lease of an orphan run that has certainly ended: its
// machine has started again as another VM.
func TestOrphanOnAMachineThatHasRestarted(t *testing.T) {
	h := newHarness(t)
	a, spec := h.leaveOrphan()
	h.listOrphan(a)
	h.cycle()
	h.loseRuns(a)
	b := h.addVM("b", 8000)
	b.vm.Machine, b.vm.StartedMS = a.vm.Machine, a.vm.StartedMS+1
	h.scheduler.ObserveVM(b.vm)
	if waited := h.runUntilStarted(spec.ID+".0.0.0", 30*time.Second); waited > time.Second {
		t.Errorf("the task starts only %v after the restart", waited)
	}
}

// Guards against a run that starts while its VM lists an orphan run of the task (TWICE): the
// lease has lasted longer than its bound, and the VM answers again.
func TestOrphanThatIsListedAfterItsLeaseBound(t *testing.T) {
	h := newHarness(t)
	a, spec := h.leaveOrphan()
	h.listOrphan(a)
	a.leaseUntil += 10 * time.Second
	for range 14 {
		h.advance(500 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	h.addVM("b", 8000)
	h.renew("b")
	a.down = false
	h.renew("a")
	for range 5 {
		for _, c := range h.commit() { // the stop is under way
			h.execute(c)
		}
		h.advance(200 * time.Millisecond)
		h.renewAll()
	}
	if waited := h.runUntilStarted(spec.ID+".0.0.0", 30*time.Second); waited > time.Second {
		t.Errorf("the task starts only %v after the stop", waited)
	}
}

// Guards against a run that starts while an orphan run of its task is still there (TWICE): the VM
// lists the orphan run while the record of the next run is being written.
func TestOrphanThatIsListedWhileTheNextRunIsRecorded(t *testing.T) {
	h := newHarness(t)
	a, spec := h.leaveOrphan()
	h.addVM("b", 8000)
	h.renew("b")
	batch := h.nextBatch()
	h.write(batch)
	h.listOrphan(a)
	for _, c := range h.confirm(batch) {
		h.execute(c)
	}
	h.runUntilStarted(spec.ID+".0.0.0", 30*time.Second)
}

// Guards against a run that starts while an orphan run of its task is still there (TWICE): the VM
// that has listed the orphan run to the earlier owner is cut off, and the rows do not tell a later
// owner of it.
func TestOrphanThatALaterOwnerHasNotSeen(t *testing.T) {
	h := newHarness(t)
	a, spec := h.leaveLateStart(0)
	h.addVM("b", 8000)
	h.listOrphan(a)
	h.cycle()
	h.takeover()
	h.runUntilStarted(spec.ID+".0.0.0", 30*time.Second)
}
