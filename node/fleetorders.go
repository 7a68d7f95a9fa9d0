package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/fleetplan"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// recentRow tells when orders for machines have ended, on the clock of the table
// service, for the next holder of the role.
type recentRow map[string]int64

// recentKept is the time after which an order no longer matters to another
// holder; it is above every hand-over time.
const recentKept = 20 * time.Second

// recentName names the row of recent orders among the waves; waves are named by
// numbers.
const recentName = "recent-orders"

// callShare is the share of the platform's rate of orders that is used, so that
// none is refused.
const callShare = 0.8

// returned reports whether a machine is back from what was ordered, by a list
// that was asked for at a time. A machine on standby has no worker that could
// tell its lives apart.
func (f *fleetController) returned(name string, listedAt time.Duration) bool {
	acked, m, c := f.acked[name], f.machines[name], f.cordons[name]
	if acked == effectSeen || listedAt < acked || !m.Up {
		return false
	}
	takes := f.plan.MaintenanceTime
	if c.Purpose.Target != "" {
		takes = f.plan.MoveTime
	}
	return m.VM != c.VM || listedAt-acked > takes
}

// ordered takes the answer to an order.
func (f *fleetController) ordered(o machineOrder) {
	delete(f.pending, o.machine)
	c, ok := f.cordons[o.machine]
	if !ok {
		return
	}
	now := f.node.clock.Now().Steady
	f.log.Info("machine_order_answered", zap.String("machine", o.machine), zap.String("wave", c.Purpose.Wave), zap.String("target", c.Purpose.Target), zap.Error(o.err))
	switch {
	case o.err == nil:
		f.acked[o.machine] = now
		f.confirmed[o.machine] = true
		f.begun(c)
	case errors.Is(o.err, ErrNotOfWave):
		f.acked[o.machine] = effectSeen // there is nothing to do
	case errors.Is(o.err, ErrBusy) && !f.uncertain[o.machine]:
		f.refused[o.machine] = true // another machine may take its place
	case errors.Is(o.err, ErrBusy), errors.Is(o.err, ErrRefused):
		f.retryAt[o.machine] = now + orderRetry
	default:
		f.uncertain[o.machine] = true
		f.retryAt[o.machine] = now + orderRetry
	}
}

// mayOrder reports whether orders of an earlier holder for a machine are long
// enough ago.
func (f *fleetController) mayOrder(machine string) bool {
	return f.node.clock.Now().Steady > f.notBefore[machine]
}

// holdBack keeps this holder from ordering machines for which an earlier holder
// may have sent orders shortly before.
func (f *fleetController) holdBack(recent recentRow) {
	handOver := f.node.settings.Fleet.HandOver + handOverMargin
	for machine, at := range recent {
		f.notBefore[machine] = f.owner.service.local(time.Duration(at)*time.Millisecond) + handOver
	}
	for machine, c := range f.cordons {
		switch at := f.acked[machine]; {
		case at != 0:
			f.notBefore[machine] = max(f.notBefore[machine], at+handOver)
		case c.Ordered:
			f.uncertain[machine] = true
			f.notBefore[machine] = f.node.clock.Now().Steady + handOver + orderTime
		}
	}
}

// noteOrder remembers that an order for a machine has just ended.
func (f *fleetController) noteOrder(txn *store.Txn, machine string) {
	now := f.owner.service.late(f.node.clock.Now().Steady)
	f.recent[machine] = now.Milliseconds()
	maps.DeleteFunc(f.recent, func(_ string, at int64) bool { return now.Milliseconds()-at > recentKept.Milliseconds() })
	value, err := cbor.Marshal(f.recent)
	if err != nil {
		f.log.Error("orders_not_encoded", zap.Error(err))
		return
	}
	key := tables.WaveKey(fleetPool, recentName)
	txn.Puts = slices.DeleteFunc(txn.Puts, func(p store.Put) bool { return p.Key == key })
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
}

// sendOrders sends the orders that are noted, and repeats those without a
// certain answer.
func (f *fleetController) sendOrders(ctx context.Context, confirmed time.Duration) {
	now := f.node.clock.Now().Steady
	if now-confirmed > startBound {
		return
	}
	for name, c := range f.cordons {
		if !c.Ordered || c.Version == 0 || f.pending[name] || f.acked[name] != 0 || now < f.retryAt[name] || !f.mayOrder(name) {
			continue
		}
		if !f.spend(now) {
			return
		}
		f.pending[name] = true
		f.log.Info("machine_order", zap.String("machine", name), zap.String("vm", c.VM), zap.String("wave", c.Purpose.Wave), zap.String("target", c.Purpose.Target))
		go f.order(ctx, c)
	}
}

// spend takes an order from the platform's rate, and reports whether there was
// one left.
func (f *fleetController) spend(now time.Duration) bool {
	rate := callShare * f.node.settings.Fleet.Calls
	if rate <= 0 {
		return true
	}
	f.budget = min(rate, f.budget+rate*(now-f.budgetAt).Seconds())
	f.budgetAt = now
	if f.budget < 1 {
		return false
	}
	f.budget--
	return true
}

func (f *fleetController) order(ctx context.Context, c fleetplan.Cordon) {
	holder, token := f.node.settings.Self.Node, f.owner.row.Epoch
	var err error
	if c.Purpose.Wave != "" {
		err = f.node.machines.Maintain(ctx, c.Machine, c.Purpose.Wave, holder, token)
	} else {
		err = f.node.machines.Move(ctx, c.Machine, c.Purpose.Target, holder, token)
	}
	select {
	case f.orders <- machineOrder{c.Machine, err}:
	case <-ctx.Done():
	}
}
