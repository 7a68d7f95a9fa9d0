package config

import (
	"strconv"

	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/compare"
)

// Compare returns the differences between two snapshots, ordered by kind and
// name. A nil snapshot counts as empty. Revisions are not compared.
func Compare(old, new *Snapshot) []compare.Difference {
	if old == nil {
		old = &Snapshot{}
	}
	if new == nil {
		new = &Snapshot{}
	}
	c := &compare.Comparison{}
	compare.Objects(c, "data centre", old.DataCentres, new.DataCentres, compareDataCentre)
	compare.Objects(c, "pool", old.Pools, new.Pools, comparePool)
	compare.Objects(c, "team", old.Teams, new.Teams, compareTeam)
	compare.Objects(c, "key", old.Keys, new.Keys, compareKey)
	compare.Objects(c, "queue", old.Queues, new.Queues, compareQueue)
	compare.Objects(c, "workspace", old.Workspaces, new.Workspaces, compareWorkspace)
	c.Select("maintenance", "")
	compareMaintenance(c, old.Maintenance, new.Maintenance)
	c.Select("profile", "")
	compareProfile(c, old.Profile, new.Profile)
	return c.Differences
}

func compareDataCentre(c *compare.Comparison, old, new fleet.DataCentre) {
	c.Field("region", string(old.Region), string(new.Region))
	c.Field("state", string(old.State), string(new.State))
}

func comparePool(c *compare.Comparison, old, new fleet.Pool) {
	c.Field("spare", strconv.FormatBool(old.Spare), strconv.FormatBool(new.Spare))
	c.Field("maxUnavailable", strconv.Itoa(old.MaxUnavailable), strconv.Itoa(new.MaxUnavailable))
	compare.Set(c, "VMs", old.VMs, new.VMs)
}

func compareTeam(c *compare.Comparison, old, new fleet.Team) {
	c.Field("share", FormatThousandths(old.ShareThousandths), FormatThousandths(new.ShareThousandths))
	c.Field("limit", strconv.Itoa(old.Limit), strconv.Itoa(new.Limit))
}

func compareKey(c *compare.Comparison, old, new fleet.Key) {
	c.Field("team", string(old.Team), string(new.Team))
	if old.Salt != new.Salt || old.Hash != new.Hash {
		c.Event("secret changed")
	}
	switch {
	case new.Withdrawn && !old.Withdrawn:
		c.State("withdrawn")
	case old.Withdrawn && !new.Withdrawn:
		c.Event("granted again")
	}
}

func compareQueue(c *compare.Comparison, old, new fleet.Queue) {
	c.Field("pool", string(old.Pool), string(new.Pool))
	c.Field("open", strconv.FormatBool(old.Open), strconv.FormatBool(new.Open))
	c.Field("maxQueued", strconv.Itoa(old.MaxQueued), strconv.Itoa(new.MaxQueued))
	compare.Set(c, "teams", old.Teams, new.Teams)
}

func compareWorkspace(c *compare.Comparison, old, new fleet.Workspace) {
	c.Field("pool", string(old.Pool), string(new.Pool))
	c.Field("open", strconv.FormatBool(old.Open), strconv.FormatBool(new.Open))
	c.Field("team", string(old.Team), string(new.Team))
}

func compareMaintenance(c *compare.Comparison, old, new fleet.MaintenancePlan) {
	c.Field("period", FormatDuration(old.Period), FormatDuration(new.Period))
	c.Field("drainTimeout", FormatDuration(old.DrainTimeout), FormatDuration(new.DrainTimeout))
	c.Field("rebootTimeout", FormatDuration(old.RebootTimeout), FormatDuration(new.RebootTimeout))
	c.Field("maxPerRack", strconv.Itoa(old.MaxPerRack), strconv.Itoa(new.MaxPerRack))
	c.Field("maxPerDataCentre", strconv.Itoa(old.MaxPerDataCentre), strconv.Itoa(new.MaxPerDataCentre))
	c.Field("stopAfterFailures", strconv.Itoa(old.StopAfterFailures), strconv.Itoa(new.StopAfterFailures))
	c.Field("paused", strconv.FormatBool(old.Paused), strconv.FormatBool(new.Paused))
	c.Field("avoidDataCentresOut", strconv.FormatBool(old.AvoidDataCentresOut), strconv.FormatBool(new.AvoidDataCentresOut))
}

func compareProfile(c *compare.Comparison, old, new fleet.Profile) {
	c.Field("idleWeight", formatWeight(old.IdleWeight), formatWeight(new.IdleWeight))
	c.Field("moveWeight", formatWeight(old.MoveWeight), formatWeight(new.MoveWeight))
	c.Field("shareWeight", formatWeight(old.ShareWeight), formatWeight(new.ShareWeight))
}

// formatWeight returns a weight with the fewest digits that represent it exactly.
func formatWeight(weight float64) string {
	return strconv.FormatFloat(weight, 'g', -1, 64)
}
