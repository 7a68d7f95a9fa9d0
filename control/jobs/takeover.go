package jobs

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/control/shards"
	"amaranthfork.example/fleet"
)

// checkpointRound describes the last round of checkpoints.
type checkpointRound struct {
	at           time.Time
	journalBytes uint64 // size of all pages journaled by then
}

// Takeover rebuilds shards from the journals and checkpoints of their source
// sessions and starts to act on them at once. It returns the shards of which a
// checkpoint of this session contains everything that was taken over, so that
// the sources are not needed any more.
func (m *Manager) Takeover(ctx context.Context, takeovers []shards.Takeover) ([]int, error) {
	missing := m.notLoaded(takeovers)
	if err := m.loadShards(ctx, missing); err != nil {
		return nil, err
	}
	var pending []int
	for _, takeover := range takeovers {
		if len(takeover.Sources) > 0 {
			pending = append(pending, takeover.Shard)
		}
	}
	return m.forShards(pending, func(number int) error { return m.ensureCheckpoint(ctx, number) })
}

// forShards calls fn for several shards at a time. It returns the shards for
// which fn succeeded, in order, and the joined errors of the others.
func (m *Manager) forShards(numbers []int, fn func(number int) error) ([]int, error) {
	var mu sync.Mutex
	var succeeded []int
	var failed error
	forEach(m.options.MaxParallelCalls, numbers, func(number int) {
		err := fn(number)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed = errors.Join(failed, err)
			return
		}
		succeeded = append(succeeded, number)
	})
	slices.Sort(succeeded)
	return succeeded, failed
}

// notLoaded returns the takeovers of shards that this session has not loaded
// yet.
func (m *Manager) notLoaded(takeovers []shards.Takeover) []shards.Takeover {
	m.mu.Lock()
	defer m.mu.Unlock()
	var missing []shards.Takeover
	for _, takeover := range takeovers {
		if s := m.shards[takeover.Shard]; s == nil || s.session != m.self() {
			missing = append(missing, takeover)
		}
	}
	return missing
}

// loadShards rebuilds shards, reading each source once for all of its shards.
// The current session is always a source too, because this entry may have
// released the shard before.
func (m *Manager) loadShards(ctx context.Context, takeovers []shards.Takeover) error {
	if len(takeovers) == 0 {
		return nil
	}
	bySource := map[string][]int{}
	for _, takeover := range takeovers {
		for _, source := range append(slices.Clone(takeover.Sources), m.self()) {
			if !slices.Contains(bySource[source], takeover.Shard) {
				bySource[source] = append(bySource[source], takeover.Shard)
			}
		}
	}
	rebuilt := newMerger()
	for _, source := range slices.Sorted(maps.Keys(bySource)) {
		if err := m.readSource(ctx, rebuilt, source, bySource[source]); err != nil {
			return err
		}
	}
	m.activate(takeovers, rebuilt)
	return nil
}

// readSource adds the records that a source session has of the given shards.
func (m *Manager) readSource(ctx context.Context, rebuilt *merger, source string, numbers []int) error {
	recovery, err := m.options.Journal.Recover(ctx, source, numbers)
	if err != nil {
		return err
	}
	for number, state := range recovery.States {
		if err := rebuilt.addState(number, state); err != nil {
			return err
		}
	}
	for _, r := range recovery.Records {
		if err := rebuilt.addBody(r.Shard, r.Body); err != nil {
			return err
		}
	}
	return nil
}

// activate enters rebuilt jobs: results are kept for deduplication, open claims
// are looked up, and all other jobs are queued.
func (m *Manager) activate(takeovers []shards.Takeover, rebuilt *merger) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, takeover := range takeovers {
		m.dropShard(takeover.Shard)
		m.shards[takeover.Shard] = &shard{session: m.self(), jobs: map[fleet.JobID]*jobEntry{}, changed: true}
	}
	jobs := make([]*mergedJob, 0, len(rebuilt.jobs))
	for _, job := range rebuilt.jobs {
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, k int) bool {
		if jobs[i].Progress.Ended != jobs[k].Progress.Ended {
			return jobs[i].Progress.Ended < jobs[k].Progress.Ended
		}
		return jobs[i].ID < jobs[k].ID
	})
	fenced := m.fencedShards(takeovers)
	for _, job := range jobs {
		m.addRebuiltJob(job, fenced[job.shard])
	}
	slices.SortStableFunc(m.ended, func(a, b *jobEntry) int { return int(a.Ended - b.Ended) })
	m.signalReady()
}

// fencedShards returns the shards with at least one source session that no
// longer exists and so has not handed over its complete state.
func (m *Manager) fencedShards(takeovers []shards.Takeover) map[int]bool {
	live := map[string]bool{}
	for _, member := range m.options.Membership.Members().List {
		live[member.ID] = true
	}
	fenced := map[int]bool{}
	for _, takeover := range takeovers {
		for _, source := range takeover.Sources {
			fenced[takeover.Shard] = fenced[takeover.Shard] || !live[source]
		}
	}
	return fenced
}

// addRebuiltJob adds a rebuilt job to its shard. fenced says that a former
// owner of the shard may have failed without recording its last actions. The
// caller holds mu.
func (m *Manager) addRebuiltJob(job *mergedJob, fenced bool) {
	if job.Job == nil {
		m.stats.Incomplete++
		return
	}
	now := m.options.Clock.Now()
	e := &jobEntry{
		job: *job.Job, shard: job.shard, progress: job.Progress,
		sequence: job.Sequence, durableSequence: job.Sequence, jobDurable: true, queuedAt: now,
	}
	if snapshot := m.options.View.Snapshot(); snapshot != nil {
		e.pool = snapshot.Queues[e.job.Queue].Pool
	}
	m.shards[job.shard].jobs[e.job.ID] = e
	m.stats.TakenOver++
	if fenced && e.job.Idempotent && e.Result == nil {
		e.MayHaveStarted = true
	}
	switch {
	case e.Result != nil:
		e.phase = phaseEnded
		m.retain(e)
	case e.Claim != nil:
		m.running[e.job.Team]++
		m.setOpen(e)
		e.lookupAt = now
		m.adoptUnit(e, m.options.Membership.Members())
	case e.Canceled:
		m.endCanceled(e)
	default:
		m.enqueue(e)
		m.refuseTakenOver(e)
	}
}

// refuseTakenOver ends a waiting job whose queue or key was removed while the
// job had no owner. The caller holds mu.
func (m *Manager) refuseTakenOver(e *jobEntry) {
	if snapshot := m.options.View.Snapshot(); snapshot != nil {
		m.refuseUnauthorized(snapshot, e)
	}
}

// ensureCheckpoint makes a checkpoint of a shard unless one of this session
// already contains what was taken over.
func (m *Manager) ensureCheckpoint(ctx context.Context, number int) error {
	m.mu.Lock()
	s := m.shards[number]
	done := s != nil && s.checkpointed
	m.mu.Unlock()
	if done {
		return nil
	}
	return m.checkpointShard(ctx, number)
}

// Release stores the state of a shard in a checkpoint and unloads the shard.
// This session keeps the units of the shard's running tasks until reclaimUnits
// finds that the tasks have ended.
func (m *Manager) Release(ctx context.Context, number int) error {
	m.startMu.Lock()
	defer m.startMu.Unlock()
	m.mu.Lock()
	s := m.shards[number]
	loaded := s != nil && s.session == m.self()
	m.mu.Unlock()
	if !loaded {
		return nil // never loaded here: the sources still hold its complete state
	}
	m.submitMu.Lock()
	defer m.submitMu.Unlock()
	if err := m.checkpointShardLocked(ctx, number); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.shards[number].jobs {
		if e.Claim != nil && e.Claim.Holder == m.self() {
			m.handedOverUnits[e.Claim.Attempt] = handedOverUnit{job: e.job.ID, team: e.job.Team}
		}
	}
	m.dropShard(number)
	return nil
}

// Drop unloads the shards for which owned returns false, because this entry no
// longer owns them, and all shards that an earlier session has loaded.
func (m *Manager) Drop(owned func(shard int) bool) {
	self := m.self()
	m.mu.Lock()
	numbers := make([]int, 0, len(m.shards))
	for number, s := range m.shards {
		numbers = append(numbers, number)
		if s.session != self {
			m.handedOverUnits = map[fleet.AttemptID]handedOverUnit{}
		}
	}
	m.mu.Unlock()
	for _, number := range numbers {
		stillOwned := owned(number)
		m.mu.Lock()
		if s := m.shards[number]; s != nil && (!stillOwned || s.session != self) {
			m.dropShard(number)
		}
		m.mu.Unlock()
	}
}

// dropShard unloads a shard and wakes the callers that wait for its jobs, who
// then ask the new owner. The caller holds mu.
func (m *Manager) dropShard(number int) {
	s := m.shards[number]
	if s == nil {
		return
	}
	for _, e := range s.jobs {
		m.dropJob(e)
	}
	m.ended = slices.DeleteFunc(m.ended, func(e *jobEntry) bool {
		if e.shard == number {
			m.retainedBodyBytes -= len(e.Result.Body)
		}
		return e.shard == number
	})
	delete(m.shards, number)
}

// dropJob removes a job from the pool queues, the counts and the open claims,
// and wakes the callers that wait for it. The caller holds mu.
func (m *Manager) dropJob(e *jobEntry) {
	m.dequeue(e)
	if m.dirty[e.job.ID] == e {
		delete(m.dirty, e.job.ID)
	}
	if e.Claim != nil {
		m.running[e.job.Team]--
		if m.running[e.job.Team] <= 0 {
			delete(m.running, e.job.Team)
		}
		delete(m.open, e.job.ID)
	}
	if e.endedOrMoved != nil {
		close(e.endedOrMoved)
		e.endedOrMoved = nil
	}
}

// checkpointIfDue makes a round of checkpoints when the journal has grown by
// CheckpointBytes or CheckpointInterval has passed.
func (m *Manager) checkpointIfDue(ctx context.Context) error {
	now := m.options.Clock.Now()
	bytes := m.options.Journal.Stats().Bytes
	m.mu.Lock()
	if m.lastCheckpoints.at.IsZero() {
		m.lastCheckpoints.at = now
	}
	grown := bytes-m.lastCheckpoints.journalBytes >= uint64(m.options.CheckpointBytes)
	due := grown || now.Sub(m.lastCheckpoints.at) >= m.options.CheckpointInterval
	m.mu.Unlock()
	if !due || m.options.Membership.Valid() != nil || !m.options.View.StoreReachable() {
		return nil
	}
	return m.Checkpoint(ctx)
}

// Checkpoint stores the state of all changed shards of this entry and deletes
// the journal pages that are no longer needed.
func (m *Manager) Checkpoint(ctx context.Context) error {
	session := m.self()
	position := m.options.Journal.Position()
	bytes := m.options.Journal.Stats().Bytes
	_, err := m.forShards(m.changedShards(), func(number int) error { return m.checkpointShard(ctx, number) })
	if err != nil {
		return err
	}
	if _, err := m.options.Journal.Trim(ctx, session, position); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastCheckpoints = checkpointRound{at: m.options.Clock.Now(), journalBytes: bytes}
	return nil
}

// changedShards returns the shards that need a checkpoint, in order.
func (m *Manager) changedShards() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var numbers []int
	for number, s := range m.shards {
		if s.changed && s.session == m.self() {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (m *Manager) checkpointShard(ctx context.Context, number int) error {
	c, err := m.lockAndEncodeShard(number)
	if err != nil || c.state == nil {
		return err
	}
	return m.storeCheckpoint(ctx, number, c)
}

// lockAndEncodeShard encodes a shard while no submission is in progress.
func (m *Manager) lockAndEncodeShard(number int) (encodedShard, error) {
	m.submitMu.Lock()
	defer m.submitMu.Unlock()
	return m.encodeShard(number)
}

// checkpointShardLocked stores a checkpoint. The caller holds submitMu.
func (m *Manager) checkpointShardLocked(ctx context.Context, number int) error {
	c, err := m.encodeShard(number)
	if err != nil {
		return err
	}
	return m.storeCheckpoint(ctx, number, c)
}

// storeCheckpoint stores an encoded shard. After a failure the shard counts as
// changed again.
func (m *Manager) storeCheckpoint(ctx context.Context, number int, c encodedShard) error {
	err := m.options.Journal.Checkpoint(ctx, c.session, number, c.position, c.state)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[number]
	if s == nil {
		return err
	}
	if err != nil {
		s.changed = true
		return err
	}
	s.checkpointed = true
	return nil
}

// encodedShard is the encoded state of a shard and the journal position that it
// covers.
type encodedShard struct {
	session  string
	position uint64
	state    []byte // nil if the shard is not loaded
}

// encodeShard encodes a shard. The caller holds submitMu.
func (m *Manager) encodeShard(number int) (encodedShard, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[number]
	if s == nil {
		return encodedShard{}, nil
	}
	records := make([]record, 0, len(s.jobs))
	for _, e := range s.jobs {
		r := e.record()
		r.Job = &e.job
		records = append(records, r)
	}
	state, err := cbor.Marshal(records)
	if err != nil {
		return encodedShard{}, fmt.Errorf("encode shard %d: %w", number, err)
	}
	s.changed = false
	return encodedShard{session: s.session, position: m.options.Journal.Position(), state: state}, nil
}

// errNotDone is returned when a wait times out before the job has ended.
var errNotDone = errors.New("job has not ended")
