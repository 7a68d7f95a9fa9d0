package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"amaranthfork.example/fleet"
)

// Difference is one difference between two snapshots. Old and New are values of a
// field as text; both are empty when Change is not a field name.
type Difference struct {
	Kind   string `json:"kind"`           // one object of the kind, for example team or data centre
	Name   string `json:"name,omitempty"` // empty for maintenance and profile
	Change string `json:"what"`           // a field name, or added, removed, secret changed, withdrawn or granted again
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Extra  string `json:"extra,omitempty"` // names added to and removed from a list, or the fields of an added object
}

// changeWithdrawn is the Change of a key that was withdrawn.
const changeWithdrawn = "withdrawn"

// String returns the difference as one line, such as
// "team booking: limit 10 -> 20".
func (d Difference) String() string {
	text := d.Kind
	if d.Name != "" {
		text += " " + d.Name
	}
	text += ": " + d.Change
	if d.Old != "" || d.New != "" {
		text += fmt.Sprintf(" %s -> %s", d.Old, d.New)
	}
	if d.Extra != "" {
		text += fmt.Sprintf(" (%s)", d.Extra)
	}
	return text
}

// Compare returns the differences between two snapshots, ordered by kind and
// name. A nil snapshot counts as empty. Revisions are not compared.
func Compare(old, new *Snapshot) []Difference {
	if old == nil {
		old = &Snapshot{}
	}
	if new == nil {
		new = &Snapshot{}
	}
	c := &comparison{}
	compareObjects(c, "data centre", old.DataCentres, new.DataCentres, compareDataCentre)
	compareObjects(c, "pool", old.Pools, new.Pools, comparePool)
	compareObjects(c, "team", old.Teams, new.Teams, compareTeam)
	compareObjects(c, "key", old.Keys, new.Keys, compareKey)
	compareObjects(c, "queue", old.Queues, new.Queues, compareQueue)
	compareObjects(c, "workspace", old.Workspaces, new.Workspaces, compareWorkspace)
	c.kind, c.name = "maintenance", ""
	compareMaintenance(c, old.Maintenance, new.Maintenance)
	c.kind = "profile"
	compareProfile(c, old.Profile, new.Profile)
	return c.differences
}

// comparison collects differences. kind and name are those of the object that is
// being compared.
type comparison struct {
	kind, name  string
	differences []Difference
}

// add adds a difference that has no old and new value.
func (c *comparison) add(change, extra string) {
	c.differences = append(c.differences, Difference{Kind: c.kind, Name: c.name, Change: change, Extra: extra})
}

// compareField adds a difference of a field if its values differ.
func (c *comparison) compareField(name, old, new string) {
	if old != new {
		c.differences = append(c.differences, Difference{Kind: c.kind, Name: c.name, Change: name, Old: orNone(old), New: orNone(new)})
	}
}

// addedValues returns the collected differences as the fields of an object that was
// added.
func (c *comparison) addedValues() string {
	var parts []string
	for _, difference := range c.differences {
		switch {
		case difference.Extra != "":
			parts = append(parts, difference.Change+" "+strings.TrimPrefix(difference.Extra, "added "))
		case difference.New != "":
			parts = append(parts, difference.Change+" "+difference.New)
		case difference.Change == changeWithdrawn:
			parts = append(parts, changeWithdrawn)
		}
	}
	return strings.Join(parts, ", ")
}

// orNone returns the value, or the word none if it is empty.
func orNone(value string) string {
	return cmp.Or(value, "none")
}

// compareObjects compares the objects of one kind. compare compares the fields of
// two objects of the same name; a new object is compared with an empty one.
func compareObjects[K ~string, T any](c *comparison, kind string, old, new map[K]T, compare func(c *comparison, old, new T)) {
	names := slices.AppendSeq(slices.Collect(maps.Keys(old)), maps.Keys(new))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		before, existed := old[name]
		after, exists := new[name]
		c.kind, c.name = kind, string(name)
		switch {
		case !existed:
			var empty T
			fields := &comparison{}
			compare(fields, empty, after)
			c.add("added", fields.addedValues())
		case !exists:
			c.add("removed", "")
		default:
			compare(c, before, after)
		}
	}
}

func compareDataCentre(c *comparison, old, new fleet.DataCentre) {
	c.compareField("region", string(old.Region), string(new.Region))
	c.compareField("state", string(old.State), string(new.State))
}

func comparePool(c *comparison, old, new fleet.Pool) {
	c.compareField("spare", strconv.FormatBool(old.Spare), strconv.FormatBool(new.Spare))
	c.compareField("maxUnavailable", strconv.Itoa(old.MaxUnavailable), strconv.Itoa(new.MaxUnavailable))
	compareSet(c, "VMs", old.VMs, new.VMs)
}

func compareTeam(c *comparison, old, new fleet.Team) {
	c.compareField("share", FormatThousandths(old.ShareThousandths), FormatThousandths(new.ShareThousandths))
	c.compareField("limit", strconv.Itoa(old.Limit), strconv.Itoa(new.Limit))
}

func compareKey(c *comparison, old, new fleet.Key) {
	c.compareField("team", string(old.Team), string(new.Team))
	if old.Salt != new.Salt || old.Hash != new.Hash {
		c.add("secret changed", "")
	}
	switch {
	case new.Withdrawn && !old.Withdrawn:
		c.add(changeWithdrawn, "")
	case old.Withdrawn && !new.Withdrawn:
		c.add("granted again", "")
	}
}

func compareQueue(c *comparison, old, new fleet.Queue) {
	c.compareField("pool", string(old.Pool), string(new.Pool))
	c.compareField("open", strconv.FormatBool(old.Open), strconv.FormatBool(new.Open))
	c.compareField("maxQueued", strconv.Itoa(old.MaxQueued), strconv.Itoa(new.MaxQueued))
	compareSet(c, "teams", old.Teams, new.Teams)
}

func compareWorkspace(c *comparison, old, new fleet.Workspace) {
	c.compareField("pool", string(old.Pool), string(new.Pool))
	c.compareField("open", strconv.FormatBool(old.Open), strconv.FormatBool(new.Open))
	c.compareField("team", string(old.Team), string(new.Team))
}

func compareMaintenance(c *comparison, old, new fleet.MaintenancePlan) {
	c.compareField("period", FormatDuration(old.Period), FormatDuration(new.Period))
	c.compareField("drainTimeout", FormatDuration(old.DrainTimeout), FormatDuration(new.DrainTimeout))
	c.compareField("rebootTimeout", FormatDuration(old.RebootTimeout), FormatDuration(new.RebootTimeout))
	c.compareField("maxPerRack", strconv.Itoa(old.MaxPerRack), strconv.Itoa(new.MaxPerRack))
	c.compareField("maxPerDataCentre", strconv.Itoa(old.MaxPerDataCentre), strconv.Itoa(new.MaxPerDataCentre))
	c.compareField("stopAfterFailures", strconv.Itoa(old.StopAfterFailures), strconv.Itoa(new.StopAfterFailures))
	c.compareField("paused", strconv.FormatBool(old.Paused), strconv.FormatBool(new.Paused))
	c.compareField("avoidDataCentresOut", strconv.FormatBool(old.AvoidDataCentresOut), strconv.FormatBool(new.AvoidDataCentresOut))
}

func compareProfile(c *comparison, old, new fleet.Profile) {
	c.compareField("idleWeight", formatWeight(old.IdleWeight), formatWeight(new.IdleWeight))
	c.compareField("moveWeight", formatWeight(old.MoveWeight), formatWeight(new.MoveWeight))
	c.compareField("shareWeight", formatWeight(old.ShareWeight), formatWeight(new.ShareWeight))
}

// formatWeight returns a weight with the fewest digits that represent it exactly.
func formatWeight(weight float64) string {
	return strconv.FormatFloat(weight, 'g', -1, 64)
}

// compareSet adds a difference of a list field if the lists do not have the same
// names, in any order.
func compareSet[T ~string](c *comparison, fieldName string, old, new []T) {
	added, removed := namesOnlyIn(new, old), namesOnlyIn(old, new)
	if len(added)+len(removed) == 0 {
		return
	}
	var parts []string
	if len(added) > 0 {
		parts = append(parts, "added "+joinAsRanges(added))
	}
	if len(removed) > 0 {
		parts = append(parts, "removed "+joinAsRanges(removed))
	}
	c.differences = append(c.differences, Difference{
		Kind: c.kind, Name: c.name, Change: fieldName,
		Old: strconv.Itoa(len(old)), New: strconv.Itoa(len(new)),
		Extra: strings.Join(parts, "; "),
	})
}

// namesOnlyIn returns the names of list that other does not have, sorted.
func namesOnlyIn[T ~string](list, other []T) []string {
	inOther := make(map[T]bool, len(other))
	for _, name := range other {
		inOther[name] = true
	}
	var names []string
	for _, name := range list {
		if !inOther[name] {
			names = append(names, string(name))
		}
	}
	slices.Sort(names)
	return names
}

// joinAsRanges joins sorted names by commas. It writes names with consecutive
// numbers as a range in the form that ExpandVMs reads.
func joinAsRanges(names []string) string {
	var parts []string
	for start := 0; start < len(names); {
		end := start + 1
		for end < len(names) && follows(names[end-1], names[end]) {
			end++
		}
		parts = append(parts, formatRange(names[start], names[end-1]))
		start = end
	}
	return strings.Join(parts, ", ")
}

// splitNumber splits a name into the digits at its end and the prefix before them.
func splitNumber(name string) (prefix, digits string) {
	prefix = strings.TrimRight(name, "0123456789")
	return prefix, name[len(prefix):]
}

// follows reports whether next can be the name after name in a range: both have the
// same prefix, the same number of digits, and consecutive numbers.
func follows(name, next string) bool {
	prefix, digits := splitNumber(name)
	nextPrefix, nextDigits := splitNumber(next)
	if prefix != nextPrefix || len(digits) != len(nextDigits) {
		return false
	}
	number, err := parseCount(digits)
	if err != nil {
		return false
	}
	following, err := parseCount(nextDigits)
	return err == nil && following == number+1
}

// formatRange returns the range from first to last, such as w-[001-012], or the one
// name if they are the same.
func formatRange(first, last string) string {
	if first == last {
		return first
	}
	prefix, low := splitNumber(first)
	_, high := splitNumber(last)
	return fmt.Sprintf("%s[%s-%s]", prefix, low, high)
}
