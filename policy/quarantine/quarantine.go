// Package quarantine distinguishes faulty workers from faulty jobs by the ends of
// tasks. It does no I/O; the caller reports the ends and applies the states. A
// worker that fails significantly more often than other workers do with tasks of
// the same classes is quarantined, and later tried again on probation. A job that
// fails on two workers that mostly succeed with other jobs is faulty itself; its
// failures do not count against workers.
package quarantine

import (
	"math"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// Settings are the parameters of a Tracker.
type Settings struct {
	Significance          float64       // largest p-value at which a worker is quarantined
	MinFailures           int           // a worker with fewer failed jobs is not quarantined
	MaxRestrictedFraction float64       // largest fraction of a pool in quarantine or on probation; allows one VM in a pool of two or more
	FirstQuarantine       time.Duration // duration of the first quarantine; doubled with each relapse
	LongestQuarantine     time.Duration // upper limit of the duration
	ProbationSuccesses    int           // successful tasks after which a worker on probation is healthy
	RelapseFailures       int           // failed jobs after which a worker on probation is quarantined again
	HalfLife              time.Duration // time after which the weight of an end is halved
	MaxJobs               int           // failed jobs that are remembered; the oldest are forgotten first
}

// DefaultSettings returns the settings for fleets of tens to thousands of VMs.
func DefaultSettings() Settings {
	return Settings{
		Significance:          1e-4,
		MinFailures:           4,
		MaxRestrictedFraction: 0.2,
		FirstQuarantine:       time.Minute,
		LongestQuarantine:     time.Hour,
		ProbationSuccesses:    5,
		RelapseFailures:       2,
		HalfLife:              10 * time.Minute,
		MaxJobs:               4096,
	}
}

// The failure rate of a class is computed as if priorTasks more tasks had ended, of
// which priorFailures failed. A worker in a class without history thus needs
// several failures to be significant.
const (
	priorTasks    = 20
	priorFailures = 1
)

const (
	// recentWeight is the weight of the newest end in a worker's moving average of
	// successes, which thus covers about the last eight ends.
	recentWeight = 0.25
	// goodSuccessRate is the moving average from which a failure is evidence
	// against the job. A worker without history falls below it after two failures
	// in a row.
	goodSuccessRate = 0.4
)

// State is the state of a worker.
type State string

const (
	Healthy     State = "healthy"
	Quarantined State = "quarantined" // takes no tasks
	Probation   State = "probation"   // takes one task at a time
)

// TaskEnd describes how a task ended.
type TaskEnd struct {
	VM     fleet.VMID
	Class  fleet.Class
	Job    fleet.JobID // of which the task is a part
	Failed bool
}

// Change is a change of a worker's state.
type Change struct {
	VM       fleet.VMID
	State    State
	Failures int     // failed jobs that led to a quarantine; 0 for other states
	Tasks    int     // ended tasks that led to a quarantine; 0 for other states
	PValue   float64 // upper bound of the p-value of the failures; 1 for a relapse, 0 for states other than Quarantined
}

// Tracker collects the ends of tasks and decides the states of workers. It is not
// safe for concurrent use.
type Tracker struct {
	settings  Settings
	workers   map[fleet.VMID]*worker
	classes   map[fleet.Class]tally // sums over all workers
	jobs      map[fleet.JobID]*job
	jobOrder  []fleet.JobID // oldest first
	lastDecay time.Time
}

// tally counts ended tasks and how many of them failed, weighted by age.
type tally struct{ tasks, failures float64 }

type worker struct {
	classes            map[fleet.Class]tally
	failed             map[fleet.JobID]fleet.Class // jobs that count as failures of the worker
	state              State
	until              time.Time // end of the quarantine
	relapses           int       // quarantines so far
	probationSuccesses int       // successful tasks since probation began
	recentSuccessRate  float64   // moving average of successes, 0 to 1
}

type job struct {
	failedOn map[fleet.VMID]bool // workers, and whether they mostly succeeded at the time
	faulty   bool
}

// New returns a tracker without evidence.
func New(settings Settings) *Tracker {
	return &Tracker{
		settings: settings,
		workers:  map[fleet.VMID]*worker{},
		classes:  map[fleet.Class]tally{},
		jobs:     map[fleet.JobID]*job{},
	}
}

// State returns the state of a worker, Healthy if it is unknown.
func (t *Tracker) State(vm fleet.VMID) State {
	if w, ok := t.workers[vm]; ok {
		return w.state
	}
	return Healthy
}

// Faulty reports whether a job failed on two workers that mostly succeed with other
// jobs.
func (t *Tracker) Faulty(id fleet.JobID) bool {
	j, ok := t.jobs[id]
	return ok && j.faulty
}

// Observe records the end of a task that the worker itself reported. The caller
// must not pass ends that say nothing about the worker: tasks that were stopped,
// cancelled or lost.
func (t *Tracker) Observe(end TaskEnd) {
	w := t.worker(end.VM)
	if end.Failed {
		t.observeFailure(w, end)
		return
	}
	t.addCounts(w, end.Class, 1, 0)
	w.recentSuccessRate += recentWeight * (1 - w.recentSuccessRate)
	if w.state == Probation {
		w.probationSuccesses++
	}
}

func (t *Tracker) worker(vm fleet.VMID) *worker {
	w, ok := t.workers[vm]
	if !ok {
		w = &worker{classes: map[fleet.Class]tally{}, failed: map[fleet.JobID]fleet.Class{}, state: Healthy, recentSuccessRate: 0.5}
		t.workers[vm] = w
	}
	return w
}

// addCounts adds to the counts of a worker and of all workers for a class. Negative
// numbers reduce them, at most to zero.
func (t *Tracker) addCounts(w *worker, class fleet.Class, tasks, failures float64) {
	own, all := w.classes[class], t.classes[class]
	tasks, failures = max(tasks, -own.tasks), max(failures, -own.failures)
	w.classes[class] = tally{own.tasks + tasks, own.failures + failures}
	t.classes[class] = tally{max(0, all.tasks+tasks), max(0, all.failures+failures)}
}

// observeFailure records a failed task. A job counts once for each worker, however
// often it is retried there.
func (t *Tracker) observeFailure(w *worker, end TaskEnd) {
	j := t.job(end.Job)
	if j.faulty {
		return
	}
	if _, counted := w.failed[end.Job]; !counted {
		w.failed[end.Job] = end.Class
		t.addCounts(w, end.Class, 1, 1)
	}
	if !j.failedOn[end.VM] {
		j.failedOn[end.VM] = t.mostlySucceeds(w)
	}
	w.recentSuccessRate -= recentWeight * w.recentSuccessRate
	if t.goodWorkers(j) >= 2 {
		t.markFaulty(end.Job, j)
	}
}

// job returns the record of a failed job. A new record replaces the oldest one if
// there are already MaxJobs.
func (t *Tracker) job(id fleet.JobID) *job {
	if j, ok := t.jobs[id]; ok {
		return j
	}
	if len(t.jobOrder) >= t.settings.MaxJobs {
		delete(t.jobs, t.jobOrder[0])
		t.jobOrder = t.jobOrder[1:]
	}
	j := &job{failedOn: map[fleet.VMID]bool{}}
	t.jobs[id] = j
	t.jobOrder = append(t.jobOrder, id)
	return j
}

// mostlySucceeds reports whether the recent tasks of a worker mostly succeeded. Its
// whole history is not considered, because a worker may have become faulty recently.
func (t *Tracker) mostlySucceeds(w *worker) bool { return w.recentSuccessRate >= goodSuccessRate }

// goodWorkers returns the number of workers on which the job failed although they
// mostly succeeded at the time.
func (t *Tracker) goodWorkers(j *job) int {
	good := 0
	for _, wasGood := range j.failedOn {
		if wasGood {
			good++
		}
	}
	return good
}

// markFaulty marks the job as faulty and no longer counts its failures against
// workers.
func (t *Tracker) markFaulty(id fleet.JobID, j *job) {
	j.faulty = true
	for vm := range j.failedOn {
		w := t.workers[vm]
		if class, counted := w.failed[id]; counted {
			delete(w.failed, id)
			t.addCounts(w, class, -1, -1)
		}
	}
}

// Evaluate updates the states of all workers and returns the changes. members holds
// all workers of each pool; the records of workers that are in no pool are dropped.
func (t *Tracker) Evaluate(now time.Time, members map[fleet.PoolName][]fleet.VMID) []Change {
	t.decay(now)
	t.dropNonMembers(members)
	var changes []Change
	for _, pool := range sortedPools(members) {
		vms := append([]fleet.VMID(nil), members[pool]...)
		sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
		changes = append(changes, t.updateRestricted(now, vms)...)
		changes = append(changes, t.quarantineSuspects(now, vms)...)
	}
	return changes
}

func sortedPools(members map[fleet.PoolName][]fleet.VMID) []fleet.PoolName {
	pools := make([]fleet.PoolName, 0, len(members))
	for pool := range members {
		pools = append(pools, pool)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i] < pools[j] })
	return pools
}

// updateRestricted moves workers from quarantine to probation when their time is
// over, and ends probations.
func (t *Tracker) updateRestricted(now time.Time, vms []fleet.VMID) []Change {
	var changes []Change
	for _, vm := range vms {
		w, ok := t.workers[vm]
		if !ok {
			continue
		}
		switch {
		case w.state == Quarantined && !now.Before(w.until):
			t.dropEvidence(w)
			w.state = Probation
		case w.state == Probation && len(w.failed) >= t.settings.RelapseFailures:
			changes = append(changes, t.quarantine(now, vm, w, 1))
			continue
		case w.state == Probation && w.probationSuccesses >= t.settings.ProbationSuccesses:
			t.dropEvidence(w)
			w.state = Healthy
		default:
			continue
		}
		changes = append(changes, Change{VM: vm, State: w.state})
	}
	return changes
}

// quarantineSuspects quarantines healthy workers whose failures are significant, the
// most significant first, up to maxRestricted workers of the pool.
func (t *Tracker) quarantineSuspects(now time.Time, vms []fleet.VMID) []Change {
	type suspect struct {
		vm     fleet.VMID
		pValue float64
	}
	var suspects []suspect
	restricted := 0
	for _, vm := range vms {
		w, ok := t.workers[vm]
		if !ok {
			continue
		}
		if w.state != Healthy {
			restricted++
			continue
		}
		if pValue := t.pValueBound(w); len(w.failed) >= t.settings.MinFailures && pValue <= t.settings.Significance {
			suspects = append(suspects, suspect{vm, pValue})
		}
	}
	sort.SliceStable(suspects, func(i, j int) bool { return suspects[i].pValue < suspects[j].pValue })
	var changes []Change
	for _, s := range suspects {
		if restricted >= t.maxRestricted(len(vms)) {
			break
		}
		changes = append(changes, t.quarantine(now, s.vm, t.workers[s.vm], s.pValue))
		restricted++
	}
	return changes
}

// maxRestricted returns how many workers of a pool of the given size may be in
// quarantine or on probation.
func (t *Tracker) maxRestricted(vms int) int {
	if vms < 2 {
		return 0
	}
	return max(1, int(t.settings.MaxRestrictedFraction*float64(vms)))
}

// quarantine puts a worker into quarantine for a time that doubles with each
// relapse, and returns the change.
func (t *Tracker) quarantine(now time.Time, vm fleet.VMID, w *worker, pValue float64) Change {
	sum := tally{}
	for _, own := range w.classes {
		sum.tasks += own.tasks
	}
	change := Change{VM: vm, State: Quarantined, Failures: len(w.failed), Tasks: int(sum.tasks + 0.5), PValue: pValue}
	period := t.settings.FirstQuarantine << min(w.relapses, 16)
	w.until = now.Add(min(period, t.settings.LongestQuarantine))
	w.relapses++
	w.state = Quarantined
	return change
}

// dropEvidence resets the counts of a worker and takes them out of the sums over all
// workers, so that its next state depends only on tasks that end from now on.
func (t *Tracker) dropEvidence(w *worker) {
	for class, own := range w.classes {
		t.addCounts(w, class, -own.tasks, -own.failures)
	}
	w.classes = map[fleet.Class]tally{}
	w.failed = map[fleet.JobID]fleet.Class{}
	w.probationSuccesses = 0
}

// pValueBound returns an upper bound of the p-value of a worker's failures: the
// probability that a worker with the failure rates of the others has at least as
// many. It is the Chernoff bound exp(-n*KL(k/n, p)).
func (t *Tracker) pValueBound(w *worker) float64 {
	var own tally
	expected := 0.0
	for class, tally := range w.classes {
		own.tasks += tally.tasks
		own.failures += tally.failures
		expected += tally.tasks * t.rateElsewhere(class, tally)
	}
	if own.tasks == 0 {
		return 1
	}
	return chernoffBound(own.tasks, own.failures/own.tasks, expected/own.tasks)
}

// rateElsewhere returns the failure rate of a class on all other workers, with the
// prior.
func (t *Tracker) rateElsewhere(class fleet.Class, own tally) float64 {
	all := t.classes[class]
	return (all.failures - own.failures + priorFailures) / (all.tasks - own.tasks + priorTasks)
}

// chernoffBound bounds the probability that the failure rate among n tasks is at
// least the observed one if the expected rate holds for each task.
func chernoffBound(n, observed, expected float64) float64 {
	if observed <= expected {
		return 1
	}
	divergence := observed * math.Log(observed/expected)
	if observed < 1 {
		divergence += (1 - observed) * math.Log((1-observed)/(1-expected))
	}
	return math.Exp(-n * divergence)
}

// decay halves all counts once for each half-life that has passed.
func (t *Tracker) decay(now time.Time) {
	if t.lastDecay.IsZero() {
		t.lastDecay = now
	}
	for now.Sub(t.lastDecay) >= t.settings.HalfLife {
		t.lastDecay = t.lastDecay.Add(t.settings.HalfLife)
		for _, w := range t.workers {
			t.halve(w)
		}
	}
}

// halve halves the counts of a worker.
func (t *Tracker) halve(w *worker) {
	for class, own := range w.classes {
		t.addCounts(w, class, -own.tasks/2, -own.failures/2)
	}
	if w.state != Healthy {
		return
	}
	// Half of the failed jobs are dropped, like half of the counts for which they
	// stand.
	ids := make([]fleet.JobID, 0, len(w.failed))
	for id := range w.failed {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids[:(len(ids)+1)/2] {
		delete(w.failed, id)
	}
}

// dropNonMembers drops the records of workers that are in no pool.
func (t *Tracker) dropNonMembers(members map[fleet.PoolName][]fleet.VMID) {
	known := map[fleet.VMID]bool{}
	for _, vms := range members {
		for _, vm := range vms {
			known[vm] = true
		}
	}
	for vm, w := range t.workers {
		if !known[vm] {
			t.dropEvidence(w)
			delete(t.workers, vm)
			for _, j := range t.jobs {
				delete(j.failedOn, vm)
			}
		}
	}
}
