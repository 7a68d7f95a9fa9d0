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

// clock advances a little with each reading, so that rate limits refill while
// everything runs in one goroutine.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time {
	c.now = c.now.Add(time.Microsecond)
	return c.now
}

// node is one entry; it is its own Membership, View and Limits.
type node struct {
	w       *world
	id      string
	faults  *memory.Faults
	down    bool // store
	session backing.Condition
	invalid bool
	stale   bool
	limit   int
	taken   map[fleet.TeamName]int
	adopted map[string]int
	journal *journal.Journal
	shards  *shards.Manager
	jobs    *Manager
	paused  bool // is inside a pause and must not be driven
	dead    bool
	table   *blindTable
}

func (n *node) Self() control.Member            { return control.Member{ID: n.id} }
func (n *node) Members() control.Members        { return n.w.members }
func (n *node) Session() backing.Condition      { return n.session }
func (n *node) Snapshot() *config.Snapshot      { return n.w.snapshot }
func (n *node) StoreReachable() bool            { return !n.down }
func (n *node) Demand(fleet.TeamName, int, int) {}

func (n *node) Valid() error {
	if n.invalid {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, RetryAfter: time.Second}
	}
	return nil
}

func (n *node) Fresh() error {
	if n.stale {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, RetryAfter: time.Second}
	}
	return nil
}

func (n *node) Take(team fleet.TeamName) error {
	if n.taken[team] >= n.limit {
		return &fleet.Refusal{Reason: fleet.ReasonTeamLimit}
	}
	n.taken[team]++
	return nil
}

func (n *node) Return(team fleet.TeamName) {
	n.taken[team]--
	if n.taken[team] < 0 {
		n.w.fault("node %s returned a unit of %s that it had not taken", n.id, team)
	}
}

func (n *node) Adopt(team fleet.TeamName, from string) {
	n.taken[team]++
	n.adopted[from]++
}

// blindTable is the store as one node reaches it. A commit may take effect
// without an answer while the reads after it fail, so that its outcome remains
// unknown for some time.
type blindTable struct {
	backing.Table
	blind int // reads that fail
	lose  int // commits whose answer is lost
}

func (t *blindTable) Get(ctx context.Context, key string) (backing.Row, error) {
	if t.blind > 0 {
		t.blind--
		return backing.Row{}, backing.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

func (t *blindTable) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	versions, err := t.Table.Commit(ctx, txn)
	if err == nil && t.lose > 0 {
		t.lose--
		t.blind = 12
		return nil, backing.ErrUnknown
	}
	return versions, err
}

// workerTask is what a worker knows of an attempt.
type workerTask struct {
	backing.TaskStatus
	vm fleet.VMID
}

// pendingStart is a start on its way to a worker.
type pendingStart struct {
	res  control.Reservation
	task backing.Task
}

// world is the platform, the network and the workers.
type world struct {
	clock    *clock
	table    *memory.Table
	objects  *memory.Objects
	network  *rpctest.Network
	members  control.Members
	snapshot *config.Snapshot
	nodes    []*node
	born     int
	attempts int
	options  Options

	tasks   map[fleet.AttemptID]*workerTask
	refused map[fleet.AttemptID]bool     // proved not to have started: a higher epoch was seen
	starts  map[string][]fleet.AttemptID // by job and step
	// forgotten tasks were acknowledged by the owners of their jobs, so that
	// their workers know nothing of them any more.
	forgotten map[fleet.AttemptID]bool
	delayed   []pendingStart
	silent    bool // VM owners answer no lookups
	free      int
	largest   fleet.Resources // VM of the pool
	onReserve func(n *node)
	onStart   func(n *node, task backing.Task) (lose, delay, refuse bool)
	faults    []string
}

func newWorld(nodes int) *world {
	w := &world{
		clock:     &clock{now: time.Unix(1_000_000, 0)},
		table:     memory.NewTable(nil),
		objects:   memory.NewObjects(nil),
		network:   rpctest.NewNetwork(),
		tasks:     map[fleet.AttemptID]*workerTask{},
		refused:   map[fleet.AttemptID]bool{},
		forgotten: map[fleet.AttemptID]bool{},
		starts:    map[string][]fleet.AttemptID{},
		free:      8,
		largest:   fleet.Resources{MilliCPU: 16000, MemoryMB: 64000},
		onStart:   func(*node, backing.Task) (bool, bool, bool) { return false, false, false },
	}
	w.snapshot = &config.Snapshot{
		Revision:    1,
		DataCentres: map[fleet.DataCentreName]fleet.DataCentre{"dc1": {Name: "dc1", State: fleet.DataCentreIn}},
		Teams:       map[fleet.TeamName]fleet.Team{"a": {Name: "a", Share: 500}, "b": {Name: "b", Share: 250}},
		Keys:        map[fleet.KeyID]fleet.Key{"k": {ID: "k", Team: "a"}},
		Queues: map[fleet.QueueName]fleet.Queue{
			"q": {Name: "q", Pool: "p", Teams: []fleet.TeamName{"a", "b"}, MaxQueued: 1000},
		},
	}
	for range nodes {
		w.add()
	}
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) add() *node {
	w.born++
	n := &node{
		w: w, id: fmt.Sprintf("n%d", w.born), faults: &memory.Faults{}, limit: 1000,
		taken: map[fleet.TeamName]int{}, adopted: map[string]int{},
	}
	w.join(n)
	txn := 0
	ids := func() string { txn++; return fmt.Sprintf("%s-%d", n.id, txn) }
	n.table = &blindTable{Table: w.table.Via(n.faults)}
	table, objects := n.table, w.objects.Via(n.faults)
	n.journal = journal.New(journal.Options{Table: table, Objects: objects, Membership: n, Clock: w.clock, WritesPerSecond: 1e12, TxnID: ids, After: func(time.Duration, func()) {}})
	n.shards = shards.New(shards.Options{Table: table, Membership: n, Count: 8, TxnID: ids})
	o := w.options
	router := rpc.NewRouter()
	o.Clock, o.Membership, o.View, o.Limits, o.Dispatcher = w.clock, n, n, n, &dispatcher{n}
	o.Journal, o.Shards, o.Caller = n.journal, n.shards, w.network.Join(n.id, router)
	o.MaxParallelCalls = 1
	o.Sleep = func(context.Context, time.Duration) error { return nil }
	o.AttemptID = func(job fleet.JobID) fleet.AttemptID {
		w.attempts++
		return fleet.AttemptID(fmt.Sprintf("%s.%d", job, w.attempts))
	}
	n.jobs = New(o)
	n.jobs.Register(router)
	n.shards.SetHandoff(n.jobs)
	w.nodes = append(w.nodes, n)
	return n
}

// join gives a node a session and enters it into the member list.
func (w *world) join(n *node) {
	key := "session/" + n.id
	versions, err := w.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: key}}})
	if err != nil {
		panic(err)
	}
	n.session = backing.Condition{Key: key, Version: versions[0]}
	w.members.Version++
	w.members.List = append(slices.Clone(w.members.List), n.Self())
}

// renew gives a killed node's process a new session.
func (w *world) renew(n *node, id string) {
	n.id, n.invalid, n.dead = id, false, false
	n.taken = map[fleet.TeamName]int{}
	w.join(n)
}

// reconfigure puts a new configuration in force.
func (w *world) reconfigure(state fleet.DataCentreState, withdrawn bool) {
	next := *w.snapshot
	next.Revision++
	next.DataCentres = map[fleet.DataCentreName]fleet.DataCentre{"dc1": {Name: "dc1", State: state}}
	next.Keys = map[fleet.KeyID]fleet.Key{"k": {ID: "k", Team: "a", Withdrawn: withdrawn}}
	w.snapshot = &next
}

// fence ends a session as another entry does it after its TTL.
func (w *world) fence(n *node) {
	_, err := w.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: n.session.Key, Delete: true}}})
	if err != nil {
		panic(err)
	}
	w.members.Version++
	w.members.List = slices.DeleteFunc(slices.Clone(w.members.List), func(m control.Member) bool { return m.ID == n.id })
	n.invalid = true
}

// kill ends a node: nothing of it runs any more.
func (w *world) kill(n *node) {
	n.dead = true
	w.fence(n)
	w.network.Leave(n.id)
	w.nodes = slices.DeleteFunc(w.nodes, func(x *node) bool { return x == n })
}

func (w *world) setDown(n *node, down bool) {
	n.down = down
	n.faults.SetDown(down)
}

// tick drives all nodes for some rounds.
func (w *world) tick(rounds int, step time.Duration) {
	ctx := context.Background()
	for range rounds {
		w.clock.now = w.clock.now.Add(step)
		for _, n := range slices.Clone(w.nodes) {
			if n.paused || n.dead {
				continue
			}
			n.journal.Tick(ctx)
			_ = n.shards.Tick(ctx)
			_ = n.jobs.Tick(ctx)
			_ = n.jobs.Maintain(ctx)
		}
	}
}

// dispatcher is the way of one node to the workers.
type dispatcher struct{ n *node }

func (d *dispatcher) Capacity(pool fleet.PoolName) []control.Capacity {
	return []control.Capacity{{
		Pool: pool, DataCentre: "dc1", FreeSlots: d.n.w.free, TotalSlots: 8,
		LargestVM: d.n.w.largest,
	}}
}

func (d *dispatcher) Reserve(_ context.Context, dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	if d.n.w.onReserve != nil {
		d.n.w.onReserve(d.n)
	}
	vm := fleet.VMID("vm1")
	if slices.Contains(req.Avoid, vm) {
		vm = "vm2"
	}
	return control.Reservation{VM: vm, DataCentre: dc, Epoch: 1, Attempt: req.Attempt}, nil
}

func (d *dispatcher) Release(context.Context, control.Reservation) {}

func (d *dispatcher) Start(_ context.Context, res control.Reservation, task backing.Task) error {
	w := d.n.w
	lose, delay, refuse := w.onStart(d.n, task)
	switch {
	case refuse:
		w.refused[task.ID] = true
		return &fleet.Refusal{Reason: fleet.ReasonNoCapacity}
	case delay:
		w.delayed = append(w.delayed, pendingStart{res, task})
		return rpc.ErrNoAnswer
	}
	if !w.arrive(pendingStart{res, task}) {
		return &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: "fenced"}
	}
	if lose {
		return rpc.ErrNoAnswer
	}
	return nil
}

// arrive lets a start reach its worker, which refuses it below the highest
// epoch that it has seen.
func (w *world) arrive(p pendingStart) bool {
	if w.refused[p.task.ID] {
		return false
	}
	if w.tasks[p.task.ID] != nil {
		return true
	}
	w.tasks[p.task.ID] = &workerTask{
		TaskStatus: backing.TaskStatus{ID: p.task.ID, Job: p.task.Job, Step: p.task.Step, State: backing.TaskRunning},
		vm:         p.res.VM,
	}
	key := stepKey(p.task.Job, p.task.Step)
	w.starts[key] = append(w.starts[key], p.task.ID)
	return true
}

func stepKey(job fleet.JobID, step int) string { return fmt.Sprintf("%s/%d", job, step) }

func (d *dispatcher) Cancel(_ context.Context, _ fleet.VMID, attempt fleet.AttemptID) error {
	if t := d.n.w.tasks[attempt]; t != nil && t.State == backing.TaskRunning {
		t.State = backing.TaskStopped
	}
	return nil
}

func (d *dispatcher) Lookup(_ context.Context, vm fleet.VMID, attempt fleet.AttemptID) (backing.TaskStatus, *control.TaskEnd, bool) {
	w := d.n.w
	if w.silent {
		return backing.TaskStatus{}, nil, false
	}
	t := w.tasks[attempt]
	if t == nil || w.forgotten[attempt] {
		w.refused[attempt] = true
		return backing.TaskStatus{}, &control.TaskEnd{Attempt: attempt, NotStarted: true}, true
	}
	if t.State == backing.TaskRunning {
		return t.TaskStatus, nil, true
	}
	if t.State == lost {
		return backing.TaskStatus{}, nil, false
	}
	end := t.end()
	return t.TaskStatus, &end, true
}

// lost is the state of a task whose worker is gone; reports leave it out.
const lost backing.TaskState = "lost"

func (t *workerTask) end() control.TaskEnd {
	if t.State == lost {
		return control.TaskEnd{Job: t.Job, Attempt: t.ID, Step: t.Step, VM: t.vm}
	}
	return control.TaskEnd{Job: t.Job, Attempt: t.ID, Step: t.Step, VM: t.vm, State: t.State, Body: t.Body}
}

// report tells a node of the end of a task; the worker forgets the task once
// that is acknowledged.
func (w *world) report(n *node, end control.TaskEnd) {
	if n.jobs.TaskEnded(context.Background(), end) == nil {
		w.forgotten[end.Attempt] = true
	}
}

// finish ends a running task at its worker.
func (w *world) finish(id fleet.AttemptID, state backing.TaskState) control.TaskEnd {
	t := w.tasks[id]
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

// running returns the attempts that run, in order.
func (w *world) running() []fleet.AttemptID {
	var ids []fleet.AttemptID
	for id, t := range w.tasks {
		if t.State == backing.TaskRunning {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// drain completes everything that runs until no node has work, at most for
// some rounds.
func (w *world) drain(rounds int) {
	for i := 0; i < rounds && (i < 3 || w.busy()); i++ {
		w.tick(3, time.Second)
		for _, id := range w.running() {
			end := w.finish(id, backing.TaskCompleted)
			w.report(w.nodes[0], end)
		}
	}
}

func (w *world) busy() bool {
	return slices.ContainsFunc(w.nodes, func(n *node) bool {
		s := n.jobs.Stats()
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

func mustSubmit(t *testing.T, n *node, j fleet.Job) {
	t.Helper()
	status, err := n.jobs.Submit(context.Background(), j)
	if err != nil || status.State != control.JobQueued {
		t.Fatalf("submit: status %+v, error %v", status, err)
	}
}

func refusalReason(err error) fleet.Reason {
	var refusal *fleet.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}
