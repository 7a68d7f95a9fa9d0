package slots

import (
	"context"
	"errors"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/estimate"
	"amaranthfork.example/policy/quarantine"
)

// Intervals between two reads of a VM's task list.
const (
	busyPollInterval    = 100 * time.Millisecond // within busyPeriod after a start or end
	runningPollInterval = 250 * time.Millisecond
	idlePollInterval    = 5 * time.Second
	busyPeriod          = time.Second
	// reliefInterval is the minimum time between two actions on an overloaded VM.
	// Reported usage lags, so the effect of an action becomes visible late.
	reliefInterval = 2 * time.Second
)

// TickTasks reads the task lists that are due, with one Tasks call for each VM.
// The caller runs it every 50 ms.
func (s *Slots) TickTasks(ctx context.Context) {
	s.mu.Lock()
	now := s.options.Clock.Now()
	var due []*ownedVM
	for _, v := range s.vms {
		if !v.polling && v.leased(now) && now.Sub(v.polledAt) >= pollInterval(v, now) {
			due = append(due, v)
		}
	}
	s.unlock()
	forEach(s.options.MaxParallelCalls, due, func(v *ownedVM) { s.poll(ctx, v) })
}

func pollInterval(v *ownedVM, now time.Time) time.Duration {
	switch {
	case len(v.slots) == 0:
		return idlePollInterval
	case v.hasUnconfirmedStart(), now.Sub(v.activeAt) < busyPeriod:
		return busyPollInterval
	default:
		return runningPollInterval
	}
}

// poll reads the task list of a VM and applies it.
func (s *Slots) poll(ctx context.Context, v *ownedVM) {
	s.mu.Lock()
	if v.dropped || v.polling || v.acquiring || !v.leased(s.options.Clock.Now()) {
		s.unlock()
		return
	}
	v.polling = true
	v.polledAt = s.options.Clock.Now()
	lease := backing.Lease{Holder: s.self, Epoch: v.epoch}
	s.seq++
	seq := s.seq
	s.stats.WorkerCalls++
	s.unlock()

	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	list, err := s.options.Workers.Tasks(callCtx, v.id, lease)
	cancel()

	s.mu.Lock()
	v.polling = false
	var actions []estimate.Action
	switch {
	case v.dropped || v.epoch != lease.Epoch:
	case errors.Is(err, backing.ErrFenced):
		s.invalidateLease(v)
	case err == nil:
		s.applyList(v, list, seq)
		actions = s.relieve(v)
	}
	s.unlock()
	s.applyRelief(ctx, v, lease, actions)
}

// invalidateLease makes the next TickLeases acquire the lease again, with a
// higher epoch.
func (s *Slots) invalidateLease(v *ownedVM) {
	v.leasedAt = time.Time{}
}

// applyList updates the slots from a task list that was requested under the
// current epoch; seq is the sequence number of the request.
func (s *Slots) applyList(v *ownedVM, list []backing.TaskStatus, seq uint64) {
	listed := make(map[fleet.AttemptID]bool, len(list))
	for _, status := range list {
		listed[status.ID] = true
		if status.State == backing.TaskRunning {
			s.applyRunning(v, status)
		} else {
			s.applyEnded(v, status)
		}
	}
	for _, p := range []phase{running, unconfirmed} { // running first: it sets lostList, which unconfirmed ones need
		for id, sl := range v.slots {
			if sl.phase == p && !listed[id] && sl.outcomeSeq < seq {
				s.applyAbsent(v, id, sl)
			}
		}
	}
	v.listRead = true
}

// applyRunning updates the slot of a running task, or adds one if this entry did
// not start the task.
func (s *Slots) applyRunning(v *ownedVM, status backing.TaskStatus) {
	sl, ok := v.slots[status.ID]
	if !ok {
		sl = &slot{need: status.Need, epoch: v.epoch}
		v.slots[status.ID] = sl
		v.activeAt = s.options.Clock.Now()
	}
	if sl.phase != starting {
		sl.phase = running
	}
	sl.job, sl.step = status.Job, status.Step
	sl.usage, sl.usageAt = status.Usage, status.UsageAt
}

// applyEnded frees the slot of an ended task and queues its end.
func (s *Slots) applyEnded(v *ownedVM, status backing.TaskStatus) {
	sl := v.slots[status.ID]
	if sl != nil {
		v.activeAt = s.options.Clock.Now()
		delete(v.slots, status.ID)
	}
	end := endOf(v.id, status)
	if s.queueEnd(end, true) && sl != nil {
		s.observeEnd(v, sl, end)
	}
}

// applyAbsent handles a slot whose attempt is not in a task list that was
// requested after the Start call had returned.
func (s *Slots) applyAbsent(v *ownedVM, id fleet.AttemptID, sl *slot) {
	switch {
	case sl.phase == running:
		// The worker was replaced and has lost its task list.
		s.stats.LostTasks++
		v.lostList = true
		s.queueEnd(lostEnd(v.id, id, sl), false)
		delete(v.slots, id)
	case sl.phase == unconfirmed && sl.epoch < v.epoch:
		// The worker rejects the epoch of the start from now on.
		end := lostEnd(v.id, id, sl)
		end.NotStarted = !v.lostList
		s.addTombstone(id, v.lostList)
		s.queueEnd(end, false)
		delete(v.slots, id)
	}
}

// observeEnd passes a completed or failed task to the quarantine policy. Tasks
// taken over from another owner have no class and are left out.
func (s *Slots) observeEnd(v *ownedVM, sl *slot, end control.TaskEnd) {
	if sl.class == "" || end.State != backing.TaskCompleted && end.State != backing.TaskFailed {
		return
	}
	s.health.Observe(quarantine.TaskEnd{
		VM: v.id, Class: sl.class, Job: end.Job, Failed: end.State == backing.TaskFailed,
	})
}

// relieve decides how to reduce the load of a VM whose tasks use more than its
// capacity. It returns no actions within reliefInterval of the last ones, and
// none before usage was reported after a throttle.
func (s *Slots) relieve(v *ownedVM) []estimate.Action {
	now := s.options.Clock.Now()
	if now.Sub(v.relievedAt) < reliefInterval {
		return nil
	}
	var tasks []estimate.Running
	for id, sl := range v.slots {
		if sl.phase != running {
			continue
		}
		if !sl.throttledAt.IsZero() && !sl.usageAt.After(sl.throttledAt) {
			return nil // usage was not reported since the throttle
		}
		tasks = append(tasks, estimate.Running{ID: id, Need: sl.need, Usage: sl.usage, Throttled: !sl.throttledAt.IsZero()})
	}
	actions := estimate.Relieve(v.vm.Capacity, tasks)
	for _, action := range actions {
		v.relievedAt = now
		if action.Kind == estimate.Throttle {
			v.slots[action.Task].throttledAt = now
		}
	}
	return actions
}

// applyRelief throttles or checkpoints tasks on the worker.
func (s *Slots) applyRelief(ctx context.Context, v *ownedVM, lease backing.Lease, actions []estimate.Action) {
	for _, action := range actions {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		kind, err := EventTaskThrottled, error(nil)
		if action.Kind == estimate.Throttle {
			err = s.options.Workers.Throttle(callCtx, v.id, lease, action.Task, action.MilliCPU)
		} else {
			kind = EventTaskCheckpoint
			err = s.options.Workers.Checkpoint(callCtx, v.id, lease, action.Task)
		}
		cancel()
		s.mu.Lock()
		s.stats.WorkerCalls++
		s.queueEvent(kind, v.id, action.Task, "%s, error %v", action.Reason, err)
		s.unlock()
	}
}
