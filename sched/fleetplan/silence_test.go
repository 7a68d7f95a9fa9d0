package fleetplan_test

import (
	"testing"

	"amaranthfork.example/sched/fleetplan"
	"amaranthfork.example/sched/pool"
)

// silentTick advances the time by 300 ms, in which only some pools' owners report.
func (f *fleet) silentTick(rates map[string]float64, silent string) {
	last := f.Loads[silent]
	f.tick(rates)
	f.Loads[silent] = last
}

// Guards against a pool that loses its VMs, or is not given those that it needs, because
// its owner is cut off in the first second of its demand peak (lantern-sched-now-grown
// scale-2: the pool had 171 VMs when its owner was cut, and 87 when the next one reported).
func TestPeakGoesOnWhileOwnerIsSilent(t *testing.T) {
	f := newFleet(map[string]int{"a": 20, "b": 10, "c": 10}, 0)
	m := fleetplan.NewMovePlanner()
	for range 4 {
		f.tick(nil)
		m.Plan(&f.Snapshot)
	}
	need := func() float64 { return m.Summaries(&f.Snapshot)[0].Need }
	for range 2 {
		f.tick(map[string]float64{"a": 300})
		m.Plan(&f.Snapshot)
	}
	before := need()
	for range 10 {
		f.silentTick(map[string]float64{"b": 300}, "a")
		for _, d := range m.Plan(&f.Snapshot) {
			if d.Machine.Pool == "a" && f.NowMS-f.Loads["a"].AtMS > 1000 {
				t.Fatalf("%s leaves the pool %d ms after its last report", d.Machine.Name, f.NowMS-f.Loads["a"].AtMS)
			}
		}
		if got := need(); got < before {
			t.Fatalf("need falls from %.0f to %.0f cores %d ms after the last report", before, got, f.NowMS-f.Loads["a"].AtMS)
		}
	}
	if got := need(); got < before+20 {
		t.Errorf("need is %.0f cores after 3 s of silence and %.0f before: work that gathers is not counted", got, before)
	}
	// An owner that never comes back must not draw the VMs of all other pools.
	f.NowMS += 60_000
	m.Plan(&f.Snapshot)
	if got := need(); got > before {
		t.Errorf("need is %.0f cores after a minute of silence and %.0f before", got, before)
	}
}

// Guards against pools that are silent in turns because a slow table service delays all
// load reports: none of their VMs could move.
func TestSlowReportsAreNoSilence(t *testing.T) {
	f := newFleet(map[string]int{"a": 10, "b": 10}, 0)
	m := fleetplan.NewMovePlanner()
	for range 8 {
		f.tick(nil)
		m.Plan(&f.Snapshot)
		f.NowMS += 1100
		m.Plan(&f.Snapshot)
	}
	for _, p := range m.Summaries(&f.Snapshot) {
		if p.Silent {
			t.Errorf("the owner of %s counts as silent 1.1 s after its last report, though it reports every 1.4 s", p.Pool)
		}
	}
}

// Guards against a pool that keeps its size while its owner is silent although its demand
// rose at the last reports (rml-quimper-grown, a drawn day: need=373 for 4.4 s at the start
// of a peak). Steady demand, however high a report's age, asks for little more.
func TestRiseGoesOnWhileOwnerIsSilent(t *testing.T) {
	needAfterSilence := func(rates ...float64) (before, after float64) {
		f := newFleet(map[string]int{"a": 10, "b": 15, "c": 15}, 0)
		m := fleetplan.NewMovePlanner()
		for _, rate := range append(make([]float64, 12), rates...) {
			f.tick(map[string]float64{"a": rate})
			m.Plan(&f.Snapshot)
		}
		before = m.Summaries(&f.Snapshot)[0].Need
		for range 6 {
			f.silentTick(nil, "a")
			m.Plan(&f.Snapshot)
		}
		return before, m.Summaries(&f.Snapshot)[0].Need
	}
	if before, after := needAfterSilence(20, 110); after < 200 {
		t.Errorf("rising demand: need is %.0f cores at the last report and %.0f after 1.8 s, want a peak's 200 or more", before, after)
	}
	if before, after := needAfterSilence(20, 20, 20, 20); after > 2*before {
		t.Errorf("steady demand: need rises from %.0f to %.0f cores in 1.8 s", before, after)
	}
}

// Guards against VMs that come from standby for a peak and leave again for a wave: those
// that the wave has had already, or does not list, come first.
func TestStandbyVMsOfAWaveStayForIt(t *testing.T) {
	f := newFleet(map[string]int{"a": 4, "b": 4}, 8)
	wave := fleetplan.Wave{ID: "1", MaxInMaintenance: 1, DeadlineMS: f.NowMS + 60_000, Done: map[string]bool{}, InMaintenance: map[string]bool{}}
	listed := map[string]bool{}
	for _, i := range []string{"00", "01", "02", "03"} {
		wave.Machines = append(wave.Machines, "m-spare-"+i)
		listed["m-spare-"+i] = true
	}
	f.Waves = []fleetplan.Wave{wave}
	f.Loads["a"] = withMinVMs(f.Loads["a"], 8)
	decisions := fleetplan.NewMovePlanner().Plan(&f.Snapshot)
	if len(decisions) != 4 {
		t.Fatalf("%d VMs move to a pool that lacks 4", len(decisions))
	}
	for _, d := range decisions {
		if listed[d.Machine.Name] {
			t.Errorf("%s moves although its maintenance is due", d.Machine.Name)
		}
	}
}

func withMinVMs(l pool.LoadReport, n int) pool.LoadReport {
	l.MinVMs = n
	return l
}
