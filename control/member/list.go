// Package member stores the sessions of the entries and the member list in the
// table service.
//
// A session is a row that is written once and deleted when the session ends, so
// that it can be a condition of any transaction of its holder. Renewals are
// written to a second row, the heartbeat row, whose version the other members
// watch. A member whose heartbeat row stays unchanged for the TTL is fenced:
// another member deletes its session row and removes it from the list.
//
// While the store is unreachable, an outage agreement (package view) extends
// the leases of the members that take part in it. A new member may coordinate
// changes, and so counts in the majorities that such an agreement and an
// accepted change need, once it is settled; see ListEntry.SettledVersion.
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

// Keys and key prefixes of the rows.
const (
	listKey         = "members"
	versionKey      = "members/version" // only the list version; small, so that polling it is cheap
	sessionPrefix   = "session/"
	heartbeatPrefix = "heartbeat/"
)

// ListKey is the key of the member list row, for conditions of other packages'
// transactions.
const ListKey = listKey

// ListEntry is a member in the list, with the list versions that concern it.
type ListEntry struct {
	Member control.Member `cbor:"1,keyasint"`
	// JoinedVersion is the first list version that contains the member.
	JoinedVersion uint64 `cbor:"2,keyasint"`
	// SettledVersion is the list version from which on the member may coordinate
	// changes, 0 while it may not.
	SettledVersion uint64 `cbor:"3,keyasint,omitempty"`
	// KnownVersion is set for a fenced member: the list version in its last
	// renewal.
	KnownVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// List is the value of the member list row. It is immutable.
type List struct {
	Version uint64      `cbor:"1,keyasint"`
	Entries []ListEntry `cbor:"2,keyasint"` // ordered by id
	// Fenced holds members that were removed without leaving by themselves and
	// whose VM is not known to be gone. They may still be running without
	// access to the store.
	Fenced []ListEntry `cbor:"3,keyasint,omitempty"`
	// RowVersion is the table's version of the row, for conditions.
	RowVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// Find returns the entry of a member, and whether the list contains it.
func (l List) Find(id string) (ListEntry, bool) {
	i := sort.Search(len(l.Entries), func(i int) bool { return l.Entries[i].Member.ID >= id })
	if i < len(l.Entries) && l.Entries[i].Member.ID == id {
		return l.Entries[i], true
	}
	return ListEntry{}, false
}

// Members returns the members in the form of package control.
func (l List) Members() control.Members {
	members := control.Members{Version: l.Version}
	for _, e := range l.Entries {
		members.List = append(members.List, e.Member)
	}
	return members
}

// Condition returns the condition that the row has not changed since this list
// was read.
func (l List) Condition() backing.Condition {
	return backing.Condition{Key: listKey, Version: l.RowVersion}
}

// Settled returns the members that may coordinate changes.
func (l List) Settled() []ListEntry {
	var settled []ListEntry
	for _, e := range l.Entries {
		if e.SettledVersion > 0 {
			settled = append(settled, e)
		}
	}
	return settled
}

// with returns the next version of the list with the members added. Fenced
// members on the VM of an added one are dropped: a VM runs one entry process,
// so theirs has ended. If there was no member and there may be no running one,
// the added members are settled at once.
func (l List) with(added []control.Member) List {
	next := List{Version: l.Version + 1, RowVersion: l.RowVersion}
	next.Entries = append(next.Entries, l.Entries...)
	reused := map[string]bool{}
	for _, m := range added {
		next.Entries = append(next.Entries, ListEntry{Member: m, JoinedVersion: next.Version})
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
			next.Entries[i].SettledVersion = next.Version
		}
	}
	return next
}

// without returns the next version of the list without the members. If they are
// fenced, they are kept in Fenced until their VM is known to be gone or runs
// another session. known holds the list versions that they had confirmed.
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
			e.KnownVersion = known[e.Member.ID]
			next.Fenced = append(next.Fenced, e)
		}
	}
	return next
}

// settle returns the next version of the list, in which the members that may
// now coordinate are settled and dead fenced members are dropped, and whether
// it differs. known holds the list version that each member has confirmed.
//
// Once a member coordinates a change, no outage agreement may be possible on an
// older list that does not contain it. That is ensured when half of the settled
// members, and one in each of their data centres, know the newer list. If there
// is no settled member, all members must know it, and all fenced ones must be
// dead.
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
		if e.SettledVersion == 0 && l.mayCoordinate(e, settled, known, len(next.Fenced)) {
			e.SettledVersion = next.Version
			changed = true
		}
		next.Entries = append(next.Entries, e)
	}
	return next, changed
}

// mayCoordinate reports whether a member meets the conditions of settle.
// fencedRunning is the number of fenced members that may still be running.
func (l List) mayCoordinate(e ListEntry, settled []ListEntry, known map[string]uint64, fencedRunning int) bool {
	if len(settled) == 0 {
		unaware := func(s ListEntry) bool { return known[s.Member.ID] < e.JoinedVersion }
		return fencedRunning == 0 && !slices.ContainsFunc(l.Entries, unaware)
	}
	confirmed := 0
	byDC := map[fleet.DataCentreName]bool{}
	for _, s := range settled {
		ok := known[s.Member.ID] >= e.JoinedVersion
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

// replaced reports whether a newer session runs on the VM of a member. As a VM
// runs one entry process, the older session has ended then.
func (l List) replaced(e ListEntry) bool {
	return e.Member.VM != "" && slices.ContainsFunc(l.Entries, func(other ListEntry) bool {
		return other.Member.VM == e.Member.VM && other.JoinedVersion > e.JoinedVersion
	})
}

// SilentCanAgree reports whether the members that have not confirmed a change,
// here called silent, could reach an outage agreement without any of the
// confirmed ones if the VMs of all confirmed ones were lost. An agreement needs
// more than half of the members that were settled in the list version that it
// is based on; fenced members that may still be running count. known holds for
// each member a list version that it has at least.
func (l List) SilentCanAgree(confirmed map[string]bool, known map[string]uint64) bool {
	voters := append(l.Settled(), l.Fenced...)
	oldest := l.Version
	for _, e := range voters {
		if !confirmed[e.Member.ID] {
			oldest = min(oldest, max(known[e.Member.ID], e.KnownVersion, e.JoinedVersion))
		}
	}
	if silentMajorityAt(oldest, voters, confirmed) {
		return true
	}
	for _, e := range voters {
		if e.SettledVersion > oldest && silentMajorityAt(e.SettledVersion, voters, confirmed) {
			return true
		}
	}
	return false
}

// silentMajorityAt reports whether more than half of the members that were
// settled at a list version have not confirmed.
func silentMajorityAt(version uint64, voters []ListEntry, confirmed map[string]bool) bool {
	all, confirming := 0, 0
	for _, e := range voters {
		if e.SettledVersion == 0 || e.SettledVersion > version {
			continue
		}
		all++
		if confirmed[e.Member.ID] {
			confirming++
		}
	}
	return 2*confirming < all
}

// decodeList returns the list in a row; a row that does not exist is an empty
// list.
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

// encode returns the writes that store the list and its version.
func (l List) encode() ([]backing.Write, error) {
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
