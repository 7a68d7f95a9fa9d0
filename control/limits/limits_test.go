package limits

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/rpc/rpctest"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// entry is a simulated entry. It is the View and the Membership of its Limits.
type entry struct {
	id       string
	cluster  *cluster
	limits   *Limits
	faults   *memory.Faults
	snapshot *config.Snapshot
	valid    bool
	paused   bool

	failCommit, delayCommit bool   // the next commit fails without effect, or gets no answer and waits in delayedCommits
	beforeCommit            func() // runs before the next commit

	running map[fleet.TeamName]int
}

func (e *entry) Snapshot() *config.Snapshot { return e.snapshot }
func (e *entry) Fresh() error               { return nil }
func (e *entry) StoreReachable() bool       { return true }
func (e *entry) Self() control.Member       { return control.Member{ID: e.id} }
func (e *entry) Members() control.Members   { return e.cluster.members }
func (e *entry) Valid() error {
	if !e.valid {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView}
	}
	return nil
}
func (e *entry) Session() backing.Condition {
	return backing.Condition{Key: "session/" + e.id, Version: 1}
}

// cluster is a set of entries with one table, one network and one clock.
type cluster struct {
	clock          *clock
	table          *memory.Table
	network        *rpctest.Network
	members        control.Members
	entries        []*entry
	config         *config.Snapshot
	delayedCommits []backing.Txn // commits that have not reached the table yet
	violation      string        // describes the last commit that raised a row above its limit
}

// watchedTable is an entry's path to the table. It checks each commit of the
// entry and can disturb it.
type watchedTable struct {
	*memory.Table
	cluster *cluster
	entry   *entry
}

// Commit commits txn and records a violation if that raises the sum of a row's
// units above the row's limit.
func (w watchedTable) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	switch e := w.entry; {
	case e.failCommit:
		e.failCommit = false
		return nil, backing.ErrUnavailable
	case e.delayCommit:
		e.delayCommit = false
		w.cluster.delayedCommits = append(w.cluster.delayedCommits, txn)
		return nil, backing.ErrUnconfirmed
	case e.beforeCommit != nil:
		hook := e.beforeCommit
		e.beforeCommit = nil
		hook()
	}
	before := map[string]int{}
	for _, write := range txn.Writes {
		stored, _ := w.cluster.table.Get(ctx, write.Key)
		row, _ := decodeRow(stored.Value)
		before[write.Key] = row.Sum()
	}
	versions, err := w.Table.Commit(ctx, txn)
	for _, write := range txn.Writes {
		if row, _ := decodeRow(write.Value); err == nil && row.Sum() > before[write.Key] && row.Sum() > row.Limit {
			w.cluster.violation = fmt.Sprintf("%s raised from %d to %d above the limit of %d", write.Key, before[write.Key], row.Sum(), row.Limit)
		}
	}
	return versions, err
}

func newCluster(n int, limits map[fleet.TeamName]int) *cluster {
	c := &cluster{clock: &clock{time.Unix(1000, 0)}, table: memory.NewTable(nil), network: rpctest.NewNetwork()}
	c.configure(limits)
	for range n {
		c.join()
	}
	return c
}

// configure makes the next revision of the configuration, with the given limits.
// Entries that have joined keep their snapshot.
func (c *cluster) configure(limits map[fleet.TeamName]int) {
	next := &config.Snapshot{Revision: 1, Teams: map[fleet.TeamName]fleet.Team{}}
	if c.config != nil {
		next.Revision = c.config.Revision + 1
	}
	for name, limit := range limits {
		next.Teams[name] = fleet.Team{Name: name, Limit: limit}
	}
	c.config = next
}

// join adds an entry that has the newest configuration.
func (c *cluster) join() *entry {
	e := &entry{
		id: fmt.Sprintf("e%d", len(c.entries)), cluster: c, faults: &memory.Faults{},
		snapshot: c.config, valid: true, running: map[fleet.TeamName]int{},
	}
	_, _ = c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: "session/" + e.id}}})
	router := rpc.NewRouter()
	e.limits = New(Options{
		View: e, Membership: e, Table: watchedTable{c.table.Via(e.faults), c, e}, Clock: c.clock, Caller: c.network.Join(e.id, router),
	}, router)
	c.entries = append(c.entries, e)
	c.members = control.Members{Version: c.members.Version + 1, List: append(slices.Clone(c.members.List), e.Self())}
	return e
}

// fence ends the session of an entry. Its tasks keep running until they are
// adopted or their leases expire.
func (c *cluster) fence(e *entry) {
	e.valid = false
	_, _ = c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: "session/" + e.id}}})
	c.network.Leave(e.id)
	list := slices.DeleteFunc(slices.Clone(c.members.List), func(m control.Member) bool { return m.ID == e.id })
	c.members = control.Members{Version: c.members.Version + 1, List: list}
}

// row returns the stored row of a team.
func (c *cluster) row(t testing.TB, team fleet.TeamName) Row {
	stored, _ := c.table.Get(context.Background(), Key(team))
	row, err := decodeRow(stored.Value)
	if err != nil {
		t.Fatal(err)
	}
	return row
}

// deliver applies the delayed commits to the table.
func (c *cluster) deliver() {
	for _, txn := range c.delayedCommits {
		_, _ = c.table.Commit(context.Background(), txn)
	}
	c.delayedCommits = nil
}

// total returns the running tasks of a team at all entries.
func (c *cluster) total(team fleet.TeamName) int {
	sum := 0
	for _, e := range c.entries {
		sum += e.running[team]
	}
	return sum
}

// tick runs Tick on all entries that have a session and are not paused.
func (c *cluster) tick(ctx context.Context) {
	for _, e := range c.entries {
		if e.valid && !e.paused {
			_ = e.limits.Tick(ctx)
		}
	}
}

// take starts a task of a team and reports whether Take allowed it.
func (e *entry) take(team fleet.TeamName) bool {
	if e.limits.Take(team) != nil {
		return false
	}
	e.running[team]++
	return true
}

// TestLimitHolds guards against starts above the limit that the starting entry
// knows, holdings that are raised above the limit, and running tasks without a
// unit, under random faults and changes of the limit.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		const team = "a"
		c := newCluster(3, map[fleet.TeamName]int{team: 6})
		fencedAt := map[*entry]time.Time{}
		pick := func() *entry { return c.entries[rapid.IntRange(0, len(c.entries)-1).Draw(t, "entry")] }
		check := func() {
			if c.violation != "" {
				t.Fatal(c.violation)
			}
			if row := c.row(nil, team); c.total(team) > row.Sum() {
				t.Fatalf("%d tasks are running on %d units: %+v", c.total(team), row.Sum(), row)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				e := pick()
				if e.paused || !e.take(team) {
					return
				}
				row, limit := c.row(nil, team), e.snapshot.Teams[team].Limit
				if row.Revision > e.snapshot.Revision {
					limit = max(limit, row.Limit) // the entry may know the limit of a newer configuration from the row
				}
				if c.total(team) > limit {
					t.Fatalf("%d tasks are running with a limit of %d: %+v", c.total(team), limit, c.row(nil, team))
				}
			},
			"return": func(*rapid.T) {
				if e := pick(); e.running[team] > 0 && fencedAt[e].IsZero() {
					e.running[team]--
					e.limits.Return(team)
				}
			},
			"demand": func(t *rapid.T) {
				e := pick()
				e.limits.SetDemand(team, e.running[team], rapid.IntRange(0, 8).Draw(t, "queued"))
			},
			"tick":    func(*rapid.T) { c.clock.now = c.clock.now.Add(time.Second); c.tick(ctx) },
			"one":     func(*rapid.T) { _ = pick().limits.Tick(ctx) },
			"urgent":  func(*rapid.T) { _ = pick().limits.Urgent(ctx) },
			"down":    func(t *rapid.T) { pick().faults.SetDown(rapid.Bool().Draw(t, "down")) },
			"lose":    func(*rapid.T) { pick().faults.LoseAnswers(1) },
			"hold":    func(*rapid.T) { pick().delayCommit = true },
			"fail":    func(*rapid.T) { pick().failCommit = true },
			"deliver": func(*rapid.T) { c.deliver() },
			"race": func(*rapid.T) {
				e, other := pick(), pick()
				e.beforeCommit = func() {
					if e == other || !other.valid || other.paused {
						return
					}
					// e cannot answer messages during its commit, because the test has one
					// goroutine.
					c.network.SetCut(e.id, other.id, true)
					other.beforeCommit = nil
					_ = other.limits.Tick(ctx)
					c.network.SetCut(e.id, other.id, false)
				}
			},
			"cut": func(t *rapid.T) {
				c.network.SetCut(pick().id, pick().id, rapid.Bool().Draw(t, "cut"))
			},
			"loseCall": func(*rapid.T) { c.network.LoseAnswers(pick().id, pick().id, 1) },
			"pause":    func(*rapid.T) { e := pick(); e.paused = !e.paused },
			"limit": func(t *rapid.T) {
				c.configure(map[fleet.TeamName]int{team: rapid.IntRange(0, 9).Draw(t, "limit")})
			},
			"learn": func(*rapid.T) { pick().snapshot = c.config },
			"fence": func(*rapid.T) {
				if e := pick(); fencedAt[e].IsZero() && len(c.members.List) > 1 {
					c.fence(e)
					fencedAt[e] = c.clock.now
					c.join()
				}
			},
			"adopt": func(*rapid.T) {
				from, to := pick(), pick()
				expired := c.clock.now.Sub(fencedAt[from]) >= 15*time.Second
				if fencedAt[from].IsZero() || !to.valid || expired {
					return
				}
				for ; from.running[team] > 0; from.running[team]-- {
					to.limits.Adopt(team, from.id)
					to.running[team]++
				}
			},
			"lapse": func(*rapid.T) { // the leases of the tasks of fenced entries expire
				c.clock.now = c.clock.now.Add(time.Second)
				for e, at := range fencedAt {
					if c.clock.now.Sub(at) >= 15*time.Second {
						e.running[team] = 0
					}
				}
			},
			"": func(*rapid.T) {
				for e, at := range fencedAt {
					if c.clock.now.Sub(at) >= 15*time.Second {
						e.running[team] = 0
					}
				}
				check()
			},
		})
	})
}

// TestScenarios guards single mechanisms that the random sequences of
// TestLimitHolds may rarely reach.
func TestScenarios(t *testing.T) {
	ctx := context.Background()
	const team = "a"
	demand := func(e *entry, queued int) { e.limits.SetDemand(team, e.running[team], queued) }
	fill := func(e *entry) int { // starts tasks until Take refuses one
		for e.take(team) {
		}
		return e.running[team]
	}
	runSeconds := func(c *cluster, n int) { // runs n seconds and checks the state after each
		for range n {
			c.clock.now = c.clock.now.Add(time.Second)
			c.tick(ctx)
			row := c.row(t, team)
			for _, e := range c.entries {
				if e.running[team] > row.Units[e.id] && e.valid {
					t.Errorf("%s runs %d tasks, more than its units: %+v", e.id, e.running[team], row)
				}
			}
			if c.violation != "" {
				t.Error(c.violation)
			}
		}
	}
	newDemandCluster := func(t *testing.T, entries, units int) *cluster { // the first entry has a demand for the given units
		c := newCluster(entries, map[fleet.TeamName]int{team: 10})
		c.entries[0].limits.SetDemand(team, 0, units)
		runSeconds(c, 1)
		return c
	}
	t.Run("an entry without a valid session takes no unit", func(t *testing.T) {
		c := newDemandCluster(t, 1, 5)
		c.entries[0].valid = false
		if c.entries[0].take(team) {
			t.Error("Take accepted a task without a valid session")
		}
	})
	t.Run("a fenced entry writes nothing", func(t *testing.T) {
		c := newDemandCluster(t, 2, 5)
		c.fence(c.entries[0])
		c.entries[0].valid = true // the entry does not know that it was fenced
		before := c.row(t, team).Sum()
		demand(c.entries[0], 10)
		_ = c.entries[0].limits.Tick(ctx)
		if after := c.row(t, team).Sum(); after != before {
			t.Errorf("%d units after a write of a fenced session, want %d as before", after, before)
		}
	})
	t.Run("concurrent commits stay within the limit", func(t *testing.T) {
		c := newCluster(2, map[fleet.TeamName]int{team: 10})
		demand(c.entries[0], 9)
		demand(c.entries[1], 9)
		c.entries[0].beforeCommit = func() { _ = c.entries[1].limits.Tick(ctx) }
		_ = c.entries[0].limits.Tick(ctx)
		if fill(c.entries[0])+fill(c.entries[1]) > 10 || c.violation != "" {
			t.Errorf("%d tasks are running with a limit of 10: %s", c.total(team), c.violation)
		}
	})
	for _, failing := range []bool{false, true} {
		t.Run(fmt.Sprintf("return with lost answer, next commit fails %v", failing), func(t *testing.T) {
			c := newDemandCluster(t, 1, 5)
			e := c.entries[0]
			demand(e, 0)
			e.delayCommit = true
			runSeconds(c, 4) // the surplus is returned
			if len(c.delayedCommits) != 1 {
				runSeconds(c, 1)
			}
			if fill(e) > 0 {
				t.Error("tasks started on units that may have been returned")
			}
			demand(e, 5)
			e.failCommit = failing
			_ = e.limits.Tick(ctx)
			if failing && fill(e) > 0 {
				t.Error("tasks started on units that may have been returned, after a commit that failed")
			}
			fill(e)
			c.deliver()
			if row := c.row(t, team); e.running[team] > row.Units[e.id] {
				t.Errorf("%d tasks are running, more than the units of the entry: %+v", e.running[team], row)
			}
		})
	}
	t.Run("lowered limit with an old row", func(t *testing.T) {
		c := newDemandCluster(t, 2, 2)
		a, b := c.entries[0], c.entries[1]
		demand(b, 7)
		runSeconds(c, 1)
		fill(b)
		c.configure(map[fleet.TeamName]int{team: 4})
		a.snapshot = c.config
		if a.take(team) { // a has only seen the row as it was before b took units
			t.Errorf("%d tasks are running with a limit of 4", c.total(team))
		}
	})
	t.Run("an entry with an old view respects the limit in the row", func(t *testing.T) {
		c := newDemandCluster(t, 2, 3)
		a, b := c.entries[0], c.entries[1]
		demand(b, 1)
		runSeconds(c, 1)
		c.configure(map[fleet.TeamName]int{team: 8})
		a.snapshot = c.config
		for _, queued := range []int{9, 0, 9} { // b raises, returns and raises again
			demand(a, 3)
			demand(b, queued)
			runSeconds(c, 5)
			if row := c.row(t, team); row.Limit != 8 || row.Revision != 2 || row.Sum() > 8 {
				t.Errorf("after a demand of %d: %+v, want limit 8, revision 2 and at most 8 units", queued, row)
			}
		}
	})
	t.Run("idle teams keep units for an outage", func(t *testing.T) {
		c := newCluster(2, map[fleet.TeamName]int{team: 16})
		for _, e := range c.entries {
			e.limits.options.FloorDivisor = 4
		}
		runSeconds(c, 2)
		for _, e := range c.entries {
			e.faults.SetDown(true)
			demand(e, 5)
		}
		runSeconds(c, 2)
		for _, e := range c.entries {
			if n := fill(e); n != 2 {
				t.Errorf("%d tasks started at %s during the outage, want 2 of a floor of 16/(4*2)", n, e.id)
			}
		}
		for _, e := range c.entries {
			e.faults.SetDown(false)
			e.running[team] = 0
		}
	})
	t.Run("slack", func(t *testing.T) {
		c := newCluster(1, map[fleet.TeamName]int{team: 100})
		demand(c.entries[0], 20)
		runSeconds(c, 1)
		if units, _ := c.entries[0].limits.Held(team); units != 22 {
			t.Errorf("held %d units for a demand of 20, want 22", units)
		}
		demand(c.entries[0], 0)
		runSeconds(c, 5)
		if units, _ := c.entries[0].limits.Held(team); units != 0 {
			t.Errorf("held %d units without demand, want 0", units)
		}
	})
	t.Run("urgent demand asks a holder at once", func(t *testing.T) {
		c := newCluster(2, map[fleet.TeamName]int{team: 10})
		a, b := c.entries[0], c.entries[1]
		demand(a, 10)
		runSeconds(c, 1)
		demand(a, 0)
		demand(b, 5)
		if b.take(team) {
			t.Fatal("Take accepted a task without a held unit")
		}
		select {
		case <-b.limits.Wake():
		default:
			t.Fatal("Wake was not signalled after a refused Take")
		}
		if err := b.limits.Urgent(ctx); err != nil {
			t.Fatal(err)
		}
		if fill(b) < 5 {
			t.Errorf("%d units after an urgent round, want 5: %+v", b.running[team], c.row(t, team))
		}
	})
	t.Run("the last idle unit is found at the smallest holder", func(t *testing.T) {
		c := newCluster(4, map[fleet.TeamName]int{team: 24})
		row := Row{Limit: 24, Revision: 1, Units: map[string]int{}}
		for i, n := range []int{10, 8, 2, 4} {
			row.Units[c.entries[i].id] = n
		}
		value, err := encodeRow(row)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.table.Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: Key(team), Value: value}}}); err != nil {
			t.Fatal(err)
		}
		for _, e := range c.entries {
			demand(e, 1)
		}
		runSeconds(c, 1)
		for i, n := range []int{10, 8, 1, 4} {
			for range n {
				c.entries[i].take(team)
			}
			demand(c.entries[i], 0)
		}
		asker := c.entries[3]
		demand(asker, 1)
		runSeconds(c, 20)
		if fill(asker); c.total(team) != 24 {
			t.Errorf("%d units in use, want 24: %+v", c.total(team), c.row(t, team))
		}
	})
	t.Run("entries that all lack units share evenly", func(t *testing.T) {
		c := newCluster(4, map[fleet.TeamName]int{team: 40})
		demand(c.entries[0], 100)
		runSeconds(c, 1)
		fill(c.entries[0])
		for range 60 { // tasks end and start
			for _, e := range c.entries {
				if e.running[team] > 0 {
					e.running[team]--
					e.limits.Return(team)
				}
				demand(e, 100)
				fill(e)
			}
			runSeconds(c, 1)
		}
		for _, e := range c.entries {
			if units, _ := e.limits.Held(team); units < 8 {
				t.Errorf("%s holds %d of 40 units, want at least 8: %+v", e.id, units, c.row(t, team))
			}
		}
	})
	t.Run("units of a fenced entry are adopted or reclaimed", func(t *testing.T) {
		c := newCluster(2, map[fleet.TeamName]int{team: 10})
		a, b := c.entries[0], c.entries[1]
		demand(a, 10)
		runSeconds(c, 1)
		fill(a)
		c.fence(a)
		for range 4 {
			b.limits.Adopt(team, a.id)
			b.running[team]++
		}
		demand(b, 20)
		runSeconds(c, 1)
		if row := c.row(t, team); row.Units[b.id] != 4 || row.Units[a.id] != 6 {
			t.Errorf("after adoption: %+v, want 4 units at the new entry and 6 at the fenced one", row)
		}
		runSeconds(c, 19)
		if row := c.row(t, team); row.Units[a.id] != 6 {
			t.Errorf("units reclaimed before the leases have expired: %+v", row)
		}
		runSeconds(c, 3)
		if row := c.row(t, team); row.Units[b.id] != 10 {
			t.Errorf("units were not reclaimed: %+v", row)
		}
	})
	t.Run("units are not reclaimed before the recovery", func(t *testing.T) {
		c := newCluster(2, map[fleet.TeamName]int{team: 10})
		a, b := c.entries[0], c.entries[1]
		b.limits.options.Recovered = func(string) bool { return false }
		demand(a, 10)
		runSeconds(c, 1)
		c.fence(a)
		demand(b, 10)
		runSeconds(c, 60)
		if row := c.row(t, team); row.Units[b.id] != 0 {
			t.Errorf("units of a session that is not recovered were reclaimed: %+v", row)
		}
	})
	t.Run("held units are usable in an outage", func(t *testing.T) {
		c := newCluster(1, map[fleet.TeamName]int{team: 10})
		e := c.entries[0]
		demand(e, 4)
		runSeconds(c, 1)
		e.faults.SetDown(true)
		runSeconds(c, 30)
		if got := fill(e); got != 5 {
			t.Errorf("%d started in an outage, want the 5 units held", got)
		}
	})
	t.Run("an unconfirmed commit is read back", func(t *testing.T) {
		c := newCluster(1, map[fleet.TeamName]int{team: 10})
		e := c.entries[0]
		demand(e, 4)
		e.faults.LoseAnswers(1)
		runSeconds(c, 1)
		if e.take(team) {
			t.Error("a task started on a unit whose commit is unconfirmed")
		}
		runSeconds(c, 1)
		if got := fill(e); got != 5 {
			t.Errorf("%d usable after the read back, want 5", got)
		}
	})
	t.Run("lowered limit", func(t *testing.T) {
		c := newCluster(2, map[fleet.TeamName]int{team: 10})
		a, b := c.entries[0], c.entries[1]
		demand(a, 5)
		demand(b, 3)
		runSeconds(c, 2)
		fill(a)
		c.configure(map[fleet.TeamName]int{team: 4})
		a.snapshot, b.snapshot = c.config, c.config
		if b.take(team) {
			t.Error("Take accepted a task before the lowered limit was applied")
		}
		runSeconds(c, 2)
		if b.take(team) || a.limits.Excess(team) == 0 {
			t.Errorf("Take accepted a task above the lowered limit, or Excess returned 0: %+v", c.row(t, team))
		}
		a.running[team]--
		a.limits.Return(team)
		if a.take(team) {
			t.Error("Take replaced an ended task above the lowered limit")
		}
		for a.running[team] > 2 {
			a.running[team]--
			a.limits.Return(team)
		}
		runSeconds(c, 3)
		if row := c.row(t, team); row.Sum() > 4 || !b.take(team) && !a.take(team) {
			t.Errorf("more than 4 units, or Take refused a task below the lowered limit: %+v", row)
		}
	})
}

// TestConcurrent guards against data races, deadlocks between entries that ask
// each other for units, and units that are used twice, when all entries run
// concurrently.
func TestConcurrent(t *testing.T) {
	ctx := context.Background()
	const team, limit = "a", 6
	c := newCluster(4, map[fleet.TeamName]int{team: limit})
	var running, taken atomic.Int64
	var group sync.WaitGroup
	for i, e := range c.entries {
		group.Go(func() {
			for j := range 300 {
				e.limits.SetDemand(team, 0, (i+j/20)%4*4)
				if j%3 == 0 {
					_ = e.limits.Tick(ctx)
				} else {
					_ = e.limits.Urgent(ctx)
				}
				if e.limits.Take(team) == nil {
					if n := running.Add(1); n > limit {
						t.Errorf("%d tasks are running at the same time, want at most 6", n)
					}
					taken.Add(1)
					running.Add(-1)
					e.limits.Return(team)
				}
			}
		})
	}
	group.Wait()
	if row := c.row(t, team); taken.Load() == 0 || row.Sum() > limit {
		t.Errorf("%d tasks accepted, want at least 1; %+v, want at most 6 units", taken.Load(), row)
	}
}

// simulate runs entries with teams whose demand changes between 1/20 and 5
// times the mean every 10 s, one group of teams after the other. stranded (the
// fraction of the limit that no task uses) and unmet (the queued tasks) are
// means over the seconds in which a team's demand reaches its limit. reach is
// the 90th percentile of the time from a rise of the demand until 90% of the
// limit is in use. writes, asks and reads are per second, summed over the
// entries.
func simulate(entries, teams, limit int, seconds int) (stranded, unmet float64, reach time.Duration, writes, asks, reads float64) {
	ctx := context.Background()
	limits := map[fleet.TeamName]int{}
	for i := range teams {
		limits[fleet.TeamName(fmt.Sprintf("t%02d", i))] = limit
	}
	c := newCluster(entries, limits)
	names := sortedTeams(limits)
	random := rand.New(rand.NewSource(1))
	mean := float64(limit) / 3
	var reaches []time.Duration
	pendingSince := map[fleet.TeamName]time.Time{}
	samples := 0
	jobs := map[fleet.TeamName][]*entry{} // the entries that want to run a job
	for second := range seconds {
		for i, name := range names {
			burst := (second/10)%max(2, min(5, teams)) == i%max(2, min(5, teams))
			factor := 0.05
			if burst {
				factor = 5
			}
			if _, missed := pendingSince[name]; burst && missed && second%10 == 0 {
				reaches = append(reaches, 10*time.Second) // not reached in the team's last burst
			}
			if burst && second%10 == 0 {
				pendingSince[name] = c.clock.now
			}
			placed := jobs[name]
			placed = placed[:min(len(placed), int(mean*factor))]
			for i := range placed { // a job takes 3 s on average; the next one may be at another entry
				if random.Intn(3) == 0 {
					placed[i] = c.entries[random.Intn(entries)]
				}
			}
			for len(placed) < int(mean*factor) {
				placed = append(placed, c.entries[random.Intn(entries)])
			}
			jobs[name] = placed
			want := map[*entry]int{}
			for _, e := range placed {
				want[e]++
			}
			for _, e := range c.entries {
				for e.running[name] > want[e] { // tasks end when the demand falls
					e.running[name]--
					e.limits.Return(name)
				}
				e.limits.SetDemand(name, e.running[name], max(0, want[e]-e.running[name]))
			}
		}
		for step := range 5 { // every 200 ms: starts and urgent rounds; in the last step a tick
			for _, e := range c.entries {
				for _, name := range names {
					t := e.limits.team(name)
					for t.queued > 0 && e.take(name) {
						t.queued--
					}
				}
				select {
				case <-e.limits.Wake():
					_ = e.limits.Urgent(ctx)
				default:
				}
			}
			c.clock.now = c.clock.now.Add(200 * time.Millisecond)
			if step == 4 {
				c.tick(ctx)
			}
			for _, name := range names {
				if since, ok := pendingSince[name]; ok && c.total(name) >= limit*9/10 {
					reaches = append(reaches, c.clock.now.Sub(since))
					delete(pendingSince, name)
				}
			}
		}
		for _, name := range names {
			demand, unserved := 0, 0
			for _, e := range c.entries {
				demand += e.running[name] + e.limits.team(name).queued
				unserved += e.limits.team(name).queued
			}
			if demand >= limit { // idle units of a team that wants its whole limit
				samples++
				stranded += float64(limit-c.total(name)) / float64(limit)
				unmet += float64(unserved)
			}
		}
	}
	for range pendingSince {
		reaches = append(reaches, 10*time.Second)
	}
	sort.Slice(reaches, func(i, j int) bool { return reaches[i] < reaches[j] })
	if len(reaches) > 0 {
		reach = reaches[len(reaches)*9/10]
	}
	for _, e := range c.entries {
		stats := e.limits.Stats()
		writes += float64(stats.Writes) / float64(seconds)
		asks += float64(stats.Asks) / float64(seconds)
		reads += float64(stats.Reads) / float64(seconds)
	}
	return stranded / float64(max(1, samples)), unmet / float64(max(1, samples)), reach, writes, asks, reads
}

// BenchmarkBursts reports the unused fraction of the limits, the time until 90%
// of a team's limit is in use after its demand rose from 1/20 to 5 times the
// mean (90th percentile; 10 s if that is not reached within the burst), and the
// load.
func BenchmarkBursts(b *testing.B) {
	for _, size := range []struct{ entries, teams, limit int }{{8, 6, 60}, {20, 25, 60}, {100, 98, 120}} {
		b.Run(fmt.Sprintf("entries=%d/teams=%d/limit=%d", size.entries, size.teams, size.limit), func(b *testing.B) {
			for range b.N {
				stranded, _, reach, writes, asks, reads := simulate(size.entries, size.teams, size.limit, 50)
				b.ReportMetric(100*stranded, "%stranded")
				b.ReportMetric(reach.Seconds(), "s-to-90%")
				b.ReportMetric(writes, "writes/s")
				b.ReportMetric(reads, "reads/s")
				b.ReportMetric(asks/float64(size.entries), "asks/s/entry")
			}
		})
	}
}

// BenchmarkTake reports the time of a Take and a Return, by the number of teams.
func BenchmarkTake(b *testing.B) {
	for _, teams := range []int{6, 25, 98} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			limits := map[fleet.TeamName]int{}
			for i := range teams {
				limits[fleet.TeamName(fmt.Sprintf("t%02d", i))] = 10
			}
			c := newCluster(1, limits)
			e := c.entries[0]
			for name := range limits {
				e.limits.SetDemand(name, 0, 8)
			}
			for range 20 {
				c.clock.now = c.clock.now.Add(time.Second)
				c.tick(context.Background())
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if err := e.limits.Take("t03"); err != nil {
					b.Fatal(err)
				}
				e.limits.Return("t03")
			}
		})
	}
}
