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
	// DefaultGoneAfter is how long the listing must show a VM as gone before it
	// is removed from its pool.
	DefaultGoneAfter = 10 * time.Minute
	// DefaultAbsentAfter is the same for a VM that the listing omits. It is much
	// longer, because a listing may omit a whole data centre that was cut off.
	DefaultAbsentAfter = 24 * time.Hour
	// DefaultMoveTimeout bounds the drain of a move when the configuration has
	// no drain timeout.
	DefaultMoveTimeout = 15 * time.Minute
)

// Role is what the controller needs of its role.
type Role interface {
	Tick(ctx context.Context) error
	Conditions() ([]backing.Condition, error)
	Held() error
}

// Options configures a controller. Zero durations mean the defaults.
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

// Controller assigns VMs, records failures and carries out moves while its
// entry holds the role.
type Controller struct{ options Options }

// NewController returns a controller.
func NewController(o Options) *Controller {
	if o.GoneAfter == 0 {
		o.GoneAfter = DefaultGoneAfter
	}
	if o.AbsentAfter == 0 {
		o.AbsentAfter = DefaultAbsentAfter
	}
	return &Controller{options: o}
}

// Tick does one round. It does nothing while another session holds the role,
// and returns the errors of all steps that failed; the next round repeats them.
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
			errs = append(errs, c.advance(ctx, dc, vm, known[dc][vm]))
		}
	}
	return errors.Join(errs...)
}

type assignments = map[fleet.DataCentreName]map[fleet.VMID]Assignment

// reconcile compares the listing with the rows and writes the rows of the data
// centres that differ.
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
		released, err := c.release(ctx, listed[dc], known)
		errs = append(errs, err)
		r := round{c, listing.AsOf, listed[dc], sortedKeys(listed), released}
		if r.differs(known[dc], budgets[dc]) {
			errs = append(errs, c.update(ctx, dc, r.apply))
		}
	}
	return errors.Join(errs...)
}

// release ends the drain of live VMs that have no assignment in any data centre
// and returns those that may be assigned. A VM that was removed while it was drained may come back
// still drained.
func (c *Controller) release(ctx context.Context, listed map[fleet.VMID]fleet.VM, known assignments) (map[fleet.VMID]bool, error) {
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

// round reconciles one data centre with one listing.
type round struct {
	controller *Controller
	asOf       time.Time
	listed     map[fleet.VMID]fleet.VM
	all        []fleet.DataCentreName // every data centre with VMs or a row
	released   map[fleet.VMID]bool    // VMs without an assignment that may get one
}

// step is what the listing asks for about one VM.
type step uint8

const (
	stepNone step = iota
	stepAdd
	stepFail
	stepReturn
	stepRemove
	stepEvict // its pool is not declared any more
)

// decide compares a VM's row and record with its listing. Failures of VMs in
// maintenance are recorded by the maintenance executor, which expects them to
// leave for a reboot.
func (r *round) decide(vm fleet.VMID, a Assignment, assigned bool, record Record, drawn bool) step {
	listed, present := r.listed[vm]
	live := present && listed.State == fleet.VMLive
	failed := drawn && record.Cause == CauseFailed
	switch {
	case !assigned && live && r.released[vm]:
		return stepAdd
	case !assigned:
		return stepNone
	case failed && !live && r.asOf.Sub(time.Unix(record.Since, 0)) >= r.patience(listed, present):
		return stepRemove
	case a.State == StateMaintenance:
		return stepNone
	case !live && !failed:
		return stepFail
	case live && failed && a.State == StateActive && r.asOf.After(time.Unix(record.Since, 0)):
		return stepReturn
	case live && !drawn && a.State == StateActive && r.undeclared(a.Pool):
		return stepEvict
	}
	return stepNone
}

// patience returns how long a VM must have failed before it is removed. A VM
// that is leaving is not removed: it may come back.
func (r *round) patience(listed fleet.VM, present bool) time.Duration {
	switch {
	case !present:
		return r.controller.options.AbsentAfter
	case listed.State == fleet.VMGone:
		return r.controller.options.GoneAfter
	}
	return time.Duration(1<<63 - 1)
}

func (r *round) undeclared(pool fleet.PoolName) bool {
	s := r.controller.options.View.Snapshot()
	if s == nil {
		return false
	}
	_, ok := s.Pools[pool]
	return !ok && spare(s) != ""
}

func (r *round) differs(known map[fleet.VMID]Assignment, budget Budget) bool {
	for vm, a := range known {
		record, drawn := budget.VMs[vm]
		if r.decide(vm, a, true, record, drawn) != stepNone {
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

func (r *round) apply(c *Change) error {
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

func (r *round) applyVM(c *Change, vm fleet.VMID) error {
	vms, err := c.VMs()
	if err != nil {
		return err
	}
	record, drawn, err := c.Record(vm)
	if err != nil {
		return err
	}
	a, assigned := vms[vm]
	switch r.decide(vm, a, assigned, record, drawn) {
	case stepAdd:
		return r.add(c, r.listed[vm])
	case stepFail:
		return c.drawFailed(vm, r.asOf)
	case stepReturn:
		return c.Return(vm)
	case stepRemove:
		return r.remove(c, vm, a)
	case stepEvict:
		return r.evict(c, vm)
	}
	return nil
}

// add assigns a new VM: to the pool that names it, otherwise to the spare pool.
// A VM that another data centre's row still holds waits until it is removed
// there; all rows are conditions of the transaction.
func (r *round) add(c *Change, vm fleet.VM) error {
	for _, dc := range r.all {
		g, err := c.group(dc)
		if err != nil {
			return err
		}
		if _, ok := (*g)[vm.ID]; ok {
			return nil
		}
	}
	s := r.controller.options.View.Snapshot()
	if s == nil {
		return nil
	}
	pool := home(s, vm.ID)
	if pool == "" {
		return fmt.Errorf("VM %q: %w: no pool names it and there is no spare pool", vm.ID, ErrNoPool)
	}
	if err := c.replace(vm.ID, pool); err != nil {
		return err
	}
	return c.set(vm.ID, Assignment{Pool: pool, Rack: vm.Rack, State: StateActive})
}

// remove drops a VM from its pool. Outside the spare pool it keeps counting as
// unavailable until another VM takes its place.
func (r *round) remove(c *Change, vm fleet.VMID, a Assignment) error {
	keep := false
	if s := r.controller.options.View.Snapshot(); s != nil {
		pool, declared := s.Pools[a.Pool]
		keep = declared && !pool.Spare
	}
	if err := c.lose(vm, a, keep); err != nil {
		return err
	}
	g, err := c.group(c.dataCentre)
	if err != nil {
		return err
	}
	delete(*g, vm)
	c.Store(AssignmentPrefix + string(c.dataCentre))
	return nil
}

// evict starts the move of a VM whose pool is not declared any more. A refused
// draw leaves it for a later round.
func (r *round) evict(c *Change, vm fleet.VMID) error {
	err := c.startMove(vm, spare(r.controller.options.View.Snapshot()))
	var refused *BudgetError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// drawFailed records a failure that a listing of the time asOf shows.
func (c *Change) drawFailed(vm fleet.VMID, asOf time.Time) error {
	a, err := c.VM(vm)
	if err != nil {
		return err
	}
	return c.record(vm, a, Record{Cause: CauseFailed, Rack: a.Rack, Since: asOf.Unix(), Note: "not live"})
}

// home returns the pool that names a VM, otherwise the spare pool, "" if there
// is none.
func home(s *config.Snapshot, vm fleet.VMID) fleet.PoolName {
	for _, name := range sortedKeys(s.Pools) {
		for _, id := range s.Pools[name].VMs {
			if id == vm {
				return name
			}
		}
	}
	return spare(s)
}

func spare(s *config.Snapshot) fleet.PoolName {
	for _, name := range sortedKeys(s.Pools) {
		if s.Pools[name].Spare {
			return name
		}
	}
	return ""
}
