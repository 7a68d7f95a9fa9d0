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
	reserved phase = iota // may expire
	starting              // the call of the worker has not returned
	unknown               // the call returned without telling the outcome
	running
)

// slot is a slot in use on an owned VM.
type slot struct {
	phase     phase
	job       fleet.JobID
	step      int
	pool      fleet.PoolName
	class     fleet.Class // empty if taken over from another owner
	need      fleet.Resources
	expires   time.Time     // of a reservation
	runTime   time.Duration // estimated
	ends      time.Time     // estimated, zero until it runs
	due       time.Time     // deadline of the job, zero if none
	epoch     uint64        // with which the start was sent
	settled   uint64        // sequence number of the start's outcome
	cancelled bool          // stop as soon as it runs
	usage     fleet.Resources
	throttled time.Time // zero if not
	usageAt   time.Time
}

// ownedVM is a VM that this entry owns.
type ownedVM struct {
	id         fleet.VMID // never changes, so it is read without the mutex
	vm         fleet.VM   // as last listed
	ownedSince time.Time
	dropped    bool

	epoch       uint64
	leasedAt    time.Time // start of the last successful Acquire of epoch, zero without a lease
	confirmedAt time.Time // start of the last successful Acquire of any epoch
	maybeAt     time.Time // end of the last Acquire that may have taken effect
	contacted   bool      // the worker has answered under the own lease
	lastUnknown bool      // outcome of the last Acquire
	fencedAt    time.Time // first of the present row of refusals
	ready       bool      // the task list was read under the present epoch
	lost        bool      // its tasks were reported as lost and it has not answered since
	refusesTill time.Time // the worker refused a start
	amnesia     bool      // running tasks vanished from the list, so absence proves nothing

	slots    map[fleet.AttemptID]*slot
	leasing  bool // an Acquire is in flight
	polling  bool // a Tasks is in flight
	polledAt time.Time
	activeAt time.Time // last start or end
	relieved time.Time // last throttle or checkpoint
}

func newOwnedVM(vm fleet.VM, now time.Time) *ownedVM {
	return &ownedVM{id: vm.ID, vm: vm, ownedSince: now, slots: map[fleet.AttemptID]*slot{}}
}

// leased reports whether the lease may be used.
func (v *ownedVM) leased(now time.Time) bool {
	return !v.leasedAt.IsZero() && now.Sub(v.leasedAt) < leaseUse
}

// unresolved reports whether an own start may still take effect under the
// present epoch although its call has returned.
func (v *ownedVM) unresolved() bool {
	for _, sl := range v.slots {
		if sl.phase == unknown {
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

// usable reports whether slots may be given out.
func (v *ownedVM) usable(now time.Time) bool {
	return v.leased(now) && v.ready && !v.unresolved()
}

func (v *ownedVM) gone() bool { return v.vm.State == fleet.VMGone }

// TickLeases acquires and renews leases, reads task lists after acquisitions
// and reports the tasks of lost workers. The caller runs it every second; it
// also keeps to the interval of renewals by itself.
func (s *Slots) TickLeases(ctx context.Context) {
	s.mu.Lock()
	s.syncOwnership()
	now := s.o.Clock.Now()
	var due []*ownedVM
	for _, v := range s.vms {
		s.expireReservations(v, now)
		s.reportLost(v, now)
		if s.leaseDue(v, now) {
			due = append(due, v)
		}
	}
	s.unlock()
	each(s.o.Parallel, due, func(v *ownedVM) { s.lease(ctx, v) })
}

func (s *Slots) leaseDue(v *ownedVM, now time.Time) bool {
	switch {
	case v.leasing || v.gone():
		return false
	case !v.leased(now):
		return s.mayAcquire(v, now)
	case !v.ready || v.unresolved() && v.count(starting) == 0:
		return true
	case now.Sub(v.leasedAt) < RenewEvery:
		return false
	}
	return s.o.Membership.Valid() == nil || v.count(running) > 0
}

// mayAcquire decides whether to acquire a lease that is not held. An entry
// without a valid session renews the leases of running tasks but takes none.
// After an acquisition with unknown outcome the old lease must lapse first when
// tasks wait for the proof that the worker has stopped them.
func (s *Slots) mayAcquire(v *ownedVM, now time.Time) bool {
	if s.o.Membership.Valid() != nil {
		return false
	}
	lapsed := !v.confirmedAt.IsZero() && now.Sub(v.confirmedAt) > LeaseTTL
	return !(v.lastUnknown && lapsed && len(v.slots) > 0)
}

// lease acquires or renews the lease of a VM and reads its task list if needed.
func (s *Slots) lease(ctx context.Context, v *ownedVM) {
	if s.acquire(ctx, v) {
		s.mu.Lock()
		needList := !v.ready && !v.dropped
		s.mu.Unlock()
		if needList {
			s.poll(ctx, v)
		}
	}
}

// acquire makes one Acquire call and reports whether the lease is held.
func (s *Slots) acquire(ctx context.Context, v *ownedVM) bool {
	s.mu.Lock()
	now := s.o.Clock.Now()
	if v.dropped || v.leasing {
		s.unlock()
		return false
	}
	fresh := s.chooseEpoch(v, now)
	v.leasing = true
	epoch := v.epoch
	s.stats.WorkerCalls++
	s.unlock()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.o.Workers.Acquire(ctx, v.id, backing.Lease{Holder: s.self, Epoch: epoch}, LeaseTTL)

	s.mu.Lock()
	defer s.unlock()
	v.leasing = false
	s.settleLease(v, now, fresh, err)
	return err == nil && !v.dropped
}

// chooseEpoch keeps the epoch of a lease that is held and has nothing to
// prove. Otherwise it raises the epoch and reports true.
func (s *Slots) chooseEpoch(v *ownedVM, now time.Time) bool {
	prove := v.unresolved() && v.count(starting) == 0 && v.ready
	if v.leased(now) && !prove {
		return false
	}
	epoch := max(s.shardMapNow().version<<epochBits, s.floors[v.id], v.epoch)
	if v.ready {
		// The lease may have lapsed since the last list, or starts are
		// unresolved: the next list must prove that they are refused.
		epoch = max(epoch, v.epoch+1)
	}
	v.epoch = epoch
	v.ready = false
	v.leasedAt = time.Time{}
	return true
}

func (s *Slots) settleLease(v *ownedVM, before time.Time, fresh bool, err error) {
	now := s.o.Clock.Now()
	v.lastUnknown = false
	switch {
	case err == nil:
		v.leasedAt, v.confirmedAt, v.maybeAt = before, before, now
		v.contacted, v.lost = true, false
		v.fencedAt = time.Time{}
		if fresh {
			s.event(EventAcquired, v.id, "", "epoch %d", v.epoch)
		}
	case errors.Is(err, backing.ErrFenced):
		s.fenced(v, now)
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrNotFound):
	default:
		v.maybeAt = now
		v.lastUnknown = true
	}
}

// fenced handles the proof that another entry holds the lease. That entry
// reads the task list and reports what stands in it.
func (s *Slots) fenced(v *ownedVM, now time.Time) {
	if v.fencedAt.IsZero() {
		v.fencedAt = now
		s.event(EventFenced, v.id, "", "epoch %d refused", v.epoch)
	}
	s.forgetSlots(v)
	v.leasedAt, v.confirmedAt, v.maybeAt = time.Time{}, time.Time{}, time.Time{}
	v.ready, v.contacted, v.lost = false, false, false
	v.ownedSince = now
	if now.Sub(v.fencedAt) > lostAfter {
		// The other holder would have been replaced by now if it were the
		// owner of a newer member list, so it holds a higher counter of the
		// present version without renewing it.
		s.floors[v.id] = v.epoch + 1
		v.fencedAt = now
	}
	v.epoch = 0
}

// forgetSlots drops all slots whose start is not in flight.
func (s *Slots) forgetSlots(v *ownedVM) {
	v.slots = map[fleet.AttemptID]*slot{}
	s.dropListedEnds(v.id)
}

// reportLost reports the tasks of a worker whose lease must have lapsed: the
// worker has stopped them. Without an own lease before, that is only certain
// when the platform shows the VM as gone, as an earlier owner that is cut off
// goes on renewing the leases of running tasks. It also needs evidence: another
// entry may have taken the lease over and be running the tasks, and an entry
// whose evidence is fresh has the member list of some seconds ago.
func (s *Slots) reportLost(v *ownedVM, now time.Time) {
	if v.lost || v.leased(now) || v.leasing || now.Sub(s.lapseStart(v)) < lostAfter {
		return
	}
	if !v.contacted && !v.gone() || s.o.Membership.Valid() != nil || s.o.View.Fresh() != nil {
		return
	}
	v.lost, v.ready = true, false
	v.leasedAt = time.Time{}
	s.event(EventLost, v.id, "", "%d tasks", v.count(running)+v.count(unknown))
	for id, sl := range v.slots {
		switch sl.phase {
		case running, unknown:
			s.stats.LostTasks++
			s.queueEnd(lostEnd(v.id, id, sl), false)
			delete(v.slots, id)
		case reserved:
			delete(v.slots, id)
		}
	}
}

// lapseStart is the time from which the worker's lease runs out at the latest.
func (s *Slots) lapseStart(v *ownedVM) time.Time {
	start := v.ownedSince
	if v.maybeAt.After(start) {
		start = v.maybeAt
	}
	if gone := s.known[v.id].goneSince; gone.After(start) && !v.contacted {
		start = gone
	}
	return start
}

func (s *Slots) expireReservations(v *ownedVM, now time.Time) {
	for id, sl := range v.slots {
		if sl.phase == reserved && !now.Before(sl.expires) {
			delete(v.slots, id)
		}
	}
}

func openError(format string, args ...any) error {
	return fmt.Errorf("outcome of start open: "+format, args...)
}
