package measure

import (
	"math"
	"time"

	"amaranthfork.example/policy/capacity"
	"amaranthfork.example/policy/forecast"
	"amaranthfork.example/policy/placement"
)

// policy is a named combination of mover, job order and maintenance planner.
type policy struct {
	name        string
	description string // for readers of the code; not printed
	newMover    func(s *Scenario, d *demand) mover
	newBacklog  func(sim *simulation) backlog
	planner     planner
	placement   placement.Settings
	pooled      bool // all VMs form one pool
}

// moveHorizon is the time from the decision on a move until its VM serves the new pool.
const moveHorizon = 2 * time.Second

// version holds the settings of one version of the capacity policy.
type version struct {
	name        string
	description string
	settings    func(s *Scenario) capacity.Settings
	forecast    forecast.Options
}

// versions lists the versions of the capacity policy, the newest last. Earlier
// versions keep their settings, so that a run compares them.
var versions = []version{
	{
		name: "v2", description: "VMs move from pool to pool, and back only after no pool has needed them for 30 s",
		settings: settingsV2,
		forecast: forecast.DefaultOptions(),
	},
	{
		name: "v3", description: "a fraction of each demand peak is served, a full fleet is divided by entitlement",
		settings: settingsV3,
		forecast: forecast.DefaultOptions(),
	},
	{
		name: "v4", description: "profiles with high idle and move weights serve a smaller fraction of each demand peak and keep fewer VMs ready",
		settings: func(s *Scenario) capacity.Settings { return capacity.SettingsFor(s.Profile) },
		forecast: forecast.DefaultOptions(),
	},
}

// settingsV2 returns the settings of the second version. The first version,
// which returned VMs pool by pool, is no longer supported.
func settingsV2(s *Scenario) capacity.Settings {
	p := s.Profile
	return capacity.Settings{
		StartUrgentWithin: 500 * time.Millisecond, StartStandardWithin: 3 * time.Second, StartBatchWithin: time.Minute,
		PeakReadyFraction: 0.5, ShareBlend: p.ShareWeight / (1 + p.ShareWeight),
		MoveCostSlotSeconds: 16 * p.MoveWeight, MaxMoveFraction: 0.2, MinStay: 8 * time.Second, SpareStay: time.Second,
		ReturnAfter: seconds(30 * p.MoveWeight / p.IdleWeight), DonorMargin: 1, OtherDonorCost: -1, RampUpTime: 20 * time.Second,
	}
}

// settingsV3 returns the settings of the third version.
func settingsV3(s *Scenario) capacity.Settings {
	p := s.Profile
	settings := settingsV2(s)
	costWeight := math.Sqrt(p.IdleWeight * p.MoveWeight)
	settings.HeadroomFraction = -0.1 - float64(0.125*(costWeight-1))
	settings.ReturnAfter = seconds(60 * math.Sqrt(p.MoveWeight) / p.IdleWeight)
	settings.ShareBlend = 1 - 1/(1+float64(p.ShareWeight*p.ShareWeight))
	settings.DonorMargin = 2
	return settings
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// packedPlacement fills VMs that are in use first, so that idle VMs can be moved.
var packedPlacement = placement.Settings{Packing: 1, RackSpread: 0.1, DataCentreSpread: 0.1}

// policies returns the baselines, the versions of the capacity policy and the
// policies that serve as bounds, in the order of the report.
func policies() []*policy {
	none := func(*Scenario, *demand) mover { return static{} }
	list := []*policy{
		{name: "static", description: "no moves, fair shares", newMover: none, newBacklog: newFairBacklog, placement: packedPlacement, planner: listOrder{}},
		{name: "reactive", description: "spare VMs lent above 90% utilisation and taken back below 50%, fair shares",
			newMover:   func(*Scenario, *demand) mover { return reactive{high: 0.9, low: 0.5} },
			newBacklog: newFairBacklog, placement: packedPlacement, planner: listOrder{}},
		{name: "fcfs", description: "no moves, first come first served", newMover: none, newBacklog: newArrivalBacklog, placement: packedPlacement, planner: listOrder{}},
	}
	for _, v := range versions {
		list = append(list, &policy{name: v.name, description: v.description, newBacklog: newFairBacklog, placement: packedPlacement, planner: policyPlanner{},
			newMover: func(s *Scenario, _ *demand) mover {
				return newForecastMover(s, v.settings(s), v.forecast, moveHorizon)
			}})
	}
	newest := versions[len(versions)-1]
	return append(list,
		&policy{name: "oracle", description: "newest version with the true demand of the next seconds instead of a forecast and without waits",
			newBacklog: newFairBacklog, placement: packedPlacement, planner: policyPlanner{},
			newMover: func(s *Scenario, d *demand) mover { return newOracleMover(s, d, newest.settings(s), moveHorizon) }},
		&policy{name: "pooled", description: "bound: every VM serves every pool, moves are free and take no time",
			newBacklog: newFairBacklog, placement: packedPlacement, planner: listOrder{}, newMover: none, pooled: true},
	)
}

// asOnePool returns the scenario with all VMs in one pool, for the policy
// "pooled".
func asOnePool(s *Scenario) *Scenario {
	one := *s
	all := s.Pools[0]
	all.VMs, all.MaxUnavailable = nil, 0
	for _, p := range s.Pools {
		all.VMs = append(all.VMs, p.VMs...)
		all.MaxUnavailable += p.MaxUnavailable
	}
	spare := s.Pools[len(s.Pools)-1]
	spare.VMs = nil
	one.Pools = append(one.Pools[:0:0], all, spare)
	one.homePool = make([]int, len(s.VMs))
	one.queues = append([]queue(nil), s.queues...)
	for i := range one.queues {
		one.queues[i].pool = 0
	}
	return &one
}
