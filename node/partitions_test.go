package node

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// bubbleClock reads the time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() pool.Time {
	d := time.Since(c.start)
	return pool.Time{Steady: d, Wall: c.start.UnixMilli() + d.Milliseconds()}
}

// newEntry returns an entry with a queue q of pool p and nothing else.
func newEntry(name string, s store.Store, clock Clock) *Node {
	n := New(Options{Settings: Settings{Self: Member{Node: name, Incarnation: name}}, Store: s, Clock: clock, Log: zap.NewNop()})
	n.operator.view = View{Catalog: catalog.New(1, []*catalog.Queue{{Name: "q", Pool: "p", Open: true}}, []*catalog.Pool{{Name: "p"}}, nil, catalog.Limits{})}
	return n
}

func oneStepJob(id string) *job.Spec {
	return &job.Spec{ID: id, Steps: []job.Step{{Count: 1, Need: fleet.Resources{MilliCPU: 1000}}}}
}

// Guards against the load of a demand peak on a fleet of hundreds of VMs
// (lantern-sched-large quiet-1): 150 entries submit 200 jobs per second to one pool.
// In one partition, which carries out 200 transactions per second, they delayed the
// transactions of the pool's owner by half a second, and most jobs were late.
func TestSubmissionsOfManyEntriesDoNotDelayTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetTxnTime(5 * time.Millisecond)
		clock := bubbleClock{time.Now()}
		const entries, period, peak = 150, 5 * time.Millisecond, 4 * time.Second
		ctx := t.Context()
		var mu sync.Mutex
		var submits, commits []time.Duration
		var callers, ownerLoop sync.WaitGroup
		var peakOver atomic.Bool
		owner := newEntry("owner", mem, clock)
		o, err := readOwner(ctx, owner.store, "p")
		if err != nil {
			t.Fatal(err)
		}
		if err := o.claim(ctx, owner.settings.Self); err != nil {
			t.Fatal(err)
		}
		ownerLoop.Go(func() {
			for !peakOver.Load() {
				began := time.Now()
				if err := o.commit(ctx, store.Txn{}); err != nil {
					t.Errorf("commit of the owner: %v", err)
				}
				commits = append(commits, time.Since(began))
				time.Sleep(minCycleInterval)
			}
		})
		nodes := make([]*Node, entries)
		for i := range nodes {
			nodes[i] = newEntry(fmt.Sprint("entry-", i), mem, clock)
		}
		queue := nodes[0].operator.view.Catalog.Queues["q"]
		for i := range int(peak / period) {
			callers.Go(func() {
				began := time.Now()
				if err := nodes[i%entries].Submit(ctx, Caller{Queue: queue}, oneStepJob(fmt.Sprintf("%016x", i*7919))); err != nil {
					t.Errorf("submission: %v", err)
				}
				mu.Lock()
				submits = append(submits, time.Since(began))
				mu.Unlock()
			})
			time.Sleep(period)
		}
		callers.Wait()
		peakOver.Store(true)
		ownerLoop.Wait()
		slices.Sort(submits)
		slices.Sort(commits)
		if worst := commits[len(commits)*99/100]; worst > 50*time.Millisecond {
			t.Errorf("99 in 100 commits of the owner take up to %v, want at most 50 ms", worst)
		}
		if worst := submits[len(submits)*99/100]; worst > 100*time.Millisecond {
			t.Errorf("99 in 100 submissions take up to %v, want at most 100 ms", worst)
		}
	})
}

// Guards against a job that is unknown, or cannot be cancelled, between its
// acceptance and the first record of its pool's owner.
func TestJobIsKnownBeforeItsOwnerHasSeenIt(t *testing.T) {
	mem, clock := newTestStore()
	n := newEntry("a", mem, clock.clock)
	c := Caller{Queue: n.operator.view.Catalog.Queues["q"]}
	const id = "00000000000000aa"
	if _, err := n.Status(t.Context(), c, id); err != ErrNoJob {
		t.Fatalf("status of a job that does not exist: %v, want ErrNoJob", err)
	}
	if err := n.Submit(t.Context(), c, oneStepJob(id)); err != nil {
		t.Fatal(err)
	}
	state, err := n.Status(t.Context(), c, id)
	if err != nil || state != job.Queued {
		t.Fatalf("state %v, error %v; want queued", state, err)
	}
	if err := n.Cancel(t.Context(), c, id); err != nil {
		t.Fatal(err)
	}
	if row, ok, _ := store.Get(t.Context(), mem, tables.CancelKey("p", id)); !ok || row.Partition != tables.JobKey("p", id).Partition {
		t.Fatal("the cancellation is not stored beside the job")
	}
}

// Guards against a finished job that runs again after a takeover: its progress must
// not be deleted while its request exists. And against requests that stay for ever.
func TestRequestsOfExpiredJobsAreDeletedFirst(t *testing.T) {
	mem, s := newTestStore()
	n := newEntry("a", mem, s.clock)
	c := Caller{Queue: n.operator.view.Catalog.Queues["q"]}
	for i := range 40 {
		if err := n.Submit(t.Context(), c, oneStepJob(fmt.Sprintf("%016x", i))); err != nil {
			t.Fatal(err)
		}
	}
	var jobs []*job.Spec
	for _, span := range tables.RequestSpans("p") {
		page, err := store.All(t.Context(), mem, tables.Requests("p"), span)
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range page.Rows {
			spec, err := job.DecodeSpec(row.Value)
			if err != nil {
				t.Fatal(err)
			}
			spec.Stored = []store.Condition{{Key: row.Key, Version: row.Version}}
			jobs = append(jobs, spec)
		}
	}
	if len(jobs) != 40 {
		t.Fatalf("%d jobs are stored, want 40", len(jobs))
	}
	r := &poolController{node: n, name: "p"}
	for try, lost := range []int{1, 0} { // the second try meets what the first has deleted
		mem.LoseAnswers(lost)
		failed := 0
		for _, txn := range expiryTxns(jobs) {
			if _, err := r.deleteRequests(t.Context(), txn); err != nil {
				failed++
			}
		}
		if failed != lost {
			t.Fatalf("try %d: %d transactions failed, want %d", try, failed, lost)
		}
	}
	for i := range 40 {
		if _, ok, _ := store.Get(t.Context(), mem, tables.LocationKey("", "", fmt.Sprintf("%016x", i))); ok {
			t.Fatalf("the location of job %d is left", i)
		}
	}
	if err := n.Submit(t.Context(), c, oneStepJob(fmt.Sprintf("%016x", 7))); err != nil {
		t.Fatal(err)
	}
	for _, txn := range expiryTxns(jobs) {
		_, _ = r.deleteRequests(t.Context(), txn) // as if carried out late
	}
	if _, ok, _ := store.Get(t.Context(), mem, tables.JobKey("p", fmt.Sprintf("%016x", 7))); !ok {
		t.Fatal("a late deletion removed a later job of the same id")
	}
}

// Guards against requests that stay for ever: a deletion without an answer has taken effect,
// and its jobs meet others, whose requests exist, in the next transactions.
func TestDeletedRequestsDoNotKeepOthers(t *testing.T) {
	mem, s := newTestStore()
	n := newEntry("a", mem, s.clock)
	c := Caller{Queue: n.operator.view.Catalog.Queues["q"]}
	var jobs []*job.Spec
	for i := range 40 {
		spec := oneStepJob(fmt.Sprintf("%016x", i))
		if err := n.Submit(t.Context(), c, spec); err != nil {
			t.Fatal(err)
		}
		row, _, err := store.Get(t.Context(), mem, tables.JobKey("p", spec.ID))
		if err != nil {
			t.Fatal(err)
		}
		spec.Stored = []store.Condition{{Key: row.Key, Version: row.Version}}
		jobs = append(jobs, spec)
	}
	r := &poolController{node: n, name: "p"}
	for _, txn := range expiryTxns(jobs[:20]) {
		mem.LoseAnswers(1)
		if left, err := r.deleteRequests(t.Context(), txn); err == nil || len(left) != len(txn.ids) {
			t.Fatalf("a deletion without an answer: %v are left, error %v; want all", left, err)
		}
	}
	remaining := jobs
	for range 2 {
		var next []*job.Spec
		for _, txn := range expiryTxns(remaining) {
			left, _ := r.deleteRequests(t.Context(), txn) // what is left is tried again
			for _, spec := range remaining {
				if slices.Contains(left, spec.ID) {
					next = append(next, spec)
				}
			}
		}
		remaining = next
	}
	if len(remaining) != 0 {
		t.Errorf("the requests of %d jobs are left after two rounds", len(remaining))
	}
	for _, spec := range jobs {
		if _, ok, _ := store.Get(t.Context(), mem, tables.JobKey("p", spec.ID)); ok {
			t.Errorf("the request of job %s exists", spec.ID)
		}
	}
}
