package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/fleetplan"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// recentOrdersRow records by machine when an order has ended, in ms on the
// clock of the table service, for the next holder of the role. Under othersEnded it holds
// when the last order has ended that did not fit into the row.
type recentOrdersRow map[string]int64

// othersEnded is no name of a machine.
const othersEnded = ""

// recentOrderRetention is the time after which an ended order no longer matters
// to another holder. It is above every handover time.
const recentOrderRetention = 20 * time.Second

// recentOrdersName is the name of the row of recent orders in the table of
// waves. It cannot be that of a wave, since waves are named by numbers.
const recentOrdersName = "recent-orders"

// orderRateFraction is the fraction of the platform's rate of orders that is
// used, so that no order is refused.
const orderRateFraction = 0.8

// maxListAge is above the age of what the inventory lists, and below the time that an order
// takes.
const maxListAge = time.Second

// orderCompleted reports whether the inventory, as listed at listedAt, shows
// that a machine is up again after what was ordered and confirmed at confirmedAt:
// its VM has another incarnation, or the time that the order takes has passed.
// The time decides for machines on standby, which have no worker and thus no
// incarnations.
func (f *fleetController) orderCompleted(name string, confirmedAt, listedAt time.Duration) bool {
	m, c := f.machines[name], f.cordons[name]
	if listedAt < confirmedAt || !m.Up {
		return false
	}
	expectedTime := f.planSettings.MaintenanceTime
	if c.Purpose.Target != "" {
		expectedTime = f.planSettings.MoveTime
	}
	if m.VM != "" && m.VM == c.VM && listedAt-confirmedAt > maxListAge {
		return true // the VM goes on: an earlier try had been carried out before it began
	}
	return m.VM != c.VM || listedAt-confirmedAt > expectedTime
}

// handleOrderResult handles the answer to an order.
func (f *fleetController) handleOrderResult(o orderResult) {
	delete(f.callPending, o.machine)
	c, ok := f.cordons[o.machine]
	if !ok {
		return
	}
	now := f.node.clock.Now().Steady
	f.log.Info("machine_order_answered", zap.String("machine", o.machine), zap.String("wave", c.Purpose.Wave), zap.String("target", c.Purpose.Target), zap.Error(o.err))
	switch {
	case o.err == nil:
		f.confirmed[o.machine] = confirmation{at: now}
		f.unstoredConfirmations[o.machine] = true
		f.recordMaintenanceBegun(c)
	case errors.Is(o.err, ErrNotInWave):
		f.confirmed[o.machine] = confirmation{effectSeen: true} // nothing to do for the machine
	case errors.Is(o.err, ErrBusy) && !f.unconfirmed[o.machine]:
		f.refused[o.machine] = true // another machine may take its place
	case errors.Is(o.err, ErrBusy), errors.Is(o.err, ErrRefused), errors.Is(o.err, ErrFenced):
		f.retryAt[o.machine] = now + orderRetryPause
	default:
		f.unconfirmed[o.machine] = true
		f.retryAt[o.machine] = now + orderRetryPause
	}
}

// Times after the end of a call with an order that had no answer, for which the order may still
// be carried out.
const (
	lateOrderTime       = 3 * time.Second
	lateFencedOrderTime = 12 * time.Second // where the platform checks fencing tokens
)

// mayBeCarriedOut reports whether the order of a cordon has been carried out or still may be. An
// order that was not sent, or of which each try was refused, has no effect and can be taken back.
func (f *fleetController) mayBeCarriedOut(c fleetplan.Cordon) bool {
	_, confirmed := f.confirmed[c.Machine]
	return c.Ordered && (confirmed || f.unconfirmed[c.Machine] || f.callPending[c.Machine])
}

// expired reports whether the order of a cordon has had no answer and can no longer be carried
// out.
func (f *fleetController) expired(c fleetplan.Cordon) bool {
	if _, confirmed := f.confirmed[c.Machine]; confirmed || !f.unconfirmed[c.Machine] || f.callPending[c.Machine] {
		return false
	}
	late := lateOrderTime
	if f.node.settings.Fleet.FencedOrders {
		late = lateFencedOrderTime
	}
	lastSentAt := max(f.heldSince, f.sentAt[c.Machine]) // an earlier holder may have sent it until then
	return f.node.clock.Now().Steady > lastSentAt+maxOrderTime+late
}

// noteVMs takes note of the VMs that are reported on a machine, when its cordon is decided.
func (f *fleetController) noteVMs(machine string, s *fleetplan.Snapshot) {
	var ids []string
	for _, v := range s.VMsOn(machine) {
		ids = append(ids, v.VM)
	}
	f.knownVMs[machine] = ids
}

// hasNextVM reports whether a VM is reported on the machine of a cordon that was not there when
// the cordon was decided. The inventory may not list it yet, or not answer.
func (f *fleetController) hasNextVM(c fleetplan.Cordon, s *fleetplan.Snapshot) bool {
	for _, v := range s.VMsOn(c.Machine) {
		if v.VM != c.VM && !slices.Contains(f.knownVMs[c.Machine], v.VM) {
			return true
		}
	}
	return false
}

// isWanted reports whether the order of a cordon is still asked for: its wave is declared.
func (f *fleetController) isWanted(c fleetplan.Cordon) bool {
	return c.Purpose.Wave == "" || f.maxInMaintenance(c.Purpose.Wave) > 0
}

// reviewOrders decides again on the orders that are recorded and not confirmed, which may be
// sent at a later time than the one for which they were decided, or repeated: the machine has to
// have the same VM, and to be empty. If it has another one by now, the cordon is put on that one.
func (f *fleetController) reviewOrders(txn *store.Txn, s *fleetplan.Snapshot) {
	for name, c := range f.cordons {
		if _, confirmed := f.confirmed[name]; confirmed || !c.Ordered || c.Version == 0 || f.callPending[name] {
			continue
		}
		m := f.machines[name]
		if m.Up && m.VM != "" && m.VM != c.VM && txnEntries(txn) < maxTxnChanges {
			f.log.Info("cordon_on_next_vm", zap.String("machine", name), zap.String("vm", m.VM), zap.String("vm_was", c.VM), zap.String("wave", c.Purpose.Wave), zap.String("target", c.Purpose.Target))
			c.VM = m.VM
			f.mayOrder[name] = false
			f.noteVMs(name, s)
			f.putCordon(txn, c)
			continue
		}
		if may := f.isWanted(c) && !f.hasNextVM(c, s) && s.Empty(c); may != f.mayOrder[name] {
			f.mayOrder[name] = may
			f.log.Info("machine_order_reviewed", zap.String("machine", name), zap.String("vm", m.VM), zap.Bool("may_be_sent", may), zap.Int64("cordon", c.Version))
		}
	}
}

// handoverElapsed reports whether the orders of an earlier holder for a machine
// are long enough ago.
func (f *fleetController) handoverElapsed(machine string) bool {
	return f.node.clock.Now().Steady > max(f.notBefore[machine], f.notBefore[othersEnded])
}

// delayOrders delays this holder's orders for machines for which an earlier
// holder may have sent orders shortly before.
func (f *fleetController) delayOrders(recent recentOrdersRow) {
	handoverTime := f.node.settings.Fleet.HandoverTime + handoverMargin
	for machine, endMS := range recent {
		f.notBefore[machine] = f.owner.service.localTimeBound(time.Duration(endMS)*time.Millisecond) + handoverTime
	}
	for machine, c := range f.cordons {
		switch confirmed, ok := f.confirmed[machine]; {
		case ok:
			f.notBefore[machine] = max(f.notBefore[machine], confirmed.at+handoverTime)
		case c.Ordered:
			f.unconfirmed[machine] = true
			f.notBefore[machine] = f.node.clock.Now().Steady + handoverTime + maxOrderTime
		}
	}
}

// recordOrderEnded records that an order for a machine has just ended.
func (f *fleetController) recordOrderEnded(txn *store.Txn, machine string) {
	now := f.owner.service.serviceTimeBound(f.node.clock.Now().Steady)
	f.recentOrders[machine] = now.Milliseconds()
	maps.DeleteFunc(f.recentOrders, func(_ string, at int64) bool { return now.Milliseconds()-at > recentOrderRetention.Milliseconds() })
	value, err := f.encodeRecentOrders()
	if err != nil {
		f.log.Error("orders_not_encoded", zap.Error(err))
		return
	}
	key := tables.WaveKey(fleetPool, recentOrdersName)
	txn.Puts = slices.DeleteFunc(txn.Puts, func(p store.Put) bool { return p.Key == key })
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
}

// encodeRecentOrders encodes the recent orders. The oldest ones are left out if they do not
// fit into a row; the next holder then delays its orders for all machines.
func (f *fleetController) encodeRecentOrders() ([]byte, error) {
	for {
		value, err := cbor.Marshal(f.recentOrders)
		if err != nil || len(value) <= f.node.settings.Scheduler.MaxRowBytes() || len(f.recentOrders) < 2 {
			return value, err
		}
		machines := slices.SortedFunc(maps.Keys(f.recentOrders), func(a, b string) int { return cmp.Compare(f.recentOrders[a], f.recentOrders[b]) })
		machines = slices.DeleteFunc(machines, func(name string) bool { return name == othersEnded })
		for _, machine := range machines[:(len(machines)+3)/4] {
			f.recentOrders[othersEnded] = max(f.recentOrders[othersEnded], f.recentOrders[machine])
			delete(f.recentOrders, machine)
		}
		f.log.Info("recent_orders_left_out", zap.Int("bytes", len(value)), zap.Int("kept", len(f.recentOrders)))
	}
}

// sendOrders sends the orders that are recorded, and repeats those without a
// certain answer, if the last decision allows it. It sends nothing if the last
// confirmed transaction is too old.
func (f *fleetController) sendOrders(ctx context.Context) {
	now := f.node.clock.Now().Steady
	if f.confirmedAge() > f.node.orderAgeLimit() {
		return
	}
	for name, c := range f.cordons {
		if _, confirmed := f.confirmed[name]; confirmed || !c.Ordered || !f.mayOrder[name] || c.Version == 0 || f.callPending[name] || now < f.retryAt[name] || !f.handoverElapsed(name) {
			continue
		}
		if !f.takeOrderToken(now) {
			return
		}
		f.callPending[name] = true
		f.sentAt[name] = now
		f.log.Info("machine_order", zap.String("machine", name), zap.String("vm", c.VM), zap.String("wave", c.Purpose.Wave), zap.String("target", c.Purpose.Target))
		f.node.spawn("machine order", func() { f.sendOrder(ctx, c) })
	}
}

// takeOrderToken takes an order from the platform's rate, and reports whether
// one was available.
func (f *fleetController) takeOrderToken(now time.Duration) bool {
	rate := orderRateFraction * f.node.settings.Fleet.OrdersPerSecond
	if rate <= 0 {
		return true
	}
	f.orderTokens = min(max(1, rate), f.orderTokens+rate*(now-f.orderTokensAt).Seconds())
	f.orderTokensAt = now
	if f.orderTokens < 1 {
		return false
	}
	f.orderTokens--
	return true
}

// sendOrder sends one order and delivers its result. The role may have passed on
// while this process was suspended, and the platform does not check fencing tokens
// everywhere, so the permission is checked once more.
func (f *fleetController) sendOrder(ctx context.Context, c fleetplan.Cordon) {
	holder, token := f.node.settings.Self.Node, f.owner.row.Epoch
	var err error
	switch age := f.confirmedAge(); {
	case age > f.node.orderAgeLimit():
		err = fmt.Errorf("%w: last transaction was confirmed %v ago", ErrRefused, age)
	case c.Purpose.Wave != "":
		err = f.node.machines.Maintain(ctx, c.Machine, c.Purpose.Wave, holder, token)
	default:
		err = f.node.machines.Move(ctx, c.Machine, c.Purpose.Target, holder, token)
	}
	select {
	case f.orderResults <- orderResult{c.Machine, err}:
	case <-ctx.Done():
	}
}
