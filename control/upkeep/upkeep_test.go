package upkeep_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/control/pools/poolstest"
	"amaranthfork.example/control/role"
	"amaranthfork.example/control/upkeep"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

// The default number of checks is 50, which takes 30 s with the race detector.
func TestMain(m *testing.M) {
	os.Exit(fleettest.RunSeeded(m, map[string]string{"rapid.checks": "50"}))
}

var ctx = context.Background()

const period = 24 * time.Hour

// newSimulation returns a simulation with n VMs, four to a rack, spread over
// data centres and pools. Pool p0 is the spare pool. Each VM is due once a day.
func newSimulation(n, dataCentres, poolCount int) *poolstest.Simulation {
	s := &config.Snapshot{
		Pools: map[fleet.PoolName]fleet.Pool{}, DataCentres: map[fleet.DataCentreName]fleet.DataCentre{},
		Maintenance: fleet.MaintenancePlan{
			Period: period, DrainTimeout: 10 * time.Minute, RebootTimeout: 20 * time.Minute,
			MaxPerRack: 1, MaxPerDataCentre: max(2, n/dataCentres/10), StopAfterFailures: 2, AvoidDataCentresOut: true,
		},
	}
	w := poolstest.NewSimulation(s)
	for i := range dataCentres {
		name := fleet.DataCentreName(fmt.Sprintf("d%02d", i))
		s.DataCentres[name] = fleet.DataCentre{Name: name, State: fleet.DataCentreIn}
	}
	for i := range n {
		dc := i % dataCentres
		pool := fleet.PoolName(fmt.Sprintf("p%d", i/dataCentres%poolCount))
		p := s.Pools[pool]
		p.Name, p.Spare, p.MaxUnavailable = pool, pool == "p0", max(2, n/poolCount/10)
		p.VMs = append(p.VMs, vmID(i))
		s.Pools[pool] = p
		w.Add(fleet.VM{
			ID: vmID(i), DataCentre: fleet.DataCentreName(fmt.Sprintf("d%02d", dc)),
			Rack: fleet.RackName(fmt.Sprintf("d%02d-r%d", dc, i/dataCentres/4)),
		})
	}
	return w
}

func vmID(i int) fleet.VMID { return fleet.VMID(fmt.Sprintf("vm-%04d", i)) }

// testDispatch is the dispatcher of the simulation.
type testDispatch struct{ *poolstest.Simulation }

func (d testDispatch) Running(vm fleet.VMID) ([]upkeep.RunningTask, error) {
	var out []upkeep.RunningTask
	for id, t := range d.Tasks(vm) {
		out = append(out, upkeep.RunningTask{ID: id, End: t.End, Deadline: t.Deadline, CanCheckpoint: t.CanCheckpoint})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// node is one entry with its controllers.
type node struct {
	*poolstest.Entry
	ledger  *pools.Ledger
	moves   *pools.Controller
	upkeep  *upkeep.Executor
	role    *role.Role
	ticking bool // a round is in progress; an entry has one at a time
}

func join(w *poolstest.Simulation, n int) *node {
	e := w.Join(fmt.Sprintf("entry-%03d", n))
	ledger := pools.NewLedger(pools.LedgerOptions{Table: e, View: w, Clock: w})
	r := role.New(role.Options{Name: upkeep.RoleName, Table: e, Membership: e})
	return &node{
		Entry: e, ledger: ledger, role: r,
		moves: pools.NewController(pools.Options{
			Ledger: ledger, View: w, VMList: e, VMs: e, Dispatch: w, Clock: w,
			Role: role.New(role.Options{Name: pools.RoleName, Table: e, Membership: e}),
		}),
		upkeep: upkeep.New(upkeep.Options{
			Table: e, Ledger: ledger, Role: r, View: w, VMList: e, VMs: e, Dispatch: testDispatch{w}, Clock: w,
		}),
	}
}

func (n *node) tick() error {
	if n.ticking {
		return nil
	}
	n.ticking = true
	defer func() { n.ticking = false }()
	return errors.Join(n.moves.Tick(ctx), n.upkeep.Tick(ctx))
}

// round advances the time by d and ticks those entries that have a session.
func round(w *poolstest.Simulation, d time.Duration, nodes ...*node) error {
	w.Step(d)
	var errs []error
	for _, n := range nodes {
		if !n.Expired {
			errs = append(errs, n.tick())
		}
	}
	return errors.Join(append(errs, w.DispatchCache.Tick(ctx))...)
}

// newDueSimulation returns a simulation with n VMs that are due for maintenance
// while they are idle, and its first entry.
func newDueSimulation(t interface{ Fatal(...any) }, n int) (*poolstest.Simulation, *node) {
	w := newSimulation(n, 2, 3)
	first := join(w, 0)
	for _, d := range []time.Duration{time.Second, time.Second, period * 62 / 100} {
		if err := round(w, d, first); err != nil {
			t.Fatal(err)
		}
	}
	return w, first
}

func rounds(t *testing.T, w *poolstest.Simulation, count int, nodes ...*node) {
	t.Helper()
	for range count {
		if err := round(w, time.Minute, nodes...); err != nil {
			t.Fatal(err)
		}
	}
}

func status(t interface{ Fatal(...any) }, n *node) upkeep.Status {
	s, err := n.upkeep.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkDone fails unless every VM is active and released, and no budget is
// drawn except for removed VMs.
func checkDone(t interface{ Fatal(...any) }, w *poolstest.Simulation, n *node) {
	if len(w.Violations) > 0 {
		t.Fatal(strings.Join(w.Violations, "\n"))
	}
	if s := status(t, n); s.Overdue > 0 || s.InProgress > 0 || len(s.VMs) > 0 {
		t.Fatal(fmt.Sprintf("maintenance is not done: %+v", s))
	}
	for _, id := range w.IDs() {
		_, state := w.DispatchCache.Pool(id)
		if _, drained := w.VM(id); drained || state != pools.StateActive {
			t.Fatal(fmt.Sprintf("VM %s is %s, drained: %t; want active and not drained", id, state, drained))
		}
	}
	byPool, byDC, err := n.ledger.Budgets(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range byDC {
		if len(b.VMs) > 0 {
			t.Fatal(name, b)
		}
	}
	for name, b := range byPool {
		if len(b.VMs) > b.Lost() {
			t.Fatal(name, b)
		}
	}
}

// TestEveryInterruption guards against a fault at any call of the holder (end,
// pause, lost answer or outage) after which no successor completes the
// maintenance, checkpoints the task and returns the budget.
func TestEveryInterruption(t *testing.T) {
	calls := runInterrupted(t, "none", 0)
	for _, fault := range []string{"end", "pause", "lost answer", "unavailable"} {
		for at := 1; at <= calls; at++ {
			runInterrupted(t, fault, at)
		}
	}
	t.Logf("%d calls that change something", calls)
}

// runInterrupted runs the maintenance of one VM with a fault at one call of the
// first holder. It returns the number of that holder's calls that change
// something.
func runInterrupted(t *testing.T, fault string, at int) int {
	w := newSimulation(1, 1, 1)
	holder := join(w, 0)
	rounds(t, w, 2, holder)
	successor, calls := join(w, 1), 0
	if !w.Start(vmID(0), "task", poolstest.Task{End: w.Time.Add(2 * period), CanCheckpoint: true}) {
		t.Fatal("task not started")
	}
	w.BeforeCall = func(e *poolstest.Entry, op string) error {
		if e != holder.Entry || op == "get" || op == "range" || op == "list" {
			return nil
		}
		if calls++; calls != at {
			return nil
		}
		switch fault {
		case "end":
			e.Dead = true
			w.Fence(e)
		case "pause":
			w.Fence(e)
			for range 40 {
				_ = round(w, time.Minute, successor)
			}
			if op == "drain" || op == "release" || op == "reboot" {
				return backing.ErrUnavailable // the call has timed out during the pause
			}
		case "lost answer":
			e.Faults.LoseAnswers(1)
			e.LoseAnswers = 1
		case "unavailable":
			return backing.ErrUnavailable
		}
		return nil
	}
	_ = round(w, period*88/100, holder, successor) // so late in the period, maintenance also starts on VMs with running tasks
	for range 90 {
		_ = round(w, time.Minute, holder, successor)
	}
	if n := w.Reboots[vmID(0)]; n < 1 || n > 2 || fault == "none" && n != 1 {
		t.Fatalf("%s at call %d: %d reboots, want 1, or 2 after a fault", fault, at, n)
	}
	checkDone(t, w, successor)
	return calls
}

// unreachableDispatch is a dispatcher whose VM owners cannot be asked.
type unreachableDispatch struct{ testDispatch }

func (unreachableDispatch) Running(fleet.VMID) ([]upkeep.RunningTask, error) {
	return nil, errors.New("owner of the VM is unreachable")
}

// TestUnknownTasksKeepVMsInService guards against treating VMs as idle when
// their owner cannot be asked for their tasks.
func TestUnknownTasksKeepVMsInService(t *testing.T) {
	w := newSimulation(4, 2, 3)
	n := join(w, 0)
	n.upkeep = upkeep.New(upkeep.Options{
		Table: n, Ledger: n.ledger, Role: n.role, View: w, VMList: n, VMs: n, Dispatch: unreachableDispatch{testDispatch{w}}, Clock: w,
	})
	for _, d := range []time.Duration{time.Second, time.Second, period * 62 / 100, time.Minute} {
		if err := round(w, d, n); err != nil {
			t.Fatal(err)
		}
	}
	if s := status(t, n); s.InProgress > 0 || s.Remaining != 4 {
		t.Errorf("maintenance of VMs started although their tasks are not known: %+v", s)
	}
}

// TestFailedReboots guards against a wave that continues although VMs do not
// come back, a budget that does not count these VMs, and a stop that cannot be
// ended.
func TestFailedReboots(t *testing.T) {
	w, n := newDueSimulation(t, 24)
	w.RebootTime = 30 * time.Hour
	for range 240 {
		rounds(t, w, 1, n)
		row, err := w.Table.Get(ctx, upkeep.WaveKey)
		if stopped := strings.Contains(string(row.Value), "reboots failed, 2 allowed"); err != nil || stopped != (len(status(t, n).Failed) > 2) {
			t.Fatalf("the stop was not written with the failure that caused it: %q, %v", row.Value, err)
		}
	}
	s := status(t, n)
	_, byDC, err := n.ledger.Budgets(ctx)
	failed := 0
	for _, b := range byDC {
		for _, r := range b.VMs {
			if r.Cause == pools.CauseFailed {
				failed++
			}
		}
	}
	if err != nil || !strings.Contains(s.Hold, "reboots failed") || len(s.Failed) < 3 || failed != len(s.Failed) {
		t.Fatalf("the wave was not stopped, or its failures are not all recorded: %+v; %d recorded, %v", s, failed, err)
	}
	before := len(w.Reboots)
	w.RebootTime = 3 * time.Minute
	for _, id := range w.IDs() {
		w.SetVMState(id, fleet.VMLive)
	}
	if err := round(w, 25*time.Hour, n); err != nil { // a stopped wave does not end after its duration
		t.Fatal(err)
	}
	rounds(t, w, 60, n)
	if len(w.Reboots) != before {
		t.Fatal("a stopped wave rebooted further VMs")
	}
	if err := errors.Join(n.upkeep.Resume(ctx), n.upkeep.Resume(ctx)); err != nil {
		t.Fatal(err)
	}
	rounds(t, w, 500, n)
	if len(w.Reboots) != 24 {
		t.Fatalf("%d VMs rebooted after the wave was resumed, want 24", len(w.Reboots))
	}
	checkDone(t, w, n)
}

// TestOperators guards the requests of operators: they are refused with the
// reason when the budget is used up, they are idempotent, and they apply even
// to a holder that has planned before them.
func TestOperators(t *testing.T) {
	w, n := newDueSimulation(t, 24)
	other := join(w, 1)
	if err := errors.Join(other.upkeep.Pause(ctx, "ann", "freeze"), other.upkeep.Pause(ctx, "bob", "second")); err != nil {
		t.Fatal(err)
	}
	rounds(t, w, 30, n, other)
	if err := round(w, 25*time.Hour, n, other); err != nil { // the pause stays in force in the next wave
		t.Fatal(err)
	}
	rounds(t, w, 2, n, other)
	if s := status(t, other); len(w.Reboots) > 1 || !strings.Contains(s.Hold, "freeze") || s.PausedBy != "ann" || s.InProgress > 0 {
		t.Fatalf("maintenance is not paused: %d VMs rebooted, want at most 1; %+v", len(w.Reboots), s)
	}
	if err := errors.Join(other.upkeep.Drain(ctx, vmID(0), "ann"), other.upkeep.Drain(ctx, vmID(0), "bob")); err != nil {
		t.Fatal(err)
	}
	var refused *pools.BudgetError
	if err := other.upkeep.Drain(ctx, vmID(2), "ann"); !errors.As(err, &refused) || refused.Bound != pools.BoundRack {
		t.Fatalf("Drain above the rack's budget returned %v, want a refusal for the rack", err)
	}
	rounds(t, w, 2, n, other)
	if _, drained := w.VM(vmID(0)); !drained || len(status(t, n).VMs) != 1 {
		t.Fatalf("the VM is not held by the operator: %+v", status(t, n))
	}
	if err := errors.Join(other.upkeep.Undrain(ctx, vmID(0)), other.upkeep.Undrain(ctx, vmID(0))); err != nil {
		t.Fatal(err)
	}
	rounds(t, w, 2, n, other)
	// The failure record of a VM that fails while it is held remains after the
	// undrain.
	if err := other.upkeep.Drain(ctx, vmID(0), "ann"); err != nil {
		t.Fatal(err)
	}
	w.SetVMState(vmID(0), fleet.VMLeaving)
	rounds(t, w, 2, n)
	if err := other.upkeep.Undrain(ctx, vmID(0)); err != nil {
		t.Fatal(err)
	}
	rounds(t, w, 1, n)
	if _, byDC, err := n.ledger.Budgets(ctx); err != nil || byDC["d00"].VMs[vmID(0)].Cause != pools.CauseFailed {
		t.Fatalf("the record of the failure was removed by Undrain: %+v, %v", byDC, err)
	}
	w.SetVMState(vmID(0), fleet.VMLive)
	rounds(t, w, 2, n)
	if err := other.upkeep.Resume(ctx); err != nil {
		t.Fatal(err)
	}
	// The platform refuses the drain of a VM for some time. The VM is undrained
	// between the holder's plan and the reboot.
	refusing, undrained, before := true, fleet.VMID(""), len(w.Reboots)
	w.BeforeCall = func(e *poolstest.Entry, op string) error {
		if e != n.Entry {
			return nil
		}
		if op == "drain" && refusing {
			return backing.ErrUnavailable
		}
		if vms := status(t, other).VMs; op == "commit" && !refusing && undrained == "" && len(vms) > 0 {
			undrained = vms[0].ID
			return other.upkeep.Undrain(ctx, undrained)
		}
		return nil
	}
	w.BeforeCall = exceptNested(w.BeforeCall)
	for range 5 {
		_ = round(w, time.Minute, n)
	}
	if len(w.Reboots) != before || status(t, other).InProgress == 0 {
		t.Fatalf("%d VMs rebooted without a drain: %+v", len(w.Reboots)-before, status(t, other))
	}
	refusing = false
	rounds(t, w, 3, n)
	if undrained == "" || w.Reboots[undrained] > 0 {
		t.Fatalf("VM %q rebooted after it was undrained", undrained)
	}
	w.BeforeCall = nil
	rounds(t, w, 30, n)
	rounds(t, w, 400, n)
	checkDone(t, w, n)
	// A pause is committed between the holder's plan and its first draw.
	paused := false
	w = newSimulation(4, 2, 3)
	n, other = join(w, 0), join(w, 1)
	rounds(t, w, 2, n, other)
	w.Step(period * 62 / 100)
	w.BeforeCall = exceptNested(func(_ *poolstest.Entry, op string) error {
		if op == "commit" && !paused {
			paused = true
			return n.upkeep.Pause(ctx, "ann", "race")
		}
		return nil
	})
	if err := errors.Join(n.upkeep.Tick(ctx), other.upkeep.Tick(ctx)); err != nil {
		t.Fatal(err)
	}
	if s := status(t, n); !paused || s.InProgress > 0 {
		t.Fatalf("maintenance of a VM started after the pause; paused: %t, %+v", paused, s)
	}
}

// TestPausedHolder guards against a holder that loses the role during a pause
// before its commit and then starts maintenance, and against progress rows that
// are written in each round after a VM was removed.
func TestPausedHolder(t *testing.T) {
	w, n := newDueSimulation(t, 4)
	rounds(t, w, 1, n)
	w.SetVMState(vmID(3), fleet.VMGone)
	rounds(t, w, 520, n) // until then, the removed VM uses the budget
	_, before := n.Faults.Counts()
	rounds(t, w, 5, n)
	if _, after := n.Faults.Counts(); after != before || len(w.Reboots) != 3 {
		t.Fatalf("%d writes while nothing is due, %d VMs rebooted; want 0 and 3", after-before, len(w.Reboots))
	}
	other := join(w, 1)
	w.BeforeCall = exceptNested(func(e *poolstest.Entry, op string) error {
		if e == n.Entry && op == "commit" && !n.Expired {
			w.Fence(n.Entry)
			return other.role.Tick(ctx)
		}
		return nil
	})
	w.Step(period * 62 / 100)
	err := n.upkeep.Tick(ctx)
	if s := status(t, other); err == nil || other.role.Held() != nil || s.InProgress > 0 {
		t.Fatalf("a paused holder started maintenance of a VM: %v, %+v", err, s)
	}
}

// exceptNested returns a hook that does not run for calls made by the hook
// itself.
func exceptNested(hook func(*poolstest.Entry, string) error) func(*poolstest.Entry, string) error {
	nested := false
	return func(e *poolstest.Entry, op string) error {
		if nested {
			return nil
		}
		nested = true
		defer func() { nested = false }()
		return hook(e, op)
	}
}

// TestListingLag guards against a VM that counts as rebooted because the
// lagging list still shows it as live. A release during a reboot is a
// violation.
func TestListingLag(t *testing.T) {
	w, n := newDueSimulation(t, 4)
	w.ListLag, w.RebootTime = 10*time.Minute, 6*time.Minute
	rounds(t, w, 400, n)
	if len(w.Reboots) != 4 {
		t.Fatalf("%d VMs rebooted, want 4", len(w.Reboots))
	}
	checkDone(t, w, n)
}

// TestRaces guards the availability budgets, the one pool of each VM, running
// tasks and the maintenance period, under races of entries, moves and
// operators, interrupted and paused entries, and faults of the platform.
func TestRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, first := newDueSimulation(t, 12)
		w.ListLag = time.Duration(rapid.IntRange(0, 240).Draw(t, "lag")) * time.Second
		c := &raceRun{t: t, w: w, nodes: []*node{first}}
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

// TestLoad guards the load on the table service while a wave is in progress.
// All entries tick roles every second, caches every 2 s, moves every 10 s and
// maintenance every 30 s.
func TestLoad(t *testing.T) {
	for _, size := range []struct{ vms, dataCentres, pools, entries int }{{48, 4, 5, 9}, {500, 8, 10, 40}, {2300, 20, 25, 100}} {
		w := newSimulation(size.vms, size.dataCentres, size.pools)
		var nodes []*node
		var caches []*pools.Cache
		for i := range size.entries {
			n := join(w, i)
			dc := fleet.DataCentreName(fmt.Sprintf("d%02d", i%size.dataCentres))
			nodes = append(nodes, n)
			caches = append(caches, pools.NewCache(pools.CacheOptions{Table: n, Clock: w, DataCentre: dc}))
		}
		for _, d := range []time.Duration{time.Second, time.Second, period * 62 / 100} {
			if err := round(w, d, nodes...); err != nil {
				t.Fatal(err)
			}
		}
		const seconds = 120
		before, most := make([][3]int, len(nodes)), 0
		for i, n := range nodes {
			before[i][0], before[i][1] = n.Faults.Counts()
			before[i][2] = n.ReadBytes
		}
		for s := range seconds {
			w.Step(time.Second)
			for i, n := range nodes {
				err := n.role.Tick(ctx)
				if s%2 == 0 {
					err = errors.Join(err, caches[i].Tick(ctx))
				}
				if s%10 == 0 {
					err = errors.Join(err, n.moves.Tick(ctx))
				}
				if s%30 == 0 {
					err = errors.Join(err, n.upkeep.Tick(ctx), w.DispatchCache.Tick(ctx))
				}
				if err != nil {
					t.Fatal(err)
				}
			}
		}
		reads, writes, bytes := 0, 0, 0
		for i, n := range nodes {
			r, c := n.Faults.Counts()
			reads, writes = reads+r-before[i][0], writes+c-before[i][1]
			bytes, most = bytes+n.ReadBytes-before[i][2], max(most, n.ReadBytes-before[i][2])
		}
		t.Logf("%d VMs, %d entries, %d VMs in maintenance: %.1f reads/s, %.2f writes/s, %.2f KB/s read by an entry on average, %.2f by the busiest",
			size.vms, size.entries, status(t, nodes[0]).InProgress, float64(reads)/seconds, float64(writes)/seconds,
			float64(bytes)/seconds/1024/float64(size.entries), float64(most)/seconds/1024)
		if reads > seconds*100 || writes > seconds*2 || len(w.Violations) > 0 {
			t.Fatal(reads, writes, w.Violations)
		}
	}
}

// raceRun is one run of TestRaces. Its faults and actions are drawn by rapid.
type raceRun struct {
	t      *rapid.T
	w      *poolstest.Simulation
	nodes  []*node
	tasks  int
	nested bool // in the hook, which does not run for the calls that it makes itself
}

// int draws a number from 0 to n-1.
func (c *raceRun) int(label string, n int) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }
func (c *raceRun) vm() fleet.VMID              { return vmID(c.int("vm", 12)) }

func (c *raceRun) add() { c.nodes = append(c.nodes, join(c.w, len(c.nodes)+1)) }

// fence ends the session of an entry and starts another entry. The old one
// stays among the nodes: it may only be paused.
func (c *raceRun) fence(e *poolstest.Entry) {
	if !e.Expired {
		c.w.Fence(e)
		c.add()
	}
}

// hook injects a fault before a call of an entry, or lets others act first.
func (c *raceRun) hook(e *poolstest.Entry, op string) error {
	if c.nested {
		return nil
	}
	c.nested = true
	defer func() { c.nested = false }()
	switch c.int("fault", 50) {
	case 0:
		e.Dead = true
		c.fence(e)
	case 1, 2: // others act before the call
		c.step()
	case 3: // the entry is paused until its session is fenced
		c.fence(e)
		for range 6 {
			c.step()
		}
		if op == "drain" || op == "release" || op == "reboot" {
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
	w, n := c.w, c.nodes[c.int("node", len(c.nodes))]
	switch c.int("do", 24) {
	case 0:
		_ = n.ledger.Move(ctx, c.vm(), fleet.PoolName(fmt.Sprintf("p%d", c.int("pool", 3))))
	case 1:
		_ = n.ledger.Abort(ctx, c.vm())
	case 2:
		_ = n.upkeep.Drain(ctx, c.vm(), "ann")
	case 3, 4:
		_ = n.upkeep.Undrain(ctx, c.vm())
	case 5:
		_ = n.upkeep.Pause(ctx, "ann", "freeze")
	case 6, 7:
		_ = n.upkeep.Resume(ctx)
	case 8:
		states := []fleet.VMState{fleet.VMLive, fleet.VMLive, fleet.VMLeaving, fleet.VMGone}
		w.SetVMState(c.vm(), states[c.int("state", 4)])
	case 9:
		rack := c.int("rack", 6)
		w.SetVMState(vmID(rack), fleet.VMLeaving)
		w.SetVMState(vmID(rack+6), fleet.VMLeaving)
	case 10, 11:
		c.tasks++
		end := w.Time.Add(time.Duration(c.int("minutes", 60)) * time.Minute)
		w.Start(c.vm(), fleet.AttemptID(fmt.Sprint(c.tasks)), poolstest.Task{End: end, CanCheckpoint: rapid.Bool().Draw(c.t, "can")})
	case 12:
		n.Faults.SetDown(rapid.Bool().Draw(c.t, "down"))
	case 13:
		if !c.nested { // not between the check of a draw and its commit
			dc := fleet.DataCentreName(fmt.Sprintf("d%02d", c.int("dc", 2)))
			states := []fleet.DataCentreState{fleet.DataCentreIn, fleet.DataCentreIn, fleet.DataCentreOut}
			w.Config.DataCentres[dc] = fleet.DataCentre{Name: dc, State: states[c.int("dcState", 3)]}
		}
	case 14, 15, 16, 17:
		w.Step(time.Duration(c.int("seconds", 400)) * time.Second)
		_ = w.DispatchCache.Tick(ctx)
	default:
		_ = n.tick()
	}
}

// recoverAndCheck ends all faults and checks that every VM is maintained once
// more within a period and is active again.
func (c *raceRun) recoverAndCheck() {
	w := c.w
	w.BeforeCall = nil
	for name, dc := range w.Config.DataCentres {
		dc.State = fleet.DataCentreIn
		w.Config.DataCentres[name] = dc
	}
	last := c.nodes[len(c.nodes)-1]
	for _, n := range c.nodes {
		n.Faults.SetDown(false)
		n.Faults.LoseAnswers(0)
		n.LoseAnswers = 0
	}
	for _, id := range w.IDs() {
		w.SetVMState(id, fleet.VMLive)
		_ = last.upkeep.Undrain(ctx, id)
	}
	before := map[fleet.VMID]int{}
	for id, n := range w.Reboots {
		before[id] = n
	}
	if err := last.upkeep.Resume(ctx); err != nil {
		c.t.Fatal(err)
	}
	for range period / (15 * time.Minute) {
		_ = round(w, 15*time.Minute, c.nodes...)
	}
	for range 120 { // lets the maintenance in progress end; no VM is due again so soon
		if s := status(c.t, last); s.InProgress == 0 {
			break
		}
		_ = round(w, time.Minute, c.nodes...)
	}
	for _, id := range w.IDs() {
		if w.Reboots[id] == before[id] {
			c.t.Fatalf("VM %s was not maintained: %+v", id, status(c.t, last))
		}
	}
	checkDone(c.t, w, last)
}
