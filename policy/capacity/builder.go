package capacity

import (
	"fmt"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// poolState is the state of one pool during a decision.
type poolState struct {
	Pool
	serving      int     // available VMs of the pool that are not moving away
	incoming     int     // VMs that are moving to the pool
	slots        float64 // slots of the serving VMs, reduced by RampUp for data centres that came back recently
	slotsPerVM   float64 // mean of the serving VMs
	demandSlots  float64 // estimated demand
	running      int     // running tasks
	urgentQueued int     // waiting urgent tasks
	outlook      Outlook
	need         int          // VMs for the present and expected demand
	keep         int          // need, or the VMs for the next demand peak if those are more; the others may return to the spare pool
	floor        int          // VMs that never leave the pool
	candidates   []*candidate // serving VMs whose maintenance is not due
	byDC         []int        // serving and incoming VMs by number of the data centre
	byRack       []int        // serving and incoming VMs by number of the rack
}

// candidate is a VM that may move. It refers to its data centre and rack by
// number instead of name, because a decision on a large fleet reads each VM many
// times.
type candidate struct {
	*VM
	dc, rack         int
	workCost         float64 // part of the cost of a move, see costOfWork
	chosen           bool    // moves in this decision
	movedRecently    bool    // within MinStay or SpareStay
	dcAtFullCapacity bool    // its data centre is in service and its ramp-up is over
}

// deficit returns how many VMs the pool lacks.
func (p *poolState) deficit() int { return p.need - p.serving - p.incoming }

// surplus returns how many VMs the pool can return to the spare pool.
func (p *poolState) surplus() int { return p.serving + p.incoming - max(p.keep, p.floor) }

// decisionBuilder holds the working state of one call of Decide.
type decisionBuilder struct {
	snapshot   Snapshot
	settings   Settings
	pools      map[fleet.PoolName]*poolState
	order      []*poolState                     // in the order of the snapshot
	spare      *poolState                       // the first spare pool, nil if there is none
	fleetSlots float64                          // slots of all pools, as in poolState.slots
	fleetFull  bool                             // running and queued tasks exceed fleetSlots
	rampByDC   map[fleet.DataCentreName]float64 // results of RampUp
	moving     map[fleet.VMID]bool              // VMs with a move in progress
	moveBudget int                              // moves that may still begin in this decision
	moves      []Move
	memory     Memory
}

func newDecisionBuilder(s Snapshot, set Settings) *decisionBuilder {
	b := &decisionBuilder{
		snapshot: s, settings: set,
		pools:    make(map[fleet.PoolName]*poolState, len(s.Pools)),
		rampByDC: make(map[fleet.DataCentreName]float64, len(s.DataCentres)),
		moving:   make(map[fleet.VMID]bool, len(s.Moves)),
	}
	b.addPools()
	for _, dc := range s.DataCentres {
		b.rampByDC[dc.Name] = RampUp(dc, s.Now, set.RampUpTime)
	}
	b.countMoves()
	b.countVMs()
	return b
}

func (b *decisionBuilder) addPools() {
	for _, p := range b.snapshot.Pools {
		state := &poolState{Pool: p}
		b.pools[p.Name] = state
		b.order = append(b.order, state)
		if p.Spare && b.spare == nil {
			b.spare = state
		}
	}
}

// countMoves records the moves in progress and derives the move budget from them.
func (b *decisionBuilder) countMoves() {
	for _, m := range b.snapshot.Moves {
		b.moving[m.VM] = true
		if p := b.pools[m.To]; p != nil {
			p.incoming++
		}
	}
	b.moveBudget = max(1, int(b.settings.MaxMoveFraction*float64(len(b.snapshot.VMs)))) - len(b.snapshot.Moves)
}

// countVMs adds up the serving VMs and slots of each pool.
func (b *decisionBuilder) countVMs() {
	dcs, racks := b.numberDomains()
	totalSlots := 0
	for i := range b.snapshot.VMs {
		vm := &b.snapshot.VMs[i]
		totalSlots += vm.Slots
		p := b.pools[vm.Pool]
		if p == nil || !vm.Available || b.moving[vm.ID] {
			continue
		}
		b.countVM(p, vm, dcs[vm.DataCentre], racks[vm.Rack])
	}
	b.setSlotsPerVM(totalSlots)
}

// numberDomains numbers the data centres and racks of all VMs and creates the
// counters of the pools.
func (b *decisionBuilder) numberDomains() (index[fleet.DataCentreName], index[fleet.RackName]) {
	dcs, racks := make(index[fleet.DataCentreName]), make(index[fleet.RackName])
	for i := range b.snapshot.VMs {
		dcs.add(b.snapshot.VMs[i].DataCentre)
		racks.add(b.snapshot.VMs[i].Rack)
	}
	for _, p := range b.order {
		p.byDC, p.byRack = make([]int, len(dcs)), make([]int, len(racks))
	}
	return dcs, racks
}

// countVM adds a serving VM to its pool. The numbers dc and rack are those of its
// data centre and rack.
func (b *decisionBuilder) countVM(p *poolState, vm *VM, dc, rack int) {
	fraction := b.rampOf(vm.DataCentre)
	p.serving++
	p.slots += float64(fraction * float64(vm.Slots))
	b.fleetSlots += float64(fraction * float64(vm.Slots))
	p.byDC[dc]++
	p.byRack[rack]++
	if vm.MaintenanceDue {
		return
	}
	p.candidates = append(p.candidates, &candidate{
		VM: vm, dc: dc, rack: rack,
		workCost: costOfWork(vm), movedRecently: b.movedRecently(vm, p), dcAtFullCapacity: fraction >= 1,
	})
}

// setSlotsPerVM sets the mean slots per VM of each pool. Pools without VMs get the
// mean of the fleet.
func (b *decisionBuilder) setSlotsPerVM(totalSlots int) {
	mean := 1.0
	if totalSlots > 0 {
		mean = float64(totalSlots) / float64(len(b.snapshot.VMs))
	}
	for _, p := range b.order {
		p.slotsPerVM = mean
		if p.serving > 0 && p.slots > 0 {
			p.slotsPerVM = p.slots / float64(p.serving)
		}
	}
}

// index numbers names in the order in which they were added, from 0.
type index[K comparable] map[K]int

func (x index[K]) add(name K) {
	if _, ok := x[name]; !ok {
		x[name] = len(x)
	}
}

// rampOf returns the usable fraction of a data centre's capacity, 1 for data
// centres that are not in the snapshot.
func (b *decisionBuilder) rampOf(dc fleet.DataCentreName) float64 {
	if r, ok := b.rampByDC[dc]; ok {
		return r
	}
	return 1
}

// updateMemory adds the present surplus to the memory of the previous decision.
func (b *decisionBuilder) updateMemory(m Memory) {
	b.memory = Memory{Window: m.Window.advance(b.totalSurplus(), b.snapshot.Now, b.settings.ReturnAfter)}
}

// totalSurplus returns how many VMs all pools together do not need now.
func (b *decisionBuilder) totalSurplus() int {
	sum := 0
	for _, p := range b.order {
		if !p.Spare {
			sum += p.surplus()
		}
	}
	return max(0, sum)
}

// advance returns the window after one more observation of the surplus, in VMs.
// Once span has passed, a new span begins.
func (w Window) advance(surplus int, now time.Time, span time.Duration) Window {
	switch {
	case w.Began.IsZero():
		return Window{Began: now, LeastSurplus: surplus}
	case now.Sub(w.Began) >= span:
		return Window{Began: now, LeastSurplus: surplus, PreviousLeastSurplus: w.LeastSurplus}
	}
	w.LeastSurplus = min(w.LeastSurplus, surplus)
	return w
}

// unneeded returns how many VMs no pool has needed in the present and the previous
// span.
func (w Window) unneeded() int { return min(w.LeastSurplus, w.PreviousLeastSurplus) }

func (b *decisionBuilder) needs() map[fleet.PoolName]int {
	needs := make(map[fleet.PoolName]int, len(b.order))
	for _, p := range b.order {
		needs[p.Name] = p.need
	}
	return needs
}

// beginMove adds a move to the decision and updates the state of both pools.
func (b *decisionBuilder) beginMove(vm *candidate, from, to *poolState, reason Reason) {
	from.serving--
	from.byDC[vm.dc]--
	from.byRack[vm.rack]--
	to.incoming++
	to.byDC[vm.dc]++
	to.byRack[vm.rack]++
	vm.chosen = true
	b.moveBudget--
	b.moves = append(b.moves, Move{
		VM: vm.ID, From: from.Name, To: to.Name, Reason: reason,
		Explanation: explain(from, to, reason),
	})
}

// explain returns the reason of a move in words, with the VMs of both pools before
// the move. It is called when beginMove has already counted the move.
func explain(from, to *poolState, reason Reason) string {
	if reason == ReasonReturn {
		return fmt.Sprintf("pool %s has %d VMs and keeps %d", from.Name, from.serving+1, max(from.keep, from.floor))
	}
	return fmt.Sprintf("pool %s needs %d VMs and has %d; pool %s needs %d and has %d",
		to.Name, to.need, to.serving+to.incoming-1, from.Name, from.need, from.serving+1)
}

// poolsByDeficit returns the pools that lack VMs: first those with waiting
// urgent work, then the others, each by descending deficit.
func (b *decisionBuilder) poolsByDeficit() []*poolState {
	var lacking []*poolState
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
