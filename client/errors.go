package client

import (
	"fmt"
	"net/http"
	"time"

	"amaranthfork.example/fleet"
)

// ReasonConflict is the reason of a change whose base is not the accepted
// revision any more.
const ReasonConflict fleet.Reason = "conflict"

// Error is an entry's refusal of a request.
type Error struct {
	Status     int           // HTTP status
	Outcome    fleet.Outcome // not_run when it is proved that nothing was started
	Reason     fleet.Reason
	Detail     string
	RetryAfter time.Duration  // 0 means that trying again is of no use
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

// proved reports whether the entry has proved that this and all earlier tries of
// the same request had no effect. A conflict means that the table refuses every
// change with the same base, and findings depend on the change alone.
func (e *Error) proved() bool {
	return e.Status == http.StatusConflict || e.Status == http.StatusUnprocessableEntity
}

// UnknownError means that a request may have taken effect: its answer was lost
// or was not an entry's.
type UnknownError struct {
	Err error
}

// Error returns the cause.
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

// Error returns the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no entry answered: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// transportError is a try without an entry's answer.
type transportError struct {
	err  error
	sent bool // a connection was made, so the request may have arrived
}

func (e *transportError) Error() string { return e.err.Error() }
func (e *transportError) Unwrap() error { return e.err }
