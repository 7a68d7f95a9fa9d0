// Package poolstest is a small deterministic world for tests of the controllers
// of pools and maintenance: a platform with a lagging VM list, entries with
// sessions, a dispatcher, and an audit of every commit.
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

// World is the platform and the entries. It is not safe for concurrent use:
// tests interleave entries through Hook.
type World struct {
	Time       time.Time
	Table      *memory.Table
	Config     *config.Snapshot
	Lag        time.Duration // of the VM list
	RebootTime time.Duration
	// Hook runs before each call of an entry to the table or to the VMs. An
	// error is returned to the entry in place of the call.
	Hook       func(e *Entry, op string) error
	Violations []string
	// Work tells where the dispatcher may start tasks, by its own cache.
	Work *pools.Cache
	// Omitted holds the VMs that the VM list leaves out.
	Omitted map[fleet.VMID]bool
	// Reboots counts accepted reboots by VM.
	Reboots map[fleet.VMID]int

	vms     map[fleet.VMID]*machine
	history []backing.VMListing
	members control.Members
	audited audited
}

// machine is the true state of a VM.
type machine struct {
	vm      fleet.VM
	upAt    time.Time // end of a reboot
	drained bool
	tasks   map[fleet.AttemptID]*Task
}

// Task is work on a VM.
type Task struct {
	Pool          fleet.PoolName
	End           time.Time
	Deadline      time.Time
	CanCheckpoint bool
}

// NewWorld returns a world at a fixed time without VMs.
func NewWorld(snapshot *config.Snapshot) *World {
	w := &World{
		Time:       time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC),
		Table:      memory.NewTable(nil),
		Config:     snapshot,
		RebootTime: 3 * time.Minute,
		Reboots:    map[fleet.VMID]int{},
		Omitted:    map[fleet.VMID]bool{},
		vms:        map[fleet.VMID]*machine{},
	}
	w.Work = pools.NewCache(pools.CacheOptions{Table: w.Table, Clock: w})
	return w
}

// Now returns the time of all clocks.
func (w *World) Now() time.Time { return w.Time }

// Snapshot, Fresh and StoreReachable make the world a control.View.
func (w *World) Snapshot() *config.Snapshot { return w.Config }

// Fresh always returns nil.
func (w *World) Fresh() error { return nil }

// StoreReachable always returns true.
func (w *World) StoreReachable() bool { return true }

// Add adds or replaces a live VM.
func (w *World) Add(vm fleet.VM) {
	vm.State = fleet.VMLive
	w.vms[vm.ID] = &machine{vm: vm, tasks: map[fleet.AttemptID]*Task{}}
}

// Kill sets the platform's word on a VM and ends its tasks. Killing with
// fleet.VMLive brings it back.
func (w *World) Kill(vm fleet.VMID, state fleet.VMState) {
	m := w.vms[vm]
	m.vm.State, m.upAt = state, time.Time{}
	m.tasks = map[fleet.AttemptID]*Task{}
}

// IDs returns the VMs in order.
func (w *World) IDs() []fleet.VMID {
	var ids []fleet.VMID
	for id := range w.vms {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// VM returns the true state of a VM and whether it is drained.
func (w *World) VM(vm fleet.VMID) (fleet.VM, bool) { return w.vms[vm].vm, w.vms[vm].drained }

// Step lets time pass: reboots and tasks end and a listing is taken.
func (w *World) Step(d time.Duration) {
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
	for len(w.history) > 1 && w.Time.Sub(w.history[1].AsOf) >= w.Lag {
		w.history = w.history[1:]
	}
}

// Start starts a task where the dispatcher's cache allows it, and reports
// whether it did.
func (w *World) Start(vm fleet.VMID, id fleet.AttemptID, t Task) bool {
	pool, state := w.Work.Pool(vm)
	m := w.vms[vm]
	if state != pools.StateActive || m.drained || m.vm.State != fleet.VMLive {
		return false
	}
	t.Pool = pool
	m.tasks[id] = &t
	return true
}

// Tasks returns the running tasks of a VM.
func (w *World) Tasks(vm fleet.VMID) map[fleet.AttemptID]*Task { return w.vms[vm].tasks }

// Idle implements pools.Dispatch: the dispatcher has seen that the VM is not
// active and runs nothing on it.
func (w *World) Idle(vm fleet.VMID) (bool, error) {
	_, state := w.Work.Pool(vm)
	m, ok := w.vms[vm]
	return state != pools.StateActive && (!ok || len(m.tasks) == 0), nil
}

// Checkpoint ends a task that can be checkpointed.
func (w *World) Checkpoint(_ context.Context, vm fleet.VMID, id fleet.AttemptID) error {
	if t := w.vms[vm].tasks[id]; t != nil && t.CanCheckpoint {
		delete(w.vms[vm].tasks, id)
	}
	return nil
}

func (w *World) violate(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
}

func (w *World) reboot(vm fleet.VMID) error {
	m, ok := w.vms[vm]
	if !ok || m.vm.State == fleet.VMGone {
		return backing.ErrNotFound
	}
	if state := w.audited.vms[vm].State; state != pools.StateMaintenance {
		w.violate("reboot of VM %s, which is %s", vm, state)
	}
	for id, t := range m.tasks {
		w.violate("reboot of VM %s cut task %s of pool %s", vm, id, t.Pool)
	}
	w.Reboots[vm]++
	m.tasks = map[fleet.AttemptID]*Task{}
	m.vm.State, m.upAt = fleet.VMLeaving, w.Time.Add(w.RebootTime)
	return nil
}
