// Package quarantine separates bad workers from bad jobs. A worker whose
// failures are significantly above those of the same classes elsewhere is
// quarantined and later tried again; a job that fails on two workers that
// succeed with other jobs is faulty itself and no evidence against workers.
package quarantine

import (
	"math"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// Settings bound the decisions.
type Settings struct {
	Significance float64       // largest probability of the failures by chance
	MinFailures  int           // failed jobs below which no worker is judged
	MaxPart      float64       // largest part of a pool in quarantine or on probation; at least one VM of two or more
	First        time.Duration // first quarantine; doubled with each relapse
	Longest      time.Duration // bound of the doubling
	Successes    int           // tasks that end probation
	Relapse      int           // failed jobs on probation that end it
	HalfLife     time.Duration // after which the weight of old ends is halved
	MaxJobs      int           // failed jobs remembered
}

// DefaultSettings returns the settings for fleets of tens to thousands of VMs.
func DefaultSettings() Settings {
	return Settings{
		Significance: 1e-4,
		MinFailures:  4,
		MaxPart:      0.2,
		First:        time.Minute,
		Longest:      time.Hour,
		Successes:    5,
		Relapse:      2,
		HalfLife:     10 * time.Minute,
		MaxJobs:      4096,
	}
}

// The failure rate of a class is taken as if priorTasks more tasks had run with
// priorFailures, so that a class without history needs several failures.
const (
	priorTasks    = 20
	priorFailures = 1
)

const (
	// recentWeight is the weight of the newest end in the moving average of a
	// worker's successes: it covers about the last eight.
	recentWeight = 0.25
	// goodRate is the average from which failures are held against the job. Two
	// failures in a row on a worker without history lead below it.
	goodRate = 0.4
)

// State is the state of a worker.
type State string

const (
	Healthy     State = "healthy"
	Quarantined State = "quarantined" // takes no tasks
	Probation   State = "probation"   // takes one task at a time
)

// End is the end of one task.
type End struct {
	VM     fleet.VMID
	Class  fleet.Class
	Job    fleet.JobID
	Failed bool
}

// Change is a change of a worker's state.
type Change struct {
	VM       fleet.VMID
	State    State
	Failures int     // failed jobs behind the change
	Tasks    int     // tasks behind the change
	Chance   float64 // bound on the probability of the failures by chance
}

// Tracker keeps the evidence. It is not safe for concurrent use.
type Tracker struct {
	settings  Settings
	workers   map[fleet.VMID]*worker
	classes   map[fleet.Class]tally
	jobs      map[fleet.JobID]*job
	jobOrder  []fleet.JobID // oldest first
	lastDecay time.Time
}

type tally struct{ tasks, failures float64 }

type worker struct {
	classes  map[fleet.Class]tally
	failed   map[fleet.JobID]fleet.Class // jobs counted as failures
	state    State
	until    time.Time // end of the quarantine
	relapses int
	ok       int     // successes on probation
	recent   float64 // moving average of successes, from 0 to 1
}

type job struct {
	failedOn map[fleet.VMID]bool // whether the worker was good
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

// State returns the state of a worker.
func (t *Tracker) State(vm fleet.VMID) State {
	if w, ok := t.workers[vm]; ok {
		return w.state
	}
	return Healthy
}

// Faulty reports whether a job failed on two workers that succeed with others.
func (t *Tracker) Faulty(id fleet.JobID) bool {
	j, ok := t.jobs[id]
	return ok && j.faulty
}

// Observe takes the end of a task that the worker itself reported. Ends that
// are no evidence (stopped, cancelled, lost) must not be passed.
func (t *Tracker) Observe(end End) {
	w := t.worker(end.VM)
	if end.Failed {
		t.failure(w, end)
		return
	}
	t.add(w, end.Class, 1, 0)
	w.recent += recentWeight * (1 - w.recent)
	if w.state == Probation {
		w.ok++
	}
}

func (t *Tracker) worker(vm fleet.VMID) *worker {
	w, ok := t.workers[vm]
	if !ok {
		w = &worker{classes: map[fleet.Class]tally{}, failed: map[fleet.JobID]fleet.Class{}, state: Healthy, recent: 0.5}
		t.workers[vm] = w
	}
	return w
}

func (t *Tracker) add(w *worker, class fleet.Class, tasks, failures float64) {
	own, all := w.classes[class], t.classes[class]
	tasks, failures = max(tasks, -own.tasks), max(failures, -own.failures)
	w.classes[class] = tally{own.tasks + tasks, own.failures + failures}
	t.classes[class] = tally{max(0, all.tasks+tasks), max(0, all.failures+failures)}
}

// failure counts a job once for each worker, however often it is retried there.
func (t *Tracker) failure(w *worker, end End) {
	j := t.job(end.Job)
	if j.faulty {
		return
	}
	if _, counted := w.failed[end.Job]; !counted {
		w.failed[end.Job] = end.Class
		t.add(w, end.Class, 1, 1)
	}
	if !j.failedOn[end.VM] {
		j.failedOn[end.VM] = t.good(w)
	}
	w.recent -= recentWeight * w.recent
	if t.goodWorkers(j) >= 2 {
		t.acquit(end.Job, j)
	}
}

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

// good reports whether a worker mostly succeeds with other jobs at the moment.
// All that it ever did is no measure, as a worker may have turned bad lately.
func (t *Tracker) good(w *worker) bool { return w.recent >= goodRate }

// goodWorkers counts the good workers on which the job failed.
func (t *Tracker) goodWorkers(j *job) int {
	good := 0
	for _, wasGood := range j.failedOn {
		if wasGood {
			good++
		}
	}
	return good
}

// acquit marks the job as faulty and takes its failures back from the workers.
func (t *Tracker) acquit(id fleet.JobID, j *job) {
	j.faulty = true
	for vm := range j.failedOn {
		w := t.workers[vm]
		if class, counted := w.failed[id]; counted {
			delete(w.failed, id)
			t.add(w, class, -1, -1)
		}
	}
}

// Evaluate applies the evidence and returns the changes of state. members are
// all workers of each pool; workers that are in no pool are dropped.
func (t *Tracker) Evaluate(now time.Time, members map[fleet.PoolName][]fleet.VMID) []Change {
	t.decay(now)
	t.forget(members)
	var changes []Change
	for _, pool := range sortedPools(members) {
		vms := append([]fleet.VMID(nil), members[pool]...)
		sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
		changes = append(changes, t.release(now, vms)...)
		changes = append(changes, t.accuse(now, vms)...)
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

// release moves workers from quarantine to probation and ends probations.
func (t *Tracker) release(now time.Time, vms []fleet.VMID) []Change {
	var changes []Change
	for _, vm := range vms {
		w, ok := t.workers[vm]
		if !ok {
			continue
		}
		switch {
		case w.state == Quarantined && !now.Before(w.until):
			t.clear(w)
			w.state = Probation
		case w.state == Probation && len(w.failed) >= t.settings.Relapse:
			changes = append(changes, t.quarantine(now, vm, w, 1))
			continue
		case w.state == Probation && w.ok >= t.settings.Successes:
			t.clear(w)
			w.state = Healthy
		default:
			continue
		}
		changes = append(changes, Change{VM: vm, State: w.state})
	}
	return changes
}

// accuse quarantines healthy workers whose failures are significant, the most
// significant first, within the bound of the pool.
func (t *Tracker) accuse(now time.Time, vms []fleet.VMID) []Change {
	type suspect struct {
		vm     fleet.VMID
		chance float64
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
		if chance := t.chance(w); len(w.failed) >= t.settings.MinFailures && chance <= t.settings.Significance {
			suspects = append(suspects, suspect{vm, chance})
		}
	}
	sort.SliceStable(suspects, func(i, j int) bool { return suspects[i].chance < suspects[j].chance })
	var changes []Change
	for _, s := range suspects {
		if restricted >= t.bound(len(vms)) {
			break
		}
		changes = append(changes, t.quarantine(now, s.vm, t.workers[s.vm], s.chance))
		restricted++
	}
	return changes
}

func (t *Tracker) bound(vms int) int {
	if vms < 2 {
		return 0
	}
	return max(1, int(t.settings.MaxPart*float64(vms)))
}

func (t *Tracker) quarantine(now time.Time, vm fleet.VMID, w *worker, chance float64) Change {
	sum := tally{}
	for _, own := range w.classes {
		sum.tasks += own.tasks
	}
	change := Change{VM: vm, State: Quarantined, Failures: len(w.failed), Tasks: int(sum.tasks + 0.5), Chance: chance}
	period := t.settings.First << min(w.relapses, 16)
	w.until = now.Add(min(period, t.settings.Longest))
	w.relapses++
	w.state = Quarantined
	return change
}

// clear drops the evidence of a worker whose state changes for the better.
func (t *Tracker) clear(w *worker) {
	for class, own := range w.classes {
		t.add(w, class, -own.tasks, -own.failures)
	}
	w.classes = map[fleet.Class]tally{}
	w.failed = map[fleet.JobID]fleet.Class{}
	w.ok = 0
}

// chance bounds the probability that a worker that is as good as the others
// has at least as many failures, by the Chernoff bound exp(-n*KL(k/n, p)).
func (t *Tracker) chance(w *worker) float64 {
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
	return chernoff(own.tasks, own.failures/own.tasks, expected/own.tasks)
}

func (t *Tracker) rateElsewhere(class fleet.Class, own tally) float64 {
	all := t.classes[class]
	return (all.failures - own.failures + priorFailures) / (all.tasks - own.tasks + priorTasks)
}

func chernoff(n, observed, expected float64) float64 {
	if observed <= expected {
		return 1
	}
	divergence := observed * math.Log(observed/expected)
	if observed < 1 {
		divergence += (1 - observed) * math.Log((1-observed)/(1-expected))
	}
	return math.Exp(-n * divergence)
}

// decay halves all counts once for each half-life.
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

func (t *Tracker) halve(w *worker) {
	for class, own := range w.classes {
		t.add(w, class, -own.tasks/2, -own.failures/2)
	}
	if w.state != Healthy {
		return
	}
	// Half of the failed jobs are dropped with the counts that they stand for.
	ids := make([]fleet.JobID, 0, len(w.failed))
	for id := range w.failed {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids[:(len(ids)+1)/2] {
		delete(w.failed, id)
	}
}

func (t *Tracker) forget(members map[fleet.PoolName][]fleet.VMID) {
	known := map[fleet.VMID]bool{}
	for _, vms := range members {
		for _, vm := range vms {
			known[vm] = true
		}
	}
	for vm, w := range t.workers {
		if !known[vm] {
			t.clear(w)
			delete(t.workers, vm)
			for _, j := range t.jobs {
				delete(j.failedOn, vm)
			}
		}
	}
}
