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

// VMs controls the VMs of the stand-in.
//
// Drain shows a VM as leaving; its worker refuses starts and its tasks go on.
// Reboot stops the tasks, makes the worker unavailable for the reboot time and
// ends the drain, so that the VM is live afterwards. The worker keeps its epoch
// and the list of its ended tasks over a reboot, but not the dispatch lease.
type VMs struct {
	Faults *Faults
	data   *inventory
}

var _ backing.VMs = (*VMs)(nil)

// Via returns the same service as reached over another path.
func (v *VMs) Via(faults *Faults) *VMs { return &VMs{Faults: faults, data: v.data} }

// Drain marks a VM as leaving.
func (v *VMs) Drain(ctx context.Context, id fleet.VMID) error {
	return v.change(ctx, id, func(m *vm, now time.Time) {
		m.states.set(now, fleet.VMLeaving)
	})
}

// Reboot restarts a VM. A VM that restarts already is not restarted again.
func (v *VMs) Reboot(ctx context.Context, id fleet.VMID) error {
	return v.change(ctx, id, func(m *vm, now time.Time) {
		if m.rebooting() {
			return
		}
		m.worker.stopAll(now, "the VM was rebooted")
		m.worker.expires = time.Time{}
		m.rebootEnds = now.Add(v.data.rebootTime)
		m.states.set(now, fleet.VMLeaving)
	})
}

// Release makes a draining VM live again.
func (v *VMs) Release(ctx context.Context, id fleet.VMID) error {
	return v.change(ctx, id, func(m *vm, now time.Time) {
		if !m.rebooting() {
			m.states.set(now, fleet.VMLive)
		}
	})
}

// change applies fn to a VM that is not gone.
func (v *VMs) change(ctx context.Context, id fleet.VMID, fn func(*vm, time.Time)) error {
	if err := v.Faults.write(ctx); err != nil {
		return err
	}
	if err := v.data.change(id, fn); err != nil {
		return err
	}
	if v.Faults.loseAnswer() {
		return backing.ErrUnknown
	}
	return nil
}

func (i *inventory) change(id fleet.VMID, fn func(*vm, time.Time)) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.advance()
	m, ok := i.vms[id]
	if !ok || m.states.last() == fleet.VMGone {
		return backing.ErrNotFound
	}
	fn(m, now)
	return nil
}

// VMList is the lagging list of VMs. It shows a VM that is gone for an hour.
type VMList struct {
	Faults *Faults
	data   *inventory
}

var _ backing.VMList = (*VMList)(nil)

// Via returns the same list as reached over another path.
func (l *VMList) Via(faults *Faults) *VMList { return &VMList{Faults: faults, data: l.data} }

// SetLag sets by how much listings lag behind. A longer lag never makes a
// listing older than an earlier one.
func (l *VMList) SetLag(lag time.Duration) {
	l.data.mu.Lock()
	defer l.data.mu.Unlock()
	l.data.listLag = lag
}

// List returns the VMs by id, as they were one lag ago.
func (l *VMList) List(ctx context.Context) (backing.VMListing, error) {
	if err := l.Faults.read(ctx); err != nil {
		return backing.VMListing{}, err
	}
	l.data.mu.Lock()
	defer l.data.mu.Unlock()
	return l.data.list(), nil
}

func (i *inventory) list() backing.VMListing {
	asOf := i.advance().Add(-i.listLag)
	if asOf.Before(i.listed) {
		asOf = i.listed
	}
	i.listed = asOf
	listing := backing.VMListing{AsOf: asOf}
	for _, id := range slices.Sorted(maps.Keys(i.vms)) {
		m := i.vms[id]
		state, ok := m.states.listed(asOf)
		if ok {
			info := m.info
			info.State = state
			listing.VMs = append(listing.VMs, info)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(i.entries)) {
		e := i.entries[id]
		state, ok := e.states.listed(asOf)
		if ok {
			info := e.info
			info.State = state
			listing.Entries = append(listing.Entries, info)
		}
	}
	return listing
}

// listed returns the state that a listing as of t shows, if any.
func (h *history) listed(t time.Time) (fleet.VMState, bool) {
	h.trim(t)
	change, ok := h.at(t)
	if !ok {
		return "", false
	}
	expired := change.state == fleet.VMGone && t.Sub(change.at) > goneRetention
	return change.state, !expired
}
