package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/fleetplan"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Timing of the fleet role.
const (
	// fleetPlanInterval is the longest time between two updates of the plan.
	fleetPlanInterval = 120 * time.Millisecond
	// listInterval and idleListInterval are the times between two reads of the
	// inventory: while there are cordons or open waves, and otherwise.
	listInterval     = 700 * time.Millisecond
	idleListInterval = 2 * time.Second
	// orderRetryPause is the pause before an order is repeated that was refused
	// or had no certain answer.
	orderRetryPause = 600 * time.Millisecond
	// maxOrderTime is the longest time that a call with an order takes.
	maxOrderTime = 2 * time.Second
	// handoverMargin covers the time that an order takes to reach the platform.
	handoverMargin = 300 * time.Millisecond
	// loadWait is the wait of a feed call for load reports.
	loadWait  = time.Second
	loadPause = 60 * time.Millisecond // between feed calls
	// usualDrainTime is how long it usually takes to drain a VM: the rest of a
	// task, a stop, and two writes of rows.
	usualDrainTime = 2 * time.Second
	// moveDrainTimeout is the time after which the move of a VM that could not
	// be drained is given up.
	moveDrainTimeout = 3 * time.Second
	// machineGoneAfter is the least time between two lists of the inventory that prove
	// that a machine is gone.
	machineGoneAfter = 3 * time.Second
)

// FleetSettings configures maintenance and moves of machines.
type FleetSettings struct {
	HandoverTime    time.Duration // least time between the last order of one holder of the role and the first of the next
	MaintenanceTime time.Duration // duration of one machine's maintenance
	MoveTime        time.Duration // duration of one machine's move
	OrdersPerSecond float64       // orders that the platform accepts per second; 0 means no limit
	FencedOrders    bool          // the platform checks the fencing tokens of orders, and may carry an order out late
}

// cordonRow asks a pool's owner to drain a VM. It also records that an order
// for its machine may have been sent.
type cordonRow struct {
	VM      string `cbor:"1,keyasint"` // the incarnation to drain
	Pool    string `cbor:"2,keyasint"`
	Wave    string `cbor:"3,keyasint,omitempty"` // set for maintenance
	Target  string `cbor:"4,keyasint,omitempty"` // pool to which the machine moves; set for a move
	SinceMS int64  `cbor:"5,keyasint"`           // Unix ms
	Ordered bool   `cbor:"6,keyasint,omitempty"` // an order may have been sent
	// ConfirmedAtMS is when the platform confirmed the order, in ms on the
	// table service's clock; nil if it has not.
	ConfirmedAtMS *int64 `cbor:"7,keyasint,omitempty"`
}

func decodeCordon(b []byte) (cordonRow, error) {
	var c cordonRow
	if err := cbor.Unmarshal(b, &c); err != nil {
		return cordonRow{}, fmt.Errorf("cordon row: %w", err)
	}
	return c, nil
}

// waveRow records the progress of a maintenance wave.
type waveRow struct {
	BeganMS  int64    `cbor:"1,keyasint"`           // Unix ms
	Done     []string `cbor:"2,keyasint,omitempty"` // machines whose maintenance has begun
	Complete bool     `cbor:"3,keyasint,omitempty"`
}

// waveState is a wave's row and what has been written of it.
type waveState struct {
	row             waveRow
	written         bool   // row is stored, or part of the next transaction
	publishedStatus string // last status that operators can see, encoded
}

// orderResult is the answer to an order for a machine.
type orderResult struct {
	machine string
	err     error
}

// fleetController orders maintenance and moves of machines. One process holds
// the role at a time. Each order is recorded in the cordon's row before it is
// sent.
type fleetController struct {
	node         *Node
	log          *zap.Logger
	owner        *ownership
	planSettings fleetplan.Settings
	heldSince    time.Duration // when the claim of the role was sent, steady clock
	confirmedAt  atomic.Int64  // send time of the last confirmed transaction, steady clock in ns

	machines     map[string]fleetplan.Machine // inventory as last listed, by name
	absences     map[machineUse]*absence      // machines in use that the last list does not name
	listSentAt   time.Duration                // when the list that machines holds was requested, steady clock
	listEndedAt  time.Duration                // when the last read of the inventory ended, with or without a list, steady clock; 0 if none has
	listPending  bool                         // a read of the inventory is under way
	listResults  chan listResult
	orderResults chan orderResult
	callPending  map[string]bool          // machines with an order under way
	retryAt      map[string]time.Duration // by machine: earliest time of the next try, steady clock
	sentAt       map[string]time.Duration // by machine: when its order was last sent, steady clock
	mayOrder     map[string]bool          // machines with a recorded order that may be sent by the last decision
	knownVMs     map[string][]string      // by machine: the VMs that were reported on it when its cordon was decided
	confirmed    map[string]confirmation  // by machine: orders that the platform has confirmed

	unconfirmed           map[string]bool // machines with an order that may still take effect
	refused               map[string]bool // machines whose order certainly had no effect
	unstoredConfirmations map[string]bool // machines whose confirmation is not stored yet

	loadReports  *loadReportTable
	cordons      map[string]fleetplan.Cordon // by machine
	waves        map[string]*waveState       // by id
	moves        *fleetplan.MovePlanner
	storedDemand struct { // what was last stored of the demand peaks
		peaks         int   // number of known peaks
		lastPeakEndMS int64 // Unix ms
	}

	recentOrders  recentOrdersRow          // orders that have ended recently
	notBefore     map[string]time.Duration // by machine: earliest time of an order, because of an earlier holder's orders; steady clock
	orderTokens   float64                  // orders that may be sent now at the platform's rate
	orderTokensAt time.Duration            // when orderTokens was last updated, steady clock
	poolsLoggedAt time.Duration            // steady clock
}

// confirmation is the platform's confirmation of an order for a machine.
type confirmation struct {
	at         time.Duration // steady clock; not set if effectSeen
	effectSeen bool          // the inventory shows the effect, or there is nothing to do
}

type listResult struct {
	machines []Machine
	uses     []machineUse  // when the list was requested
	sentAt   time.Duration // when the list was requested, steady clock
	err      error
}

func newFleetController(n *Node, o *ownership, sentAt time.Duration) *fleetController {
	f := &fleetController{
		node: n, owner: o, log: n.log.With(zap.String("role", "fleet"), zap.Int64("epoch", o.row.Epoch)), heldSince: sentAt,
		planSettings: fleetplan.Settings{MaintenanceTime: n.settings.Fleet.MaintenanceTime, EmptyTime: usualDrainTime, MoveTime: n.settings.Fleet.MoveTime},
		machines:     map[string]fleetplan.Machine{}, absences: map[machineUse]*absence{},
		listResults: make(chan listResult, 1), orderResults: make(chan orderResult, 64),
		callPending: map[string]bool{}, retryAt: map[string]time.Duration{}, sentAt: map[string]time.Duration{}, mayOrder: map[string]bool{}, knownVMs: map[string][]string{}, confirmed: map[string]confirmation{},
		unconfirmed: map[string]bool{}, refused: map[string]bool{}, unstoredConfirmations: map[string]bool{},
		cordons: map[string]fleetplan.Cordon{}, waves: map[string]*waveState{},
		moves: fleetplan.NewMovePlanner(), recentOrders: recentOrdersRow{}, notBefore: map[string]time.Duration{},
	}
	f.confirmedAt.Store(int64(sentAt))
	f.loadReports = newLoadReportTable(n, f.log)
	return f
}

// run performs the role until ctx ends or the role has another holder.
func (f *fleetController) run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := f.recover(ctx); err != nil {
		return err
	}
	f.node.spawn("load reports", func() { f.node.keepRunning(workCtx, "load reports", f.loadReports.follow) })
	for ctx.Err() == nil {
		f.collectResults(workCtx)
		txn := f.decide()
		if len(txn.Puts)+len(txn.Deletes) > 0 || f.confirmedAge() > ownerRenewInterval {
			if err := f.commit(workCtx, txn); err != nil {
				return err
			}
		}
		f.sendOrders(workCtx)
		f.awaitChange(ctx)
	}
	return f.handover(workCtx)
}

// confirmedAge returns the age of the last confirmed transaction.
func (f *fleetController) confirmedAge() time.Duration {
	return f.node.clock.Now().Steady - time.Duration(f.confirmedAt.Load())
}

// handover gives the role up. It does not wait for a table service that does
// not answer; in that case the next holder has to wait until this process's row
// has expired.
func (f *fleetController) handover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := f.finishOrders(ctx); err != nil {
		return err
	}
	return f.owner.release(ctx)
}

// orderSettleTimeout bounds the wait for answers to orders before the handover
// of the role.
const orderSettleTimeout = 400 * time.Millisecond

// finishOrders waits for the answers to the orders under way, and stores the
// results for the next holder.
func (f *fleetController) finishOrders(ctx context.Context) error {
	timer := time.NewTimer(orderSettleTimeout)
	defer timer.Stop()
	for len(f.callPending) > 0 {
		select {
		case order := <-f.orderResults:
			f.handleOrderResult(order)
		case <-timer.C:
			clear(f.callPending)
		}
	}
	var txn store.Txn
	f.recordWaves(&txn, f.snapshot())
	f.recordConfirmed(&txn)
	if txnEntries(&txn) == 0 {
		return nil
	}
	return f.commit(ctx, txn)
}

// awaitChange waits until a load report changes, fleetPlanInterval has passed,
// or ctx ends.
func (f *fleetController) awaitChange(ctx context.Context) {
	timer := time.NewTimer(fleetPlanInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.loadReports.changed():
	case <-ctx.Done():
	}
}

// recover reads the cordons, waves and demand peaks that an earlier holder has
// stored.
func (f *fleetController) recover(ctx context.Context) error {
	cordons, err := f.owner.readOwnPartition(ctx, tables.Cordons, f.log)
	if err != nil {
		return err
	}
	waves, err := f.owner.readOwnPartition(ctx, tables.Waves, f.log)
	if err != nil {
		return err
	}
	demand, err := f.owner.readOwnPartition(ctx, tables.Demand, f.log)
	if err != nil {
		return err
	}
	f.restore(cordons.Rows, waves.Rows)
	f.restoreDemand(demand.Rows)
	return nil
}

func (f *fleetController) restore(cordons, waves []store.Row) {
	for _, row := range cordons {
		c, err := decodeCordon(row.Value)
		if err != nil {
			f.log.Error("cordon_row_unreadable", zap.String("machine", row.Name), zap.Error(err))
			continue
		}
		f.cordons[row.Name] = c.toCordon(row.Name, row.Version)
		if c.ConfirmedAtMS != nil {
			f.confirmed[row.Name] = confirmation{at: f.owner.service.localTimeBound(time.Duration(*c.ConfirmedAtMS) * time.Millisecond)}
		}
	}
	recent := recentOrdersRow{}
	for _, row := range waves {
		if row.Name == recentOrdersName {
			if err := cbor.Unmarshal(row.Value, &recent); err != nil {
				f.log.Error("orders_row_unreadable", zap.Error(err))
			}
			continue
		}
		var w waveRow
		if err := cbor.Unmarshal(row.Value, &w); err != nil {
			f.log.Error("wave_row_unreadable", zap.String("wave", row.Name), zap.Error(err))
			continue
		}
		f.waves[row.Name] = &waveState{row: w, written: true}
	}
	f.recentOrders = recent
	f.delayOrders(recent)
	f.log.Info("role_taken_over", zap.Int("orders_delayed", len(f.notBefore)), zap.Int("cordons", len(f.cordons)), zap.Int("waves", len(f.waves)))
}

// serviceOffsetMS returns the difference in ms to add to a time of day of this
// process to get a time on the clock of the table service, which later holders
// of the role share.
func (f *fleetController) serviceOffsetMS() int64 {
	now := f.node.clock.Now()
	return f.owner.service.serviceTimeBound(now.Steady).Milliseconds() - now.Wall
}

func (f *fleetController) restoreDemand(rows []store.Row) {
	for _, row := range rows {
		var m fleetplan.DemandState
		if err := cbor.Unmarshal(row.Value, &m); err != nil {
			f.log.Error("demand_row_unreadable", zap.Error(err))
			continue
		}
		f.moves.Demand.Restore(m.Shift(-f.serviceOffsetMS()))
		f.log.Info("demand_restored", zap.Int("turns", len(m.Peaks)), zap.Int64("last_ended_ms_ago", f.node.clock.Now().Wall+f.serviceOffsetMS()-m.LastPeakEndMS))
	}
}

// recordDemand stores what is known of the demand peaks when a peak begins or
// ends.
func (f *fleetController) recordDemand(txn *store.Txn) {
	m := f.moves.Demand.State()
	if len(m.Peaks) == f.storedDemand.peaks && m.LastPeakEndMS == f.storedDemand.lastPeakEndMS {
		return
	}
	value, err := cbor.Marshal(m.Shift(f.serviceOffsetMS()))
	if err != nil {
		f.log.Error("demand_not_encoded", zap.Error(err))
		return
	}
	last := fleetplan.Peak{}
	if n := len(m.Peaks); n > 0 {
		last = m.Peaks[n-1]
	}
	f.log.Info("turns", zap.Int("known", len(m.Peaks)), zap.String("last", last.Pool), zap.Bool("ended", m.LastPeakEndMS != f.storedDemand.lastPeakEndMS))
	f.storedDemand.peaks, f.storedDemand.lastPeakEndMS = len(m.Peaks), m.LastPeakEndMS
	txn.Puts = append(txn.Puts, store.Put{Key: tables.DemandKey(fleetPool), Value: value})
}

func (row cordonRow) toCordon(machine string, version int64) fleetplan.Cordon {
	return fleetplan.Cordon{Machine: machine, VM: row.VM, Pool: row.Pool, Purpose: fleetplan.Purpose{Wave: row.Wave, Target: row.Target},
		SinceMS: row.SinceMS, Version: version, Ordered: row.Ordered}
}

func newCordonRow(c fleetplan.Cordon) cordonRow {
	return cordonRow{VM: c.VM, Pool: c.Pool, Wave: c.Purpose.Wave, Target: c.Purpose.Target, SinceMS: c.SinceMS, Ordered: c.Ordered}
}

// collectResults handles the answers that have arrived, and reads the inventory
// when it is due.
func (f *fleetController) collectResults(ctx context.Context) {
	for {
		select {
		case result := <-f.listResults:
			f.handleList(result)
		case order := <-f.orderResults:
			f.handleOrderResult(order)
		default:
			f.requestList(ctx)
			return
		}
	}
}

func (f *fleetController) requestList(ctx context.Context) {
	now := f.node.clock.Now().Steady
	interval := idleListInterval
	if len(f.cordons) > 0 || f.hasOpenWave() {
		interval = listInterval
	}
	if f.listPending || f.listEndedAt > 0 && now-f.listEndedAt < interval {
		return
	}
	f.listPending = true
	uses := f.machineUses()
	f.node.spawn("inventory", func() {
		var machines []Machine
		err := f.node.protect("inventory", func() (err error) {
			machines, err = f.node.machines.List(ctx)
			return err
		})
		f.listResults <- listResult{machines, uses, now, err}
	})
}

func (f *fleetController) handleList(result listResult) {
	f.listPending = false
	f.listEndedAt = f.node.clock.Now().Steady
	if result.err != nil {
		f.log.Warn("inventory_not_read", zap.Error(result.err))
		return
	}
	f.listSentAt = result.sentAt
	f.machines = make(map[string]fleetplan.Machine, len(result.machines))
	for _, m := range result.machines {
		f.machines[m.Name] = fleetplan.Machine{Name: m.Name, Pool: m.Pool, VM: m.Worker, DataCentre: m.DataCentre, Up: m.Up}
	}
	f.observeAbsences(result)
	for name, c := range f.confirmed {
		if !c.effectSeen && f.orderCompleted(name, c.at, result.sentAt) {
			f.confirmed[name] = confirmation{effectSeen: true}
		}
	}
	for name, c := range f.cordons {
		if m := f.machines[name]; c.Purpose.Target != "" && m.Pool == c.Purpose.Target && m.Up && f.unconfirmed[name] && !f.callPending[name] {
			f.confirmed[name] = confirmation{effectSeen: true} // its answer was lost
		}
	}
}

// decide returns the changes of cordons and waves to store. There are none until
// the inventory has been read.
func (f *fleetController) decide() store.Txn {
	var txn store.Txn
	if len(f.machines) == 0 {
		return txn
	}
	s := f.snapshot()
	f.endCordons(&txn, s)
	f.reviewOrders(&txn, s)
	f.recordWaves(&txn, s)
	for _, d := range fleetplan.PlanWaves(s, f.planSettings) {
		if f.addCordon(&txn, s, d) {
			s.Cordons[d.Machine.Name] = f.cordons[d.Machine.Name]
		}
	}
	for _, d := range f.moves.Plan(s) {
		f.addCordon(&txn, s, d)
	}
	f.recordConfirmed(&txn)
	f.recordDemand(&txn)
	f.recordOrders(&txn, s)
	f.logPools(s)
	return txn
}

// poolLogInterval is the time between two log entries on what each pool has and
// needs.
const poolLogInterval = time.Second

func (f *fleetController) logPools(s *fleetplan.Snapshot) {
	now := f.node.clock.Now().Steady
	if now-f.poolsLoggedAt < poolLogInterval {
		return
	}
	f.poolsLoggedAt = now
	f.logWaves(s)
	next := f.moves.Demand.NextPools(s.NowMS)
	for _, b := range f.moves.Summaries(s) {
		f.log.Info("pool_books", zap.String("pool", b.Pool), zap.Int("vms", b.VMs), zap.Int("have", int(b.Have)), zap.Int("need", int(b.Need)),
			zap.Int("rate", int(b.Rate)), zap.Int("mean", int(b.MeanRate)), zap.Bool("turn", b.InPeak), zap.Bool("silent", b.Silent),
			zap.Int64("load_age_ms", s.NowMS-s.Loads[b.Pool].AtMS), zap.Bool("expected_next", slices.Contains(next, b.Pool)),
			zap.Int("used", int(b.Used)), zap.Int("backlog", int(b.Backlog)), zap.Int("late", int(b.Late)))
	}
}

func (f *fleetController) snapshot() *fleetplan.Snapshot {
	view, _ := f.node.operator.Get()
	s := &fleetplan.Snapshot{
		NowMS: f.node.clock.Now().Wall, Machines: f.machines, Loads: f.loadReports.all(), Cordons: maps.Clone(f.cordons),
		Standby: map[string]bool{}, Evacuated: view.EvacuatedDataCentres,
	}
	if view.Catalog != nil {
		for name, p := range view.Catalog.Pools {
			s.Standby[name] = p.Standby
		}
	}
	for _, w := range view.Waves {
		if state := f.waveStateOf(w, s.NowMS); !state.row.Complete {
			s.Waves = append(s.Waves, f.plannerWave(w, state))
		}
	}
	return s
}

// endCordons removes the cordons whose order has taken effect, and those that
// are no longer possible or needed.
func (f *fleetController) endCordons(txn *store.Txn, s *fleetplan.Snapshot) {
	for name, c := range f.cordons {
		if txnEntries(txn) >= maxCordonsEnded {
			return // the others are ended by a later transaction
		}
		m, exists := f.machines[name]
		switch {
		case f.confirmed[name].effectSeen:
			f.uncordon(txn, c, "order has taken effect")
		case !exists:
			if f.isGone(machineUse{machine: name}) && !f.callPending[name] {
				f.uncordon(txn, c, "machine is gone")
			}
		case !c.Ordered && c.Purpose.Target != "" && f.node.clock.Now().Wall-c.SinceMS > moveDrainTimeout.Milliseconds():
			f.uncordon(txn, c, "VM was not drained in time")
		case !f.mayBeCarriedOut(c) && s.Draining(m):
			f.uncordon(txn, c, "VM is being drained for another reason")
		case f.refused[name]:
			f.uncordon(txn, c, "machine was busy")
		case !f.mayBeCarriedOut(c) && (m.VM != c.VM || f.hasNextVM(c, s)):
			f.uncordon(txn, c, "VM has another incarnation")
		case !f.mayBeCarriedOut(c) && !f.isWanted(c):
			f.uncordon(txn, c, "wave is no longer declared")
		case f.expired(c) && (f.hasNextVM(c, s) || !f.isWanted(c)):
			f.uncordon(txn, c, "order can no longer be carried out")
		}
	}
}

// maxCordonsEnded bounds the entries of a transaction from which no further
// cordons are ended, so that it has room for new ones.
const maxCordonsEnded = store.MaxTxnEntries / 2

// maxTxnChanges leaves room in a transaction for the owner's row, waves and
// recent orders.
const maxTxnChanges = store.MaxTxnEntries - 8

func txnEntries(txn *store.Txn) int { return len(txn.Conditions) + len(txn.Puts) + len(txn.Deletes) }

// uncordon removes a cordon and all state of its machine's order.
func (f *fleetController) uncordon(txn *store.Txn, c fleetplan.Cordon, reason string) {
	f.log.Info("cordon_ended", zap.String("machine", c.Machine), zap.String("vm", c.VM), zap.String("wave", c.Purpose.Wave), zap.String("target", c.Purpose.Target),
		zap.String("reason", reason), zap.Int64("age_ms", f.node.clock.Now().Wall-c.SinceMS))
	txn.Deletes = append(txn.Deletes, tables.CordonKey(fleetPool, c.Machine))
	if c.Ordered {
		f.recordOrderEnded(txn, c.Machine)
	}
	delete(f.cordons, c.Machine)
	delete(f.confirmed, c.Machine)
	delete(f.refused, c.Machine)
	delete(f.unstoredConfirmations, c.Machine)
	delete(f.unconfirmed, c.Machine)
	delete(f.retryAt, c.Machine)
	delete(f.sentAt, c.Machine)
	delete(f.mayOrder, c.Machine)
	delete(f.knownVMs, c.Machine)
	delete(f.absences, machineUse{machine: c.Machine})
}

// maxPlanListAge is the age of the list of machines above which no machine in use is cordoned:
// the inventory would not take the order either, and the machine may have another VM. It is
// above the time between two reads.
const maxPlanListAge = 4 * time.Second

// addCordon records a decision as a cordon, and reports whether it has: txn has room for it,
// and the list of machines is recent. A machine on standby has nothing to drain, so its order
// is recorded at once if it may be sent.
func (f *fleetController) addCordon(txn *store.Txn, s *fleetplan.Snapshot, d fleetplan.Decision) bool {
	if txnEntries(txn) >= maxTxnChanges {
		return false
	}
	if !s.Standby[d.Machine.Pool] && f.node.clock.Now().Steady-f.listSentAt > maxPlanListAge {
		return false
	}
	c := fleetplan.Cordon{Machine: d.Machine.Name, VM: d.Machine.VM, Pool: d.Machine.Pool, Purpose: d.Purpose, SinceMS: f.node.clock.Now().Wall}
	f.log.Info("cordon", zap.String("machine", c.Machine), zap.String("vm", c.VM), zap.String("pool", c.Pool),
		zap.String("wave", c.Purpose.Wave), zap.String("target", c.Purpose.Target), zap.String("reason", d.Reason))
	c.Ordered = s.Standby[c.Pool] && f.mayOrderNow(c)
	f.mayOrder[c.Machine] = c.Ordered
	f.noteVMs(c.Machine, s)
	f.putCordon(txn, c)
	return true
}

// mayOrderNow reports whether the order for a machine may be sent: neither
// orders of an earlier holder nor the limit of its wave prevent it.
func (f *fleetController) mayOrderNow(c fleetplan.Cordon) bool {
	wave := c.Purpose.Wave
	return f.handoverElapsed(c.Machine) && (wave == "" || f.maintenanceCount(wave) < f.maxInMaintenance(wave))
}

func (f *fleetController) putCordon(txn *store.Txn, c fleetplan.Cordon) {
	row := newCordonRow(c)
	if confirmed, ok := f.confirmed[c.Machine]; ok && !confirmed.effectSeen {
		ms := job.Millis(f.owner.service.serviceTimeBound(confirmed.at))
		row.ConfirmedAtMS = &ms
	}
	value, err := cbor.Marshal(row)
	if err != nil {
		f.log.Error("cordon_not_encoded", zap.Error(err))
		return
	}
	txn.Puts = append(txn.Puts, store.Put{Key: tables.CordonKey(fleetPool, c.Machine), Value: value})
	c.Version = 0 // set once the cordon is stored
	f.cordons[c.Machine] = c
}

// recordConfirmed stores which orders the platform has confirmed, so that a
// later holder of the role neither repeats nor delays them.
func (f *fleetController) recordConfirmed(txn *store.Txn) {
	for name := range f.unstoredConfirmations {
		if txnEntries(txn) >= maxTxnChanges {
			return
		}
		delete(f.unstoredConfirmations, name)
		if c, ok := f.cordons[name]; ok {
			f.putCordon(txn, c)
		}
	}
}

// recordOrders records the orders that are about to be sent: those for VMs that
// are drained.
func (f *fleetController) recordOrders(txn *store.Txn, s *fleetplan.Snapshot) {
	for _, c := range s.Cordons {
		if _, still := f.cordons[c.Machine]; !still || c.Ordered || c.Version == 0 || !s.Empty(c) || !f.mayOrderNow(c) {
			continue
		}
		if txnEntries(txn) >= maxTxnChanges {
			return
		}
		c.Ordered = true
		f.mayOrder[c.Machine] = true
		f.putCordon(txn, c)
	}
}

// commit stores the changes, and then publishes the status of the waves to
// operators.
func (f *fleetController) commit(ctx context.Context, txn store.Txn) error {
	sentAt := f.node.clock.Now().Steady
	if err := f.owner.commit(ctx, txn); err != nil {
		return err
	}
	f.confirmedAt.Store(int64(sentAt))
	for _, put := range txn.Puts {
		if c, ok := f.cordons[put.Key.Name]; ok && put.Key.Table == tables.Cordons {
			c.Version = f.owner.version
			f.cordons[put.Key.Name] = c
		}
	}
	f.publishWaves(ctx)
	return nil
}
