package slots

import (
	"context"
	"errors"
	"sort"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/sharding"
)

// RPC methods between entries.
const (
	methodReserve = "slots.reserve"
	methodStart   = "slots.start"
	methodRelease = "slots.release"
	methodCancel  = "slots.cancel"
	methodLookup  = "slots.lookup"
	methodStatus  = "slots.status"
	methodDigest  = "slots.digest"
)

const (
	// maxForwardOwners is the maximum number of other owners that an entry asks
	// when it cannot place a task on its own VMs.
	maxForwardOwners = 3
	// maxRemoteEntries is the maximum number of entries of another data centre
	// that are called, including the first; the next is called only if the one
	// before cannot be reached.
	maxRemoteEntries = 2
)

type reserveRequest struct {
	DataCentre fleet.DataCentreName   `cbor:"1,keyasint"`
	Request    control.ReserveRequest `cbor:"2,keyasint"`
	Forward    bool                   `cbor:"3,keyasint,omitempty"` // the receiver may forward it to other owners
}

type reserveResponse struct {
	Reservation control.Reservation `cbor:"1,keyasint"`
	Error       wireError           `cbor:"2,keyasint"`
}

// wireError is the encoded form of an error. With a Reason it stands for a
// *fleet.Refusal, with NotFound for backing.ErrNotFound; all zero means no error.
type wireError struct {
	Reason     fleet.Reason  `cbor:"1,keyasint,omitempty"`
	Detail     string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	NotFound   bool          `cbor:"4,keyasint,omitempty"`
}

func newWireError(err error) wireError {
	var refusal *fleet.Refusal
	switch {
	case err == nil:
		return wireError{}
	case errors.As(err, &refusal):
		return wireError{Reason: refusal.Reason, Detail: refusal.Detail, RetryAfter: refusal.RetryAfter}
	case errors.Is(err, backing.ErrNotFound):
		return wireError{NotFound: true, Detail: err.Error()}
	default:
		return wireError{Detail: err.Error()}
	}
}

func (e wireError) err() error {
	switch {
	case e.Reason != "":
		return &fleet.Refusal{Reason: e.Reason, Detail: e.Detail, RetryAfter: e.RetryAfter}
	case e.NotFound:
		return backing.ErrNotFound
	case e.Detail != "":
		return errors.New(e.Detail)
	default:
		return nil
	}
}

type startRequest struct {
	Reservation control.Reservation `cbor:"1,keyasint"`
	Task        backing.Task        `cbor:"2,keyasint"`
}

// attemptRequest names a VM and, for methods on one attempt, the attempt.
type attemptRequest struct {
	VM      fleet.VMID      `cbor:"1,keyasint"`
	Attempt fleet.AttemptID `cbor:"2,keyasint"`
}

type lookupResponse struct {
	Status backing.TaskStatus `cbor:"1,keyasint"`
	End    *control.TaskEnd   `cbor:"2,keyasint,omitempty"`
	Known  bool               `cbor:"3,keyasint"`
}

func (s *Slots) register(router *rpc.Router) {
	s.registerInspect(router)
	rpc.Handle(router, methodReserve, func(ctx context.Context, _ string, req reserveRequest) (reserveResponse, error) {
		res, err := s.reserveInDC(ctx, req.DataCentre, req.Request, req.Forward)
		return reserveResponse{Reservation: res, Error: newWireError(err)}, nil
	})
	rpc.Handle(router, methodStart, func(ctx context.Context, _ string, req startRequest) (wireError, error) {
		return newWireError(s.startLocal(ctx, req.Reservation, req.Task)), nil
	})
	rpc.Handle(router, methodRelease, func(_ context.Context, _ string, res control.Reservation) (struct{}, error) {
		s.releaseLocal(res)
		return struct{}{}, nil
	})
	rpc.Handle(router, methodCancel, func(_ context.Context, _ string, req attemptRequest) (wireError, error) {
		return newWireError(s.cancelLocal(req.VM, req.Attempt)), nil
	})
	rpc.Handle(router, methodLookup, func(ctx context.Context, _ string, req attemptRequest) (lookupResponse, error) {
		answer := s.lookupLocal(ctx, req.VM, req.Attempt)
		return lookupResponse{Status: answer.status, End: answer.end, Known: answer.known}, nil
	})
	rpc.Handle(router, methodStatus, func(_ context.Context, _ string, req attemptRequest) (VMStatus, error) {
		status, ok := s.Status(req.VM)
		if !ok {
			return VMStatus{}, &rpc.RemoteError{Code: "not_owner", Message: errNotOwner.Error()}
		}
		return status, nil
	})
	rpc.Handle(router, methodDigest, func(_ context.Context, from string, msg digestMessage) (struct{}, error) {
		return struct{}{}, s.mergeDigest(from, msg)
	})
}

// Reserve implements control.Dispatcher.
func (s *Slots) Reserve(ctx context.Context, dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	s.mu.Lock()
	serving := s.currentOwners().serving(dc)
	err := s.checkDispatchAllowed(dc)
	s.unlock()
	if err != nil {
		return control.Reservation{}, err
	}
	if contains(serving, s.self) {
		return s.reserveInDC(ctx, dc, req, true)
	}
	request := reserveRequest{DataCentre: dc, Request: req, Forward: true}
	entries := sharding.Rank("reserve/"+string(req.Attempt), serving)
	return s.reserveRemote(ctx, entries[:min(maxRemoteEntries, len(entries))], request)
}

// checkDispatchAllowed returns nil if this entry, as the owner of a job, may ask
// the owners of VMs in a data centre for slots.
func (s *Slots) checkDispatchAllowed(dc fleet.DataCentreName) error {
	if err := s.options.Membership.Valid(); err != nil {
		return err
	}
	if err := s.options.View.Fresh(); err != nil {
		return err
	}
	snapshot := s.options.View.Snapshot()
	if snapshot != nil && snapshot.DataCentres[dc].State == fleet.DataCentreOut {
		return refuse(fleet.ReasonDataCentreOut, viewRetryAfter, string(dc))
	}
	return nil
}

// reserveRemote asks members in order until one can be reached. A reservation
// whose answer is lost expires by itself.
func (s *Slots) reserveRemote(ctx context.Context, members []string, request reserveRequest) (control.Reservation, error) {
	for _, member := range members {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var response reserveResponse
		err := s.options.Caller.Call(callCtx, member, methodReserve, request, &response)
		cancel()
		if errors.Is(err, rpc.ErrUnreachable) {
			continue
		}
		if err != nil {
			return control.Reservation{}, refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "reserve at "+member+": "+err.Error())
		}
		return response.Reservation, response.Error.err()
	}
	return control.Reservation{}, refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "no entry of "+string(request.DataCentre)+" can be reached")
}

// reserveInDC reserves a slot on a VM of the data centre that this entry owns.
// If there is none and forward is set, it asks other owners in the data centre.
func (s *Slots) reserveInDC(ctx context.Context, dc fleet.DataCentreName, req control.ReserveRequest, forward bool) (control.Reservation, error) {
	res, err := s.reserveLocal(dc, req)
	var refusal *fleet.Refusal
	if err == nil || !forward || !errors.As(err, &refusal) || refusal.Reason != fleet.ReasonNoCapacity {
		return res, err
	}
	for _, member := range s.forwardCandidates(dc, req) {
		res, remoteErr := s.reserveRemote(ctx, []string{member}, reserveRequest{DataCentre: dc, Request: req})
		if remoteErr == nil {
			s.adjustDigest(member, dc, req.Pool, false)
			return res, nil
		}
		if errors.As(remoteErr, &refusal) && refusal.Reason == fleet.ReasonNoCapacity {
			s.adjustDigest(member, dc, req.Pool, true)
		}
		err = remoteErr
	}
	return control.Reservation{}, err
}

// forwardCandidates returns up to maxForwardOwners other owners of VMs of the
// pool in the data centre, the one with the most expected free slots first.
func (s *Slots) forwardCandidates(dc fleet.DataCentreName, req control.ReserveRequest) []string {
	s.mu.Lock()
	defer s.unlock()
	type candidate struct {
		member   string
		expected float64
	}
	var found []candidate
	now := s.options.Clock.Now()
	for member, slots := range s.totals[totalKey{req.Pool, dc}].byOwner {
		if member == s.self {
			continue
		}
		if expected := s.expectedFree(member, dc, req.Pool, slots, now); expected > 0 {
			found = append(found, candidate{member, expected})
		}
	}
	sort.Slice(found, func(i, j int) bool {
		return found[i].expected > found[j].expected ||
			found[i].expected == found[j].expected && found[i].member < found[j].member
	})
	members := make([]string, 0, maxForwardOwners)
	for _, c := range found[:min(maxForwardOwners, len(found))] {
		members = append(members, c.member)
	}
	return members
}

func contains(list []string, item string) bool {
	for _, have := range list {
		if have == item {
			return true
		}
	}
	return false
}

// Start implements control.Dispatcher.
func (s *Slots) Start(ctx context.Context, res control.Reservation, task backing.Task) error {
	if res.Owner == s.self {
		return s.startLocal(ctx, res, task)
	}
	s.mu.Lock()
	err := s.checkDispatchAllowed(res.DataCentre)
	s.unlock()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var response wireError
	err = s.options.Caller.Call(callCtx, res.Owner, methodStart, startRequest{Reservation: res, Task: task}, &response)
	if errors.Is(err, rpc.ErrUnreachable) || errors.Is(err, rpc.ErrUnknownMethod) {
		return refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "owner of the VM cannot be reached: "+err.Error())
	}
	if err != nil {
		return unconfirmedError("owner %s: %w", res.Owner, err)
	}
	return response.err()
}

// Release implements control.Dispatcher.
func (s *Slots) Release(ctx context.Context, res control.Reservation) {
	if res.Owner == s.self {
		s.releaseLocal(res)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = s.options.Caller.Call(ctx, res.Owner, methodRelease, res, nil) // the reservation expires by itself
}

// Cancel implements control.Dispatcher.
func (s *Slots) Cancel(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) error {
	owner := s.ownerOf(vm)
	if owner == s.self {
		return s.cancelLocal(vm, attempt)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var response wireError
	if err := s.options.Caller.Call(ctx, owner, methodCancel, attemptRequest{vm, attempt}, &response); err != nil {
		return err
	}
	return response.err()
}

// Lookup implements control.Dispatcher. An attempt on a VM counts as lost when
// the VM has been missing from the VM list for longer than tasks can run without
// a renewed lease.
func (s *Slots) Lookup(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) (backing.TaskStatus, *control.TaskEnd, bool) {
	owner := s.ownerOf(vm)
	switch owner {
	case s.self:
		answer := s.lookupLocal(ctx, vm, attempt)
		return answer.status, answer.end, answer.known
	case "":
		return s.lookupMissing(vm, attempt)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var response lookupResponse
	if err := s.options.Caller.Call(ctx, owner, methodLookup, attemptRequest{vm, attempt}, &response); err != nil {
		return backing.TaskStatus{}, nil, false
	}
	return response.Status, response.End, response.Known
}

// ownerOf returns the owner of a VM, "" if the VM is not known.
func (s *Slots) ownerOf(vm fleet.VMID) string {
	s.mu.Lock()
	defer s.unlock()
	known, ok := s.knownVMs[vm]
	if !ok {
		return ""
	}
	return s.currentOwners().owner(vm, known.DataCentre)
}

// lookupMissing answers for a VM that is not known. The attempt counts as lost
// leaseBound after the first lookup of the VM.
func (s *Slots) lookupMissing(vm fleet.VMID, attempt fleet.AttemptID) (backing.TaskStatus, *control.TaskEnd, bool) {
	s.mu.Lock()
	defer s.unlock()
	now := s.options.Clock.Now()
	since, ok := s.unlistedSince[vm]
	if !ok {
		s.unlistedSince[vm] = now
		return backing.TaskStatus{}, nil, false
	}
	if now.Sub(since) < leaseBound || now.Sub(s.listedAt) > listMaxAge {
		return backing.TaskStatus{}, nil, false
	}
	return backing.TaskStatus{}, &control.TaskEnd{Attempt: attempt, VM: vm, Detail: "VM gone"}, true
}

// VMStatus asks the owner of a VM for its state. It returns an error if the VM
// is not known or its owner did not answer within callTimeout.
func (s *Slots) VMStatus(ctx context.Context, vm fleet.VMID) (VMStatus, error) {
	owner := s.ownerOf(vm)
	if owner == s.self {
		if status, ok := s.Status(vm); ok {
			return status, nil
		}
	}
	if owner == s.self || owner == "" {
		return VMStatus{}, errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var status VMStatus
	err := s.options.Caller.Call(ctx, owner, methodStatus, attemptRequest{VM: vm}, &status)
	return status, err
}
