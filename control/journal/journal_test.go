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

// session is the Membership of one entry, whose row the tests renew and fence.
type session struct {
	mu      sync.Mutex
	id      string
	members int
	table   *memory.Table
	version uint64
}

func newSession(table *memory.Table, id string, members int) *session {
	s := &session{id: id, members: members, table: table}
	s.renew()
	return s
}

func (s *session) Self() control.Member { return control.Member{ID: s.id} }
func (s *session) Valid() error         { return nil }
func (s *session) Members() control.Members {
	return control.Members{List: make([]control.Member, s.members)}
}

func (s *session) Session() backing.Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backing.Condition{Key: "session/" + s.id, Version: s.version}
}

func (s *session) write(w backing.Write) uint64 {
	versions, err := s.table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{w}})
	if err != nil {
		panic(err)
	}
	return versions[0]
}

func (s *session) renew() {
	version := s.write(backing.Write{Key: "session/" + s.id})
	s.mu.Lock()
	s.version = version
	s.mu.Unlock()
}

func (s *session) fence() { s.write(backing.Write{Key: "session/" + s.id, Delete: true}) }

// never is an After for tests that flush with Tick.
func never(time.Duration, func()) {}

type tick struct{ now time.Time }

func (c *tick) Now() time.Time {
	c.now = c.now.Add(time.Microsecond)
	return c.now
}

// lossy is a table whose next commits fail as told; a lost request may arrive
// later.
type lossy struct {
	backing.Table
	next    func() string
	late    []backing.Txn
	onRange func()
}

func (l *lossy) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	switch l.next() {
	case "unavailable":
		return nil, backing.ErrUnavailable
	case "answer lost":
		if _, err := l.Table.Commit(ctx, txn); err != nil {
			return nil, err
		}
		return nil, backing.ErrUnknown
	case "request late":
		l.late = append(l.late, txn)
		return nil, backing.ErrUnknown
	case "overtaken":
		l.arrive()
	}
	return l.Table.Commit(ctx, txn)
}

func (l *lossy) Get(ctx context.Context, key string) (backing.Row, error) {
	if l.next() == "unavailable" {
		return backing.Row{}, backing.ErrUnavailable
	}
	return l.Table.Get(ctx, key)
}

func (l *lossy) Range(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	rows, err := l.Table.Range(ctx, prefix, after, limit)
	if l.onRange != nil {
		l.onRange()
	}
	return rows, err
}

// arrive delivers the late requests.
func (l *lossy) arrive() {
	for _, txn := range l.late {
		_, _ = l.Table.Commit(context.Background(), txn) // a conflict is what the test hopes for
	}
	l.late = nil
}

// contents returns the bodies of all records in the table, in order.
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

// Guards against records that are lost, doubled or reordered, and against
// records that turn up after their Append has said that they are not durable.
func TestAppendUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := memory.NewTable(nil)
		s := newSession(table, "s", 1)
		l := &lossy{Table: table}
		calm := false
		l.next = func() string {
			if calm {
				return ""
			}
			return rapid.SampledFrom([]string{"", "", "", "unavailable", "answer lost", "request late", "overtaken"}).Draw(t, "fault")
		}
		n := 0
		j := New(Options{Table: l, Membership: s, Clock: &tick{}, Rate: 1e12, TxnID: func() string { n++; return fmt.Sprint("txn", n) }, After: never})
		var durable, maybe, never []string
		t.Repeat(map[string]func(*rapid.T){
			"append": func(r *rapid.T) {
				t = r
				body := fmt.Sprint("r", len(durable)+len(maybe)+len(never))
				err := j.Append(context.Background(), control.Record{Body: []byte(body)})
				switch {
				case err == nil:
					durable = append(durable, body)
				case errors.Is(err, backing.ErrUnavailable) && !errors.Is(err, backing.ErrUnknown), errors.Is(err, backing.ErrFenced):
					never = append(never, body)
				default:
					maybe = append(maybe, body)
				}
			},
			"arrive": func(r *rapid.T) { t = r; l.arrive() },
			"renew":  func(r *rapid.T) { t = r; s.renew() },
			"":       func(*rapid.T) {},
		})
		if rapid.Bool().Draw(t, "fence") {
			s.fence()
			l.arrive()
		}
		calm = true
		l.arrive()
		j.Tick(context.Background())
		got := contents(t, table)
		for _, body := range never {
			if slices.Contains(got, body) {
				t.Fatalf("%s is durable after an error that says it is not", body)
			}
		}
		rest := slices.DeleteFunc(slices.Clone(got), func(b string) bool { return slices.Contains(maybe, b) })
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

// Guards against appends of a fenced session, also after lost answers, and
// against taking a renewal of the own session for a fence.
func TestFencing(t *testing.T) {
	ctx := context.Background()
	table := memory.NewTable(nil)
	s := newSession(table, "s", 1)
	faults := ""
	l := &lossy{Table: table, next: func() string { f := faults; faults = ""; return f }}
	j := New(Options{Table: l, Membership: s, Clock: &tick{}, Rate: 1e12})
	renewed := &stale{session: s}
	j.options.Membership = renewed
	if err := j.Append(ctx, control.Record{Body: []byte("a")}); err != nil {
		t.Fatalf("append while the session is renewed: %v", err)
	}
	j.options.Membership = s
	twin := New(Options{Table: l, Membership: s, Clock: &tick{}, Rate: 1e12})
	if err := twin.Append(ctx, control.Record{Body: []byte("twin")}); !errors.Is(err, backing.ErrFenced) {
		t.Errorf("append over a page of another process in the same session: %v", err)
	}
	s.fence()
	later := New(Options{Table: l, Membership: newSession(table, "later", 1), Clock: &tick{}, Rate: 1e12})
	if err := later.AppendIn(ctx, "s", control.Record{Body: []byte("former")}); !errors.Is(err, backing.ErrFenced) {
		t.Errorf("append of a former session: %v", err)
	}
	for _, faults = range []string{"", "request late"} {
		if err := j.Append(ctx, control.Record{Body: []byte("b")}); !errors.Is(err, backing.ErrFenced) {
			t.Errorf("append after the fence: %v", err)
		}
	}
	l.arrive()
	if got := contents(t, table); !slices.Equal(got, []string{"a"}) {
		t.Errorf("pages hold %v", got)
	}
	if n := j.Stats().Fenced; n != 2 {
		t.Errorf("%d flushes counted as fenced", n)
	}
}

// stale returns the condition from before a renewal once.
type stale struct {
	*session
	calls int
}

func (s *stale) Session() backing.Condition {
	c := s.session.Session()
	s.calls++
	if s.calls == 1 {
		s.renew()
	}
	return c
}

// Guards against page writes beyond the bound of all members together, against
// delays of single records at a low load, and against appends that wait for
// ever.
func TestGroupCommitStaysWithinTheRate(t *testing.T) {
	for _, members := range []int{1, 9, 100} {
		synctest.Test(t, func(t *testing.T) {
			faults := &memory.Faults{}
			table := memory.NewTable(faults)
			journals := make([]*Journal, members)
			for i := range journals {
				s := newSession(table, fmt.Sprint("s", i), members)
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
// after their caller has been told that they are not.
func TestBacklogAndAbandonedAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := &memory.Faults{}
		table := memory.NewTable(faults)
		s := newSession(table, "s", 1)
		j := New(Options{Table: table, Membership: s, Clock: fleet.SystemClock{}, MaxPending: 100, CommitTimeout: time.Minute})
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
		time.Sleep(time.Minute) // a leftover would be flushed in this time
		faults.SetLatency(0)
		if got := contents(t, table); !slices.Equal(got, []string{"first"}) {
			t.Errorf("pages hold %q", got)
		}
	})
}

// movingObjects lets a checkpoint be replaced between a list and a read.
type movingObjects struct {
	backing.Objects
	beforeGet func()
}

func (m *movingObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if fn := m.beforeGet; fn != nil {
		m.beforeGet = nil
		fn()
	}
	return m.Objects.Get(ctx, key)
}

// Guards against takeovers that miss records when pages and checkpoints are
// replaced while they are read, and against deleting what is still needed.
func TestRecoverTrimSweep(t *testing.T) {
	ctx := context.Background()
	table, objects := memory.NewTable(nil), memory.NewObjects(nil)
	s := newSession(table, "s", 1)
	l := &lossy{Table: table, next: func() string { return "" }}
	j := New(Options{Table: l, Objects: objects, Membership: s, Clock: &tick{}, Rate: 1e12})
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
	moving := &movingObjects{Objects: objects, beforeGet: func() {
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
		Referenced: func(context.Context) (map[string]bool, error) { return referenced, nil },
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
