package node

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

var testLog = zap.NewNop()

func resources(n int64) fleet.Resources { return fleet.Resources{MilliCPU: n, MemoryMB: n} }

func newTestShares(capCPU int64) (*capShares, *catalog.Workspace) {
	w := &catalog.Workspace{Name: "ws", Cap: resources(capCPU)}
	c := newCapShares(nil, "mine", testLog)
	c.configure(catalog.New(1, nil, []*catalog.Pool{{Name: "mine"}, {Name: "other"}}, []*catalog.Workspace{w}, catalog.Limits{}))
	return c, w
}

// Guards against pools whose cap shares together exceed a workspace's cap.
func TestCapSharesStayWithinCap(t *testing.T) {
	c, w := newTestShares(1000)
	s := &capState{shares: capRow{"mine": resources(250), "other": resources(600)}}
	next, change := c.nextShare(s, w, resources(5000), resources(250), 0)
	if !change || next.MilliCPU != 400 {
		t.Fatalf("requests %d (change %v), want the 400 that the other pool leaves", next.MilliCPU, change)
	}
}

// Guards against a pool that keeps a share it does not need while another pool
// waits for it.
func TestSurplusCapShareIsReturned(t *testing.T) {
	c, w := newTestShares(1000)
	s := &capState{shares: capRow{"mine": resources(800), "other": resources(100)}}
	if _, change := c.nextShare(s, w, resources(100), resources(100), time.Second); change {
		t.Fatal("the surplus was given back without delay")
	}
	next, change := c.nextShare(s, w, resources(100), resources(100), time.Second+capSurplusHold+1)
	if !change || next.MilliCPU > 300 {
		t.Fatalf("share is %d (change %v) for a need of 100, want at most 300", next.MilliCPU, change)
	}
}

// Guards against a cap that is lowered far below the use: each pool reduces its
// share to what it uses, and nothing starts until all shares fit.
func TestLoweredCap(t *testing.T) {
	c, w := newTestShares(300)
	s := &capState{shares: capRow{"mine": resources(800), "other": resources(100)}}
	if !exceedsCap(s.shares.total(), w.Cap) {
		t.Fatal("shares of 900 do not exceed a cap of 300")
	}
	next, change := c.nextShare(s, w, resources(900), resources(500), 0)
	if !change || next.MilliCPU != 500 {
		t.Fatalf("share is %d (change %v), want the 500 in use", next.MilliCPU, change)
	}
	next, _ = c.nextShare(s, w, resources(900), resources(50), 0)
	if next.MilliCPU != 200 {
		t.Fatalf("share is %d, want the 200 that the other pool leaves", next.MilliCPU)
	}
}

// Guards against a pool whose cap share was reduced to nothing and that never
// requests one again, so that its jobs never start. Seen with
// deploy/days/store.toml --vary --seed 460056424358 on lantern-sched-grown, as
// lost jobs.
func TestPoolWithoutCapShareRequestsOne(t *testing.T) {
	c, w := newTestShares(1000)
	s := &capState{shares: capRow{"mine": resources(0), "other": resources(300)}}
	next, change := c.nextShare(s, w, resources(200), resources(0), 0)
	if !change || next.MilliCPU < 200 {
		t.Fatalf("requests %d (change %v), needs 200", next.MilliCPU, change)
	}
	s.shares["mine"] = fleet.Resources{MilliCPU: 500} // no memory
	if next, change = c.nextShare(s, w, resources(200), resources(0), 0); !change || next.MemoryMB < 200 {
		t.Fatalf("requests %d MB (change %v), needs 200", next.MemoryMB, change)
	}
}

// Guards against jobs that never start (LOST): a burst in one pool takes all accelerators,
// or all memory, of a workspace's cap and ends, and the pool keeps its share of them
// because its share of processors is small.
func TestEachResourceOfACapShareIsReturned(t *testing.T) {
	for name, peak := range map[string]fleet.Resources{
		"accelerators": {MilliCPU: 100, MemoryMB: 100, Accelerators: 8},
		"memory":       {MilliCPU: 100, MemoryMB: 1000},
		"memory only":  {MemoryMB: 1000},
	} {
		c, w := newTestShares(1000)
		w.Cap.Accelerators = 8
		if name == "memory only" {
			w.Cap.MilliCPU, w.Cap.Accelerators = 0, 0
		}
		s := &capState{shares: capRow{"mine": peak}}
		none := fleet.Resources{}
		c.nextShare(s, w, none, none, time.Second)
		next, change := c.nextShare(s, w, none, none, time.Second+capSurplusHold+1)
		if !change || next.Accelerators != 0 || next.MemoryMB > 250 {
			t.Errorf("%s: share is %+v (change %v) without any need, want no accelerators and at most 250 MB", name, next, change)
		}
		s.shares["mine"] = next
		if again, change := c.nextShare(s, w, none, none, time.Minute); change {
			t.Errorf("%s: the share changes again, to %+v", name, again)
		}
		need := fleet.Resources{MilliCPU: 100, MemoryMB: 100, Accelerators: w.Cap.Accelerators}
		other := &capState{shares: capRow{"other": next}} // as the other pool sees it
		if next, _ := c.nextShare(other, w, need, none, time.Minute); next.Accelerators != w.Cap.Accelerators || next.MemoryMB < 100 {
			t.Errorf("%s: the other pool gets %+v, needs %+v", name, next, need)
		}
	}
}

// Guards against a workspace above its cap (QUOTA): the answer to a write that lowers a
// pool's share is lost, the pool goes on by its old share, and the write takes effect late,
// when another pool takes the rest.
func TestShareThatMayBeLoweredIsNotUsed(t *testing.T) {
	mem := memstore.New()
	n := newEntry("a", mem, &testClock{})
	w := &catalog.Workspace{Name: "ws", Cap: resources(1000)}
	c := newCapShares(n, "mine", testLog)
	c.configure(catalog.New(1, nil, []*catalog.Pool{{Name: "mine"}, {Name: "other"}}, []*catalog.Workspace{w}, catalog.Limits{}))
	read := func() {
		t.Helper()
		page, err := store.All(t.Context(), mem, tables.Caps, store.Span{Partition: tables.Caps})
		if err != nil {
			t.Fatal(err)
		}
		c.update(Update{Rows: page.Rows, Whole: true})
	}
	write := func(share fleet.Resources) {
		t.Helper()
		s := c.stateOf("ws")
		s.pending = &pendingShare{share, s.version}
		c.writeShare(t.Context(), "ws", s.shares, s.version, share)
	}
	write(resources(800))
	read()
	if got := c.stateOf("ws").usable("mine"); got != resources(800) {
		t.Fatalf("share %+v, want 800", got)
	}
	mem.LoseAnswers(1)
	write(resources(300))
	if got := c.stateOf("ws").usable("mine"); got != resources(300) {
		t.Errorf("after a write without an answer the pool uses %+v, which may be lowered to 300", got)
	}
	write(resources(300)) // the same write again meets the first
	if got := c.stateOf("ws"); got.pending != nil || got.usable("mine") != resources(300) {
		t.Errorf("after the second try: %+v, pending %+v; want 300", got.usable("mine"), got.pending)
	}
	mem.SetDown(true)
	write(resources(900))
	if got := c.stateOf("ws").usable("mine"); got != resources(300) {
		t.Errorf("after a refused write that raises the share the pool uses %+v, has 300", got)
	}
}
