// Package compare lists the differences between two versions of a configuration, object
// by object and field by field.
package compare

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Difference is one difference between two versions. Old and New are values of a
// field as text; both are empty when Change is not a field name.
type Difference struct {
	Kind   string `json:"kind"`           // one object of the kind, for example team or data centre
	Name   string `json:"name,omitempty"` // empty for a kind with a single object
	Change string `json:"what"`           // a field name, or added, removed, or another event such as withdrawn
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Extra  string `json:"extra,omitempty"` // names added to and removed from a list, or the fields of an added object

	state bool // Change is a state, which also describes an object that was added
}

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

// Comparison collects differences. Select chooses the object that is compared.
type Comparison struct {
	Differences []Difference

	kind, name string
}

// Select sets the kind and the name of the object that the following differences are
// about. The name is empty for a kind with a single object.
func (c *Comparison) Select(kind, name string) { c.kind, c.name = kind, name }

// Event adds a difference that has no old and new value and is not a state, such as
// secret changed.
func (c *Comparison) Event(change string) { c.add(Difference{Change: change}) }

// State adds a difference that names the object's new state, such as withdrawn.
func (c *Comparison) State(change string) { c.add(Difference{Change: change, state: true}) }

// add adds a difference of the selected object.
func (c *Comparison) add(d Difference) {
	d.Kind, d.Name = c.kind, c.name
	c.Differences = append(c.Differences, d)
}

// Field adds a difference of a field if its values differ.
func (c *Comparison) Field(name, old, new string) {
	if old != new {
		c.add(Difference{Change: name, Old: orNone(old), New: orNone(new)})
	}
}

// addedValues returns the collected differences as the fields of an object that was
// added.
func (c *Comparison) addedValues() string {
	var parts []string
	for _, difference := range c.Differences {
		switch {
		case difference.Extra != "":
			parts = append(parts, difference.Change+" "+strings.TrimPrefix(difference.Extra, "added "))
		case difference.New != "":
			parts = append(parts, difference.Change+" "+difference.New)
		case difference.state:
			parts = append(parts, difference.Change)
		}
	}
	return strings.Join(parts, ", ")
}

// orNone returns the value, or the word none if it is empty.
func orNone(value string) string {
	return cmp.Or(value, "none")
}

// Objects compares the objects of one kind. compare compares the fields of
// two objects of the same name; a new object is compared with an empty one.
func Objects[K ~string, T any](c *Comparison, kind string, old, new map[K]T, compare func(c *Comparison, old, new T)) {
	names := slices.AppendSeq(slices.Collect(maps.Keys(old)), maps.Keys(new))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		before, existed := old[name]
		after, exists := new[name]
		c.Select(kind, string(name))
		switch {
		case !existed:
			var empty T
			fields := &Comparison{}
			compare(fields, empty, after)
			c.add(Difference{Change: "added", Extra: fields.addedValues()})
		case !exists:
			c.add(Difference{Change: "removed"})
		default:
			compare(c, before, after)
		}
	}
}

// Set adds a difference of a list field if the lists do not have the same
// names, in any order.
func Set[T ~string](c *Comparison, fieldName string, old, new []T) {
	added, removed := namesOnlyIn(new, old), namesOnlyIn(old, new)
	if len(added)+len(removed) == 0 {
		return
	}
	var parts []string
	if len(added) > 0 {
		parts = append(parts, "added "+JoinRanges(added))
	}
	if len(removed) > 0 {
		parts = append(parts, "removed "+JoinRanges(removed))
	}
	c.addList(fieldName, len(old), len(new), parts)
}

// Secrets adds a difference of a list of secrets if the lists differ, in any order. It
// tells how many were added and removed, and not which.
func Secrets(c *Comparison, fieldName string, old, new []string) {
	added, removed := len(namesOnlyIn(new, old)), len(namesOnlyIn(old, new))
	if added+removed == 0 {
		return
	}
	var parts []string
	if added > 0 {
		parts = append(parts, fmt.Sprintf("added %d", added))
	}
	if removed > 0 {
		parts = append(parts, fmt.Sprintf("removed %d", removed))
	}
	c.addList(fieldName, len(old), len(new), parts)
}

// addList adds a difference of a list field, given the lengths of the lists and what was
// added and removed.
func (c *Comparison) addList(fieldName string, old, new int, parts []string) {
	c.add(Difference{Change: fieldName, Old: strconv.Itoa(old), New: strconv.Itoa(new), Extra: strings.Join(parts, "; ")})
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

// JoinRanges joins sorted names by commas. It writes names with consecutive
// numbers as a range, such as w-[001-012].
func JoinRanges(names []string) string {
	var parts []string
	for start := 0; start < len(names); {
		end := start + 1
		for end < len(names) && follows(names[end-1], names[end]) {
			end++
		}
		parts = append(parts, FormatRange(names[start], names[end-1]))
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
	number, err := strconv.Atoi(digits)
	if err != nil {
		return false
	}
	following, err := strconv.Atoi(nextDigits)
	return err == nil && following == number+1
}

// FormatRange returns the range from first to last, such as w-[001-012], or the one
// name if they are the same.
func FormatRange(first, last string) string {
	if first == last {
		return first
	}
	prefix, low := splitNumber(first)
	_, high := splitNumber(last)
	return fmt.Sprintf("%s[%s-%s]", prefix, low, high)
}
