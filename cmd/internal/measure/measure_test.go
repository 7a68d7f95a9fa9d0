package measure

import (
	"bytes"
	"context"
	"testing"
	"time"

	"amaranthfork.example/policy/capacity"
	"github.com/sebdah/goldie/v2"
)

func briefScenario(t *testing.T, user string) *Scenario {
	t.Helper()
	s, err := NewScenario(user, "brief")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against unintended changes anywhere in the tool: demand, simulation,
// policies, measures and report. A change of any policy changes the golden files;
// violations must stay 0.
func TestReport(t *testing.T) {
	o := Options{Users: []string{"lantern"}, Size: "brief", Seeds: []uint64{1, 2}, Parallel: 4}
	results, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Violations != 0 {
			t.Errorf("%s %s seed %d: %v", r.Scenario, r.Policy, r.Seed, r.ViolationsByRule)
		}
	}
	for _, kind := range []string{"table", "csv"} {
		var b bytes.Buffer
		if err := Write(&b, results, Format{Kind: kind}); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, kind, b.Bytes())
	}
}

// ruleBreaker breaks one rule when a mover is called, by its moves or by changing
// the simulation.
type ruleBreaker func(sim *simulation, s capacity.Snapshot) []capacity.Move

type faultyMover struct {
	sim       *simulation
	breakRule ruleBreaker
}

func (m *faultyMover) move(s capacity.Snapshot, _ int) []capacity.Move {
	return m.breakRule(m.sim, s)
}

// Guards against a checker that misses violations: for each rule that a mover
// can break, a mover breaks it, and the checker must count that.
func TestCheckerCountsViolations(t *testing.T) {
	moveTo := func(s capacity.Snapshot, i int, to int) capacity.Move {
		return capacity.Move{VM: s.VMs[i].ID, From: s.VMs[i].Pool, To: s.Pools[to].Name}
	}
	cases := map[string]ruleBreaker{
		"moved twice": func(_ *simulation, s capacity.Snapshot) []capacity.Move {
			return []capacity.Move{moveTo(s, 0, 2)}
		},
		"moved from another pool": func(_ *simulation, s capacity.Snapshot) []capacity.Move {
			return []capacity.Move{{VM: s.VMs[0].ID, From: s.Pools[1].Name, To: s.Pools[2].Name}}
		},
		"moved out of maintenance": func(_ *simulation, s capacity.Snapshot) []capacity.Move {
			for i, vm := range s.VMs {
				if vm.MaintenanceDue {
					return []capacity.Move{moveTo(s, i, (i+1)%4)}
				}
			}
			return nil
		},
		"moved below the budget": func(_ *simulation, s capacity.Snapshot) []capacity.Move {
			var moves []capacity.Move
			for i, vm := range s.VMs {
				if vm.Pool == s.Pools[0].Name && len(s.Moves) == 0 {
					moves = append(moves, moveTo(s, i, 1))
				}
			}
			return moves
		},
		"assigned with tasks": func(sim *simulation, s capacity.Snapshot) []capacity.Move {
			for i := range sim.vms {
				if len(sim.vms[i].tasks) > 0 && sim.vms[i].phase == serving {
					sim.checker.moveBegan(i, sim.vms[i].pool, 4, false)
					sim.vms[i].targetPool = 4
					sim.completeMove(i)
					break
				}
			}
			return nil
		},
		"limit": func(sim *simulation, _ capacity.Snapshot) []capacity.Move {
			for i := range sim.scenario.Teams {
				sim.scenario.Teams[i].Limit = 1000
			}
			return nil
		},
		"budget": func(sim *simulation, _ capacity.Snapshot) []capacity.Move {
			sim.beginMaintenance(0)
			sim.beginMaintenance(4)
			return nil
		},
		"slots": func(sim *simulation, s capacity.Snapshot) []capacity.Move {
			sim.scenario.VMs[0].Slots = 9
			return nil
		},
		"data centre out": func(sim *simulation, _ capacity.Snapshot) []capacity.Move {
			sim.dataCentreOut[sim.scenario.outDC] = false
			return nil
		},
	}
	for rule, breakRule := range cases {
		t.Run(rule, func(t *testing.T) {
			s := briefScenario(t, "lantern")
			p := *policies()[0]
			sim := newSimulation(s, generateDemand(s, 1), &p)
			sim.checker.scenario = withOwnLimits(s)
			sim.mover = &faultyMover{sim: sim, breakRule: breakRule}
			for sim.nowTick < s.lengthTicks {
				sim.step()
			}
			if sim.checker.violations[rule] == 0 {
				t.Errorf("not counted; violations: %v", sim.checker.violations)
			}
		})
	}
}

// withOwnLimits returns a scenario for the checker whose slots and limits stay
// when a mover changes those of s. It first lowers the limits of both so far
// that the demand exceeds them.
func withOwnLimits(s *Scenario) *Scenario {
	c := *s
	c.VMs = append(c.VMs[:0:0], s.VMs...)
	c.Teams = append(c.Teams[:0:0], s.Teams...)
	for i := range c.Teams {
		c.Teams[i].Limit = 50
		s.Teams[i].Limit = 50
	}
	return &c
}

// Guards against demand that doesn't exercise moves: a demand peak must exceed
// its pool, and the mean must be about the declared one.
func TestDemandPeaks(t *testing.T) {
	s, err := NewScenario("lantern", "today")
	if err != nil {
		t.Fatal(err)
	}
	d := generateDemand(s, 7)
	for q, qu := range s.queues {
		slots := 8 * len(s.Pools[qu.pool].VMs)
		if peak := peakFactor * qu.meanSlots; peak <= float64(slots) {
			t.Errorf("queue %d: a peak of %.0f slots fits into the pool's %d slots", q, peak, slots)
		}
		sum, n := 0.0, 0
		for tick, level := range d.slots[q] {
			if !s.overload.contains(tick) {
				sum += level
				n++
			}
		}
		if mean := sum / float64(n); mean < 0.6*qu.meanSlots || mean > 1.6*qu.meanSlots {
			t.Errorf("queue %d: mean %.0f, want about %.0f", q, mean, qu.meanSlots)
		}
	}
}

// Guards against jobs that the simulation loses, for example when a VM fails:
// every job that arrived must have ended, run or wait.
func TestNoJobIsLost(t *testing.T) {
	s := briefScenario(t, "sabz")
	d := generateDemand(s, 3)
	chosen, err := selectPolicies([]string{"reactive", "fcfs", versions[len(versions)-1].name, "pooled"})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range chosen {
		sim := newSimulation(s, d, p)
		if p.pooled {
			sim = newSimulation(asOnePool(s), d, p)
		}
		for sim.nowTick < s.lengthTicks {
			sim.step()
		}
		arrived, running := 0, 0
		for _, jobs := range d.arrivals {
			arrived += len(jobs)
		}
		for i := range sim.vms {
			running += len(sim.vms[i].tasks)
		}
		if arrived != sim.meter.endedJobs+running+len(sim.waiting) {
			t.Errorf("%s: %d arrived, %d ended, %d run, %d wait", p.name, arrived, sim.meter.endedJobs, running, len(sim.waiting))
		}
	}
}

// Guards against a wrong offline bound: a pool needs 2 VMs in two periods of
// 10 s, 10 s apart, which is cheaper to bridge with idle VMs or with moves
// depending on the price of a move.
func TestLowerBound(t *testing.T) {
	s := briefScenario(t, "lantern")
	need := make([][]int, len(s.Pools))
	for p := range need {
		need[p] = make([]int, ticks(40*time.Second))
	}
	for tick := range need[0] {
		if tick/ticks(10*time.Second)%2 == 0 {
			need[0][tick] = 2
		}
	}
	hold := lowerBound(s, need, 20*time.Second)
	move := lowerBound(s, need, 5*time.Second)
	if hold.Moves != 0 || hold.HeldIdleVMHours != 20.0/3600 || move.Moves != 2 || move.HeldIdleVMHours != 0 {
		t.Errorf("hold %+v, move %+v", hold, move)
	}
	need[1][0] = len(s.Pools[1].VMs) + 3
	if b := lowerBound(s, need, time.Hour); b.Moves != 3 {
		t.Errorf("a pool that needs 3 VMs more than it has: %+v", b)
	}
}

// Guards against unknown users, sizes and policies that are ignored, and
// against results of a run that was cancelled.
func TestOptionsAreChecked(t *testing.T) {
	for _, o := range []Options{
		{Users: []string{"nobody"}, Size: "brief"},
		{Users: Users(), Size: "huge"},
		{Users: Users(), Size: "brief", Policies: []string{"none"}},
	} {
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("options %+v were accepted", o)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, Options{Users: Users(), Size: "brief", Seeds: []uint64{1}}); err == nil {
		t.Error("a cancelled run returned no error")
	}
}
