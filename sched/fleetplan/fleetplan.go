// Package fleetplan decides which VMs are emptied for maintenance and which are
// moved between pools. It performs no I/O: decisions, with their reasons, follow
// from a snapshot of the fleet, the settings and the demand seen so far.
package fleetplan

import (
	"fmt"
	"math"
	"sort"
	"time"

	"amaranthfork.example/sched/pool"
)

// Machine is a VM's identity in the inventory, the same over its incarnations.
type Machine struct {
	Name       string
	Pool       string
	VM         string // id of its current incarnation; empty if none runs
	DataCentre string
	Up         bool // may be ordered to move or to go into maintenance
}

// Purpose is why a VM is emptied: for maintenance in a wave, or for a move to
// another pool. One of the fields is set.
type Purpose struct {
	Wave   string // id of the wave
	Target string // name of the new pool
}

// Cordon marks a VM that gets no new work and is being emptied, or whose order to
// move or to go into maintenance is in progress.
type Cordon struct {
	Machine string
	VM      string
	Pool    string
	Purpose Purpose
	SinceMS int64 // Unix milliseconds
	Version int64 // of the stored row; 0 until it is stored
	Ordered bool  // the order may have been sent
}

// Wave is a maintenance wave: a set of machines that are due for maintenance.
type Wave struct {
	ID               string
	Machines         []string
	MaxInMaintenance int             // machines that may be in maintenance at a time
	DeadlineMS       int64           // Unix milliseconds
	Done             map[string]bool // machines whose maintenance has begun or ended
	InMaintenance    map[string]bool // machines ordered into maintenance that have not returned
}

// Remaining returns the sorted names of the wave's machines that exist and are not
// done.
func (w *Wave) Remaining(machines map[string]Machine) []string {
	var names []string
	for _, name := range w.Machines {
		if _, exists := machines[name]; exists && !w.Done[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Snapshot is the state of the fleet that decisions are based on.
type Snapshot struct {
	NowMS     int64                      // Unix milliseconds
	Machines  map[string]Machine         // by name
	Loads     map[string]pool.LoadReport // load reports, by pool
	Cordons   map[string]Cordon          // by machine
	Waves     []Wave
	Standby   map[string]bool // standby pools, whose VMs are switched off
	Evacuated map[string]bool // evacuated data centres, in which nothing may start

	reported map[string][]pool.VMLoad // by machine: the VMs in the load reports; nil until it is needed
}

// VMsOn returns the VMs of a machine in the load reports of all pools. There may be several:
// a VM stays in a report for a while after its end.
func (s *Snapshot) VMsOn(machine string) []pool.VMLoad {
	if s.reported == nil {
		s.reported = map[string][]pool.VMLoad{}
		for _, report := range s.Loads {
			for _, v := range report.VMs {
				s.reported[v.Machine] = append(s.reported[v.Machine], v)
			}
		}
	}
	return s.reported[machine]
}

// vmLoad returns the report of the pool's owner on the current incarnation of a
// machine.
func (s *Snapshot) vmLoad(m Machine) (pool.VMLoad, bool) {
	load, ok := s.Loads[m.Pool].VM(m.VM)
	return load, ok && load.Machine == m.Name
}

// Empty reports whether it is certain that nothing runs on a cordoned machine: on the VM that
// the inventory names, nor on another one of the machine, which the inventory may not name yet.
func (s *Snapshot) Empty(c Cordon) bool {
	m, ok := s.Machines[c.Machine]
	if s.Standby[c.Pool] && (!ok || s.Standby[m.Pool]) {
		return true
	}
	if !ok {
		return false
	}
	if load, ok := s.vmLoad(m); !ok || !load.Empty(c.Version) {
		return false
	}
	for _, load := range s.VMsOn(c.Machine) {
		if !load.Empty(c.Version) {
			return false
		}
	}
	return true
}

// Draining reports whether the current incarnation of a machine is leaving its
// pool without an order.
func (s *Snapshot) Draining(m Machine) bool {
	load, ok := s.vmLoad(m)
	return ok && load.Draining
}

// Decision is a decision to empty a VM.
type Decision struct {
	Machine Machine
	Purpose Purpose
	Reason  string // for the log
}

// Settings are the planner's parameters.
type Settings struct {
	MaintenanceTime time.Duration // of one machine, from the order to its return
	EmptyTime       time.Duration // usual time to empty a VM
	MoveTime        time.Duration // of one machine, from the order to its arrival in the new pool
}

// Parameters of maintenance waves.
const (
	// waveSlackFraction is the fraction of a wave's remaining time that the plan
	// leaves unused.
	waveSlackFraction = 0.5
	// fullPoolSlackFraction is the same for VMs of full pools. It is smaller, so that
	// the maintenance of these VMs begins later than that of other pools' VMs.
	fullPoolSlackFraction = 0.25
	// fullPoolUse is the poolUse above which a pool is full.
	fullPoolUse = 0.9
	// longRunningEmptyTime is the usual time to empty a VM with long-running tasks.
	// Their availability budgets let only a few tasks of a step move at a time, so the
	// emptying of these VMs begins early.
	longRunningEmptyTime = 10 * time.Second
)

// PlanWaves returns the VMs to empty next for maintenance.
func PlanWaves(s *Snapshot, settings Settings) []Decision {
	var decisions []Decision
	for i := range s.Waves {
		decisions = append(decisions, planWave(s, &s.Waves[i], settings)...)
	}
	return decisions
}

// Progress is how far a wave is, for the log.
type Progress struct {
	Remaining       int      // machines that are not done
	Emptying        int      // of those, with a cordon of the wave and no order yet
	WithLongRunning int      // of those, with long-running tasks
	Examples        []string // some of the remaining machines, with what is known of them
}

// maxExamples is the number of machines that Progress describes.
const maxExamples = 5

// ProgressOf returns how far a wave is.
func ProgressOf(s *Snapshot, w *Wave) Progress {
	var p Progress
	for _, name := range w.Remaining(s.Machines) {
		p.Remaining++
		m := s.Machines[name]
		load, _ := s.vmLoad(m)
		c, cordoned := s.Cordons[name]
		emptying := cordoned && c.Purpose.Wave == w.ID && !c.Ordered
		if emptying {
			p.Emptying++
		}
		if load.LongRunning > 0 {
			p.WithLongRunning++
		}
		if len(p.Examples) < maxExamples {
			p.Examples = append(p.Examples, fmt.Sprintf("%s pool=%s up=%t emptying=%t target=%s tasks=%d long_running=%d", name, m.Pool, m.Up, emptying, c.Purpose.Target, load.Tasks, load.LongRunning))
		}
	}
	return p
}

func planWave(s *Snapshot, w *Wave, settings Settings) []Decision {
	remaining := w.Remaining(s.Machines)
	inProgress := len(w.InMaintenance)
	pending := map[string]int{} // VMs being emptied or in maintenance, by pool
	var candidates, longRunning []Machine
	emptyingLongRunning, remainingLongRunning := 0, 0
	for _, name := range remaining {
		m := s.Machines[name]
		load, _ := s.vmLoad(m)
		if load.LongRunning > 0 {
			remainingLongRunning++
		}
		c, cordoned := s.Cordons[name]
		switch {
		case cordoned && c.Purpose.Wave == w.ID && !w.InMaintenance[name] && load.LongRunning > 0:
			emptyingLongRunning++
			pending[c.Pool]++
		case cordoned:
			if c.Purpose.Wave == w.ID && !w.InMaintenance[name] {
				inProgress++
			}
			pending[c.Pool]++
		case !m.Up || w.InMaintenance[name] || load.Draining:
		case load.LongRunning > 0:
			longRunning = append(longRunning, m)
		default:
			candidates = append(candidates, m)
		}
	}
	for name := range w.InMaintenance {
		pending[s.Machines[name].Pool]++
	}
	allowed := min(w.MaxInMaintenance, requiredParallel(w, len(remaining), s.NowMS, waveSlackFraction, settings)) - inProgress
	allowedIfFull := min(w.MaxInMaintenance, requiredParallel(w, len(remaining), s.NowMS, fullPoolSlackFraction, settings)) - inProgress
	allowedIfStandby := w.MaxInMaintenance - inProgress // the absence of a standby VM costs nothing
	sortForMaintenance(s, candidates, pending)
	decisions := planLongRunning(s, w, longRunning, pending, remainingLongRunning, emptyingLongRunning, settings)
	allowed, allowedIfFull, allowedIfStandby = allowed+len(decisions), allowedIfFull+len(decisions), allowedIfStandby+len(decisions)
	for _, m := range candidates {
		standby := s.Standby[m.Pool]
		if len(decisions) >= allowedIfStandby || !standby && len(decisions) >= allowed {
			continue
		}
		if !standby && len(decisions) >= allowedIfFull && poolUse(s.Loads[m.Pool]) > fullPoolUse {
			continue
		}
		if !standby && pending[m.Pool] >= poolLimit(s, m.Pool, w, len(remaining), settings) {
			continue
		}
		pending[m.Pool]++
		decisions = append(decisions, Decision{m, Purpose{Wave: w.ID}, "maintenance"})
	}
	return decisions
}

// planLongRunning returns the VMs with long-running tasks to empty next. Most of their
// processors are in use anyway, and they are emptied slowly, so that they are not
// counted with the others.
func planLongRunning(s *Snapshot, w *Wave, candidates []Machine, pending map[string]int, remaining, emptying int, settings Settings) []Decision {
	settings.EmptyTime = longRunningEmptyTime
	allowed := min(w.MaxInMaintenance, requiredParallel(w, remaining, s.NowMS, waveSlackFraction, settings)) - emptying
	if remaining == 0 || allowed <= 0 {
		return nil
	}
	sortForMaintenance(s, candidates, pending)
	var decisions []Decision
	for _, m := range candidates {
		if len(decisions) < allowed && pending[m.Pool] < poolLimit(s, m.Pool, w, remaining, settings) {
			pending[m.Pool]++
			decisions = append(decisions, Decision{m, Purpose{Wave: w.ID}, "maintenance of a VM with long-running tasks"})
		}
	}
	return decisions
}

// requiredParallel returns how many machines must be in maintenance at a time to
// finish the remaining ones and leave the fraction slack of the time until the
// deadline unused.
func requiredParallel(w *Wave, remaining int, nowMS int64, slack float64, settings Settings) int {
	availableMS := float64(w.DeadlineMS-nowMS) * (1 - slack)
	perMachineMS := float64((settings.EmptyTime + settings.MaintenanceTime).Milliseconds())
	if availableMS <= perMachineMS {
		return w.MaxInMaintenance
	}
	return max(1, int(math.Ceil(float64(remaining)*perMachineMS/availableMS)))
}

// poolLimit returns how many VMs of one pool may be absent at a time: a quarter of
// them, or more if the wave is short of time.
func poolLimit(s *Snapshot, name string, w *Wave, remaining int, settings Settings) int {
	required := requiredParallel(w, remaining, s.NowMS, waveSlackFraction, settings)
	return max(1, (len(s.Loads[name].VMs)+3)/4, required/2)
}

// inOpenWave returns the machines that an open wave still has to take.
func (s *Snapshot) inOpenWave() map[string]bool {
	machines := map[string]bool{}
	for i := range s.Waves {
		for _, name := range s.Waves[i].Remaining(s.Machines) {
			machines[name] = true
		}
	}
	return machines
}

// sortForMaintenance sorts machines by the cost of their absence: standby VMs
// first, then empty ones, then by use; VMs of pools with many VMs absent come last.
func sortForMaintenance(s *Snapshot, list []Machine, pending map[string]int) {
	cost := make(map[string]float64, len(list))
	for _, m := range list {
		cost[m.Name] = absenceCost(s, m) + float64(pending[m.Pool])
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := cost[list[i].Name], cost[list[k].Name]
		if a != b {
			return a < b
		}
		return list[i].Name < list[k].Name
	})
}

// absenceCost returns 0 for a standby VM. Otherwise the cost rises with the use of
// the VM, the use of its pool and the long-running tasks that have to move.
func absenceCost(s *Snapshot, m Machine) float64 {
	if s.Standby[m.Pool] {
		return 0
	}
	load, ok := s.vmLoad(m)
	if !ok || load.CapacityMilliCPU <= 0 {
		return 1
	}
	return 1 + float64(load.UsedMilliCPU)/float64(load.CapacityMilliCPU) + 0.5*float64(load.LongRunning) + 4*poolUse(s.Loads[m.Pool])
}

// poolUse returns the cores that a pool uses or waits for, as a fraction of its
// capacity; 1 if it has no VMs.
func poolUse(l pool.LoadReport) float64 {
	var capacity, used int64
	for _, v := range l.VMs {
		capacity += v.CapacityMilliCPU
		used += v.UsedMilliCPU
	}
	if capacity == 0 {
		return 1
	}
	return float64(used+l.ReadyMilliCPU) / float64(capacity)
}
