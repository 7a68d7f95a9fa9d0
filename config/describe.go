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

// Difference is one difference between two snapshots. Old and New are readable
// values; both are empty when an object was added or removed or a key withdrawn.
type Difference struct {
	Kind  string `json:"kind"`           // for example team
	Name  string `json:"name,omitempty"` // empty for maintenance and profile
	What  string `json:"what"`           // a field name, or added, removed, withdrawn
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
	Extra string `json:"extra,omitempty"` // names of a list, or the fields of an added object
}

// whatWithdrawn says that a key was withdrawn.
const whatWithdrawn = "withdrawn"

// String returns the difference in words.
func (d Difference) String() string {
	text := d.Kind
	if d.Name != "" {
		text += " " + d.Name
	}
	text += ": " + d.What
	if d.Old != "" || d.New != "" {
		text += fmt.Sprintf(" %s -> %s", d.Old, d.New)
	}
	if d.Extra != "" {
		text += fmt.Sprintf(" (%s)", d.Extra)
	}
	return text
}

// Describe returns the differences between two snapshots, ordered by kind and
// name. A nil snapshot counts as empty. Revisions are not compared.
func Describe(old, new *Snapshot) []Difference {
	if old == nil {
		old = &Snapshot{}
	}
	if new == nil {
		new = &Snapshot{}
	}
	d := &describer{}
	describeObjects(d, "data centre", old.DataCentres, new.DataCentres, describeDataCentre)
	describeObjects(d, "pool", old.Pools, new.Pools, describePool)
	describeObjects(d, "team", old.Teams, new.Teams, describeTeam)
	describeObjects(d, "key", old.Keys, new.Keys, describeKey)
	describeObjects(d, "queue", old.Queues, new.Queues, describeQueue)
	describeObjects(d, "workspace", old.Workspaces, new.Workspaces, describeWorkspace)
	d.kind, d.name = "maintenance", ""
	describeMaintenance(d, old.Maintenance, new.Maintenance)
	d.kind = "profile"
	describeProfile(d, old.Profile, new.Profile)
	return d.list
}

// describer collects differences of the object with the present kind and name.
type describer struct {
	kind, name string
	list       []Difference
}

// add adds a difference without values.
func (d *describer) add(what, extra string) {
	d.list = append(d.list, Difference{Kind: d.kind, Name: d.name, What: what, Extra: extra})
}

// field adds a difference of a field if its values differ.
func (d *describer) field(name, old, new string) {
	if old != new {
		d.list = append(d.list, Difference{Kind: d.kind, Name: d.name, What: name, Old: quoteEmpty(old), New: quoteEmpty(new)})
	}
}

// values returns the new values of all fields, for an object that was added.
func (d *describer) values() string {
	var parts []string
	for _, difference := range d.list {
		switch {
		case difference.Extra != "":
			parts = append(parts, difference.What+" "+strings.TrimPrefix(difference.Extra, "added "))
		case difference.New != "":
			parts = append(parts, difference.What+" "+difference.New)
		case difference.What == whatWithdrawn:
			parts = append(parts, whatWithdrawn)
		}
	}
	return strings.Join(parts, ", ")
}

// quoteEmpty returns a word for an empty value.
func quoteEmpty(value string) string {
	return cmp.Or(value, "none")
}

// describeObjects compares the objects of one kind.
func describeObjects[K ~string, T any](d *describer, kind string, old, new map[K]T, each func(d *describer, old, new T)) {
	names := slices.AppendSeq(slices.Collect(maps.Keys(old)), maps.Keys(new))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		before, existed := old[name]
		after, exists := new[name]
		d.kind, d.name = kind, string(name)
		switch {
		case !existed:
			var empty T
			fields := &describer{}
			each(fields, empty, after)
			d.add("added", fields.values())
		case !exists:
			d.add("removed", "")
		default:
			each(d, before, after)
		}
	}
}

func describeDataCentre(d *describer, old, new fleet.DataCentre) {
	d.field("region", string(old.Region), string(new.Region))
	d.field("state", string(old.State), string(new.State))
}

func describePool(d *describer, old, new fleet.Pool) {
	d.field("spare", strconv.FormatBool(old.Spare), strconv.FormatBool(new.Spare))
	d.field("maxUnavailable", strconv.Itoa(old.MaxUnavailable), strconv.Itoa(new.MaxUnavailable))
	describeSet(d, "VMs", old.VMs, new.VMs)
}

func describeTeam(d *describer, old, new fleet.Team) {
	d.field("share", FormatThousandths(old.Share), FormatThousandths(new.Share))
	d.field("limit", strconv.Itoa(old.Limit), strconv.Itoa(new.Limit))
}

func describeKey(d *describer, old, new fleet.Key) {
	d.field("team", string(old.Team), string(new.Team))
	if old.Salt != new.Salt || old.Hash != new.Hash {
		d.add("secret changed", "")
	}
	switch {
	case new.Withdrawn && !old.Withdrawn:
		d.add(whatWithdrawn, "")
	case old.Withdrawn && !new.Withdrawn:
		d.add("granted again", "")
	}
}

func describeQueue(d *describer, old, new fleet.Queue) {
	d.field("pool", string(old.Pool), string(new.Pool))
	d.field("open", strconv.FormatBool(old.Open), strconv.FormatBool(new.Open))
	d.field("maxQueued", strconv.Itoa(old.MaxQueued), strconv.Itoa(new.MaxQueued))
	describeSet(d, "teams", old.Teams, new.Teams)
}

func describeWorkspace(d *describer, old, new fleet.Workspace) {
	d.field("pool", string(old.Pool), string(new.Pool))
	d.field("open", strconv.FormatBool(old.Open), strconv.FormatBool(new.Open))
	d.field("team", string(old.Team), string(new.Team))
}

func describeMaintenance(d *describer, old, new fleet.MaintenancePlan) {
	d.field("period", FormatDuration(old.Period), FormatDuration(new.Period))
	d.field("drainTimeout", FormatDuration(old.DrainTimeout), FormatDuration(new.DrainTimeout))
	d.field("rebootTimeout", FormatDuration(old.RebootTimeout), FormatDuration(new.RebootTimeout))
	d.field("maxPerRack", strconv.Itoa(old.MaxPerRack), strconv.Itoa(new.MaxPerRack))
	d.field("maxPerDataCentre", strconv.Itoa(old.MaxPerDataCentre), strconv.Itoa(new.MaxPerDataCentre))
	d.field("stopAfterFailures", strconv.Itoa(old.StopAfterFailures), strconv.Itoa(new.StopAfterFailures))
	d.field("paused", strconv.FormatBool(old.Paused), strconv.FormatBool(new.Paused))
	d.field("avoidDataCentresOut", strconv.FormatBool(old.AvoidDataCentresOut), strconv.FormatBool(new.AvoidDataCentresOut))
}

func describeProfile(d *describer, old, new fleet.Profile) {
	d.field("idleWeight", formatWeight(old.IdleWeight), formatWeight(new.IdleWeight))
	d.field("moveWeight", formatWeight(old.MoveWeight), formatWeight(new.MoveWeight))
	d.field("shareWeight", formatWeight(old.ShareWeight), formatWeight(new.ShareWeight))
}

// formatWeight returns a weight with as many digits as it needs.
func formatWeight(weight float64) string {
	return strconv.FormatFloat(weight, 'g', -1, 64)
}

// describeSet adds the names that one list has and the other has not.
func describeSet[T ~string](d *describer, what string, old, new []T) {
	added, removed := missing(new, old), missing(old, new)
	if len(added)+len(removed) == 0 {
		return
	}
	var parts []string
	if len(added) > 0 {
		parts = append(parts, "added "+collapse(added))
	}
	if len(removed) > 0 {
		parts = append(parts, "removed "+collapse(removed))
	}
	d.list = append(d.list, Difference{
		Kind: d.kind, Name: d.name, What: what,
		Old: strconv.Itoa(len(old)), New: strconv.Itoa(len(new)),
		Extra: strings.Join(parts, "; "),
	})
}

// missing returns the sorted names of list that other has not.
func missing[T ~string](list, other []T) []string {
	has := make(map[T]bool, len(other))
	for _, name := range other {
		has[name] = true
	}
	var names []string
	for _, name := range list {
		if !has[name] {
			names = append(names, string(name))
		}
	}
	slices.Sort(names)
	return names
}

// collapse joins sorted names and writes runs of numbered names as ranges.
func collapse(names []string) string {
	var parts []string
	for start := 0; start < len(names); {
		end := start + 1
		for end < len(names) && follows(names[end-1], names[end]) {
			end++
		}
		parts = append(parts, rangeOf(names[start], names[end-1]))
		start = end
	}
	return strings.Join(parts, ", ")
}

// splitNumber splits a name before the digits at its end.
func splitNumber(name string) (prefix, digits string) {
	prefix = strings.TrimRight(name, "0123456789")
	return prefix, name[len(prefix):]
}

// follows reports whether next is the name after name in a range.
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

// rangeOf returns the range from first to last, or the one name.
func rangeOf(first, last string) string {
	if first == last {
		return first
	}
	prefix, low := splitNumber(first)
	_, high := splitNumber(last)
	return fmt.Sprintf("%s[%s-%s]", prefix, low, high)
}
