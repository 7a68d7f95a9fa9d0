package memory

import (
	"slices"
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// goneRetention is how long the VM list still shows a VM that is gone.
const goneRetention = time.Hour

// Defaults of the tasks that a worker runs and of the connections that its
// endpoint accepts at a time.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// inventory is the state that the services Workers, VMs and VMList share. Each
// call first advances the VMs that it uses to the clock's time: tasks,
// leases and reboots that are over by then end at the times at which they were due.
type inventory struct {
	mu             sync.Mutex
	clock          fleet.Clock
	runner         Runner
	usageLag       time.Duration
	rebootTime     time.Duration
	listLag        time.Duration
	lastListedAsOf time.Time // AsOf of the newest listing
	feed           feed
	vms            map[fleet.VMID]*vm
	entries        map[string]*entryVM
	checkpoints    map[stepKey]time.Duration // remaining run time of checkpointed steps
	lastRanOn      map[stepKey]*vm           // VM that last started each step that has not completed
	stepStarts     map[stepKey]int           // number of starts of each step on all VMs
}

// stepKey identifies a step of a job.
type stepKey struct {
	job  fleet.JobID
	step int
}

// vm is a VM with its worker.
type vm struct {
	info         fleet.VM // its field State is not used; see states
	states       history
	rebootEndsAt time.Time // zero unless the VM is rebooting
	noReturn     bool      // reboots do not end
	unreachable  bool      // cut off by SetUnreachable
	failsAll     bool      // every task that starts fails at once
	worker       worker
}

// entryVM is a VM that runs an entry process.
type entryVM struct {
	info   platformEntry
	states history
}

// history is the sequence of a VM's states, oldest first.
type history []stateChange

type stateChange struct {
	at    time.Time
	state fleet.VMState
}

func (h history) last() fleet.VMState { return h[len(h)-1].state }

// set appends a state unless the last one is the same.
func (h *history) set(at time.Time, state fleet.VMState) {
	if len(*h) > 0 && h.last() == state {
		return
	}
	*h = append(*h, stateChange{at, state})
}

// changeAt returns the last change at or before t; ok is false if there is none.
func (h history) changeAt(t time.Time) (change stateChange, ok bool) {
	for _, c := range slices.Backward(h) {
		if !c.at.After(t) {
			return c, true
		}
	}
	return stateChange{}, false
}

// trim drops the changes that no listing as of t or later can show.
func (h *history) trim(t time.Time) {
	for len(*h) > 1 && !(*h)[1].at.After(t) {
		*h = (*h)[1:]
	}
}

// advance advances all VMs to the clock's time, which it returns.
func (i *inventory) advance() time.Time {
	now := i.clock.Now()
	for _, v := range i.vms {
		i.advanceVM(v, now)
	}
	return now
}

// advanceVM ends the tasks, the dispatch lease and the reboot of a VM that have
// ended by now.
func (i *inventory) advanceVM(v *vm, now time.Time) {
	i.advanceTasks(v, now)
	if v.rebooting() && !v.noReturn && !v.rebootEndsAt.After(now) {
		v.states.set(v.rebootEndsAt, fleet.VMLive)
		v.rebootEndsAt = time.Time{}
	}
}

func (v *vm) rebooting() bool { return !v.rebootEndsAt.IsZero() }

// reachable reports whether the worker of the VM answers: the VM is not gone, not
// rebooting and not cut off by SetUnreachable.
func (v *vm) reachable() bool {
	return v.states.last() != fleet.VMGone && !v.rebooting() && !v.unreachable
}

// nextEvent returns the time of the next change that no call causes; ok is false
// if there is none.
func (i *inventory) nextEvent() (next time.Time, ok bool) {
	consider := func(t time.Time) {
		if !t.IsZero() && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	for _, v := range i.vms {
		if !v.noReturn {
			consider(v.rebootEndsAt)
		}
		for _, t := range v.worker.running() {
			consider(t.endsAt())
			consider(v.worker.leaseExpiresAt)
		}
	}
	return next, ok
}
