package role_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/pools/poolstest"
	"amaranthfork.example/control/role"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

// actor is an entry that takes the role and acts under it.
type actor struct {
	entry *poolstest.Entry
	role  *role.Role
	// lastEpoch is the epoch of the last action.
	lastEpoch uint64
}

func join(w *poolstest.Simulation, n int) *actor {
	e := w.Join(fmt.Sprintf("entry-%02d", n))
	return &actor{entry: e, role: role.New(role.Options{Name: "test", Table: e, Membership: e})}
}

// act writes the actor's epoch to a row; pause runs between the check of the
// role and the commit.
func (a *actor) act(pause func()) error {
	conditions, err := a.role.Conditions()
	if err != nil {
		return err
	}
	epoch := a.role.Epoch()
	pause()
	_, err = a.entry.Commit(context.Background(), backing.Txn{
		Conditions: conditions,
		Writes:     []backing.Write{{Key: "work", Value: []byte(fmt.Sprint(epoch))}},
	})
	if err == nil {
		a.lastEpoch = epoch
	}
	return err
}

// TestPausedHolderCannotAct guards against a holder that loses the role while it
// is paused and commits afterwards.
func TestPausedHolderCannotAct(t *testing.T) {
	w, ctx := poolstest.NewSimulation(&config.Snapshot{}), context.Background()
	a := join(w, 1)
	if err := a.role.Tick(ctx); err != nil || a.role.Held() != nil {
		t.Fatalf("the only member did not take the role: %v, %v", err, a.role.Held())
	}
	b := join(w, 2)
	if _ = b.role.Tick(ctx); b.role.Held() == nil {
		t.Fatal("role taken from a live holder")
	}
	err := a.act(func() {
		w.Fence(a.entry)
		if err := b.role.Tick(ctx); err != nil || b.role.Held() != nil {
			t.Fatalf("role not taken over after fencing: %v, %v", err, b.role.Held())
		}
	})
	if !errors.Is(err, backing.ErrConflict) {
		t.Fatalf("paused holder's commit returned %v, want a conflict", err)
	}
	if a.role.Held() == nil {
		t.Fatal("a fenced session still holds the role")
	}
	if err := b.role.Release(ctx); err != nil {
		t.Fatal(err)
	}
	c := join(w, 3)
	_, _ = b.role.Tick(ctx), c.role.Tick(ctx)
	if (b.role.Held() == nil) == (c.role.Held() == nil) {
		t.Fatal("a released role was not taken by exactly one member")
	}
}

// TestTakeUnconfirmed guards against a session that takes the role although it is
// fenced before the commit, and against a holder that never learns that it took
// the role, because the answer was lost, reading the row failed and a new member
// became the first candidate.
func TestTakeUnconfirmed(t *testing.T) {
	w, ctx := poolstest.NewSimulation(&config.Snapshot{}), context.Background()
	fenced := join(w, 1)
	w.BeforeCall = func(e *poolstest.Entry, op string) error {
		if op == "commit" {
			w.Fence(e)
		}
		return nil
	}
	_ = fenced.role.Tick(ctx)
	if row, err := w.Table.Get(ctx, role.Prefix+"test"); err != nil || row.Version != 0 {
		t.Fatalf("a fenced session took the role: %+v, %v", row, err)
	}
	a, committed := join(w, 2), false
	w.BeforeCall = func(_ *poolstest.Entry, op string) error {
		if committed = committed || op == "commit"; committed && op == "get" {
			return backing.ErrUnavailable
		}
		return nil
	}
	a.entry.Faults.LoseAnswers(1)
	if err := a.role.Tick(ctx); !errors.Is(err, backing.ErrUnavailable) || a.role.Held() == nil {
		t.Fatalf("role counts as held after an unconfirmed commit: %v", err)
	}
	w.BeforeCall = nil
	for n := 3; n < 20; n++ {
		join(w, n)
	}
	if err := a.role.Tick(ctx); err != nil || a.role.Held() != nil {
		t.Fatalf("the holder does not know that it holds the role: %v, %v", err, a.role.Held())
	}
}

// TestOneHolderAtATime guards, under fencing, lost answers and outages, against
// two holders whose actions interleave and against a role that stays without a
// holder.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, ctx := poolstest.NewSimulation(&config.Snapshot{}), context.Background()
		actors, joined, latest := []*actor{}, 0, uint64(0)
		add := func() { joined++; actors = append(actors, join(w, joined)) }
		add()
		pick := func() *actor { return actors[rapid.IntRange(0, len(actors)-1).Draw(t, "actor")] }
		fence := func(a *actor) { w.Fence(a.entry); add() }
		actedBy := map[uint64]*actor{}
		checkEpoch := func(a *actor) {
			if by := actedBy[a.lastEpoch]; a.lastEpoch < latest || by != nil && by != a {
				t.Fatalf("epoch %d of %s acted after epoch %d", a.lastEpoch, a.entry.ID, latest)
			}
			latest, actedBy[a.lastEpoch] = a.lastEpoch, a
		}
		nested := false
		w.BeforeCall = func(e *poolstest.Entry, op string) error {
			if nested || op != "commit" || rapid.IntRange(0, 3).Draw(t, "interleave") > 0 {
				return nil
			}
			nested = true
			defer func() { nested = false }()
			add()
			if rapid.Bool().Draw(t, "fenced") && !e.Expired {
				w.Fence(e)
			}
			for _, other := range actors {
				if other.entry != e && other.role.Tick(ctx) == nil && other.act(func() {}) == nil {
					checkEpoch(other)
				}
			}
			return nil
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			a := pick()
			switch rapid.IntRange(0, 6).Draw(t, "do") {
			case 0:
				add()
			case 1:
				if !a.entry.Expired {
					fence(a)
				}
			case 2:
				a.entry.Faults.LoseAnswers(1)
			case 3:
				a.entry.Faults.SetDown(rapid.Bool().Draw(t, "down"))
			case 4:
				_ = a.role.Tick(ctx)
			default:
				_ = a.role.Tick(ctx)
				if a.act(func() {}) == nil {
					checkEpoch(a)
				}
			}
		}
		w.BeforeCall = nil
		holders := 0
		for _, a := range actors {
			a.entry.Faults.SetDown(false)
			a.entry.Faults.LoseAnswers(0)
		}
		for range 2 {
			for _, a := range actors {
				_ = a.role.Tick(ctx)
			}
		}
		for _, a := range actors {
			if a.act(func() {}) == nil {
				holders++
			}
		}
		if holders != 1 {
			t.Fatalf("%d members could act, want 1", holders)
		}
	})
}

// TestLaggingMemberList guards against an entry that takes the role from a live
// holder because its member list is older and does not contain the holder yet.
func TestLaggingMemberList(t *testing.T) {
	w, ctx := poolstest.NewSimulation(&config.Snapshot{}), context.Background()
	first := join(w, 1)
	oldList := first.entry.Members()
	var holder *actor
	for n := 2; holder == nil || holder.role.Held() != nil; n++ {
		holder = join(w, n) // until one is the first candidate of its list
		if err := holder.role.Tick(ctx); err != nil {
			t.Fatal(err)
		}
	}
	stale := role.New(role.Options{Name: "test", Table: first.entry, Membership: laggingList{first.entry, oldList}})
	if err := stale.Tick(ctx); err != nil || stale.Held() == nil {
		t.Fatalf("role taken on an old member list: %v", err)
	}
	if err := holder.act(func() {}); err != nil {
		t.Fatalf("holder lost the role: %v", err)
	}
}

// laggingList is the Membership of an entry whose member list is out of date.
type laggingList struct {
	*poolstest.Entry
	list control.Members
}

func (l laggingList) Members() control.Members { return l.list }
