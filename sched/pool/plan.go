package pool

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
)

// Whether a job can still meet its objective.
const (
	// feasibleMargin is added to the work that remains: the delay of one record,
	// start and listing.
	feasibleMargin = 150 * time.Millisecond
	// begunShare is the share of the remaining estimate that a job which has
	// begun must have time for. Estimates are off by half, and the work that is
	// done would be lost (docs/MEASUREMENTS.md, section 8).
	begunShare = 0.5
)

// step work that is ready to be placed.
type readyStep struct {
	job      *jobState
	occ      *occurrence
	step     int
	tasks    []*task
	priority int
	lasting  bool
	begun    bool          // a task of the occurrence has been started
	feasible bool          // the objective can still be met
	deadline time.Duration // objective, on the steady clock
}

// plan opens occurrences that are due and places ready tasks.
func (p *Pool) plan() {
	p.expireLeases()
	ready := p.collect()
	p.order(ready)
	p.wants = p.demand(ready)
	reserved := map[*vm]bool{}
	for i := range ready {
		p.placeStep(&ready[i], reserved)
	}
}

// expireLeases gives up runs on VMs whose leases have lapsed for certain.
func (p *Pool) expireLeases() {
	for _, v := range p.vms {
		if p.now.Steady <= v.leaseUntil {
			continue
		}
		if len(v.tasks) > 0 {
			for _, t := range v.sortedTasks() {
				// A start that is under way brings a lease of its own.
				if t.phase == running || t.phase == unsettled {
					p.lose(t, "lease lapsed on a VM that does not answer")
				}
			}
		}
		if !v.listed && len(v.tasks) == 0 {
			p.remove(v)
		}
	}
}

func (p *Pool) collect() []readyStep {
	var ready []readyStep
	kept := p.open[:0]
	for _, j := range p.open {
		if j.state.Final() {
			continue
		}
		kept = append(kept, j)
		p.openDue(j)
		for _, o := range j.open {
			ready = p.collectOccurrence(ready, o)
		}
	}
	clear(p.open[len(kept):])
	p.open = kept
	return ready
}

// openDue creates the occurrences whose time has come.
func (p *Pool) openDue(j *jobState) {
	for j.nextOpen < j.spec.Occurrences() {
		due := j.spec.Due(j.nextOpen)
		if due > p.now.Wall {
			return
		}
		j.open = append(j.open, p.newOccurrence(j, j.nextOpen, due))
		j.nextOpen++
		j.dirty = true
	}
}

func (p *Pool) newOccurrence(j *jobState, number int, due int64) *occurrence {
	o := &occurrence{job: j, number: number, due: due, opened: p.now}
	if due > 0 {
		o.opened = p.now.Add(-time.Duration(p.now.Wall-due) * time.Millisecond)
	} else {
		o.opened = j.acceptedAt
	}
	for s := range j.spec.Steps {
		tasks := make([]*task, j.spec.Steps[s].Count)
		for i := range tasks {
			tasks[i] = &task{occ: o, step: s, index: i, name: TaskName(j.spec.ID, number, s, i), pace: 100}
		}
		o.tasks = append(o.tasks, tasks)
		o.left = append(o.left, len(tasks))
	}
	return o
}

func (p *Pool) collectOccurrence(ready []readyStep, o *occurrence) []readyStep {
	q := p.catalog.queue(o.job.spec.Queue)
	first := len(ready)
	for s := range o.tasks {
		if o.left[s] == 0 || !o.ready(s) {
			continue
		}
		var tasks []*task
		for _, t := range o.tasks[s] {
			if t.phase == waiting && p.strays[t.name] == nil {
				tasks = append(tasks, t)
			}
		}
		if len(tasks) == 0 {
			continue
		}
		r := readyStep{job: o.job, occ: o, step: s, tasks: tasks, lasting: o.job.spec.Steps[s].LongRunning}
		if q != nil {
			r.priority = q.Priority
		}
		ready = append(ready, r)
	}
	if first == len(ready) {
		return ready
	}
	left, chain := p.outlook(o)
	deadline := o.opened.Steady + chain
	if q != nil {
		deadline = o.opened.Steady + time.Duration(float64(chain)*max(1, q.Stretch)) + q.Target
	}
	need := left + feasibleMargin
	begun := o.begun()
	if begun {
		need = time.Duration(begunShare * float64(left))
	}
	for i := first; i < len(ready); i++ {
		ready[i].deadline = deadline
		ready[i].begun = begun
		ready[i].feasible = p.now.Steady+need <= deadline
	}
	return ready
}

// begun reports whether a task has been started.
func (o *occurrence) begun() bool {
	for _, step := range o.tasks {
		for _, t := range step {
			if t.run > 0 {
				return true
			}
		}
	}
	return false
}

// outlook estimates, for an occurrence, the longest chain of work that is left,
// and the whole longest chain.
func (p *Pool) outlook(o *occurrence) (left, chain time.Duration) {
	steps := o.job.spec.Steps
	ends := make([]time.Duration, len(steps))
	endsLeft := make([]time.Duration, len(steps))
	for s := range steps {
		var from, fromLeft time.Duration
		for _, earlier := range steps[s].After {
			from = max(from, ends[earlier])
			fromLeft = max(fromLeft, endsLeft[earlier])
		}
		estimate := p.expected(o.job.spec.Queue, &steps[s])
		ends[s] = from + estimate
		endsLeft[s] = fromLeft
		if o.left[s] > 0 {
			endsLeft[s] = fromLeft + estimate
		}
		chain = max(chain, ends[s])
		left = max(left, endsLeft[s])
	}
	return left, chain
}

// order sorts ready steps: tasks that last first, since they earn all the time,
// then jobs that can still meet their objective, then the others. Jobs that have
// begun come first among those of one priority, so that an overload leaves as few
// as possible half done. Jobs beyond their workspace's share come after the others.
func (p *Pool) order(ready []readyStep) {
	sort.SliceStable(ready, func(i, k int) bool {
		a, b := &ready[i], &ready[k]
		if a.lasting != b.lasting {
			return a.lasting
		}
		if a.feasible != b.feasible {
			return a.feasible
		}
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		if a.begun != b.begun {
			return a.begun
		}
		if a.job.overShare != b.job.overShare {
			return !a.job.overShare
		}
		return a.deadline < b.deadline
	})
}

// demand sums, for each workspace with a cap, what its runs hold and its ready
// tasks need.
func (p *Pool) demand(ready []readyStep) map[string]fleet.Resources {
	wants := map[string]fleet.Resources{}
	for workspace, used := range p.usage {
		if _, capped := p.catalog.capOf(workspace); capped {
			wants[workspace] = used
		}
	}
	for i := range ready {
		workspace := ready[i].job.spec.Workspace
		if _, capped := p.catalog.capOf(workspace); !capped {
			continue
		}
		need := ready[i].job.spec.Steps[ready[i].step].Need
		n := int64(len(ready[i].tasks))
		wants[workspace] = wants[workspace].Add(fleet.Resources{
			MilliCPU: need.MilliCPU * n, MemoryMB: need.MemoryMB * n, Accelerators: need.Accelerators * n})
	}
	return wants
}

// withinCap reports whether a workspace may hold need more.
func (p *Pool) withinCap(workspace string, need fleet.Resources) bool {
	limit, capped := p.catalog.capOf(workspace)
	if !capped {
		return true
	}
	a := p.allots[workspace]
	if a.blocked {
		return false
	}
	after := p.usage[workspace].Add(need)
	return withinPart(after.MilliCPU, a.limit.MilliCPU, limit.MilliCPU) &&
		withinPart(after.MemoryMB, a.limit.MemoryMB, limit.MemoryMB) &&
		withinPart(after.Accelerators, a.limit.Accelerators, limit.Accelerators)
}

// withinPart compares one part with its allotment; a cap of 0 is no limit.
func withinPart(amount, allotted, limit int64) bool {
	return limit == 0 || amount <= allotted
}

func (p *Pool) placeStep(r *readyStep, reserved map[*vm]bool) {
	spec := &r.job.spec.Steps[r.step]
	if spec.Gang {
		p.placeGang(r, reserved)
		return
	}
	for i, t := range r.tasks {
		if !p.withinCap(r.job.spec.Workspace, spec.Need) {
			return
		}
		v := p.choose(t, reserved)
		if v == nil {
			p.ask(t, len(r.tasks)-i)
			if r.lasting {
				p.stuck = true
			}
			if r.lasting && len(reserved) < maxReserved {
				p.reserve(t, reserved)
			}
			return
		}
		p.place(t, v)
	}
}

// maxReserved bounds the VMs that are kept free for tasks that last and do not
// fit anywhere yet, so that other work goes on.
const maxReserved = 2

// reserve keeps the VM with the most free room for a task that fits nowhere.
func (p *Pool) reserve(t *task, reserved map[*vm]bool) {
	var best *vm
	for _, v := range p.sortedVMs() {
		if reserved[v] || !p.usable(v) || !p.allowed(t, v) || !t.spec().Need.Fits(v.Capacity) {
			continue
		}
		if best == nil || v.free().MilliCPU > best.free().MilliCPU {
			best = v
		}
	}
	if best != nil {
		reserved[best] = true
	}
}

// placeGang places all tasks of a gang or none.
func (p *Pool) placeGang(r *readyStep, reserved map[*vm]bool) {
	spec := &r.job.spec.Steps[r.step]
	if len(r.tasks) < spec.Count {
		return // a member's run has not ended yet
	}
	all := fleet.Resources{MilliCPU: spec.Need.MilliCPU * int64(spec.Count), MemoryMB: spec.Need.MemoryMB * int64(spec.Count), Accelerators: spec.Need.Accelerators * int64(spec.Count)}
	if !p.withinCap(r.job.spec.Workspace, all) {
		return
	}
	run := 0
	for _, t := range r.tasks {
		run = max(run, t.run)
	}
	for _, t := range r.tasks {
		t.run = run // members of a gang share the number of their run
		v := p.choose(t, reserved)
		if v == nil {
			p.ask(t, len(r.tasks))
			for _, member := range r.tasks {
				if member.phase == placed {
					p.unplace(member)
				}
			}
			return
		}
		p.place(t, v)
	}
}

func (p *Pool) unplace(t *task) {
	run, since := t.run-1, t.since
	p.close(t, waiting)
	t.run, t.since = run, since
}

func (p *Pool) place(t *task, v *vm) {
	t.run++
	p.attach(t, v)
	t.phase = placed
	t.since = p.now.Steady
	t.pace = 100
	t.occ.job.dirty = true
}

// NextDue returns the time until the next occurrence begins, at most limit.
func (p *Pool) NextDue(limit time.Duration) time.Duration {
	for _, j := range p.open {
		if j.nextOpen < j.spec.Occurrences() {
			wait := time.Duration(j.spec.Due(j.nextOpen)-p.now.Wall) * time.Millisecond
			limit = min(limit, max(0, wait))
		}
	}
	return limit
}

func (p *Pool) logPlaced(t *task) {
	p.log.Info("run_start", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", t.vm.ID),
		zap.Duration("waited", p.now.Steady-t.occ.opened.Steady), zap.Bool("checkpoint", t.checkpoint != ""),
		zap.Duration("vm_seen", p.now.Steady-t.vm.lastAnswer))
}

// waitingJobs counts, by queue, the jobs of which no task has started.
func (p *Pool) waitingJobs() map[string]int {
	counts := map[string]int{}
	for _, j := range p.open {
		if !j.begun && j.state == job.Queued {
			counts[j.spec.Queue]++
		}
	}
	return counts
}
