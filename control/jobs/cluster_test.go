package jobs

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/journal"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/rpc/rpctest"
	"amaranthfork.example/control/shards"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) {
	os.Exit(fleettest.RunSeeded(m, map[string]string{"rapid.checks": "300", "rapid.steps": "40"}))
}

// clock advances by a microsecond with each reading, so that rate limits refill
// while everything runs in one goroutine.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time {
	c.now = c.now.Add(time.Microsecond)
	return c.now
}

// testEntry is one entry of a testCluster. It is its own Membership, View and
// Limits.
type testEntry struct {
	cluster   *testCluster
	id        string
	faults    *memory.Faults
	storeDown bool // the store is unavailable to this entry
	session   backing.Condition
	invalid   bool
	stale     bool
	limit     int
	taken     map[fleet.TeamName]int
	adopted   map[string]int
	journal   *journal.Journal
	shards    *shards.Manager
	jobs      *Manager
	paused    bool // paused in the middle of an action; must not be ticked
	dead      bool
	table     *faultyTable
}

func (e *testEntry) Self() control.Member               { return control.Member{ID: e.id} }
func (e *testEntry) Members() control.Members           { return e.cluster.members }
func (e *testEntry) Session() backing.Condition         { return e.session }
func (e *testEntry) Snapshot() *config.Snapshot         { return e.cluster.snapshot }
func (e *testEntry) StoreReachable() bool               { return !e.storeDown }
func (e *testEntry) SetDemand(fleet.TeamName, int, int) {}

func (e *testEntry) Valid() error {
	if e.invalid {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, RetryAfter: time.Second}
	}
	return nil
}

func (e *testEntry) Fresh() error {
	if e.stale {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, RetryAfter: time.Second}
	}
	return nil
}

func (e *testEntry) Take(team fleet.TeamName) error {
	if e.taken[team] >= e.limit {
		return &fleet.Refusal{Reason: fleet.ReasonTeamLimit}
	}
	e.taken[team]++
	return nil
}

func (e *testEntry) Return(team fleet.TeamName) {
	e.taken[team]--
	if e.taken[team] < 0 {
		e.cluster.addViolation("entry %s returned a unit of %s that it did not hold", e.id, team)
	}
}

func (e *testEntry) Adopt(team fleet.TeamName, from string) {
	e.taken[team]++
	e.adopted[from]++
}

// faultyTable is the table as one entry reaches it. A commit may take effect
// without an answer while the following reads fail, so that its outcome remains
// unknown for some time.
type faultyTable struct {
	backing.Table
	failReads         int // number of reads that will fail
	loseCommitAnswers int // number of commits whose answer will be lost
}

func (t *faultyTable) Get(ctx context.Context, key string) (backing.Row, error) {
	if t.failReads > 0 {
		t.failReads--
		return backing.Row{}, backing.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

func (t *faultyTable) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	versions, err := t.Table.Commit(ctx, txn)
	if err == nil && t.loseCommitAnswers > 0 {
		t.loseCommitAnswers--
		t.failReads = 12
		return nil, backing.ErrUnconfirmed
	}
	return versions, err
}

// workerTask is an attempt as its worker knows it.
type workerTask struct {
	backing.TaskStatus
	vm fleet.VMID
}

// pendingStart is a start that has not reached its worker.
type pendingStart struct {
	res  control.Reservation
	task backing.Task
}

// testCluster is a set of entries with the platform, the network and the
// workers that they use.
type testCluster struct {
	clock          *clock
	table          *memory.Table
	objects        *memory.Objects
	network        *rpctest.Network
	members        control.Members
	snapshot       *config.Snapshot
	entries        []*testEntry
	entriesCreated int
	attempts       int // number of attempt ids created
	options        Options

	tasks   map[fleet.AttemptID]*workerTask
	refused map[fleet.AttemptID]bool     // proved not to have started, because the worker has seen a higher epoch
	starts  map[string][]fleet.AttemptID // by job and step
	// acknowledged tasks have ended and the owners of their jobs know it, so
	// that their workers have forgotten them.
	acknowledged      map[fleet.AttemptID]bool
	delayedStarts     []pendingStart  // sent and not yet delivered
	lookupsUnanswered bool            // VM owners answer no lookups
	freeSlots         int             // that every entry reports for the data centre
	largestVM         fleet.Resources // largest VM of the pool
	onReserve         func(e *testEntry)
	// onStart returns the fault of a start: its answer is lost, it is delayed, or
	// it is refused.
	onStart    func(e *testEntry, task backing.Task) (lose, delay, refuse bool)
	violations []string // of the interfaces that the test replaces
}

func newTestCluster(entries int) *testCluster {
	cluster := &testCluster{
		clock:        &clock{now: time.Unix(1_000_000, 0)},
		table:        memory.NewTable(nil),
		objects:      memory.NewObjects(nil),
		network:      rpctest.NewNetwork(),
		tasks:        map[fleet.AttemptID]*workerTask{},
		refused:      map[fleet.AttemptID]bool{},
		acknowledged: map[fleet.AttemptID]bool{},
		starts:       map[string][]fleet.AttemptID{},
		freeSlots:    8,
		largestVM:    fleet.Resources{MilliCPU: 16000, MemoryMB: 64000},
		onStart:      func(*testEntry, backing.Task) (bool, bool, bool) { return false, false, false },
	}
	cluster.snapshot = &config.Snapshot{
		Revision:    1,
		DataCentres: map[fleet.DataCentreName]fleet.DataCentre{"dc1": {Name: "dc1", State: fleet.DataCentreIn}},
		Teams:       map[fleet.TeamName]fleet.Team{"a": {Name: "a", ShareThousandths: 500}, "b": {Name: "b", ShareThousandths: 250}},
		Keys:        map[fleet.KeyID]fleet.Key{"k": {ID: "k", Team: "a"}},
		Queues: map[fleet.QueueName]fleet.Queue{
			"q": {Name: "q", Pool: "p", Teams: []fleet.TeamName{"a", "b"}, MaxQueued: 1000},
		},
	}
	for range entries {
		cluster.add()
	}
	return cluster
}

func (c *testCluster) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *testCluster) add() *testEntry {
	c.entriesCreated++
	e := &testEntry{
		cluster: c, id: fmt.Sprintf("n%d", c.entriesCreated), faults: &memory.Faults{}, limit: 1000,
		taken: map[fleet.TeamName]int{}, adopted: map[string]int{},
	}
	c.join(e)
	txn := 0
	ids := func() string { txn++; return fmt.Sprintf("%s-%d", e.id, txn) }
	e.table = &faultyTable{Table: c.table.Via(e.faults)}
	table, objects := e.table, c.objects.Via(e.faults)
	e.journal = journal.New(journal.Options{Table: table, Objects: objects, Membership: e, Clock: c.clock, WritesPerSecond: 1e12, TxnID: ids, After: func(time.Duration, func()) {}})
	e.shards = shards.New(shards.Options{Table: table, Membership: e, Count: 8, TxnID: ids})
	o := c.options
	router := rpc.NewRouter()
	o.Clock, o.Membership, o.View, o.Limits, o.Dispatcher = c.clock, e, e, e, &dispatcher{e}
	o.Journal, o.Shards, o.Caller = e.journal, e.shards, c.network.Join(e.id, router)
	o.MaxParallelCalls = 1
	o.Sleep = func(context.Context, time.Duration) error { return nil }
	o.AttemptID = func(job fleet.JobID) fleet.AttemptID {
		c.attempts++
		return fleet.AttemptID(fmt.Sprintf("%s.%d", job, c.attempts))
	}
	e.jobs = New(o)
	e.jobs.Register(router)
	e.shards.SetHandover(e.jobs)
	c.entries = append(c.entries, e)
	return e
}

// join gives an entry a session and adds it to the member list.
func (c *testCluster) join(e *testEntry) {
	key := "session/" + e.id
	versions, err := c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: key}}})
	if err != nil {
		panic(err)
	}
	e.session = backing.Condition{Key: key, Version: versions[0]}
	c.members.Version++
	c.members.List = append(slices.Clone(c.members.List), e.Self())
}

// rejoin gives the process of a killed entry a new session.
func (c *testCluster) rejoin(e *testEntry, id string) {
	e.id, e.invalid, e.dead = id, false, false
	e.taken = map[fleet.TeamName]int{}
	c.join(e)
}

// reconfigure puts a new configuration in force, with the state of the data
// centre and whether the key is withdrawn.
func (c *testCluster) reconfigure(state fleet.DataCentreState, withdrawn bool) {
	next := *c.snapshot
	next.Revision++
	next.DataCentres = map[fleet.DataCentreName]fleet.DataCentre{"dc1": {Name: "dc1", State: state}}
	next.Keys = map[fleet.KeyID]fleet.Key{"k": {ID: "k", Team: "a", Withdrawn: withdrawn}}
	c.snapshot = &next
}

// fence ends the session of an entry as another entry does after the session's
// TTL.
func (c *testCluster) fence(e *testEntry) {
	_, err := c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: e.session.Key, Delete: true}}})
	if err != nil {
		panic(err)
	}
	c.members.Version++
	c.members.List = slices.DeleteFunc(slices.Clone(c.members.List), func(m control.Member) bool { return m.ID == e.id })
	e.invalid = true
}

// kill stops an entry and fences its session.
func (c *testCluster) kill(e *testEntry) {
	e.dead = true
	c.fence(e)
	c.network.Leave(e.id)
	c.entries = slices.DeleteFunc(c.entries, func(x *testEntry) bool { return x == e })
}

func (c *testCluster) setDown(e *testEntry, down bool) {
	e.storeDown = down
	e.faults.SetDown(down)
}

// tick runs the periodic work of all entries for some rounds, each of which
// advances the clock by step.
func (c *testCluster) tick(rounds int, step time.Duration) {
	ctx := context.Background()
	for range rounds {
		c.clock.now = c.clock.now.Add(step)
		for _, e := range slices.Clone(c.entries) {
			if e.paused || e.dead {
				continue
			}
			e.journal.Tick(ctx)
			_ = e.shards.Tick(ctx)
			_ = e.jobs.Tick(ctx)
			_ = e.jobs.Maintain(ctx)
		}
	}
}

// dispatcher connects one entry to the workers.
type dispatcher struct{ e *testEntry }

func (d *dispatcher) Capacity(pool fleet.PoolName) []control.Capacity {
	return []control.Capacity{{
		Pool: pool, DataCentre: "dc1", FreeSlots: d.e.cluster.freeSlots, TotalSlots: 8,
		LargestVM: d.e.cluster.largestVM,
	}}
}

func (d *dispatcher) Reserve(_ context.Context, dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	if d.e.cluster.onReserve != nil {
		d.e.cluster.onReserve(d.e)
	}
	vm := fleet.VMID("vm1")
	if slices.Contains(req.Avoid, vm) {
		vm = "vm2"
	}
	return control.Reservation{VM: vm, DataCentre: dc, Epoch: 1, Attempt: req.Attempt}, nil
}

func (d *dispatcher) Release(context.Context, control.Reservation) {}

func (d *dispatcher) Start(_ context.Context, res control.Reservation, task backing.Task) error {
	cluster := d.e.cluster
	lose, delay, refuse := cluster.onStart(d.e, task)
	switch {
	case refuse:
		cluster.refused[task.ID] = true
		return &fleet.Refusal{Reason: fleet.ReasonNoCapacity}
	case delay:
		cluster.delayedStarts = append(cluster.delayedStarts, pendingStart{res, task})
		return rpc.ErrNoAnswer
	}
	if !cluster.deliverStart(pendingStart{res, task}) {
		return &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: "fenced"}
	}
	if lose {
		return rpc.ErrNoAnswer
	}
	return nil
}

// deliverStart delivers a start to its worker and reports whether the task is
// started. The worker refuses a start with an epoch below the highest that it
// has seen.
func (c *testCluster) deliverStart(p pendingStart) bool {
	if c.refused[p.task.ID] {
		return false
	}
	if c.tasks[p.task.ID] != nil {
		return true
	}
	c.tasks[p.task.ID] = &workerTask{
		TaskStatus: backing.TaskStatus{ID: p.task.ID, Job: p.task.Job, Step: p.task.Step, State: backing.TaskRunning},
		vm:         p.res.VM,
	}
	key := stepKey(p.task.Job, p.task.Step)
	c.starts[key] = append(c.starts[key], p.task.ID)
	return true
}

func stepKey(job fleet.JobID, step int) string { return fmt.Sprintf("%s/%d", job, step) }

func (d *dispatcher) Cancel(_ context.Context, _ fleet.VMID, attempt fleet.AttemptID) error {
	if t := d.e.cluster.tasks[attempt]; t != nil && t.State == backing.TaskRunning {
		t.State = backing.TaskStopped
	}
	return nil
}

func (d *dispatcher) Lookup(_ context.Context, vm fleet.VMID, attempt fleet.AttemptID) (backing.TaskStatus, *control.TaskEnd, bool) {
	cluster := d.e.cluster
	if cluster.lookupsUnanswered {
		return backing.TaskStatus{}, nil, false
	}
	t := cluster.tasks[attempt]
	if t == nil || cluster.acknowledged[attempt] {
		cluster.refused[attempt] = true
		return backing.TaskStatus{}, &control.TaskEnd{Attempt: attempt, NotStarted: true}, true
	}
	if t.State == backing.TaskRunning {
		return t.TaskStatus, nil, true
	}
	if t.State == taskLost {
		return backing.TaskStatus{}, nil, false
	}
	end := t.end()
	return t.TaskStatus, &end, true
}

// taskLost is the state of a task whose worker was lost; reports of its end have
// no state.
const taskLost backing.TaskState = "lost"

func (t *workerTask) end() control.TaskEnd {
	if t.State == taskLost {
		return control.TaskEnd{Job: t.Job, Attempt: t.ID, Step: t.Step, VM: t.vm}
	}
	return control.TaskEnd{Job: t.Job, Attempt: t.ID, Step: t.Step, VM: t.vm, State: t.State, Body: t.Body}
}

// report sends the end of a task to an entry. The worker forgets the task once
// the report is acknowledged.
func (c *testCluster) report(e *testEntry, end control.TaskEnd) {
	if e.jobs.TaskEnded(context.Background(), end) == nil {
		c.acknowledged[end.Attempt] = true
	}
}

// finish ends a running task at its worker.
func (c *testCluster) finish(id fleet.AttemptID, state backing.TaskState) control.TaskEnd {
	t := c.tasks[id]
	if t.State == backing.TaskRunning {
		t.State = state
		if state == backing.TaskCompleted {
			t.Body = body(t.Job, t.Step, id)
		}
	}
	return t.end()
}

func body(job fleet.JobID, step int, attempt fleet.AttemptID) []byte {
	return fmt.Appendf(nil, "%s/%d/%s", job, step, attempt)
}

// running returns the running attempts, ordered by id.
func (c *testCluster) running() []fleet.AttemptID {
	var ids []fleet.AttemptID
	for id, t := range c.tasks {
		if t.State == backing.TaskRunning {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// completeAll completes all running tasks until no entry has work left, for at
// most the given number of rounds.
func (c *testCluster) completeAll(rounds int) {
	for i := 0; i < rounds && (i < 3 || c.busy()); i++ {
		c.tick(3, time.Second)
		for _, id := range c.running() {
			end := c.finish(id, backing.TaskCompleted)
			c.report(c.entries[0], end)
		}
	}
}

func (c *testCluster) busy() bool {
	return slices.ContainsFunc(c.entries, func(e *testEntry) bool {
		s := e.jobs.Stats()
		return s.Queued+s.Open > 0
	})
}

func job(id string, steps int, idempotent bool) fleet.Job {
	j := fleet.Job{ID: ID("a", id), Team: "a", Queue: "q", Class: fleet.ClassStandard, Idempotent: idempotent, RunTime: time.Second}
	for i := range steps {
		j.Steps = append(j.Steps, fleet.Step{Command: fmt.Sprint("step", i)})
	}
	return j
}

func mustSubmit(t *testing.T, e *testEntry, j fleet.Job) {
	t.Helper()
	status, err := e.jobs.Submit(context.Background(), j)
	if err != nil || status.State != control.JobQueued {
		t.Fatalf("submit: status %+v, error %v, want a queued job", status, err)
	}
}

func refusalReason(err error) fleet.Reason {
	var refusal *fleet.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}
