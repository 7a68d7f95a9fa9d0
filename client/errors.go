package client

import (
	"fmt"
	"net/http"
	"time"

	"amaranthfork.example/fleet"
)

// ReasonConflict is the reason for refusing a change whose base is no longer the
// accepted revision.
const ReasonConflict fleet.Reason = "conflict"

// Error is an entry's refusal of a request.
type Error struct {
	Status     int           // HTTP status
	Outcome    fleet.Outcome // not_run if it is certain that nothing was started
	Reason     fleet.Reason
	Detail     string
	RetryAfter time.Duration  // time to wait before another try; 0 if another try would not help
	Revision   fleet.Revision // the accepted revision, for ReasonConflict
	Findings   []Finding      // for status 422
}

// Error returns the reason and detail, or the status if there is no reason.
func (e *Error) Error() string {
	switch {
	case e.Reason == "" && e.Detail == "":
		return fmt.Sprintf("the entry answered %d %s", e.Status, http.StatusText(e.Status))
	case e.Reason == "":
		return e.Detail
	case e.Detail == "":
		return string(e.Reason)
	default:
		return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
	}
}

// provesNoEffect reports whether the refusal proves that this and all earlier tries
// of the same request had no effect. A conflict (409) means that the table refuses
// every change with the same base, and findings (422) depend on the change alone.
func (e *Error) provesNoEffect() bool {
	return e.Status == http.StatusConflict || e.Status == http.StatusUnprocessableEntity
}

// UnknownError means that a request may have taken effect: the answer to a try was
// lost or was not an entry's.
type UnknownError struct {
	Err error
}

// Error returns the meaning and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown, the request may have taken effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// UnavailableError means that no entry answered and that the request had no
// effect.
type UnavailableError struct {
	Err error
}

// Error returns the meaning and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no entry answered: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// transportError is the error of a try without an answer from an entry.
type transportError struct {
	err            error
	mayHaveArrived bool // a connection was made, so the request may have arrived
}

func (e *transportError) Error() string { return e.err.Error() }
func (e *transportError) Unwrap() error { return e.err }
