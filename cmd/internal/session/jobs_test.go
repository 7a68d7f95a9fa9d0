package session_test

import (
	"fmt"
	"testing"

	"amaranthfork.example/client"
	"amaranthfork.example/fleet"
)

// Guards against faults between the submission of a job and its result: wrong
// results of several steps, a job run for the wrong team, a second start after
// a repeated submission, and refusals without a reason.
func TestSubmitToAnswer(t *testing.T) {
	h := newHarness(t, 1)
	entries := h.live()

	h.report("# two teams and a queue that is open to all")
	for _, spec := range []jobSpec{
		{team: "booking", queue: "quotes", id: "quote", commands: []string{"price?time=50ms", "draw?time=50ms", "answer?time=50ms&bytes=3"}, idempotent: true},
		{team: "booking", queue: "orders", id: "order", commands: []string{"order?time=50ms"}},
		{team: "supply", queue: "orders", id: "order", commands: []string{"pick?time=50ms", "send?time=50ms"}},
		{queue: "enquiries", id: "enquiry", commands: []string{"look?time=50ms"}, idempotent: true},
		{team: "booking", queue: "quotes", id: "faulty", commands: []string{"price?time=50ms", "draw?time=50ms&fail=1", "never"}},
	} {
		h.report("%s submits %s to %s", orNobody(spec.team), spec.id, spec.queue)
		job := h.submit(spec)
		again, err := h.caller(entries[1], spec.team).Submit(h.ctx, spec.queue, spec.request())
		h.report("  again at the other entry: %s, same job %t", errText(err), again.ID == job.ID)
		result := h.result(conditionTimeout, spec.team, job.ID)
		h.report("  %s, body %q", resultText(result), result.Body)
		for step := range spec.commands {
			h.report("  step %d: %d starts", step, h.startLog.starts(job.ID, step))
		}
	}

	h.report("# refusals")
	tooLarge := jobSpec{team: "booking", queue: "quotes", id: "large", commands: []string{"x"}}.request()
	tooLarge.Declared.MemoryMB = 1 << 30
	deadlineTooShort := jobSpec{team: "booking", queue: "quotes", id: "hurry", commands: []string{"x"}}.request()
	deadlineTooShort.RunTimeMS, deadlineTooShort.DeadlineMS = 60_000, 1000
	valid := jobSpec{id: "good", commands: []string{"x"}}.request()
	for _, c := range []struct {
		name    string
		team    fleet.TeamName
		queue   fleet.QueueName
		request client.SubmitRequest
	}{
		{"no key", "", "quotes", valid},
		{"key of another team", "supply", "quotes", valid},
		{"no such queue", "booking", "none", valid},
		{"faulty fields", "booking", "quotes", client.SubmitRequest{ID: "bad", Class: "soon", RunTimeMS: -1}},
		{"larger than every VM", "booking", "quotes", tooLarge},
		{"deadline before the end of the run time", "booking", "quotes", deadlineTooShort},
	} {
		_, err := h.caller(entries[0], c.team).Submit(h.ctx, c.queue, c.request)
		h.report("%s: %s", c.name, errText(err))
	}

	h.report("# other teams and cancellation")
	spec := jobSpec{team: "booking", queue: "quotes", id: "long", commands: []string{"draw?time=60s"}}
	job := h.submit(spec)
	h.eventually(conditionTimeout, "the long job runs", func() bool { return h.startLog.starts(job.ID, 0) == 1 })
	_, err := h.caller(entries[0], "supply").Job(h.ctx, job.ID)
	h.report("status for supply: %s", errText(err))
	_, err = h.caller(entries[1], "supply").Cancel(h.ctx, job.ID)
	h.report("cancellation by supply: %s", errText(err))
	_, err = h.caller(entries[1], "booking").Cancel(h.ctx, job.ID)
	h.report("cancellation by booking: %s", errText(err))
	h.report("  %s", resultText(h.result(conditionTimeout, "booking", job.ID)))
	h.assertGolden("submit_to_answer")
}

func orNobody(team fleet.TeamName) string {
	if team == "" {
		return "nobody"
	}
	return fmt.Sprint(team)
}
