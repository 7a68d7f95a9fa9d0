// Package member keeps the sessions of the entries and the list of members in
// the table service.
//
// A session is a row that is written once and deleted by its end, so that it
// can stand as a condition in any transaction of its holder. The renewals go to
// a second row, whose version the other members watch.
package member

import (
	"fmt"
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// Rows of the table.
const (
	listKey      = "members"
	versionKey   = "members/version" // small, so that polling it is cheap
	sessionBase  = "session/"
	heartbeatKey = "heartbeat/"
)

// ListKey is the key of the member list row, for conditions of other packages.
const ListKey = listKey

// Entry is a member with the list versions that concern it.
type Entry struct {
	Member control.Member `cbor:"1,keyasint"`
	// Joined is the list version that brought the member.
	Joined uint64 `cbor:"2,keyasint"`
	// SettledAt is the list version since which the member may coordinate
	// changes, 0 while it may not.
	SettledAt uint64 `cbor:"3,keyasint,omitempty"`
	// Known is, for a fenced member, the list version of its last renewal.
	Known uint64 `cbor:"4,keyasint,omitempty"`
}

// List is the content of the member list row. It is immutable.
type List struct {
	Version uint64  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"` // ordered by id
	// Fenced holds removed members that did not leave by themselves and whose
	// VM has not been seen as gone. They may still be running out of reach.
	Fenced []Entry `cbor:"3,keyasint,omitempty"`
	// RowVersion is the version of the row, for conditions.
	RowVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// Find returns the entry of a member.
func (l List) Find(id string) (Entry, bool) {
	i := sort.Search(len(l.Entries), func(i int) bool { return l.Entries[i].Member.ID >= id })
	if i < len(l.Entries) && l.Entries[i].Member.ID == id {
		return l.Entries[i], true
	}
	return Entry{}, false
}

// Members returns the list in the form shared with other packages.
func (l List) Members() control.Members {
	members := control.Members{Version: l.Version}
	for _, e := range l.Entries {
		members.List = append(members.List, e.Member)
	}
	return members
}

// Condition requires the row to be the one that this list was read from.
func (l List) Condition() backing.Condition {
	return backing.Condition{Key: listKey, Version: l.RowVersion}
}

// Settled returns the entries that may coordinate changes.
func (l List) Settled() []Entry {
	var settled []Entry
	for _, e := range l.Entries {
		if e.SettledAt > 0 {
			settled = append(settled, e)
		}
	}
	return settled
}

// with returns the next version with the members added. Sessions on the same VM
// as an added one have ended, because a VM runs one entry process.
func (l List) with(added []control.Member) List {
	next := List{Version: l.Version + 1, RowVersion: l.RowVersion}
	next.Entries = append(next.Entries, l.Entries...)
	reused := map[string]bool{}
	for _, m := range added {
		next.Entries = append(next.Entries, Entry{Member: m, Joined: next.Version})
		reused[m.VM] = m.VM != ""
	}
	sort.Slice(next.Entries, func(i, j int) bool { return next.Entries[i].Member.ID < next.Entries[j].Member.ID })
	for _, e := range l.Fenced {
		if !reused[e.Member.VM] {
			next.Fenced = append(next.Fenced, e)
		}
	}
	if len(l.Entries) == 0 && len(next.Fenced) == 0 {
		for i := range next.Entries {
			next.Entries[i].SettledAt = next.Version
		}
	}
	return next
}

// without returns the next version without the members. Those that are fenced
// are remembered until their VM is known to be gone or runs another session;
// known holds the list versions that they had confirmed.
func (l List) without(ids map[string]bool, fenced bool, known map[string]uint64) List {
	next := List{Version: l.Version + 1, RowVersion: l.RowVersion}
	next.Fenced = append(next.Fenced, l.Fenced...)
	used := map[string]bool{}
	for _, e := range l.Entries {
		if !ids[e.Member.ID] {
			next.Entries = append(next.Entries, e)
			used[e.Member.VM] = e.Member.VM != ""
		}
	}
	for _, e := range l.Entries {
		if ids[e.Member.ID] && fenced && !used[e.Member.VM] {
			e.Known = known[e.Member.ID]
			next.Fenced = append(next.Fenced, e)
		}
	}
	return next
}

// settle returns the next version in which the members that may coordinate are
// marked. known holds the list version that each member has confirmed.
//
// An outage agreement on an older list must be impossible once a member that
// the list does not name coordinates a change. It is, when half of the settled
// members, and one in each of their data centres, know of the newer list. Where
// no settled member is left, all members must know of it, and all that were
// fenced must be known to be dead.
func (l List) settle(known map[string]uint64, dead func(vm string) bool) (List, bool) {
	next := List{Version: l.Version + 1, RowVersion: l.RowVersion}
	for _, e := range l.Fenced {
		if !dead(e.Member.VM) {
			next.Fenced = append(next.Fenced, e)
		}
	}
	changed := len(next.Fenced) != len(l.Fenced)
	settled := l.Settled()
	for _, e := range l.Entries {
		if e.SettledAt == 0 && l.mayCoordinate(e, settled, known, len(next.Fenced)) {
			e.SettledAt = next.Version
			changed = true
		}
		next.Entries = append(next.Entries, e)
	}
	return next, changed
}

func (l List) mayCoordinate(e Entry, settled []Entry, known map[string]uint64, unaccounted int) bool {
	if len(settled) == 0 {
		unaware := func(s Entry) bool { return known[s.Member.ID] < e.Joined }
		return unaccounted == 0 && !slices.ContainsFunc(l.Entries, unaware)
	}
	confirmed := 0
	byDC := map[fleet.DataCentreName]bool{}
	for _, s := range settled {
		ok := known[s.Member.ID] >= e.Joined
		byDC[s.Member.DataCentre] = byDC[s.Member.DataCentre] || ok
		if ok {
			confirmed++
		}
	}
	for _, ok := range byDC {
		if !ok {
			return false
		}
	}
	return 2*confirmed >= len(settled)
}

// replaced reports whether a newer session runs on the VM of a member. A VM runs
// one entry process, so the older session has ended.
func (l List) replaced(e Entry) bool {
	return e.Member.VM != "" && slices.ContainsFunc(l.Entries, func(other Entry) bool {
		return other.Member.VM == e.Member.VM && other.Joined > e.Joined
	})
}

// Outvoted reports whether silent members could still reach an outage agreement
// without any of the confirmed ones, should the VMs of all confirmed ones be
// lost. Such an agreement needs more than half of the members that were settled
// in the list version on which it rests; fenced members that may still be
// running count. known holds the list version that each member is known to have
// at least.
func (l List) Outvoted(confirmed map[string]bool, known map[string]uint64) bool {
	voters := append(l.Settled(), l.Fenced...)
	oldest := l.Version
	for _, e := range voters {
		if !confirmed[e.Member.ID] {
			oldest = min(oldest, max(known[e.Member.ID], e.Known, e.Joined))
		}
	}
	if outvotedAt(oldest, voters, confirmed) {
		return true
	}
	for _, e := range voters {
		if e.SettledAt > oldest && outvotedAt(e.SettledAt, voters, confirmed) {
			return true
		}
	}
	return false
}

// outvotedAt applies the rule of Outvoted to the members settled at a version.
func outvotedAt(version uint64, voters []Entry, confirmed map[string]bool) bool {
	all, yes := 0, 0
	for _, e := range voters {
		if e.SettledAt == 0 || e.SettledAt > version {
			continue
		}
		all++
		if confirmed[e.Member.ID] {
			yes++
		}
	}
	return 2*yes < all
}

func decodeList(row backing.Row) (List, error) {
	var list List
	if row.Version == 0 {
		return list, nil
	}
	if err := cbor.Unmarshal(row.Value, &list); err != nil {
		return list, fmt.Errorf("decode member list: %w", err)
	}
	list.RowVersion = row.Version
	return list, nil
}

// writes returns the writes that store the list.
func (l List) writes() ([]backing.Write, error) {
	version, err := cbor.Marshal(l.Version)
	if err != nil {
		return nil, fmt.Errorf("encode member list version: %w", err)
	}
	l.RowVersion = 0
	value, err := cbor.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode member list: %w", err)
	}
	return []backing.Write{{Key: listKey, Value: value}, {Key: versionKey, Value: version}}, nil
}
