package slots

import (
	"context"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// Intervals at which an end is reported again until it is acknowledged.
const (
	firstRetry   = 200 * time.Millisecond
	longestRetry = 5 * time.Second
)

// pendingEnd is an end that is not yet acknowledged, or that the worker has not
// forgotten yet.
type pendingEnd struct {
	end      control.TaskEnd
	listed   bool // stands in the worker's list until Forget
	acked    bool
	busy     bool // a report is in flight
	nextTry  time.Time
	interval time.Duration
}

// tombstone remembers an attempt that must not start or be judged any more.
type tombstone struct {
	until time.Time
	ended bool // ran and was acknowledged
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

// queueEnd reports whether the end is new; s.mu is held.
func (s *Slots) queueEnd(end control.TaskEnd, listed bool) bool {
	if pending, ok := s.ends[end.Attempt]; ok {
		pending.listed = pending.listed || listed
		return false
	}
	acked := s.tombstones[end.Attempt].ended
	s.ends[end.Attempt] = &pendingEnd{end: end, listed: listed, acked: acked, interval: firstRetry}
	return !acked
}

// dropListedEnds drops the ends that the next owner will find in the list.
func (s *Slots) dropListedEnds(vm fleet.VMID) {
	for id, pending := range s.ends {
		if pending.end.VM == vm && pending.listed {
			delete(s.ends, id)
		}
	}
}

func (s *Slots) bury(id fleet.AttemptID, ended bool) {
	s.tombstones[id] = tombstone{until: s.o.Clock.Now().Add(tombstoneTTL), ended: ended}
}

// unbury takes back the tombstone of an attempt that turned out to have run.
func (s *Slots) unbury(id fleet.AttemptID) {
	if !s.tombstones[id].ended {
		delete(s.tombstones, id)
	}
}

func (s *Slots) expireMemory() {
	now := s.o.Clock.Now()
	for vm, since := range s.missing {
		if _, listed := s.known[vm]; listed || now.Sub(since) > goneMemory {
			delete(s.missing, vm)
		}
	}
	for id, t := range s.tombstones {
		if now.After(t.until) {
			delete(s.tombstones, id)
		}
	}
}

// TickEnds reports ended tasks to the owners of their jobs and lets the workers
// forget those that were acknowledged. The caller runs it every 50 ms.
func (s *Slots) TickEnds(ctx context.Context) {
	each(s.o.Parallel, s.dueEnds(), func(p *pendingEnd) { s.report(ctx, p) })
	s.forgetAcked(ctx)
}

func (s *Slots) dueEnds() []*pendingEnd {
	s.mu.Lock()
	defer s.unlock()
	now := s.o.Clock.Now()
	var due []*pendingEnd
	for _, pending := range s.ends {
		if !pending.acked && !pending.busy && !now.Before(pending.nextTry) {
			pending.busy = true
			due = append(due, pending)
		}
	}
	return due
}

func (s *Slots) report(ctx context.Context, p *pendingEnd) {
	err := s.o.OnTaskEnd(ctx, p.end)
	s.mu.Lock()
	defer s.unlock()
	p.busy = false
	if err != nil {
		p.nextTry = s.o.Clock.Now().Add(p.interval)
		p.interval = min(2*p.interval, longestRetry)
		return
	}
	p.acked = true
	p.end.Body = nil
	s.bury(p.end.Attempt, !p.end.NotStarted)
	if !p.listed {
		delete(s.ends, p.end.Attempt)
	}
}

func (s *Slots) forgetAcked(ctx context.Context) {
	type batch struct {
		v     *ownedVM
		lease backing.Lease
		ids   []fleet.AttemptID
	}
	s.mu.Lock()
	byVM := map[fleet.VMID]*batch{}
	now := s.o.Clock.Now()
	for id, pending := range s.ends {
		v := s.vms[pending.end.VM]
		if !pending.acked {
			continue
		}
		if v == nil || v.lost {
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
	each(s.o.Parallel, batches, func(b *batch) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := s.o.Workers.Forget(callCtx, b.v.id, b.lease, b.ids); err != nil {
			return // tried again at the next tick
		}
		s.mu.Lock()
		defer s.unlock()
		for _, id := range b.ids {
			delete(s.ends, id)
		}
	})
}
