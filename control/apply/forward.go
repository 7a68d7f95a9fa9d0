package apply

import (
	"context"
	"errors"
	"fmt"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control/member"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
)

// Peer methods of the coordinator.
const (
	methodBegin = "apply.begin"
	methodStep  = "apply.step"
)

// Codes of errors in the answers to peers.
const (
	codeConflict    = "conflict"
	codeInvalid     = "invalid"
	codeUnavailable = "unavailable"
	codeUnknown     = "unknown"
	codeRefused     = "refused"
)

// beginResponse is the outcome of a Begin for the entry that forwarded the
// change.
type beginResponse struct {
	Code         string         `cbor:"1,keyasint,omitempty"` // empty for success
	Message      string         `cbor:"2,keyasint,omitempty"`
	Base         fleet.Revision `cbor:"3,keyasint,omitempty"`
	HeadRevision fleet.Revision `cbor:"4,keyasint,omitempty"`
	ChangeID     string         `cbor:"5,keyasint,omitempty"`
	Revision     fleet.Revision `cbor:"6,keyasint,omitempty"`
}

// remoteOperation is a forwarded change that another member coordinates.
type remoteOperation struct {
	member string // id of the coordinating member
}

// Register registers the peer methods of the coordinator.
func (c *Coordinator) Register(router *rpc.Router) {
	rpc.Handle(router, methodBegin, c.handleBegin)
	rpc.Handle(router, methodStep, c.handleStep)
}

// forward asks a member that may coordinate changes to begin this one. It tries
// the members of this entry's data centre first, then the others, until one
// accepts the change.
func (c *Coordinator) forward(ctx context.Context, change config.Change) (*Operation, error) {
	self := c.options.Members.Self()
	var failed error
	for _, peer := range candidates(c.options.Members.List(), self.ID, self.DataCentre) {
		resp, err := c.callBegin(ctx, peer, change)
		if err != nil {
			failed = err
			continue
		}
		if resp.Code == codeRefused || resp.Code == codeUnavailable {
			failed = resp.err()
			continue
		}
		if err := resp.err(); err != nil {
			return nil, err
		}
		return &Operation{coordinator: c, change: change, started: c.options.Clock.Now(), revision: resp.Revision, remote: &remoteOperation{member: peer}}, nil
	}
	return nil, errors.Join(ErrNoCoordinator, failed)
}

// candidates returns the ids of the other members that may coordinate changes,
// those in data centre dc first.
func candidates(list member.List, self string, dc fleet.DataCentreName) []string {
	var near, far []string
	for _, e := range list.Settled() {
		switch {
		case e.Member.ID == self:
		case e.Member.DataCentre == dc:
			near = append(near, e.Member.ID)
		default:
			far = append(far, e.Member.ID)
		}
	}
	return append(near, far...)
}

func (c *Coordinator) callBegin(ctx context.Context, peer string, change config.Change) (beginResponse, error) {
	// The peer makes up to three calls to the store for each commit attempt.
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	var resp beginResponse
	err := c.options.Caller.Call(ctx, peer, methodBegin, change, &resp)
	return resp, err
}

func (c *Coordinator) handleBegin(ctx context.Context, _ string, change config.Change) (beginResponse, error) {
	if !c.options.Members.MayCoordinate() {
		return beginResponse{Code: codeRefused, Message: "this entry may not coordinate changes"}, nil
	}
	op, err := c.begin(ctx, change)
	if err != nil {
		return encodeError(err), nil
	}
	c.addOperation(op)
	return beginResponse{Revision: op.revision}, nil
}

// addOperation stores an operation, so that handleStep finds it by its change
// id. It closes and removes an earlier operation on the same change, and
// operations that were begun more than MaxWait ago.
func (c *Coordinator) addOperation(op *Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	for id, other := range c.operations {
		if other.change.ID == op.change.ID || now.Sub(other.started) > c.options.MaxWait {
			other.Close()
			delete(c.operations, id)
		}
	}
	c.operations[op.change.ID] = op
}

// handleStep runs a step of an operation that was begun for a peer. If the
// operation is not known, it returns an error, after which the peer begins
// again.
func (c *Coordinator) handleStep(ctx context.Context, _ string, id string) (Result, error) {
	c.mu.Lock()
	op := c.operations[id]
	c.mu.Unlock()
	if op == nil {
		return Result{}, &rpc.RemoteError{Code: codeUnknown, Message: "this entry has no operation on that change"}
	}
	result, err := op.Step(ctx)
	if err == nil && result.Accepted {
		c.mu.Lock()
		delete(c.operations, id)
		c.mu.Unlock()
	}
	return result, err
}

// stepRemote asks the coordinating member to run a step and returns its result.
// If the call fails, it forwards the change again and returns a pending result.
func (op *Operation) stepRemote(ctx context.Context) (Result, error) {
	if op.accepted {
		return op.result(), nil
	}
	// A step of the peer waits for the peer's relays.
	callCtx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	var result Result
	err := op.coordinator.options.Caller.Call(callCtx, op.remote.member, methodStep, op.change.ID, &result)
	if err == nil {
		op.accepted, op.took = result.Accepted, result.Took
		return result, nil
	}
	pending := Result{Revision: op.revision, Took: op.coordinator.options.Clock.Now().Sub(op.started), Waiting: []string{op.remote.member}}
	again, err := op.coordinator.forward(ctx, op.change)
	if err == nil {
		op.remote = again.remote
	}
	return pending, nil // the change is committed; only its acceptance is pending
}

// encodeError returns the response that carries an error of begin.
func encodeError(err error) beginResponse {
	resp := beginResponse{Code: codeRefused, Message: err.Error()}
	var conflict *ConflictError
	var invalid *InvalidError
	switch {
	case errors.As(err, &conflict):
		resp.Code = codeConflict
		resp.Base, resp.HeadRevision, resp.ChangeID = conflict.Base, conflict.HeadRevision, conflict.ChangeID
	case errors.As(err, &invalid):
		resp.Code = codeInvalid
	case errors.Is(err, backing.ErrUnconfirmed):
		resp.Code = codeUnknown
	case errors.Is(err, backing.ErrUnavailable):
		resp.Code = codeUnavailable
	}
	return resp
}

// err returns the error that the response carries, or nil if it reports success.
func (r beginResponse) err() error {
	switch r.Code {
	case "":
		return nil
	case codeConflict:
		return &ConflictError{Base: r.Base, HeadRevision: r.HeadRevision, ChangeID: r.ChangeID}
	case codeInvalid:
		return &InvalidError{Findings: errors.New(r.Message)}
	case codeUnknown:
		return fmt.Errorf("%w: %s", backing.ErrUnconfirmed, r.Message)
	case codeUnavailable:
		return fmt.Errorf("%w: %s", backing.ErrUnavailable, r.Message)
	default:
		return fmt.Errorf("%w: %s", ErrNoCoordinator, r.Message)
	}
}
