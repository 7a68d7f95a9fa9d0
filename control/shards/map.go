// Package shards maintains the map of job shards to the entries that own them.
// The map is stored in the table row `shards`.
//
// A shard has one owner. While the owner is a member, only the owner itself
// hands the shard over; when its session has left the member list, the shard is
// reassigned at once. The sources of a shard are the sessions whose journals and
// checkpoints the owner has not yet copied into its own.
package shards

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/sharding"
)

// Key is the key of the table row with the map.
const Key = "shards"

// DefaultCount is the number of shards of a new map unless Options.Count is set.
const DefaultCount = 64

// Assignment is the ownership of one shard.
type Assignment struct {
	Owner   string   `cbor:"1,keyasint"`           // member id
	Next    string   `cbor:"2,keyasint,omitempty"` // member that the owner hands over to
	Sources []string `cbor:"3,keyasint,omitempty"` // sessions with state that the owner still has to copy
}

// Map is one version of the shard map.
type Map struct {
	Members     uint64       `cbor:"1,keyasint"` // version of the member list that it was made from
	Assignments []Assignment `cbor:"2,keyasint"`
}

// Of returns the shard of a job, from 0 to count-1.
func Of(id fleet.JobID, count int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(count))
}

// clone returns a copy whose assignments can be changed.
func (m Map) clone() Map {
	m.Assignments = slices.Clone(m.Assignments)
	return m
}

// addSource returns the sources with session added, without changing the given
// slice.
func addSource(sources []string, session string) []string {
	if session == "" || slices.Contains(sources, session) {
		return sources
	}
	return append(slices.Clone(sources), session)
}

// plan returns the map for a member list and whether its assignments differ from
// m. Shards of members that have left go to their new owner at once. Shards of
// live members are marked as moving by their Next, at most maxMoving at a time.
// A list that is older than the map changes nothing.
func plan(m Map, members control.Members, maxMoving int) (Map, bool) {
	ids := memberIDs(members)
	if len(ids) == 0 || members.Version < m.Members {
		return m, false
	}
	next := m.clone()
	changed := false
	moving := 0
	for shard := range next.Assignments {
		a := reassign(next.Assignments[shard], sharding.Owner(shardKey(shard), ids), ids)
		if a.Next != "" {
			moving++
		}
		if moving > maxMoving && next.Assignments[shard].Next == "" {
			a.Next = ""
		}
		if a.Owner != next.Assignments[shard].Owner || a.Next != next.Assignments[shard].Next {
			changed = true
		}
		next.Assignments[shard] = a
	}
	next.Members = members.Version
	return next, changed
}

// reassign returns the assignment of a shard whose owner by rendezvous hashing is
// target; ids are the live members.
func reassign(a Assignment, target string, ids []string) Assignment {
	switch {
	case !slices.Contains(ids, a.Owner):
		return Assignment{Owner: target, Sources: addSource(a.Sources, a.Owner)}
	case a.Owner == target:
		a.Next = ""
	default:
		a.Next = target
	}
	return a
}

func memberIDs(members control.Members) []string {
	ids := make([]string, 0, len(members.List))
	for _, m := range members.List {
		ids = append(ids, m.ID)
	}
	return ids
}

func shardKey(shard int) string { return "shard/" + strconv.Itoa(shard) }
