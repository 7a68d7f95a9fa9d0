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

// Intervals of task lists.
const (
	pollBusy    = 100 * time.Millisecond // within busyFor of a start or end
	pollRunning = 250 * time.Millisecond
	pollIdle    = 5 * time.Second
	busyFor     = time.Second
	// relieveEvery is the least time between two actions on an overfull VM.
	// Reported usage lags, so the effect of an action shows late.
	relieveEvery = 2 * time.Second
)

// TickTasks reads the task lists that are due. The caller runs it every 50 ms.
func (s *Slots) TickTasks(ctx context.Context) {
	s.mu.Lock()
	now := s.o.Clock.Now()
	var due []*ownedVM
	for _, v := range s.vms {
		if !v.polling && v.leased(now) && now.Sub(v.polledAt) >= pollInterval(v, now) {
			due = append(due, v)
		}
	}
	s.unlock()
	each(s.o.Parallel, due, func(v *ownedVM) { s.poll(ctx, v) })
}

func pollInterval(v *ownedVM, now time.Time) time.Duration {
	switch {
	case len(v.slots) == 0:
		return pollIdle
	case v.unresolved(), now.Sub(v.activeAt) < busyFor:
		return pollBusy
	default:
		return pollRunning
	}
}

// poll reads the task list of a VM and applies it.
func (s *Slots) poll(ctx context.Context, v *ownedVM) {
	s.mu.Lock()
	if v.dropped || v.polling || v.leasing || !v.leased(s.o.Clock.Now()) {
		s.unlock()
		return
	}
	v.polling = true
	v.polledAt = s.o.Clock.Now()
	lease := backing.Lease{Holder: s.self, Epoch: v.epoch}
	s.seq++
	seq := s.seq
	s.stats.WorkerCalls++
	s.unlock()

	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	list, err := s.o.Workers.Tasks(callCtx, v.id, lease)
	cancel()

	s.mu.Lock()
	v.polling = false
	var actions []estimate.Action
	switch {
	case v.dropped || v.epoch != lease.Epoch:
	case errors.Is(err, backing.ErrFenced):
		s.distrust(v)
	case err == nil:
		s.applyList(v, list, seq)
		actions = s.relieve(v)
	}
	s.unlock()
	s.act(ctx, v, lease, actions)
}

// distrust makes the next tick acquire the lease again, with a higher epoch.
func (s *Slots) distrust(v *ownedVM) {
	v.leasedAt = time.Time{}
}

// applyList takes the worker's list, requested at seq under the present epoch.
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
	for _, p := range []phase{running, unknown} { // amnesia shows in running tasks first
		for id, sl := range v.slots {
			if sl.phase == p && !listed[id] && sl.settled < seq {
				s.applyAbsent(v, id, sl)
			}
		}
	}
	v.ready = true
}

func (s *Slots) applyRunning(v *ownedVM, status backing.TaskStatus) {
	sl, ok := v.slots[status.ID]
	if !ok {
		sl = &slot{need: status.Need, epoch: v.epoch}
		v.slots[status.ID] = sl
		v.activeAt = s.o.Clock.Now()
	}
	if sl.phase != starting {
		sl.phase = running
	}
	sl.job, sl.step = status.Job, status.Step
	sl.usage, sl.usageAt = status.Usage, status.UsageAt
}

func (s *Slots) applyEnded(v *ownedVM, status backing.TaskStatus) {
	sl := v.slots[status.ID]
	if sl != nil {
		v.activeAt = s.o.Clock.Now()
		delete(v.slots, status.ID)
	}
	end := endOf(v.id, status)
	if s.queueEnd(end, true) && sl != nil {
		s.observe(v, sl, end)
	}
}

// applyAbsent handles a slot whose attempt is not in a list that was requested
// after the start's outcome was known.
func (s *Slots) applyAbsent(v *ownedVM, id fleet.AttemptID, sl *slot) {
	switch {
	case sl.phase == running:
		// The worker was replaced and has lost its list.
		s.stats.LostTasks++
		v.amnesia = true
		s.queueEnd(lostEnd(v.id, id, sl), false)
		delete(v.slots, id)
	case sl.phase == unknown && sl.epoch < v.epoch:
		// The worker refuses the epoch of the start from now on.
		end := lostEnd(v.id, id, sl)
		end.NotStarted = !v.amnesia
		s.bury(id, v.amnesia)
		s.queueEnd(end, false)
		delete(v.slots, id)
	}
}

func (s *Slots) observe(v *ownedVM, sl *slot, end control.TaskEnd) {
	if sl.class == "" || end.State != backing.TaskCompleted && end.State != backing.TaskFailed {
		return
	}
	s.health.Observe(quarantine.End{
		VM: v.id, Class: sl.class, Job: end.Job, Failed: end.State == backing.TaskFailed,
	})
}

// relieve decides on an overfull VM.
func (s *Slots) relieve(v *ownedVM) []estimate.Action {
	now := s.o.Clock.Now()
	if now.Sub(v.relieved) < relieveEvery {
		return nil
	}
	var tasks []estimate.Running
	for id, sl := range v.slots {
		if sl.phase != running {
			continue
		}
		if !sl.throttled.IsZero() && !sl.usageAt.After(sl.throttled) {
			return nil // the effect of the throttle is not reported yet
		}
		tasks = append(tasks, estimate.Running{ID: id, Need: sl.need, Usage: sl.usage, Throttled: !sl.throttled.IsZero()})
	}
	actions := estimate.Relieve(v.vm.Capacity, tasks)
	for _, action := range actions {
		v.relieved = now
		if action.Kind == estimate.Throttle {
			v.slots[action.Task].throttled = now
		}
	}
	return actions
}

func (s *Slots) act(ctx context.Context, v *ownedVM, lease backing.Lease, actions []estimate.Action) {
	for _, action := range actions {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		kind, err := EventThrottled, error(nil)
		if action.Kind == estimate.Throttle {
			err = s.o.Workers.Throttle(callCtx, v.id, lease, action.Task, action.MilliCPU)
		} else {
			kind = EventCheckpoint
			err = s.o.Workers.Checkpoint(callCtx, v.id, lease, action.Task)
		}
		cancel()
		s.mu.Lock()
		s.stats.WorkerCalls++
		s.event(kind, v.id, action.Task, "%s, error %v", action.Reason, err)
		s.unlock()
	}
}
