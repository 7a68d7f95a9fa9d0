package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/shards"
	"amaranthfork.example/fleet"
)

// Methods of the peer link.
const (
	methodSubmit = "jobs.submit"
	methodStatus = "jobs.status"
	methodWait   = "jobs.wait"
	methodCancel = "jobs.cancel"
	methodEnded  = "jobs.ended"
	methodHeld   = "jobs.held"
)

// retryPause is the time between the tries of a forwarded call. After a shard
// has moved, its new owner is known within a few tries.
const retryPause = 50 * time.Millisecond

// replyCode is the outcome of a forwarded call.
type replyCode string

const (
	replyOK       replyCode = ""
	replyRefused  replyCode = "refused"
	replyNotOwner replyCode = "not_owner"
	replyNotFound replyCode = "not_found"
	replyNotDone  replyCode = "not_done"
	replyUnknown  replyCode = "unknown"
	replyFailed   replyCode = "failed"
)

// idRequest is the request of methodStatus, methodWait and methodCancel.
type idRequest struct {
	ID      fleet.JobID   `cbor:"1,keyasint"`
	Timeout time.Duration `cbor:"2,keyasint,omitempty"` // longest time to wait, for methodWait
}

// heldRequest is the request of methodHeld, which asks whether an attempt is
// still the current claim of a job.
type heldRequest struct {
	ID      fleet.JobID     `cbor:"1,keyasint"`
	Attempt fleet.AttemptID `cbor:"2,keyasint"`
}

// reply is the answer to all forwarded calls.
type reply struct {
	Status  control.JobStatus `cbor:"1,keyasint"`
	Code    replyCode         `cbor:"2,keyasint,omitempty"`
	Refusal *fleet.Refusal    `cbor:"3,keyasint,omitempty"`
	Detail  string            `cbor:"4,keyasint,omitempty"`
}

// Register adds the handlers of forwarded calls to a router.
func (m *Manager) Register(r *rpc.Router) {
	rpc.Handle(r, methodSubmit, func(ctx context.Context, _ string, job fleet.Job) (reply, error) {
		return newReply(m.submit(ctx, job)), nil
	})
	rpc.Handle(r, methodStatus, func(_ context.Context, _ string, q idRequest) (reply, error) {
		return newReply(m.status(q.ID)), nil
	})
	rpc.Handle(r, methodWait, func(ctx context.Context, _ string, q idRequest) (reply, error) {
		ctx, cancel := context.WithTimeout(ctx, min(q.Timeout, m.options.MaxForwardedWait))
		defer cancel()
		return newReply(m.wait(ctx, q.ID)), nil
	})
	rpc.Handle(r, methodCancel, func(ctx context.Context, _ string, q idRequest) (reply, error) {
		return newReply(m.cancel(ctx, q.ID)), nil
	})
	rpc.Handle(r, methodEnded, func(ctx context.Context, _ string, end control.TaskEnd) (reply, error) {
		return newReply(control.JobStatus{}, m.taskEnded(ctx, end)), nil
	})
	rpc.Handle(r, methodHeld, func(_ context.Context, _ string, q heldRequest) (reply, error) {
		return newReply(control.JobStatus{}, m.checkHeld(q)), nil
	})
}

// newReply encodes the outcome of a call on a shard of this entry.
func newReply(status control.JobStatus, err error) reply {
	var refusal *fleet.Refusal
	switch {
	case err == nil:
		return reply{Status: status}
	case errors.As(err, &refusal):
		return reply{Code: replyRefused, Refusal: refusal}
	case errors.Is(err, shards.ErrNotOwner):
		return reply{Code: replyNotOwner, Detail: err.Error()}
	case errors.Is(err, backing.ErrNotFound):
		return reply{Code: replyNotFound, Detail: err.Error()}
	case errors.Is(err, errNotDone):
		return reply{Status: status, Code: replyNotDone}
	case errors.Is(err, backing.ErrUnconfirmed):
		return reply{Code: replyUnknown, Detail: err.Error()}
	default:
		return reply{Code: replyFailed, Detail: err.Error()}
	}
}

// Submit submits a job to its owner. It returns a *fleet.Refusal only if the
// job is proved not to have been accepted, and an error that matches
// backing.ErrUnconfirmed if it may have been accepted. Submitting again with the
// same id is safe.
func (m *Manager) Submit(ctx context.Context, job fleet.Job) (control.JobStatus, error) {
	if refusal := validate(&job); refusal != nil {
		return control.JobStatus{}, refusal
	}
	job.Digest = contentDigest(&job)
	return m.call(ctx, job.ID, methodSubmit, job, func(ctx context.Context) (control.JobStatus, error) {
		return m.submit(ctx, job)
	})
}

// Status returns the current status of a job, or an error that matches
// backing.ErrNotFound.
func (m *Manager) Status(ctx context.Context, id fleet.JobID) (control.JobStatus, error) {
	return m.call(ctx, id, methodStatus, idRequest{ID: id}, func(context.Context) (control.JobStatus, error) {
		return m.status(id)
	})
}

// Wait returns the status of a job once it has ended, backing.ErrNotFound for
// an unknown job, or the error of ctx. It keeps waiting when the job's shard
// moves to another owner.
func (m *Manager) Wait(ctx context.Context, id fleet.JobID) (control.JobStatus, error) {
	for {
		status, err := m.call(ctx, id, methodWait, idRequest{ID: id, Timeout: m.options.MaxForwardedWait}, func(ctx context.Context) (control.JobStatus, error) {
			return m.wait(ctx, id)
		})
		switch {
		case err == nil || errors.Is(err, backing.ErrNotFound):
			return status, err
		case ctx.Err() != nil:
			return status, ctx.Err()
		case errors.Is(err, errNotDone) && !m.endingWaits():
			continue
		}
		if err := m.options.Sleep(ctx, retryPause); err != nil {
			return status, err
		}
	}
}

// Cancel marks a job as canceled. If the returned status does not show the job
// as ended, its task is still being stopped.
func (m *Manager) Cancel(ctx context.Context, id fleet.JobID) (control.JobStatus, error) {
	return m.call(ctx, id, methodCancel, idRequest{ID: id}, func(ctx context.Context) (control.JobStatus, error) {
		return m.cancel(ctx, id)
	})
}

// TaskEnded passes the report of a task's end to the owner of its job. After an
// error the caller must repeat the report; repeated reports are harmless.
func (m *Manager) TaskEnded(ctx context.Context, end control.TaskEnd) error {
	_, err := m.call(ctx, end.Job, methodEnded, end, func(ctx context.Context) (control.JobStatus, error) {
		return control.JobStatus{}, m.taskEnded(ctx, end)
	})
	return err
}

// localCall handles a request on a shard of this entry.
type localCall func(ctx context.Context) (control.JobStatus, error)

// call handles a request locally if this entry owns the job's shard, or
// forwards it to the owner. It tries again while the owner is unknown or does
// not answer. Every request is safe to repeat: submissions are deduplicated by
// their id, ends of tasks by their attempt.
func (m *Manager) call(ctx context.Context, id fleet.JobID, method string, req any, local localCall) (control.JobStatus, error) {
	unconfirmed := false // an earlier try may have been handled, or may still be
	var last error
	for try := range m.options.MaxCallTries {
		if try > 0 {
			if err := m.options.Sleep(ctx, retryPause); err != nil {
				last = err
				break
			}
		}
		status, err := m.callOnce(ctx, id, method, req, local)
		if err == nil || !isRetryable(err) {
			return status, withUnconfirmed(err, unconfirmed)
		}
		unconfirmed = unconfirmed || errors.Is(err, backing.ErrUnconfirmed)
		last = err
	}
	if unconfirmed {
		return control.JobStatus{}, fmt.Errorf("%w: %s for job %s: %w", backing.ErrUnconfirmed, method, id, last)
	}
	return control.JobStatus{}, &fleet.Refusal{
		Reason: fleet.ReasonStaleView, Detail: fmt.Sprintf("the owner of the job cannot be reached: %v", last), RetryAfter: viewRetryAfter,
	}
}

// isRetryable reports whether another try of a call may succeed soon.
func isRetryable(err error) bool {
	return errors.Is(err, shards.ErrNotOwner) || errors.Is(err, backing.ErrUnconfirmed) || errors.Is(err, rpc.ErrUnreachable)
}

// withUnconfirmed turns a refusal that follows an unconfirmed try into an
// unknown outcome, because the earlier request may still arrive and be
// accepted.
func withUnconfirmed(err error, unconfirmed bool) error {
	var refusal *fleet.Refusal
	if unconfirmed && errors.As(err, &refusal) {
		return fmt.Errorf("%w: an earlier try was not answered; the last try was refused: %s", backing.ErrUnconfirmed, refusal.Error())
	}
	return err
}

// callOnce makes one try of a call. Errors that leave open whether the request
// took effect match backing.ErrUnconfirmed.
func (m *Manager) callOnce(ctx context.Context, id fleet.JobID, method string, req any, local localCall) (control.JobStatus, error) {
	owner := m.options.Shards.Owner(m.shardOf(id))
	switch owner {
	case "":
		return control.JobStatus{}, fmt.Errorf("no shard map yet: %w", shards.ErrNotOwner)
	case m.self():
		return local(ctx)
	}
	var r reply
	err := m.options.Caller.Call(ctx, owner, method, req, &r)
	switch {
	case err == nil:
		return r.Status, r.err()
	case errors.Is(err, rpc.ErrUnreachable):
		return control.JobStatus{}, err
	default:
		return control.JobStatus{}, fmt.Errorf("%w: %w", backing.ErrUnconfirmed, err)
	}
}

// err decodes the outcome of a forwarded call.
func (r reply) err() error {
	switch r.Code {
	case replyOK:
		return nil
	case replyRefused:
		if r.Refusal == nil {
			return fmt.Errorf("%w: refusal without a reason", backing.ErrUnconfirmed)
		}
		return r.Refusal
	case replyNotOwner:
		return fmt.Errorf("%w: %s", shards.ErrNotOwner, r.Detail)
	case replyNotFound:
		return fmt.Errorf("%w: %s", backing.ErrNotFound, r.Detail)
	case replyNotDone:
		return errNotDone
	case replyUnknown:
		return fmt.Errorf("%w: %s", backing.ErrUnconfirmed, r.Detail)
	default:
		return fmt.Errorf("owner of the job: %s", r.Detail)
	}
}

// status returns the status of a job of a shard of this entry.
func (m *Manager) status(id fleet.JobID) (control.JobStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, err := m.readableShard(m.shardOf(id))
	if err != nil {
		return control.JobStatus{}, err
	}
	e := s.jobs[id]
	if e == nil || e.phase == phaseSubmitting {
		return control.JobStatus{}, fmt.Errorf("job %s: %w", id, backing.ErrNotFound)
	}
	return e.status(), nil
}

// wait returns once a job of a shard of this entry has ended. It returns
// errNotDone if ctx ends or EndWaits is called first, and shards.ErrNotOwner if
// the shard moves.
func (m *Manager) wait(ctx context.Context, id fleet.JobID) (control.JobStatus, error) {
	for {
		done, status, err := m.watch(id)
		if err != nil || done == nil {
			return status, err
		}
		select {
		case <-done:
		case <-ctx.Done():
			return status, errNotDone
		case <-m.waitsEnded:
			return status, errNotDone
		}
	}
}

// EndWaits ends the waits for jobs of this entry's shards that other entries have
// forwarded, so that a planned stop need not wait for the jobs. The other entries
// wait on at the next owner.
func (m *Manager) EndWaits() { m.endWaits.Do(func() { close(m.waitsEnded) }) }

// endingWaits reports whether EndWaits has been called.
func (m *Manager) endingWaits() bool {
	select {
	case <-m.waitsEnded:
		return true
	default:
		return false
	}
}

// watch returns a channel that is closed when the job has ended or its shard
// has moved, or nil if the job has already ended.
func (m *Manager) watch(id fleet.JobID) (<-chan struct{}, control.JobStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, err := m.readableShard(m.shardOf(id))
	if err != nil {
		return nil, control.JobStatus{}, err
	}
	e := s.jobs[id]
	if e == nil {
		return nil, control.JobStatus{}, fmt.Errorf("job %s: %w", id, backing.ErrNotFound)
	}
	if e.resultVisible() {
		return nil, e.status(), nil
	}
	if e.endedOrMoved == nil {
		e.endedOrMoved = make(chan struct{})
	}
	return e.endedOrMoved, e.status(), nil
}
