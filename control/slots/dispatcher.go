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

// Methods between entries.
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
	// forwardTries bounds the owners that one entry of a data centre asks.
	forwardTries = 3
	// remoteTries bounds the entries of another data centre that are tried
	// when the first cannot be reached.
	remoteTries = 2
)

type reserveRequest struct {
	DataCentre fleet.DataCentreName   `cbor:"1,keyasint"`
	Request    control.ReserveRequest `cbor:"2,keyasint"`
	Forward    bool                   `cbor:"3,keyasint,omitempty"` // may be passed on once
}

type reserveResponse struct {
	Reservation control.Reservation `cbor:"1,keyasint"`
	Fault       fault               `cbor:"2,keyasint"`
}

// fault carries an error; a reason makes it a *fleet.Refusal.
type fault struct {
	Reason     fleet.Reason  `cbor:"1,keyasint,omitempty"`
	Detail     string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	NotFound   bool          `cbor:"4,keyasint,omitempty"`
}

func faultOf(err error) fault {
	var refusal *fleet.Refusal
	switch {
	case err == nil:
		return fault{}
	case errors.As(err, &refusal):
		return fault{Reason: refusal.Reason, Detail: refusal.Detail, RetryAfter: refusal.RetryAfter}
	case errors.Is(err, backing.ErrNotFound):
		return fault{NotFound: true, Detail: err.Error()}
	default:
		return fault{Detail: err.Error()}
	}
}

func (f fault) err() error {
	switch {
	case f.Reason != "":
		return &fleet.Refusal{Reason: f.Reason, Detail: f.Detail, RetryAfter: f.RetryAfter}
	case f.NotFound:
		return backing.ErrNotFound
	case f.Detail != "":
		return errors.New(f.Detail)
	default:
		return nil
	}
}

type startRequest struct {
	Reservation control.Reservation `cbor:"1,keyasint"`
	Task        backing.Task        `cbor:"2,keyasint"`
}

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
		res, err := s.reserveIn(ctx, req.DataCentre, req.Request, req.Forward)
		return reserveResponse{Reservation: res, Fault: faultOf(err)}, nil
	})
	rpc.Handle(router, methodStart, func(ctx context.Context, _ string, req startRequest) (fault, error) {
		return faultOf(s.startLocal(ctx, req.Reservation, req.Task)), nil
	})
	rpc.Handle(router, methodRelease, func(_ context.Context, _ string, res control.Reservation) (struct{}, error) {
		s.releaseLocal(res)
		return struct{}{}, nil
	})
	rpc.Handle(router, methodCancel, func(_ context.Context, _ string, req attemptRequest) (fault, error) {
		return faultOf(s.cancelLocal(req.VM, req.Attempt)), nil
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
		return struct{}{}, s.takeDigest(from, msg)
	})
}

// Reserve implements control.Dispatcher.
func (s *Slots) Reserve(ctx context.Context, dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	s.mu.Lock()
	serving := s.shardMapNow().serving(dc)
	err := s.maySend(dc)
	s.unlock()
	if err != nil {
		return control.Reservation{}, err
	}
	if contains(serving, s.self) {
		return s.reserveIn(ctx, dc, req, true)
	}
	request := reserveRequest{DataCentre: dc, Request: req, Forward: true}
	entries := sharding.Rank("reserve/"+string(req.Attempt), serving)
	return s.reserveAt(ctx, entries[:min(remoteTries, len(entries))], request)
}

// maySend makes the checks of a job owner before it asks the owners of VMs.
func (s *Slots) maySend(dc fleet.DataCentreName) error {
	if err := s.o.Membership.Valid(); err != nil {
		return err
	}
	if err := s.o.View.Fresh(); err != nil {
		return err
	}
	snapshot := s.o.View.Snapshot()
	if snapshot != nil && snapshot.DataCentres[dc].State == fleet.DataCentreOut {
		return refuse(fleet.ReasonDataCentreOut, retryView, string(dc))
	}
	return nil
}

// reserveAt asks members in order until one answers. A reservation whose
// answer is lost expires by itself.
func (s *Slots) reserveAt(ctx context.Context, members []string, request reserveRequest) (control.Reservation, error) {
	for _, member := range members {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var response reserveResponse
		err := s.o.Caller.Call(callCtx, member, methodReserve, request, &response)
		cancel()
		if errors.Is(err, rpc.ErrUnreachable) {
			continue
		}
		if err != nil {
			return control.Reservation{}, refuse(fleet.ReasonNoCapacity, retrySoon, "reserve at "+member+": "+err.Error())
		}
		return response.Reservation, response.Fault.err()
	}
	return control.Reservation{}, refuse(fleet.ReasonNoCapacity, retrySoon, "no entry of "+string(request.DataCentre)+" can be reached")
}

// reserveIn reserves on an own VM of the data centre or, if that fails and
// forward is set, on a VM of another owner.
func (s *Slots) reserveIn(ctx context.Context, dc fleet.DataCentreName, req control.ReserveRequest, forward bool) (control.Reservation, error) {
	res, err := s.reserveLocal(dc, req)
	var refusal *fleet.Refusal
	if err == nil || !forward || !errors.As(err, &refusal) || refusal.Reason != fleet.ReasonNoCapacity {
		return res, err
	}
	for _, member := range s.candidates(dc, req) {
		res, remoteErr := s.reserveAt(ctx, []string{member}, reserveRequest{DataCentre: dc, Request: req})
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

// candidates returns other owners of VMs of the pool, the one with the most
// expected free slots first.
func (s *Slots) candidates(dc fleet.DataCentreName, req control.ReserveRequest) []string {
	s.mu.Lock()
	defer s.unlock()
	type candidate struct {
		member   string
		expected float64
	}
	var found []candidate
	now := s.o.Clock.Now()
	for member, slots := range s.totals[totalKey{req.Pool, dc}].byOwner {
		if member == s.self {
			continue
		}
		if expected := s.expected(member, dc, req.Pool, slots, now); expected > 0 {
			found = append(found, candidate{member, expected})
		}
	}
	sort.Slice(found, func(i, j int) bool {
		return found[i].expected > found[j].expected ||
			found[i].expected == found[j].expected && found[i].member < found[j].member
	})
	members := make([]string, 0, forwardTries)
	for _, c := range found[:min(forwardTries, len(found))] {
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
	err := s.maySend(res.DataCentre)
	s.unlock()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var response fault
	err = s.o.Caller.Call(callCtx, res.Owner, methodStart, startRequest{Reservation: res, Task: task}, &response)
	if errors.Is(err, rpc.ErrUnreachable) || errors.Is(err, rpc.ErrUnknownMethod) {
		return refuse(fleet.ReasonNoCapacity, retrySoon, "owner of the VM not reached: "+err.Error())
	}
	if err != nil {
		return openError("owner %s: %w", res.Owner, err)
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
	_ = s.o.Caller.Call(ctx, res.Owner, methodRelease, res, nil) // the reservation expires by itself
}

// Cancel implements control.Dispatcher.
func (s *Slots) Cancel(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) error {
	owner := s.ownerOf(vm)
	if owner == s.self {
		return s.cancelLocal(vm, attempt)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var response fault
	if err := s.o.Caller.Call(ctx, owner, methodCancel, attemptRequest{vm, attempt}, &response); err != nil {
		return err
	}
	return response.err()
}

// Lookup implements control.Dispatcher. A VM that has been missing from the VM
// list for longer than its tasks can run without a lease counts as lost.
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
	if err := s.o.Caller.Call(ctx, owner, methodLookup, attemptRequest{vm, attempt}, &response); err != nil {
		return backing.TaskStatus{}, nil, false
	}
	return response.Status, response.End, response.Known
}

func (s *Slots) ownerOf(vm fleet.VMID) string {
	s.mu.Lock()
	defer s.unlock()
	entry, ok := s.known[vm]
	if !ok {
		return ""
	}
	return s.shardMapNow().owner(vm, entry.DataCentre)
}

func (s *Slots) lookupMissing(vm fleet.VMID, attempt fleet.AttemptID) (backing.TaskStatus, *control.TaskEnd, bool) {
	s.mu.Lock()
	defer s.unlock()
	now := s.o.Clock.Now()
	since, ok := s.missing[vm]
	if !ok {
		s.missing[vm] = now
		return backing.TaskStatus{}, nil, false
	}
	if now.Sub(since) < lostAfter || now.Sub(s.listedAt) > listUse {
		return backing.TaskStatus{}, nil, false
	}
	return backing.TaskStatus{}, &control.TaskEnd{Attempt: attempt, VM: vm, Detail: "VM gone"}, true
}

// VMStatus asks the owner of a VM for its state.
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
	err := s.o.Caller.Call(ctx, owner, methodStatus, attemptRequest{VM: vm}, &status)
	return status, err
}
