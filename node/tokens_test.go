package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
)

// countedVMs counts the starts.
type countedVMs struct {
	*restartingVMs
	starts      atomic.Int64
	slowStart   int64 // number of the start that takes delay to reach its VM; 0 if none does
	delay       time.Duration
	fenceStarts bool // all starts are refused
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
