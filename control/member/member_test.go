package member_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/control"
	"amaranthfork.example/control/member"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

type vmList struct{ gone map[string]bool }

func (l *vmList) List(context.Context) (backing.VMListing, error) {
	var listing backing.VMListing
	for i := range 200 {
		vm := backing.EntryVM{ID: fmt.Sprint("vm", i), State: fleet.VMLive}
		if l.gone[vm.ID] {
			vm.State = fleet.VMGone
		}
		listing.Entries = append(listing.Entries, vm)
	}
	return listing, nil
}

// testFleet is a set of entries on one table, with a manual clock and a fault
// injector for each entry.
type testFleet struct {
	clock      *clock
	vms        *vmList
	table      *memory.Table
	faults     []*memory.Faults
	registries []*member.Registry
	ids        int           // number of session ids given out
	tick       time.Duration // interval between ticks
	vmCount    int           // VMs that the entries share in turn; 0 gives each its own
	// beforeRemoval runs before each commit that deletes rows; may be nil.
	beforeRemoval func()
}

func newTestFleet(n int) *testFleet {
	tf := &testFleet{tick: member.TickInterval, clock: &clock{now: time.Unix(0, 0)}, vms: &vmList{gone: map[string]bool{}}, table: memory.NewTable(nil)}
	for range n {
		tf.add()
	}
	return tf
}

func (tf *testFleet) add() *member.Registry {
	faults := &memory.Faults{}
	i := len(tf.registries)
	if tf.vmCount > 0 {
		i %= tf.vmCount
	}
	r := member.New(member.Options{
		Self:  control.Member{VM: fmt.Sprint("vm", i), DataCentre: fleet.DataCentreName(fmt.Sprint("dc", i%20))},
		NewID: func() string { tf.ids++; return fmt.Sprintf("s%03d", tf.ids) },
		Table: &removalHook{tf.table.Via(faults), tf}, VMs: tf.vms, Clock: tf.clock,
	})
	tf.registries, tf.faults = append(tf.registries, r), append(tf.faults, faults)
	return r
}

// run ticks all entries except those in skip until d has passed.
func (tf *testFleet) run(t *testing.T, d time.Duration, skip ...*member.Registry) {
	t.Helper()
	for end := tf.clock.now.Add(d); tf.clock.now.Before(end); {
		tf.clock.now = tf.clock.now.Add(tf.tick)
		for _, r := range tf.registries {
			if contains(skip, r) {
				continue
			}
			if err := r.Tick(t.Context()); err != nil && !errors.Is(err, backing.ErrUnavailable) && !errors.Is(err, backing.ErrUnconfirmed) {
				t.Fatalf("tick of %s: %v", r.Self().ID, err)
			}
		}
	}
}

func contains(list []*member.Registry, r *member.Registry) bool {
	for _, other := range list {
		if other == r {
			return true
		}
	}
	return false
}

// TestFencing guards against fencing too early or too late, and against a
// fenced holder that still acts or writes.
func TestFencing(t *testing.T) {
	for _, tt := range []struct {
		name          string
		gone          bool
		tick          time.Duration
		from, through time.Duration // bounds of the time until the session is fenced
	}{
		// With ticks that are a little early, each renewal period takes five ticks.
		{"silent, early ticks", false, 499 * time.Millisecond, member.TTL - 2500*time.Millisecond, member.TTL + 2*member.TickInterval},
		{"silent", false, member.TickInterval, member.TTL - member.RenewInterval, member.TTL + member.RenewInterval + member.TickInterval},
		{"vm gone", true, member.TickInterval, member.TTL/2 - member.RenewInterval, member.TTL/2 + 2*member.RenewInterval},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tf := newTestFleet(3)
			tf.tick = tt.tick
			for _, r := range tf.registries {
				if err := r.Join(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			tf.run(t, 20*time.Second)
			silent, session := tf.registries[1], tf.registries[1].Session()
			tf.vms.gone["vm1"] = tt.gone
			var after time.Duration
			for ; len(tf.registries[0].Members().List) == 3 && after < time.Minute; after += tt.tick {
				tf.run(t, tt.tick, silent)
			}
			if after < tt.from || after > tt.through {
				t.Errorf("fenced after %v, want %v to %v", after, tt.from, tt.through)
			}
			if !tt.gone && silent.Valid() == nil {
				t.Error("Valid accepts a session that was fenced")
			}
			if _, err := tf.table.Commit(t.Context(), backing.Txn{Conditions: []backing.Condition{session}}); !errors.Is(err, backing.ErrConflict) {
				t.Errorf("a write of the fenced session returned %v, want a conflict", err)
			}
			if err := silent.Tick(t.Context()); !errors.Is(err, member.ErrFenced) {
				t.Errorf("Tick of the fenced entry returned %v, want ErrFenced", err)
			}
			if err := silent.Tick(t.Context()); silent.Valid() == nil || !errors.Is(err, member.ErrNoSession) {
				t.Errorf("the session is still in use after ErrFenced: %v", err)
			}
			if err := silent.Join(t.Context()); err != nil || silent.Session().Key == session.Key || silent.Valid() != nil {
				t.Errorf("Join after fencing returned %v with key %s, want nil and a new key", err, silent.Session().Key)
			}
		})
	}
}

// TestLeaseAndOutage guards against a session that is used longer than 70% of
// its TTL, and against fencing right after an outage of the observer, in which
// the others may have extended their leases.
func TestLeaseAndOutage(t *testing.T) {
	tf := newTestFleet(3)
	for _, r := range tf.registries {
		if err := r.Join(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	tf.run(t, 20*time.Second)
	for _, f := range tf.faults {
		f.SetDown(true)
	}
	tf.run(t, 8*time.Second)
	if tf.registries[0].Valid() == nil {
		t.Error("Valid accepts the session 8 s after its last renewal")
	}
	tf.faults[0].SetDown(false)
	tf.faults[1].SetDown(false)
	tf.run(t, member.TTL-member.RenewInterval)
	if got := len(tf.registries[0].Members().List); got != 3 {
		t.Errorf("%d members before the TTL has passed since the outage, want 3", got)
	}
	tf.run(t, 3*member.RenewInterval)
	if got := len(tf.registries[0].Members().List); got != 2 {
		t.Errorf("%d members after the TTL has passed since the outage, want 2", got)
	}
}

// TestManyJoinAndLeave guards against joins that starve each other, lost
// answers that leave a second session, stops that leave rows behind, and
// renewals that load the table too much.
func TestManyJoinAndLeave(t *testing.T) {
	tf := newTestFleet(100)
	for i, r := range tf.registries {
		tf.faults[i].LoseAnswers(i % 3)
		if err := r.Join(t.Context()); err != nil {
			t.Fatalf("join %d: %v", i, err)
		}
	}
	tf.run(t, 30*time.Second)
	if got := len(tf.registries[0].Members().List); got != 100 || tf.ids != 100 {
		t.Fatalf("%d members with %d sessions, want 100 and 100", got, tf.ids)
	}
	for _, r := range tf.registries {
		if !r.MayCoordinate() {
			t.Errorf("%s is not settled", r.Self().ID)
		}
	}
	reads, writes := tf.counts()
	tf.run(t, 20*time.Second)
	r, w := tf.counts()
	if got := (w - writes) / 20; got > 51 {
		t.Errorf("%d writes/s of 100 idle entries, want at most 51", got)
	}
	if got := (r - reads) / 20; got > 110 {
		t.Errorf("%d reads/s of 100 idle entries, want at most 110", got)
	}
	for i, r := range tf.registries[1:] {
		tf.faults[i+1].LoseAnswers(i % 2)
		if err := r.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		if r.Valid() == nil {
			t.Fatal("Valid accepts the session after Leave")
		}
	}
	tf.run(t, 3*time.Second, tf.registries[1:]...)
	rows, err := tf.table.Range(t.Context(), "", "", 1000)
	if err != nil || len(rows) != 4 || len(tf.registries[0].Members().List) != 1 {
		t.Errorf("%d rows and %d members are left (%v), want 4 and 1", len(rows), len(tf.registries[0].Members().List), err)
	}
}

func (tf *testFleet) counts() (reads, writes int) {
	for _, f := range tf.faults {
		r, w := f.Counts()
		reads, writes = reads+r, writes+w
	}
	return reads, writes
}

// TestFenceConflictsWithRenewal guards against fencing a session that was
// renewed after it was observed.
func TestFenceConflictsWithRenewal(t *testing.T) {
	tf := newTestFleet(3)
	for _, r := range tf.registries {
		if err := r.Join(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	tf.run(t, 20*time.Second)
	late, attempts := tf.registries[1], 0
	tf.beforeRemoval = func() { attempts++; _ = late.Tick(t.Context()) }
	tf.run(t, 20*time.Second, late)
	if got := len(tf.registries[0].Members().List); got != 3 || attempts == 0 {
		t.Errorf("%d members after %d attempts to fence a session that was renewed, want 3 and at least 1", got, attempts)
	}
}

// TestNewcomerAndSilentMajority guards against a new entry that fences a
// majority which may be running without access to the store, and against one
// that never replaces a fleet whose processes have ended.
func TestNewcomerAndSilentMajority(t *testing.T) {
	for _, tt := range []struct {
		name    string
		silent  func(tf *testFleet, newcomer int)
		fenced  time.Duration // time until the old sessions have been fenced
		settled bool          // the new entry may coordinate afterwards
	}{
		{"vms live", func(*testFleet, int) {}, member.DefaultMajorityTTL, false},
		{"vms gone", func(tf *testFleet, _ int) {
			for i := range 3 {
				tf.vms.gone[fmt.Sprint("vm", i)] = true
			}
		}, member.TTL / 2, true},
		{"restarted on the same VMs", func(tf *testFleet, _ int) { tf.vmCount = 3 }, member.TTL / 2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tf := newTestFleet(3)
			for _, r := range tf.registries {
				if err := r.Join(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			tf.run(t, 20*time.Second)
			old := append([]*member.Registry(nil), tf.registries...)
			tt.silent(tf, 3)
			for range 3 {
				if err := tf.add().Join(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			tf.run(t, tt.fenced-time.Second, old...)
			if got := len(tf.registries[3].Members().List); got != 6 {
				t.Errorf("%d members before %v, want 6", got, tt.fenced)
			}
			tf.run(t, 5*time.Second, old...)
			if got := len(tf.registries[3].Members().List); got != 3 {
				t.Errorf("%d members after %v, want 3", got, tt.fenced)
			}
			tf.run(t, 5*time.Second, old...)
			if got := tf.registries[3].MayCoordinate(); got != tt.settled {
				t.Errorf("the new entry may coordinate: %v, want %v", got, tt.settled)
			}
		})
	}
}

// removalHook is a table that runs beforeRemoval before each commit that
// deletes rows.
type removalHook struct {
	backing.Table
	e *testFleet
}

func (h *removalHook) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	for _, w := range txn.Writes {
		if w.Delete && h.e.beforeRemoval != nil {
			h.e.beforeRemoval()
			break
		}
	}
	return h.Table.Commit(ctx, txn)
}

// TestLinksReachAll guards against links by which a message that the relays
// pass on in their data centre misses a member or reaches it twice.
func TestLinksReachAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []control.Member
		for i := range rapid.IntRange(1, 60).Draw(t, "members") {
			dc := fleet.DataCentreName(fmt.Sprint("dc", rapid.IntRange(0, 5).Draw(t, "dc")))
			members = append(members, control.Member{ID: fmt.Sprint("m", i), DataCentre: dc})
		}
		self := rapid.SampledFrom(members).Draw(t, "self")
		links := member.Links(self, members)
		byID := map[string]control.Member{}
		for _, m := range members {
			byID[m.ID] = m
		}
		reached := map[string]int{self.ID: 1}
		for _, id := range links.Local {
			reached[id]++
		}
		for _, id := range links.Relays {
			reached[id]++
			for _, next := range member.Links(byID[id], members).Local {
				reached[next]++
			}
		}
		for _, m := range members {
			if reached[m.ID] != 1 {
				t.Fatalf("%s is reached %d times, want once", m.ID, reached[m.ID])
			}
		}
	})
}
