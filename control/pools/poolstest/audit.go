package poolstest

import (
	"context"

	"amaranthfork.example/control/pools"
	"amaranthfork.example/fleet"
)

// auditedRows holds the rows as the audit read them.
type auditedRows struct {
	vms    map[fleet.VMID]pools.Assignment
	byDC   map[fleet.DataCentreName]pools.Budget
	byPool map[fleet.PoolName]pools.Budget
}

// audit checks the present rows: each VM is in exactly one pool, which changes
// only at the end of a move, and the availability budgets hold for planned
// draws.
func (w *Simulation) audit() {
	ledger := pools.NewLedger(pools.LedgerOptions{Table: w.Table, View: w, Clock: w})
	all, err := ledger.Assignments(context.Background())
	if err != nil {
		w.addViolation("assignments cannot be read: %v", err)
		return
	}
	now := auditedRows{vms: map[fleet.VMID]pools.Assignment{}}
	if now.byPool, now.byDC, err = ledger.Budgets(context.Background()); err != nil {
		w.addViolation("budgets cannot be read: %v", err)
		return
	}
	dcOf := map[fleet.VMID]fleet.DataCentreName{}
	for dc, vms := range all {
		for id, a := range vms {
			if other, ok := dcOf[id]; ok {
				w.addViolation("VM %s has two assignments, in %s and %s", id, other, dc)
			}
			now.vms[id], dcOf[id] = a, dc
		}
	}
	w.auditPoolChanges(now)
	w.auditRecords(now, dcOf)
	w.auditDraws(now, dcOf)
	w.lastAudit = now
}

// auditPoolChanges checks that a VM changes its pool only at the end of a drain
// and without running tasks.
func (w *Simulation) auditPoolChanges(now auditedRows) {
	for id, a := range now.vms {
		before, ok := w.lastAudit.vms[id]
		if !ok || before.Pool == a.Pool {
			continue
		}
		if before.State != pools.StateDraining || a.State != pools.StateMoving || a.Epoch <= before.Epoch {
			w.addViolation("VM %s changed its pool outside the end of a drain: from %+v to %+v", id, before, a)
		}
		if m := w.vms[id]; m != nil && len(m.tasks) > 0 {
			w.addViolation("VM %s changed its pool while %d tasks were running on it", id, len(m.tasks))
		}
	}
}

// auditRecords checks that each VM out of service has its budget records, and
// that no data centre has a record of another one's VM.
func (w *Simulation) auditRecords(now auditedRows, dcOf map[fleet.VMID]fleet.DataCentreName) {
	for id, a := range now.vms {
		_, inDC := now.byDC[dcOf[id]].VMs[id]
		_, inPool := now.byPool[a.Pool].VMs[id]
		if a.State != pools.StateActive && !inDC {
			w.addViolation("VM %s is %s without a record of its data centre", id, a.State)
		}
		if (a.State == pools.StateDraining || a.State == pools.StateMaintenance) && !inPool {
			w.addViolation("VM %s is %s without a record of its pool", id, a.State)
		}
	}
	for dc, b := range now.byDC {
		for id := range b.VMs {
			if dcOf[id] != dc {
				w.addViolation("record of VM %s in data centre %s, which does not have the VM", id, dc)
			}
		}
	}
}

// auditDraws checks the limits of the data centre and the rack for each draw
// since the last audit, except for failures.
func (w *Simulation) auditDraws(now auditedRows, dcOf map[fleet.VMID]fleet.DataCentreName) {
	plan := w.Config.Maintenance
	for dc, b := range now.byDC {
		racks := map[fleet.RackName]int{}
		for _, r := range b.VMs {
			racks[r.Rack]++
		}
		for id, r := range b.VMs {
			if _, before := w.lastAudit.byDC[dc].VMs[id]; before || r.Cause == pools.CauseFailed {
				continue
			}
			if len(b.VMs) > plan.MaxPerDataCentre || racks[r.Rack] > plan.MaxPerRack {
				w.addViolation("draw of VM %s (%s) above a limit: %d VMs unavailable in the data centre, %d in the rack", id, r.Cause, len(b.VMs), racks[r.Rack])
			}
			w.auditPoolDraw(now, dcOf, id, r)
		}
	}
}

// auditPoolDraw checks the limit of the pool for a draw, and the rule against
// maintenance while another data centre is out.
func (w *Simulation) auditPoolDraw(now auditedRows, dcOf map[fleet.VMID]fleet.DataCentreName, id fleet.VMID, r pools.Record) {
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
		w.addViolation("draw of VM %s (%s) above the limit of pool %s: %d unavailable, at most %d allowed", id, r.Cause, pool.Name, used, pool.MaxUnavailable)
	}
	if r.Cause == pools.CausePlanned && otherOut && w.Config.Maintenance.AvoidDataCentresOut {
		w.addViolation("draw of VM %s while another data centre is out", id)
	}
}
