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

// oneFile is a change of one new file.
func oneFile(id string, base fleet.Revision, name string, content []byte) client.Change {
	return client.Change{ID: id, Base: base, Put: []client.File{{Name: name, Content: content}}}
}

// revision returns the accepted revision.
func (w *world) revision() fleet.Revision {
	w.t.Helper()
	status, err := w.operator(w.live()[0]).Status(w.ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	return status.Revision
}

// Guards the acceptance of changes: a change that is in force late or not
// everywhere, a faulty folder that changes something, two winners of a race,
// and a repeated change that is applied twice.
func TestApplyToInForce(t *testing.T) {
	w := newWorld(t, 2)
	entries := w.live()

	w.say("# a change")
	limit := []byte("teams:\n  booking: {limit: 20}\n")
	change := oneFile("lower-limit", 1, "00000003-limit.yaml", limit)
	began := time.Now()
	applied := w.apply(change)
	if took := time.Since(began); took > inForce {
		t.Errorf("the change was in force after %s, want at most %s", took, inForce)
	}
	w.say("revision %d", applied.Revision)
	for i, e := range entries {
		teams, err := w.operator(e).Teams(w.ctx)
		if err != nil || len(teams) == 0 {
			t.Fatalf("teams at entry %d: %v", i+1, err)
		}
		w.say("entry %d: limit of %s is %d", i+1, teams[0].Name, teams[0].Limit)
	}

	w.say("# the same change id again, at another entry")
	again, err := w.operator(entries[3]).Apply(w.ctx, change)
	w.say("%s, revision %d", errText(err), again.Revision)

	w.say("# a faulty folder")
	faulty := []byte("teams:\n  booking: {share: 90%, limit: none}\nqueues:\n  parts: {pool: missing, open: true}\nshifts: {}\n")
	_, err = w.operator(entries[1]).Apply(w.ctx, oneFile("faulty", 2, "00000004-faulty.yaml", faulty))
	w.say("%s", errText(err))
	for _, f := range findings(err) {
		w.say("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	w.say("revision %d", w.revision())

	w.say("# two operators race")
	var group sync.WaitGroup
	results := make([]string, 2)
	for i := range results {
		group.Go(func() {
			content := fmt.Appendf(nil, "teams:\n  supply: {limit: %d}\n", 10+i)
			change := oneFile(fmt.Sprintf("race-%d", i), 2, "00000004-race.yaml", content)
			applied, err := w.operator(entries[i*2]).Apply(w.ctx, change)
			results[i] = fmt.Sprintf("%s, revision %d", errText(err), max(applied.Revision, winner(err)))
		})
	}
	group.Wait()
	slices.Sort(results)
	for _, r := range results {
		w.say("%s", r)
	}
	w.eventually(inForce, "every entry has revision 3", func() bool {
		for _, e := range entries {
			if status, err := w.operator(e).Status(w.ctx); err != nil || status.Revision != 3 {
				return false
			}
		}
		return true
	})
	w.golden("apply_to_in_force")
}

// Guards C4: work that is accepted or started for a key more than 4 s after its
// withdrawal, and running work that is cut by the withdrawal.
func TestKeyWithdrawnInUse(t *testing.T) {
	w := newWorld(t, 2)
	running := w.submitAll(20, work{team: "booking", queue: "quotes", id: "running", commands: []string{"draw?time=14s"}})
	steps := w.submitAll(4, work{team: "booking", queue: "quotes", id: "steps", commands: []string{"draw?time=12s", "print?time=10ms"}})
	// The team is at its limit of 24, so no entry may keep an idle unit.
	w.eventually(10*time.Second, "24 jobs run", func() bool {
		_, n := w.ledger.most(running)
		_, m := w.ledger.most(steps)
		return n+m == 24
	})
	waiting := w.submitAll(6, work{team: "booking", queue: "quotes", id: "waiting", commands: []string{"draw?time=10ms"}})

	began := time.Now()
	w.apply(oneFile("withdraw", 1, "00000003-withdrawn.yaml", config.KeyWithdrawnFile("booking-1")))
	if took := time.Since(began); took > inForce {
		t.Errorf("the withdrawal was in force after %s, want at most %s", took, inForce)
	}
	request := work{id: "late", commands: []string{"draw?time=10ms"}}.request()
	for i, e := range w.live() {
		_, err := w.caller(e, "booking").Submit(w.ctx, "quotes", request)
		w.say("entry %d, withdrawn key: %s", i+1, errText(err))
		_, err = w.caller(e, "supply").Submit(w.ctx, "orders", request)
		w.say("entry %d, other key: %s", i+1, errText(err))
	}
	// A withdrawn key cannot ask for results, so another key of the team does.
	key, presented, err := config.NewKey(entropy, "booking-2", "booking")
	if err != nil {
		t.Fatal(err)
	}
	w.apply(oneFile("grant", 2, "00000004-granted.yaml", config.KeyFile(key)))
	w.keys["booking"] = presented
	w.say("running: %s", w.summary(patience, running))
	w.say("between two steps: %s", w.summary(patience, steps))
	w.say("waiting: %s", w.summary(patience, waiting))
	_, started := w.ledger.most(waiting)
	w.say("waiting jobs started: %d", started)
	w.golden("key_withdrawn")
}

// stream submits idempotent jobs of a second until stop is called, and returns
// them. Jobs go to the data centre with the most free slots, so the stream must
// run more jobs at a time than the difference between the data centres.
func (w *world) stream(every time.Duration) (stop func() batch) {
	var b batch
	var over atomic.Bool
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; !over.Load(); i++ {
			k := work{team: "booking", queue: "quotes", id: fmt.Sprintf("stream-%d", i), commands: []string{"cut?time=1s"}, idempotent: true}
			b.works, b.jobs = append(b.works, k), append(b.jobs, w.submit(k))
			time.Sleep(every)
		}
	})
	return func() batch {
		over.Store(true)
		group.Wait()
		return b
	}
}

// Guards C6: tasks that start in a data centre more than 4 s after it was taken
// out, work elsewhere that stops with it, and a data centre that takes no work
// after its return.
func TestDataCentreOutAndBack(t *testing.T) {
	w := newWorld(t, 1)
	stop := w.stream(20 * time.Millisecond)
	starts := func(dc fleet.DataCentreName, since time.Time) int {
		return after(w.ledger.inDataCentre(dc), since)
	}
	w.eventually(patience, "both data centres work", func() bool {
		return starts("dc-a", time.Time{}) > 0 && starts("dc-b", time.Time{}) > 0
	})
	w.say("dc-a and dc-b work")

	out := time.Now()
	w.apply(oneFile("out", 1, "00000003-out.yaml", config.DataCentreFile("dc-b", fleet.DataCentreOut)))
	limit := out.Add(inForce)
	w.eventually(patience, "dc-a works on for 2 s after the limit", func() bool {
		return starts("dc-a", limit.Add(2*time.Second)) > 0
	})
	w.say("dc-b is out: %d starts in dc-b after the limit, dc-a works", starts("dc-b", limit))

	back := time.Now()
	w.apply(oneFile("in", 2, "00000004-in.yaml", config.DataCentreFile("dc-b", fleet.DataCentreIn)))
	w.eventually(patience, "dc-b works again", func() bool { return starts("dc-b", back) > 0 })
	w.say("dc-b is back and works")

	b := stop()
	for i, job := range b.jobs {
		if r := w.result(patience, "booking", job.ID); r.Outcome != fleet.OutcomeCompleted {
			t.Errorf("job %s: %s", b.works[i].id, resultText(r))
		}
	}
	most, _ := w.ledger.most(b)
	w.say("all jobs completed, most starts of a step: %d", most)
	w.golden("data_centre_out")
}
