package measure

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"amaranthfork.example/policy/capacity"
)

// Bound is a lower bound on the cost of every policy that serves a given
// fraction of the demand without delay, even one that knows the demand in
// advance. A move counts as much as an idle VM does in the time MovePrice;
// HeldIdleVMHours and Moves are those of the cheapest solution.
type Bound struct {
	MovePrice       time.Duration
	HeldIdleVMHours float64
	Moves           float64
}

// lowerBound returns the bound for the VMs needed by pool and tick. It treats
// each pool by itself and each of its VMs by itself: the k-th VM is needed
// while the need is at least k. Between two such spans the VM either stays idle
// or moves away, whichever is cheaper. This never exceeds the real cost: moves
// take no time, and only the arrival of a VM counts as a move, because the same
// move takes it away from another pool.
func lowerBound(s *Scenario, need [][]int, movePrice time.Duration) Bound {
	totalIdleTicks, totalMoves := 0, 0
	for pool, levels := range need {
		if s.Pools[pool].Spare {
			continue
		}
		highest := 0
		for _, n := range levels {
			highest = max(highest, n)
		}
		for k := 1; k <= highest; k++ {
			idleTicks, moveCount := levelCost(levels, k, k <= len(s.Pools[pool].VMs), ticks(movePrice))
			totalIdleTicks += idleTicks
			totalMoves += moveCount
		}
	}
	return Bound{MovePrice: movePrice, HeldIdleVMHours: secondsIn(float64(totalIdleTicks)) / 3600, Moves: float64(totalMoves)}
}

// levelCost returns the idle ticks and the moves of the k-th VM of a pool.
// startsPresent says whether it is in the pool at the start, and moveCostTicks
// is the number of idle ticks that cost as much as a move.
func levelCost(need []int, k int, startsPresent bool, moveCostTicks int) (idle, moves int) {
	idleGap, present := 0, startsPresent
	for _, n := range need {
		if n < k {
			idleGap++
			continue
		}
		switch {
		case present && idleGap <= moveCostTicks:
			idle += idleGap
		default:
			moves++
		}
		idleGap, present = 0, true
	}
	return idle, moves
}

// neededVMs returns, by pool and tick, the number of VMs that serve the
// fraction 1+HeadroomFraction of the true demand.
func neededVMs(s *Scenario, d *demand, settings capacity.Settings) [][]int {
	slots := trueSlots(s, d, settings.BatchArrivalFraction)
	need := make([][]int, len(slots))
	for p := range slots {
		need[p] = make([]int, s.lengthTicks)
		for t := range need[p] {
			need[p][t] = int(math.Ceil(float64(slots[p][t]*(1+settings.HeadroomFraction)/8) - 1e-9))
		}
	}
	return need
}

// boundPrices are the values of Bound.MovePrice that WriteBounds shows.
var boundPrices = []time.Duration{
	5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, time.Minute, 2 * time.Minute,
}

// WriteBounds writes a table of the bounds for each user, as means over the
// seeds. It fails for an unknown user or size.
func WriteBounds(w io.Writer, o Options) error {
	for _, user := range o.Users {
		s, err := NewScenario(user, o.Size)
		if err != nil {
			return err
		}
		settings := capacity.SettingsFor(s.Profile)
		fmt.Fprintf(w, "%s: offline bound for %.0f%% of the demand served at once\n", s.Name, 100*(1+settings.HeadroomFraction))
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "price of a move\theld idle VMh\tmoves")
		sums := make([]Bound, len(boundPrices))
		for _, seed := range o.Seeds {
			need := neededVMs(s, generateDemand(s, seed), settings)
			for i, price := range boundPrices {
				b := lowerBound(s, need, price)
				sums[i].HeldIdleVMHours += b.HeldIdleVMHours
				sums[i].Moves += b.Moves
			}
		}
		n := float64(len(o.Seeds))
		for i, price := range boundPrices {
			fmt.Fprintf(t, "%v idle\t%.2f\t%.0f\n", price, sums[i].HeldIdleVMHours/n, sums[i].Moves/n)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}
