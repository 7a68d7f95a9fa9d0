package capacity

import (
	"math"
	"time"

	"amaranthfork.example/fleet"
)

// want is the demand of one team and class in one pool, in slots.
type want struct {
	work  Work
	slots float64
}

// computeNeeds sets the need and floor of each pool.
func (b *books) computeNeeds() {
	wants := b.wants()
	capWithLimits(wants, b.s.Teams)
	b.divideFullFleet(wants)
	for _, w := range wants {
		if p := b.pools[w.work.Pool]; p != nil {
			p.wanted += w.slots
			p.busy += w.work.Running
			if w.work.Class == fleet.ClassUrgent {
				p.urgentQueued += w.work.Queued
			}
		}
	}
	for _, o := range b.s.Outlooks {
		if p := b.pools[o.Pool]; p != nil {
			p.outlook = o
		}
	}
	for _, p := range b.order {
		b.sizePool(p)
	}
}

// wants estimates the demand behind each row of work: what runs or keeps
// arriving, and what it takes to start the queued work in time.
func (b *books) wants() []want {
	wants := make([]want, 0, len(b.s.Work))
	for _, w := range b.s.Work {
		run := w.RunTime.Seconds()
		steady := max(float64(w.Running), b.set.offered(w))
		backlog := float64(w.Queued) * min(1, run/b.set.clearWithin(w.Class).Seconds())
		wants = append(wants, want{work: w, slots: steady + backlog})
	}
	return wants
}

// offered returns the slots that the arrivals of a row take if none waits.
func (s Settings) offered(w Work) float64 {
	slots := w.Arrivals * w.RunTime.Seconds()
	if w.Class == fleet.ClassBatch {
		return slots * s.BatchSteady
	}
	return slots
}

// OfferedSlots returns the slots that the arrivals in each pool take if none
// waits. It is the figure to feed to a forecast of Outlook.Slots and Peak.
func OfferedSlots(work []Work, set Settings) map[fleet.PoolName]float64 {
	offered := make(map[fleet.PoolName]float64)
	for _, w := range work {
		offered[w.Pool] += set.offered(w)
	}
	return offered
}

func (s Settings) clearWithin(c fleet.Class) time.Duration {
	switch c {
	case fleet.ClassUrgent:
		return s.ClearUrgent
	case fleet.ClassStandard:
		return s.ClearStandard
	default:
		return s.ClearBatch
	}
}

// capWithLimits reduces the wants of teams that ask for more than their limit
// lets them run: VMs cannot help them.
func capWithLimits(wants []want, teams []fleet.Team) {
	totals := teamTotals(wants)
	for _, t := range teams {
		total := totals[t.Name]
		if t.Limit <= 0 || total <= float64(t.Limit) {
			continue
		}
		scaleTeam(wants, t.Name, float64(t.Limit)/total)
	}
}

func teamTotals(wants []want) map[fleet.TeamName]float64 {
	totals := make(map[fleet.TeamName]float64)
	for _, w := range wants {
		totals[w.work.Team] += w.slots
	}
	return totals
}

func scaleTeam(wants []want, team fleet.TeamName, f float64) {
	for i := range wants {
		if wants[i].work.Team == team {
			wants[i].slots *= f
		}
	}
}

// divideFullFleet replaces the wants when everything that runs or waits exceeds
// the fleet: each team's entitlement is spread over its pools by demand, and
// blended with what plain demand would give it.
func (b *books) divideFullFleet(wants []want) {
	demand := make(map[fleet.TeamName]float64)
	for _, w := range wants {
		demand[w.work.Team] += asked(w.work)
	}
	limited, sum := limitedDemand(b.s.Teams, demand)
	if sum <= b.fleetSlots || sum == 0 {
		return
	}
	b.full = true
	entitled := Entitlements(b.s.Teams, limited, b.fleetSlots)
	plain := b.fleetSlots / sum
	for i, w := range wants {
		team := w.work.Team
		if demand[team] == 0 {
			continue
		}
		part := asked(w.work) / demand[team]
		share := b.set.ShareBlend*entitled[team] + (1-b.set.ShareBlend)*limited[team]*plain
		wants[i].slots = part * share
	}
}

func asked(w Work) float64 { return float64(w.Running + w.Queued) }

// limitedDemand caps the demand of each team at its limit and returns the sum.
func limitedDemand(teams []fleet.Team, demand map[fleet.TeamName]float64) (map[fleet.TeamName]float64, float64) {
	limited := make(map[fleet.TeamName]float64, len(teams))
	sum := 0.0
	for _, t := range teams {
		d := demand[t.Name]
		if t.Limit > 0 {
			d = min(d, float64(t.Limit))
		}
		limited[t.Name] = d
		sum += d
	}
	return limited, sum
}

// Entitlements divides slots among teams by share. What a team does not demand
// goes to the others by their shares. Demands and results are in slots.
func Entitlements(teams []fleet.Team, demand map[fleet.TeamName]float64, slots float64) map[fleet.TeamName]float64 {
	got := make(map[fleet.TeamName]float64, len(teams))
	open := make([]fleet.Team, 0, len(teams))
	for _, t := range teams {
		if demand[t.Name] > 0 && t.Share > 0 {
			open = append(open, t)
		}
	}
	for len(open) > 0 && slots > 1e-9 {
		var rest []fleet.Team
		shares, given := 0, 0.0
		for _, t := range open {
			shares += t.Share
		}
		for _, t := range open {
			offer := slots * float64(t.Share) / float64(shares)
			missing := demand[t.Name] - got[t.Name]
			take := min(offer, missing)
			got[t.Name] += take
			given += take
			if missing > offer+1e-9 {
				rest = append(rest, t)
			}
		}
		slots -= given
		if len(rest) == len(open) {
			break
		}
		open = rest
	}
	return got
}

// sizePool turns the demand of a pool into VMs. The floor is what its running
// work, as far as it is entitled to it, and its availability budget take.
func (b *books) sizePool(p *poolBook) {
	if p.Spare {
		p.need, p.keep, p.floor = 0, 0, b.set.SpareReserve
		return
	}
	wanted := p.wanted
	if !b.full {
		wanted = max(wanted, p.outlook.Slots) * (1 + b.set.Headroom)
	}
	p.need = vmsFor(wanted, p.slotsPerVM)
	ready := vmsFor(p.outlook.Peak*b.set.Ready, p.slotsPerVM)
	p.keep = max(p.need, min(ready, p.Home))
	p.floor = min(p.need, vmsFor(float64(p.busy), p.slotsPerVM)) + p.MaxUnavailable
}

func vmsFor(slots, perVM float64) int {
	return int(math.Ceil(slots/perVM - 1e-9))
}
