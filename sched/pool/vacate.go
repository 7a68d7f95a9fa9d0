package pool

import (
	"time"

	"go.uber.org/zap"
)

// worthSaving is the expected rest of a run from which a checkpoint and a
// restart elsewhere cost less than waiting for its end.
const worthSaving = 1500 * time.Millisecond

// vacate moves tasks off VMs that drain or are to be emptied.
func (p *Pool) vacate() {
	for _, v := range p.vms {
		if len(v.tasks) == 0 || !v.Draining && !v.cordoned {
			continue
		}
		for _, t := range v.sortedTasks() {
			if t.phase == running && p.now.Steady-t.stopSent > stopRepeat {
				p.vacateTask(t, v)
			}
		}
	}
}

func (p *Pool) vacateTask(t *task, v *vm) {
	spec := t.spec()
	switch {
	case spec.Gang && !v.Draining:
		return // runs to its end: stopping one member breaks all
	case spec.LongRunning && v.Draining:
		p.sendStop(t, "vm drains")
	case spec.LongRunning && p.mayStop(t) && p.hasPlace(t):
		p.sendStop(t, "vm is emptied")
	case spec.LongRunning:
		return
	case spec.Checkpoints && p.runLeft(t) > worthSaving:
		p.sendStop(t, "saved for another vm")
	}
}

// takeoverCalm is the time after a takeover, on top of the longest time of a
// stop, in which all VMs have been fenced against the earlier owner.
const takeoverCalm = 1500 * time.Millisecond

// hasPlace reports whether another VM could take a task now. Otherwise the owner
// asks for one more VM.
func (p *Pool) hasPlace(t *task) bool {
	if t.stopPending(p.now.Steady) || p.choose(t, nil) != nil {
		return true
	}
	p.stuck = true
	return false
}

// mayStop reports whether stopping a task keeps the availability budget of its
// step: fewer than MayMiss others may be away. A stop that is repeated is checked
// anew, since others may have gone meanwhile.
func (p *Pool) mayStop(t *task) bool {
	if p.now.Steady-p.startedAt.Steady < p.settings.StopGrace+takeoverCalm {
		return false // stops of the earlier owner may still be under way
	}
	limit := max(1, t.spec().MayMiss)
	away := 0
	for _, other := range t.occ.tasks[t.step] {
		if other != t && !other.atWork(p.now.Steady) {
			away++
		}
	}
	if away >= limit {
		p.log.Debug("stop_deferred", zap.String("task", t.name), zap.Int("away", away))
		return false
	}
	return true
}

// atWork reports whether a lasting task is known to serve.
func (t *task) atWork(now time.Duration) bool {
	return t.phase == running && t.percent >= fullPace && !t.stopPending(now) && now-t.loadAt < answerTooOld
}

// stopPending reports whether a stop of the task's run may still take effect. A
// run that is listed long after a stop was sent goes on: the stop was lost.
func (t *task) stopPending(now time.Duration) bool {
	return t.stopSent > 0 && now-t.stopSent < 2*stopRepeat
}

// runLeft is the expected rest of a task's run.
func (p *Pool) runLeft(t *task) time.Duration {
	expected := p.expected(t.occ.job.spec.Queue, t.spec())
	if t.percent > 0 && t.percent < fullPace {
		return expected * time.Duration(fullPace-t.percent) / fullPace
	}
	return max(0, expected-(p.now.Steady-t.since))
}
