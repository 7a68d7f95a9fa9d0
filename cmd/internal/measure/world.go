package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
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

func (w *world) begin(m capacity.Move) {
	i := w.names[m.VM]
	v := &w.vms[i]
	w.check.moveBegan(i, w.pools[m.From], w.pools[m.To], v.planned)
	v.phase, v.to = draining, w.pools[m.To]
	v.drainBy = w.now + ticks(w.s.Maintenance.DrainTimeout)
	w.m.moves++
}

// progress advances VMs that drain, move, reboot or have failed.
func (w *world) progress() {
	for i := range w.vms {
		v := &w.vms[i]
		switch {
		case v.phase == draining:
			w.drain(i)
		case v.phase == moving && w.now >= v.until:
			w.assign(i)
		case (v.phase == rebooting || v.phase == failed) && w.now >= v.until:
			w.check.available(i)
			v.phase = serving
		}
	}
}

func (w *world) drain(i int) {
	v := &w.vms[i]
	if w.now >= v.drainBy {
		w.checkpoint(v)
	}
	if len(v.tasks) > 0 {
		return
	}
	if v.to < 0 {
		v.phase, v.until = rebooting, w.now+ticks(w.s.Maintenance.RebootTimeout)
		return
	}
	v.phase, v.until = moving, w.now+w.s.transfer
}

// checkpoint stops the batch tasks of a VM; short tasks finish.
func (w *world) checkpoint(v *vm) {
	const overhead = 5 // ticks to save and restore a checkpoint
	var kept []*task
	for _, t := range v.tasks {
		if classes[t.job.class].name != fleet.ClassBatch {
			kept = append(kept, t)
			continue
		}
		v.used = v.used.Sub(t.need)
		w.interrupt(t, t.end-w.now+overhead)
	}
	v.tasks = kept
}

// assign ends a move.
func (w *world) assign(i int) {
	v := &w.vms[i]
	old := w.members[v.pool]
	for k, o := range old {
		if o == i {
			w.members[v.pool] = append(old[:k], old[k+1:]...)
			break
		}
	}
	v.pool = v.to
	w.members[v.pool] = append(w.members[v.pool], i)
	v.phase, v.to, v.moved = serving, -1, w.now
	w.check.assigned(i, v.pool)
}

// usable returns how many tasks a VM may run now.
func (w *world) usable(i int) int {
	v := &w.vms[i]
	if v.phase != serving || w.out[v.dc] {
		return 0
	}
	slots := w.s.VMs[i].Slots
	if w.since[v.dc] < 0 {
		return slots
	}
	part := capacity.RampUp(w.dataCentre(v.dc), timeOf(w.now), w.s.ramp)
	return int(part*float64(slots) + 0.999)
}

func (w *world) dataCentre(dc int) capacity.DataCentre {
	d := capacity.DataCentre{Name: w.s.DataCentres[dc], State: fleet.DataCentreIn}
	if w.out[dc] {
		d.State = fleet.DataCentreOut
	}
	if w.since[dc] >= 0 {
		d.Since = timeOf(w.since[dc])
	}
	return d
}

// dispatch starts waiting jobs in each pool until no slot or no job is left.
func (w *world) dispatch() {
	for pool := range w.s.Pools {
		for w.freeSlots(pool) > 0 {
			j := w.backlog.next(pool)
			if j == nil {
				break
			}
			i := w.place(pool, j)
			if i < 0 {
				w.backlog.push(pool, j)
				break
			}
			w.start(j, i)
		}
	}
}

func (w *world) freeSlots(pool int) int {
	free := 0
	for _, i := range w.members[pool] {
		free += max(0, w.usable(i)-len(w.vms[i].tasks))
	}
	return free
}

// maxCandidates bounds the VMs that placement looks at. A snapshot of the 90 VMs
// of a pool of the target fleet for each start took three fifths of the run.
const maxCandidates = 16

// mostUsed returns the VMs of a pool, and of a large pool only those with a free
// slot that use most of their slots.
func (w *world) mostUsed(pool int) []int {
	if len(w.members[pool]) <= 2*maxCandidates {
		return w.members[pool]
	}
	var most []int
	for busy := 7; busy >= 0 && len(most) < maxCandidates; busy-- {
		for _, i := range w.members[pool] {
			if len(w.vms[i].tasks) == busy && busy < w.usable(i) && len(most) < maxCandidates {
				most = append(most, i)
			}
		}
	}
	return most
}

// place picks a VM with policy/placement, -1 when none has room.
func (w *world) place(pool int, j *job) int {
	name := w.s.Pools[pool].Name
	members := w.mostUsed(pool)
	candidates := make([]placement.VM, 0, len(members))
	for _, i := range members {
		v, f := &w.vms[i], &w.s.VMs[i]
		candidates = append(candidates, placement.VM{
			ID: f.ID, DataCentre: f.DataCentre, Rack: f.Rack, Pool: name,
			State: placement.Active, Usable: true, Slots: w.usable(i), Used: len(v.tasks),
			Capacity: f.Capacity, Free: f.Capacity.Sub(v.used),
		})
	}
	request := placement.Request{Pool: name, Need: w.est.need(j), RunTime: w.est.runTime(j.queue, j.class)}
	d := w.placer.Place(placement.NewSnapshot(candidates), request, timeOf(w.now))
	if !d.Placed() {
		return -1
	}
	return w.names[d.VM]
}

func (w *world) start(j *job, i int) {
	t := &task{job: j, vm: i, began: w.now, end: w.now + j.left, need: w.est.need(j)}
	v := &w.vms[i]
	v.tasks = append(v.tasks, t)
	v.used = v.used.Add(t.need)
	w.running[j.team]++
	w.queued[j.key()]--
	delete(w.waiting, j)
	if t.end < w.s.length {
		w.ends[t.end] = append(w.ends[t.end], t)
	}
	if !j.started {
		j.started = true
		w.m.started(j, w.now)
	}
	w.check.started(t, w.vms[i].dc, w.now)
}
