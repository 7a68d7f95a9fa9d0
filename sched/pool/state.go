package pool

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
)

// phase is the state of the newest run of a task.
type phase uint8

const (
	waiting     phase = iota // no run; may be placed once its step is ready
	placed                   // a VM is chosen; the record of the run is not durable yet
	starting                 // the start is being sent and has no answer yet
	running                  // the VM has confirmed the run
	unconfirmed              // the start had no answer, or an earlier owner sent it: the run may exist or begin later
	done
)

// task is one task of an occurrence, with the state of its newest run.
type task struct {
	occ      *occurrence
	step     int
	index    int
	position int // among all tasks of the occurrence
	name     string
	phase    phase
	run      int      // number of the newest run; 0 before the first
	history  *history // shared by the members of a gang
	crashes  int      // VMs that have crashed while a run of the task may have been on them

	certainCrashes int // crashes of VMs on which a run of the task certainly was
	likelyCrashes  int // crashes of which the task is the likely cause
	vm             *vm

	startedFrom      string        // checkpoint that the newest run is started with, set when it is placed
	listedCheckpoint string        // checkpoint that the newest run was last listed with
	since            time.Duration // when the phase was entered
	placedAt         time.Duration // when the newest run was placed
	recorded         bool          // recordedAt is known
	recordedAt       time.Duration // when the record of the newest run was sent, at the latest
	inheritedUntil   time.Duration // time by which the lease of an inherited run has ended if its VM does not answer
	stopSentAt       time.Duration // 0 if no stop was sent for the newest run
	stopAnsweredAt   time.Duration // 0 if no stop was answered
	inherited        bool          // the newest run was started by an earlier owner
	late             lateStart     // of the newest run
	startSettled     bool          // the start of the newest run has been carried out, and no call of it is left
	blame            blame         // for a restart of its VM under its id, if the run turns out to be lost
	lostOn           string        // id of the VM on which the newest run was given up; empty if it was not. The VM may leave and come back
	givenUpOn        []string      // ids of the VMs on which runs were given up by this owner
	rescued          bool          // its run was stopped on a slow VM once
	restored         bool          // earlier owners have placed runs

	progressPercent int
	progressAt      time.Duration // when progressPercent last rose
	throttlePercent int           // percentage of its processor share that the task may use, or unknownThrottle
	load            int64         // as in RunState.Load
	loadAt          time.Duration
	lastRunEnd      time.Duration
	ranFor          time.Duration // how long the run that is done took on its VM; 0 if it is not known

	throttleSentAt    time.Duration // when the last throttle was issued
	throttleLateUntil time.Duration // until when a throttle without an answer may be carried out; 0 if there is none
}

// history is what the earlier runs leave to the next run of what starts and fails as one: a
// task, or a gang, whose members share the number of a run. Several members may end as failed
// in one run.
type history struct {
	failures   int             // failed runs
	lastRun    int             // newest run that failures counts; 0 if there is none or an earlier build has counted
	failedOn   map[string]bool // VMs on which runs have failed
	checkpoint string          // newest reported, of any member; empty if there is none

	doneEarlier bool // an earlier run than the newest is done, so that no later run is started and no failure counts
}

// failed records that a run has failed on a VM. It reports whether the run is counted: it
// was not before.
func (h *history) failed(run int, vm string) bool {
	if h.failedOn == nil {
		h.failedOn = map[string]bool{}
	}
	h.failedOn[vm] = true
	if run <= h.lastRun {
		return false
	}
	h.lastRun = run
	h.failures++
	return true
}

// leader returns the task at which failed runs are recorded: t, or the first member of its
// gang.
func (t *task) leader() *task {
	if t.spec().Gang {
		return t.occ.tasks[t.step][0]
	}
	return t
}

// active reports whether the newest run of the task may be on its VM.
func (t *task) active() bool { return t.phase >= placed && t.phase <= unconfirmed }

func (t *task) spec() *job.Step { return &t.occ.job.spec.Steps[t.step] }

// occurrence is one repetition of a job's steps.
type occurrence struct {
	job       *jobState
	number    int
	dueMS     int64          // Unix milliseconds; 0 means due when the job is accepted
	tasks     [][]*task      // by step
	remaining []int          // by step: number of tasks that are not done
	openedAt  Time           // when it was due; its objective counts from here
	advice    []*adviceState // by step; nil until the step first needs advice

	noReservationUntil time.Duration // no room is reserved for its steps until then, unless they are old
	nextPlanAt         time.Duration // no room is looked for ahead before
	planDelay          time.Duration // pause after the last search if it found none, else 0
}

// ready reports whether all tasks of the steps before step are done.
func (o *occurrence) ready(step int) bool {
	for _, earlier := range o.job.spec.Steps[step].After {
		if o.remaining[earlier] > 0 {
			return false
		}
	}
	return true
}

func (o *occurrence) complete() bool {
	for _, n := range o.remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// jobState is a job with its progress.
type jobState struct {
	spec         *job.Spec
	state        job.State
	firstOpen    int           // all occurrences with a lower number are complete
	open         []*occurrence // opened occurrences from firstOpen on, ascending by number
	nextOpen     int           // number of the next occurrence to open
	acceptedAt   Time
	started      bool // a task has started
	overShare    bool // accepted beyond its workspace's share of jobs per second
	active       int  // number of runs that may be on VMs
	dirty        bool // its progress must be recorded again
	parts        progressParts
	formerQueue  *catalog.Queue // the queue by the job's own terms; nil until it is needed
	finishedAtMS int64          // Unix milliseconds

	stoppingRecorded bool // the row of the job, which has ended, tells of runs that are being stopped

	doneTasks int             // tasks done since this owner took over
	failedVMs map[string]bool // VMs on which tasks of the job have failed

	// resubmitted is a later job with the same id, which is accepted once the progress of
	// this one, which is final, is deleted; nil if there is none.
	resubmitted          *job.Spec
	resubmittedCancelled bool
}

// occurrence returns an open occurrence, nil if it is not open.
func (j *jobState) occurrence(number int) *occurrence {
	i := number - j.firstOpen // open occurrences have successive numbers
	if i < 0 || i >= len(j.open) {
		return nil
	}
	return j.open[i]
}

// vm is a VM with its leases, its runs and its health.
type vm struct {
	VM
	recorded           VMIdentity      // as an earlier owner has recorded it; empty if none has
	listed             bool            // known to discovery
	describedMS        int64           // start of the incarnation that the row in discovery describes, Unix milliseconds; 0 if unknown
	replaced           bool            // it has ended for good: its machine has left, or has started again as another VM
	end                ListProof       // lists of machines since its last answer that show its end
	fenced             bool            // this incarnation has answered under this owner's fencing token
	leaseUntil         time.Duration   // time by which all leases of earlier owners and of closed clients on it have ended
	contacted          bool            // it has answered this owner
	laterRuns          map[string]bool // by task: its run may end as late as the restored bound; nil if all may
	runsUntil          time.Duration   // time by which the leases of the other runs have ended
	granted            LeaseBounds     // of the leases of its present client
	used               fleet.Resources
	bestEffortMilliCPU int64 // processors that its best-effort tasks ask for, in thousandths of a core
	latencySensitive   int   // number of tasks with a latency goal
	longRunning        int   // number of tasks that run until their job is cancelled
	tasks              map[*task]struct{}
	endsProcessed      int64 // ends up to this sequence number are processed
	endsRecorded       int64 // ends up to this sequence number are durable
	endsDurable        int64 // ends up to this sequence number are durable and may be acknowledged
	firstHeldEnd       int64 // first end that is held back with the record of its job; 0 if there is none
	lastAnswer         time.Duration
	listingSentAt      time.Duration // when the request of the last listing was sent
	noStartsUntil      time.Duration
	cordoned           bool
	unanswered         bool          // the last renewal was not answered
	probationer        *task         // the last likely crasher that was placed here
	contactLostAt      time.Duration // when a renewal or start was first not answered since the last answer; 0 if it was
	boundDue           bool          // it does not answer: the end of its leases must be stored for a later owner
	storedUntil        time.Duration // the end that was stored last
	health             vmHealth
}

// confirmedUntil returns the time by which the lease of the confirmed runs on v has ended.
func (v *vm) confirmedUntil() time.Duration { return max(v.leaseUntil, v.granted.Confirmed) }

// unconfirmedUntil returns the time by which the lease of any run on v has ended.
func (v *vm) unconfirmedUntil() time.Duration {
	return max(v.confirmedUntil(), v.granted.Unconfirmed)
}

// leaseEnd returns the time by which the lease of the newest run of t, which is on v, has ended.
func (v *vm) leaseEnd(t *task) time.Duration {
	if t.inherited && !v.contacted {
		return t.inheritedUntil // the VM has no leases of this owner
	}
	if t.phase == starting || t.phase == unconfirmed || t.late.leaseEnd > 0 {
		return max(v.unconfirmedUntil(), t.late.leaseEnd)
	}
	return v.confirmedUntil()
}

// inheritedLeaseEnd returns the time by which the lease of a run of an earlier owner has ended
// if its VM does not answer. An incarnation that has held a run for long has been heard by its
// owner, which granted further leases on its clock.
func (p *Pool) inheritedLeaseEnd(t *task) time.Duration {
	s := &p.settings
	switch {
	case t.vm.laterRuns != nil && !t.vm.laterRuns[t.name]:
		return t.vm.runsUntil
	case p.storedLeaseBounds[t.vm.ID]:
		return t.vm.leaseUntil
	case t.late.leaseEnd > p.now.Steady:
		// A late renewal may extend the lease of a run that a late call has begun.
		return max(s.InheritedLeaseBound, s.InheritedLateBound, t.late.leaseEnd)
	case !t.recorded:
		return s.InheritedLeaseBound
	}
	return min(s.InheritedLeaseBound, max(s.InheritedConfirmedBound, t.recordedAt+s.StartDelayBound+s.FormerClockBound))
}

// boundEarlierLeases bounds the leases that earlier owners have granted on v, which answers
// this owner for the first time and so takes no more orders of them.
func (p *Pool) boundEarlierLeases(v *vm, l Listing) {
	if v.contacted {
		return
	}
	v.contacted = true
	if p.settings.InheritedLeaseBound == 0 {
		return // there was no earlier owner
	}
	// A lease on the former clock that has reached the VM lasts as long as the VM accepts. Once the
	// incarnation is old, none can have reached it for long, not even late.
	longest := l.At + p.settings.MaxLeaseBound
	if l.ClockMS > 0 {
		startedAt := l.At - time.Duration(l.ClockMS)*time.Millisecond
		longest = min(longest, startedAt+p.settings.FormerClockBound+p.settings.OrderDelayBound)
	}
	v.leaseUntil = max(l.At+p.settings.LeaseBound, longest)
}

// leasesEnd returns the time by which the leases of all runs on v have ended.
func (v *vm) leasesEnd() time.Duration {
	until := v.confirmedUntil()
	if !v.contacted && len(v.tasks) > 0 {
		until = 0 // its runs are those of earlier owners
	}
	for t := range v.tasks {
		until = max(until, v.leaseEnd(t))
	}
	return until
}

func (v *vm) free() fleet.Resources { return v.Capacity.Sub(v.used) }

// heldForGood returns what the long-running tasks on v occupy.
func (v *vm) heldForGood() fleet.Resources {
	var held fleet.Resources
	if v.longRunning == 0 {
		return held
	}
	for t := range v.tasks {
		if t.spec().LongRunning && !t.occ.job.state.Final() {
			held = held.Add(t.room())
		}
	}
	return held
}

func (v *vm) hasLabel(label string) bool {
	for _, l := range v.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Settings are the scheduler's parameters.
type Settings struct {
	Pool       string
	Lease      time.Duration // duration of the leases of runs, on the VM's clock
	MaxLease   time.Duration // longest lease that a VM accepts, on its clock; at least Lease
	LeaseBound time.Duration // longest time that a lease of Lease can last on the steady clock
	// MaxLeaseBound is the longest time that a lease of MaxLease can last on the steady clock.
	MaxLeaseBound time.Duration

	// InheritedLeaseBound is the time, on the steady clock, by which all leases of earlier
	// owners have ended, InheritedConfirmedBound that for leases granted on the clock of the
	// incarnation that holds them.
	InheritedLeaseBound, InheritedConfirmedBound time.Duration
	// InheritedLateBound is InheritedLeaseBound for a run that a late call may have begun, where
	// a renewal that is late as well extends the lease.
	InheritedLateBound time.Duration
	// FormerClockBound is the time after the start of an incarnation of a VM by which leases
	// that were granted on the clock of its former incarnation have ended.
	FormerClockBound time.Duration
	// StartDelayBound is the longest time from the sending of a run's record until a VM takes
	// its start, unless that is carried out late. OrderDelayBound is how late that may be.
	StartDelayBound, OrderDelayBound time.Duration

	StopGrace       time.Duration // longest time that a stop can take
	StatusRetention time.Duration // how long finished jobs stay known
	RowBytes        int           // largest value of a row; 0 means defaultRowBytes
	LookAhead       LookAhead
}

// capShare is the part of a workspace's cap that this pool may use.
type capShare struct {
	limit   fleet.Resources
	blocked bool // no starts: all pools together exceed the cap
}

// catalogInForce is the catalog in force. Its lookups find nothing while there is
// none.
type catalogInForce struct {
	*catalog.Catalog
}

func (c catalogInForce) queue(name string) *catalog.Queue {
	if c.Catalog == nil {
		return nil
	}
	return c.Queues[name]
}

func (c catalogInForce) capOf(workspace string) (fleet.Resources, bool) {
	if c.Catalog == nil || workspace == "" {
		return fleet.Resources{}, false
	}
	w := c.Workspaces[workspace]
	if w == nil || w.Cap == (fleet.Resources{}) {
		return fleet.Resources{}, false
	}
	return w.Cap, true
}
