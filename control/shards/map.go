// Package shards keeps the map of job shards to entries in the row `shards`.
//
// A shard has one owner. Only the owner itself gives a shard away while it
// lives; a shard of a session that has left the member list is assigned anew at
// once. The sources of a shard are the sessions whose journals and checkpoints
// the owner has not yet copied into its own.
package shards

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/sharding"
)

// Key is the key of the map's row.
const Key = "shards"

// DefaultCount is the number of shards of today's fleets.
const DefaultCount = 64

// Assignment tells who owns a shard.
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

// Of returns the shard of a job.
func Of(id fleet.JobID, count int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(count))
}

// clone returns a copy whose assignments can be changed.
func (m Map) clone() Map {
	m.Assignments = slices.Clone(m.Assignments)
	return m
}

// addSource returns the sources with session added.
func addSource(sources []string, session string) []string {
	if session == "" || slices.Contains(sources, session) {
		return sources
	}
	return append(slices.Clone(sources), session)
}

// plan returns the map that follows from a member list, and whether it differs.
// Shards of members that have left go to their new owner at once; shards of
// live members are marked as moving, at most maxMoving at a time.
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

func reassign(a Assignment, wanted string, ids []string) Assignment {
	switch {
	case !slices.Contains(ids, a.Owner):
		return Assignment{Owner: wanted, Sources: addSource(a.Sources, a.Owner)}
	case a.Owner == wanted:
		a.Next = ""
	default:
		a.Next = wanted
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
