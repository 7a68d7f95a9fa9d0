package node

import (
	"testing"
	"time"

	"amaranthfork.example/sched/pool"
)

// Guards against an owner that was suspended while an order waited: its permission
// has run out meanwhile, and another owner may act.
func TestSuspendedOwnerSendsNoOrders(t *testing.T) {
	for _, kind := range []pool.CommandKind{pool.Start, pool.Stop, pool.Throttle} {
		workers := &fakeWorkers{}
		s := newTestVMClient(t, workers)
		s.mayStart = func(time.Duration) bool { return false }
		reported := false
		s.deliver = func(func(*pool.Pool)) { reported = true }
		s.execute(t.Context(), s.command(kind, "task"))
		if n := workers.sent(kind, "task"); n != 0 || !reported {
			t.Errorf("kind %v: sent %d times, reported to the scheduler: %v; want 0 times and a report", kind, n, reported)
		}
	}
}

// Guards against a start whose permission runs out between the check at its turn and the
// grant of its lease.
func TestStartIsCheckedAgainWhenItsLeaseIsGranted(t *testing.T) {
	workers := &fakeWorkers{}
	s := newTestVMClient(t, workers)
	checks := 0
	s.mayStart = func(time.Duration) bool { checks++; return checks == 1 }
	s.execute(t.Context(), s.command(pool.Start, "task"))
	if workers.sent(pool.Start, "task") != 0 {
		t.Fatal("a start was sent after its permission had run out")
	}
}
