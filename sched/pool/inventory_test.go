package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// inventoryDay is a pool of two VMs whose owner reads the inventory each second while it
// awaits it.
type inventoryDay struct {
	*harness
	missing  map[string]bool      // machines that the inventory does not list
	shows    map[string]string    // by machine: id of the VM that the inventory shows, if it is another than the worker's
	others   []pool.ListedMachine // machines without a worker of the pool
	nextList time.Duration
	lists    int // that were read
}

const (
	inventoryInterval = time.Second
	// endedWithin is the time from the silence of a VM that has ended for good to the start
	// of its runs elsewhere: two lists and a cycle.
	endedWithin = 2 * time.Second
)

func newInventoryDay(t testingT) *inventoryDay {
	d := &inventoryDay{harness: newHarness(t), missing: map[string]bool{}, shows: map[string]string{}}
	d.addVM("a", 8000)
	return d
}

// list returns the complete list of machines.
func (d *inventoryDay) list() []pool.ListedMachine {
	list := append([]pool.ListedMachine{{Name: "m-elsewhere", Worker: "elsewhere"}, {Name: "m-standby"}}, d.others...)
	for _, w := range d.sortedWorkers() {
		m := pool.ListedMachine{Name: w.vm.Machine, Worker: w.vm.ID}
		if other, ok := d.shows[m.Name]; ok {
			m.Worker = other
		}
		if !d.missing[m.Name] {
			list = append(list, m)
		}
	}
	return list
}

// pass lets a time pass in steps of 250 ms.
func (d *inventoryDay) pass(total time.Duration) {
	for end := d.now.Steady + total; d.now.Steady < end; {
		d.advance(250 * time.Millisecond)
		d.renewAll()
		if d.now.Steady >= d.nextList && d.scheduler.AwaitsInventory() {
			d.nextList = d.now.Steady + inventoryInterval
			d.lists++
			d.scheduler.MachinesListed(d.list(), d.now.Steady)
		}
		d.cycle()
	}
}

// lose ends a VM for good: nothing runs there any more and it does not answer.
func (d *inventoryDay) lose(w *worker) {
	d.loseRuns(w)
	w.down = true
}

// runLasting starts a task that lasts on VM a, and adds VM b.
func (d *inventoryDay) runLasting(t *testing.T) (task string) {
	t.Helper()
	spec := longRunningJob(1, 0, 0)
	d.submit(spec)
	d.settle()
	task = pool.TaskName(spec.ID, 0, 0, 0)
	if on := d.vmOf(task); on != "a" {
		t.Fatalf("the task runs on %q, want a", on)
	}
	d.addVM("b", 8000)
	d.settle()
	return task
}

// Guards against a task that waits for the lease of a VM that has ended for good (LOST).
func TestRunOfAnEndedVMStartsElsewhereAtOnce(t *testing.T) {
	for name, end := range map[string]func(d *inventoryDay){
		"machine has left":              func(d *inventoryDay) { d.missing["m-a"] = true },
		"machine has left, VM unlisted": func(d *inventoryDay) { d.missing["m-a"] = true; d.scheduler.ForgetVM("a") },
		"machine is another VM":         func(d *inventoryDay) { d.shows["m-a"] = "next" },
	} {
		t.Run(name, func(t *testing.T) {
			d := newInventoryDay(t)
			task := d.runLasting(t)
			d.pass(2 * time.Second)
			if d.lists != 0 {
				t.Errorf("the inventory was read %d times while all VMs answered", d.lists)
			}
			d.lose(d.workers["a"])
			end(d)
			d.pass(endedWithin)
			if on := d.vmOf(task); on != "b" {
				t.Errorf("%v after the end of VM a the task runs on %q, want b", endedWithin, on)
			}
			if d.scheduler.AwaitsInventory() {
				t.Error("the inventory is awaited after the end of VM a is known")
			}
			d.workers["a"].down = false // its id comes back, against the proof
			d.submit(shortJob(12))
			d.pass(4 * time.Second)
			if n := len(d.workers["a"].running); n > 0 && name != "machine has left, VM unlisted" {
				t.Errorf("%d runs were started on a VM that has ended", n)
			}
		})
	}
}

// Guards against a task that runs on two VMs (TWICE): its VM is cut off, or comes back under its
// id, and counts as ended. The harness fails at a start beside a run.
func TestSilentVMThatMayComeBackKeepsItsRuns(t *testing.T) {
	none := func(*inventoryDay) {}
	for name, test := range map[string]struct {
		begin, later func(d *inventoryDay) // at the begin of the silence, and 1 s later, between two lists
	}{
		"cut off":                  {none, none},
		"down without a VM":        {func(d *inventoryDay) { d.shows["m-a"] = "" }, none},
		"missing in one list only": {func(d *inventoryDay) { d.missing["m-a"] = true }, func(d *inventoryDay) { d.missing["m-a"] = false }},
		"another VM in one list only": {func(d *inventoryDay) { d.shows["m-a"] = "next" }, func(d *inventoryDay) {
			d.shows["m-a"] = ""
		}},
		"VM is listed on another machine": {func(d *inventoryDay) {
			d.missing["m-a"] = true
			d.shows["m-b"] = "a"
		}, none},
		"empty list": {func(d *inventoryDay) { d.nextList = d.now.Steady + time.Hour }, func(d *inventoryDay) {
			for range 2 {
				d.scheduler.MachinesListed(nil, d.now.Steady)
				d.advance(time.Second)
			}
		}},
		"two lists of the same moment": {func(d *inventoryDay) { d.nextList = d.now.Steady + time.Hour }, func(d *inventoryDay) {
			d.missing["m-a"] = true
			for range 3 {
				d.scheduler.MachinesListed(d.list(), d.now.Steady)
			}
		}},
		"lists requested before its last answer": {func(d *inventoryDay) { d.nextList = d.now.Steady + time.Hour }, func(d *inventoryDay) {
			d.missing["m-a"] = true
			for i := range 4 {
				d.scheduler.MachinesListed(d.list(), d.workers["a"].client.answeredAt-time.Duration(4-i)*time.Second)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newInventoryDay(t)
			task := d.runLasting(t)
			d.pass(time.Second)
			a := d.workers["a"]
			a.down = true
			test.begin(d)
			d.pass(time.Second)
			test.later(d)
			d.advance(0)
			d.cycle()
			d.pass(time.Second)
			a.down = false
			d.pass(time.Second)
			if on := d.vmOf(task); on != "a" || d.starts != 1 {
				t.Errorf("the task runs on %q after %d starts, want a and 1", on, d.starts)
			}
		})
	}
}

// Guards against a VM that answers between two lists which do not show it, and counts as ended.
func TestAnswerBetweenTwoListsDisprovesTheEnd(t *testing.T) {
	d := newInventoryDay(t)
	task := d.runLasting(t)
	d.missing["m-a"] = true
	a := d.workers["a"]
	for range 6 {
		a.down = true
		d.pass(time.Second) // with one list
		a.down = false
		d.pass(time.Second) // with a renewal of its lease
	}
	if d.lists < 6 {
		t.Errorf("%d lists were read, want at least 6", d.lists)
	}
	if on := d.vmOf(task); on != "a" || d.starts != 1 {
		t.Errorf("the task runs on %q after %d starts, want a and 1", on, d.starts)
	}
}

// Guards against a VM that leaves renewals unanswered, answers a start between two lists, and
// counts as ended.
func TestAnswerToAStartDisprovesTheEnd(t *testing.T) {
	d := newInventoryDay(t)
	spec := shortJob(1)
	d.submit(spec)
	d.renewAll()
	starts := d.commit()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	a := d.workers["a"]
	d.grant(a)
	result := d.start(a, starts[0], d.now.Steady+testLease)
	d.renewalUnanswered(a)
	d.missing["m-a"] = true
	d.addVM("b", 8000)
	d.renew("b")
	d.scheduler.MachinesListed(d.list(), d.now.Steady)
	d.advance(500 * time.Millisecond)
	d.scheduler.Started(starts[0], result, d.now.Steady)
	d.advance(500 * time.Millisecond)
	d.scheduler.MachinesListed(d.list(), d.now.Steady)
	d.renew("b")
	d.cycle()
	d.cycle()
	if on := d.vmOf(starts[0].Task); on != "a" || d.starts != 1 {
		t.Errorf("the task runs on %q after %d starts, want a and 1", on, d.starts)
	}
}

// Guards against the runs of an earlier owner on a VM that has ended for good, which wait for
// leases that the next owner does not know.
func TestInheritedRunOfAnEndedVMStartsElsewhereAtOnce(t *testing.T) {
	for _, silentBefore := range []bool{false, true} {
		d := newInventoryDay(t)
		task := d.runLasting(t)
		d.pass(time.Second)
		d.lose(d.workers["a"])
		if silentBefore { // the earlier owner has stored a lease bound
			d.pass(time.Second)
		}
		d.missing["m-a"] = true
		d.takeover()
		d.nextList = 0
		d.pass(endedWithin)
		if on := d.vmOf(task); on != "b" {
			t.Errorf("lease bound stored %v: %v after the takeover the task runs on %q, want b", silentBefore, endedWithin, on)
		}
	}
}

// Guards against orphan runs that keep their tasks waiting although their VM has ended for good.
func TestOrphanRunsOfAnEndedVMAreForgotten(t *testing.T) {
	d := newInventoryDay(t)
	task := d.runLasting(t)
	a := d.workers["a"]
	run := a.running[task]
	d.end(a, task, pool.EndFailed)
	d.settle()
	for d.vmOf(task) != "b" {
		d.pass(250 * time.Millisecond)
	}
	d.pass(time.Second)
	// VM a lists the former run, and is lost before it has stopped it; then VM b is lost.
	d.scheduler.HandleListing(pool.Listing{VM: "a", StartedMS: 1, SentAt: d.now.Steady, At: d.now.Steady, Complete: true, Running: []pool.RunState{run}})
	d.lose(a)
	d.lose(d.workers["b"])
	d.missing["m-a"], d.missing["m-b"] = true, true
	d.addVM("c", 8000)
	d.pass(endedWithin + 500*time.Millisecond)
	if on := d.vmOf(task); on != "c" {
		t.Errorf("the task runs on %q, want c: both VMs that may have run it have ended", on)
	}
}

// Guards against a start under way to a VM that has ended: it is left until its call has ended,
// and then lost with the next list.
func TestStartUnderWayToAnEndedVMEndsWithItsCall(t *testing.T) {
	d := newInventoryDay(t)
	d.runLasting(t)
	spec := shortJob(1)
	d.submit(spec)
	starts := d.commit()
	for len(starts) == 0 {
		d.advance(20 * time.Millisecond)
		starts = d.commit()
	}
	start := starts[0]
	w := d.workers[start.VM]
	other := "a"
	if start.VM == "a" {
		other = "b"
	}
	d.lose(w)
	d.missing[w.vm.Machine] = true
	d.pass(endedWithin)
	if d.vmOf(start.Task) != "" {
		t.Fatalf("%s was started again while its start was under way", start.Task)
	}
	d.scheduler.Started(start, pool.StartUnconfirmed, d.now.Steady)
	d.pass(endedWithin)
	if on := d.vmOf(start.Task); on != other {
		t.Errorf("%s runs on %q, want %s", start.Task, on, other)
	}
}

// Guards against crashes that are counted or missed because the inventory has told of the end
// of a VM before its lease ended: as at the end of a lease, they count once the machine is
// back, and not when it was taken away as planned.
func TestEndShownByTheInventoryCountsAsACrashOnceItsMachineIsBack(t *testing.T) {
	for _, planned := range []bool{false, true} {
		d := newInventoryDay(t)
		spec := shortJob(1)
		d.submit(spec)
		d.settle()
		task := pool.TaskName(spec.ID, 0, 0, 0)
		for life := range 4 {
			on := d.vmOf(task)
			w := d.workers[on]
			if w == nil {
				t.Fatalf("planned %v: the task does not run after %d crashes", planned, life)
			}
			d.addVM("spare"+on, 8000)
			d.settle()
			if planned {
				w.vm.Draining, w.vm.DrainRemaining = true, time.Minute
				d.scheduler.ObserveVM(w.vm)
			}
			next := "next" + on
			d.lose(w)
			d.shows[w.vm.Machine] = next
			d.pass(endedWithin)
			if life < 3 && d.vmOf(task) == "" {
				t.Fatalf("planned %v: the task does not run %v after the end of %s", planned, endedWithin, on)
			}
			if n := d.scheduler.Stats().Crashed; !planned && n != int64(life) {
				t.Errorf("%d crashes before the machine is back for the %d. time", n, life+1)
			}
			delete(d.shows, w.vm.Machine)
			delete(d.workers, on)
			d.scheduler.ForgetVM(on)
			born := d.addVM(next, 8000)
			born.vm.Machine, born.vm.StartedMS = w.vm.Machine, w.vm.StartedMS+1
			d.scheduler.ObserveVM(born.vm)
			d.settle()
		}
		want := job.Failed
		if planned {
			want = job.Running
		}
		if got := d.state(spec.ID); got != want {
			t.Errorf("planned %v: the job is %v after four ends of its VM, want %v", planned, got, want)
		}
	}
}

// Guards against more lists than two being needed for VMs that are lost together.
func TestVMsThatAreLostTogetherEndTogether(t *testing.T) {
	d := newInventoryDay(t)
	d.addVM("b", 8000)
	spec := longRunningJob(16, 8, 0)
	d.submit(spec)
	d.settle()
	lost := slices.Clone(d.sortedWorkers())
	d.addVM("c", 16000)
	d.addVM("d", 16000)
	d.settle()
	for _, w := range lost {
		d.lose(w)
		d.missing[w.vm.Machine] = true
	}
	d.pass(endedWithin)
	if n := len(d.workers["c"].running) + len(d.workers["d"].running); n != 16 {
		t.Errorf("%d tasks run %v after the loss of all their VMs, want 16", n, endedWithin)
	}
}

// Guards against a task that runs twice at a time or is lost because of what lists of machines
// show, in any mix with the faults of TestAnyMixOfEvents. The lists are up to 0.9 s old, and
// leave out the VMs of machines that are down.
func TestAnyMixOfEventsWithLists(t *testing.T) {
	t.Parallel()
	const maxListAge = 900 * time.Millisecond
	ended := 0
	rapid.Check(t, func(t *rapid.T) {
		d := &inventoryDay{harness: newHarness(t), missing: map[string]bool{}, shows: map[string]string{}}
		for i := range 3 {
			d.addVM(fmt.Sprintf("vm%d", i), 4000)
		}
		list, listAt := d.list(), d.now.Steady
		read := func() {
			if d.now.Steady-listAt > maxListAge || rapid.Bool().Draw(t, "new list") {
				list, listAt = d.list(), d.now.Steady
			}
			before := d.scheduler.Stats().Lost
			d.scheduler.MachinesListed(list, d.now.Steady)
			ended += int(d.scheduler.Stats().Lost - before)
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "event or list") {
			case 0, 1:
				read()
			case 2: // two lists, between which the VMs are asked or not
				read()
				if rapid.Bool().Draw(t, "asked") {
					d.renewAll()
				}
				d.advance(time.Duration(rapid.IntRange(700, 1300).Draw(t, "ms")) * time.Millisecond)
				d.deliverOverdueAnswers()
				read()
				d.cycle()
			case 3: // lost for good; another machine joins
				w := d.pickWorker(t)
				machine := w.vm.Machine
				d.replaceWorker(w, rapid.Bool().Draw(t, "still listed"))
				for _, next := range d.workers {
					if next.vm.Machine == machine {
						next.vm.Machine = "m-" + next.vm.ID
						d.scheduler.ObserveVM(next.vm)
					}
				}
			case 4:
				w := d.pickWorker(t)
				if _, down := d.shows[w.vm.Machine]; down {
					delete(d.shows, w.vm.Machine)
				} else {
					d.shows[w.vm.Machine] = ""
				}
			default:
				d.randomEvent(t)
				d.deliverOverdueAnswers()
			}
		}
		d.endFaults(t)
	})
	if ended == 0 {
		t.Error("no list has ended a run")
	}
	t.Logf("lists have ended %d runs", ended)
}
