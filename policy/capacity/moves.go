package capacity

import "time"

// minDataCentres is the number of data centres in which a pool keeps VMs, so
// that it can still work after the loss of one.
const minDataCentres = 2

// fillDeficits moves VMs to the pools that lack them, in the order of
// poolsByDeficit.
func (b *decisionBuilder) fillDeficits() {
	for _, p := range b.poolsByDeficit() {
		if !b.worthMoving(p) {
			continue
		}
		for p.deficit() > 0 && b.moveBudget > 0 {
			vm := b.bestDonor(p)
			if vm == nil {
				break
			}
			b.beginMove(vm, b.pools[vm.Pool], p, ReasonDemand)
		}
	}
}

// worthMoving reports whether a VM that moves to p can serve enough work before
// the demand peak ends to make up for the cost of the move. Moves for urgent work
// and outside of demand peaks are always worth it.
func (b *decisionBuilder) worthMoving(p *poolState) bool {
	if p.urgentQueued > 0 || !p.outlook.PeakExpected {
		return true
	}
	return p.slotsPerVM*p.outlook.PeakRemaining.Seconds() >= b.settings.MoveCostSlotSeconds
}

// bestDonor returns the VM with the lowest cost of a move to p, nil if no VM may
// move.
func (b *decisionBuilder) bestDonor(p *poolState) *candidate {
	var best *candidate
	var bestCost float64
	for _, from := range b.order {
		if from == p || !b.canDonate(from, p) {
			continue
		}
		for _, vm := range from.candidates {
			if !mayLeave(vm, from) {
				continue
			}
			cost := b.costOfMove(vm, from, p)
			if best == nil || cost < bestCost {
				best, bestCost = vm, cost
			}
		}
	}
	return best
}

// canDonate reports whether from can give one more VM to the pool to.
func (b *decisionBuilder) canDonate(from, to *poolState) bool {
	if from.Spare {
		return from.serving > from.floor || to.urgentQueued > 0
	}
	return from.serving-1 >= b.retained(from, to)
}

// mayLeave reports whether the VM may leave a pool that can give one.
func mayLeave(vm *candidate, from *poolState) bool {
	if vm.chosen || !vm.dcAtFullCapacity || vm.movedRecently {
		return false
	}
	return from.Spare || keepsSpread(vm, from)
}

// retained returns how many VMs a donor other than the spare pool retains when it
// gives one to the pool to. The VMs that it keeps for its next demand peak are
// available only to waiting urgent work, or when the fleet is full.
func (b *decisionBuilder) retained(from, to *poolState) int {
	n := max(from.floor, from.need+b.settings.DonorMargin)
	if !b.fleetFull && to.urgentQueued == 0 {
		n = max(n, from.keep)
	}
	return n
}

// movedRecently reports whether the VM must still stay in the pool from after its
// last move.
func (b *decisionBuilder) movedRecently(vm *VM, from *poolState) bool {
	stay := b.settings.MinStay
	if from.Spare {
		stay = b.settings.SpareStay
	}
	return !vm.LastMoved.IsZero() && b.snapshot.Now.Sub(vm.LastMoved) < stay
}

// keepsSpread reports whether the pool from still has VMs in minDataCentres data
// centres after the VM has left.
func keepsSpread(vm *candidate, from *poolState) bool {
	if from.byDC[vm.dc] > 1 {
		return true
	}
	return dataCentres(from) > minDataCentres
}

// dataCentres returns the number of data centres in which the pool has VMs.
func dataCentres(p *poolState) int {
	n := 0
	for _, vms := range p.byDC {
		if vms > 0 {
			n++
		}
	}
	return n
}

// costOfWork returns what the work that runs on a VM adds to the cost of its move.
// The unit is the cost of one running task, as in costOfMove.
func costOfWork(vm *VM) float64 {
	const (
		perRunning = 1.0 // a running task delays the move
		perSecond  = 0.5 // of remaining run time, up to 10 s
	)
	return float64(perRunning*float64(vm.Running)) + float64(perSecond*min(vm.Remaining, 10*time.Second).Seconds())
}

// costOfMove returns the cost of a move, by which the donor is chosen. It is lower
// for idle VMs, then for the spare pool or for donors with a larger surplus,
// depending on Settings.OtherDonorCost, then for moves that spread both pools more
// evenly over racks and data centres.
func (b *decisionBuilder) costOfMove(vm *candidate, from, to *poolState) float64 {
	const (
		perSurplus   = 0.1  // for each VM that the donor has above its need
		perNeighbour = 0.2  // for each VM of the pool in the same data centre or rack
		readyPenalty = 20.0 // a donor that would fall below its keep comes after the spare pool
	)
	cost := vm.workCost
	if !from.Spare && from.serving <= from.keep {
		cost += readyPenalty
	}
	if !from.Spare {
		cost += b.settings.OtherDonorCost - float64(perSurplus*float64(from.serving-from.need))
	}
	cost += float64(perNeighbour * float64(to.byDC[vm.dc]+to.byRack[vm.rack]))
	cost -= float64(perNeighbour * float64(from.byDC[vm.dc]+from.byRack[vm.rack]) / 2)
	return cost
}

// returnUnneeded moves idle VMs to the spare pool, as many as no pool has needed
// in the whole window. VMs that different pools need one after the other stay
// where they are, because a move through the spare pool would cost two moves
// instead of one.
func (b *decisionBuilder) returnUnneeded() {
	if b.spare == nil || b.settings.ReturnAfter <= 0 {
		return
	}
	exhausted := make(map[*poolState]bool)
	for b.memory.Window.unneeded() > 0 && b.moveBudget > 0 {
		p := b.largestSurplus(exhausted)
		if p == nil {
			return
		}
		if !b.returnOne(p) {
			exhausted[p] = true
			continue
		}
		b.memory.Window.LeastSurplus--
		b.memory.Window.PreviousLeastSurplus--
	}
}

// largestSurplus returns the pool with the largest surplus, nil if none has one.
// It ignores the exhausted pools, which have no VM that may leave.
func (b *decisionBuilder) largestSurplus(exhausted map[*poolState]bool) *poolState {
	var best *poolState
	for _, p := range b.order {
		if p.Spare || p.surplus() <= 0 || exhausted[p] {
			continue
		}
		if best == nil || p.surplus() > best.surplus() {
			best = p
		}
	}
	return best
}

// returnOne begins the move of one idle VM of p to the spare pool. It returns false
// if no VM may leave.
func (b *decisionBuilder) returnOne(p *poolState) bool {
	vm := idleVM(p)
	if vm == nil {
		return false
	}
	b.beginMove(vm, p, b.spare, ReasonReturn)
	return true
}

// idleVM returns an idle VM that may leave the pool, nil if there is none. It
// prefers the data centre and rack in which the pool has most VMs.
func idleVM(p *poolState) *candidate {
	var best *candidate
	for _, vm := range p.candidates {
		if vm.Running > 0 || vm.chosen || vm.movedRecently {
			continue
		}
		if p.serving-1 < p.floor || !keepsSpread(vm, p) {
			continue
		}
		if best == nil || nearbyVMs(p, vm) > nearbyVMs(p, best) {
			best = vm
		}
	}
	return best
}

// nearbyVMs returns the number of VMs of the pool in the data centre of vm plus the
// number in its rack.
func nearbyVMs(p *poolState, vm *candidate) int {
	return p.byDC[vm.dc] + p.byRack[vm.rack]
}
