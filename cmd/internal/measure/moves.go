package measure

import (
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
)

// beginMove begins to drain a VM for a move; it gets no new tasks.
func (sim *simulation) beginMove(m capacity.Move) {
	i := sim.vmIndex[m.VM]
	v := &sim.vms[i]
	sim.checker.moveBegan(i, sim.poolIndex[m.From], sim.poolIndex[m.To], v.planned)
	v.phase, v.targetPool = draining, sim.poolIndex[m.To]
	v.drainDeadlineTick = sim.nowTick + ticks(sim.scenario.Maintenance.DrainTimeout)
	sim.meter.moves++
}

// advanceVMs advances draining, moving, rebooting and failed VMs to their next
// phase if it is due.
func (sim *simulation) advanceVMs() {
	for i := range sim.vms {
		v := &sim.vms[i]
		switch {
		case v.phase == draining:
			sim.advanceDrain(i)
		case v.phase == moving && sim.nowTick >= v.phaseEndTick:
			sim.completeMove(i)
		case (v.phase == rebooting || v.phase == failed) && sim.nowTick >= v.phaseEndTick:
			sim.checker.available(i)
			v.phase = serving
		}
	}
}

// advanceDrain lets a draining VM checkpoint its tasks at the deadline. Once no
// task is left, the VM reboots for maintenance or moves to its new pool.
func (sim *simulation) advanceDrain(i int) {
	v := &sim.vms[i]
	if sim.nowTick >= v.drainDeadlineTick {
		sim.checkpoint(v)
	}
	if len(v.tasks) > 0 {
		return
	}
	if v.targetPool < 0 {
		v.phase, v.phaseEndTick = rebooting, sim.nowTick+ticks(sim.scenario.Maintenance.RebootTimeout)
		return
	}
	v.phase, v.phaseEndTick = moving, sim.nowTick+sim.scenario.assignTicks
}

// checkpoint interrupts the batch tasks of a VM; the others are short and finish.
func (sim *simulation) checkpoint(v *vm) {
	const overheadTicks = 5 // to save and restore a checkpoint
	var kept []*task
	for _, t := range v.tasks {
		if classes[t.job.class].name != fleet.ClassBatch {
			kept = append(kept, t)
			continue
		}
		v.reserved = v.reserved.Sub(t.estimatedNeed)
		sim.interrupt(t, t.endTick-sim.nowTick+overheadTicks)
	}
	v.tasks = kept
}

// completeMove assigns a drained VM to its new pool, where it serves.
func (sim *simulation) completeMove(i int) {
	v := &sim.vms[i]
	old := sim.members[v.pool]
	for k, o := range old {
		if o == i {
			sim.members[v.pool] = append(old[:k], old[k+1:]...)
			break
		}
	}
	v.pool = v.targetPool
	sim.members[v.pool] = append(sim.members[v.pool], i)
	v.phase, v.targetPool, v.lastMoveTick = serving, -1, sim.nowTick
	sim.checker.assigned(i, v.pool)
}
