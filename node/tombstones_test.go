package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// lateStore leaves transactions without an answer, and carries them out when deliver is
// called, if their conditions still hold.
type lateStore struct {
	*memstore.Store

	mu     sync.Mutex
	silent bool
	held   []store.Txn
}

func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	s.mu.Lock()
	if !s.silent {
		s.mu.Unlock()
		return s.Store.Commit(ctx, txn)
	}
	s.held = append(s.held, txn)
	s.mu.Unlock()
	<-ctx.Done()
	return store.Receipt{}, store.ErrUnconfirmed
}

func (s *lateStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// deliver carries out the transactions that had no answer.
func (s *lateStore) deliver(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	if len(held) == 0 {
		t.Fatal("no transaction was left without an answer")
	}
	for _, txn := range held {
		var conflict *store.ConflictError
		if _, err := s.Store.Commit(t.Context(), txn); err != nil && !errors.As(err, &conflict) {
			t.Fatal(err)
		}
	}
}

// submitUnanswered hands a job in at an entry that the table service leaves without answers.
func (a *accessTest) submitUnanswered(s *lateStore, path, workspace string) {
	a.t.Helper()
	n, c := a.call(path, workspace)
	late := newEntry("late", s, a.clock)
	late.operator.view = n.operator.view
	s.setSilent(true)
	defer s.setSilent(false)
	ctx, cancel := context.WithTimeout(a.t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := late.Submit(ctx, c, oneStepJob(accessJob)); !errors.Is(err, ErrUnconfirmed) {
		a.t.Fatalf("submission without an answer: %v, want %v", err, ErrUnconfirmed)
	}
}

func (a *accessTest) cancel(path, workspace string) error {
	a.t.Helper()
	n, c := a.call(path, workspace)
	return n.Cancel(a.t.Context(), c, accessJob)
}

// running returns the pools whose next owner would run the job.
func (a *accessTest) running() []string {
	a.t.Helper()
	var list []string
	for _, pool := range []string{"p", "r"} {
		for id, state := range a.jobsOf(pool) {
			if id == accessJob && !state.Final() {
				list = append(list, pool)
			}
		}
	}
	return list
}

// jobsOf returns the states of the jobs of a pool, as its next owner records them.
func (a *accessTest) jobsOf(pool string) map[string]job.State {
	a.t.Helper()
	n := newEntry("owner", a.mem, a.clock)
	o, err := readOwner(a.t.Context(), n.store, pool)
	if err != nil {
		a.t.Fatal(err)
	}
	if err := o.claim(a.t.Context(), nodeA); err != nil {
		a.t.Fatal(err)
	}
	r := newPoolController(n, o, 0, 0)
	if _, err := r.recover(a.t.Context()); err != nil {
		a.t.Fatal(err)
	}
	batch := r.pool.Cycle()
	if err := r.owner.commit(a.t.Context(), store.Txn{Puts: batch.Puts}); err != nil {
		a.t.Fatal(err)
	}
	page, err := store.All(a.t.Context(), a.mem, tables.Progress, store.Span{Partition: pool})
	if err != nil {
		a.t.Fatal(err)
	}
	states := map[string]job.State{}
	for _, row := range page.Rows {
		view, err := job.DecodeState(row.Value)
		if err != nil {
			a.t.Fatal(err)
		}
		states[row.Name] = view.State
	}
	return states
}

// Guards against a job that runs although its cancellation was acknowledged (UNASKED,
// review/14): no such job was stored yet, and its submission is carried out later.
func TestLateSubmissionOfACancelledJobNeverRuns(t *testing.T) {
	for _, test := range []struct {
		name          string
		open          bool
		submit        string // workspace of the submission
		cancel        string
		moved         bool // the queue moves to another pool in between
		closedBetween bool // the queue needs a key from then on
	}{
		{name: "own job", submit: "one", cancel: "one"},
		{name: "moved queue", submit: "one", cancel: "one", moved: true},
		{name: "open queue", open: true},
		{name: "open queue, job of a workspace", open: true, submit: "one", cancel: "two"},
		{name: "closed queue", open: true, submit: "one", cancel: "one", closedBetween: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAccessTest(t)
			late := &lateStore{Store: a.mem}
			a.open = test.open
			a.submitUnanswered(late, accessPath, test.submit)
			if test.moved {
				a.pool = "r"
			}
			a.open = test.open && !test.closedBetween
			if err := a.cancel(accessPath, test.cancel); !errors.Is(err, ErrNoJob) {
				t.Fatalf("cancellation of a job that is not stored: %v, want %v", err, ErrNoJob)
			}
			late.deliver(t)
			if got := a.running(); len(got) > 0 {
				t.Fatalf("the job runs in pools %v after its cancellation", got)
			}
			a.expect("after the cancellation", accessPath, test.cancel, false)

			// It arrives again: it is one job, and it is cancelled.
			if err := a.submit(accessPath, test.submit); err != nil {
				t.Fatalf("submission that arrives again: %v", err)
			}
			if got := a.running(); len(got) > 0 {
				t.Fatalf("the job runs in pools %v when it arrives again", got)
			}
			n, c := a.call(accessPath, test.submit)
			if state, err := n.Status(t.Context(), c, accessJob); err != nil || state != job.Cancelled {
				t.Errorf("status of the job that arrived again: %v, %v; want cancelled", state, err)
			}
			if err := a.submit(accessPath, test.submit); err != nil {
				t.Errorf("submission that arrives once more: %v", err)
			}
		})
	}
}

// Guards against a cancellation that reaches a job of another workspace, which uses the same
// id: handed in before or after, or carried out late.
func TestTombstoneHoldsForItsWorkspaceOnly(t *testing.T) {
	for _, stage := range []string{"before", "late", "after"} {
		t.Run(stage, func(t *testing.T) {
			a := newAccessTest(t)
			late := &lateStore{Store: a.mem}
			switch stage {
			case "before":
				if err := a.submit(accessPath, "one"); err != nil {
					t.Fatal(err)
				}
			case "late":
				a.submitUnanswered(late, accessPath, "one")
			}
			if err := a.cancel(accessPath, "two"); !errors.Is(err, ErrNoJob) {
				t.Fatalf("cancellation of workspace two: %v, want %v", err, ErrNoJob)
			}
			switch stage {
			case "late":
				late.deliver(t)
			case "after":
				if err := a.submit(accessPath, "one"); err != nil {
					t.Fatal(err)
				}
			}
			if got := a.running(); len(got) != 1 {
				t.Errorf("the job runs in pools %v, want one", got)
			}
			a.expect("after", accessPath, "one", true)
			a.expect("after", accessPath, "two", false)
		})
	}
}

// Guards against a cancellation without an answer that is lost with it (UNASKED): the table
// service does not carry it out, or late, when the job has been stored meanwhile. The caller
// does not ask again.
func TestUnansweredCancellationIsRepeated(t *testing.T) {
	for _, test := range []struct {
		name              string
		stored, delivered bool // the job is stored before; the cancellation is carried out late
	}{
		{name: "stored", stored: true},
		{name: "stored meanwhile"},
		{name: "stored meanwhile, delivered", delivered: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAccessTest(t)
			late := &lateStore{Store: a.mem}
			if test.stored {
				if err := a.submit(accessPath, "one"); err != nil {
					t.Fatal(err)
				}
			}
			n, c := a.call(accessPath, "one")
			entry := newEntry("late", late, a.clock)
			entry.operator.view = n.operator.view
			late.setSilent(true)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			if err := entry.Cancel(ctx, c, accessJob); !errors.Is(err, ErrUnconfirmed) {
				t.Fatalf("cancellation without an answer: %v, want %v", err, ErrUnconfirmed)
			}
			if err := a.submit(accessPath, "one"); err != nil {
				t.Fatal(err)
			}
			if test.delivered {
				late.deliver(t)
			}
			late.setSilent(false)
			deadline := time.Now().Add(5 * time.Second)
			for len(a.running()) > 0 {
				if time.Now().After(deadline) {
					t.Fatal("the job still runs 5 s after the table service answers again")
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// Guards against tombstones that stay in the table service for ever, or not as long as a late
// submission and a finished job do, and against a caller who fills it with them.
func TestTombstonesAreBoundedAndDeleted(t *testing.T) {
	a := newAccessTest(t)
	n, c := a.call(accessPath, "one")
	refused := 0
	for i := range 300 {
		var notRun *NotRunError
		err := n.Cancel(t.Context(), c, fmt.Sprintf("%016x", i))
		switch {
		case errors.As(err, &notRun) && notRun.RetryAfter > 0:
			refused++
		case !errors.Is(err, ErrNoJob):
			t.Fatalf("cancellation %d: %v", i, err)
		}
	}
	if refused != 300-maxTombstoneBurst {
		t.Errorf("%d of 300 cancellations of unknown jobs at a time were refused, want %d", refused, 300-maxTombstoneBurst)
	}
	if _, two := a.call(accessPath, "two"); !errors.Is(n.Cancel(t.Context(), two, accessJob), ErrNoJob) {
		t.Error("a cancellation of another workspace was refused")
	}
	count := func() int {
		total := 0
		for i := range 16 {
			page, err := store.All(t.Context(), a.mem, tables.Jobs, store.Span{Partition: fmt.Sprintf("jobs-%02d", i)})
			if err != nil {
				t.Fatal(err)
			}
			total += len(page.Rows)
		}
		return total
	}
	if got := count(); got != maxTombstoneBurst+1 {
		t.Fatalf("%d tombstones are stored, want %d", got, maxTombstoneBurst+1)
	}

	owner := newEntry("owner", a.mem, a.clock)
	owner.settings.Scheduler.StatusRetention = 2 * time.Minute
	r := newPoolController(owner, mustClaim(t, owner.store, nodeA), 0, 0)
	if _, err := r.recover(t.Context()); err != nil {
		t.Fatal(err)
	}
	round := func() {
		r.deleteTombstones(t.Context(), a.clock.Now().Steady)
		for r.tombstones.running {
			(<-r.events)(r.pool)
		}
	}
	a.clock.advance(2 * time.Minute)
	round()
	if got := count(); got != maxTombstoneBurst+1 {
		t.Fatalf("%d tombstones are left after the retention of finished jobs, want %d", got, maxTombstoneBurst+1)
	}
	a.clock.advance(lateTxnBound + time.Second)
	round()
	if got := count(); got != 0 || len(r.tombstones.stored) != 0 {
		t.Errorf("%d tombstones are left, and %d are known, want none", got, len(r.tombstones.stored))
	}
	if err := a.submit(accessPath, "one"); err != nil {
		t.Fatal(err)
	}
	if got := a.running(); len(got) != 1 {
		t.Errorf("a job that is handed in later runs in pools %v, want one", got)
	}
}
