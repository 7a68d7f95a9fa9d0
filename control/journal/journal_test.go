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
	s := &testMembership{id: id, members: members, table: table}
	s.renew()
	return s
}

func (s *testMembership) Self() control.Member { return control.Member{ID: s.id} }
func (s *testMembership) Valid() error         { return nil }
func (s *testMembership) Members() control.Members {
	return control.Members{List: make([]control.Member, s.members)}
}

func (s *testMembership) Session() backing.Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backing.Condition{Key: "session/" + s.id, Version: s.version}
}

func (s *testMembership) write(w backing.Write) uint64 {
	versions, err := s.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{w}})
	if err != nil {
		panic(err)
	}
	return versions[0]
}

func (s *testMembership) renew() {
	version := s.write(backing.Write{Key: "session/" + s.id})
	s.mu.Lock()
	s.version = version
	s.mu.Unlock()
}

func (s *testMembership) fence() { s.write(backing.Write{Key: "session/" + s.id, Delete: true}) }

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
// fails as "request late" is kept until deliverLate.
type faultyTable struct {
	backing.Table
	nextFault   func() string
	lateCommits []backing.Txn
	onRange     func()
}

func (l *faultyTable) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	switch l.nextFault() {
	case "unavailable":
		return nil, backing.ErrUnavailable
	case "answer lost":
		if _, err := l.Table.Commit(ctx, txn); err != nil {
			return nil, err
		}
		return nil, backing.ErrUnconfirmed
	case "request late":
		l.lateCommits = append(l.lateCommits, txn)
		return nil, backing.ErrUnconfirmed
	case "overtaken":
		l.deliverLate()
	}
	return l.Table.Commit(ctx, txn)
}

func (l *faultyTable) Get(ctx context.Context, key string) (backing.Row, error) {
	if l.nextFault() == "unavailable" {
		return backing.Row{}, backing.ErrUnavailable
	}
	return l.Table.Get(ctx, key)
}

func (l *faultyTable) Range(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	rows, err := l.Table.Range(ctx, prefix, after, limit)
	if l.onRange != nil {
		l.onRange()
	}
	return rows, err
}

// deliverLate delivers the delayed commits.
func (l *faultyTable) deliverLate() {
	for _, txn := range l.lateCommits {
		_, _ = l.Table.Commit(context.Background(), txn) // a correct journal makes these conflict
	}
	l.lateCommits = nil
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
		s := newTestMembership(table, "s", 1)
		l := &faultyTable{Table: table}
		faultsEnded := false
		l.nextFault = func() string {
			if faultsEnded {
				return ""
			}
			return rapid.SampledFrom([]string{"", "", "", "unavailable", "answer lost", "request late", "overtaken"}).Draw(t, "fault")
		}
		n := 0
		j := New(Options{Table: l, Membership: s, Clock: &steppingClock{}, WritesPerSecond: 1e12, TxnID: func() string { n++; return fmt.Sprint("txn", n) }, After: noTimer})
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
			"arrive": func(r *rapid.T) { t = r; l.deliverLate() },
			"renew":  func(r *rapid.T) { t = r; s.renew() },
			"":       func(*rapid.T) {},
		})
		if rapid.Bool().Draw(t, "fence") {
			s.fence()
			l.deliverLate()
		}
		faultsEnded = true
		l.deliverLate()
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
	s := newTestMembership(table, "s", 1)
	faults := ""
	l := &faultyTable{Table: table, nextFault: func() string { f := faults; faults = ""; return f }}
	j := New(Options{Table: l, Membership: s, Clock: &steppingClock{}, WritesPerSecond: 1e12})
	renewed := &renewingMembership{testMembership: s}
	j.options.Membership = renewed
	if err := j.Append(ctx, control.Record{Body: []byte("a")}); err != nil {
		t.Fatalf("append while the session is renewed: %v", err)
	}
	j.options.Membership = s
	twin := New(Options{Table: l, Membership: s, Clock: &steppingClock{}, WritesPerSecond: 1e12})
	if err := twin.Append(ctx, control.Record{Body: []byte("twin")}); !errors.Is(err, backing.ErrFenced) {
		t.Errorf("append over a page of another process in the same session: %v", err)
	}
	s.fence()
	later := New(Options{Table: l, Membership: newTestMembership(table, "later", 1), Clock: &steppingClock{}, WritesPerSecond: 1e12})
	if err := later.AppendIn(ctx, "s", control.Record{Body: []byte("former")}); !errors.Is(err, backing.ErrFenced) {
		t.Errorf("append of a former session: %v", err)
	}
	for _, faults = range []string{"", "request late"} {
		if err := j.Append(ctx, control.Record{Body: []byte("b")}); !errors.Is(err, backing.ErrFenced) {
			t.Errorf("append after the fence: %v", err)
		}
	}
	l.deliverLate()
	if got := contents(t, table); !slices.Equal(got, []string{"a"}) {
		t.Errorf("pages hold %v", got)
	}
	if n := j.Stats().Fenced; n != 2 {
		t.Errorf("%d flushes counted as fenced", n)
	}
}

// renewingMembership renews the session during the first call of Session, which
// therefore returns the condition from before the renewal.
type renewingMembership struct {
	*testMembership
	calls int
}

func (s *renewingMembership) Session() backing.Condition {
	c := s.testMembership.Session()
	s.calls++
	if s.calls == 1 {
		s.renew()
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
				s := newTestMembership(table, fmt.Sprint("s", i), members)
				journals[i] = New(Options{Table: table, Membership: s, Clock: fleet.SystemClock{}})
			}
			faults.SetLatency(3 * time.Millisecond)
			begin := time.Now()
			if err := journals[0].Append(t.Context(), control.Record{}); err != nil || time.Since(begin) != 3*time.Millisecond {
				t.Errorf("%d members: single append took %v, error %v", members, time.Since(begin), err)
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
				t.Errorf("%d members: %d writes in a second", members, most)
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
		s := newTestMembership(table, "s", 1)
		j := New(Options{Table: table, Membership: s, Clock: fleet.SystemClock{}, MaxPendingBytes: 100, CommitTimeout: time.Minute})
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
				t.Errorf("abandoned append: %v", err)
			}
		})
		synctest.Wait()
		if err := j.Append(t.Context(), control.Record{Body: make([]byte, 80)}); !errors.Is(err, backing.ErrUnavailable) {
			t.Errorf("append beyond the backlog: %v", err)
		}
		wg.Wait()
		time.Sleep(time.Minute) // records that were not removed would be flushed in this time
		faults.SetLatency(0)
		if got := contents(t, table); !slices.Equal(got, []string{"first"}) {
			t.Errorf("pages hold %q", got)
		}
	})
}

// replacingObjects calls beforeGet before the first read, so that a test can
// replace a checkpoint between the list and the read.
type replacingObjects struct {
	backing.Objects
	beforeGet func()
}

func (m *replacingObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if fn := m.beforeGet; fn != nil {
		m.beforeGet = nil
		fn()
	}
	return m.Objects.Get(ctx, key)
}

// Guards against takeovers that miss records because pages or checkpoints are
// replaced while they are read, and against the deletion of pages and
// checkpoints that are still needed.
func TestRecoverTrimSweep(t *testing.T) {
	ctx := context.Background()
	table, objects := memory.NewTable(nil), memory.NewObjects(nil)
	s := newTestMembership(table, "s", 1)
	l := &faultyTable{Table: table, nextFault: func() string { return "" }}
	j := New(Options{Table: l, Objects: objects, Membership: s, Clock: &steppingClock{}, WritesPerSecond: 1e12})
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
	l.onRange = func() {
		l.onRange = nil
		for shard := range 2 {
			for _, state := range []string{"older", "state"} {
				if err := j.Checkpoint(ctx, "s", shard, position, []byte(state)); err != nil {
					t.Fatal(err)
				}
			}
		}
		if n, err := j.Trim(ctx, "s", position); err != nil || n != 200 {
			t.Fatalf("trimmed %d pages, %v", n, err)
		}
		appendOne(1, "newer")
	}
	moving := &replacingObjects{Objects: objects, beforeGet: func() {
		if err := j.Checkpoint(ctx, "s", 1, position+1, []byte("newest")); err != nil {
			t.Fatal(err)
		}
	}}
	r, err := Recover(ctx, l, moving, "s", []int{1})
	if err != nil {
		t.Fatal(err)
	}
	if string(r.States[1]) != "newest" || len(r.States) != 1 {
		t.Errorf("states %v", r.States)
	}
	if last := string(r.Records[len(r.Records)-1].Body); last != "newer" {
		t.Errorf("last record is %q", last)
	}
	for _, record := range r.Records {
		if record.Shard != 1 {
			t.Fatalf("record of shard %d", record.Shard)
		}
	}
	referenced := map[string]bool{"s": true}
	sweep := Sweeper{
		Table: table, Objects: objects, TxnID: func() string { return "sweep" },
		ReferencedSessions: func(context.Context) (map[string]bool, error) { return referenced, nil },
	}
	if n, err := sweep.Sweep(ctx); n != 0 || err != nil {
		t.Errorf("swept %d of a referenced session, %v", n, err)
	}
	referenced = nil
	if n, err := sweep.Sweep(ctx); n != 3 || err != nil {
		t.Errorf("swept %d rows and objects, want 1 page and 2 checkpoints, %v", n, err)
	}
	if s.fence(); len(contents(t, table)) != 0 {
		t.Error("pages remain")
	}
	if _, err := j.Trim(ctx, "s", 1000); err != nil {
		t.Errorf("trim without pages: %v", err)
	}
}
