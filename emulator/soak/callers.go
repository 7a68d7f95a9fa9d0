package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"amaranthfork.example/emulator/worker"
)

// Parameters of the callers.
const (
	callTimeout   = 3 * time.Second
	submitTries   = 6
	tryPause      = 250 * time.Millisecond
	statusPause   = 300 * time.Millisecond
	cancelledPart = 0.1  // of the jobs
	poisonedPart  = 0.03 // of the jobs, which fail whenever they run
	failingPart   = 0.05 // of the first runs of tasks
	taskMilliCPU  = 1000
	longTaskPart  = 0.1              // of the jobs, with restarts
	longTaskTime  = 12 * time.Second // longer than the longest lease
)

// jobStep is a step of a job.
type jobStep struct {
	count int
	time  time.Duration // run time of a task; 0 if it runs until its job is cancelled
}

// jobRecord is what one caller knows of its job. The caller alone writes it until the
// soak ends.
type jobRecord struct {
	id          string
	queue       string
	payload     string
	steps       []jobStep
	longRunning bool
	poisoned    bool

	refusals     int  // submissions that were answered as not run
	unknown      bool // a submission whose outcome is unknown, or that was accepted
	acceptedAt   time.Time
	succeededAt  time.Time
	failedAt     time.Time
	goneAt       time.Time // an entry did not know it, although it was accepted before
	cancelSentAt time.Time
	cancelledAt  time.Time
}

func (j *jobRecord) accepted() bool { return !j.acceptedAt.IsZero() }

func (j *jobRecord) refused() bool { return j.refusals > 0 && !j.unknown }

func (j *jobRecord) tasks() []string {
	var names []string
	for s, step := range j.steps {
		for i := range step.count {
			names = append(names, fmt.Sprintf("%s.0.%d.%d", j.id, s, i))
		}
	}
	return names
}

// payload tells the workers how the tasks of a job go.
type payload struct {
	StepMS   []int64 `json:"step_ms"` // run time of the tasks, by step
	Poisoned bool    `json:"poisoned,omitempty"`
}

// PlanRun is the plan of a run, from the job's description. The first runs of some tasks
// fail.
func PlanRun(description, task string, run int) worker.Plan {
	var p payload
	var job string
	var occurrence, step, index int
	plan := worker.Plan{MilliCPU: taskMilliCPU}
	if err := json.Unmarshal([]byte(description), &p); err != nil {
		return plan
	}
	if _, err := fmt.Sscanf(task, "%16s.%d.%d.%d", &job, &occurrence, &step, &index); err != nil || step >= len(p.StepMS) {
		return plan
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task)) // never fails
	plan.Duration = time.Duration(p.StepMS[step]) * time.Millisecond
	if plan.Duration >= longTaskTime {
		return plan
	}
	plan.Fails = p.Poisoned || run == 1 && float64(hash.Sum32()%1000) < 1000*failingPart
	return plan
}

// newJob draws a job.
func newJob(random *rand.Rand, queue string, longRunning bool) *jobRecord {
	j := &jobRecord{id: fmt.Sprintf("%016x", random.Uint64()), queue: queue, longRunning: longRunning}
	if longRunning {
		j.steps = []jobStep{{count: 3}}
	} else {
		for range 1 + random.Intn(2) {
			j.steps = append(j.steps, jobStep{1 + random.Intn(4), time.Duration(100+random.Intn(900)) * time.Millisecond})
		}
		j.poisoned = random.Float64() < poisonedPart
	}
	p := payload{Poisoned: j.poisoned}
	for _, s := range j.steps {
		p.StepMS = append(p.StepMS, s.time.Milliseconds())
	}
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // the type has no values that cannot be encoded
	}
	j.payload = string(b)
	return j
}

// makeLong gives a job that was drawn one step of long tasks, none of which fails: a
// failure would show after longTaskTime only.
func (j *jobRecord) makeLong(count int) {
	j.poisoned = false
	j.steps = []jobStep{{count, longTaskTime}}
	j.payload = fmt.Sprintf(`{"step_ms":[%d]}`, longTaskTime.Milliseconds())
}

// longJobTasks are the tasks of a job that is handed in about the time of a restart: some for
// each worker of the pool.
const longJobTasks = 6

// newLongJob draws a job of long tasks.
func newLongJob(random *rand.Rand, queue string) *jobRecord {
	j := newJob(random, queue, false)
	j.makeLong(longJobTasks)
	return j
}

// body returns the body of the job's submission.
func (j *jobRecord) body() []byte {
	type step struct {
		Count          int   `json:"count"`
		MilliCPU       int64 `json:"cpu"`
		MemoryMB       int64 `json:"mem_mb"`
		EstimateMS     int64 `json:"estimate_ms,omitempty"`
		After          []int `json:"after,omitempty"`
		LongRunning    bool  `json:"long_running,omitempty"`
		MaxPerVM       int   `json:"max_per_server,omitempty"`
		MaxUnavailable int   `json:"may_miss,omitempty"`
	}
	var steps []step
	for i, s := range j.steps {
		w := step{Count: s.count, MilliCPU: taskMilliCPU, MemoryMB: 100, EstimateMS: s.time.Milliseconds()}
		if j.longRunning {
			w.LongRunning, w.MaxPerVM, w.MaxUnavailable = true, 1, 1
		}
		if i > 0 {
			w.After = []int{i - 1}
		}
		steps = append(steps, w)
	}
	b, err := json.Marshal(map[string]any{"task_spec": j.payload, "steps": steps})
	if err != nil {
		panic(err) // the type has no values that cannot be encoded
	}
	return b
}

// brokenCall is a request whose connection ended without an answer.
type brokenCall struct {
	entry  int
	sentAt time.Time
	endAt  time.Time
	method string
	job    string
}

// callers send requests to entries, over connections that they keep open.
type callers struct {
	clients []*http.Client // by entry
	bases   []string       // by entry: URL without a path
	host    string
	key     func() string

	mu     sync.Mutex
	broken []brokenCall
}

func newCallers(addresses []string, host string, key func() string) *callers {
	c := &callers{host: host, key: key}
	for _, address := range addresses {
		c.bases = append(c.bases, "http://"+address)
		c.clients = append(c.clients, &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
	}
	return c
}

// call sends a request to an entry and returns the status of the answer, 0 if there is
// none, and its body.
func (c *callers) call(ctx context.Context, entry int, method, path, key string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, c.bases[entry]+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // method and URL are constant
	}
	req.GetBody = nil // a request on a broken connection is not repeated unseen
	req.Host = c.host
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	sentAt := time.Now()
	resp, err := c.clients[entry].Do(req)
	if err == nil {
		defer resp.Body.Close()
		b, readErr := io.ReadAll(resp.Body)
		if readErr == nil {
			return resp.StatusCode, b
		}
		err = readErr
	}
	var dial *net.OpError
	refusedConnection := errors.As(err, &dial) && dial.Op == "dial"
	if !refusedConnection && ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) {
		c.mu.Lock()
		c.broken = append(c.broken, brokenCall{entry, sentAt, time.Now(), method, path})
		c.mu.Unlock()
	}
	return 0, nil
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func (c *callers) path(j *jobRecord) string { return "/" + j.queue + "/" + j.id }

// submit hands a job in, at other entries again where the outcome is unknown or the job
// was refused.
func (c *callers) submit(ctx context.Context, random *rand.Rand, j *jobRecord) {
	for range submitTries {
		status, _ := c.call(ctx, random.Intn(len(c.bases)), http.MethodPost, c.path(j), c.key(), j.body())
		switch {
		case status/100 == 2:
			j.unknown = true
			j.acceptedAt = time.Now()
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized || status == http.StatusNotFound:
			j.refusals++
		default:
			j.unknown = true
		}
		pause(ctx, tryPause)
		if ctx.Err() != nil {
			return
		}
	}
}

// watch asks for the state of an accepted job until it is final or ctx ends, and cancels
// the job after cancelAfter unless that is 0.
func (c *callers) watch(ctx context.Context, random *rand.Rand, j *jobRecord, cancelAfter time.Duration) {
	for ctx.Err() == nil {
		if cancelAfter > 0 && time.Since(j.acceptedAt) > cancelAfter {
			c.cancel(ctx, random, j)
			return
		}
		sentAt := time.Now()
		status, body := c.call(ctx, random.Intn(len(c.bases)), http.MethodGet, c.path(j), c.key(), nil)
		var state struct {
			State string `json:"state"`
		}
		if status == http.StatusOK {
			if err := json.Unmarshal(body, &state); err != nil {
				state.State = "unreadable"
			}
		}
		switch {
		case status == http.StatusGone && sentAt.Sub(j.acceptedAt) > visibleTime:
			j.goneAt = time.Now()
			return
		case state.State == "succeeded":
			j.succeededAt = time.Now()
			return
		case state.State == "failed" || state.State == "unreadable":
			j.failedAt = time.Now()
			return
		}
		pause(ctx, statusPause)
	}
}

// cancel cancels a job until that is acknowledged or ctx ends.
func (c *callers) cancel(ctx context.Context, random *rand.Rand, j *jobRecord) {
	j.cancelSentAt = time.Now()
	for ctx.Err() == nil {
		status, _ := c.call(ctx, random.Intn(len(c.bases)), http.MethodDelete, c.path(j), c.key(), nil)
		if status/100 == 2 || status == http.StatusGone {
			j.cancelledAt = time.Now()
			return
		}
		pause(ctx, tryPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
