package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/lookahead"
)

// LookAhead are the settings of placement that takes into account which tasks wait and which
// runs end soon. Its zero value switches it off.
type LookAhead struct {
	// MaxVMs is the largest number of VMs on which room is reserved at a time; 0 means that
	// none is. It is at most one in minVMsPerReservation of the usable VMs, but one at least.
	MaxVMs int
	// Age is the time that a step has been ready, without room, after which room is reserved
	// for it also if its job will be late, and whether others can wait or not; 0 means never.
	Age time.Duration
	// Pack has tasks placed on the VM with the least room that they fit on, and not on the one
	// with the most, so that whole VMs stay free.
	Pack bool
}

// Check returns an error if a setting is out of range.
func (l LookAhead) Check() error {
	if l.MaxVMs < 0 || l.Age < 0 {
		return fmt.Errorf("look ahead: neither %d VMs nor an age of %v may be negative", l.MaxVMs, l.Age)
	}
	return nil
}

const (
	// minVMsPerReservation is the number of usable VMs for each on which room is reserved.
	minVMsPerReservation = 4
	// reservationSlip is how late the room of a reservation may be before its time is
	// estimated again.
	reservationSlip = 50 * time.Millisecond
	// maxReservationTime is the longest time for which one step has room reserved, and the
	// pause before it may have room reserved again. A step that is older than LookAhead.Age
	// keeps its reservation.
	maxReservationTime = 3 * time.Second
	// replanInterval is the least time between two searches for VMs for one step.
	replanInterval = 250 * time.Millisecond
	// minPlanDelay and maxPlanDelay bound the pause after a search for VMs without a result,
	// which doubles.
	minPlanDelay, maxPlanDelay = time.Second, 16 * time.Second
	// contentionPause is the time after a task that could not wait has taken reserved room in
	// which no room is reserved, but for steps that are older than LookAhead.Age.
	contentionPause = 500 * time.Millisecond
	// yieldSlack is the time by which a job can still start later and meet its objective
	// below which a reservation no longer keeps it waiting. It covers some cycles.
	yieldSlack = 300 * time.Millisecond
)

// Reasons for the end of a reservation.
const (
	reservationUsed      = "used" // its tasks were placed on its VM
	reservationElsewhere = "placed elsewhere"
	reservationUnusable  = "VM unusable"
	reservationJobEnded  = "job ended"
	reservationCap       = "cap"
	reservationTooLong   = "too long"
	reservationLate      = "late"      // the job cannot be on time any more
	reservationOvertaken = "overtaken" // a task that could not wait took the room
	reservationOlder     = "for an older step"
	reservationMoved     = "another VM is free earlier"
	reservationNoRoom    = "room taken for good"
)

// reservation is room on a VM that is kept for the waiting tasks of a step.
type reservation struct {
	lookahead.Reservation
	occ    *occurrence
	step   int
	vm     *vm
	madeAt time.Duration
	aged   bool // the step has waited for longer than LookAhead.Age

	waiting  *readyStep      // in the present cycle; nil if none of the step's tasks is ready
	priority int             // of the queue, the lowest first
	overdue  bool            // the room was not free at the time that was expected first
	replanAt time.Duration   // no other VM is looked for before
	beside   fleet.Resources // what others may take on the VM, by besideOf
	besideOf fleet.Resources // use of the VM for which beside is known; meaningful if besideAt is the present time
	besideAt time.Duration
}

// reservations are the reservations of a pool.
type reservations struct {
	list        []*reservation
	byVM        map[*vm]*reservation
	placing     *readyStep // that is being placed, nil if none is
	slack       time.Duration
	slackOf     *readyStep    // for which slack is known
	pausedUntil time.Duration // no room is reserved before
	planned     bool          // VMs have been searched for in this cycle
	plannedOld  bool          // the same, for a step that is older than LookAhead.Age

	meanShare float64         // part of the pool that a task takes, on average; 0 if it is not known in this cycle
	capacity  fleet.Resources // of the usable VMs, if meanShare is known
}

// vms returns the VMs with reservations in order of their ids.
func (a *reservations) vms() []*vm {
	list := make([]*vm, 0, len(a.list))
	for _, r := range a.list {
		list = append(list, r.vm)
	}
	slices.SortFunc(list, func(x, y *vm) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// maxReservedByLookAhead returns the largest number of VMs on which room is reserved.
func (p *Pool) maxReservedByLookAhead() int {
	return min(p.settings.LookAhead.MaxVMs, max(1, len(p.candidates.usable)/minVMsPerReservation))
}

// refreshReservations drops the reservations that are no longer of use.
func (p *Pool) refreshReservations() {
	p.ahead.meanShare, p.ahead.slackOf = 0, nil
	p.ahead.planned, p.ahead.plannedOld = false, false
	if len(p.ahead.list) == 0 {
		return
	}
	for _, r := range p.ahead.list {
		r.waiting = nil
	}
	for i := range p.ready.steps {
		for _, r := range p.ahead.list {
			if s := &p.ready.steps[i]; s.occ == r.occ && s.step == r.step {
				r.waiting = s
			}
		}
	}
	for _, r := range slices.Clone(p.ahead.list) {
		if reason := p.whyDropped(r); reason != "" {
			p.drop(r, reason)
		}
	}
}

// whyDropped returns why a reservation is no longer of use, or "" if it is. It updates the
// time at which its room is expected to be free.
func (p *Pool) whyDropped(r *reservation) string {
	now := p.now.Steady
	switch {
	case p.ahead.byVM[r.vm] != r:
		return "" // dropped with another one of its step
	case r.occ.job.state.Final():
		return reservationJobEnded
	case r.waiting == nil:
		return reservationElsewhere
	case p.vms[r.vm.ID] != r.vm || !p.usable(r.vm) || !p.allowed(r.occ.tasks[r.step][0], r.vm):
		return reservationUnusable
	case !p.withinCap(r.occ.job.spec.Workspace, r.Need.Times(r.Tasks)):
		return reservationCap
	}
	s := r.waiting
	r.aged = r.aged || p.old(s) && !p.hasAged()
	switch {
	case !r.aged && now-r.madeAt > maxReservationTime:
		return reservationTooLong
	case now <= r.At+reservationSlip:
		return ""
	}
	r.overdue = true
	v := p.forecast(r.vm)
	at := v.FreeAt(r.Need.Times(r.Tasks), now)
	if at == lookahead.Never {
		return reservationNoRoom
	}
	if !r.aged && !p.onTimeFrom(s, at) {
		return reservationLate
	}
	if now >= r.replanAt {
		r.replanAt = now + replanInterval
		if r.aged {
			r.replanAt = now + maxReservationTime
		}
		if best := p.planFor(s, r.Tasks, r.vm); len(best) == r.Tasks && best[r.Tasks-1].At+reservationSlip < at {
			return reservationMoved
		}
	}
	r.At = at
	return ""
}

// drop ends a reservation, and with it the others of a gang, which are of no use alone.
func (p *Pool) drop(r *reservation, reason string) {
	gang := r.occ.job.spec.Steps[r.step].Gang
	used := reason == reservationUsed
	for _, other := range slices.Clone(p.ahead.list) {
		if other != r && !(gang && other.occ == r.occ && other.step == r.step) {
			continue
		}
		delete(p.ahead.byVM, other.vm)
		p.candidates.noUnreserved = p.candidates.noUnreserved[:0]
		p.ahead.list = slices.DeleteFunc(p.ahead.list, func(x *reservation) bool { return x == other })
		if used {
			p.stats.ReservationsUsed++
		} else {
			p.stats.ReservationsDropped++
		}
		if reason == reservationTooLong || reason == reservationLate {
			other.occ.noReservationUntil = p.now.Steady + maxReservationTime
		}
		p.log.Info("reservation_ended", zap.String("step", stepName(other.occ.tasks[other.step][0])), zap.String("vm", other.vm.ID),
			zap.Bool("used", used), zap.String("reason", reason), zap.Duration("held", p.now.Steady-other.madeAt), zap.Duration("late", p.now.Steady-other.At))
	}
}

// noteUse ends the reservation of t's step on its VM once all tasks of the reservation are
// placed there.
func (p *Pool) noteUse(t *task) {
	r := p.ahead.byVM[t.vm]
	if r == nil {
		return
	}
	if r.occ != t.occ || r.step != t.step {
		if free := p.besideReservation(r); !(fleet.Resources{}).Fits(free) && (r.overdue || p.assumedEnd(t) > r.At) {
			p.stats.ReservationsOvertaken++
			p.ahead.pausedUntil = p.now.Steady + contentionPause
			p.drop(r, reservationOvertaken)
		}
		return
	}
	r.besideAt = 0
	if r.Tasks > 1 {
		r.Tasks--
		return
	}
	p.drop(r, reservationUsed)
}

// reserveAhead reserves room for n tasks of a step that fit on no VM now, if the step is large.
func (p *Pool) reserveAhead(s *readyStep, n int, reserved map[*vm]bool) {
	now := p.now.Steady
	spec := &s.job.spec.Steps[s.step]
	if p.settings.LookAhead.MaxVMs <= 0 || now < s.occ.nextPlanAt || spec.LongRunning || spec.BestEffort || p.hasReservation(s) ||
		!spec.Gang && !p.candidates.lacksUnreserved(s.tasks[0].room()) {
		return
	}
	limit := p.maxReservedByLookAhead() - len(p.ahead.list)
	aged := p.old(s) && !p.hasAged()
	planned := &p.ahead.planned
	if aged {
		planned = &p.ahead.plannedOld
		limit = max(1, limit)
		if spec.Gang { // it may need more VMs than others
			limit = max(limit, min(n, len(p.candidates.usable)/minVMsPerReservation))
		}
	}
	if *planned || limit <= 0 || !aged && (!s.feasible || now < s.occ.noReservationUntil || now < p.ahead.pausedUntil) || !spec.Gang && !p.large(spec.Need) {
		return
	}
	*planned = true
	plan := p.planStep(s, n, limit, aged, nil, reserved)
	if len(plan) == 0 || plan[len(plan)-1].At <= now { // it waits for something else than room
		s.occ.planDelay = min(maxPlanDelay, max(minPlanDelay, 2*s.occ.planDelay))
		s.occ.nextPlanAt = now + s.occ.planDelay
		return
	}
	s.occ.planDelay, s.occ.nextPlanAt = 0, now+replanInterval
	byVM := map[*vm]*reservation{}
	var made []*reservation
	for _, slot := range plan {
		if !aged && !spec.Gang && !p.onTimeFrom(s, slot.At) {
			break
		}
		r := byVM[slot.vm]
		if r == nil {
			r = &reservation{Reservation: lookahead.Reservation{Need: s.tasks[0].room()}, occ: s.occ, step: s.step, vm: slot.vm, madeAt: now, aged: aged, priority: s.priority}
			byVM[slot.vm] = r
			made = append(made, r)
		}
		r.Tasks++
		r.At = slot.At
	}
	if last := plan[len(plan)-1].At; spec.Gang && !aged && !p.onTimeFrom(s, last) {
		return
	}
	for _, r := range made {
		if p.ahead.byVM == nil {
			p.ahead.byVM = map[*vm]*reservation{}
		}
		if other := p.ahead.byVM[r.vm]; other != nil {
			p.drop(other, reservationOlder)
		}
		p.ahead.byVM[r.vm] = r
		p.ahead.list = append(p.ahead.list, r)
		p.stats.Reservations++
		p.log.Info("reservation", zap.String("step", stepName(s.tasks[0])), zap.String("vm", r.vm.ID), zap.Int("tasks", r.Tasks), zap.Int("waiting", n),
			zap.Duration("expected_in", r.At-now), zap.Duration("waited", now-p.readySince(s)), zap.String("reason", reservationReason(spec, aged)))
	}
}

func reservationReason(spec *job.Step, aged bool) string {
	switch {
	case aged:
		return "waits for long"
	case spec.Gang:
		return "gang"
	}
	return "large"
}

// readySince returns since when the waiting tasks of a step could be placed.
func (p *Pool) readySince(s *readyStep) time.Duration {
	since := s.occ.openedAt.Steady
	for _, earlier := range s.job.spec.Steps[s.step].After {
		for _, t := range s.occ.tasks[earlier] {
			since = max(since, t.since)
		}
	}
	return since
}

// old reports whether a step has waited for longer than LookAhead.Age.
func (p *Pool) old(s *readyStep) bool {
	age := p.settings.LookAhead.Age
	return age > 0 && p.now.Steady-p.readySince(s) > age
}

func (p *Pool) hasReservation(s *readyStep) bool {
	return slices.ContainsFunc(p.ahead.list, func(r *reservation) bool { return r.occ == s.occ && r.step == s.step })
}

func (p *Pool) hasAged() bool {
	return slices.ContainsFunc(p.ahead.list, func(r *reservation) bool { return r.aged })
}

// onTimeFrom reports whether the job of a step can meet its objective if the step starts at a
// time.
func (p *Pool) onTimeFrom(s *readyStep, at time.Duration) bool {
	remaining, _ := p.estimateChains(s.job.spec, s.occ.remaining)
	if s.started {
		remaining = time.Duration(startedTimeFraction * float64(remaining))
	}
	return at+remaining <= s.deadline
}

// plannedSlot is a place for a task that waits.
type plannedSlot struct {
	vm *vm
	At time.Duration
}

// planFor plans n tasks of a step on one VM other than that of their reservation.
func (p *Pool) planFor(s *readyStep, n int, present *vm) []plannedSlot {
	if s.job.spec.Steps[s.step].Gang {
		return nil // it would have to be planned as a whole
	}
	return p.planStep(s, n, 1, false, present, nil)
}

// planStep returns the VMs on which n tasks of a step are expected to find room first, at
// most maxVMs of those without a reservation. An aged step also gets VMs with reservations of
// steps that are not.
func (p *Pool) planStep(s *readyStep, n, maxVMs int, aged bool, except *vm, reserved map[*vm]bool) []plannedSlot {
	t := s.tasks[0]
	spec, need := t.spec(), t.room()
	advice := p.adviceOf(t)
	rack := spec.NearRack
	if spec.SameRack {
		rack = cmp.Or(rack, t.rackOfSiblings())
	}
	var vms []lookahead.VM
	var index []*vm
	for _, v := range p.candidates.usable {
		other := p.ahead.byVM[v]
		if v == except || reserved[v] || other != nil && (!aged || other.aged) || !need.Fits(v.Capacity.Sub(v.heldForGood())) || !p.allowed(t, v) || t.likelyCrashes > 1 && v.onProbation(t, p.now.Steady) {
			continue
		}
		if _, ok := advice.ticketFor(v, p.now.Steady); !ok {
			continue
		}
		f := p.forecast(v)
		if spec.MaxPerVM > 0 {
			f.MaxTasks = spec.MaxPerVM - t.siblingsOn(v)
		}
		f.Preferred = rack != "" && v.Rack == rack
		vms, index = append(vms, f), append(index, v)
	}
	plan := lookahead.Plan(vms, lookahead.Request{Need: need, Tasks: n, Gang: spec.Gang, MaxVMs: maxVMs}, p.now.Steady)
	slots := make([]plannedSlot, len(plan))
	for i, slot := range plan {
		slots[i] = plannedSlot{index[slot.VM], slot.At}
	}
	return slots
}

// mayUse reports whether a task of the step that is being placed may take room on v beside
// the reservation there.
func (p *Pool) mayUse(t *task, v *vm) bool {
	r := p.ahead.byVM[v]
	s := p.ahead.placing
	if r == nil || s == nil || r.occ == t.occ && r.step == t.step {
		return true
	}
	if s.longRunning || s.priority < r.priority {
		return true
	}
	if !r.overdue && p.assumedEnd(t) <= r.At || t.room().Fits(p.besideReservation(r)) {
		return true
	}
	if r.aged || !s.feasible || p.slackOfPlacing() >= yieldSlack {
		return false
	}
	return true
}

// besideReservation returns what tasks of other steps may take on the VM of a reservation
// without a delay of its tasks.
func (p *Pool) besideReservation(r *reservation) fleet.Resources {
	if r.besideAt != p.now.Steady || r.besideOf != r.vm.used {
		f := p.forecast(r.vm)
		r.beside, r.besideOf, r.besideAt = f.Beside(r.Reservation), r.vm.used, p.now.Steady
	}
	return r.beside
}

// slackOfPlacing returns by how much later the step that is being placed could still start
// and its job meet its objective, with the margin for the errors of estimates.
func (p *Pool) slackOfPlacing() time.Duration {
	s := p.ahead.placing
	if p.ahead.slackOf != s {
		remaining, _ := p.estimateChains(s.job.spec, s.occ.remaining)
		remaining = time.Duration(p.estimateMargin(s.job.spec.Queue) * float64(remaining))
		p.ahead.slack, p.ahead.slackOf = s.deadline-p.now.Steady-remaining-feasibleMargin, s
	}
	return p.ahead.slack
}
