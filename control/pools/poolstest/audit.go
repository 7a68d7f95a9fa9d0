package poolstest

import (
	"context"

	"amaranthfork.example/control/pools"
	"amaranthfork.example/fleet"
)

// audited is what the audit saw at the last commit.
type audited struct {
	vms    map[fleet.VMID]pools.Assignment
	byDC   map[fleet.DataCentreName]pools.Budget
	byPool map[fleet.PoolName]pools.Budget
}

// audit checks C1 and C2 on the rows as they are now.
func (w *World) audit() {
	ledger := pools.NewLedger(pools.LedgerOptions{Table: w.Table, View: w, Clock: w})
	all, err := ledger.Assignments(context.Background())
	if err != nil {
		w.violate("assignments cannot be read: %v", err)
		return
	}
	now := audited{vms: map[fleet.VMID]pools.Assignment{}}
	if now.byPool, now.byDC, err = ledger.Budgets(context.Background()); err != nil {
		w.violate("budgets cannot be read: %v", err)
		return
	}
	dcOf := map[fleet.VMID]fleet.DataCentreName{}
	for dc, vms := range all {
		for id, a := range vms {
			if other, ok := dcOf[id]; ok {
				w.violate("VM %s has two assignments, in %s and %s", id, other, dc)
			}
			now.vms[id], dcOf[id] = a, dc
		}
	}
	w.auditPools(now)
	w.auditRecords(now, dcOf)
	w.auditDraws(now, dcOf)
	w.audited = now
}

// auditPools checks that a pool changes only after the dispatcher has let go.
func (w *World) auditPools(now audited) {
	for id, a := range now.vms {
		before, ok := w.audited.vms[id]
		if !ok || before.Pool == a.Pool {
			continue
		}
		if before.State != pools.StateDraining || a.State != pools.StateMoving || a.Epoch <= before.Epoch {
			w.violate("VM %s went from %+v to %+v", id, before, a)
		}
		if m := w.vms[id]; m != nil && len(m.tasks) > 0 {
			w.violate("VM %s changed its pool with %d tasks", id, len(m.tasks))
		}
	}
}

// auditRecords checks that every VM out of service is in both budget rows.
func (w *World) auditRecords(now audited, dcOf map[fleet.VMID]fleet.DataCentreName) {
	for id, a := range now.vms {
		_, inDC := now.byDC[dcOf[id]].VMs[id]
		_, inPool := now.byPool[a.Pool].VMs[id]
		if a.State != pools.StateActive && !inDC {
			w.violate("VM %s is %s without a record of its data centre", id, a.State)
		}
		if (a.State == pools.StateDraining || a.State == pools.StateMaintenance) && !inPool {
			w.violate("VM %s is %s without a record of its pool", id, a.State)
		}
	}
	for dc, b := range now.byDC {
		for id := range b.VMs {
			if dcOf[id] != dc {
				w.violate("record of VM %s, which data centre %s does not have", id, dc)
			}
		}
	}
}

// auditDraws checks the limits at the moment of each planned draw.
func (w *World) auditDraws(now audited, dcOf map[fleet.VMID]fleet.DataCentreName) {
	plan := w.Config.Maintenance
	for dc, b := range now.byDC {
		racks := map[fleet.RackName]int{}
		for _, r := range b.VMs {
			racks[r.Rack]++
		}
		for id, r := range b.VMs {
			if _, before := w.audited.byDC[dc].VMs[id]; before || r.Cause == pools.CauseFailed {
				continue
			}
			if len(b.VMs) > plan.MaxPerDataCentre || racks[r.Rack] > plan.MaxPerRack {
				w.violate("draw of VM %s (%s): data centre %d, rack %d", id, r.Cause, len(b.VMs), racks[r.Rack])
			}
			w.auditPoolDraw(now, dcOf, id, r)
		}
	}
}

func (w *World) auditPoolDraw(now audited, dcOf map[fleet.VMID]fleet.DataCentreName, id fleet.VMID, r pools.Record) {
	pool := w.Config.Pools[now.vms[id].Pool]
	if pool.Spare && r.Cause == pools.CauseMove {
		return
	}
	used, otherOut := len(now.byPool[pool.Name].VMs), false
	for dc, d := range w.Config.DataCentres {
		otherOut = otherOut || d.State == fleet.DataCentreOut && dc != dcOf[id]
	}
	for other, a := range now.vms {
		_, recorded := now.byPool[pool.Name].VMs[other]
		dc := dcOf[other]
		if w.Config.DataCentres[dc].State == fleet.DataCentreOut && dc != dcOf[id] && a.Pool == pool.Name && !recorded {
			used++
		}
	}
	if used > pool.MaxUnavailable {
		w.violate("draw of VM %s (%s): pool %s has %d of %d", id, r.Cause, pool.Name, used, pool.MaxUnavailable)
	}
	if r.Cause == pools.CausePlanned && otherOut && w.Config.Maintenance.AvoidDataCentresOut {
		w.violate("draw of VM %s while another data centre is out", id)
	}
}
