// Package jobs owns the lifecycle of jobs: submission, deduplication, order,
// claims, starts, results, retries and takeover. Each job belongs to a shard,
// and the owner of the shard acts on it; other entries forward to the owner.
//
// A claim is durable before its start is sent, and the claim of an owner that
// has failed is resolved through the VM's present owner, whose higher epoch
// keeps a delayed start from taking effect. Therefore a non-idempotent step
// starts at most once, and a job that is reported as not run never started.
package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/journal"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/shards"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/admission"
	"amaranthfork.example/policy/retry"
)

// Journal is what the lifecycle needs of a journal with checkpoints.
type Journal interface {
	AppendIn(ctx context.Context, session string, records ...control.Record) error
	Position() uint64
	Checkpoint(ctx context.Context, session string, shard int, position uint64, state []byte) error
	Trim(ctx context.Context, session string, position uint64) (int, error)
	Recover(ctx context.Context, session string, shards []int) (journal.Recovery, error)
	Stats() journal.Stats
}

// ShardMap tells who owns which shard.
type ShardMap interface {
	Count() int
	Owned() int
	Owner(shard int) string
	Acting(shard int) error
}

// Options of a Manager. Zero numbers and nil functions take defaults.
type Options struct {
	Clock      fleet.Clock
	Membership control.Membership
	View       control.View
	Limits     control.Limits
	Dispatcher control.Dispatcher
	Journal    Journal
	Shards     ShardMap
	Caller     rpc.Caller
	Admission  admission.Settings
	Retry      retry.Settings

	// Estimate returns the need and run time of each step of a job; the
	// declaration by default.
	Estimate func(job *fleet.Job) (fleet.Resources, time.Duration)
	// OnStart and OnEnd tell of starts, with the delay since the step was
	// queued, and of final results. They must not block or call the manager.
	OnStart func(job *fleet.Job, delay time.Duration)
	OnEnd   func(job *fleet.Job, result fleet.Result)
	// OnTask tells of each completed task and how long it ran. It must not block
	// or call the manager.
	OnTask func(job *fleet.Job, end control.TaskEnd, ran time.Duration)
	// Sleep pauses between tries of a forwarded call.
	Sleep func(ctx context.Context, d time.Duration) error
	// AttemptID returns unique ids.
	AttemptID func(job fleet.JobID) fleet.AttemptID

	DispatchBatch        int           // jobs started by one Dispatch
	MaxParallelCalls     int           // calls to VM owners at a time
	MaxQueued            int           // for queues that set no bound
	Retention            time.Duration // of results, for deduplication
	MaxRetained          int           // results kept, the newest
	MaxRetainedBodyBytes int           // bytes of the bodies of kept results
	LookupInterval       time.Duration // between lookups of a running task
	LostAfter            time.Duration // without any word of an attempt until it counts as lost; longer than a task's lease
	MaxCallTries         int           // tries of a forwarded call
	MaxForwardedWait     time.Duration // bound of one forwarded wait
	CallTimeout          time.Duration // of one call to a VM owner
	CheckpointBytes      int           // of journal pages between checkpoints
	CheckpointInterval   time.Duration // between checkpoints at a low load
}

func (o Options) withDefaults() Options {
	if o.Estimate == nil {
		o.Estimate = func(job *fleet.Job) (fleet.Resources, time.Duration) { return job.Declared, job.RunTime }
	}
	if o.OnStart == nil {
		o.OnStart = func(*fleet.Job, time.Duration) {}
	}
	if o.OnTask == nil {
		o.OnTask = func(*fleet.Job, control.TaskEnd, time.Duration) {}
	}
	if o.OnEnd == nil {
		o.OnEnd = func(*fleet.Job, fleet.Result) {}
	}
	if o.Sleep == nil {
		o.Sleep = fleet.Sleep
	}
	if o.AttemptID == nil {
		o.AttemptID = func(job fleet.JobID) fleet.AttemptID {
			return fleet.AttemptID(string(job) + "." + uuid.NewString())
		}
	}
	defaultInt(&o.DispatchBatch, 256)
	defaultInt(&o.MaxParallelCalls, 32)
	defaultInt(&o.MaxQueued, 10_000)
	defaultInt(&o.MaxRetained, 10_000) // about 10 MB
	defaultInt(&o.MaxRetainedBodyBytes, 8<<20)
	defaultInt(&o.MaxCallTries, 5)
	defaultInt(&o.CheckpointBytes, 4<<20)
	defaultDuration(&o.Retention, time.Hour)
	defaultDuration(&o.LookupInterval, 15*time.Second)
	defaultDuration(&o.LostAfter, 2*time.Minute)
	defaultDuration(&o.MaxForwardedWait, 10*time.Second)
	defaultDuration(&o.CallTimeout, time.Second)
	defaultDuration(&o.CheckpointInterval, time.Minute)
	return o
}

func defaultInt(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func defaultDuration(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

// Stats counts events and present numbers of one owner.
type Stats struct {
	Submitted    uint64 // accepted
	Duplicates   uint64 // submits of a known job
	Refused      uint64 // submits refused
	Claims       uint64 // made durable or run unrecorded
	FailedClaims uint64 // not made durable; the jobs wait on
	Starts       uint64 // sent
	NotStarted   uint64 // proofs that an attempt did not start
	LateEnds     uint64 // task ends of attempts that are not current, dropped
	Retries      uint64
	Lookups      uint64
	Ended        uint64
	TakenOver    uint64 // jobs rebuilt from other sessions
	Incomplete   uint64 // rebuilt records without their job, dropped
	UnitsAbroad  uint64 // units taken back for tasks that ended at another owner
	Queued       int
	Open         int
	Retained     int
}

// Manager is the owner of the jobs of the own shards and the way to the others.
// It is safe for concurrent use.
type Manager struct {
	options Options
	ready   chan struct{}

	// submitMu is held for reading from the submission of a job to the decision
	// about it, and for writing while a checkpoint is encoded, so that no
	// checkpoint contains or misses a job that is not decided.
	submitMu   sync.RWMutex
	dispatchMu sync.Mutex // one Dispatch at a time
	// startMu is held for reading from the pick of jobs to the answers to their
	// starts, and for writing while a shard is handed over.
	startMu     sync.RWMutex
	launchSlots chan struct{}

	mu                sync.Mutex
	shards            map[int]*shard
	poolQueues        map[fleet.PoolName]*admission.Queue
	queued            map[queueKey]int
	running           map[fleet.TeamName]int
	open              map[fleet.JobID]*jobEntry
	dirty             map[fleet.JobID]*jobEntry
	delayed           delayHeap
	ended             []*jobEntry // in the order of their ends
	retainedBodyBytes int         // bytes of the bodies in ended
	retry             *retry.Policy
	startRates        map[fleet.PoolName]*startRate
	revision          fleet.Revision // whose queues the lanes follow
	handedOverUnits   map[fleet.AttemptID]handedOverUnit
	reportedTeams     map[fleet.TeamName]bool
	accepted          map[LoadKey]uint64 // jobs accepted
	lastCheckpoints   checkpointRound
	stats             Stats
}

// shard is the state of one shard that the own session acts on.
type shard struct {
	session      string // own session that has loaded it
	jobs         map[fleet.JobID]*jobEntry
	changed      bool // has records that its last checkpoint does not contain
	checkpointed bool // a checkpoint under the own session contains what was taken over
}

var (
	_ control.Jobs   = (*Manager)(nil)
	_ shards.Handoff = (*Manager)(nil)
)

// New returns a manager that acts on no shard yet.
func New(options Options) *Manager {
	options = options.withDefaults()
	return &Manager{
		options:         options,
		ready:           make(chan struct{}, 1),
		launchSlots:     make(chan struct{}, maxConcurrentLaunches),
		shards:          map[int]*shard{},
		poolQueues:      map[fleet.PoolName]*admission.Queue{},
		queued:          map[queueKey]int{},
		running:         map[fleet.TeamName]int{},
		open:            map[fleet.JobID]*jobEntry{},
		dirty:           map[fleet.JobID]*jobEntry{},
		retry:           retry.New(options.Retry),
		startRates:      map[fleet.PoolName]*startRate{},
		handedOverUnits: map[fleet.AttemptID]handedOverUnit{},
		reportedTeams:   map[fleet.TeamName]bool{},
		accepted:        map[LoadKey]uint64{},
	}
}

// Ready receives a value when a job may be able to start; the caller then calls
// Dispatch without waiting for the next Tick.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

// Stats returns the counters and present numbers.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	for _, n := range m.queued {
		s.Queued += n
	}
	s.Open = len(m.open)
	s.Retained = len(m.ended)
	return s
}

// Tick starts what can start. The caller runs it every 10 to 50 ms and whenever
// Ready has a value.
func (m *Manager) Tick(ctx context.Context) error { return m.Dispatch(ctx) }

// Maintain journals what has changed since, looks up open claims, reports the
// demand for units, drops old results and makes checkpoints. The caller runs it
// about every 250 ms, apart from Tick because it waits for the store and for
// other entries.
func (m *Manager) Maintain(ctx context.Context) error {
	err := m.Flush(ctx)
	m.reportDemand()
	m.expireResults()
	m.Resolve(ctx)
	m.reclaimUnits(ctx)
	return errors.Join(err, m.checkpointIfDue(ctx))
}

func (m *Manager) signalReady() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

func (m *Manager) self() string { return m.options.Membership.Self().ID }

func (m *Manager) shardOf(id fleet.JobID) int { return shards.Of(id, m.options.Shards.Count()) }

// actingShard returns the state of a shard that the own entry may act on now. The
// caller holds mu.
func (m *Manager) actingShard(number int) (*shard, error) {
	if err := m.options.Shards.Acting(number); err != nil {
		return nil, err
	}
	s := m.shards[number]
	if s == nil || s.session != m.self() {
		return nil, fmt.Errorf("shard %d is being taken over: %w", number, shards.ErrNotOwner)
	}
	return s, nil
}

// readableShard returns the state of a shard to answer questions from. It needs no
// valid session: what it shows as ended is durable, and what is older than a
// successor's state only shows a job as not ended yet. The caller holds mu.
func (m *Manager) readableShard(number int) (*shard, error) {
	s := m.shards[number]
	if s == nil || s.session != m.self() || m.options.Shards.Owner(number) != s.session {
		return nil, fmt.Errorf("shard %d: %w", number, shards.ErrNotOwner)
	}
	return s, nil
}

// teamShare returns a team's teamShare in thousandths.
func teamShare(snapshot *config.Snapshot) func(fleet.TeamName) int {
	return func(team fleet.TeamName) int { return snapshot.Teams[team].Share }
}

// authorize checks that a job's queue exists and that its team and key may
// still use it.
func authorize(snapshot *config.Snapshot, job *fleet.Job) *fleet.Refusal {
	queue, ok := snapshot.Queues[job.Queue]
	if !ok {
		return &fleet.Refusal{Reason: fleet.ReasonNoQueue, Detail: fmt.Sprintf("queue %q does not exist", job.Queue)}
	}
	if queue.Open {
		return nil
	}
	for _, team := range queue.Teams {
		if team == job.Team {
			return authorizeKey(snapshot, job)
		}
	}
	return &fleet.Refusal{Reason: fleet.ReasonUnauthorized, Detail: fmt.Sprintf("team %q may not use queue %q", job.Team, job.Queue)}
}

func authorizeKey(snapshot *config.Snapshot, job *fleet.Job) *fleet.Refusal {
	if job.Key == "" {
		return nil
	}
	key, ok := snapshot.Keys[job.Key]
	if !ok || key.Withdrawn || key.Team != job.Team {
		return &fleet.Refusal{Reason: fleet.ReasonUnauthorized, Detail: fmt.Sprintf("key %q is not valid for team %q", job.Key, job.Team)}
	}
	return nil
}

// markDirty notes a change of a job that has to be journaled. The caller holds mu.
func (m *Manager) markDirty(e *jobEntry) {
	e.sequence++
	m.dirty[e.job.ID] = e
}
