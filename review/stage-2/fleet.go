package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the workers and of the platform in the settings of the small sites.
const (
	heartbeat          = 1500 * time.Millisecond
	rowLifetime        = 3 * heartbeat
	maxHold            = 6 * time.Second
	stopTime           = 100 * time.Millisecond // at most stop_grace_ms, 900
	gangWait           = 3 * time.Second
	checkpointInterval = time.Second
	restoreTime        = 250 * time.Millisecond
	migrateTime        = 1500 * time.Millisecond
	upkeepTime         = 2 * time.Second
	lastingStartup     = 300 * time.Millisecond
)

// resources are thousandths of a core, MB and accelerators.
type resources struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
	GPU int `json:"gpu"`
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}
func (r resources) fits(in resources) bool {
	return r.CPU <= in.CPU && r.Mem <= in.Mem && r.GPU <= in.GPU
}

// step is one step of a job as a consumer sends it.
type step struct {
	Count   int    `json:"count"`
	CPU     int    `json:"cpu,omitempty"`
	Mem     int    `json:"mem_mb,omitempty"`
	GPU     int    `json:"gpu,omitempty"`
	Est     int    `json:"estimate_ms,omitempty"`
	Saves   bool   `json:"saves_progress,omitempty"`
	Gang    bool   `json:"gang,omitempty"`
	MaxPer  int    `json:"max_per_server,omitempty"`
	Lasts   bool   `json:"long_running,omitempty"`
	After   []int  `json:"after,omitempty"`
	Label   string `json:"requires,omitempty"`
	MayMiss int    `json:"may_miss,omitempty"`

	workMS int // how long a task of the step works
}

func (s *step) need() resources { return resources{s.CPU, s.Mem, s.GPU} }

// job is what a consumer has sent, and what became of it.
type job struct {
	id, prefix, key         string
	steps                   []step
	repetitions, intervalMS int
	firstRunMS              int64
	failShare               float64 // of its runs that end as failed

	acceptedAt  time.Time // zero if it was not accepted
	statuses    []int     // of the attempts to hand it in
	cancelTried bool
	cancelledAt time.Time // acknowledgement of the cancelling; zero if there is none
}

// fleet is a stand-in of the platform's machines, of the workers on them and of the API
// that lists and moves machines. Workers of a gang see each other at once.
type fleet struct {
	store  *tableStore
	record *record

	mu        sync.Mutex
	machines  map[string]*machine
	jobs      map[string]*job // by id, for the work of tasks
	gangs     map[string]*gang
	lives     int // workers started so far
	events    []event
	lateShare float64 // of orders: they get no answer and are carried out late
	random    *rand.Rand
}

// event is a start or an end that a worker has carried out.
type event struct {
	at         time.Time
	kind       string // start, or the cause of an end
	worker     string
	task       string
	run        int
	checkpoint string
	pool, zone string    // of the worker
	draining   time.Time // since when the worker drains; zero if it does not
}

type machine struct {
	name, pool, zone, rack string
	capacity               resources
	address                string
	listener               net.Listener // open for good, so that the port stays this machine's
	state                  string       // up, moving, upkeep, down
	worker                 *worker
	waves                  map[int]bool // whose upkeep has begun
}

// worker is one life of a machine.
type worker struct {
	machine       *machine
	id            string
	began         time.Time
	server        *http.Server
	listener      *workerListener
	dead          bool
	sick          bool      // fails all that it starts
	drainingSince time.Time // zero if it does not drain
	fence         int64
	lease         time.Duration // on the worker's clock
	runs          map[string]*run
	highest       map[string]int // by task: highest run that was stopped or has ended
	ends          []runEnd
	last          int64 // number of the newest end
	changed       chan struct{}
}

type run struct {
	number     int
	spec       *step
	startedAt  time.Time
	worksFrom  time.Time // zero while a gang is not complete
	base       time.Duration
	checkpoint string
	stopAt     time.Time
	gang       *gang
}

type runEnd struct {
	number     int64
	task       string
	run        int
	how, saved string
	lapsed     bool // the worker's lease has lapsed since
}

// gang is one run of a gang.
type gang struct {
	members map[string]*worker // by task
	broken  bool
}

func newFleet(s *tableStore, r *record) *fleet {
	f := &fleet{store: s, record: r, machines: map[string]*machine{}, jobs: map[string]*job{}, gangs: map[string]*gang{}, random: rand.New(rand.NewSource(1))}
	go f.loop()
	return f
}

// addMachine adds a machine and starts its worker.
func (f *fleet) addMachine(name, pool, zone, rack string, capacity resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{waves: map[int]bool{}, name: name, pool: pool, zone: zone, rack: rack, capacity: capacity, state: "up"}
	m.address, m.listener = listen(f.record)
	f.machines[name] = m
	go f.accept(m)
	f.startWorker(m)
}

// accept passes the connections to a machine on to its worker. Without one they are reset.
func (f *fleet) accept(m *machine) {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			f.record.fail("machine %s: %v", m.name, err)
		}
		f.mu.Lock()
		w := m.worker
		f.mu.Unlock()
		if w != nil && w.listener.pass(newSilentConn(conn)) {
			continue
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// workerListener gives the connections to a machine to the server of one worker.
type workerListener struct {
	conns   chan net.Conn
	closed  chan struct{}
	address net.Addr
}

// pass reports whether the worker has taken a connection.
func (l *workerListener) pass(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

func (l *workerListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *workerListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *workerListener) Addr() net.Addr { return l.address }

// startWorker starts a new worker on a machine. The caller holds mu.
func (f *fleet) startWorker(m *machine) {
	f.lives++
	f.startWorkerAs(m, fmt.Sprintf("i-%04d", f.lives))
}

func (f *fleet) startWorkerAs(m *machine, id string) {
	w := &worker{machine: m, id: id, began: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	for path, execute := range map[string]func(*worker, order) (int, string){"run-start": f.start, "run-stop": f.stop, "pace": f.pace} {
		mux.HandleFunc("POST /v1/"+path, func(rw http.ResponseWriter, r *http.Request) { f.serveOrder(w, rw, r, execute) })
	}
	mux.HandleFunc("POST /v1/hold", func(rw http.ResponseWriter, r *http.Request) { f.serveHold(w, rw, r) })
	w.server = &http.Server{Handler: mux}
	w.listener = &workerListener{make(chan net.Conn), make(chan struct{}), m.listener.Addr()}
	go func() { _ = w.server.Serve(w.listener) }()
	m.worker, m.state = w, "up"
	f.record.add("worker %s starts on %s (%s, rack %s)", w.id, m.name, m.pool, m.rack)
	go f.heartbeats(w)
}

// heartbeats keeps the row of a worker, and removes it once it has been silent.
func (f *fleet) heartbeats(w *worker) {
	for sequence := 1; ; sequence++ {
		f.mu.Lock()
		dead, m := w.dead, w.machine
		f.mu.Unlock()
		if dead {
			time.Sleep(rowLifetime - heartbeat)
			f.mu.Lock()
			again := m.worker != nil && m.worker.id == w.id
			f.mu.Unlock()
			if !again {
				f.store.remove("servers", w.id)
			}
			return
		}
		f.store.put("servers", w.id, f.rowOf(w, sequence))
		time.Sleep(heartbeat)
	}
}

// rowOf returns what a worker reports of itself.
func (f *fleet) rowOf(w *worker, sequence int) map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, state, left := w.machine, "ready", 0
	if !w.drainingSince.IsZero() {
		state, left = "draining", 1000
	}
	return map[string]any{"service": m.pool, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "drain_remaining_ms": left,
		"cold_remaining_ms": 0, "capacity": m.capacity, "labels": []string{"a", m.rack}, "machine": m.name, "born": w.born(), "clock_ms": w.clock().Milliseconds(), "seq": sequence}
}

// name tells the lives of a worker apart that have the same id.
func (w *worker) name() string { return fmt.Sprintf("%s/%d", w.id, w.began.UnixMilli()) }

func (w *worker) born() int64          { return w.began.UnixMilli() }
func (w *worker) clock() time.Duration { return time.Since(w.began) }

// endWorker ends a worker at once, with all that runs on it. The caller holds mu.
func (f *fleet) endWorker(m *machine) {
	w := m.worker
	if w == nil {
		return
	}
	m.worker, w.dead = nil, true
	for task, r := range w.runs {
		f.events = append(f.events, event{at: time.Now(), kind: "lost", worker: w.name(), task: task, run: r.number})
		f.leaveGang(r, task)
	}
	w.runs = map[string]*run{}
	_ = w.listener.Close()
	go w.server.Close()
}

// crash ends the workers on machines at the same moment; each machine starts a new worker
// after downtime, or none if it is 0.
func (f *fleet) crash(downtime time.Duration, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		if w := f.machines[name].worker; w != nil {
			f.record.add("worker %s on %s crashes", w.id, name)
			w.dead = true // before any of them ends: none sees the others end
		}
	}
	for _, name := range names {
		m := f.machines[name]
		if m.worker == nil {
			continue
		}
		f.endWorker(m)
		m.state = "down"
		if downtime > 0 {
			go func() {
				time.Sleep(downtime)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.startWorker(m)
			}()
		}
	}
}

// setSick sets whether the worker on a machine fails all that it starts.
func (f *fleet) setSick(name string, sick bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[name].worker.sick = sick
	f.record.add("worker %s fails all that it starts: %t", f.machines[name].worker.id, sick)
}

func (f *fleet) addJob(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.id] = j
}

// specOf returns the step of a task. The result is nil if no consumer has sent it.
func (f *fleet) specOf(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	j := f.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || n >= len(j.steps) {
		return nil
	}
	return &j.steps[n]
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run_id"`
	Payload    string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (f *fleet) decode(w *worker, rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		f.answer(w, rw, http.StatusMisdirectedRequest, map[string]any{})
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		f.answer(w, rw, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return o, false
	}
	return o, true
}

func (f *fleet) answer(w *worker, rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = w.clock().Milliseconds(), w.born()
	answer(rw, status, body)
}

func (f *fleet) serveOrder(w *worker, rw http.ResponseWriter, r *http.Request, execute func(*worker, order) (int, string)) {
	o, ok := f.decode(w, rw, r)
	if !ok {
		return
	}
	f.mu.Lock()
	if f.random.Float64() < f.lateShare {
		delay := time.Duration(2000+f.random.Intn(6000)) * time.Millisecond
		f.mu.Unlock()
		time.Sleep(delay)
		f.mu.Lock()
		if o.Fence >= w.fence && !w.dead {
			w.fence = o.Fence
			f.step(time.Now())
			status, reason := execute(w, o)
			f.record.add("order for %s run %d carried out late: %d %s", o.Task, o.Run, status, reason)
		}
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, reason := http.StatusConflict, "fence"
	if o.Fence >= w.fence && !w.dead {
		w.fence = o.Fence
		f.step(time.Now())
		status, reason = execute(w, o)
	}
	f.mu.Unlock()
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	f.answer(w, rw, status, body)
}

func (w *worker) extend(deadlineMS int64) {
	w.lease = max(w.lease, min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+maxHold))
}

func (w *worker) used() resources {
	var sum resources
	for _, r := range w.runs {
		sum = sum.plus(r.spec.need())
	}
	return sum
}

func (f *fleet) start(w *worker, o order) (int, string) {
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
	spec := f.specOf(o.Task)
	if spec == nil {
		f.record.add("UNASKED start of %s", o.Task)
		return http.StatusBadRequest, ""
	}
	if !spec.need().plus(w.used()).fits(w.machine.capacity) {
		return http.StatusConflict, "room"
	}
	now := time.Now()
	r := &run{number: o.Run, spec: spec, startedAt: now, worksFrom: now, checkpoint: o.Checkpoint}
	if o.Checkpoint != "" {
		r.base = workOf(o.Checkpoint)
		r.worksFrom = now.Add(restoreTime)
	}
	w.runs[o.Task] = r
	f.events = append(f.events, event{at: now, kind: "start", worker: w.name(), task: o.Task, run: o.Run, checkpoint: o.Checkpoint, pool: w.machine.pool, zone: w.machine.zone, draining: w.drainingSince})
	f.record.add("start  %s run %d on %s (%s) checkpoint %q", o.Task, o.Run, w.id, w.machine.pool, o.Checkpoint)
	if w.sick {
		f.end(w, o.Task, r, "failed")
		return http.StatusOK, ""
	}
	if spec.Gang {
		f.joinGang(w, o.Task, r)
	}
	return http.StatusOK, ""
}

// gangName names a run of a gang: the task without its index, and the run.
func gangName(task string, run int) string {
	return fmt.Sprintf("%s/%d", task[:strings.LastIndexByte(task, '.')], run)
}

func (f *fleet) gangOf(task string, run int) *gang {
	name := gangName(task, run)
	g := f.gangs[name]
	if g == nil {
		g = &gang{members: map[string]*worker{}}
		f.gangs[name] = g
	}
	return g
}

func (f *fleet) joinGang(w *worker, task string, r *run) {
	r.gang = f.gangOf(task, r.number)
	r.worksFrom = time.Time{}
	if r.gang.broken {
		f.end(w, task, r, "broken")
		return
	}
	r.gang.members[task] = w
	if len(r.gang.members) < r.spec.Count {
		return
	}
	for member, on := range r.gang.members {
		m := on.runs[member]
		m.worksFrom = time.Now()
		if m.checkpoint != "" {
			m.worksFrom = m.worksFrom.Add(restoreTime)
		}
	}
}

// leaveGang breaks the gang of a run that has ended otherwise than done.
func (f *fleet) leaveGang(r *run, task string) {
	g := r.gang
	if g == nil && r.spec.Gang {
		g = f.gangOf(task, r.number)
	}
	if g == nil || g.broken {
		return
	}
	g.broken = true
	delete(g.members, task)
	for member, on := range g.members {
		if m := on.runs[member]; m != nil && !on.dead {
			f.end(on, member, m, "broken")
		}
	}
}

// workOf returns the work that a checkpoint stands for.
func workOf(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint[:min(8, len(checkpoint))], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// work returns what a run has worked, with the work of its checkpoint.
func (r *run) work(now time.Time) time.Duration {
	if r.worksFrom.IsZero() || now.Before(r.worksFrom) {
		return r.base
	}
	return r.base + now.Sub(r.worksFrom)
}

// saved returns the newest checkpoint of a run.
func (r *run) saved(now time.Time, stopped bool) string {
	if !r.spec.Saves {
		return ""
	}
	work := r.work(now)
	if !stopped {
		work = r.base + (work - r.base).Truncate(checkpointInterval)
	}
	if work == r.base {
		return r.checkpoint
	}
	return fmt.Sprintf("%08x00000000", work.Milliseconds())
}

func (f *fleet) end(w *worker, task string, r *run, how string) {
	now := time.Now()
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.last++
	saved := ""
	if how != "done" {
		saved = r.saved(now, how == "stopped")
	}
	w.ends = append(w.ends, runEnd{w.last, task, r.number, how, saved, false})
	f.events = append(f.events, event{at: now, kind: how, worker: w.name(), task: task, run: r.number, checkpoint: saved})
	f.record.add("%-6s %s run %d on %s", how, task, r.number, w.id)
	close(w.changed)
	w.changed = make(chan struct{})
	if how != "done" && how != "broken" && r.spec.Gang {
		f.leaveGang(r, task)
	}
}

func (f *fleet) stop(w *worker, o order) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

func (f *fleet) pace(*worker, order) (int, string) { return http.StatusOK, "" }

func (f *fleet) loop() {
	for range time.Tick(5 * time.Millisecond) {
		f.mu.Lock()
		f.step(time.Now())
		f.mu.Unlock()
	}
}

// step ends the runs whose time has come. The caller holds mu.
func (f *fleet) step(now time.Time) {
	for _, m := range f.machines {
		w := m.worker
		if w == nil {
			continue
		}
		lapsed := w.clock() > w.lease
		for i := range w.ends {
			w.ends[i].lapsed = w.ends[i].lapsed || lapsed
		}
		for task, r := range w.runs {
			if w.runs[task] != r {
				continue // ended with its gang
			}
			switch {
			case lapsed:
				f.end(w, task, r, "lapsed")
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				f.end(w, task, r, "stopped")
			case r.spec.Gang && r.worksFrom.IsZero() && now.Sub(r.startedAt) > gangWait:
				f.end(w, task, r, "alone")
			case !r.spec.Lasts && !r.worksFrom.IsZero() && r.work(now) >= time.Duration(r.spec.workMS)*time.Millisecond:
				if j := f.jobs[strings.SplitN(task, ".", 2)[0]]; j.failShare > 0 && f.random.Float64() < j.failShare {
					f.end(w, task, r, "failed")
					continue
				}
				f.done(w, task, r)
			}
		}
	}
}

// done ends a run, with the other members of its gang.
func (f *fleet) done(w *worker, task string, r *run) {
	if r.gang == nil {
		f.end(w, task, r, "done")
		return
	}
	for member, on := range r.gang.members {
		if m := on.runs[member]; m != nil {
			f.end(on, member, m, "done")
		}
	}
}

func (f *fleet) serveHold(w *worker, rw http.ResponseWriter, r *http.Request) {
	o, ok := f.decode(w, rw, r)
	if !ok {
		return
	}
	f.mu.Lock()
	if o.Fence < w.fence || w.dead {
		f.mu.Unlock()
		f.answer(w, rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.Fence
	f.step(time.Now())
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		kind := "noted"
		if e.lapsed {
			kind = "noted after lapse"
		}
		f.events = append(f.events, event{at: time.Now(), kind: kind, worker: w.name(), task: e.task, run: e.run, checkpoint: e.how})
	}
	w.ends = kept
	changed, listed := w.changed, len(w.ends) > 0
	f.mu.Unlock()
	if wait := time.Duration(min(o.WaitMS, 2000)) * time.Millisecond; !listed && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
	}
	f.mu.Lock()
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		percent := 0
		switch {
		case r.spec.Lasts && now.Sub(r.startedAt) > lastingStartup:
			percent = 100
		case !r.spec.Lasts && r.spec.workMS > 0:
			percent = int(min(99, 100*r.work(now).Milliseconds()/int64(r.spec.workMS)))
		}
		running = append(running, []any{task, r.number, r.saved(now, false), percent, r.spec.CPU})
	}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	f.mu.Unlock()
	f.answer(w, rw, http.StatusOK, map[string]any{"running": running, "ended_runs": ended})
}

// cloud returns the handler of the API for machines.
func (f *fleet) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(rw http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		list := []map[string]any{}
		for _, m := range f.machines {
			id := ""
			if m.worker != nil {
				id = m.worker.id
			}
			list = append(list, map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": m.capacity, "id": id})
		}
		f.mu.Unlock()
		sort.Slice(list, func(i, k int) bool { return list[i]["machine"].(string) < list[k]["machine"].(string) })
		answer(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
	})
	mux.HandleFunc("POST /v1/machine-upkeep", f.upkeep)
	mux.HandleFunc("POST /v1/machine-move", func(rw http.ResponseWriter, r *http.Request) {
		var o struct{ Machine, Pool string }
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			answer(rw, http.StatusBadRequest, map[string]any{"error": err.Error()})
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		m := f.machines[o.Machine]
		switch {
		case m == nil:
			answer(rw, http.StatusBadRequest, map[string]any{"error": "no such machine"})
		case m.pool == o.Pool:
			answer(rw, http.StatusOK, map[string]any{})
		case m.state != "up":
			answer(rw, http.StatusConflict, map[string]any{"reason": "busy"})
		default:
			f.record.add("machine %s moves from %s to %s", m.name, m.pool, o.Pool)
			f.endWorker(m)
			m.pool, m.state = o.Pool, "moving"
			go f.bringBack(m, migrateTime)
			answer(rw, http.StatusOK, map[string]any{})
		}
	})
	return mux
}

func (f *fleet) upkeep(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string
		Wave    int
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(rw, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[o.Machine]
	switch {
	case m == nil:
		answer(rw, http.StatusBadRequest, map[string]any{"error": "no such machine"})
	case m.waves[o.Wave]:
		answer(rw, http.StatusOK, map[string]any{})
	case m.state != "up":
		answer(rw, http.StatusConflict, map[string]any{"reason": "busy"})
	default:
		f.record.add("machine %s begins its upkeep of wave %d", m.name, o.Wave)
		f.endWorker(m)
		m.state, m.waves[o.Wave] = "upkeep", true
		go f.bringBack(m, upkeepTime)
		answer(rw, http.StatusOK, map[string]any{})
	}
}

// drain has a worker report that it drains, and leave after a time. Its machine starts a
// new worker after a second.
func (f *fleet) drain(name string, after time.Duration) {
	f.mu.Lock()
	m := f.machines[name]
	w := m.worker
	if w == nil || !w.drainingSince.IsZero() {
		f.mu.Unlock()
		return
	}
	w.drainingSince = time.Now()
	f.record.add("worker %s on %s drains", w.id, name)
	f.mu.Unlock()
	f.store.put("servers", w.id, f.rowOf(w, 1<<20))
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.worker != w {
			return
		}
		f.endWorker(m)
		f.store.remove("servers", w.id)
		m.state = "down"
		go f.bringBack(m, time.Second)
	})
}

func (f *fleet) bringBack(m *machine, after time.Duration) {
	time.Sleep(after)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startWorker(m)
}

// eventsOf returns the events of a job's tasks so far.
func (f *fleet) eventsOf(id string) []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []event
	for _, e := range f.events {
		if strings.HasPrefix(e.task, id+".") {
			list = append(list, e)
		}
	}
	return list
}

// runningOf returns what the tasks of the jobs with a key hold on all workers.
func (f *fleet) runningOf(key string) resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum resources
	for _, m := range f.machines {
		if m.worker == nil {
			continue
		}
		for task, r := range m.worker.runs {
			if j := f.jobs[strings.SplitN(task, ".", 2)[0]]; j != nil && j.key == key {
				sum = sum.plus(r.spec.need())
			}
		}
	}
	return sum
}

// runsOf returns how many tasks of a job are on workers.
func (f *fleet) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.machines {
		if m.worker == nil {
			continue
		}
		for task := range m.worker.runs {
			if strings.HasPrefix(task, id+".") {
				n++
			}
		}
	}
	return n
}

// room returns the free and the whole capacity of a pool's workers, and how many tasks with
// a need its workers could start beside what they run.
func (f *fleet) room(pool string, need resources) (free, whole resources, starts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.pool != pool || m.worker == nil {
			continue
		}
		used := m.worker.used()
		whole = whole.plus(m.capacity)
		free = free.plus(resources{m.capacity.CPU - used.CPU, m.capacity.Mem - used.Mem, m.capacity.GPU - used.GPU})
		for used = used.plus(need); used.fits(m.capacity); used = used.plus(need) {
			starts++
		}
	}
	return free, whole, starts
}
