package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// testLease is the lease that owners grant in the tests of leases, testMaxLease the longest
// one that the VMs accept.
const (
	testLease    = 5 * time.Second
	testMaxLease = 10 * time.Second
)

// leasedVM is a worker that keeps its runs as long as its lease lasts. Its clock is as
// slow as the protocol allows.
type leasedVM struct {
	clock     Clock
	startedAt time.Duration // on clock
	startedMS int64         // names its incarnation
	silent    bool
	hangs     bool // calls to the silent VM end with their timeout
	token     int64
	deadline  int64 // of the lease, ms on the worker's clock
	running   map[string]pool.RunState
	grants    []int64 // deadlines of all grants
	lastSent  int64   // deadline in the last renewal that had one, also if the VM was silent
}

func (w *leasedVM) clockMS() int64 {
	return int64(float64((w.clock.Now().Steady - w.startedAt).Milliseconds()) * (1 - clockDrift))
}

// endOf returns when a lease with a deadline ends, on clock.
func (w *leasedVM) endOf(deadlineMS int64) time.Duration {
	return w.startedAt + time.Duration(float64(deadlineMS)/(1-clockDrift)*float64(time.Millisecond))
}

// leaseEnd returns when the lease ends, on clock.
func (w *leasedVM) leaseEnd() time.Duration { return w.endOf(w.deadline) }

// restart starts a new incarnation, whose clock starts anew.
func (w *leasedVM) restart() {
	*w = leasedVM{clock: w.clock, startedAt: w.clock.Now().Steady, startedMS: w.startedMS + 1, running: map[string]pool.RunState{}}
}

// grant extends the lease. A longer one than the VM accepts is shortened.
func (w *leasedVM) grant(deadlineMS int64) {
	deadlineMS = min(deadlineMS, w.clockMS()+testMaxLease.Milliseconds())
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
	if r.DeadlineMS > 0 {
		w.lastSent = r.DeadlineMS
	}
	if w.silent {
		return f.noAnswer(ctx, w)
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
	if w.silent {
		return f.noAnswer(ctx, w)
	}
	defer f.mu.Unlock()
	answer := RenewalAnswer{ClockMS: w.clockMS(), StartedMS: w.startedMS}
	for _, run := range w.running {
		answer.Running = append(answer.Running, run)
	}
	return answer, nil
}

// noAnswer ends a call to a silent VM. The caller holds f.mu, which noAnswer unlocks.
func (f *leasedVMs) noAnswer(ctx context.Context, w *leasedVM) (RenewalAnswer, error) {
	hangs := w.hangs
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
	}
	return RenewalAnswer{}, ErrNoAnswer
}

func (f *leasedVMs) Start(ctx context.Context, ref WorkerRef, o StartOrder) StartAnswer {
	sleep(ctx, 2*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.vms[ref.Address]
	switch {
	case w.silent:
		return StartAnswer{Result: pool.StartUnconfirmed}
	case o.Token < w.token:
		return StartAnswer{Result: pool.StartFenced, ClockMS: w.clockMS()}
	case o.DeadlineMS < w.clockMS():
		return StartAnswer{Result: pool.StartPastDeadline, ClockMS: w.clockMS()}
	}
	w.token = o.Token
	w.grant(o.DeadlineMS)
	w.running[o.Task] = pool.RunState{Task: o.Task, Run: o.Run, ProgressPercent: 100}
	return StartAnswer{Result: pool.StartAccepted, ClockMS: w.clockMS()}
}

func (f *leasedVMs) Stop(context.Context, WorkerRef, string, int, int64) error { return nil }

func (f *leasedVMs) Throttle(context.Context, WorkerRef, string, int, int, int64) error { return nil }

// newLeaseEntry returns an entry that schedules on f's VMs. They are listed under their
// addresses in the table of VMs.
func newLeaseEntry(t *testing.T, name string, s store.Store, clock Clock, f *leasedVMs) *Node {
	t.Helper()
	n := newEntry(name, s, clock)
	n.workers, n.rows = f, benchRows{}
	n.settings.Scheduler = pool.Settings{Lease: testLease, MaxLease: testMaxLease, StopGrace: 900 * time.Millisecond, StatusRetention: time.Minute}
	return n
}

// vm1 is a VM on which leases may be granted.
var vm1 = pool.RenewalTarget{ID: "vm1", Address: "vm1:80", ExtendLeases: true}

// newLeaseController returns the controller of a pool that was claimed now. Nothing is done
// with what its clients deliver.
func newLeaseController(t *testing.T, clock Clock, f *leasedVMs) *poolController {
	t.Helper()
	claimedAt := clock.Now().Steady
	n := newLeaseEntry(t, "a", memstore.New(), clock, f)
	r := newPoolController(n, mustClaim(t, n.store, nodeA), 0, claimedAt)
	close(r.done)
	return r
}

// listVM writes the row of a VM of pool p in its first incarnation.
func listVM(t *testing.T, s store.Store, id, address string) {
	t.Helper()
	listIncarnation(t, s, id, address, 1)
}

// listIncarnation writes the row of an incarnation of a VM of pool p.
func listIncarnation(t *testing.T, s store.Store, id, address string, startedMS int64) {
	t.Helper()
	writeVM(t, s, testVM(id, address, startedMS))
}

func testVM(id, address string, startedMS int64) pool.VM {
	return pool.VM{ID: id, Machine: "m-" + id, Address: address, DataCentre: "dc", Rack: "r",
		Capacity: fleet.Resources{MilliCPU: 4000, MemoryMB: 4096}, StartedMS: startedMS}
}

// writeVM writes the row of a VM of pool p.
func writeVM(t *testing.T, s store.Store, vm pool.VM) {
	t.Helper()
	value, err := json.Marshal(ListedVM{Pool: "p", VM: vm})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.Key{Table: "vms", Name: vm.ID}, Value: value}}}); err != nil {
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
			confirmedAt := clock.Now().Steady
			r := newLeaseController(t, clock, workers)
			v := r.newVMClient(vm1)
			if _, ok := v.renew(t.Context()); !ok { // learns the worker's clock
				t.Fatal("the first renewal failed")
			}
			clock.advance(renewAgeLimit - 100*time.Millisecond)
			clock.readings, clock.pause = readings, time.Second // less than a lease, after which nothing is extended
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

// Guards against tasks that wait for a second lease: the owner was suspended for longer than
// its leases, and then extended that of a VM that had been lost meanwhile.
func TestExpiredLeaseIsNotExtendedBeforeTheVMAnswers(t *testing.T) {
	clock := &testClock{now: pool.Time{Steady: time.Minute}}
	workers := newLeasedVMs(clock, "vm1:80")
	r := newLeaseController(t, clock, workers)
	v := r.newVMClient(vm1)
	for range 2 {
		if _, ok := v.renew(t.Context()); !ok {
			t.Fatal("the VM does not answer")
		}
	}
	clock.advance(leaseBound(testLease) + time.Second)
	r.confirmedAt.Store(int64(clock.Now().Steady))
	var sent []Renewal
	workers.onRenewal = func(r Renewal) { sent = append(sent, r) }
	for range 2 {
		if _, ok := v.renew(t.Context()); !ok {
			t.Fatal("the VM does not answer")
		}
	}
	if sent[0].DeadlineMS != 0 || sent[1].DeadlineMS == 0 {
		t.Errorf("deadlines %d and %d after the lease has expired, want none before the VM has answered", sent[0].DeadlineMS, sent[1].DeadlineMS)
	}
}

// Guards against a lease that is longer than its owner takes it for (TWICE): the VM has
// restarted under its id since it told its time, and its clock started anew.
func TestLeaseGrantedOnTheClockOfAnEarlierIncarnation(t *testing.T) {
	clock := &testClock{now: pool.Time{Steady: time.Minute}}
	workers := newLeasedVMs(clock, "vm1:80")
	r := newLeaseController(t, clock, workers)
	v := r.newVMClient(vm1)
	clock.advance(time.Minute)
	r.confirmedAt.Store(int64(clock.Now().Steady))
	for i := range 4 {
		if i == 2 {
			workers.use("vm1:80", (*leasedVM).restart)
		}
		if _, ok := v.renew(t.Context()); !ok {
			t.Fatal("the VM does not answer")
		}
		clock.advance(50 * time.Millisecond)
	}
	workers.use("vm1:80", func(w *leasedVM) {
		if excess := w.leaseEnd() - v.granted().Confirmed; excess > 0 {
			t.Errorf("the lease ends %v after the bound that the client knows", excess)
		}
	})
}

// Guards against leases that the client of a VM's earlier address grants (TWICE): a start
// waits for its slot there while the VM moves, and a lease bound that is stored meanwhile
// covers only what the later client has granted.
func TestReplacedClientGrantsNoLease(t *testing.T) {
	clock := &testClock{now: pool.Time{Steady: time.Minute}}
	workers := newLeasedVMs(clock, "vm1:80", "vm1:81")
	r := newLeaseController(t, clock, workers)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	open := func(address string) *vmClient {
		target := vm1
		target.Address = address
		r.openVMClient(ctx, target)
		v := r.vmClients["vm1"]
		for range 500 {
			if v.granted().Confirmed > 0 {
				return v
			}
			time.Sleep(time.Millisecond)
		}
		t.Fatal("the client grants no lease")
		return nil
	}
	earlier := open("vm1:80")
	start := earlier.command(pool.Start, "task") // waits for its slot
	open("vm1:81")
	earlier.execute(t.Context(), start)
	workers.use("vm1:80", func(w *leasedVM) {
		if len(w.running) > 0 {
			t.Error("the client of the earlier address has started a run after it was replaced")
		}
	})
}

// leaseStore is a table service that reports transactions with a lease row and may answer
// them late, or not at all.
type leaseStore struct {
	store.Store
	delay time.Duration // of the answers
	lose  bool          // the transaction is carried out, its answer is lost, and the caller is cut off from then on

	mu       sync.Mutex
	cut      bool
	underWay chan struct{} // receives a value when a transaction with a lease row arrives
}

func (s *leaseStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut {
		<-ctx.Done()
		return store.Receipt{}, store.ErrUnconfirmed
	}
	// Rows with the machines of VMs are beside those with leases.
	if !slices.ContainsFunc(txn.Puts, func(p store.Put) bool { return p.Key.Table == tables.Leases && !tables.IsVMKey(p.Key) }) {
		return s.Store.Commit(ctx, txn)
	}
	select {
	case s.underWay <- struct{}{}:
	default:
	}
	receipt, err := s.Store.Commit(ctx, txn)
	if s.lose {
		s.mu.Lock()
		s.cut = true
		s.mu.Unlock()
		<-ctx.Done()
		return store.Receipt{}, store.ErrUnconfirmed
	}
	sleep(ctx, s.delay)
	return receipt, err
}

// Guards against a lease that outlasts the bound that is stored for it (TWICE): a VM falls
// silent, and answers again while the transaction with its bound is under way. A later owner
// trusts the row, also if the answer to the transaction was lost.
func TestNoLeaseOutlastsItsStoredBound(t *testing.T) {
	for name, s := range map[string]*leaseStore{
		"slow answers": {delay: 900 * time.Millisecond},
		"lost answer":  {lose: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := memstore.New()
				clock := bubbleClock{time.Now()}
				s.Store, s.underWay = mem, make(chan struct{}, 1)
				f := newLeaseFixture(t, mem, s, clock)
				defer f.stop()
				f.awaitRun(t)
				f.workers.use("vm1:80", func(w *leasedVM) { w.silent = true })
				<-s.underWay
				f.workers.use("vm1:80", func(w *leasedVM) { w.silent = false })
				excess := time.Duration(0)
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					excess = max(excess, f.leaseExcess(t))
				}
				if excess > 0 {
					t.Errorf("the lease of vm1 ends %v after the bound that is stored for it", excess)
				}
			})
		})
	}
}

// Guards against later owners that wait longer than the leases last: the bound that is stored
// for a VM which is lost is that of the last lease, and not that of one granted when the
// silence was noticed.
func TestStoredBoundIsThatOfTheLastLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		f := newLeaseFixture(t, mem, mem, bubbleClock{time.Now()})
		defer f.stop()
		f.awaitRun(t)
		f.workers.use("vm1:80", func(w *leasedVM) { w.silent, w.hangs = true, true })
		const clockError = 10 * time.Millisecond // of the conversion between clocks without delays
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			if bound, stored := f.storedBound(t); stored {
				f.workers.use("vm1:80", func(w *leasedVM) {
					if late := bound - w.endOf(w.lastSent); late < 0 || late > leaseMargin+clockError {
						t.Errorf("the stored bound is %v after the end of the last lease, want at most %v", late, leaseMargin+clockError)
					}
				})
				return
			}
		}
		t.Error("no bound is stored")
	})
}

// Guards against a run that is given up although its lease was extended (TWICE): the
// scheduler decides while the message about the extension is still queued. The VM had been
// silent until shortly before its lease ended.
func TestRunIsKeptWhileTheGrantOfItsLeaseIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		clock := bubbleClock{time.Now()}
		f := newLeaseFixture(t, mem, mem, clock)
		f.stop() // the test drives a controller itself
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := newPoolController(f.node, mustClaim(t, f.node.store, nodeA), 0, clock.Now().Steady)
		defer close(r.done)
		version, err := r.recover(ctx)
		if err != nil {
			t.Fatal(err)
		}
		r.startFollowers(ctx, version)
		r.configure(f.node.operator.view)
		step := func(handleEvents bool) {
			for handleEvents && len(r.events) > 0 {
				r.pool.Advance(clock.Now())
				(<-r.events)(r.pool)
			}
			select {
			case result := <-r.commitResults:
				if err := r.committed(ctx, result); err != nil {
					t.Fatal(err)
				}
			default:
			}
			r.cycle(ctx)
			time.Sleep(5 * time.Millisecond)
		}
		stepUntil := func(handleEvents bool, what string, done func(v *vmClient) bool) {
			t.Helper()
			for range 4000 {
				step(handleEvents)
				if v := r.vmClients["vm1"]; v != nil && done(v) {
					return
				}
			}
			t.Fatal(what)
		}
		runs := func() (n int) {
			f.workers.use("vm1:80", func(w *leasedVM) { w.expire(); n = len(w.running) })
			return n
		}
		silence := func(silent bool) {
			f.workers.use("vm1:80", func(w *leasedVM) { w.silent = silent })
		}
		stepUntil(true, "the task does not run", func(v *vmClient) bool { return runs() > 0 && v.granted().Confirmed > 0 })
		silence(true)
		stepUntil(true, "the silence is not noticed", func(v *vmClient) bool { return v.isUnresponsive() })
		expiry := r.vmClients["vm1"].granted().Confirmed
		stepUntil(true, "the lease does not end", func(*vmClient) bool { return expiry-clock.Now().Steady < 400*time.Millisecond })
		silence(false)
		stepUntil(true, "grants do not resume", func(v *vmClient) bool { return !v.isUnresponsive() && !v.isSuspended() })
		stepUntil(false, "the first lease does not end", func(*vmClient) bool { return clock.Now().Steady > expiry+50*time.Millisecond })
		if runs() == 0 {
			t.Fatal("the lease was not extended")
		}
		if r.pool.Stats().Lost > 0 {
			t.Error("the run was given up while its lease goes on")
		}
	})
}

func (s *vmClient) isSuspended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspended
}

// leaseFixture is an owner of pool p that runs a task that lasts on vm1.
type leaseFixture struct {
	mem     *memstore.Store
	clock   Clock
	workers *leasedVMs
	node    *Node
	stop    func()
}

// newLeaseFixture starts the owner, which uses s to reach mem.
func newLeaseFixture(t *testing.T, mem *memstore.Store, s store.Store, clock Clock) *leaseFixture {
	t.Helper()
	f := &leaseFixture{mem: mem, clock: clock, workers: newLeasedVMs(clock, "vm1:80")}
	f.node = newLeaseEntry(t, "a", s, clock, f.workers)
	listVM(t, mem, "vm1", "vm1:80")
	spec := oneStepJob("00000000000000aa")
	spec.Steps[0].LongRunning = true
	if err := f.node.Submit(t.Context(), Caller{Queue: f.node.operator.view.Catalog.Queues["q"]}, spec); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	owner := mustClaim(t, f.node.store, nodeA)
	var running sync.WaitGroup
	running.Go(func() { _ = newPoolController(f.node, owner, 0, clock.Now().Steady).run(ctx) }) // may have lost its store
	f.stop = func() {
		cancel()
		running.Wait()
	}
	return f
}

// awaitRun waits until the task runs and its lease has been renewed.
func (f *leaseFixture) awaitRun(t *testing.T) {
	t.Helper()
	for range 500 {
		renewed := false
		f.workers.use("vm1:80", func(w *leasedVM) { renewed = len(w.running) > 0 && len(w.grants) > 2 })
		if renewed {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the task does not run")
}

// leaseExcess returns by how much the lease of vm1 ends after the bound that a later owner
// would now find for it; 0 if it finds none.
func (f *leaseFixture) leaseExcess(t *testing.T) (excess time.Duration) {
	t.Helper()
	if bound, stored := f.storedBound(t); stored {
		f.workers.use("vm1:80", func(w *leasedVM) { excess = w.leaseEnd() - bound })
	}
	return excess
}

// storedBound returns the bound that a later owner would now find for vm1, on clock.
func (f *leaseFixture) storedBound(t *testing.T) (bound time.Duration, stored bool) {
	t.Helper()
	key := tables.LeaseKey("p")
	page, err := f.mem.Range(t.Context(), key.Table, key.Partition, key.Name, key.Name+"\x00")
	if err != nil {
		t.Fatal(err)
	}
	offset := f.clock.Now().Steady - page.Time
	for _, row := range page.Rows {
		bounds, err := pool.DecodeLeases(row.Value)
		if err != nil {
			t.Fatal(err)
		}
		bound, stored = bounds["vm1"]
	}
	return bound + offset, stored
}
