package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/capshare"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// panickingStore panics on reads of one table.
type panickingStore struct {
	store.Store
	table string
}

func (s panickingStore) Range(ctx context.Context, table, partition, from, to string) (store.Page, error) {
	if table == s.table {
		panic("unexpected answer")
	}
	return s.Store.Range(ctx, table, partition, from, to)
}

// Guards against an unexpected error in one pool or loop that takes the whole process
// down: the pool is given up, and the loop starts again.
func TestPanicEndsOneTaskOnly(t *testing.T) {
	mem, s := newTestStore()
	n := newEntry("a", panickingStore{mem, tables.Queues}, s.clock)
	o, err := readOwner(t.Context(), n.store, "p")
	if err != nil {
		t.Fatal(err)
	}
	if err := o.claim(t.Context(), n.settings.Self); err != nil {
		t.Fatal(err)
	}
	n.runController(t.Context(), o, 0, 0)
	n.controllers.Wait()
	if names := n.ownedNames(); len(names) != 0 {
		t.Fatalf("the entry still owns %v after a panic in its controller", names)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	calls := 0
	n.keepRunning(ctx, "loop", func(context.Context) {
		if calls++; calls < 3 {
			panic("unexpected input")
		}
		cancel()
	})
	if calls != 3 {
		t.Fatalf("the loop ran %d times, want 3", calls)
	}
}

// Guards against malformed rows that take a process down or are taken for something
// else. Each decoder returns an error for what it does not understand.
func FuzzStoredRows(f *testing.F) {
	for _, value := range []any{ownerRow{Node: "a", Epoch: 1}, Member{Node: "a", Pools: []string{"p"}}, cordonRow{VM: "i-1", Pool: "p"},
		waveRow{BeganMS: 1, Done: []string{"m"}}, recentOrdersRow{"m": 5}, capshare.Division{}, job.Progress{Workspace: "w"}, job.QueueStatus{Waiting: 3}} {
		b, err := cbor.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0xa1, 0x01})                               // truncated
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // a list of 2^64 elements
	f.Fuzz(func(t *testing.T, value []byte) {
		row := store.Row{Key: store.Key{Table: tables.Members, Partition: "p", Name: "00000000000000aa"}, Value: value, Version: 1}
		_, s := newTestStore()
		n := newEntry("a", s.Store, s.clock)
		_, _ = decodeOwner(row)
		_, _ = decodeCordon(value)
		n.members.update(Update{Rows: []store.Row{row}, Whole: true})
		n.members.Live()
		c := newCapShares(n, "p", zap.NewNop())
		c.update(Update{Rows: []store.Row{row}})
		c.configure(n.operator.view.Catalog)
		newLoadReportTable(n, zap.NewNop()).update(Update{Rows: []store.Row{row}})
		o, err := readOwner(t.Context(), n.store, "p")
		if err != nil {
			t.Fatal(err)
		}
		fleet := newFleetController(n, o, 0)
		fleet.restore([]store.Row{row}, []store.Row{row, {Key: store.Key{Name: recentOrdersName}, Value: value}})
		fleet.restoreDemand([]store.Row{row})
		r := newPoolController(n, o, 0, 0)
		r.restoreLeases([]store.Row{row})
		row.Partition = r.name
		r.applyRequest(r.pool, row, nil)
		if progress, err := job.DecodeProgress(value); err == nil {
			spec := oneStepJob(row.Name)
			spec.Queue = "q"
			r.pool.Restore(spec, progress)
		}
		r.pool.ObserveVM(pool.VM{ID: "vm", Address: "vm:80"})
		r.pool.HandleListing(pool.Listing{VM: "vm", StartedMS: 1, Complete: true})
		for range 2 {
			r.pool.Committed(r.pool.Cycle())
		}
		r.pool.LoadReport()
	})
}

// Guards against a caller that is told that its cancellation had no effect after an
// answer was lost, and against a second cancellation row.
func TestLostAnswerOfACancellation(t *testing.T) {
	mem, s := newTestStore()
	n := newEntry("a", mem, s.clock)
	c := Caller{Queue: n.operator.view.Catalog.Queues["q"]}
	const id = "00000000000000aa"
	if err := n.Submit(t.Context(), c, oneStepJob(id)); err != nil {
		t.Fatal(err)
	}
	mem.LoseAnswers(1)
	if err := n.Cancel(t.Context(), c, id); err != nil && !errors.Is(err, ErrUnconfirmed) {
		t.Fatalf("cancellation with a lost answer: %v; want success or an unknown outcome", err)
	}
	if err := n.Cancel(t.Context(), c, id); err != nil {
		t.Fatalf("repeated cancellation: %v", err)
	}
}

// Guards against a key that works again after a restart of an entry: a new process
// accepts no key before it has read the newest declarations.
func TestRestartedEntryAcceptsNoKeyBeforeItsFirstRead(t *testing.T) {
	mem, s := newTestStore()
	n := New(Options{Settings: Settings{Self: Member{Node: "a", Incarnation: "second"}}, Store: mem, Clock: s.clock, Log: zap.NewNop()})
	var notRun *NotRunError
	if _, err := n.Admit("host", "/q/", "withdrawn key"); !errors.As(err, &notRun) {
		t.Fatalf("request at an entry that has read no declarations: %v, want *NotRunError", err)
	}
	if n.Ready() {
		t.Fatal("the entry is ready before it has read the declarations")
	}
}
