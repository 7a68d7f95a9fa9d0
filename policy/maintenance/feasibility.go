package maintenance

import (
	"math"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// PoolFeasibility is the arithmetic for one pool.
type PoolFeasibility struct {
	Pool     fleet.PoolName
	VMs      int
	Limit    int // VMs that maintenance may take at a time, with the reserve
	Capacity int // VMs that it can maintain in the usable part of the period
	Feasible bool
}

// Feasibility is the arithmetic of a period.
type Feasibility struct {
	VMs        int
	PerDay     float64       // VMs to maintain a day
	TimePerDay time.Duration // VM time out of service a day
	Mean       float64       // VMs in maintenance at a time, on average
	AtOnce     int           // VMs that all pools together may have in maintenance
	Feasible   bool
	Pools      []PoolFeasibility // ordered by name
}

// Feasible computes whether every VM can be maintained within the period when
// work on a VM takes s.Duration and the usable part of the period is the time
// between a VM being due and being late. Failures, pauses and data centres that
// are out are not part of it.
func Feasible(s Snapshot) Feasibility {
	s = defaults(s)
	f := Feasibility{VMs: len(s.VMs), Feasible: s.Plan.Period > 0}
	if !f.Feasible {
		return f
	}
	days := s.Plan.Period.Hours() / 24
	f.PerDay = float64(f.VMs) / days
	f.TimePerDay = time.Duration(f.PerDay * float64(s.Duration))
	f.Mean = float64(f.VMs) * float64(s.Duration) / float64(s.Plan.Period)
	usable := (lateShare - dueShare) * float64(s.Plan.Period) / float64(s.Duration)
	p, sizes := newPlanner(s, time.Time{}), map[fleet.PoolName]int{}
	for i := range s.VMs {
		sizes[s.VMs[i].Pool]++
	}
	for i := range p.items {
		v := &p.items[i]
		n := sizes[v.Pool]
		if n == 0 {
			continue // counted with an earlier VM of the pool
		}
		delete(sizes, v.Pool)
		use := p.pools[v.pool]
		limit := reserved(use.MaxUnavailable, use.share, dueShare)
		capacity := int(math.Floor(float64(limit) * usable))
		f.Pools = append(f.Pools, PoolFeasibility{v.Pool, n, limit, capacity, capacity >= n})
		f.AtOnce += limit
		f.Feasible = f.Feasible && capacity >= n
	}
	sort.Slice(f.Pools, func(i, j int) bool { return f.Pools[i].Pool < f.Pools[j].Pool })
	return f
}

// ProjectedEnd returns when the VMs that are due now will be done at the present
// rate, zero while nothing may start.
func ProjectedEnd(s Snapshot, r Report, now time.Time) time.Time {
	if r.Hold != "" {
		return time.Time{}
	}
	rounds := math.Ceil(float64(r.Remaining+r.Starting+r.InProgress) / float64(max(r.Allowed, 1)))
	return now.Add(time.Duration(rounds) * defaults(s).Duration)
}
