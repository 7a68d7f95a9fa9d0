package upkeep

import (
	"context"
	"errors"
	"fmt"

	"amaranthfork.example/backing"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/maintenance"
)

// ErrBusy means that the VM is in a state that does not allow the operation.
var ErrBusy = errors.New("VM is in a state that does not allow this")

// drainVMs asks the platform to drain each assigned VM that is draining or held
// out of service, until the platform has accepted it.
func (x *Executor) drainVMs(ctx context.Context, s *roundState) error {
	var errs []error
	for dc, p := range s.progress {
		for vm, e := range p.VMs {
			if _, assigned := s.assigned[dc][vm]; !assigned {
				continue
			}
			if e.Phase == maintenance.PhaseDraining || e.Phase == maintenance.PhaseHeld {
				errs = append(errs, x.drain(ctx, vm, e.SinceUnix))
			}
		}
	}
	return errors.Join(errs...)
}

// drain asks the platform to drain a VM, unless it has accepted that for the
// phase that began at since (Unix seconds).
func (x *Executor) drain(ctx context.Context, vm fleet.VMID, since int64) error {
	if x.isDrained(vm, since) {
		return nil
	}
	if err := x.callPlatform(ctx, vm, x.options.VMs.Drain); err != nil {
		return fmt.Errorf("drain VM %q: %w", vm, err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.drained[vm] = since
	return nil
}

// isDrained reports whether the platform has accepted the drain for the phase
// that began at since (Unix seconds).
func (x *Executor) isDrained(vm fleet.VMID, since int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	accepted, ok := x.drained[vm]
	return ok && accepted == since
}

// callPlatform makes a call to the platform directly after a check that the
// role is still held. The platform does not check epochs: nothing stops the
// request of a process that is paused between the check and the sending.
func (x *Executor) callPlatform(ctx context.Context, vm fleet.VMID, fn func(context.Context, fleet.VMID) error) error {
	if err := x.options.Role.Held(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return fn(ctx, vm)
}

// carryOut executes the decisions of a plan and returns the errors of those
// that failed.
func (x *Executor) carryOut(ctx context.Context, s *roundState, decisions []maintenance.Decision) error {
	var errs []error
	for _, d := range decisions {
		err := x.execute(ctx, s, d)
		if errors.Is(err, pools.ErrUnassigned) {
			continue // the VM was removed after the rows had been read
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s VM %q: %w", d.Action, d.VM, err))
		}
	}
	return errors.Join(errs...)
}

// execute executes one decision.
func (x *Executor) execute(ctx context.Context, s *roundState, d maintenance.Decision) error {
	dc := s.dcOf[d.VM]
	seen := s.progress[dc].VMs[d.VM]
	switch d.Action {
	case maintenance.ActionDrain:
		return x.startMaintenance(ctx, dc, d)
	case maintenance.ActionCheckpoint:
		return x.options.Dispatch.Checkpoint(ctx, d.VM, d.Task)
	case maintenance.ActionReboot:
		return x.reboot(ctx, dc, d.VM, seen)
	case maintenance.ActionFinish, maintenance.ActionReturn:
		return x.returnToService(ctx, s, dc, d, seen)
	case maintenance.ActionFail:
		return x.recordFailure(ctx, dc, d, seen)
	case maintenance.ActionStopWave:
		return x.stopWave(ctx, d.Reason)
	}
	return nil
}

// startMaintenance takes a VM out of service and marks it as draining. Budget,
// assignment and progress change in one transaction, which also requires that
// the wave is neither paused nor stopped. A refused draw is no error: another
// entry has drawn the budget since the rows were read.
func (x *Executor) startMaintenance(ctx context.Context, dc fleet.DataCentreName, d maintenance.Decision) error {
	err := x.update(ctx, dc, func(c *pools.Change) error {
		w, err := pools.Load[wave](c, WaveKey)
		if err != nil || w.Paused != "" || w.Stopped != "" {
			return err
		}
		p, err := loadProgress(c)
		if err != nil {
			return err
		}
		e := p.VMs[d.VM]
		if e.Phase != maintenance.PhaseNone {
			return nil
		}
		if err := takeOutOfService(c, d.VM, pools.CausePlanned, d.Reason); err != nil {
			return err
		}
		e.RebootedUnix, e.NotBeforeUnix, e.Operator = 0, 0, ""
		p.VMs[d.VM] = e.withPhase(maintenance.PhaseDraining, c.Now())
		c.Store(progressKey(c))
		return nil
	})
	var refused *pools.BudgetError
	if errors.As(err, &refused) || errors.Is(err, ErrBusy) {
		return nil
	}
	return err
}

// takeOutOfService draws the budget for an active VM and ends the dispatch to
// it. It returns ErrBusy for a VM that is not active, and the errors of
// Change.Draw.
func takeOutOfService(c *pools.Change, vm fleet.VMID, cause pools.Cause, note string) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	if a.State != pools.StateActive {
		return fmt.Errorf("%w: VM %q is %s", ErrBusy, vm, a.State)
	}
	if err := c.Draw(vm, cause, note); err != nil {
		return err
	}
	return c.SetState(vm, pools.StateMaintenance)
}

// reboot marks a drained VM as rebooting, asks the platform for the reboot and
// records its acceptance. A successor that finds only the mark asks again,
// which is safe because the VM is drained.
func (x *Executor) reboot(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, seen vmProgress) error {
	if seen.Phase == maintenance.PhaseDraining {
		if !x.isDrained(vm, seen.SinceUnix) {
			return nil // the platform has not accepted the drain yet
		}
		next, err := x.updateProgress(ctx, dc, vm, seen, func(e vmProgress, c *pools.Change) vmProgress {
			return e.withPhase(maintenance.PhaseRebooting, c.Now())
		})
		if err != nil || next == nil {
			return err
		}
		seen = *next
	}
	if err := x.callPlatform(ctx, vm, x.options.VMs.Reboot); err != nil {
		return err
	}
	accepted := x.options.Clock.Now().Add(listingMargin).Unix()
	_, err := x.updateProgress(ctx, dc, vm, seen, func(e vmProgress, _ *pools.Change) vmProgress {
		e.RebootedUnix = accepted
		return e
	})
	return err
}

// updateProgress changes the progress of a VM with fn if it is still as seen.
// It returns the new progress, or nil if it was not as seen: another writer was
// faster, or an earlier attempt without an answer took effect. The next round
// then continues from the row.
func (x *Executor) updateProgress(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, seen vmProgress, fn func(vmProgress, *pools.Change) vmProgress) (*vmProgress, error) {
	var next *vmProgress
	err := x.update(ctx, dc, func(c *pools.Change) error {
		p, err := loadProgress(c)
		if err != nil {
			return err
		}
		next = nil
		if p.VMs[vm] != seen {
			return nil
		}
		changed := fn(seen, c)
		next, p.VMs[vm] = &changed, changed
		c.Store(progressKey(c))
		return nil
	})
	if err != nil {
		return nil, err
	}
	return next, nil
}

// returnToService returns a VM to service: first the platform releases it, then
// its budget, its state and its progress change in one transaction.
func (x *Executor) returnToService(ctx context.Context, s *roundState, dc fleet.DataCentreName, d maintenance.Decision, seen vmProgress) error {
	live := s.listed[d.VM].State == fleet.VMLive
	err := x.callPlatform(ctx, d.VM, x.options.VMs.Release)
	if err != nil && (live || !errors.Is(err, backing.ErrNotFound)) {
		return err
	}
	return x.update(ctx, dc, func(c *pools.Change) error {
		p, err := loadProgress(c)
		if err != nil || p.VMs[d.VM] != seen {
			return err
		}
		if err := restoreVM(c, d.VM, live); err != nil {
			return err
		}
		e := vmProgress{LastDoneUnix: seen.LastDoneUnix}.withPhase(maintenance.PhaseNone, c.Now())
		if d.Action == maintenance.ActionFinish {
			e.LastDoneUnix = c.Now().Unix()
		}
		if d.RetryAfter > 0 {
			e.NotBeforeUnix = c.Now().Add(d.RetryAfter).Unix()
		}
		p.VMs[d.VM] = e
		c.Store(progressKey(c))
		x.forgetDrain(d.VM)
		return nil
	})
}

// forgetDrain makes the next drain of a VM ask the platform again.
func (x *Executor) forgetDrain(vm fleet.VMID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.drained, vm)
}

// restoreVM makes the VM active and returns its budget. The record of a failed
// VM remains until a VM listing shows the VM as live.
func restoreVM(c *pools.Change, vm fleet.VMID, live bool) error {
	record, recorded, err := c.Record(vm)
	if err != nil {
		return err
	}
	if recorded && (live || record.Cause != pools.CauseFailed) {
		if err := c.Return(vm); err != nil {
			return err
		}
	}
	return c.SetState(vm, pools.StateActive)
}

// recordFailure changes the cause of a VM's budget record to a failure, so that
// the budget remains drawn. A failed reboot counts against the wave in the same
// transaction.
func (x *Executor) recordFailure(ctx context.Context, dc fleet.DataCentreName, d maintenance.Decision, seen vmProgress) error {
	return x.update(ctx, dc, func(c *pools.Change) error {
		p, err := loadProgress(c)
		if err != nil || p.VMs[d.VM] != seen {
			return err
		}
		if err := c.Draw(d.VM, pools.CauseFailed, d.Reason); err != nil {
			return err
		}
		if seen.Phase == maintenance.PhaseRebooting {
			if err := x.countFailure(c, d.VM); err != nil {
				return err
			}
		}
		if seen.Phase == maintenance.PhaseHeld {
			return nil // it remains held; only the cause of its record changes
		}
		p.VMs[d.VM] = seen.withPhase(maintenance.PhaseFailed, c.Now())
		c.Store(progressKey(c))
		return nil
	})
}

// countFailure adds a failed reboot to the wave. Above the allowed number it
// also stops the wave, so that the stop is in force before a new wave can
// begin.
func (x *Executor) countFailure(c *pools.Change, vm fleet.VMID) error {
	w, err := pools.Load[wave](c, WaveKey)
	if err != nil {
		return err
	}
	w.Failed = append(w.Failed, string(vm))
	snapshot := x.options.View.Snapshot()
	if snapshot != nil && len(w.Failed) > snapshot.Maintenance.StopAfterFailures && w.Stopped == "" {
		w.Stopped = fmt.Sprintf("%d reboots failed, %d allowed", len(w.Failed), snapshot.Maintenance.StopAfterFailures)
	}
	c.Store(WaveKey)
	return nil
}

// stopWave records a stop that the planner has decided. It is needed when
// operators have lowered the allowed number below the failures counted so far.
func (x *Executor) stopWave(ctx context.Context, reason string) error {
	return x.update(ctx, "", func(c *pools.Change) error {
		w, err := pools.Load[wave](c, WaveKey)
		if err != nil || w.Stopped != "" || len(w.Failed) == 0 {
			return err
		}
		w.Stopped = reason
		c.Store(WaveKey)
		return nil
	})
}
