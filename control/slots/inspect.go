package slots

import (
	"context"
	"sort"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
)

const (
	methodInspect    = "slots.inspect"
	methodCheckpoint = "slots.checkpoint"
)

// RunningTask is a task that runs on a VM.
type RunningTask struct {
	Attempt      fleet.AttemptID `cbor:"1,keyasint"`
	Class        fleet.Class     `cbor:"2,keyasint,omitempty"` // empty if taken over from another owner
	EstimatedEnd time.Time       `cbor:"3,keyasint,omitempty"` // zero if not known
	Deadline     time.Time       `cbor:"4,keyasint,omitempty"` // the job's deadline, zero if none or not known
}

// Inspection is the state of a VM and its tasks, as its owner reports it to the
// pool and maintenance controllers.
type Inspection struct {
	VMStatus
	// Active is set while the owner may start tasks on the VM. Once it is not,
	// the owner starts none until it has read a newer assignment.
	Active bool          `cbor:"5,keyasint"`
	Tasks  []RunningTask `cbor:"6,keyasint,omitempty"`
}

func (s *Slots) registerInspect(router *rpc.Router) {
	rpc.Handle(router, methodInspect, func(_ context.Context, _ string, req attemptRequest) (Inspection, error) {
		inspection, ok := s.inspectLocal(req.VM)
		if !ok {
			return Inspection{}, &rpc.RemoteError{Code: "not_owner", Message: errNotOwner.Error()}
		}
		return inspection, nil
	})
	rpc.Handle(router, methodCheckpoint, func(ctx context.Context, _ string, req attemptRequest) (wireError, error) {
		return newWireError(s.checkpointLocal(ctx, req.VM, req.Attempt)), nil
	})
}

// Inspect asks the owner of a VM for its state and tasks. It returns an error if
// the VM is not known or its owner did not answer within callTimeout.
func (s *Slots) Inspect(ctx context.Context, vm fleet.VMID) (Inspection, error) {
	owner := s.ownerOf(vm)
	if owner == s.self {
		if inspection, ok := s.inspectLocal(vm); ok {
			return inspection, nil
		}
	}
	if owner == s.self || owner == "" {
		return Inspection{}, errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var inspection Inspection
	err := s.options.Caller.Call(ctx, owner, methodInspect, attemptRequest{VM: vm}, &inspection)
	return inspection, err
}

// inspectLocal reads the assignment before the slots: a start that was checked
// against an older assignment still shows as a reservation.
func (s *Slots) inspectLocal(vm fleet.VMID) (Inspection, bool) {
	assigned, known := s.options.Pools.Assignment(vm)
	status, ok := s.Status(vm)
	if !ok {
		return Inspection{}, false
	}
	inspection := Inspection{VMStatus: status, Active: !known || assigned.State == placement.Active}
	s.mu.Lock()
	defer s.unlock()
	if v := s.vms[vm]; v != nil {
		for id, sl := range v.slots {
			if sl.phase == running {
				inspection.Tasks = append(inspection.Tasks, RunningTask{Attempt: id, Class: sl.class, EstimatedEnd: sl.estimatedEnd, Deadline: sl.deadline})
			}
		}
	}
	sort.Slice(inspection.Tasks, func(i, j int) bool { return inspection.Tasks[i].Attempt < inspection.Tasks[j].Attempt })
	return inspection, true
}

// Checkpoint asks the worker, through the owner of the VM, to checkpoint a task
// and stop it. It returns backing.ErrNotFound if the attempt has no slot on the
// VM, an error if the VM is not known, or the error of the call.
func (s *Slots) Checkpoint(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) error {
	owner := s.ownerOf(vm)
	if owner == s.self {
		return s.checkpointLocal(ctx, vm, attempt)
	}
	if owner == "" {
		return errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var response wireError
	if err := s.options.Caller.Call(ctx, owner, methodCheckpoint, attemptRequest{VM: vm, Attempt: attempt}, &response); err != nil {
		return err
	}
	return response.err()
}

func (s *Slots) checkpointLocal(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) error {
	s.mu.Lock()
	v := s.vms[vm]
	if v == nil {
		s.unlock()
		return errNotOwner
	}
	sl := v.slots[attempt]
	lease := backing.Lease{Holder: s.self, Epoch: v.epoch}
	s.unlock()
	if sl == nil {
		return backing.ErrNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.options.Workers.Checkpoint(ctx, vm, lease, attempt)
}

// VMLoad is the load of one VM.
type VMLoad struct {
	VM           fleet.VMID `cbor:"1,keyasint"`
	Tasks        int        `cbor:"2,keyasint"`           // running tasks, starts and reservations
	EstimatedEnd time.Time  `cbor:"3,keyasint,omitempty"` // estimated end of the last running task
}

// Loads returns the load of the VMs that this entry owns, ordered by VM.
func (s *Slots) Loads() []VMLoad {
	s.mu.Lock()
	defer s.unlock()
	loads := make([]VMLoad, 0, len(s.vms))
	for id, v := range s.vms {
		l := VMLoad{VM: id, Tasks: len(v.slots)}
		for _, sl := range v.slots {
			if sl.estimatedEnd.After(l.EstimatedEnd) {
				l.EstimatedEnd = sl.estimatedEnd
			}
		}
		loads = append(loads, l)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].VM < loads[j].VM })
	return loads
}
