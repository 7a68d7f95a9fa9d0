package memory

import (
	"context"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Run says how a task runs on a worker.
type Run struct {
	Time         time.Duration // at full speed
	Failed       bool
	Body         []byte // answer of a task that completes
	Detail       string
	Usage        fleet.Resources
	NoCheckpoint bool // the task cannot be checkpointed
}

// Runner decides how a task runs. It must not call the service back.
type Runner func(vm fleet.VMID, task backing.Task) Run

// EchoRunner completes each task after a second with its payload as the answer
// and its need as the usage.
func EchoRunner(_ fleet.VMID, task backing.Task) Run {
	return Run{Time: time.Second, Body: task.Payload, Usage: task.Need}
}

// Workers is the worker control service in memory. Calls need the dispatch
// lease at the worker's present epoch; all others get ErrFenced.
type Workers struct {
	Faults *Faults
	data   *inventory
}

var _ backing.Workers = (*Workers)(nil)

// Via returns the same service as reached over another path.
func (w *Workers) Via(faults *Faults) *Workers { return &Workers{Faults: faults, data: w.data} }

// Acquire takes or renews the dispatch lease of a VM. Running tasks go on under
// the new lease.
func (w *Workers) Acquire(ctx context.Context, id fleet.VMID, lease backing.Lease, ttl time.Duration) error {
	return w.write(ctx, id, func(m *vm, now time.Time) error {
		return m.worker.acquire(now, lease, ttl)
	})
}

// Start starts a task. It returns ErrRefused on a leaving VM, without a free
// slot or without room for the task's need, and nil without effect for a task
// id that the worker knows.
func (w *Workers) Start(ctx context.Context, id fleet.VMID, lease backing.Lease, task backing.Task) error {
	return w.leased(ctx, id, lease, func(m *vm, now time.Time) error {
		return w.data.start(m, now, task)
	})
}

// Tasks lists the tasks that were not forgotten, in the order of their starts.
func (w *Workers) Tasks(ctx context.Context, id fleet.VMID, lease backing.Lease) ([]backing.TaskStatus, error) {
	if err := w.Faults.read(ctx); err != nil {
		return nil, err
	}
	var list []backing.TaskStatus
	err := w.call(id, func(m *vm, now time.Time) error {
		if err := m.worker.check(now, lease); err != nil {
			return err
		}
		list = m.worker.statuses(now, w.data.usageLag)
		return nil
	})
	return list, err
}

// Forget drops ended tasks. Ids of running or unknown tasks are ignored.
func (w *Workers) Forget(ctx context.Context, id fleet.VMID, lease backing.Lease, ids []fleet.AttemptID) error {
	return w.leased(ctx, id, lease, func(m *vm, _ time.Time) error {
		m.worker.forget(ids)
		return nil
	})
}

// Checkpoint stops a running task so that a later start of the same step goes
// on from there. It returns ErrRefused for a task that cannot be checkpointed,
// and nil without effect for an ended one.
func (w *Workers) Checkpoint(ctx context.Context, id fleet.VMID, lease backing.Lease, attempt fleet.AttemptID) error {
	return w.onTask(ctx, id, lease, attempt, func(t *task, now time.Time) error {
		if t.run.NoCheckpoint {
			return backing.ErrRefused
		}
		w.data.checkpoint(t, now, "checkpointed on request")
		return nil
	})
}

// Throttle limits the processors of a running task; its remaining run time
// grows accordingly. A limit of 0 or less lifts the throttle.
func (w *Workers) Throttle(ctx context.Context, id fleet.VMID, lease backing.Lease, attempt fleet.AttemptID, milliCPU int64) error {
	return w.onTask(ctx, id, lease, attempt, func(t *task, now time.Time) error {
		t.throttle(now, milliCPU)
		return nil
	})
}

// Stop ends a running task without a checkpoint.
func (w *Workers) Stop(ctx context.Context, id fleet.VMID, lease backing.Lease, attempt fleet.AttemptID) error {
	return w.onTask(ctx, id, lease, attempt, func(t *task, now time.Time) error {
		t.end(now, backing.TaskStopped, "stopped on request")
		return nil
	})
}

// onTask applies fn to a running task.
func (w *Workers) onTask(ctx context.Context, id fleet.VMID, lease backing.Lease, attempt fleet.AttemptID, fn func(*task, time.Time) error) error {
	return w.leased(ctx, id, lease, func(m *vm, now time.Time) error {
		t, ok := m.worker.tasks[attempt]
		switch {
		case !ok:
			return backing.ErrNotFound
		case t.state != backing.TaskRunning:
			return nil
		}
		return fn(t, now)
	})
}

// leased applies fn if the lease is the one that the worker knows.
func (w *Workers) leased(ctx context.Context, id fleet.VMID, lease backing.Lease, fn func(*vm, time.Time) error) error {
	return w.write(ctx, id, func(m *vm, now time.Time) error {
		if err := m.worker.check(now, lease); err != nil {
			return err
		}
		return fn(m, now)
	})
}

// write applies fn, and may lose the answer of a call that took effect.
func (w *Workers) write(ctx context.Context, id fleet.VMID, fn func(*vm, time.Time) error) error {
	if err := w.Faults.write(ctx); err != nil {
		return err
	}
	err := w.call(id, fn)
	if err == nil && w.Faults.loseAnswer() {
		return backing.ErrUnknown
	}
	return err
}

// call applies fn to the VM if its worker is reachable over this path.
func (w *Workers) call(id fleet.VMID, fn func(*vm, time.Time) error) error {
	w.data.mu.Lock()
	defer w.data.mu.Unlock()
	m, ok := w.data.vms[id]
	if !ok {
		return backing.ErrNotFound
	}
	now := w.data.clock.Now()
	w.data.advanceVM(m, now)
	if !m.reachable() || w.Faults.isCut(m.info.DataCentre) {
		return backing.ErrUnavailable
	}
	return fn(m, now)
}
