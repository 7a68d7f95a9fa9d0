package pool

import (
	"time"

	"go.uber.org/zap"
)

// minRemainingToMove is the expected remaining run time above which a checkpoint
// and a restart elsewhere cost less than waiting for the end of the run.
const minRemainingToMove = 1500 * time.Millisecond

// drainVMs stops runs on VMs that are draining or cordoned, so that their tasks
// are placed elsewhere.
func (p *Pool) drainVMs() {
	for _, v := range p.vms {
		if len(v.tasks) == 0 || !v.Draining && !v.cordoned {
			continue
		}
		for _, t := range v.sortedTasks() {
			if t.phase == running && p.now.Steady-t.stopSentAt > stopRetryInterval {
				p.drainTask(t, v)
			}
		}
	}
}

// drainTask stops the run of t on v unless it should run to its end.
func (p *Pool) drainTask(t *task, v *vm) {
	spec := t.spec()
	switch {
	case !v.Draining && t.late.calls > 1 && t.late.open(p.now.Steady):
		return // it could start on no other VM yet
	case spec.Gang && !v.Draining:
		return // runs to its end, since stopping one member ends the whole gang
	case spec.LongRunning && v.Draining:
		p.sendStop(t, "vm is draining")
	case spec.LongRunning && p.withinAvailabilityBudget(t) && p.canMoveElsewhere(t):
		p.sendStop(t, "vm is cordoned")
	case spec.LongRunning:
		return
	case spec.Checkpoints && p.remainingRunTime(t) > minRemainingToMove:
		p.sendStop(t, "checkpointed to continue on another vm")
	}
}

// fencingTime is the time, on top of StopGrace, within which all VMs have seen the
// new owner's fencing token after a takeover.
const fencingTime = 1500 * time.Millisecond

// canMoveElsewhere reports whether another VM could run t now or a stop of t was sent
// a short time ago. Otherwise the next load report asks for one more VM.
func (p *Pool) canMoveElsewhere(t *task) bool {
	if t.stopSentWithin(2*stopRetryInterval, p.now.Steady) || p.choose(t, nil) != nil {
		return true
	}
	p.needsAnotherVM = true
	return false
}

// withinAvailabilityBudget reports whether stopping t keeps the availability
// budget of its step: fewer than MaxUnavailable of the other tasks may be
// unavailable. A repeated stop is checked again, since others may have become
// unavailable in between.
func (p *Pool) withinAvailabilityBudget(t *task) bool {
	if p.now.Steady-p.startedAt.Steady < p.settings.StopGrace+fencingTime {
		return false // stops of the earlier owner may still take effect
	}
	limit := max(1, t.spec().MaxUnavailable)
	unavailable := 0
	for _, other := range t.occ.tasks[t.step] {
		if other != t && !other.available(p.now.Steady) {
			unavailable++
		}
	}
	if unavailable >= limit {
		p.log.Debug("stop_deferred", zap.String("task", t.name), zap.Int("unavailable", unavailable))
		return false
	}
	return true
}

// available reports whether a long-running task is known to be available and no
// stop of it is pending.
func (t *task) available(now time.Duration) bool {
	return t.phase == running && t.progressPercent >= fullPercent && !t.stopPending(now) && now-t.loadAt < maxAnswerAge
}

// lateOrderBound is the time after which a VM no longer carries out an order that it
// left unanswered.
const lateOrderBound = 8 * time.Second

// stopPending reports whether a stop of the task's run may still take effect.
func (t *task) stopPending(now time.Duration) bool { return t.stopSentWithin(lateOrderBound, now) }

// stopSentWithin reports whether a stop of the task's run was sent within the last d.
func (t *task) stopSentWithin(d, now time.Duration) bool {
	return t.stopSentAt > 0 && now-t.stopSentAt < d
}

// remainingRunTime returns the expected remaining time of a task's run.
func (p *Pool) remainingRunTime(t *task) time.Duration {
	expected := p.expectedRunTime(t.occ.job.spec.Queue, t.spec())
	if t.progressPercent > 0 && t.progressPercent < fullPercent {
		return expected * time.Duration(fullPercent-t.progressPercent) / fullPercent
	}
	return max(0, expected-(p.now.Steady-t.since))
}
