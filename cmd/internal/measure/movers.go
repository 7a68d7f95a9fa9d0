package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
	"amaranthfork.example/policy/forecast"
)

// mover decides which VMs move.
type mover interface {
	move(s capacity.Snapshot, now int) []capacity.Move
}

// snapshot describes the world to a mover.
func (w *world) snapshot() capacity.Snapshot {
	s := capacity.Snapshot{Now: timeOf(w.now), Teams: w.s.Teams}
	for _, p := range w.s.Pools {
		s.Pools = append(s.Pools, capacity.Pool{
			Name: p.Name, Spare: p.Spare, MaxUnavailable: p.MaxUnavailable, Home: len(p.VMs),
		})
	}
	for dc := range w.s.DataCentres {
		s.DataCentres = append(s.DataCentres, w.dataCentre(dc))
	}
	s.VMs = make([]capacity.VM, 0, len(w.vms))
	for i := range w.vms {
		w.describe(&s, i)
	}
	s.Work = w.work()
	return s
}

func (w *world) describe(s *capacity.Snapshot, i int) {
	v, f := &w.vms[i], &w.s.VMs[i]
	d := capacity.VM{
		ID: f.ID, Pool: w.s.Pools[v.pool].Name, DataCentre: f.DataCentre, Rack: f.Rack,
		Slots: f.Slots, Running: len(v.tasks), Maintained: v.planned,
		Available: !w.out[v.dc] && (v.phase == serving || v.to >= 0),
	}
	for _, t := range v.tasks {
		estimate := w.est.runTime(t.job.queue, t.job.class) - durOf(w.now-t.began)
		d.Remaining = max(d.Remaining, estimate, time.Second)
	}
	if v.moved >= 0 {
		d.Moved = timeOf(v.moved)
	}
	s.VMs = append(s.VMs, d)
	if v.to >= 0 {
		s.Moves = append(s.Moves, capacity.MoveInProgress{
			VM: f.ID, From: d.Pool, To: w.s.Pools[v.to].Name,
		})
	}
}

// work sums the lanes and the running tasks of each pool, team and class.
func (w *world) work() []capacity.Work {
	running := make(map[[3]int]int)
	for i := range w.vms {
		for _, t := range w.vms[i].tasks {
			running[[3]int{t.job.queue, t.job.class, t.job.team}]++
		}
	}
	var rows []capacity.Work
	for pool, lanes := range w.lanes {
		for _, l := range lanes {
			key := [3]int{l.queue, l.class, l.team}
			rows = append(rows, capacity.Work{
				Pool: w.s.Pools[pool].Name, Team: w.s.Teams[l.team].Name, Class: classes[l.class].name,
				Running: running[key], Queued: l.len(),
				RunTime: w.est.runTime(l.queue, l.class), Arrivals: w.est.rate[key],
			})
		}
	}
	return rows
}

// static never moves a VM.
type static struct{}

func (static) move(capacity.Snapshot, int) []capacity.Move { return nil }

// reactive lends spare VMs to pools above a threshold of use and takes them
// back below another.
type reactive struct{ high, low float64 }

func (r reactive) move(s capacity.Snapshot, _ int) []capacity.Move {
	moving := make(map[fleet.VMID]bool)
	incoming := make(map[fleet.PoolName]int)
	for _, m := range s.Moves {
		moving[m.VM] = true
		incoming[m.To]++
	}
	use := make(map[fleet.PoolName]int)
	for _, w := range s.Work {
		use[w.Pool] += w.Running + w.Queued
	}
	free := make(map[fleet.PoolName][]capacity.VM)
	slots := make(map[fleet.PoolName]int)
	count := make(map[fleet.PoolName]int)
	for _, v := range s.VMs {
		if moving[v.ID] || !v.Available {
			continue
		}
		slots[v.Pool] += v.Slots
		count[v.Pool]++
		if v.Running == 0 && !v.Maintained {
			free[v.Pool] = append(free[v.Pool], v)
		}
	}
	spare := s.Pools[len(s.Pools)-1].Name
	var moves []capacity.Move
	for _, p := range s.Pools[:len(s.Pools)-1] {
		load := float64(use[p.Name]) / float64(max(1, slots[p.Name]+8*incoming[p.Name]))
		switch {
		case load > r.high && len(free[spare]) > 0:
			want := (use[p.Name]-slots[p.Name]-8*incoming[p.Name])/8 + 1
			for ; want > 0 && len(free[spare]) > 0; want-- {
				moves = append(moves, capacity.Move{VM: free[spare][0].ID, From: spare, To: p.Name})
				free[spare] = free[spare][1:]
			}
		case load < r.low:
			for extra := count[p.Name] - p.Home; extra > 0 && len(free[p.Name]) > 0; extra-- {
				moves = append(moves, capacity.Move{VM: free[p.Name][0].ID, From: p.Name, To: spare})
				free[p.Name] = free[p.Name][1:]
			}
		}
	}
	return moves
}

// own drives policy/capacity with a forecast.
type own struct {
	s       *Scenario
	set     capacity.Settings
	outlook func(pool, now int, offered float64) capacity.Outlook
	memory  capacity.Memory
}

func (o *own) move(s capacity.Snapshot, now int) []capacity.Move {
	offered := capacity.OfferedSlots(s.Work, o.set)
	for i, p := range o.s.Pools {
		s.Outlooks = append(s.Outlooks, o.outlook(i, now, offered[p.Name]))
	}
	d := capacity.Decide(s, o.set, o.memory)
	o.memory = d.Memory
	return d.Moves
}

// newOwn returns the policy with the forecast of policy/forecast.
func newOwn(s *Scenario, set capacity.Settings, o forecast.Options, horizon time.Duration) *own {
	f := forecast.New(o)
	look := func(pool, now int, offered float64) capacity.Outlook {
		name := s.Pools[pool].Name
		f.Observe(string(name), timeOf(now), offered)
		l := f.Outlook(string(name), timeOf(now), horizon)
		return capacity.Outlook{
			Pool: name, Slots: l.Expected, Peak: l.Peak,
			Bursting: l.Bursting || l.Imminent, Ends: l.Ends,
		}
	}
	return &own{s: s, set: set, outlook: look}
}

// newOracle returns the policy with the true future demand instead of a
// forecast, and without the waits that guard against wrong forecasts.
func newOracle(s *Scenario, d *demand, set capacity.Settings, horizon time.Duration) *own {
	set.Hold, set.MinStay, set.DeficitHold = 0, 0, 0
	look := func(pool, now int, _ float64) capacity.Outlook {
		return trueOutlook(s, d, pool, now, ticks(horizon))
	}
	return &own{s: s, set: set, outlook: look}
}

// trueOutlook reads the demand of the next ticks.
func trueOutlook(s *Scenario, d *demand, pool, now, horizon int) capacity.Outlook {
	o := capacity.Outlook{Pool: s.Pools[pool].Name}
	for q, qu := range s.queues {
		if qu.pool != pool {
			continue
		}
		end := min(s.length, now+horizon)
		for t := now; t < end; t++ {
			o.Slots = max(o.Slots, d.level[q][t])
		}
		o.Peak = max(o.Peak, burstLevel*qu.mean)
		t := now
		for t < s.length && d.level[q][t] < qu.mean {
			t++
		}
		for t < s.length && d.level[q][t] > qu.mean {
			t++
		}
		o.Ends = max(o.Ends, durOf(t-now))
	}
	o.Bursting = o.Slots > o.Peak/2
	return o
}
