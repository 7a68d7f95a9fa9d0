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
	CausePlanned  Cause = iota + 1 // maintenance
	CauseFailed                    // not planned; always recorded
	CauseMove                      // on the way to another pool
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

// Record is one unavailable VM in a budget row.
type Record struct {
	Cause Cause          `cbor:"1,keyasint"`
	Rack  fleet.RackName `cbor:"2,keyasint,omitempty"`
	Since int64          `cbor:"3,keyasint"`           // Unix seconds
	Lost  bool           `cbor:"4,keyasint,omitempty"` // the VM was removed and nothing has replaced it
	Note  string         `cbor:"5,keyasint,omitempty"` // for people: who or what drew it
}

// Budget is the value of a budget row: the unavailable VMs of a pool or of a
// data centre.
type Budget struct {
	VMs map[fleet.VMID]Record `cbor:"1,keyasint,omitempty"`
}

// Lost counts the records of removed VMs.
func (b Budget) Lost() int {
	n := 0
	for _, r := range b.VMs {
		if r.Lost {
			n++
		}
	}
	return n
}

// Bound names a limit of the availability budgets.
type Bound string

const (
	BoundPool          Bound = "pool"
	BoundRack          Bound = "rack"
	BoundDataCentre    Bound = "data centre"
	BoundDataCentreOut Bound = "other data centre out"
	BoundUnavailable   Bound = "VM is unavailable already"
)

// BudgetError refuses a draw. Nothing was written.
type BudgetError struct {
	VM    fleet.VMID
	Bound Bound
	Name  string // of the pool, rack or data centre, or the cause of the present record
	Used  int    // unavailable VMs
	Limit int
}

// Error names the bound, its use and its limit.
func (e *BudgetError) Error() string {
	switch e.Bound {
	case BoundDataCentreOut:
		return fmt.Sprintf("VM %q: data centre %q is out of service and the plan avoids maintenance elsewhere", e.VM, e.Name)
	case BoundUnavailable:
		return fmt.Sprintf("VM %q is unavailable already: %s", e.VM, e.Name)
	}
	return fmt.Sprintf("VM %q: %d of at most %d VMs of %s %q are unavailable", e.VM, e.Used, e.Limit, e.Bound, e.Name)
}

// Draw records a VM as unavailable in both budget rows. Drawing again with the
// same cause changes nothing. A failure replaces any other cause and is
// recorded even above the limits. Any other cause is refused with a
// *BudgetError when it would exceed a limit or the VM is unavailable already,
// and with a *fleet.Refusal when the view is not fresh.
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
		if err := c.admit(vm, a, cause); err != nil {
			return err
		}
	}
	return c.record(vm, a, Record{Cause: cause, Rack: a.Rack, Since: c.now.Unix(), Note: note})
}

// Return removes the records of a VM that is available again.
func (c *Change) Return(vm fleet.VMID) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	if err := c.erase(c.dcKey(), vm); err != nil {
		return err
	}
	return c.erase(poolKey(a.Pool), vm)
}

// Record returns the record of a VM in the data centre's budget row.
func (c *Change) Record(vm fleet.VMID) (Record, bool, error) {
	b, err := Load[Budget](c, c.dcKey())
	if err != nil {
		return Record{}, false, err
	}
	r, ok := b.VMs[vm]
	return r, ok, nil
}

// Draw records a VM as unavailable in one transaction; see Change.Draw.
func (l *Ledger) Draw(ctx context.Context, dc fleet.DataCentreName, vm fleet.VMID, cause Cause, note string) error {
	return l.Update(ctx, dc, nil, func(c *Change) error { return c.Draw(vm, cause, note) })
}

// Return removes the records of a VM in one transaction.
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

// admit checks a planned draw against the limits.
func (c *Change) admit(vm fleet.VMID, a Assignment, cause Cause) error {
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
	if err := c.admitDataCentre(vm, a, snapshot.Maintenance); err != nil {
		return err
	}
	pool, declared := snapshot.Pools[a.Pool]
	if !declared || pool.Spare && cause == CauseMove {
		return nil // no queue depends on the VM
	}
	return c.admitPool(vm, pool, out)
}

func (c *Change) admitDataCentre(vm fleet.VMID, a Assignment, plan fleet.MaintenancePlan) error {
	b, err := Load[Budget](c, c.dcKey())
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

// admitPool counts the records of the pool and its VMs in data centres that
// operators have taken out. For a VM of such a data centre, its own data centre
// is not counted: the VM is unavailable already, and the check holds for the
// time when the data centre is back.
func (c *Change) admitPool(vm fleet.VMID, pool fleet.Pool, out []fleet.DataCentreName) error {
	b, err := Load[Budget](c, poolKey(pool.Name))
	if err != nil {
		return err
	}
	used := len(b.VMs)
	for _, dc := range out {
		if dc == c.dataCentre {
			continue
		}
		g, err := c.group(dc)
		if err != nil {
			return err
		}
		for id, a := range *g {
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

func (c *Change) record(vm fleet.VMID, a Assignment, r Record) error {
	for _, key := range []string{poolKey(a.Pool), c.dcKey()} {
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

func (c *Change) erase(key string, vm fleet.VMID) error {
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

// lose turns the pool's record of a VM that is being removed into a lost one,
// so that the missing VM keeps counting until another takes its place.
func (c *Change) lose(vm fleet.VMID, a Assignment, keep bool) error {
	if err := c.erase(c.dcKey(), vm); err != nil {
		return err
	}
	if !keep {
		return c.erase(poolKey(a.Pool), vm)
	}
	b, err := Load[Budget](c, poolKey(a.Pool))
	if err != nil {
		return err
	}
	if b.VMs == nil {
		b.VMs = map[fleet.VMID]Record{}
	}
	b.VMs[vm] = Record{Cause: CauseFailed, Rack: a.Rack, Since: c.now.Unix(), Lost: true}
	c.Store(poolKey(a.Pool))
	return nil
}

// replace ends one lost record of a pool that a VM has joined, the VM's own one
// if it has one, otherwise the oldest.
func (c *Change) replace(vm fleet.VMID, pool fleet.PoolName) error {
	b, err := Load[Budget](c, poolKey(pool))
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
		if found == "" || r.Since < b.VMs[found].Since {
			found = id
		}
	}
	if found == "" {
		return nil
	}
	return c.erase(poolKey(pool), found)
}

func dataCentresOut(all map[fleet.DataCentreName]fleet.DataCentre) []fleet.DataCentreName {
	var out []fleet.DataCentreName
	for _, name := range sortedKeys(all) {
		if all[name].State == fleet.DataCentreOut {
			out = append(out, name)
		}
	}
	return out
}

func (c *Change) dcKey() string          { return DataCentreBudgetPrefix + string(c.dataCentre) }
func poolKey(pool fleet.PoolName) string { return PoolBudgetPrefix + string(pool) }
