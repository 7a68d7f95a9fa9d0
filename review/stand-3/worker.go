package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// workerSettings are those of a worker's process.
type workerSettings struct {
	ID       string   `json:"id"`
	Machine  string   `json:"machine"`
	Service  string   `json:"service"`
	Zone     string   `json:"zone"`
	Register string   `json:"register"` // URL at which the worker writes its entry
	CPU      int64    `json:"cpu"`
	MemMB    int64    `json:"mem_mb"`
	Labels   []string `json:"labels"`
	StopMS   int64    `json:"stop_ms"` // how long a stop takes, at most stop_grace_ms
	HoldMS   int64    `json:"hold_max_ms"`
}

// event is one thing that a worker does.
type event struct {
	AtMS   int64  `json:"at"` // Unix ms
	Worker string `json:"worker"`
	Kind   string `json:"kind"` // up, start, end, ack
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	How    string `json:"how,omitempty"`
	Seq    int64  `json:"seq,omitempty"`
	Token  int64  `json:"token,omitempty"`
	Spec   string `json:"spec,omitempty"`
}

// plan is what a task does. Clients of the stand-ins put it into task_spec.
type plan struct {
	CPU  int64 `json:"cpu"`
	MS   int64 `json:"ms"` // work; 0 for a task that lasts
	UpMS int64 `json:"up"` // start-up of a task that lasts
}

type workRun struct {
	run     int
	plan    plan
	began   time.Time
	stopsAt time.Time // zero if it is not being stopped
}

type workEnd struct {
	seq  int64
	task string
	run  int
	how  string
}

type worker struct {
	workerSettings
	born time.Time

	mu      sync.Mutex
	token   int64
	lease   time.Duration // on the worker's clock
	runs    map[string]*workRun
	highest map[string]int
	ends    []workEnd
	seq     int64
	changed chan struct{}
}

func runWorker() {
	var s workerSettings
	if err := json.Unmarshal([]byte(os.Args[2]), &s); err != nil {
		panic(err)
	}
	w := &worker{workerSettings: s, born: time.Now(), runs: map[string]*workRun{}, highest: map[string]int{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.emit(event{Kind: "up"})
	go w.register(l.Addr().String())
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			w.mu.Lock()
			w.step()
			w.mu.Unlock()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.order(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /v1/pace", w.order(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /v1/hold", w.hold)
	panic(http.Serve(l, mux))
}

var emitMu sync.Mutex

func (w *worker) emit(e event) {
	e.AtMS, e.Worker = time.Now().UnixMilli(), w.ID
	b, _ := json.Marshal(e)
	emitMu.Lock()
	defer emitMu.Unlock()
	fmt.Println(string(b))
}

// register writes the worker's entry in service discovery every heartbeat.
func (w *worker) register(address string) {
	for seq := 1; ; seq++ {
		entry := map[string]any{"service": w.Service, "address": address, "zone": w.Zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": w.CPU, "mem_mb": w.MemMB, "gpu": 0}, "labels": w.Labels, "clock_ms": w.clock().Milliseconds(), "seq": seq,
			"machine": w.Machine, "born": w.born.UnixMilli()}
		b, _ := json.Marshal(entry)
		if resp, err := http.Post(w.Register+"?id="+w.ID, "application/json", bytes.NewReader(b)); err == nil {
			resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// step ends the runs whose time has come. The caller holds mu.
func (w *worker) step() {
	now := time.Now()
	if w.clock() > w.lease {
		for task, r := range w.runs {
			w.end(task, r, "lapsed")
		}
		return
	}
	for task, r := range w.runs {
		switch {
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.end(task, r, "stopped")
		case r.plan.MS > 0 && now.After(r.began.Add(time.Duration(r.plan.MS)*time.Millisecond)):
			w.end(task, r, "done")
		}
	}
}

func (w *worker) end(task string, r *workRun, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.seq++
	w.ends = append(w.ends, workEnd{w.seq, task, r.run, how})
	w.emit(event{Kind: "end", Task: task, Run: r.run, How: how, Seq: w.seq})
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run_id"`
	Spec       string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) read(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.ID {
		reply(rw, http.StatusMisdirectedRequest, w.answer(""))
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, http.StatusBadRequest, w.answer(""))
		return o, false
	}
	return o, true
}

func (w *worker) answer(reason string) map[string]any {
	a := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		a["reason"] = reason
	}
	return a
}

func (w *worker) guarded(o order, f func(order) (int, string)) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	if o.Token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = o.Token
	return f(o)
}

func (w *worker) order(f func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if o, ok := w.read(rw, r); ok {
			status, reason := w.guarded(o, f)
			reply(rw, status, w.answer(reason))
		}
	}
}

func (w *worker) extend(deadlineMS int64) {
	if deadlineMS > 0 {
		w.lease = max(w.lease, min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+time.Duration(w.HoldMS)*time.Millisecond))
	}
}

func (w *worker) start(o order) (int, string) {
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
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
	var p plan
	_ = json.Unmarshal([]byte(o.Spec), &p) // a task without a plan takes nothing and lasts
	used := p.CPU
	for _, r := range w.runs {
		used += r.plan.CPU
	}
	if used > w.CPU {
		return http.StatusConflict, "room"
	}
	w.runs[o.Task] = &workRun{run: o.Run, plan: p, began: time.Now()}
	w.emit(event{Kind: "start", Task: o.Task, Run: o.Run, Token: o.Token, Spec: o.Spec})
	return http.StatusOK, ""
}

func (w *worker) stop(o order) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(time.Duration(w.StopMS) * time.Millisecond)
	}
	return http.StatusOK, ""
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	status, reason := w.guarded(o, func(o order) (int, string) {
		w.extend(o.DeadlineMS)
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.seq > o.LastSeen {
				kept = append(kept, e)
			} else {
				w.emit(event{Kind: "ack", Task: e.task, Run: e.run, How: e.how, Seq: e.seq})
			}
		}
		w.ends = kept
		return http.StatusOK, ""
	})
	if status != http.StatusOK {
		reply(rw, status, w.answer(reason))
		return
	}
	w.mu.Lock()
	changed, listed := w.changed, len(w.ends) > 0
	w.mu.Unlock()
	if wait := min(2000, o.WaitMS); !listed && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.runs {
		percent := 100
		if age := time.Since(run.began).Milliseconds(); run.plan.MS > 0 {
			percent = int(min(99, 100*age/run.plan.MS))
		} else if age < run.plan.UpMS {
			percent = int(100 * age / run.plan.UpMS)
		}
		running = append(running, []any{task, run.run, "", percent, run.plan.CPU})
	}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, ""})
	}
	a := w.answer("")
	w.mu.Unlock()
	a["running"], a["ended_runs"] = running, ended
	reply(rw, http.StatusOK, a)
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
