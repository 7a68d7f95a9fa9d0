package capacity

import "time"

// minDataCentres is the number of data centres that a pool keeps VMs in, so
// that the loss of one leaves the pool able to work.
const minDataCentres = 2

// fillDeficits moves VMs to the pools that lack them, one VM at a time to the
// pool in the greatest need.
func (b *books) fillDeficits() {
	for _, p := range b.inOrderOfDeficit() {
		if !b.worthMoving(p) {
			continue
		}
		for p.deficit() > 0 && b.budget > 0 {
			vm := b.bestDonor(p)
			if vm == nil {
				break
			}
			b.begin(vm, b.pools[vm.Pool], p, ReasonDemand)
		}
	}
}

// worthMoving weighs what the moved VMs can serve before the demand ends
// against the cost of the moves.
func (b *books) worthMoving(p *poolBook) bool {
	if p.urgentQueued > 0 || !p.outlook.Bursting {
		return true
	}
	return p.slotsPerVM*p.outlook.Ends.Seconds() >= b.set.MoveCost
}

// bestDonor returns the VM that costs least to move to p, nil when there is none.
func (b *books) bestDonor(p *poolBook) *candidate {
	var best *candidate
	var bestCost float64
	for _, from := range b.order {
		if from == p || !b.mayGive(from, p) {
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

// mayGive reports whether a pool can do without one more VM.
func (b *books) mayGive(from, to *poolBook) bool {
	if from.Spare {
		return from.have > from.floor || to.urgentQueued > 0
	}
	return from.have-1 >= b.retained(from, to)
}

// mayLeave reports whether a VM may leave a pool that can give one.
func mayLeave(vm *candidate, from *poolBook) bool {
	if vm.taken || !vm.back || vm.tooSoon {
		return false
	}
	return from.Spare || keepsSpread(vm, from)
}

// retained returns how many VMs a donor retains when to asks for one. Only
// waiting urgent work or a full fleet reaches the VMs that are kept ready.
func (b *books) retained(from, to *poolBook) int {
	n := max(from.floor, from.need+b.set.GiveMargin)
	if !b.full && to.urgentQueued == 0 {
		n = max(n, from.keep)
	}
	return n
}

func (b *books) tooSoon(vm *VM, from *poolBook) bool {
	stay := b.set.MinStay
	if from.Spare {
		stay = b.set.SpareStay
	}
	return !vm.Moved.IsZero() && b.s.Now.Sub(vm.Moved) < stay
}

// keepsSpread reports whether the donor still has VMs in enough data centres
// without the VM.
func keepsSpread(vm *candidate, from *poolBook) bool {
	if from.byDC[vm.dc] > 1 {
		return true
	}
	return dataCentres(from) > minDataCentres
}

func dataCentres(p *poolBook) int {
	n := 0
	for _, vms := range p.byDC {
		if vms > 0 {
			n++
		}
	}
	return n
}

// costOfWork is what the work that runs on a VM adds to the cost of its move.
func costOfWork(vm *VM) float64 {
	const (
		perRunning = 1.0 // a running task delays the move
		perSecond  = 0.5
	)
	return perRunning*float64(vm.Running) + perSecond*min(vm.Remaining, 10*time.Second).Seconds()
}

// costOfMove prefers idle VMs, then donors with more to spare or the spare pool
// as the settings say, then the move that evens out racks and data centres.
func (b *books) costOfMove(vm *candidate, from, to *poolBook) float64 {
	const (
		perSurplus   = 0.1
		perNeighbour = 0.2
		keptReady    = 20.0 // below its readiness a donor comes after the spare pool
	)
	cost := vm.cost
	if !from.Spare && from.have <= from.keep {
		cost += keptReady
	}
	if !from.Spare {
		cost += b.set.SpareFirst - perSurplus*float64(from.have-from.need)
	}
	cost += perNeighbour * float64(to.byDC[vm.dc]+to.byRack[vm.rack])
	cost -= perNeighbour * float64(from.byDC[vm.dc]+from.byRack[vm.rack]) / 2
	return cost
}

// park returns idle VMs that no pool has needed in the whole window to the
// spare pool. VMs that one pool or another needs in its turn stay, because
// moving them to the spare pool and out again costs two moves instead of one.
func (b *books) park() {
	if b.spare == nil || b.set.ParkAfter <= 0 {
		return
	}
	exhausted := make(map[*poolBook]bool)
	for b.memory.Window.unused() > 0 && b.budget > 0 {
		p := b.richest(exhausted)
		if p == nil {
			return
		}
		if !b.returnOne(p) {
			exhausted[p] = true
			continue
		}
		b.memory.Window.Least--
		b.memory.Window.LeastLast--
	}
}

// richest returns the pool with the largest surplus that may have a VM to return.
func (b *books) richest(exhausted map[*poolBook]bool) *poolBook {
	var best *poolBook
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

// returnOne begins the return of one VM and reports whether it found one.
func (b *books) returnOne(p *poolBook) bool {
	vm := idleVM(p)
	if vm == nil {
		return false
	}
	b.begin(vm, p, b.spare, ReasonReturn)
	return true
}

// idleVM returns an idle VM of the data centre in which the pool has most VMs.
func idleVM(p *poolBook) *candidate {
	var best *candidate
	for _, vm := range p.candidates {
		if vm.Running > 0 || vm.taken || vm.tooSoon {
			continue
		}
		if p.have-1 < p.floor || !keepsSpread(vm, p) {
			continue
		}
		if best == nil || crowding(p, vm) > crowding(p, best) {
			best = vm
		}
	}
	return best
}

func crowding(p *poolBook, vm *candidate) int {
	return p.byDC[vm.dc] + p.byRack[vm.rack]
}
