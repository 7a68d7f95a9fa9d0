package pool

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/capshare"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
)

// Pool is the scheduler of one pool. It is not safe for concurrent use.
type Pool struct {
	settings  Settings
	log       *zap.Logger
	now       Time
	startedAt Time          // when this owner took over
	startTime time.Duration // usual time of a start, from its placement to the answer of its VM
	ready     readySteps    // of the present cycle
	resumedAt time.Duration // end of the last suspension of this process, steady clock; 0 if there was none

	catalog   catalogInForce
	evacuated map[string]bool            // data centres in which no run may start
	cordons   map[string]Cordon          // by machine
	capShares map[string]capShare        // by workspace
	usage     map[string]fleet.Resources // by workspace, of runs whose end is not listed yet

	jobs         map[string]*jobState
	openJobs     []*jobState    // jobs that are not final, in the order of their acceptance
	orphans      map[string]*vm // by task name: the VM that lists an orphan run of the task
	finishedJobs []*jobState    // final jobs in the order in which they finished
	vms          map[string]*vm
	vmsByID      []*vm // in order of ids; nil if vms has changed
	vmsVersion   int64
	candidates   candidates
	ahead        reservations // for tasks that fit nowhere yet

	deletableJobs []string    // ids of expired jobs whose requests are deleted
	deletableRows []store.Key // parts of the progress of finished jobs
	suspects      [][]item    // groups of items of a refused batch, which are written one group after the other
	heldBack      map[item]bool
	earlierEnds   []earlierEnd
	lateEnds      []lateEnd // whose acknowledgement waits

	runTimes  map[string]*runTimeModel // actual run times relative to their estimates, by queue
	jobShares map[string]*tokenBucket  // by workspace

	commands             []Command                  // not fetched by the caller yet
	publishedWaiting     map[string]int             // by queue: last published number of waiting jobs
	queuePublishedAt     map[string]time.Duration   // by queue
	loadPublishedAt      time.Duration              // when the last load report was published
	leaseBoundsChanged   bool                       // the lease bounds must be recorded again
	storedLeaseBounds    map[string]bool            // VMs for which the table service may hold a lease bound
	storedVMs            map[string]VMIdentity      // by VM: identities that are recorded, or with the batch under way
	serviceClockOffset   time.Duration              // table service's clock minus the steady clock, at most
	serviceClockError    time.Duration              // the offset may be smaller by this time
	loadReportDue        bool                       // a load report must be published without waiting for loadReportInterval
	needsAnotherVM       bool                       // a long-running task finds no VM, or none to move to
	publishedCoreSeconds float64                    // acceptedCoreSeconds at the last load report
	acceptedCoreSeconds  float64                    // work accepted since takeover
	demand               map[string]fleet.Resources // by workspace with a cap: what its runs and ready tasks need
	capWaits             map[string]fleet.Resources // by workspace: need of the first task or gang that waits for nothing but a cap share
	lostRuns             []lostRun                  // runs that were given up on VMs that may have crashed
	stats                Stats
	deposed              bool
}

// Stats are counters since the owner took over the pool: starts sent, ends of runs
// listed, failed runs, runs lost without a listed end, starts refused by a VM, stops
// sent, starts refused for lack of room, and runs under which a VM has crashed; reservations of
// room made, used and dropped unused, and tasks placed on reserved room that delay those it is kept for.
type Stats struct {
	Starts, Ends, Failed, Lost, Requeued, Stops, NoRoom, Crashed int64

	Reservations, ReservationsUsed, ReservationsDropped, ReservationsOvertaken int64
}

// New returns a scheduler without jobs or VMs.
func New(s Settings, log *zap.Logger, now Time) *Pool {
	return &Pool{
		settings: s, log: log, now: now, startedAt: now,
		evacuated: map[string]bool{}, cordons: map[string]Cordon{},
		capShares: map[string]capShare{}, usage: map[string]fleet.Resources{},
		jobs: map[string]*jobState{}, orphans: map[string]*vm{}, vms: map[string]*vm{},
		runTimes:         map[string]*runTimeModel{},
		jobShares:        map[string]*tokenBucket{},
		publishedWaiting: map[string]int{}, queuePublishedAt: map[string]time.Duration{},
		demand: map[string]fleet.Resources{}, capWaits: map[string]fleet.Resources{}, storedLeaseBounds: map[string]bool{}, storedVMs: map[string]VMIdentity{}, heldBack: map[item]bool{},
	}
}

// Advance sets the current time. A time that is not later than the present one
// is ignored.
func (p *Pool) Advance(now Time) {
	if now.Steady <= p.now.Steady {
		return
	}
	if now.Steady-p.now.Steady > suspensionTime {
		p.resumedAt = now.Steady
	}
	p.now = now
}

const (
	// suspensionTime is the time between two calls of Advance above which this process
	// was suspended. The owner's loop calls it several times a second.
	suspensionTime = time.Second
	// resumeGrace is how long after a suspension a VM may take to list its runs before
	// they are given up: two renewals.
	resumeGrace = 1200 * time.Millisecond
)

// awaitsListing reports whether v has not been asked for its runs since this process was
// suspended. The runs have not been renewed in that time, but they may be done.
func (p *Pool) awaitsListing(v *vm) bool {
	return p.resumedAt > 0 && p.now.Steady < p.resumedAt+resumeGrace && v.listingSentAt < p.resumedAt
}

// Stats returns the counters.
func (p *Pool) Stats() Stats { return p.stats }

// Configure puts a catalog in force unless it is older than the present one.
func (p *Pool) Configure(c *catalog.Catalog) {
	if p.catalog.Catalog != nil && c.Version < p.catalog.Version {
		return
	}
	p.catalog = catalogInForce{c}
}

// SetEvacuated sets the data centres in which no run may start.
func (p *Pool) SetEvacuated(dataCentres map[string]bool) { p.evacuated = dataCentres }

// SetCapShare sets the share of a workspace's cap that this pool may use. While
// blocked is true, no run of the workspace starts.
func (p *Pool) SetCapShare(workspace string, limit fleet.Resources, blocked bool) {
	p.capShares[workspace] = capShare{limit, blocked}
}

// CapWork returns what the runs and the waiting tasks of a workspace with a cap ask for,
// since the last Cycle.
func (p *Pool) CapWork(workspace string) capshare.Work {
	return capshare.Work{Used: p.usage[workspace], Need: p.demand[workspace], Unit: p.capWaits[workspace]}
}

// Cordon asks for a machine to be emptied, for an order that ends all that runs on it. The
// machine may have another VM by the time of the order.
type Cordon struct {
	VM        string // id of the VM for which the cordon was decided
	Target    string // pool to which the order moves the machine; empty for maintenance
	Confirmed bool   // the order has been carried out, and ends nothing more
	Version   int64  // of the cordon's row
}

// holds reports whether the cordon keeps work from a VM of its machine, in a pool.
func (c Cordon) holds(id, pool string) bool {
	if c.Target != "" && c.Target == pool {
		return false // it has moved, and the order does nothing more
	}
	return c.VM == id || !c.Confirmed
}

// SetCordons replaces the set of cordons, by machine.
func (p *Pool) SetCordons(cordons map[string]Cordon) {
	p.cordons = cordons
	for _, v := range p.vms {
		wasCordoned := v.cordoned
		v.cordoned = p.isCordoned(v.VM)
		if v.cordoned != wasCordoned {
			p.loadReportDue = true
			p.log.Info("vm_cordon", zap.String("vm", v.ID), zap.String("machine", v.Machine), zap.Bool("cordoned", v.cordoned), zap.Int("tasks", len(v.tasks)))
		}
	}
}

func (p *Pool) isCordoned(v VM) bool {
	c, ok := p.cordons[v.Machine]
	return ok && v.Machine != "" && c.holds(v.ID, p.settings.Pool)
}

// Accept adds a job that is already durable. Of a known job, only the rows that hold it
// are added.
func (p *Pool) Accept(spec *job.Spec) {
	if p.knows(spec) {
		return
	}
	j := p.add(spec)
	j.dirty = true
	if spec.Cancelled {
		p.finish(j, job.Cancelled, "cancelled before it was stored")
		return
	}
	j.overShare = !spec.LongRunning() && p.exceedsShare(spec.Workspace)
	p.acceptedCoreSeconds += p.workOf(spec)
	if p.acceptedCoreSeconds-p.publishedCoreSeconds > earlyReportCoreSeconds && p.now.Steady-p.loadPublishedAt > earlyReportInterval {
		p.loadReportDue = true
	}
	p.log.Info("job_accepted", zap.String("job", spec.ID), zap.String("queue", spec.Queue),
		zap.String("workspace", spec.Workspace), zap.Int64("age_ms", p.now.Wall-spec.AcceptedMS), zap.Bool("over_share", j.overShare))
}

// knows reports whether a job is known. It adds the rows that hold the description to
// those of the known one: a job that was stored both by an earlier build and by this one
// is in two rows, and both must be deleted before its progress.
func (p *Pool) knows(spec *job.Spec) bool {
	j := p.jobs[spec.ID]
	if j == nil {
		return false
	}
	for _, row := range spec.Stored {
		i := slices.IndexFunc(j.spec.Stored, func(known store.Condition) bool { return known.Key == row.Key })
		switch {
		case i < 0:
			j.spec.Stored = append(j.spec.Stored, row)
		case j.state.Final() && row.Version > j.spec.Stored[i].Version:
			// The request of the finished job has been deleted, and the id is used again.
			j.resubmitted = spec
			return true
		}
	}
	j.spec.Location = cmp.Or(j.spec.Location, spec.Location)
	return true
}

// A load report is published early when much work has been accepted since the
// last one, so that the pool gets VMs at the start of a burst.
const (
	earlyReportCoreSeconds = 40.0                   // minimum work accepted since the last report
	earlyReportInterval    = 100 * time.Millisecond // minimum time since the last report
)

// workOf returns the core-seconds of one occurrence of a job, without
// long-running and best-effort tasks.
func (p *Pool) workOf(spec *job.Spec) float64 {
	work := 0.0
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if !s.LongRunning && !s.BestEffort {
			work += p.stepWork(spec.Queue, s, s.Count)
		}
	}
	return work
}

// stepWork returns the core-seconds of n tasks of a step.
func (p *Pool) stepWork(queue string, s *job.Step, n int) float64 {
	return float64(n) * p.expectedRunTime(queue, s).Seconds() * float64(s.Need.MilliCPU) / 1000
}

func (p *Pool) add(spec *job.Spec) *jobState {
	j := &jobState{spec: spec, acceptedAt: p.now}
	if spec.AcceptedMS > 0 {
		age := time.Duration(p.now.Wall-spec.AcceptedMS) * time.Millisecond
		j.acceptedAt = p.now.Add(-max(0, age))
	}
	p.jobs[spec.ID] = j
	p.openJobs = append(p.openJobs, j)
	return j
}

// Cancel cancels a job and stops its runs. Unknown and final jobs are ignored.
func (p *Pool) Cancel(id string) {
	j := p.jobs[id]
	if j != nil && j.resubmitted != nil {
		j.resubmittedCancelled = true
	}
	if j == nil || j.state.Final() {
		return
	}
	p.finish(j, job.Cancelled, "cancelled by the caller")
}

func (p *Pool) finish(j *jobState, state job.State, reason string) {
	j.state = state
	j.dirty = true
	j.finishedAtMS = p.now.Wall
	p.finishedJobs = append(p.finishedJobs, j)
	p.release(j)
	p.log.Info("job_finished", zap.String("job", j.spec.ID), zap.Stringer("state", state), zap.String("reason", reason),
		zap.Duration("age", p.now.Steady-j.acceptedAt.Steady), zap.Duration("objective", p.objective(j)), zap.Float64("core_seconds", p.workOf(j.spec)))
	for _, o := range j.open {
		for _, step := range o.tasks {
			for _, t := range step {
				p.stopRun(t, reason)
			}
		}
	}
}

// stopRun stops the newest run of a task, if it is active.
func (p *Pool) stopRun(t *task, reason string) {
	switch t.phase {
	case placed: // the start was never sent
		p.endRun(t, waiting)
	case starting, running, unconfirmed:
		p.sendStop(t, reason)
	}
}

func (p *Pool) sendStop(t *task, reason string) {
	t.stopSentAt = p.now.Steady
	t.late.repeatDue = false
	p.stats.Stops++
	p.addCommand(Command{Kind: Stop, VM: t.vm.ID, Address: t.vm.Address, Task: t.name, Run: t.run})
	p.log.Info("run_stop", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", t.vm.ID), zap.String("reason", reason))
}

func (p *Pool) addCommand(c Command) {
	c.IssuedAt = p.now.Steady
	p.commands = append(p.commands, c)
}

// assign places the newest run of t on v and reserves its room there.
func (p *Pool) assign(t *task, v *vm) {
	t.vm = v
	v.tasks[t] = struct{}{}
	need := t.spec().Need
	p.usage[t.occ.job.spec.Workspace] = p.usage[t.occ.job.spec.Workspace].Add(need)
	if t.spec().BestEffort {
		v.bestEffortMilliCPU += need.MilliCPU
	}
	v.used = v.used.Add(t.room())
	if t.spec().LatencyGoal > 0 {
		v.latencySensitive++
	}
	if t.spec().LongRunning {
		v.longRunning++
	}
	t.occ.job.active++
}

// endRun ends the newest run of a task and releases its room.
func (p *Pool) endRun(t *task, next phase) {
	if t.vm != nil {
		need := t.spec().Need
		workspace := t.occ.job.spec.Workspace
		p.usage[workspace] = p.usage[workspace].Sub(need)
		if t.spec().BestEffort {
			t.vm.bestEffortMilliCPU -= need.MilliCPU
		}
		t.vm.used = t.vm.used.Sub(t.room())
		if t.spec().LatencyGoal > 0 {
			t.vm.latencySensitive--
		}
		if t.spec().LongRunning {
			t.vm.longRunning--
		}
		delete(t.vm.tasks, t)
		if t.vm.cordoned && len(t.vm.tasks) == 0 {
			p.loadReportDue = true
		}
		t.vm = nil
		t.occ.job.active--
	}
	p.candidates.forgetLacks()
	t.phase = next
	t.since = p.now.Steady
	t.lastRunEnd = p.now.Steady
	t.stopSentAt, t.stopAnsweredAt, t.inherited, t.blame, t.lostOn = 0, 0, false, notBlamed, ""
	t.load, t.progressPercent, t.throttlePercent = 0, 0, 100
	t.throttleSentAt, t.throttleLateUntil = 0, 0
	t.recorded, t.recordedAt, t.inheritedUntil = false, 0, 0
	t.late, t.startSettled = lateStart{}, false
	t.markDirty()
}

// ObserveVM updates a VM from its present entry in discovery.
func (p *Pool) ObserveVM(seen VM) {
	v := p.vms[seen.ID]
	if v == nil {
		v = &vm{tasks: map[*task]struct{}{}, lastAnswer: p.now.Steady, leaseUntil: p.settings.InheritedLeaseBound}
		p.vms[seen.ID] = v
		p.vmsChanged()
		p.log.Info("vm_joined", zap.String("vm", seen.ID), zap.String("machine", seen.Machine),
			zap.String("data_centre", seen.DataCentre), zap.String("rack", seen.Rack), zap.Int64("milli_cpu", seen.Capacity.MilliCPU))
	}
	if v.outdates(seen) {
		p.log.Info("vm_row_outdated", zap.String("vm", seen.ID), zap.Int64("incarnation", v.StartedMS), zap.Int64("row", seen.StartedMS))
		return
	}
	if seen.StartedMS != 0 && v.StartedMS != 0 && seen.StartedMS != v.StartedMS {
		p.newIncarnation(v, seen.StartedMS, "row")
	}
	v.describedMS = seen.StartedMS
	if seen.Draining && !v.Draining {
		p.log.Info("vm_draining", zap.String("vm", seen.ID), zap.Duration("left", seen.DrainRemaining), zap.Int("tasks", len(v.tasks)))
	}
	if seen.StartedMS == 0 {
		seen.StartedMS = v.StartedMS
	}
	if v.Address != seen.Address {
		p.vmsChanged()
	}
	first := !v.listed || v.Machine != seen.Machine
	v.VM = seen
	v.listed = true
	v.cordoned = p.isCordoned(seen)
	if first {
		p.observeRestart(v)
	}
}

// outdates reports whether v has answered as a later incarnation than a row describes. The
// later one may be of another kind.
func (v *vm) outdates(seen VM) bool {
	return v.fenced && v.listed && seen.StartedMS != 0 && seen.StartedMS < v.StartedMS
}

// described reports whether the capacity and the labels of v are those of the incarnation
// that has answered.
func (v *vm) described() bool {
	return v.describedMS == 0 || v.StartedMS == 0 || v.describedMS == v.StartedMS
}

// ForgetVM marks a VM as no longer listed by discovery. Its runs, also orphan ones, are given
// up once their leases have expired.
func (p *Pool) ForgetVM(id string) {
	v := p.vms[id]
	if v == nil || !v.listed {
		return
	}
	v.listed = false
	p.log.Info("vm_left", zap.String("vm", id), zap.Int("tasks", len(v.tasks)),
		zap.Duration("lease_left", v.leasesEnd()-p.now.Steady))
	if !p.mayHoldRuns(v) {
		p.remove(v)
	}
}

// mayHoldRuns reports whether v may have runs, of its tasks or orphan ones, on which the starts
// of other runs depend.
func (p *Pool) mayHoldRuns(v *vm) bool { return len(v.tasks) > 0 || p.holdsOrphan(v) }

// remove drops a VM without runs.
func (p *Pool) remove(v *vm) {
	delete(p.vms, v.ID)
	p.vmsChanged()
	if v.boundDue {
		p.leaseBoundsChanged = true
	}
}

// newIncarnation handles the restart of a worker under its id. The new
// incarnation accepts commands under the same id, so the next listing shows
// which runs are its own; the others ended with the earlier incarnation.
// learnedFrom names for the log what has told of the restart.
func (p *Pool) newIncarnation(v *vm, startedMS int64, learnedFrom string) {
	unconfirmedStarts := 0
	for t := range v.tasks {
		if t.phase == starting || t.phase == unconfirmed {
			unconfirmedStarts++
		}
	}
	p.log.Info("vm_restarted", zap.String("vm", v.ID), zap.Int64("previous_incarnation", v.StartedMS), zap.Int64("incarnation", startedMS),
		zap.String("learned_from", learnedFrom), zap.Int("tasks", len(v.tasks)), zap.Int("unconfirmed_starts", unconfirmedStarts), p.leaseField(v))
	if !v.Draining && !v.cordoned {
		for _, s := range v.suspects() {
			s.task.blame = s.blame
		}
	}
	for t := range v.tasks {
		if t.phase == starting || t.phase == unconfirmed {
			// The start may still reach the new incarnation.
			if t.phase == starting {
				p.noteUnanswered(t, p.now.Steady+p.settings.StartDelayBound)
			}
			t.phase = unconfirmed
			t.since = p.now.Steady
			t.inherited = false
			t.stopSentAt, t.stopAnsweredAt = 0, 0
		}
	}
	v.StartedMS = startedMS
	v.endsProcessed, v.endsRecorded, v.endsDurable, v.firstHeldEnd = 0, 0, 0, 0
	v.fenced = false
	v.health = vmHealth{}
}

func (v *vm) sortedTasks() []*task {
	list := make([]*task, 0, len(v.tasks))
	for t := range v.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].name < list[k].name })
	return list
}

// leaseField returns the lease bound of v for logs, in ms on the table service's clock, on
// which the bounds of several owners can be compared.
func (p *Pool) leaseField(v *vm) zap.Field {
	return zap.Int64("lease_until_ms", (v.leasesEnd() + p.serviceClockOffset).Milliseconds())
}

// markLost ends the newest run of a task, which certainly no longer exists although
// its end was not listed.
func (p *Pool) markLost(t *task, reason string) {
	p.stats.Lost++
	p.log.Info("run_lost", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", t.vm.ID), zap.Int64("incarnation", t.vm.StartedMS),
		zap.String("reason", reason), zap.Bool("confirmed", t.phase == running), zap.Bool("inherited", t.inherited), zap.Duration("after", p.now.Steady-t.since), p.leaseField(t.vm))
	on, blame := t.vm, t.blame
	p.endRun(t, waiting)
	t.lostOn = on.ID
	if !slices.Contains(t.givenUpOn, on.ID) {
		t.givenUpOn = append(t.givenUpOn, on.ID)
	}
	if blame != notBlamed {
		// The crash is not counted again when the machine comes back as another worker.
		p.takeLostRuns(func(l lostRun) bool { return l.task == t && l.vm.ID == on.ID }, func(suspect, *vm) {})
		p.countCrash(suspect{t, blame}, on)
	}
}

// SetLeaseBounds sets the bounds of the leases that the present client of a VM has granted.
func (p *Pool) SetLeaseBounds(id string, granted LeaseBounds) {
	v := p.vms[id]
	if v == nil {
		return
	}
	v.granted = granted
	if v.boundDue && v.leasesEnd() > v.storedUntil {
		p.leaseBoundsChanged = true
	}
}

// Incarnation returns the start of a VM's latest known incarnation, Unix milliseconds; 0 if it
// is unknown.
func (p *Pool) Incarnation(id string) int64 {
	if v := p.vms[id]; v != nil {
		return v.StartedMS
	}
	return 0
}

// LeaseGranted records that leases on a VM, granted by a client that is closed, end by until
// on this process's steady clock, whatever the clock of the VM does.
func (p *Pool) LeaseGranted(id string, until time.Duration) {
	if v := p.vms[id]; v != nil {
		v.leaseUntil = max(v.leaseUntil, until)
	}
}

// RenewalUnanswered records that a VM has not answered a renewal.
func (p *Pool) RenewalUnanswered(id string) {
	v := p.vms[id]
	if v == nil {
		return
	}
	v.noStartsUntil = max(v.noStartsUntil, p.now.Steady+unansweredBackoff)
	p.loseContact(v)
	if !v.unanswered && len(v.tasks) > 0 {
		v.boundDue = true
		p.leaseBoundsChanged = true
		p.log.Info("vm_unanswered", zap.String("vm", v.ID), zap.Int("tasks", len(v.tasks)), p.leaseField(v))
	}
	v.unanswered = true
}

// loseContact records when v was first silent since its last answer.
func (p *Pool) loseContact(v *vm) {
	if v.contactLostAt == 0 {
		v.contactLostAt = p.now.Steady
	}
}

// unansweredBackoff is the time without starts on a VM after a call that it has
// not answered: one renewal period, in which a healthy VM answers again.
const unansweredBackoff = time.Second

// Commands removes and returns the pending commands. None of them depends on a
// record; starts, which do, are returned by Committed.
func (p *Pool) Commands() []Command {
	c := p.commands
	p.commands = nil
	return c
}

// RenewalTargets returns the VMs whose leases must be renewed, sorted by id.
func (p *Pool) RenewalTargets() []RenewalTarget {
	list := make([]RenewalTarget, 0, len(p.vms))
	for _, v := range p.sortedVMs() {
		acknowledged := v.endsDurable
		if v.unanswered {
			acknowledged = 0 // the next answer may come from another incarnation, whose sequence numbers restart
		}
		list = append(list, RenewalTarget{ID: v.ID, Address: v.Address, StartedMS: v.StartedMS, AcknowledgedEnds: acknowledged, RecordedEnds: v.endsRecorded, ExtendLeases: !p.storedLeaseBounds[v.ID]})
	}
	return list
}

// RenewalTarget is a VM whose leases must be renewed.
type RenewalTarget struct {
	ID, Address      string
	StartedMS        int64 // start of the incarnation that has listed the ends, Unix milliseconds; 0 if unknown
	AcknowledgedEnds int64 // ends up to this sequence number are acknowledged: they are durable
	RecordedEnds     int64 // ends up to this sequence number are durable; the acknowledgement of some may wait
	ExtendLeases     bool  // leases may be granted, unless LeaseBoundsDue names the VM
}
