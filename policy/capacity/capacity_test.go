package capacity

import (
	"fmt"
	"os"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetOf returns a fleet with pools of the given numbers of VMs. The last pool is
// the spare pool. The VMs have 8 slots each and are spread over four data centres,
// four to a rack.
func fleetOf(sizes ...int) Snapshot {
	s := Snapshot{Now: start}
	n := 0
	for p, size := range sizes {
		name := fleet.PoolName(fmt.Sprintf("p%d", p))
		s.Pools = append(s.Pools, Pool{Name: name, Spare: p == len(sizes)-1, MaxUnavailable: 1, DeclaredVMs: size})
		for range size {
			s.VMs = append(s.VMs, VM{
				ID: fleet.VMID(fmt.Sprintf("vm%03d", n)), Pool: name, Slots: 8, Available: true,
				DataCentre: fleet.DataCentreName(fmt.Sprintf("dc%d", n%4)),
				Rack:       fleet.RackName(fmt.Sprintf("dc%d-r%d", n%4, n/16)),
			})
			n++
		}
	}
	for dc := range 4 {
		s.DataCentres = append(s.DataCentres, DataCentre{Name: fleet.DataCentreName(fmt.Sprintf("dc%d", dc)), State: fleet.DataCentreIn})
	}
	s.Teams = []fleet.Team{{Name: "large", ShareThousandths: 700, Limit: 1000}, {Name: "small", ShareThousandths: 300, Limit: 1000}}
	return s
}

// workOf returns a row of work whose tasks take 2 s each.
func workOf(pool fleet.PoolName, team fleet.TeamName, class fleet.Class, running, queued int) Work {
	return Work{Pool: pool, Team: team, Class: class, Running: running, Queued: queued, RunTime: 2 * time.Second}
}

func countTo(d Decision, pool fleet.PoolName) int {
	n := 0
	for _, m := range d.Moves {
		if m.To == pool {
			n++
		}
	}
	return n
}

func movesVM(d Decision, id fleet.VMID) bool {
	for _, m := range d.Moves {
		if m.VM == id {
			return true
		}
	}
	return false
}

// Guards against moves that the state of the fleet does not justify, and against
// missing ones. Each case is one rule of Decide.
func TestDecide(t *testing.T) {
	neutral := SettingsFor(fleet.Profile{})
	cases := []struct {
		name   string
		change func(s *Snapshot, set *Settings)
		check  func(d Decision) bool
	}{
		{"an idle fleet moves nothing", func(*Snapshot, *Settings) {}, func(d Decision) bool { return len(d.Moves) == 0 }},
		{"queued work brings VMs", func(s *Snapshot, _ *Settings) {
			s.Work = []Work{workOf("p0", "large", fleet.ClassStandard, 32, 60)}
		}, func(d Decision) bool { return countTo(d, "p0") > 0 }},
		{"queued work of a team at its limit brings no VMs", func(s *Snapshot, _ *Settings) {
			s.Teams[0].Limit = 32
			s.Work = []Work{workOf("p0", "large", fleet.ClassStandard, 32, 60)}
		}, func(d Decision) bool { return len(d.Moves) == 0 }},
		{"VMs whose maintenance is due stay", func(s *Snapshot, _ *Settings) {
			s.Work = []Work{workOf("p0", "large", fleet.ClassUrgent, 32, 60)}
			for i := range s.VMs {
				s.VMs[i].MaintenanceDue = true
			}
		}, func(d Decision) bool { return len(d.Moves) == 0 }},
		{"VMs of a data centre that returns stay", func(s *Snapshot, set *Settings) {
			s.Work = []Work{workOf("p0", "large", fleet.ClassUrgent, 32, 60)}
			for i := range s.DataCentres {
				s.DataCentres[i].Since = s.Now.Add(-set.RampUpTime / 2)
			}
		}, func(d Decision) bool { return len(d.Moves) == 0 }},
		{"the spare reserve is kept from standard work", func(s *Snapshot, set *Settings) {
			set.SpareReserve = 4
			s.Work = []Work{
				workOf("p0", "large", fleet.ClassStandard, 32, 90),
				workOf("p1", "small", fleet.ClassStandard, 32, 0),
			}
		}, func(d Decision) bool { return len(d.Moves) == 0 }},
		{"urgent work reaches the spare reserve", func(s *Snapshot, set *Settings) {
			set.SpareReserve = 4
			s.Work = []Work{workOf("p0", "large", fleet.ClassUrgent, 32, 20)}
		}, func(d Decision) bool { return countTo(d, "p0") > 0 }},
		{"idle VMs come before busy ones", func(s *Snapshot, _ *Settings) {
			s.Work = []Work{workOf("p0", "large", fleet.ClassStandard, 32, 20)}
			for i := range s.VMs {
				s.VMs[i].Running = 8
			}
			s.VMs[9].Running = 0
		}, func(d Decision) bool { return len(d.Moves) > 0 && d.Moves[0].VM == "vm009" }},
		{"a demand peak that ends soon brings no VMs", func(s *Snapshot, _ *Settings) {
			s.Work = []Work{workOf("p0", "large", fleet.ClassStandard, 32, 60)}
			s.Outlooks = []Outlook{{Pool: "p0", PeakExpected: true, PeakRemaining: time.Second}}
		}, func(d Decision) bool { return len(d.Moves) == 0 }},
		{"an expected demand peak brings VMs before it begins", func(s *Snapshot, _ *Settings) {
			s.Outlooks = []Outlook{{Pool: "p0", ExpectedSlots: 60, PeakExpected: true, PeakRemaining: 10 * time.Second}}
		}, func(d Decision) bool { return countTo(d, "p0") > 0 }},
		{"the last VM of a pool in its second data centre stays", func(s *Snapshot, _ *Settings) {
			s.Work = []Work{workOf("p0", "large", fleet.ClassUrgent, 32, 60)}
			for i := range s.VMs {
				s.VMs[i].MaintenanceDue = s.VMs[i].Pool == "p2"
				s.VMs[i].DataCentre, s.VMs[i].Running = "dc0", 1
			}
			s.VMs[7].DataCentre, s.VMs[7].Running = "dc1", 0
		}, func(d Decision) bool { return len(d.Moves) > 0 && !movesVM(d, "vm007") }},
		{"VMs that have just moved stay", func(s *Snapshot, _ *Settings) {
			s.Work = []Work{workOf("p0", "large", fleet.ClassUrgent, 32, 60)}
			for i := range s.VMs {
				s.VMs[i].LastMoved = s.Now.Add(-time.Second / 2)
			}
		}, func(d Decision) bool { return len(d.Moves) == 0 }},
		{"a full fleet uses all VMs, whatever the headroom", func(s *Snapshot, set *Settings) {
			set.HeadroomFraction = -0.5
			s.Work = []Work{
				workOf("p0", "large", fleet.ClassBatch, 32, 500),
				workOf("p1", "small", fleet.ClassBatch, 32, 500),
			}
		}, func(d Decision) bool { return d.Need["p0"]+d.Need["p1"] >= 12 }},
		{"in a full fleet a team below its share gains VMs", func(s *Snapshot, set *Settings) {
			set.ShareBlend = 1
			s.Work = []Work{
				workOf("p0", "large", fleet.ClassBatch, 32, 500),
				workOf("p1", "small", fleet.ClassBatch, 32, 500),
			}
			for i := range s.VMs {
				s.VMs[i].Running = 8
			}
		}, func(d Decision) bool { return countTo(d, "p0") > countTo(d, "p1") && d.Need["p0"] > d.Need["p1"] }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, set := fleetOf(4, 4, 4), neutral
			c.change(&s, &set)
			if d := Decide(s, set, Memory{}); !c.check(d) {
				t.Errorf("unexpected decision: moves %+v, need %v", d.Moves, d.Need)
			}
		})
	}
}

// Guards against VMs that stay in pools that no longer need them, and against VMs
// that return to the spare pool before the whole window has passed.
func TestUnneededVMsReturnToSparePool(t *testing.T) {
	set := SettingsFor(fleet.Profile{})
	s := fleetOf(8, 8, 4)
	var m Memory
	first := time.Duration(-1)
	returned := 0
	for at := time.Duration(0); at < 4*set.ReturnAfter; at += time.Second {
		s.Now = start.Add(at)
		d := Decide(s, set, m)
		m = d.Memory
		if len(d.Moves) > 0 && first < 0 {
			first = at
		}
		returned += countTo(d, "p2")
		s = apply(s, d)
	}
	if first < set.ReturnAfter || returned == 0 {
		t.Errorf("returned %d VMs, the first after %v; want some, but none before ReturnAfter", returned, first)
	}
}

// Guards against a data centre that is used at its full capacity at once when it
// comes back, or at any capacity while it is out.
func TestRampUp(t *testing.T) {
	dc := DataCentre{State: fleet.DataCentreIn, Since: start}
	for after, want := range map[time.Duration]float64{0: 0.25, 10 * time.Second: 0.625, time.Minute: 1} {
		if got := RampUp(dc, start.Add(after), 20*time.Second); got != want {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
	if got := RampUp(DataCentre{State: fleet.DataCentreOut}, start, 0); got != 0 {
		t.Errorf("a data centre that is out has %v of its capacity", got)
	}
}

// apply returns the snapshot after all moves of a decision have ended.
func apply(s Snapshot, d Decision) Snapshot {
	s.VMs = append([]VM(nil), s.VMs...)
	for _, m := range d.Moves {
		for i := range s.VMs {
			if s.VMs[i].ID == m.VM {
				s.VMs[i].Pool, s.VMs[i].LastMoved = m.To, s.Now
			}
		}
	}
	return s
}

func drawSnapshot(t *rapid.T) Snapshot {
	sizes := rapid.SliceOfN(rapid.IntRange(1, 10), 3, 6).Draw(t, "sizes")
	s := fleetOf(sizes...)
	for i := range s.Pools {
		s.Pools[i].MaxUnavailable = rapid.IntRange(0, 6).Draw(t, "budget")
	}
	for i := range s.VMs {
		v := &s.VMs[i]
		v.Available = rapid.IntRange(0, 9).Draw(t, "up") > 0
		v.MaintenanceDue = rapid.IntRange(0, 9).Draw(t, "maintained") == 0
		v.Running = rapid.IntRange(0, 8).Draw(t, "running")
		if rapid.IntRange(0, 9).Draw(t, "moving") == 0 {
			s.Moves = append(s.Moves, MoveInProgress{VM: v.ID, From: v.Pool, To: s.Pools[0].Name})
		}
	}
	classes := rapid.SampledFrom(fleet.Classes)
	for _, p := range s.Pools[:len(s.Pools)-1] {
		for _, team := range s.Teams {
			w := workOf(p.Name, team.Name, classes.Draw(t, "class"), rapid.IntRange(0, 40).Draw(t, "busy"), rapid.IntRange(0, 200).Draw(t, "queued"))
			w.ArrivalsPerSecond = rapid.Float64Range(0, 30).Draw(t, "arrivals")
			s.Work = append(s.Work, w)
		}
	}
	return s
}

// Checks the invariants of decisions for random snapshots: a VM has at most one
// move at a time, no VM moves whose maintenance is due, donors retain
// their need, their floor and VMs in two data centres, and the number of moves
// stays within its limit.
func TestDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		set := SettingsFor(fleet.Profile{
			IdleWeight:  rapid.Float64Range(0, 5).Draw(t, "idle"),
			MoveWeight:  rapid.Float64Range(0, 5).Draw(t, "move"),
			ShareWeight: rapid.Float64Range(0, 5).Draw(t, "share"),
		})
		m := Memory{Window: Window{Began: start, LeastSurplus: 10, PreviousLeastSurplus: 10}}
		d := Decide(s, set, m)
		moved := make(map[fleet.VMID]bool)
		for _, p := range s.Moves {
			moved[p.VM] = true
		}
		if limit := max(1, int(set.MaxMoveFraction*float64(len(s.VMs)))); len(d.Moves) > max(0, limit-len(s.Moves)) {
			t.Fatalf("%d new moves and %d in progress exceed the limit of %d", len(d.Moves), len(s.Moves), limit)
		}
		for _, mv := range d.Moves {
			vm := vmByID(s, mv.VM)
			if moved[mv.VM] || vm.MaintenanceDue || !vm.Available || vm.Pool != mv.From || mv.From == mv.To {
				t.Fatalf("move %+v must not begin for %+v", mv, vm)
			}
			moved[mv.VM] = true
		}
		for _, p := range s.Pools {
			checkDonor(t, s, d, p)
		}
	})
}

func vmByID(s Snapshot, id fleet.VMID) VM {
	for _, vm := range s.VMs {
		if vm.ID == id {
			return vm
		}
	}
	return VM{}
}

// checkDonor checks that a pool other than the spare, if it gives VMs away, retains its
// need, its floor and VMs in minDataCentres data centres.
func checkDonor(t *rapid.T, s Snapshot, d Decision, p Pool) {
	remaining, dcs, gave := 0, make(map[fleet.DataCentreName]bool), 0
	leaving := make(map[fleet.VMID]bool)
	for _, m := range d.Moves {
		leaving[m.VM] = true
		if m.From == p.Name {
			gave++
		}
	}
	for _, m := range s.Moves {
		leaving[m.VM] = true
	}
	for _, vm := range s.VMs {
		if vm.Pool == p.Name && vm.Available && !leaving[vm.ID] {
			remaining++
			dcs[vm.DataCentre] = true
		}
	}
	if gave == 0 || p.Spare {
		return
	}
	busy := 0
	for _, w := range s.Work {
		if w.Pool == p.Name {
			busy += w.Running
		}
	}
	floor := min(d.Need[p.Name], (busy+7)/8) + p.MaxUnavailable
	if remaining < d.Need[p.Name] || remaining < floor || len(dcs) < min(remaining, minDataCentres) {
		t.Fatalf("pool %s has %d VMs in %d data centres left; needs %d, budget %d", p.Name, remaining, len(dcs), d.Need[p.Name], p.MaxUnavailable)
	}
}

// Guards against VMs that move back and forth between pools: under constant demand
// no VM moves after five minutes.
func TestConstantDemandSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleetOf(rapid.SliceOfN(rapid.IntRange(3, 10), 3, 6).Draw(t, "sizes")...)
		for _, p := range s.Pools[:len(s.Pools)-1] {
			w := workOf(p.Name, "large", fleet.ClassStandard, 0, 0)
			w.ArrivalsPerSecond = rapid.Float64Range(0, 40).Draw(t, "arrivals")
			s.Work = append(s.Work, w)
		}
		set := SettingsFor(fleet.Profile{})
		var m Memory
		total := 0
		for at := time.Duration(0); at < 10*time.Minute; at += 500 * time.Millisecond {
			s.Now = start.Add(at)
			d := Decide(s, set, m)
			m = d.Memory
			total += len(d.Moves)
			if at > 5*time.Minute && len(d.Moves) > 0 {
				t.Fatalf("VMs still move after %v: %+v", at, d.Moves)
			}
			s = apply(s, d)
		}
		if total > 2*len(s.VMs) {
			t.Fatalf("%d moves of %d VMs under constant demand", total, len(s.VMs))
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ pools, vms int }{{5, 48}, {10, 500}, {25, 2300}} {
		b.Run(fmt.Sprint(size.vms), func(b *testing.B) {
			s := benchmarkFleet(size.pools, size.vms)
			set := SettingsFor(fleet.Profile{})
			m := Memory{Window: Window{Began: start, LeastSurplus: size.vms / 10, PreviousLeastSurplus: size.vms / 10}}
			moves := 0
			b.ReportAllocs()
			for b.Loop() {
				moves = len(Decide(s, set, m).Moves)
			}
			b.ReportMetric(float64(moves), "moves")
		})
	}
}

// benchmarkFleet returns a fleet with four teams in each pool and queued work in
// every fifth pool.
func benchmarkFleet(pools, vms int) Snapshot {
	sizes := make([]int, pools)
	for i := range sizes {
		sizes[i] = vms / pools
	}
	s := fleetOf(sizes...)
	s.Teams = nil
	for t := range 98 {
		s.Teams = append(s.Teams, fleet.Team{Name: fleet.TeamName(fmt.Sprintf("t%d", t)), ShareThousandths: 10, Limit: vms})
	}
	for p := range pools - 1 {
		for t := range 4 {
			for _, class := range fleet.Classes {
				w := workOf(s.Pools[p].Name, s.Teams[(p*4+t)%98].Name, class, 2, 0)
				if p%5 == 0 {
					w.Queued = sizes[p]
				}
				s.Work = append(s.Work, w)
			}
		}
	}
	return s
}
