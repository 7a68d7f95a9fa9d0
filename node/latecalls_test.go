package node

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
)

// These tests play workers at the worst that the protocol allows against the code that grants
// leases: they restart under their ids, are cut off from entries and from the table service,
// and leave calls unanswered that they have carried out, never carry out, or carry out up to
// latestOrder after they were sent, on the incarnation that lives then. They refuse starts, drain,
// and leave; their machines live on as other VMs, or leave the inventory. Runs fail. A plan is made from a
// seed. What depends on the order in which goroutines run may differ between two plays of it.

var (
	lateCallsFirst = flag.Uint64("latecalls.first", 1_000_000, "first seed of TestLateCallsOfFreeSeeds")
	lateCallsSeeds = flag.Int("latecalls.seeds", 0, "number of seeds of TestLateCallsOfFreeSeeds; 0 skips it")
	lateCallsTrace = flag.Int("latecalls.traces", 3, "number of failing seeds of which the calls are printed")
)

const (
	lateCallsSeedsInCI = 500
	lateFaultTime      = 40 * time.Second // after it, everything is healed
	earliestLateCall   = 2 * time.Second
	latePlacementTime  = 5 * time.Second // of a task once no bound holds it: listing, placement, start, backoffs
	earliestDone       = time.Second     // after the start of a run that ends as done
	latestDone         = 3 * time.Second
	givenUpAfter       = 3                // crashes of its VMs after which the scheduler may give a task up
	lateRowPeriod      = time.Second      // between two writes of a VM to its row
	lateFailures       = 35               // of 100 runs that do not last
	lateAckTime        = 15 * time.Second // in which an end is acknowledged after the faults
	lateMaxTasks       = 8                // two VMs have room for all
)

// lateWaitBound is the longest time after the faults in which a task may wait: a call that was
// sent at their end is carried out late, grants the longest lease, and an owner took over then.
var lateWaitBound = latestOrder + orderTimeout + leaseBound(testMaxLease) + renewAgeLimit + latePlacementTime

// lateFixture plays a plan. Of restartFixture it uses the pool and the ways to own it.
type lateFixture struct {
	restartFixture
	workers  *lateVMs
	owners   []*lateOwner
	machines *lateMachines
	client   *Node // takes the jobs in
}

// ownerName names the owners in their order.
func ownerName(number int) string { return fmt.Sprintf("o%d", number) }

func (f *lateFixture) ownNext() {
	l := &lateOwner{lateVMs: f.workers, name: ownerName(len(f.owners) + 1), store: &unreachableStore{cutStore{Store: f.mem}}}
	f.ctx, l.stop = context.WithCancel(f.t.Context())
	f.ownWith(l.name, l.store, l)
	f.owners = append(f.owners, l)
	f.workers.mu.Lock()
	f.workers.count("owners", 1)
	f.workers.note("", "", "%s owns the pool", l.name)
	f.workers.mu.Unlock()
}

func (f *lateFixture) owner() *lateOwner { return f.owners[len(f.owners)-1] }

// lateEvent is an event of a plan.
type lateEvent struct {
	at   time.Duration
	what string
	do   func(*lateFixture)
}

// latePlan is what happens in a play. The faults are those of the VMs.
type latePlan struct {
	r        *rand.Rand
	vms      []*lateVM
	attempts int // max attempts of the queue
	events   []lateEvent
	changes  []time.Duration // of the owner
	tasks    map[string]bool // whether each lasts
}

// between draws a time.
func (p *latePlan) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.r.Int64N(int64((to-from)/time.Millisecond)))*time.Millisecond
}

func (p *latePlan) chance(percent int) bool { return p.r.IntN(100) < percent }

func (p *latePlan) add(at time.Duration, what string, do func(*lateFixture)) {
	p.events = append(p.events, lateEvent{at, what, do})
}

// span returns a time that ends with the faults at the latest.
func (p *latePlan) span(from, lasts time.Duration) lateSpan {
	return lateSpan{from, min(from+lasts, lateFaultTime)}
}

func (p *latePlan) addFault(w *lateVM, s lateSpan, odds [4]int) {
	owner := ""
	if p.chance(15) {
		owner = ownerName(1 + p.r.IntN(3))
	}
	w.faults = append(w.faults, linkFault{s, owner, odds})
}

func (p *latePlan) addJob(at time.Duration, lasts bool) {
	if len(p.tasks) >= lateMaxTasks {
		return
	}
	id := fmt.Sprintf("%016x", 0xa0+len(p.tasks))
	task := id + ".0.0.0"
	p.tasks[task] = lasts
	p.add(at, "", func(f *lateFixture) {
		spec := oneStepJob(id)
		spec.Steps[0].LongRunning = lasts
		if err := f.client.Submit(f.t.Context(), f.caller(), spec); err != nil {
			f.t.Fatal(err)
		}
		f.workers.mu.Lock()
		f.workers.note("", task, "submitted, lasts %v", lasts)
		f.workers.mu.Unlock()
	})
}

func (p *latePlan) addRestart(at time.Duration, w *lateVM) {
	p.add(min(at, lateFaultTime-time.Millisecond), "", func(f *lateFixture) { f.workers.restart(w) })
}

// addOwnerChange replaces the owner, unless another change is near.
func (p *latePlan) addOwnerChange(at time.Duration) {
	for _, other := range p.changes {
		if (at - other).Abs() < 2*takeoverAfter {
			return
		}
	}
	p.changes = append(p.changes, at)
	wait := p.between(50*time.Millisecond, time.Second)
	switch p.r.IntN(3) {
	case 0:
		p.add(at, "the owner releases the pool", func(f *lateFixture) { f.owner().stop() })
	case 1:
		p.add(at, "the owner is killed", func(f *lateFixture) {
			f.owner().dead.Store(true)
			f.owner().store.cut.Store(true)
			f.owner().stop()
		})
		wait += takeoverAfter
	default:
		back := p.between(0, 8*time.Second)
		cuts := map[*lateVM]lateSpan{} // the next owner does not reach what this one may still renew
		for _, w := range p.vms {
			if p.chance(40) {
				cuts[w] = p.span(at, p.between(5*time.Second, 15*time.Second))
			}
		}
		p.add(at, "the owner is cut off from the table service", func(f *lateFixture) {
			l := f.owner()
			l.store.cut.Store(true)
			f.workers.mu.Lock()
			for w, s := range cuts {
				w.faults = append(w.faults, linkFault{s, ownerName(len(f.owners) + 1), cutOdds})
			}
			f.workers.mu.Unlock()
			time.AfterFunc(takeoverAfter+time.Second+back, func() { l.store.cut.Store(false) })
		})
		wait += takeoverAfter
	}
	p.add(at+wait, "", (*lateFixture).ownNext)
}

var (
	cutOdds   = [4]int{0, 0, 1, 1}
	lateOdds  = [4]int{1, 1, 0, 3}
	mixedOdds = [4]int{3, 1, 1, 1}
)

// addIncident lets VMs restart in a burst of jobs and be cut off about then.
func (p *latePlan) addIncident(at time.Duration) {
	for range 1 + p.r.IntN(3) {
		p.addJob(at+p.between(-400*time.Millisecond, 400*time.Millisecond), p.chance(60))
	}
	if p.chance(40) {
		p.addOwnerChange(at + p.between(0, 6*time.Second))
	}
	affected := p.r.Perm(len(p.vms))[:1+p.r.IntN(len(p.vms))]
	for _, i := range affected {
		w := p.vms[i]
		if p.chance(90) {
			p.addRestart(at+p.between(-300*time.Millisecond, 600*time.Millisecond), w)
		}
		if p.chance(60) {
			p.addFault(w, p.span(at-p.between(0, time.Second), p.between(500*time.Millisecond, 2*time.Second)), lateOdds)
		}
		if p.chance(70) {
			p.addFault(w, p.span(at+p.between(0, 2*time.Second), p.between(time.Second, 20*time.Second)), cutOdds)
		}
		if p.chance(50) {
			w.silent = append(w.silent, p.span(at+p.between(-500*time.Millisecond, time.Second), p.between(time.Second, 20*time.Second)))
		}
		if p.chance(30) {
			p.addRestart(at+p.between(time.Second, 12*time.Second), w)
		}
	}
}

// addLoss has a VM lost for good: it crashes, or works on behind a cut.
func (p *latePlan) addLoss(w *lateVM, at time.Duration) {
	w.lostForGood = true
	never := lateSpan{at, time.Hour}
	w.silent = append(w.silent, never)
	if p.chance(50) {
		w.faults = append(w.faults, linkFault{never, "", cutOdds})
		p.add(at, w.id+" is cut off for good", func(*lateFixture) {})
		return
	}
	w.faults = append(w.faults, linkFault{never, "", [4]int{0, 0, 1, 0}})
	p.add(at, w.id+" crashes for good", func(f *lateFixture) {
		f.workers.restart(w)
		f.workers.mu.Lock()
		w.crashed = true
		f.workers.mu.Unlock()
	})
	if p.chance(60) {
		p.add(at+p.between(0, 10*time.Second), w.machine+" leaves the inventory", func(f *lateFixture) { f.drop(w) })
	}
}

// drop removes the machine of w from the inventory.
func (f *lateFixture) drop(w *lateVM) {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	f.machines.dropped[w.machine] = true
}

// addDrain has a VM drain and leave, or restart at its end.
func (p *latePlan) addDrain(w *lateVM, at time.Duration) {
	p.add(at, w.id+" drains", func(f *lateFixture) {
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		w.present().draining = true
		f.workers.count("drains", 1)
	})
	end := at + p.between(time.Second, 10*time.Second)
	if p.chance(30) {
		p.addRestart(end, w)
		return
	}
	p.addNextLife(w, end, true)
}

// addNextLife ends a VM; its machine lives on as another one.
func (p *latePlan) addNextLife(w *lateVM, at time.Duration, inOrder bool) {
	p.add(min(at, lateFaultTime-2*time.Millisecond), "", func(f *lateFixture) { f.leave(w, inOrder) })
	p.add(min(at+p.between(100*time.Millisecond, 8*time.Second), lateFaultTime-time.Millisecond), "", func(f *lateFixture) { f.bear(w) })
}

func newLatePlan(seed uint64, clock Clock) *latePlan {
	p := &latePlan{r: rand.New(rand.NewPCG(seed, 0)), tasks: map[string]bool{}}
	for i := range 3 + p.r.IntN(3) {
		id := fmt.Sprintf("vm%d", i+1)
		w := newLateVM(clock, id, "m-"+id)
		w.slow = []float64{clockDrift, clockDrift, clockDrift / 2, 0}[p.r.IntN(4)]
		if p.chance(30) {
			w.rowLasts = 12 * time.Second
		}
		p.vms = append(p.vms, w)
	}
	anyVM := func() *lateVM { return p.vms[p.r.IntN(len(p.vms))] }
	for range 1 + p.r.IntN(3) {
		p.addJob(p.between(0, 2*time.Second), p.chance(70))
	}
	for range 1 + p.r.IntN(3) {
		p.addIncident(p.between(3*time.Second, 30*time.Second))
	}
	for range p.r.IntN(3) {
		p.addRestart(p.between(3*time.Second, 38*time.Second), anyVM())
	}
	for range p.r.IntN(3) {
		p.addFault(anyVM(), p.span(p.between(3*time.Second, 35*time.Second), p.between(time.Second, 8*time.Second)), mixedOdds)
	}
	for range p.r.IntN(2) {
		p.addFault(anyVM(), p.span(p.between(3*time.Second, 35*time.Second), p.between(time.Second, 15*time.Second)), cutOdds)
	}
	for range p.r.IntN(2) {
		p.addOwnerChange(p.between(3*time.Second, 35*time.Second))
	}
	for range p.r.IntN(3) {
		p.addJob(p.between(3*time.Second, 38*time.Second), p.chance(50))
	}
	for _, w := range p.vms[2:] { // the others have room for all tasks
		if p.chance(20) {
			p.addLoss(w, p.between(3*time.Second, 35*time.Second))
		}
	}
	p.attempts = []int{0, 2, 3, 3}[p.r.IntN(4)]
	for _, w := range p.vms {
		if p.chance(40) {
			w.refusals = append(w.refusals, p.span(p.between(0, 35*time.Second), p.between(time.Second, 10*time.Second)))
		}
		switch at := p.between(3*time.Second, 35*time.Second); {
		case w.lostForGood:
		case p.chance(20):
			p.addDrain(w, at)
		case p.chance(20):
			p.addNextLife(w, at, false)
		}
	}
	slices.SortStableFunc(p.events, func(a, b lateEvent) int { return cmp.Compare(a.at, b.at) })
	return p
}

// keepRows lets the VMs write their rows, and removes those of silent VMs, until ctx ends.
func (f *lateFixture) keepRows(ctx context.Context) {
	written := map[string]int64{} // incarnation in the row, by VM; 0 if there is no row
	drains := map[string]bool{}   // what the row tells, by VM
	heard := map[string]time.Duration{}
	for tick := 0; ctx.Err() == nil; tick++ {
		f.workers.mu.Lock()
		vms := slices.Clone(f.workers.vms)
		f.workers.mu.Unlock()
		for i, w := range vms {
			at := f.clock.Now().Steady
			f.workers.mu.Lock()
			incarnation, draining, left, silent := w.bornMS, w.draining, w.left, w.crashed || slices.ContainsFunc(w.silent, func(s lateSpan) bool { return s.holds(at) })
			f.workers.mu.Unlock()
			const ticks = int(lateRowPeriod / (100 * time.Millisecond))
			switch {
			case !silent && (tick == 0 || tick%ticks == i*3%ticks):
				heard[w.id] = at
				if written[w.id] != incarnation || drains[w.id] != draining {
					written[w.id], drains[w.id] = incarnation, draining
					vm := testVM(w.id, w.address, incarnation)
					vm.Machine, vm.Draining = w.machine, draining
					writeVM(f.t, f.mem, vm)
					f.workers.mu.Lock()
					f.workers.note(w.id, "", "the row tells of incarnation %d, draining %v", incarnation, draining)
					f.workers.mu.Unlock()
				}
			case written[w.id] != 0 && (left || at-heard[w.id] > w.rowLasts):
				written[w.id] = 0
				if _, err := f.mem.Commit(f.t.Context(), store.Txn{Deletes: []store.Key{{Table: "vms", Name: w.id}}}); err != nil {
					f.t.Error(err)
				}
				f.workers.mu.Lock()
				f.workers.note(w.id, "", "the row is removed")
				f.workers.mu.Unlock()
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// checkWaiting fails the play for tasks that neither run where an entry can tell nor are known to
// have ended as done.
func (f *lateFixture) checkWaiting() {
	w := f.workers
	for _, task := range slices.Sorted(maps.Keys(w.lasting)) {
		id, _, _ := strings.Cut(task, ".")
		state, err := f.client.Status(f.t.Context(), f.caller(), id)
		w.mu.Lock()
		w.advance()
		running := slices.ContainsFunc(w.vms, func(vm *lateVM) bool {
			_, runs := vm.running[task]
			return runs && !vm.lostForGood
		})
		finished := state == job.Succeeded || errors.Is(err, ErrNoJob) // finished jobs are forgotten
		givenUp := (state == job.Failed || errors.Is(err, ErrNoJob)) &&
			(w.crashes[task] >= givenUpAfter || w.attempts > 0 && len(w.failed[task]) >= w.attempts)
		if !running && !(finished && len(w.done[task]) > 0) && !givenUp {
			w.breaks("waits", task, "waits %v after the faults; its job is %q, %v", lateWaitBound, state, err)
		}
		w.mu.Unlock()
	}
}

// checkAcknowledged fails the play for ends that VMs which an entry can reach list for ever.
func (f *lateFixture) checkAcknowledged() {
	w := f.workers
	w.mu.Lock()
	w.advance()
	listed := map[*lateVM]int64{}
	for _, vm := range w.vms {
		if len(vm.ends) > 0 && !vm.lostForGood && !vm.crashed {
			listed[vm] = vm.ends[0].Sequence
		}
	}
	w.mu.Unlock()
	time.Sleep(lateAckTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm, sequence := range listed {
		if len(vm.ends) > 0 && vm.ends[0].Sequence == sequence {
			w.breaks("end not acknowledged", vm.ends[0].Task, "end %d of run %d as %s is listed by %s", sequence, vm.ends[0].Run, vm.ends[0].Cause, vm.id)
		}
	}
}

func (f *lateFixture) caller() Caller {
	return Caller{Queue: f.client.operator.view.Catalog.Queues["q"]}
}

// playLateCalls plays the plan of a seed and returns what the workers have observed.
func playLateCalls(t *testing.T, seed uint64) *lateVMs {
	clock, mem := bubbleClock{time.Now()}, memstore.New()
	plan := newLatePlan(seed, clock)
	f := &lateFixture{restartFixture: restartFixture{t: t, mem: mem, clock: clock}}
	f.workers = &lateVMs{seed: seed, clock: clock, vms: plan.vms, lasting: plan.tasks, attempts: plan.attempts, done: map[string][]*keptEnd{}, failed: map[string][]*keptEnd{}, starts: map[string][]lateStarted{}, crashes: map[string]int{}, counts: map[string]int{}}
	f.machines = &lateMachines{lateVMs: f.workers, dropped: map[string]bool{}}
	f.prepare = func(n *Node) {
		n.machines = f.machines
		queue := &catalog.Queue{Name: "q", Pool: "p", Open: true, MaxAttempts: plan.attempts}
		n.operator.view = View{Catalog: catalog.New(1, []*catalog.Queue{queue}, []*catalog.Pool{{Name: "p"}}, nil, catalog.Limits{})}
	}
	f.client = newLeaseEntry(t, "client", mem, clock, nil)
	f.prepare(f.client)
	ctx, cancel := context.WithCancel(t.Context())
	f.running.Go(func() { f.keepRows(ctx) })
	f.ownNext()
	for _, e := range plan.events {
		time.Sleep(e.at - clock.Now().Steady)
		if e.what != "" {
			f.workers.mu.Lock()
			f.workers.note("", "", "%s", e.what)
			f.workers.mu.Unlock()
		}
		e.do(f)
	}
	time.Sleep(lateFaultTime + lateWaitBound - clock.Now().Steady)
	f.checkWaiting()
	f.checkAcknowledged()
	for _, l := range f.owners {
		l.stop()
	}
	cancel()
	f.running.Wait()
	time.Sleep(2 * renewTimeout) // what is under way ends
	return f.workers
}

// trace returns the events of a task and those of the VMs to which calls for it were sent.
func (f *lateVMs) trace(task string) string {
	near := map[string]bool{"": true}
	for _, e := range f.log {
		near[e.vm] = near[e.vm] || e.task == task
	}
	var s strings.Builder
	for _, e := range f.log {
		if e.task == task || e.task == "" && near[e.vm] {
			fmt.Fprintf(&s, "%8.3f %-4s %s\n", e.at.Seconds(), e.vm, e.text)
		}
	}
	return s.String()
}

// checkLateCalls plays seeds, and fails the test for each that breaks a rule. It returns how often
// the plays have met what they are to cover.
func checkLateCalls(t *testing.T, first uint64, seeds int) (covered map[string]int) {
	var mu sync.Mutex
	failed := map[string][]uint64{} // by kind
	traces := 0
	covered = map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+uint64(seeds); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					workers := playLateCalls(t, seed)
					mu.Lock()
					defer mu.Unlock()
					workers.mu.Lock()
					defer workers.mu.Unlock()
					for what, n := range workers.counts {
						covered[what] += n
					}
					if len(workers.broken) == 0 {
						return
					}
					kinds := map[string]bool{}
					for _, v := range workers.broken {
						t.Errorf("seed %d: %s: task %s, %s", seed, v.kind, v.task, v.text)
						kinds[v.kind] = true
					}
					for kind := range kinds {
						failed[kind] = append(failed[kind], seed)
					}
					if traces++; traces <= *lateCallsTrace {
						t.Logf("seed %d, task %s:\n%s", seed, workers.broken[0].task, workers.trace(workers.broken[0].task))
					}
				})
			})
		}
	})
	for _, what := range slices.Sorted(maps.Keys(covered)) {
		t.Logf("covered: %s: %d", what, covered[what])
	}
	for _, kind := range slices.Sorted(maps.Keys(failed)) {
		slices.Sort(failed[kind])
		t.Logf("%s: %d of %d seeds: %v", kind, len(failed[kind]), seeds, failed[kind])
	}
	return covered
}

// Guards against a task that runs twice at a time, starts after an end as done that was
// acknowledged (TWICE) or after its last attempt (BUDGET), or waits for longer than a lease can last
// (LOST), and against ends that are never acknowledged (Acks): a call without an answer that a worker carries out late, under whatever incarnation lives then.
func TestLateCallsOfTheWorstWorker(t *testing.T) {
	covered := checkLateCalls(t, 1, lateCallsSeedsInCI)
	for _, what := range []string{
		"restarts", "owners", "runs lapsed", "starts late: accepted", "starts late: fenced", "starts carried out, answer lost: accepted",
		"renewals late: carried out", "renewals late: refused", "stops on time", "stops late", "ends as done acknowledged, lapsed false",
		"ends as failed acknowledged, lapsed false", "starts on time: no_room", "starts on time: unhealthy", "drains", "next lives of machines", "lists of machines",
	} {
		if covered[what] == 0 {
			t.Errorf("no play covers %q", what)
		}
	}
}

// Guards against the same on other seeds, outside CI:
//
//	go test ./node -run TestLateCallsOfFreeSeeds -latecalls.first 5000 -latecalls.seeds 1000
func TestLateCallsOfFreeSeeds(t *testing.T) {
	if *lateCallsSeeds == 0 {
		t.Skip("-latecalls.seeds is not set")
	}
	checkLateCalls(t, *lateCallsFirst, *lateCallsSeeds)
}
