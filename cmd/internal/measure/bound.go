package measure

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"amaranthfork.example/policy/capacity"
)

// Bound is the least held idle time and the fewest moves of any policy that
// knows the demand in advance and serves a part of it without delay, when a
// move costs as much as an idle VM does in the time Price.
type Bound struct {
	Price    time.Duration
	HeldIdle float64 // VM-hours
	Moves    float64
}

// lowerBound takes each pool by itself and cuts its need into levels: the k-th
// VM is needed while the need is at least k. Between two such spans the VM
// either idles or moves away; the cheaper of the two is counted. Moves take no
// time, and a VM that leaves costs nothing when it leaves, because the same move
// may bring it to another pool.
func lowerBound(s *Scenario, need [][]int, price time.Duration) Bound {
	idle, moves := 0, 0
	for pool, levels := range need {
		if s.Pools[pool].Spare {
			continue
		}
		highest := 0
		for _, n := range levels {
			highest = max(highest, n)
		}
		for k := 1; k <= highest; k++ {
			i, m := level(levels, k, k <= len(s.Pools[pool].VMs), ticks(price))
			idle += i
			moves += m
		}
	}
	return Bound{Price: price, HeldIdle: secondsOf(float64(idle)) / 3600, Moves: float64(moves)}
}

// level returns the idle ticks and moves of the k-th VM of a pool, which is
// there at the start when home is set.
func level(need []int, k int, home bool, price int) (idle, moves int) {
	gap, there := 0, home
	for _, n := range need {
		if n < k {
			gap++
			continue
		}
		switch {
		case there && gap <= price:
			idle += gap
		default:
			moves++
		}
		gap, there = 0, true
	}
	return idle, moves
}

// needs returns the VMs that serve a part of the true demand, by pool and tick.
func needs(s *Scenario, d *demand, set capacity.Settings) [][]int {
	slots := trueSlots(s, d, set.BatchSteady)
	need := make([][]int, len(slots))
	for p := range slots {
		need[p] = make([]int, s.length)
		for t := range need[p] {
			need[p][t] = int(math.Ceil(slots[p][t]*(1+set.Headroom)/8 - 1e-9))
		}
	}
	return need
}

// boundPrices are the prices of a move, in idle time, for which bounds are shown.
var boundPrices = []time.Duration{
	5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, time.Minute, 2 * time.Minute,
}

// WriteBounds prints the bounds for each user, as means over the seeds.
func WriteBounds(w io.Writer, o Options) error {
	for _, user := range o.Users {
		s, err := NewScenario(user, o.Size)
		if err != nil {
			return err
		}
		set := capacity.SettingsFor(s.Profile)
		fmt.Fprintf(w, "%s: offline bound for %.0f%% of the demand served at once\n", s.Name, 100*(1+set.Headroom))
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "price of a move\theld idle VMh\tmoves")
		sums := make([]Bound, len(boundPrices))
		for _, seed := range o.Seeds {
			need := needs(s, generate(s, seed), set)
			for i, price := range boundPrices {
				b := lowerBound(s, need, price)
				sums[i].HeldIdle += b.HeldIdle
				sums[i].Moves += b.Moves
			}
		}
		n := float64(len(o.Seeds))
		for i, price := range boundPrices {
			fmt.Fprintf(t, "%v idle\t%.2f\t%.0f\n", price, sums[i].HeldIdle/n, sums[i].Moves/n)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}
