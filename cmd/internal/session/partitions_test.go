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

// Guards against faults in an outage of the store: keyed idempotent jobs that are
// refused although the entries agree, other jobs that are accepted unrecorded, run
// twice or run although refused, and results not recorded after the outage.
func TestStoreOutage(t *testing.T) {
	h := newHarness(t, 1)
	// In the outage the units of the team's limit cannot move between entries, so
	// the team must have running tasks before it.
	runningBefore := h.submitAll(20, jobSpec{team: "booking", queue: "quotes", id: "warm", commands: []string{"draw?time=2s"}, idempotent: true})
	h.eventually(conditionTimeout, "20 jobs run", func() bool { _, n := h.startLog.mostStarts(runningBefore); return n == 20 })
	h.fleet.Platform.SharedFaults.StoreDown(true)
	h.eventually(conditionTimeout, "every entry sees the outage and agrees", func() bool {
		for _, e := range h.live() {
			if status, err := h.operator(e).Status(h.ctx); err != nil || status.StoreReachable || !status.Fresh {
				return false
			}
		}
		return true
	})
	b := h.submitAll(8, jobSpec{team: "booking", queue: "quotes", id: "outage", commands: []string{"price?time=50ms", "draw?time=50ms"}, idempotent: true})
	unrecorded := 0
	for _, job := range b.jobs {
		if job.Unrecorded {
			unrecorded++
		}
	}
	h.report("idempotent, accepted: %d of %d unrecorded", unrecorded, len(b.jobs))
	h.report("idempotent, in the outage: %s", h.resultCounts(conditionTimeout, b))
	nonIdempotent := jobSpec{team: "supply", queue: "orders", id: "outage", commands: []string{"send?time=50ms"}}
	for i, e := range h.live() {
		_, err := h.caller(e, nonIdempotent.team).Submit(h.ctx, nonIdempotent.queue, nonIdempotent.request())
		h.report("not idempotent at entry %d: %s", i+1, errText(err))
		_, err = h.operator(e).Apply(h.ctx, oneFile(fmt.Sprintf("outage-%d", i), 1, "00000003-limit.yaml", []byte("teams:\n  booking: {limit: 20}\n")))
		h.report("change at entry %d: %s", i+1, errText(err))
	}
	h.fleet.Platform.SharedFaults.StoreDown(false)
	h.eventually(conditionTimeout, "every job is recorded", func() bool {
		for i, job := range b.jobs {
			status, err := h.caller(h.live()[0], b.specs[i].team).Job(h.ctx, job.ID)
			if err != nil || status.Unrecorded {
				return false
			}
		}
		return true
	})
	// The replaced entries know only what was recorded.
	for _, old := range h.live() {
		h.remove(old, old.Kill)
	}
	h.add("dc-a")
	h.add("dc-b")
	h.waitReady(2)
	h.report("after a crash of all entries: %s", h.resultCounts(conditionTimeout, b))
	most, _ := h.startLog.mostStarts(b)
	h.report("most starts of a step: %d", most)
	h.report("running before the outage: %s", h.resultCounts(conditionTimeout, runningBefore))
	job := h.submit(nonIdempotent)
	h.report("not idempotent, after the outage: %s, %d starts", resultText(h.result(conditionTimeout, nonIdempotent.team, job.ID)), h.startLog.starts(job.ID, 0))
	h.assertGolden("store_outage")
}

// Guards against keyed jobs and starts more than 4 s after an entry was cut off from
// the store and all other entries: by then a key may be withdrawn or a data centre
// out without its knowledge. Also guards against status requests that then fail.
func TestEntryCutOff(t *testing.T) {
	h := newHarness(t, 2)
	isolated := h.live()[0]
	running := h.submitAll(16, jobSpec{team: "booking", queue: "quotes", id: "running", commands: []string{"draw?time=3s", "print?time=50ms"}, idempotent: true})
	h.eventually(conditionTimeout, "16 jobs run", func() bool { _, n := h.startLog.mostStarts(running); return n >= 16 })
	isolated.Isolate(true)
	isolatedAt := time.Now()
	spec := jobSpec{team: "booking", queue: "quotes", commands: []string{"cut?time=10ms"}, idempotent: true}
	tries := 0
	for time.Since(isolatedAt) < inForceBound {
		spec.id = fmt.Sprintf("before-%d", tries)
		tries++
		_, _ = h.caller(isolated, spec.team).Submit(h.ctx, spec.queue, spec.request())
		time.Sleep(pollInterval)
	}
	refusals := map[string]int{}
	for i := range 50 {
		spec.id = fmt.Sprintf("after-%d", i)
		_, err := h.caller(isolated, spec.team).Submit(h.ctx, spec.queue, spec.request())
		refusals[errText(err)]++
		time.Sleep(pollInterval)
	}
	h.report("more than 4 s after the cut, keyed work at the isolated entry: %s", countText(refusals))
	status, err := h.operator(isolated).Status(h.ctx)
	h.report("status at the isolated entry: %s, fresh %t, store reachable %t", errText(err), status.Fresh, status.StoreReachable)
	h.report("ready for the load balancer: %t", isolated.Ready(h.ctx))
	answered := 0
	for i, job := range running.jobs {
		if _, err := h.caller(isolated, running.specs[i].team).Job(h.ctx, job.ID); err == nil {
			answered++
		}
	}
	if answered == 0 {
		t.Error("the isolated entry answers for none of its jobs")
	}
	isolated.Isolate(false)
	h.waitReady(4)
	h.report("after the end of the cut, the entry owns VMs again")
	h.report("jobs: %s", h.resultCounts(recoveryTimeout, running))
	spec.id = "back"
	job := h.submit(spec)
	h.report("new work: %s", resultText(h.result(conditionTimeout, spec.team, job.ID)))
	h.assertGolden("entry_cut_off")
}

// Guards against an entry that acts under its old session, or doesn't begin a
// new one, after it was paused so long that another entry fenced its session.
func TestFencedSession(t *testing.T) {
	h := newHarness(t, 2)
	paused := h.live()[0]
	before := h.memberID(paused)
	idempotent, nonIdempotent := h.submitMixed("fence", 12, "draw?time=2s")
	h.eventually(conditionTimeout, "12 non-idempotent jobs run", func() bool { _, n := h.startLog.mostStarts(nonIdempotent); return n >= 12 })
	// To the others, a paused process is one that neither calls nor answers.
	h.setHang(paused, true)
	h.eventually(recoveryTimeout, "the others fence the session", func() bool {
		for _, e := range h.live()[1:] {
			status, err := h.operator(e).Status(h.ctx)
			if err != nil || len(status.Members) != 3 {
				return false
			}
		}
		return true
	})
	h.report("the others have fenced the session")
	h.setHang(paused, false)
	h.waitReady(4)
	h.report("the process has a new session: %t", h.memberID(paused) != before)
	h.report("idempotent: %s", h.resultCounts(recoveryTimeout, idempotent))
	h.report("not idempotent: %s", h.resultCounts(recoveryTimeout, nonIdempotent))
	most, started := h.startLog.mostStarts(nonIdempotent)
	h.report("not idempotent: %d steps started, most starts of a step: %d", started, most)
	job := h.submitOnlyAt(paused)
	h.report("new work at the process: %s", resultText(h.result(conditionTimeout, "booking", job.ID)))
	h.assertGolden("fenced_session")
}

// submitOnlyAt submits a job at one entry.
func (h *harness) submitOnlyAt(e *local.Entry) client.Job {
	h.t.Helper()
	spec := jobSpec{team: "booking", queue: "quotes", id: "there", commands: []string{"cut?time=10ms"}}
	job, err := h.submitAt(func() *local.Entry { return e }, spec)
	if err != nil {
		h.t.Fatal(err)
	}
	return job
}

// setHang makes all calls of an entry to the platform and to other entries
// hang, or ends that.
func (h *harness) setHang(e *local.Entry, hang bool) {
	p := e.Platform.PathFaults
	p.Table.SetHang(hang)
	p.Objects.SetHang(hang)
	p.Workers.SetHang(hang)
	p.VMs.SetHang(hang)
	p.VMList.SetHang(hang)
	e.CutPeers(hang)
}

// memberID returns the member id of an entry.
func (h *harness) memberID(e *local.Entry) string {
	h.t.Helper()
	status, err := h.operator(e).Status(h.ctx)
	if err != nil {
		h.t.Fatal(err)
	}
	for _, m := range status.Members {
		if m.Address == e.PeerAddress() {
			return m.ID
		}
	}
	h.t.Fatal("the entry does not list itself as a member")
	return ""
}

// Guards against idempotent jobs that don't run in an outage of the store
// because their team had no running tasks when the outage began.
func TestStoreOutageIdleTeam(t *testing.T) {
	h := newHarness(t, 1)
	h.eventually(conditionTimeout, "every entry keeps units of the idle team", func() bool {
		row, err := h.fleet.Platform.Table.Get(h.ctx, limits.Key("supply"))
		var content limits.Row
		return err == nil && row.Version > 0 && cbor.Unmarshal(row.Value, &content) == nil && len(content.Units) == len(h.live())
	})
	h.fleet.Platform.SharedFaults.StoreDown(true)
	t.Cleanup(func() { h.fleet.Platform.SharedFaults.StoreDown(false) })
	job := h.submit(jobSpec{team: "supply", queue: "orders", id: "idle", commands: []string{"draw?time=50ms"}, idempotent: true})
	if r := h.result(15*time.Second, "supply", job.ID); r.Outcome != fleet.OutcomeCompleted {
		t.Errorf("job of an idle team in an outage: %s", resultText(r))
	}
}
