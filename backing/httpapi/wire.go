// Package httpapi serves the platform interfaces of package backing over plain
// HTTP, and provides a client for them.
//
// Each call is a POST of a JSON object to /v1/<service>/<call>. The header
// Amaranth-Caller names the calling node, so that fault switches can
// apply to a single node. The answer to a successful call has status 200 and a JSON
// object as its body; the answer to a failed one has an errorBody. To simulate a
// lost answer, the server closes the connection without a response.
package httpapi

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// CallerHeader names the calling node.
const CallerHeader = "Amaranth-Caller"

// MaxBodyBytes is the largest request or response in bytes. Checkpoints of job
// shards are the largest objects.
const MaxBodyBytes = 32 << 20

// errorBody is the answer to a call that failed.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// codeInvalid is the code of all errors that are not in errorCodes.
const codeInvalid = "invalid_request"

// errorCodes maps the platform's errors to codes and statuses. ErrUnconfirmed has
// none: the server closes the connection instead.
var errorCodes = []struct {
	err    error
	code   string
	status int
}{
	{backing.ErrConflict, "conflict", http.StatusConflict},
	{backing.ErrNotFound, "not_found", http.StatusNotFound},
	{backing.ErrFenced, "fenced", http.StatusPreconditionFailed},
	{backing.ErrRefused, "refused", http.StatusUnprocessableEntity},
	{backing.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
}

// encodeError returns the status and body of an error.
func encodeError(err error) (int, errorBody) {
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return c.status, errorBody{c.code, err.Error()}
		}
	}
	return http.StatusBadRequest, errorBody{codeInvalid, err.Error()}
}

// decodeError returns the error with the code of body, or nil for an unknown code.
func decodeError(body errorBody) error {
	for _, c := range errorCodes {
		if body.Code == c.code {
			return c.err
		}
	}
	if body.Code == codeInvalid {
		return fmt.Errorf("platform refused the request: %s", body.Message)
	}
	return nil
}

// Duration is a time.Duration that is encoded as text in the notation of
// time.ParseDuration.
type Duration time.Duration

// MarshalText returns the duration as text, for example "1.5s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses text in the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Requests and responses of the calls.
type (
	empty struct{}

	keyRequest struct {
		Key string `json:"key"`
	}
	newerRequest struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	}
	newerResponse struct {
		Row     backing.Row `json:"row"`
		Changed bool        `json:"changed"`
	}
	changesRequest struct {
		Token string `json:"token"`
	}
	rangeRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	rowsResponse struct {
		Rows []backing.Row `json:"rows"`
	}
	versionsResponse struct {
		Versions []uint64 `json:"versions"`
	}
	putRequest struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	valueResponse struct {
		Value []byte `json:"value"`
	}
	keysResponse struct {
		Keys []string `json:"keys"`
	}
	vmRequest struct {
		VM fleet.VMID `json:"vm"`
	}
	// workerRequest is used by all calls of the worker service, each of which
	// needs some of its fields.
	workerRequest struct {
		VM       fleet.VMID        `json:"vm"`
		Lease    backing.Lease     `json:"lease"`
		TTL      Duration          `json:"ttl,omitzero"`
		Task     *backing.Task     `json:"task,omitempty"`
		Attempt  fleet.AttemptID   `json:"attempt,omitempty"`
		Attempts []fleet.AttemptID `json:"attempts,omitempty"`
		MilliCPU int64             `json:"milliCPU,omitempty"`
	}
	tasksResponse struct {
		Tasks []backing.TaskStatus `json:"tasks"`
	}
)
