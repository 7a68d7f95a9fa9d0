package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"amaranthfork.example/emulator/worker"
)

// Bounds of the checks, as the users' platform states them.
const (
	maxAttempts  = 3
	visibleTime  = 3 * time.Second        // after which each entry knows an accepted job
	revokeTime   = 5 * time.Second        // after which a withdrawn key must not work
	cancelTime   = 8 * time.Second        // after which no task of a cancelled job starts, late orders included
	graceTime    = 6 * time.Second        // from SIGTERM to SIGKILL
	lossSlack    = 200 * time.Millisecond // a request that ends sooner may not have been read
	calmTime     = 4 * time.Second        // without other faults, for checks that need it
	recoveryTime = 12 * time.Second       // after the last fault, in which a new job is served
	finishTime   = 20 * time.Second       // after the last fault, in which all accepted jobs are finished
)

// Violation is a broken guarantee.
type Violation struct {
	At   time.Time
	Rule string
	Text string
	ID   string // of the job or the process, to search the logs for
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.At.UTC().Format("15:04:05.000"), v.Rule, v.Text)
}

// taskRun is a run of a task as its worker saw it.
type taskRun struct {
	worker.Event           // the start
	until        time.Time // when it ended; zero if it has not
	cause        string
	acked        bool // its end was acknowledged before the worker's lease expired
}

func (r *taskRun) startedAt() time.Time { return time.Unix(0, r.AtNS) }

// history is what the workers have reported.
type history struct {
	runs map[string][]*taskRun // by task, in order of their starts
}

// killedWorkers are the times at which processes of workers were killed, by worker and incarnation.
type killedWorkers map[string]time.Time

func incarnationKey(id string, incarnation int64) string {
	return fmt.Sprintf("%s/%d", id, incarnation)
}

// newHistory orders the events of all workers. Runs on killed workers end with them.
func newHistory(events []worker.Event, killed killedWorkers) *history {
	sort.SliceStable(events, func(i, k int) bool { return events[i].AtNS < events[k].AtNS })
	h := &history{runs: map[string][]*taskRun{}}
	byEnd := map[string]*taskRun{}
	lapsedAt := map[string]time.Time{} // last expiry of a worker's lease
	for _, e := range events {
		incarnation := incarnationKey(e.Worker, e.Incarnation)
		switch e.Kind {
		case worker.EventStart:
			h.runs[e.Task] = append(h.runs[e.Task], &taskRun{Event: e})
		case worker.EventEnd:
			for _, r := range h.runs[e.Task] {
				if r.Run == e.Run && r.Worker == e.Worker && r.Incarnation == e.Incarnation && r.until.IsZero() {
					r.until, r.cause = time.Unix(0, e.UntilNS), e.Cause
					byEnd[fmt.Sprintf("%s/%d", incarnation, e.Sequence)] = r
				}
			}
		case worker.EventAck:
			// An end that is acknowledged after the worker's lease has expired may have
			// come too late: by then its owner may have given the run up.
			if r := byEnd[fmt.Sprintf("%s/%d", incarnation, e.Sequence)]; r != nil {
				r.acked = !lapsedAt[incarnation].After(r.until)
			}
		case worker.EventLapse:
			lapsedAt[incarnation] = time.Unix(0, e.UntilNS)
		}
	}
	for _, runs := range h.runs {
		for _, r := range runs {
			if at, dead := killed[incarnationKey(r.Worker, r.Incarnation)]; dead && r.until.IsZero() {
				r.until, r.cause = at, "killed"
			}
		}
	}
	return h
}

// reruns returns how many runs started although an earlier run of their task had ended as
// done. Those that judge does not report followed an end that no owner could know.
func (h *history) reruns() int {
	n := 0
	for _, runs := range h.runs {
		for i, r := range runs {
			for _, earlier := range runs[:i] {
				if earlier.cause == worker.CauseDone && !earlier.until.After(r.startedAt()) {
					n++
					break
				}
			}
		}
	}
	return n
}

// doneBefore reports whether a run of a task has ended as done at or before a time.
func (h *history) doneBefore(task string, at time.Time) bool {
	for _, r := range h.runs[task] {
		if r.cause == worker.CauseDone && !r.until.After(at) {
			return true
		}
	}
	return false
}

// judge checks all that callers and workers saw.
func judge(h *history, jobs map[string]*jobRecord, end time.Time) []Violation {
	var found []Violation
	add := func(at time.Time, rule, id, format string, args ...any) {
		found = append(found, Violation{at, rule, fmt.Sprintf(format, args...), id})
	}
	for task, runs := range h.runs {
		id, _, _ := strings.Cut(task, ".")
		j := jobs[id]
		if j == nil {
			add(runs[0].startedAt(), "unasked", id, "%s started, but nobody submitted its job", task)
			continue
		}
		checkRuns(task, j, runs, add)
		checkOrder(task, j, runs, h, add)
		if j.refused() {
			add(runs[0].startedAt(), "refused", id, "%s started, but all submissions of its job were refused as not run", task)
		}
		for _, r := range runs {
			if r.Payload != j.payload {
				add(r.startedAt(), "unasked", id, "%s started with another description", task)
			}
			if !j.cancelledAt.IsZero() && r.startedAt().After(j.cancelledAt.Add(cancelTime)) {
				add(r.startedAt(), "cancelled", id, "%s started %v after its job's cancellation was acknowledged", task, r.startedAt().Sub(j.cancelledAt))
			}
			if !j.cancelledAt.IsZero() && r.until.IsZero() {
				add(end, "cancelled", id, "%s runs on after its job was cancelled", task)
			}
		}
	}
	for id, j := range jobs {
		if at := j.succeededAt; !at.IsZero() {
			for _, task := range j.tasks() {
				if !h.doneBefore(task, at) {
					add(at, "state", id, "job is shown as succeeded, but %s is not done", task)
				}
			}
		}
		if !j.failedAt.IsZero() && !j.poisoned {
			add(j.failedAt, "state", id, "job is shown as failed without cause")
		}
		if !j.goneAt.IsZero() {
			add(j.goneAt, "lost", id, "an accepted job is unknown")
		}
		if j.accepted() && j.cancelSentAt.IsZero() && !j.longRunning && j.succeededAt.IsZero() && j.failedAt.IsZero() {
			add(end, "lost", id, "an accepted job is not finished at the end of the soak")
		}
	}
	sort.Slice(found, func(i, k int) bool { return found[i].At.Before(found[k].At) })
	return found
}

type addFunc func(at time.Time, rule, id, format string, args ...any)

// checkRuns checks that runs of a task do not overlap, follow no recorded success and
// keep the limit of attempts.
func checkRuns(task string, j *jobRecord, runs []*taskRun, add addFunc) {
	for i, r := range runs {
		failures := 0
		for _, earlier := range runs[:i] {
			if earlier.until.IsZero() || earlier.until.After(r.startedAt()) {
				add(r.startedAt(), "twice", j.id, "%s run %d started on %s while run %d is on %s", task, r.Run, r.Worker, earlier.Run, earlier.Worker)
			}
			if earlier.cause == worker.CauseDone && earlier.acked {
				add(r.startedAt(), "twice", j.id, "%s run %d started on %s after run %d had ended as done on %s", task, r.Run, r.Worker, earlier.Run, earlier.Worker)
			}
			if earlier.cause == worker.CauseFailed && earlier.acked {
				failures++
			}
		}
		if failures >= maxAttempts && !j.longRunning {
			add(r.startedAt(), "attempts", j.id, "%s run %d started after %d failures", task, r.Run, failures)
		}
	}
}

// checkOrder checks that a task starts after all tasks of the step before.
func checkOrder(task string, j *jobRecord, runs []*taskRun, h *history, add addFunc) {
	var occurrence, step, index int
	if _, err := fmt.Sscanf(strings.TrimPrefix(task, j.id), ".%d.%d.%d", &occurrence, &step, &index); err != nil || step == 0 {
		return
	}
	for _, r := range runs {
		for i := range j.steps[step-1].count {
			if before := fmt.Sprintf("%s.0.%d.%d", j.id, step-1, i); !h.doneBefore(before, r.startedAt()) {
				add(r.startedAt(), "order", j.id, "%s started before %s was done", task, before)
			}
		}
	}
}
