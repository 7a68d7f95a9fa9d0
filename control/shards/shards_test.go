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

// cluster is a member list and the true holders of the shards' state.
type cluster struct {
	table   *memory.Table
	members control.Members
	nodes   []*node
	gone    []*node // fenced, but still running
	race    func()  // runs before each commit
	racing  bool
	born    int
	fail    func(format string, args ...any)
	// state holds, for each shard, the counter that its owners raise. kept is
	// what each session would leave behind.
	kept map[string]map[int]int
	want map[int]int
}

// racingTable lets other members act between the read and the write of one.
type racingTable struct {
	backing.Table
	race func()
}

func (r *racingTable) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	if r.race != nil {
		r.race()
	}
	return r.Table.Commit(ctx, txn)
}

// node is a member and the owner of its shards' state.
type node struct {
	c       *cluster
	id      string
	faults  *memory.Faults
	session backing.Condition
	seen    control.Members // may lag
	valid   bool
	manager *Manager
	state   map[int]int
	refuse  bool // handoffs fail
	// releasing is set while the state of a shard is stored for its next owner.
	releasing bool
	ticking   bool
}

func (n *node) Self() control.Member       { return control.Member{ID: n.id} }
func (n *node) Members() control.Members   { return n.seen }
func (n *node) Session() backing.Condition { return n.session }

func (n *node) Valid() error {
	if !n.valid {
		return errors.New("session is not valid")
	}
	return nil
}

func (n *node) Takeover(_ context.Context, takes []Take) ([]int, error) {
	if n.refuse {
		return nil, errors.New("takeover fails")
	}
	var copied []int
	for _, take := range takes {
		if _, ok := n.state[take.Shard]; !ok {
			n.state[take.Shard] = n.c.kept[n.id][take.Shard]
			for _, source := range take.Sources {
				n.state[take.Shard] = max(n.state[take.Shard], n.c.kept[source][take.Shard])
			}
		}
		n.keep(take.Shard)
		if len(take.Sources) > 0 {
			copied = append(copied, take.Shard)
		}
	}
	return copied, nil
}

func (n *node) Release(_ context.Context, shard int) error {
	if n.refuse {
		return errors.New("release fails")
	}
	if _, ok := n.state[shard]; ok {
		n.keep(shard)
		n.releasing = true
		n.act() // what happens now is not part of what was stored
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

func (n *node) keep(shard int) { n.c.kept[n.id][shard] = n.state[shard] }

// act raises the counters of all shards that the node may act on, and checks
// that nobody else can and that no earlier action is forgotten.
func (n *node) act() {
	for shard := range n.manager.Count() {
		if n.manager.Acting(shard) != nil {
			continue
		}
		value, loaded := n.state[shard]
		if !loaded {
			continue
		}
		if value != n.c.want[shard] {
			n.c.fail("%s acts on shard %d at %d, want %d", n.id, shard, value, n.c.want[shard])
		}
		n.c.want[shard]++
		n.state[shard]++
		if !n.releasing {
			n.keep(shard)
		}
	}
}

func newCluster(fail func(string, ...any)) *cluster {
	return &cluster{table: memory.NewTable(nil), fail: fail, kept: map[string]map[int]int{}, want: map[int]int{}}
}

func (c *cluster) add() *node {
	c.born++
	n := &node{c: c, id: fmt.Sprint("n", c.born), faults: &memory.Faults{}, valid: true, state: map[int]int{}}
	c.kept[n.id] = map[int]int{}
	key := "session/" + n.id
	versions, err := c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: key}}})
	if err != nil {
		c.fail("%v", err)
	}
	n.session = backing.Condition{Key: key, Version: versions[0]}
	n.manager = New(Options{Table: &racingTable{c.table.Via(n.faults), c.beforeCommit}, Membership: n, Handoff: n, Count: 32, MaxMoving: 2})
	c.nodes = append(c.nodes, n)
	c.members.Version++
	c.members.List = append(slices.Clone(c.members.List), n.Self())
	n.seen = c.members
	return n
}

func (c *cluster) beforeCommit() {
	if c.race == nil || c.racing {
		return
	}
	c.racing = true
	c.race()
	c.racing = false
}

// remove fences a session; its node stays and does not know it yet, but its
// lease has run out.
func (c *cluster) remove(n *node) {
	_, err := c.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: n.session.Key, Delete: true}}})
	if err != nil {
		c.fail("%v", err)
	}
	n.valid = false
	c.gone = append(c.gone, n)
	c.nodes = slices.DeleteFunc(c.nodes, func(x *node) bool { return x == n })
	c.members.Version++
	c.members.List = slices.DeleteFunc(slices.Clone(c.members.List), func(m control.Member) bool { return m.ID == n.id })
}

func (c *cluster) tick(n *node) {
	n.ticking = true
	_ = n.manager.Tick(context.Background())
	n.ticking = false
}

func (c *cluster) settle() {
	for range 40 {
		for _, n := range c.nodes {
			n.seen = c.members
			c.tick(n)
			n.act()
		}
	}
}

// Guards against two members that act on a shard at the same time, against
// state that is lost in moves and takeovers, and against shards that stay
// without an owner.
func TestOwnershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t.Fatalf)
		c.add()
		pick := func() *node { return rapid.SampledFrom(c.nodes).Draw(t, "node") }
		c.race = func() {
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
			"see": act(func() { pick().seen = c.members }),
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
			"refuse": act(func() { n := pick(); n.refuse = !n.refuse }),
			"lease":  act(func() { n := pick(); n.valid = !n.valid }),
			"": func(*rapid.T) {
				for _, n := range append(slices.Clone(c.gone), c.nodes...) {
					n.act()
				}
			},
		})
		c.fail = t.Fatalf
		c.race = nil
		for _, n := range c.nodes {
			n.valid, n.refuse = true, false
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

// Guards against moves of shards that need not move, and against a map that
// changes during an outage.
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
			n.seen = c.members
			c.tick(n)
			marked := 0
			for _, a := range n.manager.snapshot().Assignments {
				if a.Next != "" {
					marked++
				}
			}
			if marked > 2 {
				t.Fatalf("%d shards are moving at a time", marked)
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
	added.valid = true // paused since its last check of the lease
	added.seen.Version++
	added.seen.List = []control.Member{added.Self()}
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
