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
	// ErrBusy means that the VM is not active or its move has gone too far.
	ErrBusy = errors.New("VM is in a state that does not allow this")
	// ErrNoPool means that the pool is not declared.
	ErrNoPool = errors.New("pool is not declared")
)

// Move asks for a VM to be moved to another pool. It draws the budget and marks
// the VM as draining; the controller does the rest. Any entry may call it.
// Asking again for the same move, or for the pool the VM is in, changes nothing.
// Errors: ErrUnassigned, ErrNoPool, ErrBusy, *BudgetError, *fleet.Refusal and
// those of the table.
func (l *Ledger) Move(ctx context.Context, vm fleet.VMID, to fleet.PoolName) error {
	dc, _, err := l.Locate(ctx, vm)
	if err != nil {
		return err
	}
	return l.Update(ctx, dc, nil, func(c *Change) error { return c.startMove(vm, to) })
}

// Abort ends a move that was not assigned yet; the VM goes back to its pool.
// Aborting a move that has ended or been aborted changes nothing if the VM is
// not draining. Errors: ErrUnassigned, ErrBusy and those of the table.
func (l *Ledger) Abort(ctx context.Context, vm fleet.VMID) error {
	dc, _, err := l.Locate(ctx, vm)
	if err != nil {
		return err
	}
	return l.Update(ctx, dc, nil, func(c *Change) error { return c.abortMove(vm) })
}

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
	return c.set(vm, a)
}

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
		return c.set(vm, a)
	}
	return fmt.Errorf("%w: VM %q is %s", ErrBusy, vm, a.State)
}

// assign puts a drained VM into its new pool. The record of the old pool ends:
// until the platform releases the VM, only the data centre counts it, because
// the new pool has never had its capacity.
func (c *Change) assign(vm fleet.VMID, epoch uint64) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	if a.State != StateDraining || a.Epoch != epoch {
		return nil // aborted, or assigned by an attempt whose answer was lost
	}
	record, ok, err := c.Record(vm)
	if err != nil {
		return err
	}
	if ok && record.Cause == CauseFailed {
		return c.abortMove(vm)
	}
	if err := c.erase(poolKey(a.Pool), vm); err != nil {
		return err
	}
	if err := c.replace(vm, a.Target); err != nil {
		return err
	}
	a.Pool, a.Target, a.State = a.Target, "", StateMoving
	return c.set(vm, a)
}

// finish makes a released VM active.
func (c *Change) finish(vm fleet.VMID, epoch uint64) error {
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
	return c.set(vm, a)
}

// advance takes the next step of the move of one VM.
func (c *Controller) advance(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, a Assignment) error {
	switch a.State {
	case StateDraining:
		return c.advanceDrain(ctx, dc, vm, a)
	case StateMoving:
		return c.advanceRelease(ctx, dc, vm, a)
	}
	return nil
}

func (c *Controller) advanceDrain(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, a Assignment) error {
	if c.options.Clock.Now().Sub(a.Since) > c.moveTimeout() {
		return c.update(ctx, dc, func(x *Change) error {
			if now, err := x.VM(vm); err != nil || now.Epoch != a.Epoch {
				return err
			}
			return x.abortMove(vm)
		})
	}
	if err := c.options.Role.Held(); err != nil {
		return err
	}
	if err := c.options.VMs.Drain(ctx, vm); err != nil && !errors.Is(err, backing.ErrUnknown) {
		return fmt.Errorf("drain VM %q: %w", vm, err)
	}
	idle, err := c.options.Dispatch.Idle(vm)
	if err != nil {
		return fmt.Errorf("ask whether VM %q is idle: %w", vm, err)
	}
	if !idle {
		return nil
	}
	return c.update(ctx, dc, func(x *Change) error { return x.assign(vm, a.Epoch) })
}

func (c *Controller) advanceRelease(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, a Assignment) error {
	if err := c.options.Role.Held(); err != nil {
		return err
	}
	// A lost answer leaves the VM in this state; Release is asked for again.
	if err := c.options.VMs.Release(ctx, vm); err != nil {
		return fmt.Errorf("release VM %q: %w", vm, err)
	}
	return c.update(ctx, dc, func(x *Change) error { return x.finish(vm, a.Epoch) })
}
