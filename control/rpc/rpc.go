// Package rpc declares how control code talks to other entries, apart from the
// transport. Requests and responses are CBOR-encoded structs.
package rpc

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest encoded request or response in bytes.
const MaxBody = 1 << 20

// Errors of calls.
var (
	// ErrUnreachable means that the request was not sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrNoAnswer means that the request may have been handled.
	ErrNoAnswer = errors.New("no answer from peer")
	// ErrUnknownMethod means that the peer does not know the method.
	ErrUnknownMethod = errors.New("unknown method")
)

// Caller calls methods of other entries by member id.
type Caller interface {
	// Call encodes req, sends it to a member and decodes the answer into resp,
	// which may be nil. It returns ErrUnreachable, ErrNoAnswer,
	// ErrUnknownMethod or a *RemoteError.
	Call(ctx context.Context, member, method string, req, resp any) error
}

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Code    string // tested by programs
	Message string
}

// Error returns the code and message.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer: %s: %s", e.Code, e.Message) }

// HandlerFunc answers one request; from is the member id of the caller.
type HandlerFunc func(ctx context.Context, from string, body []byte) ([]byte, error)

// Router dispatches requests to handlers by method.
type Router struct {
	handlers map[string]HandlerFunc
}

// NewRouter returns an empty router.
func NewRouter() *Router { return &Router{handlers: map[string]HandlerFunc{}} }

// Handle registers a typed handler. It is not safe once requests are served.
func Handle[Req, Resp any](r *Router, method string, fn func(ctx context.Context, from string, req Req) (Resp, error)) {
	r.handlers[method] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, &RemoteError{Code: "bad_request", Message: fmt.Sprintf("decode %s: %v", method, err)}
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	}
}

// Serve answers one encoded request.
func (r *Router) Serve(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	handler, ok := r.handlers[method]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownMethod, method)
	}
	return handler(ctx, from, body)
}
