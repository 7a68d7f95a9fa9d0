package entry

import (
	"context"
	"errors"
	"sort"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control/apply"
	"amaranthfork.example/control/balance"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/control/upkeep"
	"amaranthfork.example/entry/api"
	"amaranthfork.example/entry/metrics"
	"amaranthfork.example/fleet"
)

// operator implements the requests of operators with the parts of a plane.
type operator struct{ *plane }

var _ api.Operator = (*operator)(nil)

// Folder returns the configuration in force.
func (o *operator) Folder() (fleet.Revision, config.Folder) {
	folder, revision := o.view.Folder()
	return revision, folder
}

// Validate returns the findings of a complete folder.
func (o *operator) Validate(folder config.Folder) []api.Finding {
	_, findings := config.Build(folder, 0)
	return findingList(findings)
}

func findingList(findings config.Findings) []api.Finding {
	list := []api.Finding{}
	for _, f := range findings {
		list = append(list, api.Finding{File: f.File, Line: f.Line, Column: f.Column, Message: f.Message})
	}
	return list
}

// Apply applies a change and waits until it is in force on all entries. Conflicts and
// invalid changes are returned as results. It returns a *fleet.Refusal if the change
// was not committed because the store or the coordinator was not available.
func (o *operator) Apply(ctx context.Context, change config.Change) (api.ApplyResult, error) {
	if findings := change.Check(); len(findings) > 0 {
		return api.ApplyResult{Findings: findingList(findings)}, nil
	}
	result, err := o.applier.Apply(ctx, change)
	var conflict *apply.ConflictError
	var invalid *apply.InvalidError
	switch {
	case errors.As(err, &conflict):
		return api.ApplyResult{Revision: conflict.HeadRevision, Conflict: true, Detail: err.Error()}, nil
	case errors.As(err, &invalid):
		return api.ApplyResult{Findings: o.findingsOf(change, invalid)}, nil
	case errors.Is(err, apply.ErrNoCoordinator), errors.Is(err, apply.ErrStopping), errors.Is(err, backing.ErrUnavailable):
		return api.ApplyResult{}, &fleet.Refusal{Reason: fleet.ReasonStoreUnavailable, Detail: err.Error(), RetryAfter: time.Second}
	case err != nil:
		return api.ApplyResult{}, err
	}
	o.entry.options.Log.Info("change_applied", zap.String("change", change.ID), zap.Uint64("revision", uint64(result.Revision)),
		zap.Bool("in_force", result.Accepted), zap.Duration("took", result.Took), zap.Strings("waiting", result.Waiting))
	if !result.Accepted {
		return api.ApplyResult{Revision: result.Revision, Pending: true, Detail: "committed; not yet confirmed in force everywhere"}, nil
	}
	o.entry.metrics.Observe(metrics.ApplyInForce, "", "", result.Took)
	return api.ApplyResult{Revision: result.Revision, InForceAfter: result.Took}, nil
}

// findingsOf returns the findings of an invalid change with their positions. If the
// change was forwarded to another entry, its error holds the findings only as text,
// so the changed folder is checked here again.
func (o *operator) findingsOf(change config.Change, invalid *apply.InvalidError) []api.Finding {
	var findings config.Findings
	if !errors.As(invalid.Findings, &findings) {
		folder, _ := o.view.Folder()
		_, findings = config.Build(config.Apply(folder, change), 0)
	}
	if len(findings) == 0 {
		return []api.Finding{{Message: invalid.Error()}}
	}
	return findingList(findings)
}

// Status returns the state of the fleet as this entry sees it. While the table service
// cannot be reached, the warnings stored there are replaced by one that says so.
func (o *operator) Status(ctx context.Context) api.Status {
	status := api.Status{
		Revision:       o.view.Revision(),
		Fresh:          o.view.Fresh() == nil,
		StoreReachable: o.view.StoreReachable(),
		Members:        []api.MemberStatus{},
		DataCentres:    o.dataCentres(),
		Warnings:       o.warnings(ctx),
	}
	for _, m := range o.members.Members().List {
		status.Members = append(status.Members, api.MemberStatus{ID: m.ID, DataCentre: m.DataCentre, Address: m.Address})
	}
	return status
}

func (o *operator) warnings(ctx context.Context) []api.Warning {
	list := []api.Warning{}
	if !o.view.StoreReachable() {
		list = append(list, api.Warning{Subject: "platform", Message: "the store cannot be reached from this entry",
			Action: "check the table service; applies, moves and new non-idempotent work wait until it answers"})
	}
	warnings, err := balance.Warnings(ctx, o.entry.table)
	if err != nil {
		return list
	}
	for _, w := range warnings {
		list = append(list, api.Warning{Subject: w.Subject, Message: w.Message, Action: w.Action})
	}
	return list
}

func (o *operator) dataCentres() []api.DataCentreStatus {
	list := []api.DataCentreStatus{}
	snapshot := o.view.Snapshot()
	if snapshot == nil {
		return list
	}
	free, total := map[fleet.DataCentreName]int{}, map[fleet.DataCentreName]int{}
	for pool := range snapshot.Pools {
		for _, c := range o.slots.Capacity(pool) {
			free[c.DataCentre] += c.FreeSlots
			total[c.DataCentre] += c.TotalSlots
		}
	}
	for name, dc := range snapshot.DataCentres {
		list = append(list, api.DataCentreStatus{Name: name, State: dc.State, FreeSlots: free[name], TotalSlots: total[name]})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Pools returns the state of all pools.
func (o *operator) Pools(ctx context.Context) ([]api.PoolStatus, error) {
	assignments, err := o.ledger.Assignments(ctx)
	if err != nil {
		return nil, err
	}
	budgets, _, err := o.ledger.Budgets(ctx)
	if err != nil {
		return nil, err
	}
	sizes := map[fleet.PoolName]int{}
	for _, vms := range assignments {
		for _, a := range vms {
			sizes[a.Pool]++
		}
	}
	list := []api.PoolStatus{}
	for _, pool := range o.snapshotPools() {
		status := api.PoolStatus{Name: pool.Name, Spare: pool.Spare, VMs: sizes[pool.Name],
			Unavailable: len(budgets[pool.Name].VMs), Budget: pool.MaxUnavailable}
		for _, c := range o.slots.Capacity(pool.Name) {
			status.FreeSlots += c.FreeSlots
			status.TotalSlots += c.TotalSlots
		}
		list = append(list, status)
	}
	return list, nil
}

func (p *plane) snapshotPools() []fleet.Pool {
	snapshot := p.view.Snapshot()
	if snapshot == nil {
		return nil
	}
	list := make([]fleet.Pool, 0, len(snapshot.Pools))
	for _, pool := range snapshot.Pools {
		list = append(list, pool)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Teams returns the state of all teams, summed over all entries.
func (o *operator) Teams(ctx context.Context) ([]api.TeamStatus, error) {
	snapshot := o.view.Snapshot()
	if snapshot == nil {
		return nil, errors.New("no configuration known")
	}
	running, queued := o.load.Collect(ctx).ByTeam()
	list := []api.TeamStatus{}
	for name, team := range snapshot.Teams {
		list = append(list, api.TeamStatus{Name: name, ShareThousandths: team.ShareThousandths, Limit: team.Limit, Running: running[name], Queued: queued[name]})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// Drain takes a VM out of service. It returns a *fleet.Refusal if the availability
// budget does not allow it.
func (o *operator) Drain(ctx context.Context, vm fleet.VMID) error {
	return refusalOf(o.upkeep.Drain(ctx, vm, "operator"))
}

// Undrain returns a VM to service.
func (o *operator) Undrain(ctx context.Context, vm fleet.VMID) error {
	return refusalOf(o.upkeep.Undrain(ctx, vm))
}

// refusalOf converts errors after which nothing was changed to refusals and returns
// all other errors unchanged.
func refusalOf(err error) error {
	var budget *pools.BudgetError
	switch {
	case errors.As(err, &budget):
		return &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: err.Error(), RetryAfter: time.Minute}
	case errors.Is(err, pools.ErrUnassigned):
		return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: err.Error()}
	case errors.Is(err, upkeep.ErrBusy), errors.Is(err, pools.ErrContended):
		return &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: err.Error(), RetryAfter: time.Second}
	case errors.Is(err, backing.ErrUnavailable):
		return &fleet.Refusal{Reason: fleet.ReasonStoreUnavailable, Detail: err.Error(), RetryAfter: time.Second}
	}
	return err
}

// Maintenance returns the progress of maintenance.
func (o *operator) Maintenance(ctx context.Context) (api.MaintenanceStatus, error) {
	got, err := o.upkeep.Status(ctx)
	if err != nil {
		return api.MaintenanceStatus{}, err
	}
	status := api.MaintenanceStatus{
		Paused: got.PausedBy != "", Stopped: got.Hold != "" && got.PausedBy == "", Detail: got.Hold,
		Due: got.Remaining, Done: got.Done, Failed: len(got.Failed), ProjectedEnd: got.ProjectedEnd,
		Waiting: got.Waiting, VMs: []api.MaintenanceVM{},
	}
	for _, vm := range got.VMs {
		status.VMs = append(status.VMs, api.MaintenanceVM{VM: vm.ID, Pool: vm.Pool, DataCentre: vm.DataCentre, State: vm.Phase})
	}
	return status, nil
}

// PauseMaintenance pauses maintenance if paused is true and resumes it otherwise.
func (o *operator) PauseMaintenance(ctx context.Context, paused bool) error {
	if paused {
		return refusalOf(o.upkeep.Pause(ctx, "operator", "requested"))
	}
	return refusalOf(o.upkeep.Resume(ctx))
}
