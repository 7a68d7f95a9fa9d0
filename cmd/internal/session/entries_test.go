package session_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"amaranthfork.example/client"
	"amaranthfork.example/entry/local"
	"amaranthfork.example/fleet"
)

// adoption bounds the time until the work of a lost entry goes on: the session
// is fenced after 6 s, all work continues within 10 s, and a busy machine may
// triple that.
const adoption = 30 * time.Second

// mixed submits jobs of both kinds that are in flight when entries fail.
func (w *world) mixed(id string, n int, command string) (idempotent, once batch) {
	w.t.Helper()
	idempotent = w.submitAll(n, work{team: "booking", queue: "quotes", id: id + "-idempotent", commands: []string{command, "print?time=50ms"}, idempotent: true})
	once = w.submitAll(n, work{team: "supply", queue: "orders", id: id + "-once", commands: []string{command, "print?time=50ms"}})
	return idempotent, once
}

// Guards C11: requests that are cut, lost jobs and second starts when an entry
// stops as planned under load.
func TestPlannedStop(t *testing.T) {
	w := newWorld(t, 2)
	leaving := w.live()[0]
	const callers, jobs = 8, 10
	var balancer balancer
	balancer.set(w.live())
	var mu sync.Mutex
	answers := map[string]int{}
	var b batch
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for i := range jobs {
				k := work{team: "booking", queue: "quotes", id: fmt.Sprintf("c%d-%d", c, i), commands: []string{"cut?time=300ms", "print?time=50ms"}}
				job, err := w.submitAt(balancer.next, k)
				var result fleet.Result
				if err == nil {
					result = w.waitAt(balancer.next, k.team, job.ID)
				}
				mu.Lock()
				answers[errText(err)+", "+resultText(result)]++
				b.works, b.jobs = append(b.works, k), append(b.jobs, job)
				mu.Unlock()
			}
		})
	}
	w.eventually(patience, "a quarter of the jobs has been started", func() bool {
		return len(w.ledger.inDataCentre("dc-a"))+len(w.ledger.inDataCentre("dc-b")) > callers*jobs/2
	})
	long := w.submitAll(20, work{team: "supply", queue: "orders", id: "long", commands: []string{"draw?time=5s"}, idempotent: true})
	waits := w.openWaits(leaving, long)
	stopped := make(chan error, 1)
	w.remove(leaving, func() {
		go func() { stopped <- leaving.Stop() }()
		// A load balancer takes the entry out once it says that it is not ready.
		w.eventually(patience, "the entry is not ready", func() bool { return !leaving.Ready(w.ctx) })
		balancer.set(w.live()[1:])
		w.say("planned stop: error %v", <-stopped)
	})
	group.Wait()
	w.say("%s", countText(answers))
	w.say("waits that were open at the entry: %s", countText(waits()))
	w.say("their jobs: %s", w.summary(patience, long))
	most, started := w.ledger.most(b)
	w.say("%d steps started, most starts of a step: %d", started, most)
	w.golden("planned_stop")
}

// balancer is the platform's load balancer: it gives callers the entries in
// turn.
type balancer struct {
	mu      sync.Mutex
	entries []*local.Entry
	n       int
}

func (b *balancer) set(entries []*local.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

func (b *balancer) next() *local.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.n++
	return b.entries[b.n%len(b.entries)]
}

// openWaits sends a wait for each job to an entry and returns once the entry
// handles them. The result waits for the answers and counts them.
func (w *world) openWaits(e *local.Entry, b batch) func() map[string]int {
	answers := make(chan string, len(b.jobs))
	var sent sync.WaitGroup
	for i, job := range b.jobs {
		var once sync.Once
		sent.Add(1)
		trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { once.Do(sent.Done) }}
		ctx := httptrace.WithClientTrace(w.ctx, trace)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/v1/jobs/%s/wait?timeoutMS=60000", e.URL, job.ID), nil)
		if err != nil {
			w.t.Fatal(err)
		}
		request.Header.Set(client.KeyHeader, w.keys[b.works[i].team])
		go func() { answers <- answerOf(request) }()
	}
	sent.Wait()
	return func() map[string]int {
		counts := map[string]int{}
		for range b.jobs {
			counts[<-answers]++
		}
		return counts
	}
}

// answerOf sends a request and tells whether a whole answer came.
func answerOf(request *http.Request) string {
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		return "cut"
	}
	defer response.Body.Close()
	var job client.Job
	if err := json.NewDecoder(response.Body).Decode(&job); err != nil {
		return "cut"
	}
	return fmt.Sprintf("answered %d", response.StatusCode)
}

// submitAt submits a job and follows the advice of refusals to try again: while
// shards move, their jobs are refused as not run.
func (w *world) submitAt(next func() *local.Entry, k work) (client.Job, error) {
	for {
		job, err := w.caller(next(), k.team).Submit(w.ctx, k.queue, k.request())
		var refusal *client.Error
		if !errors.As(err, &refusal) || refusal.RetryAfter == 0 || w.ctx.Err() != nil {
			w.note(job.ID, k.team)
			return job, err
		}
		time.Sleep(pollTime)
	}
}

// waitAt waits for the end of a job with waits of the API. Refusals are tried
// again, as they say; every other error is returned as an unknown result.
func (w *world) waitAt(next func() *local.Entry, team fleet.TeamName, id fleet.JobID) fleet.Result {
	for w.ctx.Err() == nil {
		job, err := w.caller(next(), team).Wait(w.ctx, id)
		var refusal *client.Error
		switch {
		case err == nil && job.Result != nil:
			return *job.Result
		case errors.As(err, &refusal) && refusal.RetryAfter > 0:
			time.Sleep(pollTime)
		default:
			return fleet.Result{Outcome: fleet.OutcomeUnknown, Reason: fleet.Reason(errText(err))}
		}
	}
	return fleet.Result{Reason: "no answer in time"}
}

// Guards jobs that are lost, late or run twice when an entry crashes with work
// in flight.
func TestEntryKilled(t *testing.T) {
	w := newWorld(t, 2)
	idempotent, once := w.mixed("kill", 12, "draw?time=3s")
	w.eventually(patience, "12 non-idempotent jobs run", func() bool { _, n := w.ledger.most(once); return n == 12 })
	victim := w.live()[0]
	w.remove(victim, victim.Kill)
	killed := time.Now()
	w.say("idempotent: %s", w.summary(adoption, idempotent))
	w.say("not idempotent: %s", w.summary(adoption-time.Since(killed), once))
	most, started := w.ledger.most(once)
	w.say("not idempotent: %d steps started, most starts of a step: %d", started, most)
	w.waitReady(3)
	w.say("the others agree on 3 members and lead all VMs")
	w.golden("entry_killed")
}

// replaceRolling starts a new entry for each live one, which then stops as
// planned.
func (w *world) replaceRolling() {
	w.t.Helper()
	for _, old := range w.live() {
		w.add(old.DataCentre)
		w.waitReady(len(w.live()))
		w.remove(old, func() {
			if err := old.Stop(); err != nil {
				w.t.Errorf("planned stop: %v", err)
			}
		})
		w.waitReady(len(w.live()))
	}
}

// Guards queued work that is lost or run twice when all entries are replaced
// one after another by planned stops.
func TestReplacedOneAfterAnother(t *testing.T) {
	w := newWorld(t, 1)
	idempotent, once := w.mixed("roll", 40, "draw?time=2s")
	w.replaceRolling()
	w.reportReplaced(idempotent, once)
	w.golden("replaced_one_after_another")
}

// Guards queued work that is lost or run twice when all entries crash at the
// same time, so that nothing is left in any memory.
func TestReplacedAtOnce(t *testing.T) {
	w := newWorld(t, 1)
	idempotent, once := w.mixed("crash", 40, "draw?time=2s")
	for _, old := range w.live() {
		w.remove(old, old.Kill)
	}
	w.add("dc-a")
	w.add("dc-b")
	w.waitReady(2)
	w.reportReplaced(idempotent, once)
	w.golden("replaced_at_once")
}

func (w *world) reportReplaced(idempotent, once batch) {
	w.t.Helper()
	w.say("idempotent: %s", w.summary(patience, idempotent))
	w.say("not idempotent: %s", w.summary(patience, once))
	most, started := w.ledger.most(once)
	w.say("not idempotent: %d steps started, most starts of a step: %d", started, most)
}
