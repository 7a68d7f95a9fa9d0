package crowd

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	soakSeed    = flag.Int64("soak.seed", 1, "first seed of the soak")
	soakSeeds   = flag.Int("soak.seeds", 2, "number of consecutive seeds of the soak")
	soakEntries = flag.Int("soak.entries", 3, "number of entries of the soak")
	soakTime    = flag.Duration("soak.time", 10*time.Second, "time in which the events of the soak begin")
)

const (
	soakEvents   = 16  // of each seed
	soakCallers  = 12  // ordinary ones
	soakClients  = 180 // of each kind that is drawn, over all entries
	soakKinds    = 5   // kinds of clients that are drawn
	callerPause  = 250 * time.Millisecond
	callTime     = 3 * time.Second // of one try of an ordinary caller
	callerTries  = 400             // until an outcome must be known
	clientPause  = 300 * time.Millisecond
	lateCommit   = 5 * time.Second // longest time until a transaction whose answer is lost is carried out
	longestFault = 3 * time.Second
)

// soakRun is one seed of the soak.
type soakRun struct {
	*environment
	random  *rand.Rand
	entries []*system
	locks   []sync.Mutex // by entry: held while its process is ended and started

	mu      sync.Mutex
	faults  int // of the table service, under way
	version int // of the declarations
	jobs    []*handedIn
}

// handedIn is a job with what its caller was told. The caller alone writes it.
type handedIn struct {
	path     string
	accepted bool
	unknown  bool // a try has ended without an answer, or with an unknown outcome
	refused  int
}

// Guards against what only shows in mixed company: ordinary callers beside several kinds of
// clients on kept connections, while processes are stopped, killed and frozen and the table
// service fails, in series that overlap. What a caller was told must be so at the end: an
// accepted job succeeds, a refused one does not exist.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + int64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed int64) {
	r := &soakRun{environment: startEnvironment(t), random: rand.New(rand.NewSource(seed)), version: 1}
	r.locks = make([]sync.Mutex, *soakEntries)
	for i := range *soakEntries {
		s := r.newEntry(fmt.Sprintf("entry-%d", i))
		if err := s.start(); err != nil {
			t.Fatal(err)
		}
		r.entries = append(r.entries, s)
	}
	for _, s := range r.entries {
		s.ordinary("at the start")
		s.sampled.Go(s.sample)
	}
	crowd, endCrowd := context.WithCancel(context.Background())
	defer endCrowd()
	var clients sync.WaitGroup
	r.startClients(crowd, &clients)
	calling, endCalls := context.WithCancel(context.Background())
	defer endCalls()
	var callers sync.WaitGroup
	for range soakCallers {
		random := rand.New(rand.NewSource(r.random.Int63()))
		callers.Go(func() { r.call(calling, random) })
	}
	r.disturb()
	endCalls()
	callers.Wait()
	for _, s := range r.entries {
		s.ordinary("beside the crowd, after the events")
	}
	endCrowd()
	clients.Wait()
	time.Sleep(lateCommit)
	r.judge()
	for _, s := range r.entries {
		s.check()
	}
}

// Guards against requests that pile up, and against refusals that are not true, while the table
// service gives no answers: what was sent before is carried out when it goes on.
func TestCrowdBesideSilentTableService(t *testing.T) {
	s := startSystem(t)
	r := &soakRun{environment: s.environment, entries: []*system{s}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, clients sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { r.call(ctx, rand.New(rand.NewSource(int64(i)))) })
	}
	large := s.sendBody(host, key, ofLength(len(body)), body)
	for i := range bodyCrowd {
		clients.Go(func() {
			for ctx.Err() == nil {
				s.play(ctx, s.callers, i%wholeOneIn == 0, large, func() {})
			}
		})
	}
	for _, silence := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, longestFault} {
		time.Sleep(time.Second)
		if err := syscall.Kill(r.environment.pid, syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(silence)
		if err := syscall.Kill(r.environment.pid, syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	s.ordinary("beside the crowd")
	cancel()
	callers.Wait()
	clients.Wait()
	time.Sleep(lateCommit)
	r.judge()
	s.check()
}

// startClients starts clients of several kinds that play again and again until ctx ends.
func (r *soakRun) startClients(ctx context.Context, wg *sync.WaitGroup) {
	type kind struct {
		name      string
		port      func(*system) string
		send      func(*system) client
		takeFirst int64
	}
	callers := func(s *system) string { return s.callers }
	kinds := []kind{
		{"bodies", callers, func(s *system) client { return s.sendBody(host, key, ofLength(len(body)), body) }, 0},
		{"pieces", callers, func(s *system) client { return s.sendInPieces }, 0},
		{"slow", callers, func(s *system) client { return s.sendSlowly }, 0},
		{"chunks", callers, func(s *system) client { return s.sendBody(host, key, chunked, inSmallChunks()) }, 0},
		{"many steps", callers, func(s *system) client { return s.sendBody(host, key, ofLength(len(manySteps)), manySteps) }, 0},
		{"no key", callers, func(s *system) client { return s.sendBody(host, "no-key", chunked, inLargeChunks()) }, 0},
		{"long header", callers, func(s *system) client { return s.sendLargeHeader }, 0},
		{"short fields", callers, func(s *system) client { return s.sendShortHeaders }, 0},
		{"half open", callers, func(s *system) client { return s.sendPartialHeader }, 0},
		{"idle", callers, func(s *system) client { return s.sendAndStay("/" + queue + "/") }, 0},
		{"head over limit", callers, func(s *system) client { return s.sendHeadOverLimit }, 0},
		{"metrics not taken", func(s *system) string { return s.internal }, func(*system) client { return repeat(get("/metrics")) }, takenAnswers},
		{"answers not taken", callers, func(*system) client { return repeat(get("/unknown/")) }, takenAnswers},
		{"many requests", callers, func(s *system) client { return repeat(get("/" + queue + "/")) }, 0},
		{"readiness", func(s *system) string { return s.readiness }, func(s *system) client { return s.sendAndStay("/v1/ready") }, 0},
	}
	s := r.entries[0]
	for name, send := range s.endlessHeads() {
		kinds = append(kinds, kind{name, callers, func(*system) client { return send }, 0})
	}
	for name, send := range s.emptyLines() {
		kinds = append(kinds, kind{"empty lines " + name, callers, func(*system) client { return send }, 0})
	}
	var names []string
	for _, i := range r.random.Perm(len(kinds))[:soakKinds] {
		k := kinds[i]
		names = append(names, k.name)
		for n := range soakClients {
			s := r.entries[r.random.Intn(len(r.entries))]
			pauses := rand.New(rand.NewSource(r.random.Int63()))
			wg.Go(func() {
				for ctx.Err() == nil {
					playTaking(ctx, k.port(s), n%wholeOneIn == 0, k.send(s), func() {}, k.takeFirst)
					time.Sleep(time.Duration(pauses.Int63n(int64(clientPause))))
				}
			})
		}
	}
	r.t.Logf("clients: %s", strings.Join(names, ", "))
}

// disturb plays the events and waits until all have ended.
func (r *soakRun) disturb() {
	var events sync.WaitGroup
	defer events.Wait()
	for range soakEvents {
		at := time.Duration(r.random.Int63n(int64(*soakTime)))
		lasts := time.Duration(r.random.Int63n(int64(longestFault)))
		entry := r.random.Intn(len(r.entries))
		name, play := r.event(entry, lasts)
		r.t.Logf("%5.1f s: entry-%d, %s, %.1f s", at.Seconds(), entry, name, lasts.Seconds())
		events.Go(func() {
			time.Sleep(at)
			if err := play(); err != nil {
				r.t.Errorf("%s of entry-%d: %v", name, entry, err)
			}
		})
	}
}

// event draws an event.
func (r *soakRun) event(entry int, lasts time.Duration) (name string, play func() error) {
	end := func(signals ...os.Signal) func() error {
		return func() error {
			r.locks[entry].Lock()
			defer r.locks[entry].Unlock()
			return r.entries[entry].restart(signals...)
		}
	}
	events := []struct {
		name string
		play func() error
	}{
		{"planned stop", end(syscall.SIGTERM)},
		{"planned stop, signals in series", end(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP)},
		{"stop that is cut short", end(syscall.SIGTERM, syscall.SIGKILL)},
		{"kill", end(syscall.SIGKILL)},
		{"freeze", func() error {
			pid := int(r.entries[entry].entryPID.Load())
			if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
				return ignoreEnded(err)
			}
			time.Sleep(lasts)
			return ignoreEnded(syscall.Kill(pid, syscall.SIGCONT))
		}},
		{"reloads", func() error {
			for range 5 {
				if err := ignoreEnded(syscall.Kill(int(r.entries[entry].entryPID.Load()), syscall.SIGHUP)); err != nil {
					return err
				}
				time.Sleep(signalPause)
			}
			return nil
		}},
		{"outage of the table service", func() error { return r.fault(map[string]any{"down": true}, lasts) }},
		{"lost answers of the table service", func() error { return r.fault(map[string]any{"lose_answer": 0.5}, lasts) }},
		{"slow table service", func() error { return r.fault(map[string]any{"txn_time": 100 * time.Millisecond}, lasts) }},
		{"declarations", func() error {
			r.mu.Lock()
			r.version++
			row := declarations(r.version, fmt.Sprintf("key-%d", r.version))
			r.mu.Unlock()
			var err error
			for range answerTries { // the table service may be down
				if err = postJSON(r.admin, "/row", row); err == nil {
					break
				}
				time.Sleep(answerPause)
			}
			return err
		}},
	}
	e := events[r.random.Intn(len(events))]
	return e.name, e.play
}

// ignoreEnded drops the error of a signal to a process that has ended.
func ignoreEnded(err error) error {
	if errors.Is(err, syscall.ESRCH) {
		return nil
	}
	return err
}

// fault puts a fault of the table service in force for a while. The newest of several holds, and
// all end with the last.
func (r *soakRun) fault(f map[string]any, lasts time.Duration) error {
	r.mu.Lock()
	r.faults++
	err := postJSON(r.admin, "/faults", f)
	r.mu.Unlock()
	time.Sleep(lasts)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults--; r.faults == 0 {
		err = errors.Join(err, postJSON(r.admin, "/faults", map[string]any{}))
	}
	return err
}

// call hands in jobs, one after the other, until ctx ends. It uses its connections again.
func (r *soakRun) call(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Timeout: callTime}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		j := &handedIn{path: r.path()}
		r.handIn(client, random, j)
		r.mu.Lock()
		r.jobs = append(r.jobs, j)
		r.mu.Unlock()
		time.Sleep(time.Duration(random.Int63n(int64(callerPause))))
	}
}

// handIn hands a job in until its caller knows whether it is accepted: a refusal is final
// unless an earlier try may have stored the job.
func (r *soakRun) handIn(client *http.Client, random *rand.Rand, j *handedIn) {
	for range callerTries {
		s := r.entries[random.Intn(len(r.entries))]
		status, retryAfter, err := r.try(client, s, j.path)
		switch {
		case err != nil || status == http.StatusGatewayTimeout:
			j.unknown = true
		case status == http.StatusOK:
			j.accepted = true
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if retryAfter == "" {
				r.t.Errorf("%s: refused with %d, and not told when to come back", j.path, status)
			}
			if j.refused++; !j.unknown {
				return
			}
		default:
			r.t.Errorf("%s: status %d at %s", j.path, status, s.name)
			return
		}
		time.Sleep(time.Duration(random.Int63n(int64(callerPause))))
	}
	r.t.Errorf("%s: outcome not known after %d tries", j.path, callerTries)
}

// try sends a job once.
func (r *soakRun) try(client *http.Client, s *system, path string) (status int, retryAfter string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.callers+path, strings.NewReader(smallJob))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("X-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "", err
	}
	return resp.StatusCode, resp.Header.Get("Retry-After"), nil
}

// judge checks that each job is what its caller was told.
func (r *soakRun) judge() {
	client := &http.Client{Timeout: callTime}
	accepted, refused := 0, 0
	for i, j := range r.jobs {
		s := r.entries[i%len(r.entries)]
		switch {
		case j.accepted:
			accepted++
			r.await(j.path+", accepted", func() error {
				if state, err := s.state(client, j.path); err != nil || state != "succeeded" {
					return fmt.Errorf("state %q, %v", state, err)
				}
				return nil
			})
		case j.refused > 0 && !j.unknown:
			refused++
			var state string
			r.await(j.path+", refused", func() (err error) {
				state, err = s.state(client, j.path)
				return err
			})
			if state != "" {
				r.t.Errorf("%s was refused and is %s", j.path, state)
			}
		}
	}
	r.t.Logf("%d jobs: %d accepted, %d refused", len(r.jobs), accepted, refused)
	if accepted == 0 {
		r.t.Error("no job was accepted")
	}
}

// state asks for a job's state. It is empty if there is no such job.
func (s *system) state(client *http.Client, path string) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.callers+path, nil)
	if err != nil {
		return "", err
	}
	req.Host = host
	req.Header.Set("X-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusGone:
		return "", nil
	case http.StatusOK:
	default:
		return "", fmt.Errorf("status %d", resp.StatusCode)
	}
	var answer struct{ State string }
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.State, err
}
