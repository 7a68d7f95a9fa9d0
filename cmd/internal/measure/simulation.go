package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
)

// vmPhase is the phase of a VM in moves, maintenance and failures.
type vmPhase int

const (
	serving  vmPhase = iota
	draining         // for a move or for maintenance
	moving           // drained, not yet assigned to its new pool
	rebooting
	failed
)

// task is a running job.
type task struct {
	job           *job
	vm            int
	beganTick     int
	endTick       int
	interrupted   bool            // checkpointed or lost before its end
	estimatedNeed fleet.Resources // reserved on the VM; estimated when the task starts
}

// vm is the state of a VM.
type vm struct {
	pool              int
	dc                int
	phase             vmPhase
	targetPool        int  // pool to which the VM moves, -1 if it doesn't move
	phaseEndTick      int  // end of the phases moving, rebooting and failed
	drainDeadlineTick int  // tick at which a draining VM checkpoints its tasks
	lastMoveTick      int  // tick at which the last move ended, -1 for never
	due               bool // the VM is due in the maintenance wave
	planned           bool // its maintenance begins soon; it must not move
	tasks             []*task
	reserved          fleet.Resources // sum of the tasks' estimated needs
}

// simulation is the state of one run. VMs, pools, queues, teams and data centres
// are identified by their indexes in the scenario.
type simulation struct {
	scenario *Scenario
	demand   *demand
	policy   *policy

	nowTick               int
	vms                   []vm
	members               [][]int // indexes of VMs by pool
	backlog               backlog
	waiting               map[*job]bool
	queued                map[[3]int]int // waiting jobs by queue, class and team
	placer                *placement.Placer
	unavailableIn         map[any]int // VMs that count against the budgets, by fleet.PoolName, fleet.RackName and fleet.DataCentreName
	unavailableTick       int         // tick at which unavailableIn was counted
	runningByTeam         []int       // tasks by team
	endsAt                [][]*task   // tasks by the tick at which they end
	dataCentreOut         []bool      // by data centre
	dataCentreChangedTick []int       // tick of the last change of the data centre, -1 for never
	estimates             *estimates
	mover                 mover
	checker               *checker
	meter                 *meter
	vmIndex               map[fleet.VMID]int
	poolIndex             map[fleet.PoolName]int
}

func newSimulation(s *Scenario, d *demand, p *policy) *simulation {
	sim := &simulation{
		scenario: s, demand: d, policy: p,
		vms: make([]vm, len(s.VMs)), members: make([][]int, len(s.Pools)),
		waiting: make(map[*job]bool), queued: make(map[[3]int]int), placer: placement.New(p.placement), unavailableTick: -1,
		runningByTeam: make([]int, len(s.Teams)), endsAt: make([][]*task, s.lengthTicks),
		dataCentreOut: make([]bool, len(s.DataCentres)), dataCentreChangedTick: make([]int, len(s.DataCentres)),
		vmIndex: make(map[fleet.VMID]int), poolIndex: make(map[fleet.PoolName]int),
	}
	dcs := make(map[fleet.DataCentreName]int)
	for i, dc := range s.DataCentres {
		dcs[dc], sim.dataCentreChangedTick[i] = i, -1
	}
	for i, p := range s.Pools {
		sim.poolIndex[p.Name] = i
	}
	for i, v := range s.VMs {
		sim.vmIndex[v.ID] = i
		sim.vms[i] = vm{pool: s.homePool[i], dc: dcs[v.DataCentre], lastMoveTick: -1, targetPool: -1}
		sim.members[s.homePool[i]] = append(sim.members[s.homePool[i]], i)
	}
	sim.backlog = p.newBacklog(sim)
	sim.estimates = newEstimates(s)
	sim.checker = newChecker(s)
	sim.meter = newMeter(s)
	sim.mover = p.newMover(s, d)
	return sim
}

// step advances the simulation by one tick.
func (sim *simulation) step() {
	sim.applyEvents()
	sim.endTasks()
	sim.addArrivals()
	if sim.nowTick%sim.scenario.decideTicks == 0 {
		sim.decide()
	}
	sim.runMaintenance()
	sim.advanceVMs()
	sim.dispatch()
	sim.meter.observe(sim)
	sim.checker.observe(sim)
	sim.nowTick++
}

// applyEvents takes a data centre out or back in, begins the maintenance wave
// and lets VMs fail, if the scenario or the demand has this at the current tick.
func (sim *simulation) applyEvents() {
	dc := sim.scenario.outDC
	if sim.nowTick == sim.scenario.outWindow.fromTick || sim.nowTick == sim.scenario.outWindow.toTick {
		sim.dataCentreOut[dc] = sim.nowTick == sim.scenario.outWindow.fromTick
		sim.dataCentreChangedTick[dc] = sim.nowTick
		sim.checker.dataCentreChanged(dc, sim.dataCentreOut[dc], sim.nowTick)
	}
	if sim.nowTick == sim.scenario.waveTick {
		for i := range sim.vms {
			sim.vms[i].due = sim.inWave(i)
		}
	}
	if i, ok := sim.demand.failures[sim.nowTick]; ok {
		sim.fail(i)
	}
}

// inWave reports whether a VM is due in the maintenance wave: every VM of a
// small fleet and one in ten of a large one.
func (sim *simulation) inWave(i int) bool {
	return len(sim.vms) < 500 || i%10 == 0
}

// fail makes a VM fail for 30 s. Its tasks lose their progress and wait again.
func (sim *simulation) fail(i int) {
	v := &sim.vms[i]
	if v.phase == rebooting || v.phase == failed {
		return
	}
	for _, t := range v.tasks {
		sim.interrupt(t, t.endTick-t.beganTick)
	}
	v.tasks, v.reserved = nil, fleet.Resources{}
	if v.targetPool >= 0 && v.phase != serving {
		sim.checker.moveEnded(i)
	}
	v.phase, v.targetPool, v.phaseEndTick = failed, -1, sim.nowTick+ticks(30*time.Second)
	sim.checker.failed(i)
}

// interrupt ends a task early and queues its job again with the remaining run time.
func (sim *simulation) interrupt(t *task, remainingTicks int) {
	t.interrupted = true
	sim.runningByTeam[t.job.team]--
	sim.checker.ended(t)
	sim.meter.subtractRedoneWork(sim.nowTick, remainingTicks-(t.endTick-sim.nowTick))
	t.job.remainingTicks = max(1, remainingTicks)
	sim.enqueue(t.job)
}

func (sim *simulation) endTasks() {
	for _, t := range sim.endsAt[sim.nowTick] {
		if t.interrupted {
			continue
		}
		v := &sim.vms[t.vm]
		v.remove(t)
		v.reserved = v.reserved.Sub(t.estimatedNeed)
		sim.runningByTeam[t.job.team]--
		sim.estimates.learn(t.job, t.endTick-t.beganTick)
		sim.meter.endedJobs++
		sim.checker.ended(t)
	}
	sim.endsAt[sim.nowTick] = nil
}

func (v *vm) remove(t *task) {
	for i, o := range v.tasks {
		if o == t {
			v.tasks = append(v.tasks[:i], v.tasks[i+1:]...)
			return
		}
	}
}

// addArrivals queues copies of the jobs that arrive at the current tick; all
// policies share the originals.
func (sim *simulation) addArrivals() {
	for _, j := range sim.demand.arrivals[sim.nowTick] {
		copied := *j
		sim.enqueue(&copied)
		sim.estimates.arrived(j)
	}
}

func (sim *simulation) enqueue(j *job) {
	sim.waiting[j] = true
	sim.queued[j.workKey()]++
	sim.backlog.push(sim.scenario.queues[j.queue].pool, j)
}

// decide lets the mover decide on moves, measures how long that takes, and
// begins the moves.
func (sim *simulation) decide() {
	sim.estimates.updateRates(sim.scenario.decideTicks)
	snapshot := sim.snapshot()
	began := time.Now()
	moves := sim.mover.move(snapshot, sim.nowTick)
	sim.meter.decided(time.Since(began))
	for _, m := range moves {
		sim.beginMove(m)
	}
}
