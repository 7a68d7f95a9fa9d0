package pool

import (
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
)

// stopRepeat is the time after which a stop is sent again if the run is still
// listed: above the 900 ms that a stop may take.
const stopRepeat = 1200 * time.Millisecond

// Listed takes a VM's answer to a renewal of its leases.
func (p *Pool) Listed(l Listing) {
	v := p.vms[l.VM]
	if v == nil {
		return
	}
	if l.Born != 0 && v.Born != 0 && l.Born != v.Born {
		p.newLife(v, l.Born)
	}
	if l.Born != 0 {
		v.Born = l.Born
	}
	if !v.fenced {
		v.fenced = true
		p.log.Info("vm_fenced", zap.String("vm", v.ID), zap.Int("running", len(l.Running)), zap.Int("ended", len(l.Ended)))
	}
	v.lastAnswer = l.At
	v.silent = false
	if v.recorded != 0 {
		v.recorded = 0
		p.leaseNews = true
	}
	if l.Complete {
		p.forgetStrays(v)
	}
	listed := make(map[*task]bool, len(l.Running))
	for _, end := range l.Ended {
		p.ended(v, end, listed)
	}
	for _, run := range l.Running {
		p.runningAt(v, run, l, listed)
	}
	if l.Complete {
		p.absent(v, l, listed)
	}
	p.observeLoads(v)
}

// find returns the task of a name if its newest run is the given one on v.
func (p *Pool) find(v *vm, name string, run int) *task {
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
	t := o.tasks[step][index]
	if !t.active() || t.vm != v || t.run != run || t.phase == placed {
		return nil
	}
	return t
}

func (p *Pool) ended(v *vm, e RunEnd, listed map[*task]bool) {
	t := p.find(v, e.Task, e.Run)
	if t != nil {
		listed[t] = true
	}
	if e.Sequence <= v.seen {
		return
	}
	v.seen = e.Sequence
	if t == nil {
		return
	}
	p.stats.Ends++
	p.log.Info("run_ended", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", v.ID),
		zap.String("cause", string(e.Cause)), zap.Int64("sequence", e.Sequence), zap.Duration("after", p.now.Steady-t.since))
	if e.Checkpoint != "" {
		p.keepCheckpoint(t, e.Checkpoint)
	}
	p.learnRun(t, v, e.Cause)
	switch e.Cause {
	case EndDone:
		p.taskDone(t)
	case EndFailed:
		p.taskFailed(t, v)
	default:
		p.close(t, waiting)
	}
}

// keepCheckpoint stores the newest checkpoint. Members of a gang share one.
func (p *Pool) keepCheckpoint(t *task, checkpoint string) {
	t.checkpoint = checkpoint
	t.occ.job.dirty = true
	if t.spec().Gang {
		for _, member := range t.occ.tasks[t.step] {
			member.checkpoint = checkpoint
		}
	}
}

func (p *Pool) taskDone(t *task) {
	j := t.occ.job
	if t.spec().LongRunning && !j.state.Final() {
		p.close(t, waiting) // is restarted however it ends
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
	p.close(t, done)
	t.occ.left[t.step]--
}

func (p *Pool) occurrenceDone(o *occurrence) {
	j := o.job
	p.log.Info("occurrence_done", zap.String("job", j.spec.ID), zap.Int("occurrence", o.number))
	for len(j.open) > 0 && j.open[0].number == j.firstOpen && j.open[0].complete() {
		j.open = j.open[1:]
		j.firstOpen++
	}
	if j.firstOpen >= j.spec.Occurrences() && !j.state.Final() {
		p.finish(j, job.Succeeded, "all tasks are done")
	}
}

func (p *Pool) taskFailed(t *task, v *vm) {
	j := t.occ.job
	if t.failedOn == nil {
		t.failedOn = map[string]bool{}
	}
	t.failedOn[v.ID] = true
	p.stats.Failed++
	if t.spec().LongRunning {
		p.close(t, waiting)
		return
	}
	counted := t
	if t.spec().Gang {
		counted = t.occ.tasks[t.step][0] // one count for the whole gang
	}
	counted.failures++
	p.close(t, waiting)
	q := p.catalog.queue(j.spec.Queue)
	if q != nil && q.MaxAttempts > 0 && counted.failures >= q.MaxAttempts && !j.state.Final() {
		p.finish(j, job.Failed, "task "+t.name+" has failed too often")
	}
}

func (p *Pool) runningAt(v *vm, r RunState, l Listing, listed map[*task]bool) {
	t := p.find(v, r.Task, r.Run)
	if t == nil {
		p.stopStray(v, r)
		return
	}
	listed[t] = true
	if t.phase != running {
		p.confirm(t, l.At)
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		// Kept in memory only: an end lists it again, and a VM that is lost
		// costs at most the work since the last recorded checkpoint.
		t.checkpoint = r.Checkpoint
	}
	if r.Percent > t.percent {
		t.progressAt = l.At
	}
	t.percent = r.Percent
	t.load, t.loadAt = r.Load, l.At
	if t.occ.job.state.Final() && p.now.Steady-t.stopSent > stopRepeat {
		p.sendStop(t, "job has ended")
	}
}

// confirm notes that a run is on its VM.
func (p *Pool) confirm(t *task, at time.Duration) {
	t.phase = running
	t.since = at
	t.progressAt = at
	j := t.occ.job
	if !j.begun {
		j.begun = true
		j.dirty = true
	}
	if j.state == job.Queued {
		j.state = job.Running
		j.dirty = true
	}
}

// stopStray stops a run that this scheduler does not want on the VM.
func (p *Pool) stopStray(v *vm, r RunState) {
	if _, _, _, _, ok := parseTaskName(r.Task); !ok {
		p.log.Warn("stray_run_ignored", zap.String("task", r.Task), zap.Int("run", r.Run), zap.String("vm", v.ID))
		return
	}
	p.strays[r.Task] = v
	p.log.Info("stray_run_stopped", zap.String("task", r.Task), zap.Int("run", r.Run), zap.String("vm", v.ID))
	p.command(Command{Kind: Stop, VM: v.ID, Address: v.Address, Task: r.Task, Run: r.Run})
}

// forgetStrays drops what an earlier listing of v has shown.
func (p *Pool) forgetStrays(v *vm) {
	for name, on := range p.strays {
		if on == v {
			delete(p.strays, name)
		}
	}
}

// absent settles the runs that a complete listing does not show.
func (p *Pool) absent(v *vm, l Listing, listed map[*task]bool) {
	for _, t := range v.sortedTasks() {
		if listed[t] {
			continue
		}
		switch {
		case t.phase == running && l.SentAt > t.since:
			p.lose(t, "no longer listed")
		case t.phase == unsettled && t.inherited:
			// Orders of the earlier owner are refused since this owner's
			// fencing token has been seen.
			p.lose(t, "not found at takeover")
		case t.phase == unsettled && t.stopSent == 0 && l.SentAt > t.since:
			p.sendStop(t, "start was not answered")
		case t.phase == unsettled && t.stopAnswer > 0 && l.SentAt > t.stopAnswer:
			p.lose(t, "unanswered start settled by a stop")
		case t.phase == unsettled && t.stopSent > 0 && t.stopAnswer == 0 && p.now.Steady-t.stopSent > stopRepeat:
			p.sendStop(t, "start was not answered")
		}
	}
}

// Started takes the answer to a start.
func (p *Pool) Started(c Command, result StartResult, at time.Duration) {
	v := p.vms[c.VM]
	if v == nil {
		return
	}
	t := p.find(v, c.Task, c.Run)
	if t == nil || (t.phase != starting && t.phase != unsettled) {
		return
	}
	if result != StartAccepted {
		p.log.Info("start_not_accepted", zap.String("task", c.Task), zap.Int("run", c.Run), zap.String("vm", c.VM), zap.Stringer("result", result))
	}
	switch result {
	case StartAccepted:
		p.confirm(t, at)
	case StartUnknown:
		t.phase = unsettled
		t.since = at
		v.backoff = p.now.Steady + silentBackoff
	case StartOtherLife:
		p.close(t, waiting)
		v.backoff = p.now.Steady + silentBackoff
	case StartFenced:
		p.Depose(v.ID)
	default:
		p.refused(t, v, result)
	}
}

// refusedBackoff is the pause of starts on a VM that has refused one for want
// of room: one listing later its use is known.
const refusedBackoff = 200 * time.Millisecond

func (p *Pool) refused(t *task, v *vm, result StartResult) {
	if result == StartNoRoom {
		p.stats.NoRoom++
	}
	p.stats.Requeued++
	if result == StartNoTicket {
		p.dropTicket(t, v)
	}
	p.close(t, waiting)
	pause := refusedBackoff
	if result == StartUnhealthy {
		pause = silentBackoff
		v.health.refused(p.now.Steady)
	}
	v.backoff = p.now.Steady + pause
}

// NotSent takes back an order that was never sent. A stop is decided anew by a
// listing after stopRepeat.
func (p *Pool) NotSent(c Command) {
	switch c.Kind {
	case Start:
		p.Started(c, StartLate, p.now.Steady)
	case Pace:
		p.PaceFailed(c)
	}
}

// Stopped takes the answer to a stop; ok is false if there was none.
func (p *Pool) Stopped(c Command, ok bool, at time.Duration) {
	v := p.vms[c.VM]
	if v == nil {
		return
	}
	t := p.find(v, c.Task, c.Run)
	if t == nil {
		return
	}
	if ok {
		t.stopAnswer = at
	}
}

// Deposed reports whether a VM has seen a later owner's fencing token.
func (p *Pool) Deposed() bool { return p.deposed }

// Depose tells that a VM has seen a later owner's fencing token.
func (p *Pool) Depose(vm string) {
	if !p.deposed {
		p.log.Warn("deposed_by_vm", zap.String("vm", vm))
	}
	p.deposed = true
}

// PaceFailed tells that a pace was not confirmed; the next listing decides anew.
func (p *Pool) PaceFailed(c Command) {
	v := p.vms[c.VM]
	if v == nil {
		return
	}
	if t := p.find(v, c.Task, c.Run); t != nil && t.pace == c.Percent {
		t.pace = unknownPace
	}
}
