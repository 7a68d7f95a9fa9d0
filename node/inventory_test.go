package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/sched/pool"
)

// listedMachines is an inventory. Its embedded interface, which is nil, takes no orders.
type listedMachines struct {
	Machines
	clock Clock
	mu    sync.Mutex
	list  []Machine
	err   error           // returned by the next reads, with the list
	hangs bool            // reads have no answer
	reads []time.Duration // when they were sent, on clock
}

// newListedMachines returns an inventory of the machines of VMs, as listVM names them.
func newListedMachines(clock Clock, vms ...string) *listedMachines {
	f := &listedMachines{clock: clock}
	for _, vm := range vms {
		f.list = append(f.list, Machine{Name: "m-" + vm, Pool: "p", Up: true, Worker: vm})
	}
	return f
}

// use calls f with the inventory while nobody reads it.
func (f *listedMachines) use(use func(*listedMachines)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(f)
}

// drop removes a machine.
func (f *listedMachines) drop(name string) {
	f.use(func(f *listedMachines) {
		f.list = slices.DeleteFunc(f.list, func(m Machine) bool { return m.Name == name })
	})
}

// sent returns when the reads were sent.
func (f *listedMachines) sent() (reads []time.Duration) {
	f.use(func(f *listedMachines) { reads = slices.Clone(f.reads) })
	return reads
}

func (f *listedMachines) List(ctx context.Context) ([]Machine, error) {
	f.mu.Lock()
	f.reads = append(f.reads, f.clock.Now().Steady)
	hangs := f.hangs
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleep(ctx, 20*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list), f.err
}

// endOfVMBound is the longest time from the end of a VM, which the inventory shows, to the start
// of its run elsewhere: a renewal without an answer, two reads, and the placement.
const endOfVMBound = renewTimeout + inventoryReadInterval + 2*maxCycleInterval + 500*time.Millisecond

// runOnVM1 has vm1 run the task.
func (f *restartFixture) runOnVM1() {
	f.t.Helper()
	f.submit()
	f.await("vm1 runs the task", 2*time.Second, func() bool { return len(f.vms.runningOn(restartTask)) > 0 })
	time.Sleep(15 * time.Second) // its leases are on the clock of its present incarnation
}

// endVM1 ends vm1 for good.
func (f *restartFixture) endVM1() {
	f.vms.use("vm1:80", func(w *restartingVM) {
		w.cut = true
		w.running = map[string]pool.RunState{}
	})
}

// Guards against a task that waits for the lease of a VM that the inventory shows to have ended
// (LOST), also if its owner ends with it.
func TestRunOfAVMThatHasEndedStartsElsewhereAtOnce(t *testing.T) {
	if endOfVMBound >= testLease {
		t.Fatalf("a lease ends within %v: the test shows nothing", endOfVMBound)
	}
	for name, show := range map[string]func(f *restartFixture){
		"machine has left": func(f *restartFixture) { f.inventory.drop("m-vm1") },
		"machine is another VM": func(f *restartFixture) {
			f.inventory.use(func(i *listedMachines) { i.list[0].Worker = "vm3" })
		},
	} {
		for _, nextOwner := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", next owner"}[nextOwner], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRestartFixture(t)
					defer f.stop()
					f.runOnVM1()
					if reads := f.inventory.sent(); len(reads) > 0 {
						t.Errorf("the inventory was read %d times while vm1 answered", len(reads))
					}
					f.endVM1()
					show(f)
					if nextOwner {
						f.replaceOwner()
					}
					f.checkOneRun(endOfVMBound)
					f.await("the reads end", 2*time.Second, func() bool {
						reads := f.inventory.sent()
						return f.clock.Now().Steady-reads[len(reads)-1] > inventoryReadInterval+maxCycleInterval
					})
				})
			})
		}
	}
}

// Guards against a task that runs on two VMs (TWICE): the list of machines was not read to its
// end, or its machine is down and may come back as the same VM.
func TestInventoryThatProvesNothingLeavesRunsToTheirLeases(t *testing.T) {
	for name, show := range map[string]func(f *restartFixture){
		"cut off": func(*restartFixture) {},
		"down":    func(f *restartFixture) { f.inventory.use(func(i *listedMachines) { i.list[0].Worker = "" }) },
		"error on a later page": func(f *restartFixture) {
			f.inventory.use(func(i *listedMachines) { i.list, i.err = i.list[1:], errors.New("status 429") })
		},
		"no answer": func(f *restartFixture) { f.inventory.use(func(i *listedMachines) { i.hangs = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartFixture(t)
				defer f.stop()
				f.runOnVM1()
				f.vms.setCut("vm1:80", true)
				show(f)
				f.checkOneRun(leaseBound(testLease) + 500*time.Millisecond) // fails at an overlap
				reads := f.inventory.sent()
				if len(reads) < 2 {
					t.Errorf("%d reads, want one a second, or one for each timeout", len(reads))
				}
				for i := range len(reads) - 1 {
					if gap := reads[i+1] - reads[i]; gap < inventoryReadInterval || gap > inventoryReadTimeout+2*maxCycleInterval {
						t.Errorf("%v between two reads, want %v, or %v and a cycle after one without an answer", gap, inventoryReadInterval, inventoryReadTimeout)
					}
				}
			})
		})
	}
}

// Guards against an owner without an inventory, which fails at a silent VM.
func TestOwnerWithoutInventoryWaitsForLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFixture(t)
		defer f.stop()
		f.runOnVM1()
		lostAt := f.clock.Now().Steady
		f.vms.setCut("vm1:80", true)
		f.inventory = nil
		f.replaceOwner()
		f.checkOneRun(lostAt + renewAgeLimit + leaseBound(testLease) + 500*time.Millisecond - f.clock.Now().Steady)
		if n := f.entry.metrics.counters.Get("panics"); n != nil {
			t.Errorf("%v panics", n)
		}
	})
}
