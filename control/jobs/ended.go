package jobs

import (
	"context"
	"fmt"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/retry"
)

// taskEnded processes the report of a task's end for a job of a shard of this
// entry. It returns nil once the consequences are durable, or when the attempt
// is not the current one. The VM owner repeats a report until then, so that the
// worker keeps the result for a successor of this owner.
func (m *Manager) taskEnded(ctx context.Context, end control.TaskEnd) error {
	e, err := m.applyEnd(end)
	if err != nil || e == nil {
		return err
	}
	if err := m.persist(ctx, e); err != nil {
		return fmt.Errorf("journal end of attempt %s: %w", end.Attempt, err)
	}
	return nil
}

// applyEnd applies a report in memory. It returns the job if it has changes
// that are not durable, else nil.
func (m *Manager) applyEnd(end control.TaskEnd) (*jobEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, err := m.actingShard(m.shardOf(end.Job))
	if err != nil {
		return nil, err
	}
	e := s.jobs[end.Job]
	if e == nil || e.Claim == nil || e.Claim.Attempt != end.Attempt || e.Claim.Step != end.Step {
		m.stats.LateEnds++
		if e != nil && e.dirty() && e.phase != phaseSubmitting && e.phase != phaseStarting {
			return e, nil
		}
		return nil, nil
	}
	if end.State == backing.TaskRunning {
		return nil, nil
	}
	vm := e.Claim.VM
	m.endClaim(e)
	m.handleOutcome(e, vm, end)
	m.signalReady()
	return e, nil
}

// handleOutcome decides how a job proceeds after an attempt. The caller holds
// mu.
func (m *Manager) handleOutcome(e *jobEntry, vm fleet.VMID, end control.TaskEnd) {
	switch {
	case end.NotStarted:
		m.stats.NotStarted++
		m.attemptNotStarted(e)
	case end.State == backing.TaskCompleted:
		m.attemptCompleted(e, end)
	case end.State == backing.TaskCheckpointed:
		e.Attempts-- // a checkpointed attempt has not failed and is continued by another one
		m.requeue(e)
	case end.State == "":
		m.attemptLost(e, vm, end)
	default:
		m.attemptFailed(e, vm, end, fleet.ReasonTaskFailed)
	}
}

// attemptCompleted ends a job after its last step, or queues its next step. The
// caller holds mu.
func (m *Manager) attemptCompleted(e *jobEntry, end control.TaskEnd) {
	now := m.options.Clock.Now()
	m.retry.Success(now, e.job.Team)
	if !e.startedAt.IsZero() {
		m.options.OnTaskCompleted(&e.job, end, now.Sub(e.startedAt))
	}
	e.startedAt = time.Time{}
	if e.Step+1 == len(e.job.Steps) {
		m.finish(e, fleet.Result{Attempt: end.Attempt, Outcome: fleet.OutcomeCompleted, Detail: end.Detail, Body: end.Body})
		return
	}
	e.Step++
	e.Attempts = 0
	e.Avoid = nil
	m.requeue(e)
}

// requeue makes a job wait for its next start, or ends it if it is canceled.
// The caller holds mu.
func (m *Manager) requeue(e *jobEntry) {
	if e.Canceled {
		m.endCanceled(e)
		return
	}
	e.startRefusals = 0
	m.enqueue(e)
}

// attemptLost handles an attempt whose worker was lost. It is not known whether
// the task ran to its end, so only idempotent jobs are tried again. The caller
// holds mu.
func (m *Manager) attemptLost(e *jobEntry, vm fleet.VMID, end control.TaskEnd) {
	if e.job.Idempotent {
		m.attemptFailed(e, vm, end, fleet.ReasonVMLost)
		return
	}
	m.finish(e, fleet.Result{
		Attempt: end.Attempt, Outcome: fleet.OutcomeUnknown, Reason: fleet.ReasonVMLost,
		Detail: joinDetails(end.Detail, "the worker was lost while the task may have run"),
	})
}

// attemptFailed retries a job or ends it as failed, as the retry policy
// decides. The caller holds mu.
func (m *Manager) attemptFailed(e *jobEntry, vm fleet.VMID, end control.TaskEnd, reason fleet.Reason) {
	m.avoidVM(e, vm)
	if e.Canceled {
		m.endCanceled(e)
		return
	}
	now := m.options.Clock.Now()
	if !e.job.Deadline.IsZero() && !e.job.Deadline.After(now) {
		m.finishFailed(e, end, reason, "the deadline has passed")
		return
	}
	d := m.retry.Decide(now, retry.Failure{Team: e.job.Team, Idempotent: e.job.Idempotent, Attempts: e.Attempts})
	if !d.Retry {
		if d.Reason == fleet.ReasonRetryBudget {
			reason = d.Reason
		}
		m.finishFailed(e, end, reason, d.Detail)
		return
	}
	m.stats.Retries++
	m.delay(e, now.Add(d.RetryAfter))
}

func (m *Manager) finishFailed(e *jobEntry, end control.TaskEnd, reason fleet.Reason, why string) {
	m.finish(e, fleet.Result{
		Attempt: end.Attempt, Outcome: fleet.OutcomeFailed, Reason: reason, Detail: joinDetails(end.Detail, why), Body: end.Body,
	})
}

// joinDetails joins the parts that are not empty with semicolons.
func joinDetails(parts ...string) string {
	text := ""
	for _, p := range parts {
		switch {
		case p == "":
		case text == "":
			text = p
		default:
			text += "; " + p
		}
	}
	return text
}

// endCanceled ends a canceled job that has no claim. The caller holds mu.
func (m *Manager) endCanceled(e *jobEntry) {
	if m.stillOwned(e) {
		m.finishRefused(e, fleet.ReasonCanceled, "")
	}
}

// finishRefused ends a job that will not be started any more. The outcome is
// not_run only if none of its attempts may have started. The caller holds mu.
func (m *Manager) finishRefused(e *jobEntry, reason fleet.Reason, why string) {
	outcome := fleet.OutcomeNotRun
	switch {
	case e.Started > 0:
		outcome = fleet.OutcomeFailed
	case e.MayHaveStarted:
		outcome = fleet.OutcomeUnknown
	}
	m.finish(e, fleet.Result{Outcome: outcome, Reason: reason, Detail: why})
}

// finish sets the final result, which callers see once it is durable. The
// caller holds mu.
func (m *Manager) finish(e *jobEntry, result fleet.Result) {
	result.Job = e.job.ID
	m.uncountQueued(e)
	e.phase = phaseEnded
	e.Result = &result
	e.Ended = m.options.Clock.Now().UnixNano()
	e.Avoid = nil
	m.markDirty(e)
	m.stats.Ended++
	m.retain(e)
	m.options.OnEnd(&e.job, result)
}

// retain keeps an ended job for deduplication, without its steps to save
// memory. The caller holds mu.
func (m *Manager) retain(e *jobEntry) {
	e.job.Steps = nil
	m.ended = append(m.ended, e)
	m.retainedBodyBytes += len(e.Result.Body)
}

// expireResults drops the oldest results while they exceed the retention period
// or the limits on number and size. Results that are not durable stay.
func (m *Manager) expireResults() {
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	dropped := 0
	for _, e := range m.ended {
		old := now.Sub(time.Unix(0, e.Ended)) > m.options.Retention
		over := len(m.ended)-dropped > m.options.MaxRetained || m.retainedBodyBytes > m.options.MaxRetainedBodyBytes
		if !old && !over || e.dirty() && m.stillOwned(e) {
			break
		}
		m.retainedBodyBytes -= len(e.Result.Body)
		dropped++
		if m.stillOwned(e) {
			delete(m.shards[e.shard].jobs, e.job.ID)
			m.shards[e.shard].changed = true
		}
	}
	if dropped > 0 {
		m.ended = append([]*jobEntry(nil), m.ended[dropped:]...)
	}
}

// cancel marks a job of a shard of this entry as canceled. A waiting job ends
// at once; a running one is stopped, and its end is reported as usual. The
// change is journaled together with those of concurrent calls, before the
// returned status may show the job as not run.
func (m *Manager) cancel(ctx context.Context, id fleet.JobID) (control.JobStatus, error) {
	e, open, err := m.markCanceled(id)
	if err != nil {
		return control.JobStatus{}, err
	}
	if open != nil {
		// The lookups of the open claim repeat a stop that was lost.
		_ = m.options.Dispatcher.Cancel(ctx, open.VM, open.Attempt)
	}
	m.mu.Lock()
	persist := e.dirty() && e.phase != phaseSubmitting && e.phase != phaseStarting
	m.mu.Unlock()
	if persist {
		// Flush repeats the record if this fails; until then the status does
		// not show the job as ended.
		_ = m.persist(ctx, e)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return e.status(), nil
}

// markCanceled marks a job as canceled and ends it if it waits. It returns the
// job, and its claim if its task may be running.
func (m *Manager) markCanceled(id fleet.JobID) (*jobEntry, *claim, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, err := m.actingShard(m.shardOf(id))
	if err != nil {
		return nil, nil, err
	}
	e := s.jobs[id]
	if e == nil {
		return nil, nil, fmt.Errorf("job %s: %w", id, backing.ErrNotFound)
	}
	if e.phase == phaseEnded {
		return e, nil, nil
	}
	if !e.Canceled {
		e.Canceled = true
		m.markDirty(e)
	}
	if e.phase == phaseQueued || e.phase == phaseDelayed {
		m.dequeue(e)
		m.endCanceled(e)
	}
	if e.phase != phaseOpen {
		return e, nil, nil
	}
	open := *e.Claim
	return e, &open, nil
}
