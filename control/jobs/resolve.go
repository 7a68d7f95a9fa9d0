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

// Delays between lookups that nobody could answer.
const (
	lookupBase = 250 * time.Millisecond
	lookupMax  = 5 * time.Second
)

// resolveBatch bounds the lookups of one Resolve.
const resolveBatch = 256

// lentUnit is a unit of a team's limit that this session holds for a task whose
// shard it has handed over.
type lentUnit struct {
	job  fleet.JobID
	team fleet.TeamName
}

// Resolve asks the VM owners about open claims: those whose start had no
// answer or whose former owner has failed, and from time to time all others,
// in case the report of their end was lost.
func (m *Manager) Resolve(ctx context.Context) {
	each(m.options.Parallel, m.dueLookups(), func(e *entry) {
		ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
		defer cancel()
		m.resolveOne(ctx, e)
	})
}

func (m *Manager) dueLookups() []*entry {
	now := m.options.Clock.Now()
	members := m.options.Membership.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []*entry
	for _, e := range m.open {
		if _, err := m.acting(e.shard); err != nil {
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
	return due[:min(len(due), resolveBatch)]
}

// adoptUnit counts the unit of a task here once the session that held it has
// gone. The caller holds mu.
func (m *Manager) adoptUnit(e *entry, members control.Members) {
	holder := e.Claim.Holder
	if holder == m.self() || slices.ContainsFunc(members.List, func(x control.Member) bool { return x.ID == holder }) {
		return
	}
	m.options.Limits.Adopt(e.job.Team, holder)
	moved := *e.Claim
	moved.Holder = m.self()
	e.Claim = &moved
	m.touch(e)
}

func (m *Manager) resolveOne(ctx context.Context, e *entry) {
	m.mu.Lock()
	if e.phase != phaseOpen || !m.holds(e) {
		m.mu.Unlock()
		return
	}
	open, canceled := *e.Claim, e.Canceled
	id := e.job.ID
	m.stats.Lookups++
	m.mu.Unlock()
	status, end, known := m.options.Dispatcher.Lookup(ctx, open.VM, open.Attempt)
	if !known {
		m.notKnown(ctx, e, open)
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
	m.known(e, open)
	if canceled {
		_ = m.options.Dispatcher.Cancel(ctx, open.VM, open.Attempt) // repeated with the next lookup
	}
}

func (m *Manager) known(e *entry, open claim) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	e.lookups = 0
	e.lastKnown = now
	e.lookupAt = now.Add(m.options.LookupEvery)
}

// notKnown asks again later. An attempt of which nobody has known anything for
// longer than a lease lasts counts as lost.
func (m *Manager) notKnown(ctx context.Context, e *entry, open claim) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	e.lookups++
	e.lookupAt = now.Add(min(lookupBase<<min(e.lookups, 10), lookupMax))
	lost := now.Sub(e.lastKnown) > m.options.UnknownAfter
	id := e.job.ID
	m.mu.Unlock()
	if lost {
		end := control.TaskEnd{Job: id, Attempt: open.Attempt, Step: open.Step, VM: open.VM, Detail: "no word of the attempt"}
		_ = m.taskEnded(ctx, end) // what is not durable yet is flushed later
	}
}

// collectUnits takes back the units of handed-over tasks that are no longer
// current at the owners of their jobs. Asking, rather than being told, also
// finds the ends of which an owner that has failed since could not tell.
func (m *Manager) collectUnits(ctx context.Context) {
	for attempt, unit := range m.lentUnits() {
		q := heldRequest{ID: unit.job, Attempt: attempt}
		_, err := m.call(ctx, unit.job, methodHeld, q, func(context.Context) (control.JobStatus, error) {
			return control.JobStatus{}, m.held(q)
		})
		if errors.Is(err, backing.ErrNotFound) {
			m.takeBack(attempt)
		}
	}
}

func (m *Manager) lentUnits() map[fleet.AttemptID]lentUnit {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.lent)
}

func (m *Manager) takeBack(attempt fleet.AttemptID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	unit, ok := m.lent[attempt]
	if !ok {
		return
	}
	delete(m.lent, attempt)
	m.stats.UnitsAbroad++
	m.options.Limits.Return(unit.team)
}

// held returns nil while an attempt is the claim of a job of an own shard, and
// backing.ErrNotFound once its end is durable.
func (m *Manager) held(q heldRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, err := m.acting(m.shardOf(q.ID))
	if err != nil {
		return err
	}
	e := s.entries[q.ID]
	if e != nil && (e.dirty() || e.Claim != nil && e.Claim.Attempt == q.Attempt) {
		return nil
	}
	return fmt.Errorf("attempt %s: %w", q.Attempt, backing.ErrNotFound)
}

// reportDemand tells the limits how many units each team uses and wants here.
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
	for team := range m.demanded {
		if !present[team] {
			m.options.Limits.Demand(team, 0, 0)
		}
	}
	for team := range present {
		m.options.Limits.Demand(team, m.running[team], queued[team])
	}
	m.demanded = present
}

// delay lets a job wait until a time. The caller holds mu.
func (m *Manager) delay(e *entry, until time.Time) {
	e.phase = phaseDelayed
	e.notBefore = until
	m.count(e)
	heap.Push(&m.delayed, e)
}

// wakeDelayed moves the jobs whose time has come into their lanes.
func (m *Manager) wakeDelayed() {
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.delayed) > 0 && !m.delayed[0].notBefore.After(now) {
		e := heap.Pop(&m.delayed).(*entry)
		if e.phase != phaseDelayed || !m.holds(e) {
			continue
		}
		queuedAt := e.queuedAt
		m.enqueue(e)
		e.queuedAt = queuedAt
	}
}

// delayHeap orders waiting jobs by the time of their next attempt. Jobs that
// have ended or moved meanwhile stay in it until that time.
type delayHeap []*entry

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(i, k int) bool { return h[i].notBefore.Before(h[k].notBefore) }
func (h delayHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *delayHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// rateSeconds is the time over which starts are counted.
const rateSeconds = 10

// rateCounter counts starts by second.
type rateCounter struct {
	second int64
	ring   [rateSeconds]int
	first  int64
}

func (m *Manager) rate(pool fleet.PoolName) *rateCounter {
	r := m.rates[pool]
	if r == nil {
		r = &rateCounter{}
		m.rates[pool] = r
	}
	return r
}

func (r *rateCounter) add(now time.Time) {
	r.advance(now.Unix())
	r.ring[r.second%rateSeconds]++
	if r.first == 0 {
		r.first = r.second
	}
}

func (r *rateCounter) advance(second int64) {
	if second <= r.second {
		return
	}
	for i := max(r.second+1, second-rateSeconds+1); i <= second; i++ {
		r.ring[i%rateSeconds] = 0
	}
	r.second = second
}

// perSecond returns the mean of the last seconds, 0 if nothing was started.
func (r *rateCounter) perSecond(now time.Time) float64 {
	r.advance(now.Unix())
	sum := 0
	for _, n := range r.ring {
		sum += n
	}
	seconds := min(r.second-r.first+1, rateSeconds)
	return float64(sum) / float64(max(seconds, 1))
}
