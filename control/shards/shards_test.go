package shards

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

// cluster simulates the members, and checks which of them acts on a shard and
// with what state.
type cluster struct {
	table        *memory.Table
	members      control.Members
	live         []*testMember
	fenced       []*testMember // fenced, but still running
	interleave   func()        // called before each commit; nil if none
	interleaving bool
	created      int
	fail         func(format string, args ...any)
	// The state of a shard is a counter that its owner increments with each
	// action. stored holds the counters by session and shard as the session has
	// stored them; wantCounters holds the number of actions by shard.
	stored       map[string]map[int]int
	wantCounters map[int]int
}

// interleavingTable calls beforeCommit between a member's read and its commit, so
// that other members can act there.
type interleavingTable struct {
	backing.Table
	beforeCommit func()
}

func (r *interleavingTable) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	if r.beforeCommit != nil {
		r.beforeCommit()
	}
	return r.Table.Commit(ctx, txn)
}

// testMember is a member of the cluster with its Manager. It is its own
// Membership and Handover.
type testMember struct {
	cluster       *cluster
	id            string
	faults        *memory.Faults
	session       backing.Condition
	knownMembers  control.Members // may lag behind cluster.members
	valid         bool
	manager       *Manager
	state         map[int]int // counter of each shard that is taken over
	failHandovers bool        // Takeover and Release fail
	// releasing is set while Release stores the state of a shard.
	releasing bool
	ticking   bool
}

func (m *testMember) Self() control.Member       { return control.Member{ID: m.id} }
func (m *testMember) Members() control.Members   { return m.knownMembers }
func (m *testMember) Session() backing.Condition { return m.session }

func (m *testMember) Valid() error {
	if !m.valid {
		return errors.New("session is not valid")
	}
	return nil
}

func (m *testMember) Takeover(_ context.Context, takeovers []Takeover) ([]int, error) {
	if m.failHandovers {
		return nil, errors.New("takeover fails")
	}
	var copied []int
	for _, takeover := range takeovers {
		if _, ok := m.state[takeover.Shard]; !ok {
			m.state[takeover.Shard] = m.cluster.stored[m.id][takeover.Shard]
			for _, source := range takeover.Sources {
				m.state[takeover.Shard] = max(m.state[takeover.Shard], m.cluster.stored[source][takeover.Shard])
			}
		}
		m.store(takeover.Shard)
		if len(takeover.Sources) > 0 {
			copied = append(copied, takeover.Shard)
		}
	}
	return copied, nil
}

func (m *testMember) Release(_ context.Context, shard int) error {
	if m.failHandovers {
		return errors.New("release fails")
	}
	if _, ok := m.state[shard]; ok {
		m.store(shard)
		m.releasing = true
		m.act() // actions from here on would be missing in the stored state
		m.releasing = false
		delete(m.state, shard)
	}
	return nil
}

func (m *testMember) Drop(owned func(int) bool) {
	for shard := range m.state {
		if !owned(shard) {
			delete(m.state, shard)
		}
	}
}

func (m *testMember) store(shard int) { m.cluster.stored[m.id][shard] = m.state[shard] }

// act increments the counters of all shards that the member may act on. It first
// checks that no action of this or another member is missing in them, as it
// would be if two members acted on a shard at the same time or state was lost.
func (m *testMember) act() {
	for shard := range m.manager.Count() {
		if m.manager.Acting(shard) != nil {
			continue
		}
		value, loaded := m.state[shard]
		if !loaded {
			continue
		}
		if value != m.cluster.wantCounters[shard] {
			m.cluster.fail("%s acts on shard %d with counter %d, want %d", m.id, shard, value, m.cluster.wantCounters[shard])
		}
		m.cluster.wantCounters[shard]++
		m.state[shard]++
		if !m.releasing {
			m.store(shard)
		}
	}
}

func newCluster(fail func(string, ...any)) *cluster {
	return &cluster{table: memory.NewTable(nil), fail: fail, stored: map[string]map[int]int{}, wantCounters: map[int]int{}}
}

func (c *cluster) add() *testMember {
	c.created++
	m := &testMember{cluster: c, id: fmt.Sprint("n", c.created), faults: &memory.Faults{}, valid: true, state: map[int]int{}}
	c.stored[m.id] = map[int]int{}
	key := "session/" + m.id
	versions, err := c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: key}}})
	if err != nil {
		c.fail("%v", err)
	}
	m.session = backing.Condition{Key: key, Version: versions[0]}
	m.manager = New(Options{Table: &interleavingTable{c.table.Via(m.faults), c.beforeCommit}, Membership: m, Handover: m, Count: 32, MaxMoving: 2})
	c.live = append(c.live, m)
	c.members.Version++
	c.members.List = append(slices.Clone(c.members.List), m.Self())
	m.knownMembers = c.members
	return m
}

func (c *cluster) beforeCommit() {
	if c.interleave == nil || c.interleaving {
		return
	}
	c.interleaving = true
	c.interleave()
	c.interleaving = false
}

// remove fences a session whose lease has expired. The member keeps running and
// has not noticed it.
func (c *cluster) remove(m *testMember) {
	_, err := c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: m.session.Key, Delete: true}}})
	if err != nil {
		c.fail("%v", err)
	}
	m.valid = false
	c.fenced = append(c.fenced, m)
	c.live = slices.DeleteFunc(c.live, func(x *testMember) bool { return x == m })
	c.members.Version++
	c.members.List = slices.DeleteFunc(slices.Clone(c.members.List), func(listed control.Member) bool { return listed.ID == m.id })
}

func (c *cluster) tick(m *testMember) {
	m.ticking = true
	_ = m.manager.Tick(context.Background())
	m.ticking = false
}

// settle ticks all live members 40 times with the current member list.
func (c *cluster) settle() {
	for range 40 {
		for _, m := range c.live {
			m.knownMembers = c.members
			c.tick(m)
			m.act()
		}
	}
}

// TestOwnershipUnderFaults guards against two members that act on a shard at the
// same time, against state that is lost in handovers and takeovers, and against
// shards that stay without an owner.
func TestOwnershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t.Fatalf)
		c.add()
		pick := func() *testMember { return rapid.SampledFrom(c.live).Draw(t, "node") }
		c.interleave = func() {
			if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
				m := pick()
				if !m.ticking {
					c.tick(m)
					m.act()
				}
			}
		}
		act := func(fn func()) func(*rapid.T) {
			return func(r *rapid.T) { t = r; c.fail = r.Fatalf; fn() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": act(func() {
				m := pick()
				c.tick(m)
				m.act()
			}),
			"all": act(func() {
				for _, m := range c.live {
					c.tick(m)
					m.act()
				}
			}),
			"see": act(func() { pick().knownMembers = c.members }),
			"add": act(func() {
				if len(c.live) < 6 {
					c.add()
				}
			}),
			"remove": act(func() {
				if len(c.live) > 1 {
					c.remove(pick())
				}
			}),
			"lose":   act(func() { pick().faults.LoseAnswers(rapid.IntRange(0, 2).Draw(t, "answers")) }),
			"down":   act(func() { pick().faults.SetDown(rapid.Bool().Draw(t, "down")) }),
			"refuse": act(func() { m := pick(); m.failHandovers = !m.failHandovers }),
			"lease":  act(func() { m := pick(); m.valid = !m.valid }),
			"": func(*rapid.T) {
				for _, m := range append(slices.Clone(c.fenced), c.live...) {
					m.act()
				}
			},
		})
		c.fail = t.Fatalf
		c.interleave = nil
		for _, m := range c.live {
			m.valid, m.failHandovers = true, false
			m.faults.SetDown(false)
			m.faults.LoseAnswers(0)
		}
		c.settle()
		for shard := range 32 {
			owners := 0
			for _, m := range c.live {
				if _, ok := m.state[shard]; ok && m.manager.Acting(shard) == nil {
					owners++
				}
			}
			if owners != 1 {
				t.Fatalf("shard %d has %d owners, want 1", shard, owners)
			}
		}
		for _, a := range c.live[0].manager.snapshot().Assignments {
			if a.Next != "" || len(a.Sources) > 0 {
				t.Fatalf("map has not settled: %+v, want neither Next nor Sources", a)
			}
		}
	})
}

// TestMovesAreBounded guards against moves of shards that need not move, against
// too many moves at a time, and against a map that a fenced member changes or
// that changes during an outage of the store.
func TestMovesAreBounded(t *testing.T) {
	c := newCluster(t.Fatalf)
	for range 8 {
		c.add()
	}
	c.settle()
	before := c.live[0].manager.snapshot()
	added := c.add()
	for range 40 {
		for _, m := range c.live {
			m.knownMembers = c.members
			c.tick(m)
			marked := 0
			for _, a := range m.manager.snapshot().Assignments {
				if a.Next != "" {
					marked++
				}
			}
			if marked > 2 {
				t.Fatalf("%d shards are moving at the same time, want at most 2", marked)
			}
		}
	}
	moved := 0
	after := c.live[0].manager.snapshot()
	for shard, a := range after.Assignments {
		if a.Owner != before.Assignments[shard].Owner {
			moved++
			if a.Owner != added.id {
				t.Errorf("shard %d moved to %s, which is not new", shard, a.Owner)
			}
		}
	}
	if moved == 0 || moved > 10 {
		t.Errorf("%d of 32 shards moved to the ninth member, want 1 to 10", moved)
	}
	c.remove(added)
	added.valid = true // as if paused after its last check of the session
	added.knownMembers.Version++
	added.knownMembers.List = []control.Member{added.Self()}
	for range 5 {
		c.tick(added)
	}
	for _, m := range c.live {
		m.faults.SetDown(true)
	}
	c.settle()
	row, err := c.table.Get(context.Background(), Key)
	if err != nil {
		t.Fatal(err)
	}
	var stored Map
	if err := cbor.Unmarshal(row.Value, &stored); err != nil {
		t.Fatal(err)
	}
	for shard, a := range stored.Assignments {
		if a.Owner != after.Assignments[shard].Owner {
			t.Errorf("shard %d was moved by a fenced member or during an outage", shard)
		}
	}
	if m := c.live[0]; m.manager.Acting(0) == nil != (m.manager.Owner(0) == m.id) {
		t.Error("owners do not act during an outage")
	}
}
