package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// liveOwnerCount returns how many candidates take the owner of pool p for live.
func (f *memberFleet) liveOwnerCount(ctx context.Context) (n int) {
	for _, name := range f.candidates() {
		members, _ := f.nodes[name].members.Live()
		if f.nodes[name].owners.hasLiveOwner(ctx, "p", members) {
			n++
		}
	}
	return n
}

// Guards against the peak of a queue that waits for a long time after its owner has gone
// silent (rml-quimper-grown, zone_cut): all candidates notice it within 2 s, none before the
// owner itself starts no more runs, and none takes a stall of the table service, in which no
// owner can write, for the loss of all owners.
func TestOwnerSilentAtPeak(t *testing.T) {
	for _, stall := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			mem := memstore.New()
			ctx, cancel := context.WithCancel(t.Context())
			clock := bubbleClock{time.Now()}
			f := newMemberFleet(ctx, mem, clock, 30, 18)
			ownerCtx, stopOwner := context.WithCancel(ctx)
			f.followOwnerOf(ctx, ownerCtx, t, mem, clock, minCycleInterval)
			time.Sleep(5 * time.Second)
			mem.SetDown(true)
			time.Sleep(stall)
			mem.SetDown(false)
			for range 30 {
				if got, want := f.liveOwnerCount(ctx), len(f.candidates()); got != want {
					t.Fatalf("after a stall of %s %d of %d candidates take the owner for live", stall, got, want)
				}
				time.Sleep(100 * time.Millisecond)
			}
			stopOwner()
			time.Sleep(startAgeLimit)
			if got, want := f.liveOwnerCount(ctx), len(f.candidates()); got != want {
				t.Errorf("%d of %d candidates take the owner for live while it may start runs", got, want)
			}
			time.Sleep(2*time.Second - startAgeLimit)
			if got := f.liveOwnerCount(ctx); got != 0 {
				t.Errorf("%d candidates take the owner for live 2 s after its last transaction", got)
			}
			cancel()
			f.wg.Wait()
		})
	}
}

// Guards against pools without an owner for 0.9 s after all processes were killed
// (mare-escuta-grown trouble-3, 13 s): a restarted entry claims at once what it owned before,
// and leaves other pools to the order of claims, also one whose claim it did not outlive.
func TestRestartedEntryClaimsItsFormerPoolsAtOnce(t *testing.T) {
	mem := memstore.New()
	first := newTimedStore(mem, NewBootClock())
	for pool, owner := range map[string]Member{"mine": nodeA, "other": nodeB, "crashed": nodeA} {
		o, err := readOwner(t.Context(), first, pool)
		if err != nil {
			t.Fatal(err)
		}
		if err := o.claim(t.Context(), owner); err != nil {
			t.Fatal(err)
		}
		for range minFormerBatches {
			if pool == "crashed" {
				break
			}
			if err := o.commit(t.Context(), store.Txn{}); err != nil {
				t.Fatal(err)
			}
		}
	}
	killed := newMembers(first, first.clock, testLog, nodeA)
	killed.SetPools([]string{"mine", "crashed"})
	if err := killed.writeRow(t.Context()); err != nil {
		t.Fatal(err)
	}
	second := Member{Node: nodeA.Node, Incarnation: "restarted"}
	n := New(Options{Settings: Settings{Self: second}, Store: mem, Clock: NewBootClock(), Log: zap.NewNop()})
	n.operator.view.Catalog = &catalog.Catalog{Pools: map[string]*catalog.Pool{"mine": {}, "other": {}, "crashed": {}}}
	n.members.update(Update{Whole: true})
	if err := n.members.writeRow(t.Context()); !errors.Is(err, errMemberChanged) {
		t.Fatalf("first write of the row after the restart: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	n.claimUnowned(ctx, true)
	for pool, want := range map[string]string{"mine": second.Incarnation, "other": nodeB.Incarnation, "crashed": nodeA.Incarnation} {
		row, _, err := store.Get(t.Context(), mem, tables.OwnerKey(pool))
		if err != nil {
			t.Fatal(err)
		}
		if owner, err := decodeOwner(row); err != nil || owner.Incarnation != want {
			t.Errorf("owner of pool %s is %v (%v), want incarnation %s", pool, owner, err, want)
		}
	}
	cancel()
	n.controllers.Wait()
}

// Guards against a takeover that waits for an entry that has gone silent with the owner, and
// against pools that pile up in one data centre, which a cut takes away together.
func TestClaimOrderAvoidsSilentEntriesAndFullDataCentres(t *testing.T) {
	live := map[string]Member{
		"owner": {Node: "owner", DataCentre: "x", Pools: []string{"q"}},
		"x1":    {Node: "x1", DataCentre: "x"}, "y1": {Node: "y1", DataCentre: "y"},
		"y2": {Node: "y2", DataCentre: "y", silent: true},
	}
	for node, want := range map[string]int{"y1": 0, "x1": 1, "owner": 2, "y2": 3} {
		if got := claimOrder("p", node, live); got != want {
			t.Errorf("position of %s is %d, want %d", node, got, want)
		}
	}
}

// Guards against an owner that is never replaced while the table service is slow, since each
// answer of the feed comes late then.
func TestSilentOwnerIsNoticedWhileTheTableServiceIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		clock := bubbleClock{time.Now()}
		f := newMemberFleet(ctx, mem, clock, 30, 18)
		ownerCtx, stopOwner := context.WithCancel(ctx)
		f.followOwnerOf(ctx, ownerCtx, t, mem, clock, minCycleInterval)
		mem.SetTxnTime(300 * time.Millisecond)
		time.Sleep(10 * time.Second)
		stopOwner()
		time.Sleep(6 * time.Second)
		if got := f.liveOwnerCount(ctx); got != 0 {
			t.Errorf("%d candidates take the owner for live 6 s after its last transaction", got)
		}
		cancel()
		f.wg.Wait()
	})
}

// Guards against a lost owner that is never noticed since the only other owner is calm: the
// feed's calls then wait for its next transaction and are answered with rows.
func TestSilentOwnerIsNoticedBesideACalmOne(t *testing.T) {
	for _, interval := range []time.Duration{700, 800, 950} {
		synctest.Test(t, func(t *testing.T) {
			mem := memstore.New()
			mem.SetTxnTime(5 * time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			clock := bubbleClock{time.Now()}
			f := newMemberFleet(ctx, mem, clock, 30, 18)
			ownerCtx, stopOwner := context.WithCancel(ctx)
			f.followOwnerOf(ctx, ownerCtx, t, mem, clock, minCycleInterval)
			o, err := readOwner(ctx, newEntry("calm", mem, clock).store, "q")
			if err != nil {
				t.Fatal(err)
			}
			if err := o.claim(ctx, Member{Node: "calm", Incarnation: "1"}); err != nil {
				t.Fatal(err)
			}
			f.wg.Go(func() {
				for ctx.Err() == nil {
					_ = o.commit(ctx, store.Txn{})
					sleep(ctx, interval*time.Millisecond)
				}
			})
			time.Sleep(5 * time.Second)
			stopOwner()
			time.Sleep(3 * time.Second)
			if got := f.liveOwnerCount(ctx); got != 0 {
				t.Errorf("calm owner writes each %d ms: %d candidates take the silent one for live after 3 s", interval, got)
			}
			cancel()
			f.wg.Wait()
		})
	}
}

// Guards against the claim of a pool whose owner has written while the feed was late: the row
// that is read before the claim shows it.
func TestOwnerThatHasWrittenIsNotReplaced(t *testing.T) {
	mem := memstore.New()
	s := newTimedStore(mem, NewBootClock())
	o := mustClaim(t, s, nodeA)
	n := New(Options{Settings: Settings{Self: nodeB}, Store: mem, Clock: NewBootClock(), Log: zap.NewNop()})
	n.owners.read(t.Context(), "p")
	if err := o.commit(t.Context(), store.Txn{}); err != nil {
		t.Fatal(err)
	}
	n.tryClaim(t.Context(), "p", nil)
	if err := o.commit(t.Context(), store.Txn{}); err != nil {
		t.Errorf("the owner was replaced although it had just written: %v", err)
	}
}
