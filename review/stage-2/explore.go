package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// explore plays random work of the kinds that the days of the bench do not have (gangs,
// repetitions, labels, advice) under random disruptions, and judges TWICE, LOST, ORDER and
// UNASKED. SEED is the seed, NOISE which disruptions come.
func explore(s *stage) string {
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	random := rand.New(rand.NewSource(seed))
	noise := os.Getenv("NOISE")
	s.fleet.random = rand.New(rand.NewSource(seed + 1))
	pools := []string{"desk", "studio", "roster"}
	s.addPools(pools, 6, resources{CPU: 16000, Mem: 65536, GPU: 1})
	var mu sync.Mutex
	good := func(step, worker string) bool {
		h := 0
		for _, c := range step + worker {
			h = h*31 + int(c)
		}
		return h%6 != 0
	}
	var turn sync.Mutex
	s.advisor = serve(s.record, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var o struct {
			Step    string
			Workers []string
		}
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			answer(w, 400, map[string]any{})
			return
		}
		turn.Lock()
		time.Sleep(time.Duration(50+5*len(o.Workers)) * time.Millisecond)
		turn.Unlock()
		list := [][]string{}
		for _, id := range o.Workers {
			if good(o.Step, id) {
				list = append(list, []string{id, "t-" + o.Step + "-" + id})
			}
		}
		answer(w, 200, map[string]any{"good": list, "validity_ms": 3000})
	}))
	var routes []route
	for i, p := range pools {
		routes = append(routes, route{Name: p, Prefix: "/" + p + "/", TargetMS: 600, Priority: i, Service: p, MaxAttempts: 3, Stretch: 1.6})
		routes = append(routes, route{Name: p + "-advised", Prefix: "/" + p + "-advised/", TargetMS: 600, Service: p, MaxAttempts: 3, Stretch: 1.6, Advice: &advice{50, 5, 3000}})
	}
	x := &operator{stage: s, routes: routes, pools: pools, random: rand.New(rand.NewSource(seed + 3)), sentTo: map[string]map[string]bool{}, evacuated: map[string]time.Time{}}
	x.put(resources{})
	s.startEntries(3)
	var jobs []*job
	var senders sync.WaitGroup
	stop := time.Now().Add(40 * time.Second)
	senders.Go(func() {
		local := rand.New(rand.NewSource(seed + 2))
		for time.Now().Before(stop) {
			j := randomJob(local, pools)
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			cancelIn := time.Duration(0)
			if local.Intn(8) == 0 {
				cancelIn = time.Duration(local.Intn(3000)) * time.Millisecond
			}
			s.fleet.addJob(j)
			s.describe(j)
			senders.Go(func() {
				s.handIn(j)
				if cancelIn > 0 {
					time.Sleep(cancelIn)
					s.cancel(j)
				}
			})
			time.Sleep(time.Duration(50+local.Intn(250)) * time.Millisecond)
		}
	})
	var seen []string
	senders.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			time.Sleep(60 * time.Millisecond)
			mu.Lock()
			if len(jobs) == 0 {
				mu.Unlock()
				continue
			}
			j := jobs[i*7%len(jobs)]
			mu.Unlock()
			if accepted := j.acceptedAt; accepted.IsZero() || j.cancelTried || time.Since(accepted) < 3*time.Second {
				continue
			}
			status, body := s.call(http.MethodGet, j.prefix+j.id, j.key, nil)
			if status == http.StatusGone && !j.cancelTried {
				seen = append(seen, fmt.Sprintf("LOST: GET for accepted job %s is answered 410", j.id))
			}
			if strings.Contains(body, "succeeded") {
				if missing := s.notDone(j); missing != "" {
					seen = append(seen, fmt.Sprintf("MIXED: job %s is shown as succeeded, %s has no end as done", j.id, missing))
				}
			}
		}
	})
	for time.Now().Before(stop.Add(-2 * time.Second)) {
		s.disturb(random, noise, x)
		time.Sleep(time.Duration(800+random.Intn(1800)) * time.Millisecond)
	}
	senders.Wait()
	s.fleet.mu.Lock()
	s.fleet.lateShare = 0
	s.fleet.mu.Unlock()
	for zone := range x.evacuated {
		x.evacuate(zone)
	}
	x.put(resources{})
	s.add("traffic and disruptions end")
	time.Sleep(16 * time.Second)
	broken := seen
	for _, j := range jobs {
		if rejected(j) && len(s.fleet.eventsOf(j.id)) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: job %s runs, its attempts were answered %v", j.id, j.statuses))
		}
		if j.acceptedAt.IsZero() || j.cancelTried || lasts(j) {
			continue
		}
		state := s.await(j, 6*time.Second, "succeeded", "failed")
		if state == "succeeded" {
			if missing := s.notDone(j); missing != "" {
				broken = append(broken, fmt.Sprintf("MIXED: job %s is shown as succeeded, %s has no end as done", j.id, missing))
			}
			continue
		}
		if state == "failed" && s.mostFailures(j) >= 3 {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: job %s of %s is %q, %d failures of one task at most, %d runs now", j.id, j.prefix, state, s.mostFailures(j), s.fleet.runsOf(j.id)))
	}
	broken = append(broken, s.judge(jobs, x)...)
	for _, b := range broken {
		s.add("%s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return fmt.Sprintf("%d breaks", len(broken))
	}
	fmt.Println(len(jobs), "jobs")
	return ""
}

// rejected reports whether all attempts to hand a job in were rejected.
func rejected(j *job) bool {
	for _, status := range j.statuses {
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusNotFound {
			return false
		}
	}
	return true
}

func lasts(j *job) bool {
	for _, st := range j.steps {
		if st.Lasts {
			return true
		}
	}
	return false
}

func randomJob(r *rand.Rand, pools []string) *job {
	j := &job{id: newID(), prefix: "/" + pools[r.Intn(len(pools))], key: "key-painters"}
	if r.Intn(6) == 0 {
		j.prefix += "-advised"
	}
	j.prefix += "/"
	if r.Intn(5) == 0 {
		j.failShare = 0.1
	}
	for i := range 1 + r.Intn(3) {
		st := step{Count: 1 + r.Intn(6), CPU: 500 + r.Intn(3000), Mem: 500, Est: 200 + r.Intn(1500), Saves: r.Intn(2) == 0}
		st.workMS = st.Est * (50 + r.Intn(100)) / 100
		if i > 0 {
			st.After = []int{i - 1}
		}
		if r.Intn(3) == 0 {
			st.Gang = true
			st.Count = 2 + r.Intn(5)
		}
		if r.Intn(5) == 0 {
			st.Label = "a"
		}
		if r.Intn(5) == 0 && st.Count < 4 {
			st.MaxPer = 2
		}
		j.steps = append(j.steps, st)
	}
	switch r.Intn(10) {
	case 0, 1:
		j.repetitions, j.intervalMS = 2+r.Intn(4), 500+r.Intn(2500)
		j.firstRunMS = time.Now().UnixMilli() + int64(r.Intn(3000))
	case 2:
		j.steps = []step{{Count: 1 + r.Intn(3), CPU: 300, Mem: 500, Est: 900, workMS: 900, Lasts: true, MaxPer: 1, MayMiss: 1}}
	}
	return j
}

func (s *stage) describe(j *job) {
	b, _ := json.Marshal(j.steps)
	s.add("SPEC %s%s %d x %d: %s", j.prefix, j.id, j.repetitions, j.intervalMS, b)
}

func (s *stage) cancel(j *job) {
	status, body := s.call(http.MethodDelete, j.prefix+j.id, j.key, nil)
	s.add("DELETE %s%s -> %d %s", j.prefix, j.id, status, body)
	j.cancelTried = true
	if status/100 == 2 {
		j.cancelledAt = time.Now()
	}
}

func (s *stage) disturb(r *rand.Rand, noise string, x *operator) {
	kinds := []string{"kill", "term", "pause", "crash", "crash", "crashsame", "rack", "late", "sick", "silent", "lost", "down", "move", "cap", "evacuate", "drain", "wave"}
	kind := kinds[r.Intn(len(kinds))]
	if noise != "" {
		list := strings.Split(noise, ",")
		kind = list[r.Intn(len(list))]
	}
	e := s.entries[r.Intn(len(s.entries))]
	var names []string
	for name := range s.fleet.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	name := names[r.Intn(len(names))]
	duration := time.Duration(300+r.Intn(3000)) * time.Millisecond
	s.add("disruption %s %s", kind, name)
	switch kind {
	case "kill":
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
		time.Sleep(300 * time.Millisecond)
		s.startEntry(e, "edge.log")
	case "term":
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
		done := make(chan struct{})
		go func() { _ = e.cmd.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(6 * time.Second):
			s.add("entry did not stop")
			_ = e.cmd.Process.Kill()
			<-done
		}
		s.startEntry(e, "edge.log")
	case "pause":
		_ = e.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
	case "crash":
		s.fleet.crash(duration, name)
	case "crashsame":
		s.fleet.crashSame(duration, name)
	case "rack":
		s.fleet.mu.Lock()
		rack := s.fleet.machines[name].rack
		var list []string
		for _, n := range names {
			if s.fleet.machines[n].rack == rack && s.fleet.machines[n].state == "up" {
				list = append(list, n)
			}
		}
		s.fleet.mu.Unlock()
		s.fleet.crash(duration, list...)
	case "late":
		s.fleet.mu.Lock()
		s.fleet.lateShare = 0.15
		s.fleet.mu.Unlock()
		time.AfterFunc(4*time.Second, func() {
			s.fleet.mu.Lock()
			s.fleet.lateShare = 0
			s.fleet.mu.Unlock()
		})
	case "move":
		i, k := r.Intn(len(x.routes)), r.Intn(len(x.routes))
		x.routes[i].Service, x.routes[k].Service = x.routes[k].Service, x.routes[i].Service
		x.put(x.cap)
	case "cap":
		x.put(resources{CPU: []int{0, 30000, 60000, 120000}[r.Intn(4)]})
	case "evacuate":
		x.evacuate(zones[r.Intn(len(zones))])
	case "drain":
		go s.fleet.drain(name, 4*time.Second)
	case "wave":
		x.wave(names, r)
	case "silent":
		s.add("%d connections go silent", silenceAll())
	case "lost":
		s.setStore(0.35, false)
		time.AfterFunc(4*time.Second, func() { s.setStore(0, false) })
	case "down":
		s.setStore(0, true)
		time.AfterFunc(duration, func() { s.setStore(0, false) })
	case "sick":
		s.fleet.mu.Lock()
		w := s.fleet.machines[name].worker
		if w != nil {
			w.sick = true
		}
		s.fleet.mu.Unlock()
		time.AfterFunc(duration, func() {
			s.fleet.mu.Lock()
			if w != nil {
				w.sick = false
			}
			s.fleet.mu.Unlock()
		})
	}
}

func (s *stage) setStore(lostShare float64, down bool) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.lostShare, s.store.down = lostShare, down
}

// crashSame crashes a worker that starts again under its id.
func (f *fleet) crashSame(downtime time.Duration, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[name]
	if m.worker == nil {
		return
	}
	id := m.worker.id
	f.record.add("worker %s on %s crashes, and will start again under its id", id, name)
	f.endWorker(m)
	m.state = "down"
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.startWorkerAs(m, id)
	})
}

func (s *stage) mostFailures(j *job) int {
	count := map[string]int{}
	most := 0
	for _, e := range s.fleet.eventsOf(j.id) {
		if e.kind == "failed" {
			name := e.task
			if st := s.fleet.specOf(e.task); st.Gang {
				name = gangName(e.task, 0)
			}
			count[name]++
			most = max(most, count[name])
		}
	}
	return most
}

// notDone returns a task of a job that has no end as done.
func (s *stage) notDone(j *job) string {
	s.fleet.mu.Lock()
	s.fleet.step(time.Now())
	s.fleet.mu.Unlock()
	done := map[string]bool{}
	for _, e := range s.fleet.eventsOf(j.id) {
		if e.kind == "done" {
			done[e.task] = true
		}
	}
	for k := range max(1, j.repetitions) {
		for n, st := range j.steps {
			for i := range st.Count {
				if task := fmt.Sprintf("%s.%d.%d.%d", j.id, k, n, i); !done[task] {
					return task
				}
			}
		}
	}
	return ""
}

// judge checks the starts and ends of all tasks.
func (s *stage) judge(jobs []*job, x *operator) []string {
	var broken []string
	for _, j := range jobs {
		events := s.fleet.eventsOf(j.id)
		running := map[string]event{}
		doneAt := map[string]event{}
		noted := map[string]bool{}
		for _, e := range events {
			if e.kind == "noted" && e.checkpoint == "done" {
				noted[fmt.Sprintf("%s/%d/%s", e.task, e.run, e.worker)] = true
			}
		}
		checkpoints := map[string]string{}
		for _, e := range events {
			switch e.kind {
			case "start":
				st := s.fleet.specOf(e.task)
				if before, ok := running[e.task]; ok {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s while run %d is on %s", e.task, e.run, e.worker, before.run, before.worker))
				}
				running[e.task] = e
				if !x.sentTo[j.prefix][e.pool] {
					broken = append(broken, fmt.Sprintf("ROUTE: %s starts on a worker of %s", e.task, e.pool))
				}
				if !e.draining.IsZero() && e.at.Sub(e.draining) > 2*time.Second {
					broken = append(broken, fmt.Sprintf("DRAIN: %s starts %v after the worker drains", e.task, e.at.Sub(e.draining)))
				}
				for _, ev := range x.evacuations {
					if ev.zone == e.zone && e.at.After(ev.from.Add(5*time.Second)) && e.at.Before(ev.until) {
						broken = append(broken, fmt.Sprintf("EVAC: %s starts in %s %v after its evacuation", e.task, e.zone, e.at.Sub(ev.from)))
					}
				}
				if d, ok := doneAt[e.task]; ok && !st.Lasts && noted[fmt.Sprintf("%s/%d/%s", d.task, d.run, d.worker)] {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s at %v after run %d was done at %v", e.task, e.run, e.worker, e.at.Sub(s.began), d.run, d.at.Sub(s.began)))
				}
				parts := strings.Split(e.task, ".")
				n, _ := strconv.Atoi(parts[2])
				k, _ := strconv.Atoi(parts[1])
				for _, a := range j.steps[n].After {
					gangDone := false
					all := true
					for i := range j.steps[a].Count {
						_, ok := doneAt[fmt.Sprintf("%s.%d.%d.%d", j.id, k, a, i)]
						gangDone = gangDone || ok
						all = all && ok
					}
					if !(all || j.steps[a].Gang && gangDone) {
						broken = append(broken, fmt.Sprintf("ORDER: %s run %d starts before step %d is done", e.task, e.run, a))
					}
				}
				if j.repetitions > 0 && e.at.UnixMilli() < j.firstRunMS+int64(k*j.intervalMS)-250 {
					broken = append(broken, fmt.Sprintf("ORDER: %s starts early", e.task))
				}
				if st.Gang {
					g := gangName(e.task, e.run)
					if c, ok := checkpoints[g]; ok && c != e.checkpoint {
						broken = append(broken, fmt.Sprintf("UNASKED: gang %s with checkpoints %q and %q", g, c, e.checkpoint))
					}
					checkpoints[g] = e.checkpoint
				}
				if !j.cancelledAt.IsZero() && e.at.Sub(j.cancelledAt) > 3*time.Second {
					broken = append(broken, fmt.Sprintf("UNASKED: %s starts %v after the cancelling", e.task, e.at.Sub(j.cancelledAt)))
				}
			case "done", "failed", "stopped", "lapsed", "broken", "alone", "lost":
				if running[e.task].run == e.run {
					delete(running, e.task)
				}
				if e.kind == "done" {
					if _, ok := doneAt[e.task]; !ok {
						doneAt[e.task] = e
					}
				}
			}
		}
	}
	return broken
}

// operator changes the manifest, evacuates zones and orders waves of upkeep.
type operator struct {
	*stage
	routes      []route
	pools       []string
	cap         resources
	random      *rand.Rand
	sentTo      map[string]map[string]bool // by prefix: services to which a manifest has sent the queue
	evacuated   map[string]time.Time
	evacuations []evacuation
	waves       int
}

type evacuation struct {
	zone        string
	from, until time.Time
}

func (x *operator) put(limit resources) {
	x.cap = limit
	for _, r := range x.routes {
		if x.sentTo[r.Prefix] == nil {
			x.sentTo[r.Prefix] = map[string]bool{}
		}
		x.sentTo[r.Prefix][r.Service] = true
	}
	x.putManifest(x.routes, x.pools, []tenant{{Name: "painters", Keys: []string{"key-painters"}, Weight: 80, Cap: limit}})
}

// evacuate evacuates a zone, or takes it back.
func (x *operator) evacuate(zone string) {
	if from, ok := x.evacuated[zone]; ok {
		x.store.remove("op", "evacuate/"+zone)
		x.evacuations = append(x.evacuations, evacuation{zone, from, time.Now()})
		delete(x.evacuated, zone)
		x.add("%s is taken back", zone)
		return
	}
	if len(x.evacuated) > 0 {
		return
	}
	x.store.put("op", "evacuate/"+zone, map[string]any{})
	x.evacuated[zone] = time.Now()
	x.add("%s is evacuated", zone)
}

func (x *operator) wave(names []string, r *rand.Rand) {
	x.waves++
	var list []string
	for _, name := range names {
		if r.Intn(3) == 0 {
			list = append(list, name)
		}
	}
	x.store.put("op", fmt.Sprintf("wave/%d", x.waves), map[string]any{"wave": x.waves, "machines": list, "duration_s": 20, "cap": 2})
	x.add("wave %d of %v", x.waves, list)
}
