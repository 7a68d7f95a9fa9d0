package jobs

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/admission"
)

// Delays of a job whose start was refused, which keep a job that no VM takes
// from occupying the dispatcher.
const (
	refusalBase = 20 * time.Millisecond
	refusalMax  = 2 * time.Second
	// urgentRefusalMax leaves several tries within the 1.7 s of urgent starts.
	urgentRefusalMax = 200 * time.Millisecond
)

// start is one job on its way from the queue to a VM.
type start struct {
	e       *entry
	task    backing.Task
	request control.ReserveRequest
	centres []fleet.DataCentreName // in the order in which they are asked
	res     control.Reservation
	err     error // of Reserve or Start
}

// maxLaunches bounds the batches of starts whose claims are being journaled.
// With only one, a job that is submitted while a batch waits for its page would
// wait for the page after the next: its start was delayed by 2.0 s (p99) at 100
// entries, where each writes two pages per second.
const maxLaunches = 8

// Dispatch picks the waiting jobs that capacity, limits and evidence allow,
// reserves their slots, and lets them be claimed and started while it returns.
// With Parallel 1 it does all in the calling goroutine.
func (m *Manager) Dispatch(ctx context.Context) error {
	if !m.dispatchMu.TryLock() {
		return nil
	}
	defer m.dispatchMu.Unlock()
	select {
	case m.launches <- struct{}{}:
	default:
		return nil
	}
	m.startMu.RLock()
	done := func() {
		m.startMu.RUnlock()
		<-m.launches
	}
	starts := m.prepare(ctx)
	if len(starts) == 0 || m.options.Parallel == 1 {
		defer done()
		return m.launch(ctx, starts)
	}
	// The caller's context ends with its call, the launch goes on.
	launch, cancel := context.WithTimeout(context.WithoutCancel(ctx), launchTimeout)
	go func() {
		defer done()
		defer cancel()
		_ = m.launch(launch, starts) // counted; the jobs concerned wait on
	}()
	return nil
}

// launchTimeout bounds the journaling of claims and the calls to VM owners of one
// batch of starts.
const launchTimeout = 15 * time.Second

// WaitStarts returns once no claim or start is on its way.
func (m *Manager) WaitStarts() {
	m.startMu.Lock()
	defer m.startMu.Unlock()
}

// prepare picks jobs and reserves their slots.
func (m *Manager) prepare(ctx context.Context) []*start {
	snapshot := m.followConfig()
	m.wakeDelayed()
	m.expireQueued()
	if snapshot == nil || m.mayStart() != nil {
		return nil
	}
	starts := m.pick(snapshot)
	if len(starts) == m.options.DispatchBatch {
		m.signal() // more may be waiting
	}
	return m.reserve(ctx, starts)
}

// launch claims and starts jobs. It returns the error of the journal, if any.
func (m *Manager) launch(ctx context.Context, starts []*start) error {
	starts, err := m.claim(ctx, starts)
	m.start(ctx, starts)
	return err
}

// mayStart returns nil while the own session and evidence allow starts.
func (m *Manager) mayStart() error {
	if err := m.options.Membership.Valid(); err != nil {
		return err
	}
	return m.options.View.Fresh()
}

// followConfig ends waiting jobs whose queue, team or key is no longer valid,
// and moves the others to the lane of their queue's pool.
func (m *Manager) followConfig() *config.Snapshot {
	snapshot := m.options.View.Snapshot()
	if snapshot == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if snapshot.Revision == m.revision {
		return snapshot
	}
	m.revision = snapshot.Revision
	for _, s := range m.shards {
		for _, e := range s.entries {
			m.followEntry(snapshot, e)
		}
	}
	return snapshot
}

func (m *Manager) followEntry(snapshot *config.Snapshot, e *entry) {
	pool := snapshot.Queues[e.job.Queue].Pool
	switch {
	case e.phase != phaseQueued && e.phase != phaseDelayed:
		if pool != "" {
			e.pool = pool
		}
	case m.refuseUnauthorized(snapshot, e):
	case pool != e.pool && e.phase == phaseQueued:
		m.dequeue(e)
		e.pool = pool
		m.enqueue(e)
	default:
		e.pool = pool
	}
}

// refuseUnauthorized ends a waiting job that may no longer start. The caller
// holds mu.
func (m *Manager) refuseUnauthorized(snapshot *config.Snapshot, e *entry) bool {
	if _, err := m.acting(e.shard); err != nil || m.options.View.Fresh() != nil {
		return false
	}
	refusal := authorize(snapshot, &e.job)
	if refusal == nil {
		return false
	}
	m.dequeue(e)
	m.finishRefused(e, refusal.Reason, refusal.Detail)
	return true
}

// expireQueued ends the waiting jobs whose deadline has passed.
func (m *Manager) expireQueued() {
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, lane := range m.lanes {
		for _, item := range lane.Expired(now) {
			e := m.find(item.ID)
			if e == nil {
				continue
			}
			m.uncount(e)
			m.finishRefused(e, fleet.ReasonDeadline, "the deadline passed while the job waited")
		}
	}
}

// find returns a job of an own shard. The caller holds mu.
func (m *Manager) find(id fleet.JobID) *entry {
	s := m.shards[m.shardOf(id)]
	if s == nil {
		return nil
	}
	return s.entries[id]
}

// pick takes the jobs that start next out of the lanes, with a unit of their
// team's limit each.
func (m *Manager) pick(snapshot *config.Snapshot) []*start {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := make([]fleet.PoolName, 0, len(m.lanes))
	for pool := range m.lanes {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	var starts []*start
	for _, pool := range pools {
		starts = m.pickPool(snapshot, pool, starts)
	}
	return starts
}

func (m *Manager) pickPool(snapshot *config.Snapshot, pool fleet.PoolName, starts []*start) []*start {
	lane := m.lanes[pool]
	if lane.Len() == 0 {
		return starts
	}
	free := m.freeCapacity(snapshot, pool)
	budget := min(freeSlots(free), m.options.DispatchBatch-len(starts))
	skipped := map[fleet.TeamName]bool{}
	var later []admission.Item
	picked := map[fleet.TeamName]int{}
	fair := admission.Fair{
		Share:   share(snapshot),
		Running: func(team fleet.TeamName) int { return m.running[team] + picked[team] },
		Skip:    func(team fleet.TeamName) bool { return skipped[team] },
	}
	for budget > 0 {
		item, ok := lane.Next(fair)
		if !ok {
			break
		}
		e := m.find(item.ID)
		if _, err := m.acting(m.shardOf(item.ID)); err != nil || e == nil {
			later = append(later, item)
			continue
		}
		if refusal := authorize(snapshot, &e.job); refusal != nil {
			m.uncount(e)
			m.finishRefused(e, refusal.Reason, refusal.Detail)
			continue
		}
		if err := m.options.Limits.Take(e.job.Team); err != nil {
			skipped[e.job.Team] = true
			later = append(later, item)
			continue
		}
		picked[e.job.Team]++
		m.uncount(e)
		e.phase = phaseStarting
		e.startedAt = time.Time{}
		starts = append(starts, m.newStart(e, free))
		budget--
	}
	for _, item := range later {
		if m.find(item.ID) != nil {
			lane.Push(item)
		}
	}
	return starts
}

// freeCapacity returns the known capacity of a pool in the data centres that
// are in service.
func (m *Manager) freeCapacity(snapshot *config.Snapshot, pool fleet.PoolName) []control.Capacity {
	var free []control.Capacity
	for _, c := range m.options.Dispatcher.Capacity(pool) {
		if snapshot.DataCentres[c.DataCentre].State == fleet.DataCentreIn && c.FreeSlots > 0 {
			free = append(free, c)
		}
	}
	return free
}

func freeSlots(capacity []control.Capacity) int {
	sum := 0
	for _, c := range capacity {
		sum += c.FreeSlots
	}
	return sum
}

// newStart prepares a start; the data centre with most free slots is asked
// first, and one slot of it counts as taken for the starts after this one.
func (m *Manager) newStart(e *entry, free []control.Capacity) *start {
	need, runTime := m.options.Estimate(&e.job)
	attempt := m.options.AttemptID(e.job.ID)
	step := e.job.Steps[e.Step]
	s := &start{
		e: e,
		task: backing.Task{
			ID: attempt, Job: e.job.ID, Step: e.Step, Command: step.Command, Payload: step.Payload, Need: need,
		},
		request: control.ReserveRequest{
			Job: e.job.ID, Attempt: attempt, Team: e.job.Team, Class: e.job.Class, Pool: e.pool,
			Need: need, Avoid: slices.Clone(e.Avoid), RunTime: runTime,
			Deadline: e.job.Deadline,
		},
	}
	slices.SortStableFunc(free, func(a, b control.Capacity) int { return cmp.Compare(b.FreeSlots, a.FreeSlots) })
	for i, c := range free {
		s.centres = append(s.centres, c.DataCentre)
		if i == 0 {
			free[i].FreeSlots--
		}
	}
	return s
}

// each calls fn for all items, several at a time.
func each[T any](parallel int, items []T, fn func(T)) {
	if parallel == 1 || len(items) < 2 {
		for _, item := range items {
			fn(item)
		}
		return
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, item := range items {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(item)
		})
	}
	wg.Wait()
}

// reserve asks for a slot for each start and returns those that got one. The
// others wait again.
func (m *Manager) reserve(ctx context.Context, starts []*start) []*start {
	each(m.options.Parallel, starts, func(s *start) { s.res, s.err = m.reserveOne(ctx, s) })
	m.mu.Lock()
	defer m.mu.Unlock()
	var reserved []*start
	for _, s := range starts {
		if s.err == nil {
			reserved = append(reserved, s)
			continue
		}
		m.options.Limits.Return(s.e.job.Team)
		m.postpone(s.e)
	}
	return reserved
}

func (m *Manager) reserveOne(ctx context.Context, s *start) (control.Reservation, error) {
	err := error(&fleet.Refusal{Reason: fleet.ReasonNoCapacity})
	for _, dc := range s.centres {
		var res control.Reservation
		res, err = m.reserveIn(ctx, dc, s.request)
		if err == nil {
			return res, nil
		}
	}
	return control.Reservation{}, err
}

func (m *Manager) reserveIn(ctx context.Context, dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	return m.options.Dispatcher.Reserve(ctx, dc, req)
}

// postpone lets a job wait again after a refusal, longer with each. The caller
// holds mu.
func (m *Manager) postpone(e *entry) {
	if !m.holds(e) {
		return
	}
	longest := refusalMax
	if e.job.Class == fleet.ClassUrgent {
		longest = urgentRefusalMax
	}
	delay := min(refusalBase<<min(e.refusals, 10), longest)
	e.refusals++
	m.delay(e, m.options.Clock.Now().Add(delay))
}

// claim journals the claims of all starts together. Without a durable claim
// only idempotent jobs go on, and only while the store is away.
func (m *Manager) claim(ctx context.Context, starts []*start) ([]*start, error) {
	claimed := m.setClaims(ctx, starts)
	if len(claimed) == 0 {
		return nil, nil
	}
	entries := make([]*entry, 0, len(claimed))
	for _, s := range claimed {
		entries = append(entries, s.e)
	}
	err := m.persist(ctx, entries...)
	if err == nil {
		m.mu.Lock()
		m.stats.Claims += uint64(len(claimed))
		m.mu.Unlock()
		return claimed, nil
	}
	outage := errors.Is(err, backing.ErrUnavailable) && !m.options.View.StoreReachable()
	var allowed []*start
	for _, s := range claimed {
		if outage && m.goUnrecorded(s.e) {
			allowed = append(allowed, s)
			continue
		}
		m.withdraw(ctx, s)
	}
	m.countFailedClaims(len(claimed) - len(allowed))
	if outage {
		err = nil
	}
	return allowed, err
}

func (m *Manager) countFailedClaims(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.FailedClaims += uint64(n)
}

func (m *Manager) goUnrecorded(e *entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !e.job.Idempotent || !m.holds(e) {
		return false
	}
	e.unrecorded = true
	m.stats.Claims++
	return true
}

// setClaims enters the claims in memory and drops the starts of jobs that were
// canceled or moved meanwhile.
func (m *Manager) setClaims(ctx context.Context, starts []*start) []*start {
	var claimed, dropped []*start
	m.mu.Lock()
	for _, s := range starts {
		if !m.holds(s.e) || s.e.Canceled {
			m.options.Limits.Return(s.e.job.Team)
			m.endCanceled(s.e)
			dropped = append(dropped, s)
			continue
		}
		m.setClaim(s)
		claimed = append(claimed, s)
	}
	m.mu.Unlock()
	for _, s := range dropped {
		m.options.Dispatcher.Release(ctx, s.res)
	}
	return claimed
}

func (m *Manager) setClaim(s *start) {
	e := s.e
	e.Claim = &claim{
		Attempt: s.task.ID, VM: s.res.VM, DataCentre: s.res.DataCentre, Epoch: s.res.Epoch,
		Step: e.Step, Holder: m.self(),
	}
	e.Attempts++
	e.Started++
	m.running[e.job.Team]++
	m.touch(e)
}

// start sends the starts whose conditions still hold.
func (m *Manager) start(ctx context.Context, starts []*start) {
	each(m.options.Parallel, starts, func(s *start) {
		if err := m.recheck(s); err != nil {
			m.withdraw(ctx, s)
			return
		}
		s.err = m.send(ctx, s)
		m.started(s)
	})
}

func (m *Manager) send(ctx context.Context, s *start) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	return m.options.Dispatcher.Start(ctx, s.res, s.task)
}

// recheck is made directly before a start, as time has passed since the pick:
// the session, the evidence, the data centre and the key must still be valid.
// The job then counts as open, because a report of its end may come before the
// answer to the start.
func (m *Manager) recheck(s *start) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.acting(s.e.shard); err != nil {
		return err
	}
	if err := m.mayStart(); err != nil {
		return err
	}
	snapshot := m.options.View.Snapshot()
	if snapshot.DataCentres[s.res.DataCentre].State != fleet.DataCentreIn {
		return &fleet.Refusal{Reason: fleet.ReasonDataCentreOut}
	}
	if refusal := authorize(snapshot, &s.e.job); refusal != nil {
		return refusal
	}
	if s.e.Canceled || !m.current(s) {
		return &fleet.Refusal{Reason: fleet.ReasonCanceled}
	}
	m.stats.Starts++
	m.setOpen(s.e)
	return nil
}

// current reports whether a start is still that of its job. The caller holds mu.
func (m *Manager) current(s *start) bool {
	return m.holds(s.e) && s.e.Claim != nil && s.e.Claim.Attempt == s.task.ID
}

// setOpen notes that a claim's attempt may run. The caller holds mu.
func (m *Manager) setOpen(e *entry) {
	now := m.options.Clock.Now()
	e.phase = phaseOpen
	e.lastKnown = now
	e.lookups = 0
	e.lookupAt = now.Add(m.options.LookupEvery)
	m.open[e.job.ID] = e
}

// started takes the answer to a start. A refusal proves that the task was not
// started; any other error leaves it to a lookup to find out.
func (m *Manager) started(s *start) {
	now := m.options.Clock.Now()
	var refusal *fleet.Refusal
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.current(s) {
		return
	}
	e := s.e
	switch {
	case s.err == nil:
		e.refusals = 0
		e.startedAt = now
		if e.Canceled {
			e.lookupAt = now // the stop may have overtaken the start
		}
		m.rate(e.pool).add(now)
		m.options.OnStart(&e.job, now.Sub(e.queuedAt))
	case errors.As(s.err, &refusal):
		m.stats.NotStarted++
		m.addAvoid(e, s.res.VM)
		m.unclaim(e)
		m.notStarted(e)
	default:
		e.lookupAt = now
	}
}

// withdraw takes a claim back whose start was not sent.
func (m *Manager) withdraw(ctx context.Context, s *start) {
	m.options.Dispatcher.Release(ctx, s.res)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.current(s) {
		return
	}
	m.unclaim(s.e)
	m.notStarted(s.e)
}

// unclaim ends the claim of a job and gives its unit back. A unit that another
// session holds, or that this one holds since it handed the shard over, is
// collected by its holder. The caller holds mu.
func (m *Manager) unclaim(e *entry) {
	m.running[e.job.Team]--
	if m.running[e.job.Team] <= 0 {
		delete(m.running, e.job.Team)
	}
	if _, lent := m.lent[e.Claim.Attempt]; e.Claim.Holder == m.self() && !lent {
		m.options.Limits.Return(e.job.Team)
	}
	delete(m.open, e.job.ID)
	e.Claim = nil
	m.touch(e)
}

// notStarted lets a job wait again whose attempt is proved not to have started.
// The caller holds mu.
func (m *Manager) notStarted(e *entry) {
	e.Attempts--
	e.Started--
	if e.Canceled {
		m.endCanceled(e)
		return
	}
	m.postpone(e)
}

// addAvoid remembers the last VMs that refused or failed a job. The caller
// holds mu.
func (m *Manager) addAvoid(e *entry, vm fleet.VMID) {
	const maxAvoid = 4
	if slices.Contains(e.Avoid, vm) {
		return
	}
	e.Avoid = append(slices.Clone(e.Avoid), vm)
	if len(e.Avoid) > maxAvoid {
		e.Avoid = e.Avoid[1:]
	}
}
