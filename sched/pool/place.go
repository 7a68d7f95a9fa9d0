package pool

import (
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// usable reports whether v may get new work at all.
func (p *Pool) usable(v *vm) bool {
	if !v.listed || !v.fenced || v.Draining || v.cordoned || p.evacuated[v.DataCentre] {
		return false
	}
	if p.now.Steady < v.backoff || p.now.Steady-v.lastAnswer > answerTooOld {
		return false
	}
	return !v.health.quarantined(p.now.Steady)
}

// answerTooOld is the age of a VM's last answer from which it gets no new work:
// two renewal periods.
const answerTooOld = 2200 * time.Millisecond

// allowed reports whether the declarations let t run on v.
func (p *Pool) allowed(t *task, v *vm) bool {
	spec := t.spec()
	if spec.Label != "" && !v.hasLabel(spec.Label) {
		return false
	}
	if spec.MaxPerVM > 0 && t.siblingsOn(v) >= spec.MaxPerVM {
		return false
	}
	return !t.failedOn[v.ID] || p.now.Steady-t.lastRunEnd > failedElsewhere
}

// failedElsewhere is how long a task stays away from VMs on which it has
// failed. After that it prefers others, but a pool may have no other.
const failedElsewhere = time.Second

// siblingsOn counts the runs of t's step and occurrence on v.
func (t *task) siblingsOn(v *vm) int {
	n := 0
	for _, sibling := range t.occ.tasks[t.step] {
		if sibling.vm == v {
			n++
		}
	}
	return n
}

// fits reports whether t's room is free on v.
func (t *task) fits(v *vm) bool { return t.room().Fits(v.free()) }

// room returns what t takes of a VM. Processors of tasks that fill do not count.
func (t *task) room() fleet.Resources {
	need := t.spec().Need
	if t.spec().Fills {
		need.MilliCPU = 0
	}
	return need
}

func (p *Pool) sortedVMs() []*vm {
	list := make([]*vm, 0, len(p.vms))
	for _, v := range p.vms {
		list = append(list, v)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

// choose returns the best VM for a task, or nil if none can take it now.
func (p *Pool) choose(t *task, reserved map[*vm]bool) *vm {
	var best *vm
	var bestScore float64
	advice := p.adviceOf(t)
	for _, v := range p.vms {
		if reserved[v] || !p.usable(v) || !t.fits(v) || !p.allowed(t, v) {
			continue
		}
		if _, ok := advice.ticketFor(v, p.now.Steady); !ok {
			continue
		}
		score := p.score(t, v)
		if best == nil || score > bestScore || score == bestScore && v.ID < best.ID {
			best, bestScore = v, score
		}
	}
	return best
}

// Weights of the placement score. Each criterion gives 0 to 1; the weights
// order them so that a data location outweighs balance.
const (
	weightNear    = 8.0
	weightRack    = 4.0
	weightSpread  = 3.0
	weightBalance = 1.0
	weightPack    = 2.0
	weightHealth  = 6.0
	weightFailed  = 10.0
)

// lastingShare is 1 for a VM that other tasks that last are on.
func lastingShare(v *vm) float64 {
	if v.lasting > 0 {
		return 1
	}
	return 0
}

func (p *Pool) score(t *task, v *vm) float64 {
	spec := t.spec()
	score := weightBalance * freeShare(v)
	if spec.NearRack != "" && spec.NearRack == v.Rack {
		score += weightNear
	}
	if spec.SameRack && t.rackOfSiblings() == v.Rack {
		score += weightRack
	}
	if spec.LatencyGoal > 0 {
		score -= weightSpread * (float64(v.serving) + fillShare(v))
	}
	if spec.Fills {
		score -= weightSpread * (float64(v.serving) + fillShare(v))
	}
	if spec.LongRunning && spec.LatencyGoal == 0 {
		// Tasks that last are kept on few VMs, so that the others can move.
		score += weightPack * lastingShare(v)
	} else if !spec.LongRunning && v.lasting > 0 {
		score += weightPack * 0.1
	}
	if t.failedOn[v.ID] {
		score -= weightFailed
	}
	score -= weightHealth * v.health.suspicion()
	return score
}

func freeShare(v *vm) float64 {
	if v.Capacity.MilliCPU <= 0 {
		return 0
	}
	return float64(v.free().MilliCPU) / float64(v.Capacity.MilliCPU)
}

func fillShare(v *vm) float64 {
	if v.Capacity.MilliCPU <= 0 {
		return 0
	}
	return float64(v.fillCPU) / float64(v.Capacity.MilliCPU)
}

// rackOfSiblings returns the rack of a placed task of the same step, or "".
func (t *task) rackOfSiblings() string {
	for _, sibling := range t.occ.tasks[t.step] {
		if sibling.vm != nil {
			return sibling.vm.Rack
		}
	}
	return ""
}
