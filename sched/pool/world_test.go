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
		StopGrace: 900 * time.Millisecond, StatusKept: 150 * time.Second,
	}
}

// worker is a VM with the rules of the users' workers.
type worker struct {
	vm      pool.VM
	running map[string]pool.RunState
	ends    []pool.RunEnd
	next    int64
	highest map[string]int // run that was ended or stopped, by task
	down    bool
	lease   time.Duration
	lifted  int64 // failures up to this end do not count any more
}

// failer is the part of a test that the world needs; rapid has its own.
type failer interface {
	Fatalf(format string, args ...any)
}

// world drives one scheduler against workers, and checks what must always hold.
type world struct {
	t         failer
	now       pool.Time
	p         *pool.Pool
	catalog   *catalog.Catalog
	workers   map[string]*worker
	rows      map[store.Key][]byte // what has been committed
	specs     []*job.Spec
	starts    int
	done      map[string]bool // tasks whose end was listed as done
	failures  map[string]int
	startsOf  map[string]int
	cancelled map[string]bool
	paces     map[string]int // last pace that was ordered, by task
	log       []string
}

func newWorld(t failer) *world {
	w := &world{t: t, now: pool.Time{Wall: 1_700_000_000_000, Steady: time.Minute}, workers: map[string]*worker{},
		rows: map[store.Key][]byte{}, done: map[string]bool{}, failures: map[string]int{}, startsOf: map[string]int{}, cancelled: map[string]bool{}, paces: map[string]int{}}
	w.catalog = catalog.New(1, []*catalog.Queue{
		{Name: "short", Pool: testPool, Stretch: 1.6, Target: 600 * time.Millisecond, MaxAttempts: 3},
		{Name: "service", Pool: testPool, Stretch: 2, Target: 2 * time.Second},
	}, []*catalog.Pool{{Name: testPool, GuardsRoom: true}}, nil, catalog.Limits{})
	w.restart()
	return w
}

// restart gives the pool to a new owner, which knows only what was committed.
func (w *world) restart() {
	settings := testSettings()
	settings.InheritedLease = w.now.Steady + 11*time.Second
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
		Capacity: fleet.Resources{MilliCPU: milliCPU, MemoryMB: 64 << 10}, Born: 1},
		running: map[string]pool.RunState{}, highest: map[string]int{}}
	w.workers[id] = worker
	w.p.ObserveVM(worker.vm)
	return worker
}

// submit stores a job and tells the scheduler.
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
		w.lapse(worker)
	}
}

// lapse ends what a worker's lease no longer covers. Ends that nobody has taken
// note of before do not bind later starts: RULES.md counts an end only if the
// lease has not lapsed between the end and the note of it.
func (w *world) lapse(worker *worker) {
	if w.now.Steady < worker.lease {
		return
	}
	w.unlisted(worker)
	for _, name := range sortedNames(worker.running) {
		w.end(worker, name, pool.EndLapsed)
	}
}

// unlisted lifts the bounds of ends that were not recorded.
func (w *world) unlisted(worker *worker) {
	for _, e := range worker.ends {
		switch {
		case e.Cause == pool.EndDone && !w.recordedDone(e.Task):
			delete(w.done, e.Task)
		case e.Cause == pool.EndFailed && e.Sequence > worker.lifted:
			w.failures[e.Task]--
			worker.lifted = e.Sequence
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

// cycle writes what the scheduler wants written and carries its commands out.
func (w *world) cycle() {
	for _, c := range w.commit() {
		w.carry(c)
	}
	for _, c := range w.p.Commands() {
		w.carry(c)
	}
}

// commit writes the next batch and returns the starts that it releases.
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

// renew extends a worker's leases and lists what is on it.
func (w *world) renew(id string) {
	worker := w.workers[id]
	if worker.down {
		w.p.Silent(id)
		return
	}
	bound := w.now.Steady + testLease + 120*time.Millisecond
	for _, vm := range w.p.VMs() {
		if vm.ID != id {
			continue
		}
		if vm.Extend {
			w.p.LeaseGranted(id, bound)
			worker.lease = w.now.Steady + testLease
		}
		worker.forget(vm.Seen)
	}
	l := pool.Listing{VM: id, Born: worker.vm.Born, SentAt: w.now.Steady, At: w.now.Steady, Ended: append([]pool.RunEnd(nil), worker.ends...), Complete: true}
	for _, name := range sortedNames(worker.running) {
		l.Running = append(l.Running, worker.running[name])
	}
	w.p.Listed(l)
}

func (w *world) renewAll() {
	for _, worker := range w.sortedWorkers() {
		w.renew(worker.vm.ID)
	}
}

func (w *worker) forget(seen int64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.Sequence > seen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
}

// carry lets a worker carry an order out at once.
func (w *world) carry(c pool.Command) {
	worker := w.workers[c.VM]
	if worker == nil || worker.down {
		if c.Kind == pool.Start {
			w.p.Started(c, pool.StartUnknown, w.now.Steady)
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
	case pool.Pace:
		w.paces[c.Task] = c.Percent
	}
}

func (w *world) start(worker *worker, c pool.Command) pool.StartResult {
	if r, ok := worker.running[c.Task]; ok && r.Run == c.Run {
		return pool.StartAccepted
	}
	if c.Run <= worker.highest[c.Task] {
		return pool.StartOld
	}
	w.checkStart(c)
	worker.lease = max(worker.lease, w.now.Steady+testLease)
	worker.running[c.Task] = pool.RunState{Task: c.Task, Run: c.Run, Percent: 100}
	w.starts++
	w.startsOf[c.Task]++
	w.log = append(w.log, fmt.Sprintf("%s run %d on %s", c.Task, c.Run, c.VM))
	return pool.StartAccepted
}

// checkStart holds a start against the rules that bind all starts.
func (w *world) checkStart(c pool.Command) {
	if w.done[c.Task] {
		w.t.Fatalf("%s run %d started after a run had ended as done", c.Task, c.Run)
	}
	if w.failures[c.Task] >= 3 {
		w.t.Fatalf("%s run %d started after %d failures", c.Task, c.Run, w.failures[c.Task])
	}
	for id, other := range w.workers {
		if r, ok := other.running[c.Task]; ok && !other.down {
			w.t.Fatalf("%s run %d started on %s while run %d is on %s", c.Task, c.Run, c.VM, r.Run, id)
		}
	}
}

func (w *world) stop(worker *worker, c pool.Command) {
	worker.highest[c.Task] = max(worker.highest[c.Task], c.Run)
	if r, ok := worker.running[c.Task]; ok && r.Run <= c.Run {
		w.end(worker, c.Task, pool.EndStopped)
	}
}

// end ends a run on a worker.
func (w *world) end(worker *worker, name string, cause pool.EndCause) {
	r, ok := worker.running[name]
	if !ok {
		w.t.Fatalf("%s is not on %s", name, worker.vm.ID)
	}
	delete(worker.running, name)
	worker.highest[name] = max(worker.highest[name], r.Run)
	worker.next++
	worker.ends = append(worker.ends, pool.RunEnd{Sequence: worker.next, Task: name, Run: r.Run, Cause: cause})
	switch cause {
	case pool.EndDone:
		w.done[name] = true
	case pool.EndFailed:
		w.failures[name]++
	}
}

// settle runs the scheduler until nothing changes at the present moment.
func (w *world) settle() {
	for range 8 {
		w.renewAll()
		w.cycle()
	}
}

// state returns the committed state of a job.
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

// where returns the VM that a task runs on, or "".
func (w *world) where(task string) string {
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

func lastingJob(tasks, perVM, mayMiss int) *job.Spec {
	return &job.Spec{Queue: "service", Steps: []job.Step{{Count: tasks, Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true, MaxPerVM: perVM, MayMiss: mayMiss}}}
}

// taskDone reports whether a task's end is recorded as done.
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

// settled lets the time pass in which a new owner stops nothing of its own
// accord, while leases are renewed.
func (w *world) settled() {
	for range 6 {
		w.advance(500 * time.Millisecond)
		w.settle()
	}
}
