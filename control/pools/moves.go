package pools

import (
	"context"
	"errors"
	"fmt"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Errors of moves.
var (
	// ErrBusy means that the VM is not active, or that its move can no longer be
	// aborted.
	ErrBusy = errors.New("VM is in a state that does not allow this")
	// ErrNoPool means that the pool is not declared.
	ErrNoPool = errors.New("pool is not declared")
)

// Move requests the move of a VM to another pool. It draws the availability
// budget and marks the VM as draining; the controller does the remaining steps.
// Any entry may call it. Requesting the same move again, or a move to the pool
// that the VM is in, changes nothing. Errors: ErrUnassigned, ErrNoPool,
// ErrBusy, *BudgetError, *fleet.Refusal and those of the table.
func (l *Ledger) Move(ctx context.Context, vm fleet.VMID, to fleet.PoolName) error {
	dc, _, err := l.Locate(ctx, vm)
	if err != nil {
		return err
	}
	return l.Update(ctx, dc, nil, func(c *Change) error { return c.startMove(vm, to) })
}

// Abort ends the move of a VM that is still draining; the VM returns to service
// in its pool. It changes nothing if the VM is active. Errors: ErrUnassigned,
// ErrBusy in any other state, and those of the table.
func (l *Ledger) Abort(ctx context.Context, vm fleet.VMID) error {
	dc, _, err := l.Locate(ctx, vm)
	if err != nil {
		return err
	}
	return l.Update(ctx, dc, nil, func(c *Change) error { return c.abortMove(vm) })
}

// startMove is Move within a transaction.
func (c *Change) startMove(vm fleet.VMID, to fleet.PoolName) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	snapshot := c.ledger.options.View.Snapshot()
	if snapshot == nil {
		return fmt.Errorf("%w: no configuration is known", ErrNoPool)
	}
	if _, ok := snapshot.Pools[to]; !ok {
		return fmt.Errorf("%w: %q", ErrNoPool, to)
	}
	switch {
	case a.State == StateDraining && a.Target == to:
		return nil
	case a.State == StateActive && a.Pool == to:
		return nil
	case a.State != StateActive:
		return fmt.Errorf("%w: VM %q is %s", ErrBusy, vm, a.State)
	}
	if err := c.Draw(vm, CauseMove, "to "+string(to)); err != nil {
		return err
	}
	a.State, a.Target = StateDraining, to
	return c.setAssignment(vm, a)
}

// abortMove is Abort within a transaction.
func (c *Change) abortMove(vm fleet.VMID) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	switch a.State {
	case StateActive:
		return nil
	case StateDraining:
		a.State, a.Target = StateMoving, ""
		return c.setAssignment(vm, a)
	}
	return fmt.Errorf("%w: VM %q is %s", ErrBusy, vm, a.State)
}

// assignTarget puts a drained VM into the pool that it moves to, or aborts the
// move if the VM has failed. epoch is that of the assignment that was seen as
// drained. The budget record of the old pool ends here. Until the platform
// releases the VM, only the data centre counts it as unavailable, because the
// new pool has never had its capacity.
func (c *Change) assignTarget(vm fleet.VMID, epoch uint64) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	if a.State != StateDraining || a.Epoch != epoch {
		return nil // aborted, or an earlier attempt without an answer took effect
	}
	record, ok, err := c.Record(vm)
	if err != nil {
		return err
	}
	if ok && record.Cause == CauseFailed {
		return c.abortMove(vm)
	}
	if err := c.deleteRecord(poolBudgetKey(a.Pool), vm); err != nil {
		return err
	}
	if err := c.endLostRecord(vm, a.Target); err != nil {
		return err
	}
	a.Pool, a.Target, a.State = a.Target, "", StateMoving
	return c.setAssignment(vm, a)
}

// finishMove makes a VM that the platform has released active and returns the
// budget of the move. epoch is that of the assignment for which the release was
// requested.
func (c *Change) finishMove(vm fleet.VMID, epoch uint64) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	if a.State != StateMoving || a.Epoch != epoch {
		return nil
	}
	record, ok, err := c.Record(vm)
	if err != nil {
		return err
	}
	if ok && record.Cause == CauseMove {
		if err := c.Return(vm); err != nil {
			return err
		}
	}
	a.State = StateActive
	return c.setAssignment(vm, a)
}

// advanceMove takes the next step of a VM's move, if it is being moved.
func (c *Controller) advanceMove(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, a Assignment) error {
	switch a.State {
	case StateDraining:
		return c.advanceDrain(ctx, dc, vm, a)
	case StateMoving:
		return c.advanceRelease(ctx, dc, vm, a)
	}
	return nil
}

// advanceDrain has the platform drain the VM and assigns it to its new pool
// once it is idle. A drain that exceeds the move timeout is aborted.
func (c *Controller) advanceDrain(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, a Assignment) error {
	if c.options.Clock.Now().Sub(a.Since) > c.moveTimeout() {
		return c.update(ctx, dc, func(change *Change) error {
			if current, err := change.VM(vm); err != nil || current.Epoch != a.Epoch {
				return err
			}
			return change.abortMove(vm)
		})
	}
	if err := c.options.Role.Held(); err != nil {
		return err
	}
	if err := c.options.VMs.Drain(ctx, vm); err != nil && !errors.Is(err, backing.ErrUnconfirmed) {
		return fmt.Errorf("drain VM %q: %w", vm, err)
	}
	idle, err := c.options.Dispatch.Idle(vm)
	if err != nil {
		return fmt.Errorf("ask whether VM %q is idle: %w", vm, err)
	}
	if !idle {
		return nil
	}
	return c.update(ctx, dc, func(change *Change) error { return change.assignTarget(vm, a.Epoch) })
}

// advanceRelease has the platform release the VM and makes it active.
func (c *Controller) advanceRelease(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, a Assignment) error {
	if err := c.options.Role.Held(); err != nil {
		return err
	}
	// If the answer is lost, the VM remains in this state and the next round calls
	// Release again.
	if err := c.options.VMs.Release(ctx, vm); err != nil {
		return fmt.Errorf("release VM %q: %w", vm, err)
	}
	return c.update(ctx, dc, func(change *Change) error { return change.finishMove(vm, a.Epoch) })
}
