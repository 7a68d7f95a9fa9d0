package memory

import (
	"slices"
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// goneRetention is how long the VM list still shows a VM that is gone.
const goneRetention = time.Hour

// Tasks that a worker runs and connections that its endpoint accepts at a time.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// inventory is the state that the workers, VMs and VM list services share. Its
// state is advanced to the clock's time at the start of each call.
type inventory struct {
	mu          sync.Mutex
	clock       fleet.Clock
	runner      Runner
	usageLag    time.Duration
	rebootTime  time.Duration
	listLag     time.Duration
	listed      time.Time // time of the newest listing
	feed        feed
	vms         map[fleet.VMID]*vm
	entries     map[string]*entryVM
	checkpoints map[stepKey]time.Duration // remaining run time of checkpointed steps
	placed      map[stepKey]*vm           // where each step that has not completed ran last
	starts      map[stepKey]int           // of each step on all workers
}

type stepKey struct {
	job  fleet.JobID
	step int
}

// vm is a VM with its worker.
type vm struct {
	info       fleet.VM // State is kept in states
	states     history
	rebootEnds time.Time // zero unless the VM restarts
	noReturn   bool      // the next reboot never ends
	unreached  bool
	failsAll   bool
	worker     worker
}

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

// set appends a state unless it is the present one.
func (h *history) set(at time.Time, state fleet.VMState) {
	if len(*h) > 0 && h.last() == state {
		return
	}
	*h = append(*h, stateChange{at, state})
}

// at returns the state at a time; ok is false before the first state.
func (h history) at(t time.Time) (change stateChange, ok bool) {
	for _, c := range slices.Backward(h) {
		if !c.at.After(t) {
			return c, true
		}
	}
	return stateChange{}, false
}

// trim drops the changes that no listing from t on can show.
func (h *history) trim(t time.Time) {
	for len(*h) > 1 && !(*h)[1].at.After(t) {
		*h = (*h)[1:]
	}
}

// advance brings all VMs to the clock's time, which it returns.
func (i *inventory) advance() time.Time {
	now := i.clock.Now()
	for _, v := range i.vms {
		i.advanceVM(v, now)
	}
	return now
}

func (i *inventory) advanceVM(v *vm, now time.Time) {
	i.advanceTasks(v, now)
	if v.rebooting() && !v.noReturn && !v.rebootEnds.After(now) {
		v.states.set(v.rebootEnds, fleet.VMLive)
		v.rebootEnds = time.Time{}
	}
}

func (v *vm) rebooting() bool { return !v.rebootEnds.IsZero() }

// reachable reports whether the worker of the VM answers at all.
func (v *vm) reachable() bool {
	return v.states.last() != fleet.VMGone && !v.rebooting() && !v.unreached
}

// nextEvent returns the time of the next change that needs no call.
func (i *inventory) nextEvent() (next time.Time, ok bool) {
	consider := func(t time.Time) {
		if !t.IsZero() && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	for _, v := range i.vms {
		if !v.noReturn {
			consider(v.rebootEnds)
		}
		for _, t := range v.worker.running() {
			consider(t.ends())
			consider(v.worker.expires)
		}
	}
	return next, ok
}
