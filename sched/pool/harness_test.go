package pool_test

import (
	"fmt"
	"os"
	"sort"
	"strings"
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
	// leaseBound is the longest time that a lease can last, whatever the worker's clock does.
	leaseBound = testLease + 120*time.Millisecond
	orderDelay = 12 * time.Second // by which a worker carries out an order without an answer late, at most
)

func testSettings() pool.Settings {
	return pool.Settings{
		Pool: testPool, Lease: testLease, LeaseBound: leaseBound, MaxLeaseBound: leaseBound,
		StartDelayBound: orderTimeout, OrderDelayBound: orderDelay,
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
	down            bool           // does not answer; its runs continue
	heldUp          bool           // carries out orders that were held up
	restarted       bool           // under its id, and its row in discovery describes the earlier incarnation
	leaseUntil      time.Duration
	bornAt          time.Duration // start of its incarnation, of which its clock counts
	uncountedUpTo   int64         // failed ends up to this sequence number are no longer in failuresByTask
	token           int64         // highest fencing token that this incarnation has seen
	brokenRenewal   bool          // a restart has broken off the renewal that was waiting
	heldListing     *pool.Listing // answer to a renewal that has not arrived yet; nil if there is none
	client          client
}

// client is the part of the owner's client of a worker that decides on leases and on the
// fencing token.
type client struct {
	startedMS    int64         // incarnation that has answered last; 0 if unknown
	incarnations int64         // restarts that answers have shown
	answeredAt   time.Duration // 0 before the first answer
	unresponsive bool          // the last renewal was not answered
	suspended    bool          // a lease bound is stored, or about to be
	grantedUntil time.Duration // bound of the leases granted so far

	lastUnanswered time.Duration // latest end of a call that has granted a lease and had no answer; 0 if there is none
	retiredUntil   time.Duration // the same, of calls from before a restart, until the worker has seen the higher token
	listedToken    int64         // of the last renewal that the worker has carried out
}

// leaseBounds returns the bounds of the leases granted so far. A worker may carry a call without an
// answer out late.
func (c *client) leaseBounds() pool.LeaseBounds {
	bounds := pool.LeaseBounds{Confirmed: c.grantedUntil}
	if c.retiredUntil > 0 {
		bounds.Confirmed = max(bounds.Confirmed, c.retiredUntil+orderDelay+leaseBound)
	}
	bounds.Unconfirmed = bounds.Confirmed
	if c.lastUnanswered > 0 {
		bounds.Unconfirmed = max(bounds.Unconfirmed, c.lastUnanswered+orderDelay+leaseBound)
	}
	return bounds
}

// grant grants a lease on a worker as the owner's client does, unless it may not.
func (h *harness) grant(worker *worker) bool {
	c := &worker.client
	if c.answeredAt == 0 || c.unresponsive || c.suspended || h.now.Steady-c.answeredAt > leaseBound {
		return false
	}
	c.grantedUntil = h.now.Steady + leaseBound // the scheduler learns of it before its next batch
	return true
}

// tokensPerEpoch is the number of fencing tokens of one owner for the incarnations of a
// worker.
const tokensPerEpoch = 1000

// token returns the fencing token that the owner's client of a worker sends.
func (h *harness) token(worker *worker) int64 {
	return h.epoch*tokensPerEpoch + worker.client.incarnations
}

// admits lets a worker see a fencing token. It reports whether it carries the call out.
func (w *worker) admits(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// showToken lets a worker see the token of its client, which no worker refuses.
func (h *harness) showToken(worker *worker) {
	if !worker.admits(h.token(worker)) {
		h.t.Fatalf("%s refuses the owner's token %d", worker.vm.ID, h.token(worker))
	}
}

// testingT is the part of testing.T and rapid.T that harness needs.
type testingT interface {
	Fatalf(format string, args ...any)
}

// harness drives one scheduler against simulated workers and checks the rules that
// every start must obey.
type harness struct {
	t                  testingT
	now                pool.Time
	epoch              int64 // of the owner
	scheduler          *pool.Pool
	catalog            *catalog.Catalog
	workers            map[string]*worker
	rows               map[store.Key][]byte // durable rows
	specs              []*job.Spec
	starts             int
	doneTasks          map[string]bool // tasks that must not start again: a run has ended as done
	failuresByTask     map[string]int
	startsByTask       map[string]int
	setbacks           map[string]int // by task: failed ends, crashes of its VM, and starts without an answer, which may meet a crash
	cancelled          map[string]bool
	throttles          map[string]int // by task: last throttle that was set, in percent
	late               []lateOrder    // orders without an answer that may still be carried out
	answers            []answer       // to orders, which have not arrived yet
	log                []string
	serviceClockOffset time.Duration // of the next owner
	lookAhead          pool.LookAhead
	rowBytes           int                      // largest value of a row; 0 means the default
	refuses            func(put store.Put) bool // whether the table service rejects a row; may be nil
	refused            int                      // transactions that were rejected

	losesAnswer func(task string) bool // whether the answer to a start that was carried out is lost; may be nil

	onStart func(task string)                                      // called for each start; may be nil
	onEnd   func(worker *worker, task string, cause pool.EndCause) // called for each end; may be nil
}

func newHarness(t testingT) *harness { return newHarnessWith(t, pool.LookAhead{}) }

func newHarnessWith(t testingT, lookAhead pool.LookAhead) *harness {
	h := &harness{t: t, lookAhead: lookAhead, now: pool.Time{Wall: 1_700_000_000_000, Steady: time.Minute}, workers: map[string]*worker{},
		rows: map[store.Key][]byte{}, doneTasks: map[string]bool{}, failuresByTask: map[string]int{}, startsByTask: map[string]int{}, setbacks: map[string]int{}, cancelled: map[string]bool{}, throttles: map[string]int{}}
	h.catalog = catalog.New(1, []*catalog.Queue{
		{Name: "short", Pool: testPool, Stretch: 1.6, Target: 600 * time.Millisecond, MaxAttempts: 3},
		{Name: "service", Pool: testPool, Stretch: 2, Target: 2 * time.Second},
	}, []*catalog.Pool{{Name: testPool, ChecksAdmission: true}}, nil, catalog.Limits{})
	h.takeover()
	return h
}

// takeover replaces the owner by a new one, which knows only the durable rows.
func (h *harness) takeover() {
	settings := testSettings()
	settings.RowBytes, settings.LookAhead = h.rowBytes, h.lookAhead
	settings.InheritedLeaseBound = h.now.Steady + 11*time.Second
	settings.InheritedConfirmedBound = settings.InheritedLeaseBound
	settings.InheritedLateBound = h.now.Steady + orderDelay + leaseBound
	h.epoch++
	h.scheduler = pool.New(settings, zap.NewNop(), h.now)
	h.scheduler.SetServiceClockOffset(h.serviceClockOffset, 0)
	h.scheduler.Configure(h.catalog)
	for key, value := range h.rows {
		if !tables.IsVMKey(key) {
			continue
		}
		vms, err := pool.DecodeVMs(value)
		if err != nil {
			h.t.Fatalf("row of VMs: %v", err)
		}
		h.scheduler.RestoreVMs(vms)
	}
	if value, ok := h.rows[tables.LeaseKey(testPool)]; ok {
		bounds, err := pool.DecodeLeases(value)
		if err != nil {
			h.t.Fatalf("lease row: %v", err)
		}
		for id, bound := range bounds {
			h.scheduler.RestoreLease(id, bound)
		}
		runs, err := pool.DecodeRunLeases(h.rows[tables.RunLeaseKey(testPool)])
		if err != nil {
			h.t.Fatalf("row of run leases: %v", err)
		}
		for id, leases := range runs {
			h.scheduler.RestoreRunLeases(id, time.Duration(leases.UntilMS)*time.Millisecond, leases.Later)
		}
	}
	stored := h.storedProgress()
	for _, spec := range h.specs {
		progress := stored[spec.ID]
		if progress == nil {
			h.scheduler.Accept(spec)
			continue
		}
		h.scheduler.Restore(spec, progress)
		if h.cancelled[spec.ID] {
			h.scheduler.Cancel(spec.ID)
		}
	}
	for _, worker := range h.sortedWorkers() {
		h.scheduler.ObserveVM(worker.vm)
	}
	h.answers = nil
	for _, vm := range h.scheduler.RenewalTargets() {
		if worker := h.workers[vm.ID]; worker != nil {
			worker.heldListing = nil
			worker.client = client{suspended: !vm.ExtendLeases, startedMS: vm.StartedMS}
		}
	}
}

// storedProgress decodes the durable progress of all jobs.
func (h *harness) storedProgress() map[string]*job.Progress {
	var rows []store.Row
	for key, value := range h.rows {
		if key.Table == tables.Progress {
			rows = append(rows, store.Row{Key: key, Value: value})
		}
	}
	stored := pool.DecodeStoredProgress(rows, zap.NewNop())
	for _, row := range rows {
		if id, _, ok := tables.ParseProgress(row.Name); !ok || stored[id] == nil {
			h.t.Fatalf("progress row %s is unreadable", row.Name)
		}
	}
	return stored
}

func (h *harness) sortedWorkers() []*worker {
	var list []*worker
	for _, worker := range h.workers {
		list = append(list, worker)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].vm.ID < list[k].vm.ID })
	return list
}

func (h *harness) addVM(id string, milliCPU int64) *worker {
	worker := &worker{vm: pool.VM{ID: id, Machine: "m-" + id, Address: id + ":80", DataCentre: "dc-a", Rack: "r1",
		Capacity: fleet.Resources{MilliCPU: milliCPU, MemoryMB: 64 << 10}, StartedMS: 1},
		running: map[string]pool.RunState{}, highestEndedRun: map[string]int{}}
	h.workers[id] = worker
	h.scheduler.ObserveVM(worker.vm)
	return worker
}

// submit stores a job and passes it to the scheduler.
func (h *harness) submit(spec *job.Spec) {
	if spec.ID == "" {
		spec.ID = fmt.Sprintf("%016x", len(h.specs)+1)
	}
	spec.AcceptedMS = h.now.Wall
	if err := spec.Check(); err != nil {
		h.t.Fatalf("job: %v", err)
	}
	h.specs = append(h.specs, spec)
	h.scheduler.Accept(spec)
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.scheduler.Advance(h.now)
	for _, worker := range h.workers {
		h.expireLease(worker)
	}
}

// expireLease ends the runs of a worker whose lease has expired. Earlier ends that
// are not acknowledged yet do not restrict later starts: the users' rules
// count an end only if the lease has not expired between the end and its
// acknowledgement.
func (h *harness) expireLease(worker *worker) {
	if h.now.Steady < worker.leaseUntil {
		return
	}
	h.dropUnrecordedEnds(worker)
	for _, name := range sortedNames(worker.running) {
		h.end(worker, name, pool.EndLeaseExpired)
	}
}

// dropUnrecordedEnds removes the ends that are not durable from doneTasks and
// failuresByTask.
func (h *harness) dropUnrecordedEnds(worker *worker) {
	for _, e := range worker.ends {
		switch {
		case e.Cause == pool.EndDone && !h.recordedDone(e.Task):
			delete(h.doneTasks, e.Task)
		case e.Cause == pool.EndFailed && e.Sequence > worker.uncountedUpTo:
			h.failuresByTask[e.Task]--
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
func (h *harness) cycle() {
	for _, c := range h.commit() {
		h.execute(c)
	}
	for _, c := range h.scheduler.Commands() {
		h.execute(c)
	}
}

// commit makes the next batch durable and returns the starts that depended on it.
func (h *harness) commit() []pool.Command {
	batch := h.nextBatch()
	if err := h.check(batch); err != nil {
		h.refused++
		if !h.scheduler.Refused(batch, err) {
			h.t.Fatalf("batch refused: %v", err)
		}
		return nil
	}
	h.write(batch)
	return h.confirm(batch)
}

// nextBatch returns the next batch. From then on, no lease is granted on a VM whose lease
// bound it may store.
func (h *harness) nextBatch() pool.Batch {
	for id, worker := range h.workers {
		h.scheduler.SetLeaseBounds(id, worker.client.leaseBounds())
	}
	for _, id := range h.scheduler.LeaseBoundsDue() {
		if worker := h.workers[id]; worker != nil {
			worker.client.suspended = true
		}
	}
	return h.scheduler.Cycle()
}

// write makes a batch durable.
func (h *harness) write(batch pool.Batch) {
	for _, put := range batch.Puts {
		h.rows[put.Key] = put.Value
	}
	for _, key := range batch.Deletes {
		delete(h.rows, key)
	}
	h.checkStoredBounds()
}

// confirm tells the scheduler that a batch is durable and returns the starts that depended
// on it.
func (h *harness) confirm(batch pool.Batch) []pool.Command {
	starts := h.scheduler.Committed(batch)
	for _, vm := range h.scheduler.RenewalTargets() {
		if worker := h.workers[vm.ID]; worker != nil && vm.ExtendLeases {
			worker.client.suspended = false
		}
	}
	return starts
}

// check returns the error with which the table service rejects a batch and the owner's
// row, or nil.
func (h *harness) check(b pool.Batch) error {
	owner := store.Put{Key: tables.OwnerKey(testPool), Value: make([]byte, 200)}
	txn := store.Txn{Conditions: []store.Condition{{Key: owner.Key}}, Puts: append([]store.Put{owner}, b.Puts...), Deletes: b.Deletes}
	for _, put := range b.Puts {
		if h.refuses != nil && h.refuses(put) {
			return store.ErrInvalid
		}
	}
	rowBytes := h.rowBytes
	if rowBytes == 0 {
		rowBytes = 64 << 10
	}
	return txn.Check(rowBytes)
}

// renew renews a worker's leases, if permitted, and passes its listing to the
// scheduler.
func (h *harness) renew(id string) {
	worker := h.workers[id]
	if l := worker.heldListing; l != nil {
		worker.heldListing = nil
		if h.now.Steady-l.SentAt > renewTimeout {
			h.renewalUnanswered(worker)
			return
		}
		h.handleListing(worker, *l)
		return
	}
	if worker.down {
		if h.grant(worker) { // the renewal may be carried out although its answer is lost
			worker.client.lastUnanswered = h.now.Steady
		}
		h.renewalUnanswered(worker)
		return
	}
	if worker.brokenRenewal {
		worker.brokenRenewal = false
		worker.client.lastUnanswered = h.now.Steady
		h.renewalUnanswered(worker)
		return
	}
	h.handleListing(worker, h.list(worker))
}

// Time limits of the owner's calls.
const (
	renewTimeout = 1700 * time.Millisecond
	orderTimeout = 800 * time.Millisecond
)

// list lets a worker carry out a renewal and returns its answer.
func (h *harness) list(worker *worker) pool.Listing {
	id := worker.vm.ID
	h.showToken(worker)
	worker.client.listedToken = h.token(worker)
	if h.grant(worker) {
		worker.leaseUntil = max(worker.leaseUntil, h.now.Steady+testLease)
		h.checkStoredBounds()
	}
	for _, vm := range h.scheduler.RenewalTargets() {
		if vm.ID == id {
			worker.acknowledge(vm.AcknowledgedEnds)
		}
	}
	l := pool.Listing{VM: id, StartedMS: worker.vm.StartedMS, ClockMS: (h.now.Steady - worker.bornAt).Milliseconds(), SentAt: h.now.Steady, At: h.now.Steady, Ended: append([]pool.RunEnd(nil), worker.ends...), Complete: true}
	for _, name := range sortedNames(worker.running) {
		l.Running = append(l.Running, worker.running[name])
	}
	return l
}

// handleListing passes the answer to a renewal to the worker's client and to the scheduler.
func (h *harness) handleListing(worker *worker, l pool.Listing) {
	c := &worker.client
	switch {
	case c.startedMS != 0 && c.startedMS != l.StartedMS:
		c.incarnations++
		c.retiredUntil, c.grantedUntil = max(c.retiredUntil, c.lastUnanswered), h.now.Steady+leaseBound
	case c.retiredUntil > 0 && c.listedToken == h.token(worker): // the worker refuses earlier calls from now on
		c.retiredUntil, c.grantedUntil = 0, h.now.Steady+leaseBound
	}
	c.unresponsive, c.answeredAt, c.startedMS = false, h.now.Steady, l.StartedMS
	l.At = h.now.Steady
	h.scheduler.HandleListing(l)
	if worker.restarted { // its row in discovery follows
		worker.restarted = false
		h.scheduler.ObserveVM(worker.vm)
	}
}

// checkStoredBounds fails the test if the lease of a worker ends after the bound that is
// stored for it, on which a later owner would rely.
func (h *harness) checkStoredBounds() {
	value, ok := h.rows[tables.LeaseKey(testPool)]
	if !ok {
		return
	}
	bounds, err := pool.DecodeLeases(value)
	if err != nil {
		h.t.Fatalf("lease row: %v", err)
	}
	for _, worker := range h.sortedWorkers() {
		if bound, stored := bounds[worker.vm.ID]; stored && worker.leaseUntil > bound {
			h.t.Fatalf("the lease of %s ends %v after the bound that is stored for it; it runs %v", worker.vm.ID, worker.leaseUntil-bound, sortedNames(worker.running))
		}
	}
}

// renewalUnanswered lets a renewal of a worker end without an answer.
func (h *harness) renewalUnanswered(worker *worker) {
	worker.client.unresponsive = true
	h.scheduler.RenewalUnanswered(worker.vm.ID)
}

func (h *harness) renewAll() {
	for _, worker := range h.sortedWorkers() {
		h.renew(worker.vm.ID)
	}
}

// acknowledge drops the ends up to a sequence number.
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
func (h *harness) execute(c pool.Command) {
	worker := h.workers[c.VM]
	if worker == nil || worker.down {
		if c.Kind == pool.Start {
			if worker != nil && !h.grant(worker) {
				h.scheduler.Started(c, pool.StartPastDeadline, h.now.Steady)
				return
			}
			h.setbacks[c.Task]++
			if worker != nil {
				worker.client.lastUnanswered = h.now.Steady
			}
			h.scheduler.Started(c, pool.StartUnconfirmed, h.now.Steady)
		}
		return
	}
	switch c.Kind {
	case pool.Start:
		if !h.grant(worker) {
			h.scheduler.Started(c, pool.StartPastDeadline, h.now.Steady)
			return
		}
		h.showToken(worker)
		result := h.start(worker, c, h.now.Steady+testLease)
		if h.losesAnswer != nil && h.losesAnswer(c.Task) {
			result = pool.StartUnconfirmed
			worker.client.lastUnanswered = h.now.Steady
		}
		h.scheduler.Started(c, result, h.now.Steady)
	case pool.Stop:
		h.showToken(worker)
		h.stop(worker, c)
		h.scheduler.Stopped(c, true, h.now.Steady)
	case pool.Throttle:
		h.throttles[c.Task] = c.ThrottlePercent
	}
}

// stopsOfNextCycle runs a cycle and returns its stops, which the caller executes. All
// other commands are executed.
func (h *harness) stopsOfNextCycle() []pool.Command {
	var stops []pool.Command
	for _, c := range append(h.commit(), h.scheduler.Commands()...) {
		if c.Kind == pool.Stop {
			stops = append(stops, c)
			continue
		}
		h.execute(c)
	}
	return stops
}

// start lets a worker carry out a start whose lease ends at deadline.
func (h *harness) start(worker *worker, c pool.Command, deadline time.Duration) pool.StartResult {
	if r, ok := worker.running[c.Task]; ok && r.Run == c.Run {
		return pool.StartAccepted
	}
	if c.Run <= worker.highestEndedRun[c.Task] {
		return pool.StartStaleRun
	}
	h.checkStart(c)
	worker.leaseUntil = max(worker.leaseUntil, deadline)
	h.checkStoredBounds()
	worker.running[c.Task] = pool.RunState{Task: c.Task, Run: c.Run, ProgressPercent: 100}
	if h.onStart != nil {
		h.onStart(c.Task)
	}
	h.starts++
	h.startsByTask[c.Task]++
	h.log = append(h.log, fmt.Sprintf("%s run %d on %s", c.Task, c.Run, c.VM))
	return pool.StartAccepted
}

// checkStart fails the test if a start breaks a rule: no start after the task is
// done, after 3 failures or while a run of the task is on a VM, also on one that does not
// answer.
// Long-running tasks have no limit of failures.
func (h *harness) checkStart(c pool.Command) {
	if h.doneTasks[c.Task] {
		h.t.Fatalf("%s run %d started after a run had ended as done", c.Task, c.Run)
	}
	if h.failuresByTask[c.Task] >= 3 && !h.longRunning(c.Task) {
		h.t.Fatalf("%s run %d started after %d failures", c.Task, c.Run, h.failuresByTask[c.Task])
	}
	h.checkNoOtherRun(c)
}

// checkNoOtherRun fails the test if a run of the task of a start is on a VM.
func (h *harness) checkNoOtherRun(c pool.Command) {
	for id, other := range h.workers {
		if r, ok := other.running[c.Task]; ok {
			h.t.Fatalf("%s run %d started on %s while run %d is on %s", c.Task, c.Run, c.VM, r.Run, id)
		}
	}
}

// longRunning reports whether a task belongs to a long-running step.
func (h *harness) longRunning(task string) bool {
	for _, spec := range h.specs {
		for number, step := range spec.Steps {
			if strings.HasPrefix(task, fmt.Sprintf("%s.0.%d.", spec.ID, number)) {
				return step.LongRunning
			}
		}
	}
	return false
}

func (h *harness) stop(worker *worker, c pool.Command) {
	worker.highestEndedRun[c.Task] = max(worker.highestEndedRun[c.Task], c.Run)
	if r, ok := worker.running[c.Task]; ok && r.Run <= c.Run {
		h.end(worker, c.Task, pool.EndStopped)
	}
}

// end ends the run of the named task on a worker.
func (h *harness) end(worker *worker, name string, cause pool.EndCause) {
	r, ok := worker.running[name]
	if !ok {
		h.t.Fatalf("%s is not on %s", name, worker.vm.ID)
	}
	if h.onEnd != nil {
		h.onEnd(worker, name, cause)
	}
	delete(worker.running, name)
	worker.highestEndedRun[name] = max(worker.highestEndedRun[name], r.Run)
	worker.lastSequence++
	worker.ends = append(worker.ends, pool.RunEnd{Sequence: worker.lastSequence, Task: name, Run: r.Run, Cause: cause})
	switch cause {
	case pool.EndDone:
		h.doneTasks[name] = true
	case pool.EndLeaseExpired:
		h.setbacks[name]++ // its VM may crash later
	case pool.EndFailed:
		h.failuresByTask[name]++
		h.setbacks[name]++
	}
}

// settle repeats renewals and cycles at one moment until nothing changes any more.
func (h *harness) settle() {
	for range 8 {
		h.renewAll()
		h.cycle()
	}
}

// endAll ends all runs on all workers.
func (h *harness) endAll(cause pool.EndCause) {
	for _, worker := range h.sortedWorkers() {
		for _, name := range sortedNames(worker.running) {
			h.end(worker, name, cause)
		}
	}
}

// state returns the recorded state of a job.
func (h *harness) state(id string) job.State {
	value, ok := h.rows[tables.ProgressKey(testPool, id)]
	if !ok {
		return job.Queued
	}
	stored, err := job.DecodeState(value)
	if err != nil {
		h.t.Fatalf("%v", err)
	}
	return stored.State
}

// vmOf returns the id of the VM that a task runs on, or "" if it does not run.
func (h *harness) vmOf(task string) string {
	for id, worker := range h.workers {
		if _, ok := worker.running[task]; ok {
			return id
		}
	}
	return ""
}

func shortJob(tasks int) *job.Spec {
	return &job.Spec{Queue: "short", Steps: []job.Step{{Count: tasks, Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}}}
}

func longRunningJob(tasks, maxPerVM, maxUnavailable int) *job.Spec {
	return &job.Spec{Queue: "service", Steps: []job.Step{{Count: tasks, Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true, MaxPerVM: maxPerVM, MaxUnavailable: maxUnavailable}}}
}

// taskDone reports whether a task is recorded as done.
func (h *harness) taskDone(spec *job.Spec, step, index int) bool {
	progress := h.storedProgress()[spec.ID]
	if progress == nil {
		return false
	}
	if progress.State == job.Succeeded {
		return true
	}
	position := index
	for s := range step {
		position += spec.Steps[s].Count
	}
	for _, part := range progress.Parts {
		for _, r := range part.Ranges {
			if r.Occurrence == 0 && r.First <= position && position < r.First+len(r.Tasks) {
				return r.Tasks[position-r.First].State == job.TaskDone
			}
		}
	}
	return len(progress.Occurrences) > 0 && progress.Occurrences[0].Tasks[position].State == job.TaskDone
}

// advancePastTakeover advances the time by 3 s, with renewals, so that the period is
// over in which a new owner sends no stops.
func (h *harness) advancePastTakeover() {
	for range 6 {
		h.advance(500 * time.Millisecond)
		h.settle()
	}
}
