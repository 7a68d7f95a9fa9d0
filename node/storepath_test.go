package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
)

// silentStore gives no answer while it is silent, and notes the transactions sent meanwhile.
type silentStore struct {
	store.Store
	silent atomic.Bool
	delay  atomic.Int64 // ns
	mu     sync.Mutex
	sent   []store.Txn
}

// waits reports whether a call gets its answer, after the delay.
func (s *silentStore) waits(ctx context.Context) bool {
	sleep(ctx, time.Duration(s.delay.Load()))
	return ctx.Err() == nil && !s.silent.Load()
}

func (s *silentStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	if s.waits(ctx) {
		return s.Store.Commit(ctx, txn)
	}
	s.mu.Lock()
	s.sent = append(s.sent, txn)
	s.mu.Unlock()
	<-ctx.Done()
	return store.Receipt{}, fmt.Errorf("%w: %w", store.ErrUnconfirmed, ctx.Err())
}

func (s *silentStore) Range(ctx context.Context, table, partition, from, to string) (store.Page, error) {
	if s.waits(ctx) {
		return s.Store.Range(ctx, table, partition, from, to)
	}
	<-ctx.Done()
	return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
}

// newSilentStoreNode returns an entry that judges the path to its table service.
func newSilentStoreNode(t *testing.T) (*Node, *silentStore) {
	s := &silentStore{Store: memstore.New()}
	n := New(Options{Settings: Settings{Self: nodeA}, Store: s, Clock: bubbleClock{time.Now()}, Log: zap.NewNop()})
	n.store.path.start(t.Context())
	return n, s
}

// Guards against a burst of submissions at an entry whose data centre is cut off at the peak
// of a queue (mare-escuta-grown scale-2, 33.5 s: 52 answers 504). Only what was sent before
// the loss was noticed may be answered without a known outcome; all else is refused soon.
func TestSubmissionsOnALostPathAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := newSilentStoreNode(t)
		_ = n.probeStore(t.Context())
		s.silent.Store(true)
		var wg sync.WaitGroup
		errs, took := make([]error, 30), make([]time.Duration, 30)
		for i := range errs {
			wg.Go(func() {
				began := time.Now()
				errs[i] = n.storeRequest(t.Context(), jobTxn(i), nil)
				took[i] = time.Since(began)
			})
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		s.mu.Lock()
		sent := map[string]bool{}
		for _, txn := range s.sent {
			for _, c := range txn.Conditions {
				sent[c.Key.Name] = true
			}
		}
		s.mu.Unlock()
		for i, err := range errs {
			var notRun *NotRunError
			switch name := jobTxn(i).Conditions[0].Key.Name; {
			case sent[name] && !errors.Is(err, ErrUnconfirmed):
				t.Errorf("job %d was sent and is answered %v, want an unconfirmed outcome", i, err)
			case !sent[name] && (!errors.As(err, &notRun) || took[i] > pathWait+probeInterval):
				t.Errorf("job %d was not sent and is answered %v after %s, want *NotRunError soon", i, err, took[i])
			}
		}
		if len(sent) > 1 {
			t.Errorf("%d jobs were sent without an answer, want the first only", len(sent))
		}
		s.silent.Store(false)
		time.Sleep(probeTimeout + probeInterval)
		if err := n.storeRequest(t.Context(), jobTxn(99), nil); err != nil {
			t.Errorf("after the table service answers again: %v", err)
		}
		time.Sleep(maxCommitTimeout) // the last try of the first job ends
	})
}

// Guards against callers that are sent to an entry that cannot store anything: the load
// balancer's check asks the table service if nothing was heard of it. An entry whose calls
// are refused has a path, and answers each caller itself.
func TestEntryOnALostPathIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := newSilentStoreNode(t)
		_ = n.probeStore(t.Context())
		s.silent.Store(true)
		time.Sleep(2 * readyIdleLimit)
		if n.Ready(); !n.store.path.isLost() {
			t.Error("the path does not count as lost after a check on a silent table service")
		}
		s.silent.Store(false)
		time.Sleep(probeTimeout + probeInterval)
		if n.store.path.isLost() {
			t.Error("the path still counts as lost after an answer")
		}
		n.store.path.record(t.Context(), 0, fmt.Errorf("%w: status 503", store.ErrRefused))
		if n.store.path.isLost() {
			t.Error("a refusal counts as silence")
		}
	})
}

// Guards against a table service that is slow and taken for silent: after the first
// transactions have shown how slow it is, all submissions are stored and the entry is ready.
func TestSlowTableServiceIsNotALostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := newSilentStoreNode(t)
		for i := range 20 {
			if err := n.storeRequest(t.Context(), jobTxn(i), nil); err != nil {
				t.Fatal(err)
			}
		}
		s.delay.Store(int64(400 * time.Millisecond))
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				if err := n.storeRequest(t.Context(), jobTxn(100+i), nil); err != nil && i >= 20 {
					t.Errorf("job %d, 2 s or more after the service became slow: %v", i, err)
				}
			})
			if n.store.path.check(readyIdleLimit); i >= 20 && n.store.path.isLost() {
				t.Errorf("the path is lost at job %d", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		time.Sleep(maxCommitTimeout)
	})
}
