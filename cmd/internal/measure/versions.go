package measure

import (
	"math"
	"time"

	"amaranthfork.example/policy/capacity"
	"amaranthfork.example/policy/forecast"
	"amaranthfork.example/policy/placement"
)

// policy is a named combination of mover, order and maintenance planner.
type policy struct {
	name      string
	about     string
	mover     func(s *Scenario, d *demand) mover
	backlog   func(w *world) backlog
	planner   planner
	placement placement.Settings
	pooled    bool // all VMs form one pool
}

// horizon is the time that a decided move takes until its VM serves.
const horizon = 2 * time.Second

// version is the settings of one version of the own policy.
type version struct {
	name     string
	about    string
	settings func(s *Scenario) capacity.Settings
	forecast forecast.Options
}

// versions lists the versions of the own policy, the newest last. Earlier
// versions keep their settings so that a run compares them.
var versions = []version{
	{
		name: "v2", about: "VMs go from pool to pool, and back only when no pool needed them for 30 s",
		settings: settingsV2,
		forecast: forecast.DefaultOptions(),
	},
	{
		name: "v3", about: "bursts are served in part, a full fleet is divided by entitlement",
		settings: settingsV3,
		forecast: forecast.DefaultOptions(),
	},
	{
		name: "v4", about: "thrifty profiles serve a smaller part of the whole burst and keep fewer VMs ready",
		settings: func(s *Scenario) capacity.Settings { return capacity.SettingsFor(s.Profile) },
		forecast: forecast.DefaultOptions(),
	},
}

// settingsV2 are the settings of the second version. The first, which returned
// VMs pool by pool, is no longer supported.
func settingsV2(s *Scenario) capacity.Settings {
	p := s.Profile
	return capacity.Settings{
		ClearUrgent: 500 * time.Millisecond, ClearStandard: 3 * time.Second, ClearBatch: time.Minute,
		Ready: 0.5, ShareBlend: p.ShareWeight / (1 + p.ShareWeight),
		MoveCost: 16 * p.MoveWeight, MaxMoves: 0.2, MinStay: 8 * time.Second, SpareStay: time.Second,
		ParkAfter: seconds(30 * p.MoveWeight / p.IdleWeight), GiveMargin: 1, SpareFirst: -1, Ramp: 20 * time.Second,
	}
}

// settingsV3 are the settings of the third version.
func settingsV3(s *Scenario) capacity.Settings {
	p := s.Profile
	set := settingsV2(s)
	thrift := math.Sqrt(p.IdleWeight * p.MoveWeight)
	set.Headroom = -0.1 - 0.125*(thrift-1)
	set.ParkAfter = seconds(60 * math.Sqrt(p.MoveWeight) / p.IdleWeight)
	set.ShareBlend = 1 - 1/(1+p.ShareWeight*p.ShareWeight)
	set.GiveMargin = 2
	return set
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// packed fills VMs that are in use first, so that idle VMs can be moved.
var packed = placement.Settings{Packing: 1, RackSpread: 0.1, DataCentreSpread: 0.1}

// policies returns the baselines, the versions and the bounds in the order of
// the report.
func policies() []*policy {
	none := func(*Scenario, *demand) mover { return static{} }
	list := []*policy{
		{name: "static", about: "no moves, fair shares", mover: none, backlog: newFair, placement: packed, planner: listOrder{}},
		{name: "reactive", about: "spare VMs lent above 90% use and taken back below 50%, fair shares",
			mover:   func(*Scenario, *demand) mover { return reactive{high: 0.9, low: 0.5} },
			backlog: newFair, placement: packed, planner: listOrder{}},
		{name: "fcfs", about: "no moves, first come first served", mover: none, backlog: newArrival, placement: packed, planner: listOrder{}},
	}
	for _, v := range versions {
		list = append(list, &policy{name: v.name, about: v.about, backlog: newFair, placement: packed, planner: library{},
			mover: func(s *Scenario, _ *demand) mover {
				return newOwn(s, v.settings(s), v.forecast, horizon)
			}})
	}
	newest := versions[len(versions)-1]
	return append(list,
		&policy{name: "oracle", about: "newest version with the true demand of the next seconds instead of a forecast and without waits",
			backlog: newFair, placement: packed, planner: library{},
			mover: func(s *Scenario, d *demand) mover { return newOracle(s, d, newest.settings(s), horizon) }},
		&policy{name: "pooled", about: "bound: every VM serves every pool, moves are free and take no time",
			backlog: newFair, placement: packed, planner: listOrder{}, mover: none, pooled: true},
	)
}

// asOnePool returns the scenario with all VMs in one pool, the relaxation
// behind the pooled bound.
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
	one.home = make([]int, len(s.VMs))
	one.queues = append([]queue(nil), s.queues...)
	for i := range one.queues {
		one.queues[i].pool = 0
	}
	return &one
}
