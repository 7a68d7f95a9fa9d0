// Package balance applies the capacity policy. The holder of the role RoleName
// watches the load of the whole fleet, moves VMs between pools and warns
// operators of capacity problems.
package balance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/load"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
	"amaranthfork.example/policy/forecast"
	"amaranthfork.example/policy/headroom"
)

const (
	// RoleName is the name of the controller role.
	RoleName = "capacity"
	// WarningsKey is the key of the row that holds the warnings in force, as
	// JSON.
	WarningsKey = "capacity/warnings"
	// expectedMoveTime is the usual time from the decision to move a VM until
	// it serves its new pool. Forecasts look that far ahead.
	expectedMoveTime = 20 * time.Second
)

// Role is the part of role.Role that the controller uses. Held returns nil
// while this entry holds the role, and Conditions returns what each transaction
// of the holder requires.
type Role interface {
	Conditions() ([]backing.Condition, error)
	Held() error
}

// Options configures a Controller.
type Options struct {
	Table  backing.Table
	VMList backing.VMList
	Ledger *pools.Ledger
	Role   Role
	View   control.View
	Load   *load.Collector
	Clock  fleet.Clock
	// OnMove is called for each move that was begun; it may be nil.
	OnMove func(capacity.Move)
}

// Controller decides on moves and begins them. Tick must not be called
// concurrently.
type Controller struct {
	options          Options
	memory           capacity.Memory // of the policy, from the last decision
	forecast         *forecast.Forecaster
	monitor          *headroom.Monitor
	movedAt          map[fleet.VMID]time.Time // when a move of the VM was last begun here
	dataCentreStates map[fleet.DataCentreName]capacity.DataCentre
	writtenWarnings  []byte // encoded, as last written by this controller
}

// New returns a controller that has not observed any demand yet.
func New(o Options) *Controller {
	return &Controller{
		options:          o,
		forecast:         forecast.New(forecast.DefaultOptions()),
		monitor:          headroom.NewMonitor(headroom.DefaultSettings()),
		movedAt:          map[fleet.VMID]time.Time{},
		dataCentreStates: map[fleet.DataCentreName]capacity.DataCentre{},
	}
}

// Tick does one round while the role is held and the view is fresh: it collects
// the load, decides on moves, begins them and updates the warnings. If a move
// is refused, a later round decides again. Tick returns the errors of the VM
// list and the table.
func (c *Controller) Tick(ctx context.Context) error {
	if c.options.Role.Held() != nil {
		return nil
	}
	snapshot := c.options.View.Snapshot()
	if snapshot == nil || c.options.View.Fresh() != nil {
		return nil
	}
	fleetLoad := c.options.Load.Collect(ctx)
	state, err := c.readState(ctx, snapshot, fleetLoad)
	if err != nil {
		return err
	}
	var errs error
	if fleetLoad.Unanswered == 0 {
		// Moves are decided only on the reports of all entries: a pool whose
		// work is not reported would seem to have VMs to spare.
		errs = c.beginMoves(ctx, state, capacity.SettingsFor(snapshot.Profile))
	}
	return errors.Join(errs, c.updateWarnings(ctx, snapshot, state, fleetLoad))
}

// beginMoves decides on moves and requests them from the ledger. Refusals by a
// budget or for a busy VM are no errors.
func (c *Controller) beginMoves(ctx context.Context, state capacity.Snapshot, settings capacity.Settings) error {
	decision := capacity.Decide(state, settings, c.memory)
	c.memory = decision.Memory
	var errs error
	for _, m := range decision.Moves {
		if err := c.options.Role.Held(); err != nil {
			return errors.Join(errs, err)
		}
		err := c.options.Ledger.Move(ctx, m.VM, m.To)
		var budget *pools.BudgetError
		switch {
		case errors.As(err, &budget), errors.Is(err, pools.ErrBusy):
		case err != nil:
			errs = errors.Join(errs, fmt.Errorf("move VM %s to pool %s: %w", m.VM, m.To, err))
		default:
			c.movedAt[m.VM] = state.Now
			if c.options.OnMove != nil {
				c.options.OnMove(m)
			}
		}
	}
	return errs
}

// readState builds the snapshot on which the policy decides.
func (c *Controller) readState(ctx context.Context, snapshot *config.Snapshot, fleetLoad load.Fleet) (capacity.Snapshot, error) {
	listing, err := c.options.VMList.List(ctx)
	if err != nil {
		return capacity.Snapshot{}, fmt.Errorf("list VMs: %w", err)
	}
	assignments, err := c.options.Ledger.Assignments(ctx)
	if err != nil {
		return capacity.Snapshot{}, fmt.Errorf("read assignments: %w", err)
	}
	state := capacity.Snapshot{Now: c.options.Clock.Now()}
	for _, p := range snapshot.Pools {
		state.Pools = append(state.Pools, capacity.Pool{Name: p.Name, Spare: p.Spare, MaxUnavailable: p.MaxUnavailable, DeclaredVMs: len(p.VMs)})
	}
	slices.SortFunc(state.Pools, func(a, b capacity.Pool) int { return compare(a.Name, b.Name) })
	for _, t := range snapshot.Teams {
		state.Teams = append(state.Teams, t)
	}
	slices.SortFunc(state.Teams, func(a, b fleet.Team) int { return compare(a.Name, b.Name) })
	state.DataCentres = c.trackDataCentres(snapshot, state.Now)
	state.Work = workOf(fleetLoad)
	c.addVMs(&state, snapshot, fleetLoad, listing, assignments)
	c.addOutlooks(&state, snapshot)
	return state, nil
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// trackDataCentres returns the data centres with the time at which this
// controller saw their state change, so that one that is back in service gets
// its work back gradually.
func (c *Controller) trackDataCentres(snapshot *config.Snapshot, now time.Time) []capacity.DataCentre {
	var list []capacity.DataCentre
	for name, dc := range snapshot.DataCentres {
		known, seen := c.dataCentreStates[name]
		if !seen {
			known = capacity.DataCentre{Name: name, State: dc.State}
		}
		if known.State != dc.State {
			known.State, known.Since = dc.State, now
		}
		c.dataCentreStates[name] = known
		list = append(list, known)
	}
	slices.SortFunc(list, func(a, b capacity.DataCentre) int { return compare(a.Name, b.Name) })
	return list
}

func workOf(fleetLoad load.Fleet) []capacity.Work {
	list := make([]capacity.Work, 0, len(fleetLoad.Work))
	for _, w := range fleetLoad.Work {
		list = append(list, capacity.Work{
			Pool: w.Pool, Team: w.Team, Class: w.Class, Running: w.Running, Queued: w.Queued,
			RunTime: w.RunTime, ArrivalsPerSecond: w.ArrivalsPerSecond,
		})
	}
	return list
}

// addVMs adds the assigned VMs and the moves in progress.
func (c *Controller) addVMs(state *capacity.Snapshot, snapshot *config.Snapshot, fleetLoad load.Fleet, listing backing.VMListing, assignments map[fleet.DataCentreName]map[fleet.VMID]pools.Assignment) {
	for _, vm := range listing.VMs {
		a, ok := assignments[vm.DataCentre][vm.ID]
		if !ok {
			continue
		}
		dc := snapshot.DataCentres[vm.DataCentre]
		described := capacity.VM{
			ID: vm.ID, Pool: a.Pool, DataCentre: vm.DataCentre, Rack: vm.Rack, Slots: vm.Slots,
			Available: vm.State == fleet.VMLive && a.State == pools.StateActive && dc.State != fleet.DataCentreOut,
			// Only active VMs may be moved; the others are being moved or are
			// out of service.
			MaintenanceDue: a.State != pools.StateActive,
			LastMoved:      c.movedAt[vm.ID],
		}
		if described.Available {
			addTasks(&described, fleetLoad, state.Now)
		}
		state.VMs = append(state.VMs, described)
		if a.State == pools.StateDraining && a.Target != "" {
			state.Moves = append(state.Moves, capacity.MoveInProgress{VM: vm.ID, From: a.Pool, To: a.Target})
		}
	}
}

// addTasks adds the load of a VM. A VM that no entry reports counts as full for
// an hour, so that it does not seem idle.
func addTasks(vm *capacity.VM, fleetLoad load.Fleet, now time.Time) {
	vmLoad, known := fleetLoad.VMs[vm.ID]
	if !known {
		vm.Running, vm.Remaining = vm.Slots, time.Hour
		return
	}
	vm.Running = vmLoad.Tasks
	vm.Remaining = max(0, vmLoad.EstimatedEnd.Sub(now))
}

// addOutlooks feeds the offered load of each pool to the forecaster and adds
// the forecasts.
func (c *Controller) addOutlooks(state *capacity.Snapshot, snapshot *config.Snapshot) {
	offered := capacity.OfferedSlots(state.Work, capacity.SettingsFor(snapshot.Profile))
	for _, p := range state.Pools {
		c.forecast.Observe(string(p.Name), state.Now, offered[p.Name])
		outlook := c.forecast.Outlook(string(p.Name), state.Now, expectedMoveTime)
		state.Outlooks = append(state.Outlooks, capacity.Outlook{
			Pool: p.Name, ExpectedSlots: outlook.ExpectedLevel, PeakSlots: outlook.PeakLevel, PeakExpected: outlook.InPeak || outlook.PeakImminent, PeakRemaining: outlook.PeakRemaining,
		})
	}
}

// updateWarnings writes the row of warnings if they have changed.
func (c *Controller) updateWarnings(ctx context.Context, snapshot *config.Snapshot, state capacity.Snapshot, fleetLoad load.Fleet) error {
	warnings := c.monitor.Check(headroomOf(snapshot, state, fleetLoad))
	value, err := json.Marshal(warnings)
	if err != nil {
		return fmt.Errorf("encode warnings: %w", err)
	}
	if string(value) == string(c.writtenWarnings) {
		return nil
	}
	conditions, err := c.options.Role.Conditions()
	if err != nil {
		return nil // another session holds the role
	}
	txn := backing.Txn{Conditions: conditions, Writes: []backing.Write{{Key: WarningsKey, Value: value}}}
	if _, err := c.options.Table.Commit(ctx, txn); err != nil {
		return fmt.Errorf("write warnings: %w", err)
	}
	c.writtenWarnings = value
	return nil
}

// Warnings reads the warnings in force. Any entry may call it. Errors: those of
// the table, and of decoding.
func Warnings(ctx context.Context, table backing.Table) ([]headroom.Warning, error) {
	row, err := table.Get(ctx, WarningsKey)
	if err != nil || row.Version == 0 {
		return nil, err
	}
	var list []headroom.Warning
	if err := json.Unmarshal(row.Value, &list); err != nil {
		return nil, fmt.Errorf("decode warnings: %w", err)
	}
	return list, nil
}

// headroomOf returns the input of the headroom monitor. Its failure domains are
// the data centres and racks with available VMs.
func headroomOf(snapshot *config.Snapshot, state capacity.Snapshot, fleetLoad load.Fleet) headroom.Snapshot {
	input := headroom.Snapshot{Now: state.Now}
	for _, d := range fleetLoad.Delays {
		input.Delays = append(input.Delays, headroom.Delay{Team: d.Team, Class: d.Class, P99: d.P99, Samples: d.Samples})
	}
	running, queued := fleetLoad.ByTeam()
	for _, t := range state.Teams {
		input.Teams = append(input.Teams, headroom.TeamDemand{
			Team: t.Name, Share: t.ShareThousandths, Limit: t.Limit, Running: running[t.Name],
			Demand: float64(running[t.Name] + queued[t.Name]),
		})
	}
	serving := map[fleet.PoolName]int{}
	domains := map[string]int{}
	for _, vm := range state.VMs {
		if vm.Available {
			serving[vm.Pool] += vm.Slots
			domains["data centre "+string(vm.DataCentre)] += vm.Slots
			domains["rack "+string(vm.Rack)] += vm.Slots
			input.Slots += vm.Slots
		}
	}
	offered := capacity.OfferedSlots(state.Work, capacity.SettingsFor(snapshot.Profile))
	for _, p := range state.Pools {
		input.Pools = append(input.Pools, headroom.PoolLoad{Pool: p.Name, Slots: serving[p.Name], Load: offered[p.Name]})
		input.Load += offered[p.Name]
	}
	for name, slotCount := range domains {
		input.Domains = append(input.Domains, headroom.Domain{Name: name, Slots: slotCount})
	}
	slices.SortFunc(input.Domains, func(a, b headroom.Domain) int { return compare(a.Name, b.Name) })
	return input
}
