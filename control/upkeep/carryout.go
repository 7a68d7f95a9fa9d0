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

// ErrBusy means that the VM is in a state that does not allow the step.
var ErrBusy = errors.New("VM is in a state that does not allow this")

// drainAll tells the platform once of each VM that takes no new work.
func (x *Executor) drainAll(ctx context.Context, s *state) error {
	var errs []error
	for dc, p := range s.progress {
		for vm, e := range p.VMs {
			if _, assigned := s.assigned[dc][vm]; !assigned {
				continue
			}
			if e.Phase == maintenance.PhaseDraining || e.Phase == maintenance.PhaseHeld {
				errs = append(errs, x.drain(ctx, vm, e.Since))
			}
		}
	}
	return errors.Join(errs...)
}

func (x *Executor) drain(ctx context.Context, vm fleet.VMID, since int64) error {
	if x.isDrained(vm, since) {
		return nil
	}
	if err := x.call(ctx, vm, x.options.VMs.Drain); err != nil {
		return fmt.Errorf("drain VM %q: %w", vm, err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.drained[vm] = since
	return nil
}

func (x *Executor) isDrained(vm fleet.VMID, since int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	accepted, ok := x.drained[vm]
	return ok && accepted == since
}

// call makes a call to the platform directly after a check that the role is
// still held. The platform knows no epochs: a process that is paused between
// the check and the sending of the request is not stopped by anything else.
func (x *Executor) call(ctx context.Context, vm fleet.VMID, fn func(context.Context, fleet.VMID) error) error {
	if err := x.options.Role.Held(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return fn(ctx, vm)
}

func (x *Executor) carryOut(ctx context.Context, s *state, decisions []maintenance.Decision) error {
	var errs []error
	for _, d := range decisions {
		err := x.step(ctx, s, d)
		if errors.Is(err, pools.ErrUnassigned) {
			continue // removed since the rows were read
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s VM %q: %w", d.Action, d.VM, err))
		}
	}
	return errors.Join(errs...)
}

func (x *Executor) step(ctx context.Context, s *state, d maintenance.Decision) error {
	dc := s.dcOf[d.VM]
	seen := s.progress[dc].VMs[d.VM]
	switch d.Action {
	case maintenance.ActionDrain:
		return x.start(ctx, dc, d)
	case maintenance.ActionCheckpoint:
		return x.options.Dispatch.Checkpoint(ctx, d.VM, d.Task)
	case maintenance.ActionReboot:
		return x.reboot(ctx, dc, d.VM, seen)
	case maintenance.ActionFinish, maintenance.ActionReturn:
		return x.serve(ctx, s, dc, d, seen)
	case maintenance.ActionFail:
		return x.fail(ctx, dc, d, seen)
	case maintenance.ActionStopWave:
		return x.stop(ctx, d.Reason)
	}
	return nil
}

// start takes a VM: budget, assignment and progress change in one transaction,
// which also requires that operators have not paused the wave. A refused draw
// is no error: another entry has drawn the budget since the rows were read.
func (x *Executor) start(ctx context.Context, dc fleet.DataCentreName, d maintenance.Decision) error {
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
		if err := take(c, d.VM, pools.CausePlanned, d.Reason); err != nil {
			return err
		}
		e.Rebooted, e.NotBefore, e.By = 0, 0, ""
		p.VMs[d.VM] = e.enter(maintenance.PhaseDraining, c.Now())
		c.Store(progressKey(c))
		return nil
	})
	var refused *pools.BudgetError
	if errors.As(err, &refused) || errors.Is(err, ErrBusy) {
		return nil
	}
	return err
}

// take draws the budget for an active VM and stops the dispatch to it.
func take(c *pools.Change, vm fleet.VMID, cause pools.Cause, note string) error {
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

// reboot records the intent, asks for the reboot and records its acceptance. A
// successor that finds the intent alone asks again; the VM is drained.
func (x *Executor) reboot(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, seen entry) error {
	if seen.Phase == maintenance.PhaseDraining {
		if !x.isDrained(vm, seen.Since) {
			return nil // the platform has not accepted the drain yet
		}
		next, err := x.advance(ctx, dc, vm, seen, func(e entry, c *pools.Change) entry {
			return e.enter(maintenance.PhaseRebooting, c.Now())
		})
		if err != nil || next == nil {
			return err
		}
		seen = *next
	}
	if err := x.call(ctx, vm, x.options.VMs.Reboot); err != nil {
		return err
	}
	accepted := x.options.Clock.Now().Add(listingMargin).Unix()
	_, err := x.advance(ctx, dc, vm, seen, func(e entry, _ *pools.Change) entry {
		e.Rebooted = accepted
		return e
	})
	return err
}

// advance changes the entry of a VM if it still is as seen. It returns the new
// entry, or nil if another writer was faster or the answer was lost; the next
// round continues from the row then.
func (x *Executor) advance(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, seen entry, fn func(entry, *pools.Change) entry) (*entry, error) {
	var next *entry
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

// serve returns a VM to service: first the platform releases it, then its
// budget and its state change in one transaction.
func (x *Executor) serve(ctx context.Context, s *state, dc fleet.DataCentreName, d maintenance.Decision, seen entry) error {
	live := s.listed[d.VM].State == fleet.VMLive
	err := x.call(ctx, d.VM, x.options.VMs.Release)
	if err != nil && (live || !errors.Is(err, backing.ErrNotFound)) {
		return err
	}
	return x.update(ctx, dc, func(c *pools.Change) error {
		p, err := loadProgress(c)
		if err != nil || p.VMs[d.VM] != seen {
			return err
		}
		if err := giveBack(c, d.VM, live); err != nil {
			return err
		}
		e := entry{Last: seen.Last}.enter(maintenance.PhaseNone, c.Now())
		if d.Action == maintenance.ActionFinish {
			e.Last = c.Now().Unix()
		}
		if d.RetryAfter > 0 {
			e.NotBefore = c.Now().Add(d.RetryAfter).Unix()
		}
		p.VMs[d.VM] = e
		c.Store(progressKey(c))
		x.forget(d.VM)
		return nil
	})
}

func (x *Executor) forget(vm fleet.VMID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.drained, vm)
}

// giveBack makes the VM active and returns its budget. The record of a failed
// VM stays until a listing shows the VM live.
func giveBack(c *pools.Change, vm fleet.VMID, live bool) error {
	record, drawn, err := c.Record(vm)
	if err != nil {
		return err
	}
	if drawn && (live || record.Cause != pools.CauseFailed) {
		if err := c.Return(vm); err != nil {
			return err
		}
	}
	return c.SetState(vm, pools.StateActive)
}

// fail keeps the budget spent by a failure. A failed reboot counts against the
// wave in the same transaction.
func (x *Executor) fail(ctx context.Context, dc fleet.DataCentreName, d maintenance.Decision, seen entry) error {
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
			return nil // stays held; only the cause of its record changes
		}
		p.VMs[d.VM] = seen.enter(maintenance.PhaseFailed, c.Now())
		c.Store(progressKey(c))
		return nil
	})
}

// countFailure adds a failed reboot to the wave and stops it above the bound, so
// that the stop is in force before the wave can roll over.
func (x *Executor) countFailure(c *pools.Change, vm fleet.VMID) error {
	w, err := pools.Load[wave](c, WaveKey)
	if err != nil {
		return err
	}
	w.Failed = append(w.Failed, string(vm))
	cfg := x.options.View.Snapshot()
	if cfg != nil && len(w.Failed) > cfg.Maintenance.StopAfterFailures && w.Stopped == "" {
		w.Stopped = fmt.Sprintf("%d reboots failed, %d allowed", len(w.Failed), cfg.Maintenance.StopAfterFailures)
	}
	c.Store(WaveKey)
	return nil
}

// stop records the planner's stop. It is needed when operators have lowered the
// bound below the failures that were counted.
func (x *Executor) stop(ctx context.Context, reason string) error {
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
