package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Timing of a pool's owner.
const (
	// ownerRenewInterval is the longest time between two transactions of an
	// owner.
	ownerRenewInterval = 700 * time.Millisecond
	// startAgeLimit is the age of the last confirmed transaction from which an
	// owner starts no runs, without the usual time of a transaction. It is below the
	// time after which the owner may be replaced.
	startAgeLimit = time.Second
	// maxStartAge bounds that age for owners of this and of earlier builds.
	maxStartAge = 1500 * time.Millisecond
	// renewAgeLimit is the age of the last confirmed transaction from which an
	// owner renews no leases, so that a later owner knows when the runs that it
	// cannot reach have expired. Together with the lease, it lets runs survive
	// an outage of the table service of 8 s.
	renewAgeLimit = 3500 * time.Millisecond
	// minCycleInterval is the least time between two transactions, so that ends
	// and starts of runs share one.
	minCycleInterval = 12 * time.Millisecond
	// cycleLoadFactor is the least ratio of the time between two transactions to that
	// which the scheduler's last cycle took, so that a long queue leaves the processor
	// to orders and listings. maxLoadedInterval bounds it.
	cycleLoadFactor   = 4
	maxLoadedInterval = 60 * time.Millisecond
	// maxCycleInterval is the longest time between two cycles of the scheduler.
	maxCycleInterval = 250 * time.Millisecond
	// releaseTimeout bounds the last transaction of a planned stop.
	releaseTimeout = 1500 * time.Millisecond
	// requestWait and cordonWait are the longest waits of feed calls. They
	// bound how long a change may be missed: a call that begins right after the
	// service has dropped its history is not woken by a change.
	requestWait = time.Second
	cordonWait  = time.Second
	// requestPause lets requests accumulate; it bounds the rate of an owner's
	// feed calls.
	requestPause  = 5 * time.Millisecond
	discoverWait  = time.Second
	discoverPause = 300 * time.Millisecond // a drain must be noticed within 2 s
)

// poolController schedules one pool for its owner. The scheduler is used by the
// goroutine of loop only; other goroutines reach it by deliver.
type poolController struct {
	node  *Node
	log   *zap.Logger
	owner *ownership
	pool  *pool.Pool
	name  string
	epoch int64 // of the claim

	events      chan func(*pool.Pool) // handled by loop
	done        chan struct{}         // closed when loop handles no more events
	vmClients   map[string]*vmClient  // by VM
	vmsVersion  int64                 // of the scheduler's VMs when vmClients was last updated
	confirmedAt atomic.Int64          // send time of the last confirmed transaction, steady clock in ns
	caps        *capShares
	arrivals    *arrivals
	expiry      requestExpiry
	tombstones  tombstoneExpiry
	movedQueues *movedQueues
	inventory   inventoryReader

	commitResults    chan commitResult
	lastCommitSentAt time.Duration // steady clock
	cycleInterval    time.Duration // least time between two transactions
	committing       bool          // a transaction is under way
	renewalsPaused   bool          // the last confirmed transaction is too old for renewals
	stopErr          error         // error of the transaction that was under way at the stop

	incarnations map[string]*incarnationCount // by VM; may outlive the VM's client

	serviceClockOffset time.Duration // see pool.SetServiceClockOffset
}

type commitResult struct {
	batch  pool.Batch
	sentAt time.Duration
	err    error
}

// newPoolController returns the controller of a claimed pool. renewedUntil and
// sentAt are explained at runController.
func newPoolController(n *Node, o *ownership, renewedUntil, sentAt time.Duration) *poolController {
	r := &poolController{
		node: n, owner: o, name: o.pool, epoch: o.row.Epoch,
		log:    n.log.With(zap.String("pool", o.pool), zap.Int64("epoch", o.row.Epoch)),
		events: make(chan func(*pool.Pool), 1024), done: make(chan struct{}), vmClients: map[string]*vmClient{}, incarnations: map[string]*incarnationCount{},
		commitResults: make(chan commitResult, 1),
	}
	r.confirmedAt.Store(int64(sentAt))
	r.lastCommitSentAt = sentAt
	settings := n.settings.Scheduler
	settings.Pool = o.pool
	settings.LeaseBound, settings.MaxLeaseBound = leaseBound(settings.Lease), leaseBound(max(settings.Lease, settings.MaxLease))
	settings.OrderDelayBound = maxOrderDelay
	if o.row.Epoch > 1 { // there was an earlier owner
		lastRenewal := max(renewedUntil, n.clock.Now().Steady)
		// A lease on the clock of the incarnation that holds it ends at a time that was fixed when
		// it was granted. One on a former clock counts from its arrival.
		settings.InheritedConfirmedBound = lastRenewal + settings.LeaseBound
		settings.InheritedLeaseBound = lastRenewal + renewTimeout + settings.MaxLeaseBound
		settings.InheritedLateBound = lastRenewal + maxOrderDelay + settings.MaxLeaseBound
	}
	settings.FormerClockBound = formerClockTime + settings.MaxLeaseBound
	settings.StartDelayBound = maxStartAge + orderTimeout
	r.pool = pool.New(settings, r.log, n.clock.Now())
	r.caps = newCapShares(n, o.pool, r.log)
	r.movedQueues = newMovedQueues(n, o.pool, r.log)
	r.arrivals = newArrivals(n.clock, n.settings.Fleet.MoveTime)
	return r
}

// run recovers the pool's state and schedules until ctx ends or the pool has
// another owner.
func (r *poolController) run(ctx context.Context) error {
	began := r.node.clock.Now().Steady
	version, err := r.recover(ctx)
	if err != nil {
		return fmt.Errorf("recover pool %s: %w", r.name, err)
	}
	r.log.Info("pool_taken_over", zap.Duration("took", r.node.clock.Now().Steady-began), zap.Int64("version", version))
	// What the scheduler has begun continues after ctx ends, until its last
	// transaction.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer close(r.done)
	r.startFollowers(workCtx, version)
	err = r.loop(workCtx, ctx)
	if err == nil && r.mayRenew(r.node.clock.Now().Steady) {
		r.confirmedAt.Store(math.MinInt64 / 2) // nothing is renewed after the release
		r.release()
	}
	return err
}

// deliver runs f in the scheduler's loop. After the end of the loop it does
// nothing.
func (r *poolController) deliver(f func(*pool.Pool)) {
	select {
	case r.events <- f:
	case <-r.done:
	}
}

// recover restores the scheduler from the stored requests, progress, queue
// figures, cordons and lease bounds. It returns the version of the requests
// that were read.
func (r *poolController) recover(ctx context.Context) (int64, error) {
	requests, err := r.owner.readSpans(ctx, tables.Requests(r.name), tables.RequestSpans(r.name), r.log)
	if err != nil {
		return 0, err
	}
	progress, err := r.owner.readOwnPartition(ctx, tables.Progress, r.log)
	if err != nil {
		return 0, err
	}
	queues, err := r.owner.readOwnPartition(ctx, tables.Queues, r.log)
	if err != nil {
		return 0, err
	}
	stored := pool.DecodeStoredProgress(progress.Rows, r.log)
	cordonRows, err := r.owner.readSpans(ctx, tables.Cordons, store.Partitions(fleetPool), r.log)
	if err != nil {
		return 0, err
	}
	cordons := map[string]pool.Cordon{}
	for _, row := range cordonRows.Rows {
		r.applyCordon(cordons, row)
	}
	leases, err := r.owner.readOwnPartition(ctx, tables.Leases, r.log)
	if err != nil {
		return 0, err
	}
	r.pool.Advance(r.node.clock.Now())
	r.updateServiceClock()
	r.pool.SetCordons(cordons)
	r.restoreLeases(leases.Rows)
	for _, row := range queues.Rows {
		status, err := job.DecodeQueueStatus(row.Value)
		if err != nil {
			r.log.Error("queue_row_unreadable", zap.String("queue", row.Name), zap.Error(err))
			continue
		}
		r.pool.RestoreQueue(row.Name, status.Waiting)
	}
	for _, row := range requests.Rows {
		// A row on which the scheduler fails must not keep the pool from all owners.
		_ = r.node.protect("request "+row.Name, func() error { r.applyRequest(r.pool, row, stored); return nil })
	}
	r.deleteOrphanedProgress(requests.Rows, stored)
	return requests.Version, nil
}

// restoreLeases passes on the lease bounds that the earlier owner has recorded
// for VMs that it could not reach, and for runs on them, and which VMs it has used.
func (r *poolController) restoreLeases(rows []store.Row) {
	for _, row := range rows {
		if !tables.IsVMKey(row.Key) {
			continue
		}
		vms, err := pool.DecodeVMs(row.Value)
		if err != nil {
			r.log.Error("vm_identities_unreadable", zap.String("row", row.Name), zap.Error(err))
			continue
		}
		r.pool.RestoreVMs(vms)
	}
	var runs map[string]pool.RunLeases
	for _, row := range rows {
		if tables.IsVMKey(row.Key) {
			continue
		}
		if row.Key == tables.RunLeaseKey(r.name) {
			var err error
			if runs, err = pool.DecodeRunLeases(row.Value); err != nil {
				r.log.Error("lease_row_unreadable", zap.Error(err))
			}
			continue
		}
		bounds, err := pool.DecodeLeases(row.Value)
		if err != nil {
			r.log.Error("lease_row_unreadable", zap.Error(err))
			continue
		}
		for vm, at := range bounds {
			r.pool.RestoreLease(vm, r.owner.service.localTimeBound(at))
		}
	}
	for vm, leases := range runs {
		r.pool.RestoreRunLeases(vm, r.owner.service.localTimeBound(time.Duration(leases.UntilMS)*time.Millisecond), leases.Later)
	}
}

// loop is the only goroutine that uses the scheduler. It returns nil when
// stopCtx ends, and an error when the pool has another owner.
func (r *poolController) loop(ctx, stopCtx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextView <-chan struct{}
	for {
		view, viewChanged := r.node.operator.Get()
		if nextView != viewChanged {
			nextView = viewChanged
			r.configure(view)
		}
		select {
		case f := <-r.events:
			r.pool.Advance(r.node.clock.Now())
			f(r.pool)
			r.handleQueuedEvents()
		case result := <-r.commitResults:
			if err := r.committed(ctx, result); err != nil {
				return err
			}
		case <-timer.C:
		case <-nextView:
			continue
		case <-stopCtx.Done():
			r.awaitCommit()
			return nil
		}
		if r.pool.Deposed() {
			return errDeposed
		}
		timer.Reset(r.cycle(ctx))
	}
}

// handleQueuedEvents handles the events that have accumulated, so that one
// cycle serves all of them.
func (r *poolController) handleQueuedEvents() {
	for range cap(r.events) {
		select {
		case f := <-r.events:
			f(r.pool)
		default:
			return
		}
	}
}

func (r *poolController) configure(view View) {
	r.pool.SetEvacuated(view.EvacuatedDataCentres)
	if view.Catalog != nil {
		r.pool.Configure(view.Catalog)
		r.caps.configure(view.Catalog)
	}
}

// cycle dispatches commands and, if no transaction is under way, starts the
// next one. It returns the time until the next cycle.
func (r *poolController) cycle(ctx context.Context) time.Duration {
	now := r.node.clock.Now()
	r.pool.Advance(now)
	r.syncVMClients(ctx)
	r.logRenewals()
	if r.committing {
		r.dispatch(ctx, r.pool.Commands())
		return maxCycleInterval
	}
	if wait := r.cycleInterval - (now.Steady - r.lastCommitSentAt); wait > 0 {
		r.dispatch(ctx, r.pool.Commands())
		return wait
	}
	r.caps.applyTo(r.pool)
	r.updateServiceClock()
	r.inventory.request(ctx, r, now.Steady)
	r.deleteExpiredRequests(ctx, now.Steady)
	r.deleteTombstones(ctx, now.Steady)
	r.passOnGrants()
	r.suspendGrants()
	batch := r.pool.Cycle()
	r.cycleInterval = cycleIntervalFor(r.node.clock.Now().Steady - now.Steady)
	if r.movedQueues.due(now.Steady) {
		r.movedQueues.publish(ctx, r.pool.WaitingElsewhere())
	}
	r.caps.requestShares(ctx, r.pool, now.Steady)
	r.dispatch(ctx, r.pool.Commands())
	if batch.Empty() && now.Steady-r.lastCommitSentAt < ownerRenewInterval {
		return r.pool.NextDue(maxCycleInterval)
	}
	r.committing = true
	r.lastCommitSentAt = now.Steady
	r.node.spawn("commit of "+r.name, func() { r.commit(ctx, batch, now.Steady) })
	return maxCycleInterval
}

// cycleIntervalFor returns the least time between two transactions, given how long the
// last cycle took.
func cycleIntervalFor(took time.Duration) time.Duration {
	return max(minCycleInterval, min(maxLoadedInterval, cycleLoadFactor*took))
}

func (r *poolController) commit(ctx context.Context, batch pool.Batch, sentAt time.Duration) {
	err := r.node.protect("commit of "+r.name, func() error {
		return r.owner.commit(ctx, store.Txn{Puts: batch.Puts, Deletes: batch.Deletes})
	})
	r.commitResults <- commitResult{batch, sentAt, err}
}

func (r *poolController) committed(ctx context.Context, result commitResult) error {
	r.committing = false
	if errors.Is(result.err, store.ErrInvalid) && r.pool.Refused(result.batch, result.err) {
		r.node.metrics.add("batches_refused")
		return nil
	}
	if result.err != nil {
		return result.err
	}
	now := r.node.clock.Now()
	r.pool.Advance(now)
	r.confirmedAt.Store(int64(result.sentAt))
	r.node.metrics.observe(metricCommit, "", now.Steady-result.sentAt)
	r.dispatch(ctx, r.pool.Committed(result.batch))
	r.node.metrics.setPoolStats(r.name, r.pool.Stats())
	for _, vm := range r.pool.RenewalTargets() {
		if v := r.vmClients[vm.ID]; v != nil {
			v.setAcknowledged(vm.StartedMS, vm.AcknowledgedEnds, vm.RecordedEnds)
			if vm.ExtendLeases {
				v.resumeGrants()
			}
		}
	}
	return nil
}

// passOnGrants tells the clients which incarnations discovery lists, and the scheduler which
// leases the clients have granted. It is called right
// before a cycle, which gives up the runs whose leases have ended at the time of its start: a
// lease that is granted later can no longer extend them.
func (r *poolController) passOnGrants() {
	for id, v := range r.vmClients {
		v.observeIncarnation(r.pool.Incarnation(id))
		r.pool.SetLeaseBounds(id, v.granted())
	}
}

// suspendGrants ends the granting of leases on the VMs whose lease bounds the next
// transaction stores. A later owner may rely on the bounds from the moment in which the
// transaction is sent, also if its answer is lost, so they must cover all leases granted
// before and no other lease may follow. Grants resume once a transaction without the bound
// is confirmed.
func (r *poolController) suspendGrants() {
	for _, id := range r.pool.LeaseBoundsDue() {
		if v := r.vmClients[id]; v != nil {
			r.pool.SetLeaseBounds(id, v.suspendGrants())
		}
	}
}

// awaitCommit waits for the transaction under way, so that the release is the
// last transaction.
func (r *poolController) awaitCommit() {
	if !r.committing {
		return
	}
	select {
	case result := <-r.commitResults:
		r.stopErr = result.err
	case <-time.After(releaseTimeout):
		r.stopErr = errors.New("transaction still under way at stop")
	}
}

// release gives up the pool, unless the transaction that was under way at the
// stop has failed or is unfinished.
func (r *poolController) release() {
	if r.stopErr != nil && !errors.Is(r.stopErr, context.Canceled) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := r.owner.release(ctx); err != nil {
		r.log.Warn("pool_not_released", zap.Error(err))
		return
	}
	r.log.Info("pool_released")
}

// mayRenew reports whether the last confirmed transaction is recent enough for extending
// leases at a time on the steady clock.
func (r *poolController) mayRenew(at time.Duration) bool {
	return at-time.Duration(r.confirmedAt.Load()) < renewAgeLimit
}

// updateServiceClock passes on how the clock of the table service relates to that of this
// process. It must not be called while a transaction is under way.
func (r *poolController) updateServiceClock() {
	r.serviceClockOffset = r.owner.service.serviceTimeBound(0)
	r.pool.SetServiceClockOffset(r.serviceClockOffset, r.owner.service.localTimeBound(0)+r.serviceClockOffset)
}

// logRenewals logs when this owner stops renewing leases and when it renews them again.
func (r *poolController) logRenewals() {
	paused := !r.mayRenew(r.node.clock.Now().Steady)
	if paused == r.renewalsPaused {
		return
	}
	r.renewalsPaused = paused
	event := "renewals_resumed"
	if paused {
		event = "renewals_paused"
	}
	confirmed := time.Duration(r.confirmedAt.Load())
	r.log.Info(event, zap.Int64("confirmed_ms", (confirmed+r.serviceClockOffset).Milliseconds()),
		zap.Duration("confirmed_age", r.node.clock.Now().Steady-confirmed), zap.Int("vms", len(r.vmClients)))
}

// mayStart reports whether the last confirmed transaction is recent enough for starting
// runs at a time on the steady clock.
func (r *poolController) mayStart(at time.Duration) bool {
	return at-time.Duration(r.confirmedAt.Load()) < r.node.orderAgeLimit()
}

// orderAgeLimit returns the age of the last confirmed transaction from which an owner, or the
// holder of the fleet role, sends no orders.
func (n *Node) orderAgeLimit() time.Duration {
	return min(maxStartAge, startAgeLimit+n.store.AverageCommitTime())
}

// syncVMClients opens a client for each new VM and closes those of VMs that are
// no longer in the pool.
func (r *poolController) syncVMClients(ctx context.Context) {
	version := r.pool.VMsVersion()
	if version == r.vmsVersion {
		return
	}
	r.vmsVersion = version
	vms := r.pool.RenewalTargets()
	known := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Address == "" {
			continue
		}
		known[vm.ID] = true
		if v := r.vmClients[vm.ID]; v != nil && v.ref.Address == vm.Address {
			continue
		}
		r.openVMClient(ctx, vm)
	}
	for id, v := range r.vmClients {
		if !known[id] {
			r.closeVMClient(v)
		}
	}
	for id, count := range r.incarnations {
		if r.vmClients[id] == nil && count.latest.Load() == 0 && r.node.clock.Now().Steady > count.closedAt+lateCallBound {
			delete(r.incarnations, id) // no call is under way, and the VM has seen the first token of the epoch at most
		}
	}
}

func (r *poolController) openVMClient(ctx context.Context, vm pool.RenewalTarget) {
	v := r.newVMClient(vm)
	if earlier := r.vmClients[vm.ID]; earlier != nil {
		earlier.close()
		v.grantedUntil, v.retiredUntil, v.lastUnanswered = earlier.handOver()
		r.forgetVMClient(earlier)
	}
	if count := r.incarnations[vm.ID]; count != nil {
		v.count, v.incarnations = count, count.latest.Load()
		// Late orders of the earlier client are refused once the higher token is seen.
		v.tokenUnseen = v.raiseToken()
	}
	r.incarnations[vm.ID] = v.count
	clientCtx, cancel := context.WithCancel(ctx)
	v.stop = cancel
	r.vmClients[vm.ID] = v
	r.node.spawn("renewals of "+vm.ID, func() { r.node.keepRunning(clientCtx, "renewals of "+vm.ID, v.run) })
}

// closeVMClient closes a client. The scheduler learns of all leases that it has granted.
func (r *poolController) closeVMClient(v *vmClient) {
	bounds := v.close()
	r.pool.LeaseGranted(v.ref.ID, max(bounds.Confirmed, bounds.Unconfirmed))
	r.forgetVMClient(v)
}

func (r *poolController) forgetVMClient(v *vmClient) {
	delete(r.vmClients, v.ref.ID)
	v.count.closedAt = r.node.clock.Now().Steady
}

// newVMClient returns a client that does not renew leases yet.
func (r *poolController) newVMClient(vm pool.RenewalTarget) *vmClient {
	v := &vmClient{
		ref: WorkerRef{ID: vm.ID, Address: vm.Address}, workers: r.node.workers, clock: r.node.clock, log: r.log,
		epoch: r.epoch, lease: r.node.settings.Scheduler.Lease, maxLease: r.node.settings.Scheduler.MaxLease, deliver: r.deliver,
		recorded: make(chan struct{}, 1), slots: newOrderSlots(),
		mayRenew: r.mayRenew, mayStart: r.mayStart, pool: r.name, metrics: r.node.metrics, count: &incarnationCount{},
	}
	v.startedMS = vm.StartedMS
	v.acknowledged.Store(vm.AcknowledgedEnds)
	v.suspended = !vm.ExtendLeases
	return v
}

// dispatch sends commands to their VMs and to the advisor. A command that
// cannot be sent goes back to the scheduler.
func (r *poolController) dispatch(ctx context.Context, commands []pool.Command) {
	for _, c := range commands {
		if c.Kind == pool.Advise {
			r.node.spawn("advice", func() { r.advise(ctx, c) })
			continue
		}
		v := r.vmClients[c.VM]
		if v == nil {
			r.log.Info("order_without_vm_client", zap.String("task", c.Task), zap.String("vm", c.VM))
			r.pool.NotSent(c)
			continue
		}
		if c.Kind == pool.Start && !r.mayStart(r.node.clock.Now().Steady) {
			r.log.Info("start_withheld", zap.String("task", c.Task), zap.Duration("confirmed_age", r.node.clock.Now().Steady-time.Duration(r.confirmedAt.Load())))
			r.pool.NotSent(c)
			continue
		}
		r.node.spawn("order", func() { v.execute(ctx, c) })
	}
}

// advise asks the advisor for tickets. It waits for its turn, as the advisor
// serves one call of this process at a time.
func (r *poolController) advise(ctx context.Context, c pool.Command) {
	select {
	case r.node.advisorSlot <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.node.advisorSlot }()
	sentAt := r.node.clock.Now().Steady
	tickets, validity, err := r.askAdvisor(ctx, c)
	if err != nil {
		r.log.Info("advice_missing", zap.String("step", c.Task), zap.Error(err))
	}
	r.deliver(func(p *pool.Pool) { p.Advised(c, tickets, validity, sentAt, err == nil) })
}

var errNoAdvisor = errors.New("no advisor is configured")

func (r *poolController) askAdvisor(ctx context.Context, c pool.Command) ([]pool.Ticket, time.Duration, error) {
	if r.node.advisor == nil {
		return nil, 0, errNoAdvisor
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return r.node.advisor.Advise(ctx, c.Task, c.VMs)
}
