package session_test

import (
	"fmt"
	"testing"

	"amaranthfork.example/client"
	"amaranthfork.example/fleet"
)

// Guards the way of a job from its submission to its answer: wrong results of
// several steps, work done for the wrong team, second starts of a repeated
// submission, and refusals that do not name their reason.
func TestSubmitToAnswer(t *testing.T) {
	w := newWorld(t, 1)
	entries := w.live()

	w.say("# two teams and a queue that is open to all")
	for _, k := range []work{
		{team: "booking", queue: "quotes", id: "quote", commands: []string{"price?time=50ms", "draw?time=50ms", "answer?time=50ms&bytes=3"}, idempotent: true},
		{team: "booking", queue: "orders", id: "order", commands: []string{"order?time=50ms"}},
		{team: "supply", queue: "orders", id: "order", commands: []string{"pick?time=50ms", "send?time=50ms"}},
		{queue: "enquiries", id: "enquiry", commands: []string{"look?time=50ms"}, idempotent: true},
		{team: "booking", queue: "quotes", id: "faulty", commands: []string{"price?time=50ms", "draw?time=50ms&fail=1", "never"}},
	} {
		w.say("%s submits %s to %s", orNobody(k.team), k.id, k.queue)
		job := w.submit(k)
		again, err := w.caller(entries[1], k.team).Submit(w.ctx, k.queue, k.request())
		w.say("  again at the other entry: %s, same job %t", errText(err), again.ID == job.ID)
		result := w.result(patience, k.team, job.ID)
		w.say("  %s, body %q", resultText(result), result.Body)
		for step := range k.commands {
			w.say("  step %d: %d starts", step, w.ledger.starts(job.ID, step))
		}
	}

	w.say("# refusals")
	large := work{team: "booking", queue: "quotes", id: "large", commands: []string{"x"}}.request()
	large.Declared.MemoryMB = 1 << 30
	hurry := work{team: "booking", queue: "quotes", id: "hurry", commands: []string{"x"}}.request()
	hurry.RunTimeMS, hurry.DeadlineMS = 60_000, 1000
	good := work{id: "good", commands: []string{"x"}}.request()
	for _, c := range []struct {
		name    string
		team    fleet.TeamName
		queue   fleet.QueueName
		request client.SubmitRequest
	}{
		{"no key", "", "quotes", good},
		{"key of another team", "supply", "quotes", good},
		{"no such queue", "booking", "none", good},
		{"faulty fields", "booking", "quotes", client.SubmitRequest{ID: "bad", Class: "soon", RunTimeMS: -1}},
		{"larger than every VM", "booking", "quotes", large},
		{"deadline before the end of the run time", "booking", "quotes", hurry},
	} {
		_, err := w.caller(entries[0], c.team).Submit(w.ctx, c.queue, c.request)
		w.say("%s: %s", c.name, errText(err))
	}

	w.say("# other teams and cancellation")
	k := work{team: "booking", queue: "quotes", id: "long", commands: []string{"draw?time=60s"}}
	job := w.submit(k)
	w.eventually(patience, "the long job runs", func() bool { return w.ledger.starts(job.ID, 0) == 1 })
	_, err := w.caller(entries[0], "supply").Job(w.ctx, job.ID)
	w.say("status for supply: %s", errText(err))
	_, err = w.caller(entries[1], "supply").Cancel(w.ctx, job.ID)
	w.say("cancellation by supply: %s", errText(err))
	_, err = w.caller(entries[1], "booking").Cancel(w.ctx, job.ID)
	w.say("cancellation by booking: %s", errText(err))
	w.say("  %s", resultText(w.result(patience, "booking", job.ID)))
	w.golden("submit_to_answer")
}

func orNobody(team fleet.TeamName) string {
	if team == "" {
		return "nobody"
	}
	return fmt.Sprint(team)
}
