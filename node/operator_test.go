package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
)

// configRowBytes is the size of a configuration with some 250 queues.
const configRowBytes = 60 << 10

// configRows decodes rows of the operators' table that writeConfig has written. Version
// N declares the open queues q1 to qN.
type configRows struct{ Rows }

func (configRows) OperatorTable() string { return "op" }

func (configRows) DecodeOperator(row store.Row) (OperatorRow, error) {
	var version int64
	if _, err := fmt.Sscanf(string(row.Value), "version %d;", &version); err != nil {
		return OperatorRow{}, err
	}
	var queues []*catalog.Queue
	for i := range version {
		name := fmt.Sprintf("q%d", i+1)
		queues = append(queues, &catalog.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: "p", Open: true})
	}
	return OperatorRow{Catalog: catalog.New(version, queues, []*catalog.Pool{{Name: "p"}}, nil, catalog.Limits{})}, nil
}

func writeConfig(t *testing.T, rows *memstore.Store, version int64) {
	t.Helper()
	value := append(fmt.Appendf(nil, "version %d;", version), bytes.Repeat([]byte("x"), configRowBytes)...)
	if _, err := rows.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.Key{Table: "op", Name: "config"}, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// newOperatorFollower returns an entry that follows the operators' table in rows, and
// its follower, which the test polls.
func newOperatorFollower(rows store.Store, clock Clock) (*Node, *follower) {
	n := New(Options{Settings: Settings{Self: nodeA}, Store: rows, Rows: configRows{}, Clock: clock, Log: testLog})
	f := n.newFollower()
	f.table, f.confirm, f.deliver = "op", true, n.operator.update
	return n, &f
}

// Guards against requests that are refused or run by old declarations after a cut: the
// feed returns the changes since then in parts, and an entry took the first part for
// all of them.
func TestEntryThatCatchesUpDoesNotJudgeByOldDeclarations(t *testing.T) {
	rows := memstore.New()
	clock := &testClock{now: pool.Time{Steady: time.Minute}}
	n, f := newOperatorFollower(rows, clock)
	writeConfig(t, rows, 1)
	if err := f.poll(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	const newest = 40
	for version := int64(2); version <= newest; version++ {
		clock.advance(250 * time.Millisecond)
		writeConfig(t, rows, version)
	}
	for range newest {
		clock.advance(10 * time.Millisecond)
		if err := f.poll(t.Context(), false); err != nil {
			t.Fatal(err)
		}
		caller, err := n.Admit("h", "/q40/", "")
		if err == nil {
			return
		}
		var notRun *NotRunError
		if !errors.As(err, &notRun) {
			t.Fatalf("request for a queue of version %d: %v by version %d, which is held to be %v old; want *NotRunError until the newest version has been read",
				newest, err, caller.CatalogVersion, caller.ViewAge)
		}
	}
	t.Fatalf("the entry has not caught up after %d answers", newest)
}

// Guards against keys and queues of old declarations that stay in force for good: a new
// version that cannot be decoded was skipped, and the view was held to be current.
func TestUnreadableDeclarationsEndTheUseOfOldOnes(t *testing.T) {
	rows := memstore.New()
	clock := &testClock{now: pool.Time{Steady: time.Minute}}
	n, f := newOperatorFollower(rows, clock)
	writeConfig(t, rows, 1)
	if err := f.poll(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	if _, err := n.Admit("h", "/q1/", ""); err != nil {
		t.Fatalf("request for a declared queue: %v", err)
	}
	if _, err := rows.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.Key{Table: "op", Name: "config"}, Value: []byte("?")}}}); err != nil {
		t.Fatal(err)
	}
	f.wait = 0
	for range 10 {
		if err := f.poll(t.Context(), false); err != nil {
			t.Fatal(err)
		}
		clock.advance(time.Second)
	}
	var notRun *NotRunError
	if _, err := n.Admit("h", "/q1/", ""); !errors.As(err, &notRun) {
		t.Errorf("request 10 s after a version that cannot be decoded: %v, want *NotRunError", err)
	}
	writeConfig(t, rows, 2)
	for range 2 {
		if err := f.poll(t.Context(), false); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := n.Admit("h", "/q2/", ""); err != nil {
		t.Errorf("request after the next version: %v", err)
	}
}

// cutStore is a table service that can be cut off. It counts the bytes of the rows in
// its answers.
type cutStore struct {
	store.Store
	cut   atomic.Bool
	bytes atomic.Int64
}

func (c *cutStore) answer(page store.Page, err error) (store.Page, error) {
	if c.cut.Load() {
		return store.Page{}, store.ErrUnavailable
	}
	for _, row := range page.Rows {
		c.bytes.Add(int64(len(row.Value)))
	}
	return page, err
}

func (c *cutStore) Range(ctx context.Context, table, partition, from, to string) (store.Page, error) {
	return c.answer(c.Store.Range(ctx, table, partition, from, to))
}

func (c *cutStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	return c.answer(c.Store.Changes(ctx, table, after, wait))
}

// timeClock follows time.Now, which a synctest bubble controls.
type timeClock struct{ start time.Time }

func (c timeClock) Now() pool.Time {
	return pool.Time{Steady: time.Since(c.start), Wall: time.Now().UnixMilli()}
}

// Guards against an entry that stays out of service after a cut, because it reads each
// version of the declarations that it has missed instead of the newest one: over a
// narrow link 40 versions of 60 KB take seconds.
func TestEntryReadsTheNewestDeclarationsAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memstore.New()
		service := &cutStore{Store: rows}
		n, f := newOperatorFollower(service, timeClock{time.Now()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.operator.run(ctx, *f)
		writeConfig(t, rows, 1)
		time.Sleep(2 * time.Second)
		service.cut.Store(true)
		const newest = 40
		for version := int64(2); version <= newest; version++ {
			time.Sleep(250 * time.Millisecond)
			writeConfig(t, rows, version)
		}
		service.bytes.Store(0)
		service.cut.Store(false)
		time.Sleep(time.Second)
		if caller, err := n.Admit("h", "/q40/", ""); err != nil {
			t.Errorf("request for a queue of version %d, a second after the cut: %v by version %d", newest, err, caller.CatalogVersion)
		}
		if got := service.bytes.Load(); got > 2*configRowBytes {
			t.Errorf("the entry has read %d bytes after the cut, want at most 2 rows of %d", got, configRowBytes)
		}
	})
}
