package node

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
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
