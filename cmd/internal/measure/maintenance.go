package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/maintenance"
)

// planner begins the maintenance of VMs that are due. It marks a VM as planned
// some time before, so that no mover chooses it.
type planner interface {
	plan(sim *simulation)
}

// listOrder maintains the VMs of each pool in the order of their indexes.
type listOrder struct{}

func (listOrder) plan(sim *simulation) {
	for pool := range sim.scenario.Pools {
		planned := 0
		for _, i := range sim.members[pool] {
			if sim.vms[i].planned {
				planned++
			}
		}
		for ; planned < sim.scenario.Pools[pool].MaxUnavailable; planned++ {
			i := sim.firstToPlan(pool)
			if i < 0 {
				break
			}
			sim.vms[i].planned = true
		}
	}
	for i := range sim.vms {
		if v := &sim.vms[i]; v.planned && v.phase == serving && sim.withinBudgets(i) {
			sim.beginMaintenance(i)
		}
	}
}

// firstToPlan returns the VM of a pool with the lowest index that may be
// planned next, -1 if there is none.
func (sim *simulation) firstToPlan(pool int) int {
	best := -1
	for _, i := range sim.members[pool] {
		if sim.mayPlan(i) && (best < 0 || i < best) {
			best = i
		}
	}
	return best
}

// planTimeScale is the planner's time per simulated time: a wave of hours is
// simulated in minutes.
const planTimeScale = 60

const maintenancePeriod = 14 * 24 * time.Hour

// policyPlanner plans with policy/maintenance. It states that VMs due in the wave
// were last maintained 90% of the period before the wave, and the others just now.
type policyPlanner struct{}

func (policyPlanner) plan(sim *simulation) {
	s := sim.maintenanceSnapshot()
	now := planTimeAt(sim.nowTick)
	for i := range sim.vms {
		sim.vms[i].planned = false
	}
	decisions, report := maintenance.Plan(s, now)
	for _, d := range decisions {
		if d.Action == maintenance.ActionDrain {
			sim.beginMaintenance(sim.vmIndex[d.VM])
		}
	}
	for _, id := range maintenance.Candidates(s, now, report.AllowedInProgress/4) {
		if v := &sim.vms[sim.vmIndex[id]]; v.phase == serving {
			v.planned = true
		}
	}
}

// planTimeAt returns the planner's time at a tick.
func planTimeAt(tick int) time.Time { return startTime.Add(planTimeScale * durationOf(tick)) }

func (sim *simulation) maintenanceSnapshot() maintenance.Snapshot {
	plan := sim.scenario.Maintenance
	plan.Period = maintenancePeriod
	plan.DrainTimeout *= planTimeScale
	plan.RebootTimeout *= 2 * planTimeScale
	s := maintenance.Snapshot{
		Plan: plan, Pools: make(map[fleet.PoolName]maintenance.Pool),
		DataCentresOut: make(map[fleet.DataCentreName]bool),
		Duration:       planTimeScale * (sim.scenario.Maintenance.RebootTimeout + sim.scenario.Maintenance.DrainTimeout/2),
	}
	for _, p := range sim.scenario.Pools {
		s.Pools[p.Name] = maintenance.Pool{MaxUnavailable: p.MaxUnavailable}
	}
	for dc, out := range sim.dataCentreOut {
		s.DataCentresOut[sim.scenario.DataCentres[dc]] = out
	}
	for i := range sim.vms {
		s.VMs = append(s.VMs, sim.maintenanceVM(i))
	}
	return s
}

func (sim *simulation) maintenanceVM(i int) maintenance.VM {
	v, spec := &sim.vms[i], &sim.scenario.VMs[i]
	m := maintenance.VM{
		ID: spec.ID, DataCentre: spec.DataCentre, Rack: spec.Rack, Pool: sim.scenario.Pools[v.pool].Name,
		LastMaintained: planTimeAt(sim.nowTick), Active: v.phase == serving, Live: v.phase != failed,
		RecordedFailed: v.phase == failed, HasBudgetRecord: sim.countsAgainstBudgets(i), Idle: len(v.tasks) == 0, TasksKnown: true,
		PhaseSince: planTimeAt(sim.nowTick), ListedAt: planTimeAt(sim.nowTick),
	}
	if v.due {
		m.LastMaintained = planTimeAt(sim.scenario.waveTick).Add(-maintenancePeriod * 9 / 10)
	}
	if v.phase == draining && v.targetPool < 0 {
		m.Phase = maintenance.PhaseDraining
	}
	if v.phase == rebooting {
		m.Phase = maintenance.PhaseRebooting
	}
	for _, t := range v.tasks {
		end := max(0, sim.estimates.runTime(t.job.queue, t.job.class)-durationOf(sim.nowTick-t.beganTick))
		m.Tasks = append(m.Tasks, maintenance.Task{
			End: planTimeAt(sim.nowTick).Add(planTimeScale * end), CanCheckpoint: classes[t.job.class].name == fleet.ClassBatch,
		})
	}
	return m
}

// countsAgainstBudgets reports whether a VM counts against the availability
// budgets: it is failed, rebooting or draining for maintenance.
func (sim *simulation) countsAgainstBudgets(i int) bool {
	v := &sim.vms[i]
	return v.phase == failed || v.phase == rebooting || v.phase == draining && v.targetPool < 0
}

func (sim *simulation) mayPlan(i int) bool {
	v := &sim.vms[i]
	return v.due && !v.planned && v.phase == serving && sim.withinBudgets(i)
}

// runMaintenance runs the planner until the maintenance wave has ended, and
// records how long the wave took.
func (sim *simulation) runMaintenance() {
	if sim.nowTick < sim.scenario.waveTick || sim.meter.rollOutTicks >= 0 {
		return
	}
	if sim.nowTick%sim.scenario.decideTicks == 0 {
		sim.policy.planner.plan(sim)
	}
	for i := range sim.vms {
		if v := &sim.vms[i]; v.due || v.phase == rebooting || v.phase == draining && v.targetPool < 0 {
			return
		}
	}
	sim.meter.rollOutTicks = sim.nowTick - sim.scenario.waveTick
}

// beginMaintenance begins to drain a VM for maintenance.
func (sim *simulation) beginMaintenance(i int) {
	v := &sim.vms[i]
	v.due, v.planned = false, false
	v.phase, v.targetPool = draining, -1
	v.drainDeadlineTick = sim.nowTick + ticks(sim.scenario.Maintenance.DrainTimeout)
	sim.checker.maintenanceBegan(i)
	if sim.unavailableTick == sim.nowTick {
		sim.addUnavailable(i)
	}
}

// withinBudgets reports whether the budgets of the VM's pool, rack and data
// centre allow one more unavailable VM.
func (sim *simulation) withinBudgets(i int) bool {
	if sim.scenario.Maintenance.AvoidDataCentresOut && sim.anyDataCentreOut() {
		return false
	}
	plan, vm := sim.scenario.Maintenance, sim.scenario.VMs[i]
	if sim.unavailableTick != sim.nowTick {
		sim.countUnavailable()
	}
	pool, rack, dc := sim.unavailableIn[sim.scenario.Pools[sim.vms[i].pool].Name], sim.unavailableIn[vm.Rack], sim.unavailableIn[vm.DataCentre]
	return pool < sim.scenario.Pools[sim.vms[i].pool].MaxUnavailable && rack < plan.MaxPerRack && dc < plan.MaxPerDataCentre
}

// countUnavailable fills unavailableIn for the current tick. The counts are
// kept for the tick, because withinBudgets needs them for many VMs.
func (sim *simulation) countUnavailable() {
	sim.unavailableIn, sim.unavailableTick = make(map[any]int), sim.nowTick
	for i := range sim.vms {
		if sim.countsAgainstBudgets(i) {
			sim.addUnavailable(i)
		}
	}
}

func (sim *simulation) addUnavailable(i int) {
	sim.unavailableIn[sim.scenario.Pools[sim.vms[i].pool].Name]++
	sim.unavailableIn[sim.scenario.VMs[i].Rack]++
	sim.unavailableIn[sim.scenario.VMs[i].DataCentre]++
}

func (sim *simulation) anyDataCentreOut() bool {
	for _, out := range sim.dataCentreOut {
		if out {
			return true
		}
	}
	return false
}
