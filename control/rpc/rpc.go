// Package rpc defines calls between entries, independent of the transport.
// Requests and responses are encoded as CBOR.
package rpc

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxBodyBytes is the largest encoded request or response in bytes.
const MaxBodyBytes = 1 << 20

// Errors of calls.
var (
	// ErrUnreachable means that the request was not sent, so it had no effect.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrNoAnswer means that no answer arrived: the call is unconfirmed.
	ErrNoAnswer = errors.New("no answer from peer")
	// ErrUnknownMethod means that the peer has no handler for the method.
	ErrUnknownMethod = errors.New("unknown method")
)

// Caller calls methods of other entries.
type Caller interface {
	// Call encodes req, sends it to the entry with a member id and decodes the
	// answer into resp; a nil resp discards the answer. Its errors include
	// ErrUnreachable, ErrNoAnswer, ErrUnknownMethod and *RemoteError.
	Call(ctx context.Context, member, method string, req, resp any) error
}

// RemoteError is an error returned by the handler of the peer.
type RemoteError struct {
	Code    string // identifies the kind of error to programs
	Message string
}

// Error returns the code and message.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer: %s: %s", e.Code, e.Message) }

// HandlerFunc handles an encoded request and returns the encoded response; from
// is the member id of the caller.
type HandlerFunc func(ctx context.Context, from string, body []byte) ([]byte, error)

// Router dispatches requests to handlers by method.
type Router struct {
	handlers map[string]HandlerFunc
}

// NewRouter returns an empty router.
func NewRouter() *Router { return &Router{handlers: map[string]HandlerFunc{}} }

// Handle registers a typed handler for a method. It must not be called once
// requests are served. A request that cannot be decoded is answered with a
// *RemoteError with code bad_request.
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

// Serve handles one encoded request. It returns ErrUnknownMethod, wrapped, if
// the method has no handler, or the error of the handler.
func (r *Router) Serve(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	handler, ok := r.handlers[method]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownMethod, method)
	}
	return handler(ctx, from, body)
}
