package quarantine

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

// pool simulates the workers of one pool.
type pool struct {
	tracker *Tracker
	vms     []fleet.VMID
	now     time.Time
	random  *rand.Rand
	jobs    int
}

func newPool(vms int) *pool {
	p := &pool{tracker: New(DefaultSettings()), now: time.Unix(1000, 0), random: rand.New(rand.NewSource(1))}
	for i := range vms {
		p.vms = append(p.vms, fleet.VMID(fmt.Sprintf("vm%02d", i)))
	}
	return p
}

// round starts jobs on random workers, of which it avoids quarantined ones. A failed
// job is retried up to twice, as long as it is not known to be faulty.
func (p *pool) round(jobs int, fails func(vm fleet.VMID, job int) bool) {
	for range jobs {
		p.jobs++
		job := fleet.JobID(fmt.Sprintf("j%d", p.jobs))
		for range 3 {
			vm := p.vms[p.random.Intn(len(p.vms))]
			for try := 0; p.tracker.State(vm) == Quarantined && try < 100; try++ {
				vm = p.vms[p.random.Intn(len(p.vms))]
			}
			failed := fails(vm, p.jobs)
			p.tracker.Observe(TaskEnd{VM: vm, Class: fleet.ClassStandard, Job: job, Failed: failed})
			if !failed || p.tracker.Faulty(job) {
				break
			}
		}
	}
	p.now = p.now.Add(time.Second)
	p.tracker.Evaluate(p.now, map[fleet.PoolName][]fleet.VMID{"p": p.vms})
}

func (p *pool) count(state State) int {
	n := 0
	for _, vm := range p.vms {
		if p.tracker.State(vm) == state {
			n++
		}
	}
	return n
}

// TestBadWorker guards against a worker that stays in use although it fails every
// task, and against one that stays restricted after it has recovered.
func TestBadWorker(t *testing.T) {
	for _, history := range []int{0, 50} {
		p := newPool(10)
		bad := func(vm fleet.VMID, _ int) bool { return vm == "vm03" }
		for range history {
			p.round(10, func(fleet.VMID, int) bool { return false })
		}
		for range 15 {
			p.round(10, bad)
		}
		if p.tracker.State("vm03") != Quarantined || p.count(Healthy) != 9 {
			t.Fatalf("after %d rounds of success: the bad worker is %s, %d workers are healthy", history, p.tracker.State("vm03"), p.count(Healthy))
		}
		for range 120 {
			p.round(10, bad)
		}
		if w := p.tracker.workers["vm03"]; w.state == Healthy || w.relapses < 2 {
			t.Errorf("the worker still fails, but is %s with %d relapses", w.state, w.relapses)
		}
		for range 300 {
			p.round(10, func(fleet.VMID, int) bool { return false })
		}
		if p.count(Healthy) != 10 {
			t.Errorf("the worker has recovered, but is %s", p.tracker.State("vm03"))
		}
	}
}

// TestTwoBadWorkers guards against two workers that become faulty at the same time
// and are not quarantined: as each has succeeded before, jobs that fail on both
// would be called faulty.
func TestTwoBadWorkers(t *testing.T) {
	p := newPool(10)
	for range 50 {
		p.round(10, func(fleet.VMID, int) bool { return false })
	}
	for range 15 {
		p.round(10, func(vm fleet.VMID, _ int) bool { return vm <= "vm01" })
	}
	faulty := 0
	for _, job := range p.tracker.jobs {
		if job.faulty {
			faulty++
		}
	}
	if p.tracker.State("vm00") != Quarantined || p.tracker.State("vm01") != Quarantined || faulty > 1 {
		t.Errorf("the bad workers are %s and %s, %d good jobs were called faulty", p.tracker.State("vm00"), p.tracker.State("vm01"), faulty)
	}
}

// TestBadJobs guards against many faulty jobs that get workers quarantined, and
// against faulty jobs that are not found.
func TestBadJobs(t *testing.T) {
	for _, interval := range []int{10, 3, 2, 1} { // one job in so many is faulty
		p := newPool(10)
		for range 20 {
			p.round(10, func(fleet.VMID, int) bool { return false })
		}
		worst := 0
		for range 60 {
			p.round(10, func(_ fleet.VMID, job int) bool { return job%interval == 0 })
			worst = max(worst, len(p.vms)-p.count(Healthy))
		}
		if worst > 0 {
			t.Errorf("one of %d jobs faulty: %d healthy workers were restricted", interval, worst)
		}
		faulty := 0
		for _, job := range p.tracker.jobs {
			if job.faulty {
				faulty++
			}
		}
		if interval >= 3 && faulty < 600/interval/2 {
			t.Errorf("one of %d jobs faulty: only %d were found", interval, faulty)
		}
	}
}

// TestRestrictedWorkersAreBounded guards against a pool that loses too many workers
// to quarantine when most of them are faulty.
func TestRestrictedWorkersAreBounded(t *testing.T) {
	for _, c := range []struct{ vms, bad, bound int }{{10, 4, 2}, {12, 12, 2}, {3, 1, 1}, {1, 1, 0}} {
		p := newPool(c.vms)
		for range 40 {
			p.round(10, func(fleet.VMID, int) bool { return false })
		}
		worst := 0
		for range 100 {
			p.round(10, func(vm fleet.VMID, _ int) bool { return vm < fleet.VMID(fmt.Sprintf("vm%02d", c.bad)) })
			worst = max(worst, c.vms-p.count(Healthy))
		}
		if worst > c.bound {
			t.Errorf("%d of %d workers bad: %d restricted, want at most %d", c.bad, c.vms, worst, c.bound)
		}
	}
}

// TestMemoryIsBounded checks that the number of remembered jobs and workers and the
// weight of old tasks stay limited.
func TestMemoryIsBounded(t *testing.T) {
	p := newPool(4)
	p.tracker.settings.MaxJobs = 16
	for range 50 {
		p.round(10, func(fleet.VMID, int) bool { return true })
	}
	p.tracker.Evaluate(p.now, map[fleet.PoolName][]fleet.VMID{"p": p.vms[:1]})
	if len(p.tracker.jobs) > 16 || len(p.tracker.workers) != 1 {
		t.Errorf("%d jobs and %d workers remembered, want at most 16 and 1", len(p.tracker.jobs), len(p.tracker.workers))
	}
	p.tracker.Evaluate(p.now.Add(24*time.Hour), map[fleet.PoolName][]fleet.VMID{"p": p.vms[:1]})
	if n := p.tracker.classes[fleet.ClassStandard].tasks; n > 1 {
		t.Errorf("ended tasks still weigh as much as %.1f tasks after a day", n)
	}
}
