package session_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// oneFile returns a change that adds one file.
func oneFile(id string, base fleet.Revision, name string, content []byte) client.Change {
	return client.Change{ID: id, Base: base, Put: []client.File{{Name: name, Content: content}}}
}

// revision returns the accepted revision.
func (h *harness) revision() fleet.Revision {
	h.t.Helper()
	status, err := h.operator(h.live()[0]).Status(h.ctx)
	if err != nil {
		h.t.Fatal(err)
	}
	return status.Revision
}

// Guards against faults in accepting changes: a change that is in force late or
// not at every entry, a faulty folder that changes something, two concurrent
// changes on the same base that are both accepted, and a repeated change that
// is applied twice.
func TestApplyToInForce(t *testing.T) {
	h := newHarness(t, 2)
	entries := h.live()

	h.report("# a change")
	limit := []byte("teams:\n  booking: {limit: 20}\n")
	change := oneFile("lower-limit", 1, "00000003-limit.yaml", limit)
	began := time.Now()
	applied := h.apply(change)
	if took := time.Since(began); took > inForceBound {
		t.Errorf("the change was in force after %s, want at most %s", took, inForceBound)
	}
	h.report("revision %d", applied.Revision)
	for i, e := range entries {
		teams, err := h.operator(e).Teams(h.ctx)
		if err != nil || len(teams) == 0 {
			t.Fatalf("teams at entry %d: %v", i+1, err)
		}
		h.report("entry %d: limit of %s is %d", i+1, teams[0].Name, teams[0].Limit)
	}

	h.report("# the same change id again, at another entry")
	again, err := h.operator(entries[3]).Apply(h.ctx, change)
	h.report("%s, revision %d", errText(err), again.Revision)

	h.report("# a faulty folder")
	faulty := []byte("teams:\n  booking: {share: 90%, limit: none}\nqueues:\n  parts: {pool: missing, open: true}\nshifts: {}\n")
	_, err = h.operator(entries[1]).Apply(h.ctx, oneFile("faulty", 2, "00000004-faulty.yaml", faulty))
	h.report("%s", errText(err))
	for _, f := range findings(err) {
		h.report("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	h.report("revision %d", h.revision())

	h.report("# two operators race")
	var group sync.WaitGroup
	results := make([]string, 2)
	for i := range results {
		group.Go(func() {
			content := fmt.Appendf(nil, "teams:\n  supply: {limit: %d}\n", 10+i)
			change := oneFile(fmt.Sprintf("race-%d", i), 2, "00000004-race.yaml", content)
			applied, err := h.operator(entries[i*2]).Apply(h.ctx, change)
			results[i] = fmt.Sprintf("%s, revision %d", errText(err), max(applied.Revision, acceptedRevision(err)))
		})
	}
	group.Wait()
	slices.Sort(results)
	for _, r := range results {
		h.report("%s", r)
	}
	h.eventually(inForceBound, "every entry has revision 3", func() bool {
		for _, e := range entries {
			if status, err := h.operator(e).Status(h.ctx); err != nil || status.Revision != 3 {
				return false
			}
		}
		return true
	})
	h.assertGolden("apply_to_in_force")
}

// Guards against jobs that are accepted or started for a key more than 4 s
// after its withdrawal, and against running tasks that the withdrawal stops.
func TestKeyWithdrawnInUse(t *testing.T) {
	h := newHarness(t, 2)
	running := h.submitAll(20, jobSpec{team: "booking", queue: "quotes", id: "running", commands: []string{"draw?time=14s"}})
	steps := h.submitAll(4, jobSpec{team: "booking", queue: "quotes", id: "steps", commands: []string{"draw?time=12s", "print?time=10ms"}})
	// The limit of the team is 24, so no entry may keep a unit of it that it doesn't use.
	h.eventually(10*time.Second, "24 jobs run", func() bool {
		_, n := h.startLog.mostStarts(running)
		_, m := h.startLog.mostStarts(steps)
		return n+m == 24
	})
	waiting := h.submitAll(6, jobSpec{team: "booking", queue: "quotes", id: "waiting", commands: []string{"draw?time=10ms"}})

	began := time.Now()
	h.apply(oneFile("withdraw", 1, "00000003-withdrawn.yaml", config.KeyWithdrawnFile("booking-1")))
	if took := time.Since(began); took > inForceBound {
		t.Errorf("the withdrawal was in force after %s, want at most %s", took, inForceBound)
	}
	request := jobSpec{id: "late", commands: []string{"draw?time=10ms"}}.request()
	for i, e := range h.live() {
		_, err := h.caller(e, "booking").Submit(h.ctx, "quotes", request)
		h.report("entry %d, withdrawn key: %s", i+1, errText(err))
		_, err = h.caller(e, "supply").Submit(h.ctx, "orders", request)
		h.report("entry %d, other key: %s", i+1, errText(err))
	}
	// A withdrawn key cannot read results, so the test grants the team another key.
	key, presented, err := config.NewKey(entropy, "booking-2", "booking")
	if err != nil {
		t.Fatal(err)
	}
	h.apply(oneFile("grant", 2, "00000004-granted.yaml", config.KeyFile(key)))
	h.keys["booking"] = presented
	h.report("running: %s", h.resultCounts(conditionTimeout, running))
	h.report("between two steps: %s", h.resultCounts(conditionTimeout, steps))
	h.report("waiting: %s", h.resultCounts(conditionTimeout, waiting))
	_, started := h.startLog.mostStarts(waiting)
	h.report("waiting jobs started: %d", started)
	h.assertGolden("key_withdrawn")
}

// startStream submits an idempotent job of 1 s once in each interval, until stop
// is called, which returns the jobs. Jobs go to the data centre with the most
// free slots, so both get work only if more jobs run at a time than their numbers
// of slots differ by.
func (h *harness) startStream(interval time.Duration) (stop func() batch) {
	var b batch
	var stopped atomic.Bool
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; !stopped.Load(); i++ {
			spec := jobSpec{team: "booking", queue: "quotes", id: fmt.Sprintf("stream-%d", i), commands: []string{"cut?time=1s"}, idempotent: true}
			b.specs, b.jobs = append(b.specs, spec), append(b.jobs, h.submit(spec))
			time.Sleep(interval)
		}
	})
	return func() batch {
		stopped.Store(true)
		group.Wait()
		return b
	}
}

// Guards against tasks that start in a data centre more than 4 s after it was
// taken out, work elsewhere that stops with it, and a data centre that gets no
// work after its return.
func TestDataCentreOutAndBack(t *testing.T) {
	h := newHarness(t, 1)
	stop := h.startStream(20 * time.Millisecond)
	starts := func(dc fleet.DataCentreName, since time.Time) int {
		return countAfter(h.startLog.startTimesIn(dc), since)
	}
	h.eventually(conditionTimeout, "both data centres work", func() bool {
		return starts("dc-a", time.Time{}) > 0 && starts("dc-b", time.Time{}) > 0
	})
	h.report("dc-a and dc-b work")

	out := time.Now()
	h.apply(oneFile("out", 1, "00000003-out.yaml", config.DataCentreFile("dc-b", fleet.DataCentreOut)))
	limit := out.Add(inForceBound)
	h.eventually(conditionTimeout, "dc-a still starts tasks 2 s after the limit", func() bool {
		return starts("dc-a", limit.Add(2*time.Second)) > 0
	})
	h.report("dc-b is out: %d starts in dc-b after the limit, dc-a works", starts("dc-b", limit))

	back := time.Now()
	h.apply(oneFile("in", 2, "00000004-in.yaml", config.DataCentreFile("dc-b", fleet.DataCentreIn)))
	h.eventually(conditionTimeout, "dc-b works again", func() bool { return starts("dc-b", back) > 0 })
	h.report("dc-b is back and works")

	b := stop()
	for i, job := range b.jobs {
		if r := h.result(conditionTimeout, "booking", job.ID); r.Outcome != fleet.OutcomeCompleted {
			t.Errorf("job %s: %s", b.specs[i].id, resultText(r))
		}
	}
	most, _ := h.startLog.mostStarts(b)
	h.report("all jobs completed, most starts of a step: %d", most)
	h.assertGolden("data_centre_out")
}
