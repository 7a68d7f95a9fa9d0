package measure

import (
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
	"amaranthfork.example/policy/placement"
)

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
