package measure

import (
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
	"amaranthfork.example/policy/placement"
)

// usableSlots returns how many tasks a VM may run now: fewer than its slots
// while its data centre ramps up after its return.
func (sim *simulation) usableSlots(i int) int {
	v := &sim.vms[i]
	if v.phase != serving || sim.dataCentreOut[v.dc] {
		return 0
	}
	slots := sim.scenario.VMs[i].Slots
	if sim.dataCentreChangedTick[v.dc] < 0 {
		return slots
	}
	fraction := capacity.RampUp(sim.dataCentreState(v.dc), timeAt(sim.nowTick), sim.scenario.rampUp)
	return int(float64(fraction*float64(slots)) + 0.999)
}

// dataCentreState describes a data centre to package capacity.
func (sim *simulation) dataCentreState(dc int) capacity.DataCentre {
	d := capacity.DataCentre{Name: sim.scenario.DataCentres[dc], State: fleet.DataCentreIn}
	if sim.dataCentreOut[dc] {
		d.State = fleet.DataCentreOut
	}
	if sim.dataCentreChangedTick[dc] >= 0 {
		d.Since = timeAt(sim.dataCentreChangedTick[dc])
	}
	return d
}

// dispatch starts waiting jobs in each pool until no slot or no job is left.
func (sim *simulation) dispatch() {
	for pool := range sim.scenario.Pools {
		for sim.freeSlots(pool) > 0 {
			j := sim.backlog.next(pool)
			if j == nil {
				break
			}
			i := sim.place(pool, j)
			if i < 0 {
				sim.backlog.push(pool, j)
				break
			}
			sim.startTask(j, i)
		}
	}
}

func (sim *simulation) freeSlots(pool int) int {
	free := 0
	for _, i := range sim.members[pool] {
		free += max(0, sim.usableSlots(i)-len(sim.vms[i].tasks))
	}
	return free
}

// maxCandidates bounds the VMs that placement considers for a start. With the
// 90 VMs of a pool of the target fleet, building the snapshots for placement
// takes three fifths of a run's time.
const maxCandidates = 16

// candidates returns the VMs of a pool; of a pool of more than twice
// maxCandidates VMs, only those with a free slot that run the most tasks.
func (sim *simulation) candidates(pool int) []int {
	if len(sim.members[pool]) <= 2*maxCandidates {
		return sim.members[pool]
	}
	var chosen []int
	for busy := 7; busy >= 0 && len(chosen) < maxCandidates; busy-- {
		for _, i := range sim.members[pool] {
			if len(sim.vms[i].tasks) == busy && busy < sim.usableSlots(i) && len(chosen) < maxCandidates {
				chosen = append(chosen, i)
			}
		}
	}
	return chosen
}

// place returns the index of the VM that policy/placement chooses, -1 if none has room.
func (sim *simulation) place(pool int, j *job) int {
	name := sim.scenario.Pools[pool].Name
	members := sim.candidates(pool)
	candidates := make([]placement.VM, 0, len(members))
	for _, i := range members {
		v, spec := &sim.vms[i], &sim.scenario.VMs[i]
		candidates = append(candidates, placement.VM{
			ID: spec.ID, DataCentre: spec.DataCentre, Rack: spec.Rack, Pool: name,
			State: placement.Active, LeaseHeld: true, Slots: sim.usableSlots(i), UsedSlots: len(v.tasks),
			Capacity: spec.Capacity, Free: spec.Capacity.Sub(v.reserved),
		})
	}
	request := placement.Request{Pool: name, Need: sim.estimates.need(j), RunTime: sim.estimates.runTime(j.queue, j.class)}
	d := sim.placer.Place(placement.NewSnapshot(candidates), request, timeAt(sim.nowTick))
	if !d.Placed() {
		return -1
	}
	return sim.vmIndex[d.VM]
}

func (sim *simulation) startTask(j *job, i int) {
	t := &task{job: j, vm: i, beganTick: sim.nowTick, endTick: sim.nowTick + j.remainingTicks, estimatedNeed: sim.estimates.need(j)}
	v := &sim.vms[i]
	v.tasks = append(v.tasks, t)
	v.reserved = v.reserved.Add(t.estimatedNeed)
	sim.runningByTeam[j.team]++
	sim.queued[j.workKey()]--
	delete(sim.waiting, j)
	if t.endTick < sim.scenario.lengthTicks {
		sim.endsAt[t.endTick] = append(sim.endsAt[t.endTick], t)
	}
	if !j.started {
		j.started = true
		sim.meter.started(j, sim.nowTick)
	}
	sim.checker.started(t, sim.vms[i].dc, sim.nowTick)
}
