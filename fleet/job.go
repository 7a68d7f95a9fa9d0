package fleet

import (
	"fmt"
	"time"
)

type (
	// JobID identifies a job. It is derived from the team and the idempotency id
	// of the caller.
	JobID string
	// AttemptID identifies an attempt, which is one start of a task.
	AttemptID string
)

// Step is one step of a job. The steps of a job run one after the other.
type Step struct {
	Command string `cbor:"1,keyasint" json:"command"`
	Payload []byte `cbor:"2,keyasint,omitempty" json:"payload,omitempty"`
}

// Job is a job as a team has submitted it.
type Job struct {
	ID         JobID         `cbor:"1,keyasint" json:"id"`
	Team       TeamName      `cbor:"2,keyasint" json:"team"`
	Queue      QueueName     `cbor:"3,keyasint" json:"queue"`
	Class      Class         `cbor:"4,keyasint" json:"class"`
	Steps      []Step        `cbor:"5,keyasint" json:"steps"`
	Declared   Resources     `cbor:"6,keyasint" json:"declared"`
	RunTime    time.Duration `cbor:"7,keyasint" json:"runTime"` // declared run time of each step
	Submitted  time.Time     `cbor:"8,keyasint" json:"submitted"`
	Deadline   time.Time     `cbor:"9,keyasint" json:"deadline"`    // zero means none
	Idempotent bool          `cbor:"10,keyasint" json:"idempotent"` // the steps may run more than once
	// Key is the key with which the job was submitted, empty on open queues. It is
	// checked again before each start.
	Key KeyID `cbor:"11,keyasint,omitempty" json:"key,omitempty"`
	// Digest is a hash of the content. It distinguishes a repeated submission from
	// another job with the same idempotency id.
	Digest uint64 `cbor:"12,keyasint,omitempty" json:"digest,omitempty"`
}

// Outcome is the final outcome of a job or request.
type Outcome string

const (
	OutcomeCompleted Outcome = "completed"
	OutcomeFailed    Outcome = "failed"
	OutcomeNotRun    Outcome = "not_run" // certainly not: nothing was started
	OutcomeUnknown   Outcome = "unknown" // may have run; never retried unless idempotent
)

// Reason is the cause of a refusal or failure, for use by programs.
type Reason string

const (
	ReasonInvalid          Reason = "invalid_request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonNoQueue          Reason = "no_such_queue"
	ReasonStaleView        Reason = "view_not_current"
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadline         Reason = "deadline_unreachable"
	ReasonTooLarge         Reason = "no_vm_can_hold"
	ReasonTeamLimit        Reason = "team_limit"
	ReasonNoCapacity       Reason = "no_capacity"
	ReasonDataCentreOut    Reason = "data_centre_out"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonStopping         Reason = "stopping"
	ReasonCanceled         Reason = "canceled"
	ReasonVMLost           Reason = "vm_lost"
	ReasonTaskFailed       Reason = "task_failed"
	ReasonRetryBudget      Reason = "retry_budget_spent"
)

// Result is the answer to a job or request.
type Result struct {
	Job        JobID         `cbor:"1,keyasint" json:"job"`
	Attempt    AttemptID     `cbor:"2,keyasint,omitempty" json:"attempt,omitempty"`
	Outcome    Outcome       `cbor:"3,keyasint" json:"outcome"`
	Reason     Reason        `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	Detail     string        `cbor:"5,keyasint,omitempty" json:"detail,omitempty"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty" json:"retryAfter,omitempty"`
	Body       []byte        `cbor:"7,keyasint,omitempty" json:"body,omitempty"`
	Unrecorded bool          `cbor:"8,keyasint,omitempty" json:"unrecorded,omitempty"` // ran without a durable record, during an outage of the table service
}

// Refusal is the error for work that certainly did not run.
type Refusal struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // delay before the next try; zero means that a retry cannot succeed
}

// Error returns the reason and detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return string(r.Reason)
	}
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}
