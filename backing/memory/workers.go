package memory

import (
	"context"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Run describes how a task runs on a worker.
type Run struct {
	Time         time.Duration   // run time at full speed
	Failed       bool            // the task fails when Time is over
	Body         []byte          // answer of a task that completes
	Detail       string          // reported with the end of the task
	Usage        fleet.Resources // what the task really uses
	NoCheckpoint bool            // the task cannot be checkpointed
}

// Runner decides how a task that starts at a time runs. It is called at each start
// and must not call the platform, whose lock is held.
type Runner func(vm fleet.VMID, task backing.Task, at time.Time) Run

// EchoRunner completes each task after 1 s, with its payload as the answer and its
// need as the usage.
func EchoRunner(_ fleet.VMID, task backing.Task, _ time.Time) Run {
	return Run{Time: time.Second, Body: task.Payload, Usage: task.Need}
}

// Workers is the worker control service in memory. All calls but Acquire need the
// current dispatch lease of the worker, and return ErrFenced otherwise. Calls to a
// worker that does not answer return ErrUnavailable.
type Workers struct {
	Faults *Faults // of the path to the service; nil means none
	data   *inventory
}

var _ backing.Workers = (*Workers)(nil)

// Via returns the same service as reached over another path.
func (w *Workers) Via(faults *Faults) *Workers { return &Workers{Faults: faults, data: w.data} }

// Acquire obtains or renews the dispatch lease of a VM. Running tasks continue under
// the new lease.
func (w *Workers) Acquire(ctx context.Context, id fleet.VMID, lease backing.Lease, ttl time.Duration) error {
	return w.write(ctx, id, func(v *vm, now time.Time) error {
		return v.worker.acquire(now, lease, ttl)
	})
}

// Start starts a task. It returns ErrRefused if the VM is leaving, has no free slot
// or no room for the need of the task, and nil without effect for a task id that
// the worker knows.
func (w *Workers) Start(ctx context.Context, id fleet.VMID, lease backing.Lease, task backing.Task) error {
	return w.withLease(ctx, id, lease, func(v *vm, now time.Time) error {
		return w.data.startTask(v, now, task)
	})
}

// Tasks returns the running tasks and the ended ones that were not dropped with
// Forget, in the order of their starts.
func (w *Workers) Tasks(ctx context.Context, id fleet.VMID, lease backing.Lease) ([]backing.TaskStatus, error) {
	if err := w.Faults.read(ctx); err != nil {
		return nil, err
	}
	var list []backing.TaskStatus
	err := w.call(id, func(v *vm, now time.Time) error {
		if err := v.worker.checkLease(now, lease); err != nil {
			return err
		}
		list = v.worker.statuses(now, w.data.usageLag)
		return nil
	})
	return list, err
}

// Forget drops ended tasks from the list of the worker. Ids of running or unknown
// tasks are ignored.
func (w *Workers) Forget(ctx context.Context, id fleet.VMID, lease backing.Lease, ids []fleet.AttemptID) error {
	return w.withLease(ctx, id, lease, func(v *vm, _ time.Time) error {
		v.worker.forget(ids)
		return nil
	})
}

// Checkpoint stops a running task so that the next start of the same step, on any
// VM, resumes there. It returns ErrRefused for a task that cannot be checkpointed,
// ErrNotFound for an unknown one, and nil without effect for an ended one.
func (w *Workers) Checkpoint(ctx context.Context, id fleet.VMID, lease backing.Lease, attempt fleet.AttemptID) error {
	return w.onTask(ctx, id, lease, attempt, func(t *task, now time.Time) error {
		if t.run.NoCheckpoint {
			return backing.ErrRefused
		}
		w.data.checkpointTask(t, now, "checkpointed on request")
		return nil
	})
}

// Throttle limits the processor use of a running task to milliCPU thousandths of a
// processor; its remaining run time grows in proportion. A limit of 0 or less
// removes the throttle.
func (w *Workers) Throttle(ctx context.Context, id fleet.VMID, lease backing.Lease, attempt fleet.AttemptID, milliCPU int64) error {
	return w.onTask(ctx, id, lease, attempt, func(t *task, now time.Time) error {
		t.throttle(now, milliCPU)
		return nil
	})
}

// Stop ends a running task without a checkpoint. Errors are those of Checkpoint,
// except ErrRefused.
func (w *Workers) Stop(ctx context.Context, id fleet.VMID, lease backing.Lease, attempt fleet.AttemptID) error {
	return w.onTask(ctx, id, lease, attempt, func(t *task, now time.Time) error {
		t.end(now, backing.TaskStopped, "stopped on request")
		return nil
	})
}

// onTask applies fn to a running task. It returns ErrNotFound for an unknown task,
// and nil without a call of fn for an ended one.
func (w *Workers) onTask(ctx context.Context, id fleet.VMID, lease backing.Lease, attempt fleet.AttemptID, fn func(*task, time.Time) error) error {
	return w.withLease(ctx, id, lease, func(v *vm, now time.Time) error {
		t, ok := v.worker.tasks[attempt]
		switch {
		case !ok:
			return backing.ErrNotFound
		case t.state != backing.TaskRunning:
			return nil
		}
		return fn(t, now)
	})
}

// withLease applies fn if lease is the current dispatch lease of the worker.
func (w *Workers) withLease(ctx context.Context, id fleet.VMID, lease backing.Lease, fn func(*vm, time.Time) error) error {
	return w.write(ctx, id, func(v *vm, now time.Time) error {
		if err := v.worker.checkLease(now, lease); err != nil {
			return err
		}
		return fn(v, now)
	})
}

// write applies fn, and may lose the answer of a call that took effect.
func (w *Workers) write(ctx context.Context, id fleet.VMID, fn func(*vm, time.Time) error) error {
	if err := w.Faults.write(ctx); err != nil {
		return err
	}
	err := w.call(id, fn)
	if err == nil && w.Faults.loseAnswer() {
		return backing.ErrUnconfirmed
	}
	return err
}

// call applies fn to the VM if its worker is reachable over this path.
func (w *Workers) call(id fleet.VMID, fn func(*vm, time.Time) error) error {
	w.data.mu.Lock()
	defer w.data.mu.Unlock()
	v, ok := w.data.vms[id]
	if !ok {
		return backing.ErrNotFound
	}
	now := w.data.clock.Now()
	w.data.advanceVM(v, now)
	if !v.reachable() || w.Faults.isCut(v.info.DataCentre) {
		return backing.ErrUnavailable
	}
	return fn(v, now)
}
