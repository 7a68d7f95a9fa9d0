package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/maintenance"
)

// planner chooses the VMs that maintenance takes next. It marks them as
// planned some time before it takes them.
type planner interface {
	plan(w *world)
}

// listOrder plans the VMs of each pool in the order of their list.
type listOrder struct{}

func (listOrder) plan(w *world) {
	for pool := range w.s.Pools {
		planned := 0
		for _, i := range w.members[pool] {
			if w.vms[i].planned {
				planned++
			}
		}
		for ; planned < w.s.Pools[pool].MaxUnavailable; planned++ {
			i := w.firstToPlan(pool)
			if i < 0 {
				break
			}
			w.vms[i].planned = true
		}
	}
	for i := range w.vms {
		if v := &w.vms[i]; v.planned && v.phase == serving && w.allows(i) {
			w.take(i)
		}
	}
}

func (w *world) firstToPlan(pool int) int {
	best := -1
	for _, i := range w.members[pool] {
		if w.mayPlan(i) && (best < 0 || i < best) {
			best = i
		}
	}
	return best
}

// warp is how much longer the planner's time is than the run's: a run shows a
// wave of hours in minutes.
const warp = 60

const wavePeriod = 14 * 24 * time.Hour

// library plans with policy/maintenance. VMs in the wave are late, at 90% of
// their period; the others are fresh.
type library struct{}

func (library) plan(w *world) {
	s := w.maintenanceSnapshot()
	now := planTime(w.now)
	for i := range w.vms {
		w.vms[i].planned = false
	}
	decisions, report := maintenance.Plan(s, now)
	for _, d := range decisions {
		if d.Action == maintenance.ActionDrain {
			w.take(w.names[d.VM])
		}
	}
	for _, id := range maintenance.Candidates(s, now, report.Allowed/4) {
		if v := &w.vms[w.names[id]]; v.phase == serving {
			v.planned = true
		}
	}
}

func planTime(tick int) time.Time { return epoch.Add(warp * durOf(tick)) }

func (w *world) maintenanceSnapshot() maintenance.Snapshot {
	plan := w.s.Maintenance
	plan.Period = wavePeriod
	plan.DrainTimeout *= warp
	plan.RebootTimeout *= 2 * warp
	s := maintenance.Snapshot{
		Plan: plan, Pools: make(map[fleet.PoolName]maintenance.Pool),
		DataCentresOut: make(map[fleet.DataCentreName]bool),
		Duration:       warp * (w.s.Maintenance.RebootTimeout + w.s.Maintenance.DrainTimeout/2),
	}
	for _, p := range w.s.Pools {
		s.Pools[p.Name] = maintenance.Pool{MaxUnavailable: p.MaxUnavailable}
	}
	for dc, out := range w.out {
		s.DataCentresOut[w.s.DataCentres[dc]] = out
	}
	for i := range w.vms {
		s.VMs = append(s.VMs, w.maintenanceVM(i))
	}
	return s
}

func (w *world) maintenanceVM(i int) maintenance.VM {
	v, f := &w.vms[i], &w.s.VMs[i]
	m := maintenance.VM{
		ID: f.ID, DataCentre: f.DataCentre, Rack: f.Rack, Pool: w.s.Pools[v.pool].Name,
		Last: planTime(w.now), Active: v.phase == serving, Live: v.phase != failed,
		Failed: v.phase == failed, Drawn: w.drawn(i), Idle: len(v.tasks) == 0, TasksKnown: true,
		Since: planTime(w.now), SeenAt: planTime(w.now),
	}
	if v.waiting {
		m.Last = planTime(w.s.wave).Add(-wavePeriod * 9 / 10)
	}
	if v.phase == draining && v.to < 0 {
		m.Phase = maintenance.PhaseDraining
	}
	if v.phase == rebooting {
		m.Phase = maintenance.PhaseRebooting
	}
	for _, t := range v.tasks {
		end := max(0, w.est.runTime(t.job.queue, t.job.class)-durOf(w.now-t.began))
		m.Tasks = append(m.Tasks, maintenance.Task{
			End: planTime(w.now).Add(warp * end), CanCheckpoint: classes[t.job.class].name == fleet.ClassBatch,
		})
	}
	return m
}

// drawn reports whether a VM counts against the budgets.
func (w *world) drawn(i int) bool {
	v := &w.vms[i]
	return v.phase == failed || v.phase == rebooting || v.phase == draining && v.to < 0
}

func (w *world) mayPlan(i int) bool {
	v := &w.vms[i]
	return v.waiting && !v.planned && v.phase == serving && w.allows(i)
}

// maintain runs the planner while the wave lasts.
func (w *world) maintain() {
	if w.now < w.s.wave || w.m.rollOut >= 0 {
		return
	}
	if w.now%w.s.decideEvery == 0 {
		w.p.planner.plan(w)
	}
	for i := range w.vms {
		if v := &w.vms[i]; v.waiting || v.phase == rebooting || v.phase == draining && v.to < 0 {
			return
		}
	}
	w.m.rollOut = w.now - w.s.wave
}

func (w *world) take(i int) {
	v := &w.vms[i]
	v.waiting, v.planned = false, false
	v.phase, v.to = draining, -1
	v.drainBy = w.now + ticks(w.s.Maintenance.DrainTimeout)
	w.check.maintenance(i)
	if w.drawnAt == w.now {
		w.addDrawn(i)
	}
}

// allows reports whether the bounds allow one more unavailable VM like this.
func (w *world) allows(i int) bool {
	if w.s.Maintenance.AvoidDataCentresOut && w.anyOut() {
		return false
	}
	plan, vm := w.s.Maintenance, w.s.VMs[i]
	if w.drawnAt != w.now {
		w.countDrawn()
	}
	pool, rack, dc := w.drawnIn[w.s.Pools[w.vms[i].pool].Name], w.drawnIn[vm.Rack], w.drawnIn[vm.DataCentre]
	return pool < w.s.Pools[w.vms[i].pool].MaxUnavailable && rack < plan.MaxPerRack && dc < plan.MaxPerDataCentre
}

// countDrawn counts the VMs that are drawn, by pool, rack and data centre, once
// for each tick.
func (w *world) countDrawn() {
	w.drawnIn, w.drawnAt = make(map[any]int), w.now
	for i := range w.vms {
		if w.drawn(i) {
			w.addDrawn(i)
		}
	}
}

func (w *world) addDrawn(i int) {
	w.drawnIn[w.s.Pools[w.vms[i].pool].Name]++
	w.drawnIn[w.s.VMs[i].Rack]++
	w.drawnIn[w.s.VMs[i].DataCentre]++
}

func (w *world) anyOut() bool {
	for _, out := range w.out {
		if out {
			return true
		}
	}
	return false
}
