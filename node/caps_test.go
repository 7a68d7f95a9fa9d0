package node

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/capshare"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

var testLog = zap.NewNop()

func resources(n int64) fleet.Resources { return fleet.Resources{MilliCPU: n, MemoryMB: n} }

// Guards against a workspace above its cap (QUOTA): the answer to a write that lowers a
// pool's share is lost, the pool goes on by its old share, and the write takes effect late,
// when another pool takes the rest.
func TestShareThatMayBeLoweredIsNotUsed(t *testing.T) {
	mem := memstore.New()
	n := newEntry("a", mem, &testClock{})
	w := &catalog.Workspace{Name: "ws", Cap: resources(1000)}
	c := newCapShares(n, "mine", testLog)
	c.configure(catalog.New(1, nil, []*catalog.Pool{{Name: "mine"}}, []*catalog.Workspace{w}, catalog.Limits{}))
	read := func() {
		t.Helper()
		page, err := store.All(t.Context(), mem, tables.Caps, store.Span{Partition: tables.Caps})
		if err != nil {
			t.Fatal(err)
		}
		c.update(Update{Rows: page.Rows, Whole: true})
	}
	read()
	account := c.stateOf("ws").account
	now := time.Duration(0)
	// write carries out the next write, which must be one of the given share.
	write := func(work capshare.Work, share fleet.Resources) {
		t.Helper()
		now += time.Minute
		next, ok := account.Next(w.Cap, c.pools, work, now)
		if got := next.Division["mine"].Resources; !ok || got != share {
			t.Fatalf("writes %+v (%v), want %+v", got, ok, share)
		}
		c.write(t.Context(), "ws", next)
	}
	usable := func() fleet.Resources {
		got, _ := account.Usable(w.Cap, c.pools, fleet.Resources{}, true)
		return got
	}
	write(capshare.Work{Need: resources(800)}, resources(960))
	read()
	if got := usable(); got != resources(960) {
		t.Fatalf("share %+v, want 960", got)
	}
	account.Next(w.Cap, c.pools, capshare.Work{Need: resources(250)}, now) // the surplus begins
	mem.LoseAnswers(1)
	write(capshare.Work{Need: resources(250)}, resources(500))
	if got := usable(); got != resources(500) {
		t.Errorf("after a write without an answer the pool uses %+v, which may be lowered to 500", got)
	}
	write(capshare.Work{Need: resources(900)}, resources(500)) // the same write again meets the first
	if got := usable(); got != resources(500) || account.Share() != resources(500) {
		t.Errorf("after the second try: %+v of %+v; want 500", got, account.Share())
	}
	mem.SetDown(true)
	write(capshare.Work{Need: resources(900)}, resources(1000))
	if got := usable(); got != resources(500) {
		t.Errorf("after a refused write that raises the share the pool uses %+v, has 500", got)
	}
}

// Guards against a part of a cap that is lost for good (LOST): the owner of a pool that is no
// longer declared is lost, and nobody claims the pool, which still has a share.
func TestUndeclaredPoolWithACapShareIsClaimed(t *testing.T) {
	mem := memstore.New()
	n := newEntry("a", mem, &testClock{})
	w := &catalog.Workspace{Name: "ws", Cap: resources(1000)}
	cat := catalog.New(1, nil, []*catalog.Pool{{Name: "mine"}}, []*catalog.Workspace{w}, catalog.Limits{})
	c := newCapShares(n, "mine", testLog)
	c.configure(cat)
	observe := func(version int64, d capshare.Division) {
		t.Helper()
		value, err := cbor.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		c.update(Update{Rows: []store.Row{{Key: tables.CapKey("ws"), Value: value, Version: version}}, Whole: version == 1})
	}
	expect := func(when string, want ...string) {
		t.Helper()
		if got := n.claimable(cat); !slices.Equal(got, append(want, fleetPool)) {
			t.Errorf("%s: pools to be claimed %v, want %v and the fleet role", when, got, want)
		}
	}
	observe(1, capshare.Division{"mine": {Resources: resources(300)}, "gone": {Resources: resources(500)}})
	expect("while it has a share", "mine", "gone")
	observe(2, capshare.Division{"mine": {Resources: resources(300)}})
	expect("once it has left", "mine")
	observe(3, capshare.Division{"mine": {Resources: resources(300)}, "mine2": {Resources: resources(500)}})
	cat = catalog.New(2, nil, []*catalog.Pool{{Name: "mine"}, {Name: "mine2"}}, []*catalog.Workspace{w}, catalog.Limits{})
	c.configure(cat)
	expect("once it is declared", "mine", "mine2")
	cat = catalog.New(3, nil, []*catalog.Pool{{Name: "mine"}}, []*catalog.Workspace{w}, catalog.Limits{})
	c.configure(cat)
	expect("once it is no longer declared", "mine", "mine2")
}

// Guards against a workspace above its cap (QUOTA) when a cap is given a second time: runs from
// the time without a cap may not be in the division again.
func TestTimeSinceACapWasGiven(t *testing.T) {
	clock := &testClock{}
	n := newEntry("a", memstore.New(), clock)
	c := newCapShares(n, "mine", testLog)
	declare := func(limit fleet.Resources) time.Duration {
		clock.advance(time.Minute)
		w := &catalog.Workspace{Name: "ws", Cap: limit}
		c.configure(catalog.New(1, nil, []*catalog.Pool{{Name: "mine"}}, []*catalog.Workspace{w}, catalog.Limits{}))
		return c.stateOf("ws").cappedSince
	}
	if got := declare(fleet.Resources{}); got != 0 {
		t.Errorf("without a cap: given at %v", got)
	}
	first := declare(resources(1000))
	if again := declare(resources(500)); first == 0 || again != first {
		t.Errorf("given at %v, %v after it was lowered", first, again)
	}
	if got := declare(fleet.Resources{}); got != 0 {
		t.Errorf("taken away: given at %v", got)
	}
	if second := declare(resources(1000)); second <= first {
		t.Errorf("given again at %v, first at %v", second, first)
	}
	if bound := c.uncappedRunsBound(); bound <= n.settings.Scheduler.MaxLease+renewAgeLimit {
		t.Errorf("runs from before the cap may last %v, leases alone %v", bound, n.settings.Scheduler.MaxLease)
	}
}
