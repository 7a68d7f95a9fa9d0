package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of workers, as in the settings of the entries.
const (
	holdMax     = 10 * time.Second
	stopTime    = 100 * time.Millisecond // at most stop_grace_ms (200)
	heartbeat   = 1500 * time.Millisecond
	workerTick  = 5 * time.Millisecond
	maxHoldWait = 2 * time.Second
	maxEnds     = 500
)

// resources are those of a task or a worker.
type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

func (r resources) fits(in resources) bool {
	return r.CPU <= in.CPU && r.Mem <= in.Mem && r.GPU <= in.GPU
}

// run is one start of a task on a worker.
type run struct {
	number  int
	need    resources
	beganAt time.Time
	endsAt  time.Time // zero for a task that lasts
	fails   bool
	saves   bool
	stopAt  time.Time
}

// checkpointInterval is checkpoint_interval_s of the settings.
const checkpointInterval = 500 * time.Millisecond

// saved returns the newest checkpoint of a run, which is new after each interval of work.
func (r *run) saved() string {
	n := int64(time.Since(r.beganAt) / checkpointInterval)
	if !r.saves || n == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%08x", n, uint32(r.beganAt.UnixNano()))
}

type ended struct {
	seq  int64
	task string
	run  int
	how  string
	save string
}

// worker is a stand-in of one life of a machine. It keeps to the pages and has no faults.
type worker struct {
	w        *world
	id       string
	machine  *machine
	service  string
	address  string
	born     time.Time
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	gone    bool
	fence   int64
	lease   time.Duration
	runs    map[string]*run
	highest map[string]int
	ends    []ended
	seq     int64
	changed chan struct{}
}

func (k *worker) clock() time.Duration { return time.Since(k.born) }

func (k *worker) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.listener, k.address = l, l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", k.call(k.runStart))
	mux.HandleFunc("POST /v1/run-stop", k.call(k.runStop))
	mux.HandleFunc("POST /v1/pace", k.call(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /v1/hold", k.hold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", k.id)
		w.WriteHeader(http.StatusOK)
	})
	k.server = &http.Server{Handler: mux}
	go func() { _ = k.server.Serve(l) }()
	go k.loop()
	return nil
}

// leave ends the worker: all that runs on it ends with it.
func (k *worker) leave() {
	k.mu.Lock()
	k.gone = true
	for task, r := range k.runs {
		k.w.runEnded(k, task, r.number, "gone")
	}
	k.runs = map[string]*run{}
	k.mu.Unlock()
	_ = k.server.Close()
	k.w.store.remove("servers", k.id)
}

func (k *worker) loop() {
	var beatAt time.Time
	beats := 0
	for range time.Tick(workerTick) {
		now := time.Now()
		k.mu.Lock()
		gone := k.gone
		if !gone {
			k.step(now)
		}
		k.mu.Unlock()
		if gone {
			return
		}
		if now.Sub(beatAt) >= heartbeat {
			beatAt = now
			beats++
			k.w.store.put("servers", k.id, map[string]any{
				"service": k.service, "address": k.address, "zone": k.machine.zone, "version": "v1", "slots": 8, "state": "ready",
				"cold_remaining_ms": 0, "capacity": k.machine.capacity, "labels": []string{"a", k.machine.rack}, "machine": k.machine.name,
				"clock_ms": k.clock().Milliseconds(), "born": k.born.UnixMilli(), "seq": beats,
			})
		}
	}
}

// step ends the runs whose time has come. The caller holds mu.
func (k *worker) step(now time.Time) {
	if k.clock() > k.lease {
		for task, r := range k.runs {
			k.end(task, r, "lapsed")
		}
		return
	}
	for task, r := range k.runs {
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			k.end(task, r, "stopped")
		case !r.endsAt.IsZero() && !now.Before(r.endsAt) && r.fails:
			k.end(task, r, "failed")
		case !r.endsAt.IsZero() && !now.Before(r.endsAt):
			k.end(task, r, "done")
		}
	}
}

// end ends a run. The caller holds mu.
func (k *worker) end(task string, r *run, how string) {
	delete(k.runs, task)
	k.highest[task] = max(k.highest[task], r.number)
	k.seq++
	k.ends = append(k.ends, ended{k.seq, task, r.number, how, r.saved()})
	k.w.runEnded(k, task, r.number, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

type order struct {
	Task     string  `json:"task"`
	Run      int     `json:"run_id"`
	Spec     string  `json:"task_spec"`
	Deadline float64 `json:"deadline_ms"`
	Fence    int64   `json:"fencing_token"`
	LastSeen int64   `json:"last_seen"`
	WaitMS   int64   `json:"wait_ms"`
}

// read decodes a call. The result is false if it was answered already.
func (k *worker) read(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != k.id {
		k.answer(w, http.StatusMisdirectedRequest, nil)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		k.answer(w, http.StatusBadRequest, nil)
		return o, false
	}
	return o, true
}

func (k *worker) answer(w http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clock_ms": k.clock().Milliseconds(), "born": k.born.UnixMilli()}
	for name, value := range more {
		body[name] = value
	}
	reply(w, status, body)
}

func (k *worker) call(carryOut func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := k.read(w, r)
		if !ok {
			return
		}
		status, reason := k.fenced(o, carryOut)
		if reason == "" {
			k.answer(w, status, nil)
			return
		}
		k.answer(w, status, map[string]any{"reason": reason})
	}
}

func (k *worker) fenced(o order, carryOut func(order) (int, string)) (int, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.step(time.Now())
	if o.Fence < k.fence {
		return http.StatusConflict, "fence"
	}
	k.fence = o.Fence
	return carryOut(o)
}

// extend extends the lease of everything that runs. The caller holds mu.
func (k *worker) extend(deadlineMS float64) {
	k.lease = max(k.lease, min(time.Duration(deadlineMS*float64(time.Millisecond)), k.clock()+holdMax))
}

func (k *worker) runStart(o order) (int, string) {
	if r := k.runs[o.Task]; r != nil && r.number == o.Run {
		k.extend(o.Deadline)
		return http.StatusOK, ""
	}
	if time.Duration(o.Deadline*float64(time.Millisecond)) <= k.clock() {
		return http.StatusConflict, "late"
	}
	k.extend(o.Deadline)
	if o.Run <= k.highest[o.Task] || k.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	plan, ok := k.w.planOf(o.Task, o.Run)
	if !ok || plan.spec != o.Spec {
		k.w.rec.line("worker %s is told to start %s run %d, which nobody sent", k.id, o.Task, o.Run)
		return http.StatusBadRequest, ""
	}
	used := plan.need
	for _, r := range k.runs {
		used = used.plus(r.need)
	}
	if !used.fits(k.machine.capacity) {
		return http.StatusConflict, "room"
	}
	r := &run{number: o.Run, need: plan.need, beganAt: time.Now(), fails: plan.fails, saves: plan.saves}
	if plan.work > 0 {
		r.endsAt = time.Now().Add(plan.work)
	}
	k.runs[o.Task] = r
	k.w.runStarted(k, o.Task, o.Run)
	return http.StatusOK, ""
}

func (k *worker) runStop(o order) (int, string) {
	k.highest[o.Task] = max(k.highest[o.Task], o.Run)
	if r := k.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

func (k *worker) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := k.read(w, r)
	if !ok {
		return
	}
	status, reason := k.fenced(o, func(o order) (int, string) {
		if o.Deadline > 0 {
			k.extend(o.Deadline)
		}
		kept := k.ends[:0]
		for _, e := range k.ends {
			if e.seq > o.LastSeen {
				kept = append(kept, e)
			} else {
				k.w.endSeen(e.task, e.run, e.how)
			}
		}
		k.ends = kept
		return http.StatusOK, ""
	})
	if status != http.StatusOK {
		k.answer(w, status, map[string]any{"reason": reason})
		return
	}
	k.mu.Lock()
	changed, listed := k.changed, len(k.ends) > 0
	k.mu.Unlock()
	if wait := min(maxHoldWait, time.Duration(o.WaitMS)*time.Millisecond); !listed && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
	}
	k.mu.Lock()
	running, ends := [][]any{}, [][]any{}
	for task, r := range k.runs {
		running = append(running, []any{task, r.number, r.saved(), 100, 0})
	}
	for _, e := range k.ends[:min(len(k.ends), maxEnds)] {
		ends = append(ends, []any{e.seq, e.task, e.run, e.how, e.save})
	}
	k.mu.Unlock()
	k.answer(w, http.StatusOK, map[string]any{"running": running, "ended_runs": ends})
}

// used returns what runs on the worker.
func (k *worker) used() resources {
	k.mu.Lock()
	defer k.mu.Unlock()
	var sum resources
	for _, r := range k.runs {
		sum = sum.plus(r.need)
	}
	return sum
}

// machine is a machine of the platform's inventory.
type machine struct {
	name, zone, rack, pool string
	capacity               resources
	state                  string
	worker                 *worker
}

// migrateTime is migrate_s of the settings.
const migrateTime = 1500 * time.Millisecond

// cloudHandler serves the inventory. It carries out moves; there are no waves of upkeep.
func (w *world) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		list := []map[string]any{}
		for _, m := range w.machines {
			one := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone,
				"labels": []string{"a", m.rack}, "capacity": m.capacity}
			if m.worker != nil {
				one["id"] = m.worker.id
			}
			list = append(list, one)
		}
		w.mu.Unlock()
		sort.Slice(list, func(i, k int) bool { return list[i]["machine"].(string) < list[k]["machine"].(string) })
		reply(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
	})
	mux.HandleFunc("POST /v1/machine-move", func(rw http.ResponseWriter, r *http.Request) {
		var body struct{ Machine, Pool string }
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(rw, http.StatusBadRequest, nil)
			return
		}
		status, reason := w.move(body.Machine, body.Pool)
		w.rec.line("cloud: move of %s to %s for %s: %d %s", body.Machine, body.Pool, r.Header.Get("X-Duty-Holder"), status, reason)
		reply(rw, status, map[string]string{"reason": reason})
	})
	mux.HandleFunc("POST /v1/machine-upkeep", func(rw http.ResponseWriter, _ *http.Request) {
		reply(rw, http.StatusConflict, map[string]string{"reason": "wave"})
	})
	return mux
}

func (w *world) move(name, pool string) (int, string) {
	w.mu.Lock()
	m := w.machines[name]
	switch {
	case m == nil:
		w.mu.Unlock()
		return http.StatusBadRequest, ""
	case m.state == "up" && m.pool == pool:
		w.mu.Unlock()
		return http.StatusOK, ""
	case m.state != "up":
		w.mu.Unlock()
		return http.StatusConflict, "busy"
	}
	old := m.worker
	m.state, m.worker, m.pool = "moving", nil, pool
	w.mu.Unlock()
	old.leave()
	time.AfterFunc(migrateTime, func() {
		k, err := w.newWorker(m, pool)
		if err != nil {
			w.rec.line("worker of %s could not start: %v", name, err)
			return
		}
		w.mu.Lock()
		m.state, m.worker = "up", k
		w.mu.Unlock()
	})
	return http.StatusOK, ""
}

// newWorker starts a worker on a machine.
func (w *world) newWorker(m *machine, service string) (*worker, error) {
	k := &worker{w: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), machine: m, service: service, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	return k, k.start()
}

// taskOf splits the name of a task, ID.K.STEP.INDEX.
func taskOf(name string) (job string, step int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, false
	}
	step, err := strconv.Atoi(parts[2])
	return parts[0], step, err == nil
}
