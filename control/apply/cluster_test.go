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

// tb is the common part of *testing.T, *testing.B and *rapid.T that the cluster
// uses.
type tb interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster is a simulated fleet: entries with clocks of their own on one table,
// one object store and one network.
type cluster struct {
	t        tb
	now      time.Duration // time since the start, on the global clock
	table    *memory.Table
	objects  *memory.Objects
	network  *rpctest.Network
	vmsDown  bool            // the VM list cannot be read
	gone     map[string]bool // VMs that the VM list shows as gone
	nodes    []*node
	cutLinks map[[2]*node]bool // by caller and callee
	calls    atomic.Int64      // between peers
	sessions int               // number of sessions begun so far
	// bubble makes the clock of a synctest bubble the global clock, in place of
	// now.
	bubble      bool
	bubbleStart time.Time
	accepted    map[fleet.Revision]time.Duration // when a revision was first reported as accepted
	changes     map[string]fleet.Revision        // by change id: the revision that it created
}

// node is one simulated entry process.
type node struct {
	c         *cluster
	vm        string
	dc        fleet.DataCentreName
	clockRate float64 // of the node's clock, relative to the global one
	faults    *memory.Faults
	router    *rpc.Router
	caller    rpc.Caller
	members   *member.Registry
	view      *view.View
	apply     *apply.Coordinator
	ops       []*apply.Operation // changes begun here that are not accepted
	// noMethod is a peer method for which calls of this node get no answer.
	noMethod string
	// lateCommit makes commits of changes take effect although the caller gets a
	// deadline error.
	lateCommit bool
	// beforeChange runs once before the next commit of a change.
	beforeChange func()
	mu           sync.Mutex // guards traffic
	traffic      traffic
	phase        time.Duration // offset of the node's ticks and steps
	off          bool          // the process has failed or stopped
	paused       bool
	highest      fleet.Revision // highest revision of the node's view so far
}

func newCluster(t tb) *cluster {
	return &cluster{
		t: t, table: memory.NewTable(nil), objects: memory.NewObjects(nil), network: rpctest.NewNetwork(),
		gone: map[string]bool{}, cutLinks: map[[2]*node]bool{},
		accepted: map[fleet.Revision]time.Duration{}, changes: map[string]fleet.Revision{},
	}
}

// Now returns the time on the node's clock.
func (n *node) Now() time.Time {
	if n.c.bubble {
		return epoch.Add(time.Duration(float64(time.Since(n.c.bubbleStart)) * n.clockRate))
	}
	return epoch.Add(time.Duration(float64(n.c.now) * n.clockRate))
}

// Call makes a peer call unless the link is cut or the peer is paused.
func (n *node) Call(ctx context.Context, to, method string, req, resp any) error {
	n.c.calls.Add(1)
	for _, other := range n.c.nodes {
		if other.members.Self().ID == to && (other.paused || n.c.cutLinks[[2]*node{n, other}]) {
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

// count updates the traffic counters.
func (n *node) count(fn func(*traffic)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn(&n.traffic)
}

// countingTable is a node's path to the table. It counts the node's traffic and
// can disturb its commits of changes.
type countingTable struct {
	backing.Table
	n *node
}

func (p countingTable) Get(ctx context.Context, key string) (backing.Row, error) {
	row, err := p.Table.Get(ctx, key)
	p.n.count(func(t *traffic) { t.rows(row) })
	return row, err
}

func (p countingTable) Range(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	rows, err := p.Table.Range(ctx, prefix, after, limit)
	p.n.count(func(t *traffic) { t.rows(rows...) })
	return rows, err
}

func (p countingTable) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
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

// List returns the VM list with the VMs of all nodes.
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

// build is the view.Builder function of all nodes. A folder is invalid if a
// file has the content "bad".
func build(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error) {
	for name, content := range folder {
		if string(content) == "bad" {
			return nil, fmt.Errorf("%s:1:1: bad content", name)
		}
	}
	return &config.Snapshot{Revision: revision}, nil
}

// add starts a process in a data centre, with a clock of the given rate. It has
// no session until join is called.
func (c *cluster) add(dc string, rate float64) *node {
	n := &node{c: c, vm: fmt.Sprintf("vm%02d", len(c.nodes)), dc: fleet.DataCentreName(dc), clockRate: rate,
		faults: &memory.Faults{}, router: rpc.NewRouter(), phase: time.Duration(len(c.nodes)%5) * 100 * time.Millisecond}
	table := countingTable{c.table.Via(n.faults), n}
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

// join begins a new session and attaches the node to the network under the
// session's member id.
func (n *node) join() error {
	if n.caller != nil {
		n.c.network.Leave(n.members.Self().ID)
	}
	err := n.members.Join(context.Background())
	n.caller = n.c.network.Join(n.members.Self().ID, n.router)
	return err
}

// tick runs the periodic work of the membership and the view once.
func (n *node) tick() {
	ctx := context.Background()
	err := n.members.Tick(ctx)
	if errors.Is(err, member.ErrFenced) || errors.Is(err, member.ErrNoSession) {
		_ = n.join() // tried again at the next tick
	}
	_ = n.view.Tick(ctx)
}

// kill ends the process, but not its session; gone sets whether the VM list shows
// the VM as gone.
func (n *node) kill(gone bool) {
	n.off = true
	n.c.network.Leave(n.members.Self().ID)
	n.c.gone[n.vm] = gone
}

// advance advances the global clock by d, in steps of 50 ms, and runs the nodes
// and operations that are due at each step.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 50 * time.Millisecond
		for _, n := range c.nodes {
			if n.off || n.paused {
				continue
			}
			if (c.now+n.phase)%view.TickInterval == 0 {
				n.tick()
			}
			if (c.now+n.phase)%apply.StepInterval == 0 {
				n.step()
			}
		}
		c.check()
	}
}

// step runs a step of each operation of the node and records accepted revisions.
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

// change begins a change at this node, runs its first step and records its
// revision. It fails the test if the change has created another revision
// before.
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
		n.c.t.Fatalf("change %s created revisions %d and %d", id, was, result.Revision)
	}
	n.c.changes[id] = result.Revision
	n.ops = append(n.ops, op)
	if result.Accepted {
		n.step()
	}
	return nil
}

// check fails the test if a member acts on a revision below an accepted one, or
// any other node does so more than 4 s after the acceptance, if a node uses a
// session that was fenced, or if the revision of a view went down.
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
			c.t.Fatalf("%v: %s uses a session that was fenced\n%s", c.now, n.vm, c.dump())
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

// dump describes the state of all nodes for failure messages.
func (c *cluster) dump() string {
	var text strings.Builder
	for _, n := range c.nodes {
		list := n.members.List()
		fmt.Fprintf(&text, "%s %s off=%v paused=%v id=%s revision=%d list=%d:", n.vm, n.dc, n.off, n.paused, n.members.Self().ID, n.view.Revision(), list.Version)
		for _, e := range list.Entries {
			fmt.Fprintf(&text, " %s/%s(joined %d, settled %d)", e.Member.ID, e.Member.VM, e.JoinedVersion, e.SettledVersion)
		}
		fmt.Fprintf(&text, " fenced=%d gone=%v\n", len(list.Fenced), c.gone[n.vm])
	}
	return text.String()
}

// listed reports whether the session row of a node is still in the table.
func (c *cluster) listed(n *node) bool {
	row, err := c.table.Get(context.Background(), n.members.Session().Key)
	return err == nil && row.Version == n.members.Session().Version
}

// partition cuts or restores the links between the nodes inside a set and all
// others.
func (c *cluster) partition(cut bool, inside func(*node) bool) {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if inside(a) != inside(b) {
				c.cutLinks[[2]*node{a, b}] = cut
			}
		}
	}
}

// storeDown sets whether the store is unreachable for the nodes selected by
// which.
func (c *cluster) storeDown(down bool, which func(*node) bool) {
	for _, n := range c.nodes {
		if which(n) {
			n.faults.SetDown(down)
		}
	}
}

func all(*node) bool { return true }

// in selects the nodes of a data centre.
func in(dc string) func(*node) bool {
	return func(n *node) bool { return n.dc == fleet.DataCentreName(dc) }
}

// fresh returns the set of VMs whose node is running, has a current view and
// has a valid session.
func (c *cluster) fresh() map[string]bool {
	fresh := map[string]bool{}
	for _, n := range c.nodes {
		if !n.off && !n.paused && n.view.Fresh() == nil && n.members.Valid() == nil {
			fresh[n.vm] = true
		}
	}
	return fresh
}

// start returns a fleet of entries that are spread over data centres a, b, ...
// and have clocks that differ by up to 1%. Revision 1 is accepted.
func start(t tb, entries, dataCentres int) *cluster {
	t.Helper()
	c := newCluster(t)
	for i := range entries {
		n := c.add(string(rune('a'+i%dataCentres)), 0.995+0.01*float64(i%3)/2)
		if err := n.join(); err != nil {
			t.Fatalf("join: %v", err)
		}
	}
	c.advance(10 * time.Second) // until all are settled and all know that
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
