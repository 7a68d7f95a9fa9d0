// Package worker emulates a worker of the users' platform: it runs tasks under leases
// and reports what it begins and ends.
package worker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Event is one thing that a worker does, as the judge of a soak sees it.
type Event struct {
	AtNS        int64  `json:"at"` // Unix nanoseconds
	Worker      string `json:"worker"`
	Incarnation int64  `json:"incarnation"` // Unix milliseconds of the start of the process
	Kind        string `json:"kind"`
	Task        string `json:"task,omitempty"`
	Run         int    `json:"run,omitempty"`
	Cause       string `json:"cause,omitempty"`    // of an end
	UntilNS     int64  `json:"until,omitempty"`    // end of the run: the lease, if the process was suspended beyond it
	Payload     string `json:"payload,omitempty"`  // of a start
	Sequence    int64  `json:"seq,omitempty"`      // of an end
	ClockMS     int64  `json:"clock,omitempty"`    // of a start: the worker's clock
	DeadlineMS  int64  `json:"deadline,omitempty"` // of a start: the deadline in the call, on the worker's clock
	Token       int64  `json:"token,omitempty"`    // of a start
}

// Kinds of events.
const (
	EventStart = "start"
	EventEnd   = "end"
	EventAck   = "ack"   // an end was acknowledged
	EventLapse = "lapse" // the lease of all runs has expired; until is when
)

// Causes of ends.
const (
	CauseDone    = "done"
	CauseFailed  = "failed"
	CauseStopped = "stopped"
	CauseLapsed  = "lapsed"
)

// Options are the parameters of a worker.
type Options struct {
	ID        string
	MilliCPU  int64         // capacity
	ClockRate float64       // of the clock for leases, relative to true time
	MaxLease  time.Duration // on the worker's clock; a longer lease is shortened to it
	Plan      func(payload, task string, run int) Plan
	Report    func(Event)
	Random    func() float64 // 0 to 1
}

// Plan is how a run of a task goes.
type Plan struct {
	MilliCPU int64
	Duration time.Duration // 0 if the task runs until it is stopped
	Fails    bool
}

// Times of the emulation.
const (
	tick         = 5 * time.Millisecond
	stopTime     = 100 * time.Millisecond // from a stop until the run has ended
	maxLateOrder = 5500 * time.Millisecond
	maxWait      = 2 * time.Second
)

// Worker is one process of a worker.
type Worker struct {
	o     Options
	began time.Time

	mu         sync.Mutex
	token      int64
	lease      time.Duration // on the worker's clock
	lapsed     bool          // the lease has expired and was not extended since
	runs       map[string]*run
	highest    map[string]int // by task: highest run that was stopped or has ended
	ends       []end
	sequence   int64
	changed    chan struct{} // closed at the next end
	lateOrders float64       // fraction of orders that are left unanswered and carried out late
}

type run struct {
	number    int
	plan      Plan
	startedAt time.Time
	stopAt    time.Time // zero if it is not being stopped
}

type end struct {
	sequence int64
	task     string
	run      int
	cause    string
}

// New starts a worker.
func New(o Options) *Worker {
	w := &Worker{o: o, began: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	go w.loop()
	return w
}

// Incarnation returns the start of the worker in Unix milliseconds.
func (w *Worker) Incarnation() int64 { return w.began.UnixMilli() }

// SetLateOrders sets the fraction of orders that are left unanswered and carried out
// seconds later.
func (w *Worker) SetLateOrders(fraction float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateOrders = fraction
}

// clock returns the worker's clock, by which leases are measured.
func (w *Worker) clock() time.Duration {
	return time.Duration(w.o.ClockRate * float64(time.Since(w.began)))
}

func (w *Worker) report(e Event) {
	e.AtNS, e.Worker, e.Incarnation = time.Now().UnixNano(), w.o.ID, w.Incarnation()
	w.o.Report(e)
}

func (w *Worker) loop() {
	for range time.Tick(tick) {
		w.mu.Lock()
		w.step(time.Now())
		w.mu.Unlock()
	}
}

// step ends the runs whose time has come. The caller holds mu.
func (w *Worker) step(now time.Time) {
	clock := w.clock()
	if clock > w.lease {
		lapsedAt := now.Add(-time.Duration(float64(clock-w.lease) / w.o.ClockRate))
		if !w.lapsed {
			w.lapsed = true
			w.report(Event{Kind: EventLapse, UntilNS: lapsedAt.UnixNano()})
		}
		for task, r := range w.runs {
			w.end(task, r, CauseLapsed, lapsedAt)
		}
		return
	}
	w.lapsed = false
	for task, r := range w.runs {
		finishesAt := r.startedAt.Add(r.plan.Duration)
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(task, r, CauseStopped, now)
		case r.plan.Duration > 0 && !now.Before(finishesAt) && r.plan.Fails:
			w.end(task, r, CauseFailed, now)
		case r.plan.Duration > 0 && !now.Before(finishesAt):
			w.end(task, r, CauseDone, now)
		}
	}
}

// end ends a run at a time that may be in the past. The caller holds mu.
func (w *Worker) end(task string, r *run, cause string, at time.Time) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.sequence++
	w.ends = append(w.ends, end{w.sequence, task, r.number, cause})
	w.report(Event{Kind: EventEnd, Task: task, Run: r.number, Cause: cause, UntilNS: at.UnixNano(), Sequence: w.sequence})
	close(w.changed)
	w.changed = make(chan struct{})
}

type wireOrder struct {
	Task       string `json:"task"`
	Run        int    `json:"run_id"`
	Payload    string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// Handler returns the handler of the worker's calls.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.order(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /v1/pace", w.order(func(o wireOrder) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /v1/hold", w.hold)
	return mux
}

// decode reads an order. The result is false if it is not meant for this worker, or
// cannot be read; it is answered then.
func (w *Worker) decode(rw http.ResponseWriter, r *http.Request) (wireOrder, bool) {
	var o wireOrder
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.o.ID {
		w.answer(rw, http.StatusMisdirectedRequest, "")
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.answer(rw, http.StatusBadRequest, err.Error())
		return o, false
	}
	return o, true
}

// order returns the handler of an order that may be carried out late.
func (w *Worker) order(execute func(wireOrder) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o, ok := w.decode(rw, r)
		if !ok {
			return
		}
		w.mu.Lock()
		late := w.o.Random() < w.lateOrders
		w.mu.Unlock()
		if late {
			time.Sleep(time.Duration(w.o.Random() * float64(maxLateOrder)))
			w.locked(execute, o)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		status, reason := w.locked(execute, o)
		w.answer(rw, status, reason)
	}
}

func (w *Worker) locked(execute func(wireOrder) (int, string), o wireOrder) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step(time.Now())
	if o.Token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = o.Token
	return execute(o)
}

// extend extends the lease to a time on the worker's clock. The caller holds mu.
func (w *Worker) extend(deadlineMS int64) {
	w.lease = max(w.lease, min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+w.o.MaxLease))
}

func (w *Worker) start(o wireOrder) (int, string) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.extend(o.DeadlineMS)
		return http.StatusOK, ""
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(o.DeadlineMS)
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	plan := w.o.Plan(o.Payload, o.Task, o.Run)
	used := plan.MilliCPU
	for _, r := range w.runs {
		used += r.plan.MilliCPU
	}
	if used > w.o.MilliCPU {
		return http.StatusConflict, "room"
	}
	w.runs[o.Task] = &run{number: o.Run, plan: plan, startedAt: time.Now()}
	w.report(Event{Kind: EventStart, Task: o.Task, Run: o.Run, Payload: o.Payload, ClockMS: w.clock().Milliseconds(), DeadlineMS: o.DeadlineMS, Token: o.Token})
	return http.StatusOK, ""
}

func (w *Worker) stop(o wireOrder) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.decode(rw, r)
	if !ok {
		return
	}
	status, reason := w.locked(func(o wireOrder) (int, string) {
		if o.DeadlineMS > 0 {
			w.extend(o.DeadlineMS)
		}
		w.acknowledge(o.LastSeen)
		return http.StatusOK, ""
	}, o)
	if status != http.StatusOK {
		w.answer(rw, status, reason)
		return
	}
	w.awaitEnd(r, min(maxWait, time.Duration(o.WaitMS)*time.Millisecond))
	w.answerListing(rw)
}

// awaitEnd waits until an end is listed, at most for wait.
func (w *Worker) awaitEnd(r *http.Request, wait time.Duration) {
	w.mu.Lock()
	changed, listed := w.changed, len(w.ends) > 0
	w.mu.Unlock()
	if listed || wait <= 0 {
		return
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

// acknowledge forgets ends up to a sequence number. The caller holds mu.
func (w *Worker) acknowledge(upTo int64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.sequence > upTo {
			kept = append(kept, e)
			continue
		}
		w.report(Event{Kind: EventAck, Task: e.task, Run: e.run, Cause: e.cause, Sequence: e.sequence})
	}
	w.ends = kept
}

func (w *Worker) answerListing(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	for _, e := range w.ends {
		ended = append(ended, []any{e.sequence, e.task, e.run, e.cause, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.Incarnation(), "running": running, "ended_runs": ended})
}

func (w *Worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.Incarnation()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails only if the caller has disconnected
}
