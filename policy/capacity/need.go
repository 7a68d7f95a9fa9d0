package capacity

import (
	"math"
	"time"

	"amaranthfork.example/fleet"
)

// workDemand is the estimated demand of one row of work.
type workDemand struct {
	work  Work
	slots float64
}

// computeNeeds sets the need, keep and floor of each pool.
func (b *decisionBuilder) computeNeeds() {
	demands := b.estimateDemands()
	capAtTeamLimits(demands, b.snapshot.Teams)
	b.divideFullFleet(demands)
	for _, w := range demands {
		if p := b.pools[w.work.Pool]; p != nil {
			p.demandSlots += w.slots
			p.running += w.work.Running
			if w.work.Class == fleet.ClassUrgent {
				p.urgentQueued += w.work.Queued
			}
		}
	}
	for _, o := range b.snapshot.Outlooks {
		if p := b.pools[o.Pool]; p != nil {
			p.outlook = o
		}
	}
	for _, p := range b.order {
		b.sizePool(p)
	}
}

// estimateDemands estimates the demand of each row of work in slots: the larger of
// what runs and what keeps arriving, plus what it takes to start the queued work
// within the time in the settings.
func (b *decisionBuilder) estimateDemands() []workDemand {
	demands := make([]workDemand, 0, len(b.snapshot.Work))
	for _, w := range b.snapshot.Work {
		run := w.RunTime.Seconds()
		steady := max(float64(w.Running), b.settings.offered(w))
		backlog := float64(float64(w.Queued) * min(1, run/b.settings.startWithin(w.Class).Seconds()))
		demands = append(demands, workDemand{work: w, slots: steady + backlog})
	}
	return demands
}

// offered returns the offered load of a row of work: the slots that its arrivals
// take if no task has to wait. Of batch work, only BatchArrivalFraction
// counts.
func (s Settings) offered(w Work) float64 {
	slots := w.ArrivalsPerSecond * w.RunTime.Seconds()
	if w.Class == fleet.ClassBatch {
		return slots * s.BatchArrivalFraction
	}
	return slots
}

// OfferedSlots returns the offered load of each pool: the slots that its arrivals
// take if no task has to wait. Outlook.ExpectedSlots and Outlook.PeakSlots are
// forecasts of it.
func OfferedSlots(work []Work, set Settings) map[fleet.PoolName]float64 {
	offered := make(map[fleet.PoolName]float64)
	for _, w := range work {
		offered[w.Pool] += set.offered(w)
	}
	return offered
}

// startWithin returns the time within which queued work of the class is to start.
func (s Settings) startWithin(c fleet.Class) time.Duration {
	switch c {
	case fleet.ClassUrgent:
		return s.StartUrgentWithin
	case fleet.ClassStandard:
		return s.StartStandardWithin
	default:
		return s.StartBatchWithin
	}
}

// capAtTeamLimits reduces the demands of teams that exceed their limit, in
// proportion. More VMs would not let these teams run more tasks.
func capAtTeamLimits(demands []workDemand, teams []fleet.Team) {
	totals := teamTotals(demands)
	for _, t := range teams {
		total := totals[t.Name]
		if t.Limit <= 0 || total <= float64(t.Limit) {
			continue
		}
		scaleTeam(demands, t.Name, float64(t.Limit)/total)
	}
}

func teamTotals(demands []workDemand) map[fleet.TeamName]float64 {
	totals := make(map[fleet.TeamName]float64)
	for _, w := range demands {
		totals[w.work.Team] += w.slots
	}
	return totals
}

// scaleTeam multiplies all demands of a team by factor.
func scaleTeam(demands []workDemand, team fleet.TeamName, factor float64) {
	for i := range demands {
		if demands[i].work.Team == team {
			demands[i].slots *= factor
		}
	}
}

// divideFullFleet replaces the demands if the running and queued tasks, within the
// limits of the teams, exceed the slots of the fleet. Each team then gets a blend,
// by Settings.ShareBlend, of its entitlement by share and of what a division in
// proportion to demand would give it, spread over its rows of work in proportion
// to their tasks.
func (b *decisionBuilder) divideFullFleet(demands []workDemand) {
	byTeam := make(map[fleet.TeamName]float64)
	for _, w := range demands {
		byTeam[w.work.Team] += runningAndQueued(w.work)
	}
	limited, sum := limitedDemand(b.snapshot.Teams, byTeam)
	if sum <= b.fleetSlots || sum == 0 {
		return
	}
	b.fleetFull = true
	entitled := Entitlements(b.snapshot.Teams, limited, b.fleetSlots)
	servedFraction := b.fleetSlots / sum
	for i, w := range demands {
		team := w.work.Team
		if byTeam[team] == 0 {
			continue
		}
		fraction := runningAndQueued(w.work) / byTeam[team]
		share := float64(b.settings.ShareBlend*entitled[team]) + float64((1-b.settings.ShareBlend)*limited[team]*servedFraction)
		demands[i].slots = fraction * share
	}
}

func runningAndQueued(w Work) float64 { return float64(w.Running + w.Queued) }

// limitedDemand returns the demand of each team, capped at its limit, and the sum.
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

// Entitlements divides slots among the teams by their shares. What a team does not
// demand goes to the others, again by their shares. Demands and results are in
// slots.
func Entitlements(teams []fleet.Team, demand map[fleet.TeamName]float64, slots float64) map[fleet.TeamName]float64 {
	granted := make(map[fleet.TeamName]float64, len(teams))
	unsatisfied := make([]fleet.Team, 0, len(teams))
	for _, t := range teams {
		if demand[t.Name] > 0 && t.ShareThousandths > 0 {
			unsatisfied = append(unsatisfied, t)
		}
	}
	for len(unsatisfied) > 0 && slots > 1e-9 {
		var remaining []fleet.Team
		shares, grantedNow := 0, 0.0
		for _, t := range unsatisfied {
			shares += t.ShareThousandths
		}
		for _, t := range unsatisfied {
			offer := slots * float64(t.ShareThousandths) / float64(shares)
			missing := demand[t.Name] - granted[t.Name]
			grant := min(offer, missing)
			granted[t.Name] += grant
			grantedNow += grant
			if missing > offer+1e-9 {
				remaining = append(remaining, t)
			}
		}
		slots -= grantedNow
		if len(remaining) == len(unsatisfied) {
			break
		}
		unsatisfied = remaining
	}
	return granted
}

// sizePool converts the demand of a pool into its need, keep and floor in VMs. The
// floor covers the running tasks, as far as they are within the need, and the
// availability budget.
func (b *decisionBuilder) sizePool(p *poolState) {
	if p.Spare {
		p.need, p.keep, p.floor = 0, 0, b.settings.SpareReserve
		return
	}
	demand := p.demandSlots
	if !b.fleetFull {
		demand = max(demand, p.outlook.ExpectedSlots) * (1 + b.settings.HeadroomFraction)
	}
	p.need = vmsFor(demand, p.slotsPerVM)
	ready := vmsFor(p.outlook.PeakSlots*b.settings.PeakReadyFraction, p.slotsPerVM)
	p.keep = max(p.need, min(ready, p.DeclaredVMs))
	p.floor = min(p.need, vmsFor(float64(p.running), p.slotsPerVM)) + p.MaxUnavailable
}

// vmsFor returns the number of VMs that have the slots. The small tolerance keeps
// rounding errors from adding a VM.
func vmsFor(slots, perVM float64) int {
	return int(math.Ceil(slots/perVM - 1e-9))
}
