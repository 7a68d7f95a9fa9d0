package jobs

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// The delay between lookups that got no answer doubles with each of them.
const (
	lookupDelayBase = 250 * time.Millisecond
	lookupDelayMax  = 5 * time.Second
)

// maxLookupsPerResolve bounds the lookups of one call of Resolve.
const maxLookupsPerResolve = 256

// handedOverUnit is a unit of a team's limit that this session still holds for
// a running task whose shard it has handed over.
type handedOverUnit struct {
	job  fleet.JobID
	team fleet.TeamName
}

// Resolve asks the VM owners about the attempts of open claims: those whose
// start was not answered or whose former owner has failed, and periodically all
// others, in case the report of their end was lost.
func (m *Manager) Resolve(ctx context.Context) {
	forEach(m.options.MaxParallelCalls, m.dueLookups(), func(e *jobEntry) {
		ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
		defer cancel()
		m.resolveClaim(ctx, e)
	})
}

// dueLookups returns the jobs with open claims whose lookup is due, the longest
// due first, up to maxLookupsPerResolve.
func (m *Manager) dueLookups() []*jobEntry {
	now := m.options.Clock.Now()
	members := m.options.Membership.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []*jobEntry
	for _, e := range m.open {
		if _, err := m.actingShard(e.shard); err != nil {
			continue
		}
		m.adoptUnit(e, members)
		if !e.lookupAt.After(now) {
			due = append(due, e)
		}
	}
	sort.Slice(due, func(i, k int) bool {
		if !due[i].lookupAt.Equal(due[k].lookupAt) {
			return due[i].lookupAt.Before(due[k].lookupAt)
		}
		return due[i].job.ID < due[k].job.ID
	})
	return due[:min(len(due), maxLookupsPerResolve)]
}

// adoptUnit moves the unit of a task to this session if the session that held
// it no longer exists. The caller holds mu.
func (m *Manager) adoptUnit(e *jobEntry, members control.Members) {
	holder := e.Claim.Holder
	if holder == m.self() || slices.ContainsFunc(members.List, func(x control.Member) bool { return x.ID == holder }) {
		return
	}
	m.options.Limits.Adopt(e.job.Team, holder)
	moved := *e.Claim
	moved.Holder = m.self()
	e.Claim = &moved
	m.markDirty(e)
}

// resolveClaim looks up the attempt of an open claim and applies the answer.
func (m *Manager) resolveClaim(ctx context.Context, e *jobEntry) {
	m.mu.Lock()
	if e.phase != phaseOpen || !m.stillOwned(e) {
		m.mu.Unlock()
		return
	}
	open, canceled := *e.Claim, e.Canceled
	id := e.job.ID
	m.stats.Lookups++
	m.mu.Unlock()
	status, end, known := m.options.Dispatcher.Lookup(ctx, open.VM, open.Attempt)
	if !known {
		m.attemptUnknown(ctx, e, open)
		return
	}
	if end == nil && status.State != backing.TaskRunning {
		end = &control.TaskEnd{State: status.State, Body: status.Body, Detail: status.Detail, Usage: status.Usage}
	}
	if end != nil {
		report := *end
		report.Job, report.Attempt, report.Step, report.VM = id, open.Attempt, open.Step, open.VM
		_ = m.taskEnded(ctx, report) // what is not durable yet is flushed later
		return
	}
	m.attemptRunning(e, open)
	if canceled {
		_ = m.options.Dispatcher.Cancel(ctx, open.VM, open.Attempt) // repeated with the next lookup
	}
}

// attemptRunning schedules the next lookup of an attempt that a VM owner
// reported as running.
func (m *Manager) attemptRunning(e *jobEntry, open claim) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	e.unansweredLookups = 0
	e.lastKnownAt = now
	e.lookupAt = now.Add(m.options.LookupInterval)
}

// attemptUnknown schedules another lookup of an attempt that no VM owner could
// report on. After LostAfter without any report the attempt counts as lost.
// LostAfter is longer than a lease lasts, so the task has stopped by then.
func (m *Manager) attemptUnknown(ctx context.Context, e *jobEntry, open claim) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	e.unansweredLookups++
	e.lookupAt = now.Add(min(lookupDelayBase<<min(e.unansweredLookups, 10), lookupDelayMax))
	lost := now.Sub(e.lastKnownAt) > m.options.LostAfter
	id := e.job.ID
	m.mu.Unlock()
	if lost {
		end := control.TaskEnd{Job: id, Attempt: open.Attempt, Step: open.Step, VM: open.VM, Detail: "no VM owner has reported on the attempt within the time limit"}
		_ = m.taskEnded(ctx, end) // what is not durable yet is flushed later
	}
}

// reclaimUnits returns the units of handed-over tasks that are no longer the
// current attempts of their jobs. It asks the owners of the jobs instead of
// relying on their reports, because an owner that failed after a task's end
// cannot report it any more.
func (m *Manager) reclaimUnits(ctx context.Context) {
	for attempt, unit := range m.copyHandedOverUnits() {
		q := heldRequest{ID: unit.job, Attempt: attempt}
		_, err := m.call(ctx, unit.job, methodHeld, q, func(context.Context) (control.JobStatus, error) {
			return control.JobStatus{}, m.checkHeld(q)
		})
		if errors.Is(err, backing.ErrNotFound) {
			m.reclaimUnit(attempt)
		}
	}
}

func (m *Manager) copyHandedOverUnits() map[fleet.AttemptID]handedOverUnit {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.handedOverUnits)
}

// reclaimUnit returns the unit of a handed-over task to the limits.
func (m *Manager) reclaimUnit(attempt fleet.AttemptID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	unit, ok := m.handedOverUnits[attempt]
	if !ok {
		return
	}
	delete(m.handedOverUnits, attempt)
	m.stats.UnitsAbroad++
	m.options.Limits.Return(unit.team)
}

// checkHeld returns nil while an attempt is the current claim of a job of a
// shard of this entry, and backing.ErrNotFound once its end is durable.
func (m *Manager) checkHeld(q heldRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, err := m.actingShard(m.shardOf(q.ID))
	if err != nil {
		return err
	}
	e := s.jobs[q.ID]
	if e != nil && (e.dirty() || e.Claim != nil && e.Claim.Attempt == q.Attempt) {
		return nil
	}
	return fmt.Errorf("attempt %s: %w", q.Attempt, backing.ErrNotFound)
}

// reportDemand reports to the limits how many units each team uses here and how
// many its waiting jobs need.
func (m *Manager) reportDemand() {
	m.mu.Lock()
	defer m.mu.Unlock()
	queued := map[fleet.TeamName]int{}
	for key, n := range m.queued {
		queued[key.team] += n
	}
	present := map[fleet.TeamName]bool{}
	for team := range queued {
		present[team] = true
	}
	for team := range m.running {
		present[team] = true
	}
	for team := range m.reportedTeams {
		if !present[team] {
			m.options.Limits.SetDemand(team, 0, 0)
		}
	}
	for team := range present {
		m.options.Limits.SetDemand(team, m.running[team], queued[team])
	}
	m.reportedTeams = present
}

// delay makes a job wait until a time. The caller holds mu.
func (m *Manager) delay(e *jobEntry, until time.Time) {
	e.phase = phaseDelayed
	e.notBefore = until
	m.countQueued(e)
	heap.Push(&m.delayed, e)
}

// wakeDelayed moves the jobs whose delay is over into the queues of their
// pools. Their waiting time counts from before the delay.
func (m *Manager) wakeDelayed() {
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.delayed) > 0 && !m.delayed[0].notBefore.After(now) {
		e := heap.Pop(&m.delayed).(*jobEntry)
		if e.phase != phaseDelayed || !m.stillOwned(e) {
			continue
		}
		queuedAt := e.queuedAt
		m.enqueue(e)
		e.queuedAt = queuedAt
	}
}

// delayHeap orders delayed jobs by notBefore. Jobs that have ended or moved
// stay in it until that time.
type delayHeap []*jobEntry

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(i, k int) bool { return h[i].notBefore.Before(h[k].notBefore) }
func (h delayHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *delayHeap) Push(x any) { *h = append(*h, x.(*jobEntry)) }

// Pop implements heap.Interface.
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// startRateWindowSeconds is the period over which the start rate is averaged.
const startRateWindowSeconds = 10

// startRate counts the starts of a pool in each of the last
// startRateWindowSeconds seconds.
type startRate struct {
	latestSecond   int64
	startsBySecond [startRateWindowSeconds]int
	firstSecond    int64
}

func (m *Manager) poolStartRate(pool fleet.PoolName) *startRate {
	r := m.startRates[pool]
	if r == nil {
		r = &startRate{}
		m.startRates[pool] = r
	}
	return r
}

func (r *startRate) add(now time.Time) {
	r.advance(now.Unix())
	r.startsBySecond[r.latestSecond%startRateWindowSeconds]++
	if r.firstSecond == 0 {
		r.firstSecond = r.latestSecond
	}
}

// advance moves the window forward so that it ends at a Unix second.
func (r *startRate) advance(second int64) {
	if second <= r.latestSecond {
		return
	}
	for i := max(r.latestSecond+1, second-startRateWindowSeconds+1); i <= second; i++ {
		r.startsBySecond[i%startRateWindowSeconds] = 0
	}
	r.latestSecond = second
}

// perSecond returns the mean number of starts per second over the window, or
// since the first start if that is more recent.
func (r *startRate) perSecond(now time.Time) float64 {
	r.advance(now.Unix())
	sum := 0
	for _, n := range r.startsBySecond {
		sum += n
	}
	seconds := min(r.latestSecond-r.firstSecond+1, startRateWindowSeconds)
	return float64(sum) / float64(max(seconds, 1))
}
