package jobs

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/shards"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/admission"
)

// storeRetryAfter is the retry delay advised to callers whose job needs the
// store during an outage.
const storeRetryAfter = 2 * time.Second

// viewRetryAfter is the retry delay advised to callers that reach an owner
// without a current session or view.
const viewRetryAfter = time.Second

// validate refuses jobs that no owner could handle.
func validate(job *fleet.Job) *fleet.Refusal {
	detail := ""
	switch {
	case job.ID == "":
		detail = "the job has no id"
	case len(job.Steps) == 0:
		detail = "the job has no steps"
	case job.Class != fleet.ClassUrgent && job.Class != fleet.ClassStandard && job.Class != fleet.ClassBatch:
		detail = fmt.Sprintf("class %q does not exist", job.Class)
	default:
		return nil
	}
	return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: detail}
}

// contentDigest hashes what makes two submissions the same work: the queue, the
// class, whether the job is idempotent, and the steps. The deadline is left out
// because it moves with the time of the submission.
func contentDigest(job *fleet.Job) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(job.Queue), string(job.Class), strconv.FormatBool(job.Idempotent)} {
		writeWithLength(d, []byte(part))
	}
	for _, step := range job.Steps {
		writeWithLength(d, []byte(step.Command))
		writeWithLength(d, step.Payload)
	}
	return d.Sum64()
}

// writeWithLength prefixes a part with its length, so that different sequences
// of parts cannot have the same concatenation.
func writeWithLength(d *xxhash.Digest, part []byte) {
	_, _ = d.WriteString(strconv.Itoa(len(part)) + ":")
	_, _ = d.Write(part)
}

// submit accepts a job of a shard of this entry. It returns once the job is
// durable or, for an idempotent job during a store outage, once it is accepted
// without a record.
func (m *Manager) submit(ctx context.Context, job fleet.Job) (control.JobStatus, error) {
	m.submitMu.RLock()
	e, done, err := m.insert(job)
	if err != nil {
		m.submitMu.RUnlock()
		return control.JobStatus{}, err
	}
	if done != nil {
		m.submitMu.RUnlock()
		return m.joinSubmission(ctx, e, done)
	}
	defer m.submitMu.RUnlock()
	return m.finishSubmission(ctx, e, m.persist(ctx, e))
}

// closedChannel is returned for known jobs whose submission is already
// complete.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// insert adds a job in phaseSubmitting and returns it with a nil channel. If
// the job is already known, it returns the known job and a channel that is
// closed once that job's submission is complete.
func (m *Manager) insert(job fleet.Job) (e *jobEntry, done <-chan struct{}, err error) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	number := m.shardOf(job.ID)
	s, err := m.actingShard(number)
	if err != nil {
		return nil, nil, err
	}
	if e := s.jobs[job.ID]; e != nil {
		if e.job.Digest != job.Digest {
			m.stats.Refused++
			return nil, nil, &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: "id: already used for a job with different content"}
		}
		m.stats.Duplicates++
		if e.submissionDone == nil {
			return e, closedChannel, nil
		}
		return e, e.submissionDone, nil
	}
	snapshot, err := m.admit(now, &job)
	if err != nil {
		m.stats.Refused++
		return nil, nil, err
	}
	if job.Submitted.IsZero() {
		job.Submitted = now
	}
	e = &jobEntry{job: job, shard: number, phase: phaseSubmitting, submissionDone: make(chan struct{}), queuedAt: now}
	e.pool = snapshot.Queues[job.Queue].Pool
	e.sequence = uint64(now.UnixMicro())
	e.durableSequence = e.sequence
	s.jobs[job.ID] = e
	m.countQueued(e)
	m.markDirty(e)
	return e, nil, nil
}

// admit checks the view, the caller's authorization, the store and the load of
// the pool. It returns the configuration that it used.
func (m *Manager) admit(now time.Time, job *fleet.Job) (*config.Snapshot, error) {
	if err := m.options.View.Fresh(); err != nil {
		return nil, err
	}
	snapshot := m.options.View.Snapshot()
	if snapshot == nil {
		return nil, &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "no configuration yet", RetryAfter: viewRetryAfter}
	}
	if refusal := authorize(snapshot, job); refusal != nil {
		return nil, refusal
	}
	if !job.Idempotent && !m.options.View.StoreReachable() {
		return nil, storeRefusal()
	}
	if refusal := admission.Admit(m.admissionRequest(now, snapshot, job)); refusal != nil {
		return nil, refusal
	}
	return snapshot, nil
}

// storeRefusal refuses a job that cannot be made durable during a store outage.
func storeRefusal() *fleet.Refusal {
	return &fleet.Refusal{
		Reason:     fleet.ReasonStoreUnavailable,
		Detail:     "a job that is not idempotent cannot be accepted while the store is unavailable",
		RetryAfter: storeRetryAfter,
	}
}

// admissionRequest describes a job and the load of its pool to the admission
// policy.
func (m *Manager) admissionRequest(now time.Time, snapshot *config.Snapshot, job *fleet.Job) admission.Request {
	queue := snapshot.Queues[job.Queue]
	need, runTime := m.options.Estimate(job)
	r := admission.Request{
		Now: now, Need: need, RunTime: runTime * time.Duration(len(job.Steps)), Deadline: job.Deadline,
		Queued:    m.queued[queueKey{job.Queue, job.Team, job.Class}],
		MaxQueued: m.queueBound(queue),
	}
	for _, c := range m.options.Dispatcher.Capacity(queue.Pool) {
		if c.LargestVM != (fleet.Resources{}) { // zero if no VM of the pool is known there
			r.LargestVMs = append(r.LargestVMs, c.LargestVM)
		}
		if snapshot.DataCentres[c.DataCentre].State == fleet.DataCentreIn {
			r.Load.FreeSlots += c.FreeSlots
		}
	}
	if waiting := m.poolQueues[queue.Pool]; waiting != nil {
		r.Load.TeamAhead, r.Load.TotalAhead = waiting.Ahead(job.Team, job.Class)
		r.Load.TeamFraction = waiting.TeamFraction(job.Team, job.Class, teamShare(snapshot))
	}
	if rate := m.startRates[queue.Pool]; rate != nil {
		r.Load.StartsPerSecond = rate.perSecond(now)
	}
	return r
}

// queueBound returns this entry's part of a queue's limit on waiting jobs, in
// proportion to the shards that it owns.
func (m *Manager) queueBound(queue fleet.Queue) int {
	bound := queue.MaxQueued
	if bound <= 0 {
		bound = m.options.MaxQueued
	}
	total := m.options.Shards.Count()
	return max(1, (bound*m.options.Shards.Owned()+total-1)/total)
}

// finishSubmission accepts or rejects a job according to the error, if any, of
// journaling its first record.
func (m *Manager) finishSubmission(ctx context.Context, e *jobEntry, err error) (control.JobStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(e.submissionDone)
	e.submissionDone = nil
	if err != nil && !errors.Is(err, backing.ErrUnconfirmed) {
		outage := errors.Is(err, backing.ErrUnavailable) && ctx.Err() == nil
		if !outage || !e.job.Idempotent {
			m.discardSubmission(e)
			return control.JobStatus{}, submitRefusal(err)
		}
		err = nil
	}
	if !m.stillOwned(e) {
		if err == nil && e.jobDurable {
			return e.status(), nil
		}
		return control.JobStatus{}, fmt.Errorf("%w: shard of job %s has moved", backing.ErrUnconfirmed, e.job.ID)
	}
	m.stats.Submitted++
	m.accepted[m.loadKey(e)]++
	m.enqueue(e)
	return e.status(), err
}

// submitRefusal turns an error that proves that a job was not journaled into a
// refusal.
func submitRefusal(err error) error {
	if errors.Is(err, backing.ErrFenced) {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "the session of the job's owner has ended", RetryAfter: viewRetryAfter}
	}
	return storeRefusal()
}

// joinSubmission answers a repeated submission like the first one, once that is
// complete.
func (m *Manager) joinSubmission(ctx context.Context, e *jobEntry, done <-chan struct{}) (control.JobStatus, error) {
	select {
	case <-done:
	case <-ctx.Done():
		return control.JobStatus{}, fmt.Errorf("%w: first submission of job %s is still in progress", backing.ErrUnconfirmed, e.job.ID)
	}
	m.mu.Lock()
	owned, durable := m.stillOwned(e), e.jobDurable
	m.mu.Unlock()
	if !owned {
		return control.JobStatus{}, fmt.Errorf("first submission was not accepted: %w", shards.ErrNotOwner)
	}
	if !durable {
		if err := m.persist(ctx, e); err != nil && !errors.Is(err, backing.ErrUnavailable) {
			return control.JobStatus{}, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !e.jobDurable && !e.job.Idempotent {
		return control.JobStatus{}, fmt.Errorf("%w: record of job %s may not be durable", backing.ErrUnconfirmed, e.job.ID)
	}
	return e.status(), nil
}

// stillOwned reports whether a job is still part of a shard of this entry. The
// caller holds mu.
func (m *Manager) stillOwned(e *jobEntry) bool {
	s := m.shards[e.shard]
	return s != nil && s.jobs[e.job.ID] == e
}

// discardSubmission removes a job that was not accepted. The caller holds mu.
func (m *Manager) discardSubmission(e *jobEntry) {
	m.uncountQueued(e)
	if m.dirty[e.job.ID] == e {
		delete(m.dirty, e.job.ID)
	}
	if m.stillOwned(e) {
		delete(m.shards[e.shard].jobs, e.job.ID)
	}
}

// countQueued and uncountQueued maintain the number of waiting jobs. The caller
// holds mu.
func (m *Manager) countQueued(e *jobEntry) {
	if !e.countedInQueue {
		e.countedInQueue = true
		m.queued[e.key()]++
	}
}

func (m *Manager) uncountQueued(e *jobEntry) {
	if !e.countedInQueue {
		return
	}
	e.countedInQueue = false
	m.queued[e.key()]--
	if m.queued[e.key()] == 0 {
		delete(m.queued, e.key())
	}
}

// enqueue adds a job to the queue of its pool. The caller holds mu.
func (m *Manager) enqueue(e *jobEntry) {
	e.phase = phaseQueued
	e.queuedAt = m.options.Clock.Now()
	m.countQueued(e)
	_, runTime := m.options.Estimate(&e.job)
	m.poolQueue(e.pool).Push(admission.Item{
		ID: e.job.ID, Team: e.job.Team, Class: e.job.Class, Deadline: e.job.Deadline, Submitted: e.job.Submitted,
		RunTime: runTime,
	})
	m.signalReady()
}

// dequeue removes a waiting job from the queue of its pool. The caller holds
// mu.
func (m *Manager) dequeue(e *jobEntry) {
	if e.phase == phaseQueued {
		m.poolQueue(e.pool).Remove(e.job.ID)
	}
	m.uncountQueued(e)
}

// poolQueue returns the waiting jobs of a pool in the order of their starts.
// The caller holds mu.
func (m *Manager) poolQueue(pool fleet.PoolName) *admission.Queue {
	waiting := m.poolQueues[pool]
	if waiting == nil {
		waiting = admission.NewQueue(m.options.Admission)
		m.poolQueues[pool] = waiting
	}
	return waiting
}
