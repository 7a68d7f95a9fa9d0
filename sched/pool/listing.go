package pool

import (
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
)

// stopRetryInterval is the time after which a stop is sent again if the run is
// still listed. It is longer than the 900 ms that a stop may take.
const stopRetryInterval = 1200 * time.Millisecond

// HandleListing handles a VM's answer to a renewal of its leases.
func (p *Pool) HandleListing(l Listing) {
	v := p.vms[l.VM]
	if v == nil {
		return
	}
	if l.StartedMS != 0 && v.StartedMS != 0 && l.StartedMS != v.StartedMS {
		p.newIncarnation(v, l.StartedMS, "listing")
	}
	if l.StartedMS != 0 {
		v.StartedMS = l.StartedMS
	}
	if !v.fenced {
		v.fenced = true
		p.log.Info("vm_fenced", zap.String("vm", v.ID), zap.Int("running", len(l.Running)), zap.Int("ended", len(l.Ended)))
		p.observeRestart(v)
	}
	p.forgetLost(v)
	if v.replaced && v.unanswered {
		p.log.Warn("vm_answers_after_its_end", zap.String("vm", v.ID), zap.String("machine", v.Machine), zap.Int("running", len(l.Running)))
	}
	p.boundEarlierLeases(v, l)
	v.lastAnswer = l.At
	v.listingSentAt = l.SentAt
	v.unanswered = false
	v.contactLostAt = 0
	if v.boundDue {
		v.boundDue = false
		p.leaseBoundsChanged = true
	}
	if l.Complete {
		p.forgetOrphans(v)
	}
	listed := make(map[*task]bool, len(l.Running))
	for _, end := range l.Ended {
		p.handleEnd(v, end, listed)
	}
	for _, run := range l.Running {
		p.handleRunning(v, run, l, listed)
	}
	if l.Complete {
		p.handleUnlisted(v, l, listed)
	}
	p.adjustThrottles(v)
	p.observePace(v)
}

// findTask returns the named task, nil if it is not known.
func (p *Pool) findTask(name string) *task {
	id, number, step, index, ok := parseTaskName(name)
	if !ok {
		return nil
	}
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	o := j.occurrence(number)
	if o == nil || step >= len(o.tasks) || index >= len(o.tasks[step]) {
		return nil
	}
	return o.tasks[step][index]
}

// findRun returns the named task if the given run is its newest one, is on v and
// may have started there, and nil otherwise.
func (p *Pool) findRun(v *vm, name string, run int) *task {
	t := p.findTask(name)
	if t == nil || !t.active() || t.vm != v || t.run != run || t.phase == placed {
		return nil
	}
	return t
}

// handleEnd handles one listed end. It adds the task to listed if the end is that
// of its newest run.
func (p *Pool) handleEnd(v *vm, e RunEnd, listed map[*task]bool) {
	t := p.findRun(v, e.Task, e.Run)
	if t != nil {
		listed[t] = true
	}
	if e.Sequence <= v.endsProcessed {
		return
	}
	v.endsProcessed = e.Sequence
	givenUp := t == nil
	if givenUp {
		t = p.findGivenUpRun(v, e)
	}
	if t == nil {
		p.logUnusedEnd(v, e)
		return
	}
	if p.heldBack[t.occ.job.spec.ID] && v.firstHeldEnd == 0 {
		v.firstHeldEnd = e.Sequence
	}
	p.stats.Ends++
	p.log.Info("run_ended", zap.String("task", t.name), zap.Int("run", e.Run), zap.String("vm", v.ID),
		zap.String("cause", string(e.Cause)), zap.Int64("sequence", e.Sequence), zap.Duration("after", p.now.Steady-t.since), zap.Bool("given_up", givenUp))
	if e.Checkpoint != "" {
		p.setCheckpoint(t, e.Checkpoint)
	}
	if e.Cause == EndDone && e.Run < t.run && t.newestRunActive() {
		p.doneByEarlierRun(t, v, e.Sequence)
		return
	}
	if t.late.ended && e.Cause != EndDone && !t.spec().Gang {
		// An earlier owner has counted the end. What a gang has counted is in its row.
		p.holdLateEnd(t, v, e.Sequence)
		return
	}
	counted := e.Cause != EndFailed || t.history.failed(t.run, v.ID)
	if counted {
		p.recordOutcome(t, v, e.Cause)
	}
	switch e.Cause {
	case EndDone:
		p.holdLateEnd(t, v, e.Sequence)
		p.taskDone(t)
	case EndFailed:
		p.holdLateEnd(t, v, e.Sequence)
		p.taskFailed(t, counted && !t.history.doneEarlier)
	default:
		p.endListedRun(t)
	}
}

// logUnusedEnd logs an end as done that does not count although its task is not done.
func (p *Pool) logUnusedEnd(v *vm, e RunEnd) {
	t := p.findTask(e.Task)
	if e.Cause == EndDone || e.Cause == EndFailed && t == nil { // of a job that is open, or may have failed
		p.holdInheritedEnd(v, e.Sequence)
	}
	if t == nil || e.Cause != EndDone || t.phase == done {
		return
	}
	p.log.Info("run_end_unused", zap.String("task", t.name), zap.Int("run", e.Run), zap.String("vm", v.ID), zap.Int64("sequence", e.Sequence),
		zap.Int("newest_run", t.run), zap.Bool("active", t.active()), zap.Strings("given_up_on", t.givenUpOn), zap.Bool("restored", t.restored))
}

// setCheckpoint sets the newest checkpoint of a task, or of its gang, and has it recorded.
func (p *Pool) setCheckpoint(t *task, checkpoint string) {
	t.history.checkpoint = checkpoint
	t.markDirty()
	if t.spec().Gang {
		for _, member := range t.occ.tasks[t.step] {
			member.markDirty()
		}
	}
}

func (p *Pool) taskDone(t *task) {
	j := t.occ.job
	if t.spec().LongRunning && !j.state.Final() {
		p.endListedRun(t) // long-running tasks restart after any end
		return
	}
	if t.spec().Gang {
		for _, member := range t.occ.tasks[t.step] {
			p.markDone(member)
		}
	} else {
		p.markDone(t)
	}
	if t.occ.complete() {
		p.occurrenceDone(t.occ)
	}
}

func (p *Pool) markDone(t *task) {
	if t.phase == done {
		return
	}
	p.endRun(t, done)
	t.occ.remaining[t.step]--
}

func (p *Pool) occurrenceDone(o *occurrence) {
	p.log.Info("occurrence_done", zap.String("job", o.job.spec.ID), zap.Int("occurrence", o.number))
	p.closeCompleted(o.job)
}

// closeCompleted drops the first open occurrences that are complete, and ends the job
// after the last one.
func (p *Pool) closeCompleted(j *jobState) {
	for len(j.open) > 0 && j.open[0].number == j.firstOpen && j.open[0].complete() {
		j.open = j.open[1:]
		j.firstOpen++
		j.dirty = true
	}
	if j.firstOpen >= j.spec.Occurrences() && !j.state.Final() {
		p.finish(j, job.Succeeded, "all tasks are done")
	}
}

// taskFailed handles the end of the newest run of t as failed. counted tells that it is
// the first end of the run, or of the run of t's gang, that is listed as failed.
func (p *Pool) taskFailed(t *task, counted bool) {
	j := t.occ.job
	p.endListedRun(t)
	if !counted {
		return
	}
	p.stats.Failed++
	if t.spec().LongRunning {
		return
	}
	t.leader().markDirty()
	q := p.queueOf(j)
	if q != nil && q.MaxAttempts > 0 && t.history.failures >= q.MaxAttempts && !j.state.Final() {
		p.finish(j, job.Failed, "task "+t.name+" has used up its attempts")
	}
}

// handleRunning handles one listed run that has not ended. It adds the task to
// listed unless it is an orphan run.
func (p *Pool) handleRunning(v *vm, r RunState, l Listing, listed map[*task]bool) {
	t := p.findRun(v, r.Task, r.Run)
	if t == nil {
		p.stopOrphan(v, r)
		return
	}
	listed[t] = true
	t.blame = notBlamed
	if t.phase != running {
		if t.phase == unconfirmed {
			p.log.Info("unanswered_start_found", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", v.ID), zap.Int64("incarnation", v.StartedMS),
				zap.Bool("inherited", t.inherited), zap.Duration("after", l.At-t.since), zap.Bool("stopped", t.stopSentAt > 0))
		}
		p.confirm(t, l.At)
		t.noteCarriedOut()
	}
	if r.Checkpoint != "" && r.Checkpoint != t.listedCheckpoint {
		// Not recorded: the end of the run lists the checkpoint again, and the loss
		// of the VM costs at most the work since the last recorded one. Another member of
		// a gang may have listed a later one since this one's last change.
		t.listedCheckpoint, t.history.checkpoint = r.Checkpoint, r.Checkpoint
	}
	if r.ProgressPercent > t.progressPercent {
		t.progressAt = l.At
	}
	t.progressPercent = r.ProgressPercent
	t.load, t.loadAt = r.Load, l.At
	if t.occ.job.state.Final() && p.now.Steady-t.stopSentAt > stopRetryInterval {
		p.sendStop(t, "job has ended")
	}
}

// confirm marks the newest run of t as running on its VM.
func (p *Pool) confirm(t *task, at time.Duration) {
	t.phase = running
	t.since = at
	t.progressAt = at
	j := t.occ.job
	if !j.started {
		j.started = true
		j.dirty = true
	}
	if j.state == job.Queued {
		j.state = job.Running
		j.dirty = true
	}
}

// stopOrphan stops an orphan run. A run under a name that TaskName does not
// produce is left alone.
func (p *Pool) stopOrphan(v *vm, r RunState) {
	if _, _, _, _, ok := parseTaskName(r.Task); !ok {
		p.log.Warn("orphan_run_ignored", zap.String("task", r.Task), zap.Int("run", r.Run), zap.String("vm", v.ID))
		return
	}
	p.orphans[r.Task] = v
	p.log.Info("orphan_run_stopped", zap.String("task", r.Task), zap.Int("run", r.Run), zap.String("vm", v.ID))
	p.addCommand(Command{Kind: Stop, VM: v.ID, Address: v.Address, Task: r.Task, Run: r.Run})
}

// forgetOrphans drops the orphan runs that earlier listings of v have shown: they have ended, or
// the listing at hand shows them again.
func (p *Pool) forgetOrphans(v *vm) {
	for name, on := range p.orphans {
		if on == v {
			delete(p.orphans, name)
		}
	}
}

// expireOrphans drops the orphan runs on v, whose lease bound has passed, unless an earlier owner
// may have granted them a longer lease. While v answers, its listings tell whether they are there.
func (p *Pool) expireOrphans(v *vm) {
	if p.now.Steady <= p.settings.InheritedLeaseBound || p.now.Steady-v.lastAnswer <= maxAnswerAge {
		return
	}
	if p.holdsOrphan(v) {
		p.log.Info("orphan_runs_expired", zap.String("vm", v.ID), p.leaseField(v))
		p.forgetOrphans(v)
	}
}

// handleUnlisted decides on the runs on v that a complete listing does not show:
// they are lost, or must be stopped first because their start may still arrive.
func (p *Pool) handleUnlisted(v *vm, l Listing, listed map[*task]bool) {
	for _, t := range v.sortedTasks() {
		if listed[t] {
			continue
		}
		switch {
		case (t.phase == running || t.phase == unconfirmed) && t.late.open(l.SentAt) && t.startsAgain():
			if l.SentAt > t.since {
				p.awaitStart(t)
			}
		case t.phase == running && l.SentAt > t.since:
			p.markLost(t, "no longer listed")
		case t.phase == unconfirmed && t.inherited:
			// The VM has seen this owner's fencing token and refuses starts of the
			// earlier owner.
			p.markLost(t, "not found at takeover")
		case t.phase == unconfirmed && t.stopSentAt == 0 && l.SentAt > t.since:
			p.sendStop(t, "start had no answer")
		case t.phase == unconfirmed && t.stopAnsweredAt > 0 && l.SentAt > t.stopAnsweredAt:
			p.markLost(t, "start had no answer and the run was stopped")
		case t.phase == unconfirmed && t.stopSentAt > 0 && t.stopAnsweredAt == 0 && p.now.Steady-t.stopSentAt > stopRetryInterval:
			p.sendStop(t, "start had no answer")
		}
	}
}

// Started handles the result of a start command. at is the time of the answer on
// the steady clock.
func (p *Pool) Started(c Command, result StartResult, at time.Duration) {
	v := p.vms[c.VM]
	if v == nil {
		return
	}
	t := p.findRun(v, c.Task, c.Run)
	if t == nil || (t.phase != starting && t.phase != unconfirmed) {
		return
	}
	if result != StartUnconfirmed {
		t.settleCall(c.IssuedAt)
	}
	if result != StartAccepted {
		p.log.Info("start_not_accepted", zap.String("task", c.Task), zap.Int("run", c.Run), zap.String("vm", c.VM), zap.Stringer("result", result))
	}
	switch result {
	case StartAccepted:
		p.recordStartTime(at - t.placedAt)
		p.confirm(t, at)
		t.noteCarriedOut()
	case StartUnconfirmed:
		p.noteUnanswered(t, at)
		t.phase = unconfirmed
		t.since = at
		p.loseContact(v)
		v.noStartsUntil = p.now.Steady + unansweredBackoff
	case StartOtherIncarnation:
		if p.keepOpenStart(t, at) {
			return
		}
		p.endRun(t, waiting)
		p.dissolveGang(t)
		v.noStartsUntil = p.now.Steady + unansweredBackoff
	case StartFenced:
		p.Depose(v.ID)
	default:
		p.startRefused(t, v, result)
	}
}

// refusedBackoff is the time without starts on a VM that has refused one, for
// example for lack of room. Its next listing shows what it holds.
const refusedBackoff = 200 * time.Millisecond

// startRefused handles a start that a VM has refused: the task waits again.
func (p *Pool) startRefused(t *task, v *vm, result StartResult) {
	if result == StartNoRoom {
		p.stats.NoRoom++
	}
	p.stats.Requeued++
	if result == StartNoTicket {
		p.dropTicket(t, v)
	}
	if !p.keepOpenStart(t, p.now.Steady) {
		p.endRun(t, waiting)
		p.dissolveGang(t)
	}
	pause := refusedBackoff
	if result == StartUnhealthy {
		pause = unansweredBackoff
		v.health.refused(p.now.Steady)
	}
	v.noStartsUntil = p.now.Steady + pause
}

// dissolveGang stops the other members of a gang of which t has not started. They would
// wait for it in vain; all members start again together.
func (p *Pool) dissolveGang(t *task) {
	if !t.spec().Gang {
		return
	}
	for _, member := range t.occ.tasks[t.step] {
		switch {
		case member.phase == placed:
			p.endRun(member, waiting)
		case member.active() && member.stopSentAt == 0:
			p.sendStop(member, "a member of its gang has not started")
		}
	}
}

// NotSent handles a command that was never sent. A stop is decided again at the
// first listing after stopRetryInterval.
func (p *Pool) NotSent(c Command) {
	switch c.Kind {
	case Start:
		if t := p.findRun(p.vms[c.VM], c.Task, c.Run); t != nil && t.phase == starting {
			t.late.calls--
		}
		p.Started(c, StartPastDeadline, p.now.Steady)
	case Throttle:
		p.forgetThrottle(c)
	}
}

// Stopped handles the answer to a stop at the time at on the steady clock. ok is
// false if there was no answer.
func (p *Pool) Stopped(c Command, ok bool, at time.Duration) {
	v := p.vms[c.VM]
	if v == nil {
		return
	}
	t := p.findRun(v, c.Task, c.Run)
	if t == nil {
		return
	}
	// Only the answer to the stop that was sent last counts: an earlier one may be that of the
	// former incarnation of a worker that has restarted.
	if ok && t.stopSentAt > 0 && c.IssuedAt >= t.stopSentAt {
		t.stopAnsweredAt = at
	}
}

// Deposed reports whether a VM has seen a later owner's fencing token.
func (p *Pool) Deposed() bool { return p.deposed }

// Depose records that a VM has seen a later owner's fencing token.
func (p *Pool) Depose(vm string) {
	if !p.deposed {
		p.log.Warn("deposed_by_vm", zap.String("vm", vm))
	}
	p.deposed = true
}

// ThrottleUnconfirmed records that a throttle command was not confirmed. The throttle is
// decided again at the next listing, and repeated until the command can no longer be carried
// out after newer ones.
func (p *Pool) ThrottleUnconfirmed(c Command) {
	if t := p.forgetThrottle(c); t != nil {
		t.throttleLateUntil = p.now.Steady + lateOrderBound
	}
}

// forgetThrottle has a throttle that may not be in force decided again. It returns the task,
// nil if the run is no longer there.
func (p *Pool) forgetThrottle(c Command) *task {
	v := p.vms[c.VM]
	if v == nil {
		return nil
	}
	t := p.findRun(v, c.Task, c.Run)
	if t != nil && t.throttlePercent == c.ThrottlePercent {
		t.throttlePercent = unknownThrottle
	}
	return t
}
