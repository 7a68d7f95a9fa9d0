package measure

// planner chooses the VM of a pool that maintenance takes next, -1 for none.
type planner interface {
	next(w *world, pool int) int
}

// listOrder takes VMs in the order of their list.
type listOrder struct{}

func (listOrder) next(w *world, pool int) int {
	best := -1
	for _, i := range w.members[pool] {
		if w.mayPlan(i) && (best < 0 || i < best) {
			best = i
		}
	}
	return best
}

// idleFirst takes the VM with least running work.
type idleFirst struct{}

func (idleFirst) next(w *world, pool int) int {
	best := -1
	for _, i := range w.members[pool] {
		if w.mayPlan(i) && (best < 0 || len(w.vms[i].tasks) < len(w.vms[best].tasks)) {
			best = i
		}
	}
	return best
}

func (w *world) mayPlan(i int) bool {
	v := &w.vms[i]
	return v.waiting && !v.planned && v.phase == serving && w.allows(i)
}

// maintain plans the next VMs of each pool and takes planned VMs within the
// bounds of pool, rack and data centre.
func (w *world) maintain() {
	if w.now < w.s.wave || w.m.rollOut >= 0 {
		return
	}
	if w.now%w.s.decideEvery == 0 {
		w.plan()
	}
	left := false
	for i := range w.vms {
		v := &w.vms[i]
		if v.planned && v.phase == serving && w.allows(i) {
			w.take(i)
		}
		left = left || v.waiting || v.phase == rebooting || v.phase == draining && v.to < 0
	}
	if !left {
		w.m.rollOut = w.now - w.s.wave
	}
}

func (w *world) plan() {
	for pool := range w.s.Pools {
		planned := 0
		for _, i := range w.members[pool] {
			if w.vms[i].planned {
				planned++
			}
		}
		for ; planned < w.s.Pools[pool].MaxUnavailable; planned++ {
			i := w.p.planner.next(w, pool)
			if i < 0 {
				break
			}
			w.vms[i].planned = true
		}
	}
}

func (w *world) take(i int) {
	v := &w.vms[i]
	v.waiting, v.planned = false, false
	v.phase, v.to = draining, -1
	v.drainBy = w.now + ticks(w.s.Maintenance.DrainTimeout)
	w.check.maintenance(i)
}

// allows reports whether the bounds allow one more unavailable VM like this.
func (w *world) allows(i int) bool {
	if w.s.Maintenance.AvoidDataCentresOut && w.anyOut() {
		return false
	}
	pool, rack, dc := 0, 0, 0
	for k := range w.vms {
		v := &w.vms[k]
		if v.phase == serving || v.phase == moving || v.phase == draining && v.to >= 0 {
			continue
		}
		if v.pool == w.vms[i].pool {
			pool++
		}
		if w.s.VMs[k].Rack == w.s.VMs[i].Rack {
			rack++
		}
		if v.dc == w.vms[i].dc {
			dc++
		}
	}
	plan := w.s.Maintenance
	return pool < w.s.Pools[w.vms[i].pool].MaxUnavailable && rack < plan.MaxPerRack && dc < plan.MaxPerDataCentre
}

func (w *world) anyOut() bool {
	for _, out := range w.out {
		if out {
			return true
		}
	}
	return false
}
