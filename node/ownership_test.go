package node

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// testClock is a clock that a test advances while calls under way read it.
type testClock struct {
	mu  sync.Mutex
	now pool.Time
}

func (c *testClock) Now() pool.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newTestStore() (*memstore.Store, *timedStore) {
	mem := memstore.New()
	return mem, newTimedStore(mem, &testClock{})
}

func mustClaim(t *testing.T, s *timedStore, self Member) *ownership {
	t.Helper()
	o, err := readOwner(t.Context(), s, "p")
	if err != nil {
		t.Fatal(err)
	}
	if err := o.claim(t.Context(), self); err != nil {
		t.Fatal(err)
	}
	return o
}

var (
	nodeA = Member{Node: "a", Incarnation: "1"}
	nodeB = Member{Node: "b", Incarnation: "2"}
)

// Guards against an owner that writes after it was replaced.
func TestDeposedOwnerCannotWrite(t *testing.T) {
	_, s := newTestStore()
	a := mustClaim(t, s, nodeA)
	b := mustClaim(t, s, nodeB)
	if b.row.Epoch != a.row.Epoch+1 {
		t.Fatalf("epoch %d follows %d, want the next number", b.row.Epoch, a.row.Epoch)
	}
	put := store.Put{Key: tables.ProgressKey("p", "x"), Value: []byte("late")}
	if err := a.commit(t.Context(), store.Txn{Puts: []store.Put{put}}); !errors.Is(err, errDeposed) {
		t.Fatalf("commit of a replaced owner: %v, want errDeposed", err)
	}
	if _, ok, _ := store.Get(t.Context(), s, put.Key); ok {
		t.Fatal("a row of a replaced owner was written")
	}
}

// Guards against a lost answer that is taken for a failure or for a change of
// the owner. The write is sent again, and the conflict shows that it has taken
// effect.
func TestLostAnswerIsResolved(t *testing.T) {
	mem, s := newTestStore()
	a := mustClaim(t, s, nodeA)
	mem.LoseAnswers(1)
	put := store.Put{Key: tables.ProgressKey("p", "x"), Value: []byte("v")}
	if err := a.commit(t.Context(), store.Txn{Puts: []store.Put{put}}); err != nil {
		t.Fatalf("commit with a lost answer: %v", err)
	}
	if err := a.commit(t.Context(), store.Txn{}); err != nil {
		t.Fatalf("next commit: %v", err)
	}
}

// Guards against a transaction that is carried out late and undoes newer rows.
func TestLateTransactionFails(t *testing.T) {
	mem, s := newTestStore()
	a := mustClaim(t, s, nodeA)
	key := tables.ProgressKey("p", "x")
	late := store.Txn{Conditions: []store.Condition{{Key: tables.OwnerKey("p"), Version: a.version}}, Puts: []store.Put{{Key: key, Value: []byte("old")}}}
	if err := a.commit(t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte("new")}}}); err != nil {
		t.Fatal(err)
	}
	var conflict *store.ConflictError
	if _, err := mem.Commit(t.Context(), late); !errors.As(err, &conflict) {
		t.Fatalf("late transaction: %v, want a conflict", err)
	}
}

// Guards against an owner that gives up during an outage of the table service.
func TestCommitOutlastsOutage(t *testing.T) {
	mem, s := newTestStore()
	a := mustClaim(t, s, nodeA)
	mem.SetDown(true)
	time.AfterFunc(150*time.Millisecond, func() { mem.SetDown(false) })
	if err := a.commit(t.Context(), store.Txn{}); err != nil {
		t.Fatal(err)
	}
}

// Guards against many claims of a pool at the same time: exactly one entry
// comes first. Entries with fewer pools per processor share come earlier; a
// stopping entry has no position.
func TestClaimOrder(t *testing.T) {
	live := map[string]Member{
		"a": {Node: "a", Pools: []string{"x", "y"}}, "b": {Node: "b"}, "c": {Node: "c", Pools: []string{"z"}}, "d": {Node: "d", Stopping: true},
	}
	live["e"] = Member{Node: "e", Weight: 0.8}
	if got := claimOrder("p", "e", live); got != 0 {
		t.Errorf("position of the largest entry is %d, want 0", got)
	}
	delete(live, "e")
	for node, want := range map[string]int{"b": 0, "c": 1, "a": 2, "d": -1, "unknown": -1} {
		if got := claimOrder("p", node, live); got != want {
			t.Errorf("position of %s is %d, want %d", node, got, want)
		}
	}
}

// Guards against claiming the pools of all other entries after this entry itself
// was cut off: it received no rows, so their ages prove nothing.
func TestMembersStayLiveAfterOwnOutage(t *testing.T) {
	mem, s := newTestStore()
	clock := &testClock{now: pool.Time{Steady: time.Minute}}
	m := newMembers(s, clock, testLog, nodeA)
	other := newMembers(s, clock, testLog, nodeB)
	other.self.Bystander = false
	heartbeat := func(member *members) {
		if err := member.writeRow(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	heartbeat(other)
	page, err := readSpans(t.Context(), mem, tables.Members, tables.MemberSpans())
	if err != nil {
		t.Fatal(err)
	}
	m.update(Update{Rows: page.Rows, Whole: true})
	clock.advance(10 * time.Second)
	if _, current := m.Live(); current {
		t.Fatal("a view that is 10 s old counts as current")
	}
	m.update(Update{})
	if live, current := m.Live(); !current || len(live) != 1 {
		t.Fatalf("after the outage: %d live members, current %v; want the other one", len(live), current)
	}
	for range 3 {
		clock.advance(time.Second)
		m.update(Update{})
	}
	if live, _ := m.Live(); len(live) != 0 {
		t.Fatal("a member that does not renew its row while the feed answers is still live")
	}
}

// Guards against a row of an earlier incarnation that prevents the next one
// from writing the row of its node.
func TestMemberRowIsTakenOverByNextIncarnation(t *testing.T) {
	_, s := newTestStore()
	first := newMembers(s, s.clock, testLog, nodeA)
	if err := first.writeRow(t.Context()); err != nil {
		t.Fatal(err)
	}
	second := newMembers(s, s.clock, testLog, Member{Node: "a", Incarnation: "9"})
	if err := second.writeRow(t.Context()); !errors.Is(err, errMemberChanged) {
		t.Fatalf("first write: %v, want errMemberChanged", err)
	}
	if err := second.writeRow(t.Context()); err != nil {
		t.Fatalf("second write: %v, want success", err)
	}
}

// Guards against changes that are missed after the service has dropped its
// history, and against answers that are older than an earlier one.
func TestFollowerReadsWholeTableAfterHistoryLoss(t *testing.T) {
	mem, s := newTestStore()
	write := func(name string) {
		if _, err := mem.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.Key{Table: "t", Name: name}, Value: []byte("v")}}}); err != nil {
			t.Fatal(err)
		}
	}
	write("a")
	seen := map[string]bool{}
	wholes := 0
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := &follower{store: s, clock: s.clock, log: testLog, table: "t", wait: 50 * time.Millisecond}
	f.deliver = func(u Update) {
		for _, row := range u.Rows {
			seen[row.Name] = true
		}
		if u.Whole {
			wholes++
			write("b")
			mem.DropHistory()
			write("c")
		}
		if wholes == 2 && seen["c"] {
			cancel()
		}
	}
	stop := time.AfterFunc(5*time.Second, cancel)
	defer stop.Stop()
	f.run(ctx)
	if !seen["a"] || !seen["b"] || !seen["c"] || wholes < 2 {
		t.Fatalf("seen %v after %d whole reads, want a, b and c after at least 2", seen, wholes)
	}
	f.version = 1 << 40
	if err := f.poll(t.Context(), true); !errors.Is(err, errStaleRead) {
		t.Fatalf("an answer older than an earlier one: %v, want errStaleRead", err)
	}
}

// Guards against a run that starts a second time (TWICE): an owner that is cut off from the
// table service renews leases for some time after it was replaced. The bound of the leases
// must cover it for each later owner, also after planned releases.
func TestRenewalsOfEarlierOwnersAreBounded(t *testing.T) {
	for _, releases := range []bool{false, true} {
		mem := memstore.New()
		clock := &testClock{now: pool.Time{Steady: time.Minute}}
		s := newTimedStore(mem, clock)
		first := mustClaim(t, s, nodeA)
		if err := first.commit(t.Context(), store.Txn{}); err != nil {
			t.Fatal(err)
		}
		renewsUntil := clock.Now().Steady + renewAgeLimit
		for i := range 4 {
			clock.advance(100 * time.Millisecond)
			o, err := readOwner(t.Context(), s, "p")
			if err != nil {
				t.Fatal(err)
			}
			if got := o.renewedUntil(); got < renewsUntil {
				t.Fatalf("releases %v: owner %d takes renewals to end %v before the first owner's", releases, i+2, renewsUntil-got)
			}
			if err := o.claim(t.Context(), nodeB); err != nil {
				t.Fatal(err)
			}
			if releases {
				if err := o.release(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}
