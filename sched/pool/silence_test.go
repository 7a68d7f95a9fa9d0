package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/tables"
)

// Guards against work that is started again elsewhere, or given up, because its VM is
// silent or drops out of the discovery service for less than its lease.
func TestSilentVMKeepsItsRuns(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	h.addVM("b", 8000)
	a.vm.Capacity.MilliCPU = 8000
	lasting, short := longRunningJob(1, 0, 0), shortJob(2)
	h.submit(lasting)
	h.submit(short)
	h.settle()
	starts := h.starts
	places := map[string]string{}
	for _, name := range []string{lasting.ID + ".0.0.0", short.ID + ".0.0.0", short.ID + ".0.0.1"} {
		places[name] = h.vmOf(name)
		if places[name] == "" {
			t.Fatalf("%s does not run", name)
		}
	}
	for _, worker := range h.sortedWorkers() {
		worker.down = true
	}
	for step := range 8 { // 4 s of silence; leases last 5 s
		h.advance(500 * time.Millisecond)
		if step == 5 {
			h.scheduler.ForgetVM("a") // three heartbeats are missing
			h.scheduler.ForgetVM("b")
		}
		h.renewAll()
		h.cycle()
	}
	for _, worker := range h.sortedWorkers() {
		worker.down = false
	}
	h.settle()
	h.advance(500 * time.Millisecond)
	for _, worker := range h.sortedWorkers() {
		h.scheduler.ObserveVM(worker.vm)
	}
	h.settle()
	for range 12 {
		h.advance(500 * time.Millisecond)
		h.settle()
	}
	if h.starts != starts {
		t.Errorf("%d starts, want the %d before the silence: %v", h.starts, starts, h.log)
	}
	for name, vm := range places {
		if h.vmOf(name) != vm {
			t.Errorf("%s runs on %q, want %q as before the silence", name, h.vmOf(name), vm)
		}
	}
}

// Guards against a VM that has left and is in use again after a restart of its pool's
// owner: the stored progress still names it.
func TestTakeoverStartsNothingOnAVMThatHasLeft(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	first := shortJob(1)
	h.submit(first)
	h.settle()
	left := h.workers["a"]
	delete(h.workers, "a") // leaves while no owner lives
	h.takeover()
	h.workers["a"] = left // still answers, as a VM that is shutting down does
	h.submit(shortJob(4))
	for range 6 {
		h.advance(500 * time.Millisecond)
		h.settle()
	}
	if h.starts != 1 {
		t.Fatalf("%d starts, want only the one before the takeover: %v", h.starts, h.log)
	}
	h.addVM("b", 8000)
	h.settle()
	if h.starts != 5 {
		t.Fatalf("%d starts after another VM has come, want 5", h.starts)
	}
}

// Guards against work that is run again although it was done while its owner was
// suspended (soak, seed 200: ten tasks of jobs that must run once). The silence was the
// owner's own, so it asks the VMs before it gives their runs up.
func TestWorkDoneWhileItsOwnerWasSuspendedIsNotRunAgain(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	h.addVM("b", 8000)
	spec := shortJob(3)
	h.submit(spec)
	h.settle()
	starts := h.starts
	for _, worker := range h.sortedWorkers() {
		for _, name := range sortedNames(worker.running) {
			h.end(worker, name, pool.EndDone)
		}
	}
	if len(a.ends) == 0 {
		t.Fatal("no task ran on a")
	}
	h.now = h.now.Add(8 * time.Second) // longer than the leases
	h.scheduler.Advance(h.now)
	h.cycle()
	h.advance(100 * time.Millisecond)
	h.renewAll()
	h.settle()
	if h.starts != starts {
		t.Errorf("%d starts, want the %d before the suspension: %v", h.starts, starts, h.log)
	}
	if got := h.state(spec.ID); got != job.Succeeded {
		t.Errorf("job is %v, want succeeded", got)
	}
}

// Guards against an owner that waits for ever for the listing of a VM that was lost
// while the owner was suspended.
func TestRunsOnALostVMAreGivenUpAfterASuspension(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	a.down = true
	h.addVM("b", 8000)
	h.now = h.now.Add(8 * time.Second)
	h.advance(0)
	for range 6 {
		h.advance(250 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	if vm := h.vmOf(spec.ID + ".0.0.0"); vm != "b" {
		t.Errorf("the task runs on %q 1.5 s after the suspension, want b", vm)
	}
}

// Guards against work that is run again because the end of a run was listed after the
// run was given up: its VM had not answered for longer than the lease.
func TestEndListedAfterItsRunWasGivenUpCounts(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	h.end(a, spec.ID+".0.0.0", pool.EndDone)
	a.down = true
	for range 14 {
		h.advance(500 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	a.down = false
	h.settle()
	if h.starts != 1 {
		t.Errorf("%d starts, want 1: %v", h.starts, h.log)
	}
	if got := h.state(spec.ID); got != job.Succeeded {
		t.Errorf("job is %v, want succeeded", got)
	}
}

// Guards against work that is run again although it was done (TWICE): its run was given up on a
// silent VM, and the next run was placed, which raised the number of the run, but never sent.
func TestEndOfARunBeforeOneThatWasNotSentCounts(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	h.end(a, spec.ID+".0.0.0", pool.EndDone)
	a.down = true
	for range 14 {
		h.advance(500 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	h.addVM("b", 8000)
	h.renew("b")
	starts := h.commit()
	if len(starts) != 1 || starts[0].VM != "b" {
		t.Fatalf("starts %v, want one on b", starts)
	}
	h.scheduler.NotSent(starts[0])
	a.down = false
	h.renew("a")
	h.settle()
	if got := h.state(spec.ID); got != job.Succeeded || h.starts != 1 {
		t.Errorf("job is %v after %d starts, want succeeded after 1", got, h.starts)
	}
}

// Guards against work that is run again although it was done (TWICE): its VM was silent for so
// long that the run was given up and the VM left discovery, and the end was listed when it came
// back under its id.
func TestEndListedByAVMThatHadLeftCounts(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	h.end(a, spec.ID+".0.0.0", pool.EndDone)
	a.down = true
	for range 14 {
		h.advance(500 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	h.scheduler.ForgetVM("a")
	h.advance(500 * time.Millisecond)
	h.cycle()
	a.down = false
	h.scheduler.ObserveVM(a.vm)
	h.settle()
	if h.starts != 1 {
		t.Errorf("%d starts, want 1: %v", h.starts, h.log)
	}
	if got := h.state(spec.ID); got != job.Succeeded {
		t.Errorf("job is %v, want succeeded", got)
	}
}

// Guards against work that is run again although it was done, after a change of the
// owner: the earlier owner had given the run up on a silent VM, and the next one did not
// know where, so that it acknowledged the run's end without using it.
func TestEndOfAGivenUpRunCountsForTheNextOwner(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	task := pool.TaskName(spec.ID, 0, 0, 0)
	if h.vmOf(task) != "a" {
		t.Fatal("the task did not start on a")
	}
	h.end(a, task, pool.EndDone)
	a.down = true
	for range 60 {
		h.advance(100 * time.Millisecond)
		h.renewAll()
		h.cycle()
	}
	a.down = false
	h.takeover()
	h.settle()
	h.advance(time.Second)
	h.settle()
	if h.state(spec.ID) != job.Succeeded || h.startsByTask[task] != 1 {
		t.Errorf("job is %v after %d starts, want succeeded after 1", h.state(spec.ID), h.startsByTask[task])
	}
}

// Guards against a lease that outlasts its stored bound (TWICE): a VM that has been silent
// answers again while the transaction with its bound is under way.
func TestNothingIsGrantedWhileALeaseBoundIsUnderWay(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	h.submit(longRunningJob(1, 0, 0))
	h.settle()
	a.down = true
	h.advance(200 * time.Millisecond)
	h.renew("a")
	batch := h.nextBatch()
	a.down = false
	granted := a.client.grantedUntil
	for range 3 {
		h.advance(200 * time.Millisecond)
		h.renew("a")
	}
	if a.client.grantedUntil > granted {
		t.Errorf("leases %v longer than before are granted while the bound is under way", a.client.grantedUntil-granted)
	}
	h.write(batch) // checks the bound
	h.confirm(batch)
	h.cycle()
	h.renew("a")
	if a.client.grantedUntil <= granted {
		t.Error("no lease is granted after the bound has been deleted")
	}
}

// Guards against a run that starts a second time (TWICE): an earlier owner, which is cut
// off from the table service, still renews the leases of a VM that this owner does not
// reach. The bound that this owner stores must cover those leases, since the next owner
// takes it for the truth.
func TestStoredLeaseBoundCoversEarlierOwners(t *testing.T) {
	h := newHarness(t)
	worker := h.addVM("vm1", 4000)
	h.addVM("vm2", 4000)
	h.settle()
	h.submit(longRunningJob(1, 1, 0))
	h.settle()
	task := h.specs[0].ID + ".0.0.0"
	if on := h.vmOf(task); on != worker.vm.ID {
		worker = h.workers[on]
	}
	h.takeover() // inherits leases of up to 11 s
	inherited := h.now.Steady + 11*time.Second
	worker.down = true
	worker.leaseUntil = inherited - time.Second // renewed by the owner of before
	h.renew(worker.vm.ID)
	h.cycle()
	bounds, err := pool.DecodeLeases(h.rows[tables.LeaseKey(testPool)])
	if err != nil {
		t.Fatal(err)
	}
	if got := bounds[worker.vm.ID]; got < inherited {
		t.Errorf("the stored bound is %v before the end of the inherited leases", inherited-got)
	}
	h.takeover()
	for h.now.Steady < worker.leaseUntil {
		for _, w := range h.sortedWorkers() {
			h.renew(w.vm.ID)
		}
		h.cycle()
		if h.startsByTask[task] > 1 {
			t.Fatalf("the task has started again %v before its lease ends", worker.leaseUntil-h.now.Steady)
		}
		h.advance(200 * time.Millisecond)
	}
}

// Guards against a later owner that relies on a lease bound which is too early (TWICE): the bound
// of a silent VM rises after it was stored, when an answer shows that the VM has restarted.
func TestStoredLeaseBoundRisesWithTheLeases(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	h.submit(shortJob(1))
	h.settle()
	a.down = true
	h.renewAll()
	h.cycle()
	stored := func() time.Duration {
		bounds, err := pool.DecodeLeases(h.rows[tables.LeaseKey(testPool)])
		if err != nil {
			t.Fatal(err)
		}
		return bounds["a"]
	}
	first := stored()
	if first == 0 {
		t.Fatal("no bound is stored for a")
	}
	a.client.grantedUntil += 5 * time.Second
	h.cycle()
	if raised := stored() - first; raised < 5*time.Second {
		t.Errorf("the stored bound has risen by %v, want 5s as the leases", raised)
	}
}

// Guards against a job that is taken for done although it has not run: an end as done of an earlier
// job with the same id is listed by a VM that was silent for longer than the state of jobs is kept.
func TestEndOfAnEarlierJobWithTheSameIDDoesNotCount(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	task := spec.ID + ".0.0.0"
	run := func(d time.Duration) {
		for end := h.now.Steady + d; h.now.Steady < end; {
			h.settle()
			h.advance(200 * time.Millisecond)
		}
	}
	h.end(a, task, pool.EndDone)
	a.down = true
	b := h.addVM("b", 8000)
	run(20 * time.Second)
	if h.vmOf(task) != "b" {
		t.Fatal("the task does not run on b")
	}
	h.end(b, task, pool.EndDone)
	run(200 * time.Second)
	for _, old := range h.scheduler.ExpiredJobs(10) {
		h.scheduler.RequestsDeleted(old.ID)
	}
	h.specs = nil
	run(2 * time.Second)
	again := shortJob(1)
	again.ID = spec.ID
	h.doneTasks, h.startsByTask, b.highestEndedRun = map[string]bool{}, map[string]int{}, map[string]int{}
	h.submit(again)
	run(time.Second)
	b.down = true
	run(12 * time.Second)
	a.down = false
	run(time.Second)
	if got := h.state(spec.ID); got == job.Succeeded {
		t.Errorf("the second job is %v, and no run of it has ended", got)
	}
}

// Guards against a task that waits anew at each change of the owner (LOST): its VM is lost and has
// left discovery, so that no owner asks it. The first one that inherits the run stores the bound.
func TestRunOnAVMOutsideDiscoveryIsNotWaitedForAnew(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	task := spec.ID + ".0.0.0"
	if h.vmOf(task) != "a" {
		t.Fatal("the task does not run on a")
	}
	delete(h.workers, "a")
	h.addVM("b", 8000)
	const inherited = 11 * time.Second // as in takeover
	for elapsed := time.Duration(0); elapsed < inherited+500*time.Millisecond; elapsed += 100 * time.Millisecond {
		if elapsed%(4*time.Second) == 0 {
			h.takeover()
		}
		h.renewAll()
		h.cycle()
		h.advance(100 * time.Millisecond)
	}
	if h.vmOf(task) != "b" {
		t.Errorf("the task does not run %v after the first takeover", inherited+500*time.Millisecond)
	}
}

// Guards against a run whose time of placement is lost, so that later owners wait longer for it
// (LOST): it was placed before the process of the next owner began.
func TestPlacementBeforeTheStartOfTheOwnerIsKept(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(2)
	h.submit(spec)
	h.settle()
	stored := func() []job.TaskPlacement { return h.storedProgress()[spec.ID].Placements }
	if len(stored()) != 2 {
		t.Fatalf("placements %v, want two", stored())
	}
	first := stored()[1]
	h.serviceClockOffset = time.Hour
	h.takeover()
	h.settle()
	h.end(a, spec.ID+".0.0.0", pool.EndDone)
	h.settle()
	if got := stored(); len(got) != 1 || got[0].Task != 1 || got[0].AtMS < first.AtMS || got[0].AtMS > first.AtMS+1 {
		t.Errorf("placements %v after the takeover, want %v", got, first)
	}
}
