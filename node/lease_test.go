package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
)

// testLease is the lease that owners grant in the tests of leases.
const testLease = 5 * time.Second

// leasedVM is a worker that keeps its runs as long as its lease lasts. Its clock is as
// slow as the protocol allows.
type leasedVM struct {
	clock     Clock
	startedAt time.Duration // on clock
	startedMS int64         // names its incarnation
	silent    bool
	token     int64
	deadline  int64 // of the lease, ms on the worker's clock
	running   map[string]pool.RunState
	grants    []int64 // deadlines of all grants
}

func (w *leasedVM) clockMS() int64 {
	return int64(float64((w.clock.Now().Steady - w.startedAt).Milliseconds()) * (1 - clockDrift))
}

// leaseEnd returns when the lease ends, on clock.
func (w *leasedVM) leaseEnd() time.Duration {
	return w.startedAt + time.Duration(float64(w.deadline)/(1-clockDrift)*float64(time.Millisecond))
}

// grant extends the lease.
func (w *leasedVM) grant(deadlineMS int64) {
	w.grants = append(w.grants, deadlineMS)
	w.deadline = max(w.deadline, deadlineMS)
}

// expire ends the runs after the lease.
func (w *leasedVM) expire() {
	if w.clockMS() > w.deadline {
		clear(w.running)
	}
}

// leasedVMs implements Workers.
type leasedVMs struct {
	Workers
	mu  sync.Mutex
	vms map[string]*leasedVM // by address

	onRenewal func(Renewal) // called for each renewal that arrives; may be nil
}

func newLeasedVMs(clock Clock, addresses ...string) *leasedVMs {
	f := &leasedVMs{vms: map[string]*leasedVM{}}
	for _, address := range addresses {
		f.vms[address] = &leasedVM{clock: clock, startedAt: clock.Now().Steady, startedMS: 1, running: map[string]pool.RunState{}}
	}
	return f
}

// use calls f with a VM.
func (f *leasedVMs) use(address string, use func(*leasedVM)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(f.vms[address])
}

func (f *leasedVMs) Renew(ctx context.Context, ref WorkerRef, r Renewal) (RenewalAnswer, error) {
	if f.onRenewal != nil {
		f.onRenewal(r)
	}
	sleep(ctx, 2*time.Millisecond)
	f.mu.Lock()
	w := f.vms[ref.Address]
	if w.silent {
		f.mu.Unlock()
		return RenewalAnswer{}, ErrNoAnswer
	}
	if r.Token < w.token {
		f.mu.Unlock()
		return RenewalAnswer{}, ErrFenced
	}
	w.token = r.Token
	w.expire()
	if r.DeadlineMS > 0 {
		w.grant(r.DeadlineMS)
	}
	f.mu.Unlock()
	sleep(ctx, r.Wait/4)
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.silent {
		return RenewalAnswer{}, ErrNoAnswer
	}
	answer := RenewalAnswer{ClockMS: w.clockMS(), StartedMS: w.startedMS}
	for _, run := range w.running {
		answer.Running = append(answer.Running, run)
	}
	return answer, nil
}

func (f *leasedVMs) Start(ctx context.Context, ref WorkerRef, o StartOrder) pool.StartResult {
	sleep(ctx, 2*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.vms[ref.Address]
	switch {
	case w.silent:
		return pool.StartUnconfirmed
	case o.Token < w.token:
		return pool.StartFenced
	case o.DeadlineMS < w.clockMS():
		return pool.StartPastDeadline
	}
	w.token = o.Token
	w.grant(o.DeadlineMS)
	w.running[o.Task] = pool.RunState{Task: o.Task, Run: o.Run, ProgressPercent: 100}
	return pool.StartAccepted
}

func (f *leasedVMs) Stop(context.Context, WorkerRef, string, int, int64) error { return nil }

func (f *leasedVMs) Throttle(context.Context, WorkerRef, string, int, int, int64) error { return nil }

// newLeaseEntry returns an entry that schedules on f's VMs. They are listed under their
// addresses in the table of VMs.
func newLeaseEntry(t *testing.T, name string, s store.Store, clock Clock, f *leasedVMs) *Node {
	t.Helper()
	n := newEntry(name, s, clock)
	n.workers, n.rows = f, benchRows{}
	n.settings.Scheduler = pool.Settings{Lease: testLease, StopGrace: 900 * time.Millisecond, StatusRetention: time.Minute}
	return n
}

// listVM writes the row of a VM of pool p.
func listVM(t *testing.T, s store.Store, id, address string) {
	t.Helper()
	value, err := json.Marshal(ListedVM{Pool: "p", VM: pool.VM{ID: id, Machine: "m-" + id, Address: address, DataCentre: "dc", Rack: "r",
		Capacity: fleet.Resources{MilliCPU: 4000, MemoryMB: 4096}, StartedMS: 1}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.Key{Table: "vms", Name: id}, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// pausedClock is a clock of a process that is paused once, after a number of readings.
type pausedClock struct {
	testClock
	readings int // before the pause
	pause    time.Duration
}

func (c *pausedClock) Now() pool.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now
	if c.readings--; c.readings == 0 {
		c.now = c.now.Add(c.pause)
	}
	return now
}

// Guards against leases that an owner grants after its time (TWICE): its process is paused
// between the check of its right to renew and the reading of the clock from which the lease
// counts. A later owner relies on the end of its renewals.
func TestPausedOwnerRenewsNoLeaseAfterItsTime(t *testing.T) {
	for readings := range 8 {
		t.Run(fmt.Sprint("pause after reading ", readings), func(t *testing.T) {
			clock := &pausedClock{testClock: testClock{now: pool.Time{Steady: time.Minute}}}
			workers := newLeasedVMs(clock, "vm1:80")
			n := newLeaseEntry(t, "a", memstore.New(), clock, workers)
			confirmedAt := clock.Now().Steady
			r := newPoolController(n, mustClaim(t, n.store, nodeA), 0, confirmedAt)
			go func() {
				for f := range r.events {
					f(r.pool)
				}
			}()
			defer close(r.events)
			v := r.newVMClient(pool.RenewalTarget{ID: "vm1", Address: "vm1:80", ExtendLeases: true})
			if _, ok := v.renew(t.Context()); !ok { // learns the worker's clock
				t.Fatal("the first renewal failed")
			}
			clock.advance(renewAgeLimit - 100*time.Millisecond)
			clock.readings, clock.pause = readings, 2*time.Second
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			workers.onRenewal = func(Renewal) { cancel() }
			v.run(ctx)
			workers.use("vm1:80", func(w *leasedVM) {
				latest := confirmedAt + renewAgeLimit + leaseBound(testLease)
				if end := w.leaseEnd(); end > latest {
					t.Errorf("a lease ends %v after the last one that the owner may have granted", end-latest)
				}
			})
		})
	}
}
