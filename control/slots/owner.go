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
	retrySoon = 200 * time.Millisecond // after a lack of slots
	retryView = time.Second            // after a lack of evidence
	// refusePause is the time for which a VM whose worker refused a start gets
	// no more work; the VM list may lag behind a worker that is leaving.
	refusePause = 5 * time.Second
)

var errNotOwner = errors.New("VM has another owner")

// mayStart returns nil if this entry may start tasks in a data centre now.
// The caller makes this check directly before the side effect. s.mu is held.
func (s *Slots) mayStart(dc fleet.DataCentreName, now time.Time) error {
	if err := s.o.Membership.Valid(); err != nil {
		return err
	}
	if err := s.o.View.Fresh(); err != nil {
		return err
	}
	snapshot := s.o.View.Snapshot()
	if snapshot == nil {
		return refuse(fleet.ReasonStaleView, retryView, "no configuration known")
	}
	declared, ok := snapshot.DataCentres[dc]
	if !ok || declared.State == fleet.DataCentreOut {
		return refuse(fleet.ReasonDataCentreOut, retryView, string(dc))
	}
	if now.Sub(s.listedAt) > listUse {
		return refuse(fleet.ReasonStaleView, retryView, "VM list not current")
	}
	return nil
}

func refuse(reason fleet.Reason, retry time.Duration, detail string) *fleet.Refusal {
	return &fleet.Refusal{Reason: reason, Detail: detail, RetryAfter: retry}
}

// reserveLocal reserves a slot on a VM that this entry owns.
func (s *Slots) reserveLocal(dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	s.mu.Lock()
	defer s.unlock()
	now := s.o.Clock.Now()
	if err := s.mayStart(dc, now); err != nil {
		return control.Reservation{}, err
	}
	if v, sl := s.find(req.Attempt); sl != nil {
		return s.repeated(v, sl, req.Attempt, now)
	}
	if _, dead := s.tombstones[req.Attempt]; dead {
		return control.Reservation{}, refuse(fleet.ReasonCanceled, 0, "attempt was given up")
	}
	decision := s.placer.Place(s.placementSnapshot(req.Pool, now), placementRequest(dc, req), now)
	if !decision.Placed() {
		return control.Reservation{}, refuse(fleet.ReasonNoCapacity, retrySoon, decision.Counts.String())
	}
	v := s.vms[decision.VM]
	sl := &slot{
		phase: reserved, job: req.Job, pool: req.Pool, class: req.Class, need: req.Need,
		expires: now.Add(ReservationTTL), runTime: req.RunTime, due: req.Deadline,
	}
	v.slots[req.Attempt] = sl
	return s.reservation(v, req.Attempt), nil
}

// repeated answers a reservation that was made before, whose answer was lost.
func (s *Slots) repeated(v *ownedVM, sl *slot, id fleet.AttemptID, now time.Time) (control.Reservation, error) {
	if sl.phase != reserved {
		return control.Reservation{}, openError("attempt %s was started before", id)
	}
	sl.expires = now.Add(ReservationTTL)
	return s.reservation(v, id), nil
}

func (s *Slots) reservation(v *ownedVM, id fleet.AttemptID) control.Reservation {
	return control.Reservation{
		Owner: s.self, VM: v.id, DataCentre: v.vm.DataCentre, Epoch: v.epoch, Attempt: id, TTL: ReservationTTL,
	}
}

func (s *Slots) find(id fleet.AttemptID) (*ownedVM, *slot) {
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

// placementSnapshot describes the owned VMs of a pool.
func (s *Slots) placementSnapshot(pool fleet.PoolName, now time.Time) *placement.Snapshot {
	vms := make([]placement.VM, 0, len(s.vms))
	for _, v := range s.vms {
		assigned, ok := s.o.Pools.Assignment(v.id)
		if !ok || assigned.Pool != pool {
			continue
		}
		s.expireReservations(v, now)
		vms = append(vms, s.placementVM(v, assigned, now))
	}
	return placement.NewSnapshot(vms)
}

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
		Leaving:       v.vm.State != fleet.VMLive || now.Before(v.refusesTill),
		Usable:        v.usable(now),
		Health:        healthOf[s.health.State(v.id)],
		MaintenanceAt: assigned.MaintenanceAt,
		Slots:         v.vm.Slots, Used: len(v.slots),
		Capacity: v.vm.Capacity,
		Free: fleet.Resources{
			MilliCPU:     min(free.MilliCPU, observed.MilliCPU),
			MemoryMB:     min(free.MemoryMB, observed.MemoryMB),
			Accelerators: free.Accelerators,
		},
	}
}

var healthOf = map[quarantine.State]placement.Health{
	quarantine.Healthy:     placement.Healthy,
	quarantine.Probation:   placement.Probation,
	quarantine.Quarantined: placement.Quarantined,
}

// startLocal starts the task of a reservation held here.
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

	err = s.o.Workers.Start(ctx, v.id, lease, task)

	s.mu.Lock()
	err = s.settleStart(v, task.ID, sl, err)
	stop := err == nil && sl.cancelled
	s.unlock()
	if stop {
		_ = s.stop(v.id, lease, task.ID) // best effort: the job owner repeats a cancellation
	}
	return err
}

// checkStart returns the reserved slot if the task may be started now. Without
// a slot, a nil error means that the task is running already.
func (s *Slots) checkStart(ctx context.Context, res control.Reservation, task backing.Task) (*ownedVM, *slot, error) {
	now := s.o.Clock.Now()
	v := s.vms[res.VM]
	if _, ended := s.tombstones[task.ID]; ended || s.ends[task.ID] != nil {
		return nil, nil, s.buried(task.ID)
	}
	if v == nil {
		return nil, nil, refuse(fleet.ReasonNoCapacity, retrySoon, "VM has another owner")
	}
	sl := v.slots[task.ID]
	if sl == nil || task.ID != res.Attempt {
		return nil, nil, refuse(fleet.ReasonNoCapacity, retrySoon, "no such reservation")
	}
	if sl.phase == running {
		return nil, nil, nil
	}
	if sl.phase != reserved {
		return nil, nil, openError("attempt %s was sent before", task.ID)
	}
	if err := s.checkReserved(ctx, v, sl, now); err != nil {
		delete(v.slots, task.ID)
		s.bury(task.ID, false)
		return nil, nil, err
	}
	return v, sl, nil
}

func (s *Slots) buried(id fleet.AttemptID) error {
	if t, ok := s.tombstones[id]; ok && !t.ended && s.ends[id] == nil {
		return refuse(fleet.ReasonCanceled, 0, "attempt was given up")
	}
	if pending := s.ends[id]; pending != nil && pending.end.NotStarted {
		return refuse(fleet.ReasonCanceled, 0, "attempt was given up")
	}
	return openError("attempt %s has ended", id)
}

// checkReserved makes every check that must hold directly before a start.
func (s *Slots) checkReserved(ctx context.Context, v *ownedVM, sl *slot, now time.Time) error {
	if !now.Before(sl.expires) {
		return refuse(fleet.ReasonNoCapacity, retrySoon, "reservation expired")
	}
	if ctx.Err() != nil {
		return refuse(fleet.ReasonDeadline, 0, "request ended before the start")
	}
	if err := s.mayStart(v.vm.DataCentre, now); err != nil {
		return err
	}
	if s.shardMapNow().owner(v.id, v.vm.DataCentre) != s.self {
		return refuse(fleet.ReasonNoCapacity, retrySoon, "VM has another owner")
	}
	assigned, ok := s.o.Pools.Assignment(v.id)
	if !ok || assigned.Pool != sl.pool || assigned.State != placement.Active {
		return refuse(fleet.ReasonNoCapacity, retrySoon, "VM leaves the pool")
	}
	if v.vm.State != fleet.VMLive {
		return refuse(fleet.ReasonNoCapacity, retrySoon, "VM is leaving")
	}
	if !v.usable(now) {
		return refuse(fleet.ReasonNoCapacity, retrySoon, "no dispatch lease")
	}
	return nil
}

// settleStart records the outcome of a start; s.mu is held.
func (s *Slots) settleStart(v *ownedVM, id fleet.AttemptID, sl *slot, err error) error {
	now := s.o.Clock.Now()
	s.seq++
	sl.settled = s.seq
	v.activeAt = now
	var proved *fleet.Refusal
	switch {
	case err == nil:
		sl.phase = running
		sl.ends = now.Add(sl.runTime)
		s.stats.Started++
		return nil
	case errors.Is(err, backing.ErrRefused):
		v.refusesTill = now.Add(refusePause)
		s.event(EventFull, v.id, id, "%v", err)
		proved = refuse(fleet.ReasonNoCapacity, retrySoon, "worker refused the task")
	case errors.Is(err, backing.ErrFenced):
		s.distrust(v)
		proved = refuse(fleet.ReasonNoCapacity, retrySoon, "dispatch lease lost")
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrNotFound):
		proved = refuse(fleet.ReasonNoCapacity, retrySoon, "worker unreachable")
	default:
		sl.phase = unknown
		s.stats.UnknownStarts++
		s.event(EventUnknown, v.id, id, "%v", err)
		return openError("attempt %s on %s: %w", id, v.id, err)
	}
	if v.slots[id] == sl {
		delete(v.slots, id)
	}
	s.bury(id, false)
	return proved
}

// releaseLocal gives a reservation up.
func (s *Slots) releaseLocal(res control.Reservation) {
	s.mu.Lock()
	defer s.unlock()
	if v := s.vms[res.VM]; v != nil {
		if sl := v.slots[res.Attempt]; sl != nil && sl.phase == reserved {
			delete(v.slots, res.Attempt)
			s.bury(res.Attempt, false)
		}
	}
}

// cancelLocal stops a task, or keeps its reservation from being started.
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
		s.bury(id, false)
	}
	sl.cancelled = true
	lease := backing.Lease{Holder: s.self, Epoch: v.epoch}
	stop := sl.phase == running || sl.phase == unknown
	s.unlock()
	if !stop {
		return nil
	}
	return s.stop(vm, lease, id)
}

func (s *Slots) stop(vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.o.Workers.Stop(ctx, vm, lease, id)
}

// lookup is what the owner says of an attempt.
type lookup struct {
	status backing.TaskStatus
	end    *control.TaskEnd
	known  bool
}

// lookupLocal answers for a VM that this entry owns.
func (s *Slots) lookupLocal(ctx context.Context, vm fleet.VMID, id fleet.AttemptID) lookup {
	v, lease, answer, done := s.lookupMemory(vm, id)
	if done {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.o.Workers.Tasks(ctx, vm, lease)
	s.mu.Lock()
	defer s.unlock()
	s.stats.WorkerCalls++
	if err != nil || v.dropped || v.epoch != lease.Epoch {
		return lookup{}
	}
	for _, status := range list {
		if status.ID == id {
			s.unbury(id)
			return lookupListed(vm, status)
		}
	}
	if s.tombstones[id].ended || v.slots[id] != nil || s.ends[id] != nil {
		return lookup{} // ended, or its start is in flight, unresolved or done meanwhile
	}
	s.bury(id, v.amnesia)
	end := control.TaskEnd{Attempt: id, VM: vm, NotStarted: !v.amnesia, Detail: "not in the worker's list"}
	return lookup{end: &end, known: true}
}

func lookupListed(vm fleet.VMID, status backing.TaskStatus) lookup {
	answer := lookup{status: status, known: true}
	if status.State != backing.TaskRunning {
		end := endOf(vm, status)
		answer.end = &end
	}
	return answer
}

// lookupMemory answers from memory where that is certain. Otherwise it gives up
// a reservation of the attempt and returns the lease under which the task list
// is proof, if no start was sent from here by the time the list arrives.
func (s *Slots) lookupMemory(vm fleet.VMID, id fleet.AttemptID) (*ownedVM, backing.Lease, lookup, bool) {
	s.mu.Lock()
	defer s.unlock()
	v := s.vms[vm]
	if v == nil || s.shardMapNow().owner(vm, v.vm.DataCentre) != s.self {
		return nil, backing.Lease{}, lookup{}, true
	}
	if pending := s.ends[id]; pending != nil && !pending.acked {
		end := pending.end
		return nil, backing.Lease{}, lookup{status: statusOf(end), end: &end, known: true}, true
	}
	if v.lost {
		end := control.TaskEnd{Attempt: id, VM: vm, Detail: "worker lost"}
		return nil, backing.Lease{}, lookup{end: &end, known: true}, true
	}
	if !v.leased(s.o.Clock.Now()) || !v.ready {
		return nil, backing.Lease{}, lookup{}, true
	}
	if sl := v.slots[id]; sl != nil && sl.phase == reserved {
		delete(v.slots, id)
		s.bury(id, false)
	}
	if s.tombstones[id].ended {
		return nil, backing.Lease{}, lookup{}, true
	}
	return v, backing.Lease{Holder: s.self, Epoch: v.epoch}, lookup{}, false
}

func statusOf(end control.TaskEnd) backing.TaskStatus {
	return backing.TaskStatus{
		ID: end.Attempt, Job: end.Job, Step: end.Step, State: end.State, Body: end.Body, Detail: end.Detail, Usage: end.Usage,
	}
}
