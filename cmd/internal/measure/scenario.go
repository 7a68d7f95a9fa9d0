// Package measure simulates a fleet that is scheduled by the policy packages,
// and measures idle VMs, moves, start delays, shares and violations of limits.
// It models slots, run times and moves in fixed ticks of a simulated clock, and
// uses neither the network nor processes.
package measure

import (
	"fmt"
	"time"

	"amaranthfork.example/fleet"
)

// tick is the step of the simulated clock.
const tick = 100 * time.Millisecond

// startTime is the time of tick 0.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ticks(d time.Duration) int      { return int(d / tick) }
func timeAt(t int) time.Time         { return startTime.Add(time.Duration(t) * tick) }
func durationOf(t int) time.Duration { return time.Duration(t) * tick }
func secondsIn(t float64) float64    { return t * tick.Seconds() }

// teamFraction is the fraction of a queue's demand that comes from a team.
type teamFraction struct {
	team     int
	fraction float64
}

// queue is a queue of one pool with its demand.
type queue struct {
	pool      int
	meanSlots float64 // mean demand in slots
	teams     []teamFraction
	group     int // queues of a group have their demand peaks in turn
}

// window is the span of ticks from fromTick up to, but not including, toTick.
type window struct{ fromTick, toTick int }

func (w window) contains(t int) bool { return t >= w.fromTick && t < w.toTick }

// Scenario is a fleet with its demand and the events of one run.
type Scenario struct {
	Name        string
	Profile     fleet.Profile
	VMs         []fleet.VM
	Pools       []fleet.Pool
	DataCentres []fleet.DataCentreName
	Teams       []fleet.Team
	Maintenance fleet.MaintenancePlan

	homePool    []int // pool of each VM at the start
	queues      []queue
	lengthTicks int
	decideTicks int           // ticks between decisions
	assignTicks int           // ticks to assign a drained VM to its new pool
	outDC       int           // data centre that is taken out
	outWindow   window        // while it is out
	waveTick    int           // tick at which the maintenance wave begins
	overload    window        // while the demand of all queues exceeds the fleet
	vmFailures  int           // number of VM failures in a run
	rampUp      time.Duration // time over which a returned data centre regains all its slots
}

// users are the profiles and VM capacities of the two users.
var users = map[string]struct {
	profile  fleet.Profile
	capacity fleet.Resources
}{
	"lantern": {fleet.Profile{IdleWeight: 1, MoveWeight: 1, ShareWeight: 3}, fleet.Resources{MilliCPU: 16_000, MemoryMB: 64 << 10}},
	"sabz":    {fleet.Profile{IdleWeight: 3, MoveWeight: 3, ShareWeight: 1}, fleet.Resources{MilliCPU: 64_000, MemoryMB: 128 << 10}},
}

// Users lists the names of the users.
func Users() []string { return []string{"lantern", "sabz"} }

// NewScenario returns the scenario of a user ("lantern" or "sabz") at a size
// ("today", "brief" for today's fleet in two minutes, or "target").
func NewScenario(user, size string) (*Scenario, error) {
	u, ok := users[user]
	if !ok {
		return nil, fmt.Errorf("user %q is not one of %v", user, Users())
	}
	s := &Scenario{Name: user + "/" + size, Profile: u.profile, rampUp: 20 * time.Second}
	switch size {
	case "today":
		s.today(u.capacity)
	case "brief":
		s.today(u.capacity)
		s.brief()
	case "target":
		s.target(u.capacity)
	default:
		return nil, fmt.Errorf("size %q is none of today, brief and target", size)
	}
	return s, nil
}

// today is the size of a user's present fleet: 48 VMs in four data centres.
func (s *Scenario) today(capacity fleet.Resources) {
	s.addVMs([]int{8, 9, 11, 12, 8}, 4, capacity)
	s.addTeams([]int{300, 250, 150, 120, 100, 80})
	s.queues = []queue{
		{pool: 0, teams: []teamFraction{{0, .6}, {3, .4}}},
		{pool: 1, teams: []teamFraction{{1, .6}, {4, .4}}},
		{pool: 2, teams: []teamFraction{{2, .5}, {0, .3}, {5, .2}}},
		{pool: 3, teams: []teamFraction{{1, .4}, {2, .3}, {5, .3}}},
	}
	s.setMeanDemand()
	s.lengthTicks = ticks(12 * time.Minute)
	s.decideTicks = ticks(500 * time.Millisecond)
	s.assignTicks = ticks(time.Second)
	s.waveTick = ticks(time.Minute)
	s.outDC, s.outWindow = 1, window{ticks(5 * time.Minute), ticks(390 * time.Second)}
	s.overload = window{ticks(9 * time.Minute), ticks(630 * time.Second)}
	s.vmFailures = 2
	s.Maintenance = fleet.MaintenancePlan{
		DrainTimeout: 5 * time.Second, RebootTimeout: 10 * time.Second,
		MaxPerRack: 1, MaxPerDataCentre: 2, AvoidDataCentresOut: true,
	}
}

// brief shortens the run to two minutes, with all its events.
func (s *Scenario) brief() {
	s.lengthTicks = ticks(2 * time.Minute)
	s.waveTick = ticks(5 * time.Second)
	s.outWindow = window{ticks(40 * time.Second), ticks(55 * time.Second)}
	s.overload = window{ticks(80 * time.Second), ticks(110 * time.Second)}
}

// target is the size of fleet that is expected in two years. Its run is shorter
// than today's, and its maintenance wave covers only one VM in ten, as many as
// are due at the same time.
func (s *Scenario) target(capacity fleet.Resources) {
	sizes := make([]int, 25)
	for i := range sizes {
		sizes[i] = 80 + (i*7)%25
	}
	sizes[24] = 0
	for _, n := range sizes[:24] {
		sizes[24] += n
	}
	sizes[24] = 2300 - sizes[24]
	s.addVMs(sizes, 20, capacity)
	shares := make([]int, 98)
	for i := range shares {
		shares[i] = 6
		if i < 8 {
			shares[i] = 50
		}
	}
	s.addTeams(shares)
	for p := range 24 {
		teams := []teamFraction{{p % 8, .5}, {8 + p*3, .2}, {9 + p*3, .2}, {10 + p*3, .1}}
		s.queues = append(s.queues, queue{pool: p, teams: teams, group: p / 5})
	}
	s.setMeanDemand()
	s.lengthTicks = ticks(4 * time.Minute)
	s.decideTicks = ticks(500 * time.Millisecond)
	s.assignTicks = ticks(time.Second)
	s.waveTick = ticks(30 * time.Second)
	s.outDC, s.outWindow = 3, window{ticks(80 * time.Second), ticks(110 * time.Second)}
	s.overload = window{ticks(180 * time.Second), ticks(220 * time.Second)}
	s.vmFailures = 13
	s.Maintenance = fleet.MaintenancePlan{
		DrainTimeout: 5 * time.Second, RebootTimeout: 10 * time.Second,
		MaxPerRack: 1, MaxPerDataCentre: 6, AvoidDataCentresOut: true,
	}
}

// addVMs creates the VMs, four to a rack, and spreads each pool over the data
// centres. The last pool is the spare.
func (s *Scenario) addVMs(sizes []int, dcs int, capacity fleet.Resources) {
	for d := range dcs {
		s.DataCentres = append(s.DataCentres, fleet.DataCentreName(fmt.Sprintf("dc%02d", d)))
	}
	n := 0
	for p, size := range sizes {
		pool := fleet.Pool{
			Name:           fleet.PoolName(fmt.Sprintf("pool%02d", p)),
			Spare:          p == len(sizes)-1,
			MaxUnavailable: max(1, size/10),
		}
		for range size {
			dc, inDC := n%dcs, n/dcs
			vm := fleet.VM{
				ID:         fleet.VMID(fmt.Sprintf("vm%04d", n)),
				DataCentre: s.DataCentres[dc],
				Rack:       fleet.RackName(fmt.Sprintf("dc%02d-r%03d", dc, inDC/4)),
				Capacity:   capacity, Slots: 8, Connections: 64, State: fleet.VMLive,
			}
			s.VMs = append(s.VMs, vm)
			s.homePool = append(s.homePool, p)
			pool.VMs = append(pool.VMs, vm.ID)
			n++
		}
		s.Pools = append(s.Pools, pool)
	}
}

// addTeams adds teams with the given shares, in thousandths, and limits above
// these shares.
func (s *Scenario) addTeams(shares []int) {
	slots := 8 * len(s.VMs)
	for i, share := range shares {
		s.Teams = append(s.Teams, fleet.Team{
			Name:             fleet.TeamName(fmt.Sprintf("team%02d", i)),
			ShareThousandths: share,
			Limit:            slots*share/1000*3/2 + slots/20,
		})
	}
}

// setMeanDemand sets the mean demand of each queue so that its peaks exceed the
// queue's pool.
func (s *Scenario) setMeanDemand() {
	const meanFraction = 0.34 // of the pool's slots; peakFactor times this is 1.7 times the pool
	for i := range s.queues {
		pool := s.Pools[s.queues[i].pool]
		s.queues[i].meanSlots = meanFraction * 8 * float64(len(pool.VMs))
	}
}
