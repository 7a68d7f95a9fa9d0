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

// Timing of lease renewals and orders.
const (
	// renewWait is how long a worker holds a renewal while it has nothing to
	// list. Twice this time is below the age of a listing at which a VM gets no
	// new work.
	renewWait = time.Second
	// renewTimeoutMargin is added to the wait to get the timeout of the call.
	renewTimeoutMargin = 700 * time.Millisecond
	// renewPause lets ends of runs accumulate before the next renewal; it
	// bounds the calls to a busy worker at 25 a second.
	renewPause = 40 * time.Millisecond
	// renewRetryPause is the pause after a renewal without an answer.
	renewRetryPause = 200 * time.Millisecond
	// recordTimeout is the longest time that a renewal waits until the listed
	// ends are recorded. After it, the renewal is sent without acknowledging
	// them.
	recordTimeout = 600 * time.Millisecond
	// clockDrift is the largest assumed relative error by which a worker's
	// clock is slow.
	clockDrift = 0.02
	// leaseMargin covers the rounding of clocks to milliseconds.
	leaseMargin  = 20 * time.Millisecond
	orderTimeout = 800 * time.Millisecond // of a start, stop or change of throttle
	// maxConcurrentStarts and maxConcurrentStops bound the calls to one worker;
	// a call takes 2 to 3 ms. Stops do not share the slots of starts, since a
	// worker may leave starts unanswered.
	maxConcurrentStarts = 3
	maxConcurrentStops  = 2 // including changes of throttle
	// orderMaxAge is the longest time that an order may wait for its slot. The
	// listing on which an older order is based may no longer show what runs on
	// the VM, and another VM may take the task instead.
	orderMaxAge = 250 * time.Millisecond
)

// orderSlots limits the concurrent orders to one worker.
type orderSlots struct{ starts, stops chan struct{} }

func newOrderSlots() orderSlots {
	return orderSlots{make(chan struct{}, maxConcurrentStarts), make(chan struct{}, maxConcurrentStops)}
}

func (o orderSlots) forKind(kind pool.CommandKind) chan struct{} {
	if kind == pool.Start {
		return o.starts
	}
	return o.stops
}

// vmClient sends the orders of one pool's owner to one VM and renews the leases
// of its runs.
type vmClient struct {
	ref     WorkerRef
	workers Workers
	clock   Clock
	log     *zap.Logger
	pool    string
	metrics *metrics
	epoch   int64                  // of the pool's owner
	lease   time.Duration          // duration of a lease
	deliver func(func(*pool.Pool)) // runs a function in the scheduler's loop

	acknowledged atomic.Int64  // ends of runs up to this sequence number are recorded
	mayExtend    atomic.Bool   // false while a lease bound is recorded for a later owner
	recorded     chan struct{} // signals a change of acknowledged
	stop         context.CancelFunc
	slots        orderSlots
	mayRenew     func() bool // whether the owner may extend leases
	mayStart     func() bool // whether the owner may start runs

	mu           sync.Mutex
	clockMS      int64         // worker's clock at clockAt
	clockAt      time.Duration // arrival of the answer with clockMS, steady clock; 0 before the first answer
	incarnations int64         // restarts of the worker that this client has noticed
	startedMS    int64         // start of the worker's incarnation, Unix ms; 0 if unknown
	unresponsive bool          // the last renewal was not answered
}

// leaseDeadline returns the end of a lease granted now: deadlineMS on the
// worker's clock, and bound on the steady clock of this process, by which all
// runs under the lease have ended. ok is false until the worker's clock is
// known.
func (v *vmClient) leaseDeadline(now time.Duration) (deadlineMS int64, bound time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.clockAt == 0 {
		return 0, 0, false
	}
	elapsed := time.Duration(float64(now-v.clockAt) * (1 - clockDrift))
	deadlineMS = v.clockMS + (elapsed + v.lease).Milliseconds()
	bound = now + time.Duration(float64(v.lease)/(1-clockDrift)) + leaseMargin
	return deadlineMS, bound, true
}

// updateClock stores the clock and the start of the incarnation in a worker's
// answer, which arrived at answeredAt on the steady clock. startedMS is 0 if the
// worker did not report it.
func (v *vmClient) updateClock(clockMS, startedMS int64, answeredAt time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clockMS, v.clockAt = clockMS, answeredAt
	if startedMS != 0 && v.startedMS != 0 && startedMS != v.startedMS {
		v.incarnations = min(v.incarnations+1, tokensPerEpoch-1)
	}
	if startedMS != 0 {
		v.startedMS = startedMS
	}
}

// tokensPerEpoch is the number of fencing tokens for the incarnations of a
// worker within one epoch.
const tokensPerEpoch = 1000

// token returns the fencing token of orders. A worker that has restarted under
// its id has not seen any token. Each incarnation therefore gets a higher one,
// so that late orders for the earlier incarnation are rejected.
func (v *vmClient) token() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch*tokensPerEpoch + v.incarnations
}

// run renews the VM's leases until ctx ends.
func (v *vmClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !v.mayRenew() {
			sleep(ctx, renewRetryPause)
			continue
		}
		pause := renewPause
		if highest, ok := v.renew(ctx); !ok {
			pause = renewRetryPause
		} else if highest > v.acknowledged.Load() {
			v.awaitRecorded(ctx, highest)
		}
		sleep(ctx, pause)
	}
}

// awaitRecorded waits until the ends of runs up to highest are recorded, at
// most for recordTimeout.
func (v *vmClient) awaitRecorded(ctx context.Context, highest int64) {
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	for v.acknowledged.Load() < highest {
		select {
		case <-v.recorded:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// setAcknowledged sets the sequence number up to which ends of runs are
// recorded, and wakes awaitRecorded.
func (v *vmClient) setAcknowledged(n int64) {
	if v.acknowledged.Swap(n) == n {
		return
	}
	select {
	case v.recorded <- struct{}{}:
	default:
	}
}

// renew sends one renewal and delivers the worker's listing. It returns the
// highest sequence number of the ends listed; ok is false if the renewal
// failed.
func (v *vmClient) renew(ctx context.Context) (highest int64, ok bool) {
	sentAt := v.clock.Now().Steady
	r := Renewal{Token: v.token(), AcknowledgedEnds: v.acknowledged.Load(), Wait: renewWait}
	if deadlineMS, bound, known := v.leaseDeadline(sentAt); known && !v.isUnresponsive() && v.mayExtend.Load() {
		r.DeadlineMS = deadlineMS
		v.deliver(func(p *pool.Pool) { p.LeaseGranted(v.ref.ID, bound) })
	} else {
		// The first renewal only obtains the clock and the listing. One that
		// follows an unanswered call extends nothing, so that the runs of a VM
		// that is lost can be given up.
		r.Wait = 0
	}
	if v.isUnresponsive() {
		// The worker may have restarted under its id and numbers its ends from
		// the start again: acknowledging the old numbers would make it forget
		// ends that no owner has seen.
		r.AcknowledgedEnds = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, r.Wait+renewTimeoutMargin)
	answer, err := v.workers.Renew(callCtx, v.ref, r)
	cancel()
	if err != nil {
		v.handleRenewError(ctx, err)
		return 0, false
	}
	answeredAt := v.clock.Now().Steady
	v.updateClock(answer.ClockMS, answer.StartedMS, answeredAt)
	v.markResponsive()
	listing := pool.Listing{VM: v.ref.ID, StartedMS: answer.StartedMS, SentAt: sentAt, At: answeredAt,
		Running: answer.Running, Ended: answer.Ended, Complete: len(answer.Ended) < maxListedEnds}
	for _, end := range answer.Ended {
		highest = max(highest, end.Sequence)
	}
	v.deliver(func(p *pool.Pool) { p.HandleListing(listing) })
	return highest, true
}

// maxListedEnds is the largest number of ends in one answer.
const maxListedEnds = 500

// handleRenewError deposes this owner if the worker has seen a higher fencing
// token. After any other error the VM counts as unresponsive.
func (v *vmClient) handleRenewError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrFenced) {
		v.deliver(func(p *pool.Pool) { p.Depose(v.ref.ID) })
		return
	}
	v.mu.Lock()
	wasUnresponsive := v.unresponsive
	v.unresponsive = true
	v.mu.Unlock()
	if !wasUnresponsive {
		v.log.Warn("dependency_lost", zap.String("dependency", "vm "+v.ref.ID), zap.String("address", v.ref.Address), zap.Error(err))
	}
	v.deliver(func(p *pool.Pool) { p.RenewalUnanswered(v.ref.ID) })
}

func (v *vmClient) isUnresponsive() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unresponsive
}

func (v *vmClient) markResponsive() {
	v.mu.Lock()
	wasUnresponsive := v.unresponsive
	v.unresponsive = false
	v.mu.Unlock()
	if wasUnresponsive {
		v.log.Info("dependency_regained", zap.String("dependency", "vm "+v.ref.ID))
	}
}

// execute sends an order and delivers its result. An order that is older than
// orderMaxAge when a slot is free is not sent.
func (v *vmClient) execute(ctx context.Context, c pool.Command) {
	remaining := c.IssuedAt + orderMaxAge - v.clock.Now().Steady
	if remaining <= 0 {
		v.reportNotSent(c)
		return
	}
	slots := v.slots.forKind(c.Kind)
	expiry := time.NewTimer(remaining)
	defer expiry.Stop()
	select {
	case slots <- struct{}{}:
	case <-expiry.C:
		v.reportNotSent(c)
		return
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch c.Kind {
	case pool.Start:
		v.start(callCtx, c)
	case pool.Stop:
		err := v.workers.Stop(callCtx, v.ref, c.Task, c.Run, v.token())
		at := v.clock.Now().Steady
		v.deliver(func(p *pool.Pool) { p.Stopped(c, err == nil, at) })
	case pool.Throttle:
		if err := v.workers.Throttle(callCtx, v.ref, c.Task, c.Run, c.ThrottlePercent, v.token()); err != nil {
			v.log.Info("throttle_failed", zap.String("task", c.Task), zap.String("vm", c.VM), zap.Error(err))
			v.deliver(func(p *pool.Pool) { p.ThrottleUnconfirmed(c) })
		}
	}
}

// reportNotSent returns an order that has waited too long to the scheduler.
func (v *vmClient) reportNotSent(c pool.Command) {
	v.log.Info("order_not_sent", zap.String("task", c.Task), zap.Int("run", c.Run), zap.String("vm", c.VM), zap.Stringer("kind", c.Kind),
		zap.Duration("age", v.clock.Now().Steady-c.IssuedAt))
	v.deliver(func(p *pool.Pool) { p.NotSent(c) })
}

// start starts a run. Nothing is sent without a lease deadline, or while this
// owner may not grant leases on the VM.
func (v *vmClient) start(ctx context.Context, c pool.Command) {
	result := pool.StartPastDeadline // the result if nothing is sent
	began := v.clock.Now().Steady
	deadlineMS, bound, ok := v.leaseDeadline(began)
	// The checks come after the deadline is computed: a lease bound that is
	// recorded once the VM is unresponsive covers all deadlines computed before.
	if ok && v.mayStart() && !v.isUnresponsive() && v.mayExtend.Load() {
		v.deliver(func(p *pool.Pool) { p.LeaseGranted(v.ref.ID, bound) })
		result = v.workers.Start(ctx, v.ref, StartOrder{Task: c.Task, Run: c.Run, Payload: c.Payload,
			DeadlineMS: deadlineMS, Token: v.token(), Checkpoint: c.Checkpoint, Ticket: c.Ticket})
		v.metrics.observe(metricStart, v.pool, v.clock.Now().Steady-began)
	}
	at := v.clock.Now().Steady
	v.deliver(func(p *pool.Pool) { p.Started(c, result, at) })
}
