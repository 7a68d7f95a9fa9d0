package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
	"amaranthfork.example/policy/forecast"
)

// mover decides which VMs move to another pool.
type mover interface {
	move(s capacity.Snapshot, now int) []capacity.Move
}

// snapshot describes the state of the simulation to a mover.
func (sim *simulation) snapshot() capacity.Snapshot {
	s := capacity.Snapshot{Now: timeAt(sim.nowTick), Teams: sim.scenario.Teams}
	for _, p := range sim.scenario.Pools {
		s.Pools = append(s.Pools, capacity.Pool{
			Name: p.Name, Spare: p.Spare, MaxUnavailable: p.MaxUnavailable, DeclaredVMs: len(p.VMs),
		})
	}
	for dc := range sim.scenario.DataCentres {
		s.DataCentres = append(s.DataCentres, sim.dataCentreState(dc))
	}
	s.VMs = make([]capacity.VM, 0, len(sim.vms))
	for i := range sim.vms {
		sim.describeVM(&s, i)
	}
	s.Work = sim.workRows()
	return s
}

func (sim *simulation) describeVM(s *capacity.Snapshot, i int) {
	v, spec := &sim.vms[i], &sim.scenario.VMs[i]
	described := capacity.VM{
		ID: spec.ID, Pool: sim.scenario.Pools[v.pool].Name, DataCentre: spec.DataCentre, Rack: spec.Rack,
		Slots: spec.Slots, Running: len(v.tasks), MaintenanceDue: v.planned,
		Available: !sim.dataCentreOut[v.dc] && (v.phase == serving || v.targetPool >= 0),
	}
	for _, t := range v.tasks {
		estimate := sim.estimates.runTime(t.job.queue, t.job.class) - durationOf(sim.nowTick-t.beganTick)
		described.Remaining = max(described.Remaining, estimate, time.Second)
	}
	if v.lastMoveTick >= 0 {
		described.LastMoved = timeAt(v.lastMoveTick)
	}
	s.VMs = append(s.VMs, described)
	if v.targetPool >= 0 {
		s.Moves = append(s.Moves, capacity.MoveInProgress{
			VM: spec.ID, From: described.Pool, To: sim.scenario.Pools[v.targetPool].Name,
		})
	}
}

// workRows returns the waiting jobs and running tasks of each queue, class and team.
func (sim *simulation) workRows() []capacity.Work {
	running := make(map[[3]int]int)
	for i := range sim.vms {
		for _, t := range sim.vms[i].tasks {
			running[t.job.workKey()]++
		}
	}
	var rows []capacity.Work
	for q, qu := range sim.scenario.queues {
		for _, team := range qu.teams {
			for c, class := range classes {
				key := [3]int{q, c, team.team}
				rows = append(rows, capacity.Work{
					Pool: sim.scenario.Pools[qu.pool].Name, Team: sim.scenario.Teams[team.team].Name, Class: class.name,
					Running: running[key], Queued: sim.queued[key],
					RunTime: sim.estimates.runTime(q, c), ArrivalsPerSecond: sim.estimates.arrivalsPerSecond[key],
				})
			}
		}
	}
	return rows
}

// static never moves a VM.
type static struct{}

func (static) move(capacity.Snapshot, int) []capacity.Move { return nil }

// reactive lends spare VMs to pools whose utilisation is above high and takes
// them back from pools below low. Utilisation is the number of running and
// waiting tasks per slot.
type reactive struct{ high, low float64 }

func (r reactive) move(s capacity.Snapshot, _ int) []capacity.Move {
	count := countPools(s)
	spare := s.Pools[len(s.Pools)-1].Name
	var moves []capacity.Move
	for _, p := range s.Pools[:len(s.Pools)-1] {
		c := count[p.Name]
		utilisation := float64(c.tasks) / float64(max(1, c.slots))
		switch {
		case utilisation > r.high:
			moves = append(moves, count.moveIdle(spare, p.Name, (c.tasks-c.slots)/8+1)...)
		case utilisation < r.low:
			moves = append(moves, count.moveIdle(p.Name, spare, c.vms-p.DeclaredVMs)...)
		}
	}
	return moves
}

// poolCount is the state of a pool that the reactive policy uses.
type poolCount struct {
	tasks int // tasks that run or wait
	slots int // of its available VMs and of those that are moving to it
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
		counts[w.Pool].tasks += w.Running + w.Queued
	}
	for _, v := range s.VMs {
		if moving[v.ID] || !v.Available {
			continue
		}
		c := counts[v.Pool]
		c.slots += v.Slots
		c.vms++
		if v.Running == 0 && !v.MaintenanceDue {
			c.idle = append(c.idle, v.ID)
		}
	}
	return counts
}

// moveIdle returns moves of up to n idle VMs and removes these from the counts.
func (c poolCounts) moveIdle(from, to fleet.PoolName, n int) []capacity.Move {
	var moves []capacity.Move
	for ; n > 0 && len(c[from].idle) > 0; n-- {
		moves = append(moves, capacity.Move{VM: c[from].idle[0], From: from, To: to})
		c[from].idle = c[from].idle[1:]
	}
	return moves
}

// capacityMover decides with policy/capacity. The function outlook predicts a
// pool's demand from the slots offered at tick now.
type capacityMover struct {
	s        *Scenario
	settings capacity.Settings
	outlook  func(pool, now int, offered float64) capacity.Outlook
	memory   capacity.Memory
}

func (c *capacityMover) move(s capacity.Snapshot, now int) []capacity.Move {
	offered := capacity.OfferedSlots(s.Work, c.settings)
	for i, p := range c.s.Pools {
		s.Outlooks = append(s.Outlooks, c.outlook(i, now, offered[p.Name]))
	}
	d := capacity.Decide(s, c.settings, c.memory)
	c.memory = d.Memory
	return d.Moves
}

// newForecastMover returns a mover that uses policy/forecast.
func newForecastMover(s *Scenario, settings capacity.Settings, options forecast.Options, horizon time.Duration) *capacityMover {
	f := forecast.New(options)
	outlook := func(pool, now int, offered float64) capacity.Outlook {
		name := s.Pools[pool].Name
		f.Observe(string(name), timeAt(now), offered)
		predicted := f.Outlook(string(name), timeAt(now), horizon)
		return capacity.Outlook{
			Pool: name, ExpectedSlots: predicted.ExpectedLevel, PeakSlots: predicted.PeakLevel,
			PeakExpected: predicted.InPeak || predicted.PeakImminent, PeakRemaining: predicted.PeakRemaining,
		}
	}
	return &capacityMover{s: s, settings: settings, outlook: outlook}
}

// newOracleMover returns a mover that knows the true demand of the next ticks
// instead of forecasting it, and uses none of the waits and margins that guard
// against wrong forecasts. A pool keeps a VM if it needs it again before the
// VM's idle time costs more than a move, which is after ReturnAfter.
func newOracleMover(s *Scenario, d *demand, settings capacity.Settings, lead time.Duration) *capacityMover {
	keepTicks := ticks(settings.ReturnAfter)
	settings.MinStay, settings.SpareStay = 0, 0
	settings.DonorMargin, settings.PeakReadyFraction, settings.ReturnAfter = 0, 1+settings.HeadroomFraction, time.Second
	slots := trueSlots(s, d, settings.BatchArrivalFraction)
	outlook := func(pool, now int, _ float64) capacity.Outlook {
		o := capacity.Outlook{Pool: s.Pools[pool].Name, PeakRemaining: time.Hour}
		end := min(s.lengthTicks, now+max(keepTicks, ticks(lead)))
		for t := now; t < end; t++ {
			if t < now+ticks(lead) {
				o.ExpectedSlots = max(o.ExpectedSlots, slots[pool][t])
			}
			o.PeakSlots = max(o.PeakSlots, slots[pool][t])
		}
		return o
	}
	return &capacityMover{s: s, settings: settings, outlook: outlook}
}

// trueSlots returns, by pool and tick, the slots that the demand takes if every
// job starts when it arrives. A batch job counts as batchFraction of a slot.
func trueSlots(s *Scenario, d *demand, batchFraction float64) [][]float64 {
	slots := make([][]float64, len(s.Pools))
	for p := range slots {
		slots[p] = make([]float64, s.lengthTicks+1)
	}
	for t, jobs := range d.arrivals {
		for _, j := range jobs {
			fraction := 1.0
			if classes[j.class].name == fleet.ClassBatch {
				fraction = batchFraction
			}
			pool := slots[s.queues[j.queue].pool]
			pool[t] += fraction
			pool[min(s.lengthTicks, t+j.remainingTicks)] -= fraction
		}
	}
	for _, pool := range slots {
		for t := 1; t < len(pool); t++ {
			pool[t] += pool[t-1]
		}
	}
	return slots
}
