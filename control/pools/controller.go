package pools

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// Defaults of the controller.
const (
	// DefaultGoneAfter is how long the VM list must show a VM as gone before
	// the VM is removed from its pool.
	DefaultGoneAfter = 10 * time.Minute
	// DefaultAbsentAfter is how long a VM must be missing from the VM list
	// before it is removed from its pool. It is much longer than
	// DefaultGoneAfter, because the list may omit a whole data centre that was
	// cut off.
	DefaultAbsentAfter = 24 * time.Hour
	// DefaultMoveTimeout bounds the drain of a VM that is being moved when the
	// configuration has no drain timeout.
	DefaultMoveTimeout = 15 * time.Minute
)

// Role is the part of role.Role that the controller uses. Tick acquires or
// renews the role, Held returns nil while this entry holds it, and Conditions
// returns what each transaction of the holder requires.
type Role interface {
	Tick(ctx context.Context) error
	Conditions() ([]backing.Condition, error)
	Held() error
}

// Options configures a Controller. A zero duration stands for the default.
type Options struct {
	Ledger      *Ledger
	Role        Role
	View        control.View
	VMList      backing.VMList
	VMs         backing.VMs
	Dispatch    Dispatch
	Clock       fleet.Clock
	GoneAfter   time.Duration
	AbsentAfter time.Duration
	MoveTimeout time.Duration // default: the drain timeout of the maintenance plan
}

// Controller assigns VMs to pools, records failed VMs and carries out moves. It
// acts only while its entry holds the role RoleName.
type Controller struct{ options Options }

// NewController returns a controller with the defaults filled in.
func NewController(o Options) *Controller {
	if o.GoneAfter == 0 {
		o.GoneAfter = DefaultGoneAfter
	}
	if o.AbsentAfter == 0 {
		o.AbsentAfter = DefaultAbsentAfter
	}
	return &Controller{options: o}
}

// Tick does one round: it reconciles the assignments with the VM list and
// advances each move by one step. It does nothing while another session holds
// the role. It returns the errors of all steps that failed; the next round
// repeats these steps.
func (c *Controller) Tick(ctx context.Context) error {
	if err := c.options.Role.Tick(ctx); err != nil {
		return err
	}
	if c.options.Role.Held() != nil {
		return nil
	}
	if err := c.options.View.Fresh(); err != nil {
		return err
	}
	listing, err := c.options.VMList.List(ctx)
	if err != nil {
		return fmt.Errorf("list VMs: %w", err)
	}
	known, err := c.options.Ledger.Assignments(ctx)
	if err != nil {
		return err
	}
	_, budgets, err := c.options.Ledger.Budgets(ctx)
	if err != nil {
		return err
	}
	errs := []error{c.reconcile(ctx, listing, known, budgets)}
	for _, dc := range sortedKeys(known) {
		for _, vm := range sortedKeys(known[dc]) {
			errs = append(errs, c.advanceMove(ctx, dc, vm, known[dc][vm]))
		}
	}
	return errors.Join(errs...)
}

// assignments holds the assignments by data centre and VM.
type assignments = map[fleet.DataCentreName]map[fleet.VMID]Assignment

// reconcile compares the VM listing with the assignment and budget rows and
// updates the rows of each data centre that differs.
func (c *Controller) reconcile(ctx context.Context, listing backing.VMListing, known assignments, budgets map[fleet.DataCentreName]Budget) error {
	listed := map[fleet.DataCentreName]map[fleet.VMID]fleet.VM{}
	for dc := range known {
		listed[dc] = map[fleet.VMID]fleet.VM{}
	}
	for _, vm := range listing.VMs {
		if listed[vm.DataCentre] == nil {
			listed[vm.DataCentre] = map[fleet.VMID]fleet.VM{}
		}
		listed[vm.DataCentre][vm.ID] = vm
	}
	var errs []error
	for _, dc := range sortedKeys(listed) {
		released, err := c.releaseUnassigned(ctx, listed[dc], known)
		errs = append(errs, err)
		r := reconciliation{c, listing.AsOf, listed[dc], sortedKeys(listed), released}
		if r.needsUpdate(known[dc], budgets[dc]) {
			errs = append(errs, c.update(ctx, dc, r.apply))
		}
	}
	return errors.Join(errs...)
}

// releaseUnassigned ends the drain of live VMs that have no assignment in any
// data centre: a VM that was removed during a drain may come back still
// drained. It returns the VMs that the platform has released; only these may be
// assigned.
func (c *Controller) releaseUnassigned(ctx context.Context, listed map[fleet.VMID]fleet.VM, known assignments) (map[fleet.VMID]bool, error) {
	assigned, released := map[fleet.VMID]bool{}, map[fleet.VMID]bool{}
	for _, vms := range known {
		for id := range vms {
			assigned[id] = true
		}
	}
	var errs []error
	for _, id := range sortedKeys(listed) {
		if assigned[id] || listed[id].State != fleet.VMLive {
			continue
		}
		if err := c.options.Role.Held(); err != nil {
			return released, err
		}
		if err := c.options.VMs.Release(ctx, id); err != nil {
			errs = append(errs, fmt.Errorf("release VM %q: %w", id, err))
			continue
		}
		released[id] = true
	}
	return released, errors.Join(errs...)
}

// update runs fn in a transaction that requires the role to be held.
func (c *Controller) update(ctx context.Context, dc fleet.DataCentreName, fn func(*Change) error) error {
	return c.options.Ledger.Update(ctx, dc, c.options.Role.Conditions, fn)
}

func (c *Controller) moveTimeout() time.Duration {
	if c.options.MoveTimeout > 0 {
		return c.options.MoveTimeout
	}
	if s := c.options.View.Snapshot(); s != nil && s.Maintenance.DrainTimeout > 0 {
		return s.Maintenance.DrainTimeout
	}
	return DefaultMoveTimeout
}

// reconciliation updates the rows of one data centre according to one VM
// listing.
type reconciliation struct {
	controller  *Controller
	asOf        time.Time
	listed      map[fleet.VMID]fleet.VM
	dataCentres []fleet.DataCentreName // all that have listed VMs or an assignment row
	released    map[fleet.VMID]bool    // unassigned VMs that may be assigned
}

// action is the change that a VM's rows need to match the VM listing.
type action uint8

const (
	actionNone action = iota
	actionAdd
	actionRecordFailure
	actionReturn
	actionRemove
	actionEvict // its pool is no longer declared
)

// decide compares the assignment and the budget record of a VM with the VM
// listing. It leaves the failures of VMs in maintenance to the maintenance
// executor, which expects these VMs to go down for a reboot.
func (r *reconciliation) decide(vm fleet.VMID, a Assignment, assigned bool, record Record, recorded bool) action {
	listed, present := r.listed[vm]
	live := present && listed.State == fleet.VMLive
	failed := recorded && record.Cause == CauseFailed
	switch {
	case !assigned && live && r.released[vm]:
		return actionAdd
	case !assigned:
		return actionNone
	case failed && !live && r.asOf.Sub(time.Unix(record.SinceUnix, 0)) >= r.removalDelay(listed, present):
		return actionRemove
	case a.State == StateMaintenance:
		return actionNone
	case !live && !failed:
		return actionRecordFailure
	case live && failed && a.State == StateActive && r.asOf.After(time.Unix(record.SinceUnix, 0)):
		return actionReturn
	case live && !recorded && a.State == StateActive && r.undeclared(a.Pool):
		return actionEvict
	}
	return actionNone
}

// removalDelay returns how long a VM must have failed before it is removed. A
// VM that is listed as leaving is never removed, because it may come back.
func (r *reconciliation) removalDelay(listed fleet.VM, present bool) time.Duration {
	switch {
	case !present:
		return r.controller.options.AbsentAfter
	case listed.State == fleet.VMGone:
		return r.controller.options.GoneAfter
	}
	return time.Duration(1<<63 - 1)
}

// undeclared reports whether the configuration no longer declares a pool and
// has a spare pool that can take its VMs.
func (r *reconciliation) undeclared(pool fleet.PoolName) bool {
	s := r.controller.options.View.Snapshot()
	if s == nil {
		return false
	}
	_, ok := s.Pools[pool]
	return !ok && sparePool(s) != ""
}

// needsUpdate reports whether a VM of the data centre needs a change.
func (r *reconciliation) needsUpdate(known map[fleet.VMID]Assignment, budget Budget) bool {
	for vm, a := range known {
		record, recorded := budget.VMs[vm]
		if r.decide(vm, a, true, record, recorded) != actionNone {
			return true
		}
	}
	for vm := range r.released {
		if _, ok := known[vm]; !ok {
			return true
		}
	}
	return false
}

// apply changes the rows of all VMs of the data centre that need it.
func (r *reconciliation) apply(c *Change) error {
	vms, err := c.VMs()
	if err != nil {
		return err
	}
	ids := map[fleet.VMID]bool{}
	for vm := range vms {
		ids[vm] = true
	}
	for vm := range r.listed {
		ids[vm] = true
	}
	for _, vm := range sortedKeys(ids) {
		if err := r.applyVM(c, vm); err != nil {
			return err
		}
	}
	return nil
}

func (r *reconciliation) applyVM(c *Change, vm fleet.VMID) error {
	vms, err := c.VMs()
	if err != nil {
		return err
	}
	record, recorded, err := c.Record(vm)
	if err != nil {
		return err
	}
	a, assigned := vms[vm]
	switch r.decide(vm, a, assigned, record, recorded) {
	case actionAdd:
		return r.add(c, r.listed[vm])
	case actionRecordFailure:
		return c.recordFailure(vm, r.asOf)
	case actionReturn:
		return c.Return(vm)
	case actionRemove:
		return r.remove(c, vm, a)
	case actionEvict:
		return r.evict(c, vm)
	}
	return nil
}

// add assigns a new VM to the pool whose declaration names it, otherwise to the
// spare pool. It does nothing while the row of another data centre still
// contains the VM. The rows of all data centres are read in the transaction and
// so are conditions of its commit.
func (r *reconciliation) add(c *Change, vm fleet.VM) error {
	for _, dc := range r.dataCentres {
		row, err := c.assignmentsOf(dc)
		if err != nil {
			return err
		}
		if _, ok := (*row)[vm.ID]; ok {
			return nil
		}
	}
	s := r.controller.options.View.Snapshot()
	if s == nil {
		return nil
	}
	pool := initialPool(s, vm.ID)
	if pool == "" {
		return fmt.Errorf("VM %q: %w: no pool names it and there is no spare pool", vm.ID, ErrNoPool)
	}
	if err := c.endLostRecord(vm.ID, pool); err != nil {
		return err
	}
	return c.setAssignment(vm.ID, Assignment{Pool: pool, Rack: vm.Rack, State: StateActive})
}

// remove deletes the assignment of a VM. Unless its pool is the spare pool, the
// VM counts as unavailable there until another VM replaces it.
func (r *reconciliation) remove(c *Change, vm fleet.VMID, a Assignment) error {
	keep := false
	if s := r.controller.options.View.Snapshot(); s != nil {
		pool, declared := s.Pools[a.Pool]
		keep = declared && !pool.Spare
	}
	if err := c.recordLost(vm, a, keep); err != nil {
		return err
	}
	row, err := c.assignmentsOf(c.dataCentre)
	if err != nil {
		return err
	}
	delete(*row, vm)
	c.Store(AssignmentPrefix + string(c.dataCentre))
	return nil
}

// evict starts the move of a VM from a pool that is no longer declared to the
// spare pool. If the availability budgets refuse the move, a later round tries
// again.
func (r *reconciliation) evict(c *Change, vm fleet.VMID) error {
	err := c.startMove(vm, sparePool(r.controller.options.View.Snapshot()))
	var refused *BudgetError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// recordFailure records a VM as failed. asOf is the time of the VM listing that
// shows it as not live.
func (c *Change) recordFailure(vm fleet.VMID, asOf time.Time) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	return c.putRecord(vm, a, Record{Cause: CauseFailed, Rack: a.Rack, SinceUnix: asOf.Unix(), Note: "not live"})
}

// initialPool returns the pool whose declaration names the VM, otherwise the
// spare pool, or "" if there is none.
func initialPool(s *config.Snapshot, vm fleet.VMID) fleet.PoolName {
	for _, name := range sortedKeys(s.Pools) {
		for _, id := range s.Pools[name].VMs {
			if id == vm {
				return name
			}
		}
	}
	return sparePool(s)
}

// sparePool returns the first pool that is declared as spare, or "" if there is
// none.
func sparePool(s *config.Snapshot) fleet.PoolName {
	for _, name := range sortedKeys(s.Pools) {
		if s.Pools[name].Spare {
			return name
		}
	}
	return ""
}
