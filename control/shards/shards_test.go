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
	nodes        []*node
	fenced       []*node // fenced, but still running
	interleave   func()  // called before each commit; nil if none
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

// node is a member with its Manager, and the Handoff of that.
type node struct {
	cluster      *cluster
	id           string
	faults       *memory.Faults
	session      backing.Condition
	knownMembers control.Members // may lag behind cluster.members
	valid        bool
	manager      *Manager
	state        map[int]int // counter of each shard that is taken over
	failHandoffs bool        // Takeover and Release fail
	// releasing is set while Release stores the state of a shard.
	releasing bool
	ticking   bool
}

func (n *node) Self() control.Member       { return control.Member{ID: n.id} }
func (n *node) Members() control.Members   { return n.knownMembers }
func (n *node) Session() backing.Condition { return n.session }

func (n *node) Valid() error {
	if !n.valid {
		return errors.New("session is not valid")
	}
	return nil
}

func (n *node) Takeover(_ context.Context, takes []Takeover) ([]int, error) {
	if n.failHandoffs {
		return nil, errors.New("takeover fails")
	}
	var copied []int
	for _, take := range takes {
		if _, ok := n.state[take.Shard]; !ok {
			n.state[take.Shard] = n.cluster.stored[n.id][take.Shard]
			for _, source := range take.Sources {
				n.state[take.Shard] = max(n.state[take.Shard], n.cluster.stored[source][take.Shard])
			}
		}
		n.store(take.Shard)
		if len(take.Sources) > 0 {
			copied = append(copied, take.Shard)
		}
	}
	return copied, nil
}

func (n *node) Release(_ context.Context, shard int) error {
	if n.failHandoffs {
		return errors.New("release fails")
	}
	if _, ok := n.state[shard]; ok {
		n.store(shard)
		n.releasing = true
		n.act() // actions from here on would be missing in the stored state
		n.releasing = false
		delete(n.state, shard)
	}
	return nil
}

func (n *node) Drop(keep func(int) bool) {
	for shard := range n.state {
		if !keep(shard) {
			delete(n.state, shard)
		}
	}
}

func (n *node) store(shard int) { n.cluster.stored[n.id][shard] = n.state[shard] }

// act increments the counters of all shards that the node may act on. It checks
// before that no action of this or another member is missing in them, as it
// would be if two members acted on a shard at the same time or state was lost.
func (n *node) act() {
	for shard := range n.manager.Count() {
		if n.manager.Acting(shard) != nil {
			continue
		}
		value, loaded := n.state[shard]
		if !loaded {
			continue
		}
		if value != n.cluster.wantCounters[shard] {
			n.cluster.fail("%s acts on shard %d with counter %d, want %d", n.id, shard, value, n.cluster.wantCounters[shard])
		}
		n.cluster.wantCounters[shard]++
		n.state[shard]++
		if !n.releasing {
			n.store(shard)
		}
	}
}

func newCluster(fail func(string, ...any)) *cluster {
	return &cluster{table: memory.NewTable(nil), fail: fail, stored: map[string]map[int]int{}, wantCounters: map[int]int{}}
}

func (c *cluster) add() *node {
	c.created++
	n := &node{cluster: c, id: fmt.Sprint("n", c.created), faults: &memory.Faults{}, valid: true, state: map[int]int{}}
	c.stored[n.id] = map[int]int{}
	key := "session/" + n.id
	versions, err := c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: key}}})
	if err != nil {
		c.fail("%v", err)
	}
	n.session = backing.Condition{Key: key, Version: versions[0]}
	n.manager = New(Options{Table: &interleavingTable{c.table.Via(n.faults), c.beforeCommit}, Membership: n, Handover: n, Count: 32, MaxMoving: 2})
	c.nodes = append(c.nodes, n)
	c.members.Version++
	c.members.List = append(slices.Clone(c.members.List), n.Self())
	n.knownMembers = c.members
	return n
}

func (c *cluster) beforeCommit() {
	if c.interleave == nil || c.interleaving {
		return
	}
	c.interleaving = true
	c.interleave()
	c.interleaving = false
}

// remove fences a session whose lease has expired. Its node goes on running and
// has not noticed it.
func (c *cluster) remove(n *node) {
	_, err := c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: n.session.Key, Delete: true}}})
	if err != nil {
		c.fail("%v", err)
	}
	n.valid = false
	c.fenced = append(c.fenced, n)
	c.nodes = slices.DeleteFunc(c.nodes, func(x *node) bool { return x == n })
	c.members.Version++
	c.members.List = slices.DeleteFunc(slices.Clone(c.members.List), func(m control.Member) bool { return m.ID == n.id })
}

func (c *cluster) tick(n *node) {
	n.ticking = true
	_ = n.manager.Tick(context.Background())
	n.ticking = false
}

// settle ticks all nodes 40 times with the current member list.
func (c *cluster) settle() {
	for range 40 {
		for _, n := range c.nodes {
			n.knownMembers = c.members
			c.tick(n)
			n.act()
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
		pick := func() *node { return rapid.SampledFrom(c.nodes).Draw(t, "node") }
		c.interleave = func() {
			if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
				n := pick()
				if !n.ticking {
					c.tick(n)
					n.act()
				}
			}
		}
		act := func(fn func()) func(*rapid.T) {
			return func(r *rapid.T) { t = r; c.fail = r.Fatalf; fn() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": act(func() {
				n := pick()
				c.tick(n)
				n.act()
			}),
			"all": act(func() {
				for _, n := range c.nodes {
					c.tick(n)
					n.act()
				}
			}),
			"see": act(func() { pick().knownMembers = c.members }),
			"add": act(func() {
				if len(c.nodes) < 6 {
					c.add()
				}
			}),
			"remove": act(func() {
				if len(c.nodes) > 1 {
					c.remove(pick())
				}
			}),
			"lose":   act(func() { pick().faults.LoseAnswers(rapid.IntRange(0, 2).Draw(t, "answers")) }),
			"down":   act(func() { pick().faults.SetDown(rapid.Bool().Draw(t, "down")) }),
			"refuse": act(func() { n := pick(); n.failHandoffs = !n.failHandoffs }),
			"lease":  act(func() { n := pick(); n.valid = !n.valid }),
			"": func(*rapid.T) {
				for _, n := range append(slices.Clone(c.fenced), c.nodes...) {
					n.act()
				}
			},
		})
		c.fail = t.Fatalf
		c.interleave = nil
		for _, n := range c.nodes {
			n.valid, n.failHandoffs = true, false
			n.faults.SetDown(false)
			n.faults.LoseAnswers(0)
		}
		c.settle()
		for shard := range 32 {
			owners := 0
			for _, n := range c.nodes {
				if _, ok := n.state[shard]; ok && n.manager.Acting(shard) == nil {
					owners++
				}
			}
			if owners != 1 {
				t.Fatalf("shard %d has %d owners", shard, owners)
			}
		}
		for _, a := range c.nodes[0].manager.snapshot().Assignments {
			if a.Next != "" || len(a.Sources) > 0 {
				t.Fatalf("map has not settled: %+v", a)
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
	before := c.nodes[0].manager.snapshot()
	added := c.add()
	for range 40 {
		for _, n := range c.nodes {
			n.knownMembers = c.members
			c.tick(n)
			marked := 0
			for _, a := range n.manager.snapshot().Assignments {
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
	after := c.nodes[0].manager.snapshot()
	for shard, a := range after.Assignments {
		if a.Owner != before.Assignments[shard].Owner {
			moved++
			if a.Owner != added.id {
				t.Errorf("shard %d moved to %s, which is not new", shard, a.Owner)
			}
		}
	}
	if moved == 0 || moved > 10 {
		t.Errorf("%d of 32 shards moved to the ninth member", moved)
	}
	c.remove(added)
	added.valid = true // as if paused after its last check of the session
	added.knownMembers.Version++
	added.knownMembers.List = []control.Member{added.Self()}
	for range 5 {
		c.tick(added)
	}
	for _, n := range c.nodes {
		n.faults.SetDown(true)
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
	if n := c.nodes[0]; n.manager.Acting(0) == nil != (n.manager.Owner(0) == n.id) {
		t.Error("owners do not act during an outage")
	}
}
