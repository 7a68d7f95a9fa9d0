package pool

import (
	"time"

	"go.uber.org/zap"
)

// minListGap is the least time from the arrival of one list of machines to the request of the
// next, which together prove the end of a VM: a list may be some 100 ms old, and a machine may
// change its place between two pages of one list.
const minListGap = time.Second

// ListedMachine is an entry of the platform's inventory.
type ListedMachine struct {
	Name   string
	Worker string // id of the VM that is the machine's present life; empty if it has none now
}

// ListProof collects the complete lists of machines that show that something has ended. One list
// proves nothing: it may be from before the fact, and lists may be missing while the inventory
// does not answer. Two of them do, the second of which was requested a while after the first
// arrived. The zero value holds no list.
type ListProof struct {
	shown       bool
	requestedAt time.Duration // request of the first list, steady clock
	arrivedAt   time.Duration // when it arrived
}

// Add takes a list that shows the end, and reports whether it is proved: the list was requested
// at least gap after the arrival of the first one. Lists come in the order of their requests.
func (p *ListProof) Add(requestedAt, arrivedAt, gap time.Duration) bool {
	if !p.shown {
		*p = ListProof{true, requestedAt, arrivedAt}
		return false
	}
	return requestedAt-p.arrivedAt >= gap
}

// AwaitsInventory reports whether a silent VM may have runs, so that it matters whether it has
// ended for good.
func (p *Pool) AwaitsInventory() bool {
	for _, v := range p.vms {
		if v.silent() && p.mayHoldRuns(v) {
			return true
		}
	}
	return false
}

// MachinesListed takes a complete list of all machines, whose request was sent at requestedAt on
// the steady clock. Lists come in the order of their requests. A VM that has not answered since
// the request of the first of two lists, at least minListGap apart, which show that it has ended
// for good loses its runs once it counts as silent. A list without machines proves nothing.
func (p *Pool) MachinesListed(list []ListedMachine, requestedAt time.Duration) {
	if len(list) == 0 {
		return
	}
	inventory := newInventory(list)
	for _, v := range p.sortedVMs() {
		shown := inventory.showsEnded(v)
		switch {
		case shown == "":
			v.end = ListProof{}
			continue
		case v.end.shown && v.answeredSince(v.end.requestedAt):
			v.end = ListProof{}
		}
		if v.end.Add(requestedAt, p.now.Steady, minListGap) && v.silent() && p.mayHoldRuns(v) {
			p.endForGood(v, shown)
		}
	}
}

// silent reports whether v has left its last renewal unanswered or has not answered this owner
// yet.
func (v *vm) silent() bool { return v.unanswered || !v.contacted }

// answeredSince reports whether v has answered a call after at, on the steady clock.
func (v *vm) answeredSince(at time.Duration) bool {
	if v.lastAnswer > at {
		return true
	}
	for t := range v.tasks {
		if t.phase == running && t.since > at || t.stopAnsweredAt > at {
			return true
		}
	}
	return false
}

// inventory is a complete list of machines.
type inventory struct {
	workers  map[string]bool // ids of the VMs that it names
	machines map[string]bool // by name: all its entries name a VM
}

func newInventory(list []ListedMachine) inventory {
	i := inventory{workers: make(map[string]bool, len(list)), machines: make(map[string]bool, len(list))}
	for _, m := range list {
		namesVM, listed := i.machines[m.Name]
		i.machines[m.Name] = m.Worker != "" && (namesVM || !listed)
		if m.Worker != "" {
			i.workers[m.Worker] = true
		}
	}
	return i
}

// showsEnded returns what shows that v has ended for good, and "" if nothing does. A machine
// without a VM, for example one that is down, may get the same VM again.
func (i inventory) showsEnded(v *vm) string {
	machine := v.identity().Machine
	if machine == "" || i.workers[v.ID] {
		return ""
	}
	namesVM, listed := i.machines[machine]
	switch {
	case !listed:
		return "machine has left the inventory"
	case namesVM:
		return "machine is another VM"
	}
	return ""
}

// endForGood loses the runs on v, which has ended for good. A start that is being sent is left
// until its call ends, and a placed run until its record is durable. The runs are counted as
// crashes only once the machine has answered as another VM, as at the end of their leases.
func (p *Pool) endForGood(v *vm, shown string) {
	var lost []*task
	for _, t := range v.sortedTasks() {
		if t.phase == running || t.phase == unconfirmed {
			lost = append(lost, t)
		}
	}
	if v.replaced && len(lost) == 0 && !p.holdsOrphan(v) {
		return // only a start that is being sent is left
	}
	planned := v.Draining || v.cordoned
	p.log.Info("vm_ended", zap.String("vm", v.ID), zap.String("machine", v.identity().Machine), zap.String("inventory", shown),
		zap.Bool("planned", planned), zap.Int("tasks", len(v.tasks)), zap.Duration("answer_age", p.now.Steady-v.lastAnswer))
	v.replaced = true
	p.forgetOrphans(v)
	if !planned {
		p.rememberLost(v, lost)
	}
	for _, t := range lost {
		t.late = lateStart{} // nobody is left to carry a call out
		p.markLost(t, shown)
	}
	if !v.listed && !p.mayHoldRuns(v) {
		p.remove(v)
	}
}
