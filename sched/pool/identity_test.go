package pool_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/tables"
)

// silentStart is a pool whose owner has sent all starts of a job to VM a, which answers none and
// has left discovery. Then other owners follow.
type silentStart struct {
	*inventoryDay
	spec *job.Spec
}

func newSilentStart(t *testing.T, spec *job.Spec, rowBytes, owners int) *silentStart {
	d := &silentStart{newInventoryDay(t), spec}
	d.rowBytes = rowBytes
	d.takeover() // with this size of rows
	d.workers["a"].vm.Capacity.MilliCPU = 1 << 20
	d.scheduler.ObserveVM(d.workers["a"].vm)
	d.pass(13 * time.Second)
	d.submit(spec)
	a := d.workers["a"]
	d.renewAll()
	sent := 0
	for i := 0; sent < spec.Tasks(); i++ {
		if i > 100 {
			t.Fatalf("%d of %d starts were sent", sent, spec.Tasks())
		}
		starts := d.commit()
		sent += len(starts)
		a.down = true
		for _, c := range starts {
			d.execute(c)
		}
		a.down = false
		d.advance(5 * time.Millisecond)
	}
	d.lose(a)
	d.pass(2 * time.Second)
	d.scheduler.ForgetVM("a")
	d.pass(time.Second)
	delete(d.workers, "a")
	for range owners {
		d.takeover()
		d.nextList = d.now.Steady + inventoryInterval // a list is requested after the takeover
		d.pass(200 * time.Millisecond)
	}
	d.addVM("b", 1<<20)
	d.pass(time.Second)
	return d
}

// started reports how many tasks of the job run.
func (d *silentStart) started() int {
	n := 0
	for _, w := range d.workers {
		n += len(w.running)
	}
	return n
}

// Guards against a task that waits for late calls to a VM that has ended, beside idle VMs (LOST,
// review/13): its start had no answer, the VM left discovery, and a next owner does not know
// the machine.
func TestNextOwnerLearnsOfTheEndOfAVM(t *testing.T) {
	for name, spec := range map[string]*job.Spec{"one task": shortJob(1), "lasting task": longRunningJob(1, 0, 0), "gang": gangJob(3), "in parts": shortJob(300)} {
		rowBytes := 0
		if name == "in parts" {
			rowBytes = 8 << 10
		}
		for end, happen := range map[string]func(d *silentStart){
			"machine answers as another VM": func(d *silentStart) {
				next := d.addVM("next", 1<<20)
				next.vm.Machine, next.vm.StartedMS = "m-a", 2
				d.scheduler.ObserveVM(next.vm)
			},
			"machine is in another pool": func(d *silentStart) {
				d.others = append(d.others, pool.ListedMachine{Name: "m-a", Worker: "elsewhere"})
			},
			"machine has left": func(*silentStart) {},
		} {
			for _, owners := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, %s, %d owners", name, end, owners), func(t *testing.T) {
					spec := *spec
					spec.ID = ""
					d := newSilentStart(t, &spec, rowBytes, owners)
					happen(d)
					d.pass(endedWithin + 500*time.Millisecond)
					if got := d.started(); got != spec.Tasks() {
						t.Errorf("%d of %d tasks run %v after the end of their VM is shown", got, spec.Tasks(), endedWithin)
					}
				})
			}
		}
	}
}

// Guards against a task that runs twice: a VM that left discovery counts as ended although
// nothing proves it.
func TestNextOwnerAwaitsASilentVM(t *testing.T) {
	for name, happen := range map[string]func(d *silentStart){
		"machine is down": func(d *silentStart) { d.others = append(d.others, pool.ListedMachine{Name: "m-a"}) },
		"machine is still that VM": func(d *silentStart) {
			d.others = append(d.others, pool.ListedMachine{Name: "m-a", Worker: "a"})
		},
		"another VM of the machine started before": func(d *silentStart) {
			d.others = append(d.others, pool.ListedMachine{Name: "m-a", Worker: "a"})
			former := d.addVM("former", 0)
			former.vm.Machine, former.vm.StartedMS = "m-a", 0
			d.scheduler.ObserveVM(former.vm)
		},
		"another VM of the machine has not answered": func(d *silentStart) {
			d.others = append(d.others, pool.ListedMachine{Name: "m-a", Worker: "a"})
			next := d.addVM("next", 0)
			next.vm.Machine, next.vm.StartedMS, next.down = "m-a", 2, true
			d.scheduler.ObserveVM(next.vm)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newSilentStart(t, shortJob(1), 0, 1)
			happen(d)
			d.pass(5 * time.Second)
			if got := d.started(); got != 0 {
				t.Errorf("%d tasks were started while their VM may run them", got)
			}
			d.pass(orderDelay + 11*time.Second)
			if got := d.started(); got != 1 {
				t.Errorf("%d tasks run after the bound of late calls, want 1", got)
			}
		})
	}
}

// Guards against rows of identities that are written for each task, and against a next owner that
// finds none for a VM with tasks.
func TestIdentitiesAreRecordedOnce(t *testing.T) {
	h := newHarness(t)
	for i := range 40 {
		h.addVM(fmt.Sprintf("vm%d", i), 4000)
	}
	h.submit(shortJob(160))
	written := 0
	count := func() {
		batch := h.nextBatch()
		for _, put := range batch.Puts {
			if tables.IsVMKey(put.Key) {
				written++
			}
		}
		h.write(batch)
		for _, c := range h.confirm(batch) {
			h.execute(c)
		}
	}
	h.renewAll()
	for range 5 {
		count()
	}
	if written == 0 || written > 16 {
		t.Errorf("%d rows were written for 40 VMs, want one for each of at most 16 groups", written)
	}
	known := map[string]pool.VMIdentity{}
	for key, value := range h.rows {
		if !tables.IsVMKey(key) {
			continue
		}
		vms, err := pool.DecodeVMs(value)
		if err != nil {
			t.Fatal(err)
		}
		for id, identity := range vms {
			known[id] = identity
		}
	}
	for _, w := range h.sortedWorkers() {
		if want := (pool.VMIdentity{Machine: w.vm.Machine, StartedMS: w.vm.StartedMS}); len(w.running) > 0 && known[w.vm.ID] != want {
			t.Errorf("identity of %s: %+v, want %+v", w.vm.ID, known[w.vm.ID], want)
		}
	}
	first := written
	h.endAll(pool.EndDone)
	h.submit(shortJob(160))
	for range 10 {
		h.renewAll()
		count()
	}
	if written != first {
		t.Errorf("%d more rows were written for the next tasks on the same VMs", written-first)
	}
	h.takeover()
	h.renewAll()
	for range 5 {
		count()
	}
	if written != first {
		t.Errorf("the next owner has written %d rows that were there", written-first)
	}
}
