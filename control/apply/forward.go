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

// Codes of remote errors.
const (
	codeConflict    = "conflict"
	codeInvalid     = "invalid"
	codeUnavailable = "unavailable"
	codeUnknown     = "unknown"
	codeRefused     = "refused"
)

// beginResponse carries the outcome of a Begin to the entry that forwarded it.
type beginResponse struct {
	Code     string         `cbor:"1,keyasint,omitempty"` // empty for success
	Message  string         `cbor:"2,keyasint,omitempty"`
	Base     fleet.Revision `cbor:"3,keyasint,omitempty"`
	Winner   fleet.Revision `cbor:"4,keyasint,omitempty"`
	Change   string         `cbor:"5,keyasint,omitempty"`
	Revision fleet.Revision `cbor:"6,keyasint,omitempty"`
}

// remote is an operation that another member coordinates.
type remote struct {
	member string
}

// Register registers the peer methods of the coordinator.
func (c *Coordinator) Register(router *rpc.Router) {
	rpc.Handle(router, methodBegin, c.handleBegin)
	rpc.Handle(router, methodStep, c.handleStep)
}

// forward hands a change to a member that may coordinate, own data centre first.
func (c *Coordinator) forward(ctx context.Context, change config.Change) (*Operation, error) {
	self := c.o.Members.Self()
	var failed error
	for _, peer := range candidates(c.o.Members.List(), self.ID, self.DataCentre) {
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
		return &Operation{c: c, change: change, started: c.o.Clock.Now(), revision: resp.Revision, remote: &remote{member: peer}}, nil
	}
	return nil, errors.Join(ErrNoCoordinator, failed)
}

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
	// The peer makes up to three calls of the store for each attempt.
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	var resp beginResponse
	err := c.o.Caller.Call(ctx, peer, methodBegin, change, &resp)
	return resp, err
}

func (c *Coordinator) handleBegin(ctx context.Context, _ string, change config.Change) (beginResponse, error) {
	if !c.o.Members.MayCoordinate() {
		return beginResponse{Code: codeRefused, Message: "this entry may not coordinate changes"}, nil
	}
	op, err := c.begin(ctx, change)
	if err != nil {
		return encodeError(err), nil
	}
	c.keep(op)
	return beginResponse{Revision: op.revision}, nil
}

// keep holds an operation for the steps that the forwarding entry asks for.
func (c *Coordinator) keep(op *Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	for id, other := range c.running {
		if other.change.ID == op.change.ID || now.Sub(other.started) > c.o.MaxWait {
			other.Close()
			delete(c.running, id)
		}
	}
	c.running[op.change.ID] = op
}

// handleStep continues an operation that was begun for a peer. The peer begins
// again where the operation is not known.
func (c *Coordinator) handleStep(ctx context.Context, _ string, id string) (Result, error) {
	c.mu.Lock()
	op := c.running[id]
	c.mu.Unlock()
	if op == nil {
		return Result{}, &rpc.RemoteError{Code: codeUnknown, Message: "no such operation"}
	}
	result, err := op.Step(ctx)
	if err == nil && result.Accepted {
		c.mu.Lock()
		delete(c.running, id)
		c.mu.Unlock()
	}
	return result, err
}

// stepRemote asks the coordinating member where the change stands. If it does
// not answer, the change is handed to another one.
func (o *Operation) stepRemote(ctx context.Context) (Result, error) {
	if o.accepted {
		return o.result(), nil
	}
	// A step of the peer waits for its relays.
	callCtx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	var result Result
	err := o.c.o.Caller.Call(callCtx, o.remote.member, methodStep, o.change.ID, &result)
	if err == nil {
		o.accepted, o.took = result.Accepted, result.Took
		return result, nil
	}
	pending := Result{Revision: o.revision, Took: o.c.o.Clock.Now().Sub(o.started), Waiting: []string{o.remote.member}}
	again, err := o.c.forward(ctx, o.change)
	if err == nil {
		o.remote = again.remote
	}
	return pending, nil // the change is committed, so nothing but its acceptance is open
}

func encodeError(err error) beginResponse {
	resp := beginResponse{Code: codeRefused, Message: err.Error()}
	var conflict *ConflictError
	var invalid *InvalidError
	switch {
	case errors.As(err, &conflict):
		resp.Code = codeConflict
		resp.Base, resp.Winner, resp.Change = conflict.Base, conflict.Winner, conflict.Change
	case errors.As(err, &invalid):
		resp.Code = codeInvalid
	case errors.Is(err, backing.ErrUnknown):
		resp.Code = codeUnknown
	case errors.Is(err, backing.ErrUnavailable):
		resp.Code = codeUnavailable
	}
	return resp
}

// err returns the error that the response carries.
func (r beginResponse) err() error {
	switch r.Code {
	case "":
		return nil
	case codeConflict:
		return &ConflictError{Base: r.Base, Winner: r.Winner, Change: r.Change}
	case codeInvalid:
		return &InvalidError{Findings: errors.New(r.Message)}
	case codeUnknown:
		return fmt.Errorf("%w: %s", backing.ErrUnknown, r.Message)
	case codeUnavailable:
		return fmt.Errorf("%w: %s", backing.ErrUnavailable, r.Message)
	default:
		return fmt.Errorf("%w: %s", ErrNoCoordinator, r.Message)
	}
}
