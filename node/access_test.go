package node

import (
	"context"
	"errors"
	"testing"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// accessTest plays requests on two queues under changing declarations. Each entry has
// just started, so nothing is known from earlier requests.
type accessTest struct {
	t     *testing.T
	mem   *memstore.Store
	clock *testClock

	version int64
	open    bool   // the queue "q" needs no key
	prefix  string // of "q"
	pool    string // of "q"
	keys    map[string]string
}

const (
	accessHost  = "h"
	accessPath  = "/q/"
	closedPath  = "/closed/"
	accessJob   = "00000000000000aa"
	accessJobIn = "p"
)

func newAccessTest(t *testing.T) *accessTest {
	return &accessTest{t: t, mem: memstore.New(), clock: &testClock{}, pool: accessJobIn, prefix: accessPath, keys: map[string]string{"one": "key-one", "two": "key-two"}}
}

// call returns an entry that follows the present declarations, and an authorized call on a
// path, with the key of a workspace if one is given.
func (a *accessTest) call(path, workspace string) (*Node, Caller) {
	a.t.Helper()
	n := newEntry("entry", a.mem, a.clock)
	queues := []*catalog.Queue{
		{Name: "q", Host: accessHost, Prefix: a.prefix, Pool: a.pool, Open: a.open},
		{Name: "closed", Host: accessHost, Prefix: closedPath, Pool: accessJobIn},
	}
	var workspaces []*catalog.Workspace
	for name, key := range a.keys {
		workspaces = append(workspaces, &catalog.Workspace{Name: name, Keys: []string{key}})
	}
	a.version++
	n.operator.view = View{CurrentAt: a.clock.Now().Steady,
		Catalog: catalog.New(a.version, queues, []*catalog.Pool{{Name: "p"}, {Name: "r"}}, workspaces, catalog.Limits{})}
	c, err := n.Admit(accessHost, path+accessJob, a.keys[workspace])
	if err != nil {
		a.t.Fatalf("call on %s with the key of %q: %v", path, workspace, err)
	}
	return n, c
}

func (a *accessTest) submit(path, workspace string) error {
	a.t.Helper()
	n, c := a.call(path, workspace)
	return n.Submit(a.t.Context(), c, oneStepJob(accessJob))
}

// record has the owner of the job's pool record the progress of its jobs.
func (a *accessTest) record() {
	a.t.Helper()
	n := newEntry("owner", a.mem, a.clock)
	r := newPoolController(n, mustClaim(a.t, n.store, nodeA), 0, 0)
	if _, err := r.recover(a.t.Context()); err != nil {
		a.t.Fatal(err)
	}
	batch := r.pool.Cycle()
	if err := r.owner.commit(a.t.Context(), store.Txn{Puts: batch.Puts}); err != nil {
		a.t.Fatal(err)
	}
}

// expect checks whether a caller may see, and cancel, the job.
func (a *accessTest) expect(when, path, workspace string, visible bool) {
	a.t.Helper()
	n, c := a.call(path, workspace)
	want := error(nil)
	if !visible {
		want = ErrNoJob
	}
	if _, err := n.Status(a.t.Context(), c, accessJob); !errors.Is(err, want) {
		a.t.Errorf("%s: status at %s with the key of %q: %v, want %v", when, path, workspace, err, want)
	}
	if _, _, err := n.callerJob(a.t.Context(), c, accessJob); !errors.Is(err, want) {
		a.t.Errorf("%s: job of a cancellation at %s with the key of %q: %v, want %v", when, path, workspace, err, want)
	}
}

// Guards against jobs that nobody can see or cancel any more (LOST, review/6): their queue
// is opened, so that calls carry no key, while the jobs belong to the workspace whose key
// they were accepted with. The job is waiting, recorded, or in a pool that its queue has left.
func TestJobsOfAWorkspaceAreFoundOnAnOpenedQueue(t *testing.T) {
	for _, stage := range []string{"accepted", "recorded", "moved", "recorded and moved"} {
		t.Run(stage, func(t *testing.T) {
			a := newAccessTest(t)
			if err := a.submit(accessPath, "one"); err != nil {
				t.Fatal(err)
			}
			if stage == "recorded" || stage == "recorded and moved" {
				a.record()
			}
			a.expect("before", accessPath, "one", true)
			a.expect("before", accessPath, "two", false)
			a.open = true
			if stage == "moved" || stage == "recorded and moved" {
				a.pool = "r"
			}
			for _, workspace := range []string{"", "one", "two"} {
				a.expect("opened", accessPath, workspace, true)
				if err := a.submit(accessPath, workspace); err != nil {
					t.Errorf("opened: repeated submission with the key of %q: %v", workspace, err)
				}
			}
			a.expect("opened", closedPath, "two", false)
			if got := storedIn(t, a.mem, accessJob); len(got) != 1 {
				t.Errorf("the job is stored in pools %v, want one", got)
			}
			a.open = false
			a.expect("closed again", accessPath, "one", true)
			a.expect("closed again", accessPath, "two", false)
			a.open = true
			a.expect("opened again", accessPath, "", true)
			n, c := a.call(accessPath, "")
			if err := n.Cancel(t.Context(), c, accessJob); err != nil {
				t.Errorf("cancellation without a key: %v", err)
			}
			if _, ok, _ := store.Get(t.Context(), a.mem, tables.CancelKey(accessJobIn, accessJob)); !ok {
				t.Error("the cancellation does not reach the pool that holds the job")
			}
		})
	}
}

// Guards against jobs that are lost (LOST), or shown to other workspaces, when an open queue
// is closed: one that was accepted with a key stays that workspace's, one that was accepted
// without a key has no workspace and stays visible to all callers of the queue.
func TestJobsOfAnOpenQueueAreFoundOnceItIsClosed(t *testing.T) {
	for _, test := range []struct {
		acceptedWith string
		visibleTo    map[string]bool
	}{
		{"one", map[string]bool{"one": true, "two": false}},
		{"", map[string]bool{"one": true, "two": true}},
	} {
		for _, recorded := range []bool{false, true} {
			a := newAccessTest(t)
			a.open = true
			if err := a.submit(accessPath, test.acceptedWith); err != nil {
				t.Fatal(err)
			}
			if recorded {
				a.record()
			}
			a.open = false
			for workspace, visible := range test.visibleTo {
				a.expect("closed", accessPath, workspace, visible)
			}
		}
	}
}

// Guards against a key that was withdrawn, or never declared, with which calls on an open queue
// are served (CONFIG, "revoke" of REPORT-3). A call there needs no key.
func TestUnknownKeyIsRefusedOnAnOpenQueue(t *testing.T) {
	a := newAccessTest(t)
	a.open = true
	n, _ := a.call(accessPath, "one")
	for key, want := range map[string]error{"": nil, "key-one": nil, "withdrawn": ErrUnauthorized} {
		if _, err := n.Admit(accessHost, accessPath+accessJob, key); !errors.Is(err, want) {
			t.Errorf("call with the key %q: %v, want %v", key, err, want)
		}
	}
}

// Guards against an open queue that shows the jobs of another one, which is not open: a
// job of the same id was accepted there, in the pool that both queues use.
func TestOpenQueueShowsNoJobOfAnotherQueue(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		a := newAccessTest(t)
		a.open = true
		if err := a.submit(closedPath, "one"); err != nil {
			t.Fatal(err)
		}
		if recorded {
			a.record()
		}
		for _, workspace := range []string{"", "two"} {
			a.expect("same id", accessPath, workspace, false)
		}
		a.expect("same id", closedPath, "one", true)
	}
}

// Guards against jobs of an earlier build, which have no location, that are lost once
// their queue is opened, and against an open queue that shows those of other queues.
func TestJobsOfAnEarlierBuildAreFoundOnAnOpenedQueue(t *testing.T) {
	for _, queue := range []string{"q", "closed"} {
		a := newAccessTest(t)
		spec := oneStepJob(accessJob)
		spec.Queue, spec.Workspace = queue, "one"
		value, err := job.EncodeSpec(spec)
		if err != nil {
			t.Fatal(err)
		}
		legacy := store.Key{Table: tables.Requests(accessJobIn), Partition: accessJobIn + "#3", Name: accessJob}
		if _, err := a.mem.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: legacy, Value: value}}}); err != nil {
			t.Fatal(err)
		}
		a.record()
		for _, pool := range []string{"p", "r"} {
			a.pool, a.open = pool, true
			a.expect("opened, in "+pool, accessPath, "", queue == "q")
			a.open = false
			a.expect("closed, in "+pool, accessPath, "two", false)
		}
	}
}

// Guards against a workspace that is told that its job is accepted, and then that no such
// job exists: the id belongs to a job of another workspace.
func TestSubmissionOfAnotherWorkspacesIDIsRefused(t *testing.T) {
	a := newAccessTest(t)
	if err := a.submit(accessPath, "one"); err != nil {
		t.Fatal(err)
	}
	if err := a.submit(accessPath, "two"); !errors.Is(err, ErrIDInUse) {
		t.Errorf("submission of workspace two: %v, want %v", err, ErrIDInUse)
	}
	if err := a.submit(accessPath, "one"); err != nil {
		t.Errorf("repeated submission of workspace one: %v", err)
	}
	a.keys["one"] = "key-one-replaced"
	a.expect("key replaced", accessPath, "one", true)
	if err := a.submit(accessPath, "one"); err != nil {
		t.Errorf("repeated submission with another key of workspace one: %v", err)
	}
}

// Guards against a job that is answered 200 and never runs, and one that is shown at a queue
// where it was never submitted (LOST, MIXED): a workspace uses one id on two queues of a pool.
func TestIDOnTwoQueuesOfAPool(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		a := newAccessTest(t)
		if err := a.submit(closedPath, "one"); err != nil {
			t.Fatal(err)
		}
		if recorded {
			a.record()
		}
		a.expect("before", closedPath, "one", true)
		a.expect("never submitted", accessPath, "one", false)
		if err := a.submit(accessPath, "one"); !errors.Is(err, ErrIDInUse) {
			t.Errorf("recorded %v: submission at the other queue: %v, want %v", recorded, err, ErrIDInUse)
		}
		if err := a.submit(closedPath, "one"); err != nil {
			t.Errorf("recorded %v: repeated submission: %v", recorded, err)
		}
		a.pool = "r" // the other queue is now in another pool, where the id is free
		if err := a.submit(accessPath, "one"); err != nil {
			t.Errorf("recorded %v: submission in another pool: %v", recorded, err)
		}
		a.pool = accessJobIn
		a.expect("both", closedPath, "one", true)
		a.expect("both", accessPath, "one", true)
		n, c := a.call(accessPath, "one")
		if err := n.Cancel(t.Context(), c, accessJob); err != nil {
			t.Fatal(err)
		}
		for pool, want := range map[string]bool{"p": false, "r": true} {
			if _, got, _ := store.Get(t.Context(), a.mem, tables.CancelKey(pool, accessJob)); got != want {
				t.Errorf("recorded %v: the job in %s is cancelled: %v, want %v", recorded, pool, got, want)
			}
		}
	}
}

// Guards against a job that is lost (LOST) when the address of its queue changes.
func TestJobIsFoundAtTheNewAddressOfItsQueue(t *testing.T) {
	a := newAccessTest(t)
	if err := a.submit(accessPath, "one"); err != nil {
		t.Fatal(err)
	}
	a.record()
	a.prefix = "/new/"
	a.expect("new address", "/new/", "one", true)
	a.expect("new address", "/new/", "two", false)
	if err := a.submit("/new/", "one"); err != nil {
		t.Errorf("repeated submission at the new address: %v", err)
	}
	if got := storedIn(t, a.mem, accessJob); len(got) != 1 {
		t.Errorf("the job is stored in pools %v, want one", got)
	}
}
