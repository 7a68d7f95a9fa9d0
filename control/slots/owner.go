package slots

import (
	"context"
	"errors"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
	"amaranthfork.example/policy/quarantine"
)

const (
	capacityRetryAfter = 200 * time.Millisecond // RetryAfter of refusals for lack of slots
	viewRetryAfter     = time.Second            // RetryAfter of refusals until the view or VM list changes
	// refusalPause is how long a VM whose worker refused a start gets no more
	// work; the VM list may lag behind a worker that is leaving.
	refusalPause = 5 * time.Second
)

var errNotOwner = errors.New("VM has another owner")

// checkStartAllowed returns nil if this entry may start tasks in a data centre
// now. The caller checks it directly before the side effect. s.mu is held.
func (s *Slots) checkStartAllowed(dc fleet.DataCentreName, now time.Time) error {
	if err := s.options.Membership.Valid(); err != nil {
		return err
	}
	if err := s.options.View.Fresh(); err != nil {
		return err
	}
	snapshot := s.options.View.Snapshot()
	if snapshot == nil {
		return refuse(fleet.ReasonStaleView, viewRetryAfter, "no configuration known")
	}
	declared, ok := snapshot.DataCentres[dc]
	if !ok || declared.State == fleet.DataCentreOut {
		return refuse(fleet.ReasonDataCentreOut, viewRetryAfter, string(dc))
	}
	if now.Sub(s.listedAt) > listMaxAge {
		return refuse(fleet.ReasonStaleView, viewRetryAfter, "VM list is out of date")
	}
	return nil
}

func refuse(reason fleet.Reason, retryAfter time.Duration, detail string) *fleet.Refusal {
	return &fleet.Refusal{Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// reserveLocal reserves a slot on a VM that this entry owns.
func (s *Slots) reserveLocal(dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	s.mu.Lock()
	defer s.unlock()
	now := s.options.Clock.Now()
	if err := s.checkStartAllowed(dc, now); err != nil {
		return control.Reservation{}, err
	}
	if v, sl := s.findSlot(req.Attempt); sl != nil {
		return s.repeatReservation(v, sl, req.Attempt, now)
	}
	if _, found := s.tombstones[req.Attempt]; found {
		return control.Reservation{}, refuse(fleet.ReasonCanceled, 0, "attempt was given up")
	}
	decision := s.placer.Place(s.placementSnapshot(req.Pool, now), placementRequest(dc, req), now)
	if !decision.Placed() {
		return control.Reservation{}, refuse(fleet.ReasonNoCapacity, capacityRetryAfter, decision.Rejections.String())
	}
	v := s.vms[decision.VM]
	sl := &slot{
		phase: reserved, job: req.Job, pool: req.Pool, class: req.Class, need: req.Need,
		expiresAt: now.Add(ReservationTTL), runTime: req.RunTime, deadline: req.Deadline,
	}
	v.slots[req.Attempt] = sl
	return s.reservation(v, req.Attempt), nil
}

// repeatReservation answers a request for an attempt that has a slot already, as
// after a lost answer. It extends the reservation.
func (s *Slots) repeatReservation(v *ownedVM, sl *slot, id fleet.AttemptID, now time.Time) (control.Reservation, error) {
	if sl.phase != reserved {
		return control.Reservation{}, unconfirmedError("attempt %s was started before", id)
	}
	sl.expiresAt = now.Add(ReservationTTL)
	return s.reservation(v, id), nil
}

func (s *Slots) reservation(v *ownedVM, id fleet.AttemptID) control.Reservation {
	return control.Reservation{
		Owner: s.self, VM: v.id, DataCentre: v.vm.DataCentre, Epoch: v.epoch, Attempt: id, TTL: ReservationTTL,
	}
}

// findSlot returns the slot of an attempt and its VM, nil if there is none.
func (s *Slots) findSlot(id fleet.AttemptID) (*ownedVM, *slot) {
	for _, v := range s.vms {
		if sl, ok := v.slots[id]; ok {
			return v, sl
		}
	}
	return nil, nil
}

func placementRequest(dc fleet.DataCentreName, req control.ReserveRequest) placement.Request {
	return placement.Request{Pool: req.Pool, DataCentre: dc, Need: req.Need, RunTime: req.RunTime, Avoid: req.Avoid}
}

// placementSnapshot returns the owned VMs of a pool as input of the placement
// policy.
func (s *Slots) placementSnapshot(pool fleet.PoolName, now time.Time) *placement.Snapshot {
	vms := make([]placement.VM, 0, len(s.vms))
	for _, v := range s.vms {
		assigned, ok := s.options.Pools.Assignment(v.id)
		if !ok || assigned.Pool != pool {
			continue
		}
		s.expireReservations(v, now)
		vms = append(vms, s.placementVM(v, assigned, now))
	}
	return placement.NewSnapshot(vms)
}

// placementVM describes a VM to the placement policy. Processors and memory are
// free only if neither the tasks' needs nor their reported usage occupy them.
func (s *Slots) placementVM(v *ownedVM, assigned Assignment, now time.Time) placement.VM {
	var need, usage fleet.Resources
	for _, sl := range v.slots {
		need = need.Add(sl.need)
		usage = usage.Add(sl.usage)
	}
	free := v.vm.Capacity.Sub(need)
	observed := v.vm.Capacity.Sub(usage)
	return placement.VM{
		ID: v.id, DataCentre: v.vm.DataCentre, Rack: v.vm.Rack, Pool: assigned.Pool, State: assigned.State,
		Leaving:       v.vm.State != fleet.VMLive || now.Before(v.refusesUntil),
		LeaseHeld:     v.usable(now),
		Health:        placementHealth[s.health.State(v.id)],
		MaintenanceAt: assigned.MaintenanceAt,
		Slots:         v.vm.Slots, UsedSlots: len(v.slots),
		Capacity: v.vm.Capacity,
		Free: fleet.Resources{
			MilliCPU:     min(free.MilliCPU, observed.MilliCPU),
			MemoryMB:     min(free.MemoryMB, observed.MemoryMB),
			Accelerators: free.Accelerators,
		},
	}
}

var placementHealth = map[quarantine.State]placement.Health{
	quarantine.Healthy:     placement.Healthy,
	quarantine.Probation:   placement.Probation,
	quarantine.Quarantined: placement.Quarantined,
}

// startLocal starts the task of a reservation on a VM that this entry owns.
func (s *Slots) startLocal(ctx context.Context, res control.Reservation, task backing.Task) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	v, sl, err := s.checkStart(ctx, res, task)
	if sl == nil {
		s.unlock()
		return err
	}
	sl.phase = starting
	sl.job, sl.step, sl.epoch = task.Job, task.Step, v.epoch
	task.Need = sl.need
	lease := backing.Lease{Holder: s.self, Epoch: v.epoch}
	s.stats.WorkerCalls++
	s.unlock()

	err = s.options.Workers.Start(ctx, v.id, lease, task)

	s.mu.Lock()
	err = s.recordStart(v, task.ID, sl, err)
	stop := err == nil && sl.cancelled
	s.unlock()
	if stop {
		_ = s.stop(v.id, lease, task.ID) // best effort: the job owner repeats a cancellation
	}
	return err
}

// checkStart returns the reserved slot if the task may be started now. Without a
// slot, a nil error means that the task is running already. If the reservation no
// longer holds, the attempt gets a tombstone. s.mu is held.
func (s *Slots) checkStart(ctx context.Context, res control.Reservation, task backing.Task) (*ownedVM, *slot, error) {
	now := s.options.Clock.Now()
	v := s.vms[res.VM]
	if _, found := s.tombstones[task.ID]; found || s.ends[task.ID] != nil {
		return nil, nil, s.tombstoneError(task.ID)
	}
	if v == nil {
		return nil, nil, refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "VM has another owner")
	}
	sl := v.slots[task.ID]
	if sl == nil || task.ID != res.Attempt {
		return nil, nil, refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "no such reservation")
	}
	if sl.phase == running {
		return nil, nil, nil
	}
	if sl.phase != reserved {
		return nil, nil, unconfirmedError("attempt %s was sent before", task.ID)
	}
	if err := s.checkReservation(ctx, v, sl, now); err != nil {
		delete(v.slots, task.ID)
		s.addTombstone(task.ID, false)
		return nil, nil, err
	}
	return v, sl, nil
}

// tombstoneError returns the error of starting an attempt that certainly did not
// start, or that has ended.
func (s *Slots) tombstoneError(id fleet.AttemptID) error {
	if t, ok := s.tombstones[id]; ok && !t.ended && s.ends[id] == nil {
		return refuse(fleet.ReasonCanceled, 0, "attempt was given up")
	}
	if pending := s.ends[id]; pending != nil && pending.end.NotStarted {
		return refuse(fleet.ReasonCanceled, 0, "attempt was given up")
	}
	return unconfirmedError("attempt %s has ended", id)
}

// checkReservation checks everything that must hold directly before a start.
func (s *Slots) checkReservation(ctx context.Context, v *ownedVM, sl *slot, now time.Time) error {
	if !now.Before(sl.expiresAt) {
		return refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "reservation expired")
	}
	if ctx.Err() != nil {
		return refuse(fleet.ReasonDeadline, 0, "request was cancelled or timed out before the start")
	}
	if err := s.checkStartAllowed(v.vm.DataCentre, now); err != nil {
		return err
	}
	if s.currentOwners().owner(v.id, v.vm.DataCentre) != s.self {
		return refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "VM has another owner")
	}
	assigned, ok := s.options.Pools.Assignment(v.id)
	if !ok || assigned.Pool != sl.pool || assigned.State != placement.Active {
		return refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "VM is not active in the pool")
	}
	if v.vm.State != fleet.VMLive {
		return refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "VM is leaving")
	}
	if !v.usable(now) {
		return refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "no dispatch lease")
	}
	return nil
}

// recordStart records the outcome of a Start call; s.mu is held. It returns nil,
// a *fleet.Refusal if the task certainly did not start, or an unconfirmed error.
func (s *Slots) recordStart(v *ownedVM, id fleet.AttemptID, sl *slot, err error) error {
	now := s.options.Clock.Now()
	s.seq++
	sl.outcomeSeq = s.seq
	v.activeAt = now
	var refusal *fleet.Refusal
	switch {
	case err == nil:
		sl.phase = running
		sl.estimatedEnd = now.Add(sl.runTime)
		s.stats.Started++
		return nil
	case errors.Is(err, backing.ErrRefused):
		v.refusesUntil = now.Add(refusalPause)
		s.queueEvent(EventWorkerRefused, v.id, id, "%v", err)
		refusal = refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "worker refused the task")
	case errors.Is(err, backing.ErrFenced):
		s.invalidateLease(v)
		refusal = refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "dispatch lease lost")
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrNotFound):
		refusal = refuse(fleet.ReasonNoCapacity, capacityRetryAfter, "worker unreachable")
	default:
		sl.phase = unconfirmed
		s.stats.UnknownStarts++
		s.queueEvent(EventStartUnconfirmed, v.id, id, "%v", err)
		return unconfirmedError("attempt %s on %s: %w", id, v.id, err)
	}
	if v.slots[id] == sl {
		delete(v.slots, id)
	}
	s.addTombstone(id, false)
	return refusal
}

// releaseLocal drops a reservation that was not started.
func (s *Slots) releaseLocal(res control.Reservation) {
	s.mu.Lock()
	defer s.unlock()
	if v := s.vms[res.VM]; v != nil {
		if sl := v.slots[res.Attempt]; sl != nil && sl.phase == reserved {
			delete(v.slots, res.Attempt)
			s.addTombstone(res.Attempt, false)
		}
	}
}

// cancelLocal stops a task or drops its reservation. It returns errNotOwner,
// backing.ErrNotFound or the error of the worker.
func (s *Slots) cancelLocal(vm fleet.VMID, id fleet.AttemptID) error {
	s.mu.Lock()
	v := s.vms[vm]
	if v == nil {
		s.unlock()
		return errNotOwner
	}
	sl := v.slots[id]
	if sl == nil {
		s.unlock()
		return backing.ErrNotFound
	}
	if sl.phase == reserved {
		delete(v.slots, id)
		s.addTombstone(id, false)
	}
	sl.cancelled = true
	lease := backing.Lease{Holder: s.self, Epoch: v.epoch}
	stop := sl.phase == running || sl.phase == unconfirmed
	s.unlock()
	if !stop {
		return nil
	}
	return s.stop(vm, lease, id)
}

func (s *Slots) stop(vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.options.Workers.Stop(ctx, vm, lease, id)
}

// lookupAnswer is the answer to a lookup of an attempt, see
// control.Dispatcher.Lookup.
type lookupAnswer struct {
	status backing.TaskStatus
	end    *control.TaskEnd
	known  bool
}

// lookupLocal answers a lookup for a VM that this entry owns. It drops a
// reservation of the attempt. If the attempt is not in the task list, it cannot
// start any more.
func (s *Slots) lookupLocal(ctx context.Context, vm fleet.VMID, id fleet.AttemptID) lookupAnswer {
	v, lease, answer, done := s.lookupInMemory(vm, id)
	if done {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.options.Workers.Tasks(ctx, vm, lease)
	s.mu.Lock()
	defer s.unlock()
	s.stats.WorkerCalls++
	if err != nil || v.dropped || v.epoch != lease.Epoch {
		return lookupAnswer{}
	}
	for _, status := range list {
		if status.ID == id {
			s.removeTombstone(id)
			return lookupListed(vm, status)
		}
	}
	if s.tombstones[id].ended || v.slots[id] != nil || s.ends[id] != nil {
		return lookupAnswer{} // it has ended, or its start was sent before or during the call
	}
	s.addTombstone(id, v.lostList)
	end := control.TaskEnd{Attempt: id, VM: vm, NotStarted: !v.lostList, Detail: "not in the worker's list"}
	return lookupAnswer{end: &end, known: true}
}

func lookupListed(vm fleet.VMID, status backing.TaskStatus) lookupAnswer {
	answer := lookupAnswer{status: status, known: true}
	if status.State != backing.TaskRunning {
		end := endOf(vm, status)
		answer.end = &end
	}
	return answer
}

// lookupInMemory returns an answer and true if memory is sufficient or the state
// of the attempt cannot be known now. Otherwise it drops a reservation of the
// attempt and returns the lease with which to read the task list. Absence from
// that list proves that the attempt is not started, unless this entry has sent
// its start when the list arrives.
func (s *Slots) lookupInMemory(vm fleet.VMID, id fleet.AttemptID) (*ownedVM, backing.Lease, lookupAnswer, bool) {
	s.mu.Lock()
	defer s.unlock()
	v := s.vms[vm]
	if v == nil || s.currentOwners().owner(vm, v.vm.DataCentre) != s.self {
		return nil, backing.Lease{}, lookupAnswer{}, true
	}
	if pending := s.ends[id]; pending != nil && !pending.acknowledged {
		end := pending.end
		return nil, backing.Lease{}, lookupAnswer{status: statusOf(end), end: &end, known: true}, true
	}
	if v.reportedLost {
		end := control.TaskEnd{Attempt: id, VM: vm, Detail: "worker lost"}
		return nil, backing.Lease{}, lookupAnswer{end: &end, known: true}, true
	}
	if !v.leased(s.options.Clock.Now()) || !v.listRead {
		return nil, backing.Lease{}, lookupAnswer{}, true
	}
	if sl := v.slots[id]; sl != nil && sl.phase == reserved {
		delete(v.slots, id)
		s.addTombstone(id, false)
	}
	if s.tombstones[id].ended {
		return nil, backing.Lease{}, lookupAnswer{}, true
	}
	return v, backing.Lease{Holder: s.self, Epoch: v.epoch}, lookupAnswer{}, false
}

func statusOf(end control.TaskEnd) backing.TaskStatus {
	return backing.TaskStatus{
		ID: end.Attempt, Job: end.Job, Step: end.Step, State: end.State, Body: end.Body, Detail: end.Detail, Usage: end.Usage,
	}
}
