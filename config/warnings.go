package config

import (
	"amaranthfork.example/fleet"
)

// Check merges and checks a folder. It returns either findings, or a snapshot with warnings
// about declarations that have no effect or contradict each other. A faulty folder has no
// warnings: what the fault hides would seem to be missing.
func Check(folder Folder) (snapshot *Snapshot, findings, warnings Findings) {
	a, findings := NewBuilder(folder).assemble(0)
	if len(findings) > 0 {
		return nil, findings, nil
	}
	return a.snapshot, nil, a.warnings()
}

// warnings returns the warnings about the objects.
func (a *assembler) warnings() Findings {
	w := &warner{assembler: a}
	w.warnKeys()
	w.warnPools()
	w.warnDataCentres()
	w.warnMaintenance()
	return w.list.sorted()
}

// warner collects warnings.
type warner struct {
	*assembler
	list Findings
}

func (w *warner) warn(at position, format string, args ...any) {
	w.list = append(w.list, at.finding(format, args...))
}

// warnKeys reports teams without a key in force, and the queues and workspaces that
// nobody can use for this reason.
func (w *warner) warnKeys() {
	usable := map[fleet.TeamName]bool{}
	for _, key := range w.snapshot.Keys {
		if !key.Withdrawn {
			usable[key.Team] = true
		}
	}
	for _, o := range w.sorted(kindTeam) {
		if !usable[fleet.TeamName(o.name)] {
			w.warn(o.at, "%s has no key in force: none of its requests is accepted", o.kind.describe(o.name))
		}
	}
	for _, o := range w.sorted(kindQueue) {
		queue := w.snapshot.Queues[fleet.QueueName(o.name)]
		reachable := queue.Open || len(queue.Teams) == 0
		for _, team := range queue.Teams {
			reachable = reachable || usable[team]
		}
		if !reachable {
			w.warn(o.at, "%s can never be used: none of its teams has a key in force", o.kind.describe(o.name))
		}
	}
	for _, o := range w.sorted(kindWorkspace) {
		workspace := w.snapshot.Workspaces[fleet.WorkspaceName(o.name)]
		if !workspace.Open && workspace.Team != "" && !usable[workspace.Team] {
			w.warn(o.at, "%s can never be used: its team has no key in force", o.kind.describe(o.name))
		}
	}
}

// warnPools reports pools that no queue or workspace uses, and spare pools that one uses.
func (w *warner) warnPools() {
	used := map[fleet.PoolName]bool{}
	for _, queue := range w.snapshot.Queues {
		used[queue.Pool] = true
	}
	for _, workspace := range w.snapshot.Workspaces {
		used[workspace.Pool] = true
	}
	for _, o := range w.sorted(kindPool) {
		pool := w.snapshot.Pools[fleet.PoolName(o.name)]
		switch {
		case pool.Spare && used[pool.Name]:
			w.warn(o.at, "%s is spare, and a queue or workspace uses it: its VMs may be moved away", o.kind.describe(o.name))
		case !pool.Spare && !used[pool.Name]:
			w.warn(o.at, "no queue or workspace uses %s", o.kind.describe(o.name))
		}
	}
}

// warnDataCentres reports a folder in which all data centres are out.
func (w *warner) warnDataCentres() {
	objects := w.sorted(kindDataCentre)
	for _, o := range objects {
		if w.snapshot.DataCentres[fleet.DataCentreName(o.name)].State != fleet.DataCentreOut {
			return
		}
	}
	if len(objects) > 0 {
		w.warn(objects[0].at, "all data centres are out: no task starts")
	}
}

// warnMaintenance reports limits of maintenance of which one can never be reached.
func (w *warner) warnMaintenance() {
	o := w.singleton(kindMaintenance)
	plan := w.snapshot.Maintenance
	if plan.MaxPerRack > plan.MaxPerDataCentre {
		at := o.at
		if f, given := o.field("maxPerRack"); given {
			at = f.at
		} else if f, given := o.field("maxPerDataCentre"); given {
			at = f.at
		}
		w.warn(at, "maxPerRack %d can never be reached: maxPerDataCentre is %d", plan.MaxPerRack, plan.MaxPerDataCentre)
	}
}
