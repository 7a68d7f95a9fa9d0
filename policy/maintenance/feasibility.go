package maintenance

import (
	"math"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// PoolFeasibility compares the VMs of one pool with those that can be maintained in
// a period.
type PoolFeasibility struct {
	Pool     fleet.PoolName
	VMs      int  // VMs of the pool
	Limit    int  // VMs that may be in maintenance at a time, after the reserve for the loss of a failure domain
	Capacity int  // VMs that can be maintained in the usable part of the period
	Feasible bool // Capacity is enough for all VMs of the pool
}

// Feasibility says whether all VMs can be maintained within the period.
type Feasibility struct {
	VMs              int               // VMs of all pools
	PerDay           float64           // VMs to maintain per day
	TimePerDay       time.Duration     // time out of service per day, added over the VMs
	Mean             float64           // mean number of VMs in maintenance
	MaxInMaintenance int               // sum of PoolFeasibility.Limit
	Feasible         bool              // all pools are feasible
	Pools            []PoolFeasibility // ordered by name
}

// Feasible computes whether every VM can be maintained within the period, if the
// maintenance of a VM takes s.Duration and happens between the ages at which the VM
// is due and at which it is late. It does not take failures, pauses and data
// centres that are out into account.
func Feasible(s Snapshot) Feasibility {
	s = withDefaults(s)
	f := Feasibility{VMs: len(s.VMs), Feasible: s.Plan.Period > 0}
	if !f.Feasible {
		return f
	}
	days := s.Plan.Period.Hours() / 24
	f.PerDay = float64(f.VMs) / days
	f.TimePerDay = time.Duration(f.PerDay * float64(s.Duration))
	f.Mean = float64(f.VMs) * float64(s.Duration) / float64(s.Plan.Period)
	usable := (lateAge - dueAge) * float64(s.Plan.Period) / float64(s.Duration)
	p, sizes := newPlanner(s, time.Time{}), map[fleet.PoolName]int{}
	for i := range s.VMs {
		sizes[s.VMs[i].Pool]++
	}
	for i := range p.vms {
		v := &p.vms[i]
		n := sizes[v.Pool]
		if n == 0 {
			continue // counted with an earlier VM of the pool
		}
		delete(sizes, v.Pool)
		use := p.pools[v.pool]
		limit := limitWithReserve(use.MaxUnavailable, use.largestDomains, dueAge)
		capacity := int(math.Floor(float64(limit) * usable))
		f.Pools = append(f.Pools, PoolFeasibility{v.Pool, n, limit, capacity, capacity >= n})
		f.MaxInMaintenance += limit
		f.Feasible = f.Feasible && capacity >= n
	}
	sort.Slice(f.Pools, func(i, j int) bool { return f.Pools[i].Pool < f.Pools[j].Pool })
	return f
}

// ProjectedEnd returns when the maintenance of the VMs that are due now will have
// ended at the present rate. It returns the zero time while no drain may start.
func ProjectedEnd(s Snapshot, r Report, now time.Time) time.Time {
	if r.Hold != "" {
		return time.Time{}
	}
	rounds := math.Ceil(float64(r.Remaining+r.Starting+r.InProgress) / float64(max(r.AllowedInProgress, 1)))
	return now.Add(time.Duration(rounds) * withDefaults(s).Duration)
}
