package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"amaranthfork.example/emulator/worker"
)

// story builds the events of workers for the judge.
type story struct {
	begin  time.Time
	events []worker.Event
	killed killedWorkers
	jobs   map[string]*jobRecord
	ends   int64
}

const testPayload = `{"step_ms":[100,100]}`

func newStory() *story {
	begin := time.Unix(1_700_000_000, 0)
	j := &jobRecord{id: "0000000000000001", payload: testPayload, steps: []jobStep{{1, time.Second}, {1, time.Second}}, unknown: true, acceptedAt: begin}
	return &story{begin: begin, killed: killedWorkers{}, jobs: map[string]*jobRecord{j.id: j}}
}

func (s *story) at(ms int) time.Time { return s.begin.Add(time.Duration(ms) * time.Millisecond) }

func (s *story) job() *jobRecord { return s.jobs["0000000000000001"] }

func task(step int) string { return fmt.Sprintf("0000000000000001.0.%d.0", step) }

func (s *story) start(ms int, on string, step, run int) {
	s.events = append(s.events, worker.Event{AtNS: s.at(ms).UnixNano(), Worker: on, Kind: worker.EventStart, Task: task(step), Run: run, Payload: testPayload})
}

// inIncarnation sets the incarnation of the newest event.
func (s *story) inIncarnation(n int64) { s.events[len(s.events)-1].Incarnation = n }

// end lets a run end, and its owner acknowledge that if acked is true.
func (s *story) end(ms int, on string, step, run int, cause string, acked bool) {
	s.ends++
	e := worker.Event{AtNS: s.at(ms).UnixNano(), Worker: on, Kind: worker.EventEnd, Task: task(step), Run: run, Cause: cause, UntilNS: s.at(ms).UnixNano(), Sequence: s.ends}
	s.events = append(s.events, e)
	if acked {
		e.Kind = worker.EventAck
		s.events = append(s.events, e)
	}
}

// succeed plays both steps of the job without a fault.
func (s *story) succeed() {
	s.start(100, "a", 0, 1)
	s.end(200, "a", 0, 1, worker.CauseDone, true)
	s.start(300, "b", 1, 1)
	s.end(400, "b", 1, 1, worker.CauseDone, true)
	s.job().succeededAt = s.at(500)
}

func (s *story) verdict() []Violation {
	return judge(newHistory(s.events, s.killed), s.jobs, s.at(60_000))
}

// Guards against checks of the soak that cannot fail: each broken guarantee must be found,
// and nothing else.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		play func(s *story)
		want string // rule; empty for none
	}{
		"no fault": {func(s *story) { s.succeed() }, ""},
		"two runs at a time": {func(s *story) {
			s.succeed()
			s.start(150, "c", 0, 2)
			s.end(180, "c", 0, 2, worker.CauseStopped, true)
		}, "twice"},
		"run after recorded success": {func(s *story) {
			s.succeed()
			s.start(250, "c", 0, 2)
			s.end(280, "c", 0, 2, worker.CauseStopped, true)
		}, "twice"},
		"run after a success that died with its worker": {func(s *story) {
			s.start(10, "c", 0, 1)
			s.end(50, "c", 0, 1, worker.CauseDone, false)
			s.succeed()
			s.events[2].Run = 2
			s.events[3].Run, s.events[4].Run = 2, 2
		}, ""},
		"run after a success that its owner could not know": {func(s *story) {
			s.start(10, "c", 0, 1)
			s.end(50, "c", 0, 1, worker.CauseDone, false)
			s.events = append(s.events, worker.Event{AtNS: s.at(60).UnixNano(), Worker: "c", Kind: worker.EventLapse, UntilNS: s.at(60).UnixNano()})
			s.succeed()
			s.events[3].Run = 2
			s.events[4].Run, s.events[5].Run = 2, 2
			s.events = append(s.events, worker.Event{AtNS: s.at(450).UnixNano(), Worker: "c", Kind: worker.EventAck, Task: task(0), Run: 1, Cause: worker.CauseDone, Sequence: 1})
		}, ""},
		"run on a killed worker ends with it": {func(s *story) {
			s.start(10, "c", 0, 1)
			s.killed[incarnationKey("c", 0)] = s.at(60)
			s.succeed()
			s.events[1].Run = 2
			s.events[2].Run, s.events[3].Run = 2, 2
		}, ""},
		"run on the next incarnation of a killed worker": {func(s *story) {
			s.start(10, "c", 0, 1)
			s.inIncarnation(1)
			s.killed[incarnationKey("c", 1)] = s.at(60)
			s.start(70, "c", 0, 2)
			s.inIncarnation(2)
			s.killed[incarnationKey("c", 2)] = s.at(90)
			s.succeed()
			s.events[2].Run = 3
			s.events[3].Run, s.events[4].Run = 3, 3
		}, ""},
		"two runs at a time, one on the next incarnation of a killed worker": {func(s *story) {
			s.start(10, "c", 0, 1)
			s.inIncarnation(1)
			s.killed[incarnationKey("c", 1)] = s.at(60)
			s.start(70, "c", 0, 2)
			s.inIncarnation(2)
			s.succeed()
			s.events[2].Run = 3
			s.events[3].Run, s.events[4].Run = 3, 3
			s.end(110, "c", 0, 2, worker.CauseLapsed, true)
			s.inIncarnation(2)
		}, "twice"},
		"too many attempts": {func(s *story) {
			for run := 1; run <= maxAttempts; run++ {
				s.start(10*run, "a", 0, run)
				s.end(10*run+5, "a", 0, run, worker.CauseFailed, true)
			}
			s.start(90, "a", 0, maxAttempts+1)
			s.end(95, "a", 0, maxAttempts+1, worker.CauseStopped, true)
			s.job().poisoned, s.job().failedAt = true, s.at(100)
		}, "attempts"},
		"step before its turn": {func(s *story) {
			s.succeed()
			s.events[3].AtNS = s.at(150).UnixNano()
		}, "order"},
		"refused job runs": {func(s *story) {
			s.succeed()
			s.job().unknown, s.job().refusals = false, 3
		}, "refused"},
		"unknown job runs": {func(s *story) {
			s.succeed()
			s.events = append(s.events, worker.Event{AtNS: s.at(1).UnixNano(), Worker: "a", Kind: worker.EventStart, Task: "0000000000000002.0.0.0", Run: 1})
		}, "unasked"},
		"another description": {func(s *story) {
			s.succeed()
			s.events[0].Payload = "x"
		}, "unasked"},
		"success without its tasks": {func(s *story) {
			s.succeed()
			s.job().succeededAt = s.at(350)
		}, "state"},
		"failed without cause": {func(s *story) {
			s.succeed()
			s.job().succeededAt, s.job().failedAt = time.Time{}, s.at(500)
		}, "state"},
		"accepted job unknown": {func(s *story) {
			s.succeed()
			s.job().goneAt = s.at(450)
		}, "lost"},
		"accepted job never finished": {func(s *story) {
			s.succeed()
			s.job().succeededAt = time.Time{}
		}, "lost"},
		"start after cancellation": {func(s *story) {
			s.job().cancelSentAt, s.job().cancelledAt = s.at(0), s.at(1)
			s.start(9000, "a", 0, 1)
			s.end(9100, "a", 0, 1, worker.CauseStopped, true)
		}, "cancelled"},
		"run goes on after cancellation": {func(s *story) {
			s.job().cancelSentAt, s.job().cancelledAt = s.at(0), s.at(1)
			s.start(0, "a", 0, 1)
		}, "cancelled"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory()
			c.play(s)
			var rules []string
			for _, v := range s.verdict() {
				if !strings.Contains(strings.Join(rules, " "), v.Rule) {
					rules = append(rules, v.Rule)
				}
			}
			if got := strings.Join(rules, " "); got != c.want {
				t.Errorf("broken: %q, want %q: %v", got, c.want, s.verdict())
			}
		})
	}
}
