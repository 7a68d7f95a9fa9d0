package memory

import (
	"context"
	"maps"
	"slices"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

type platformEntry = backing.EntryVM

// VMs is the VM control service in memory.
//
// A draining VM is listed as leaving; its worker refuses starts and its running
// tasks continue. A reboot stops the tasks, makes the worker unavailable for the
// reboot time and ends the drain, so that the VM is live afterwards. Across a reboot
// the worker keeps its epoch and the list of its ended tasks, but not the dispatch
// lease. All calls return ErrNotFound for a VM that does not exist or is gone.
type VMs struct {
	Faults *Faults // of the path to the service; nil means none
	data   *inventory
}

var _ backing.VMs = (*VMs)(nil)

// Via returns the same service as reached over another path.
func (s *VMs) Via(faults *Faults) *VMs { return &VMs{Faults: faults, data: s.data} }

// Drain puts a VM into state leaving, in which its worker refuses starts.
func (s *VMs) Drain(ctx context.Context, id fleet.VMID) error {
	return s.updateVM(ctx, id, func(v *vm, now time.Time) {
		v.states.set(now, fleet.VMLeaving)
	})
}

// Reboot restarts a VM. It has no effect on a VM that is already rebooting.
func (s *VMs) Reboot(ctx context.Context, id fleet.VMID) error {
	return s.updateVM(ctx, id, func(v *vm, now time.Time) {
		if v.rebooting() {
			return
		}
		v.worker.stopAll(now, "the VM was rebooted")
		v.worker.leaseExpiresAt = time.Time{}
		v.rebootEndsAt = now.Add(s.data.rebootTime)
		v.states.set(now, fleet.VMLeaving)
	})
}

// Release makes a draining VM live again. It has no effect on a VM that is
// rebooting, which becomes live at the end of the reboot.
func (s *VMs) Release(ctx context.Context, id fleet.VMID) error {
	return s.updateVM(ctx, id, func(v *vm, now time.Time) {
		if !v.rebooting() {
			v.states.set(now, fleet.VMLive)
		}
	})
}

// updateVM applies fn to a VM that is not gone, and may lose the answer of a call
// that took effect.
func (s *VMs) updateVM(ctx context.Context, id fleet.VMID, fn func(*vm, time.Time)) error {
	if err := s.Faults.write(ctx); err != nil {
		return err
	}
	if err := s.data.updateVM(id, fn); err != nil {
		return err
	}
	if s.Faults.loseAnswer() {
		return backing.ErrUnconfirmed
	}
	return nil
}

// updateVM applies fn to a VM that is not gone.
func (i *inventory) updateVM(id fleet.VMID, fn func(*vm, time.Time)) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.advance()
	v, ok := i.vms[id]
	if !ok || v.states.last() == fleet.VMGone {
		return backing.ErrNotFound
	}
	fn(v, now)
	return nil
}

// VMList is the list of VMs, which lags behind their current state. It still shows
// a VM for an hour after it is gone.
type VMList struct {
	Faults *Faults // of the path to the service; nil means none
	data   *inventory
}

var _ backing.VMList = (*VMList)(nil)

// Via returns the same list as reached over another path.
func (l *VMList) Via(faults *Faults) *VMList { return &VMList{Faults: faults, data: l.data} }

// SetLag sets how far listings lag behind the clock. A listing is never older than
// an earlier one, also when the lag grows.
func (l *VMList) SetLag(lag time.Duration) {
	l.data.mu.Lock()
	defer l.data.mu.Unlock()
	l.data.listLag = lag
}

// List returns the VMs and entry VMs as they were one lag ago, each ordered by id.
func (l *VMList) List(ctx context.Context) (backing.VMListing, error) {
	if err := l.Faults.read(ctx); err != nil {
		return backing.VMListing{}, err
	}
	l.data.mu.Lock()
	defer l.data.mu.Unlock()
	return l.data.list(), nil
}

// list returns a listing as of one lag before the clock's time, or as of the previous
// listing if that is later. The caller holds i.mu.
func (i *inventory) list() backing.VMListing {
	asOf := i.advance().Add(-i.listLag)
	if asOf.Before(i.lastListedAsOf) {
		asOf = i.lastListedAsOf
	}
	i.lastListedAsOf = asOf
	listing := backing.VMListing{AsOf: asOf}
	for _, id := range slices.Sorted(maps.Keys(i.vms)) {
		v := i.vms[id]
		state, ok := v.states.listedState(asOf)
		if ok {
			info := v.info
			info.State = state
			listing.VMs = append(listing.VMs, info)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(i.entries)) {
		e := i.entries[id]
		state, ok := e.states.listedState(asOf)
		if ok {
			info := e.info
			info.State = state
			listing.Entries = append(listing.Entries, info)
		}
	}
	return listing
}

// listedState returns the state that a listing as of t shows. It returns false if
// the listing must leave the VM out. It drops the changes that are no longer
// needed, so t must not fall from call to call.
func (h *history) listedState(t time.Time) (fleet.VMState, bool) {
	h.trim(t)
	change, ok := h.changeAt(t)
	if !ok {
		return "", false
	}
	expired := change.state == fleet.VMGone && t.Sub(change.at) > goneRetention
	return change.state, !expired
}
