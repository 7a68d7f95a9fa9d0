package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
)

// Renewals of leases.
const (
	// renewWait is how long a worker holds a renewal that has nothing to list.
	// Twice this is below the age at which a VM gets no new work.
	renewWait = time.Second
	// renewMargin is added to the wait for the time limit of the call.
	renewMargin = 700 * time.Millisecond
	// renewPause lets ends gather before the next renewal; it bounds the calls
	// to a busy worker at 25 a second.
	renewPause = 40 * time.Millisecond
	// renewRetry is the pause after a renewal without an answer.
	renewRetry = 200 * time.Millisecond
	// recordLimit is the longest that a renewal waits for ends to be recorded
	// before it goes out without taking note of them.
	recordLimit = 600 * time.Millisecond
	// clockDrift is the most that a worker's clock is slow, relative.
	clockDrift = 0.02
	// leaseMargin covers rounding of clocks to milliseconds.
	leaseMargin = 20 * time.Millisecond
	orderLimit  = 800 * time.Millisecond // of a start, stop or pace
	// startsAtOnce and stopsAtOnce bound the calls to one worker; one takes 2 to
	// 3 ms. Stops do not share the slots of starts, which a worker may leave
	// unanswered.
	startsAtOnce = 3
	stopsAtOnce  = 2 // paces among them
	// orderFresh is the longest that an order may wait for its slot. A listing
	// that is older than this may no longer tell what runs on the VM, and
	// another VM may take the task instead.
	orderFresh = 250 * time.Millisecond
)

// orderSlots bound the orders that are under way to one worker.
type orderSlots struct{ starts, stops chan struct{} }

func newOrderSlots() orderSlots {
	return orderSlots{make(chan struct{}, startsAtOnce), make(chan struct{}, stopsAtOnce)}
}

func (o orderSlots) of(kind pool.CommandKind) chan struct{} {
	if kind == pool.Start {
		return o.starts
	}
	return o.stops
}

// session carries the orders of one pool owner to one VM and renews its leases.
type session struct {
	ref     WorkerRef
	workers Workers
	clock   Clock
	log     *zap.Logger
	pool    string
	metrics *metrics
	epoch   int64
	lease   time.Duration
	deliver func(func(*pool.Pool)) // runs a function in the scheduler's loop

	seen      atomic.Int64 // ends up to this number are recorded
	mayExtend atomic.Bool  // no lease bound is recorded for a later owner
	recorded  chan struct{}
	stop      context.CancelFunc
	slots     orderSlots
	mayRenew  func() bool
	mayStart  func() bool

	mu      sync.Mutex
	clockMS int64         // of the worker, at clockAt
	clockAt time.Duration // when the answer with it arrived
	lives   int64         // of the worker, as seen by this session
	born    int64
	silent  bool
}

// deadline returns the lease deadline on the worker's clock, and the bound on
// the steady clock of this process at which everything under it has ended. It
// is false until the worker's clock is known.
func (s *session) deadline(now time.Duration) (deadline int64, bound time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockAt == 0 {
		return 0, 0, false
	}
	elapsed := time.Duration(float64(now-s.clockAt) * (1 - clockDrift))
	deadline = s.clockMS + (elapsed + s.lease).Milliseconds()
	bound = now + time.Duration(float64(s.lease)/(1-clockDrift)) + leaseMargin
	return deadline, bound, true
}

func (s *session) sawClock(clockMS, born int64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockMS, s.clockAt = clockMS, at
	if born != 0 && s.born != 0 && born != s.born {
		s.lives = min(s.lives+1, tokensPerEpoch-1)
	}
	if born != 0 {
		s.born = born
	}
}

// tokensPerEpoch leaves room in the fencing token for the lives of a worker.
const tokensPerEpoch = 1000

// token returns the fencing token of orders. A worker that has restarted under
// its id knows no token, so each life gets a higher one, which keeps out orders
// for the earlier life that are carried out late.
func (s *session) token() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch*tokensPerEpoch + s.lives
}

// run renews the VM's leases until ctx ends.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.mayRenew() {
			sleep(ctx, renewRetry)
			continue
		}
		pause := renewPause
		if highest, ok := s.renew(ctx); !ok {
			pause = renewRetry
		} else if highest > s.seen.Load() {
			s.awaitRecord(ctx, highest)
		}
		sleep(ctx, pause)
	}
}

// awaitRecord waits until the ends of the last listing are recorded.
func (s *session) awaitRecord(ctx context.Context, highest int64) {
	timer := time.NewTimer(recordLimit)
	defer timer.Stop()
	for s.seen.Load() < highest {
		select {
		case <-s.recorded:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// setSeen tells that ends up to a number are recorded.
func (s *session) setSeen(n int64) {
	if s.seen.Swap(n) == n {
		return
	}
	select {
	case s.recorded <- struct{}{}:
	default:
	}
}

func (s *session) renew(ctx context.Context) (highest int64, ok bool) {
	sentAt := s.clock.Now().Steady
	r := Renewal{Token: s.token(), Seen: s.seen.Load(), Wait: renewWait}
	if deadline, bound, known := s.deadline(sentAt); known && !s.isSilent() && s.mayExtend.Load() {
		r.Deadline = deadline
		s.deliver(func(p *pool.Pool) { p.LeaseGranted(s.ref.ID, bound) })
	} else {
		// The first renewal only learns the clock and the listing. One after a
		// call without an answer extends nothing, so that the runs of a VM that
		// is lost can be given up.
		r.Wait = 0
	}
	if s.isSilent() {
		// The worker may have restarted under its id, and numbers its ends anew:
		// taking note of the old numbers would forget ends that nobody has seen.
		r.Seen = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, r.Wait+renewMargin)
	answer, err := s.workers.Renew(callCtx, s.ref, r)
	cancel()
	if err != nil {
		s.renewFailed(ctx, err)
		return 0, false
	}
	at := s.clock.Now().Steady
	s.sawClock(answer.Clock, answer.Born, at)
	s.answered()
	listing := pool.Listing{VM: s.ref.ID, Born: answer.Born, SentAt: sentAt, At: at,
		Running: answer.Running, Ended: answer.Ended, Complete: len(answer.Ended) < maxListedEnds}
	for _, end := range answer.Ended {
		highest = max(highest, end.Sequence)
	}
	s.deliver(func(p *pool.Pool) { p.Listed(listing) })
	return highest, true
}

// maxListedEnds is the number of ends that one answer lists at most.
const maxListedEnds = 500

func (s *session) renewFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrFenced) {
		s.deliver(func(p *pool.Pool) { p.Depose(s.ref.ID) })
		return
	}
	s.mu.Lock()
	was := s.silent
	s.silent = true
	s.mu.Unlock()
	if !was {
		s.log.Warn("dependency_lost", zap.String("dependency", "vm "+s.ref.ID), zap.String("address", s.ref.Address), zap.Error(err))
	}
	s.deliver(func(p *pool.Pool) { p.Silent(s.ref.ID) })
}

func (s *session) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *session) answered() {
	s.mu.Lock()
	was := s.silent
	s.silent = false
	s.mu.Unlock()
	if was {
		s.log.Info("dependency_regained", zap.String("dependency", "vm "+s.ref.ID))
	}
}

// carry sends a command and delivers its result. One that is too old by then is
// not sent.
func (s *session) carry(ctx context.Context, c pool.Command) {
	left := c.IssuedAt + orderFresh - s.clock.Now().Steady
	if left <= 0 {
		s.notSent(c)
		return
	}
	slots := s.slots.of(c.Kind)
	fresh := time.NewTimer(left)
	defer fresh.Stop()
	select {
	case slots <- struct{}{}:
	case <-fresh.C:
		s.notSent(c)
		return
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	callCtx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	switch c.Kind {
	case pool.Start:
		s.start(callCtx, c)
	case pool.Stop:
		err := s.workers.Stop(callCtx, s.ref, c.Task, c.Run, s.token())
		at := s.clock.Now().Steady
		s.deliver(func(p *pool.Pool) { p.Stopped(c, err == nil, at) })
	case pool.Pace:
		if err := s.workers.Pace(callCtx, s.ref, c.Task, c.Run, c.Percent, s.token()); err != nil {
			s.log.Info("pace_failed", zap.String("task", c.Task), zap.String("vm", c.VM), zap.Error(err))
			s.deliver(func(p *pool.Pool) { p.PaceFailed(c) })
		}
	}
}

// notSent gives an order back that has waited for too long.
func (s *session) notSent(c pool.Command) {
	s.log.Info("order_not_sent", zap.String("task", c.Task), zap.Int("run", c.Run), zap.String("vm", c.VM), zap.Stringer("kind", c.Kind),
		zap.Duration("age", s.clock.Now().Steady-c.IssuedAt))
	s.deliver(func(p *pool.Pool) { p.NotSent(c) })
}

func (s *session) start(ctx context.Context, c pool.Command) {
	result := pool.StartLate // nothing is sent without a lease deadline
	began := s.clock.Now().Steady
	deadline, bound, ok := s.deadline(began)
	// The checks follow the deadline: a bound that is recorded once the VM is
	// silent covers every deadline that was taken before.
	if ok && s.mayStart() && !s.isSilent() && s.mayExtend.Load() {
		s.deliver(func(p *pool.Pool) { p.LeaseGranted(s.ref.ID, bound) })
		result = s.workers.Start(ctx, s.ref, StartOrder{Task: c.Task, Run: c.Run, Payload: c.Payload,
			Deadline: deadline, Token: s.token(), Checkpoint: c.Checkpoint, Ticket: c.Ticket})
		s.metrics.observe(metricStart, s.pool, s.clock.Now().Steady-began)
	}
	at := s.clock.Now().Steady
	s.deliver(func(p *pool.Pool) { p.Started(c, result, at) })
}
