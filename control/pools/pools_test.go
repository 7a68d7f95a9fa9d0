package pools_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/control/pools/poolstest"
	"amaranthfork.example/control/role"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

var ctx = context.Background()

// snapshot declares two data centres, d0 and d1, a spare pool, and the pools a
// and b. Of the VMs 0 to 11, on racks r0 to r3, pool a names the even ones and
// pool b the odd ones.
func snapshot() *config.Snapshot {
	s := &config.Snapshot{
		Pools: map[fleet.PoolName]fleet.Pool{
			"a": {Name: "a", MaxUnavailable: 2}, "b": {Name: "b", MaxUnavailable: 2},
			"spare": {Name: "spare", Spare: true, MaxUnavailable: 1},
		},
		DataCentres: map[fleet.DataCentreName]fleet.DataCentre{
			"d0": {Name: "d0", State: fleet.DataCentreIn}, "d1": {Name: "d1", State: fleet.DataCentreIn},
		},
		Maintenance: fleet.MaintenancePlan{
			Period: 14 * 24 * time.Hour, DrainTimeout: 10 * time.Minute, RebootTimeout: 10 * time.Minute,
			MaxPerRack: 2, MaxPerDataCentre: 3, StopAfterFailures: 2, AvoidDataCentresOut: true,
		},
	}
	for i := range 12 {
		name := fleet.PoolName("a")
		if i%2 == 1 {
			name = "b"
		}
		p := s.Pools[name]
		p.VMs = append(p.VMs, vmID(i))
		s.Pools[name] = p
	}
	return s
}

func vmID(i int) fleet.VMID { return fleet.VMID(fmt.Sprintf("vm-%02d", i)) }

func vm(i int) fleet.VM {
	rack := i / 3 % 4
	return fleet.VM{
		ID: vmID(i), DataCentre: fleet.DataCentreName(fmt.Sprintf("d%d", rack/2)),
		Rack: fleet.RackName(fmt.Sprintf("r%d", rack)),
	}
}

// node is an entry with its pool controller.
type node struct {
	*poolstest.Entry
	ledger     *pools.Ledger
	role       *role.Role
	controller *pools.Controller
	ticking    bool // a round is in progress; the controller has one at a time
}

func join(w *poolstest.Simulation, n int) *node {
	e := w.Join(fmt.Sprintf("entry-%03d", n))
	ledger := pools.NewLedger(pools.LedgerOptions{Table: e, View: w, Clock: w})
	r := role.New(role.Options{Name: pools.RoleName, Table: e, Membership: e})
	controller := pools.NewController(pools.Options{
		Ledger: ledger, Role: r, View: w, VMList: e, VMs: e, Dispatch: w, Clock: w,
	})
	return &node{Entry: e, ledger: ledger, role: r, controller: controller}
}

// tick does a round of the controller unless one is in progress.
func (n *node) tick() {
	if n.ticking {
		return
	}
	n.ticking = true
	defer func() { n.ticking = false }()
	_ = n.controller.Tick(ctx)
}

// newAssignedSimulation returns a simulation whose 13 VMs are assigned, and its
// first entry. vm-12 is in the spare pool.
func newAssignedSimulation(t interface{ Fatal(...any) }) (*poolstest.Simulation, *node) {
	w := poolstest.NewSimulation(snapshot())
	for i := range 13 {
		w.Add(vm(i))
	}
	n := join(w, 0)
	w.Step(time.Second)
	if err := errors.Join(n.controller.Tick(ctx), w.DispatchCache.Tick(ctx)); err != nil {
		t.Fatal(err)
	}
	return w, n
}

// round advances the time by 20 s and ticks a controller and the dispatcher's
// cache.
func round(w *poolstest.Simulation, n *node) error {
	w.Step(20 * time.Second)
	return errors.Join(n.controller.Tick(ctx), w.DispatchCache.Tick(ctx))
}

func rounds(t *testing.T, w *poolstest.Simulation, n *node, count int) {
	t.Helper()
	for range count {
		if err := round(w, n); err != nil {
			t.Fatal(err)
		}
	}
}

// TestMove guards the steps of a move: it waits for running tasks, a move that
// times out or is aborted puts the VM back, and each outcome returns the
// budget.
func TestMove(t *testing.T) {
	cases := map[string]struct {
		during func(w *poolstest.Simulation, n *node) error
		taskS  int // running time of a task on the VM, in seconds; 0 for no task
		pool   fleet.PoolName
	}{
		"idle":         {nil, 0, "b"},
		"task ends":    {nil, 120, "b"},
		"timed out":    {nil, 7200, "a"},
		"aborted":      {func(_ *poolstest.Simulation, n *node) error { return n.ledger.Abort(ctx, vmID(0)) }, 120, "a"},
		"failed":       {func(w *poolstest.Simulation, _ *node) error { w.SetVMState(vmID(0), fleet.VMLeaving); return nil }, 120, "a"},
		"answers lost": {func(_ *poolstest.Simulation, n *node) error { n.Faults.LoseAnswers(3); n.LoseAnswers = 3; return nil }, 120, "b"},
		"release fails": {func(w *poolstest.Simulation, _ *node) error {
			failures := 2
			w.BeforeCall = func(_ *poolstest.Entry, op string) error {
				if failures--; op == "release" && failures >= 0 {
					return backing.ErrUnavailable
				} else if op != "release" {
					failures++
				}
				return nil
			}
			return nil
		}, 60, "b"},
		"asked for twice": {func(_ *poolstest.Simulation, n *node) error { return n.ledger.Move(ctx, vmID(0), "b") }, 120, "b"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w, n := newAssignedSimulation(t)
			if tc.taskS > 0 && !w.Start(vmID(0), "task", poolstest.Task{End: w.Time.Add(time.Duration(tc.taskS) * time.Second)}) {
				t.Fatal("task not started")
			}
			if err := n.ledger.Move(ctx, vmID(0), "b"); err != nil {
				t.Fatal(err)
			}
			_ = round(w, n)
			if tc.during != nil {
				if err := tc.during(w, n); err != nil {
					t.Fatal(err)
				}
			}
			for i := range 60 {
				if i == 40 && name == "failed" {
					w.SetVMState(vmID(0), fleet.VMLive)
				}
				_ = round(w, n)
			}
			checkAssignment(t, w, vmID(0), tc.pool, pools.StateActive)
			checkNoRecords(t, w)
			if _, drained := w.VM(vmID(0)); drained {
				t.Error("VM was not released")
			}
			checkViolations(t, w)
		})
	}
}

// TestDraw guards each limit and rule of the availability budgets.
func TestDraw(t *testing.T) {
	out := func(dc fleet.DataCentreName) func(*config.Snapshot) {
		return func(s *config.Snapshot) {
			s.DataCentres[dc] = fleet.DataCentre{Name: dc, State: fleet.DataCentreOut}
		}
	}
	cases := map[string]struct {
		change func(*config.Snapshot)
		drawn  []int // VMs that have failed before
		vm     int
		cause  pools.Cause
		bound  pools.Bound // "" if the draw must be accepted
	}{
		"within all limits":         {nil, nil, 0, pools.CausePlanned, ""},
		"pool":                      {nil, []int{0, 6}, 2, pools.CausePlanned, pools.BoundPool},
		"other pool":                {nil, []int{0, 6}, 1, pools.CausePlanned, ""},
		"failure above pool":        {nil, []int{0, 6}, 2, pools.CauseFailed, ""},
		"rack":                      {nil, []int{0, 1}, 2, pools.CauseOperator, pools.BoundRack},
		"data centre":               {nil, []int{1, 2, 5}, 4, pools.CauseMove, pools.BoundDataCentre},
		"spare moves freely":        {func(s *config.Snapshot) { setMax(s, "spare", 0) }, nil, 12, pools.CauseMove, ""},
		"spare is maintained":       {func(s *config.Snapshot) { setMax(s, "spare", 0) }, nil, 12, pools.CausePlanned, pools.BoundPool},
		"unavailable":               {nil, []int{0}, 0, pools.CausePlanned, pools.BoundUnavailable},
		"other out, avoided":        {out("d1"), nil, 0, pools.CausePlanned, pools.BoundDataCentreOut},
		"other out counts for pool": {out("d1"), nil, 0, pools.CauseOperator, pools.BoundPool},
		"own out":                   {out("d0"), nil, 0, pools.CausePlanned, ""},
		"own out, budget on return": {out("d0"), []int{6, 8}, 0, pools.CausePlanned, pools.BoundPool},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w, n := newAssignedSimulation(t)
			for _, i := range tc.drawn {
				if err := n.ledger.Draw(ctx, vm(i).DataCentre, vmID(i), pools.CauseFailed, ""); err != nil {
					t.Fatal(err)
				}
			}
			if tc.change != nil {
				tc.change(w.Config)
			}
			err := n.ledger.Draw(ctx, vm(tc.vm).DataCentre, vmID(tc.vm), tc.cause, "")
			var refused *pools.BudgetError
			switch {
			case tc.bound == "" && err != nil:
				t.Fatalf("refused: %v", err)
			case tc.bound != "" && !errors.As(err, &refused):
				t.Fatalf("not refused: %v", err)
			case tc.bound != "" && refused.Bound != tc.bound:
				t.Fatalf("refused by another bound: %v", err)
			}
		})
	}
}

func setMax(s *config.Snapshot, name fleet.PoolName, n int) {
	p := s.Pools[name]
	p.MaxUnavailable = n
	s.Pools[name] = p
}

// TestGoneVM guards against a budget that does not count a removed VM until
// another one has replaced it, and against the removal of a VM that the list
// only omits.
func TestGoneVM(t *testing.T) {
	w, n := newAssignedSimulation(t)
	w.SetVMState(vmID(0), fleet.VMGone)
	rounds(t, w, n, 60)
	if _, _, err := n.ledger.Locate(ctx, vmID(0)); !errors.Is(err, pools.ErrUnassigned) {
		t.Fatalf("Locate of a VM that is gone returned %v, want ErrUnassigned", err)
	}
	if byPool, _, err := n.ledger.Budgets(ctx); err != nil || byPool["a"].Lost() != 1 {
		t.Fatalf("pool a has %d lost VMs, want 1; %v", byPool["a"].Lost(), err)
	}
	if err := n.ledger.Move(ctx, vmID(12), "a"); err != nil {
		t.Fatal(err)
	}
	rounds(t, w, n, 3)
	checkAssignment(t, w, vmID(12), "a", pools.StateActive)
	checkNoRecords(t, w)
	w.SetVMState(vmID(1), fleet.VMLeaving)
	rounds(t, w, n, 60)
	checkAssignment(t, w, vmID(1), "b", pools.StateActive)
	w.Omitted[vmID(3)] = true
	rounds(t, w, n, 60)
	checkAssignment(t, w, vmID(3), "b", pools.StateActive)
	delete(w.Omitted, vmID(3))
	w.SetVMState(vmID(0), fleet.VMLive) // returns to a pool without a lost record
	w.SetVMState(vmID(2), fleet.VMGone)
	rounds(t, w, n, 60)
	w.SetVMState(vmID(2), fleet.VMLive)
	rounds(t, w, n, 2)
	checkAssignment(t, w, vmID(2), "a", pools.StateActive)
	// A VM that is removed during a drain is released when it comes back.
	if !w.Start(vmID(6), "task", poolstest.Task{End: w.Time.Add(time.Hour)}) {
		t.Fatal("task not started")
	}
	if err := n.ledger.Move(ctx, vmID(6), "b"); err != nil {
		t.Fatal(err)
	}
	rounds(t, w, n, 1)
	w.SetVMState(vmID(6), fleet.VMGone)
	for range 60 {
		_ = round(w, n) // the platform does not know the VM
	}
	w.SetVMState(vmID(6), fleet.VMLive)
	rounds(t, w, n, 2)
	if _, drained := w.VM(vmID(6)); drained {
		t.Fatal("VM came back drained")
	}
	delete(w.Config.Pools, "b")
	w.SetVMState(vmID(1), fleet.VMLive)
	rounds(t, w, n, 200)
	checkAssignment(t, w, vmID(1), "spare", pools.StateActive)
	checkNoRecords(t, w)
	checkViolations(t, w)
}

// TestPausedController guards against a controller that loses the role during a
// pause before its commit and then writes what it decided by its old listing.
func TestPausedController(t *testing.T) {
	w, n := newAssignedSimulation(t)
	before, err := w.Table.Get(ctx, pools.AssignmentPrefix+"d0")
	if err != nil {
		t.Fatal(err)
	}
	other := join(w, 1)
	w.Add(fleet.VM{ID: "vm-99", DataCentre: "d0", Rack: "r0"})
	w.Step(time.Second)
	w.BeforeCall = func(e *poolstest.Entry, op string) error {
		if e == n.Entry && op == "commit" && !n.Expired {
			w.Fence(n.Entry)
			return other.role.Tick(ctx)
		}
		return nil
	}
	if err := n.controller.Tick(ctx); err == nil || other.role.Held() != nil {
		t.Fatalf("Tick of the paused controller returned %v, want an error; Held of the other entry returned %v, want nil", err, other.role.Held())
	}
	after, err := w.Table.Get(ctx, pools.AssignmentPrefix+"d0")
	if err != nil || after.Version != before.Version {
		t.Fatalf("a paused controller wrote the row: version %d, %v", after.Version, err)
	}
}

// TestReturnWaitsForListing guards against returning the budget of a failed VM
// by a listing from before the failure, and against a second assignment of a VM
// that the list shows in another data centre.
func TestReturnWaitsForListing(t *testing.T) {
	w, n := newAssignedSimulation(t)
	w.ListLag = 5 * time.Minute
	n.Faults.LoseAnswers(1) // the next attempt reads the rows and finds the draw
	if err := n.ledger.Draw(ctx, "d0", vmID(0), pools.CauseFailed, "reported by the dispatcher"); err != nil {
		t.Fatal(err)
	}
	rounds(t, w, n, 3)
	if _, byDC, err := n.ledger.Budgets(ctx); err != nil || len(byDC["d0"].VMs) != 1 {
		t.Fatalf("the record of the failure was removed by a listing from before it: %v", err)
	}
	rounds(t, w, n, 30)
	checkNoRecords(t, w)
	relocated := vm(0)
	relocated.DataCentre = "d1"
	w.Add(relocated)
	rounds(t, w, n, 30)
	checkAssignment(t, w, vmID(0), "a", pools.StateActive)
	checkViolations(t, w)
}

// TestRaces guards the availability budgets, the one pool of each VM (both are
// audited after every commit) and the end of every move, under races of entries
// and operators, interrupted and paused entries, and faults of the platform.
func TestRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, first := newAssignedSimulation(t)
		w.ListLag = time.Duration(rapid.IntRange(0, 120).Draw(t, "lag")) * time.Second
		c := &raceRun{t: t, w: w, nodes: []*node{first}, joined: 1}
		c.add()
		w.BeforeCall = c.hook
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			c.step()
			if len(w.Violations) > 0 {
				t.Fatal(w.Violations)
			}
		}
		c.recoverAndCheck()
	})
}

// raceRun is one run of TestRaces. Its faults and actions are drawn by rapid.
type raceRun struct {
	t      *rapid.T
	w      *poolstest.Simulation
	nodes  []*node
	joined int
	tasks  int
	nested bool // in the hook, which does not run for the calls that it makes itself
}

// int draws a number from 0 to n-1.
func (c *raceRun) int(label string, n int) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }
func (c *raceRun) vm() fleet.VMID              { return vmID(c.int("vm", 13)) }
func (c *raceRun) node() *node                 { return c.nodes[c.int("node", len(c.nodes))] }

func (c *raceRun) add() {
	c.joined++
	c.nodes = append(c.nodes, join(c.w, c.joined))
}

// fence ends the session of an entry and starts another entry in its place. The
// old one stays among the nodes: it may only be paused.
func (c *raceRun) fence(e *poolstest.Entry) {
	if e.Expired {
		return
	}
	c.w.Fence(e)
	c.add()
}

// hook injects a fault before a call of an entry, or lets others act first.
func (c *raceRun) hook(e *poolstest.Entry, op string) error {
	if c.nested {
		return nil
	}
	c.nested = true
	defer func() { c.nested = false }()
	switch c.int("fault", 24) {
	case 0:
		e.Dead = true
		c.fence(e)
	case 1, 2: // others act before the call
		c.step()
	case 3: // the entry is paused until its session is fenced
		c.fence(e)
		for range 4 {
			c.step()
		}
		if op == "drain" || op == "release" {
			return backing.ErrUnavailable // the call has timed out during the pause
		}
	case 4:
		e.Faults.LoseAnswers(1)
		e.LoseAnswers = 1
	case 5:
		return backing.ErrUnavailable
	}
	return nil
}

// step takes one action of an entry, an operator, the platform or the clock.
func (c *raceRun) step() {
	w, n := c.w, c.node()
	pool := []fleet.PoolName{"a", "b", "spare"}
	switch c.int("do", 16) {
	case 0, 1, 2, 3:
		n.tick()
	case 4, 5:
		_ = n.ledger.Move(ctx, c.vm(), pool[c.int("pool", 3)])
	case 6:
		_ = n.ledger.Abort(ctx, c.vm())
	case 7:
		id := c.vm()
		_ = n.ledger.Draw(ctx, vm(0).DataCentre, id, pools.CauseFailed, "reported by the dispatcher")
	case 8:
		states := []fleet.VMState{fleet.VMLive, fleet.VMLeaving, fleet.VMGone}
		w.SetVMState(c.vm(), states[c.int("state", 3)])
	case 9:
		for i, rack := 0, c.int("rack", 4); i < 3; i++ {
			w.SetVMState(vmID(rack*3+i), fleet.VMLeaving)
		}
	case 10, 11:
		c.tasks++
		w.Start(c.vm(), fleet.AttemptID(fmt.Sprint(c.tasks)), poolstest.Task{End: w.Time.Add(time.Duration(c.int("minutes", 20)) * time.Minute)})
	case 12:
		_ = w.DispatchCache.Tick(ctx)
	case 13:
		w.Step(time.Duration(c.int("seconds", 400)) * time.Second)
	case 14:
		n.Faults.SetDown(rapid.Bool().Draw(c.t, "down"))
	case 15:
		if !c.nested { // not between the check of a draw and its commit
			dc := fleet.DataCentreName(fmt.Sprintf("d%d", c.int("dc", 2)))
			states := []fleet.DataCentreState{fleet.DataCentreIn, fleet.DataCentreOut}
			w.Config.DataCentres[dc] = fleet.DataCentre{Name: dc, State: states[c.int("dcState", 2)]}
		}
	}
}

// recoverAndCheck ends all faults and checks that every move ends, every VM
// serves again and the budgets are returned.
func (c *raceRun) recoverAndCheck() {
	w := c.w
	w.BeforeCall = nil
	for _, id := range w.IDs() {
		w.SetVMState(id, fleet.VMLive)
	}
	for _, n := range c.nodes {
		n.Faults.SetDown(false)
		n.Faults.LoseAnswers(0)
		n.LoseAnswers = 0
	}
	var errs error
	for range 80 {
		errs = nil
		for _, n := range c.nodes {
			if !n.Expired {
				errs = errors.Join(errs, round(w, n))
			}
		}
	}
	if errs != nil || len(w.Violations) > 0 {
		c.t.Fatal(errs, w.Violations)
	}
	for _, id := range w.IDs() {
		if pool, state := w.DispatchCache.Pool(id); state != pools.StateActive || pool == "" {
			c.t.Fatalf("VM %s is %s in pool %q, want active in a pool", id, state, pool)
		}
		if _, drained := w.VM(id); drained {
			c.t.Fatalf("VM %s is still drained", id)
		}
	}
	byPool, byDC, err := c.nodes[len(c.nodes)-1].ledger.Budgets(ctx)
	for dc, b := range byDC {
		if len(b.VMs) > 0 || err != nil {
			c.t.Fatal(dc, b, err)
		}
	}
	for pool, b := range byPool {
		if len(b.VMs) != b.Lost() {
			c.t.Fatal(pool, b)
		}
	}
}

// TestCacheReads guards the cost of polling, one read of at most 4 KB for 115
// VMs in a data centre, and the cached assignments during an outage.
func TestCacheReads(t *testing.T) {
	s := snapshot()
	w := poolstest.NewSimulation(s)
	for i := range 115 {
		w.Add(fleet.VM{ID: fleet.VMID(fmt.Sprintf("worker-%04d", i)), DataCentre: "d0", Rack: fleet.RackName(fmt.Sprintf("rack-%02d", i/4))})
	}
	n := join(w, 0)
	w.Step(time.Second)
	if err := n.controller.Tick(ctx); err != nil {
		t.Fatal(err)
	}
	cache := pools.NewCache(pools.CacheOptions{Table: n, Clock: w, DataCentre: "d0"})
	before, _ := n.Faults.Counts()
	if err := cache.Tick(ctx); err != nil {
		t.Fatal(err)
	}
	after, _ := n.Faults.Counts()
	row, err := w.Table.Get(ctx, pools.AssignmentPrefix+"d0")
	if err != nil || after-before != 1 || len(row.Value) > 4096 || len(cache.VMsOf("spare")) != 115 {
		t.Fatalf("%d reads, %d bytes, %d VMs, %v; want 1 read of at most 4096 bytes and 115 VMs", after-before, len(row.Value), len(cache.VMsOf("spare")), err)
	}
	t.Logf("115 VMs: 1 read of %d bytes", len(row.Value))
	n.Faults.SetDown(true)
	if err := cache.Tick(ctx); err == nil {
		t.Fatal("Tick returned no error in an outage")
	}
	if pool, state := cache.Pool("worker-0003"); pool != "spare" || state != pools.StateActive {
		t.Fatalf("assignment during the outage: pool %q, %s; want spare and active", pool, state)
	}
}

func checkAssignment(t *testing.T, w *poolstest.Simulation, id fleet.VMID, pool fleet.PoolName, state pools.State) {
	t.Helper()
	if p, s := w.DispatchCache.Pool(id); p != pool || s != state {
		t.Fatalf("VM %s is %s in pool %q, want %s in %q", id, s, p, state, pool)
	}
}

func checkNoRecords(t *testing.T, w *poolstest.Simulation) {
	t.Helper()
	byPool, byDC, err := pools.NewLedger(pools.LedgerOptions{Table: w.Table, View: w, Clock: w}).Budgets(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range byPool {
		if len(b.VMs) > 0 {
			t.Fatalf("pool %s has records: %+v", name, b)
		}
	}
	for name, b := range byDC {
		if len(b.VMs) > 0 {
			t.Fatalf("data centre %s has records: %+v", name, b)
		}
	}
}

func checkViolations(t *testing.T, w *poolstest.Simulation) {
	t.Helper()
	if len(w.Violations) > 0 {
		t.Fatal(w.Violations)
	}
}
