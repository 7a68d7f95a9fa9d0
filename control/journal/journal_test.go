package journal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

// testMembership is the Membership of one entry whose session row the tests
// renew and fence.
type testMembership struct {
	mu      sync.Mutex
	id      string
	members int
	table   *memory.Table
	version uint64
}

func newTestMembership(table *memory.Table, id string, members int) *testMembership {
	m := &testMembership{id: id, members: members, table: table}
	m.renew()
	return m
}

func (m *testMembership) Self() control.Member { return control.Member{ID: m.id} }
func (m *testMembership) Valid() error         { return nil }
func (m *testMembership) Members() control.Members {
	return control.Members{List: make([]control.Member, m.members)}
}

func (m *testMembership) Session() backing.Condition {
	m.mu.Lock()
	defer m.mu.Unlock()
	return backing.Condition{Key: "session/" + m.id, Version: m.version}
}

func (m *testMembership) write(w backing.Write) uint64 {
	versions, err := m.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{w}})
	if err != nil {
		panic(err)
	}
	return versions[0]
}

func (m *testMembership) renew() {
	version := m.write(backing.Write{Key: "session/" + m.id})
	m.mu.Lock()
	m.version = version
	m.mu.Unlock()
}

func (m *testMembership) fence() { m.write(backing.Write{Key: "session/" + m.id, Delete: true}) }

// noTimer is an Options.After for tests that flush with Tick.
func noTimer(time.Duration, func()) {}

// steppingClock advances with each reading, so that the rate limit refills
// without waiting.
type steppingClock struct{ now time.Time }

func (c *steppingClock) Now() time.Time {
	c.now = c.now.Add(time.Microsecond)
	return c.now
}

// faultyTable is a table whose calls fail as nextFault says. A commit that
// fails as "request late" is delivered by deliverLate.
type faultyTable struct {
	backing.Table
	nextFault   func() string
	lateCommits []backing.Txn
	onRange     func()
}

func (t *faultyTable) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	switch t.nextFault() {
	case "unavailable":
		return nil, backing.ErrUnavailable
	case "answer lost":
		if _, err := t.Table.Commit(ctx, txn); err != nil {
			return nil, err
		}
		return nil, backing.ErrUnconfirmed
	case "request late":
		t.lateCommits = append(t.lateCommits, txn)
		return nil, backing.ErrUnconfirmed
	case "overtaken":
		t.deliverLate()
	}
	return t.Table.Commit(ctx, txn)
}

func (t *faultyTable) Get(ctx context.Context, key string) (backing.Row, error) {
	if t.nextFault() == "unavailable" {
		return backing.Row{}, backing.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

func (t *faultyTable) Range(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	rows, err := t.Table.Range(ctx, prefix, after, limit)
	if t.onRange != nil {
		t.onRange()
	}
	return rows, err
}

// deliverLate delivers the delayed commits.
func (t *faultyTable) deliverLate() {
	for _, txn := range t.lateCommits {
		_, _ = t.Table.Commit(context.Background(), txn) // a correct journal makes these conflict
	}
	t.lateCommits = nil
}

// contents returns the bodies of all records in the table, in the order of the
// pages.
func contents(t interface{ Fatal(...any) }, table backing.Table) []string {
	rows, err := table.Range(context.Background(), "journal/", "", 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, row := range rows {
		var body pageBody
		if err := cbor.Unmarshal(row.Value, &body); err != nil {
			t.Fatal(err)
		}
		for _, r := range body.Records {
			all = append(all, string(r.Body))
		}
	}
	return all
}

// Guards against records that are lost, duplicated or reordered when commits
// fail, lose their answer or arrive late, and against records that become
// durable after their Append has returned an error that excludes this.
func TestAppendUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := memory.NewTable(nil)
		membership := newTestMembership(table, "s", 1)
		faulty := &faultyTable{Table: table}
		faultsEnded := false
		faulty.nextFault = func() string {
			if faultsEnded {
				return ""
			}
			return rapid.SampledFrom([]string{"", "", "", "unavailable", "answer lost", "request late", "overtaken"}).Draw(t, "fault")
		}
		n := 0
		j := New(Options{Table: faulty, Membership: membership, Clock: &steppingClock{}, WritesPerSecond: 1e12, TxnID: func() string { n++; return fmt.Sprint("txn", n) }, After: noTimer})
		var durable, unconfirmed, notDurable []string
		t.Repeat(map[string]func(*rapid.T){
			"append": func(r *rapid.T) {
				t = r
				body := fmt.Sprint("r", len(durable)+len(unconfirmed)+len(notDurable))
				err := j.Append(context.Background(), control.Record{Body: []byte(body)})
				switch {
				case err == nil:
					durable = append(durable, body)
				case errors.Is(err, backing.ErrUnavailable) && !errors.Is(err, backing.ErrUnconfirmed), errors.Is(err, backing.ErrFenced):
					notDurable = append(notDurable, body)
				default:
					unconfirmed = append(unconfirmed, body)
				}
			},
			"arrive": func(r *rapid.T) { t = r; faulty.deliverLate() },
			"renew":  func(r *rapid.T) { t = r; membership.renew() },
			"":       func(*rapid.T) {},
		})
		if rapid.Bool().Draw(t, "fence") {
			membership.fence()
			faulty.deliverLate()
		}
		faultsEnded = true
		faulty.deliverLate()
		j.Tick(context.Background())
		got := contents(t, table)
		for _, body := range notDurable {
			if slices.Contains(got, body) {
				t.Fatalf("%s is durable after an error that says it is not", body)
			}
		}
		rest := slices.DeleteFunc(slices.Clone(got), func(b string) bool { return slices.Contains(unconfirmed, b) })
		if !slices.Equal(rest, durable) {
			t.Fatalf("pages hold %v, appended %v", rest, durable)
		}
		for i, body := range got {
			if slices.Contains(got[i+1:], body) {
				t.Fatalf("%s is in two pages", body)
			}
		}
	})
}

// Guards against appends that take effect after the session was fenced,
// including those whose answer was lost, and against treating a renewal of the
// current session as fencing.
func TestFencing(t *testing.T) {
	ctx := context.Background()
	table := memory.NewTable(nil)
	membership := newTestMembership(table, "s", 1)
	faults := ""
	faulty := &faultyTable{Table: table, nextFault: func() string { f := faults; faults = ""; return f }}
	j := New(Options{Table: faulty, Membership: membership, Clock: &steppingClock{}, WritesPerSecond: 1e12})
	renewed := &renewingMembership{testMembership: membership}
	j.options.Membership = renewed
	if err := j.Append(ctx, control.Record{Body: []byte("a")}); err != nil {
		t.Fatalf("append while the session is renewed: %v", err)
	}
	j.options.Membership = membership
	twin := New(Options{Table: faulty, Membership: membership, Clock: &steppingClock{}, WritesPerSecond: 1e12})
	if err := twin.Append(ctx, control.Record{Body: []byte("twin")}); !errors.Is(err, backing.ErrFenced) {
		t.Errorf("append over a page of another process in the same session: %v, want ErrFenced", err)
	}
	membership.fence()
	later := New(Options{Table: faulty, Membership: newTestMembership(table, "later", 1), Clock: &steppingClock{}, WritesPerSecond: 1e12})
	if err := later.AppendIn(ctx, "s", control.Record{Body: []byte("former")}); !errors.Is(err, backing.ErrFenced) {
		t.Errorf("append of a former session: %v, want ErrFenced", err)
	}
	for _, faults = range []string{"", "request late"} {
		if err := j.Append(ctx, control.Record{Body: []byte("b")}); !errors.Is(err, backing.ErrFenced) {
			t.Errorf("append after the fence: %v, want ErrFenced", err)
		}
	}
	faulty.deliverLate()
	if got := contents(t, table); !slices.Equal(got, []string{"a"}) {
		t.Errorf("pages hold %v, want only a", got)
	}
	if n := j.Stats().Fenced; n != 2 {
		t.Errorf("%d flushes counted as fenced, want 2", n)
	}
}

// renewingMembership renews the session during the first call of Session, which
// therefore returns the condition from before the renewal.
type renewingMembership struct {
	*testMembership
	calls int
}

func (m *renewingMembership) Session() backing.Condition {
	c := m.testMembership.Session()
	m.calls++
	if m.calls == 1 {
		m.renew()
	}
	return c
}

// Guards against more page writes than the limit of all members together,
// against delays of single records at a low load, and against appends that
// never return.
func TestGroupCommitStaysWithinTheRate(t *testing.T) {
	for _, members := range []int{1, 9, 100} {
		synctest.Test(t, func(t *testing.T) {
			faults := &memory.Faults{}
			table := memory.NewTable(faults)
			journals := make([]*Journal, members)
			for i := range journals {
				membership := newTestMembership(table, fmt.Sprint("s", i), members)
				journals[i] = New(Options{Table: table, Membership: membership, Clock: fleet.SystemClock{}})
			}
			faults.SetLatency(3 * time.Millisecond)
			begin := time.Now()
			if err := journals[0].Append(t.Context(), control.Record{}); err != nil || time.Since(begin) != 3*time.Millisecond {
				t.Errorf("%d members: single append took %v, want 3 ms; error %v", members, time.Since(begin), err)
			}
			time.Sleep(10 * time.Second)
			end := time.Now().Add(3 * time.Second)
			var wg sync.WaitGroup
			for _, j := range journals {
				for range 10 {
					wg.Go(func() {
						for time.Now().Before(end) {
							if err := j.Append(t.Context(), control.Record{Body: []byte("x")}); err != nil {
								t.Error(err)
								return
							}
						}
					})
				}
			}
			last, most := writes(faults), 0
			for range 3 {
				time.Sleep(time.Second)
				most = max(most, writes(faults)-last)
				last = writes(faults)
			}
			wg.Wait()
			if most > 300 || most < 150 {
				t.Errorf("%d members: %d writes in a second, want 150 to 300", members, most)
			}
		})
	}
}

func writes(f *memory.Faults) int {
	_, w := f.Counts()
	return w
}

// Guards against an unbounded backlog, and against records that are written
// although their Append has returned an error that says they are not.
func TestBacklogAndAbandonedAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := &memory.Faults{}
		table := memory.NewTable(faults)
		membership := newTestMembership(table, "s", 1)
		j := New(Options{Table: table, Membership: membership, Clock: fleet.SystemClock{}, MaxPendingBytes: 100, CommitTimeout: time.Minute})
		faults.SetLatency(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() {
			if err := j.Append(t.Context(), control.Record{Body: []byte("first")}); err != nil {
				t.Error(err)
			}
		})
		synctest.Wait()
		wg.Go(func() {
			err := j.Append(ctx, control.Record{Body: make([]byte, 80)})
			if !errors.Is(err, backing.ErrUnavailable) {
				t.Errorf("abandoned append: %v, want ErrUnavailable", err)
			}
		})
		synctest.Wait()
		if err := j.Append(t.Context(), control.Record{Body: make([]byte, 80)}); !errors.Is(err, backing.ErrUnavailable) {
			t.Errorf("append beyond the backlog: %v, want ErrUnavailable", err)
		}
		wg.Wait()
		time.Sleep(time.Minute) // records that were not removed would be flushed in this time
		faults.SetLatency(0)
		if got := contents(t, table); !slices.Equal(got, []string{"first"}) {
			t.Errorf("pages hold %q, want only first", got)
		}
	})
}

// replacingObjects calls beforeGet before the first read, so that a test can
// replace a checkpoint between the list and the read.
type replacingObjects struct {
	backing.Objects
	beforeGet func()
}

func (o *replacingObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if fn := o.beforeGet; fn != nil {
		o.beforeGet = nil
		fn()
	}
	return o.Objects.Get(ctx, key)
}

// Guards against takeovers that miss records because pages or checkpoints are
// replaced while they are read, and against the deletion of pages and
// checkpoints that are still needed.
func TestRecoverTrimSweep(t *testing.T) {
	ctx := context.Background()
	table, objects := memory.NewTable(nil), memory.NewObjects(nil)
	membership := newTestMembership(table, "s", 1)
	faulty := &faultyTable{Table: table, nextFault: func() string { return "" }}
	j := New(Options{Table: faulty, Objects: objects, Membership: membership, Clock: &steppingClock{}, WritesPerSecond: 1e12})
	appendOne := func(shard int, body string) {
		if err := j.Append(ctx, control.Record{Shard: shard, Body: []byte(body)}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 200 {
		appendOne(i%2, fmt.Sprint(i))
	}
	position := j.Position()
	// While the first pages are read, the owner checkpoints and deletes them all.
	faulty.onRange = func() {
		faulty.onRange = nil
		for shard := range 2 {
			for _, state := range []string{"older", "state"} {
				if err := j.Checkpoint(ctx, "s", shard, position, []byte(state)); err != nil {
					t.Fatal(err)
				}
			}
		}
		if n, err := j.Trim(ctx, "s", position); err != nil || n != 200 {
			t.Fatalf("trimmed %d pages, want 200; error %v", n, err)
		}
		appendOne(1, "newer")
	}
	replacing := &replacingObjects{Objects: objects, beforeGet: func() {
		if err := j.Checkpoint(ctx, "s", 1, position+1, []byte("newest")); err != nil {
			t.Fatal(err)
		}
	}}
	r, err := Recover(ctx, faulty, replacing, "s", []int{1})
	if err != nil {
		t.Fatal(err)
	}
	if string(r.States[1]) != "newest" || len(r.States) != 1 {
		t.Errorf("states %v, want only newest of shard 1", r.States)
	}
	if last := string(r.Records[len(r.Records)-1].Body); last != "newer" {
		t.Errorf("last record is %q, want newer", last)
	}
	for _, record := range r.Records {
		if record.Shard != 1 {
			t.Fatalf("record of shard %d, want only shard 1", record.Shard)
		}
	}
	referenced := map[string]bool{"s": true}
	sweep := Sweeper{
		Table: table, Objects: objects, TxnID: func() string { return "sweep" },
		ReferencedSessions: func(context.Context) (map[string]bool, error) { return referenced, nil },
	}
	if n, err := sweep.Sweep(ctx); n != 0 || err != nil {
		t.Errorf("swept %d rows and objects of a referenced session, want 0; error %v", n, err)
	}
	referenced = nil
	if n, err := sweep.Sweep(ctx); n != 3 || err != nil {
		t.Errorf("swept %d rows and objects, want 1 page and 2 checkpoints, %v", n, err)
	}
	if membership.fence(); len(contents(t, table)) != 0 {
		t.Error("pages remain")
	}
	if _, err := j.Trim(ctx, "s", 1000); err != nil {
		t.Errorf("trim without pages: %v", err)
	}
}
