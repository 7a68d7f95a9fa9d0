package slots

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sort"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/rpc/rpctest"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
	"amaranthfork.example/policy/placement"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// fakeWorker is the worker of a VM. It checks every start that it accepts
// against the invariants.
type fakeWorker struct {
	cluster        *testCluster
	vm             fleet.VM
	lease          backing.Lease
	highestEpoch   uint64
	leaseExpiresAt time.Time
	tasks          map[fleet.AttemptID]*backing.TaskStatus
	down           bool
	answersToLose  int  // number of next calls that take effect without an answer
	holdNextStart  bool // the next start is not delivered until the test does so
	refuseStarts   bool
}

// heldStart is a start that is not delivered yet although its call has timed out.
type heldStart struct {
	worker *fakeWorker
	lease  backing.Lease
	task   backing.Task
	sent   time.Time
}

// testCluster simulates the platform and the entries. It implements the
// platform's services.
type testCluster struct {
	clock               *clock
	network             *rpctest.Network
	workers             map[fleet.VMID]*fakeWorker
	vmIDs               []fleet.VMID
	pool                map[fleet.VMID]Assignment // pool assignment by VM
	entries             []*entry
	members             control.Members
	config              *config.Snapshot
	configSupersededAt  map[*config.Snapshot]time.Time
	membersSupersededAt map[uint64]time.Time // by version of the member list
	outAt               map[fleet.DataCentreName]time.Time
	leavingAt           map[fleet.VMID]time.Time
	drainedAt           map[fleet.VMID]time.Time
	duringTasks         func() // runs once, after the next task list was read and before it is returned
	steps               int
	heldStarts          []heldStart
	started             map[fleet.AttemptID]fleet.VMID
	notStartedBy        map[fleet.AttemptID]string // what reported the attempt as not started
	ended               map[fleet.AttemptID][]control.TaskEnd
	failingReports      int    // number of next reports of ends that fail
	violation           string // first violated invariant
}

func newTestCluster(dcs, entriesPerDC, vmsPerDC int) *testCluster {
	cluster := &testCluster{
		clock: &clock{time.Unix(1000, 0)}, network: rpctest.NewNetwork(),
		workers: map[fleet.VMID]*fakeWorker{}, pool: map[fleet.VMID]Assignment{},
		outAt: map[fleet.DataCentreName]time.Time{}, leavingAt: map[fleet.VMID]time.Time{},
		drainedAt: map[fleet.VMID]time.Time{},
		started:   map[fleet.AttemptID]fleet.VMID{}, notStartedBy: map[fleet.AttemptID]string{},
		ended: map[fleet.AttemptID][]control.TaskEnd{}, configSupersededAt: map[*config.Snapshot]time.Time{},
		membersSupersededAt: map[uint64]time.Time{},
		config: &config.Snapshot{
			Revision: 1, DataCentres: map[fleet.DataCentreName]fleet.DataCentre{}, Pools: map[fleet.PoolName]fleet.Pool{"p": {}},
		},
	}
	for d := range dcs {
		dc := fleet.DataCentreName(fmt.Sprintf("dc%02d", d))
		cluster.config.DataCentres[dc] = fleet.DataCentre{Name: dc, State: fleet.DataCentreIn}
		for i := range vmsPerDC {
			id := fleet.VMID(fmt.Sprintf("%s-vm%03d", dc, i))
			vm := fleet.VM{
				ID: id, DataCentre: dc, Rack: fleet.RackName(fmt.Sprintf("%s-r%d", dc, i/4)), State: fleet.VMLive,
				Slots: 2, Capacity: fleet.Resources{MilliCPU: 4000, MemoryMB: 8192},
			}
			cluster.workers[id] = &fakeWorker{cluster: cluster, vm: vm, tasks: map[fleet.AttemptID]*backing.TaskStatus{}}
			cluster.pool[id] = Assignment{Pool: "p", State: placement.Active}
			cluster.vmIDs = append(cluster.vmIDs, id)
		}
		for range entriesPerDC {
			cluster.join(dc)
		}
	}
	cluster.distributeMembers()
	return cluster
}

func (c *testCluster) Assignment(vm fleet.VMID) (Assignment, bool) { a, ok := c.pool[vm]; return a, ok }

func (c *testCluster) List(context.Context) (backing.VMListing, error) {
	listing := backing.VMListing{AsOf: c.clock.now}
	for _, id := range c.vmIDs {
		listing.VMs = append(listing.VMs, c.workers[id].vm)
	}
	return listing, nil
}

// failf records the first violation of an invariant.
func (c *testCluster) failf(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// advance moves the clock and stops the tasks of workers whose lease has expired.
func (c *testCluster) advance(d time.Duration) {
	c.clock.now = c.clock.now.Add(d)
	for _, worker := range c.workers {
		if !worker.leaseExpiresAt.IsZero() && !c.clock.now.Before(worker.leaseExpiresAt) {
			worker.stopAll()
		}
	}
}

func (w *fakeWorker) stopAll() {
	for _, task := range w.tasks {
		if task.State == backing.TaskRunning {
			task.State = backing.TaskStopped
		}
	}
}

func (c *testCluster) running(id fleet.AttemptID) bool {
	for _, worker := range c.workers {
		if task, ok := worker.tasks[id]; ok && task.State == backing.TaskRunning {
			return true
		}
	}
	return false
}

// markNotStarted records that an attempt was reported as not started.
func (c *testCluster) markNotStarted(id fleet.AttemptID, by string) {
	c.notStartedBy[id] = by
	if vm, ok := c.started[id]; ok {
		c.failf("%s reported %s as not started, but it was started on %s", by, id, vm)
	}
}

func (w *fakeWorker) checkReachable() error {
	if w.down {
		return backing.ErrUnavailable
	}
	return nil
}

func (w *fakeWorker) answerError() error {
	if w.answersToLose > 0 {
		w.answersToLose--
		return backing.ErrUnconfirmed
	}
	return nil
}

func (w *fakeWorker) checkLease(lease backing.Lease) error {
	if lease != w.lease || lease.Epoch < w.highestEpoch || !w.cluster.clock.now.Before(w.leaseExpiresAt) {
		return backing.ErrFenced
	}
	return nil
}

func (w *fakeWorker) start(lease backing.Lease, task backing.Task, sent time.Time) error {
	c := w.cluster
	if err := w.checkLease(lease); err != nil {
		return err
	}
	if _, ok := w.tasks[task.ID]; ok {
		return nil
	}
	used, need := 1, task.Need
	for _, other := range w.tasks {
		if other.State == backing.TaskRunning {
			used++
			need = need.Add(other.Need)
		}
	}
	switch {
	case used > w.vm.Slots || !need.Fits(w.vm.Capacity):
		c.failf("%s exceeds the capacity of %s: %d slots, %+v in use", task.ID, w.vm.ID, used, need)
	case c.notStartedBy[task.ID] != "":
		c.failf("%s started on %s after %s reported it as not started", task.ID, w.vm.ID, c.notStartedBy[task.ID])
	case c.started[task.ID] != "":
		c.failf("%s started twice, on %s and %s", task.ID, c.started[task.ID], w.vm.ID)
	case !c.outAt[w.vm.DataCentre].IsZero() && sent.Sub(c.outAt[w.vm.DataCentre]) > 4*time.Second:
		c.failf("%s started %s after its data centre was out", task.ID, sent.Sub(c.outAt[w.vm.DataCentre]))
	case !c.leavingAt[w.vm.ID].IsZero() && sent.Sub(c.leavingAt[w.vm.ID]) > 4*time.Second:
		c.failf("%s started %s after its VM was leaving", task.ID, sent.Sub(c.leavingAt[w.vm.ID]))
	case !c.drainedAt[w.vm.ID].IsZero() && sent.After(c.drainedAt[w.vm.ID]):
		c.failf("%s started on %s, which is draining", task.ID, w.vm.ID)
	}
	c.started[task.ID] = w.vm.ID
	w.tasks[task.ID] = &backing.TaskStatus{ID: task.ID, Job: task.Job, State: backing.TaskRunning, Need: task.Need}
	return nil
}

func (c *testCluster) worker(vm fleet.VMID) *fakeWorker { return c.workers[vm] }

func (c *testCluster) Acquire(_ context.Context, vm fleet.VMID, lease backing.Lease, ttl time.Duration) error {
	worker := c.worker(vm)
	if err := worker.checkReachable(); err != nil {
		return err
	}
	live := c.clock.now.Before(worker.leaseExpiresAt)
	if lease.Epoch < worker.highestEpoch || lease.Epoch == worker.highestEpoch && lease.Holder != worker.lease.Holder && live {
		return backing.ErrFenced
	}
	worker.lease, worker.highestEpoch, worker.leaseExpiresAt = lease, lease.Epoch, c.clock.now.Add(ttl)
	return worker.answerError()
}

func (c *testCluster) Start(_ context.Context, vm fleet.VMID, lease backing.Lease, task backing.Task) error {
	worker := c.worker(vm)
	if err := worker.checkReachable(); err != nil {
		return err
	}
	if worker.refuseStarts {
		return backing.ErrRefused
	}
	if worker.holdNextStart {
		worker.holdNextStart = false
		c.heldStarts = append(c.heldStarts, heldStart{worker, lease, task, c.clock.now})
		return context.DeadlineExceeded
	}
	if err := worker.start(lease, task, c.clock.now); err != nil {
		return err
	}
	return worker.answerError()
}

func (c *testCluster) Tasks(_ context.Context, vm fleet.VMID, lease backing.Lease) ([]backing.TaskStatus, error) {
	worker := c.worker(vm)
	if err := worker.checkReachable(); err != nil {
		return nil, err
	}
	if err := worker.checkLease(lease); err != nil {
		return nil, err
	}
	var list []backing.TaskStatus
	for _, task := range worker.tasks {
		list = append(list, *task)
	}
	if hook := c.duringTasks; hook != nil {
		c.duringTasks = nil
		hook()
	}
	return list, worker.answerError()
}

func (c *testCluster) Forget(_ context.Context, vm fleet.VMID, lease backing.Lease, ids []fleet.AttemptID) error {
	worker := c.worker(vm)
	if err := errors.Join(worker.checkReachable(), worker.checkLease(lease)); err != nil {
		return err
	}
	for _, id := range ids {
		delete(worker.tasks, id)
	}
	return worker.answerError()
}

func (c *testCluster) end(vm fleet.VMID, lease backing.Lease, id fleet.AttemptID, state backing.TaskState) error {
	worker := c.worker(vm)
	if err := errors.Join(worker.checkReachable(), worker.checkLease(lease)); err != nil {
		return err
	}
	task, ok := worker.tasks[id]
	if !ok {
		return backing.ErrNotFound
	}
	task.State = state
	return nil
}

func (c *testCluster) Checkpoint(_ context.Context, vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	return c.end(vm, lease, id, backing.TaskCheckpointed)
}

func (c *testCluster) Stop(_ context.Context, vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	return c.end(vm, lease, id, backing.TaskStopped)
}

func (c *testCluster) Throttle(_ context.Context, vm fleet.VMID, _ backing.Lease, id fleet.AttemptID, milliCPU int64) error {
	task := c.worker(vm).tasks[id]
	task.Usage.MilliCPU, task.UsageAt = min(task.Usage.MilliCPU, milliCPU), c.clock.now.Add(time.Second)
	return nil
}

// entry is an entry with fakes of the View and Membership of its Slots.
type entry struct {
	cluster  *testCluster
	member   control.Member
	slots    *Slots
	snapshot *config.Snapshot
	members  control.Members
	valid    bool
	fresh    bool
	paused   bool
}

func (e *entry) Snapshot() *config.Snapshot { return e.snapshot }
func (e *entry) StoreReachable() bool       { return true }
func (e *entry) Self() control.Member       { return e.member }
func (e *entry) Members() control.Members   { return e.members }
func (e *entry) Session() backing.Condition {
	return backing.Condition{}
}

func (e *entry) Fresh() error {
	outdated := func(at time.Time) bool { return !at.IsZero() && e.cluster.clock.now.Sub(at) > 2500*time.Millisecond }
	if !e.fresh || outdated(e.cluster.configSupersededAt[e.snapshot]) || outdated(e.cluster.membersSupersededAt[e.members.Version]) {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView}
	}
	return nil
}

func (e *entry) Valid() error {
	if !e.valid {
		return &fleet.Refusal{Reason: fleet.ReasonStopping}
	}
	return nil
}

func (c *testCluster) join(dc fleet.DataCentreName) *entry {
	e := &entry{
		cluster: c, valid: true, fresh: true, snapshot: c.config,
		member: control.Member{ID: fmt.Sprintf("e%03d", len(c.entries)), DataCentre: dc},
	}
	router := rpc.NewRouter()
	e.slots = New(Options{
		View: e, Membership: e, Workers: c, VMList: c, Pools: c, Clock: c.clock, MaxParallelCalls: 1,
		Caller: c.network.Join(e.member.ID, router), Placement: placement.DefaultSettings(),
		OnTaskEnd: func(_ context.Context, end control.TaskEnd) error { return c.receiveEnd(e, end) },
	}, router)
	c.entries = append(c.entries, e)
	c.setMembers(append(slices.Clone(c.members.List), e.member))
	e.members = c.members
	return e
}

func (c *testCluster) setMembers(list []control.Member) {
	c.membersSupersededAt[c.members.Version] = c.clock.now
	c.members = control.Members{Version: c.members.Version + 1, List: list}
}

func (c *testCluster) fence(e *entry) {
	e.valid = false
	c.network.Leave(e.member.ID)
	c.setMembers(slices.DeleteFunc(slices.Clone(c.members.List), func(m control.Member) bool { return m.ID == e.member.ID }))
}

func (c *testCluster) receiveEnd(e *entry, end control.TaskEnd) error {
	switch {
	case end.NotStarted:
		c.markNotStarted(end.Attempt, "the end reported by "+e.member.ID)
	case end.State == "" && c.running(end.Attempt):
		c.failf("%s reported %s as lost while it runs", e.member.ID, end.Attempt)
	}
	if c.failingReports > 0 {
		c.failingReports--
		return errors.New("job owner cannot be reached")
	}
	c.ended[end.Attempt] = append(c.ended[end.Attempt], end)
	return nil
}

// distributeMembers gives the current member list to all entries.
func (c *testCluster) distributeMembers() {
	for _, e := range c.entries {
		if e.valid {
			e.members = c.members
		}
	}
}

// run ticks the entries for d in steps of 100 ms.
func (c *testCluster) run(d time.Duration) {
	ctx := context.Background()
	for ; d > 0; d -= 100 * time.Millisecond {
		c.advance(100 * time.Millisecond)
		c.steps++
		second := c.steps%10 == 0
		for _, e := range c.entries {
			if e.paused {
				continue
			}
			if second {
				_ = e.slots.TickList(ctx)
				e.slots.TickLeases(ctx)
				e.slots.TickDigests(ctx)
			}
			e.slots.TickTasks(ctx)
			e.slots.TickEnds(ctx)
		}
	}
}

func (c *testCluster) runningTasks() []*backing.TaskStatus {
	var list []*backing.TaskStatus
	for _, id := range c.vmIDs {
		for _, task := range c.workers[id].tasks {
			if task.State == backing.TaskRunning {
				list = append(list, task)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// place reserves a slot and starts a task through an entry.
func (c *testCluster) place(t testing.TB, e *entry, dc fleet.DataCentreName, id fleet.AttemptID) (control.Reservation, error) {
	t.Helper()
	res, err := e.slots.Reserve(context.Background(), dc, request(id, 1000))
	if err != nil {
		return res, err
	}
	return res, e.slots.Start(context.Background(), res, task(id))
}

func request(id fleet.AttemptID, milliCPU int64) control.ReserveRequest {
	return control.ReserveRequest{
		Job: fleet.JobID("job-" + id), Attempt: id, Team: "t", Class: fleet.ClassStandard, Pool: "p",
		Need: fleet.Resources{MilliCPU: milliCPU, MemoryMB: 512}, RunTime: time.Second,
	}
}

func task(id fleet.AttemptID) backing.Task {
	return backing.Task{ID: id, Job: fleet.JobID("job-" + id), Command: "cut"}
}
