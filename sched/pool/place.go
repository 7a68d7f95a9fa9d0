package pool

import (
	"slices"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// usable reports whether v may get any new work.
func (p *Pool) usable(v *vm) bool {
	if !v.listed || !v.described() || v.replaced || !v.fenced || v.Draining || v.cordoned || p.evacuated[v.DataCentre] {
		return false
	}
	if !p.checksAdmission() && p.holdsOrphan(v) {
		return false // orphan runs take room that is not known
	}
	if p.now.Steady < v.noStartsUntil || p.now.Steady-v.lastAnswer > maxAnswerAge || p.leaseBoundPending(v) {
		return false
	}
	return !v.health.quarantined(p.now.Steady)
}

// checksAdmission reports whether the pool's workers refuse tasks that do not fit. While
// no catalog tells, it is assumed that they do not.
func (p *Pool) checksAdmission() bool {
	if p.catalog.Catalog == nil {
		return false
	}
	declared := p.catalog.Pools[p.settings.Pool]
	return declared != nil && declared.ChecksAdmission
}

// holdsOrphan reports whether the last listings of v have shown an orphan run that may still be
// there.
func (p *Pool) holdsOrphan(v *vm) bool {
	for _, on := range p.orphans {
		if on == v {
			return true
		}
	}
	return false
}

// leaseBoundPending reports whether a lease bound of v is recorded for a later
// owner or about to be. A start would grant a lease beyond the bound.
func (p *Pool) leaseBoundPending(v *vm) bool { return v.unanswered || p.storedLeaseBounds[v.ID] }

// maxAnswerAge is the age of the last answer above which a VM gets no new work and
// its listed state is no longer trusted: two renewal periods and a margin.
const maxAnswerAge = 2200 * time.Millisecond

// allowed reports whether the rules of t's step permit a run on v, and no run of t, or of its
// gang, has failed there within failedVMAvoidance.
func (p *Pool) allowed(t *task, v *vm) bool {
	spec := t.spec()
	if spec.Label != "" && !v.hasLabel(spec.Label) {
		return false
	}
	if spec.MaxPerVM > 0 && t.siblingsOn(v) >= spec.MaxPerVM {
		return false
	}
	return !t.history.failedOn[v.ID] || p.now.Steady-t.lastRunEnd > failedVMAvoidance
}

// failedVMAvoidance is how long a task stays away from VMs on which it has
// failed. After that it only prefers other VMs, since the pool may have no other.
const failedVMAvoidance = time.Second

// siblingsOn counts the runs of t's step and occurrence on v.
func (t *task) siblingsOn(v *vm) int {
	n := 0
	for _, sibling := range t.occ.tasks[t.step] {
		if sibling.vm == v {
			n++
		}
	}
	return n
}

// fits reports whether t's room is free on v.
func (t *task) fits(v *vm) bool { return t.room().Fits(v.free()) }

// room returns the resources that t occupies on a VM. Best-effort tasks occupy no
// processors.
func (t *task) room() fleet.Resources {
	need := t.spec().Need
	if t.spec().BestEffort {
		need.MilliCPU = 0
	}
	return need
}

// sortedVMs returns the VMs in order of their ids. The caller must not change the
// list.
func (p *Pool) sortedVMs() []*vm {
	if p.vmsByID == nil {
		p.vmsByID = make([]*vm, 0, len(p.vms))
		for _, v := range p.vms {
			p.vmsByID = append(p.vmsByID, v)
		}
		sort.Slice(p.vmsByID, func(i, k int) bool { return p.vmsByID[i].ID < p.vmsByID[k].ID })
	}
	return p.vmsByID
}

// vmsChanged records that a VM was added or removed, or has another address.
func (p *Pool) vmsChanged() {
	p.vmsByID = nil
	p.vmsVersion++
}

// VMsVersion returns a number that rises when a VM is added or removed, or has
// another address.
func (p *Pool) VMsVersion() int64 { return p.vmsVersion }

// candidates are the VMs that may get work in the current cycle, and the needs for
// which none of them has room. With many waiting tasks, most of them are turned away
// by the latter.
type candidates struct {
	usable       []*vm // in order of ids
	noRoom       []fleet.Resources
	noUnreserved []fleet.Resources // needs for which no VM without a reservation has room
}

// findCandidates updates the candidates. It must be called when VMs may have become
// usable or unusable.
func (p *Pool) findCandidates() {
	p.candidates.usable = p.candidates.usable[:0]
	p.candidates.forgetLacks()
	for _, v := range p.sortedVMs() {
		if p.usable(v) {
			p.candidates.usable = append(p.candidates.usable, v)
		}
	}
}

// forgetLacks drops what earlier searches have found, since room has become free.
func (c *candidates) forgetLacks() {
	c.noRoom, c.noUnreserved = c.noRoom[:0], c.noUnreserved[:0]
}

// lacksRoom reports whether no VM has room for need, as an earlier search has found.
func (c *candidates) lacksRoom(need fleet.Resources) bool { return lacks(c.noRoom, need) }

// lacksUnreserved reports whether no VM without a reservation has room for need, as an
// earlier search has found.
func (c *candidates) lacksUnreserved(need fleet.Resources) bool {
	return lacks(c.noUnreserved, need)
}

// lacks reports whether one of the needs for which there is no room is part of need.
func lacks(known []fleet.Resources, need fleet.Resources) bool {
	return slices.ContainsFunc(known, func(k fleet.Resources) bool { return k.Fits(need) })
}

// room returns what is free on all candidates together.
func (c *candidates) room() fleet.Resources {
	var sum fleet.Resources
	for _, v := range c.usable {
		free := v.free()
		sum = sum.Add(fleet.Resources{MilliCPU: max(0, free.MilliCPU), MemoryMB: max(0, free.MemoryMB), Accelerators: max(0, free.Accelerators)})
	}
	return sum
}

// choose returns the VM with the highest score among those that can take t now,
// or nil if there is none. Of equal ones, that with the lowest id is taken.
func (p *Pool) choose(t *task, reserved map[*vm]bool) *vm {
	need := t.room()
	if p.candidates.lacksRoom(need) {
		return nil
	}
	search := p.candidates.usable
	onlyReserved := p.candidates.lacksUnreserved(need)
	if onlyReserved {
		search = p.ahead.vms()
	}
	var best *vm
	var bestScore float64
	advice := p.adviceOf(t)
	room, unreserved := false, false
	for _, v := range search {
		if !need.Fits(v.free()) {
			continue
		}
		room = true
		unreserved = unreserved || p.ahead.byVM[v] == nil
		if reserved[v] || t.likelyCrashes > 1 && v.onProbation(t, p.now.Steady) || !p.allowed(t, v) || !p.mayUse(t, v) {
			continue
		}
		if _, ok := advice.ticketFor(v, p.now.Steady); !ok {
			continue
		}
		if score := p.score(t, v); best == nil || score > bestScore {
			best, bestScore = v, score
		}
	}
	if !room {
		p.candidates.noRoom = append(p.candidates.noRoom, need)
	}
	if !unreserved && !onlyReserved {
		p.candidates.noUnreserved = append(p.candidates.noUnreserved, need)
	}
	return best
}

// roomFor reports whether the VMs have room for a number of tasks like t.
func (p *Pool) roomFor(t *task, count int, reserved map[*vm]bool) bool {
	need, perVM := t.room(), t.spec().MaxPerVM
	if p.candidates.lacksRoom(need) {
		return false
	}
	room := false
	for _, v := range p.candidates.usable {
		if !need.Fits(v.free()) {
			continue
		}
		room = true
		if reserved[v] || !p.allowed(t, v) {
			continue
		}
		n := need.CountIn(v.free(), count)
		if perVM > 0 {
			n = min(n, perVM-t.siblingsOn(v))
		}
		if count -= n; count <= 0 {
			return true
		}
	}
	if !room {
		p.candidates.noRoom = append(p.candidates.noRoom, need)
	}
	return false
}

// Weights of the criteria of the placement score. Most criteria give 0 to 1; the
// weights order them so that, for example, data location outweighs balance.
const (
	weightNear    = 8.0  // the VM is in the rack of the task's data
	weightRack    = 4.0  // the VM is in the rack of other tasks of a same-rack step
	weightSpread  = 3.0  // penalty for latency-sensitive and best-effort tasks on the VM
	weightBalance = 1.0  // fraction of its processors that is free; a penalty with LookAhead.Pack
	weightPack    = 2.0  // long-running tasks on the VM
	weightHealth  = 6.0  // penalty for failed runs on the VM since its last success
	weightFailed  = 10.0 // penalty for failed runs of the task on the VM
	weightGivenUp = 10.0 // penalty if a run of the task was given up on the VM: it may leave calls unanswered
	weightCrash   = 20.0 // penalty for each task on the VM if the new one is likely to crash it
)

// longRunningIndicator returns 1 for a VM with long-running tasks and 0 for others.
func longRunningIndicator(v *vm) float64 {
	if v.longRunning > 0 {
		return 1
	}
	return 0
}

// score rates v as a place for t. Higher is better.
func (p *Pool) score(t *task, v *vm) float64 {
	spec := t.spec()
	score := weightBalance * freeFraction(v)
	if p.settings.LookAhead.Pack && spec.LatencyGoal == 0 && !spec.BestEffort {
		score = -score
	}
	if spec.NearRack != "" && spec.NearRack == v.Rack {
		score += weightNear
	}
	if spec.SameRack && t.rackOfSiblings() == v.Rack {
		score += weightRack
	}
	if spec.LatencyGoal > 0 {
		score -= weightSpread * (float64(v.latencySensitive) + bestEffortFraction(v))
	}
	if spec.BestEffort {
		score -= weightSpread * (float64(v.latencySensitive) + bestEffortFraction(v))
	}
	if spec.LongRunning && spec.LatencyGoal == 0 {
		// Long-running tasks are kept on few VMs, so that the others can be moved
		// to other pools.
		score += weightPack * longRunningIndicator(v)
	} else if !spec.LongRunning && v.longRunning > 0 {
		score += weightPack * 0.1
	}
	if t.likelyCrasher() {
		score -= weightCrash * float64(len(v.tasks))
	}
	if t.history.failedOn[v.ID] {
		score -= weightFailed
	}
	if slices.Contains(t.givenUpOn, v.ID) {
		score -= weightGivenUp
	}
	score -= weightHealth * v.health.failureScore()
	return score
}

// freeFraction returns the fraction of v's processors that is free, 0 to 1.
func freeFraction(v *vm) float64 {
	if v.Capacity.MilliCPU <= 0 {
		return 0
	}
	return float64(v.free().MilliCPU) / float64(v.Capacity.MilliCPU)
}

// bestEffortFraction returns the processors that v's best-effort tasks ask for, as a
// fraction of its capacity. It may exceed 1.
func bestEffortFraction(v *vm) float64 {
	if v.Capacity.MilliCPU <= 0 {
		return 0
	}
	return float64(v.bestEffortMilliCPU) / float64(v.Capacity.MilliCPU)
}

// rackOfSiblings returns the rack of a task of the same step that is on a VM, or
// "" if there is none.
func (t *task) rackOfSiblings() string {
	for _, sibling := range t.occ.tasks[t.step] {
		if sibling.vm != nil {
			return sibling.vm.Rack
		}
	}
	return ""
}
