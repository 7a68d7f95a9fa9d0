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
	// heldEndsPause is the pause after a renewal that has listed ends which are not acknowledged
	// yet: the worker answers the next one at once.
	heldEndsPause = 150 * time.Millisecond
	// renewRetryPause is the pause after a renewal without an answer.
	renewRetryPause = 200 * time.Millisecond
	// recordTimeout is the longest time that a renewal waits until the listed
	// ends are recorded. After it, the renewal is sent without acknowledging
	// them.
	recordTimeout = 600 * time.Millisecond
	// clockDrift is the largest assumed relative error by which a worker's
	// clock is slow.
	clockDrift = 0.02
	// maxOrderDelay is the longest assumed time after the timeout of a call without an answer
	// in which a worker may still carry it out.
	maxOrderDelay = 12 * time.Second
	// lateCallBound is the longest assumed time from the close of a client until its last call
	// is carried out: an order waits for its slot, has no answer and is delayed.
	lateCallBound = gangStartMaxAge + orderTimeout + maxOrderDelay
	// renewTimeout is the longest time that a renewal takes.
	renewTimeout = renewWait + renewTimeoutMargin
	// maxClockAge is the age of the last answer from which its clock is not used for a lease any
	// more. Between two renewals of a VM that answers lies less.
	maxClockAge = 2500 * time.Millisecond
	// formerClockTime is the longest time after the start of an incarnation in which a lease on
	// the clock of the former one can reach it, unless it is carried out late: an answer under
	// way told the clock, it was used until maxClockAge, and the call takes as long as a renewal.
	formerClockTime = renewTimeout + maxClockAge + renewTimeout
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
	// gangStartMaxAge is orderMaxAge for the starts of a gang, of which many may wait for
	// one VM. It is below the time that members wait for each other.
	gangStartMaxAge = 1500 * time.Millisecond
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
	epoch   int64         // of the pool's owner
	lease   time.Duration // duration of a lease
	// maxLease is the longest lease that the worker accepts.
	maxLease time.Duration
	deliver  func(func(*pool.Pool)) // runs a function in the scheduler's loop
	count    *incarnationCount      // of the VM

	acknowledged atomic.Int64       // ends of runs up to this sequence number are acknowledged
	forgotten    atomic.Int64       // ends up to this sequence number were acknowledged by a renewal that had an answer
	recordedEnds atomic.Int64       // ends of runs up to this sequence number are recorded; the acknowledgement of some may wait
	recorded     chan struct{}      // signals a change of acknowledged or recordedEnds
	stop         context.CancelFunc // ends the renewals
	slots        orderSlots
	mayRenew     func(at time.Duration) bool // whether the owner may extend leases at a time on the steady clock
	mayStart     func(at time.Duration) bool // whether the owner may start runs at a time on the steady clock

	mu           sync.Mutex
	clockMS      int64         // worker's clock at clockAt
	clockAt      time.Duration // arrival of the answer with clockMS, steady clock; 0 if the clock is unknown
	clockLostAt  time.Duration // when an answer has last shown another clock, steady clock; 0 if none has
	endRenewal   func()        // ends the renewal under way; nil if there is none
	incarnations int64         // restarts of the worker that this client has noticed
	startedMS    int64         // start of the worker's incarnation, Unix ms; 0 if unknown
	unresponsive bool          // the last renewal was not answered
	suspended    bool          // no leases are granted: a bound of them is stored for a later owner, or about to be
	closed       bool          // no leases are granted any more

	grantedUntil time.Duration              // bound of the leases of confirmed runs, steady clock
	underWay     map[*grantedLease]struct{} // granted with calls that have not ended
	// unansweredUntil is the latest end of a call that has granted a lease with the current token
	// and had no answer, steady clock; 0 if there is none. retiredUntil is the same for calls
	// that were sent before a restart of the worker, which its incarnation may still carry out.
	unansweredUntil time.Duration
	retiredUntil    time.Duration
	// lastUnanswered is the latest end of any call that has granted a lease and had no answer,
	// steady clock; 0 if there is none. A token that one incarnation has seen proves nothing for
	// the next.
	lastUnanswered time.Duration
	tokenUnseen    bool // the token has risen after a restart, and no call with it was answered
}

// grantedLease is a lease that is granted with one call.
type grantedLease struct {
	deadlineMS int64 // end of the lease, ms on the worker's clock
	atMS       int64 // earliest time on the worker's clock at which it was granted, ms
	token      int64
	endsBy     time.Duration // when the call has an answer or has timed out, steady clock
}

// leaseBound returns the longest time, on the steady clock of this process, that a lease
// can last on a worker's clock.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + leaseMargin
}

// grant decides on a lease that counts from now and is granted with a call that ends within
// timeout. When it has ended, the caller tells by settleStart, renewed or renewalUnanswered. The result is nil if the
// owner may not grant a lease on the VM now, which may tells for the time, or while the
// worker's clock is unknown.
//
// The time from which the lease counts is also the one that is checked: a process that is
// paused in between would grant a lease for which it no longer has the right.
func (s *vmClient) grant(may func(at time.Duration) bool, timeout time.Duration) *grantedLease {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now().Steady
	if s.clockAt == 0 || s.unresponsive || s.suspended || s.closed || !may(now) {
		return nil
	}
	if now-s.clockAt > maxClockAge {
		// This process was suspended. The VM may be lost, and a lease would keep its tasks from
		// starting elsewhere, or it may have restarted.
		return nil
	}
	atMS := s.earliestClockMS(now)
	l := &grantedLease{deadlineMS: atMS + s.lease.Milliseconds(), atMS: atMS, token: s.currentToken(), endsBy: now + timeout}
	if s.underWay == nil {
		s.underWay = map[*grantedLease]struct{}{}
	}
	s.underWay[l] = struct{}{}
	s.grantedUntil = max(s.grantedUntil, now+leaseBound(s.lease))
	return l
}

// earliestClockMS returns the least time that the worker's clock can show at a time on the
// steady clock, in ms, unless the worker has restarted. The caller holds mu.
func (s *vmClient) earliestClockMS(at time.Duration) int64 {
	return s.clockMS + time.Duration(float64(at-s.clockAt)*(1-clockDrift)).Milliseconds()
}

// settleStart records the end of a start that has granted a lease. answeredAt is when it
// ended, on the steady clock.
func (s *vmClient) settleStart(l *grantedLease, a StartAnswer, answeredAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.ClockMS > 0:
		s.answered(l, a.ClockMS, answeredAt)
	case a.Result == pool.StartUnconfirmed:
		s.unanswered(l)
	case a.Result == pool.StartAccepted || a.Result == pool.StartStaleRun || a.Result == pool.StartNoRoom:
		delete(s.underWay, l)
		s.grantedUntil = max(s.grantedUntil, answeredAt+leaseBound(s.maxLease)) // the answer lacks the clock
	default:
		delete(s.underWay, l) // the worker has not done anything
	}
	if onOtherClock := a.ClockMS > 0 && a.ClockMS < l.atMS; onOtherClock && l.token == s.currentToken() {
		s.retireCalls()
		s.loseClock(answeredAt)
	}
}

// answered records that a call which has granted a lease was answered at answeredAt on the
// steady clock. clockMS is the worker's clock in the answer. The caller holds mu.
//
// The worker may have restarted before the call arrived. Its clock then began anew, the
// deadline is far ahead, and the lease lasts as long as the worker accepts. The clock in the
// answer bounds the lease on any incarnation.
func (s *vmClient) answered(l *grantedLease, clockMS int64, answeredAt time.Duration) {
	delete(s.underWay, l)
	if remaining := time.Duration(l.deadlineMS-clockMS) * time.Millisecond; remaining > 0 {
		s.grantedUntil = max(s.grantedUntil, answeredAt+leaseBound(min(remaining, s.maxLease)))
	}
}

// unanswered records that a call which has granted a lease had no answer. The caller holds mu.
func (s *vmClient) unanswered(l *grantedLease) {
	delete(s.underWay, l)
	s.lastUnanswered = max(s.lastUnanswered, l.endsBy)
	if l.token == s.currentToken() {
		s.unansweredUntil = max(s.unansweredUntil, l.endsBy)
	}
}

// latestUnanswered returns the latest end of a call that has granted a lease with the current
// token and has no answer, on the steady clock; 0 if there is none. The caller holds mu.
func (s *vmClient) latestUnanswered() time.Duration {
	latest := s.unansweredUntil
	for l := range s.underWay {
		if l.token == s.currentToken() {
			latest = max(latest, l.endsBy)
		}
	}
	return latest
}

// retireCalls records that the worker has restarted since calls with the current token were
// sent. It may carry them out until it has seen a higher token. The caller holds mu.
func (s *vmClient) retireCalls() {
	s.retiredUntil = max(s.retiredUntil, s.latestUnanswered())
	s.unansweredUntil = 0
}

// suspendGrants ends the granting of leases until resumeGrants. It returns the bounds of all
// leases granted before.
func (s *vmClient) suspendGrants() pool.LeaseBounds {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended = true
	return s.bounds()
}

// close ends the renewals, and the granting of leases for good: orders may still wait for
// their slots. It returns the bounds of all leases granted.
func (s *vmClient) close() pool.LeaseBounds {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.bounds()
}

// handOver returns what a client that replaces this closed one takes over: the bound of the
// leases of confirmed runs, the latest end of calls without an answer that a new token does not
// stop, and that of all calls without an answer, on the steady clock.
func (s *vmClient) handOver() (grantedUntil, retiredUntil, lastUnanswered time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.latestUnanswered()
	return s.grantedUntil, max(s.retiredUntil, latest), max(s.lastUnanswered, latest)
}

// granted returns the bounds of the leases granted so far.
func (s *vmClient) granted() pool.LeaseBounds {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bounds()
}

// bounds returns the bounds of the leases granted so far. The caller holds mu.
//
// A run that the present incarnation has confirmed ends with that incarnation, so the leases
// granted on its clock bound the run, unless a restart is known. A start without an answer may be
// carried out late, by any later incarnation, and so may a renewal that extends the lease there.
func (s *vmClient) bounds() pool.LeaseBounds {
	confirmed := s.grantedUntil
	if s.retiredUntil > 0 {
		confirmed = max(confirmed, s.retiredUntil+maxOrderDelay+leaseBound(s.maxLease))
	}
	unconfirmed := confirmed
	latest := s.lastUnanswered
	for l := range s.underWay {
		latest = max(latest, l.endsBy)
	}
	if latest > 0 {
		unconfirmed = max(unconfirmed, latest+maxOrderDelay+leaseBound(s.maxLease))
	}
	return pool.LeaseBounds{Confirmed: confirmed, Unconfirmed: unconfirmed}
}

// resumeGrants permits the granting of leases again.
func (s *vmClient) resumeGrants() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended = false
}

// renewed records the answer to a renewal, which was sent at sentAt with token and answered at
// answeredAt on the steady clock. l is the lease that was granted with it; nil if there was
// none.
func (s *vmClient) renewed(l *grantedLease, answer RenewalAnswer, token int64, sentAt, answeredAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != nil {
		s.answered(l, answer.ClockMS, answeredAt)
	}
	restarted := answer.StartedMS != 0 && s.startedMS != 0 && answer.StartedMS != s.startedMS ||
		s.clockAt != 0 && answer.ClockMS < s.earliestClockMS(sentAt)
	switch {
	case restarted:
		s.noteRestart()
		// A lease that was granted on the clock of the former incarnation may have reached
		// this one, and is only bounded by what it accepts.
		s.grantedUntil = max(s.grantedUntil, answeredAt+leaseBound(s.maxLease))
	case s.tokenUnseen && token == s.currentToken():
		// From now on, this incarnation refuses calls with the earlier tokens.
		s.tokenUnseen = false
		s.retiredUntil = 0
		s.grantedUntil = max(s.grantedUntil, answeredAt+leaseBound(s.maxLease))
	}
	if answer.StartedMS != 0 {
		s.startedMS = answer.StartedMS
	}
	if sentAt >= s.clockLostAt {
		s.clockMS, s.clockAt = answer.ClockMS, answeredAt
	}
}

// noteRestart records a restart of the worker: calls get a higher token. The caller holds mu.
func (s *vmClient) noteRestart() {
	s.retireCalls()
	// Without a higher token, an answer does not prove that earlier calls are refused.
	s.tokenUnseen = s.raiseToken()
	s.acknowledged.Store(0) // ends are numbered from the start again
	s.recordedEnds.Store(0)
	s.forgotten.Store(0)
}

// observeIncarnation records the incarnation of the worker, in Unix ms, that its row in discovery
// tells; 0 if unknown. A later one than has answered is asked for its clock before it gets a
// lease.
func (s *vmClient) observeIncarnation(startedMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedMS == 0 || startedMS <= s.startedMS {
		return
	}
	s.noteRestart()
	s.startedMS = startedMS
	s.loseClock(s.clock.Now().Steady)
}

// loseClock records that the worker's clock is no longer the one that was known, at a time on
// the steady clock. A renewal under way may wait for an answer of the former incarnation. The
// caller holds mu.
func (s *vmClient) loseClock(at time.Duration) {
	s.clockAt, s.clockLostAt = 0, at
	if s.endRenewal != nil {
		s.endRenewal()
	}
}

// tokensPerEpoch is the number of fencing tokens for the incarnations of a
// worker within one epoch.
const tokensPerEpoch = 1000

// token returns the fencing token of orders. A worker that has restarted under
// its id has not seen any token. Each incarnation therefore gets a higher one,
// so that late orders for the earlier incarnation are rejected.
func (s *vmClient) token() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentToken()
}

// currentToken is token for callers that hold mu.
func (s *vmClient) currentToken() int64 { return s.epoch*tokensPerEpoch + s.incarnations }

// incarnationCount counts the incarnations of a VM over all clients that one owner opens for
// it, one after the other. The latest client has the highest fencing token.
type incarnationCount struct {
	latest   atomic.Int64  // of the latest client
	closedAt time.Duration // when a client was last closed, steady clock; for the controller's loop
}

// overtaken reports whether an order that was refused for its fencing token is no sign of
// another owner, as this one has a higher token by now, which the VM may have seen.
func (s *vmClient) overtaken(token int64) bool {
	latest := s.epoch*tokensPerEpoch + s.count.latest.Load()
	if token >= latest {
		return false
	}
	s.log.Info("order_overtaken", zap.String("vm", s.ref.ID), zap.Int64("token", token), zap.Int64("latest_token", latest))
	s.metrics.add("orders_overtaken")
	return true
}

// raiseToken raises the fencing token and reports whether it has risen: it does not once the
// tokens of the epoch are used up, or if another client may have the next one. The caller holds
// mu, or has not shared the client yet.
func (s *vmClient) raiseToken() bool {
	if s.closed || s.incarnations >= tokensPerEpoch-1 {
		return false
	}
	s.incarnations++
	s.count.latest.Store(s.incarnations)
	return true
}

// run renews the VM's leases until ctx ends.
func (s *vmClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.mayRenew(s.clock.Now().Steady) {
			sleep(ctx, renewRetryPause)
			continue
		}
		pause := renewPause
		if highest, ok := s.renew(ctx); !ok {
			pause = renewRetryPause
		} else if highest > s.acknowledged.Load() {
			s.awaitRecorded(ctx, highest)
			if highest > s.acknowledged.Load() {
				pause = heldEndsPause
			}
		}
		sleep(ctx, pause)
	}
}

// awaitRecorded waits until the ends of runs up to highest are recorded, at
// most for recordTimeout.
func (s *vmClient) awaitRecorded(ctx context.Context, highest int64) {
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	for s.recordedEnds.Load() < highest {
		select {
		case <-s.recorded:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// setAcknowledged sets the sequence numbers up to which the ends that an incarnation
// of the worker has listed are acknowledged, and recorded, and wakes awaitRecorded. startedMS
// is the start of that incarnation; 0 if unknown.
func (s *vmClient) setAcknowledged(startedMS, n, recorded int64) {
	s.mu.Lock()
	// While another clock was seen, it is not known which incarnation answers next.
	earlier := startedMS != 0 && s.startedMS != 0 && startedMS != s.startedMS || s.clockAt == 0 && s.clockLostAt > 0
	changed := false
	if !earlier {
		acknowledged, known := s.acknowledged.Swap(n), s.recordedEnds.Swap(recorded)
		changed = acknowledged != n || known != recorded
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	select {
	case s.recorded <- struct{}{}:
	default:
	}
}

// renew sends one renewal and delivers the worker's listing. It returns the
// highest sequence number of the ends listed; ok is false if the renewal
// failed.
func (s *vmClient) renew(ctx context.Context) (highest int64, ok bool) {
	sentAt := s.clock.Now().Steady
	r := Renewal{Token: s.token(), AcknowledgedEnds: s.acknowledged.Load(), Wait: renewWait}
	lease := s.grant(s.mayRenew, renewTimeout)
	if lease != nil {
		r.DeadlineMS, r.Token = lease.deadlineMS, lease.token
	} else {
		// The first renewal only obtains the clock and the listing. One that
		// follows an unanswered call extends nothing, so that the runs of a VM
		// that is lost can be given up.
		r.Wait = 0
	}
	if s.isUnresponsive() || s.hasLostClock() {
		// The worker may have restarted under its id and numbers its ends from
		// the start again: acknowledging the old numbers would make it forget
		// ends that no owner has seen.
		r.AcknowledgedEnds = 0
	}
	if r.AcknowledgedEnds <= s.forgotten.Load() {
		// A renewal that is carried out late by the next incarnation would make it forget ends
		// that nobody has seen.
		r.AcknowledgedEnds = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, r.Wait+renewTimeoutMargin)
	if lease != nil {
		s.setEndRenewal(cancel)
	}
	answer, err := s.workers.Renew(callCtx, s.ref, r)
	s.setEndRenewal(nil)
	cancel()
	answeredAt := s.clock.Now().Steady
	if err != nil {
		s.renewalUnanswered(lease)
		if lease != nil && s.hasLostClock() {
			return 0, true // the next one asks which incarnation answers
		}
		s.handleRenewError(ctx, err, r.Token)
		return 0, false
	}
	if r.Token == s.token() { // no restart is known since it was sent
		s.forgotten.Store(max(s.forgotten.Load(), r.AcknowledgedEnds))
	}
	s.renewed(lease, answer, r.Token, sentAt, answeredAt)
	s.markResponsive()
	listing := pool.Listing{VM: s.ref.ID, StartedMS: answer.StartedMS, ClockMS: answer.ClockMS, SentAt: sentAt, At: answeredAt,
		Running: answer.Running, Ended: answer.Ended, Complete: len(answer.Ended) < maxListedEnds}
	for _, end := range answer.Ended {
		highest = max(highest, end.Sequence)
	}
	s.deliver(func(p *pool.Pool) { p.HandleListing(listing) })
	return highest, true
}

// renewalUnanswered records a renewal without an answer, and the lease that was granted with
// it; nil if there was none.
func (s *vmClient) renewalUnanswered(l *grantedLease) {
	if l == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered(l)
}

// maxListedEnds is the largest number of ends in one answer.
const maxListedEnds = 500

// handleRenewError deposes this owner if the worker has seen a higher fencing
// token than its own. token is that of the renewal. After any other error the VM
// counts as unresponsive.
func (s *vmClient) handleRenewError(ctx context.Context, err error, token int64) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrFenced) {
		if s.overtaken(token) {
			return
		}
		s.deliver(func(p *pool.Pool) { p.Depose(s.ref.ID) })
		return
	}
	s.mu.Lock()
	wasUnresponsive := s.unresponsive
	s.unresponsive = true
	s.mu.Unlock()
	if !wasUnresponsive {
		s.log.Warn("dependency_lost", zap.String("dependency", "vm "+s.ref.ID), zap.String("address", s.ref.Address), zap.Error(err))
	}
	s.deliver(func(p *pool.Pool) { p.RenewalUnanswered(s.ref.ID) })
}

func (s *vmClient) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresponsive
}

// hasLostClock reports whether an answer has shown another clock than the one that was known,
// and no renewal has been answered since.
func (s *vmClient) hasLostClock() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clockAt == 0 && s.clockLostAt > 0
}

func (s *vmClient) setEndRenewal(end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endRenewal = end
}

func (s *vmClient) markResponsive() {
	s.mu.Lock()
	wasUnresponsive := s.unresponsive
	s.unresponsive = false
	s.mu.Unlock()
	if wasUnresponsive {
		s.log.Info("dependency_regained", zap.String("dependency", "vm "+s.ref.ID))
	}
}

// execute sends an order and delivers its result. An order that is older than
// orderMaxAge or gangStartMaxAge when a slot is free is not sent.
func (s *vmClient) execute(ctx context.Context, c pool.Command) {
	maxAge := orderMaxAge
	if c.Gang {
		maxAge = gangStartMaxAge
	}
	remaining := c.IssuedAt + maxAge - s.clock.Now().Steady
	if remaining <= 0 {
		s.reportNotSent(c)
		return
	}
	slots := s.slots.forKind(c.Kind)
	expiry := time.NewTimer(remaining)
	defer expiry.Stop()
	select {
	case slots <- struct{}{}:
	case <-expiry.C:
		s.reportNotSent(c)
		return
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	if !s.mayStart(s.clock.Now().Steady) {
		// This owner may have been replaced while the order waited, or while its
		// process was suspended.
		s.reportNotSent(c)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch c.Kind {
	case pool.Start:
		s.start(callCtx, c)
	case pool.Stop:
		err := s.workers.Stop(callCtx, s.ref, c.Task, c.Run, s.token())
		at := s.clock.Now().Steady
		s.deliver(func(p *pool.Pool) { p.Stopped(c, err == nil, at) })
	case pool.Throttle:
		if err := s.workers.Throttle(callCtx, s.ref, c.Task, c.Run, c.ThrottlePercent, s.token()); err != nil {
			s.log.Info("throttle_failed", zap.String("task", c.Task), zap.String("vm", c.VM), zap.Error(err))
			s.deliver(func(p *pool.Pool) { p.ThrottleUnconfirmed(c) })
		}
	}
}

// reportNotSent returns an order that has waited too long to the scheduler.
func (s *vmClient) reportNotSent(c pool.Command) {
	s.log.Info("order_not_sent", zap.String("task", c.Task), zap.Int("run", c.Run), zap.String("vm", c.VM), zap.Stringer("kind", c.Kind),
		zap.Duration("age", s.clock.Now().Steady-c.IssuedAt))
	s.deliver(func(p *pool.Pool) { p.NotSent(c) })
}

// logStart logs a start that may have given the run another lease than the one that was
// granted: it had no answer, or the clock in the answer is behind the one from which the
// deadline was computed, so that of another incarnation.
func (s *vmClient) logStart(o StartOrder, l *grantedLease, a StartAnswer) {
	event := ""
	switch {
	case a.Result == pool.StartUnconfirmed:
		event = "start_unanswered"
	case a.ClockMS > 0 && a.ClockMS < l.atMS:
		event = "start_on_other_clock"
	default:
		return
	}
	s.metrics.add(event)
	s.mu.Lock()
	startedMS, clockAt := s.startedMS, s.clockAt
	s.mu.Unlock()
	s.log.Warn(event, zap.String("task", o.Task), zap.Int("run", o.Run), zap.String("vm", s.ref.ID), zap.Stringer("result", a.Result),
		zap.Int64("deadline_ms", o.DeadlineMS), zap.Int64("granted_at_ms", l.atMS), zap.Int64("clock_ms", a.ClockMS),
		zap.Duration("clock_age", s.clock.Now().Steady-clockAt), zap.Int64("incarnation", startedMS), zap.Int64("token", o.Token))
}

// start starts a run. Nothing is sent without a lease deadline, or while this
// owner may not grant leases on the VM.
func (s *vmClient) start(ctx context.Context, c pool.Command) {
	began := s.clock.Now().Steady
	lease := s.grant(s.mayStart, orderTimeout)
	if lease == nil {
		s.reportNotSent(c)
		return
	}
	order := StartOrder{Task: c.Task, Run: c.Run, Payload: c.Payload,
		DeadlineMS: lease.deadlineMS, Token: lease.token, Checkpoint: c.Checkpoint, Ticket: c.Ticket}
	answer := s.workers.Start(ctx, s.ref, order)
	result := answer.Result
	answeredAt := s.clock.Now().Steady
	s.metrics.observe(metricStart, s.pool, answeredAt-began)
	s.logStart(order, lease, answer)
	s.settleStart(lease, answer, answeredAt)
	if result == pool.StartFenced && s.overtaken(lease.token) {
		result = pool.StartPastDeadline // the task waits again
	}
	at := s.clock.Now().Steady
	s.deliver(func(p *pool.Pool) { p.Started(c, result, at) })
}
