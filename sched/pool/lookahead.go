package pool

import (
	"cmp"
	"math"
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

const (
	// minVMsPerReservation is the number of usable VMs for each on which room is reserved.
	minVMsPerReservation = 4
	// largeTaskFactor is how much larger than the mean task of the pool a task is that small
	// ones leave no room for.
	largeTaskFactor = 1.5
	// reservationSlip is how late the room of a reservation may be before its time is
	// estimated again.
	reservationSlip = 50 * time.Millisecond
	// maxReservationTime is the longest time for which one step has room reserved, and the
	// pause before it may have room reserved again. A step that is older than LookAhead.Age
	// keeps its reservation.
	maxReservationTime = 3 * time.Second
	// replanInterval is the least time between two searches for VMs for one step.
	replanInterval = 250 * time.Millisecond
	// contentionPause is the time after a task that could not wait has taken reserved room in
	// which no room is reserved, but for steps that are older than LookAhead.Age.
	contentionPause = 500 * time.Millisecond
	// yieldSlack is the time by which a job can still start later and meet its objective
	// below which a reservation no longer keeps it waiting. It covers some cycles.
	yieldSlack = 300 * time.Millisecond
	// minEstimateMargin is the least factor between the expected run time of a task and the
	// one by which it is assumed to have ended.
	minEstimateMargin = 1.2
	// overdueFraction is the part of its present run time for which a run that should have
	// ended is expected to go on.
	overdueFraction = 0.25
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
	planned     bool          // a plan has been made in this cycle

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
	p.ahead.meanShare, p.ahead.slackOf, p.ahead.planned = 0, nil, false
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
	if !r.aged && now >= r.replanAt {
		r.replanAt = now + replanInterval
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
	switch {
	case aged:
		limit = max(1, limit)
	case !s.feasible || limit <= 0 || p.ahead.planned || now < s.occ.noReservationUntil || now < p.ahead.pausedUntil:
		return
	}
	if !spec.Gang && !p.large(spec.Need) {
		return
	}
	p.ahead.planned = true
	s.occ.nextPlanAt = now + replanInterval
	plan := p.planStep(s, n, limit, nil, reserved)
	if len(plan) == 0 || plan[len(plan)-1].At <= now {
		return // it waits for something else than room
	}
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

// large reports whether a task with a need is larger than the mean of the runs of the pool.
func (p *Pool) large(need fleet.Resources) bool {
	if p.ahead.meanShare == 0 {
		var used fleet.Resources
		p.ahead.capacity = fleet.Resources{}
		tasks := 0
		for _, v := range p.candidates.usable {
			used, p.ahead.capacity = used.Add(v.used), p.ahead.capacity.Add(v.Capacity)
			tasks += len(v.tasks)
		}
		p.ahead.meanShare = math.SmallestNonzeroFloat64
		if tasks > 0 {
			p.ahead.meanShare = share(used, p.ahead.capacity) / float64(tasks)
		}
	}
	return share(need, p.ahead.capacity) >= largeTaskFactor*p.ahead.meanShare
}

// share returns the largest part of a capacity that a need takes of any resource.
func share(need, capacity fleet.Resources) float64 {
	part := 0.0
	for _, amount := range [][2]int64{{need.MilliCPU, capacity.MilliCPU}, {need.MemoryMB, capacity.MemoryMB}, {need.Accelerators, capacity.Accelerators}} {
		if amount[1] > 0 {
			part = max(part, float64(amount[0])/float64(amount[1]))
		}
	}
	return part
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
	return p.planStep(s, n, 1, present, nil)
}

// planStep returns the VMs on which n tasks of a step are expected to find room first, at
// most maxVMs of those without a reservation.
func (p *Pool) planStep(s *readyStep, n, maxVMs int, except *vm, reserved map[*vm]bool) []plannedSlot {
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
		if v == except || reserved[v] || p.ahead.byVM[v] != nil || !need.Fits(v.Capacity.Sub(v.heldForGood())) || !p.allowed(t, v) || v.onProbation(t, p.now.Steady) {
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

// forecast returns the state of v with the expected ends of its runs.
func (p *Pool) forecast(v *vm) lookahead.VM {
	f := lookahead.VM{Free: v.free(), Runs: make([]lookahead.Run, 0, len(v.tasks))}
	for t := range v.tasks {
		f.Runs = append(f.Runs, lookahead.Run{Room: t.room(), End: p.expectedEnd(t)})
	}
	return f
}

// expectedEnd returns when the newest run of t, which is active, is expected to end.
func (p *Pool) expectedEnd(t *task) time.Duration {
	now := p.now.Steady
	switch {
	case t.stopSentAt > 0:
		return max(now, t.stopSentAt+p.settings.StopGrace)
	case t.spec().LongRunning:
		return lookahead.Never
	}
	start := t.since
	if t.phase != running {
		start += p.startTime
	}
	if end := start + p.expectedRunTime(t.occ.job.spec.Queue, t.spec()); end > now {
		return end
	}
	return now + max(minRunTime, time.Duration(overdueFraction*float64(now-start)))
}

// assumedEnd returns the time by which a run of t that is placed now is assumed to have ended,
// with a margin for the errors that the estimates of its queue have had.
func (p *Pool) assumedEnd(t *task) time.Duration {
	if t.spec().LongRunning {
		return lookahead.Never
	}
	queue := t.occ.job.spec.Queue
	return p.now.Steady + p.startTime + time.Duration(p.estimateMargin(queue)*float64(p.expectedRunTime(queue, t.spec())))
}

// estimateMargin returns the factor that is put on the run times of a queue's tasks where an
// end that comes late would delay others.
func (p *Pool) estimateMargin(queue string) float64 {
	m := p.runTimes[queue]
	if m == nil {
		m = newRunTimeModel(0)
		return max(minEstimateMargin, math.Exp(math.Sqrt(m.varY)))
	}
	return max(minEstimateMargin, math.Exp(m.deviation()))
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
