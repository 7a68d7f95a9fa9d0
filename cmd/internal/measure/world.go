package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
)

// vmPhase is what a VM does.
type vmPhase int

const (
	serving  vmPhase = iota
	draining         // for a move or for maintenance
	moving           // drained, waits for its new pool
	rebooting
	failed
)

// task is a running job.
type task struct {
	job   *job
	vm    int
	began int
	end   int             // tick at which it ends
	gone  bool            // checkpointed or lost before its end
	need  fleet.Resources // estimated at the start
}

// vm is a VM with its state.
type vm struct {
	pool    int
	dc      int
	phase   vmPhase
	to      int  // target pool of a move, -1 for maintenance
	until   int  // tick at which moving, rebooting or failed ends
	drainBy int  // tick at which running work is checkpointed
	moved   int  // tick at which the last move ended, -1 for never
	waiting bool // the maintenance wave has yet to take it
	planned bool // the maintenance wave takes it next
	tasks   []*task
	used    fleet.Resources // estimated
}

// world is the state of one run.
type world struct {
	s *Scenario
	d *demand
	p *policy

	now     int
	vms     []vm
	members [][]int // VMs by pool
	backlog backlog
	waiting map[*job]bool
	queued  map[[3]int]int // waiting jobs by queue, class and team
	placer  *placement.Placer
	drawnIn map[any]int // drawn VMs by fleet.PoolName, fleet.RackName and fleet.DataCentreName
	drawnAt int         // tick of drawnIn
	running []int       // tasks by team
	ends    [][]*task
	out     []bool // by data centre
	since   []int  // tick of the last change of the data centre, -1 for never
	est     *estimates
	mover   mover
	check   *checker
	m       *meter
	names   map[fleet.VMID]int
	pools   map[fleet.PoolName]int
}

func newWorld(s *Scenario, d *demand, p *policy) *world {
	w := &world{
		s: s, d: d, p: p,
		vms: make([]vm, len(s.VMs)), members: make([][]int, len(s.Pools)),
		waiting: make(map[*job]bool), queued: make(map[[3]int]int), placer: placement.New(p.placement), drawnAt: -1,
		running: make([]int, len(s.Teams)), ends: make([][]*task, s.length),
		out: make([]bool, len(s.DataCentres)), since: make([]int, len(s.DataCentres)),
		names: make(map[fleet.VMID]int), pools: make(map[fleet.PoolName]int),
	}
	dcs := make(map[fleet.DataCentreName]int)
	for i, dc := range s.DataCentres {
		dcs[dc], w.since[i] = i, -1
	}
	for i, p := range s.Pools {
		w.pools[p.Name] = i
	}
	for i, v := range s.VMs {
		w.names[v.ID] = i
		w.vms[i] = vm{pool: s.home[i], dc: dcs[v.DataCentre], moved: -1, to: -1}
		w.members[s.home[i]] = append(w.members[s.home[i]], i)
	}
	w.backlog = p.backlog(w)
	w.est = newEstimates(s)
	w.check = newChecker(s)
	w.m = newMeter(s)
	w.mover = p.mover(s, d)
	return w
}

// step advances the world by one tick.
func (w *world) step() {
	w.applyEvents()
	w.endTasks()
	w.arrive()
	if w.now%w.s.decideEvery == 0 {
		w.decide()
	}
	w.maintain()
	w.progress()
	w.dispatch()
	w.m.observe(w)
	w.check.observe(w)
	w.now++
}

func (w *world) applyEvents() {
	dc := w.s.outDC
	if w.now == w.s.out.from || w.now == w.s.out.to {
		w.out[dc] = w.now == w.s.out.from
		w.since[dc] = w.now
		w.check.dataCentre(dc, w.out[dc], w.now)
	}
	if w.now == w.s.wave {
		for i := range w.vms {
			w.vms[i].waiting = w.inWave(i)
		}
	}
	if i, ok := w.d.failures[w.now]; ok {
		w.fail(i)
	}
}

// inWave takes every VM of a small fleet and one in ten of a large one.
func (w *world) inWave(i int) bool {
	return len(w.vms) < 500 || i%10 == 0
}

// fail loses a VM's tasks, which return to their lanes from the start.
func (w *world) fail(i int) {
	v := &w.vms[i]
	if v.phase == rebooting || v.phase == failed {
		return
	}
	for _, t := range v.tasks {
		w.interrupt(t, t.end-t.began)
	}
	v.tasks, v.used = nil, fleet.Resources{}
	if v.to >= 0 && v.phase != serving {
		w.check.moveEnded(i)
	}
	v.phase, v.to, v.until = failed, -1, w.now+ticks(30*time.Second)
	w.check.failed(i)
}

// interrupt ends a task early; left ticks of it remain to be done.
func (w *world) interrupt(t *task, left int) {
	t.gone = true
	w.running[t.job.team]--
	w.check.ended(t)
	w.m.redo(w.now, left-(t.end-w.now))
	t.job.left = max(1, left)
	w.enqueue(t.job)
}

func (w *world) endTasks() {
	for _, t := range w.ends[w.now] {
		if t.gone {
			continue
		}
		v := &w.vms[t.vm]
		v.remove(t)
		v.used = v.used.Sub(t.need)
		w.running[t.job.team]--
		w.est.learn(t.job, t.end-t.began)
		w.m.ended++
		w.check.ended(t)
	}
	w.ends[w.now] = nil
}

func (v *vm) remove(t *task) {
	for i, o := range v.tasks {
		if o == t {
			v.tasks = append(v.tasks[:i], v.tasks[i+1:]...)
			return
		}
	}
}

func (w *world) arrive() {
	for _, j := range w.d.arrivals[w.now] {
		copied := *j
		w.enqueue(&copied)
		w.est.arrived(j)
	}
}

func (w *world) enqueue(j *job) {
	w.waiting[j] = true
	w.queued[j.key()]++
	w.backlog.push(w.s.queues[j.queue].pool, j)
}

// decide asks the policy for moves and begins them.
func (w *world) decide() {
	w.est.settle(w.s.decideEvery)
	snapshot := w.snapshot()
	began := time.Now()
	moves := w.mover.move(snapshot, w.now)
	w.m.decided(time.Since(began))
	for _, m := range moves {
		w.begin(m)
	}
}
