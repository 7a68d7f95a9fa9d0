package entry

import (
	"context"
	"time"

	"amaranthfork.example/control/slots"
	"amaranthfork.example/control/upkeep"
	"amaranthfork.example/fleet"
)

const inspectTimeout = 2 * time.Second // of a call to a VM's owner

// vmDispatch gives the pool and maintenance controllers access to the owners of VMs.
type vmDispatch struct{ slots *slots.Slots }

var _ upkeep.Dispatch = (*vmDispatch)(nil)

// Idle reports whether nothing runs on the VM and its owner starts no further task on
// it. It returns an error if the owner does not answer.
func (d *vmDispatch) Idle(vm fleet.VMID) (bool, error) {
	inspection, err := d.inspect(vm)
	if err != nil {
		return false, err
	}
	return !inspection.Active && inspection.Running == 0 && inspection.Reserved == 0, nil
}

// Running returns the tasks of a VM, or an error if its owner does not answer.
func (d *vmDispatch) Running(vm fleet.VMID) ([]upkeep.RunningTask, error) {
	inspection, err := d.inspect(vm)
	if err != nil {
		return nil, err
	}
	tasks := make([]upkeep.RunningTask, 0, len(inspection.Tasks))
	for _, t := range inspection.Tasks {
		tasks = append(tasks, upkeep.RunningTask{ID: t.Attempt, End: t.EstimatedEnd, Deadline: t.Deadline, CanCheckpoint: true})
	}
	return tasks, nil
}

func (d *vmDispatch) inspect(vm fleet.VMID) (slots.Inspection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	return d.slots.Inspect(ctx, vm)
}

// Checkpoint requests a checkpoint of a task and stops it.
func (d *vmDispatch) Checkpoint(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) error {
	return d.slots.Checkpoint(ctx, vm, attempt)
}
