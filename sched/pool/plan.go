package pool

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/capshare"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
)

// Parameters of the check whether a job can still meet its objective.
const (
	// feasibleMargin is added to the estimate of the work that remains. It covers
	// the write of one record, the start and the listing.
	feasibleMargin = 150 * time.Millisecond
	// startedTimeFraction is the fraction of its remaining estimate that a started
	// job must have time for. Estimates are off by half, and giving the job up would
	// waste the work that is done (docs/MEASUREMENTS.md, section 8).
	startedTimeFraction = 0.5
	// lateFactor is the multiple of its objective up to which a job that is completed late is
	// still of use to its caller.
	lateFactor = 3
)

// readyStep is a step with tasks that are ready to be placed.
type readyStep struct {
	job         *jobState
	occ         *occurrence
	step        int
	tasks       []*task
	priority    int
	longRunning bool
	outlook
	rank int64 // by rankOf
}

// outlook is what can still become of an occurrence.
type outlook struct {
	started  bool          // a run of the occurrence has been placed before
	feasible bool          // the objective can still be met
	tooLate  bool          // not even lateFactor times the objective can be met
	deadline time.Duration // on the steady clock: the objective, or lateFactor times the objective if only that can be met
}

// plan gives up runs whose leases have expired, opens occurrences that are due
// and places ready tasks.
func (p *Pool) plan() {
	p.expireLeases()
	p.expireLateEnds()
	p.finishDoneEarlier()
	p.findCandidates()
	p.collectReady()
	p.demand = p.workspaceDemand(p.ready.steps)
	clear(p.capWaits)
	reserved := map[*vm]bool{}
	p.refreshReservations()
	for _, i := range p.ready.sorted() {
		p.ahead.placing = &p.ready.steps[i]
		p.placeStep(&p.ready.steps[i], reserved)
	}
	p.ahead.placing = nil
}

// readySteps are the steps with tasks to place in one cycle. The memory is used again in
// the next cycle, since in an overload there are thousands.
type readySteps struct {
	steps []readyStep
	tasks []*task // of all steps
	order []int32 // indices of steps
}

func (r *readySteps) reset() {
	clear(r.steps)
	clear(r.tasks)
	r.steps, r.tasks, r.order = r.steps[:0], r.tasks[:0], r.order[:0]
}

// sorted returns the indices of the steps in the order in which they are placed.
func (r *readySteps) sorted() []int32 {
	for i := range r.steps {
		r.order = append(r.order, int32(i))
	}
	slices.SortFunc(r.order, func(i, k int32) int {
		a, b := &r.steps[i], &r.steps[k]
		switch {
		case a.rank != b.rank:
			return cmp.Compare(a.rank, b.rank)
		case a.deadline != b.deadline:
			return cmp.Compare(a.deadline, b.deadline)
		}
		return cmp.Compare(i, k)
	})
	return r.order
}

// expireLeases gives up the runs on VMs whose lease bound has passed, and drops their orphan runs.
func (p *Pool) expireLeases() {
	for _, v := range p.vms {
		if v.contacted && p.now.Steady <= v.confirmedUntil() || p.awaitsListing(v) {
			continue
		}
		p.storeBoundOfUnlisted(v)
		expired := p.expiredTasks(v)
		p.rememberLost(v, expired)
		for _, t := range expired {
			p.markLost(t, "lease expired on a VM that does not answer")
		}
		p.expireOrphans(v)
		if !v.listed && !p.mayHoldRuns(v) && p.now.Steady > v.confirmedUntil() {
			p.remove(v)
		}
	}
}

// unlistedGrace is the time after a takeover in which the VMs of inherited runs are seen in
// discovery.
const unlistedGrace = time.Second

// storeBoundOfUnlisted has the lease bound of v stored for a later owner if v has runs of earlier
// owners and is not in discovery, so that nobody asks it. Each later owner would count anew.
func (p *Pool) storeBoundOfUnlisted(v *vm) {
	if v.listed || v.contacted || v.boundDue || len(v.tasks) == 0 || p.now.Steady-p.startedAt.Steady < unlistedGrace {
		return
	}
	v.boundDue = true
	p.leaseBoundsChanged = true
}

// expiredTasks returns the tasks on v whose runs have ended with their leases. A start that is
// being sent grants a lease of its own.
func (p *Pool) expiredTasks(v *vm) []*task {
	var expired []*task
	for _, t := range v.sortedTasks() {
		if (t.phase == running || t.phase == unconfirmed) && p.now.Steady > v.leaseEnd(t) {
			expired = append(expired, t)
		}
	}
	return expired
}

// collectReady drops final jobs from openJobs and collects the steps of the others
// that have tasks to place.
func (p *Pool) collectReady() {
	p.ready.reset()
	kept := p.openJobs[:0]
	for _, j := range p.openJobs {
		if j.state.Final() {
			continue
		}
		kept = append(kept, j)
		if p.heldBack[j.spec.ID] {
			continue
		}
		p.openDue(j)
		for _, o := range j.open {
			p.collectOccurrence(o)
		}
	}
	clear(p.openJobs[len(kept):])
	p.openJobs = kept
}

// mayOpen reports whether a job has an occurrence to open, once it is due. The number of
// open ones is bounded: those of a job whose first run is long past are all due at once.
func (j *jobState) mayOpen() bool {
	return j.nextOpen < j.spec.Occurrences() && len(j.open) < j.spec.MaxOpen()
}

// openDue creates the occurrences of a job that are due.
func (p *Pool) openDue(j *jobState) {
	for j.mayOpen() {
		due := j.spec.Due(j.nextOpen)
		if due > p.now.Wall {
			return
		}
		j.open = append(j.open, p.newOccurrence(j, j.nextOpen, due))
		j.nextOpen++
		j.dirty = true
	}
}

func (p *Pool) newOccurrence(j *jobState, number int, due int64) *occurrence {
	o := &occurrence{job: j, number: number, dueMS: due, openedAt: p.now}
	if due > 0 {
		o.openedAt = p.now.Add(-time.Duration(p.now.Wall-due) * time.Millisecond)
	} else {
		o.openedAt = j.acceptedAt
	}
	position := 0
	for s := range j.spec.Steps {
		tasks := make([]*task, j.spec.Steps[s].Count)
		histories := make([]history, len(tasks))
		if j.spec.Steps[s].Gang {
			histories = make([]history, 1)
		}
		for i := range tasks {
			tasks[i] = &task{occ: o, step: s, index: i, position: position, history: &histories[min(i, len(histories)-1)], name: TaskName(j.spec.ID, number, s, i), throttlePercent: 100}
			position++
		}
		o.tasks = append(o.tasks, tasks)
		o.remaining = append(o.remaining, len(tasks))
	}
	return o
}

// collectOccurrence collects the ready steps of an occurrence.
func (p *Pool) collectOccurrence(o *occurrence) {
	q := p.queueOf(o.job)
	firstNew := len(p.ready.steps)
	for s := range o.tasks {
		if o.remaining[s] == 0 || !o.ready(s) {
			continue
		}
		firstTask := len(p.ready.tasks)
		for _, t := range o.tasks[s] {
			if t.phase == waiting && (len(p.orphans) == 0 || p.orphans[t.name] == nil) {
				p.ready.tasks = append(p.ready.tasks, t)
			}
		}
		tasks := p.ready.tasks[firstTask:]
		if len(tasks) == 0 {
			continue
		}
		r := readyStep{job: o.job, occ: o, step: s, tasks: tasks, longRunning: o.job.spec.Steps[s].LongRunning}
		if q != nil {
			r.priority = q.Priority
		}
		p.ready.steps = append(p.ready.steps, r)
	}
	if firstNew == len(p.ready.steps) {
		return
	}
	outlook := p.outlookOf(o)
	for i := firstNew; i < len(p.ready.steps); i++ {
		r := &p.ready.steps[i]
		r.outlook = outlook
		r.rank = r.rankOf()
	}
}

// outlookOf estimates by when an occurrence can be completed.
func (p *Pool) outlookOf(o *occurrence) outlook {
	remaining, chain := p.estimateChains(o.job.spec, o.remaining)
	objective := objectiveOf(p.queueOf(o.job), chain)
	need := remaining + feasibleMargin
	started := o.started()
	if started {
		need = time.Duration(startedTimeFraction * float64(remaining))
	}
	l := outlook{started: started, deadline: o.openedAt.Steady + objective}
	latest := o.openedAt.Steady + lateFactor*objective
	switch completed := p.now.Steady + need; {
	case completed <= l.deadline:
		l.feasible = true
	case completed <= latest:
		l.deadline = latest
	default:
		l.tooLate = true
	}
	return l
}

// queueOf returns the declarations of a job's queue. Those under which the job was accepted
// hold once the queue is no longer declared. The result is nil if neither is known.
func (p *Pool) queueOf(j *jobState) *catalog.Queue {
	if q := p.catalog.queue(j.spec.Queue); q != nil {
		return q
	}
	if terms := j.spec.Terms; terms != nil && j.formerQueue == nil {
		j.formerQueue = &catalog.Queue{Name: j.spec.Queue, Pool: p.settings.Pool, Priority: terms.Priority,
			MaxAttempts: terms.MaxAttempts, Stretch: terms.Stretch, Target: terms.Target}
		if a := terms.Advice; a != nil {
			j.formerQueue.Advice = &catalog.Advice{CallTime: a.CallTime, TimePerVM: a.TimePerVM, Validity: a.Validity}
		}
	}
	return j.formerQueue
}

// objectiveOf returns the time in which a job of a queue with the given longest chain
// of run times should be completed.
func objectiveOf(q *catalog.Queue, chain time.Duration) time.Duration {
	if q == nil {
		return chain
	}
	return time.Duration(min(float64(maxObjective), float64(chain)*max(1, q.Stretch))) + min(maxObjective, q.Target)
}

// maxObjective bounds an objective, so that lateFactor times it stays in range.
const maxObjective = 10 * 365 * 24 * time.Hour

// objective returns the time in which one occurrence of a job should be completed, by
// the expected run times of its tasks.
func (p *Pool) objective(j *jobState) time.Duration {
	_, chain := p.estimateChains(j.spec, make([]int, len(j.spec.Steps)))
	return objectiveOf(p.queueOf(j), chain)
}

// started reports whether a run of any task has been placed.
func (o *occurrence) started() bool {
	for _, step := range o.tasks {
		for _, t := range step {
			if t.run > 0 {
				return true
			}
		}
	}
	return false
}

// fewSteps is the number of steps that most jobs do not exceed.
const fewSteps = 8

// estimateChains estimates the run times of two chains of dependent steps of a job,
// given the number of tasks that remain of each step: the longest chain that remains,
// with the time that starts take, and the longest of all.
func (p *Pool) estimateChains(spec *job.Spec, remainingTasks []int) (remaining, chain time.Duration) {
	steps := spec.Steps
	var few [2 * fewSteps]time.Duration // spares most calls an allocation
	ends, endsRemaining := few[:fewSteps], few[fewSteps:]
	if len(steps) > fewSteps {
		ends, endsRemaining = make([]time.Duration, len(steps)), make([]time.Duration, len(steps))
	}
	for s := range steps {
		var from, fromRemaining time.Duration
		for _, earlier := range steps[s].After {
			from = max(from, ends[earlier])
			fromRemaining = max(fromRemaining, endsRemaining[earlier])
		}
		ends[s] = from + p.expectedLongest(spec.Queue, &steps[s], steps[s].Count)
		endsRemaining[s] = fromRemaining
		if n := remainingTasks[s]; n > 0 {
			endsRemaining[s] = fromRemaining + p.expectedLongest(spec.Queue, &steps[s], n) + p.startTime
		}
		chain = max(chain, ends[s])
		remaining = max(remaining, endsRemaining[s])
	}
	return remaining, chain
}

// rankOf returns the rank by which ready steps are placed, the lowest first; of equal
// ones, the earlier deadline comes first. The criteria, the most important first:
//   - long-running tasks before others, since their value accrues for as
//     long as they run
//   - jobs that can still meet their objective before others, and jobs that are of no more use
//     to their caller last
//   - lower numbers of the queue's priority
//   - started jobs before others, so that an overload leaves few jobs half done
//   - jobs within their workspace's share before those beyond it
func (r *readyStep) rankOf() int64 {
	const priorityBits = 32
	rank := int64(0)
	add := func(bits int, value int64) { rank = rank<<bits | value }
	add(1, oneIf(!r.longRunning))
	add(1, oneIf(!r.feasible))
	add(1, oneIf(r.tooLate))
	add(priorityBits, min(1<<priorityBits-1, max(0, int64(r.priority))))
	add(1, oneIf(!r.started))
	add(1, oneIf(r.job.overShare))
	return rank
}

func oneIf(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}

// workspaceDemand returns, for each workspace with a cap, the sum of what its runs hold and
// its ready tasks need, as far as the usable VMs have room for them.
func (p *Pool) workspaceDemand(ready []readyStep) map[string]fleet.Resources {
	var waiting, bestEffort map[string]fleet.Resources // nil in most cycles
	for i := range ready {
		workspace := ready[i].job.spec.Workspace
		if _, capped := p.catalog.capOf(workspace); !capped {
			continue
		}
		spec := &ready[i].job.spec.Steps[ready[i].step]
		need := spec.Need.Times(len(ready[i].tasks))
		if spec.BestEffort { // occupies no processors of a VM, but counts in the cap
			if bestEffort == nil {
				bestEffort = map[string]fleet.Resources{}
			}
			bestEffort[workspace] = bestEffort[workspace].Add(fleet.Resources{MilliCPU: need.MilliCPU})
			need.MilliCPU = 0
		}
		if waiting == nil {
			waiting = map[string]fleet.Resources{}
		}
		waiting[workspace] = waiting[workspace].Add(need)
	}
	demand := map[string]fleet.Resources{}
	for workspace, used := range p.usage {
		if _, capped := p.catalog.capOf(workspace); capped {
			demand[workspace] = used
		}
	}
	if len(waiting) == 0 {
		return demand
	}
	room := p.candidates.room()
	for workspace, need := range waiting {
		need = fleet.Resources{MilliCPU: min(need.MilliCPU, room.MilliCPU), MemoryMB: min(need.MemoryMB, room.MemoryMB), Accelerators: min(need.Accelerators, room.Accelerators)}
		demand[workspace] = demand[workspace].Add(need).Add(bestEffort[workspace])
	}
	return demand
}

// withinCap reports whether this pool's share of the workspace's cap has room for
// need.
func (p *Pool) withinCap(workspace string, need fleet.Resources) bool {
	limit, capped := p.catalog.capOf(workspace)
	if !capped {
		return true
	}
	share := p.capShares[workspace]
	if share.blocked {
		return false
	}
	after := p.usage[workspace].Add(need)
	return !capshare.ExceedsShare(after, share.limit, limit)
}

// noteCapWait records that a task, or all tasks of a gang, of a step wait for a share of their
// workspace's cap. The first in the order of placement counts for which the VMs have room, and
// the cap itself beside the workspace's runs in this pool.
func (p *Pool) noteCapWait(r *readyStep, need fleet.Resources, reserved map[*vm]bool) {
	workspace := r.job.spec.Workspace
	limit, _ := p.catalog.capOf(workspace)
	if _, known := p.capWaits[workspace]; known || capshare.ExceedsCap(p.usage[workspace].Add(need), limit) {
		return
	}
	count := 1
	if r.job.spec.Steps[r.step].Gang {
		count = len(r.tasks)
	}
	if p.roomFor(r.tasks[0], count, reserved) {
		p.capWaits[workspace] = need
	}
}

// placeStep places tasks of a step until one finds no VM or exceeds the cap share.
// Placements avoid the reserved VMs; a long-running task without a VM reserves one.
func (p *Pool) placeStep(r *readyStep, reserved map[*vm]bool) {
	spec := &r.job.spec.Steps[r.step]
	if spec.Gang {
		p.placeGang(r, reserved)
		return
	}
	for i, t := range r.tasks {
		if !p.withinCap(r.job.spec.Workspace, spec.Need) {
			p.noteCapWait(r, spec.Need, reserved)
			return
		}
		v := p.choose(t, reserved)
		if v == nil {
			p.requestAdvice(t, len(r.tasks)-i)
			if r.longRunning {
				p.needsAnotherVM = true
			}
			if r.longRunning && len(reserved) < maxReservedVMs {
				p.reserve(t, reserved)
			}
			p.reserveAhead(r, len(r.tasks)-i, reserved)
			return
		}
		p.place(t, v)
		p.noteUse(t)
	}
}

// maxReservedVMs limits the VMs that are reserved for long-running tasks that fit
// nowhere yet, so that other work continues.
const maxReservedVMs = 2

// reserve reserves the VM with the most free processors among those that could
// hold t once all runs on them have ended but the long-running ones.
func (p *Pool) reserve(t *task, reserved map[*vm]bool) {
	var best *vm
	advice := p.adviceOf(t)
	for _, v := range p.sortedVMs() {
		if reserved[v] || !p.usable(v) || !p.allowed(t, v) || advice.forbids(v) || !t.room().Fits(v.Capacity.Sub(v.heldForGood())) {
			continue
		}
		if best == nil || v.free().MilliCPU > best.free().MilliCPU {
			best = v
		}
	}
	if best != nil {
		reserved[best] = true
	}
}

// placeGang places all tasks of a gang or none of them.
func (p *Pool) placeGang(r *readyStep, reserved map[*vm]bool) {
	spec := &r.job.spec.Steps[r.step]
	if len(r.tasks) < spec.Count {
		return // the run of a member has not ended yet
	}
	all := spec.Need.Times(spec.Count)
	if !p.withinCap(r.job.spec.Workspace, all) {
		p.noteCapWait(r, all, reserved)
		return
	}
	run := 0
	for _, t := range r.tasks {
		run = max(run, t.run)
	}
	for _, t := range r.tasks {
		t.run = run // members of a gang share one run number
		v := p.choose(t, reserved)
		if v == nil {
			p.requestAdvice(t, len(r.tasks))
			for _, member := range r.tasks {
				if member.phase == placed {
					p.unplace(member)
				}
			}
			p.reserveAhead(r, len(r.tasks), reserved)
			return
		}
		p.place(t, v)
	}
	for _, t := range r.tasks {
		p.noteUse(t)
	}
}

// unplace undoes place. The run number is used again.
func (p *Pool) unplace(t *task) {
	run, since := t.run-1, t.since
	p.endRun(t, waiting)
	t.run, t.since = run, since
}

// place assigns the next run of t to v. The run starts once its record is durable.
func (p *Pool) place(t *task, v *vm) {
	t.run++
	p.assign(t, v)
	t.phase = placed
	t.startedFrom, t.listedCheckpoint = t.history.checkpoint, ""
	if t.likelyCrasher() {
		v.probationer = t
	}
	t.since, t.placedAt = p.now.Steady, p.now.Steady
	t.throttlePercent = 100
	t.markDirty()
}

// NextDue returns the time until the next occurrence is due, at most limit.
func (p *Pool) NextDue(limit time.Duration) time.Duration {
	for _, j := range p.openJobs {
		if !j.mayOpen() {
			continue
		}
		if waitMS := j.spec.Due(j.nextOpen) - p.now.Wall; waitMS < limit.Milliseconds() {
			limit = time.Duration(max(0, waitMS)) * time.Millisecond
		}
	}
	return limit
}

func (p *Pool) logStart(t *task) {
	p.log.Info("run_start", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", t.vm.ID), zap.Int64("incarnation", t.vm.StartedMS),
		zap.Duration("waited", p.now.Steady-t.occ.openedAt.Steady), zap.Bool("checkpoint", t.startedFrom != ""),
		zap.Duration("vm_seen", p.now.Steady-t.vm.lastAnswer), zap.Int("call", t.late.calls))
}

// waitingJobs returns, by queue, the number of jobs of which no task has started.
func (p *Pool) waitingJobs() map[string]int {
	counts := map[string]int{}
	for _, j := range p.openJobs {
		if !j.started && j.state == job.Queued {
			counts[j.spec.Queue]++
		}
	}
	return counts
}
