package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// entryWithQueueIn returns an entry that has just started and whose catalog assigns the
// queue q to a pool.
func entryWithQueueIn(pool string, s store.Store, clock Clock) (*Node, Caller) {
	n := newEntry("entry", s, clock)
	pools := []*catalog.Pool{{Name: "p"}, {Name: "r"}, {Name: "s"}}
	n.operator.view = View{Catalog: catalog.New(1, []*catalog.Queue{{Name: "q", Pool: pool, Open: true}}, pools, nil, catalog.Limits{})}
	return n, Caller{Queue: n.operator.view.Catalog.Queues["q"]}
}

// storedIn returns the pools in which a job is stored.
func storedIn(t *testing.T, mem store.Store, id string) []string {
	t.Helper()
	var pools []string
	for _, pool := range []string{"p", "r", "s"} {
		if _, ok, err := store.Get(t.Context(), mem, tables.JobKey(pool, id)); err != nil {
			t.Fatal(err)
		} else if ok {
			pools = append(pools, pool)
		}
	}
	return pools
}

// Guards against a job that runs a second time (TWICE): its queue moves to another pool,
// and the submission arrives again at an entry that has started since.
func TestRepeatedSubmissionAfterAMoveIsOneJob(t *testing.T) {
	mem, s := newTestStore()
	const id = "00000000000000aa"
	before, caller := entryWithQueueIn("p", mem, s.clock)
	if err := before.Submit(t.Context(), caller, oneStepJob(id)); err != nil {
		t.Fatal(err)
	}
	after, caller := entryWithQueueIn("r", mem, s.clock)
	if err := after.Submit(t.Context(), caller, oneStepJob(id)); err != nil {
		t.Fatalf("repeated submission: %v, want success", err)
	}
	if got := storedIn(t, mem, id); len(got) != 1 || got[0] != "p" {
		t.Fatalf("the job is stored in pools %v, want p only", got)
	}
	if state, err := after.Status(t.Context(), caller, id); err != nil || state != job.Queued {
		t.Errorf("status after the move: %v, %v; want queued", state, err)
	}
	if err := after.Cancel(t.Context(), caller, id); err != nil {
		t.Fatal(err)
	}
	if _, ok, _ := store.Get(t.Context(), mem, tables.CancelKey("p", id)); !ok {
		t.Error("the cancellation does not reach the pool that holds the job")
	}
}

// Guards against a job in two pools (TWICE): entries with older and newer declarations
// take its submission at the same time, some with lost answers, and one waits for an
// answer that it does not get.
func TestSubmissionsDuringAMoveAreOneJob(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		mem, s := newTestStore()
		mem.LoseAnswers(random.IntN(3))
		const id = "00000000000000aa"
		var wg sync.WaitGroup
		for i := range 2 + random.IntN(5) {
			n, caller := entryWithQueueIn([]string{"p", "r", "s"}[random.IntN(3)], mem, s.clock)
			wg.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if i%3 == 2 {
					cancel()
				}
				var notRun *NotRunError
				if err := n.Submit(ctx, caller, oneStepJob(id)); err != nil && !errors.Is(err, ErrUnconfirmed) && !errors.As(err, &notRun) {
					t.Errorf("submission: %v", err)
				}
			})
		}
		wg.Wait()
		if got := storedIn(t, mem, id); len(got) > 1 {
			t.Fatalf("the job is stored in pools %v, want one", got)
		}
	}
}

// Guards against a job that is answered 200 and never runs (LOST): callers of two queues
// choose the same id. The queues are in different pools; then one moves to the other's.
func TestSameIDAtTwoQueuesIsTwoJobs(t *testing.T) {
	mem, s := newTestStore()
	const id = "00000000000000aa"
	entry := func(secondIn string) (n *Node, first, second Caller) {
		n = newEntry("entry", mem, s.clock)
		queues := []*catalog.Queue{{Name: "first", Host: "h", Prefix: "/first/", Pool: "p"}, {Name: "second", Host: "h", Prefix: "/second/", Pool: secondIn}}
		n.operator.view = View{Catalog: catalog.New(1, queues, []*catalog.Pool{{Name: "p"}, {Name: "r"}}, nil, catalog.Limits{})}
		return n, Caller{Queue: queues[0], Workspace: "one"}, Caller{Queue: queues[1], Workspace: "two"}
	}
	n, first, second := entry("r")
	for _, c := range []Caller{first, second} {
		if err := n.Submit(t.Context(), c, oneStepJob(id)); err != nil {
			t.Fatal(err)
		}
	}
	if got := storedIn(t, mem, id); len(got) != 2 {
		t.Fatalf("the jobs are stored in pools %v, want p and r", got)
	}
	n, first, second = entry("p")
	for _, c := range []Caller{first, second} {
		if err := n.Submit(t.Context(), c, oneStepJob(id)); err != nil {
			t.Fatalf("repeated submission: %v", err)
		}
		if state, err := n.Status(t.Context(), c, id); err != nil || state != job.Queued {
			t.Errorf("status at %s after the move: %v, %v; want queued", c.Queue.Name, state, err)
		}
	}
	if got := storedIn(t, mem, id); len(got) != 2 {
		t.Fatalf("after the move the jobs are stored in pools %v, want p and r", got)
	}
	if err := n.Cancel(t.Context(), second, id); err != nil {
		t.Fatal(err)
	}
	for pool, want := range map[string]bool{"p": false, "r": true} {
		if _, got, _ := store.Get(t.Context(), mem, tables.CancelKey(pool, id)); got != want {
			t.Errorf("the job in %s is cancelled: %v, want %v", pool, got, want)
		}
	}
}

// Guards against requests of another pool in the same table that an owner takes for its
// own, and against rows of earlier builds, named by the job alone, that are not found.
func TestOwnerReadsTheRequestsOfItsPoolOnly(t *testing.T) {
	mem := memstore.New()
	clock := &testClock{}
	put := func(key store.Key, spec *job.Spec) {
		t.Helper()
		value, err := job.EncodeSpec(spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := mem.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	const own, legacy = "00000000000000a1", "00000000000000a2"
	put(tables.JobKey("p", own), oneStepJob(own))
	put(store.Key{Table: tables.Requests("p"), Partition: "p#3", Name: legacy}, oneStepJob(legacy))
	for i, other := range []string{"p2", "p/x", "o", "pp"} {
		id := fmt.Sprintf("%016x", 0xb0+i)
		key := tables.JobKey(other, id)
		key.Table = tables.Requests("p") // as if the pools shared a table
		put(key, oneStepJob(id))
	}
	n := newEntry("a", mem, clock)
	r := newPoolController(n, mustClaim(t, n.store, nodeA), 0, 0)
	if _, err := r.recover(t.Context()); err != nil {
		t.Fatal(err)
	}
	r.pool.Configure(n.operator.view.Catalog)
	known := map[string]bool{}
	for _, put := range r.pool.Cycle().Puts {
		if put.Key.Table == tables.Progress {
			known[put.Key.Name] = true
		}
	}
	if len(known) != 2 || !known[own] || !known[legacy] {
		t.Fatalf("the owner knows jobs %v, want the two of its pool", known)
	}
}

// Guards against a finished job that runs again after an upgrade: it is stored both where
// an earlier build put it and under its location, and only one row was deleted.
func TestBothRowsOfAJobAreDeletedAfterAnUpgrade(t *testing.T) {
	mem := memstore.New()
	n, caller := entryWithQueueIn("p", mem, &testClock{})
	const id = "00000000000000a1"
	legacy := store.Key{Table: tables.Requests("p"), Partition: "p#3", Name: id}
	value, err := job.EncodeSpec(oneStepJob(id))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := mem.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: legacy, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	if err := n.Submit(t.Context(), caller, oneStepJob(id)); err != nil {
		t.Fatal(err)
	}
	r := newPoolController(n, mustClaim(t, n.store, nodeA), 0, 0)
	if _, err := r.recover(t.Context()); err != nil {
		t.Fatal(err)
	}
	r.pool.Cancel(id)
	r.pool.Advance(pool.Time{Steady: 1, Wall: 1})
	for _, txn := range expiryTxns(r.pool.ExpiredJobs(10)) {
		if _, err := r.deleteRequests(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
	}
	for _, key := range []store.Key{legacy, tables.JobKey("p", id), tables.LocationKey("", "", id)} {
		if _, ok, _ := store.Get(t.Context(), mem, key); ok {
			t.Errorf("row %v is left", key)
		}
	}
}

// Guards against a backlog that nobody counts (MIXED): its queue has moved, and only the
// owner of the pool that it has left knows the waiting jobs. Another owner follows, then the
// queue moves on, and back.
func TestWaitingJobsAreCountedAfterAMove(t *testing.T) {
	mem, s := newTestStore()
	clock := s.clock.(*testClock)
	waitingAt := func(pool string) int {
		t.Helper()
		clock.advance(2 * movedQueuesAge)
		n, caller := entryWithQueueIn(pool, mem, clock) // has just started
		waiting, err := n.Waiting(t.Context(), caller)
		if err != nil {
			t.Fatal(err)
		}
		return waiting
	}
	before, caller := entryWithQueueIn("p", mem, clock)
	for i := range 7 {
		if err := before.Submit(t.Context(), caller, oneStepJob(fmt.Sprintf("%016x", i))); err != nil {
			t.Fatal(err)
		}
	}
	own := func(now string, cancel int) {
		t.Helper()
		n, _ := entryWithQueueIn(now, mem, clock)
		r := newPoolController(n, mustClaim(t, n.store, nodeA), 0, 0)
		if _, err := r.recover(t.Context()); err != nil {
			t.Fatal(err)
		}
		r.pool.Configure(n.operator.view.Catalog)
		for i := range cancel {
			r.pool.Cancel(fmt.Sprintf("%016x", i))
		}
		batch := r.pool.Cycle()
		if err := r.owner.commit(t.Context(), store.Txn{Puts: batch.Puts}); err != nil {
			t.Fatal(err)
		}
		if err := r.movedQueues.write(t.Context(), r.pool.WaitingElsewhere()); err != nil {
			t.Fatal(err)
		}
	}
	own("p", 0)
	if got := waitingAt("p"); got != 7 {
		t.Fatalf("%d waiting jobs before the move, want 7", got)
	}
	for _, now := range []string{"r", "r", "s"} {
		own(now, 0)
		if got := waitingAt(now); got != 7 {
			t.Errorf("%d waiting jobs while the queue is in %s, want 7", got, now)
		}
	}
	own("s", 3)
	if got := waitingAt("s"); got != 4 {
		t.Errorf("%d waiting jobs after three were cancelled, want 4", got)
	}
	own("p", 0)
	if got := waitingAt("p"); got != 4 {
		t.Errorf("%d waiting jobs after the queue has moved back, want 4", got)
	}
}
