package fleetplan

import (
	"math"
	"sort"

	"amaranthfork.example/sched/pool"
)

// Parameters of moves between pools.
const (
	// minVMsPerPool stay in each pool, so that the loss of one VM leaves another.
	minVMsPerPool = 2
	// maxMovingFraction is the fraction of the fleet that may move at a time: a peak
	// needs up to half of the fleet.
	maxMovingFraction = 0.5
	// standbyDelayMS is how long a pool must have had surplus VMs before one is
	// switched off. Two moves cost as much as 2.3 s of a VM, and peaks last longer.
	standbyDelayMS = 1200
	// firstPeakWaitMS is how long surplus VMs are kept while no peak has been seen:
	// before the first peak it is unknown which pool will need them.
	firstPeakWaitMS = 25000
)

// MovePlanner decides which VMs move between pools. It is not safe for concurrent
// use.
type MovePlanner struct {
	Demand         *Demand
	surplusSinceMS map[string]int64 // start of a pool's surplus, Unix milliseconds
	firstPlanMS    int64            // Unix milliseconds; 0 before the first plan
}

// NewMovePlanner returns a planner without observations.
func NewMovePlanner() *MovePlanner {
	return &MovePlanner{Demand: NewDemand(), surplusSinceMS: map[string]int64{}}
}

// poolBalance compares the VMs that a pool has with those that it needs.
type poolBalance struct {
	name          string
	minVMs        int         // VMs that must stay
	haveCores     float64     // cores that are there or are moving to the pool
	vms           int         // VMs that are there or are moving to the pool
	needCores     float64     // cores for work that can be done in time
	lateCores     float64     // cores for work that will be late
	preparedCores float64     // cores that it should have because a peak may begin
	movable       []movableVM // least used first
}

type movableVM struct {
	machine Machine
	load    pool.VMLoad
	inWave  bool // an open wave still has to take the machine
}

// Plan returns the VMs to move next. It updates the demand model with the load
// reports of s.
func (m *MovePlanner) Plan(s *Snapshot) []Decision {
	vmCores := meanVMCores(s)
	m.Demand.Observe(s.Loads, s.Standby, vmCores*float64(len(s.Machines)))
	if m.firstPlanMS == 0 {
		m.firstPlanMS = s.NowMS
	}
	balances := m.balances(s)
	if vmCores <= 0 || len(balances) == 0 {
		return nil
	}
	moving := 0
	for _, c := range s.Cordons {
		if c.Purpose.Target != "" {
			moving++
		}
	}
	maxMoves := int(maxMovingFraction*float64(len(s.Machines))) - moving
	decisions := m.fillDeficits(s, balances, vmCores, maxMoves)
	return append(decisions, m.switchOffSurplus(s, balances, vmCores, maxMoves-len(decisions))...)
}

// PoolSummary compares what one pool has with what it needs, for the log. Figures
// are in cores unless a field says otherwise.
type PoolSummary struct {
	Pool           string
	Have           float64 // including VMs that are moving to the pool
	Need           float64
	VMs            int     // including those that are moving to the pool
	Rate, MeanRate float64 // of accepted work, in core-seconds per second
	InPeak         bool    // the pool is in a demand peak
	Silent         bool    // its owner's reports are overdue, and the demand is assumed to go on
	Used           float64 // by runs
	Backlog, Late  float64 // remaining work of jobs that can still meet their objective and of others, in core-seconds
}

// Summaries returns the figures that the next plan starts from, in order of pool
// names.
func (m *MovePlanner) Summaries(s *Snapshot) []PoolSummary {
	var list []PoolSummary
	for name, b := range m.balances(s) {
		summary := PoolSummary{Pool: name, Have: b.haveCores, Need: b.needCores + b.lateCores, VMs: b.vms}
		if p := m.Demand.pools[name]; p != nil {
			summary.Rate, summary.MeanRate, summary.InPeak = p.rate, p.meanRate, p.inPeak
		}
		load := s.Loads[name]
		summary.Silent = m.Demand.silenceMS(name, load, s.NowMS) > 0
		summary.Backlog, summary.Late = load.BacklogCoreSeconds, load.LateCoreSeconds
		for _, v := range load.VMs {
			summary.Used += float64(v.UsedMilliCPU) / 1000
		}
		list = append(list, summary)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Pool < list[k].Pool })
	return list
}

// meanVMCores returns the mean capacity of a VM in cores; 0 if there are no VMs.
func meanVMCores(s *Snapshot) float64 {
	total, n := int64(0), 0
	for _, l := range s.Loads {
		for _, v := range l.VMs {
			total += v.CapacityMilliCPU
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(total) / float64(n) / 1000
}

// balances returns the balance of each pool that is not a standby pool.
func (m *MovePlanner) balances(s *Snapshot) map[string]*poolBalance {
	balances := map[string]*poolBalance{}
	vmCores := meanVMCores(s)
	inWave := s.inOpenWave()
	for name, l := range s.Loads {
		if s.Standby[name] {
			continue
		}
		b := &poolBalance{name: name, minVMs: max(minVMsPerPool, l.MinVMs)}
		// While the owner is silent, no VM can be known to be empty.
		silent := m.Demand.silenceMS(name, l, s.NowMS) > 0
		longRunning := 0.0 // cores of VMs with long-running tasks, which stay
		for _, v := range l.VMs {
			machine, known := s.Machines[v.Machine]
			_, cordoned := s.Cordons[v.Machine]
			if !known || machine.VM != v.VM || cordoned || !v.Usable {
				continue
			}
			b.haveCores += float64(v.CapacityMilliCPU) / 1000
			b.vms++
			if v.LongRunning > 0 {
				longRunning += float64(v.UsedMilliCPU) / 1000
			} else if machine.Up && !silent {
				b.movable = append(b.movable, movableVM{machine, v, inWave[machine.Name]})
			}
		}
		b.needCores, b.lateCores = m.Demand.RequiredCores(name, l, s.NowMS)
		b.needCores += longRunning
		b.preparedCores = longRunning + m.Demand.PreparedCores(name, s.NowMS)
		sort.Slice(b.movable, func(i, k int) bool {
			if b.movable[i].load.UsedMilliCPU != b.movable[k].load.UsedMilliCPU {
				return b.movable[i].load.UsedMilliCPU < b.movable[k].load.UsedMilliCPU
			}
			if b.movable[i].inWave != b.movable[k].inWave {
				return b.movable[k].inWave
			}
			return b.movable[i].machine.Name < b.movable[k].machine.Name
		})
		balances[name] = b
	}
	addArrivals(s, balances, vmCores)
	return balances
}

// addArrivals adds the VMs that are moving to a pool, each with vmCores cores.
func addArrivals(s *Snapshot, balances map[string]*poolBalance, vmCores float64) {
	counted := map[string]bool{}
	for _, c := range s.Cordons {
		target := c.Purpose.Target
		if target == "" && c.Ordered {
			target = c.Pool // returns from maintenance
		}
		if b := balances[target]; b != nil {
			b.haveCores += vmCores
			b.vms++
			counted[c.Machine] = true
		}
	}
	for name, machine := range s.Machines {
		b := balances[machine.Pool]
		if b == nil || counted[name] {
			continue
		}
		if _, listed := s.vmLoad(machine); !listed && (machine.VM != "" || !machine.Up) {
			if _, cordoned := s.Cordons[name]; !cordoned {
				b.haveCores += vmCores
				b.vms++
			}
		}
	}
}

// fillDeficits moves VMs to pools that have too few: from standby first, then from
// pools that have more than they need, then from pools whose work will be late anyway.
// It makes at most maxMoves decisions.
func (m *MovePlanner) fillDeficits(s *Snapshot, balances map[string]*poolBalance, vmCores float64, maxMoves int) []Decision {
	builder := moveBuilder{balances: balances, vmCores: vmCores, maxMoves: maxMoves, standby: standbyMachines(s)}
	for _, b := range byDeficit(balances) {
		// Long-running tasks without a VM come before any queued work.
		builder.addMoves(b, b.minVMs-b.vms, takeFromLargest)
	}
	for _, takeVM := range []takeFunc{takeSurplus, takeFromLateWork} {
		for _, b := range byDeficit(balances) {
			builder.addMoves(b, int(math.Round((b.needCores-b.haveCores)/vmCores)), takeVM)
		}
	}
	for _, b := range byDeficit(balances) {
		builder.addMoves(b, int(math.Round((b.needCores+b.lateCores-b.haveCores)/vmCores)), takeSurplus)
	}
	return m.prepare(balances, vmCores, maxMoves, builder.decisions)
}

// moveBuilder collects decisions that move VMs to pools with too few.
type moveBuilder struct {
	balances  map[string]*poolBalance
	vmCores   float64
	maxMoves  int // upper limit of len(decisions)
	standby   []Machine
	decisions []Decision
}

// takeFunc removes a VM from the balance of a pool other than except. The result is
// false if there is none to take. A VM has vmCores cores.
type takeFunc func(balances map[string]*poolBalance, except string, vmCores float64) (Machine, bool)

// addMoves moves missing VMs to a pool: standby VMs as long as there are any, then
// VMs that takeVM removes from other pools.
func (mb *moveBuilder) addMoves(b *poolBalance, missing int, takeVM takeFunc) {
	for ; missing > 0 && len(mb.decisions) < mb.maxMoves; missing-- {
		d := Decision{Purpose: Purpose{Target: b.name}, Reason: "standby VM for a pool with too few"}
		if len(mb.standby) > 0 {
			d.Machine, mb.standby = mb.standby[0], mb.standby[1:]
		} else {
			machine, ok := takeVM(mb.balances, b.name, mb.vmCores)
			if !ok {
				return
			}
			d.Machine, d.Reason = machine, "VM of another pool for a pool with too few"
		}
		b.vms++
		b.haveCores += mb.vmCores
		mb.decisions = append(mb.decisions, d)
	}
}

// prepare moves surplus VMs, which are switched on and paid for, to pools in which a
// peak may begin. Standby VMs stay off until they are needed. It returns decisions
// with the new ones appended, at most maxMoves in all.
func (m *MovePlanner) prepare(balances map[string]*poolBalance, vmCores float64, maxMoves int, decisions []Decision) []Decision {
	for len(decisions) < maxMoves {
		b := largestShortfall(balances)
		if b == nil || b.preparedCores-b.haveCores < vmCores {
			return decisions
		}
		machine, ok := takeSurplus(balances, b.name, vmCores)
		if !ok {
			return decisions
		}
		b.haveCores += vmCores
		decisions = append(decisions, Decision{machine, Purpose{Target: b.name}, "surplus VM for a pool in which a demand peak may begin"})
	}
	return decisions
}

// largestShortfall returns the pool that has the fewest cores relative to those that
// it should have prepared.
func largestShortfall(balances map[string]*poolBalance) *poolBalance {
	var best *poolBalance
	for _, b := range balances {
		if best == nil || b.preparedCores-b.haveCores > best.preparedCores-best.haveCores || b.preparedCores-b.haveCores == best.preparedCores-best.haveCores && b.name < best.name {
			best = b
		}
	}
	return best
}

// byDeficit returns the pools in order of the cores that they lack, most first.
func byDeficit(balances map[string]*poolBalance) []*poolBalance {
	list := make([]*poolBalance, 0, len(balances))
	for _, b := range balances {
		list = append(list, b)
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i].needCores-list[i].haveCores, list[k].needCores-list[k].haveCores
		if a != b {
			return a > b
		}
		return list[i].name < list[k].name
	})
	return list
}

// surplus returns the cores that a pool has beyond what it needs or should have
// prepared.
func (b *poolBalance) surplus() float64 {
	return b.haveCores - max(b.needCores+b.lateCores, b.preparedCores)
}

// surplusBesideLateWork is surplus without the cores for work that will be late.
func (b *poolBalance) surplusBesideLateWork() float64 {
	return b.haveCores - max(b.needCores, b.preparedCores)
}

// takeSurplus removes the least used VM from the balance of the pool with the largest
// surplus. The result is false if no pool other than except has a surplus of at
// least vmCores.
func takeSurplus(balances map[string]*poolBalance, except string, vmCores float64) (Machine, bool) {
	return takeBy(balances, except, vmCores, (*poolBalance).surplus)
}

// takeFromLateWork is takeSurplus, but cores for work that will be late count as
// surplus.
func takeFromLateWork(balances map[string]*poolBalance, except string, vmCores float64) (Machine, bool) {
	return takeBy(balances, except, vmCores, (*poolBalance).surplusBesideLateWork)
}

// takeBy is takeSurplus for any measure of surplus.
func takeBy(balances map[string]*poolBalance, except string, vmCores float64, surplus func(*poolBalance) float64) (Machine, bool) {
	var best *poolBalance
	for _, b := range balances {
		if b.name == except || len(b.movable) == 0 || b.vms <= b.minVMs || surplus(b) < vmCores {
			continue
		}
		if best == nil || surplus(b) > surplus(best) || surplus(b) == surplus(best) && b.name < best.name {
			best = b
		}
	}
	if best == nil {
		return Machine{}, false
	}
	return best.take(), true
}

// awaitsFirstPeak reports whether surplus VMs stay switched on because no peak has
// been seen and the first may begin in any pool.
func (m *MovePlanner) awaitsFirstPeak(s *Snapshot) bool {
	return len(m.Demand.peaks) == 0 && s.NowMS-m.firstPlanMS < firstPeakWaitMS
}

// takeFromLargest is takeSurplus, but if there is no surplus VM it removes the least
// used VM of the pool with the most VMs. That pool must have at least twice the VMs
// that must stay.
func takeFromLargest(balances map[string]*poolBalance, except string, vmCores float64) (Machine, bool) {
	if machine, ok := takeSurplus(balances, except, vmCores); ok {
		return machine, true
	}
	var best *poolBalance
	for _, b := range balances {
		if b.name == except || len(b.movable) == 0 || b.vms < 2*b.minVMs {
			continue
		}
		if best == nil || b.vms > best.vms || b.vms == best.vms && b.name < best.name {
			best = b
		}
	}
	if best == nil {
		return Machine{}, false
	}
	return best.take(), true
}

// take removes the least used VM that may move from the pool's balance.
func (b *poolBalance) take() Machine {
	v := b.movable[0]
	b.movable = b.movable[1:]
	b.vms--
	b.haveCores -= float64(v.load.CapacityMilliCPU) / 1000
	return v.machine
}

// takeForStandby is take, but it prefers an idle VM that an open wave still has to take: its maintenance costs nothing on standby.
func (b *poolBalance) takeForStandby() Machine {
	first := b.movable[0].load.UsedMilliCPU
	for i, v := range b.movable {
		if v.load.UsedMilliCPU != first {
			break
		}
		if v.inWave && v.load.Tasks == 0 {
			b.movable[0], b.movable[i] = b.movable[i], b.movable[0]
			break
		}
	}
	return b.take()
}

// standbyMachines returns the standby VMs that may be moved, in order of name. Those that an
// open wave still has to take come last.
func standbyMachines(s *Snapshot) []Machine {
	var list []Machine
	for name, machine := range s.Machines {
		if _, cordoned := s.Cordons[name]; s.Standby[machine.Pool] && machine.Up && !cordoned && !s.Evacuated[machine.DataCentre] {
			list = append(list, machine)
		}
	}
	inWave := s.inOpenWave()
	sort.Slice(list, func(i, k int) bool {
		if inWave[list[i].Name] != inWave[list[k].Name] {
			return inWave[list[k].Name]
		}
		return list[i].Name < list[k].Name
	})
	return list
}

// switchOffSurplus switches off VMs of pools that have had a surplus for
// standbyDelayMS, by moving them to a standby pool. It makes at most maxMoves
// decisions.
func (m *MovePlanner) switchOffSurplus(s *Snapshot, balances map[string]*poolBalance, vmCores float64, maxMoves int) []Decision {
	target := ""
	for name, on := range s.Standby {
		if on && (target == "" || name < target) {
			target = name
		}
	}
	var decisions []Decision
	for _, b := range byDeficit(balances) {
		if b.surplus() < vmCores || b.vms <= b.minVMs || target == "" || m.awaitsFirstPeak(s) {
			delete(m.surplusSinceMS, b.name)
			continue
		}
		since, known := m.surplusSinceMS[b.name]
		if !known {
			m.surplusSinceMS[b.name] = s.NowMS
			continue
		}
		if s.NowMS-since < standbyDelayMS {
			continue
		}
		for b.surplus() >= vmCores && b.vms > b.minVMs && len(b.movable) > 0 && len(decisions) < maxMoves && b.movable[0].load.Tasks == 0 {
			decisions = append(decisions, Decision{b.takeForStandby(), Purpose{Target: target}, "VM not needed for some time"})
		}
	}
	return decisions
}
