package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// Guards against a workspace that submits many times its share of jobs and takes
// the whole pool, so that the jobs of others are late (the load hot_tenant).
func TestJobsBeyondTheShareWaitBehindOthers(t *testing.T) {
	h := newHarness(t)
	h.catalog = catalog.New(2, []*catalog.Queue{{Name: "short", Pool: testPool, Stretch: 1.6, Target: 10 * time.Second}},
		[]*catalog.Pool{{Name: testPool, ChecksAdmission: true}},
		[]*catalog.Workspace{{Name: "hot", Weight: 5}, {Name: "calm", Weight: 5}}, catalog.Limits{})
	h.scheduler.Configure(h.catalog)
	h.addVM("a", 2000)
	send := func(workspace string) *job.Spec {
		spec := shortJob(1)
		spec.Workspace = workspace
		spec.Steps[0].Need = fleet.Resources{MilliCPU: 1000}
		h.submit(spec)
		return spec
	}
	var hot []*job.Spec
	for range 30 {
		hot = append(hot, send("hot"))
	}
	calm := []*job.Spec{send("calm"), send("calm")}
	h.settle()
	// The hot workspace uses its share of 5 jobs, then the calm one's jobs start.
	for len(h.workers["a"].running) > 0 && h.vmOf(pool.TaskName(calm[1].ID, 0, 0, 0)) == "" {
		h.end(h.workers["a"], sortedNames(h.workers["a"].running)[0], pool.EndDone)
		h.settle()
	}
	started := 0
	for _, spec := range hot {
		if h.startsByTask[pool.TaskName(spec.ID, 0, 0, 0)] > 0 {
			started++
		}
	}
	if started > 6 {
		t.Fatalf("%d jobs of the hot workspace started before the calm one's, its share is 5", started)
	}
	for range len(hot) {
		for _, name := range sortedNames(h.workers["a"].running) {
			h.end(h.workers["a"], name, pool.EndDone)
		}
		h.settle()
	}
	for _, spec := range hot {
		if h.state(spec.ID) != job.Succeeded {
			t.Fatalf("job %s of the hot workspace never ran", spec.ID)
		}
	}
}
