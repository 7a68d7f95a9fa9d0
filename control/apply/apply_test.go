package apply_test

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control/apply"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/view"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

// expectActing fails the test unless exactly those running nodes act for which
// acts returns true. A node acts if it has a valid session and a current view.
func expectActing(t *testing.T, c *cluster, when string, acts func(*node) bool) {
	t.Helper()
	fresh := c.fresh()
	for _, n := range c.nodes {
		if want := !n.off && !n.paused && acts(n); fresh[n.vm] != want {
			t.Errorf("%s: %s in data centre %s acts: %v, want %v", when, n.vm, n.dc, fresh[n.vm], want)
		}
	}
}

func not(f func(*node) bool) func(*node) bool { return func(n *node) bool { return !f(n) } }

// Guards against a store outage that stops the fleet although all entries reach
// each other, against changes that are committed without the store, and against
// sessions that are fenced because of the outage.
func TestStoreOutageWithIntactNetwork(t *testing.T) {
	c := start(t, 9, 4)
	c.storeDown(true, all)
	for range 120 {
		c.advance(250 * time.Millisecond)
		expectActing(t, c, "during the outage", all)
	}
	if err := c.nodes[1].change("during", 1); err == nil {
		t.Error("a change was committed without the store")
	}
	c.storeDown(false, all)
	c.advance(10 * time.Second)
	expectActing(t, c, "after the outage", all)
	if got := len(c.nodes[0].members.Members().List); got != 9 || c.sessions != 9 {
		t.Errorf("%d members and %d sessions after the outage, want 9 and 9", got, c.sessions)
	}
}

// Guards against an entry that accepts work more than 4 s after its data centre
// was cut off, when keys may have been withdrawn or the data centre taken out
// of service, and against changes elsewhere that wait for it for longer.
func TestDataCentreCutOff(t *testing.T) {
	c := start(t, 9, 4)
	cutAt := c.now
	c.partition(true, in("b"))
	c.storeDown(true, in("b"))
	if err := c.nodes[0].change("withdraw-key", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(4 * time.Second)
	expectActing(t, c, "4 s after the cut", not(in("b")))
	if at, ok := c.accepted[2]; !ok || at-cutAt > 4*time.Second {
		t.Errorf("the change was accepted: %v, %v after the cut; want acceptance within 4 s", ok, at-cutAt)
	}
	c.advance(20 * time.Second)
	c.partition(false, in("b"))
	c.storeDown(false, all)
	c.advance(3 * time.Second)
	expectActing(t, c, "after the cut", all)
}

// Guards against sessions and views that expire although one member reaches the
// store and could renew them. With 30 entries, most have no link to it, and a
// wrong hint about which member it is could circulate without end.
func TestPartialOutage(t *testing.T) {
	for _, size := range fleetSizes[1:3] {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) { testPartialOutage(t, start(t, size.entries, size.dataCentres)) })
	}
}

func testPartialOutage(t *testing.T, c *cluster) {
	sessions := c.sessions
	c.storeDown(true, func(n *node) bool { return n != c.nodes[4] })
	c.advance(15 * time.Second)
	expectActing(t, c, "partial outage", all)
	if c.sessions != sessions {
		t.Errorf("%d sessions were fenced, want 0", c.sessions-sessions)
	}
	if err := c.nodes[4].change("by-the-one", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(time.Second)
	if _, ok := c.accepted[2]; !ok {
		t.Error("a change that all members confirmed was not accepted")
	}
}

// Guards against a change that is accepted after the reachable members
// confirmed it while another member, which has evidence by an outage agreement,
// still acts on the old revision.
func TestApplyWaitsForMembersWithAgreement(t *testing.T) {
	c := start(t, 9, 4)
	c.storeDown(true, all)
	c.advance(5 * time.Second)
	c.partition(true, func(n *node) bool { return n == c.nodes[3] })
	c.nodes[0].faults.SetDown(false)
	c.advance(500 * time.Millisecond)
	if err := c.nodes[0].change("after", 1); err != nil {
		t.Fatal(err)
	}
	if _, ok := c.accepted[2]; ok {
		t.Fatal("accepted before the evidence of the cut entry expired")
	}
	c.advance(3500 * time.Millisecond)
	if _, ok := c.accepted[2]; !ok {
		t.Error("not accepted within 4 s")
	}
	expectActing(t, c, "after the change", func(n *node) bool { return n != c.nodes[3] })
}

// Guards against a failed or stopped entry that keeps the others from acting
// during a store outage, and against an outage agreement of the others before
// the VM list shows the failed entry's VM as gone.
func TestFailedMemberDuringOutage(t *testing.T) {
	c := start(t, 9, 4)
	c.storeDown(true, all)
	c.advance(3 * time.Second)
	c.nodes[2].kill(false)
	c.advance(4 * time.Second)
	expectActing(t, c, "silent member", func(*node) bool { return false })
	c.gone[c.nodes[2].vm] = true
	c.advance(4 * time.Second)
	expectActing(t, c, "member gone", all)
	// A planned stop is a graceful shutdown that interrupts no request, so it must
	// not stop the other entries either.
	c.nodes[6].view.SendGoodbye(t.Context())
	c.nodes[6].kill(false)
	for range 20 {
		c.advance(250 * time.Millisecond)
		expectActing(t, c, "planned stop", all)
	}
}

// Guards against an entry that acts on its state from before a pause.
func TestPausedEntry(t *testing.T) {
	c := start(t, 5, 2)
	n := c.nodes[3]
	session := n.members.Session()
	n.paused = true
	c.advance(time.Second)
	if err := c.nodes[0].change("meanwhile", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(9 * time.Second)
	if at := c.accepted[2]; at == 0 {
		t.Fatal("the change was not accepted without the paused entry")
	}
	n.paused = false
	if n.view.Fresh() == nil || n.members.Valid() == nil {
		t.Error("the entry acts right after the pause")
	}
	c.advance(3 * time.Second)
	expectActing(t, c, "after the pause", all)
	if n.members.Session() == session {
		t.Error("the fenced session is still in use after the pause")
	}
}

// Guards against a change that is lost, committed twice or never accepted because
// the answer to its commit was lost or late, or its coordinator failed after the
// commit.
func TestRetryAfterFailureAndLostAnswers(t *testing.T) {
	c := start(t, 6, 3)
	c.nodes[0].faults.LoseAnswers(1)
	if err := c.nodes[0].change("lost-answer", 1); err != nil {
		t.Fatalf("the lost answer was not read back: %v", err)
	}
	c.nodes[0].lateCommit = true
	if err := c.nodes[0].change("late", 2); err != nil {
		t.Fatalf("the commit that ended late was not read back: %v", err)
	}
	op, err := c.nodes[1].apply.Begin(t.Context(), change("orphan", 3))
	if err != nil {
		t.Fatal(err)
	}
	_ = op // the coordinator is killed before the first step
	c.nodes[1].kill(true)
	c.advance(time.Second)
	if err := c.nodes[2].change("orphan", 3); err != nil {
		t.Fatalf("retry at another entry: %v", err)
	}
	c.advance(4 * time.Second)
	if c.changes["orphan"] != 4 || c.accepted[4] == 0 {
		t.Errorf("the retry made revision %d, accepted at %v; want 4", c.changes["orphan"], c.accepted[4])
	}
	if err := c.nodes[3].change("orphan", 3); err != nil || c.nodes[3].view.Revision() != 4 {
		t.Errorf("the second retry returned %v at revision %d, want 4", err, c.nodes[3].view.Revision())
	}
}

func change(id string, base fleet.Revision) config.Change {
	return config.Change{ID: id, Base: base, Put: []config.File{{Name: id + ".yaml", Content: []byte(id)}}}
}

// Guards against two changes that are committed on the same base, against a
// conflict error that does not name the committed change, and against an
// invalid folder that is committed.
func TestRacingOperators(t *testing.T) {
	c := start(t, 6, 3)
	if err := c.nodes[0].change("one", 1); err != nil {
		t.Fatal(err)
	}
	var conflict *apply.ConflictError
	err := c.nodes[4].change("two", 1)
	if !errors.As(err, &conflict) || conflict.HeadRevision != 2 || conflict.ChangeID != "one" {
		t.Errorf("the second change on the same base returned %v, want a conflict with revision 2 of change one", err)
	}
	bad := change("bad", 2)
	bad.Put[0].Content = []byte("bad")
	var invalid *apply.InvalidError
	if _, err := c.nodes[2].apply.Begin(t.Context(), bad); !errors.As(err, &invalid) {
		t.Errorf("the invalid folder returned %v, want an InvalidError", err)
	}
	if got := c.nodes[2].view.Revision(); got != 2 {
		t.Errorf("revision %d after the refused changes, want 2", got)
	}
}

// Guards against a new entry that joined during an outage and coordinates a
// change while it is cut off from the others, whose outage agreement ignores
// that change. Also guards against one that cannot forward a change later.
func TestNewEntryDuringOutage(t *testing.T) {
	c := start(t, 6, 3)
	c.storeDown(true, all)
	c.advance(3 * time.Second)
	newcomer := c.add("d", 1)
	c.partition(true, func(n *node) bool { return n == newcomer })
	if err := newcomer.join(); err != nil {
		t.Fatal(err)
	}
	c.advance(time.Second)
	if err := newcomer.change("alone", 1); !errors.Is(err, apply.ErrNoCoordinator) {
		t.Fatalf("Begin at an isolated new entry returned %v, want ErrNoCoordinator", err)
	}
	c.advance(20 * time.Second) // long enough that the new entry fences the others
	if err := newcomer.change("alone", 1); !errors.Is(err, apply.ErrNoCoordinator) {
		t.Fatalf("Begin at an isolated new entry, after it fenced the others, returned %v, want ErrNoCoordinator", err)
	}
	c.partition(false, all)
	c.partition(false, func(n *node) bool { return n == newcomer })
	c.storeDown(false, all)
	c.advance(12 * time.Second)
	expectActing(t, c, "after the outage", all)
	if err := newcomer.change("together", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(2 * time.Second)
	if c.accepted[2] == 0 {
		t.Error("the change was not accepted")
	}
}

// Guards against a new entry that fences another which may have been in outage
// agreements until it learned of the new entry, so its session can be valid
// (cluster.check), and against an unreachable entry that is never fenced.
func TestNewEntryWaitsBeforeItFences(t *testing.T) {
	c := start(t, 6, 3)
	c.storeDown(true, all)
	newcomer := c.add("d", 1)
	c.partition(true, func(n *node) bool { return n == newcomer })
	if err := newcomer.join(); err != nil {
		t.Fatal(err)
	}
	c.advance(10 * time.Second)
	clear(c.cutLinks)
	cut := func(n *node) bool { return n == c.nodes[0] }
	c.partition(true, cut)
	c.storeDown(false, func(n *node) bool { return !cut(n) })
	c.advance(15 * time.Second)
	if c.listed(c.nodes[0]) {
		t.Error("the unreachable entry was not fenced")
	}
}

// Guards against a change that is refused at a new entry although a settled
// member is reachable.
func TestNewEntryForwards(t *testing.T) {
	c := start(t, 4, 2)
	newcomer := c.add("c", 1)
	if err := newcomer.join(); err != nil {
		t.Fatal(err)
	}
	if newcomer.members.MayCoordinate() {
		t.Fatal("a new entry may coordinate at once")
	}
	if err := newcomer.change("forwarded", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(time.Second)
	if c.accepted[2] == 0 || newcomer.view.Fresh() != nil {
		t.Errorf("accepted at %v, want within 1 s; Fresh of the new entry returned %v, want nil", c.accepted[2], newcomer.view.Fresh())
	}
	c.advance(5 * time.Second)
	if !newcomer.members.MayCoordinate() {
		t.Error("the new entry was not settled")
	}
}

// Guards against sessions of failed entries that block a new fleet, and against
// a new entry whose view starts below the newest accepted revision.
func TestWholeFleetReplaced(t *testing.T) {
	c := start(t, 9, 4)
	for i := range 70 {
		if err := c.nodes[0].change(fmt.Sprint("c", i), fleet.Revision(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range c.nodes {
		n.kill(true)
	}
	// Without these rows the newest revision can only be built from the snapshot.
	var prune []backing.Write
	for revision := range fleet.Revision(60) {
		prune = append(prune, backing.Write{Key: view.ChangeKey(revision + 1), Delete: true})
	}
	if _, err := c.table.Commit(t.Context(), backing.Txn{Writes: prune}); err != nil {
		t.Fatal(err)
	}
	for i := range 9 {
		n := c.add(string(rune('a'+i%4)), 1)
		if err := n.join(); err != nil {
			t.Fatal(err)
		}
	}
	c.advance(10 * time.Second)
	expectActing(t, c, "new fleet", all)
	n := c.nodes[10]
	if got := len(n.members.Members().List); got != 9 || n.view.Revision() != 71 {
		t.Errorf("%d members at revision %d, want 9 at 71", got, n.view.Revision())
	}
	if err := n.change("c0", 1); err != nil { // node.change compares the revision with that of the first commit
		t.Errorf("the retry of an old change: %v", err)
	}
	if err := n.change("new", 71); err != nil {
		t.Fatal(err)
	}
	c.advance(time.Second)
	if c.accepted[72] == 0 {
		t.Error("the new fleet did not accept a change")
	}
}

// Guards against evidence that expires later on an entry with a slow clock than
// the coordinator waits on its fast clock.
func TestClockRates(t *testing.T) {
	c := start(t, 3, 3)
	slow, fast := c.nodes[0], c.nodes[2]
	slow.tick()
	c.partition(true, func(n *node) bool { return n == slow })
	slow.faults.SetDown(true)
	if err := fast.change("skewed", 1); err != nil {
		t.Fatal(err)
	}
	for i := range 400 {
		c.now += 10 * time.Millisecond
		if i%50 == 0 {
			fast.tick()
		}
		fast.step()
		c.check()
	}
	if c.accepted[2] == 0 {
		t.Error("the change was not accepted within 4 s")
	}
}

// Guards against an entry that uses a peer's evidence for a revision which it
// could not load.
func TestEvidenceOfAnUnknownRevision(t *testing.T) {
	c := start(t, 3, 3)
	n := c.nodes[1]
	n.faults.SetDown(true)
	n.noMethod = "view.pull"
	c.partition(true, func(m *node) bool { return m == n })
	if err := c.nodes[0].change("unseen", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(4 * time.Second)
	clear(c.cutLinks)
	c.advance(time.Second)
	expectActing(t, c, "without the change", func(m *node) bool { return m != n })
	n.noMethod = ""
	c.advance(time.Second)
	expectActing(t, c, "with the change", all)
}

// Guards against a change that is accepted while an entry that is no longer in
// the member list may hold evidence, because the coordinator agreed to its
// outage agreement.
func TestGrantToFormerMember(t *testing.T) {
	c := start(t, 3, 3)
	n := c.nodes[0]
	n.faults.SetDown(true)
	n.tick()
	former := c.network.Join("former", rpc.NewRouter())
	if err := former.Call(t.Context(), n.members.Self().ID, "view.probe", map[int]any{}, nil); err != nil {
		t.Fatal(err)
	}
	n.faults.SetDown(false)
	if err := n.change("after-grant", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(2 * time.Second)
	if c.accepted[2] != 0 {
		t.Errorf("accepted at %v, while the former member may hold evidence", c.accepted[2])
	}
	c.advance(time.Second)
	if c.accepted[2] == 0 {
		t.Error("not accepted after the evidence of the former member expired")
	}
}

// Guards against a change that is accepted by its coordinator alone. If the
// coordinator then fails, the others, which never saw the change, can conclude an
// outage agreement on the old revision.
func TestAcceptanceOutlivesItsCoordinator(t *testing.T) {
	c := start(t, 5, 5)
	lone := c.nodes[0]
	c.partition(true, func(n *node) bool { return n == lone })
	c.storeDown(true, func(n *node) bool { return n != lone })
	if err := lone.change("unheard", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(12 * time.Second) // long enough that the others are fenced
	if c.accepted[2] != 0 {
		t.Errorf("accepted at %v although one of five members has the change", c.accepted[2])
	}
	lone.kill(true)
	c.advance(10 * time.Second)
	expectActing(t, c, "without the coordinator", all)
}

// Guards against a change that is reported as accepted by a coordinator which
// was fenced while it was paused, and which the others therefore no longer ask
// for outage agreements.
func TestPausedCoordinator(t *testing.T) {
	c := start(t, 2, 2)
	paused, other := c.nodes[0], c.nodes[1]
	paused.beforeChange = func() { c.partition(true, func(n *node) bool { return n == other }) }
	if err := paused.change("paused", 1); err != nil {
		t.Fatal(err)
	}
	paused.paused = true
	c.advance(10 * time.Second)
	paused.paused = false
	paused.step()
	c.advance(6 * time.Second) // long enough to get a new session
	if c.accepted[2] != 0 {
		t.Errorf("accepted at %v by a fenced coordinator", c.accepted[2])
	}
	clear(c.cutLinks)
	if err := other.change("paused", 1); err != nil {
		t.Fatal(err)
	}
	c.advance(time.Second)
	if c.accepted[2] == 0 {
		t.Error("the retry was not accepted")
	}
}

// Guards against a coordinator that does not wait for an entry which joined
// while the change was being committed.
func TestJoinDuringCommit(t *testing.T) {
	c := start(t, 3, 3)
	newcomer := c.add("a", 1)
	c.nodes[0].beforeChange = func() {
		if err := newcomer.join(); err != nil {
			t.Fatal(err)
		}
		newcomer.tick()
		newcomer.faults.SetDown(true)
		c.partition(true, func(n *node) bool { return n == newcomer })
	}
	if err := c.nodes[0].change("with-join", 1); err != nil {
		t.Fatal(err)
	}
	if c.check(); c.accepted[2] != 0 {
		t.Error("accepted without the new entry")
	}
	c.advance(4 * time.Second)
	if c.accepted[2] == 0 {
		t.Error("not accepted within 4 s")
	}
}

// Guards against relays that do not forward a change. The members of their data
// centres then get it only in the second round of notices.
func TestFirstRoundReachesAll(t *testing.T) {
	c := start(t, 30, 10)
	before := c.calls.Load()
	if err := c.nodes[7].change("all", 1); err != nil {
		t.Fatal(err)
	}
	if calls := c.calls.Load() - before; c.accepted[2] == 0 || calls != 29 {
		t.Errorf("accepted at %v after %d calls, want 29 calls", c.accepted[2], calls)
	}
}

// Guards against an outage agreement that can never be concluded because one
// member could not read the latest member list from the store before the
// outage.
func TestMemberListFromPeers(t *testing.T) {
	c := start(t, 4, 2)
	c.nodes[1].faults.SetDown(true)
	if err := c.add("a", 1).join(); err != nil {
		t.Fatal(err)
	}
	c.advance(10 * time.Second)
	c.storeDown(true, all)
	c.advance(10 * time.Second)
	expectActing(t, c, "outage after a join", all)
}

// Guards against an entry that agrees to an outage agreement while it
// coordinates a change.
func TestCoordinatorPreventsAgreement(t *testing.T) {
	c := start(t, 3, 3)
	n := c.nodes[0]
	var ack map[int]any
	ask := func() {
		if err := c.nodes[1].Call(t.Context(), n.members.Self().ID, "view.probe", map[int]any{}, &ack); err != nil {
			t.Fatal(err)
		}
	}
	const storeDown, coordinating = 5, 6 // CBOR keys of the answer's fields
	n.beforeChange = func() {
		n.faults.SetDown(true)
		n.tick()
		ask()
		n.faults.SetDown(false)
	}
	if err := n.change("under-way", 1); err != nil {
		t.Fatal(err)
	}
	if ack[storeDown] != true || ack[coordinating] != true {
		t.Errorf("during the commit the coordinator answered %v, want StoreDown and Coordinating set", ack)
	}
	ack = nil
	c.advance(time.Second)
	if ask(); ack[coordinating] == true {
		t.Errorf("after the acceptance the coordinator answered %v, want Coordinating unset", ack)
	}
}
