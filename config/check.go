package config

import (
	"time"

	"amaranthfork.example/fleet"
)

// Defaults of the fields that a folder may leave out.
const (
	defaultMaxQueued         = 1000 // jobs for each team and class
	defaultMaintenancePeriod = 14 * 24 * time.Hour
	defaultDrainTimeout      = 20 * time.Minute
	defaultRebootTimeout     = 10 * time.Minute
	defaultMaxPerRack        = 1 // VMs unavailable at a time
	defaultMaxPerDataCentre  = 2 // VMs unavailable at a time
	defaultStopAfterFailures = 2 // failed VMs of a maintenance wave
	defaultProfileWeight     = 1.0
)

// assembler builds a snapshot from merged objects and checks them against each
// other. Its build methods fill one part of the snapshot each and report the
// faults that they find there.
type assembler struct {
	*objectSet
	snapshot *Snapshot
}

// assemble returns the assembler of merged objects, with its snapshot and the findings of
// the merge and of all checks across objects.
func assemble(m *objectSet, revision fleet.Revision) *assembler {
	a := &assembler{objectSet: m, snapshot: &Snapshot{Revision: revision}}
	a.checkRequired()
	a.buildDataCentres()
	a.buildPools()
	a.buildTeams()
	a.buildKeys()
	a.buildQueues()
	a.buildWorkspaces()
	a.buildMaintenance()
	a.buildProfile()
	a.checkShares()
	return a
}

// report adds a finding at a position.
func (a *assembler) report(at position, format string, args ...any) {
	a.findings = append(a.findings, at.finding(format, args...))
}

// reference returns the name in a field, empty if the field has none. It reports
// the name if no object of the target kind has it.
func (a *assembler) reference(o *object, fieldName string, target *kind) string {
	ref, ok := value[nameRef](o, fieldName)
	if ok {
		a.checkReference(ref, target)
	}
	return ref.name
}

// checkReference reports a name that no object of the target kind has.
func (a *assembler) checkReference(ref nameRef, target *kind) {
	if _, exists := a.objects[target][ref.name]; !exists {
		a.report(ref.at, "there is no %s", target.describe(ref.name))
	}
}

func (a *assembler) buildDataCentres() {
	objects := a.sorted(kindDataCentre)
	a.snapshot.DataCentres = make(map[fleet.DataCentreName]fleet.DataCentre, len(objects))
	if len(objects) == 0 {
		a.report(position{}, "the folder declares no data centre")
	}
	for _, o := range objects {
		region, _ := value[nameRef](o, "region")
		name := fleet.DataCentreName(o.name)
		a.snapshot.DataCentres[name] = fleet.DataCentre{
			Name:   name,
			Region: fleet.RegionName(region.name),
			State:  fleet.DataCentreState(valueOr(o, "state", string(fleet.DataCentreIn))),
		}
	}
}

func (a *assembler) buildPools() {
	objects := a.sorted(kindPool)
	a.snapshot.Pools = make(map[fleet.PoolName]fleet.Pool, len(objects))
	declared := map[fleet.VMID]poolVM{}
	for _, o := range objects {
		refs, _ := value[[]vmRef](o, "vms")
		name := fleet.PoolName(o.name)
		a.checkPoolOverlap(name, refs, declared)
		a.snapshot.Pools[name] = fleet.Pool{
			Name:           name,
			Spare:          valueOr(o, "spare", false),
			VMs:            vmIDs(refs),
			MaxUnavailable: a.budget(o, len(refs)),
		}
	}
}

// poolVM is the first pool that declares a VM, and the position where it does.
type poolVM struct {
	pool fleet.PoolName
	at   position
}

// checkPoolOverlap reports VMs of the pool that are in declared, because another
// pool has them, and adds the others to declared. The finding is at the later of
// the two positions. There is one finding for each pair of positions, so that two
// ranges which overlap are reported once.
func (a *assembler) checkPoolOverlap(pool fleet.PoolName, refs []vmRef, declared map[fleet.VMID]poolVM) {
	type positions struct{ reportAt, otherAt position }
	reported := map[positions]bool{}
	for _, ref := range refs {
		first, exists := declared[ref.id]
		if !exists {
			declared[ref.id] = poolVM{pool, ref.at}
			continue
		}
		reportAt, otherAt, otherPool := ref.at, first.at, first.pool
		if otherAt.after(reportAt) {
			reportAt, otherAt, otherPool = otherAt, reportAt, pool
		}
		if !reported[positions{reportAt, otherAt}] {
			reported[positions{reportAt, otherAt}] = true
			a.report(reportAt, "VM %s is also in pool %s (%s); a VM is in exactly one pool", ref.id, otherPool, otherAt)
		}
	}
}

// vmIDs returns the IDs of the VMs in references.
func vmIDs(refs []vmRef) []fleet.VMID {
	ids := make([]fleet.VMID, len(refs))
	for i, ref := range refs {
		ids[i] = ref.id
	}
	return ids
}

// budget returns the availability budget of a pool with a number of VMs, 0 if it
// is not known. It reports a budget that is larger than the pool.
func (a *assembler) budget(o *object, vms int) int {
	f, _ := o.field("maxUnavailable")
	q, ok := f.value.(quantity)
	if !ok {
		return 0
	}
	budget := q.resolve(vms)
	if _, known := value[[]vmRef](o, "vms"); known && vms > 0 && budget > vms {
		a.report(f.at, "maxUnavailable %d is larger than the %d VMs of %s", budget, vms, o.kind.describe(o.name))
	}
	return budget
}

func (a *assembler) buildTeams() {
	objects := a.sorted(kindTeam)
	a.snapshot.Teams = make(map[fleet.TeamName]fleet.Team, len(objects))
	for _, o := range objects {
		name := fleet.TeamName(o.name)
		a.snapshot.Teams[name] = fleet.Team{
			Name:             name,
			ShareThousandths: valueOr(o, "share", 0),
			Limit:            valueOr(o, "limit", 0),
		}
	}
}

// checkShares reports shares of teams that add up to more than 1000 thousandths, at
// the share that comes last in merge order, and limits that are lower than the
// team's share.
func (a *assembler) checkShares() {
	sum := 0
	var last position
	for _, o := range a.objects[kindTeam] {
		f, _ := o.field("share")
		sum += valueOr(o, "share", 0)
		if f.at.after(last) {
			last = f.at
		}
		a.checkLimit(o)
	}
	if sum > 1000 {
		a.report(last, "the shares of all teams add up to %s, more than 100%%", FormatThousandths(sum))
	}
}

// checkLimit reports a team's limit that is lower than its share of the fleet.
// A VM has at least one slot, so a share of n VMs is at least n tasks.
func (a *assembler) checkLimit(o *object) {
	limit, hasLimit := value[int](o, "limit")
	share, hasShare := value[int](o, "share")
	if !hasLimit || !hasShare {
		return
	}
	tasks := share * a.countVMs() / 1000
	if limit < tasks {
		f, _ := o.field("limit")
		a.report(f.at, "limit %d of %s is lower than its share: %s of %d VMs are at least %d tasks",
			limit, o.kind.describe(o.name), FormatThousandths(share), a.countVMs(), tasks)
	}
}

// countVMs returns the number of VMs in all pools.
func (a *assembler) countVMs() int {
	count := 0
	for _, pool := range a.snapshot.Pools {
		count += len(pool.VMs)
	}
	return count
}

func (a *assembler) buildKeys() {
	objects := a.sorted(kindKey)
	a.snapshot.Keys = make(map[fleet.KeyID]fleet.Key, len(objects))
	for _, o := range objects {
		id := fleet.KeyID(o.name)
		a.snapshot.Keys[id] = fleet.Key{
			ID:        id,
			Team:      fleet.TeamName(a.reference(o, "team", kindTeam)),
			Salt:      valueOr(o, "salt", ""),
			Hash:      valueOr(o, "hash", ""),
			Withdrawn: valueOr(o, "withdrawn", false),
		}
	}
}

func (a *assembler) buildQueues() {
	objects := a.sorted(kindQueue)
	a.snapshot.Queues = make(map[fleet.QueueName]fleet.Queue, len(objects))
	for _, o := range objects {
		name := fleet.QueueName(o.name)
		queue := fleet.Queue{
			Name:      name,
			Pool:      fleet.PoolName(a.reference(o, "pool", kindPool)),
			Open:      valueOr(o, "open", false),
			Teams:     a.teamList(o),
			MaxQueued: valueOr(o, "maxQueued", defaultMaxQueued),
		}
		a.checkAccess(o, "teams", queue.Open, len(queue.Teams) > 0)
		a.snapshot.Queues[name] = queue
	}
}

// teamList returns the teams that may use a queue, and reports those that are not
// declared.
func (a *assembler) teamList(o *object) []fleet.TeamName {
	refs, _ := value[[]nameRef](o, "teams")
	names := make([]fleet.TeamName, len(refs))
	for i, ref := range refs {
		a.checkReference(ref, kindTeam)
		names[i] = fleet.TeamName(ref.name)
	}
	return names
}

// checkAccess reports a queue or workspace that is both open to all and restricted
// to the teams in a field, or neither.
func (a *assembler) checkAccess(o *object, fieldName string, open, restricted bool) {
	f, given := o.field(fieldName)
	faulty := o.fieldsUnknown || given && f.value == nil
	switch {
	case faulty:
		// The fault has a finding of its own.
	case open && restricted:
		a.report(f.at, "%s is open to all and also has %s", o.kind.describe(o.name), fieldName)
	case !open && !restricted:
		a.report(o.at, "%s is neither open nor has %s", o.kind.describe(o.name), fieldName)
	}
}

func (a *assembler) buildWorkspaces() {
	objects := a.sorted(kindWorkspace)
	a.snapshot.Workspaces = make(map[fleet.WorkspaceName]fleet.Workspace, len(objects))
	for _, o := range objects {
		name := fleet.WorkspaceName(o.name)
		workspace := fleet.Workspace{
			Name: name,
			Pool: fleet.PoolName(a.reference(o, "pool", kindPool)),
			Open: valueOr(o, "open", false),
			Team: fleet.TeamName(a.reference(o, "team", kindTeam)),
		}
		a.checkAccess(o, "team", workspace.Open, workspace.Team != "")
		a.snapshot.Workspaces[name] = workspace
	}
}

// singleton returns the object of a kind that has only one, without fields if it is
// not declared.
func (a *assembler) singleton(kind *kind) *object {
	if o, exists := a.objects[kind][""]; exists {
		return o
	}
	return &object{kind: kind}
}

func (a *assembler) buildMaintenance() {
	o := a.singleton(kindMaintenance)
	a.snapshot.Maintenance = fleet.MaintenancePlan{
		Period:              valueOr(o, "period", defaultMaintenancePeriod),
		DrainTimeout:        valueOr(o, "drainTimeout", defaultDrainTimeout),
		RebootTimeout:       valueOr(o, "rebootTimeout", defaultRebootTimeout),
		MaxPerRack:          valueOr(o, "maxPerRack", defaultMaxPerRack),
		MaxPerDataCentre:    valueOr(o, "maxPerDataCentre", defaultMaxPerDataCentre),
		StopAfterFailures:   valueOr(o, "stopAfterFailures", defaultStopAfterFailures),
		Paused:              valueOr(o, "paused", false),
		AvoidDataCentresOut: valueOr(o, "avoidDataCentresOut", true),
	}
	plan := a.snapshot.Maintenance
	if plan.DrainTimeout+plan.RebootTimeout >= plan.Period {
		a.report(o.at, "drainTimeout and rebootTimeout together are not shorter than the period %s", FormatDuration(plan.Period))
	}
}

func (a *assembler) buildProfile() {
	o := a.singleton(kindProfile)
	a.snapshot.Profile = fleet.Profile{
		IdleWeight:  valueOr(o, "idleWeight", defaultProfileWeight),
		MoveWeight:  valueOr(o, "moveWeight", defaultProfileWeight),
		ShareWeight: valueOr(o, "shareWeight", defaultProfileWeight),
	}
}
