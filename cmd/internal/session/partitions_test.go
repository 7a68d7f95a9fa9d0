package session_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/client"
	"amaranthfork.example/control/limits"
	"amaranthfork.example/entry/local"
	"amaranthfork.example/fleet"
)

// Guards C8 and C9 in an outage of the store: keyed idempotent work that stops
// although the entries agree, work that must be recorded and is accepted
// nevertheless, and results that are not recorded after the outage.
func TestStoreOutage(t *testing.T) {
	w := newWorld(t, 1)
	// Holdings of the team's limit cannot be changed in the outage, so the team
	// must be at work before it.
	warm := w.submitAll(20, work{team: "booking", queue: "quotes", id: "warm", commands: []string{"draw?time=2s"}, idempotent: true})
	w.eventually(patience, "20 jobs run", func() bool { _, n := w.ledger.most(warm); return n == 20 })
	w.fleet.Platform.Service.StoreDown(true)
	w.eventually(patience, "every entry sees the outage and agrees", func() bool {
		for _, e := range w.live() {
			if status, err := w.operator(e).Status(w.ctx); err != nil || status.StoreReachable || !status.Fresh {
				return false
			}
		}
		return true
	})
	b := w.submitAll(8, work{team: "booking", queue: "quotes", id: "outage", commands: []string{"price?time=50ms", "draw?time=50ms"}, idempotent: true})
	unrecorded := 0
	for _, job := range b.jobs {
		if job.Unrecorded {
			unrecorded++
		}
	}
	w.say("idempotent, accepted: %d of %d unrecorded", unrecorded, len(b.jobs))
	w.say("idempotent, in the outage: %s", w.summary(patience, b))
	once := work{team: "supply", queue: "orders", id: "outage", commands: []string{"send?time=50ms"}}
	for i, e := range w.live() {
		_, err := w.caller(e, once.team).Submit(w.ctx, once.queue, once.request())
		w.say("not idempotent at entry %d: %s", i+1, errText(err))
		_, err = w.operator(e).Apply(w.ctx, oneFile(fmt.Sprintf("outage-%d", i), 1, "00000003-limit.yaml", []byte("teams:\n  booking: {limit: 20}\n")))
		w.say("change at entry %d: %s", i+1, errText(err))
	}
	w.fleet.Platform.Service.StoreDown(false)
	w.eventually(patience, "every job is recorded", func() bool {
		for i, job := range b.jobs {
			status, err := w.caller(w.live()[0], b.works[i].team).Job(w.ctx, job.ID)
			if err != nil || status.Unrecorded {
				return false
			}
		}
		return true
	})
	// Whatever is known after a crash of all entries was recorded.
	for _, old := range w.live() {
		w.remove(old, old.Kill)
	}
	w.add("dc-a")
	w.add("dc-b")
	w.waitReady(2)
	w.say("after a crash of all entries: %s", w.summary(patience, b))
	most, _ := w.ledger.most(b)
	w.say("most starts of a step: %d", most)
	w.say("running before the outage: %s", w.summary(patience, warm))
	job := w.submit(once)
	w.say("not idempotent, after the outage: %s, %d starts", resultText(w.result(patience, once.team, job.ID)), w.ledger.starts(job.ID, 0))
	w.golden("store_outage")
}

// Guards C3, C4 and C6 at an entry without any evidence: keyed work and starts
// later than 4 s after it was cut off, and status requests that fail with them.
func TestEntryCutOff(t *testing.T) {
	w := newWorld(t, 2)
	island := w.live()[0]
	running := w.submitAll(16, work{team: "booking", queue: "quotes", id: "running", commands: []string{"draw?time=3s", "print?time=50ms"}, idempotent: true})
	w.eventually(patience, "16 jobs run", func() bool { _, n := w.ledger.most(running); return n >= 16 })
	island.Isolate(true)
	cut := time.Now()
	k := work{team: "booking", queue: "quotes", commands: []string{"cut?time=10ms"}, idempotent: true}
	tries := 0
	for time.Since(cut) < inForce {
		k.id = fmt.Sprintf("before-%d", tries)
		tries++
		_, _ = w.caller(island, k.team).Submit(w.ctx, k.queue, k.request())
		time.Sleep(pollTime)
	}
	refusals := map[string]int{}
	for i := range 50 {
		k.id = fmt.Sprintf("after-%d", i)
		_, err := w.caller(island, k.team).Submit(w.ctx, k.queue, k.request())
		refusals[errText(err)]++
		time.Sleep(pollTime)
	}
	w.say("more than 4 s after the cut, keyed work at the island: %s", countText(refusals))
	status, err := w.operator(island).Status(w.ctx)
	w.say("status at the island: %s, fresh %t, store reachable %t", errText(err), status.Fresh, status.StoreReachable)
	w.say("ready for the load balancer: %t", island.Ready(w.ctx))
	answered := 0
	for i, job := range running.jobs {
		if _, err := w.caller(island, running.works[i].team).Job(w.ctx, job.ID); err == nil {
			answered++
		}
	}
	if answered == 0 {
		t.Error("the island answers for none of its jobs")
	}
	island.Isolate(false)
	w.waitReady(4)
	w.say("after the return the island leads VMs again")
	w.say("jobs: %s", w.summary(adoption, running))
	k.id = "back"
	job := w.submit(k)
	w.say("new work: %s", resultText(w.result(patience, k.team, job.ID)))
	w.golden("entry_cut_off")
}

// Guards the end of a session: an entry that was paused until another fenced
// its session, and that acts under the old session afterwards or does not begin
// a new one.
func TestFencedSession(t *testing.T) {
	w := newWorld(t, 2)
	paused := w.live()[0]
	before := w.session(paused)
	idempotent, once := w.mixed("fence", 12, "draw?time=2s")
	w.eventually(patience, "12 non-idempotent jobs run", func() bool { _, n := w.ledger.most(once); return n >= 12 })
	// To the others a process that is paused is one that neither calls nor
	// answers.
	w.hang(paused, true)
	w.eventually(adoption, "the others fence the session", func() bool {
		for _, e := range w.live()[1:] {
			status, err := w.operator(e).Status(w.ctx)
			if err != nil || len(status.Members) != 3 {
				return false
			}
		}
		return true
	})
	w.say("the others have fenced the session")
	w.hang(paused, false)
	w.waitReady(4)
	w.say("the process has a new session: %t", w.session(paused) != before)
	w.say("idempotent: %s", w.summary(adoption, idempotent))
	w.say("not idempotent: %s", w.summary(adoption, once))
	most, started := w.ledger.most(once)
	w.say("not idempotent: %d steps started, most starts of a step: %d", started, most)
	job := w.submitThere(paused)
	w.say("new work at the process: %s", resultText(w.result(patience, "booking", job.ID)))
	w.golden("fenced_session")
}

func (w *world) submitThere(e *local.Entry) client.Job {
	w.t.Helper()
	k := work{team: "booking", queue: "quotes", id: "there", commands: []string{"cut?time=10ms"}}
	job, err := w.submitAt(func() *local.Entry { return e }, k)
	if err != nil {
		w.t.Fatal(err)
	}
	return job
}

// hang makes all calls of an entry wait, to the platform and to other entries.
func (w *world) hang(e *local.Entry, hang bool) {
	p := e.Platform.Path
	p.Table.SetHang(hang)
	p.Objects.SetHang(hang)
	p.Workers.SetHang(hang)
	p.VMs.SetHang(hang)
	p.VMList.SetHang(hang)
	e.CutPeers(hang)
}

// session returns the member id of an entry.
func (w *world) session(e *local.Entry) string {
	w.t.Helper()
	status, err := w.operator(e).Status(w.ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, m := range status.Members {
		if m.Address == e.PeerAddress() {
			return m.ID
		}
	}
	w.t.Fatal("the entry does not know its own session")
	return ""
}

// Guards work of a team that was idle when an outage of the store began: its
// idempotent jobs must run like those of a team at work.
func TestStoreOutageIdleTeam(t *testing.T) {
	w := newWorld(t, 1)
	w.eventually(patience, "every entry keeps units of the idle team", func() bool {
		row, err := w.fleet.Platform.Table.Get(w.ctx, limits.Key("supply"))
		var content limits.Row
		return err == nil && row.Version > 0 && cbor.Unmarshal(row.Value, &content) == nil && len(content.Units) == len(w.live())
	})
	w.fleet.Platform.Service.StoreDown(true)
	t.Cleanup(func() { w.fleet.Platform.Service.StoreDown(false) })
	job := w.submit(work{team: "supply", queue: "orders", id: "idle", commands: []string{"draw?time=50ms"}, idempotent: true})
	if r := w.result(15*time.Second, "supply", job.ID); r.Outcome != fleet.OutcomeCompleted {
		t.Errorf("job of an idle team in an outage: %s", resultText(r))
	}
}
