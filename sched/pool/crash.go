package pool

import (
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
)

const (
	// maxCrashes is the number of VMs that may crash under a task before its job is
	// given up. Two may crash for reasons of their own.
	maxCrashes = 3
	// crashMemory is how long after a run was lost a restart of its VM still tells that
	// the VM had crashed.
	crashMemory = 30 * time.Second
)

// lostRun is a run that was given up on a VM that did not answer. The VM may have
// crashed, or may only be silent.
type lostRun struct {
	task *task
	vm   *vm
	at   time.Duration
}

// suspects returns the tasks against which a crash of v counts: those with a confirmed
// run, or a task that has the VM for itself. A start without an answer may not have
// arrived.
func (v *vm) suspects() []*task {
	var list []*task
	for _, t := range v.sortedTasks() {
		if t.phase == running || t.phase != placed && len(v.tasks) == 1 {
			list = append(list, t)
		}
	}
	return list
}

// observeRestart ends the earlier incarnations of v's machine, which have other ids.
// The runs on them are lost, and their tasks count a crash.
func (p *Pool) observeRestart(v *vm) {
	if v.Machine == "" || v.StartedMS == 0 {
		return
	}
	for _, other := range p.sortedVMs() {
		switch {
		case other == v || other.Machine != v.Machine || other.StartedMS == 0:
		case other.StartedMS < v.StartedMS:
			p.endIncarnation(other, v)
		case v.StartedMS < other.StartedMS:
			p.endIncarnation(v, other)
		}
	}
	p.confirmCrashes(v.Machine, v.StartedMS)
}

// endIncarnation loses the runs on a VM whose machine has started again as another VM.
// Orders name the id of a VM, so no start that is still under way can reach the other.
func (p *Pool) endIncarnation(v, successor *vm) {
	if v.replaced {
		return
	}
	v.replaced = true
	planned := v.Draining || v.cordoned
	p.log.Info("vm_replaced", zap.String("vm", v.ID), zap.String("by", successor.ID), zap.String("machine", v.Machine),
		zap.Bool("planned", planned), zap.Int("tasks", len(v.tasks)))
	suspects := v.suspects()
	for _, t := range v.sortedTasks() {
		if t.phase == placed { // the start was never sent
			p.endRun(t, waiting)
			continue
		}
		p.markLost(t, "its machine has restarted")
	}
	if planned {
		return
	}
	for _, t := range suspects {
		p.countCrash(t, v)
	}
}

// rememberLost records the runs that are about to be given up on v, which does not answer,
// until it is known whether it has crashed.
func (p *Pool) rememberLost(v *vm) {
	kept := p.lostRuns[:0]
	for _, l := range p.lostRuns {
		if p.now.Steady-l.at < crashMemory {
			kept = append(kept, l)
		}
	}
	for _, t := range v.suspects() {
		if t.phase != starting { // a start that is being sent is not given up
			kept = append(kept, lostRun{t, v, p.now.Steady})
		}
	}
	p.lostRuns = kept
}

// confirmCrashes counts crashes of the earlier incarnations of a machine, which has
// started at startedMS, for the runs that were given up on them.
func (p *Pool) confirmCrashes(machine string, startedMS int64) {
	p.takeLostRuns(func(l lostRun) bool {
		return l.vm.Machine == machine && l.vm.StartedMS != 0 && l.vm.StartedMS < startedMS
	}, p.countCrash)
}

// forgetLost drops the runs that were given up on v, which has answered: it was silent.
func (p *Pool) forgetLost(v *vm) {
	p.takeLostRuns(func(l lostRun) bool { return l.vm == v }, func(*task, *vm) {})
}

// takeLostRuns removes the runs that match from lostRuns and calls use for each.
func (p *Pool) takeLostRuns(match func(lostRun) bool, use func(*task, *vm)) {
	var taken []lostRun
	kept := p.lostRuns[:0]
	for _, l := range p.lostRuns {
		if match(l) {
			taken = append(taken, l)
		} else {
			kept = append(kept, l)
		}
	}
	p.lostRuns = kept
	for _, l := range taken {
		use(l.task, l.vm)
	}
}

// countCrash counts a crash of v under a task, and gives the task's job up after
// maxCrashes of them. Long-running tasks are started again however they end.
func (p *Pool) countCrash(t *task, v *vm) {
	j := t.occ.job
	if t.spec().LongRunning || t.phase == done || j.state.Final() {
		return
	}
	t.crashes++
	j.dirty = true
	p.stats.Crashed++
	p.log.Info("vm_crashed_under_task", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", v.ID), zap.Int("crashes", t.crashes))
	if t.crashes >= maxCrashes {
		p.finish(j, job.Failed, "VMs have crashed under task "+t.name)
	}
}
