// Package fleetplan decides which VMs are emptied, maintained and moved between
// pools. Its functions are pure: a snapshot and settings give decisions with
// reasons.
package fleetplan

import (
	"math"
	"sort"
	"time"

	"amaranthfork.example/sched/pool"
)

// Machine is a VM of the fleet over all its lives.
type Machine struct {
	Name       string
	Pool       string
	VM         string // id of its present life, empty if it has none
	DataCentre string
	Up         bool
}

// Purpose is why a VM is emptied: for maintenance in a wave, or for a move to
// another pool.
type Purpose struct {
	Wave   string
	Target string
}

// Cordon is a VM that is being emptied, or for which an order is under way.
type Cordon struct {
	Machine string
	VM      string
	Pool    string
	Purpose Purpose
	Since   int64 // Unix milliseconds
	Version int64 // of its row
	Ordered bool  // an order may have been sent
}

// Wave is a round of maintenance.
type Wave struct {
	ID       string
	Machines []string
	AtOnce   int
	Deadline int64 // Unix milliseconds
	Done     map[string]bool
	Down     map[string]bool // begun and not back yet
}

// Left returns the machines of the wave that exist and are not done.
func (w *Wave) Left(machines map[string]Machine) []string {
	var left []string
	for _, name := range w.Machines {
		if _, exists := machines[name]; exists && !w.Done[name] {
			left = append(left, name)
		}
	}
	sort.Strings(left)
	return left
}

// Snapshot is what decisions are made on.
type Snapshot struct {
	Now      int64 // Unix milliseconds
	Machines map[string]Machine
	Loads    map[string]pool.Load // by pool
	Cordons  map[string]Cordon    // by machine
	Waves    []Wave
	Standby  map[string]bool // pools whose VMs are switched off
	Out      map[string]bool // data centres in which nothing may start
}

// vmLoad returns what the owner of a machine's pool says of its present life.
func (s *Snapshot) vmLoad(m Machine) (pool.VMLoad, bool) {
	for _, v := range s.Loads[m.Pool].VMs {
		if v.VM == m.VM && v.Machine == m.Name {
			return v, true
		}
	}
	return pool.VMLoad{}, false
}

// Empty reports whether nothing runs on a cordoned VM for certain.
func (s *Snapshot) Empty(c Cordon) bool {
	if s.Standby[c.Pool] {
		return true
	}
	m, ok := s.Machines[c.Machine]
	if !ok {
		return false
	}
	load, ok := s.vmLoad(m)
	return ok && load.Empty(c.Version)
}

// Draining reports whether a machine's present life leaves its pool on its own.
func (s *Snapshot) Draining(m Machine) bool {
	load, ok := s.vmLoad(m)
	return ok && load.Draining
}

// Decision is a VM that is to be emptied.
type Decision struct {
	Machine Machine
	Purpose Purpose
	Reason  string
}

// Settings are the planner's parameters.
type Settings struct {
	MaintenanceTime time.Duration // of one machine, from the order to its return
	EmptyTime       time.Duration // that emptying a VM usually takes
	MoveTime        time.Duration // from the order to the arrival in the new pool
}

// Pace of waves.
const (
	// waveSlack is the share of the time of a wave that the plan leaves unused.
	waveSlack = 0.5
	// busySlack is the same for VMs of pools that are full, which wait for others.
	busySlack = 0.25
	// fullPool is the use from which a pool is full.
	fullPool = 0.9
)

// PlanWaves returns the VMs to empty next for maintenance.
func PlanWaves(s *Snapshot, settings Settings) []Decision {
	var decisions []Decision
	for i := range s.Waves {
		decisions = append(decisions, planWave(s, &s.Waves[i], settings)...)
	}
	return decisions
}

func planWave(s *Snapshot, w *Wave, settings Settings) []Decision {
	left := w.Left(s.Machines)
	busy := len(w.Down)
	pending := map[string]int{} // VMs being emptied, by pool
	var candidates []Machine
	for _, name := range left {
		if c, cordoned := s.Cordons[name]; cordoned {
			if c.Purpose.Wave == w.ID && !w.Down[name] {
				busy++
			}
			pending[c.Pool]++
			continue
		}
		if m := s.Machines[name]; m.Up && !w.Down[name] && !s.Draining(m) {
			candidates = append(candidates, m)
		}
	}
	for name := range w.Down {
		pending[s.Machines[name].Pool]++
	}
	room := min(w.AtOnce, parallel(w, len(left), s.Now, waveSlack, settings)) - busy
	fullRoom := min(w.AtOnce, parallel(w, len(left), s.Now, busySlack, settings)) - busy
	idle := w.AtOnce - busy // standby machines cost nothing to take
	sortForMaintenance(s, candidates, pending)
	var decisions []Decision
	for _, m := range candidates {
		standby := s.Standby[m.Pool]
		if len(decisions) >= idle || !standby && len(decisions) >= room {
			continue
		}
		if !standby && len(decisions) >= fullRoom && poolUse(s.Loads[m.Pool]) > fullPool {
			continue
		}
		if !standby && pending[m.Pool] >= poolLimit(s, m.Pool, w, len(left), settings) {
			continue
		}
		pending[m.Pool]++
		decisions = append(decisions, Decision{m, Purpose{Wave: w.ID}, "maintenance"})
	}
	return decisions
}

// parallel returns how many machines must be in maintenance at a time for the
// wave to end well before its deadline.
func parallel(w *Wave, left int, now int64, slack float64, settings Settings) int {
	remaining := float64(w.Deadline-now) * (1 - slack)
	each := float64((settings.EmptyTime + settings.MaintenanceTime).Milliseconds())
	if remaining <= each {
		return w.AtOnce
	}
	return max(1, int(math.Ceil(float64(left)*each/remaining)))
}

// poolLimit bounds the VMs of one pool that are away at a time, unless time is
// short.
func poolLimit(s *Snapshot, name string, w *Wave, left int, settings Settings) int {
	need := parallel(w, left, s.Now, waveSlack, settings)
	return max(1, (len(s.Loads[name].VMs)+3)/4, need/2)
}

// sortForMaintenance puts the machines first whose absence costs least: on
// standby, then empty, then by use; pools with many away come last.
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

// absenceCost is 0 for a machine on standby, and rises with its use, the use of
// its pool and the lasting tasks that have to move.
func absenceCost(s *Snapshot, m Machine) float64 {
	if s.Standby[m.Pool] {
		return 0
	}
	load, ok := s.vmLoad(m)
	if !ok || load.Capacity <= 0 {
		return 1
	}
	return 1 + float64(load.Used)/float64(load.Capacity) + 0.5*float64(load.Lasting) + 4*poolUse(s.Loads[m.Pool])
}

// poolUse is the share of a pool's processors that is used or asked for.
func poolUse(l pool.Load) float64 {
	var capacity, used int64
	for _, v := range l.VMs {
		capacity += v.Capacity
		used += v.Used
	}
	if capacity == 0 {
		return 1
	}
	return float64(used+l.Ready) / float64(capacity)
}
