package measure

import (
	"bytes"
	"context"
	"testing"
	"time"

	"amaranthfork.example/policy/capacity"
	"github.com/sebdah/goldie/v2"
)

func brief(t *testing.T, user string) *Scenario {
	t.Helper()
	s, err := NewScenario(user, "brief")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards the whole tool: demand, world, policies, measures and report. The
// figures change with any of the policies; the violations must stay 0.
func TestReportOfAShortRun(t *testing.T) {
	o := Options{Users: []string{"lantern"}, Size: "brief", Seeds: []uint64{1, 2}, Parallel: 4}
	results, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Violations != 0 {
			t.Errorf("%s %s seed %d: %v", r.Scenario, r.Policy, r.Seed, r.Broken)
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

// saboteur breaks one rule of a run.
type saboteur func(w *world, s capacity.Snapshot) []capacity.Move

type sabotage struct {
	w *world
	f saboteur
}

func (s *sabotage) move(snap capacity.Snapshot, _ int) []capacity.Move { return s.f(s.w, snap) }

// Guards the checks themselves: each rule that a mover can break is counted
// when a mover breaks it.
func TestChecksSeeViolations(t *testing.T) {
	anyMove := func(s capacity.Snapshot, i int, to int) capacity.Move {
		return capacity.Move{VM: s.VMs[i].ID, From: s.VMs[i].Pool, To: s.Pools[to].Name}
	}
	cases := map[string]saboteur{
		"moved twice": func(_ *world, s capacity.Snapshot) []capacity.Move {
			return []capacity.Move{anyMove(s, 0, 2)}
		},
		"moved from another pool": func(_ *world, s capacity.Snapshot) []capacity.Move {
			return []capacity.Move{{VM: s.VMs[0].ID, From: s.Pools[1].Name, To: s.Pools[2].Name}}
		},
		"moved out of maintenance": func(_ *world, s capacity.Snapshot) []capacity.Move {
			for i, vm := range s.VMs {
				if vm.Maintained {
					return []capacity.Move{anyMove(s, i, (i+1)%4)}
				}
			}
			return nil
		},
		"moved below the budget": func(_ *world, s capacity.Snapshot) []capacity.Move {
			var moves []capacity.Move
			for i, vm := range s.VMs {
				if vm.Pool == s.Pools[0].Name && len(s.Moves) == 0 {
					moves = append(moves, anyMove(s, i, 1))
				}
			}
			return moves
		},
		"assigned with tasks": func(w *world, s capacity.Snapshot) []capacity.Move {
			for i := range w.vms {
				if len(w.vms[i].tasks) > 0 && w.vms[i].phase == serving {
					w.check.moveBegan(i, w.vms[i].pool, 4, false)
					w.vms[i].to = 4
					w.assign(i)
					break
				}
			}
			return nil
		},
		"limit": func(w *world, _ capacity.Snapshot) []capacity.Move {
			for i := range w.s.Teams {
				w.s.Teams[i].Limit = 1000
			}
			return nil
		},
		"budget": func(w *world, _ capacity.Snapshot) []capacity.Move {
			w.take(0)
			w.take(4)
			return nil
		},
		"slots": func(w *world, s capacity.Snapshot) []capacity.Move {
			w.s.VMs[0].Slots = 9
			return nil
		},
		"data centre out": func(w *world, _ capacity.Snapshot) []capacity.Move {
			w.out[w.s.outDC] = false
			return nil
		},
	}
	for rule, f := range cases {
		t.Run(rule, func(t *testing.T) {
			s := brief(t, "lantern")
			p := *policies()[0]
			w := newWorld(s, generate(s, 1), &p)
			w.check.s = strict(s)
			w.mover = &sabotage{w: w, f: f}
			for w.now < s.length {
				w.step()
			}
			if w.check.violations[rule] == 0 {
				t.Errorf("not counted; violations: %v", w.check.violations)
			}
		})
	}
}

// strict returns the scenario as a check sees it whose rules the run ignores:
// a copy of the slots, and limits that the demand exceeds.
func strict(s *Scenario) *Scenario {
	c := *s
	c.VMs = append(c.VMs[:0:0], s.VMs...)
	c.Teams = append(c.Teams[:0:0], s.Teams...)
	for i := range c.Teams {
		c.Teams[i].Limit = 50
		s.Teams[i].Limit = 50
	}
	return &c
}

func TestDemandSwingsInTurn(t *testing.T) {
	s, err := NewScenario("lantern", "today")
	if err != nil {
		t.Fatal(err)
	}
	d := generate(s, 7)
	for q, qu := range s.queues {
		slots := 8 * len(s.Pools[qu.pool].VMs)
		if peak := burstLevel * qu.mean; peak <= float64(slots) {
			t.Errorf("queue %d: a burst of %.0f fits into %d slots", q, peak, slots)
		}
		sum, n := 0.0, 0
		for tick, level := range d.level[q] {
			if !s.flood.has(tick) {
				sum += level
				n++
			}
		}
		if mean := sum / float64(n); mean < 0.6*qu.mean || mean > 1.6*qu.mean {
			t.Errorf("queue %d: mean %.0f, want about %.0f", q, mean, qu.mean)
		}
	}
}

// Guards against work that gets lost in the model: what arrived has ended,
// runs or waits.
func TestNoJobIsLost(t *testing.T) {
	s := brief(t, "sabz")
	d := generate(s, 3)
	chosen, err := choose([]string{"reactive", "fcfs", versions[len(versions)-1].name, "pooled"})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range chosen {
		w := newWorld(s, d, p)
		if p.pooled {
			w = newWorld(asOnePool(s), d, p)
		}
		for w.now < s.length {
			w.step()
		}
		arrived, running := 0, 0
		for _, jobs := range d.arrivals {
			arrived += len(jobs)
		}
		for i := range w.vms {
			running += len(w.vms[i].tasks)
		}
		if arrived != w.m.ended+running+len(w.waiting) {
			t.Errorf("%s: %d arrived, %d ended, %d run, %d wait", p.name, arrived, w.m.ended, running, len(w.waiting))
		}
	}
}

// Guards the arithmetic of the offline bound: two pools need 2 VMs in turn,
// with a gap of 10 s.
func TestLowerBound(t *testing.T) {
	s := brief(t, "lantern")
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
	if hold.Moves != 0 || hold.HeldIdle != 20.0/3600 || move.Moves != 2 || move.HeldIdle != 0 {
		t.Errorf("hold %+v, move %+v", hold, move)
	}
	need[1][0] = len(s.Pools[1].VMs) + 3
	if b := lowerBound(s, need, time.Hour); b.Moves != 3 {
		t.Errorf("a pool that needs 3 VMs more than it has: %+v", b)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	for _, o := range []Options{
		{Users: []string{"nobody"}, Size: "brief"},
		{Users: Users(), Size: "huge"},
		{Users: Users(), Size: "brief", Policies: []string{"none"}},
	} {
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("%+v was accepted", o)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, Options{Users: Users(), Size: "brief", Seeds: []uint64{1}}); err == nil {
		t.Error("a run that was cancelled reports results")
	}
}
