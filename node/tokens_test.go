package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
)

// countedVMs counts the starts and the refused renewals.
type countedVMs struct {
	*restartingVMs
	starts         atomic.Int64
	fencedRenewals atomic.Int64
	slowStart      int64 // number of the start that takes delay to reach its VM; 0 if none does
	delay          time.Duration
	fenceStarts    bool // all starts are refused
}

func (c *countedVMs) Renew(ctx context.Context, ref WorkerRef, r Renewal) (RenewalAnswer, error) {
	a, err := c.restartingVMs.Renew(ctx, ref, r)
	if errors.Is(err, ErrFenced) {
		c.fencedRenewals.Add(1)
	}
	return a, err
}

func (c *countedVMs) Start(ctx context.Context, ref WorkerRef, o StartOrder) StartAnswer {
	if c.starts.Add(1) == c.slowStart {
		sleep(ctx, c.delay)
	}
	if c.fenceStarts {
		return StartAnswer{Result: pool.StartFenced}
	}
	return c.restartingVMs.Start(ctx, ref, o)
}

// tokenFixture is a restartFixture whose first owner has been replaced by another one.
type tokenFixture struct {
	*restartFixture
	counted *countedVMs // the VMs of the present owner
	owner   *Node
	ended   atomic.Bool // the owner has ended before the test
	err     error       // with which it has ended
}

func newTokenFixture(t *testing.T) *tokenFixture {
	f := &tokenFixture{restartFixture: newRestartFixture(t)}
	f.counted = &countedVMs{restartingVMs: f.vms}
	f.owner = newLeaseEntry(t, "b", f.mem, f.clock, nil)
	f.owner.workers = f.counted
	o, err := readOwner(t.Context(), f.owner.store, "p")
	if err != nil {
		t.Fatal(err)
	}
	renewedUntil, sentAt := o.renewedUntil(), f.clock.Now().Steady
	if err := o.claim(t.Context(), f.owner.settings.Self); err != nil {
		t.Fatal(err)
	}
	f.running.Go(func() {
		f.err = newPoolController(f.owner, o, renewedUntil, sentAt).run(f.ctx)
		f.ended.Store(f.ctx.Err() == nil)
	})
	time.Sleep(2*time.Second + 100*time.Millisecond)
	return f
}

// submitTasks hands in a job with tasks that last.
func (f *tokenFixture) submitTasks(count int) {
	f.t.Helper()
	spec := oneStepJob("00000000000000aa")
	spec.Steps[0].LongRunning, spec.Steps[0].Count = true, count
	if err := f.owner.Submit(f.t.Context(), Caller{Queue: f.owner.operator.view.Catalog.Queues["q"]}, spec); err != nil {
		f.t.Fatal(err)
	}
}

// awaitRunning waits until vm1 runs a number of tasks.
func (f *tokenFixture) awaitRunning(count int) {
	f.t.Helper()
	f.await("vm1 runs the tasks", 4*time.Second, func() (all bool) {
		if f.ended.Load() {
			f.t.Fatalf("the only owner has ended: %v", f.err)
		}
		f.vms.use("vm1:80", func(w *restartingVM) { all = len(w.running) == count })
		return all
	})
}

// Guards against an owner that deposes itself (the pool is without an owner until the next
// claim): a start that is under way while the token rises after a restart is refused by the VM,
// which has seen the higher token of the same owner.
func TestStartThatIsOvertakenByAHigherTokenDoesNotDepose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTokenFixture(t)
		defer f.stop()
		f.counted.slowStart, f.counted.delay = 2, 400*time.Millisecond
		f.vms.restart("vm1:80")
		f.submitTasks(2)
		f.await("two starts are under way", time.Second, func() bool { return f.counted.starts.Load() == 2 })
		time.Sleep(200 * time.Millisecond)
		listIncarnation(t, f.mem, "vm1", "vm1:80", 2)
		f.awaitRunning(2)
		if n := f.counted.starts.Load(); n < 3 {
			t.Errorf("%d starts: none was refused", n)
		}
	})
}

// Guards against the same for a start that is under way while the VM changes its address, whose
// client has a higher token.
func TestStartThatIsOvertakenByTheNextClientDoesNotDepose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTokenFixture(t)
		defer f.stop()
		f.counted.slowStart, f.counted.delay = 1, 700*time.Millisecond
		f.vms.mu.Lock()
		f.vms.vms["vm1:81"] = f.vms.vms["vm1:80"]
		f.vms.mu.Unlock()
		f.submitTasks(1)
		f.await("a start is under way", time.Second, func() bool { return f.counted.starts.Load() > 0 })
		listVM(t, f.mem, "vm1", "vm1:81")
		f.awaitRunning(1)
		if n := f.counted.starts.Load(); n < 2 {
			t.Errorf("%d starts: none was refused", n)
		}
	})
}

// Guards against the same for a renewal that is under way while the token rises.
func TestRenewalThatIsOvertakenByAHigherTokenDoesNotDepose(t *testing.T) {
	workers := &fakeWorkers{}
	s := newTestVMClient(t, workers)
	p := pool.New(pool.Settings{Pool: "p"}, zap.NewNop(), s.clock.Now())
	s.deliver = func(f func(*pool.Pool)) { f(p) }
	workers.renewal = func(Renewal) (RenewalAnswer, error) {
		s.count.latest.Add(1)
		return RenewalAnswer{}, ErrFenced
	}
	if _, ok := s.renew(t.Context()); ok || p.Deposed() {
		t.Errorf("renewed: %v, deposed: %v; want a failed renewal and no deposed owner", ok, p.Deposed())
	}
}

// Guards against a deposed owner that continues: a start with its highest token is refused.
func TestFencedStartDeposesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTokenFixture(t)
		defer f.stop()
		f.counted.fenceStarts = true
		f.submitTasks(1)
		f.await("the owner ends", 4*time.Second, f.ended.Load)
		if !errors.Is(f.err, errDeposed) {
			t.Errorf("the owner has ended with %v, want %v", f.err, errDeposed)
		}
	})
}

// Guards against an owner that deposes itself: a VM whose restart was noticed leaves discovery
// and comes back as the same incarnation. Its next client began with the first token of the
// epoch, below the one that the VM has seen.
func TestOwnerStaysWhenAVMLeavesAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTokenFixture(t)
		defer f.stop()
		f.vms.restart("vm1:80")
		time.Sleep(4 * time.Second) // the restart is noticed, and the higher token is seen
		f.vms.setCut("vm1:80", true)
		if _, err := f.mem.Commit(t.Context(), store.Txn{Deletes: []store.Key{{Table: "vms", Name: "vm1"}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(lateCallBound + 6*time.Second)
		f.vms.setCut("vm1:80", false)
		listIncarnation(t, f.mem, "vm1", "vm1:80", 2)
		f.submitTasks(1)
		f.awaitRunning(1)
		if n := f.counted.fencedRenewals.Load(); n > 0 {
			t.Errorf("%d renewals of the only owner were refused for their token", n)
		}
	})
}

// vmInDiscovery lets a controller's VM be listed by discovery, or no longer.
func vmInDiscovery(t *testing.T, r *poolController, id string, listed bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the clients renew nothing by themselves
	if listed {
		r.pool.ObserveVM(pool.VM{ID: id, Machine: "m-" + id, Address: id + ":80", StartedMS: 1})
	} else {
		r.pool.ForgetVM(id)
	}
	r.syncVMClients(ctx)
}

// Guards against late orders that pass, and an owner that deposes itself: the client of a VM
// that comes back had a token that is not above that of the earlier client.
func TestTokenRisesWhenAVMLeavesAndComesBack(t *testing.T) {
	for _, restarts := range []int64{0, 1} {
		clock := &testClock{now: pool.Time{Steady: time.Minute}}
		r := newLeaseController(t, clock, newLeasedVMs(clock, "vm1:80"))
		vmInDiscovery(t, r, "vm1", true)
		earlier, now := r.vmClients["vm1"], clock.Now().Steady
		for started := range restarts + 1 {
			earlier.renewed(nil, RenewalAnswer{ClockMS: 5, StartedMS: started + 1}, earlier.token(), now, now)
		}
		vmInDiscovery(t, r, "vm1", false)
		vmInDiscovery(t, r, "vm1", true)
		if before, after := earlier.token(), r.vmClients["vm1"].token(); after <= before {
			t.Errorf("%d restarts: token %d after the VM came back, want more than %d as before", restarts, after, before)
		}
		earlier.renewed(nil, RenewalAnswer{ClockMS: 5, StartedMS: 98}, earlier.token(), now, now)
		earlier.renewed(nil, RenewalAnswer{ClockMS: 5, StartedMS: 99}, earlier.token(), now, now)
		if closed, after := earlier.token(), r.vmClients["vm1"].token(); closed >= after {
			t.Errorf("%d restarts: the closed client has token %d, want less than %d as the present one", restarts, closed, after)
		}
	}
}

// Guards against a count for each VM that an owner has ever seen. Where the VM has seen no
// higher token than the first, the count is needed only while calls may be carried out late.
// Where it has, it is needed for as long as the owner stays.
func TestCountsOfIncarnationsAreBounded(t *testing.T) {
	clock := &testClock{now: pool.Time{Steady: time.Minute}}
	r := newLeaseController(t, clock, newLeasedVMs(clock))
	vmInDiscovery(t, r, "restarted", true)
	restarted, now := r.vmClients["restarted"], clock.Now().Steady
	restarted.renewed(nil, RenewalAnswer{ClockMS: 9000, StartedMS: 1}, restarted.token(), now, now)
	restarted.renewed(nil, RenewalAnswer{ClockMS: 5, StartedMS: 2}, restarted.token(), now, now)
	vmInDiscovery(t, r, "restarted", false)
	for i := range 100 {
		id := fmt.Sprintf("vm%d", i)
		vmInDiscovery(t, r, id, true)
		vmInDiscovery(t, r, id, false)
		clock.advance(lateCallBound / 10)
	}
	if n := len(r.incarnations); n > 12 {
		t.Errorf("%d counts are kept, want those of the VMs that have left within %v and of the one that has restarted", n, lateCallBound)
	}
	vmInDiscovery(t, r, "restarted", true)
	if before, after := restarted.token(), r.vmClients["restarted"].token(); after <= before {
		t.Errorf("token %d of the VM that has restarted, want more than %d as before", after, before)
	}
}

// Guards against a lease bound that is given up too early: after so many restarts that the
// tokens of the epoch are used up, an answer does not prove that earlier calls are refused.
func TestTokenThatCannotRiseProvesNothing(t *testing.T) {
	workers := &fakeWorkers{}
	s := newTestVMClient(t, workers)
	s.maxLease = testMaxLease
	restart := func(startedMS int64) {
		now := s.clock.Now().Steady
		s.renewed(nil, RenewalAnswer{ClockMS: 5, StartedMS: startedMS}, s.token(), now, now)
	}
	for startedMS := range int64(tokensPerEpoch - 1) {
		restart(startedMS + 2)
	}
	if s.token() != s.epoch*tokensPerEpoch+tokensPerEpoch-1 {
		t.Fatalf("token %d is not the last one of epoch %d", s.token(), s.epoch)
	}
	l := s.grant(s.mayStart, orderTimeout)
	s.settleStart(l, StartAnswer{Result: pool.StartUnconfirmed}, s.clock.Now().Steady)
	restart(tokensPerEpoch + 1)
	restart(tokensPerEpoch + 1) // the same incarnation answers again
	if got, want := s.granted().Confirmed, l.endsBy+maxOrderDelay+leaseBound(testMaxLease); got < want {
		t.Errorf("the leases end by %v, want %v: the start without an answer may be carried out late", got, want)
	}
	if s.epoch*tokensPerEpoch+tokensPerEpoch <= s.token() {
		t.Errorf("token %d is one of the next epoch", s.token())
	}
}
