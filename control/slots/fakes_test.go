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

// worker is the fake worker of a VM. It checks every start that it accepts
// against the invariants.
type worker struct {
	world          *world
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
	worker *worker
	lease  backing.Lease
	task   backing.Task
	sent   time.Time
}

// world is a simulation of the platform and the entries. It implements the
// platform's services.
type world struct {
	clock               *clock
	network             *rpctest.Network
	workers             map[fleet.VMID]*worker
	vmIDs               []fleet.VMID
	assigned            map[fleet.VMID]Assignment
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

func newWorld(dcs, entriesPerDC, vmsPerDC int) *world {
	w := &world{
		clock: &clock{time.Unix(1000, 0)}, network: rpctest.NewNetwork(),
		workers: map[fleet.VMID]*worker{}, assigned: map[fleet.VMID]Assignment{},
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
		w.config.DataCentres[dc] = fleet.DataCentre{Name: dc, State: fleet.DataCentreIn}
		for i := range vmsPerDC {
			id := fleet.VMID(fmt.Sprintf("%s-vm%03d", dc, i))
			vm := fleet.VM{
				ID: id, DataCentre: dc, Rack: fleet.RackName(fmt.Sprintf("%s-r%d", dc, i/4)), State: fleet.VMLive,
				Slots: 2, Capacity: fleet.Resources{MilliCPU: 4000, MemoryMB: 8192},
			}
			w.workers[id] = &worker{world: w, vm: vm, tasks: map[fleet.AttemptID]*backing.TaskStatus{}}
			w.assigned[id] = Assignment{Pool: "p", State: placement.Active}
			w.vmIDs = append(w.vmIDs, id)
		}
		for range entriesPerDC {
			w.join(dc)
		}
	}
	w.distributeMembers()
	return w
}

func (w *world) Assignment(vm fleet.VMID) (Assignment, bool) { a, ok := w.assigned[vm]; return a, ok }

func (w *world) List(context.Context) (backing.VMListing, error) {
	listing := backing.VMListing{AsOf: w.clock.now}
	for _, id := range w.vmIDs {
		listing.VMs = append(listing.VMs, w.workers[id].vm)
	}
	return listing, nil
}

// failf records the first violation of an invariant.
func (w *world) failf(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// advance moves the clock and stops the tasks of workers whose lease has expired.
func (w *world) advance(d time.Duration) {
	w.clock.now = w.clock.now.Add(d)
	for _, k := range w.workers {
		if !k.leaseExpiresAt.IsZero() && !w.clock.now.Before(k.leaseExpiresAt) {
			k.stopAll()
		}
	}
}

func (k *worker) stopAll() {
	for _, task := range k.tasks {
		if task.State == backing.TaskRunning {
			task.State = backing.TaskStopped
		}
	}
}

func (w *world) running(id fleet.AttemptID) bool {
	for _, k := range w.workers {
		if task, ok := k.tasks[id]; ok && task.State == backing.TaskRunning {
			return true
		}
	}
	return false
}

// markNotStarted records that an attempt was reported as not started.
func (w *world) markNotStarted(id fleet.AttemptID, by string) {
	w.notStartedBy[id] = by
	if vm, ok := w.started[id]; ok {
		w.failf("%s reported %s as not started, but it was started on %s", by, id, vm)
	}
}

func (k *worker) checkReachable() error {
	if k.down {
		return backing.ErrUnavailable
	}
	return nil
}

func (k *worker) answerError() error {
	if k.answersToLose > 0 {
		k.answersToLose--
		return backing.ErrUnconfirmed
	}
	return nil
}

func (k *worker) checkLease(lease backing.Lease) error {
	if lease != k.lease || lease.Epoch < k.highestEpoch || !k.world.clock.now.Before(k.leaseExpiresAt) {
		return backing.ErrFenced
	}
	return nil
}

func (k *worker) start(lease backing.Lease, task backing.Task, sent time.Time) error {
	w := k.world
	if err := k.checkLease(lease); err != nil {
		return err
	}
	if _, ok := k.tasks[task.ID]; ok {
		return nil
	}
	used, need := 1, task.Need
	for _, other := range k.tasks {
		if other.State == backing.TaskRunning {
			used++
			need = need.Add(other.Need)
		}
	}
	switch {
	case used > k.vm.Slots || !need.Fits(k.vm.Capacity):
		w.failf("%s exceeds the capacity of %s: %d slots, %+v in use", task.ID, k.vm.ID, used, need)
	case w.notStartedBy[task.ID] != "":
		w.failf("%s started on %s after %s reported it as not started", task.ID, k.vm.ID, w.notStartedBy[task.ID])
	case w.started[task.ID] != "":
		w.failf("%s started twice, on %s and %s", task.ID, w.started[task.ID], k.vm.ID)
	case !w.outAt[k.vm.DataCentre].IsZero() && sent.Sub(w.outAt[k.vm.DataCentre]) > 4*time.Second:
		w.failf("%s started %s after its data centre was out", task.ID, sent.Sub(w.outAt[k.vm.DataCentre]))
	case !w.leavingAt[k.vm.ID].IsZero() && sent.Sub(w.leavingAt[k.vm.ID]) > 4*time.Second:
		w.failf("%s started %s after its VM was leaving", task.ID, sent.Sub(w.leavingAt[k.vm.ID]))
	case !w.drainedAt[k.vm.ID].IsZero() && sent.After(w.drainedAt[k.vm.ID]):
		w.failf("%s started on %s, which is draining", task.ID, k.vm.ID)
	}
	w.started[task.ID] = k.vm.ID
	k.tasks[task.ID] = &backing.TaskStatus{ID: task.ID, Job: task.Job, State: backing.TaskRunning, Need: task.Need}
	return nil
}

func (w *world) worker(vm fleet.VMID) *worker { return w.workers[vm] }

func (w *world) Acquire(_ context.Context, vm fleet.VMID, lease backing.Lease, ttl time.Duration) error {
	k := w.worker(vm)
	if err := k.checkReachable(); err != nil {
		return err
	}
	live := w.clock.now.Before(k.leaseExpiresAt)
	if lease.Epoch < k.highestEpoch || lease.Epoch == k.highestEpoch && lease.Holder != k.lease.Holder && live {
		return backing.ErrFenced
	}
	k.lease, k.highestEpoch, k.leaseExpiresAt = lease, lease.Epoch, w.clock.now.Add(ttl)
	return k.answerError()
}

func (w *world) Start(_ context.Context, vm fleet.VMID, lease backing.Lease, task backing.Task) error {
	k := w.worker(vm)
	if err := k.checkReachable(); err != nil {
		return err
	}
	if k.refuseStarts {
		return backing.ErrRefused
	}
	if k.holdNextStart {
		k.holdNextStart = false
		w.heldStarts = append(w.heldStarts, heldStart{k, lease, task, w.clock.now})
		return context.DeadlineExceeded
	}
	if err := k.start(lease, task, w.clock.now); err != nil {
		return err
	}
	return k.answerError()
}

func (w *world) Tasks(_ context.Context, vm fleet.VMID, lease backing.Lease) ([]backing.TaskStatus, error) {
	k := w.worker(vm)
	if err := k.checkReachable(); err != nil {
		return nil, err
	}
	if err := k.checkLease(lease); err != nil {
		return nil, err
	}
	var list []backing.TaskStatus
	for _, task := range k.tasks {
		list = append(list, *task)
	}
	if hook := w.duringTasks; hook != nil {
		w.duringTasks = nil
		hook()
	}
	return list, k.answerError()
}

func (w *world) Forget(_ context.Context, vm fleet.VMID, lease backing.Lease, ids []fleet.AttemptID) error {
	k := w.worker(vm)
	if err := errors.Join(k.checkReachable(), k.checkLease(lease)); err != nil {
		return err
	}
	for _, id := range ids {
		delete(k.tasks, id)
	}
	return k.answerError()
}

func (w *world) end(vm fleet.VMID, lease backing.Lease, id fleet.AttemptID, state backing.TaskState) error {
	k := w.worker(vm)
	if err := errors.Join(k.checkReachable(), k.checkLease(lease)); err != nil {
		return err
	}
	task, ok := k.tasks[id]
	if !ok {
		return backing.ErrNotFound
	}
	task.State = state
	return nil
}

func (w *world) Checkpoint(_ context.Context, vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	return w.end(vm, lease, id, backing.TaskCheckpointed)
}

func (w *world) Stop(_ context.Context, vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	return w.end(vm, lease, id, backing.TaskStopped)
}

func (w *world) Throttle(_ context.Context, vm fleet.VMID, _ backing.Lease, id fleet.AttemptID, milliCPU int64) error {
	task := w.worker(vm).tasks[id]
	task.Usage.MilliCPU, task.UsageAt = min(task.Usage.MilliCPU, milliCPU), w.clock.now.Add(time.Second)
	return nil
}

// entry is an entry with fakes of the View and Membership of its Slots.
type entry struct {
	world    *world
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
	outdated := func(at time.Time) bool { return !at.IsZero() && e.world.clock.now.Sub(at) > 2500*time.Millisecond }
	if !e.fresh || outdated(e.world.configSupersededAt[e.snapshot]) || outdated(e.world.membersSupersededAt[e.members.Version]) {
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

func (w *world) join(dc fleet.DataCentreName) *entry {
	e := &entry{
		world: w, valid: true, fresh: true, snapshot: w.config,
		member: control.Member{ID: fmt.Sprintf("e%03d", len(w.entries)), DataCentre: dc},
	}
	router := rpc.NewRouter()
	e.slots = New(Options{
		View: e, Membership: e, Workers: w, List: w, Pools: w, Clock: w.clock, Parallel: 1,
		Caller: w.network.Join(e.member.ID, router), Placement: placement.DefaultSettings(),
		OnTaskEnd: func(_ context.Context, end control.TaskEnd) error { return w.receiveEnd(e, end) },
	}, router)
	w.entries = append(w.entries, e)
	w.setMembers(append(slices.Clone(w.members.List), e.member))
	e.members = w.members
	return e
}

func (w *world) setMembers(list []control.Member) {
	w.membersSupersededAt[w.members.Version] = w.clock.now
	w.members = control.Members{Version: w.members.Version + 1, List: list}
}

func (w *world) fence(e *entry) {
	e.valid = false
	w.network.Leave(e.member.ID)
	w.setMembers(slices.DeleteFunc(slices.Clone(w.members.List), func(m control.Member) bool { return m.ID == e.member.ID }))
}

func (w *world) receiveEnd(e *entry, end control.TaskEnd) error {
	switch {
	case end.NotStarted:
		w.markNotStarted(end.Attempt, "the end reported by "+e.member.ID)
	case end.State == "" && w.running(end.Attempt):
		w.failf("%s reported %s as lost while it runs", e.member.ID, end.Attempt)
	}
	if w.failingReports > 0 {
		w.failingReports--
		return errors.New("job owner cannot be reached")
	}
	w.ended[end.Attempt] = append(w.ended[end.Attempt], end)
	return nil
}

// distributeMembers gives the current member list to all entries.
func (w *world) distributeMembers() {
	for _, e := range w.entries {
		if e.valid {
			e.members = w.members
		}
	}
}

// run ticks the entries for d in steps of 100 ms.
func (w *world) run(d time.Duration) {
	ctx := context.Background()
	for ; d > 0; d -= 100 * time.Millisecond {
		w.advance(100 * time.Millisecond)
		w.steps++
		second := w.steps%10 == 0
		for _, e := range w.entries {
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

func (w *world) runningTasks() []*backing.TaskStatus {
	var list []*backing.TaskStatus
	for _, id := range w.vmIDs {
		for _, task := range w.workers[id].tasks {
			if task.State == backing.TaskRunning {
				list = append(list, task)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// place reserves a slot and starts a task through an entry.
func (w *world) place(t testing.TB, e *entry, dc fleet.DataCentreName, id fleet.AttemptID) (control.Reservation, error) {
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
