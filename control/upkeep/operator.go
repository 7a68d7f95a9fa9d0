package upkeep

import (
	"context"
	"fmt"

	"amaranthfork.example/control/pools"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/maintenance"
)

// The operators' requests in this file may be made on any entry. Each is one
// transaction, and repeating a request changes nothing.

// Pause stops maintenance from taking VMs out of service. VMs that are draining
// return to service; reboots that have begun are completed. Errors: those of
// the table.
func (x *Executor) Pause(ctx context.Context, by, reason string) error {
	if reason == "" {
		reason = "no reason given"
	}
	return x.options.Ledger.Update(ctx, "", nil, func(c *pools.Change) error {
		w, err := pools.Load[wave](c, WaveKey)
		if err != nil || w.Paused != "" {
			return err
		}
		w.Paused, w.PausedBy = reason, by
		c.Store(WaveKey)
		return nil
	})
}

// Resume ends a pause or a stop and begins a new wave without failures. Errors:
// those of the table.
func (x *Executor) Resume(ctx context.Context) error {
	return x.options.Ledger.Update(ctx, "", nil, func(c *pools.Change) error {
		w, err := pools.Load[wave](c, WaveKey)
		if err != nil || w.Paused == "" && w.Stopped == "" {
			return err
		}
		*w = wave{Number: w.Number + 1, StartedUnix: c.Now().Unix()}
		c.Store(WaveKey)
		return nil
	})
}

// Drain takes a VM out of service until Undrain is called. Its running tasks
// continue. Errors: *pools.BudgetError if the budget would be exceeded, ErrBusy
// if the VM is not in ordinary service, pools.ErrUnassigned, *fleet.Refusal and
// those of the table.
func (x *Executor) Drain(ctx context.Context, vm fleet.VMID, by string) error {
	dc, _, err := x.options.Ledger.Locate(ctx, vm)
	if err != nil {
		return err
	}
	return x.options.Ledger.Update(ctx, dc, nil, func(c *pools.Change) error {
		p, err := loadProgress(c)
		if err != nil {
			return err
		}
		e, known := p.VMs[vm]
		if !known {
			e.LastDoneUnix = c.Now().Unix()
		}
		switch e.Phase {
		case maintenance.PhaseHeld:
			return nil
		case maintenance.PhaseNone:
		default:
			return fmt.Errorf("%w: VM %q is %s", ErrBusy, vm, e.Phase)
		}
		if err := takeOutOfService(c, vm, pools.CauseOperator, "by "+by); err != nil {
			return err
		}
		e.Operator = by
		p.VMs[vm] = e.withPhase(maintenance.PhaseHeld, c.Now())
		c.Store(progressKey(c))
		return nil
	})
}

// Undrain returns to service a VM that an operator holds or that maintenance is
// draining. The holder of the role releases it in its next round. Errors:
// ErrBusy while the VM reboots or has failed, pools.ErrUnassigned and those of
// the table.
func (x *Executor) Undrain(ctx context.Context, vm fleet.VMID) error {
	dc, _, err := x.options.Ledger.Locate(ctx, vm)
	if err != nil {
		return err
	}
	return x.options.Ledger.Update(ctx, dc, nil, func(c *pools.Change) error {
		p, err := loadProgress(c)
		if err != nil {
			return err
		}
		e := p.VMs[vm]
		switch e.Phase {
		case maintenance.PhaseNone, maintenance.PhaseReleasing:
			return nil
		case maintenance.PhaseHeld, maintenance.PhaseDraining:
		default:
			return fmt.Errorf("%w: VM %q is %s", ErrBusy, vm, e.Phase)
		}
		p.VMs[vm] = e.withPhase(maintenance.PhaseReleasing, c.Now())
		c.Store(progressKey(c))
		return nil
	})
}
