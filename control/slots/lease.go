package slots

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// phase is the state of a slot in use.
type phase int

const (
	reserved    phase = iota // not started; may expire
	starting                 // the Start call has not returned
	unconfirmed              // the Start call failed without a definite outcome
	running
)

// slot is a slot in use on an owned VM.
type slot struct {
	phase        phase
	job          fleet.JobID
	step         int
	pool         fleet.PoolName
	class        fleet.Class // empty if taken over from another owner
	need         fleet.Resources
	expiresAt    time.Time     // of a reservation
	runTime      time.Duration // estimated
	estimatedEnd time.Time     // zero until it runs
	deadline     time.Time     // of the job, zero if none
	epoch        uint64        // with which the start was sent
	outcomeSeq   uint64        // Slots.seq when the outcome of the start became known
	cancelled    bool          // stop the task as soon as it runs
	usage        fleet.Resources
	throttledAt  time.Time // zero if not throttled
	usageAt      time.Time // when the worker measured usage
}

// ownedVM is a VM that this entry owns.
type ownedVM struct {
	id         fleet.VMID // never changes, so it is read without the mutex
	vm         fleet.VM   // as last listed
	ownedSince time.Time
	dropped    bool // no longer owned

	epoch              uint64
	leasedAt           time.Time // start of the last successful Acquire of epoch, zero without a lease
	confirmedAt        time.Time // start of the last successful Acquire of any epoch
	maybeRenewedAt     time.Time // end of the last Acquire that may have taken effect
	contacted          bool      // the worker has granted a lease since it last fenced this entry
	acquireUnconfirmed bool      // the last Acquire failed without a definite outcome
	fencedSince        time.Time // first of the current series of ErrFenced answers
	listRead           bool      // the task list was read under the current epoch
	reportedLost       bool      // its tasks were reported as lost and it has not answered since
	refusesUntil       time.Time // no starts until then, because the worker refused one
	lostList           bool      // the worker lost its task list, so absence from it proves nothing

	slots      map[fleet.AttemptID]*slot
	acquiring  bool // an Acquire call is in flight
	polling    bool // a Tasks call is in flight
	polledAt   time.Time
	activeAt   time.Time // last start or end
	relievedAt time.Time // last throttle or checkpoint
}

func newOwnedVM(vm fleet.VM, now time.Time) *ownedVM {
	return &ownedVM{id: vm.ID, vm: vm, ownedSince: now, slots: map[fleet.AttemptID]*slot{}}
}

// leased reports whether the lease may be used.
func (v *ownedVM) leased(now time.Time) bool {
	return !v.leasedAt.IsZero() && now.Sub(v.leasedAt) < leaseUsableFor
}

// hasUnconfirmedStart reports whether a start of this entry may still take
// effect under the current epoch although its call has returned.
func (v *ownedVM) hasUnconfirmedStart() bool {
	for _, sl := range v.slots {
		if sl.phase == unconfirmed {
			return true
		}
	}
	return false
}

func (v *ownedVM) count(p phase) int {
	n := 0
	for _, sl := range v.slots {
		if sl.phase == p {
			n++
		}
	}
	return n
}

// usable reports whether slots of the VM may be reserved and started.
func (v *ownedVM) usable(now time.Time) bool {
	return v.leased(now) && v.listRead && !v.hasUnconfirmedStart()
}

func (v *ownedVM) gone() bool { return v.vm.State == fleet.VMGone }

// TickLeases acquires and renews leases, reads task lists after acquisitions
// and reports the tasks of lost workers. The caller runs it every second; each
// lease is renewed only every RenewInterval.
func (s *Slots) TickLeases(ctx context.Context) {
	s.mu.Lock()
	s.syncOwnership()
	now := s.options.Clock.Now()
	var due []*ownedVM
	for _, v := range s.vms {
		s.expireReservations(v, now)
		s.reportLost(v, now)
		if s.leaseDue(v, now) {
			due = append(due, v)
		}
	}
	s.unlock()
	forEach(s.options.MaxParallelCalls, due, func(v *ownedVM) { s.refreshLease(ctx, v) })
}

// leaseDue reports whether to acquire or renew the lease of a VM now. While the
// task list has to be read or an unconfirmed start has to be fenced, that is at
// once. Without a valid session only leases of running tasks are renewed.
func (s *Slots) leaseDue(v *ownedVM, now time.Time) bool {
	switch {
	case v.acquiring || v.gone():
		return false
	case !v.leased(now):
		return s.mayAcquire(v, now)
	case !v.listRead || v.hasUnconfirmedStart() && v.count(starting) == 0:
		return true
	case now.Sub(v.leasedAt) < RenewInterval:
		return false
	}
	return s.options.Membership.Valid() == nil || v.count(running) > 0
}

// mayAcquire decides whether to acquire a lease that is not held. An entry
// without a valid session renews the leases of running tasks but acquires none.
// After an unconfirmed Acquire it stops trying once the last confirmed lease has
// expired, if the VM has slots: every further Acquire might renew the lease, and
// it would never be certain that the worker has stopped the tasks.
func (s *Slots) mayAcquire(v *ownedVM, now time.Time) bool {
	if s.options.Membership.Valid() != nil {
		return false
	}
	expired := !v.confirmedAt.IsZero() && now.Sub(v.confirmedAt) > LeaseTTL
	return !(v.acquireUnconfirmed && expired && len(v.slots) > 0)
}

// refreshLease acquires or renews the lease of a VM and reads its task list if
// it was not read under the current epoch.
func (s *Slots) refreshLease(ctx context.Context, v *ownedVM) {
	if s.acquire(ctx, v) {
		s.mu.Lock()
		needList := !v.listRead && !v.dropped
		s.mu.Unlock()
		if needList {
			s.poll(ctx, v)
		}
	}
}

// acquire makes one Acquire call and reports whether the lease is held.
func (s *Slots) acquire(ctx context.Context, v *ownedVM) bool {
	s.mu.Lock()
	now := s.options.Clock.Now()
	if v.dropped || v.acquiring {
		s.unlock()
		return false
	}
	newEpoch := s.chooseEpoch(v, now)
	v.acquiring = true
	epoch := v.epoch
	s.stats.WorkerCalls++
	s.unlock()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.options.Workers.Acquire(ctx, v.id, backing.Lease{Holder: s.self, Epoch: epoch}, LeaseTTL)

	s.mu.Lock()
	defer s.unlock()
	v.acquiring = false
	s.recordAcquire(v, now, newEpoch, err)
	return err == nil && !v.dropped
}

// chooseEpoch keeps the epoch of a lease that is held, unless an unconfirmed
// start has to be fenced. Otherwise it sets the epoch of a new lease and reports
// true.
func (s *Slots) chooseEpoch(v *ownedVM, now time.Time) bool {
	mustFence := v.hasUnconfirmedStart() && v.count(starting) == 0 && v.listRead
	if v.leased(now) && !mustFence {
		return false
	}
	epoch := max(s.currentOwners().version<<epochCounterBits, s.epochFloors[v.id], v.epoch)
	if v.listRead {
		// The lease may have expired since the last list, or starts are
		// unconfirmed: after the next list the worker must reject them.
		epoch = max(epoch, v.epoch+1)
	}
	v.epoch = epoch
	v.listRead = false
	v.leasedAt = time.Time{}
	return true
}

// recordAcquire applies the outcome of an Acquire call that was made at calledAt;
// s.mu is held.
func (s *Slots) recordAcquire(v *ownedVM, calledAt time.Time, newEpoch bool, err error) {
	now := s.options.Clock.Now()
	v.acquireUnconfirmed = false
	switch {
	case err == nil:
		v.leasedAt, v.confirmedAt, v.maybeRenewedAt = calledAt, calledAt, now
		v.contacted, v.reportedLost = true, false
		v.fencedSince = time.Time{}
		if newEpoch {
			s.queueEvent(EventLeaseAcquired, v.id, "", "epoch %d", v.epoch)
		}
	case errors.Is(err, backing.ErrFenced):
		s.handleFenced(v, now)
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrNotFound):
	default:
		v.maybeRenewedAt = now
		v.acquireUnconfirmed = true
	}
}

// handleFenced gives up the VM's state after the worker has shown that another
// entry holds the lease. That entry reads the task list and reports its tasks.
func (s *Slots) handleFenced(v *ownedVM, now time.Time) {
	if v.fencedSince.IsZero() {
		v.fencedSince = now
		s.queueEvent(EventLeaseLost, v.id, "", "epoch %d refused", v.epoch)
	}
	s.forgetSlots(v)
	v.leasedAt, v.confirmedAt, v.maybeRenewedAt = time.Time{}, time.Time{}, time.Time{}
	v.listRead, v.contacted, v.reportedLost = false, false, false
	v.ownedSince = now
	if now.Sub(v.fencedSince) > leaseBound {
		// If a newer member list named another owner, it would be in force here
		// by now. So the other lease is of the current version with a higher
		// counter, and its holder does not renew it.
		s.epochFloors[v.id] = v.epoch + 1
		v.fencedSince = now
	}
	v.epoch = 0
}

// forgetSlots drops all slots, and the ends that the holder of the lease will
// find in the task list.
func (s *Slots) forgetSlots(v *ownedVM) {
	v.slots = map[fleet.AttemptID]*slot{}
	s.dropListedEnds(v.id)
}

// reportLost reports the tasks of a worker whose lease has certainly expired:
// the worker has stopped them. If this entry never held the lease, that is only
// certain when the platform shows the VM as gone, because an earlier owner
// without a valid session continues to renew the leases of running tasks. A valid
// session and a fresh view are needed too: otherwise another entry may have
// taken over the lease and run the tasks. With a fresh view the member list is
// at most a few seconds old.
func (s *Slots) reportLost(v *ownedVM, now time.Time) {
	if v.reportedLost || v.leased(now) || v.acquiring || now.Sub(s.lastPossibleRenewal(v)) < leaseBound {
		return
	}
	if !v.contacted && !v.gone() || s.options.Membership.Valid() != nil || s.options.View.Fresh() != nil {
		return
	}
	v.reportedLost, v.listRead = true, false
	v.leasedAt = time.Time{}
	s.queueEvent(EventWorkerLost, v.id, "", "%d tasks", v.count(running)+v.count(unconfirmed))
	for id, sl := range v.slots {
		switch sl.phase {
		case running, unconfirmed:
			s.stats.LostTasks++
			s.queueEnd(lostEnd(v.id, id, sl), false)
			delete(v.slots, id)
		case reserved:
			delete(v.slots, id)
		}
	}
}

// lastPossibleRenewal returns the latest time at which the worker's lease may
// have been renewed; the lease bound counts from it.
func (s *Slots) lastPossibleRenewal(v *ownedVM) time.Time {
	start := v.ownedSince
	if v.maybeRenewedAt.After(start) {
		start = v.maybeRenewedAt
	}
	if gone := s.knownVMs[v.id].goneSince; gone.After(start) && !v.contacted {
		start = gone
	}
	return start
}

// expireReservations frees the slots of expired reservations; s.mu is held.
func (s *Slots) expireReservations(v *ownedVM, now time.Time) {
	for id, sl := range v.slots {
		if sl.phase == reserved && !now.Before(sl.expiresAt) {
			delete(v.slots, id)
		}
	}
}

// unconfirmedError returns the error of a start that may have taken effect or
// may still do so.
func unconfirmedError(format string, args ...any) error {
	return fmt.Errorf("start unconfirmed: "+format, args...)
}
