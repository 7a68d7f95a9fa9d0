package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthfork.example/sched/pool"
)

// lateSpan is a time in a plan.
type lateSpan struct{ from, to time.Duration }

func (s lateSpan) holds(at time.Duration) bool { return s.from <= at && at < s.to }

// callFate is what becomes of a call.
type callFate int

const (
	onTime callFate = iota
	answerLost
	callLost
	carriedOutLate
)

func (f callFate) String() string {
	return [...]string{"on time", "carried out, answer lost", "lost", "late"}[f]
}

// linkFault is a time in which calls to a VM go wrong.
type linkFault struct {
	lateSpan
	owner string // of whose calls; empty for all
	odds  [4]int // of each fate
}

// lateVM is a worker of a plan.
type lateVM struct {
	*restartingVM
	id, address string
	faults      []linkFault
	silent      []lateSpan    // it does not reach the table service
	rowLasts    time.Duration // its row is removed after so much silence
	lostForGood bool          // it is cut off and stays so
	crashed     bool          // it runs nothing any more
	draining    bool          // it is going to leave
	left        bool          // it has left in order
	machine     string
	next        *lateVM    // the next life of its machine; nil if there is none yet
	refusals    []lateSpan // it refuses starts now and then

	started map[string]string     // by task, how its run was started
	planned map[string]plannedEnd // by task, of the runs that end by themselves or were stopped
	kept    []*keptEnd            // of the present incarnation, not acknowledged
	changed chan struct{}         // closed when something has changed for a renewal that waits
}

// plannedEnd is the end of a run that is to come.
type plannedEnd struct {
	at    time.Duration
	cause pool.EndCause
}

// keptEnd is the end of a run as done or failed.
type keptEnd struct {
	task         string
	cause        pool.EndCause
	number       int // among all ends and starts
	run          int
	sequence     int64
	lapsed       bool   // the lease of the worker lapsed before the end was acknowledged
	acknowledged bool   // also if lapsed
	startedAfter string // the first start of the task after it; empty if there was none
}

// lateVMs are the workers of a plan and what they observe. All fields are used under mu.
type lateVMs struct {
	mu       sync.Mutex
	seed     uint64
	clock    Clock
	vms      []*lateVM
	lasting  map[string]bool       // tasks that last
	done     map[string][]*keptEnd // by task
	failed   map[string][]*keptEnd // by task
	starts   map[string][]lateStarted
	events   int            // ends and starts
	attempts int            // failed ends after which a task must not start; 0 if there is no bound
	crashes  map[string]int // losses of VMs with a run of the task, or with an end as done or failed that is not acknowledged
	calls    int
	log      []lateLogEntry
	broken   []lateViolation
	counts   map[string]int // what the play covers
}

// lateStarted is a run that has begun.
type lateStarted struct {
	number int // among all ends and starts
	how    string
}

type lateLogEntry struct {
	at             time.Duration
	vm, task, text string
}

type lateViolation struct{ kind, task, text string }

func (f *lateVMs) now() time.Duration { return f.clock.Now().Steady }

// note logs an event of a VM, a task, both or neither.
func (f *lateVMs) note(vm, task, format string, args ...any) {
	f.log = append(f.log, lateLogEntry{f.now(), vm, task, fmt.Sprintf(format, args...)})
}

func (f *lateVMs) breaks(kind, task, format string, args ...any) {
	v := lateViolation{kind, task, fmt.Sprintf(format, args...)}
	f.broken = append(f.broken, v)
	f.note("", task, "!!! %s: %s", kind, v.text)
}

func (f *lateVMs) count(what string, n int) { f.counts[what] += n }

// draw returns random numbers that depend on the seed and on what they are for.
func (f *lateVMs) draw(what ...any) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, what...)
	return rand.New(rand.NewPCG(f.seed, h.Sum64()))
}

func (f *lateVMs) byAddress(address string) *lateVM {
	return f.vms[slices.IndexFunc(f.vms, func(w *lateVM) bool { return w.address == address })]
}

// advance carries out what has happened on the workers since the last change.
func (f *lateVMs) advance() {
	for _, w := range f.vms {
		now := f.now()
		for {
			task, next := w.nextEnd()
			if task == "" || next.at > now || w.clockAt(next.at) > w.deadline {
				break
			}
			run := w.running[task].Run
			delete(w.planned, task)
			w.end(task, next.cause)
			f.note(w.id, task, "run %d ends %s, number %d on incarnation %d", run, next.cause, w.sequence, w.bornMS)
			if (next.cause == pool.EndDone || next.cause == pool.EndFailed) && !f.lasting[task] {
				f.events++
				e := &keptEnd{task: task, cause: next.cause, number: f.events, run: run, sequence: w.sequence}
				w.kept = append(w.kept, e)
				if e.cause == pool.EndDone {
					f.done[task] = append(f.done[task], e)
				} else {
					f.failed[task] = append(f.failed[task], e)
				}
			}
		}
		if w.clockMS() > w.deadline {
			for _, e := range w.kept {
				e.lapsed = true
			}
			for _, task := range slices.Sorted(maps.Keys(w.running)) {
				f.count("runs lapsed", 1)
				f.note(w.id, task, "run %d has lapsed", w.running[task].Run)
			}
			clear(w.planned)
			w.expire()
		}
	}
}

// nextEnd returns the next planned end on w; the task is empty if there is none.
func (w *lateVM) nextEnd() (task string, next plannedEnd) {
	for _, t := range slices.Sorted(maps.Keys(w.planned)) {
		if p := w.planned[t]; task == "" || p.at < next.at {
			task, next = t, p
		}
	}
	return task, next
}

// wake wakes the renewals that wait at w.
func (w *lateVM) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (f *lateVMs) restart(w *lateVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose(w.present())
}

// present returns the newest life of the machine of w.
func (w *lateVM) present() *lateVM {
	for w.next != nil {
		w = w.next
	}
	return w
}

// lose has w begin again as its next incarnation, which knows nothing.
func (f *lateVMs) lose(w *lateVM) {
	if w.crashed {
		return
	}
	f.advance()
	for task := range w.running {
		f.crashes[task]++
	}
	for _, e := range w.kept { // nobody knows of the end
		f.crashes[e.task]++
	}
	w.planned, w.kept, w.draining = map[string]plannedEnd{}, nil, false
	w.restart()
	w.wake()
	f.count("restarts", 1)
	f.note(w.id, "", "restarts as incarnation %d", w.bornMS)
}

// callRecord tells of a call that is carried out.
type callRecord struct {
	number      int
	fate        callFate
	incarnation int64 // to which it was sent
}

// start carries out a start on w and checks that the task may start.
func (f *lateVMs) start(w *lateVM, call callRecord, o StartOrder) pool.StartResult {
	before, was := w.running[o.Task]
	result := f.refuse(w, o)
	if result == pool.StartAccepted {
		result = w.start(o)
	}
	f.note(w.id, o.Task, "#%d carried out by incarnation %d, clock %d: %v", call.number, w.bornMS, w.clockMS(), result)
	w.wake()
	f.count("starts "+call.fate.String()+": "+result.String(), 1)
	if result != pool.StartAccepted || was && before.Run == o.Run {
		return result
	}
	f.events++
	how := fmt.Sprintf("run %d on %s", o.Run, w.id)
	for _, other := range f.vms {
		r, ok := other.running[o.Task]
		if other == w {
			r, ok = before, was
		}
		if ok {
			kind := "two runs"
			if call.fate == carriedOutLate {
				kind += ", the later start is late"
			}
			if strings.HasPrefix(other.started[o.Task], "late") {
				kind += ", the earlier start was late"
			}
			f.breaks(kind, o.Task, "run %d starts on %s, while run %d (%s) runs on %s; it may last %d ms more on its clock",
				o.Run, w.id, r.Run, other.started[o.Task], other.id, other.deadline-other.clockMS())
		}
	}
	w.started[o.Task] = call.fate.String()
	if call.incarnation != w.bornMS {
		w.started[o.Task] += fmt.Sprintf(", sent to incarnation %d", call.incarnation)
	}
	delete(w.planned, o.Task)
	if f.lasting[o.Task] {
		return result
	}
	lasts := earliestDone + time.Duration(f.draw("done", o.Task, o.Run).Int64N(int64(latestDone-earliestDone)))
	w.planned[o.Task] = plannedEnd{f.now() + lasts, pool.EndDone}
	if f.draw("fails", o.Task, o.Run, f.now()).IntN(100) < lateFailures {
		w.planned[o.Task] = plannedEnd{f.now() + lasts, pool.EndFailed}
	}
	f.starts[o.Task] = append(f.starts[o.Task], lateStarted{f.events, how})
	f.checkAttempts(o.Task)
	for _, e := range f.done[o.Task] {
		if e.startedAfter == "" {
			e.startedAfter = how
		}
		f.checkDone(e)
	}
	return result
}

// checkDone fails the play if a task has started after an end as done that is acknowledged.
func (f *lateVMs) checkDone(e *keptEnd) {
	if e.cause == pool.EndDone && e.acknowledged && !e.lapsed && e.startedAfter != "" {
		f.breaks("start after done", e.task, "%s started after run %d had ended as done, an end that is acknowledged", e.startedAfter, e.run)
		e.startedAfter = ""
	}
}

// checkAttempts fails the play if a task has started after the last failed end that its queue
// allows, of ends that are acknowledged.
func (f *lateVMs) checkAttempts(task string) {
	for i, s := range f.starts[task] {
		noted := 0
		for _, e := range f.failed[task] {
			if e.number < s.number && e.acknowledged && !e.lapsed {
				noted++
			}
		}
		if f.attempts > 0 && noted >= f.attempts {
			f.breaks("start after the last attempt", task, "%s started after %d failed ends that are acknowledged", s.how, noted)
			f.starts[task] = slices.Delete(f.starts[task], i, i+1)
			return
		}
	}
}

// refuse lets w refuse a start now and then, while it does so. The result is StartAccepted if not.
func (f *lateVMs) refuse(w *lateVM, o StartOrder) pool.StartResult {
	r := f.draw("refuses", w.id, o.Task, f.now())
	if !slices.ContainsFunc(w.refusals, func(s lateSpan) bool { return s.holds(f.now()) }) || r.IntN(2) == 0 {
		return pool.StartAccepted
	}
	if r.IntN(2) == 0 {
		return pool.StartUnhealthy // it does nothing
	}
	switch {
	case o.Token < w.token || w.running[o.Task].Run == o.Run || o.DeadlineMS <= w.clockMS() || o.Run <= w.highest[o.Task]:
		return pool.StartAccepted // it comes not so far
	}
	w.token = o.Token
	w.extend(o.DeadlineMS)
	return pool.StartNoRoom
}

// stop carries out a stop on w. The run may go on for the grace time.
func (f *lateVMs) stop(w *lateVM, call callRecord, task string, run int, token int64) error {
	f.count("stops "+call.fate.String(), 1)
	f.note(w.id, task, "#%d stop of run %d carried out by incarnation %d, refused %v", call.number, run, w.bornMS, token < w.token)
	if token < w.token {
		return ErrFenced
	}
	w.token = token
	w.highest[task] = max(w.highest[task], run)
	if r, ok := w.running[task]; ok && r.Run <= run {
		end := plannedEnd{f.now() + time.Duration(f.draw("stop", task, run, f.now()).IntN(900))*time.Millisecond, pool.EndStopped}
		if p, ok := w.planned[task]; !ok || end.at < p.at {
			w.planned[task] = end
		}
	}
	w.wake()
	return nil
}

// renew carries out a renewal on w.
func (f *lateVMs) renew(w *lateVM, call callRecord, r Renewal) error {
	if r.Token < w.token {
		f.count("renewals "+call.fate.String()+": refused", 1)
		return ErrFenced
	}
	f.count("renewals "+call.fate.String()+": carried out", 1)
	w.token = r.Token
	if r.DeadlineMS > 0 {
		w.extend(r.DeadlineMS)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e pool.RunEnd) bool { return e.Sequence <= r.AcknowledgedEnds })
	w.kept = slices.DeleteFunc(w.kept, func(e *keptEnd) bool {
		if e.sequence > r.AcknowledgedEnds {
			return false
		}
		e.acknowledged = true
		f.count(fmt.Sprintf("ends as %s acknowledged, lapsed %v", e.cause, e.lapsed), 1)
		f.note(w.id, e.task, "end of run %d is acknowledged, lapsed %v", e.run, e.lapsed)
		f.checkDone(e)
		f.checkAttempts(e.task)
		return true
	})
	return nil
}

// awaitEnd waits until an incarnation of w has an end to list, at most for a time.
func (f *lateVMs) awaitEnd(w *lateVM, incarnation int64, atMost time.Duration) {
	for until := f.now() + atMost; ; {
		f.mu.Lock()
		f.advance()
		over := len(w.ends) > 0 || w.bornMS != incarnation || f.now() >= until
		next := until
		if len(w.running) > 0 {
			if task, end := w.nextEnd(); task != "" {
				next = min(next, end.at)
			}
			next = min(next, f.now()+time.Duration(float64(max(0, w.deadline-w.clockMS())+2)/(1-w.slow))*time.Millisecond)
		}
		changed := w.changed
		f.mu.Unlock()
		if over {
			return
		}
		timer := time.NewTimer(max(next-f.now(), time.Millisecond))
		select {
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
}

// listing returns what w answers to a renewal now.
func (w *lateVM) listing() RenewalAnswer {
	a := RenewalAnswer{ClockMS: w.clockMS(), StartedMS: w.bornMS, Ended: slices.Clone(w.ends)}
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		a.Running = append(a.Running, w.running[task])
	}
	return a
}

// lateOwner is an entry that owns the pool for a time. It implements Workers.
type lateOwner struct {
	Workers
	*lateVMs
	name  string
	store *unreachableStore
	dead  atomic.Bool // its process was killed
	stop  func()
}

// decide draws the fate of a call. The first delay is until it is carried out, the second one
// that of the answer.
func (l *lateOwner) decide(w *lateVM, what string) (fate callFate, delay, answerDelay time.Duration) {
	at := l.now()
	r := l.draw(l.name, w.id, what, at)
	// Few calls arrive at the same moment, so that most plays of a seed are alike.
	fate, delay, answerDelay = onTime, 2*time.Millisecond+time.Duration(r.IntN(1000))*time.Microsecond, time.Millisecond+time.Duration(r.IntN(1000))*time.Microsecond
	for _, fault := range w.faults {
		if !fault.holds(at) || fault.owner != "" && fault.owner != l.name {
			continue
		}
		pick := r.IntN(fault.odds[0] + fault.odds[1] + fault.odds[2] + fault.odds[3])
		drawn := onTime
		for pick >= fault.odds[drawn] {
			pick -= fault.odds[drawn]
			drawn++
		}
		fate = max(fate, drawn)
		if r.IntN(4) == 0 {
			delay = time.Duration(r.IntN(700_000)) * time.Microsecond
		}
		if r.IntN(4) == 0 {
			answerDelay = time.Duration(r.IntN(900_000)) * time.Microsecond
		}
	}
	if fate == carriedOutLate {
		delay = earliestLateCall + time.Duration(r.Int64N(int64(latestOrder-earliestLateCall)))
		if r.IntN(3) == 0 {
			delay = latestOrder - time.Millisecond
		}
	}
	return fate, delay, answerDelay
}

// isCut reports whether answers do not reach the owner now.
func (l *lateOwner) isCut(w *lateVM) bool {
	return slices.ContainsFunc(w.faults, func(fault linkFault) bool {
		return fault.holds(l.now()) && fault.odds[onTime] == 0 && (fault.owner == "" || fault.owner == l.name)
	})
}

// lateCall sends a call to the VM at an address; the task is empty for a renewal. wait tells for how
// long the VM may hold the answer. The result is false if the call has no answer, also if that
// comes when the owner does not wait for it any more.
func lateCall[A any](ctx context.Context, l *lateOwner, address, task, what string, wait func(A) time.Duration, carryOut func(w *lateVM, call callRecord) A, answer func(*lateVM, *A)) (A, bool) {
	l.mu.Lock()
	l.advance()
	w := l.byAddress(address)
	fate, delay, answerDelay := l.decide(w, what)
	if l.dead.Load() {
		fate = callLost
	}
	l.calls++
	call := callRecord{l.calls, fate, w.bornMS}
	if !l.dead.Load() && (task != "" || fate == answerLost || fate == carriedOutLate) {
		in := ""
		if fate == carriedOutLate || delay+answerDelay > 5*time.Millisecond {
			in = fmt.Sprintf(", after %v and %v", delay, answerDelay)
		}
		l.note(w.id, task, "#%d %s sends %s: %v%s", call.number, l.name, what, fate, in)
	}
	l.mu.Unlock()
	answers := make(chan A, 1)
	deliver := func() {
		l.mu.Lock()
		l.advance()
		if w.crashed {
			l.mu.Unlock()
			return
		}
		incarnation := w.bornMS
		if task == "" && fate != onTime {
			l.note(w.id, "", "#%d carried out by incarnation %d with token %d, clock %d", call.number, incarnation, w.token, w.clockMS())
		}
		a := carryOut(w, call)
		l.mu.Unlock()
		if fate != onTime {
			return
		}
		l.awaitEnd(w, incarnation, wait(a))
		l.mu.Lock()
		l.advance()
		if w.bornMS != incarnation || w.crashed || l.isCut(w) {
			l.note(w.id, task, "#%d gets no answer", call.number)
			l.mu.Unlock()
			return
		}
		answer(w, &a)
		l.mu.Unlock()
		time.Sleep(answerDelay)
		answers <- a
	}
	if fate != callLost {
		time.AfterFunc(delay, deliver)
	}
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
		var none A
		return none, false
	}
}

func noWait[A any](A) time.Duration { return 0 }

func (l *lateOwner) Renew(ctx context.Context, ref WorkerRef, r Renewal) (RenewalAnswer, error) {
	type outcome struct {
		answer RenewalAnswer
		err    error
	}
	what := fmt.Sprintf("renewal, token %d, deadline %d, acknowledged %d", r.Token, r.DeadlineMS, r.AcknowledgedEnds)
	o, ok := lateCall(ctx, l, ref.Address, "", what, func(o outcome) time.Duration {
		if o.err != nil {
			return 0
		}
		return r.Wait
	}, func(w *lateVM, call callRecord) outcome {
		return outcome{err: l.renew(w, call, r)}
	}, func(w *lateVM, o *outcome) { o.answer = w.listing() })
	if !ok {
		return RenewalAnswer{}, ErrNoAnswer
	}
	return o.answer, o.err
}

func (l *lateOwner) Start(ctx context.Context, ref WorkerRef, o StartOrder) StartAnswer {
	what := fmt.Sprintf("start of run %d, token %d, deadline %d", o.Run, o.Token, o.DeadlineMS)
	a, ok := lateCall(ctx, l, ref.Address, o.Task, what, noWait[StartAnswer], func(w *lateVM, call callRecord) StartAnswer {
		return StartAnswer{Result: l.lateVMs.start(w, call, o)}
	}, func(w *lateVM, a *StartAnswer) {
		if a.Result != pool.StartUnhealthy {
			a.ClockMS = w.clockMS()
		}
	})
	if !ok {
		return StartAnswer{Result: pool.StartUnconfirmed}
	}
	return a
}

func (l *lateOwner) Stop(ctx context.Context, ref WorkerRef, task string, run int, token int64) error {
	err, ok := lateCall(ctx, l, ref.Address, task, fmt.Sprintf("stop of run %d, token %d", run, token), noWait[error], func(w *lateVM, call callRecord) error {
		return l.lateVMs.stop(w, call, task, run, token)
	}, func(*lateVM, *error) {})
	if !ok {
		return ErrNoAnswer
	}
	return err
}

func (l *lateOwner) Throttle(context.Context, WorkerRef, string, int, int, int64) error { return nil }

// lateMachines is the inventory of a plan: it tells what was so shortly before.
type lateMachines struct {
	Machines
	*lateVMs
	dropped map[string]bool // machines that have left; used under mu
}

func (m *lateMachines) List(ctx context.Context) ([]Machine, error) {
	m.mu.Lock()
	var list []Machine
	listed := map[string]bool{}
	for _, w := range m.vms {
		if listed[w.machine] || m.dropped[w.machine] {
			continue
		}
		listed[w.machine] = true
		present, worker := w.present(), ""
		if !present.crashed {
			worker = present.id
		}
		list = append(list, Machine{Name: w.machine, Pool: "p", Up: worker != "", Worker: worker})
	}
	r := m.draw("inventory", m.now())
	m.count("lists of machines", 1)
	m.mu.Unlock()
	sleep(ctx, time.Duration(20+r.IntN(80))*time.Millisecond)
	if r.IntN(8) == 0 {
		return nil, ErrNoAnswer
	}
	return list, nil
}

// leave ends a life of a machine: what runs there ends. The next one, if it has one, has another id.
func (f *lateFixture) leave(w *lateVM, inOrder bool) {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	w = w.present()
	f.workers.lose(w)
	w.crashed, w.left = true, inOrder
	f.workers.note(w.id, "", "ends for good, in order %v", inOrder)
}

// bear begins the next life of the machine of w.
func (f *lateFixture) bear(w *lateVM) {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	w = w.present()
	next := newLateVM(f.clock, w.id+"n", w.machine)
	next.slow, next.rowLasts, next.faults, next.silent, next.refusals = w.slow, w.rowLasts, slices.Clone(w.faults), w.silent, w.refusals
	next.bornAt, next.bornMS = f.clock.Now().Steady, w.bornMS+1
	w.next = next
	f.workers.vms = append(f.workers.vms, next)
	f.workers.count("next lives of machines", 1)
	f.workers.note(next.id, "", "is the next life of %s, incarnation %d", w.machine, next.bornMS)
}

func newLateVM(clock Clock, id, machine string) *lateVM {
	vm := newRestartingVMs(clock, id+":80").vms[id+":80"]
	return &lateVM{restartingVM: vm, id: id, address: id + ":80", machine: machine, planned: map[string]plannedEnd{}, started: map[string]string{}, changed: make(chan struct{}), rowLasts: 3 * time.Second}
}
