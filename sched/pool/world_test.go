package pool_test

import (
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

func TestMain(m *testing.M) {
	os.Exit(fleettest.RunSeeded(m, map[string]string{"rapid.checks": "300"}))
}

const (
	testPool  = "pool-a"
	testLease = 5 * time.Second
)

func testSettings() pool.Settings {
	return pool.Settings{
		Pool: testPool, Lease: testLease, LeaseBound: testLease + 120*time.Millisecond,
		StopGrace: 900 * time.Millisecond, StatusRetention: 150 * time.Second,
	}
}

// worker simulates a VM with the protocol rules of the users' workers.
type worker struct {
	vm              pool.VM
	running         map[string]pool.RunState
	ends            []pool.RunEnd
	lastSequence    int64
	highestEndedRun map[string]int // by task: highest run that has ended or was stopped
	down            bool           // does not answer; its runs go on
	leaseUntil      time.Duration
	uncountedUpTo   int64 // failed ends up to this sequence number are no longer in failuresByTask
}

// testingT is the part of testing.T and rapid.T that world needs.
type testingT interface {
	Fatalf(format string, args ...any)
}

// world drives one scheduler against simulated workers and checks the rules that
// every start must obey.
type world struct {
	t              testingT
	now            pool.Time
	p              *pool.Pool
	catalog        *catalog.Catalog
	workers        map[string]*worker
	rows           map[store.Key][]byte // durable rows
	specs          []*job.Spec
	starts         int
	doneTasks      map[string]bool // tasks that must not start again: a run has ended as done
	failuresByTask map[string]int
	startsByTask   map[string]int
	cancelled      map[string]bool
	throttles      map[string]int // by task: last throttle that was set, in percent
	log            []string
}

func newWorld(t testingT) *world {
	w := &world{t: t, now: pool.Time{Wall: 1_700_000_000_000, Steady: time.Minute}, workers: map[string]*worker{},
		rows: map[store.Key][]byte{}, doneTasks: map[string]bool{}, failuresByTask: map[string]int{}, startsByTask: map[string]int{}, cancelled: map[string]bool{}, throttles: map[string]int{}}
	w.catalog = catalog.New(1, []*catalog.Queue{
		{Name: "short", Pool: testPool, Stretch: 1.6, Target: 600 * time.Millisecond, MaxAttempts: 3},
		{Name: "service", Pool: testPool, Stretch: 2, Target: 2 * time.Second},
	}, []*catalog.Pool{{Name: testPool, ChecksAdmission: true}}, nil, catalog.Limits{})
	w.takeOver()
	return w
}

// takeOver replaces the owner by a new one, which knows only the durable rows.
func (w *world) takeOver() {
	settings := testSettings()
	settings.InheritedLeaseBound = w.now.Steady + 11*time.Second
	w.p = pool.New(settings, zap.NewNop(), w.now)
	w.p.Configure(w.catalog)
	if value, ok := w.rows[tables.LeaseKey(testPool)]; ok {
		bounds, err := pool.DecodeLeases(value)
		if err != nil {
			w.t.Fatalf("lease row: %v", err)
		}
		for id, at := range bounds {
			w.p.RestoreLease(id, at)
		}
	}
	for _, spec := range w.specs {
		value, ok := w.rows[tables.ProgressKey(testPool, spec.ID)]
		if !ok {
			w.p.Accept(spec)
			continue
		}
		progress, err := job.DecodeProgress(value)
		if err != nil {
			w.t.Fatalf("progress row: %v", err)
		}
		w.p.Restore(spec, progress)
		if w.cancelled[spec.ID] {
			w.p.Cancel(spec.ID)
		}
	}
	for _, worker := range w.sortedWorkers() {
		w.p.ObserveVM(worker.vm)
	}
}

func (w *world) sortedWorkers() []*worker {
	var list []*worker
	for _, worker := range w.workers {
		list = append(list, worker)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].vm.ID < list[k].vm.ID })
	return list
}

func (w *world) addVM(id string, milliCPU int64) *worker {
	worker := &worker{vm: pool.VM{ID: id, Machine: "m-" + id, Address: id + ":80", DataCentre: "dc-a", Rack: "r1",
		Capacity: fleet.Resources{MilliCPU: milliCPU, MemoryMB: 64 << 10}, StartedMS: 1},
		running: map[string]pool.RunState{}, highestEndedRun: map[string]int{}}
	w.workers[id] = worker
	w.p.ObserveVM(worker.vm)
	return worker
}

// submit stores a job and passes it to the scheduler.
func (w *world) submit(spec *job.Spec) {
	if spec.ID == "" {
		spec.ID = fmt.Sprintf("%016x", len(w.specs)+1)
	}
	spec.AcceptedAt = w.now.Wall
	if err := spec.Check(); err != nil {
		w.t.Fatalf("job: %v", err)
	}
	w.specs = append(w.specs, spec)
	w.p.Accept(spec)
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.p.Advance(w.now)
	for _, worker := range w.workers {
		w.expireLease(worker)
	}
}

// expireLease ends the runs of a worker whose lease has expired. Earlier ends that
// are not acknowledged yet do not restrict later starts: RULES.md counts an end
// only if the lease has not expired between the end and its acknowledgement.
func (w *world) expireLease(worker *worker) {
	if w.now.Steady < worker.leaseUntil {
		return
	}
	w.dropUnrecordedEnds(worker)
	for _, name := range sortedNames(worker.running) {
		w.end(worker, name, pool.EndLeaseExpired)
	}
}

// dropUnrecordedEnds removes the ends that are not durable from doneTasks and
// failuresByTask.
func (w *world) dropUnrecordedEnds(worker *worker) {
	for _, e := range worker.ends {
		switch {
		case e.Cause == pool.EndDone && !w.recordedDone(e.Task):
			delete(w.doneTasks, e.Task)
		case e.Cause == pool.EndFailed && e.Sequence > worker.uncountedUpTo:
			w.failuresByTask[e.Task]--
			worker.uncountedUpTo = e.Sequence
		}
	}
}

func sortedNames(m map[string]pool.RunState) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// cycle commits the next batch and executes all commands of the scheduler.
func (w *world) cycle() {
	for _, c := range w.commit() {
		w.execute(c)
	}
	for _, c := range w.p.Commands() {
		w.execute(c)
	}
}

// commit makes the next batch durable and returns the starts that depended on it.
func (w *world) commit() []pool.Command {
	batch := w.p.Cycle()
	for _, put := range batch.Puts {
		w.rows[put.Key] = put.Value
	}
	for _, key := range batch.Deletes {
		delete(w.rows, key)
	}
	return w.p.Committed(batch)
}

// renew renews a worker's leases, if permitted, and passes its listing to the
// scheduler.
func (w *world) renew(id string) {
	worker := w.workers[id]
	if worker.down {
		w.p.RenewalUnanswered(id)
		return
	}
	bound := w.now.Steady + testLease + 120*time.Millisecond
	for _, vm := range w.p.RenewalTargets() {
		if vm.ID != id {
			continue
		}
		if vm.ExtendLeases {
			w.p.LeaseGranted(id, bound)
			worker.leaseUntil = w.now.Steady + testLease
		}
		worker.acknowledge(vm.AcknowledgedEnds)
	}
	l := pool.Listing{VM: id, StartedMS: worker.vm.StartedMS, SentAt: w.now.Steady, At: w.now.Steady, Ended: append([]pool.RunEnd(nil), worker.ends...), Complete: true}
	for _, name := range sortedNames(worker.running) {
		l.Running = append(l.Running, worker.running[name])
	}
	w.p.HandleListing(l)
}

func (w *world) renewAll() {
	for _, worker := range w.sortedWorkers() {
		w.renew(worker.vm.ID)
	}
}

// acknowledge forgets the ends up to a sequence number.
func (w *worker) acknowledge(upTo int64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.Sequence > upTo {
			kept = append(kept, e)
		}
	}
	w.ends = kept
}

// execute lets the worker execute a command at once and reports the result to the
// scheduler.
func (w *world) execute(c pool.Command) {
	worker := w.workers[c.VM]
	if worker == nil || worker.down {
		if c.Kind == pool.Start {
			w.p.Started(c, pool.StartUnconfirmed, w.now.Steady)
		}
		return
	}
	switch c.Kind {
	case pool.Start:
		w.p.LeaseGranted(c.VM, w.now.Steady+testLease+120*time.Millisecond)
		w.p.Started(c, w.start(worker, c), w.now.Steady)
	case pool.Stop:
		w.stop(worker, c)
		w.p.Stopped(c, true, w.now.Steady)
	case pool.Throttle:
		w.throttles[c.Task] = c.ThrottlePercent
	}
}

func (w *world) start(worker *worker, c pool.Command) pool.StartResult {
	if r, ok := worker.running[c.Task]; ok && r.Run == c.Run {
		return pool.StartAccepted
	}
	if c.Run <= worker.highestEndedRun[c.Task] {
		return pool.StartStaleRun
	}
	w.checkStart(c)
	worker.leaseUntil = max(worker.leaseUntil, w.now.Steady+testLease)
	worker.running[c.Task] = pool.RunState{Task: c.Task, Run: c.Run, ProgressPercent: 100}
	w.starts++
	w.startsByTask[c.Task]++
	w.log = append(w.log, fmt.Sprintf("%s run %d on %s", c.Task, c.Run, c.VM))
	return pool.StartAccepted
}

// checkStart fails the test if a start breaks a rule: no start after the task is
// done, after 3 failures or while a run of the task is on a VM that is not down.
func (w *world) checkStart(c pool.Command) {
	if w.doneTasks[c.Task] {
		w.t.Fatalf("%s run %d started after a run had ended as done", c.Task, c.Run)
	}
	if w.failuresByTask[c.Task] >= 3 {
		w.t.Fatalf("%s run %d started after %d failures", c.Task, c.Run, w.failuresByTask[c.Task])
	}
	for id, other := range w.workers {
		if r, ok := other.running[c.Task]; ok && !other.down {
			w.t.Fatalf("%s run %d started on %s while run %d is on %s", c.Task, c.Run, c.VM, r.Run, id)
		}
	}
}

func (w *world) stop(worker *worker, c pool.Command) {
	worker.highestEndedRun[c.Task] = max(worker.highestEndedRun[c.Task], c.Run)
	if r, ok := worker.running[c.Task]; ok && r.Run <= c.Run {
		w.end(worker, c.Task, pool.EndStopped)
	}
}

// end ends the run of the named task on a worker.
func (w *world) end(worker *worker, name string, cause pool.EndCause) {
	r, ok := worker.running[name]
	if !ok {
		w.t.Fatalf("%s is not on %s", name, worker.vm.ID)
	}
	delete(worker.running, name)
	worker.highestEndedRun[name] = max(worker.highestEndedRun[name], r.Run)
	worker.lastSequence++
	worker.ends = append(worker.ends, pool.RunEnd{Sequence: worker.lastSequence, Task: name, Run: r.Run, Cause: cause})
	switch cause {
	case pool.EndDone:
		w.doneTasks[name] = true
	case pool.EndFailed:
		w.failuresByTask[name]++
	}
}

// settle repeats renewals and cycles at one moment, often enough that nothing
// changes any more.
func (w *world) settle() {
	for range 8 {
		w.renewAll()
		w.cycle()
	}
}

// state returns the recorded state of a job.
func (w *world) state(id string) job.State {
	value, ok := w.rows[tables.ProgressKey(testPool, id)]
	if !ok {
		return job.Queued
	}
	view, err := job.DecodeState(value)
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	return view.State
}

// vmOf returns the id of the VM that a task runs on, or "" if it does not run.
func (w *world) vmOf(task string) string {
	for id, worker := range w.workers {
		if _, ok := worker.running[task]; ok {
			return id
		}
	}
	return ""
}

func shortJob(tasks int) *job.Spec {
	return &job.Spec{Queue: "short", Steps: []job.Step{{Count: tasks, Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}}}
}

func longRunningJob(tasks, perVM, mayMiss int) *job.Spec {
	return &job.Spec{Queue: "service", Steps: []job.Step{{Count: tasks, Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true, MaxPerVM: perVM, MaxUnavailable: mayMiss}}}
}

// taskDone reports whether a task is recorded as done.
func (w *world) taskDone(spec *job.Spec, step, index int) bool {
	value, ok := w.rows[tables.ProgressKey(testPool, spec.ID)]
	if !ok {
		return false
	}
	progress, err := job.DecodeProgress(value)
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	if progress.State == job.Succeeded {
		return true
	}
	position := index
	for s := range step {
		position += spec.Steps[s].Count
	}
	return len(progress.Occurrences) > 0 && progress.Occurrences[0].Tasks[position].State == job.TaskDone
}

// waitOutTakeover advances the time by 3 s, with renewals, so that the period is
// over in which a new owner sends no stops.
func (w *world) waitOutTakeover() {
	for range 6 {
		w.advance(500 * time.Millisecond)
		w.settle()
	}
}
