// Package poolstest is a deterministic simulation for tests of the controllers
// of pools and maintenance: a platform with a lagging VM list, entries with
// sessions, a dispatcher, and an audit of the rows after every commit.
package poolstest

import (
	"context"
	"fmt"
	"sort"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/fleet"
)

// Simulation holds the simulated platform and its entries. It is not safe for
// concurrent use: tests interleave the entries by means of BeforeCall.
type Simulation struct {
	Time       time.Time
	Table      *memory.Table
	Config     *config.Snapshot
	ListLag    time.Duration // age of the VM list that entries get
	RebootTime time.Duration // duration of each reboot
	// BeforeCall runs before each call of an entry to the table or to VMs; op is
	// the lower-case name of the method. If it returns an error, the entry gets
	// the error and the call is not made.
	BeforeCall func(e *Entry, op string) error
	// Violations describes each violation of a rule that the simulation checks.
	Violations []string
	// DispatchCache is the dispatcher's copy of the assignments; tasks start
	// only where it shows a VM as active.
	DispatchCache *pools.Cache
	// Omitted holds the VMs that are missing from the VM list.
	Omitted map[fleet.VMID]bool
	// Reboots counts the accepted reboots by VM.
	Reboots map[fleet.VMID]int

	vms       map[fleet.VMID]*simulatedVM
	history   []backing.VMListing
	members   control.Members
	lastAudit auditedRows
}

// simulatedVM is the true state of a VM, which the VM list shows later.
type simulatedVM struct {
	vm      fleet.VM
	upAt    time.Time // end of the reboot; zero unless the VM reboots
	drained bool
	tasks   map[fleet.AttemptID]*Task
}

// Task is a task that runs on a VM.
type Task struct {
	Pool          fleet.PoolName
	End           time.Time
	Deadline      time.Time
	CanCheckpoint bool
}

// NewSimulation returns a simulation without VMs, at a fixed time.
func NewSimulation(snapshot *config.Snapshot) *Simulation {
	w := &Simulation{
		Time:       time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC),
		Table:      memory.NewTable(nil),
		Config:     snapshot,
		RebootTime: 3 * time.Minute,
		Reboots:    map[fleet.VMID]int{},
		Omitted:    map[fleet.VMID]bool{},
		vms:        map[fleet.VMID]*simulatedVM{},
	}
	w.DispatchCache = pools.NewCache(pools.CacheOptions{Table: w.Table, Clock: w})
	return w
}

// Now returns the simulated time, which is the same on all clocks.
func (w *Simulation) Now() time.Time { return w.Time }

// Snapshot, Fresh and StoreReachable implement control.View.
func (w *Simulation) Snapshot() *config.Snapshot { return w.Config }

// Fresh always returns nil.
func (w *Simulation) Fresh() error { return nil }

// StoreReachable always returns true.
func (w *Simulation) StoreReachable() bool { return true }

// Add adds a live VM or replaces the one with the same id.
func (w *Simulation) Add(vm fleet.VM) {
	vm.State = fleet.VMLive
	w.vms[vm.ID] = &simulatedVM{vm: vm, tasks: map[fleet.AttemptID]*Task{}}
}

// SetVMState sets the state of a VM in the platform and ends its tasks and its
// reboot.
func (w *Simulation) SetVMState(vm fleet.VMID, state fleet.VMState) {
	m := w.vms[vm]
	m.vm.State, m.upAt = state, time.Time{}
	m.tasks = map[fleet.AttemptID]*Task{}
}

// IDs returns the ids of all VMs in order.
func (w *Simulation) IDs() []fleet.VMID {
	var ids []fleet.VMID
	for id := range w.vms {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// VM returns the true state of a VM, and whether it is drained.
func (w *Simulation) VM(vm fleet.VMID) (fleet.VM, bool) { return w.vms[vm].vm, w.vms[vm].drained }

// Step advances the time: reboots and tasks that are due end, and a new VM
// listing is taken.
func (w *Simulation) Step(d time.Duration) {
	w.Time = w.Time.Add(d)
	listing := backing.VMListing{AsOf: w.Time}
	for _, id := range w.IDs() {
		m := w.vms[id]
		if !m.upAt.IsZero() && !w.Time.Before(m.upAt) {
			m.vm.State, m.upAt = fleet.VMLive, time.Time{}
		}
		for t, task := range m.tasks {
			if !w.Time.Before(task.End) {
				delete(m.tasks, t)
			}
		}
		if !w.Omitted[id] {
			listing.VMs = append(listing.VMs, m.vm)
		}
	}
	w.history = append(w.history, listing)
	for len(w.history) > 1 && w.Time.Sub(w.history[1].AsOf) >= w.ListLag {
		w.history = w.history[1:]
	}
}

// Start starts a task if the dispatcher's cache shows the VM as active and the
// worker accepts it. It reports whether the task was started.
func (w *Simulation) Start(vm fleet.VMID, id fleet.AttemptID, t Task) bool {
	pool, state := w.DispatchCache.Pool(vm)
	m := w.vms[vm]
	if state != pools.StateActive || m.drained || m.vm.State != fleet.VMLive {
		return false
	}
	t.Pool = pool
	m.tasks[id] = &t
	return true
}

// Tasks returns the running tasks of a VM.
func (w *Simulation) Tasks(vm fleet.VMID) map[fleet.AttemptID]*Task { return w.vms[vm].tasks }

// Idle implements pools.Dispatch: the VM is idle if the dispatcher's cache
// shows it as not active and no task runs on it.
func (w *Simulation) Idle(vm fleet.VMID) (bool, error) {
	_, state := w.DispatchCache.Pool(vm)
	m, ok := w.vms[vm]
	return state != pools.StateActive && (!ok || len(m.tasks) == 0), nil
}

// Checkpoint ends a task if it can be checkpointed.
func (w *Simulation) Checkpoint(_ context.Context, vm fleet.VMID, id fleet.AttemptID) error {
	if t := w.vms[vm].tasks[id]; t != nil && t.CanCheckpoint {
		delete(w.vms[vm].tasks, id)
	}
	return nil
}

func (w *Simulation) addViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
}

func (w *Simulation) reboot(vm fleet.VMID) error {
	m, ok := w.vms[vm]
	if !ok || m.vm.State == fleet.VMGone {
		return backing.ErrNotFound
	}
	if state := w.lastAudit.vms[vm].State; state != pools.StateMaintenance {
		w.addViolation("reboot of VM %s, which is %s", vm, state)
	}
	for id, t := range m.tasks {
		w.addViolation("reboot of VM %s interrupted task %s of pool %s", vm, id, t.Pool)
	}
	w.Reboots[vm]++
	m.tasks = map[fleet.AttemptID]*Task{}
	m.vm.State, m.upAt = fleet.VMLeaving, w.Time.Add(w.RebootTime)
	return nil
}
