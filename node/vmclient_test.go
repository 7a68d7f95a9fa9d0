package node

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
)

// fillStartSlots fills a worker's slots for starts with calls that hang.
func fillStartSlots(t *testing.T, s *vmClient, workers *fakeWorkers) {
	t.Helper()
	for range maxConcurrentStarts {
		go s.execute(t.Context(), s.command(pool.Start, "hangs"))
	}
	deadline := time.Now().Add(orderTimeout / 2)
	for workers.sent(pool.Start, "hangs") < maxConcurrentStarts {
		if time.Now().After(deadline) {
			t.Fatal("the starts were not sent")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a stop that waits behind starts that a worker leaves
// unanswered. The run that it should prevent then begins work, and ending it
// later exceeds the availability budget of its step.
func TestStopDoesNotWaitBehindHungStarts(t *testing.T) {
	workers := &fakeWorkers{hanging: map[pool.CommandKind]bool{pool.Start: true}}
	s := newTestVMClient(t, workers)
	fillStartSlots(t, s, workers)
	began := time.Now()
	s.execute(t.Context(), s.command(pool.Stop, "task"))
	if took := time.Since(began); workers.sent(pool.Stop, "task") != 1 || took > orderTimeout/2 {
		t.Fatalf("%d stops sent in %v, want 1 within half of orderTimeout", workers.sent(pool.Stop, "task"), took)
	}
}

// Guards against an order that is sent although the listing on which it is
// based is old: a start goes to another VM instead, and a stop is decided on
// again.
func TestExpiredOrderIsNotSent(t *testing.T) {
	for _, kind := range []pool.CommandKind{pool.Start, pool.Stop, pool.Throttle} {
		workers := &fakeWorkers{}
		s := newTestVMClient(t, workers)
		c := s.command(kind, "task")
		c.IssuedAt -= orderMaxAge + time.Millisecond
		reported := false
		s.deliver = func(func(*pool.Pool)) { reported = true }
		s.execute(t.Context(), c)
		if n := workers.sent(kind, "task"); n != 0 || !reported {
			t.Errorf("kind %d: sent %d times, reported to the scheduler: %v; want 0 times and a report", kind, n, reported)
		}
	}
}

// Guards against starts that wait for seconds behind a worker that answers
// none. They are returned while the queue can still use another VM.
func TestStartsBehindHungStartsAreReturned(t *testing.T) {
	workers := &fakeWorkers{hanging: map[pool.CommandKind]bool{pool.Start: true}}
	s := newTestVMClient(t, workers)
	fillStartSlots(t, s, workers)
	began := time.Now()
	s.execute(t.Context(), s.command(pool.Start, "waits"))
	if took := time.Since(began); workers.sent(pool.Start, "waits") != 0 || took > 2*orderMaxAge {
		t.Fatalf("sent %d times, returned after %v; want 0 times and at most twice orderMaxAge", workers.sent(pool.Start, "waits"), took)
	}
}

// Guards against leases that are extended for an unresponsive VM: its runs
// could then never be given up.
func TestUnresponsiveVMGetsNoLease(t *testing.T) {
	workers := &fakeWorkers{}
	s := newTestVMClient(t, workers)
	workers.renewal = func(Renewal) (RenewalAnswer, error) { return RenewalAnswer{}, ErrNoAnswer }
	if _, ok := s.renew(t.Context()); ok {
		t.Fatal("a renewal without an answer succeeded")
	}
	if _, ok := s.renew(t.Context()); ok {
		t.Fatal("a renewal without an answer succeeded")
	}
	last := workers.renewed[len(workers.renewed)-1]
	if last.DeadlineMS != 0 || last.AcknowledgedEnds != 0 || last.Wait != 0 {
		t.Fatalf("renewal of an unresponsive VM: %+v, want no deadline, no acknowledged ends and no wait", last)
	}
	s.execute(t.Context(), s.command(pool.Start, "task"))
	if workers.sent(pool.Start, "task") != 0 {
		t.Fatal("a start was sent to an unresponsive VM")
	}
}

// Guards against orders for an earlier incarnation of a worker that are carried
// out by the next one: each new incarnation raises the fencing token.
func TestTokenRisesWithIncarnations(t *testing.T) {
	workers := &fakeWorkers{}
	s := newTestVMClient(t, workers)
	first := s.token()
	workers.renewal = func(Renewal) (RenewalAnswer, error) { return RenewalAnswer{ClockMS: 5, StartedMS: 2}, nil }
	if _, ok := s.renew(t.Context()); !ok {
		t.Fatal("renewal failed")
	}
	if s.token() != first+1 || first != 3*tokensPerEpoch {
		t.Fatalf("tokens %d and %d, want the first of epoch 3 and the next one", first, s.token())
	}
}

// Guards against work that is run again after it was done: after a restart of a worker
// under its id, the number of ends recorded before was acknowledged to the new
// incarnation, which forgot ends that nobody had seen.
func TestAcknowledgementsEndWithTheIncarnation(t *testing.T) {
	workers := &fakeWorkers{}
	s := newTestVMClient(t, workers)
	s.setAcknowledged(1, 7, 7)
	workers.renewal = func(Renewal) (RenewalAnswer, error) { return RenewalAnswer{ClockMS: 5, StartedMS: 2}, nil }
	for range 2 {
		if _, ok := s.renew(t.Context()); !ok {
			t.Fatal("renewal failed")
		}
	}
	s.setAcknowledged(1, 8, 8) // the scheduler has not seen the restart yet
	if _, ok := s.renew(t.Context()); !ok {
		t.Fatal("renewal failed")
	}
	for i, r := range workers.renewed[len(workers.renewed)-2:] {
		if r.AcknowledgedEnds != 0 {
			t.Errorf("renewal %d after the restart acknowledges ends up to %d", i+2, r.AcknowledgedEnds)
		}
	}
}

// Guards against a deposed owner that continues: a worker that rejects its
// fencing token deposes it.
func TestFencedRenewalDeposesOwner(t *testing.T) {
	workers := &fakeWorkers{renewal: func(Renewal) (RenewalAnswer, error) { return RenewalAnswer{}, ErrFenced }}
	clock := NewBootClock()
	p := pool.New(pool.Settings{Pool: "p"}, zap.NewNop(), clock.Now())
	s := &vmClient{ref: WorkerRef{ID: "vm1"}, workers: workers, clock: clock, log: zap.NewNop(), metrics: newMetrics(newTableLoads()), lease: time.Second, count: &incarnationCount{}}
	s.deliver = func(f func(*pool.Pool)) { f(p) }
	if _, ok := s.renew(t.Context()); ok || !p.Deposed() {
		t.Fatalf("renewed: %v, deposed: %v; want a failed renewal and a deposed owner", ok, p.Deposed())
	}
}

// Guards against a renewal that acknowledges ends of runs before they are
// recorded: they would be lost with this owner.
func TestRenewalWaitsForRecords(t *testing.T) {
	workers := &fakeWorkers{renewal: func(Renewal) (RenewalAnswer, error) {
		return RenewalAnswer{ClockMS: 5, StartedMS: 1, Ended: []pool.RunEnd{{Sequence: 7, Task: "t", Run: 1, Cause: pool.EndDone}}}, nil
	}}
	s := newTestVMClient(t, workers)
	highest, ok := s.renew(t.Context())
	if !ok || highest != 7 {
		t.Fatalf("highest end %d, renewed: %v; want 7, true", highest, ok)
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.setAcknowledged(1, 7, 7)
	}()
	s.awaitRecorded(t.Context(), highest)
	if s.acknowledged.Load() != 7 {
		t.Fatal("the next renewal is sent before the end is recorded")
	}
	if _, ok := s.renew(t.Context()); !ok || workers.renewed[len(workers.renewed)-1].AcknowledgedEnds != 7 {
		t.Fatalf("next renewal: %+v, want one that acknowledges ends up to 7", workers.renewed[len(workers.renewed)-1])
	}
}
