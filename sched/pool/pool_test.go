package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/tables"
)

// Guards against a step that starts before all tasks of the steps it depends on
// are done, and against a job that never becomes succeeded.
func TestStepsRunInOrder(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	spec := shortJob(2)
	spec.Steps = append(spec.Steps, job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 1000}, Estimate: time.Second, After: []int{0}})
	h.submit(spec)
	h.settle()
	if h.vmOf(spec.ID+".0.1.0") != "" {
		t.Fatal("the second step started with the first")
	}
	h.end(h.workers["a"], spec.ID+".0.0.0", pool.EndDone)
	h.settle()
	if h.vmOf(spec.ID+".0.1.0") != "" {
		t.Fatal("the second step started before all tasks of the first were done")
	}
	h.end(h.workers["a"], spec.ID+".0.0.1", pool.EndDone)
	h.settle()
	if h.vmOf(spec.ID+".0.1.0") == "" {
		t.Fatal("the second step did not start")
	}
	if got := h.state(spec.ID); got != job.Running {
		t.Fatalf("state %v, want running", got)
	}
	h.end(h.workers["a"], spec.ID+".0.1.0", pool.EndDone)
	h.settle()
	if got := h.state(spec.ID); got != job.Succeeded {
		t.Fatalf("state %v, want succeeded", got)
	}
}

// Guards against a start that is sent before its record is durable: an owner
// that takes over in between would start the task a second time.
func TestStartFollowsItsRecord(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	h.submit(shortJob(1))
	h.renewAll()
	batch := h.scheduler.Cycle()
	for _, c := range h.scheduler.Commands() {
		if c.Kind == pool.Start {
			t.Fatal("a start was released before its record was written")
		}
	}
	if len(batch.Puts) == 0 {
		t.Fatal("the batch has no record of the start")
	}
	if starts := h.scheduler.Committed(batch); len(starts) != 1 {
		t.Fatalf("%d starts after the record, want 1", len(starts))
	}
}

// Guards against acknowledging an end before it is durable: the worker forgets
// it, and a later owner starts the task again.
func TestEndIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	h.end(a, spec.ID+".0.0.0", pool.EndDone)
	h.renew("a")
	if h.scheduler.RenewalTargets()[0].AcknowledgedEnds != 0 {
		t.Fatal("the end is acknowledged before it is durable")
	}
	h.cycle()
	if h.scheduler.RenewalTargets()[0].AcknowledgedEnds != 1 {
		t.Fatal("the end is not acknowledged after it became durable")
	}
	h.takeover()
	h.settle()
	if h.startsByTask[spec.ID+".0.0.0"] != 1 {
		t.Fatal("a done task started again after a takeover")
	}
}

// Guards against starts on a VM without a lease that are given up as expired and
// placed a second time, as in scenario quiet-1 of lantern-sched.
func TestStartOnVMWithoutLeaseIsKept(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	h.addVM("b", 8000)
	h.submit(shortJob(4))
	for _, id := range []string{"a", "b"} {
		// The first answer comes before any lease was granted.
		h.scheduler.HandleListing(pool.Listing{VM: id, StartedMS: 1, SentAt: h.now.Steady, At: h.now.Steady, Complete: true})
	}
	starts := h.commit()
	h.advance(10 * time.Millisecond)
	again := h.commit()
	if len(starts) != 4 || len(again) != 0 {
		t.Fatalf("%d starts, then %d more while they are under way; want 4 and 0", len(starts), len(again))
	}
}

// Guards against a task that runs twice: an unconfirmed start may still begin, so
// the task starts elsewhere only once it can no longer be carried out late, and the run must be
// stopped before. Meanwhile the same run may start on the same VM.
func TestUnconfirmedStartIsStoppedFirst(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.renewAll()
	starts := h.commit()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	h.scheduler.Started(starts[0], pool.StartUnconfirmed, h.now.Steady)
	h.addVM("b", 8000)
	calls := 1
	for lastCall := h.now.Steady; h.now.Steady < lastCall+orderDelay; h.advance(10 * time.Millisecond) {
		h.renewAll()
		for _, c := range h.commit() {
			if c.VM != "a" || c.Run != 1 {
				t.Fatal("the task started elsewhere while its unconfirmed start could be carried out")
			}
			h.scheduler.Started(c, pool.StartUnconfirmed, h.now.Steady)
			lastCall = h.now.Steady + orderTimeout // at the latest
			calls++
		}
	}
	if calls > 3 {
		t.Fatalf("%d calls to a VM that answers none of them, want 3 at most", calls)
	}
	h.advance(10 * time.Millisecond)
	h.renewAll()
	stops := h.scheduler.Commands()
	if len(stops) != 1 || stops[0].Kind != pool.Stop || stops[0].Run != 1 {
		t.Fatalf("commands %v, want a stop of run 1", stops)
	}
	if more := h.commit(); len(more) != 0 {
		t.Fatal("the task started elsewhere before its unconfirmed run was stopped")
	}
	h.stop(a, stops[0])
	h.scheduler.Stopped(stops[0], true, h.now.Steady)
	h.advance(10 * time.Millisecond)
	h.renewAll()
	// The delayed start is refused, since the run was stopped.
	if got := h.start(a, starts[0], h.now.Steady+testLease); got != pool.StartStaleRun {
		t.Fatalf("delayed start: %v, want old", got)
	}
	h.advance(2 * time.Second)
	h.settle()
	if h.vmOf(spec.ID+".0.0.0") == "" {
		t.Fatal("the task did not start again")
	}
}

// Guards against a second start of a task whose unconfirmed start took effect: the
// run continues once the VM lists it.
func TestUnconfirmedStartThatRunsIsAdopted(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(1)
	h.submit(spec)
	h.renewAll()
	c := h.commit()[0]
	h.start(a, c, h.now.Steady+testLease)
	h.scheduler.Started(c, pool.StartUnconfirmed, h.now.Steady)
	h.advance(10 * time.Millisecond)
	h.settle()
	if h.starts != 1 || h.state(spec.ID) != job.Running {
		t.Fatalf("%d starts, state %v; want 1 and running", h.starts, h.state(spec.ID))
	}
}

// Guards against runs on a lost VM that are never given up, reported as LOST in
// scenario scale-1 of both of the users' sites. Renewals without an answer must not
// extend the lease.
func TestRunsOnLostVMRestartAfterItsLease(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := longRunningJob(1, 0, 0)
	h.submit(spec)
	h.settle()
	if h.vmOf(spec.ID+".0.0.0") != "a" {
		t.Fatal("the task did not start on a")
	}
	a.down = true
	h.addVM("b", 8000)
	for range 30 {
		h.advance(200 * time.Millisecond)
		h.settle()
		if h.vmOf(spec.ID+".0.0.0") == "b" && h.now.Steady < a.leaseUntil {
			t.Fatal("started elsewhere before the lease had expired")
		}
	}
	if _, ok := h.workers["b"].running[spec.ID+".0.0.0"]; !ok {
		t.Fatal("not started elsewhere 6 s after its VM was lost")
	}
}

// Guards against owners that each wait for a full lease again: after several
// takeovers of the pool of a lost rack, its tasks were reported as LOST (scenario
// trouble-2 of lantern-sched, seed 58650201457).
func TestLeaseBoundsSurviveTakeovers(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := longRunningJob(1, 0, 0)
	h.submit(spec)
	h.settle()
	a.down = true
	h.addVM("b", 8000)
	for range 4 {
		h.advance(1500 * time.Millisecond)
		h.settle()
		h.takeover()
	}
	h.advance(time.Second)
	h.settle()
	h.settle()
	if _, ok := h.workers["b"].running[spec.ID+".0.0.0"]; !ok {
		t.Fatal("not started elsewhere 7 s after its VM was lost, over four owners")
	}
}

// Guards against a task that runs twice, reported as TWICE: the runs on a VM that
// missed a renewal and answers again must not be given up because of a lease bound
// that is still recorded.
func TestStaleLeaseBoundIsNotTrusted(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := longRunningJob(1, 0, 0)
	h.submit(spec)
	h.settle()
	a.down = true
	h.advance(100 * time.Millisecond)
	h.renew("a")
	h.cycle()
	if h.scheduler.RenewalTargets()[0].ExtendLeases {
		t.Fatal("leases may be extended while a bound is recorded")
	}
	a.down = false
	h.scheduler.HandleListing(pool.Listing{VM: "a", StartedMS: 1, SentAt: h.now.Steady, At: h.now.Steady, Complete: true,
		Running: []pool.RunState{a.running[spec.ID+".0.0.0"]}})
	if h.scheduler.RenewalTargets()[0].ExtendLeases {
		t.Fatal("leases may be extended before the bound's record is deleted")
	}
	h.cycle()
	if !h.scheduler.RenewalTargets()[0].ExtendLeases {
		t.Fatal("leases may not be extended after the bound's record is deleted")
	}
}

// Guards against a task that runs twice (TestAnyMixOfEvents with seed 9487837): a
// start grants a lease beyond the bound that is recorded for its VM, and a later
// owner that trusts the bound starts the task again.
func TestNoStartWhileALeaseBoundIsRecorded(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	h.submit(shortJob(1))
	h.settle()
	a.down = true
	h.renew("a")
	h.cycle() // records the bound
	a.down = false
	h.advance(1500 * time.Millisecond) // past the pause after a renewal without an answer
	spec := shortJob(1)
	h.submit(spec)
	h.cycle()
	if h.startsByTask[spec.ID+".0.0.0"] != 0 {
		t.Fatal("a run started under a lease that outlasts the recorded bound")
	}
	h.renew("a")
	h.cycle() // deletes the bound
	h.cycle()
	if h.startsByTask[spec.ID+".0.0.0"] != 1 {
		t.Fatal("no start after the VM has answered and the bound's record is deleted")
	}
}

// Guards against the same for a start whose VM misses a renewal while the start's
// record is written: the bound counts from the missed renewal.
func TestStartIsWithheldFromAVMThatMissedARenewal(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	h.submit(shortJob(1))
	h.renewAll()
	batch := h.scheduler.Cycle()
	h.scheduler.RenewalUnanswered("a")
	if starts := h.scheduler.Committed(batch); len(starts) != 0 {
		t.Fatalf("%d starts on a VM that has just missed a renewal", len(starts))
	}
}

// Guards against confusing the incarnations of a worker that restarts under its id:
// the earlier runs have ended, and the sequence numbers of ends restart.
func TestWorkerRestartsUnderItsID(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(2)
	h.submit(spec)
	h.settle()
	h.end(a, spec.ID+".0.0.0", pool.EndDone)
	h.settle()
	a.vm.StartedMS, a.lastSequence, a.ends, a.restarted = 2, 0, nil, true
	a.running, a.highestEndedRun = map[string]pool.RunState{}, map[string]int{}
	h.advance(100 * time.Millisecond)
	h.settle()
	if h.vmOf(spec.ID+".0.0.1") != "a" {
		t.Fatal("the lost task did not start again")
	}
	h.end(a, spec.ID+".0.0.1", pool.EndDone)
	h.settle()
	if h.state(spec.ID) != job.Succeeded {
		t.Fatal("an end with a low sequence number of the new incarnation was ignored")
	}
}

// Guards against work that is run again after it was done: the record of an end became
// durable just after its worker had restarted under its id, and its sequence number was
// acknowledged to the new incarnation, which then forgot ends that nobody had seen.
func TestEndsOfAnEarlierIncarnationAreNotAcknowledgedToTheNext(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := shortJob(2)
	h.submit(spec)
	h.settle()
	h.end(a, spec.ID+".0.0.0", pool.EndDone)
	h.renew("a")
	batch := h.scheduler.Cycle() // holds the end, and is not durable yet
	a.vm.StartedMS, a.lastSequence, a.ends, a.restarted = 2, 0, nil, true
	a.running, a.highestEndedRun = map[string]pool.RunState{}, map[string]int{}
	h.renew("a")
	h.scheduler.Committed(batch)
	if got := h.scheduler.RenewalTargets()[0].AcknowledgedEnds; got != 0 {
		t.Fatalf("ends up to %d are acknowledged to an incarnation that has listed none", got)
	}
}

// Guards against one faulty VM that makes a whole job fail: tasks that failed there
// run elsewhere, and the VM gets no new work.
func TestFailingVMIsQuarantined(t *testing.T) {
	h := newHarness(t)
	bad := h.addVM("a", 4000)
	h.addVM("b", 2000)
	spec := shortJob(6)
	h.submit(spec)
	h.settle()
	for range 20 {
		for _, name := range sortedNames(bad.running) {
			h.end(bad, name, pool.EndFailed)
		}
		for _, name := range sortedNames(h.workers["b"].running) {
			h.end(h.workers["b"], name, pool.EndDone)
		}
		h.advance(50 * time.Millisecond)
		h.settle()
	}
	if got := h.state(spec.ID); got != job.Succeeded {
		t.Fatalf("state %v, want succeeded on the VM that works", got)
	}
}

// Guards against endless retries: a job whose task fails everywhere fails after
// MaxAttempts and has no more starts.
func TestJobThatFailsEverywhereFails(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		h.addVM(id, 4000)
	}
	spec := shortJob(1)
	h.submit(spec)
	for range 40 {
		h.settle()
		for _, worker := range h.sortedWorkers() {
			for _, name := range sortedNames(worker.running) {
				h.end(worker, name, pool.EndFailed)
			}
		}
		h.advance(500 * time.Millisecond)
	}
	if h.state(spec.ID) != job.Failed || h.startsByTask[spec.ID+".0.0.0"] != 3 {
		t.Fatalf("state %v after %d starts, want failed after 3", h.state(spec.ID), h.startsByTask[spec.ID+".0.0.0"])
	}
}

// Guards against a task that does not get its remaining attempts because it has
// failed on every VM of a small pool. It was reported as LOST (scenario trouble-2 of
// lantern-sched, seed 471934269064).
func TestTaskThatFailedOnEveryVMIsTriedAgain(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 4000)
	spec := shortJob(1)
	h.submit(spec)
	h.settle()
	h.end(h.workers["a"], spec.ID+".0.0.0", pool.EndFailed)
	for range 5 {
		h.advance(500 * time.Millisecond)
		h.settle()
	}
	if h.vmOf(spec.ID+".0.0.0") != "a" {
		t.Fatal("the task was not tried again on the only VM")
	}
}

// Guards against a pool in which all VMs are quarantined because the tasks of one
// job fail everywhere.
func TestFailingJobDoesNotQuarantineItsVMs(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 4000)
	h.addVM("b", 4000)
	bad := shortJob(6)
	h.submit(bad)
	for range 20 {
		h.settle()
		for _, worker := range h.sortedWorkers() {
			for _, name := range sortedNames(worker.running) {
				h.end(worker, name, pool.EndFailed)
			}
		}
		h.advance(300 * time.Millisecond)
	}
	good := shortJob(8)
	h.submit(good)
	h.settle()
	if len(h.workers["a"].running) != 4 || len(h.workers["b"].running) != 4 {
		t.Fatalf("%d and %d tasks run, want 4 on each VM", len(h.workers["a"].running), len(h.workers["b"].running))
	}
}

// Guards against runs of a cancelled job that continue.
func TestCancelStopsRuns(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	spec := shortJob(3)
	h.submit(spec)
	h.settle()
	h.scheduler.Cancel(spec.ID)
	h.cycle()
	if len(h.workers["a"].running) != 0 {
		t.Fatal("runs of a cancelled job continue")
	}
	if h.state(spec.ID) != job.Cancelled {
		t.Fatal("the job is not recorded as cancelled")
	}
	starts := h.starts
	h.advance(time.Second)
	h.settle()
	if h.starts != starts {
		t.Fatal("a task of a cancelled job started")
	}
}

// Guards against maintenance that exceeds an availability budget or leaves a task
// without a VM (LOST in scenario trouble-2 of lantern-sched): a long-running task
// may leave its VM only if enough others are available and another VM can take it.
func TestCordonKeepsAvailability(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 8000)
	spec := longRunningJob(3, 0, 1)
	h.submit(spec)
	h.settle()
	if len(a.running) != 3 {
		t.Fatalf("%d tasks on a, want 3", len(a.running))
	}
	h.advancePastTakeover()
	h.scheduler.SetCordons(map[string]pool.Cordon{"m-a": {VM: "a", Version: 7}})
	h.settle()
	if len(a.running) != 3 {
		t.Fatal("a task was stopped although no other VM can take it")
	}
	if h.scheduler.LoadReport().MinVMs < 1 {
		t.Fatal("the load report does not ask for another VM")
	}
	h.addVM("b", 8000)
	for range 10 {
		h.renewAll()
		stops := 0
		for _, c := range h.commit() {
			h.execute(c)
		}
		for _, c := range h.scheduler.Commands() {
			if c.Kind == pool.Stop {
				stops++
			}
			h.execute(c)
		}
		if stops > 1 {
			t.Fatalf("%d of 3 tasks stopped at once, at most 1 may be unavailable", stops)
		}
		h.advance(100 * time.Millisecond)
	}
	if len(h.workers["b"].running) != 3 {
		t.Fatalf("%d tasks on b, want 3", len(h.workers["b"].running))
	}
	load, err := pool.DecodeLoadReport(h.rows[tables.LoadKey(testPool, 0)])
	if err != nil {
		t.Fatal(err)
	}
	if !load.VMs[0].Empty(7) {
		t.Fatalf("the VM is not reported as empty: %+v", load.VMs[0])
	}
}

// Guards against a new owner that exceeds an availability budget because stops of
// the earlier owner may still take effect (AVAIL in scenario scale-1 of
// lantern-sched).
func TestNoStopsRightAfterTakeover(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	h.addVM("b", 8000)
	spec := longRunningJob(3, 0, 1)
	h.submit(spec)
	h.settle()
	on := h.vmOf(spec.ID + ".0.0.0")
	h.advancePastTakeover()
	h.takeover()
	h.scheduler.SetCordons(map[string]pool.Cordon{"m-" + on: {VM: on, Version: 7}})
	h.settle()
	if len(h.workers[on].running) != 3 {
		t.Fatal("a task was stopped right after a takeover")
	}
	h.advancePastTakeover()
	for range 5 {
		h.settle()
		h.advance(100 * time.Millisecond)
	}
	if len(h.workers[on].running) != 0 {
		t.Fatal("the VM is not drained 3.5 s after the takeover")
	}
}

// Guards against a stop that is sent without a check of the availability budget
// because an earlier stop of the same run was lost (AVAIL in scenario hunt-a947-15
// of lantern-sched).
func TestStopAfterLostStopKeepsTheBudget(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	h.addVM("b", 8000)
	spec := longRunningJob(3, 0, 1)
	h.submit(spec)
	h.settle()
	on := h.vmOf(spec.ID + ".0.0.0")
	h.advancePastTakeover()
	cordon := map[string]pool.Cordon{"m-" + on: {VM: on, Version: 7}}
	h.scheduler.SetCordons(cordon)
	h.commit()
	if stops := h.scheduler.Commands(); len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	h.scheduler.SetCordons(nil) // the stop is lost, and the cordon ends
	h.advancePastTakeover()
	lost := h.vmOf(spec.ID + ".0.0.0")
	h.end(h.workers[lost], spec.ID+".0.0.2", pool.EndFailed)
	h.renewAll()
	h.scheduler.SetCordons(cordon)
	h.commit()
	for _, c := range h.scheduler.Commands() {
		if c.Kind == pool.Stop {
			t.Fatalf("%s is stopped while another task of its step is unavailable", c.Task)
		}
	}
}

// Guards against a stop beside an earlier one that got no answer and that its VM
// carries out seconds later, when the availability budget covers one of the two only
// (AVAIL on workers.toml of lantern-sched, seed 689456126998). The earlier stop may be
// repeated, which settles it.
func TestUnansweredStopCountsUntilItCannotTakeEffect(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c"} {
		h.addVM(id, 8000)
	}
	spec := longRunningJob(3, 1, 1)
	h.submit(spec)
	h.settle()
	h.advancePastTakeover()
	first, second := h.vmOf(spec.ID+".0.0.0"), h.vmOf(spec.ID+".0.0.1")
	h.addVM("d", 8000)
	h.settle()
	h.scheduler.SetCordons(map[string]pool.Cordon{"m-" + first: {VM: first, Version: 7}})
	stops := h.stopsOfNextCycle()
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	h.scheduler.Stopped(stops[0], false, h.now.Steady)
	h.scheduler.SetCordons(map[string]pool.Cordon{"m-" + second: {VM: second, Version: 8}})
	for range 14 {
		h.advance(500 * time.Millisecond)
		h.renewAll()
		if stops := h.stopsOfNextCycle(); len(stops) != 0 {
			t.Fatalf("%s is stopped while the stop of %s.0.0.0 may still take effect", stops[0].Task, spec.ID)
		}
	}
	h.scheduler.SetCordons(map[string]pool.Cordon{"m-" + first: {VM: first, Version: 9}})
	stops = h.stopsOfNextCycle()
	if len(stops) != 1 || stops[0].Task != spec.ID+".0.0.0" {
		t.Fatalf("stops %v, want one of %s.0.0.0 again", stops, spec.ID)
	}
	h.execute(stops[0])
	h.renewAll()
	h.settle()
	h.scheduler.SetCordons(map[string]pool.Cordon{"m-" + second: {VM: second, Version: 10}})
	if stops := h.stopsOfNextCycle(); len(stops) != 1 || stops[0].Task != spec.ID+".0.0.1" {
		t.Fatalf("stops %v, want one of %s.0.0.1 after the first is settled", stops, spec.ID)
	}
}

// Guards against starts in an evacuated data centre, on draining VMs and beyond
// MaxPerVM.
func TestExcludedVMsGetNoTasks(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	b := h.addVM("b", 8000)
	b.vm.DataCentre = "dc-b"
	h.scheduler.ObserveVM(b.vm)
	c := h.addVM("c", 8000)
	c.vm.Draining = true
	h.scheduler.ObserveVM(c.vm)
	h.scheduler.SetEvacuated(map[string]bool{"dc-b": true})
	spec := longRunningJob(5, 2, 0)
	h.submit(spec)
	h.settle()
	if len(h.workers["a"].running) != 2 || len(b.running) != 0 || len(c.running) != 0 {
		t.Fatalf("%d, %d, %d tasks; want 2 on a and none elsewhere", len(h.workers["a"].running), len(b.running), len(c.running))
	}
	h.scheduler.SetEvacuated(nil)
	h.settle()
	if len(b.running) != 2 {
		t.Fatal("no tasks in a data centre that is no longer evacuated")
	}
}

// Guards against a gang of which only some members start for lack of room.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 2000)
	spec := &job.Spec{Queue: "short", Steps: []job.Step{{Count: 3, Need: fleet.Resources{MilliCPU: 1000}, Estimate: time.Second, Gang: true}}}
	h.submit(spec)
	h.settle()
	if h.starts != 0 {
		t.Fatalf("%d members started without room for all", h.starts)
	}
	h.addVM("b", 2000)
	h.settle()
	if h.starts != 3 {
		t.Fatalf("%d members started, want 3", h.starts)
	}
	h.end(h.workers["a"], sortedNames(h.workers["a"].running)[0], pool.EndDone)
	h.settle()
	if h.state(spec.ID) != job.Succeeded {
		t.Fatal("the gang is not done after a member ended as done")
	}
}

// Guards against occurrences that start before they are due, and against a job
// that succeeds before all its occurrences are complete.
func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newHarness(t)
	h.addVM("a", 8000)
	spec := shortJob(1)
	spec.Repetitions, spec.FirstRunMS, spec.Interval = 2, h.now.Wall+1000, 2*time.Second
	h.submit(spec)
	h.settle()
	if h.starts != 0 {
		t.Fatal("the first occurrence started before it was due")
	}
	h.advance(1001 * time.Millisecond)
	h.settle()
	if h.starts != 1 {
		t.Fatalf("%d starts when the first occurrence is due, want 1", h.starts)
	}
	h.advance(2 * time.Second)
	h.settle()
	if h.starts != 2 {
		t.Fatalf("%d starts when the second occurrence is due, want 2", h.starts)
	}
	h.end(h.workers["a"], spec.ID+".1.0.0", pool.EndDone)
	h.settle()
	if h.state(spec.ID) == job.Succeeded {
		t.Fatal("the job is recorded as succeeded while its first occurrence runs")
	}
	h.end(h.workers["a"], spec.ID+".0.0.0", pool.EndDone)
	h.settle()
	if h.state(spec.ID) != job.Succeeded {
		t.Fatal("the job is not recorded as succeeded after its last occurrence")
	}
}

// Guards against a workspace that runs more tasks in a pool than the pool's share
// of its cap allows.
func TestCapShareLimitsRuns(t *testing.T) {
	h := newHarness(t)
	h.catalog = catalogWithCap(h, 10_000)
	h.scheduler.Configure(h.catalog)
	h.addVM("a", 16000)
	spec := shortJob(8)
	spec.Workspace = "ws"
	h.submit(spec)
	h.scheduler.SetCapShare("ws", fleet.Resources{MilliCPU: 3000, MemoryMB: 10_000}, false)
	h.settle()
	if h.starts != 3 {
		t.Fatalf("%d starts, want 3: the cap share has room for 3", h.starts)
	}
	h.scheduler.SetCapShare("ws", fleet.Resources{MilliCPU: 9000, MemoryMB: 10_000}, true)
	h.settle()
	if h.starts != 3 {
		t.Fatal("started although all pools together exceed the cap")
	}
	if got := h.scheduler.CapWork("ws").Need.MilliCPU; got != 8000 {
		t.Fatalf("demand is %d milli-CPU, want 8000", got)
	}
}

// Guards against a lost stop that is repeated without a new check of the
// availability budget: another task of the step may have become unavailable since
// the first stop (AVAIL on lantern-sched).
func TestRepeatedStopKeepsTheBudget(t *testing.T) {
	h := newHarness(t)
	a, b := h.addVM("a", 4000), h.addVM("b", 4000)
	spec := longRunningJob(2, 1, 1)
	h.submit(spec)
	h.settle()
	h.advancePastTakeover()
	h.addVM("c", 4000)
	h.settle()
	h.scheduler.SetCordons(map[string]pool.Cordon{"m-a": {VM: "a", Version: 1}})
	stops := func() int {
		n := 0
		h.scheduler.Cycle()
		for _, c := range h.scheduler.Commands() {
			if c.Kind == pool.Stop {
				n++ // the stop is not executed
			}
		}
		return n
	}
	if stops() != 1 {
		t.Fatal("the task on the cordoned VM is not stopped")
	}
	b.down = true
	wait := func() {
		for range 2 {
			h.advance(700 * time.Millisecond)
			h.renewAll()
		}
	}
	wait()
	stops() // the other task was last listed 1.4 s ago
	wait()
	if len(a.running) != 1 {
		t.Fatal("the task is no longer on its VM")
	}
	if n := stops(); n != 0 {
		t.Fatal("stopped again while the other task is on a VM that does not answer")
	}
}

// Guards against a VM that is filled beyond its capacity where workers do not check it: a
// run that the owner does not know, and has told to stop, still takes room there.
func TestUnknownRunsTakeRoomWhereWorkersDoNotCheckIt(t *testing.T) {
	h := newHarness(t)
	h.catalog = catalog.New(2, []*catalog.Queue{{Name: "short", Pool: testPool, Stretch: 1.6, Target: 600 * time.Millisecond}},
		[]*catalog.Pool{{Name: testPool, ChecksAdmission: false}}, nil, catalog.Limits{})
	h.scheduler.Configure(h.catalog)
	a := h.addVM("a", 4000)
	unknown := "00000000000000ff.0.0.0"
	a.running[unknown] = pool.RunState{Task: unknown, Run: 1, ProgressPercent: 50}
	a.leaseUntil = h.now.Steady + testLease
	h.renew("a")
	h.scheduler.Commands() // the stop of the unknown run is under way
	h.submit(shortJob(4))
	for range 3 {
		h.advance(300 * time.Millisecond)
		h.renew("a")
		for _, c := range h.commit() {
			if c.Kind == pool.Start {
				t.Fatalf("%s started beside a run of unknown size", c.Task)
			}
		}
		h.scheduler.Commands()
	}
	h.end(a, unknown, pool.EndStopped)
	h.settle()
	if h.starts != 4 {
		t.Errorf("%d starts after the unknown run has ended, want 4", h.starts)
	}
}
