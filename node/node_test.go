package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
)

// detachedStore carries out a transaction even if its caller has given up.
type detachedStore struct{ store.Store }

func (s detachedStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	type result struct {
		receipt store.Receipt
		err     error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(50 * time.Millisecond)
		receipt, err := s.Store.Commit(context.WithoutCancel(ctx), txn)
		done <- result{receipt, err}
	}()
	select {
	case r := <-done:
		return r.receipt, r.err
	case <-ctx.Done():
		return store.Receipt{}, fmt.Errorf("%w: %w", store.ErrUnconfirmed, ctx.Err())
	}
}

// Guards against a claim that takes effect although its entry is stopping. The
// pool had no scheduler for 2.5 s, until the claimer's member row had expired
// (lantern-sched-grown trouble-2).
func TestClaimDuringStopIsReleased(t *testing.T) {
	mem := memstore.New()
	slow := detachedStore{mem}
	n := New(Options{Settings: Settings{Self: nodeA}, Store: slow, Clock: NewBootClock(), Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	n.tryClaim(ctx, "p", map[string]Member{"a": nodeA})
	n.controllers.Wait()
	time.Sleep(200 * time.Millisecond) // by then an abandoned claim has been carried out
	o, err := readOwner(t.Context(), n.store, "p")
	if err != nil {
		t.Fatal(err)
	}
	if o.row.Node != "" {
		t.Fatalf("the pool is owned by %q, which has stopped", o.row.Node)
	}
	if len(n.ownedNames()) != 0 {
		t.Fatal("the entry schedules the pool although it has stopped")
	}
}

// Guards against a stop that waits for a table service that does not answer.
func TestClaimDoesNotDelayStop(t *testing.T) {
	slow := &scriptedStore{Store: memstore.New(), delay: time.Minute}
	n := New(Options{Settings: Settings{Self: nodeA}, Store: slow, Clock: NewBootClock(), Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	began := time.Now()
	n.tryClaim(ctx, "p", map[string]Member{"a": nodeA})
	if took := time.Since(began); took > 2*releaseTimeout {
		t.Fatalf("the claim took %v, want at most twice releaseTimeout", took)
	}
}
