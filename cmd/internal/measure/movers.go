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

// work sums the waiting jobs and the running tasks of each pool, team and class.
func (w *world) work() []capacity.Work {
	running := make(map[[3]int]int)
	for i := range w.vms {
		for _, t := range w.vms[i].tasks {
			running[t.job.key()]++
		}
	}
	var rows []capacity.Work
	for q, qu := range w.s.queues {
		for _, part := range qu.parts {
			for c, class := range classes {
				key := [3]int{q, c, part.team}
				rows = append(rows, capacity.Work{
					Pool: w.s.Pools[qu.pool].Name, Team: w.s.Teams[part.team].Name, Class: class.name,
					Running: running[key], Queued: w.queued[key],
					RunTime: w.est.runTime(q, c), Arrivals: w.est.rate[key],
				})
			}
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
	count := countPools(s)
	spare := s.Pools[len(s.Pools)-1].Name
	var moves []capacity.Move
	for _, p := range s.Pools[:len(s.Pools)-1] {
		c := count[p.Name]
		load := float64(c.load) / float64(max(1, c.slots))
		switch {
		case load > r.high:
			moves = append(moves, count.take(spare, p.Name, (c.load-c.slots)/8+1)...)
		case load < r.low:
			moves = append(moves, count.take(p.Name, spare, c.vms-p.Home)...)
		}
	}
	return moves
}

// poolCount is what the reactive policy knows of a pool.
type poolCount struct {
	load  int // tasks that run or wait
	slots int // of its VMs and of those that are moving to it
	vms   int
	idle  []fleet.VMID
}

type poolCounts map[fleet.PoolName]*poolCount

func countPools(s capacity.Snapshot) poolCounts {
	counts := make(poolCounts)
	for _, p := range s.Pools {
		counts[p.Name] = &poolCount{}
	}
	moving := make(map[fleet.VMID]bool)
	for _, m := range s.Moves {
		moving[m.VM] = true
		counts[m.To].slots += 8
	}
	for _, w := range s.Work {
		counts[w.Pool].load += w.Running + w.Queued
	}
	for _, v := range s.VMs {
		if moving[v.ID] || !v.Available {
			continue
		}
		c := counts[v.Pool]
		c.slots += v.Slots
		c.vms++
		if v.Running == 0 && !v.Maintained {
			c.idle = append(c.idle, v.ID)
		}
	}
	return counts
}

// take moves up to n idle VMs.
func (c poolCounts) take(from, to fleet.PoolName, n int) []capacity.Move {
	var moves []capacity.Move
	for ; n > 0 && len(c[from].idle) > 0; n-- {
		moves = append(moves, capacity.Move{VM: c[from].idle[0], From: from, To: to})
		c[from].idle = c[from].idle[1:]
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

// newOracle returns the policy with the true demand of the future instead of a
// forecast, and without the waits and margins that guard against wrong ones. A
// pool keeps the VMs that it will need again before their idle time would cost
// more than moving them, which the settings express as ParkAfter.
func newOracle(s *Scenario, d *demand, set capacity.Settings, lead time.Duration) *own {
	again := ticks(set.ParkAfter)
	set.MinStay, set.SpareStay = 0, 0
	set.GiveMargin, set.Ready, set.ParkAfter = 0, 1+set.Headroom, time.Second
	slots := trueSlots(s, d, set.BatchSteady)
	look := func(pool, now int, _ float64) capacity.Outlook {
		o := capacity.Outlook{Pool: s.Pools[pool].Name, Ends: time.Hour}
		end := min(s.length, now+max(again, ticks(lead)))
		for t := now; t < end; t++ {
			if t < now+ticks(lead) {
				o.Slots = max(o.Slots, slots[pool][t])
			}
			o.Peak = max(o.Peak, slots[pool][t])
		}
		return o
	}
	return &own{s: s, set: set, outlook: look}
}

// trueSlots returns, by pool and tick, the slots that the demand takes if every
// job starts when it arrives; of batch jobs only the given part counts.
func trueSlots(s *Scenario, d *demand, batch float64) [][]float64 {
	slots := make([][]float64, len(s.Pools))
	for p := range slots {
		slots[p] = make([]float64, s.length+1)
	}
	for t, jobs := range d.arrivals {
		for _, j := range jobs {
			part := 1.0
			if classes[j.class].name == fleet.ClassBatch {
				part = batch
			}
			pool := slots[s.queues[j.queue].pool]
			pool[t] += part
			pool[min(s.length, t+j.left)] -= part
		}
	}
	for _, pool := range slots {
		for t := 1; t < len(pool); t++ {
			pool[t] += pool[t-1]
		}
	}
	return slots
}
