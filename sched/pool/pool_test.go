package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/tables"
)

// Guards against a step that starts before all tasks of the steps it depends on
// are done, and against a job that never becomes succeeded.
func TestStepsRunInOrder(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 8000)
	spec := shortJob(2)
	spec.Steps = append(spec.Steps, job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 1000}, Estimate: time.Second, After: []int{0}})
	w.submit(spec)
	w.settle()
	if w.vmOf(spec.ID+".0.1.0") != "" {
		t.Fatal("the second step started with the first")
	}
	w.end(w.workers["a"], spec.ID+".0.0.0", pool.EndDone)
	w.settle()
	if w.vmOf(spec.ID+".0.1.0") != "" {
		t.Fatal("the second step started while a task of the first is left")
	}
	w.end(w.workers["a"], spec.ID+".0.0.1", pool.EndDone)
	w.settle()
	if w.vmOf(spec.ID+".0.1.0") == "" {
		t.Fatal("the second step did not start")
	}
	if got := w.state(spec.ID); got != job.Running {
		t.Fatalf("state %v, want running", got)
	}
	w.end(w.workers["a"], spec.ID+".0.1.0", pool.EndDone)
	w.settle()
	if got := w.state(spec.ID); got != job.Succeeded {
		t.Fatalf("state %v, want succeeded", got)
	}
}

// Guards against a start that is sent before its record is durable: an owner
// that takes over in between would start the task a second time.
func TestStartFollowsItsRecord(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 8000)
	w.submit(shortJob(1))
	w.renewAll()
	batch := w.p.Cycle()
	for _, c := range w.p.Commands() {
		if c.Kind == pool.Start {
			t.Fatal("a start was released before its record was written")
		}
	}
	if len(batch.Puts) == 0 {
		t.Fatal("nothing to write")
	}
	if starts := w.p.Committed(batch); len(starts) != 1 {
		t.Fatalf("%d starts after the record, want 1", len(starts))
	}
}

// Guards against acknowledging an end before it is durable: the worker forgets
// it, and a later owner starts the task again.
func TestEndIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	w := newWorld(t)
	a := w.addVM("a", 8000)
	spec := shortJob(1)
	w.submit(spec)
	w.settle()
	w.end(a, spec.ID+".0.0.0", pool.EndDone)
	w.renew("a")
	if w.p.RenewalTargets()[0].AcknowledgedEnds != 0 {
		t.Fatal("the end is acknowledged before it is durable")
	}
	w.cycle()
	if w.p.RenewalTargets()[0].AcknowledgedEnds != 1 {
		t.Fatal("the end is not acknowledged after it became durable")
	}
	w.takeOver()
	w.settle()
	if w.startsByTask[spec.ID+".0.0.0"] != 1 {
		t.Fatal("a done task started again after a takeover")
	}
}

// Guards against starts on a VM that has no lease yet being given up as expired
// and placed a second time (lantern-sched quiet-1, first score).
func TestStartOnVMWithoutLeaseIsKept(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 8000)
	w.addVM("b", 8000)
	w.submit(shortJob(4))
	for _, id := range []string{"a", "b"} {
		// The first answer comes before any lease was granted.
		w.p.HandleListing(pool.Listing{VM: id, StartedMS: 1, SentAt: w.now.Steady, At: w.now.Steady, Complete: true})
	}
	starts := w.commit()
	w.advance(10 * time.Millisecond)
	again := w.commit()
	if len(starts) != 4 || len(again) != 0 {
		t.Fatalf("%d starts, then %d more while they are under way; want 4 and 0", len(starts), len(again))
	}
}

// Guards against a task that runs twice: an unconfirmed start may still begin, so
// the run must be stopped before the task starts elsewhere.
func TestUnconfirmedStartIsStoppedFirst(t *testing.T) {
	w := newWorld(t)
	a := w.addVM("a", 8000)
	spec := shortJob(1)
	w.submit(spec)
	w.renewAll()
	starts := w.commit()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	w.p.Started(starts[0], pool.StartUnconfirmed, w.now.Steady)
	w.addVM("b", 8000)
	w.advance(10 * time.Millisecond)
	w.renewAll()
	stops := w.p.Commands()
	if len(stops) != 1 || stops[0].Kind != pool.Stop || stops[0].Run != 1 {
		t.Fatalf("commands %v, want a stop of run 1", stops)
	}
	if more := w.commit(); len(more) != 0 {
		t.Fatal("the task started elsewhere before its unconfirmed run was stopped")
	}
	w.stop(a, stops[0])
	w.p.Stopped(stops[0], true, w.now.Steady)
	w.advance(10 * time.Millisecond)
	w.renewAll()
	// The delayed start is refused, since the run was stopped.
	if got := w.start(a, starts[0]); got != pool.StartStaleRun {
		t.Fatalf("delayed start: %v, want old", got)
	}
	w.advance(2 * time.Second)
	w.settle()
	if w.vmOf(spec.ID+".0.0.0") == "" {
		t.Fatal("the task did not start again")
	}
}

// Guards against a second start of a task whose unconfirmed start did begin: the
// run goes on once the VM lists it.
func TestUnconfirmedStartThatRunsIsAdopted(t *testing.T) {
	w := newWorld(t)
	a := w.addVM("a", 8000)
	spec := shortJob(1)
	w.submit(spec)
	w.renewAll()
	c := w.commit()[0]
	w.start(a, c)
	w.p.Started(c, pool.StartUnconfirmed, w.now.Steady)
	w.advance(10 * time.Millisecond)
	w.settle()
	if w.starts != 1 || w.state(spec.ID) != job.Running {
		t.Fatalf("%d starts, state %v; want 1 and running", w.starts, w.state(spec.ID))
	}
}

// Guards against runs on a lost VM that are never given up (LOST on scale-1 of
// both sites): renewals without an answer must not extend the lease.
func TestRunsOnLostVMRestartAfterItsLease(t *testing.T) {
	w := newWorld(t)
	a := w.addVM("a", 8000)
	spec := longRunningJob(1, 0, 0)
	w.submit(spec)
	w.settle()
	if w.vmOf(spec.ID+".0.0.0") != "a" {
		t.Fatal("not started")
	}
	a.down = true
	w.addVM("b", 8000)
	for range 30 {
		w.advance(200 * time.Millisecond)
		w.settle()
		if w.vmOf(spec.ID+".0.0.0") == "b" && w.now.Steady < a.leaseUntil {
			t.Fatal("started elsewhere before the lease had expired")
		}
	}
	if _, ok := w.workers["b"].running[spec.ID+".0.0.0"]; !ok {
		t.Fatal("not started elsewhere 6 s after its VM was lost")
	}
}

// Guards against LOST on lantern-sched trouble-2 --seed 58650201457: the pool of
// a lost rack had several takeovers, and each owner waited for a full lease again.
func TestLeaseBoundsSurviveTakeovers(t *testing.T) {
	w := newWorld(t)
	a := w.addVM("a", 8000)
	spec := longRunningJob(1, 0, 0)
	w.submit(spec)
	w.settle()
	a.down = true
	w.addVM("b", 8000)
	for range 4 {
		w.advance(1500 * time.Millisecond)
		w.settle()
		w.takeOver()
	}
	w.advance(time.Second)
	w.settle()
	w.settle()
	if _, ok := w.workers["b"].running[spec.ID+".0.0.0"]; !ok {
		t.Fatal("not started elsewhere 7 s after its VM was lost, over four owners")
	}
}

// Guards against TWICE after a recovery: runs on a VM that missed a renewal and
// answers again must not be given up by a lease bound that is still recorded.
func TestStaleLeaseBoundIsNotTrusted(t *testing.T) {
	w := newWorld(t)
	a := w.addVM("a", 8000)
	spec := longRunningJob(1, 0, 0)
	w.submit(spec)
	w.settle()
	a.down = true
	w.advance(100 * time.Millisecond)
	w.renew("a")
	w.cycle()
	if w.p.RenewalTargets()[0].ExtendLeases {
		t.Fatal("leases may be extended while a bound is recorded")
	}
	a.down = false
	w.p.HandleListing(pool.Listing{VM: "a", StartedMS: 1, SentAt: w.now.Steady, At: w.now.Steady, Complete: true,
		Running: []pool.RunState{a.running[spec.ID+".0.0.0"]}})
	if w.p.RenewalTargets()[0].ExtendLeases {
		t.Fatal("leases may be extended before the bound's record is gone")
	}
	w.cycle()
	if !w.p.RenewalTargets()[0].ExtendLeases {
		t.Fatal("leases may not be extended after the bound's record is gone")
	}
}

// Guards against confusing the incarnations of a worker that restarts under its
// id: the earlier runs are gone, and the sequence numbers of ends restart.
func TestWorkerRestartsUnderItsID(t *testing.T) {
	w := newWorld(t)
	a := w.addVM("a", 8000)
	spec := shortJob(2)
	w.submit(spec)
	w.settle()
	w.end(a, spec.ID+".0.0.0", pool.EndDone)
	w.settle()
	a.vm.StartedMS, a.lastSequence, a.ends = 2, 0, nil
	a.running, a.highestEndedRun = map[string]pool.RunState{}, map[string]int{}
	w.advance(100 * time.Millisecond)
	w.settle()
	if w.vmOf(spec.ID+".0.0.1") != "a" {
		t.Fatal("the lost task did not start again")
	}
	w.end(a, spec.ID+".0.0.1", pool.EndDone)
	w.settle()
	if w.state(spec.ID) != job.Succeeded {
		t.Fatal("an end with a low sequence number of the new incarnation was ignored")
	}
}

// Guards against one bad VM that fails a whole job: tasks that failed there run
// elsewhere, and the VM gets no new work.
func TestFailingVMIsQuarantined(t *testing.T) {
	w := newWorld(t)
	bad := w.addVM("a", 4000)
	w.addVM("b", 2000)
	spec := shortJob(6)
	w.submit(spec)
	w.settle()
	for range 20 {
		for _, name := range sortedNames(bad.running) {
			w.end(bad, name, pool.EndFailed)
		}
		for _, name := range sortedNames(w.workers["b"].running) {
			w.end(w.workers["b"], name, pool.EndDone)
		}
		w.advance(50 * time.Millisecond)
		w.settle()
	}
	if got := w.state(spec.ID); got != job.Succeeded {
		t.Fatalf("state %v, want succeeded on the VM that works", got)
	}
}

// Guards against endless retries: a job whose task fails everywhere fails after
// MaxAttempts and has no more starts.
func TestJobThatFailsEverywhereFails(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		w.addVM(id, 4000)
	}
	spec := shortJob(1)
	w.submit(spec)
	for range 40 {
		w.settle()
		for _, worker := range w.sortedWorkers() {
			for _, name := range sortedNames(worker.running) {
				w.end(worker, name, pool.EndFailed)
			}
		}
		w.advance(500 * time.Millisecond)
	}
	if w.state(spec.ID) != job.Failed || w.startsByTask[spec.ID+".0.0.0"] != 3 {
		t.Fatalf("state %v after %d starts, want failed after 3", w.state(spec.ID), w.startsByTask[spec.ID+".0.0.0"])
	}
}

// Guards against LOST on lantern-sched trouble-2 --seed 471934269064: a task that
// had failed on every VM of a small pool did not get its remaining attempts.
func TestTaskThatFailedOnEveryVMIsTriedAgain(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 4000)
	spec := shortJob(1)
	w.submit(spec)
	w.settle()
	w.end(w.workers["a"], spec.ID+".0.0.0", pool.EndFailed)
	for range 5 {
		w.advance(500 * time.Millisecond)
		w.settle()
	}
	if w.vmOf(spec.ID+".0.0.0") != "a" {
		t.Fatal("not tried again on the only VM")
	}
}

// Guards against a pool in which all VMs are quarantined because the tasks of one
// job fail everywhere.
func TestFailingJobDoesNotQuarantineItsVMs(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 4000)
	w.addVM("b", 4000)
	bad := shortJob(6)
	w.submit(bad)
	for range 20 {
		w.settle()
		for _, worker := range w.sortedWorkers() {
			for _, name := range sortedNames(worker.running) {
				w.end(worker, name, pool.EndFailed)
			}
		}
		w.advance(300 * time.Millisecond)
	}
	good := shortJob(8)
	w.submit(good)
	w.settle()
	if len(w.workers["a"].running) != 4 || len(w.workers["b"].running) != 4 {
		t.Fatalf("%d and %d tasks run, want 4 on each VM", len(w.workers["a"].running), len(w.workers["b"].running))
	}
}

// Guards against runs of a cancelled job that go on.
func TestCancelStopsRuns(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 8000)
	spec := shortJob(3)
	w.submit(spec)
	w.settle()
	w.p.Cancel(spec.ID)
	w.cycle()
	if len(w.workers["a"].running) != 0 {
		t.Fatal("runs of a cancelled job go on")
	}
	if w.state(spec.ID) != job.Cancelled {
		t.Fatal("the job is not recorded as cancelled")
	}
	starts := w.starts
	w.advance(time.Second)
	w.settle()
	if w.starts != starts {
		t.Fatal("a task of a cancelled job started")
	}
}

// Guards against maintenance that exceeds an availability budget, and against LOST
// on lantern-sched trouble-2: a long-running task may leave a VM only while enough
// others are available and another VM can take it.
func TestCordonKeepsAvailability(t *testing.T) {
	w := newWorld(t)
	a := w.addVM("a", 8000)
	spec := longRunningJob(3, 0, 1)
	w.submit(spec)
	w.settle()
	if len(a.running) != 3 {
		t.Fatalf("%d tasks on a, want 3", len(a.running))
	}
	w.waitOutTakeover()
	w.p.SetCordons(map[string]pool.Cordon{"m-a": {VM: "a", Version: 7}})
	w.settle()
	if len(a.running) != 3 {
		t.Fatal("a task was stopped while no other VM can take it")
	}
	if w.p.LoadReport().MinVMs < 1 {
		t.Fatal("the load report does not ask for another VM")
	}
	w.addVM("b", 8000)
	for range 10 {
		w.renewAll()
		stops := 0
		for _, c := range w.commit() {
			w.execute(c)
		}
		for _, c := range w.p.Commands() {
			if c.Kind == pool.Stop {
				stops++
			}
			w.execute(c)
		}
		if stops > 1 {
			t.Fatalf("%d of 3 tasks stopped at once, at most 1 may be unavailable", stops)
		}
		w.advance(100 * time.Millisecond)
	}
	if len(w.workers["b"].running) != 3 {
		t.Fatalf("%d tasks on b, want 3", len(w.workers["b"].running))
	}
	load, err := pool.DecodeLoadReport(w.rows[tables.LoadKey(testPool)])
	if err != nil {
		t.Fatal(err)
	}
	if !load.VMs[0].Empty(7) {
		t.Fatalf("the VM is not reported as empty: %+v", load.VMs[0])
	}
}

// Guards against AVAIL on lantern-sched scale-1: right after a takeover, the owner
// does not know which stops of the earlier owner may still take effect.
func TestNoStopsRightAfterTakeover(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 8000)
	w.addVM("b", 8000)
	spec := longRunningJob(3, 0, 1)
	w.submit(spec)
	w.settle()
	on := w.vmOf(spec.ID + ".0.0.0")
	w.waitOutTakeover()
	w.takeOver()
	w.p.SetCordons(map[string]pool.Cordon{"m-" + on: {VM: on, Version: 7}})
	w.settle()
	if len(w.workers[on].running) != 3 {
		t.Fatal("a task was stopped right after a takeover")
	}
	w.waitOutTakeover()
	for range 5 {
		w.settle()
		w.advance(100 * time.Millisecond)
	}
	if len(w.workers[on].running) != 0 {
		t.Fatal("the VM is not drained later")
	}
}

// Guards against AVAIL on lantern-sched hunt-a947-15: after a lost stop, another
// stop of the same run was sent without a check of the availability budget.
func TestStopAfterLostStopKeepsTheBudget(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 8000)
	w.addVM("b", 8000)
	spec := longRunningJob(3, 0, 1)
	w.submit(spec)
	w.settle()
	on := w.vmOf(spec.ID + ".0.0.0")
	w.waitOutTakeover()
	cordon := map[string]pool.Cordon{"m-" + on: {VM: on, Version: 7}}
	w.p.SetCordons(cordon)
	w.commit()
	if stops := w.p.Commands(); len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	w.p.SetCordons(nil) // the stop is lost, and the cordon ends
	w.waitOutTakeover()
	lost := w.vmOf(spec.ID + ".0.0.0")
	w.end(w.workers[lost], spec.ID+".0.0.2", pool.EndFailed)
	w.renewAll()
	w.p.SetCordons(cordon)
	w.commit()
	for _, c := range w.p.Commands() {
		if c.Kind == pool.Stop {
			t.Fatalf("%s is stopped while another task of its step is unavailable", c.Task)
		}
	}
}

// Guards against starts in an evacuated data centre, on draining VMs and beyond
// MaxPerVM.
func TestExcludedVMsGetNoTasks(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 8000)
	b := w.addVM("b", 8000)
	b.vm.DataCentre = "dc-b"
	w.p.ObserveVM(b.vm)
	c := w.addVM("c", 8000)
	c.vm.Draining = true
	w.p.ObserveVM(c.vm)
	w.p.SetEvacuated(map[string]bool{"dc-b": true})
	spec := longRunningJob(5, 2, 0)
	w.submit(spec)
	w.settle()
	if len(w.workers["a"].running) != 2 || len(b.running) != 0 || len(c.running) != 0 {
		t.Fatalf("%d, %d, %d tasks; want 2 on a and none elsewhere", len(w.workers["a"].running), len(b.running), len(c.running))
	}
	w.p.SetEvacuated(nil)
	w.settle()
	if len(b.running) != 2 {
		t.Fatal("no tasks in a data centre that is no longer evacuated")
	}
}

// Guards against a gang of which only some members start for lack of room.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 2000)
	spec := &job.Spec{Queue: "short", Steps: []job.Step{{Count: 3, Need: fleet.Resources{MilliCPU: 1000}, Estimate: time.Second, Gang: true}}}
	w.submit(spec)
	w.settle()
	if w.starts != 0 {
		t.Fatalf("%d members started without room for all", w.starts)
	}
	w.addVM("b", 2000)
	w.settle()
	if w.starts != 3 {
		t.Fatalf("%d members started, want 3", w.starts)
	}
	w.end(w.workers["a"], sortedNames(w.workers["a"].running)[0], pool.EndDone)
	w.settle()
	if w.state(spec.ID) != job.Succeeded {
		t.Fatal("the gang is not done after a member ended as done")
	}
}

// Guards against occurrences that start before they are due, and against a job
// that succeeds before all its occurrences are complete.
func TestOccurrencesStartWhenDue(t *testing.T) {
	w := newWorld(t)
	w.addVM("a", 8000)
	spec := shortJob(1)
	spec.Repetitions, spec.FirstRun, spec.Interval = 2, w.now.Wall+1000, 2*time.Second
	w.submit(spec)
	w.settle()
	if w.starts != 0 {
		t.Fatal("started before it is due")
	}
	w.advance(1001 * time.Millisecond)
	w.settle()
	if w.starts != 1 {
		t.Fatalf("%d starts when the first occurrence is due, want 1", w.starts)
	}
	w.advance(2 * time.Second)
	w.settle()
	if w.starts != 2 {
		t.Fatalf("%d starts when the second occurrence is due, want 2", w.starts)
	}
	w.end(w.workers["a"], spec.ID+".1.0.0", pool.EndDone)
	w.settle()
	if w.state(spec.ID) == job.Succeeded {
		t.Fatal("recorded as succeeded while the first occurrence runs")
	}
	w.end(w.workers["a"], spec.ID+".0.0.0", pool.EndDone)
	w.settle()
	if w.state(spec.ID) != job.Succeeded {
		t.Fatal("not recorded as succeeded")
	}
}

// Guards against a workspace that runs more tasks in a pool than the pool's share
// of its cap allows.
func TestCapShareLimitsRuns(t *testing.T) {
	w := newWorld(t)
	w.catalog = catalogWithCap(w, 10_000)
	w.p.Configure(w.catalog)
	w.addVM("a", 16000)
	spec := shortJob(8)
	spec.Workspace = "ws"
	w.submit(spec)
	w.p.SetCapShare("ws", fleet.Resources{MilliCPU: 3000, MemoryMB: 10_000}, false)
	w.settle()
	if w.starts != 3 {
		t.Fatalf("%d starts with a cap share for 3", w.starts)
	}
	w.p.SetCapShare("ws", fleet.Resources{MilliCPU: 9000, MemoryMB: 10_000}, true)
	w.settle()
	if w.starts != 3 {
		t.Fatal("started although all pools together exceed the cap")
	}
	if want := w.p.Demand()["ws"].MilliCPU; want != 8000 {
		t.Fatalf("demand is %d milli-CPU, want 8000", want)
	}
}

// Guards against repeating a lost stop without a new check of the availability
// budget: another task of the step may have become unavailable since the first
// stop (AVAIL on lantern-sched).
func TestRepeatedStopKeepsTheBudget(t *testing.T) {
	w := newWorld(t)
	a, b := w.addVM("a", 4000), w.addVM("b", 4000)
	spec := longRunningJob(2, 1, 1)
	w.submit(spec)
	w.settle()
	w.waitOutTakeover()
	w.addVM("c", 4000)
	w.settle()
	w.p.SetCordons(map[string]pool.Cordon{"m-a": {VM: "a", Version: 1}})
	stops := func() int {
		n := 0
		w.p.Cycle()
		for _, c := range w.p.Commands() {
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
			w.advance(700 * time.Millisecond)
			w.renewAll()
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
