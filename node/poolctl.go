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
	// owner starts no runs. It is below the time after which the owner may be
	// replaced.
	startAgeLimit = 1500 * time.Millisecond
	// renewAgeLimit is the age of the last confirmed transaction from which an
	// owner renews no leases, so that a later owner knows when the runs that it
	// cannot reach have expired. Together with the lease, it lets runs survive
	// an outage of the table service of 8 s.
	renewAgeLimit = 3500 * time.Millisecond
	// minCycleInterval is the least time between two transactions, so that ends
	// and starts of runs share one.
	minCycleInterval = 12 * time.Millisecond
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

	events           chan func(*pool.Pool) // handled by loop
	done             chan struct{}         // closed when loop handles no more events
	vmClients        map[string]*vmClient  // by VM
	confirmedAt      atomic.Int64          // send time of the last confirmed transaction, steady clock in ns
	caps             *capShares
	arrivals         *arrivals
	commitResults    chan commitResult
	lastCommitSentAt time.Duration // steady clock
	committing       bool          // a transaction is under way
	stopErr          error         // of the transaction that was under way at the stop
}

type commitResult struct {
	batch  pool.Batch
	sentAt time.Duration
	err    error
}

// newPoolController returns the controller of a claimed pool. renewedUntil and
// sentAt are explained at runController.
func newPoolController(n *Node, o *ownership, renewedUntil, sentAt time.Duration) *poolController {
	pc := &poolController{
		node: n, owner: o, name: o.pool,
		log:    n.log.With(zap.String("pool", o.pool), zap.Int64("epoch", o.row.Epoch)),
		events: make(chan func(*pool.Pool), 1024), done: make(chan struct{}), vmClients: map[string]*vmClient{},
		commitResults: make(chan commitResult, 1),
	}
	pc.confirmedAt.Store(int64(sentAt))
	pc.lastCommitSentAt = sentAt
	settings := n.settings.Scheduler
	settings.Pool = o.pool
	settings.LeaseBound = time.Duration(float64(settings.Lease)/(1-clockDrift)) + leaseMargin
	settings.InheritedLeaseBound = max(renewedUntil, n.clock.Now().Steady) + settings.LeaseBound
	pc.pool = pool.New(settings, pc.log, n.clock.Now())
	pc.caps = newCapShares(n, o.pool, pc.log)
	pc.arrivals = newArrivals(n.clock, n.settings.Fleet.MoveTime)
	return pc
}

// run recovers the pool's state and schedules until ctx ends or the pool has
// another owner.
func (pc *poolController) run(ctx context.Context) error {
	began := pc.node.clock.Now().Steady
	version, err := pc.recover(ctx)
	if err != nil {
		return fmt.Errorf("recover pool %s: %w", pc.name, err)
	}
	pc.log.Info("pool_taken_over", zap.Duration("took", pc.node.clock.Now().Steady-began), zap.Int64("version", version))
	// What the scheduler has begun continues after ctx ends, until its last
	// transaction.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer close(pc.done)
	pc.startFollowers(workCtx, version)
	err = pc.loop(workCtx, ctx)
	if err == nil && pc.mayRenew() {
		pc.confirmedAt.Store(math.MinInt64 / 2) // nothing is renewed after the release
		pc.release()
	}
	return err
}

// deliver runs f in the scheduler's loop. After the end of the loop it does
// nothing.
func (pc *poolController) deliver(f func(*pool.Pool)) {
	select {
	case pc.events <- f:
	case <-pc.done:
	}
}

// recover restores the scheduler from the stored requests, progress, queue
// figures, cordons and lease bounds. It returns the version of the requests
// that were read.
func (pc *poolController) recover(ctx context.Context) (int64, error) {
	requests, err := pc.owner.readOwnPartition(ctx, tables.Requests(pc.name), pc.log)
	if err != nil {
		return 0, err
	}
	progress, err := pc.owner.readOwnPartition(ctx, tables.Progress, pc.log)
	if err != nil {
		return 0, err
	}
	queues, err := pc.owner.readOwnPartition(ctx, tables.Queues, pc.log)
	if err != nil {
		return 0, err
	}
	stored := make(map[string]*job.Progress, len(progress.Rows))
	for _, row := range progress.Rows {
		p, err := job.DecodeProgress(row.Value)
		if err != nil {
			pc.log.Error("progress_row_unreadable", zap.String("job", row.Name), zap.Error(err))
			continue
		}
		stored[row.Name] = p
	}
	cordonRows, err := pc.owner.readPartition(ctx, tables.Cordons, fleetPool, pc.log)
	if err != nil {
		return 0, err
	}
	cordons := map[string]pool.Cordon{}
	for _, row := range cordonRows.Rows {
		pc.applyCordon(cordons, row)
	}
	leases, err := pc.owner.readOwnPartition(ctx, tables.Leases, pc.log)
	if err != nil {
		return 0, err
	}
	pc.pool.Advance(pc.node.clock.Now())
	pc.pool.SetCordons(cordons)
	pc.restoreLeases(leases.Rows)
	for _, row := range queues.Rows {
		status, err := job.DecodeQueueStatus(row.Value)
		if err != nil {
			pc.log.Error("queue_row_unreadable", zap.String("queue", row.Name), zap.Error(err))
			continue
		}
		pc.pool.RestoreQueue(row.Name, status.Waiting)
	}
	for _, row := range requests.Rows {
		pc.applyRequest(pc.pool, row, stored)
	}
	return requests.Version, nil
}

// restoreLeases passes on the lease bounds that the earlier owner has recorded
// for VMs that it could not reach.
func (pc *poolController) restoreLeases(rows []store.Row) {
	for _, row := range rows {
		bounds, err := pool.DecodeLeases(row.Value)
		if err != nil {
			pc.log.Error("lease_row_unreadable", zap.Error(err))
			continue
		}
		for vm, at := range bounds {
			pc.pool.RestoreLease(vm, pc.owner.service.localTimeBound(at))
		}
	}
}

// loop is the only goroutine that uses the scheduler. It returns nil when
// stopCtx ends, and an error when the pool has another owner.
func (pc *poolController) loop(ctx, stopCtx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextView <-chan struct{}
	for {
		view, viewChanged := pc.node.operator.Get()
		if nextView != viewChanged {
			nextView = viewChanged
			pc.configure(view)
		}
		select {
		case f := <-pc.events:
			pc.pool.Advance(pc.node.clock.Now())
			f(pc.pool)
			pc.handleQueuedEvents()
		case result := <-pc.commitResults:
			if err := pc.committed(ctx, result); err != nil {
				return err
			}
		case <-timer.C:
		case <-nextView:
			continue
		case <-stopCtx.Done():
			pc.awaitCommit()
			return nil
		}
		if pc.pool.Deposed() {
			return errDeposed
		}
		timer.Reset(pc.cycle(ctx))
	}
}

// handleQueuedEvents handles the events that have accumulated, so that one
// cycle serves all of them.
func (pc *poolController) handleQueuedEvents() {
	for range cap(pc.events) {
		select {
		case f := <-pc.events:
			f(pc.pool)
		default:
			return
		}
	}
}

func (pc *poolController) configure(view View) {
	pc.pool.SetEvacuated(view.EvacuatedDataCentres)
	if view.Catalog != nil {
		pc.pool.Configure(view.Catalog)
		pc.caps.configure(view.Catalog)
	}
}

// cycle dispatches commands and, if no transaction is under way, starts the
// next one. It returns the time until the next cycle.
func (pc *poolController) cycle(ctx context.Context) time.Duration {
	now := pc.node.clock.Now()
	pc.pool.Advance(now)
	pc.syncVMClients(ctx)
	if pc.committing {
		pc.dispatch(ctx, pc.pool.Commands())
		return maxCycleInterval
	}
	if wait := minCycleInterval - (now.Steady - pc.lastCommitSentAt); wait > 0 {
		pc.dispatch(ctx, pc.pool.Commands())
		return wait
	}
	pc.caps.applyTo(pc.pool)
	pc.pool.SetServiceClockOffset(pc.owner.service.serviceTimeBound(0))
	batch := pc.pool.Cycle()
	pc.caps.requestShares(ctx, pc.pool.Demand(), now.Steady)
	pc.dispatch(ctx, pc.pool.Commands())
	if batch.Empty() && now.Steady-pc.lastCommitSentAt < ownerRenewInterval {
		return pc.pool.NextDue(maxCycleInterval)
	}
	pc.committing = true
	pc.lastCommitSentAt = now.Steady
	go pc.commit(ctx, batch, now.Steady)
	return maxCycleInterval
}

func (pc *poolController) commit(ctx context.Context, batch pool.Batch, sentAt time.Duration) {
	err := pc.owner.commit(ctx, store.Txn{Puts: batch.Puts, Deletes: batch.Deletes})
	pc.commitResults <- commitResult{batch, sentAt, err}
}

func (pc *poolController) committed(ctx context.Context, result commitResult) error {
	pc.committing = false
	if result.err != nil {
		return result.err
	}
	now := pc.node.clock.Now()
	pc.pool.Advance(now)
	pc.confirmedAt.Store(int64(result.sentAt))
	pc.node.metrics.observe(metricCommit, "", now.Steady-result.sentAt)
	pc.dispatch(ctx, pc.pool.Committed(result.batch))
	pc.node.metrics.setPoolStats(pc.name, pc.pool.Stats())
	for _, vm := range pc.pool.RenewalTargets() {
		if v := pc.vmClients[vm.ID]; v != nil {
			v.setAcknowledged(vm.AcknowledgedEnds)
			v.mayExtend.Store(vm.ExtendLeases)
		}
	}
	return nil
}

// awaitCommit waits for the transaction under way, so that the release is the
// last transaction.
func (pc *poolController) awaitCommit() {
	if !pc.committing {
		return
	}
	select {
	case result := <-pc.commitResults:
		pc.stopErr = result.err
	case <-time.After(releaseTimeout):
		pc.stopErr = errors.New("transaction still under way at stop")
	}
}

// release gives up the pool, unless the transaction that was under way at the
// stop has failed or is unfinished.
func (pc *poolController) release() {
	if pc.stopErr != nil && !errors.Is(pc.stopErr, context.Canceled) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := pc.owner.release(ctx); err != nil {
		pc.log.Warn("pool_not_released", zap.Error(err))
		return
	}
	pc.log.Info("pool_released")
}

// mayRenew reports whether the last confirmed transaction is recent enough for
// extending leases.
func (pc *poolController) mayRenew() bool {
	return pc.node.clock.Now().Steady-time.Duration(pc.confirmedAt.Load()) < renewAgeLimit
}

// mayStart reports whether the last confirmed transaction is recent enough for
// starting runs.
func (pc *poolController) mayStart() bool {
	return pc.node.clock.Now().Steady-time.Duration(pc.confirmedAt.Load()) < startAgeLimit
}

// syncVMClients opens a client for each new VM and closes those of VMs that are
// no longer in the pool.
func (pc *poolController) syncVMClients(ctx context.Context) {
	vms := pc.pool.RenewalTargets()
	known := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Address == "" {
			continue
		}
		known[vm.ID] = true
		if v := pc.vmClients[vm.ID]; v != nil && v.ref.Address == vm.Address {
			continue
		}
		pc.openVMClient(ctx, vm)
	}
	for id, v := range pc.vmClients {
		if !known[id] {
			v.stop()
			delete(pc.vmClients, id)
		}
	}
}

func (pc *poolController) openVMClient(ctx context.Context, vm pool.RenewalTarget) {
	if old := pc.vmClients[vm.ID]; old != nil {
		old.stop()
	}
	clientCtx, cancel := context.WithCancel(ctx)
	v := &vmClient{
		ref: WorkerRef{ID: vm.ID, Address: vm.Address}, workers: pc.node.workers, clock: pc.node.clock, log: pc.log,
		epoch: pc.owner.row.Epoch, lease: pc.node.settings.Scheduler.Lease, deliver: pc.deliver,
		recorded: make(chan struct{}, 1), stop: cancel, slots: newOrderSlots(),
		mayRenew: pc.mayRenew, mayStart: pc.mayStart, pool: pc.name, metrics: pc.node.metrics,
	}
	v.acknowledged.Store(vm.AcknowledgedEnds)
	v.mayExtend.Store(vm.ExtendLeases)
	pc.vmClients[vm.ID] = v
	go v.run(clientCtx)
}

// dispatch sends commands to their VMs and to the advisor. A command that
// cannot be sent goes back to the scheduler.
func (pc *poolController) dispatch(ctx context.Context, commands []pool.Command) {
	for _, c := range commands {
		if c.Kind == pool.Advise {
			go pc.advise(ctx, c)
			continue
		}
		v := pc.vmClients[c.VM]
		if v == nil {
			pc.log.Info("order_without_vm_client", zap.String("task", c.Task), zap.String("vm", c.VM))
			pc.pool.NotSent(c)
			continue
		}
		if c.Kind == pool.Start && !pc.mayStart() {
			pc.log.Info("start_withheld", zap.String("task", c.Task), zap.Duration("confirmed_age", pc.node.clock.Now().Steady-time.Duration(pc.confirmedAt.Load())))
			pc.pool.NotSent(c)
			continue
		}
		go v.execute(ctx, c)
	}
}

// advise asks the advisor for tickets. It waits for its turn, as the advisor
// serves one call of this process at a time.
func (pc *poolController) advise(ctx context.Context, c pool.Command) {
	select {
	case pc.node.advisorSlot <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-pc.node.advisorSlot }()
	sentAt := pc.node.clock.Now().Steady
	tickets, validity, err := pc.askAdvisor(ctx, c)
	if err != nil {
		pc.log.Info("advice_missing", zap.String("step", c.Task), zap.Error(err))
	}
	pc.deliver(func(p *pool.Pool) { p.Advised(c, tickets, validity, sentAt, err == nil) })
}

var errNoAdvisor = errors.New("no advisor is configured")

func (pc *poolController) askAdvisor(ctx context.Context, c pool.Command) ([]pool.Ticket, time.Duration, error) {
	if pc.node.advisor == nil {
		return nil, 0, errNoAdvisor
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return pc.node.advisor.Advise(ctx, c.Task, c.VMs)
}
