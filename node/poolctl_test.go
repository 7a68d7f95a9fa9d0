package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// Guards against a long queue that takes the owner's processor for itself
// (lantern-sched-large: thousands of waiting jobs, a cycle of several milliseconds each
// 12 ms), and against a queue that stops the owner's transactions.
func TestCyclesLeaveTimeForOrders(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0:                     minCycleInterval,
		time.Millisecond:      minCycleInterval,
		8 * time.Millisecond:  32 * time.Millisecond,
		30 * time.Millisecond: maxLoadedInterval,
		time.Second:           maxLoadedInterval,
	} {
		if got := cycleIntervalFor(took); got != want {
			t.Errorf("%v after a cycle of %v, want %v", got, took, want)
		}
	}
	if maxLoadedInterval >= ownerRenewInterval {
		t.Error("an owner would renew its row too late")
	}
}

// rejectingStore rejects transactions that write a row of the given name.
type rejectingStore struct {
	store.Store
	name string
}

func (s rejectingStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	for _, put := range txn.Puts {
		if put.Key.Table == tables.Progress && put.Key.Name == s.name {
			return store.Receipt{}, fmt.Errorf("%w: row %s", store.ErrInvalid, s.name)
		}
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against an owner that gives its pool up (LOST) because the table service rejects
// the row of one job. Each next owner met the same row.
func TestOwnerOutlastsARejectedRow(t *testing.T) {
	const bad = "00000000000000bb"
	mem := memstore.New()
	n, caller := entryWithQueueIn("p", rejectingStore{mem, bad}, NewBootClock())
	n.rows = benchRows{}
	ids := []string{bad}
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("%016x", i))
	}
	for _, id := range ids {
		if err := n.Submit(t.Context(), caller, oneStepJob(id)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- newPoolController(n, mustClaim(t, n.store, nodeA), 0, 0).run(ctx) }()
	for _, id := range ids[1:] {
		for {
			if _, ok, _ := store.Get(ctx, mem, tables.ProgressKey("p", id)); ok {
				break
			}
			select {
			case err := <-ended:
				t.Fatalf("the owner has given its pool up: %v; job %s is not recorded", err, id)
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatalf("the owner has failed: %v", err)
	}
}
