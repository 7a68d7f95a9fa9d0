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
	// maxPacedSiblings bounds the tasks of a step that are looked at for one run.
	maxPacedSiblings = 64
	// slowFactor is the ratio of a run's projected time to the mean of its siblings above which
	// the run is slow.
	slowFactor = 3.0
	// minSlowRuns is the number of slow runs that make their VM a slow one. A single one may be
	// slow by itself.
	minSlowRuns = 2
	// slowQuarantine is the time without new work on a slow VM. Each listing that shows a slow
	// run starts it again.
	slowQuarantine = 2 * time.Second
	// minRescueGain is the smallest ratio of the remaining time of a run to the time that it
	// takes on another VM for which it is stopped. The room and the work of the run are lost.
	minRescueGain = 2.0
)

// projectedRunTime returns the time that a run of t takes by its progress so far, and that of the
// run that is done; 0 if it is not known. A run that shows no progress takes at least the result.
func (t *task) projectedRunTime() time.Duration {
	switch {
	case t.phase == done:
		return t.ranFor
	case t.phase != running || t.inherited || t.startedFrom != "" || t.loadAt-t.since < minPaceTime || t.progressPercent >= fullPercent:
		return 0
	}
	if t.progressPercent <= 0 {
		return t.loadAt - t.since
	}
	return (t.loadAt - t.since) * fullPercent / time.Duration(t.progressPercent)
}

// tellsPace reports whether the progress of t on v can be compared with that of its siblings. Tasks
// that are throttled, or away from their data, are slow for other reasons than their VM.
func (t *task) tellsPace(v *vm) bool {
	spec := t.spec()
	return !spec.LongRunning && !spec.Gang && !spec.BestEffort && !spec.SameRack && (spec.NearRack == "" || spec.NearRack == v.Rack)
}

// siblingRunTime returns the mean of the projected run times of tasks of t's step on VMs
// other than v, or 0 if too few are known.
func (t *task) siblingRunTime(v *vm) time.Duration {
	step := t.occ.tasks[t.step]
	n, sum := 0, time.Duration(0)
	for i := range min(len(step), maxPacedSiblings) {
		sibling := step[(t.index+i)%len(step)]
		if sibling == t || sibling.vm == v {
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

// slowRun is a run that is much slower than its siblings on other VMs.
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
		usual := t.siblingRunTime(v)
		if usual > 0 && float64(projected) >= slowFactor*float64(usual) {
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
		t := slow[0].task
		p.log.Warn("vm_slow", zap.String("vm", v.ID), zap.Int("slow_runs", len(slow)), zap.String("task", t.name), zap.Duration("after", t.loadAt-t.since),
			zap.Int("progress", t.progressPercent), zap.Duration("projected", slow[0].projected), zap.Duration("usual", slow[0].usual), zap.Int("tasks", len(v.tasks)))
	}
	v.health.quarantinedUntil = max(v.health.quarantinedUntil, p.now.Steady+slowQuarantine)
	elsewhere := map[*vm]bool{v: true} // no place for the runs of v
	rescued := 0
	for _, run := range slow {
		if p.endsEarlierElsewhere(run) && p.roomFor(run.task, rescued+1, elsewhere) {
			run.task.rescued = true
			rescued++
			p.sendStop(run.task, "vm is slow")
		}
	}
}

// endsEarlierElsewhere reports whether a task on a slow VM would end much earlier on another
// one. A task is moved once: one that is slow there too is slow by itself.
func (p *Pool) endsEarlierElsewhere(run slowRun) bool {
	t := run.task
	if t.stopSentAt > 0 || t.late.calls > 1 && t.late.open(p.now.Steady) {
		return false
	}
	remaining := run.projected - (p.now.Steady - t.since)
	elsewhere := run.usual
	if t.spec().Checkpoints {
		elsewhere -= run.usual * time.Duration(t.progressPercent) / fullPercent
	}
	elsewhere += p.settings.StopGrace + p.startTime
	return float64(remaining) >= minRescueGain*float64(elsewhere)
}
