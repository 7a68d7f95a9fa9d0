// Package jobs manages the lifecycle of jobs: submission, deduplication,
// queueing, claims, starts, results, retries and takeover. Each job belongs to
// a shard. The entry that owns the shard acts on the job; other entries forward
// calls to it.
//
// A claim is durable before its start is sent. The claim of an owner that has
// failed is resolved through the current owner of the VM, whose higher epoch
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

// Journal stores job records and checkpoints; *journal.Journal implements it.
type Journal interface {
	AppendIn(ctx context.Context, session string, records ...control.Record) error
	Position() uint64
	Checkpoint(ctx context.Context, session string, shard int, position uint64, state []byte) error
	Trim(ctx context.Context, session string, position uint64) (int, error)
	Recover(ctx context.Context, session string, shards []int) (journal.Recovery, error)
	Stats() journal.Stats
}

// ShardMap knows which entry owns which shard; *shards.Manager implements it.
type ShardMap interface {
	Count() int
	Owned() int
	Owner(shard int) string
	Acting(shard int) error
}

// Options configures a Manager. Zero numbers and nil functions take defaults.
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

	// Estimate returns the need and the run time of each step of a job. The
	// default returns what the job declares.
	Estimate func(job *fleet.Job) (fleet.Resources, time.Duration)
	// OnStart is called for each start, with the delay since the step was
	// queued, and OnEnd for each final result. Both are called with the
	// manager's lock held: they must not block or call the manager.
	OnStart func(job *fleet.Job, delay time.Duration)
	OnEnd   func(job *fleet.Job, result fleet.Result)
	// OnTaskCompleted is called for each completed task, with its run time. It
	// must not block or call the manager.
	OnTaskCompleted func(job *fleet.Job, end control.TaskEnd, ran time.Duration)
	// Sleep pauses between the tries of a forwarded call.
	Sleep func(ctx context.Context, d time.Duration) error
	// AttemptID returns a new unique id.
	AttemptID func(job fleet.JobID) fleet.AttemptID

	DispatchBatch        int           // maximum number of jobs that one Dispatch starts
	MaxParallelCalls     int           // concurrent calls to VM owners or checkpoint writes; with 1, Dispatch starts no goroutine
	MaxQueued            int           // waiting jobs, for queues that set no limit
	Retention            time.Duration // how long results are kept for deduplication
	MaxRetained          int           // results kept; the oldest are dropped first
	MaxRetainedBodyBytes int           // total size of the bodies of kept results
	LookupInterval       time.Duration // between lookups of a running task
	LostAfter            time.Duration // an attempt unknown to all VM owners for so long counts as lost; longer than a task's lease
	MaxCallTries         int           // tries of a forwarded call
	MaxForwardedWait     time.Duration // longest duration of one forwarded wait call
	CallTimeout          time.Duration // of one call to a VM owner
	CheckpointBytes      int           // bytes of journal pages after which checkpoints are due
	CheckpointInterval   time.Duration // between checkpoints when fewer bytes are written
}

func (o Options) withDefaults() Options {
	if o.Estimate == nil {
		o.Estimate = func(job *fleet.Job) (fleet.Resources, time.Duration) { return job.Declared, job.RunTime }
	}
	if o.OnStart == nil {
		o.OnStart = func(*fleet.Job, time.Duration) {}
	}
	if o.OnTaskCompleted == nil {
		o.OnTaskCompleted = func(*fleet.Job, control.TaskEnd, time.Duration) {}
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

// Stats holds counters and current numbers of one entry.
type Stats struct {
	Submitted    uint64 // accepted
	Duplicates   uint64 // submissions of a known job
	Refused      uint64 // submissions refused
	Claims       uint64 // made durable, or allowed without a record during an outage
	FailedClaims uint64 // not made durable; the jobs keep waiting
	Starts       uint64 // sent
	NotStarted   uint64 // attempts proved not to have started
	LateEnds     uint64 // dropped reports about attempts that are not current
	Retries      uint64
	Lookups      uint64
	Ended        uint64
	TakenOver    uint64 // jobs rebuilt from the journals of other sessions
	Incomplete   uint64 // dropped rebuilt records whose job was not found
	UnitsAbroad  uint64 // units reclaimed for tasks that ended after their shard was handed over
	Queued       int
	Open         int
	Retained     int
}

// Manager owns the jobs of the shards of this entry and forwards calls for all
// other jobs to their owners. It is safe for concurrent use.
type Manager struct {
	options    Options
	ready      chan struct{}
	waitsEnded chan struct{} // closed by EndWaits
	endWaits   sync.Once

	// submitMu is held for reading from the insertion of a new job until its
	// submission is accepted or rejected, and for writing while a checkpoint is
	// encoded. A checkpoint therefore covers each submission entirely or not at
	// all.
	submitMu   sync.RWMutex
	dispatchMu sync.Mutex // one Dispatch at a time
	// startMu is held for reading from the selection of jobs until their starts
	// are answered, and for writing while a shard is handed over.
	startMu     sync.RWMutex
	launchSlots chan struct{} // one element for each launch in progress

	mu                sync.Mutex
	shards            map[int]*shard
	poolQueues        map[fleet.PoolName]*admission.Queue // jobs in phaseQueued
	queued            map[queueKey]int                    // number of jobs that wait or are being submitted
	running           map[fleet.TeamName]int              // number of jobs with a claim
	open              map[fleet.JobID]*jobEntry           // jobs in phaseOpen
	dirty             map[fleet.JobID]*jobEntry           // jobs with changes that are not durable
	delayed           delayHeap
	ended             []*jobEntry // results kept for deduplication, oldest first
	retainedBodyBytes int         // size of the result bodies in ended
	retry             *retry.Policy
	startRates        map[fleet.PoolName]*startRate
	revision          fleet.Revision // configuration that the pool queues reflect
	handedOverUnits   map[fleet.AttemptID]handedOverUnit
	reportedTeams     map[fleet.TeamName]bool // teams whose last reported demand was not zero
	accepted          map[LoadKey]uint64      // number of accepted jobs
	lastCheckpoints   checkpointRound
	stats             Stats
}

// shard is a shard that this entry has loaded.
type shard struct {
	session      string // session of this entry that loaded the shard
	jobs         map[fleet.JobID]*jobEntry
	changed      bool // has changes that its last checkpoint does not contain
	checkpointed bool // a checkpoint of this session contains what was taken over
}

var (
	_ control.Jobs    = (*Manager)(nil)
	_ shards.Handover = (*Manager)(nil)
)

// New returns a Manager that has loaded no shard yet.
func New(options Options) *Manager {
	options = options.withDefaults()
	return &Manager{
		options:         options,
		ready:           make(chan struct{}, 1),
		waitsEnded:      make(chan struct{}),
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

// Ready receives a value when a job may be able to start. The caller then calls
// Tick without waiting for the next period.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

// Stats returns the counters and the current numbers.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.stats
	for _, n := range m.queued {
		stats.Queued += n
	}
	stats.Open = len(m.open)
	stats.Retained = len(m.ended)
	return stats
}

// Tick starts the jobs that can start; see Dispatch. The caller runs it every
// 10 to 50 ms and whenever Ready has a value.
func (m *Manager) Tick(ctx context.Context) error { return m.Dispatch(ctx) }

// Maintain journals pending changes, reports the demand for units of limits,
// drops old results, looks up open claims, reclaims units and makes checkpoints
// when they are due. The caller runs it about every 250 ms, separately from
// Tick because it waits for the store and for other entries. It returns the
// errors of the store.
func (m *Manager) Maintain(ctx context.Context) error {
	err := m.Flush(ctx)
	m.reportDemand()
	m.expireResults()
	m.Resolve(ctx)
	m.reclaimUnits(ctx)
	return errors.Join(err, m.checkpointIfDue(ctx))
}

// signalReady makes Ready receive a value.
func (m *Manager) signalReady() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// self returns the id of the current session of this entry.
func (m *Manager) self() string { return m.options.Membership.Self().ID }

func (m *Manager) shardOf(id fleet.JobID) int { return shards.Of(id, m.options.Shards.Count()) }

// actingShard returns a shard that this entry may act on now, or an error that
// says why it may not. The caller holds mu.
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

// readableShard returns a shard that status queries may be answered from. It
// needs no valid session lease: results that it shows are durable, and state
// that is older than a successor's only shows a job as not ended yet. The
// caller holds mu.
func (m *Manager) readableShard(number int) (*shard, error) {
	s := m.shards[number]
	if s == nil || s.session != m.self() || m.options.Shards.Owner(number) != s.session {
		return nil, fmt.Errorf("shard %d: %w", number, shards.ErrNotOwner)
	}
	return s, nil
}

// teamShare returns a function that returns a team's share in thousandths.
func teamShare(snapshot *config.Snapshot) func(fleet.TeamName) int {
	return func(team fleet.TeamName) int { return snapshot.Teams[team].ShareThousandths }
}

// authorize checks that a job's queue exists, that its team may use the queue,
// and that its API key is still valid. It returns nil if so.
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

// authorizeKey checks the API key that a job was submitted with, if any.
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

// markDirty marks a job as changed since its last journal record. The caller
// holds mu.
func (m *Manager) markDirty(e *jobEntry) {
	e.sequence++
	m.dirty[e.job.ID] = e
}
