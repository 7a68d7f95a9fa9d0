package pools

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Cause is why a VM is unavailable.
type Cause uint8

const (
	CausePlanned  Cause = iota + 1 // out of service for maintenance
	CauseFailed                    // failed; recorded even above the limits
	CauseMove                      // being moved to another pool
	CauseOperator                  // drained by an operator
)

// String returns the name of the cause.
func (c Cause) String() string {
	names := [...]string{"none", "planned", "failed", "move", "operator"}
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprintf("cause %d", c)
}

// Record says why a VM is unavailable. A budget row holds one for each of its
// unavailable VMs.
type Record struct {
	Cause     Cause          `cbor:"1,keyasint"`
	Rack      fleet.RackName `cbor:"2,keyasint,omitempty"`
	SinceUnix int64          `cbor:"3,keyasint"`
	Lost      bool           `cbor:"4,keyasint,omitempty"` // the VM was removed and not yet replaced by another
	Note      string         `cbor:"5,keyasint,omitempty"` // for operators: who or what took the VM out of service
}

// Budget is the value of a budget row: the unavailable VMs of a pool or of a
// data centre.
type Budget struct {
	VMs map[fleet.VMID]Record `cbor:"1,keyasint,omitempty"`
}

// Lost returns the number of removed VMs that no other VM has replaced.
func (b Budget) Lost() int {
	n := 0
	for _, r := range b.VMs {
		if r.Lost {
			n++
		}
	}
	return n
}

// Bound names the limit or rule that refused a draw.
type Bound string

const (
	BoundPool          Bound = "pool"
	BoundRack          Bound = "rack"
	BoundDataCentre    Bound = "data centre"
	BoundDataCentreOut Bound = "other data centre out"
	BoundUnavailable   Bound = "VM is unavailable already"
)

// BudgetError is the refusal of a draw. Nothing was written.
type BudgetError struct {
	VM    fleet.VMID
	Bound Bound
	Name  string // pool, rack or data centre; for BoundUnavailable the cause of the present record
	Used  int    // VMs that are unavailable
	Limit int    // VMs that may be unavailable
}

// Error names the VM and the limit, its use and its value, or the rule that
// refused the draw.
func (e *BudgetError) Error() string {
	switch e.Bound {
	case BoundDataCentreOut:
		return fmt.Sprintf("VM %q: data centre %q is out of service and the plan avoids maintenance elsewhere", e.VM, e.Name)
	case BoundUnavailable:
		return fmt.Sprintf("VM %q is unavailable already: %s", e.VM, e.Name)
	}
	return fmt.Sprintf("VM %q: %d of at most %d VMs of %s %q are unavailable", e.VM, e.Used, e.Limit, e.Bound, e.Name)
}

// Draw records a VM as unavailable in the budget rows of its pool and its data
// centre. Drawing again with the same cause changes nothing. A failure replaces
// any other cause and is recorded even above the limits. Any other cause is
// refused with a *BudgetError if it would exceed a limit or the VM is
// unavailable already, and with a *fleet.Refusal if the view is not fresh.
// Other errors: ErrUnassigned and those of the table.
func (c *Change) Draw(vm fleet.VMID, cause Cause, note string) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	current, ok, err := c.Record(vm)
	if err != nil {
		return err
	}
	switch {
	case ok && current.Cause == cause:
		return nil
	case cause == CauseFailed:
	case ok:
		return &BudgetError{VM: vm, Bound: BoundUnavailable, Name: current.Cause.String()}
	default:
		if err := c.checkLimits(vm, a, cause); err != nil {
			return err
		}
	}
	return c.putRecord(vm, a, Record{Cause: cause, Rack: a.Rack, SinceUnix: c.now.Unix(), Note: note})
}

// Return removes the records of a VM that is available again from both budget
// rows. Errors: ErrUnassigned and those of the table.
func (c *Change) Return(vm fleet.VMID) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	if err := c.deleteRecord(c.dcBudgetKey(), vm); err != nil {
		return err
	}
	return c.deleteRecord(poolBudgetKey(a.Pool), vm)
}

// Record returns the record of a VM in the budget row of the data centre, and
// whether there is one.
func (c *Change) Record(vm fleet.VMID) (Record, bool, error) {
	b, err := Load[Budget](c, c.dcBudgetKey())
	if err != nil {
		return Record{}, false, err
	}
	r, ok := b.VMs[vm]
	return r, ok, nil
}

// Draw is Change.Draw in a transaction of its own.
func (l *Ledger) Draw(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, cause Cause, note string) error {
	return l.Update(ctx, dc, nil, func(c *Change) error { return c.Draw(vm, cause, note) })
}

// Return is Change.Return in a transaction of its own.
func (l *Ledger) Return(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID) error {
	return l.Update(ctx, dc, nil, func(c *Change) error { return c.Return(vm) })
}

// Budgets reads the budget rows of all pools and data centres.
func (l *Ledger) Budgets(ctx context.Context) (map[fleet.PoolName]Budget, map[fleet.DataCentreName]Budget, error) {
	byPool, err := readBudgets[fleet.PoolName](ctx, l.options.Table, PoolBudgetPrefix)
	if err != nil {
		return nil, nil, err
	}
	byDC, err := readBudgets[fleet.DataCentreName](ctx, l.options.Table, DataCentreBudgetPrefix)
	return byPool, byDC, err
}

func readBudgets[K ~string](ctx context.Context, table backing.Table, prefix string) (map[K]Budget, error) {
	out := map[K]Budget{}
	err := ReadRows(ctx, table, prefix, func(name string, value []byte) error {
		var b Budget
		if err := cbor.Unmarshal(value, &b); err != nil {
			return err
		}
		out[K(name)] = b
		return nil
	})
	return out, err
}

// checkLimits returns a *BudgetError if a draw with a cause other than a
// failure would exceed a limit, and a *fleet.Refusal if the view is not fresh.
func (c *Change) checkLimits(vm fleet.VMID, a Assignment, cause Cause) error {
	view := c.ledger.options.View
	if err := view.Fresh(); err != nil {
		return err
	}
	snapshot := view.Snapshot()
	if snapshot == nil {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "no configuration is known", RetryAfter: time.Second}
	}
	out := dataCentresOut(snapshot.DataCentres)
	if cause == CausePlanned && snapshot.Maintenance.AvoidDataCentresOut {
		for _, dc := range out {
			if dc != c.dataCentre {
				return &BudgetError{VM: vm, Bound: BoundDataCentreOut, Name: string(dc)}
			}
		}
	}
	if err := c.checkDataCentreLimits(vm, a, snapshot.Maintenance); err != nil {
		return err
	}
	pool, declared := snapshot.Pools[a.Pool]
	if !declared || pool.Spare && cause == CauseMove {
		return nil // no queue uses the VM
	}
	return c.checkPoolLimit(vm, pool, out)
}

// checkDataCentreLimits checks the limits of the data centre and of the rack.
func (c *Change) checkDataCentreLimits(vm fleet.VMID, a Assignment, plan fleet.MaintenancePlan) error {
	b, err := Load[Budget](c, c.dcBudgetKey())
	if err != nil {
		return err
	}
	if n := len(b.VMs); n >= plan.MaxPerDataCentre {
		return &BudgetError{VM: vm, Bound: BoundDataCentre, Name: string(c.dataCentre), Used: n, Limit: plan.MaxPerDataCentre}
	}
	n := 0
	for _, r := range b.VMs {
		if r.Rack == a.Rack {
			n++
		}
	}
	if n >= plan.MaxPerRack {
		return &BudgetError{VM: vm, Bound: BoundRack, Name: string(a.Rack), Used: n, Limit: plan.MaxPerRack}
	}
	return nil
}

// checkPoolLimit checks the limit of the pool. Besides the recorded VMs it
// counts the VMs of the pool in data centres that operators have taken out of
// service. The data centre of the VM is exempt: if it is out, its VMs are
// unavailable anyway, and the check is about the time after its return.
func (c *Change) checkPoolLimit(vm fleet.VMID, pool fleet.Pool, out []fleet.DataCentreName) error {
	b, err := Load[Budget](c, poolBudgetKey(pool.Name))
	if err != nil {
		return err
	}
	used := len(b.VMs)
	for _, dc := range out {
		if dc == c.dataCentre {
			continue
		}
		row, err := c.assignmentsOf(dc)
		if err != nil {
			return err
		}
		for id, a := range *row {
			if _, recorded := b.VMs[id]; a.Pool == pool.Name && !recorded {
				used++
			}
		}
	}
	if used >= pool.MaxUnavailable {
		return &BudgetError{VM: vm, Bound: BoundPool, Name: string(pool.Name), Used: used, Limit: pool.MaxUnavailable}
	}
	return nil
}

// putRecord writes the record of a VM to both budget rows.
func (c *Change) putRecord(vm fleet.VMID, a Assignment, r Record) error {
	for _, key := range []string{poolBudgetKey(a.Pool), c.dcBudgetKey()} {
		b, err := Load[Budget](c, key)
		if err != nil {
			return err
		}
		if b.VMs == nil {
			b.VMs = map[fleet.VMID]Record{}
		}
		b.VMs[vm] = r
		c.Store(key)
	}
	return nil
}

// deleteRecord removes the record of a VM, if any, from one budget row.
func (c *Change) deleteRecord(key string, vm fleet.VMID) error {
	b, err := Load[Budget](c, key)
	if err != nil {
		return err
	}
	if _, ok := b.VMs[vm]; ok {
		delete(b.VMs, vm)
		c.Store(key)
	}
	return nil
}

// recordLost deletes the records of a VM that is being removed. With keep, it
// replaces the record of the pool by one with Lost, so that the missing VM
// counts until another one replaces it.
func (c *Change) recordLost(vm fleet.VMID, a Assignment, keep bool) error {
	if err := c.deleteRecord(c.dcBudgetKey(), vm); err != nil {
		return err
	}
	if !keep {
		return c.deleteRecord(poolBudgetKey(a.Pool), vm)
	}
	b, err := Load[Budget](c, poolBudgetKey(a.Pool))
	if err != nil {
		return err
	}
	if b.VMs == nil {
		b.VMs = map[fleet.VMID]Record{}
	}
	b.VMs[vm] = Record{Cause: CauseFailed, Rack: a.Rack, SinceUnix: c.now.Unix(), Lost: true}
	c.Store(poolBudgetKey(a.Pool))
	return nil
}

// endLostRecord deletes one lost record of a pool that a VM has joined: the
// VM's record, if it has one, otherwise the oldest.
func (c *Change) endLostRecord(vm fleet.VMID, pool fleet.PoolName) error {
	b, err := Load[Budget](c, poolBudgetKey(pool))
	if err != nil {
		return err
	}
	found := fleet.VMID("")
	for _, id := range sortedKeys(b.VMs) {
		r := b.VMs[id]
		if !r.Lost {
			continue
		}
		if id == vm {
			found = id
			break
		}
		if found == "" || r.SinceUnix < b.VMs[found].SinceUnix {
			found = id
		}
	}
	if found == "" {
		return nil
	}
	return c.deleteRecord(poolBudgetKey(pool), found)
}

// dataCentresOut returns the data centres that operators have taken out of
// service, in order.
func dataCentresOut(all map[fleet.DataCentreName]fleet.DataCentre) []fleet.DataCentreName {
	var out []fleet.DataCentreName
	for _, name := range sortedKeys(all) {
		if all[name].State == fleet.DataCentreOut {
			out = append(out, name)
		}
	}
	return out
}

func (c *Change) dcBudgetKey() string          { return DataCentreBudgetPrefix + string(c.dataCentre) }
func poolBudgetKey(pool fleet.PoolName) string { return PoolBudgetPrefix + string(pool) }
