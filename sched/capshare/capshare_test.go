package capshare

import (
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

// startTarget is the time in which the users expect a task to run whose workspace has room
// for it and uses less than half of its cap.
const startTarget = 3 * time.Second

// TestMain fixes the seed of the property tests unless the command line sets it.
func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

func cpu(n int64) fleet.Resources { return fleet.Resources{MilliCPU: n} }

// fractions returns a need of given fractions of a cap.
func fraction(limit fleet.Resources, f float64) fleet.Resources {
	return fleet.Resources{MilliCPU: int64(float64(limit.MilliCPU) * f), MemoryMB: int64(float64(limit.MemoryMB) * f), Accelerators: int64(float64(limit.Accelerators) * f)}
}

// Guards against a task that fits a cap and never runs (LOST, review/7): half of the cap is
// divided evenly among pools that do not need it and keep it.
func TestTaskThatFitsTheCapRuns(t *testing.T) {
	for _, limit := range []fleet.Resources{cpu(16_000), {MemoryMB: 65_536}, {Accelerators: 8}, {MilliCPU: 16_000, MemoryMB: 65_536, Accelerators: 8}} {
		for _, pools := range []int{1, 2, 5, 25} {
			for _, f := range []float64{0.1, 0.55, 0.75, 1} {
				m := newModel(t, uint64(pools), pools, limit, fraction(limit, 2))
				m.run(5 * time.Second)
				if task := m.submit(pools-1, fraction(limit, f), time.Second); !m.runsWithin(task, startTarget) {
					t.Errorf("cap %+v, %d pools: a task of %v of the cap does not start; row %+v", limit, pools, f, m.row)
				}
			}
		}
	}
}

// Guards against a standstill (LOST): two pools hold a part of a cap each, and each waits for
// a task, or a gang, that needs more than what is left.
func TestPoolsThatWaitForEachOthersShares(t *testing.T) {
	for _, pools := range []int{2, 5, 25} {
		m := newModel(t, uint64(pools), pools, cpu(16_000), cpu(64_000))
		m.run(5 * time.Second)
		var tasks []*modelTask
		for i := range min(pools, 4) {
			tasks = append(tasks, m.submit(i, cpu(12_000), 500*time.Millisecond))
		}
		for i, task := range tasks {
			// Only one of them runs at a time.
			if !m.runsWithin(task, time.Duration(len(tasks))*startTarget) {
				t.Errorf("%d pools: task %d of %d does not start; row %+v", pools, i, len(tasks), m.row)
			}
		}
	}
}

// Guards against a claim that holds up all others (LOST): it can be met only once a
// long-running task of another pool ends, or its pool has no owner.
func TestClaimThatCannotBeMetDoesNotHoldUpOthers(t *testing.T) {
	for _, ownerLost := range []bool{false, true} {
		m := newModel(t, 7, 5, cpu(16_000), cpu(64_000))
		m.run(5 * time.Second)
		m.submit(0, cpu(6_000), 0)
		m.run(2 * time.Second)
		m.submit(1, cpu(12_000), time.Second)
		m.run(time.Second)
		if ownerLost {
			m.pools[1].account = nil
		}
		for i := range 6 {
			if task := m.submit(2, cpu(1_500), 400*time.Millisecond); !m.runsWithin(task, startTarget) {
				t.Fatalf("owner lost %v: task %d does not start beside a claim that cannot be met; row %+v", ownerLost, i, m.row)
			}
		}
	}
}

// Guards against a pool that never gets its even part of a cap (LOST) because tasks of
// another one follow each other without end.
func TestIdlePoolGetsItsPartBesideABacklog(t *testing.T) {
	m := newModel(t, 3, 5, cpu(20_000), cpu(64_000))
	m.run(5 * time.Second)
	for range 400 {
		m.submit(0, cpu(1_000), 500*time.Millisecond)
	}
	m.run(4 * time.Second)
	if task := m.submit(3, cpu(2_000), 0); !m.runsWithin(task, startTarget) {
		t.Errorf("a task of an even part of the cap does not start beside a backlog; row %+v", m.row)
	}
}

// Guards against a workspace above its cap (QUOTA) when it gets a cap, or a lower one, while
// more than that runs: what a pool runs that has not joined the division is not known to the
// others, and what it ran without a cap may exceed a share that it had before.
func TestCapBelowTheUse(t *testing.T) {
	for name, earlier := range map[string][]fleet.Resources{
		"given": {{}}, "lowered": {cpu(1_000_000)}, "taken away and given": {cpu(16_000), {}},
	} {
		m := newModel(t, 5, 5, fleet.Resources{}, cpu(64_000))
		for _, m.limit = range earlier {
			m.run(4 * time.Second)
		}
		for i := range 5 {
			m.submit(i, cpu(6_000), 3*time.Second)
		}
		m.run(time.Second)
		running := m.used()
		m.limit = cpu(16_000)
		var tasks []*modelTask
		for i := range 5 {
			tasks = append(tasks, m.submit(i, cpu(3_000), 500*time.Millisecond))
		}
		m.run(1500 * time.Millisecond)
		if got := m.used(); got != running || running != cpu(30_000) {
			t.Fatalf("%s: %+v runs under the cap, before it %+v, want 30000", name, got, running)
		}
		m.run(4 * time.Second)
		for i, task := range tasks {
			if task.endsAt == 0 {
				t.Errorf("%s: task %d does not start once the runs have ended; row %+v", name, i, m.row)
			}
		}
	}
}

// Guards against a workspace whose tasks wait for nothing (LOST): a pool is declared that has
// no owner yet, while the cap has been in force for long.
func TestNewPoolDoesNotHoldUpTheOthers(t *testing.T) {
	m := newModel(t, 6, 3, cpu(16_000), cpu(64_000))
	m.run(modelUncappedRuns + time.Second)
	m.names = append(m.names, "pool-new")
	if task := m.submit(0, cpu(10_000), time.Second); !m.runsWithin(task, time.Second) {
		t.Errorf("a task does not start while a new pool has not joined; row %+v", m.row)
	}
}

// Guards against a workspace above its cap (QUOTA): a write by which an earlier owner lowers
// the pool's share takes effect once the next owner has read the row, and another pool takes
// the rest at once.
func TestLateWriteOfAnEarlierOwner(t *testing.T) {
	limit, pools := cpu(16_000), []string{"a", "b"}
	a := NewAccount("a")
	a.Observe(Division{"a": {Resources: cpu(10_000)}, "b": {Resources: cpu(6_000)}}, 7)
	if usable, _ := a.Usable(limit, pools, cpu(2_000), true); usable != cpu(2_000) {
		t.Errorf("the next owner may run %+v while the row is unchanged, want no more than the 2000 that run", usable)
	}
	w, ok := a.Next(limit, pools, Work{Used: cpu(2_000), Need: cpu(5_000)}, time.Second)
	if !ok || w.Reason != Confirmed || w.Division["a"].Resources != cpu(10_000) {
		t.Fatalf("the next owner writes %+v (%v), want the same division again", w, ok)
	}
	a.Finish(w, Refused, 0)
	a.Observe(Division{"a": {Resources: cpu(3_000)}, "b": {Resources: cpu(13_000)}}, 8)
	if usable, blocked := a.Usable(limit, pools, cpu(2_000), true); usable != cpu(3_000) || blocked {
		t.Errorf("after the late write the owner may run %+v (blocked %v), want 3000", usable, blocked)
	}
}

// Guards against a workspace above its cap (QUOTA), and tasks that never start (LOST), under
// any mix of tasks, lost answers, late writes and owners that are lost, with a cap that is
// lowered, raised, taken away and given.
func TestAnyMixOfPoolsStaysWithinTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]fleet.Resources{cpu(16_000), {MemoryMB: 65_536}, {Accelerators: 8}, {MilliCPU: 16_000, MemoryMB: 4_096, Accelerators: 10}}).Draw(t, "cap")
		pools := rapid.SampledFrom([]int{2, 3, 5, 12}).Draw(t, "pools")
		m := newModel(t, rapid.Uint64().Draw(t, "seed"), pools, limit, fraction(limit, 2))
		m.loseRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost answers")
		m.lateRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late writes")
		m.run(3 * time.Second)
		for range rapid.IntRange(5, 40).Draw(t, "events") {
			i := rapid.IntRange(0, pools-1).Draw(t, "pool")
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1, 2, 3:
				need := fraction(limit, rapid.SampledFrom([]float64{0.07, 0.15, 0.3, 0.6, 1}).Draw(t, "size"))
				m.submit(i, need, time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms"))*time.Millisecond)
			case 4:
				m.pools[i].account = nil
			case 5:
				m.own(m.pools[i])
			default:
				m.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "pass ms")) * time.Millisecond)
			}
		}
		m.loseRate, m.lateRate = 0, 0
		for _, p := range m.pools {
			if p.account == nil {
				m.own(p)
			}
		}
		// All tasks end, and all late writes are carried out.
		for deadline := m.now + 10*time.Minute; m.now < deadline && m.waiting() > 0; {
			m.run(100 * time.Millisecond)
		}
		if n := m.waiting(); n > 0 {
			t.Fatalf("%d tasks never start; row %+v", n, m.row)
		}
		m.run(6 * time.Second)
		if task := m.submit(rapid.IntRange(0, pools-1).Draw(t, "last"), limit, time.Second); !m.runsWithin(task, startTarget) {
			t.Fatalf("a task of the whole cap does not start once nothing else runs; row %+v", m.row)
		}
	})
}

func (m *model) waiting() int {
	n := 0
	for _, p := range m.pools {
		n += len(p.waiting)
	}
	return n
}

// share returns a share of processors and memory.
func share(n int64) Share { return Share{Resources: fleet.Resources{MilliCPU: n, MemoryMB: n}} }

// next returns the share that the pool "mine" of two pools should have, and whether that is a
// change.
func next(h *Holder, d Division, limit fleet.Resources, need, used fleet.Resources, now time.Duration) (fleet.Resources, bool) {
	d, reason := h.Next(d, limit, 2, Work{Used: used, Need: need}, now)
	return d[h.Pool].Resources, reason != Keep
}

func amount(n int64) fleet.Resources { return share(n).Resources }

// Guards against pools whose cap shares together exceed a workspace's cap.
func TestCapSharesStayWithinCap(t *testing.T) {
	d := Division{"mine": share(250), "other": share(600)}
	got, change := next(&Holder{Pool: "mine"}, d, amount(1000), amount(5000), amount(250), 0)
	if !change || got.MilliCPU != 400 {
		t.Fatalf("requests %d (change %v), want the 400 that the other pool leaves", got.MilliCPU, change)
	}
}

// Guards against a pool that keeps a share it does not need while another pool
// waits for it.
func TestSurplusCapShareIsReturned(t *testing.T) {
	h, d := &Holder{Pool: "mine"}, Division{"mine": share(800), "other": share(100)}
	if _, change := next(h, d, amount(1000), amount(100), amount(100), time.Second); change {
		t.Fatal("the surplus was given back without delay")
	}
	got, change := next(h, d, amount(1000), amount(100), amount(100), time.Second+surplusHold+1)
	if !change || got.MilliCPU > 300 {
		t.Fatalf("share is %d (change %v) for a need of 100, want at most 300", got.MilliCPU, change)
	}
}

// Guards against a cap that is lowered far below the use: each pool reduces its
// share to what it uses, and nothing starts until all shares fit.
func TestLoweredCap(t *testing.T) {
	d, limit := Division{"mine": share(800), "other": share(100)}, amount(300)
	if !ExceedsCap(d.Total(), limit) {
		t.Fatal("shares of 900 do not exceed a cap of 300")
	}
	got, change := next(&Holder{Pool: "mine"}, d, limit, amount(900), amount(500), 0)
	if !change || got.MilliCPU != 500 {
		t.Fatalf("share is %d (change %v), want the 500 in use", got.MilliCPU, change)
	}
	got, _ = next(&Holder{Pool: "mine"}, d, limit, amount(900), amount(50), 0)
	if got.MilliCPU != 200 {
		t.Fatalf("share is %d, want the 200 that the other pool leaves", got.MilliCPU)
	}
}

// Guards against a pool whose cap share was reduced to nothing and that never
// requests one again, so that its jobs never start. Seen with
// deploy/days/store.toml --vary --seed 460056424358 on lantern-sched-grown, as
// lost jobs.
func TestPoolWithoutCapShareRequestsOne(t *testing.T) {
	h, d := &Holder{Pool: "mine"}, Division{"mine": share(0), "other": share(300)}
	got, change := next(h, d, amount(1000), amount(200), amount(0), 0)
	if !change || got.MilliCPU < 200 {
		t.Fatalf("requests %d (change %v), needs 200", got.MilliCPU, change)
	}
	d["mine"] = Share{Resources: cpu(500)} // no memory
	if got, change = next(h, d, amount(1000), amount(200), amount(0), 0); !change || got.MemoryMB < 200 {
		t.Fatalf("requests %d MB (change %v), needs 200", got.MemoryMB, change)
	}
}

// Guards against jobs that never start (LOST): a burst in one pool takes all accelerators,
// or all memory, of a workspace's cap and ends, and the pool keeps its share of them
// because its share of processors is small.
func TestEachResourceOfACapShareIsReturned(t *testing.T) {
	for name, peak := range map[string]fleet.Resources{
		"accelerators": {MilliCPU: 100, MemoryMB: 100, Accelerators: 8},
		"memory":       {MilliCPU: 100, MemoryMB: 1000},
		"memory only":  {MemoryMB: 1000},
	} {
		limit := amount(1000)
		limit.Accelerators = 8
		if name == "memory only" {
			limit.MilliCPU, limit.Accelerators = 0, 0
		}
		h, d := &Holder{Pool: "mine"}, Division{"mine": {Resources: peak}}
		none := fleet.Resources{}
		next(h, d, limit, none, none, time.Second)
		got, change := next(h, d, limit, none, none, time.Second+surplusHold+1)
		if !change || got.Accelerators != 0 || got.MemoryMB > 250 {
			t.Errorf("%s: share is %+v (change %v) without any need, want no accelerators and at most 250 MB", name, got, change)
		}
		d["mine"] = Share{Resources: got}
		if again, change := next(h, d, limit, none, none, time.Minute); change {
			t.Errorf("%s: the share changes again, to %+v", name, again)
		}
		need := fleet.Resources{MilliCPU: 100, MemoryMB: 100, Accelerators: limit.Accelerators}
		other := Division{"other": {Resources: got}} // as the other pool sees it
		if got, _ := next(h, other, limit, need, none, time.Minute); got.Accelerators != limit.Accelerators || got.MemoryMB < 100 {
			t.Errorf("%s: the other pool gets %+v, needs %+v", name, got, need)
		}
	}
}

// Guards against an upgrade that loses shares: builds without claims store the resources of
// each pool alone, and read what this build stores.
func TestDivisionsOfBuildsWithoutClaims(t *testing.T) {
	earlier := map[string]fleet.Resources{"a": {MilliCPU: 4, MemoryMB: 5, Accelerators: 6}, "b": {}}
	stored, err := cbor.Marshal(earlier)
	if err != nil {
		t.Fatal(err)
	}
	var read Division
	if err := cbor.Unmarshal(stored, &read); err != nil || len(read) != 2 || read["a"].Resources != earlier["a"] {
		t.Fatalf("reads %+v (%v), want %+v", read, err, earlier)
	}
	if again, err := cbor.Marshal(read); err != nil || len(again) != len(stored) {
		t.Errorf("a division without claims takes %d bytes (%v), %d before", len(again), err, len(stored))
	}
	read["b"] = Share{Resources: cpu(7), Claim: &Claim{Target: cpu(9), Ticket: 3}}
	if stored, err = cbor.Marshal(read); err != nil {
		t.Fatal(err)
	}
	clear(earlier)
	if err := cbor.Unmarshal(stored, &earlier); err != nil || earlier["a"] != read["a"].Resources || earlier["b"] != cpu(7) {
		t.Errorf("an earlier build reads %+v (%v) from %+v", earlier, err, read)
	}
}

// Guards against a part of a cap that is lost for good (LOST): its pool is no longer declared.
// The pool keeps what its runs hold, gives it back as they end, and leaves the division.
func TestPoolThatIsNoLongerDeclaredGivesItsShareBack(t *testing.T) {
	m := newModel(t, 9, 3, cpu(16_000), cpu(64_000))
	m.submit(2, cpu(9_000), 6*time.Second)
	m.run(5 * time.Second)
	m.names = m.names[:2]
	if task := m.submit(0, cpu(6_500), 0); !m.runsWithin(task, startTarget) {
		t.Errorf("a task of 6500 does not start beside 9000 in a pool that is no longer declared; row %+v", m.row)
	}
	if got := m.row[m.pools[2].name].MilliCPU; got < 9_000 {
		t.Errorf("the pool that is no longer declared has a share of %d, its runs hold 9000", got)
	}
	m.run(7 * time.Second)
	if _, ok := m.row[m.pools[2].name]; ok {
		t.Errorf("a pool that is no longer declared and runs nothing has a share; row %+v", m.row)
	}
	if task := m.submit(1, cpu(9_500), time.Second); !m.runsWithin(task, startTarget) {
		t.Errorf("a task of 9500 beside one of 6500 does not start; row %+v", m.row)
	}
}

// Guards against a pool that gets a cap one task at a time (jobs late): another one holds most
// of it for a backlog that has ended or that its VMs have no room for.
func TestSharesThatAreNotUsedAreGivenBackTogether(t *testing.T) {
	m := newModel(t, 4, 2, cpu(16_000), cpu(16_000))
	for range 14 {
		m.submit(0, cpu(1_000), time.Second)
	}
	m.run(1500 * time.Millisecond)
	var tasks []*modelTask
	for range 12 {
		tasks = append(tasks, m.submit(1, cpu(1_000), 10*time.Second))
	}
	began := m.now
	for _, task := range tasks {
		if !m.runsWithin(task, began+time.Second-m.now) {
			t.Fatalf("%d of 12 tasks have not started after 1 s; row %+v", m.waiting(), m.row)
		}
	}
}

// Guards against a claim that holds up others for long (LOST): it cannot be met, and makes
// progress again and again, since runs of other pools end one after the other.
func TestClaimThatKeepsMakingProgressDoesNotHoldUpOthers(t *testing.T) {
	m := newModel(t, 8, 5, cpu(16_000), cpu(64_000))
	m.run(5 * time.Second)
	m.submit(0, cpu(5_000), 0)
	for i := range 8 {
		m.submit(3, cpu(250), time.Duration(3000+700*i)*time.Millisecond)
	}
	m.run(2 * time.Second)
	m.submit(1, cpu(12_000), time.Second)
	m.run(500 * time.Millisecond)
	for i := range 4 {
		if task := m.submit(2, cpu(1_500), 400*time.Millisecond); !m.runsWithin(task, startTarget) {
			t.Fatalf("task %d does not start beside a claim that cannot be met; row %+v", i, m.row)
		}
	}
}
