package capacity

import (
	"fmt"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// poolBook is the policy's account of one pool.
type poolBook struct {
	Pool
	have         int     // VMs that serve and are not moving away
	incoming     int     // VMs that are moving here
	slots        float64 // of the VMs in have, with the ramp of returned data centres
	slotsPerVM   float64
	wanted       float64 // demand in slots
	busy         int     // running tasks
	urgentQueued int
	outlook      Outlook
	need         int          // VMs for the demand
	keep         int          // VMs that do not go back to the spare pool
	floor        int          // VMs that never leave
	candidates   []*candidate // VMs in have that maintenance does not take
	byDC         []int        // VMs by data centre
	byRack       []int        // VMs by rack
}

// candidate is a VM that may move. Data centres and racks are numbered, because
// a large decision looks at each VM many times.
type candidate struct {
	*VM
	dc, rack int
	cost     float64 // of the work that runs on it
	taken    bool
	tooSoon  bool // it moved a short while ago
	back     bool // its data centre has all of its capacity
}

// deficit returns how many VMs the pool lacks.
func (p *poolBook) deficit() int { return p.need - p.have - p.incoming }

// surplus returns how many VMs the pool can give back.
func (p *poolBook) surplus() int { return p.have + p.incoming - max(p.keep, p.floor) }

// books is the working state of one decision.
type books struct {
	s          Snapshot
	set        Settings
	pools      map[fleet.PoolName]*poolBook
	order      []*poolBook // as in the snapshot
	spare      *poolBook   // nil when no pool is a spare
	fleetSlots float64
	full       bool // the demand exceeds the fleet
	ramp       map[fleet.DataCentreName]float64
	taken      map[fleet.VMID]bool
	budget     int // moves that may still begin
	moves      []Move
	memory     Memory
}

func newBooks(s Snapshot, set Settings) *books {
	b := &books{
		s: s, set: set,
		pools: make(map[fleet.PoolName]*poolBook, len(s.Pools)),
		ramp:  make(map[fleet.DataCentreName]float64, len(s.DataCentres)),
		taken: make(map[fleet.VMID]bool, len(s.Moves)),
	}
	b.openPools()
	for _, dc := range s.DataCentres {
		b.ramp[dc.Name] = RampUp(dc, s.Now, set.Ramp)
	}
	b.countMoves()
	b.countVMs()
	return b
}

func (b *books) openPools() {
	for _, p := range b.s.Pools {
		book := &poolBook{Pool: p}
		b.pools[p.Name] = book
		b.order = append(b.order, book)
		if p.Spare && b.spare == nil {
			b.spare = book
		}
	}
}

func (b *books) countMoves() {
	for _, m := range b.s.Moves {
		b.taken[m.VM] = true
		if p := b.pools[m.To]; p != nil {
			p.incoming++
		}
	}
	b.budget = max(1, int(b.set.MaxMoves*float64(len(b.s.VMs)))) - len(b.s.Moves)
}

func (b *books) countVMs() {
	dcs, racks := b.numberDomains()
	totalSlots := 0
	for i := range b.s.VMs {
		vm := &b.s.VMs[i]
		totalSlots += vm.Slots
		p := b.pools[vm.Pool]
		if p == nil || !vm.Available || b.taken[vm.ID] {
			continue
		}
		b.countVM(p, vm, dcs[vm.DataCentre], racks[vm.Rack])
	}
	b.setSlotsPerVM(totalSlots)
}

// numberDomains numbers the data centres and racks of all VMs.
func (b *books) numberDomains() (index[fleet.DataCentreName], index[fleet.RackName]) {
	dcs, racks := make(index[fleet.DataCentreName]), make(index[fleet.RackName])
	for i := range b.s.VMs {
		dcs.add(b.s.VMs[i].DataCentre)
		racks.add(b.s.VMs[i].Rack)
	}
	for _, p := range b.order {
		p.byDC, p.byRack = make([]int, len(dcs)), make([]int, len(racks))
	}
	return dcs, racks
}

func (b *books) countVM(p *poolBook, vm *VM, dc, rack int) {
	part := b.rampOf(vm.DataCentre)
	p.have++
	p.slots += part * float64(vm.Slots)
	b.fleetSlots += part * float64(vm.Slots)
	p.byDC[dc]++
	p.byRack[rack]++
	if vm.Maintained {
		return
	}
	p.candidates = append(p.candidates, &candidate{
		VM: vm, dc: dc, rack: rack,
		cost: costOfWork(vm), tooSoon: b.tooSoon(vm, p), back: part >= 1,
	})
}

// setSlotsPerVM uses the fleet's mean for pools without VMs.
func (b *books) setSlotsPerVM(totalSlots int) {
	mean := 1.0
	if totalSlots > 0 {
		mean = float64(totalSlots) / float64(len(b.s.VMs))
	}
	for _, p := range b.order {
		p.slotsPerVM = mean
		if p.have > 0 && p.slots > 0 {
			p.slotsPerVM = p.slots / float64(p.have)
		}
	}
}

// index numbers names in the order of their first use.
type index[K comparable] map[K]int

func (x index[K]) add(name K) {
	if _, ok := x[name]; !ok {
		x[name] = len(x)
	}
}

func (b *books) rampOf(dc fleet.DataCentreName) float64 {
	if r, ok := b.ramp[dc]; ok {
		return r
	}
	return 1
}

// remember carries over the least surplus of all pools.
func (b *books) remember(m Memory) {
	b.memory = Memory{Window: m.Window.advance(b.totalSurplus(), b.s.Now, b.set.ParkAfter)}
}

// totalSurplus returns the VMs that all pools together do not need now.
func (b *books) totalSurplus() int {
	sum := 0
	for _, p := range b.order {
		if !p.Spare {
			sum += p.surplus()
		}
	}
	return max(0, sum)
}

// advance takes one more observation of the surplus.
func (w Window) advance(surplus int, now time.Time, span time.Duration) Window {
	switch {
	case w.Began.IsZero():
		return Window{Began: now, Least: surplus}
	case now.Sub(w.Began) >= span:
		return Window{Began: now, Least: surplus, LeastLast: w.Least}
	}
	w.Least = min(w.Least, surplus)
	return w
}

// unused returns the VMs that no pool needed in the whole window.
func (w Window) unused() int { return min(w.Least, w.LeastLast) }

func (b *books) needs() map[fleet.PoolName]int {
	needs := make(map[fleet.PoolName]int, len(b.order))
	for _, p := range b.order {
		needs[p.Name] = p.need
	}
	return needs
}

// begin books a move and appends it to the decision.
func (b *books) begin(vm *candidate, from, to *poolBook, reason Reason) {
	from.have--
	from.byDC[vm.dc]--
	from.byRack[vm.rack]--
	to.incoming++
	to.byDC[vm.dc]++
	to.byRack[vm.rack]++
	vm.taken = true
	b.budget--
	b.moves = append(b.moves, Move{
		VM: vm.ID, From: from.Name, To: to.Name, Reason: reason,
		Explains: explain(from, to, reason),
	})
}

func explain(from, to *poolBook, reason Reason) string {
	if reason == ReasonReturn {
		return fmt.Sprintf("pool %s has %d VMs and keeps %d", from.Name, from.have+1, max(from.keep, from.floor))
	}
	return fmt.Sprintf("pool %s needs %d VMs and has %d; pool %s needs %d and has %d",
		to.Name, to.need, to.have+to.incoming-1, from.Name, from.need, from.have+1)
}

// inOrderOfDeficit returns the pools that lack VMs, the one with waiting
// urgent work and then the one with the larger deficit first.
func (b *books) inOrderOfDeficit() []*poolBook {
	var lacking []*poolBook
	for _, p := range b.order {
		if !p.Spare && p.deficit() > 0 {
			lacking = append(lacking, p)
		}
	}
	sort.SliceStable(lacking, func(i, j int) bool {
		if (lacking[i].urgentQueued > 0) != (lacking[j].urgentQueued > 0) {
			return lacking[i].urgentQueued > 0
		}
		return lacking[i].deficit() > lacking[j].deficit()
	})
	return lacking
}
