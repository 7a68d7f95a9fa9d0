package pool

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
)

const (
	// maxLikelyCrashes is the number of crashes of which a task is the likely cause before
	// its job is given up. Two VMs may crash for reasons of their own.
	maxLikelyCrashes = 3
	// maxCrashes is the number of VMs that may crash while a run of a task may be on them
	// before its job is given up, if at least minCertainCrashes were certainly under it.
	// The users allow two starts after three crashes.
	maxCrashes        = 4
	minCertainCrashes = 2
	// crashMemory is how long after a run was lost a restart of its VM still tells that
	// the VM had crashed.
	crashMemory = 30 * time.Second
	// crashWindow is the time between the start of a run and the loss of contact with its
	// VM in which the run is the likely cause of a crash. For as long, tasks that are the
	// likely cause of several crashes are kept apart from each other.
	crashWindow = 500 * time.Millisecond
)

// blame says what a crash of its VM tells about a task.
type blame uint8

const (
	notBlamed     blame = iota
	doubtfulCause       // its run may not have been on the VM when it crashed
	possibleCause       // its run was on the VM
	likelyCause         // and was started right before the crash, or had the VM to itself
)

// blameFor returns what a crash of t's VM tells about t. A start without an answer may
// not have arrived.
func (t *task) blameFor() blame {
	v := t.vm
	alone := len(v.tasks) == 1
	startedLast := v.contactLostAt > 0 && v.contactLostAt-t.since < crashWindow
	switch {
	case t.phase == running && (alone || startedLast):
		return likelyCause
	case t.phase == running:
		return possibleCause
	case t.phase != placed:
		return doubtfulCause
	}
	return notBlamed
}

// suspect is a task that may have caused a crash.
type suspect struct {
	task  *task
	blame blame
}

// suspects returns the tasks that may cause a crash of v, in the order of their names.
func (v *vm) suspects() []suspect {
	var list []suspect
	for _, t := range v.sortedTasks() {
		if b := t.blameFor(); b != notBlamed {
			list = append(list, suspect{t, b})
		}
	}
	return list
}

// lostRun is a run that was given up on a VM that did not answer. The VM may have
// crashed, or may only be silent.
type lostRun struct {
	suspect
	vm *vm
	at time.Duration
}

// observeRestart ends the earlier incarnations of v's machine, which have other ids.
// The runs on them are lost, and their tasks count a crash. Only the answer of a later
// incarnation proves that: an entry in discovery may be from another writer.
func (p *Pool) observeRestart(v *vm) {
	if v.Machine == "" || v.StartedMS == 0 {
		return
	}
	for _, other := range p.sortedVMs() {
		identity := other.identity()
		switch {
		case other == v || identity.Machine != v.Machine || identity.StartedMS == 0:
		case identity.StartedMS < v.StartedMS && v.fenced:
			p.endIncarnation(other, v)
		case v.StartedMS < identity.StartedMS && other.fenced:
			p.endIncarnation(v, other)
		}
	}
	if v.fenced {
		p.confirmCrashes(v.Machine, v.StartedMS)
	}
}

// endIncarnation loses the runs on a VM whose machine has started again as another VM.
// Orders name the id of a VM, so no start that is still under way can reach the other.
func (p *Pool) endIncarnation(v, successor *vm) {
	if v.replaced {
		return
	}
	v.replaced = true
	planned := v.Draining || v.cordoned
	p.log.Info("vm_replaced", zap.String("vm", v.ID), zap.String("by", successor.ID), zap.String("machine", successor.Machine),
		zap.Bool("planned", planned), zap.Int("tasks", len(v.tasks)))
	p.forgetOrphans(v)
	suspects := v.suspects()
	for _, t := range v.sortedTasks() {
		if t.phase == placed { // the start was never sent
			p.endRun(t, waiting)
			continue
		}
		t.blame = notBlamed // the run is counted once, below
		t.late = lateStart{}
		p.markLost(t, "its machine has restarted")
	}
	if planned {
		return
	}
	for _, s := range withoutExplained(suspects) {
		p.countCrash(s, v)
	}
}

// withoutExplained returns the suspects of a crash that are blamed for it. If one of them is
// given up for it, as the likely cause of so many crashes, the crash tells nothing about those
// that were only beside it.
func withoutExplained(suspects []suspect) []suspect {
	convicted := func(s suspect) bool { return s.blame == likelyCause && s.task.likelyCrashes+1 >= maxLikelyCrashes }
	if !slices.ContainsFunc(suspects, convicted) {
		return suspects
	}
	return slices.DeleteFunc(suspects, func(s suspect) bool { return s.blame != likelyCause })
}

// rememberLost records the runs of tasks that are about to be given up on v, which does not
// answer, until it is known whether it has crashed. None is a likely cause, since it may crash
// after their leases have ended.
func (p *Pool) rememberLost(v *vm, tasks []*task) {
	if len(tasks) == 0 {
		return
	}
	kept := p.lostRuns[:0]
	for _, l := range p.lostRuns {
		if p.now.Steady-l.at < crashMemory {
			kept = append(kept, l)
		}
	}
	for _, s := range v.suspects() {
		if slices.Contains(tasks, s.task) {
			kept = append(kept, lostRun{suspect{s.task, min(s.blame, possibleCause)}, v, p.now.Steady})
		}
	}
	p.lostRuns = kept
}

// confirmCrashes counts crashes of the earlier incarnations of a machine, which has
// started at startedMS, for the runs that were given up on them.
func (p *Pool) confirmCrashes(machine string, startedMS int64) {
	p.takeLostRuns(func(l lostRun) bool {
		identity := l.vm.identity()
		return identity.Machine == machine && identity.StartedMS != 0 && identity.StartedMS < startedMS
	}, p.countCrash)
}

// forgetLost drops the runs that were given up on v, which has answered: it was silent.
func (p *Pool) forgetLost(v *vm) {
	p.takeLostRuns(func(l lostRun) bool { return l.vm.ID == v.ID }, func(suspect, *vm) {})
}

// takeLostRuns removes the runs that match from lostRuns and calls use for each.
func (p *Pool) takeLostRuns(match func(lostRun) bool, use func(suspect, *vm)) {
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
		use(l.suspect, l.vm)
	}
}

// countCrash counts a crash of v against a task, and gives the task's job up when there
// are too many. Long-running tasks are started again however they end.
func (p *Pool) countCrash(s suspect, v *vm) {
	t, j := s.task, s.task.occ.job
	if t.spec().LongRunning || t.phase == done || t.history.doneEarlier || j.state.Final() {
		return
	}
	t.crashes++
	if s.blame >= possibleCause {
		t.certainCrashes++
	}
	if s.blame == likelyCause {
		t.likelyCrashes++
	}
	t.markDirty()
	p.stats.Crashed++
	p.log.Info("vm_crashed_under_task", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", v.ID),
		zap.Int("crashes", t.crashes), zap.Int("certain", t.certainCrashes), zap.Int("likely_cause_of", t.likelyCrashes))
	if t.likelyCrashes >= maxLikelyCrashes || t.crashes >= maxCrashes && t.certainCrashes >= minCertainCrashes {
		p.finish(j, job.Failed, "VMs have crashed under task "+t.name)
	}
}

// likelyCrasher reports whether t is likely to crash the VM that starts it next.
func (t *task) likelyCrasher() bool { return t.likelyCrashes > 0 || t.crashes > 1 }

// onProbation reports whether a likely crasher has been started on v so recently that a
// crash could not be told from one under next. The members of a gang crash a VM together.
func (v *vm) onProbation(next *task, now time.Duration) bool {
	t := v.probationer
	return t != nil && t.vm == v && t.history != next.history && (t.phase != running || now-t.since < crashWindow)
}
