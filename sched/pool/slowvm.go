package pool

import (
	"time"

	"go.uber.org/zap"
)

// Parameters of the recognition of VMs that are up and healthy but run their tasks slowly.
const (
	// minPaceTime is how long a run must have lasted before its progress tells its pace: a
	// percent of a run is 10 ms or more then.
	minPaceTime = 600 * time.Millisecond
	// minPacedSiblings is the number of tasks of the same step, on other VMs, to which a run is
	// compared.
	minPacedSiblings = 2
	// slowFactor is the ratio of a run's projected time to the mean of its siblings above which
	// its VM is slow. The run times of one step lie within a factor of 2 of their mean.
	slowFactor = 3.0
	// slowQuarantine is the time without new work on a slow VM. Each listing that shows a slow
	// run starts it again.
	slowQuarantine = 2 * time.Second
	// minSlowRuns is the number of slow runs on a VM that make it a slow one. A single one may be a
	// task that is longer than its siblings.
	minSlowRuns = 2
	// maxComparedSiblings bounds the siblings that are looked at, since steps can be large.
	maxComparedSiblings = 32
	// minRescueGain is the smallest ratio of the remaining time of a run to the time that it
	// takes on another VM for which it is stopped. The room and the work of the run are lost.
	minRescueGain = 2.0
)

// projectedRunTime returns the time that a run of t takes by its progress so far, and that of the
// run that is done; 0 if it is not known.
func (t *task) projectedRunTime() time.Duration {
	switch {
	case t.phase == done:
		return t.ranFor
	case t.phase != running || t.inherited || t.startedFrom != "" || t.loadAt-t.since < minPaceTime || t.progressPercent >= fullPercent:
		return 0
	}
	if t.progressPercent <= 0 {
		return 0 // it may have begun late
	}
	return (t.loadAt - t.since) * fullPercent / time.Duration(t.progressPercent)
}

// tellsPace reports whether the progress of t on v can be compared with that of its siblings. Tasks
// that are throttled, or away from their data, are slow for other reasons than their VM.
func (t *task) tellsPace(v *vm) bool {
	spec := t.spec()
	return !spec.LongRunning && !spec.Gang && !spec.BestEffort && !spec.SameRack && (spec.NearRack == "" || spec.NearRack == v.Rack)
}

// siblingRunTime returns the mean of the projected run times of the tasks of t's step on VMs
// other than v, or 0 if too few are known.
func (t *task) siblingRunTime(v *vm) time.Duration {
	n, sum := 0, time.Duration(0)
	siblings := t.occ.tasks[t.step]
	for k := 1; k < min(len(siblings), maxComparedSiblings); k++ {
		sibling := siblings[(t.index+k)%len(siblings)]
		if sibling.vm == v {
			continue
		}
		if d := sibling.projectedRunTime(); d > 0 {
			n++
			sum += d
		}
	}
	if n < minPacedSiblings {
		return 0
	}
	return sum / time.Duration(n)
}

// slowRun is a run that takes longer than those of its siblings.
type slowRun struct {
	task             *task
	projected, usual time.Duration
}

// slowRuns returns the slow runs on v. A task that was slow on another VM too is left out.
func (p *Pool) slowRuns(v *vm) []slowRun {
	var slow []slowRun
	for _, t := range v.sortedTasks() {
		if t.rescued || !t.tellsPace(v) || t.occ.job.state.Final() {
			continue
		}
		projected := t.projectedRunTime()
		if projected == 0 {
			continue
		}
		if usual := t.siblingRunTime(v); usual > 0 && float64(projected) >= slowFactor*float64(usual) {
			slow = append(slow, slowRun{t, projected, usual})
		}
	}
	return slow
}

// observePace recognises from the runs that v has just listed whether it is slow. A slow VM
// gets no new work, and its runs continue elsewhere if they end earlier there.
func (p *Pool) observePace(v *vm) {
	slow := p.slowRuns(v)
	if len(slow) < minSlowRuns {
		return
	}
	if !v.health.quarantined(p.now.Steady) {
		s := slow[0]
		p.log.Warn("vm_slow", zap.String("vm", v.ID), zap.String("task", s.task.name), zap.Duration("after", s.task.loadAt-s.task.since),
			zap.Int("progress", s.task.progressPercent), zap.Duration("projected", s.projected), zap.Duration("usual", s.usual), zap.Int("tasks", len(v.tasks)))
	}
	v.health.quarantinedUntil = max(v.health.quarantinedUntil, p.now.Steady+slowQuarantine)
	taken := map[*vm]bool{v: true}
	for _, s := range slow {
		p.rescue(s, taken)
	}
}

// rescue stops a run on a slow VM if it ends much earlier on another one, which is not taken yet.
// A task is rescued once, since it may be slow by itself.
func (p *Pool) rescue(s slowRun, taken map[*vm]bool) {
	t := s.task
	if t.stopSentAt > 0 || t.late.calls > 1 && t.late.open(p.now.Steady) {
		return
	}
	remaining := s.projected - (p.now.Steady - t.since)
	elsewhere := s.usual
	if t.spec().Checkpoints {
		elsewhere -= s.usual * time.Duration(t.progressPercent) / fullPercent
	}
	elsewhere += p.settings.StopGrace + p.startTime
	if float64(remaining) < minRescueGain*float64(elsewhere) {
		return
	}
	on := p.choose(t, taken)
	if on == nil || !p.usable(on) {
		return
	}
	taken[on] = true
	t.rescued = true
	p.sendStop(t, "vm is slow")
}
