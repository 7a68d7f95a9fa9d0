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

// A job whose start was refused waits before the next try, so that a job that
// no VM takes does not occupy the dispatcher. The delay doubles with each
// refusal.
const (
	refusalDelayBase = 20 * time.Millisecond
	refusalDelayMax  = 2 * time.Second
	// urgentRefusalDelayMax leaves time for several tries within the 1.7 s in
	// which urgent jobs must start.
	urgentRefusalDelayMax = 200 * time.Millisecond
)

// start is a job that is being started: reserved, then claimed, then sent.
type start struct {
	entry       *jobEntry
	task        backing.Task
	request     control.ReserveRequest
	dataCentres []fleet.DataCentreName // in the order in which they are asked for a slot
	reservation control.Reservation
	err         error // of Reserve or Start
}

// maxConcurrentLaunches bounds the batches of starts whose claims are being
// journaled at the same time. With only one, a job that is submitted while a
// batch waits for its page would wait for the page after the next: its start
// was delayed by 2.0 s (p99) at 100 entries, where each entry writes two pages
// per second.
const maxConcurrentLaunches = 8

// Dispatch selects the waiting jobs that capacity, limits and the view allow to
// start and reserves their slots. Their claims and starts then proceed in the
// background after it has returned. With MaxParallelCalls 1 it does everything
// in the calling goroutine and returns the error of the journal, if any. It
// does nothing while another Dispatch runs or maxConcurrentLaunches launches
// are in progress.
func (m *Manager) Dispatch(ctx context.Context) error {
	if !m.dispatchMu.TryLock() {
		return nil
	}
	defer m.dispatchMu.Unlock()
	select {
	case m.launchSlots <- struct{}{}:
	default:
		return nil
	}
	m.startMu.RLock()
	done := func() {
		m.startMu.RUnlock()
		<-m.launchSlots
	}
	starts := m.prepare(ctx)
	if len(starts) == 0 || m.options.MaxParallelCalls == 1 {
		defer done()
		return m.launch(ctx, starts)
	}
	// The launch outlives this call, and so must its context.
	launchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), launchTimeout)
	go func() {
		defer done()
		defer cancel()
		_ = m.launch(launchCtx, starts) // counted in FailedClaims; the affected jobs keep waiting
	}()
	return nil
}

// launchTimeout bounds the journaling of claims and the calls to VM owners of
// one batch of starts.
const launchTimeout = 15 * time.Second

// WaitStarts blocks until no claim or start is in progress.
func (m *Manager) WaitStarts() {
	m.startMu.Lock()
	defer m.startMu.Unlock()
}

// prepare selects jobs and reserves their slots.
func (m *Manager) prepare(ctx context.Context) []*start {
	snapshot := m.applyConfig()
	m.wakeDelayed()
	m.expireQueued()
	if snapshot == nil || m.checkMayStart() != nil {
		return nil
	}
	starts := m.pickJobs(snapshot)
	if len(starts) == m.options.DispatchBatch {
		m.signalReady() // more may be waiting
	}
	return m.reserveSlots(ctx, starts)
}

// launch claims and starts jobs. It returns the error of the journal, if any.
func (m *Manager) launch(ctx context.Context, starts []*start) error {
	starts, err := m.claimStarts(ctx, starts)
	m.sendStarts(ctx, starts)
	return err
}

// checkMayStart returns nil while the session lease is valid and the view is
// current, which starts require.
func (m *Manager) checkMayStart() error {
	if err := m.options.Membership.Valid(); err != nil {
		return err
	}
	return m.options.View.Fresh()
}

// applyConfig returns the current configuration. If its revision is new, it
// ends the waiting jobs whose queue, team or key is no longer valid and moves
// the others to the queue of their current pool.
func (m *Manager) applyConfig() *config.Snapshot {
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
		for _, e := range s.jobs {
			m.applyConfigToJob(snapshot, e)
		}
	}
	return snapshot
}

// applyConfigToJob updates the pool of a job, or ends the job if it waits and
// may no longer start. The caller holds mu.
func (m *Manager) applyConfigToJob(snapshot *config.Snapshot, e *jobEntry) {
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

// refuseUnauthorized ends a waiting job that may no longer start, and reports
// whether it did. The caller holds mu.
func (m *Manager) refuseUnauthorized(snapshot *config.Snapshot, e *jobEntry) bool {
	if _, err := m.actingShard(e.shard); err != nil || m.options.View.Fresh() != nil {
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
	for _, waiting := range m.poolQueues {
		for _, item := range waiting.Expired(now) {
			e := m.find(item.ID)
			if e == nil {
				continue
			}
			m.uncountQueued(e)
			m.finishRefused(e, fleet.ReasonDeadline, "the deadline passed while the job waited")
		}
	}
}

// find returns a job of a shard of this entry, or nil. The caller holds mu.
func (m *Manager) find(id fleet.JobID) *jobEntry {
	s := m.shards[m.shardOf(id)]
	if s == nil {
		return nil
	}
	return s.jobs[id]
}

// pickJobs removes the jobs that start next from the pool queues and takes a
// unit of the team's limit for each.
func (m *Manager) pickJobs(snapshot *config.Snapshot) []*start {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := make([]fleet.PoolName, 0, len(m.poolQueues))
	for pool := range m.poolQueues {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	var starts []*start
	for _, pool := range pools {
		starts = m.pickFromPool(snapshot, pool, starts)
	}
	return starts
}

// pickFromPool appends the starts of one pool to starts, up to its free slots
// and the batch size. Jobs whose team has no unit left go back to the queue.
// The caller holds mu.
func (m *Manager) pickFromPool(snapshot *config.Snapshot, pool fleet.PoolName, starts []*start) []*start {
	waiting := m.poolQueues[pool]
	if waiting.Len() == 0 {
		return starts
	}
	free := m.freeCapacity(snapshot, pool)
	remaining := min(freeSlots(free), m.options.DispatchBatch-len(starts))
	skipped := map[fleet.TeamName]bool{}
	var later []admission.Item
	picked := map[fleet.TeamName]int{}
	teams := admission.TeamState{
		Share:   teamShare(snapshot),
		Running: func(team fleet.TeamName) int { return m.running[team] + picked[team] },
		Skip:    func(team fleet.TeamName) bool { return skipped[team] },
	}
	for remaining > 0 {
		item, ok := waiting.Next(teams)
		if !ok {
			break
		}
		e := m.find(item.ID)
		if _, err := m.actingShard(m.shardOf(item.ID)); err != nil || e == nil {
			later = append(later, item)
			continue
		}
		if refusal := authorize(snapshot, &e.job); refusal != nil {
			m.uncountQueued(e)
			m.finishRefused(e, refusal.Reason, refusal.Detail)
			continue
		}
		if err := m.options.Limits.Take(e.job.Team); err != nil {
			skipped[e.job.Team] = true
			later = append(later, item)
			continue
		}
		picked[e.job.Team]++
		m.uncountQueued(e)
		e.phase = phaseStarting
		e.startedAt = time.Time{}
		starts = append(starts, m.newStart(e, free))
		remaining--
	}
	for _, item := range later {
		if m.find(item.ID) != nil {
			waiting.Push(item)
		}
	}
	return starts
}

// freeCapacity returns the free capacity of a pool in the data centres that are
// in service.
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

// newStart prepares a start. The data centre with the most free slots is asked
// first, and one of its slots counts as taken for the following starts.
func (m *Manager) newStart(e *jobEntry, free []control.Capacity) *start {
	need, runTime := m.options.Estimate(&e.job)
	attempt := m.options.AttemptID(e.job.ID)
	step := e.job.Steps[e.Step]
	s := &start{
		entry: e,
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
		s.dataCentres = append(s.dataCentres, c.DataCentre)
		if i == 0 {
			free[i].FreeSlots--
		}
	}
	return s
}

// forEach calls fn for all items, at most parallel at a time.
func forEach[T any](parallel int, items []T, fn func(T)) {
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

// reserveSlots reserves a slot for each start and returns the starts that got
// one. The jobs of the others wait again.
func (m *Manager) reserveSlots(ctx context.Context, starts []*start) []*start {
	forEach(m.options.MaxParallelCalls, starts, func(s *start) { s.reservation, s.err = m.reserveSlot(ctx, s) })
	m.mu.Lock()
	defer m.mu.Unlock()
	var reserved []*start
	for _, s := range starts {
		if s.err == nil {
			reserved = append(reserved, s)
			continue
		}
		m.options.Limits.Return(s.entry.job.Team)
		m.postpone(s.entry)
	}
	return reserved
}

// reserveSlot asks the data centres of a start in turn. It returns the error of
// the last one if none has a slot.
func (m *Manager) reserveSlot(ctx context.Context, s *start) (control.Reservation, error) {
	err := error(&fleet.Refusal{Reason: fleet.ReasonNoCapacity})
	for _, dc := range s.dataCentres {
		var res control.Reservation
		res, err = m.reserveInDataCentre(ctx, dc, s.request)
		if err == nil {
			return res, nil
		}
	}
	return control.Reservation{}, err
}

func (m *Manager) reserveInDataCentre(ctx context.Context, dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	return m.options.Dispatcher.Reserve(ctx, dc, req)
}

// postpone makes a job wait after a refused start, longer with each refusal.
// The caller holds mu.
func (m *Manager) postpone(e *jobEntry) {
	if !m.stillOwned(e) {
		return
	}
	maxDelay := refusalDelayMax
	if e.job.Class == fleet.ClassUrgent {
		maxDelay = urgentRefusalDelayMax
	}
	delay := min(refusalDelayBase<<min(e.startRefusals, 10), maxDelay)
	e.startRefusals++
	m.delay(e, m.options.Clock.Now().Add(delay))
}

// claimStarts journals the claims of all starts together and returns the starts
// that may be sent. Without a durable claim only idempotent jobs may start, and
// only while the store is unavailable.
func (m *Manager) claimStarts(ctx context.Context, starts []*start) ([]*start, error) {
	claimed := m.setClaims(ctx, starts)
	if len(claimed) == 0 {
		return nil, nil
	}
	entries := make([]*jobEntry, 0, len(claimed))
	for _, s := range claimed {
		entries = append(entries, s.entry)
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
		if outage && m.allowUnrecorded(s.entry) {
			allowed = append(allowed, s)
			continue
		}
		m.withdrawClaim(ctx, s)
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

// allowUnrecorded marks a job to start without a durable claim and reports
// whether it may.
func (m *Manager) allowUnrecorded(e *jobEntry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !e.job.Idempotent || !m.stillOwned(e) {
		return false
	}
	e.unrecorded = true
	m.stats.Claims++
	return true
}

// setClaims sets the claims in memory. It drops the starts of jobs that were
// canceled or whose shard has moved in the meantime.
func (m *Manager) setClaims(ctx context.Context, starts []*start) []*start {
	var claimed, dropped []*start
	m.mu.Lock()
	for _, s := range starts {
		if !m.stillOwned(s.entry) || s.entry.Canceled {
			m.options.Limits.Return(s.entry.job.Team)
			m.endCanceled(s.entry)
			dropped = append(dropped, s)
			continue
		}
		m.setClaim(s)
		claimed = append(claimed, s)
	}
	m.mu.Unlock()
	for _, s := range dropped {
		m.options.Dispatcher.Release(ctx, s.reservation)
	}
	return claimed
}

// setClaim gives a job the claim for its reserved slot. The caller holds mu.
func (m *Manager) setClaim(s *start) {
	e := s.entry
	e.Claim = &claim{
		Attempt: s.task.ID, VM: s.reservation.VM, DataCentre: s.reservation.DataCentre, Epoch: s.reservation.Epoch,
		Step: e.Step, Holder: m.self(),
	}
	e.Attempts++
	e.Started++
	m.running[e.job.Team]++
	m.markDirty(e)
}

// sendStarts sends the starts whose conditions still hold.
func (m *Manager) sendStarts(ctx context.Context, starts []*start) {
	forEach(m.options.MaxParallelCalls, starts, func(s *start) {
		if err := m.recheck(s); err != nil {
			m.withdrawClaim(ctx, s)
			return
		}
		s.err = m.sendStart(ctx, s)
		m.handleStartAnswer(s)
	})
}

func (m *Manager) sendStart(ctx context.Context, s *start) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	return m.options.Dispatcher.Start(ctx, s.reservation, s.task)
}

// recheck runs directly before a start is sent, because time has passed since
// the job was selected: the session, the view, the data centre and the key must
// still be valid. The job then counts as open, because a report of its end may
// arrive before the answer to the start.
func (m *Manager) recheck(s *start) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.actingShard(s.entry.shard); err != nil {
		return err
	}
	if err := m.checkMayStart(); err != nil {
		return err
	}
	snapshot := m.options.View.Snapshot()
	if snapshot.DataCentres[s.reservation.DataCentre].State != fleet.DataCentreIn {
		return &fleet.Refusal{Reason: fleet.ReasonDataCentreOut}
	}
	if refusal := authorize(snapshot, &s.entry.job); refusal != nil {
		return refusal
	}
	if s.entry.Canceled || !m.isCurrent(s) {
		return &fleet.Refusal{Reason: fleet.ReasonCanceled}
	}
	m.stats.Starts++
	m.setOpen(s.entry)
	return nil
}

// isCurrent reports whether a start belongs to the current claim of its job.
// The caller holds mu.
func (m *Manager) isCurrent(s *start) bool {
	return m.stillOwned(s.entry) && s.entry.Claim != nil && s.entry.Claim.Attempt == s.task.ID
}

// setOpen records that the task of a claim may be running. The caller holds mu.
func (m *Manager) setOpen(e *jobEntry) {
	now := m.options.Clock.Now()
	e.phase = phaseOpen
	e.lastKnownAt = now
	e.unansweredLookups = 0
	e.lookupAt = now.Add(m.options.LookupInterval)
	m.open[e.job.ID] = e
}

// handleStartAnswer processes the answer to a start. A refusal proves that the
// task was not started; after any other error a lookup determines its state.
func (m *Manager) handleStartAnswer(s *start) {
	now := m.options.Clock.Now()
	var refusal *fleet.Refusal
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isCurrent(s) {
		return
	}
	e := s.entry
	switch {
	case s.err == nil:
		e.startRefusals = 0
		e.startedAt = now
		if e.Canceled {
			e.lookupAt = now // the stop may have arrived before the start
		}
		m.poolStartRate(e.pool).add(now)
		m.options.OnStart(&e.job, now.Sub(e.queuedAt))
	case errors.As(s.err, &refusal):
		m.stats.NotStarted++
		m.avoidVM(e, s.reservation.VM)
		m.endClaim(e)
		m.attemptNotStarted(e)
	default:
		e.lookupAt = now
	}
}

// withdrawClaim releases the reservation and ends the claim of a start that was
// not sent.
func (m *Manager) withdrawClaim(ctx context.Context, s *start) {
	m.options.Dispatcher.Release(ctx, s.reservation)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isCurrent(s) {
		return
	}
	m.endClaim(s.entry)
	m.attemptNotStarted(s.entry)
}

// endClaim ends the claim of a job and returns its unit of the team's limit. It
// does not return a unit that another session holds, or that this session holds
// for a shard it has handed over: the holder reclaims that. The caller holds
// mu.
func (m *Manager) endClaim(e *jobEntry) {
	m.running[e.job.Team]--
	if m.running[e.job.Team] <= 0 {
		delete(m.running, e.job.Team)
	}
	if _, handedOver := m.handedOverUnits[e.Claim.Attempt]; e.Claim.Holder == m.self() && !handedOver {
		m.options.Limits.Return(e.job.Team)
	}
	delete(m.open, e.job.ID)
	e.Claim = nil
	m.markDirty(e)
}

// attemptNotStarted makes a job wait again whose attempt is proved not to have
// started. The caller holds mu.
func (m *Manager) attemptNotStarted(e *jobEntry) {
	e.Attempts--
	e.Started--
	if e.Canceled {
		m.endCanceled(e)
		return
	}
	m.postpone(e)
}

// avoidVM adds a VM to the last VMs that refused or failed the job. The caller
// holds mu.
func (m *Manager) avoidVM(e *jobEntry, vm fleet.VMID) {
	const maxAvoid = 4
	if slices.Contains(e.Avoid, vm) {
		return
	}
	e.Avoid = append(slices.Clone(e.Avoid), vm)
	if len(e.Avoid) > maxAvoid {
		e.Avoid = e.Avoid[1:]
	}
}
