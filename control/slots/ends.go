package slots

import (
	"context"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// An end is reported again until it is acknowledged; the delay doubles each time.
const (
	firstRetryDelay = 200 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

// pendingEnd is the end of a task that its job's owner has not acknowledged or
// that the worker has not forgotten yet.
type pendingEnd struct {
	end          control.TaskEnd
	listed       bool // in the worker's task list, until Forget succeeds
	acknowledged bool
	reporting    bool // a report is in flight
	nextReportAt time.Time
	retryDelay   time.Duration
}

// tombstone marks an attempt that must not be started and whose outcome is
// decided.
type tombstone struct {
	expiresAt time.Time
	ended     bool // it may have run, and its end was acknowledged; otherwise it did not start
}

func endOf(vm fleet.VMID, status backing.TaskStatus) control.TaskEnd {
	return control.TaskEnd{
		Job: status.Job, Attempt: status.ID, Step: status.Step, VM: vm,
		State: status.State, Body: status.Body, Detail: status.Detail, Usage: status.Usage,
	}
}

func lostEnd(vm fleet.VMID, id fleet.AttemptID, sl *slot) control.TaskEnd {
	return control.TaskEnd{Job: sl.job, Attempt: id, Step: sl.step, VM: vm, Detail: "worker lost", Usage: sl.usage}
}

// queueEnd queues the end of a task for the owner of its job and reports whether
// the end is new; s.mu is held.
func (s *Slots) queueEnd(end control.TaskEnd, listed bool) bool {
	if pending, ok := s.ends[end.Attempt]; ok {
		pending.listed = pending.listed || listed
		return false
	}
	acknowledged := s.tombstones[end.Attempt].ended
	s.ends[end.Attempt] = &pendingEnd{end: end, listed: listed, acknowledged: acknowledged, retryDelay: firstRetryDelay}
	return !acknowledged
}

// dropListedEnds drops the ends that the next owner will find in the worker's
// task list.
func (s *Slots) dropListedEnds(vm fleet.VMID) {
	for id, pending := range s.ends {
		if pending.end.VM == vm && pending.listed {
			delete(s.ends, id)
		}
	}
}

// addTombstone remembers for tombstoneTTL that an attempt has ended, or that it
// did not start and must not.
func (s *Slots) addTombstone(id fleet.AttemptID, ended bool) {
	s.tombstones[id] = tombstone{expiresAt: s.options.Clock.Now().Add(tombstoneTTL), ended: ended}
}

// removeTombstone removes the tombstone of an attempt that counted as not
// started but is in the task list.
func (s *Slots) removeTombstone(id fleet.AttemptID) {
	if !s.tombstones[id].ended {
		delete(s.tombstones, id)
	}
}

// expireRecords removes expired tombstones, and the first lookups of VMs that
// are listed by now or were made longer than goneVMRetention ago.
func (s *Slots) expireRecords() {
	now := s.options.Clock.Now()
	for vm, since := range s.unlistedSince {
		if _, listed := s.knownVMs[vm]; listed || now.Sub(since) > goneVMRetention {
			delete(s.unlistedSince, vm)
		}
	}
	for id, t := range s.tombstones {
		if now.After(t.expiresAt) {
			delete(s.tombstones, id)
		}
	}
}

// TickEnds reports ended tasks to the owners of their jobs and makes the workers
// forget those that were acknowledged. The caller runs it every 50 ms.
func (s *Slots) TickEnds(ctx context.Context) {
	forEach(s.options.MaxParallelCalls, s.dueEnds(), func(p *pendingEnd) { s.reportEnd(ctx, p) })
	s.forgetAcknowledged(ctx)
}

func (s *Slots) dueEnds() []*pendingEnd {
	s.mu.Lock()
	defer s.unlock()
	now := s.options.Clock.Now()
	var due []*pendingEnd
	for _, pending := range s.ends {
		if !pending.acknowledged && !pending.reporting && !now.Before(pending.nextReportAt) {
			pending.reporting = true
			due = append(due, pending)
		}
	}
	return due
}

// reportEnd passes an end to OnTaskEnd and schedules a retry if that fails.
func (s *Slots) reportEnd(ctx context.Context, p *pendingEnd) {
	err := s.options.OnTaskEnd(ctx, p.end)
	s.mu.Lock()
	defer s.unlock()
	p.reporting = false
	if err != nil {
		p.nextReportAt = s.options.Clock.Now().Add(p.retryDelay)
		p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
		return
	}
	p.acknowledged = true
	p.end.Body = nil
	s.addTombstone(p.end.Attempt, !p.end.NotStarted)
	if !p.listed {
		delete(s.ends, p.end.Attempt)
	}
}

// forgetAcknowledged removes acknowledged ends from the workers' task lists and
// then from memory.
func (s *Slots) forgetAcknowledged(ctx context.Context) {
	type batch struct {
		v     *ownedVM
		lease backing.Lease
		ids   []fleet.AttemptID
	}
	s.mu.Lock()
	byVM := map[fleet.VMID]*batch{}
	now := s.options.Clock.Now()
	for id, pending := range s.ends {
		v := s.vms[pending.end.VM]
		if !pending.acknowledged {
			continue
		}
		if v == nil || v.reportedLost {
			delete(s.ends, id)
			continue
		}
		if !v.leased(now) {
			continue
		}
		if byVM[v.id] == nil {
			byVM[v.id] = &batch{v: v, lease: backing.Lease{Holder: s.self, Epoch: v.epoch}}
		}
		byVM[v.id].ids = append(byVM[v.id].ids, id)
	}
	batches := make([]*batch, 0, len(byVM))
	for _, b := range byVM {
		batches = append(batches, b)
	}
	s.stats.WorkerCalls += uint64(len(batches))
	s.unlock()
	forEach(s.options.MaxParallelCalls, batches, func(b *batch) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := s.options.Workers.Forget(callCtx, b.v.id, b.lease, b.ids); err != nil {
			return // retried at the next tick
		}
		s.mu.Lock()
		defer s.unlock()
		for _, id := range b.ids {
			delete(s.ends, id)
		}
	})
}
