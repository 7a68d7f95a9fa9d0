package apply_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/apply"
	"amaranthfork.example/control/member"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/rpc/rpctest"
	"amaranthfork.example/control/view"
	"amaranthfork.example/fleet"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tb is what the cluster needs of *testing.T, *testing.B and *rapid.T.
type tb interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster runs entries with clocks of their own on one table and network.
type cluster struct {
	t        tb
	now      time.Duration // global
	table    *memory.Table
	objects  *memory.Objects
	network  *rpctest.Network
	vmsDown  bool
	gone     map[string]bool // VMs
	nodes    []*node
	cut      map[[2]*node]bool
	calls    atomic.Int64
	sessions int
	// bubble makes the clock of a synctest bubble the global one.
	bubble      bool
	bubbleStart time.Time
	accepted    map[fleet.Revision]time.Duration
	changes     map[string]fleet.Revision
}

type node struct {
	c       *cluster
	vm      string
	dc      fleet.DataCentreName
	rate    float64
	faults  *memory.Faults
	router  *rpc.Router
	caller  rpc.Caller
	members *member.Registry
	view    *view.View
	apply   *apply.Coordinator
	ops     []*apply.Operation
	// noMethod is a peer method whose answers to this node are lost.
	noMethod string
	// lateCommit makes commits of changes take effect after their context has ended.
	lateCommit bool
	// beforeChange runs once before the next commit of a change.
	beforeChange func()
	mu           sync.Mutex // guards traffic against concurrent calls
	traffic      traffic
	phase        time.Duration
	off          bool // killed or left
	paused       bool
	highest      fleet.Revision
}

func newCluster(t tb) *cluster {
	return &cluster{
		t: t, table: memory.NewTable(nil), objects: memory.NewObjects(nil), network: rpctest.NewNetwork(),
		gone: map[string]bool{}, cut: map[[2]*node]bool{},
		accepted: map[fleet.Revision]time.Duration{}, changes: map[string]fleet.Revision{},
	}
}

// Now is the clock of the node.
func (n *node) Now() time.Time {
	if n.c.bubble {
		return epoch.Add(time.Duration(float64(time.Since(n.c.bubbleStart)) * n.rate))
	}
	return epoch.Add(time.Duration(float64(n.c.now) * n.rate))
}

// Call passes a call on unless the nodes are cut off from each other.
func (n *node) Call(ctx context.Context, to, method string, req, resp any) error {
	n.c.calls.Add(1)
	for _, other := range n.c.nodes {
		if other.members.Self().ID == to && (other.paused || n.c.cut[[2]*node{n, other}]) {
			return rpc.ErrUnreachable
		}
	}
	if method == n.noMethod {
		return rpc.ErrNoAnswer
	}
	err := n.caller.Call(ctx, to, method, req, resp)
	n.count(func(t *traffic) { t.call(method, req, resp) })
	return err
}

func (n *node) count(fn func(*traffic)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn(&n.traffic)
}

// path is the table as a node reaches it.
type path struct {
	backing.Table
	n *node
}

func (p path) Get(ctx context.Context, key string) (backing.Row, error) {
	row, err := p.Table.Get(ctx, key)
	p.n.count(func(t *traffic) { t.rows(row) })
	return row, err
}

func (p path) Range(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	rows, err := p.Table.Range(ctx, prefix, after, limit)
	p.n.count(func(t *traffic) { t.rows(rows...) })
	return rows, err
}

func (p path) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	if hook := p.n.beforeChange; hook != nil && strings.HasPrefix(txn.ID, "apply/") {
		p.n.beforeChange = nil
		hook()
	}
	p.n.count(func(t *traffic) { t.commit(txn) })
	versions, err := p.Table.Commit(ctx, txn)
	if p.n.lateCommit && strings.HasPrefix(txn.ID, "apply/") {
		return nil, context.DeadlineExceeded
	}
	return versions, err
}

// List is the VM list.
func (c *cluster) List(context.Context) (backing.VMListing, error) {
	var listing backing.VMListing
	if c.vmsDown {
		return listing, backing.ErrUnavailable
	}
	for _, n := range c.nodes {
		state := fleet.VMLive
		if c.gone[n.vm] {
			state = fleet.VMGone
		}
		listing.Entries = append(listing.Entries, backing.EntryVM{ID: n.vm, DataCentre: n.dc, State: state})
	}
	return listing, nil
}

func build(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error) {
	for name, content := range folder {
		if string(content) == "bad" {
			return nil, fmt.Errorf("%s:1:1: bad content", name)
		}
	}
	return &config.Snapshot{Revision: revision}, nil
}

// add starts a process in a data centre without a session.
func (c *cluster) add(dc string, rate float64) *node {
	n := &node{c: c, vm: fmt.Sprintf("vm%02d", len(c.nodes)), dc: fleet.DataCentreName(dc), rate: rate,
		faults: &memory.Faults{}, router: rpc.NewRouter(), phase: time.Duration(len(c.nodes)%5) * 100 * time.Millisecond}
	table := path{c.table.Via(n.faults), n}
	n.members = member.New(member.Options{
		Self:  control.Member{DataCentre: n.dc, VM: n.vm},
		NewID: func() string { c.sessions++; return fmt.Sprintf("s%03d", c.sessions) },
		Table: table, VMs: c, Caller: n, Clock: n, MajorityTTL: time.Hour,
	})
	n.view = view.New(view.Options{Members: n.members, Table: table, Objects: c.objects.Via(n.faults), VMs: c,
		Caller: n, Clock: n, Builder: view.BuilderFunc(build)})
	n.apply = apply.New(apply.Options{View: n.view, Members: n.members, Table: table, Caller: n, Clock: n, Builder: view.BuilderFunc(build)})
	n.members.Register(n.router)
	n.view.Register(n.router)
	n.apply.Register(n.router)
	c.nodes = append(c.nodes, n)
	return n
}

// join starts a session and attaches the node to the network under its id.
func (n *node) join() error {
	if n.caller != nil {
		n.c.network.Leave(n.members.Self().ID)
	}
	err := n.members.Join(context.Background())
	n.caller = n.c.network.Join(n.members.Self().ID, n.router)
	return err
}

func (n *node) tick() {
	ctx := context.Background()
	err := n.members.Tick(ctx)
	if errors.Is(err, member.ErrFenced) || errors.Is(err, member.ErrNoSession) {
		_ = n.join() // tried again at the next tick
	}
	_ = n.view.Tick(ctx)
}

// kill ends the process; with gone the VM list shows it.
func (n *node) kill(gone bool) {
	n.off = true
	n.c.network.Leave(n.members.Self().ID)
	n.c.gone[n.vm] = gone
}

// advance runs all nodes and operations for a time, in steps of 50 ms.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 50 * time.Millisecond
		for _, n := range c.nodes {
			if n.off || n.paused {
				continue
			}
			if (c.now+n.phase)%view.TickEvery == 0 {
				n.tick()
			}
			if (c.now+n.phase)%apply.StepEvery == 0 {
				n.step()
			}
		}
		c.check()
	}
}

func (n *node) step() {
	for i := 0; i < len(n.ops); i++ {
		result, err := n.ops[i].Step(context.Background())
		if err != nil || !result.Accepted {
			continue
		}
		if _, ok := n.c.accepted[result.Revision]; !ok {
			n.c.accepted[result.Revision] = n.c.now
		}
		n.ops[i].Close()
		n.ops = append(n.ops[:i:i], n.ops[i+1:]...)
		i--
	}
}

// change begins a change and records its revision.
func (n *node) change(id string, base fleet.Revision) error {
	op, err := n.apply.Begin(context.Background(), config.Change{ID: id, Base: base,
		Put: []config.File{{Name: id + ".yaml", Content: []byte(id)}}})
	if err != nil {
		return err
	}
	result, err := op.Step(context.Background())
	if err != nil {
		return err
	}
	if was, ok := n.c.changes[id]; ok && was != result.Revision {
		n.c.t.Fatalf("change %s made revision %d and revision %d", id, was, result.Revision)
	}
	n.c.changes[id] = result.Revision
	n.ops = append(n.ops, op)
	if result.Accepted {
		n.step()
	}
	return nil
}

// check fails if a node acts on a revision that is too old, or if a revision
// went down.
func (c *cluster) check() {
	for _, n := range c.nodes {
		if n.off || n.paused {
			continue
		}
		revision := n.view.Revision()
		if revision < n.highest {
			c.t.Fatalf("%v: %s went from revision %d to %d", c.now, n.vm, n.highest, revision)
		}
		n.highest = revision
		if n.members.Valid() == nil && !c.listed(n) {
			c.t.Fatalf("%v: %s has a valid session that was fenced\n%s", c.now, n.vm, c.dump())
		}
		if n.view.Fresh() != nil {
			continue
		}
		for accepted, at := range c.accepted {
			if accepted > revision && c.now > at+4*time.Second {
				c.t.Fatalf("%v: %s acts on revision %d, but %d was accepted at %v\n%s", c.now, n.vm, revision, accepted, at, c.dump())
			}
			if accepted > revision && n.members.Valid() == nil && c.listed(n) {
				c.t.Fatalf("%v: member %s acts on revision %d, but %d was accepted at %v\n%s", c.now, n.vm, revision, accepted, at, c.dump())
			}
		}
	}
}

// dump describes what each running entry knows.
func (c *cluster) dump() string {
	var text strings.Builder
	for _, n := range c.nodes {
		list := n.members.List()
		fmt.Fprintf(&text, "%s %s off=%v paused=%v id=%s revision=%d list=%d:", n.vm, n.dc, n.off, n.paused, n.members.Self().ID, n.view.Revision(), list.Version)
		for _, e := range list.Entries {
			fmt.Fprintf(&text, " %s/%s(joined %d, settled %d)", e.Member.ID, e.Member.VM, e.Joined, e.SettledAt)
		}
		fmt.Fprintf(&text, " fenced=%d gone=%v\n", len(list.Fenced), c.gone[n.vm])
	}
	return text.String()
}

// listed reports whether the table names the session of a node.
func (c *cluster) listed(n *node) bool {
	row, err := c.table.Get(context.Background(), n.members.Session().Key)
	return err == nil && row.Version == n.members.Session().Version
}

// partition cuts or heals the links between a set of nodes and all others.
func (c *cluster) partition(cut bool, inside func(*node) bool) {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if inside(a) != inside(b) {
				c.cut[[2]*node{a, b}] = cut
			}
		}
	}
}

func (c *cluster) storeDown(down bool, which func(*node) bool) {
	for _, n := range c.nodes {
		if which(n) {
			n.faults.SetDown(down)
		}
	}
}

func all(*node) bool { return true }

func in(dc string) func(*node) bool {
	return func(n *node) bool { return n.dc == fleet.DataCentreName(dc) }
}

// fresh returns the VMs of the running nodes that act, and fails the test if one
// of them has no valid session.
func (c *cluster) fresh() map[string]bool {
	fresh := map[string]bool{}
	for _, n := range c.nodes {
		if !n.off && !n.paused && n.view.Fresh() == nil && n.members.Valid() == nil {
			fresh[n.vm] = true
		}
	}
	return fresh
}

// start returns a fleet of n entries over data centres a, b, ... with clocks
// that differ by up to 1%, and revision 1 accepted.
func start(t tb, entries, dataCentres int) *cluster {
	t.Helper()
	c := newCluster(t)
	for i := range entries {
		n := c.add(string(rune('a'+i%dataCentres)), 0.995+0.01*float64(i%3)/2)
		if err := n.join(); err != nil {
			t.Fatalf("join: %v", err)
		}
	}
	c.advance(10 * time.Second) // until all are settled and know it of each other
	if err := c.nodes[0].change("first", 0); err != nil {
		t.Fatalf("first change: %v", err)
	}
	c.advance(time.Second)
	if _, ok := c.accepted[1]; !ok {
		t.Fatalf("the first change was not accepted within 1 s")
	}
	if fresh := c.fresh(); len(fresh) != entries {
		t.Fatalf("%d of %d entries act: %v", len(fresh), entries, fresh)
	}
	return c
}

var _ testing.TB = (*testing.T)(nil)
