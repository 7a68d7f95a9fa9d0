package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// scriptedStore answers the first transactions with the given errors, and
// counts all of them.
type scriptedStore struct {
	store.Store
	mu      sync.Mutex
	answers []error // of the next transactions; further ones go to Store
	delay   time.Duration
	commits int
}

func (s *scriptedStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	s.mu.Lock()
	s.commits++
	var answer error
	scripted := len(s.answers) > 0
	if scripted {
		answer, s.answers = s.answers[0], s.answers[1:]
	}
	s.mu.Unlock()
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return store.Receipt{}, fmt.Errorf("%w: %w", store.ErrUnconfirmed, ctx.Err())
	}
	if scripted {
		return store.Receipt{}, answer
	}
	return s.Store.Commit(ctx, txn)
}

func newBatcher(delay time.Duration, answers ...error) (*writeBatcher, *scriptedStore) {
	mem, _ := newTestStore()
	s := &scriptedStore{Store: mem, delay: delay, answers: answers}
	return &writeBatcher{store: newTimedStore(s, NewBootClock())}, s
}

// jobTxn returns the transaction of a job in a partition that is the same for all jobs.
func jobTxn(id int) store.Txn {
	key := store.Key{Table: tables.Requests("p"), Partition: "jobs", Name: fmt.Sprintf("%016x", id)}
	return store.Txn{Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("job")}}}
}

// Guards against the load of a burst of jobs on a table service that is 60
// times slower (deploy/days/store.toml). One transaction per job was more than
// a partition could handle, and most jobs were refused.
func TestBurstSharesTransactions(t *testing.T) {
	b, s := newBatcher(100 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			if err := b.submit(t.Context(), jobTxn(i), nil); err != nil {
				t.Errorf("job %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	if s.commits > 5 {
		t.Errorf("%d transactions for 60 jobs that arrived together, want at most 5", s.commits)
	}
}

// Guards against a repeated job id whose conflict fails the other jobs of its
// transaction.
func TestRepeatedIDDoesNotFailOthers(t *testing.T) {
	b, _ := newBatcher(20 * time.Millisecond)
	if err := b.submit(t.Context(), jobTxn(1), nil); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			if err := b.submit(t.Context(), jobTxn(i), nil); err != nil {
				t.Errorf("job %d: %v", i, err)
			}
		})
	}
	wg.Wait()
}

// Guards against a false report that a request was not run: after a lost answer
// its write may have taken effect, so a later refusal proves nothing.
func TestRefusalAfterLostAnswerIsUnconfirmed(t *testing.T) {
	lost := errors.New("connection broken")
	b, _ := newBatcher(0, fmt.Errorf("%w: %w", store.ErrUnconfirmed, lost), store.ErrUnavailable, store.ErrUnavailable, store.ErrUnavailable,
		store.ErrUnavailable, store.ErrUnavailable, store.ErrUnavailable, store.ErrUnavailable, store.ErrUnavailable)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if err := b.submit(ctx, jobTxn(1), nil); !errors.Is(err, ErrUnconfirmed) {
		t.Fatalf("%v, want an unconfirmed outcome", err)
	}
}

// Guards against a caller that waits for its timeout although the table service
// has refused the write at once.
func TestRefusalIsAnsweredAtOnce(t *testing.T) {
	b, _ := newBatcher(0, store.ErrUnavailable)
	began := time.Now()
	var notRun *NotRunError
	if err := b.submit(t.Context(), jobTxn(1), nil); !errors.As(err, &notRun) || notRun.RetryAfter <= 0 {
		t.Fatalf("%v, want a refusal with a time to try again", err)
	}
	if time.Since(began) > submitTimeout/2 {
		t.Fatal("the refusal took more than half of submitTimeout")
	}
}

// Guards against a lost answer that is reported as a failure although the rows
// exist.
func TestLostAnswerOfASubmission(t *testing.T) {
	mem, s := newTestStore()
	mem.LoseAnswers(1)
	b := &writeBatcher{store: s}
	if err := b.submit(t.Context(), jobTxn(1), nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against refusing a request that a busy table service would accept on
// another try.
func TestBusyStoreIsRetried(t *testing.T) {
	b, _ := newBatcher(0, store.ErrBusy)
	if err := b.submit(t.Context(), jobTxn(1), nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against one request that the table service rejects and that fails the requests of
// other callers in its transaction, and against transactions above the permitted size.
func TestRejectedRequestDoesNotFailOthers(t *testing.T) {
	b, _ := newBatcher(20 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			txn := jobTxn(i)
			txn.Puts[0].Value = make([]byte, 64<<10) // 30 of them are over the size of a transaction
			if i == 7 {
				txn.Puts[0].Value = make([]byte, 64<<10+1)
			}
			err := b.submit(t.Context(), txn, nil)
			var notRun *NotRunError
			if i == 7 && !errors.As(err, &notRun) {
				t.Errorf("request with a row that is too large: %v, want *NotRunError", err)
			}
			if i != 7 && err != nil {
				t.Errorf("job %d: %v", i, err)
			}
		})
	}
	wg.Wait()
}

// Guards against a caller that tries again and again to submit a job whose description can
// never be stored.
func TestDescriptionThatDoesNotFitIsRefusedForGood(t *testing.T) {
	mem, s := newTestStore()
	n := newEntry("a", mem, s.clock)
	spec := oneStepJob("00000000000000aa")
	spec.Steps[0].Image = strings.Repeat("i", 64<<10)
	if err := n.Submit(t.Context(), Caller{Queue: n.operator.view.Catalog.Queues["q"]}, spec); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("%v, want ErrTooLarge", err)
	}
}
