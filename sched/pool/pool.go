package pool

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
)

// Pool is the scheduler of one pool. It is not safe for concurrent use.
type Pool struct {
	settings  Settings
	log       *zap.Logger
	now       Time
	startedAt Time

	catalog   catalogView
	evacuated map[string]bool   // data centres in which nothing may start
	cordons   map[string]Cordon // by machine, of VMs that are to be emptied
	allots    map[string]allotment
	usage     map[string]fleet.Resources // by workspace, until the end of a run is listed

	jobs     map[string]*jobState
	open     []*jobState    // jobs that are not final, by acceptance
	strays   map[string]*vm // VMs that list runs of tasks which are not wanted there, by task
	finished []*jobState    // final jobs by finish time
	vms      map[string]*vm

	runs   map[string]*runModel // run time against estimate, by queue
	shares map[string]*share    // by workspace

	commands      []Command // ready to be sent
	queueCounts   map[string]int
	queueAt       map[string]time.Duration
	loadAt        time.Duration   // last publication of the load
	leaseNews     bool            // recorded lease bounds have changed
	storedLeases  map[string]bool // VMs of which a bound may be stored
	serviceOffset time.Duration   // of the table service's clock
	loadNews      bool            // a cordoned VM has become empty
	stuck         bool            // a task that lasts has no place on any VM
	publishedWork float64         // acceptedWork at the last publication of the load
	acceptedWork  float64         // core-seconds accepted since takeover
	wants         map[string]fleet.Resources
	stats         Stats
	deposed       bool
}

// Stats are counters since the owner took over the pool.
type Stats struct {
	Starts, Ends, Failed, Lost, Requeued, Stops, NoRoom int64
}

// New returns a scheduler without jobs or VMs.
func New(s Settings, log *zap.Logger, now Time) *Pool {
	return &Pool{
		settings: s, log: log, now: now, startedAt: now,
		evacuated: map[string]bool{}, cordons: map[string]Cordon{},
		allots: map[string]allotment{}, usage: map[string]fleet.Resources{},
		jobs: map[string]*jobState{}, strays: map[string]*vm{}, vms: map[string]*vm{},
		runs:        map[string]*runModel{},
		shares:      map[string]*share{},
		queueCounts: map[string]int{}, queueAt: map[string]time.Duration{},
		wants: map[string]fleet.Resources{}, storedLeases: map[string]bool{},
	}
}

// Advance tells the scheduler the time. Time never goes back.
func (p *Pool) Advance(now Time) {
	if now.Steady > p.now.Steady {
		p.now = now
	}
}

// Stats returns the counters.
func (p *Pool) Stats() Stats { return p.stats }

// Configure puts a version of the declarations in force.
func (p *Pool) Configure(c *catalog.Catalog) {
	if p.catalog.Catalog != nil && c.Version < p.catalog.Version {
		return
	}
	p.catalog = catalogView{c}
}

// SetEvacuated tells in which data centres nothing may start.
func (p *Pool) SetEvacuated(dataCentres map[string]bool) { p.evacuated = dataCentres }

// SetAllotment tells how much of a workspace's cap this pool may use. While
// blocked is true, nothing of the workspace starts.
func (p *Pool) SetAllotment(workspace string, limit fleet.Resources, blocked bool) {
	p.allots[workspace] = allotment{limit, blocked}
}

// Wants returns, by workspace with a cap, what its running and ready tasks need.
func (p *Pool) Wants() map[string]fleet.Resources { return p.wants }

// Used returns what the runs of a workspace hold.
func (p *Pool) Used(workspace string) fleet.Resources { return p.usage[workspace] }

// Cordon asks for one life of a machine to be emptied.
type Cordon struct {
	VM      string
	Version int64 // of the cordon's row
}

// Cordon tells which VMs, by machine, are to be emptied.
func (p *Pool) Cordon(cordons map[string]Cordon) {
	p.cordons = cordons
	for _, v := range p.vms {
		was := v.cordoned
		v.cordoned = p.isCordoned(v.VM)
		if v.cordoned != was {
			p.loadNews = true
			p.log.Info("vm_cordon", zap.String("vm", v.ID), zap.String("machine", v.Machine), zap.Bool("cordoned", v.cordoned), zap.Int("tasks", len(v.tasks)))
		}
	}
}

func (p *Pool) isCordoned(v VM) bool {
	c, ok := p.cordons[v.Machine]
	return ok && v.Machine != "" && c.VM == v.ID
}

// Accept adds a stored job. A job that is already known is ignored.
func (p *Pool) Accept(spec *job.Spec) {
	if _, known := p.jobs[spec.ID]; known {
		return
	}
	j := p.add(spec)
	j.dirty = true
	j.overShare = !spec.LongRunning() && p.overShare(spec.Workspace)
	p.acceptedWork += p.workOf(spec)
	if p.acceptedWork-p.publishedWork > newsWork && p.now.Steady-p.loadAt > newsInterval {
		p.loadNews = true
	}
	p.log.Info("job_accepted", zap.String("job", spec.ID), zap.String("queue", spec.Queue),
		zap.String("workspace", spec.Workspace), zap.Int64("age_ms", p.now.Wall-spec.AcceptedAt), zap.Bool("over_share", j.overShare))
}

// A load is published early when much work has been accepted since the last one,
// so that VMs come at the start of a burst.
const (
	newsWork     = 40.0 // core-seconds
	newsInterval = 100 * time.Millisecond
)

// workOf returns the core-seconds of one occurrence of a job, without tasks
// that last.
func (p *Pool) workOf(spec *job.Spec) float64 {
	work := 0.0
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if !s.LongRunning && !s.Fills {
			work += p.stepWork(spec.Queue, s, s.Count)
		}
	}
	return work
}

// stepWork returns the core-seconds of n tasks of a step.
func (p *Pool) stepWork(queue string, s *job.Step, n int) float64 {
	return float64(n) * p.expected(queue, s).Seconds() * float64(s.Need.MilliCPU) / 1000
}

func (p *Pool) add(spec *job.Spec) *jobState {
	j := &jobState{spec: spec, acceptedAt: p.now}
	if spec.AcceptedAt > 0 {
		age := time.Duration(p.now.Wall-spec.AcceptedAt) * time.Millisecond
		j.acceptedAt = p.now.Add(-max(0, age))
	}
	p.jobs[spec.ID] = j
	p.open = append(p.open, j)
	return j
}

// Cancel ends a job. Its runs are stopped.
func (p *Pool) Cancel(id string) {
	j := p.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	p.finish(j, job.Cancelled, "cancelled by its caller")
}

func (p *Pool) finish(j *jobState, state job.State, reason string) {
	j.state = state
	j.dirty = true
	j.finishedAt = p.now.Wall
	p.finished = append(p.finished, j)
	p.log.Info("job_finished", zap.String("job", j.spec.ID), zap.Stringer("state", state), zap.String("reason", reason),
		zap.Duration("age", p.now.Steady-j.acceptedAt.Steady))
	for _, o := range j.open {
		for _, step := range o.tasks {
			for _, t := range step {
				p.endOfJob(t, reason)
			}
		}
	}
}

// endOfJob stops the run of a task whose job has ended.
func (p *Pool) endOfJob(t *task, reason string) {
	switch t.phase {
	case placed: // never sent
		p.close(t, waiting)
	case starting, running, unsettled:
		p.sendStop(t, reason)
	}
}

func (p *Pool) sendStop(t *task, reason string) {
	t.stopSent = p.now.Steady
	p.stats.Stops++
	p.command(Command{Kind: Stop, VM: t.vm.ID, Address: t.vm.Address, Task: t.name, Run: t.run})
	p.log.Info("run_stop", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", t.vm.ID), zap.String("reason", reason))
}

func (p *Pool) command(c Command) {
	c.IssuedAt = p.now.Steady
	p.commands = append(p.commands, c)
}

// attach gives a run of t the room on v.
func (p *Pool) attach(t *task, v *vm) {
	t.vm = v
	v.tasks[t] = struct{}{}
	need := t.spec().Need
	p.usage[t.occ.job.spec.Workspace] = p.usage[t.occ.job.spec.Workspace].Add(need)
	if t.spec().Fills {
		v.fillCPU += need.MilliCPU
	}
	v.used = v.used.Add(t.room())
	if t.spec().LatencyGoal > 0 {
		v.serving++
	}
	if t.spec().LongRunning {
		v.lasting++
	}
	t.occ.job.active++
}

// close ends the newest run of a task and gives its room back.
func (p *Pool) close(t *task, next phase) {
	if t.vm != nil {
		need := t.spec().Need
		workspace := t.occ.job.spec.Workspace
		p.usage[workspace] = p.usage[workspace].Sub(need)
		if t.spec().Fills {
			t.vm.fillCPU -= need.MilliCPU
		}
		t.vm.used = t.vm.used.Sub(t.room())
		if t.spec().LatencyGoal > 0 {
			t.vm.serving--
		}
		if t.spec().LongRunning {
			t.vm.lasting--
		}
		delete(t.vm.tasks, t)
		if t.vm.cordoned && len(t.vm.tasks) == 0 {
			p.loadNews = true
		}
		t.vm = nil
		t.occ.job.active--
	}
	t.phase = next
	t.since = p.now.Steady
	t.lastRunEnd = p.now.Steady
	t.stopSent, t.stopAnswer, t.inherited = 0, 0, false
	t.load, t.percent, t.pace = 0, 0, 100
	t.occ.job.dirty = true
}

// ObserveVM tells the current state of a VM.
func (p *Pool) ObserveVM(seen VM) {
	v := p.vms[seen.ID]
	if v == nil {
		v = &vm{tasks: map[*task]struct{}{}, lastAnswer: p.now.Steady}
		p.vms[seen.ID] = v
		p.log.Info("vm_joined", zap.String("vm", seen.ID), zap.String("machine", seen.Machine),
			zap.String("data_centre", seen.DataCentre), zap.String("rack", seen.Rack), zap.Int64("milli_cpu", seen.Capacity.MilliCPU))
	}
	if seen.Born != 0 && v.Born != 0 && seen.Born != v.Born {
		p.newLife(v, seen.Born)
	}
	if seen.Draining && !v.Draining {
		p.log.Info("vm_draining", zap.String("vm", seen.ID), zap.Duration("left", seen.DrainLeft), zap.Int("tasks", len(v.tasks)))
	}
	if seen.Born == 0 {
		seen.Born = v.Born
	}
	v.VM = seen
	v.listed = true
	v.cordoned = p.isCordoned(seen)
}

// ForgetVM tells that discovery no longer lists a VM. Its runs are given up
// once their leases have lapsed.
func (p *Pool) ForgetVM(id string) {
	v := p.vms[id]
	if v == nil || !v.listed {
		return
	}
	v.listed = false
	p.log.Info("vm_left", zap.String("vm", id), zap.Int("tasks", len(v.tasks)),
		zap.Duration("lease_left", v.leaseUntil-p.now.Steady))
	if len(v.tasks) == 0 {
		p.remove(v)
	}
}

func (p *Pool) remove(v *vm) {
	p.forgetStrays(v)
	delete(p.vms, v.ID)
	if v.recorded != 0 {
		p.leaseNews = true
	}
}

// newLife notes that a worker has restarted under its id. The next listing shows
// which runs are of the new life, which accepts orders under the same id; the
// others are gone.
func (p *Pool) newLife(v *vm, born int64) {
	p.log.Info("vm_restarted", zap.String("vm", v.ID), zap.Int64("born_was", v.Born), zap.Int64("born", born), zap.Int("tasks", len(v.tasks)))
	for t := range v.tasks {
		if t.phase == starting || t.phase == unsettled {
			// The order may still reach the new life.
			t.phase = unsettled
			t.since = p.now.Steady
			t.inherited = false
			t.stopSent, t.stopAnswer = 0, 0
		}
	}
	v.Born = born
	v.seen, v.durable = 0, 0
	v.fenced = false
	v.health = vmHealth{}
}

func (v *vm) sortedTasks() []*task {
	list := make([]*task, 0, len(v.tasks))
	for t := range v.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].name < list[k].name })
	return list
}

// lose closes a run that is proved to be gone without a listed end.
func (p *Pool) lose(t *task, reason string) {
	p.stats.Lost++
	p.log.Info("run_lost", zap.String("task", t.name), zap.Int("run", t.run), zap.String("vm", t.vm.ID), zap.String("reason", reason))
	p.close(t, waiting)
}

// LeaseGranted tells that runs on a VM may go on until the given time on this
// process's steady clock, whatever the clock of the VM does.
func (p *Pool) LeaseGranted(id string, until time.Duration) {
	if v := p.vms[id]; v != nil {
		v.leaseUntil = max(v.leaseUntil, until)
	}
}

// Silent tells that a VM has not answered.
func (p *Pool) Silent(id string) {
	v := p.vms[id]
	if v == nil {
		return
	}
	v.backoff = max(v.backoff, p.now.Steady+silentBackoff)
	if !v.silent && len(v.tasks) > 0 {
		v.recorded = p.now.Steady + p.settings.LeaseBound
		p.leaseNews = true
	}
	v.silent = true
}

// silentBackoff is the time without starts after a call without an answer: one
// renewal period, after which a healthy VM has answered again.
const silentBackoff = time.Second

// Commands returns the commands that need no record first, and forgets them.
func (p *Pool) Commands() []Command {
	c := p.commands
	p.commands = nil
	return c
}

// VMs returns the ids and addresses of the VMs whose leases are to be renewed,
// and up to which number their ends are recorded.
func (p *Pool) VMs() []VMAddress {
	list := make([]VMAddress, 0, len(p.vms))
	for _, v := range p.vms {
		seen := v.durable
		if v.silent {
			seen = 0 // it may answer in another life, which numbers its ends anew
		}
		list = append(list, VMAddress{ID: v.ID, Address: v.Address, Seen: seen, Extend: !p.storedLeases[v.ID]})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

// VMAddress tells how to reach a VM.
type VMAddress struct {
	ID, Address string
	Seen        int64
	Extend      bool // its leases may be extended
}
