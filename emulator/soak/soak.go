// Package soak runs the real programs as separate processes on one machine, disturbs
// them from outside by a schedule that a seed determines, and checks from what callers
// and workers saw whether all guarantees were kept. Moves between pools and maintenance
// waves are not part of it: the emulated inventory lists no machines.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthfork.example/emulator/proxy"
	"amaranthfork.example/emulator/tableservice"
	"amaranthfork.example/emulator/worker"
)

// Options are the parameters of a soak.
type Options struct {
	Seed           int64
	Duration       time.Duration // of the faults
	Entries        int
	WorkersPerPool int
	JobsPerSecond  float64
	Cuts           bool          // NewCutSchedule in place of NewSchedule
	Restarts       bool          // NewRestartSchedule in place of NewSchedule, with long tasks and leases
	MaxLateCall    time.Duration // of orders during WorkerLateCalls; 0 if none is late
	Daemon         string        // path of amaranthd
	Self           []string      // command that runs ServiceMain and WorkerMain by their first argument
	Dir            string        // for logs
	Schedule       []Fault       // replaces the schedule of the seed; nil for that
	Log            io.Writer
}

// Report is the outcome of a soak.
type Report struct {
	Schedule   []Fault
	Jobs       int
	Accepted   int
	Refused    int
	Starts     int
	Reruns     int // runs of tasks that an earlier run had done, unknown to their owner
	Violations []Violation
}

// pools of a soak, each with one queue of the same name.
var pools = []string{"alpha", "beta"}

const (
	host        = "soak.example"
	workspace   = "team"
	dataCentres = 2
	startupTime = 20 * time.Second // until the first job is accepted
	// maxClockError is the relative error by which a worker's clock may be slow.
	maxClockError = 0.02
)

// soak is one run.
type soak struct {
	Options
	random  *rand.Rand
	began   time.Time
	service *child
	admin   string // address of the service's interface for the soak

	entries       []*child
	storeProxies  []*proxy.Proxy // by entry
	callerProxies []*proxy.Proxy // by entry
	workers       []*soakWorker
	callers       *callers

	mu         sync.Mutex
	events     []worker.Event
	eventLog   *os.File
	killed     killedWorkers
	jobs       map[string]*jobRecord
	watched    int // jobs that end by themselves and whose callers still ask for them
	violations []Violation
	keys       []string // granted keys, the newest last
	keyVersion int64
	withdrawn  map[string]time.Time // by key: when the operator's write was acknowledged
	stops      []stop
	cuts       [dataCentres]int // how many cuts of each data centre are in force
	lastFault  time.Time

	handIn func(after time.Duration, random *rand.Rand, j *jobRecord) // lets a caller of its own hand a job in and watch it
}

type soakWorker struct {
	*child
	id          string
	pool        string
	proxies     [dataCentres]*proxy.Proxy // by the data centre of the caller
	control     string                    // address of its interface for the soak
	incarnation int64                     // of the present process; guarded by soak.mu
	random      func() float64            // of its restarts
}

// stop is a planned stop of an entry.
type stop struct {
	entry int
	at    time.Time
}

// Run runs a soak. The error is that of the set-up; broken guarantees are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	random := rand.New(rand.NewSource(o.Seed))
	if o.Schedule == nil {
		o.Schedule = NewSchedule(random, o.Duration, o.Entries, o.WorkersPerPool*len(pools))
		if o.Cuts {
			o.Schedule = NewCutSchedule(random, o.Duration, o.Entries)
		}
		if o.Restarts {
			o.Schedule = NewRestartSchedule(random, o.Duration, o.Entries, o.WorkersPerPool*len(pools))
		}
	}
	s := &soak{Options: o, random: random, killed: killedWorkers{}, jobs: map[string]*jobRecord{}, withdrawn: map[string]time.Time{}, keys: []string{"key-0"}}
	var err error
	if s.eventLog, err = os.Create(filepath.Join(o.Dir, "workers.log")); err != nil {
		return nil, err
	}
	defer s.eventLog.Close()
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	s.play(ctx)
	return s.report(), ctx.Err()
}

func (s *soak) logf(format string, args ...any) {
	fmt.Fprintf(s.Log, "%7.2fs "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

func (s *soak) violate(rule, id, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, Violation{time.Now(), rule, fmt.Sprintf(format, args...), id})
}

// Ports for processes that are started again at the same address. They are below those
// that the kernel gives to outgoing connections, which could take one in between.
const (
	firstPort = 20000
	portCount = 12000
)

var nextPort atomic.Int64

// freeAddress returns an unused address on the loopback interface.
func freeAddress() (string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid()*97%portCount))
	var err error
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

// start starts all processes and waits until a job is accepted.
func (s *soak) start(ctx context.Context) error {
	s.began = time.Now()
	var addresses []string // of the table service, by data centre
	for range dataCentres {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	var err error
	if s.admin, err = freeAddress(); err != nil {
		return err
	}
	s.service = newChild(s.Dir, "service", func() *exec.Cmd {
		return s.self("service", "--listen", strings.Join(addresses, ","), "--admin", s.admin, "--seed", fmt.Sprint(s.Seed))
	})
	if err := s.service.start(); err != nil {
		return err
	}
	if err := awaitListener(ctx, s.admin); err != nil {
		return err
	}
	if err := s.writeCatalog(); err != nil {
		return err
	}
	for i := range s.WorkersPerPool * len(pools) {
		if err := s.startWorker(i); err != nil {
			return err
		}
	}
	var callerAddresses []string
	for i := range s.Entries {
		address, err := s.startEntry(i, addresses[dataCentreOfEntry(i)])
		if err != nil {
			return err
		}
		callerAddresses = append(callerAddresses, address)
	}
	s.callers = newCallers(callerAddresses, host, s.currentKey)
	return s.awaitService(ctx)
}

func (s *soak) self(args ...string) *exec.Cmd {
	all := append(append([]string(nil), s.Self...), args...)
	return exec.Command(all[0], all[1:]...)
}

func awaitListener(ctx context.Context, address string) error {
	deadline := time.Now().Add(startupTime)
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		pause(ctx, 20*time.Millisecond)
	}
}

func (s *soak) startWorker(i int) error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	control, err := freeAddress()
	if err != nil {
		return err
	}
	w := &soakWorker{id: fmt.Sprintf("w-%02d", i), pool: pools[i%len(pools)], control: control}
	var advertised []string
	for dc := range w.proxies {
		if w.proxies[dc], err = proxy.Listen(listen); err != nil {
			return err
		}
		advertised = append(advertised, w.proxies[dc].Address())
	}
	rate := 1 - maxClockError*s.random.Float64()
	if s.Restarts {
		rate = 1 - maxClockError
		for _, p := range w.proxies {
			p.Persist()
		}
	}
	seed := s.random.Int63()
	w.random = lockedRandom(seed + 1)
	registerAfter := time.Duration(0)
	w.child = newChild(s.Dir, w.id, func() *exec.Cmd {
		defer func() {
			// The next process writes its row at any time of its report interval.
			if s.Restarts {
				registerAfter = time.Duration(w.random() * float64(heartbeat))
			}
		}()
		return s.self("worker", "--id", w.id, "--pool", w.pool, "--zone", dataCentreName(dataCentreOfWorker(i)), "--listen", listen, "--control", control,
			"--advertise", strings.Join(advertised, ","), "--service", s.admin, "--rate", fmt.Sprint(rate),
			"--max-lease", s.maxLease().String(), "--register-after", registerAfter.String(), "--seed", fmt.Sprint(seed))
	})
	w.line = func(line []byte) { s.observe(w, line) }
	w.onEnd = func(expected bool, err error) {
		s.mu.Lock()
		if key := incarnationKey(w.id, w.incarnation); s.killed[key].IsZero() {
			s.killed[key] = time.Now() // a process that has reported nothing leaves the one before as it is
		}
		s.mu.Unlock()
		if !expected {
			s.violate("harness", w.id, "worker ended by itself: %v", err)
		}
	}
	s.workers = append(s.workers, w)
	return w.start()
}

func dataCentreName(dc int) string { return fmt.Sprintf("dc-%d", dc) }

func dataCentreOfEntry(i int) int { return i % dataCentres }

// dataCentreOfWorker spreads the workers of each pool over the data centres.
func dataCentreOfWorker(i int) int { return i / len(pools) % dataCentres }

// observe records a line of a worker's output.
func (s *soak) observe(w *soakWorker, line []byte) {
	var e worker.Event
	if err := json.Unmarshal(line, &e); err != nil {
		s.violate("harness", w.id, "unreadable event: %v", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.incarnation = e.Incarnation
	s.events = append(s.events, e)
	fmt.Fprintf(s.eventLog, "ts=%s worker=%s incarnation=%d event=%s task=%s run=%d cause=%s sequence=%d until=%s", logTime(e.AtNS), e.Worker, e.Incarnation, e.Kind, e.Task, e.Run, e.Cause, e.Sequence, logTime(e.UntilNS))
	if e.Kind == worker.EventStart {
		fmt.Fprintf(s.eventLog, " clock_ms=%d deadline_ms=%d token=%d", e.ClockMS, e.DeadlineMS, e.Token)
	}
	fmt.Fprintln(s.eventLog)
}

// logTime formats a time as the entries' logs do; an empty text for 0.
func logTime(ns int64) string {
	if ns == 0 {
		return ""
	}
	return time.Unix(0, ns).UTC().Format("2006-01-02T15:04:05.000Z")
}

// startEntry starts an entry and returns the address for callers.
func (s *soak) startEntry(i int, service string) (string, error) {
	store, err := proxy.Listen(service)
	if err != nil {
		return "", err
	}
	s.storeProxies = append(s.storeProxies, store)
	var listen [3]string
	for k := range listen {
		if listen[k], err = freeAddress(); err != nil {
			return "", err
		}
	}
	_, internal, err := net.SplitHostPort(listen[2])
	if err != nil {
		return "", err
	}
	port, err := strconv.Atoi(internal)
	if err != nil {
		return "", err
	}
	name := fmt.Sprintf("entry-%d", i)
	settings := map[string]any{
		"node_name": name, "ip": "127.0.0.1", "zone": dataCentreName(dataCentreOfEntry(i)),
		"listen":         map[string]string{"frontend": listen[0], "readiness": listen[1]},
		"internal_ports": []int{port, port},
		"limits":         map[string]any{"cpu_share": 0.4, "memory_mb": 284},
		"bounds": map[string]any{"hold_max_ms": s.maxLease().Milliseconds(), "stop_grace_ms": 900, "grace_s": graceTime.Seconds(), "revoke_ms": revokeTime.Milliseconds(),
			"status_s": 120, "migrate_s": 1.5, "maintenance_s": 2, "lease_ms": 3000},
		"platform": map[string]any{"address": store.Address()},
		"cloud":    map[string]any{"address": store.Address(), "duty_per_s": 64},
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.Dir, name+".json")
	if err := os.WriteFile(path, b, 0o644); err != nil {
		return "", err
	}
	c := newChild(s.Dir, name, func() *exec.Cmd {
		cmd := exec.Command(s.Daemon, "platform")
		cmd.Env = append(os.Environ(), "AMARANTHFORK_SETTINGS="+path)
		return cmd
	})
	c.onEnd = func(expected bool, err error) {
		if !expected {
			s.violate("exit", name, "process ended by itself: %v", err)
		}
	}
	s.entries = append(s.entries, c)
	if err := c.start(); err != nil {
		return "", err
	}
	p, err := proxy.Listen(listen[0])
	if err != nil {
		return "", err
	}
	s.callerProxies = append(s.callerProxies, p)
	return p.Address(), nil
}

// awaitService submits a job until it has succeeded, and reports whether that took at
// most startupTime.
func (s *soak) awaitService(ctx context.Context) error {
	began := time.Now()
	if !s.serveOne(ctx, startupTime) {
		return fmt.Errorf("no job was served within %v after the start", startupTime)
	}
	s.logf("first job served after %v", time.Since(began).Round(time.Millisecond))
	return nil
}

// serveOne hands in one small job and reports whether it succeeds in time.
func (s *soak) serveOne(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	random := rand.New(rand.NewSource(s.Seed + 1))
	for ctx.Err() == nil {
		j := newJob(random, pools[0], false)
		j.poisoned = false
		j.steps = []jobStep{{1, 100 * time.Millisecond}}
		j.payload = `{"step_ms":[100]}`
		s.addJob(j)
		s.callers.submit(ctx, random, j)
		if j.accepted() {
			s.callers.watch(ctx, random, j, 0)
			return !j.succeededAt.IsZero()
		}
	}
	return false
}

func (s *soak) addJob(j *jobRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.id] = j
}

// play lets callers and faults run, ends the faults and waits for the work to finish.
func (s *soak) play(ctx context.Context) {
	traffic, stopTraffic := context.WithCancel(ctx)
	watching, stopWatching := context.WithCancel(ctx)
	defer stopTraffic()
	defer stopWatching()
	var callers sync.WaitGroup
	for _, queue := range pools {
		for range s.lastingJobs() {
			own, j := rand.New(rand.NewSource(s.random.Int63())), newJob(s.random, queue, true)
			callers.Go(func() { s.runJob(watching, own, j, 0) })
		}
	}
	s.handIn = func(after time.Duration, random *rand.Rand, j *jobRecord) {
		callers.Go(func() {
			pause(watching, after)
			s.runJob(watching, random, j, 0)
		})
	}
	callers.Go(func() { s.arrivals(traffic, watching, &callers) })
	callers.Go(func() { s.probeWithdrawnKeys(traffic) })
	s.began = time.Now()
	s.inject(ctx)
	s.mu.Lock()
	s.lastFault = time.Now()
	s.mu.Unlock()
	s.logf("faults ended")
	if !s.serveOne(ctx, recoveryTime) && ctx.Err() == nil {
		s.violate("recover", "", "no job was served within %v after the last fault", recoveryTime)
	}
	stopTraffic()
	for !s.allFinished() && time.Since(s.lastFault) < s.finishTime() && ctx.Err() == nil {
		pause(ctx, statusPause)
	}
	s.cancelLongRunning(ctx)
	stopWatching()
	callers.Wait()
	pause(ctx, 2*time.Second) // for the ends of the cancelled runs
}

// lastingJobs returns the number of jobs in each queue that run until they are cancelled.
// Cuts need many: a run that outlasts its lease bound shows only if it lasts.
func (s *soak) lastingJobs() int {
	switch {
	case s.Cuts:
		return 5
	case s.Restarts:
		return 2
	}
	return 1
}

// maxLease returns the longest lease that workers accept, on their clocks. With restarts it
// is longer than the leases that owners grant.
func (s *soak) maxLease() time.Duration {
	if s.Restarts {
		return 10 * time.Second
	}
	return 6 * time.Second
}

// finishTime returns the time after the last fault in which all accepted jobs are finished.
// A long task may start once more in it.
func (s *soak) finishTime() time.Duration {
	if s.Restarts {
		return finishTime + longTaskTime
	}
	return finishTime
}

// allFinished reports whether all callers but those of long-running jobs have stopped
// watching their jobs.
func (s *soak) allFinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watched == 0
}

// arrivals hands in jobs at JobsPerSecond.
func (s *soak) arrivals(ctx, watching context.Context, wg *sync.WaitGroup) {
	random := rand.New(rand.NewSource(s.Seed + 2))
	for ctx.Err() == nil {
		j := newJob(random, pools[random.Intn(len(pools))], false)
		if s.Restarts && random.Float64() < longTaskPart {
			j.makeLong(j.steps[0].count)
		}
		cancelAfter := time.Duration(0)
		if random.Float64() < cancelledPart {
			cancelAfter = time.Duration(1+random.Intn(1000)) * time.Millisecond
		}
		own := rand.New(rand.NewSource(random.Int63()))
		wg.Go(func() { s.runJob(watching, own, j, cancelAfter) })
		pause(ctx, time.Duration(random.ExpFloat64()/s.JobsPerSecond*float64(time.Second)))
	}
}

func (s *soak) runJob(ctx context.Context, random *rand.Rand, j *jobRecord, cancelAfter time.Duration) {
	s.addJob(j)
	if !j.longRunning {
		s.mu.Lock()
		s.watched++
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.watched--
			s.mu.Unlock()
		}()
	}
	s.callers.submit(ctx, random, j)
	if j.accepted() {
		s.callers.watch(ctx, random, j, cancelAfter)
	}
}

// cancelLongRunning cancels the jobs that run until they are cancelled.
func (s *soak) cancelLongRunning(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	random := rand.New(rand.NewSource(s.Seed + 3))
	s.mu.Lock()
	var open []*jobRecord
	for _, j := range s.jobs {
		if j.longRunning && j.accepted() {
			open = append(open, j)
		}
	}
	s.mu.Unlock()
	for _, j := range open {
		s.callers.cancel(ctx, random, j)
		if j.cancelledAt.IsZero() {
			s.violate("cancelled", j.id, "a cancellation was not acknowledged within 5 s, %v after the last fault", s.finishTime())
		}
	}
}

func (s *soak) currentKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[len(s.keys)-1]
}

// probeWithdrawnKeys hands in jobs with keys that were withdrawn.
func (s *soak) probeWithdrawnKeys(ctx context.Context) {
	random := rand.New(rand.NewSource(s.Seed + 4))
	for ; ctx.Err() == nil; pause(ctx, 200*time.Millisecond) {
		s.mu.Lock()
		var withdrawn []string
		for key, at := range s.withdrawn {
			if time.Since(at) > revokeTime {
				withdrawn = append(withdrawn, key)
			}
		}
		s.mu.Unlock()
		for _, key := range withdrawn {
			j := newJob(random, pools[0], false)
			s.addJob(j)
			j.unknown = true
			entry := random.Intn(s.Entries)
			if status, _ := s.callers.call(ctx, entry, http.MethodPost, s.callers.path(j), key, j.body()); status/100 == 2 {
				j.acceptedAt = time.Now()
				s.violate("key", j.id, "entry-%d accepted a job with %s, which was withdrawn more than %v before", entry, key, revokeTime)
			}
		}
	}
}

// report judges the run.
func (s *soak) report() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := newHistory(s.events, s.killed)
	r := &Report{Schedule: s.Schedule, Jobs: len(s.jobs), Violations: append(s.violations, judge(h, s.jobs, time.Now())...)}
	r.Violations = append(r.Violations, s.cutByPlannedStops()...)
	for _, j := range s.jobs {
		if j.accepted() {
			r.Accepted++
		}
		if j.refused() {
			r.Refused++
		}
	}
	r.Reruns = h.reruns()
	for _, runs := range h.runs {
		r.Starts += len(runs)
	}
	return r
}

// cutByPlannedStops returns a violation for each request that a planned stop cut while
// nothing else was disturbed.
func (s *soak) cutByPlannedStops() []Violation {
	var found []Violation
	for _, b := range s.callers.broken {
		for _, stop := range s.stops {
			planned := b.entry == stop.entry && b.sentAt.After(stop.at.Add(-callTimeout)) && b.sentAt.Before(stop.at.Add(graceTime+time.Second))
			if planned && b.endAt.After(stop.at) && b.endAt.Sub(b.sentAt) > lossSlack && s.calm(b.sentAt.Add(-calmTime), b.endAt, stop.at) {
				found = append(found, Violation{b.endAt, "cut", fmt.Sprintf("entry-%d cut %s %s, sent %v after its SIGTERM", b.entry, b.method, b.job, b.sentAt.Sub(stop.at)), b.job})
			}
		}
	}
	return found
}

// calm reports whether no fault but the planned stop at a time was in force in a span.
func (s *soak) calm(from, to, stoppedAt time.Time) bool {
	for _, f := range s.Schedule {
		at := s.began.Add(f.At)
		if f.Kind == EntryStop && at.Sub(stoppedAt).Abs() < 200*time.Millisecond {
			continue
		}
		if at.Before(to) && at.Add(f.For).After(from) {
			return false
		}
	}
	return true
}

// close ends all processes.
func (s *soak) close() {
	var wg sync.WaitGroup
	end := func(c *child) {
		if c != nil && c.cmd != nil {
			wg.Go(c.close)
		}
	}
	for _, e := range s.entries {
		end(e)
	}
	for _, w := range s.workers {
		end(w.child)
	}
	wg.Wait()
	end(s.service)
	wg.Wait()
	for _, p := range append(s.storeProxies, s.callerProxies...) {
		p.Close()
	}
	for _, w := range s.workers {
		for _, p := range w.proxies {
			p.Close()
		}
	}
}

// post sends a request to the interface of the service or a worker for the soak.
func post(address, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered with status %d", path, resp.StatusCode)
	}
	return nil
}

// writeCatalog writes the operators' declarations with the present keys.
func (s *soak) writeCatalog() error {
	s.mu.Lock()
	s.keyVersion++
	version, keys := s.keyVersion, append([]string(nil), s.keys...)
	s.mu.Unlock()
	var routes, services []map[string]any
	for _, p := range pools {
		routes = append(routes, map[string]any{"name": "q-" + p, "host": host, "prefix": "/" + p + "/", "service": p, "timeout_ms": 3000,
			"max_attempts": maxAttempts, "stretch": 2, "completion_target_ms": 1000})
		services = append(services, map[string]any{"name": p, "admission_check": true})
	}
	return post(s.admin, "/row", operatorRow{Name: "config", Value: map[string]any{"version": version, "routes": routes, "services": services,
		"tenants": []map[string]any{{"name": workspace, "api_keys": keys, "weight": 50}}, "limits": map[string]any{"max_body_bytes": 65536}}})
}

// changeKeys grants a new key, and withdraws the older ones once it is in force.
func (s *soak) changeKeys(ctx context.Context) {
	s.mu.Lock()
	old := append([]string(nil), s.keys...)
	s.keys = append(s.keys, fmt.Sprintf("key-%d", s.keyVersion))
	s.mu.Unlock()
	if err := s.writeCatalog(); err != nil {
		s.logf("keys not changed: %v", err)
	}
	pause(ctx, 3*time.Second)
	s.mu.Lock()
	s.keys = s.keys[len(s.keys)-1:]
	s.mu.Unlock()
	if err := s.writeCatalog(); err != nil {
		s.logf("keys not changed: %v", err)
		return
	}
	s.mu.Lock()
	for _, key := range old {
		if key != s.keys[0] {
			s.withdrawn[key] = time.Now()
		}
	}
	s.mu.Unlock()
}

// inject plays the schedule and ends each fault at its time.
func (s *soak) inject(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range s.Schedule {
		pause(ctx, f.At-time.Since(s.began))
		if ctx.Err() != nil {
			break
		}
		s.logf("%s", f)
		wg.Go(func() {
			end := s.apply(ctx, f)
			pause(ctx, f.For)
			if end != nil {
				end()
			}
		})
	}
	wg.Wait()
}

// apply begins a fault and returns what ends it, nil for none.
func (s *soak) apply(ctx context.Context, f Fault) (end func()) {
	entry := f.Target % s.Entries
	w := s.workers[f.Target%len(s.workers)]
	store := s.storeProxies[entry]
	link := func(m proxy.Mode, proxies ...*proxy.Proxy) func() {
		set := func(m proxy.Mode) {
			for _, p := range proxies {
				p.SetMode(m)
			}
		}
		set(m)
		return func() { set(proxy.Mode{}) }
	}
	fault := func(faults tableservice.Faults) func() {
		s.postToService("/faults", faults)
		return func() { s.postToService("/faults", tableservice.Faults{}) }
	}
	switch f.Kind {
	case EntryStop:
		s.mu.Lock()
		s.stops = append(s.stops, stop{entry, time.Now()})
		s.mu.Unlock()
		s.entries[entry].signal(syscall.SIGTERM, true, 0)
		c := s.entries[entry]
		c.mu.Lock()
		cmd := c.cmd
		c.mu.Unlock()
		return func() {
			pause(ctx, graceTime)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.cmd == cmd && !c.closed {
				_ = cmd.Process.Kill() // fails only if the process has ended
			}
		}
	case EntryKill:
		s.entries[entry].signal(syscall.SIGKILL, true, 0)
	case EntryPause:
		s.entries[entry].signal(syscall.SIGSTOP, false, 0)
		return func() { s.entries[entry].signal(syscall.SIGCONT, false, 0) }
	case EntryReload:
		s.entries[entry].signal(syscall.SIGHUP, false, 0)
	case StoreCut:
		return link(proxy.Mode{DropToward: true, DropBack: true}, store)
	case StoreCutBack:
		return link(proxy.Mode{DropBack: true}, store)
	case StoreDelay:
		return link(proxy.Mode{Delay: 100 * time.Millisecond}, store)
	case StoreReset:
		store.Reset()
	case StoreRefuse:
		end := link(proxy.Mode{Refuse: true}, store)
		store.Reset()
		return end
	case ServiceDown:
		return fault(tableservice.Faults{Down: true})
	case ServiceSlow:
		return fault(tableservice.Faults{TxnTime: 100 * time.Millisecond})
	case ServiceLoses:
		return fault(tableservice.Faults{LoseAnswer: 0.3})
	case ServiceForget:
		s.postToService("/forget", struct{}{})
	case WorkerKill:
		w.signal(syscall.SIGKILL, true, f.For)
	case WorkerRestart:
		w.signal(syscall.SIGKILL, true, f.For)
	case WorkerLateCalls:
		late := func(call []byte) time.Duration {
			// A late renewal would acknowledge ends of the next process that no owner has seen,
			// which the judge takes for a record of them.
			if bytes.HasPrefix(call, []byte("POST /v1/hold")) || w.random() >= lateCallPart {
				return 0
			}
			return time.Duration(w.random() * float64(s.MaxLateCall))
		}
		setLate := func(late func([]byte) time.Duration) {
			for _, p := range w.proxies {
				p.SetLate(late)
			}
		}
		setLate(late)
		own := rand.New(rand.NewSource(s.Seed + int64(f.At)))
		s.handIn(time.Duration(own.Int63n(int64(f.For))), own, newLongJob(own, w.pool))
		return func() { setLate(nil) }
	case WorkerIsolated:
		end := link(proxy.Mode{DropToward: true, DropBack: true}, w.proxies[:]...)
		s.cutFromDiscovery(ctx, w, true)
		return func() { end(); s.cutFromDiscovery(ctx, w, false) }
	case WorkerPause:
		w.signal(syscall.SIGSTOP, false, 0)
		return func() { w.signal(syscall.SIGCONT, false, 0) }
	case WorkerLate:
		s.setLateOrders(w, 0.3)
		return func() { s.setLateOrders(w, 0) }
	case WorkerCut:
		return link(proxy.Mode{DropToward: true, DropBack: true}, w.proxies[:]...)
	case WorkerCutBack:
		return link(proxy.Mode{DropBack: true}, w.proxies[:]...)
	case WorkerDelay:
		return link(proxy.Mode{Delay: 150 * time.Millisecond}, w.proxies[:]...)
	case WorkerReset:
		for _, p := range w.proxies {
			p.Reset()
		}
	case CallerReset:
		s.callerProxies[entry].Reset()
	case DataCentreCut:
		s.changeCut(f.Target%dataCentres, 1)
		return func() { s.changeCut(f.Target%dataCentres, -1) }
	case KeyChange:
		s.changeKeys(ctx)
	}
	return nil
}

// changeCut begins or ends a cut of a data centre; cuts may overlap. Its entries lose the
// table service and the workers elsewhere; its workers lose the entries elsewhere and the
// discovery table. Entries still reach each other.
func (s *soak) changeCut(dc, by int) {
	s.mu.Lock()
	was := s.cuts[dc] > 0
	s.cuts[dc] += by
	cut := s.cuts[dc] > 0
	s.mu.Unlock()
	if cut == was {
		return
	}
	set := func(p *proxy.Proxy) {
		p.SetMode(proxy.Mode{DropToward: cut, DropBack: cut})
		p.Reset() // a connection that has lost data stays silent
	}
	for i, p := range s.storeProxies {
		if dataCentreOfEntry(i) == dc {
			set(p)
		}
	}
	for i, w := range s.workers {
		own := dataCentreOfWorker(i) == dc
		for caller, p := range w.proxies {
			if (caller == dc) != own {
				set(p)
			}
		}
		if own {
			if err := post(w.control, "/cut", cut); err != nil {
				s.logf("%s: %v", w.id, err)
			}
		}
	}
}

// cutFromDiscovery begins or ends a cut of a worker from the discovery table. A process that
// has just started may not listen yet.
func (s *soak) cutFromDiscovery(ctx context.Context, w *soakWorker, cut bool) {
	err := awaitListener(ctx, w.control)
	if err == nil {
		err = post(w.control, "/cut", cut)
	}
	if err != nil {
		s.logf("%s: %v", w.id, err)
	}
}

// postToService sends a request to the service's interface for the soak.
func (s *soak) postToService(path string, body any) {
	if err := post(s.admin, path, body); err != nil {
		s.violate("harness", "service", "%v", err)
	}
}

// setLateOrders sets the fraction of orders that a worker carries out late. A worker that is
// suspended or away does not answer.
func (s *soak) setLateOrders(w *soakWorker, late float64) {
	if err := post(w.control, "/late", late); err != nil {
		s.logf("%s: %v", w.id, err)
	}
}
