package pool

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// maxStartCalls is the largest number of calls with which the start of a run is tried on its VM.
const maxStartCalls = 3

// lateStart tells what is left of the calls that start a run. A VM may carry a call that had no
// answer out later, and so may each of its next incarnations, which know neither a stop nor a
// fencing token of before. Until then, the task starts on no other VM: what one incarnation answers
// proves nothing for the next.
type lateStart struct {
	until     time.Duration // time until which a call may be carried out, on the steady clock; 0 if none is left
	leaseEnd  time.Duration // time by which the lease of a run that such a call begins has ended, if its VM does not answer
	calls     int           // calls that were sent, with and without an answer
	repeatDue bool          // another call is sent once its record is durable
	ended     bool          // the run has ended, and a call may begin it once more

	earlierUntil, earlierLeaseEnd time.Duration // until and leaseEnd without the call that is under way
}

// open reports whether a call may still be carried out after a time on the steady clock.
func (l *lateStart) open(at time.Duration) bool { return at <= l.until }

// noteUnanswered records that a call which starts the newest run of t, and ends by callEnd, has no
// answer.
func (p *Pool) noteUnanswered(t *task, callEnd time.Duration) {
	t.late.until = max(t.late.until, callEnd+p.settings.OrderDelayBound)
	t.late.leaseEnd = t.late.until + p.settings.MaxLeaseBound
}

// noteCarriedOut records that a call which starts the newest run of t has been carried out. If it
// was the only one, none is left that a later incarnation may carry out.
func (t *task) noteCarriedOut() {
	t.late.repeatDue = false
	if t.late.calls > 1 {
		return
	}
	t.late = lateStart{calls: t.late.calls}
	t.startSettled = true
	if t.spec().LongRunning {
		t.markDirty() // for a later owner: nothing else may change for as long as the run lasts
	}
}

// noteCall records that a call which starts the newest run of t is sent now.
func (p *Pool) noteCall(t *task) {
	t.late.repeatDue = false
	t.late.earlierUntil, t.late.earlierLeaseEnd = t.late.until, t.late.leaseEnd
	if t.late.calls++; t.late.calls > 1 {
		// A call that is under way counts like one without an answer: the run may be found
		// first, begun by an earlier call.
		p.noteUnanswered(t, p.now.Steady+p.settings.StartDelayBound)
	}
}

// settleCall records that a call that starts the newest run of t was answered, or was not sent: it
// begins nothing later. An earlier call than the one under way changes nothing.
func (t *task) settleCall(issuedAt time.Duration) {
	if t.phase == starting && issuedAt == t.since {
		t.late.until, t.late.leaseEnd = t.late.earlierUntil, t.late.earlierLeaseEnd
	}
}

// inheritStart derives from the row of t, which an earlier owner has recorded, which calls may be
// left.
func (p *Pool) inheritStart(t *task) {
	if t.startSettled {
		return
	}
	placedAt := p.now.Steady
	if t.recorded {
		placedAt = t.recordedAt
	}
	p.noteUnanswered(t, placedAt+p.settings.StartDelayBound)
	t.late.calls = maxStartCalls - 1 // it may have been repeated; this owner may repeat it once
}

// awaitStart handles a run that a complete listing of its VM does not show while a call may still
// begin it. The start is sent to the same VM again: a late call finds the run there, on any
// incarnation.
func (p *Pool) awaitStart(t *task) {
	v := t.vm
	switch {
	case t.phase == running:
		p.log.Info("run_not_listed", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", v.ID), zap.Int64("incarnation", v.StartedMS))
		t.phase = unconfirmed
		t.since = p.now.Steady
		t.forgetListed()
	case p.mayRepeatStart(t):
		t.late.repeatDue = true
		t.markDirty()
	case (v.Draining || p.evacuated[v.DataCentre]) && t.stopAnsweredAt == 0 && (t.stopSentAt == 0 || p.now.Steady-t.stopSentAt > stopRetryInterval):
		p.sendStop(t, "start had no answer")
	}
}

// mayRepeatStart reports whether the start of t, which had no answer, may be sent to its VM again.
func (p *Pool) mayRepeatStart(t *task) bool {
	_, hasTicket := p.adviceOf(t).ticketFor(t.vm, p.now.Steady)
	return !t.late.repeatDue && !t.late.ended && t.late.calls < maxStartCalls && t.stopSentAt == 0 && p.stillAllowed(t) && hasTicket &&
		(t.late.calls == 1 || p.now.Steady >= t.vm.noStartsUntil) && !slices.ContainsFunc(t.newestRun(), func(member *task) bool { return !member.active() })
}

// endListedRun ends the newest run of t, which its VM lists as ended and not as done. While a call
// may begin the run once more, on a later incarnation, the task stays on its VM.
func (p *Pool) endListedRun(t *task) {
	if t.late.calls <= 1 || !t.late.open(p.now.Steady) || !t.startsAgain() {
		p.endRun(t, waiting)
		return
	}
	t.phase = unconfirmed
	t.since, t.lastRunEnd = p.now.Steady, p.now.Steady
	t.late.ended, t.late.repeatDue = true, false
	t.stopSentAt, t.stopAnsweredAt, t.inherited, t.blame = 0, 0, false, notBlamed
	t.forgetListed()
	t.markDirty()
	p.log.Info("run_awaited", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", t.vm.ID), zap.Int("calls", t.late.calls),
		zap.Duration("for", t.late.until-p.now.Steady))
}

// forgetListed drops what listings have told of the newest run of t, which another incarnation may
// begin anew.
func (t *task) forgetListed() {
	t.load, t.progressPercent, t.throttlePercent, t.listedCheckpoint = 0, 0, unknownThrottle, ""
	t.throttleSentAt, t.throttleLateUntil = 0, 0
}

// awaitsSend reports whether a start of the newest run of t is to be sent once its record is
// durable.
func (t *task) awaitsSend() bool {
	return t.phase == placed || t.phase == unconfirmed && t.late.repeatDue
}

// withdrawStart takes back a start that was not sent.
func (p *Pool) withdrawStart(t *task) {
	if t.late.repeatDue {
		t.late.repeatDue = false // an earlier call may be carried out
		return
	}
	p.endRun(t, waiting)
	p.dissolveGang(t)
}

// keepOpenStart keeps a run whose repeated start was refused on its VM while an earlier call may
// be carried out. It reports whether one may.
func (p *Pool) keepOpenStart(t *task, at time.Duration) bool {
	if !t.late.open(p.now.Steady) {
		return false
	}
	t.phase = unconfirmed
	t.since = at
	return true
}

// lateEnd is an end of a run which a call may begin once more. A worker that restarts while
// the end is not acknowledged forgets it, and the next one that begins the run does the work again.
type lateEnd struct {
	vm        string // id of the VM that has listed the end
	startedMS int64  // of its incarnation, Unix milliseconds
	sequence  int64
	until     time.Duration // time until which the call may be carried out, steady clock
}

// holdInheritedEnd has an end, with a sequence number of v, not acknowledged while the earlier owner,
// which has recorded it, may have held it.
func (p *Pool) holdInheritedEnd(v *vm, sequence int64) {
	until := p.startedAt.Steady + p.settings.StartDelayBound + p.settings.OrderDelayBound
	if p.settings.InheritedLeaseBound > 0 && p.now.Steady < until {
		p.holdEnd(v, sequence, until)
	}
}

// holdLateEnd has an end of t, with a sequence number of v, not acknowledged while another call may
// begin the run.
func (p *Pool) holdLateEnd(t *task, v *vm, sequence int64) {
	until := time.Duration(0)
	for _, member := range t.newestRun() {
		if member.late.calls > 1 {
			until = max(until, member.late.until)
		}
	}
	if until > p.now.Steady {
		p.holdEnd(v, sequence, until)
	}
}

// holdEnd has an end, with a sequence number of v, not acknowledged until a time on the steady clock.
func (p *Pool) holdEnd(v *vm, sequence int64, until time.Duration) {
	p.lateEnds = append(p.lateEnds, lateEnd{v.ID, v.StartedMS, sequence, until})
	p.log.Info("end_held", zap.String("vm", v.ID), zap.Int64("incarnation", v.StartedMS), zap.Int64("sequence", sequence), zap.Duration("for", until-p.now.Steady))
}

// expireLateEnds drops the ends that no call can make happen again.
func (p *Pool) expireLateEnds() {
	p.lateEnds = slices.DeleteFunc(p.lateEnds, func(e lateEnd) bool { return p.now.Steady > e.until })
}

// startsAgain reports whether t starts again once its newest run has ended and is not done.
func (t *task) startsAgain() bool {
	return !t.occ.job.state.Final() && !t.history.doneEarlier
}
