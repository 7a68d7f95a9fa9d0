// Package measure drives the policy libraries over a list of VMs with a fake
// clock and measures what a fleet's operators care for. It models slots, run
// times and moves in fixed ticks; it has no network and no processes.
package measure

import (
	"fmt"
	"time"

	"amaranthfork.example/fleet"
)

// tick is the step of the fake clock.
const tick = 100 * time.Millisecond

// epoch is the time of tick 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ticks(d time.Duration) int   { return int(d / tick) }
func timeOf(t int) time.Time      { return epoch.Add(time.Duration(t) * tick) }
func durOf(t int) time.Duration   { return time.Duration(t) * tick }
func secondsOf(t float64) float64 { return t * tick.Seconds() }

// part is a team's part of the demand on a queue.
type part struct {
	team   int
	weight float64
}

// queue is a queue of one pool with its demand.
type queue struct {
	pool  int
	mean  float64 // slots in demand on average
	parts []part
	group int // queues of a group burst in turn
}

// window is a span of ticks, the end excluded.
type window struct{ from, to int }

func (w window) has(t int) bool { return t >= w.from && t < w.to }

// Scenario is a fleet with its demand and the events of one run.
type Scenario struct {
	Name        string
	Profile     fleet.Profile
	VMs         []fleet.VM
	Pools       []fleet.Pool
	DataCentres []fleet.DataCentreName
	Teams       []fleet.Team
	Maintenance fleet.MaintenancePlan

	home        []int // pool of each VM at the start
	queues      []queue
	length      int           // ticks
	decideEvery int           // ticks between decisions
	transfer    int           // ticks to assign a drained VM to its new pool
	outDC       int           // data centre that is taken out
	out         window        // while it is out
	wave        int           // tick at which the maintenance wave begins
	flood       window        // while all queues ask for more than the fleet has
	failures    int           // VM failures in a run
	ramp        time.Duration // gradual return of a data centre
}

// users are the profiles and worker sizes of the two users.
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
	s := &Scenario{Name: user + "/" + size, Profile: u.profile, ramp: 20 * time.Second}
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

func (s *Scenario) today(capacity fleet.Resources) {
	s.layOut([]int{8, 9, 11, 12, 8}, 4, capacity)
	s.addTeams([]int{300, 250, 150, 120, 100, 80})
	s.queues = []queue{
		{pool: 0, parts: []part{{0, .6}, {3, .4}}},
		{pool: 1, parts: []part{{1, .6}, {4, .4}}},
		{pool: 2, parts: []part{{2, .5}, {0, .3}, {5, .2}}},
		{pool: 3, parts: []part{{1, .4}, {2, .3}, {5, .3}}},
	}
	s.setMeans()
	s.length = ticks(12 * time.Minute)
	s.decideEvery = ticks(500 * time.Millisecond)
	s.transfer = ticks(time.Second)
	s.wave = ticks(time.Minute)
	s.outDC, s.out = 1, window{ticks(5 * time.Minute), ticks(390 * time.Second)}
	s.flood = window{ticks(9 * time.Minute), ticks(630 * time.Second)}
	s.failures = 2
	s.Maintenance = fleet.MaintenancePlan{
		DrainTimeout: 5 * time.Second, RebootTimeout: 10 * time.Second,
		MaxPerRack: 1, MaxPerDataCentre: 2, AvoidDataCentresOut: true,
	}
}

// brief puts the events of a run into two minutes.
func (s *Scenario) brief() {
	s.length = ticks(2 * time.Minute)
	s.wave = ticks(5 * time.Second)
	s.out = window{ticks(40 * time.Second), ticks(55 * time.Second)}
	s.flood = window{ticks(80 * time.Second), ticks(110 * time.Second)}
}

// target is the fleet of two years from now. Its run is shorter and its wave
// covers only a part of the VMs, as many as would be due at once.
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
	s.layOut(sizes, 20, capacity)
	shares := make([]int, 98)
	for i := range shares {
		shares[i] = 6
		if i < 8 {
			shares[i] = 50
		}
	}
	s.addTeams(shares)
	for p := range 24 {
		parts := []part{{p % 8, .5}, {8 + p*3, .2}, {9 + p*3, .2}, {10 + p*3, .1}}
		s.queues = append(s.queues, queue{pool: p, parts: parts, group: p / 5})
	}
	s.setMeans()
	s.length = ticks(4 * time.Minute)
	s.decideEvery = ticks(500 * time.Millisecond)
	s.transfer = ticks(time.Second)
	s.wave = ticks(30 * time.Second)
	s.outDC, s.out = 3, window{ticks(80 * time.Second), ticks(110 * time.Second)}
	s.flood = window{ticks(180 * time.Second), ticks(220 * time.Second)}
	s.failures = 13
	s.Maintenance = fleet.MaintenancePlan{
		DrainTimeout: 5 * time.Second, RebootTimeout: 10 * time.Second,
		MaxPerRack: 1, MaxPerDataCentre: 6, AvoidDataCentresOut: true,
	}
}

// layOut creates the VMs, four to a rack, and spreads each pool over the data
// centres. The last pool is the spare.
func (s *Scenario) layOut(sizes []int, dcs int, capacity fleet.Resources) {
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
			s.home = append(s.home, p)
			pool.VMs = append(pool.VMs, vm.ID)
			n++
		}
		s.Pools = append(s.Pools, pool)
	}
}

// addTeams gives each team a limit above its share.
func (s *Scenario) addTeams(shares []int) {
	slots := 8 * len(s.VMs)
	for i, share := range shares {
		s.Teams = append(s.Teams, fleet.Team{
			Name:  fleet.TeamName(fmt.Sprintf("team%02d", i)),
			Share: share,
			Limit: slots*share/1000*3/2 + slots/20,
		})
	}
}

// setMeans makes bursts of 5 times the mean exceed the queue's pool.
func (s *Scenario) setMeans() {
	const meanOfPool = 0.34 // 5 times this is 1.7 times the pool
	for i := range s.queues {
		pool := s.Pools[s.queues[i].pool]
		s.queues[i].mean = meanOfPool * 8 * float64(len(pool.VMs))
	}
}
