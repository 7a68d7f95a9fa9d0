package maintenance

import (
	"fmt"
	"math/rand"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const day = 24 * time.Hour

// fleetOf returns a fleet of n live VMs that were all maintained at start, four to
// a rack, spread over data centres and pools. In each pool a tenth of the VMs, but
// at least 2, may be unavailable.
func fleetOf(n, dataCentres, pools int) Snapshot {
	s := Snapshot{Pools: map[fleet.PoolName]Pool{}, Plan: fleet.MaintenancePlan{
		Period: 14 * day, DrainTimeout: 15 * time.Minute, RebootTimeout: 30 * time.Minute,
		MaxPerRack: 1, MaxPerDataCentre: max(2, n/dataCentres/10), StopAfterFailures: 3, AvoidDataCentresOut: true,
	}}
	for i := range n {
		dc := i % dataCentres
		s.VMs = append(s.VMs, VM{
			ID: fleet.VMID(fmt.Sprintf("vm-%04d", i)), DataCentre: fleet.DataCentreName(fmt.Sprintf("dc%d", dc)),
			Rack: fleet.RackName(fmt.Sprintf("dc%d-%d", dc, i/dataCentres/4)), Pool: fleet.PoolName(fmt.Sprintf("pool%d", i/dataCentres%pools)),
			LastMaintained: start, Active: true, Live: true, TasksKnown: true,
		})
	}
	for i := range pools {
		s.Pools[fleet.PoolName(fmt.Sprintf("pool%d", i))] = Pool{MaxUnavailable: max(2, n/pools/10)}
	}
	return s
}

// simulation is a fleet that runs tasks, has failures at the usual rate and is
// maintained by the planner.
type simulation struct {
	s             Snapshot
	now           time.Time
	step          time.Duration
	rand          *rand.Rand
	byID          map[fleet.VMID]*VM
	outageEnd     map[fleet.VMID]time.Time // end of the outage of a VM that is not live
	done          map[fleet.VMID]int       // number of maintenances
	first         time.Time                // first start
	last          time.Time                // last end
	maxInProgress int                      // most VMs in maintenance at a time
	inProgressSum int                      // VMs in maintenance, added over the steps
	checkpoints   int                      // number of checkpoints
}

// round advances the simulation by one step.
func (m *simulation) round(t *testing.T) {
	m.now = m.now.Add(m.step)
	for i := range m.s.VMs {
		m.advanceVM(&m.s.VMs[i])
	}
	decisions, report := Plan(m.s, m.now)
	for _, d := range decisions {
		m.apply(t, m.byID[d.VM], d)
	}
	inProgress := report.InProgress + report.Starting
	m.maxInProgress, m.inProgressSum = max(m.maxInProgress, inProgress), m.inProgressSum+inProgress
}

// advanceVM simulates one step of a VM: the start and end of tasks, failures (13 a
// day among 2,300 VMs, an hour each) and restarts (190 a day, 10 minutes each).
func (m *simulation) advanceVM(v *VM) {
	v.ListedAt = m.now
	if at, out := m.outageEnd[v.ID]; out && !m.now.Before(at) {
		v.Live, v.HasBudgetRecord, v.RecordedFailed = true, v.Phase != PhaseNone, false
		delete(m.outageEnd, v.ID)
	}
	perStep := float64(m.step) / float64(day) / 2300
	switch chance := m.rand.Float64(); {
	case !v.Live:
	case chance < 13*perStep:
		m.fail(v, time.Hour)
	case chance < 203*perStep:
		m.fail(v, 10*time.Minute)
	}
	var remaining []Task
	for _, task := range v.Tasks {
		if task.End.After(m.now) {
			remaining = append(remaining, task)
		}
	}
	v.Tasks = remaining
	if v.Phase == PhaseNone && v.Live && len(v.Tasks) == 0 && m.rand.Intn(4) > 0 {
		v.Tasks = []Task{{ID: "t", End: m.now.Add(time.Duration(m.rand.Intn(180)) * time.Minute), CanCheckpoint: m.rand.Intn(4) > 0}}
		if m.rand.Intn(2) > 0 {
			v.Tasks[0].Deadline = v.Tasks[0].End.Add(time.Duration(m.rand.Intn(60)) * time.Minute)
		}
	}
	v.Idle = len(v.Tasks) == 0
}

func (m *simulation) fail(v *VM, d time.Duration) {
	v.Live, v.HasBudgetRecord, v.RecordedFailed, v.Tasks = false, true, true, nil
	m.outageEnd[v.ID] = m.now.Add(d)
}

func (m *simulation) apply(t *testing.T, v *VM, d Decision) {
	switch d.Action {
	case ActionDrain:
		if m.first.IsZero() {
			m.first = m.now
		}
		v.Phase, v.PhaseSince, v.HasBudgetRecord, v.RebootAcceptedAt = PhaseDraining, m.now, true, time.Time{}
	case ActionCheckpoint:
		if !v.Tasks[0].CanCheckpoint {
			t.Fatalf("checkpoint of a task that cannot be checkpointed on %s", v.ID)
		}
		m.checkpoints++
		v.Tasks, v.Idle = nil, true
	case ActionReboot:
		if len(v.Tasks) > 0 {
			t.Fatalf("reboot of %s interrupts a task", v.ID)
		}
		v.Phase, v.PhaseSince, v.RebootAcceptedAt = PhaseRebooting, m.now, m.now
	case ActionFinish:
		m.done[v.ID]++
		v.Phase, v.LastMaintained, v.HasBudgetRecord, m.last = PhaseNone, m.now, false, m.now
	case ActionReturn:
		v.Phase, v.HasBudgetRecord, v.NotBefore = PhaseNone, false, m.now.Add(d.RetryAfter)
	case ActionFail:
		v.Phase, v.PhaseSince, v.HasBudgetRecord, v.RecordedFailed = PhaseFailed, m.now, true, true
	case ActionStopWave:
		t.Fatalf("wave stopped at the usual failure rate: %s", d.Reason)
	}
}

// TestEveryVMWithinPeriod checks at today's size, the target size and between them
// that every VM is maintained within the period, in spite of usual failures, busy
// VMs and a pause of a day.
func TestEveryVMWithinPeriod(t *testing.T) {
	for _, size := range []struct{ vms, dataCentres, pools int }{{48, 4, 5}, {500, 8, 10}, {2300, 20, 25}} {
		t.Run(fmt.Sprint(size.vms), func(t *testing.T) {
			m := &simulation{
				// Nothing is due in the first eight days.
				s: fleetOf(size.vms, size.dataCentres, size.pools), now: start.Add(8 * day), step: 10 * time.Minute,
				rand: rand.New(rand.NewSource(1)), outageEnd: map[fleet.VMID]time.Time{}, done: map[fleet.VMID]int{},
				byID: map[fleet.VMID]*VM{},
			}
			for i := range m.s.VMs {
				m.byID[m.s.VMs[i].ID] = &m.s.VMs[i]
			}
			steps := 0
			for ; len(m.done) < size.vms && m.now.Before(start.Add(14*day)); steps++ {
				m.s.Paused = ""
				if since := m.now.Sub(start); since > 9*day && since < 10*day {
					m.s.Paused = "change freeze"
				}
				m.round(t)
			}
			if len(m.done) < size.vms {
				t.Fatalf("%d of %d VMs maintained within the period", len(m.done), size.vms)
			}
			t.Logf("%d VMs: first start at %.1f d, roll-out %.1f d with a pause of 1 d, at most %d in progress, %.2f on average since day 8, %d checkpoints",
				size.vms, m.first.Sub(start).Hours()/24, m.last.Sub(m.first).Hours()/24, m.maxInProgress, float64(m.inProgressSum)/float64(steps), m.checkpoints)
		})
	}
}

// TestBudgetsHold checks for random states of the fleet that a plan keeps the limits
// of pools, racks and data centres and the reserve for the loss of a rack.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleetOf(rapid.IntRange(8, 120).Draw(t, "vms"), rapid.IntRange(1, 4).Draw(t, "dcs"), rapid.IntRange(1, 5).Draw(t, "pools"))
		s.Plan.MaxPerRack = rapid.IntRange(0, 3).Draw(t, "perRack")
		s.Plan.MaxPerDataCentre = rapid.IntRange(0, 6).Draw(t, "perDC")
		s.Plan.AvoidDataCentresOut = rapid.Bool().Draw(t, "avoid")
		out := rapid.Bool().Draw(t, "out")
		s.DataCentresOut = map[fleet.DataCentreName]bool{"dc0": out}
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		for name := range s.Pools {
			s.Pools[name] = Pool{MaxUnavailable: limit, LostRecords: rapid.IntRange(0, 1).Draw(t, "lost")}
		}
		now := start.Add(14 * day)
		age := rapid.Float64Range(0.5, 1.1).Draw(t, "age")
		byID := map[fleet.VMID]*VM{}
		for i := range s.VMs {
			v := &s.VMs[i]
			v.LastMaintained = now.Add(-time.Duration(age * float64(14*day)))
			v.HasBudgetRecord = rapid.IntRange(0, 9).Draw(t, "drawn") == 0
			byID[v.ID] = v
		}
		domains := largestRacks(s.VMs)
		decisions, _ := Plan(s, now)
		for _, d := range decisions {
			v := byID[d.VM]
			if v.HasBudgetRecord || d.Action != ActionDrain || age < dueAge {
				t.Fatalf("decision %+v for %+v", d, *v)
			}
			v.HasBudgetRecord = true
			pool, rack, dc := s.Pools[v.Pool].LostRecords, 0, 0
			for _, other := range s.VMs {
				if other.Pool == v.Pool && (other.HasBudgetRecord || out && other.DataCentre == "dc0" && v.DataCentre != "dc0") {
					pool++
				}
				if other.HasBudgetRecord && other.DataCentre == v.DataCentre {
					dc++
				}
				if other.HasBudgetRecord && other.Rack == v.Rack {
					rack++
				}
			}
			if pool > limit || rack > s.Plan.MaxPerRack || dc > s.Plan.MaxPerDataCentre {
				t.Fatalf("%s: %d of %d VMs of the pool unavailable, %d of the rack, %d of the data centre", v.ID, pool, limit, rack, dc)
			}
			if age < noReserveAge && limit > domains[v.Pool] && pool+domains[v.Pool] > limit {
				t.Fatalf("%s: the loss of a rack of %d VMs would exceed the limit of %d with %d unavailable", v.ID, domains[v.Pool], limit, pool)
			}
			if out && s.Plan.AvoidDataCentresOut && v.DataCentre != "dc0" {
				t.Fatalf("%s: started while dc0 is out", v.ID)
			}
		}
	})
}

// largestRacks returns for each pool the number of its available VMs in the rack
// with most of them.
func largestRacks(vms []VM) map[fleet.PoolName]int {
	racks, most := map[string]int{}, map[fleet.PoolName]int{}
	for _, v := range vms {
		if !v.HasBudgetRecord {
			key := string(v.Pool) + "/" + string(v.Rack)
			racks[key]++
			most[v.Pool] = max(most[v.Pool], racks[key])
		}
	}
	return most
}

// TestDecisions checks the action and the reason for each state of a single VM.
func TestDecisions(t *testing.T) {
	now := start.Add(13 * day)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	task := func(end, deadline time.Duration, canCheckpoint bool) []Task {
		tk := Task{ID: "t", End: now.Add(end), CanCheckpoint: canCheckpoint}
		if deadline > 0 {
			tk.Deadline = now.Add(deadline)
		}
		return []Task{tk}
	}
	cases := map[string]struct {
		vm     func(*VM)
		s      func(*Snapshot)
		action Action // 0 for no decision
		reason string // part of the reason of the decision or, without a decision, of the waiting reason
	}{
		"overdue":                 {func(v *VM) {}, nil, ActionDrain, "last maintained"},
		"not due":                 {func(v *VM) { v.LastMaintained = ago(day) }, nil, 0, ""},
		"busy, not urgent":        {func(v *VM) { v.LastMaintained, v.Tasks = ago(9*day), task(time.Minute, 0, true) }, nil, 0, "not idle"},
		"busy, ends in time":      {func(v *VM) { v.LastMaintained, v.Tasks = ago(10*day), task(time.Minute, 0, false) }, nil, ActionDrain, ""},
		"busy, outlasts":          {func(v *VM) { v.LastMaintained, v.Tasks = ago(10*day), task(time.Hour, 0, true) }, nil, 0, "outlasts"},
		"long, no checkpoint":     {func(v *VM) { v.Tasks = task(time.Hour, 0, false) }, nil, 0, "cannot be checkpointed"},
		"long, keeps deadline":    {func(v *VM) { v.Tasks = task(time.Hour, 2*time.Hour, true) }, nil, ActionDrain, ""},
		"long, breaks deadline":   {func(v *VM) { v.Tasks = task(time.Hour, 61*time.Minute, true) }, nil, 0, "miss its deadline"},
		"tasks unknown":           {func(v *VM) { v.TasksKnown = false }, nil, 0, "older VMs"},
		"moving":                  {func(v *VM) { v.Active = false }, nil, 0, "being moved"},
		"not live":                {func(v *VM) { v.Live = false }, nil, 0, "not live"},
		"drain given up recently": {func(v *VM) { v.NotBefore = now.Add(time.Minute) }, nil, 0, "short while"},
		"paused":                  {func(v *VM) {}, func(s *Snapshot) { s.Paused = "freeze" }, 0, ""},
		"too many failures":       {func(v *VM) {}, func(s *Snapshot) { s.Failures = 4 }, ActionStopWave, "4 reboots failed"},
		"wave already stopped":    {func(v *VM) {}, func(s *Snapshot) { s.Failures, s.Stopped = 4, "4 failed" }, 0, ""},
		"drained":                 {func(v *VM) { v.Phase, v.PhaseSince, v.Idle = PhaseDraining, ago(time.Minute), true }, nil, ActionReboot, "idle"},
		"drain continues": {func(v *VM) {
			v.Phase, v.PhaseSince, v.Tasks = PhaseDraining, ago(time.Minute), task(time.Hour, 0, true)
		}, nil, 0, ""},
		"drain timeout": {func(v *VM) {
			v.Phase, v.PhaseSince, v.Tasks = PhaseDraining, ago(20*time.Minute), task(time.Hour, 0, true)
		}, nil, ActionCheckpoint, ""},
		"deadline too near": {func(v *VM) {
			v.Phase, v.PhaseSince, v.Tasks = PhaseDraining, ago(20*time.Minute), task(time.Hour, time.Hour, true)
		}, nil, 0, ""},
		"drain given up":        {func(v *VM) { v.Phase, v.PhaseSince = PhaseDraining, ago(time.Hour) }, nil, ActionReturn, "did not end"},
		"drain while paused":    {func(v *VM) { v.Phase, v.PhaseSince, v.Idle = PhaseDraining, now, true }, func(s *Snapshot) { s.Paused = "freeze" }, ActionReturn, "freeze"},
		"drain while other out": {func(v *VM) { v.Phase, v.PhaseSince, v.Idle = PhaseDraining, now, true }, func(s *Snapshot) { s.DataCentresOut = map[fleet.DataCentreName]bool{"dc9": true} }, ActionReturn, "out"},
		"drain lost":            {func(v *VM) { v.Phase, v.PhaseSince, v.Live = PhaseDraining, now, false }, nil, ActionFail, "lost"},
		"reboot not accepted":   {func(v *VM) { v.Phase, v.PhaseSince = PhaseRebooting, now }, nil, ActionReboot, ""},
		"live before the reboot": {func(v *VM) {
			v.Phase, v.PhaseSince, v.RebootAcceptedAt, v.ListedAt = PhaseRebooting, now, now, ago(time.Second)
		}, nil, 0, ""},
		"live again": {func(v *VM) {
			v.Phase, v.PhaseSince, v.RebootAcceptedAt, v.ListedAt = PhaseRebooting, ago(time.Minute), ago(time.Minute), now
		}, nil, ActionFinish, ""},
		"reboot while paused": {func(v *VM) {
			v.Phase, v.PhaseSince, v.RebootAcceptedAt, v.ListedAt = PhaseRebooting, now, ago(time.Minute), now
		}, func(s *Snapshot) { s.Paused = "freeze" }, ActionFinish, ""},
		"reboot timeout": {func(v *VM) {
			v.Phase, v.PhaseSince, v.RebootAcceptedAt, v.Live = PhaseRebooting, ago(time.Hour), ago(time.Hour), false
		}, nil, ActionFail, "not back"},
		"failed, back": {func(v *VM) {
			v.Phase, v.PhaseSince, v.RebootAcceptedAt, v.ListedAt = PhaseFailed, ago(time.Hour), ago(time.Hour), now
		}, nil, ActionFinish, ""},
		"failed, never rebooted": {func(v *VM) { v.Phase, v.PhaseSince, v.ListedAt = PhaseFailed, ago(time.Hour), now }, nil, ActionReturn, ""},
		"held":                   {func(v *VM) { v.Phase = PhaseHeld }, nil, 0, ""},
		"held, lost":             {func(v *VM) { v.Phase, v.Live = PhaseHeld, false }, nil, ActionFail, ""},
		"releasing":              {func(v *VM) { v.Phase = PhaseReleasing }, nil, ActionReturn, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := fleetOf(1, 1, 1)
			tc.vm(&s.VMs[0])
			if tc.s != nil {
				tc.s(&s)
			}
			decisions, report := Plan(s, now)
			if len(decisions) == 0 {
				if tc.action != 0 || tc.reason != "" && !strings.Contains(fmt.Sprint(report.Waiting), tc.reason) {
					t.Fatalf("no decision; waiting %v", report.Waiting)
				}
				return
			}
			if d := decisions[0]; len(decisions) > 1 || d.Action != tc.action || !strings.Contains(d.Reason, tc.reason) {
				t.Fatalf("decisions %+v, want %s", decisions, tc.action)
			}
		})
	}
}

// TestOrder checks which of several VMs starts first: the oldest, then idle ones,
// then those in racks and data centres with fewer unavailable VMs. It also checks
// that the rate rises with the number of VMs and as their period runs out.
func TestOrder(t *testing.T) {
	now, hour := start.Add(12*day), time.Hour
	cases := map[string]struct {
		change func(vms []VM)
		first  int // index of the VM that starts first
	}{
		"oldest": {func(vms []VM) { vms[5].LastMaintained = start.Add(-7 * hour); vms[5].Tasks = []Task{{End: now}} }, 5},
		"idle":   {func(vms []VM) { vms[0].Tasks = []Task{{End: now}}; vms[1].LastMaintained = start.Add(time.Minute) }, 2},
		"rack": {func(vms []VM) {
			vms[0].HasBudgetRecord, vms[0].Pool, vms[3].HasBudgetRecord, vms[3].Pool = true, "pool1", true, "pool1"
		}, 8},
		"data centre": {func(vms []VM) { vms[16].HasBudgetRecord, vms[16].Pool = true, "pool1" }, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := fleetOf(24, 2, 1)
			s.Plan.MaxPerRack, s.Plan.MaxPerDataCentre, s.MaxStarts = 3, 5, 1
			tc.change(s.VMs)
			decisions, _ := Plan(s, now)
			if len(decisions) != 1 || decisions[0].VM != s.VMs[tc.first].ID {
				t.Fatalf("decisions %+v, want only %s", decisions, s.VMs[tc.first].ID)
			}
		})
	}
	s := fleetOf(24, 2, 1)
	s.DataCentresOut = map[fleet.DataCentreName]bool{"dc0": true}
	if decisions, _ := Plan(s, now); len(decisions) != 1 || decisions[0].VM != s.VMs[0].ID {
		t.Errorf("decisions %+v, want one VM of the data centre that is out", decisions)
	}
	for age, want := range map[float64][2]int{0.601: {1, 19}, 0.84: {10, 457}} {
		now := start.Add(time.Duration(age * float64(14*day)))
		for i, n := range []int{48, 2300} {
			if _, r := Plan(fleetOf(n, 4, 5), now); r.AllowedInProgress != want[i] || r.Starting > r.AllowedInProgress {
				t.Errorf("%d VMs at age %.2f: %d of %d allowed, want %d", n, age, r.Starting, r.AllowedInProgress, want[i])
			}
		}
	}
	s = fleetOf(8, 1, 1) // two racks of 4
	s.Plan.MaxPerRack, s.Pools["pool0"] = 4, Pool{MaxUnavailable: 5}
	s.Plan.MaxPerDataCentre = 8
	for age, want := range map[float64]int{0.94: 1, 0.96: 5} {
		s.Plan.Period = time.Duration(float64(12*day) / age)
		if decisions, _ := Plan(s, now); len(decisions) != want {
			t.Errorf("at age %.2f: %d starts, want %d", age, len(decisions), want)
		}
	}
}

// TestFeasible checks the figures at the target size of 2,300 VMs: 164 VMs and 55
// hours of maintenance per day, and 2.3 VMs in maintenance on average.
func TestFeasible(t *testing.T) {
	f := Feasible(fleetOf(2300, 20, 25))
	t.Logf("%.1f a day, %s a day, %.2f at a time, %d at once allowed", f.PerDay, f.TimePerDay.Round(time.Minute), f.Mean, f.MaxInMaintenance)
	if !f.Feasible || int(f.PerDay) != 164 || int(f.TimePerDay.Hours()) != 54 || f.Mean < 2.2 || f.Mean > 2.4 {
		t.Fatalf("feasibility %+v, want 164 VMs and 54 to 55 hours per day and 2.3 VMs on average", f)
	}
	none := fleetOf(48, 4, 5)
	none.Pools["pool3"] = Pool{}
	if Feasible(none).Feasible {
		t.Fatal("a pool without an availability budget is reported as feasible")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ vms, dataCentres, pools int }{{48, 4, 5}, {500, 8, 10}, {2300, 20, 25}} {
		b.Run(fmt.Sprint(size.vms), func(b *testing.B) {
			s := fleetOf(size.vms, size.dataCentres, size.pools)
			for b.Loop() {
				Plan(s, start.Add(12*day))
			}
		})
	}
}
