// Package sharding assigns keys to members by rendezvous hashing: each key belongs to
// the member with the highest hash of the member's name and the key. When a member
// joins or leaves, only the keys that it gets or had change their owner. The caller
// provides the list of members.
package sharding

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns key, "" if there are no members. Of members
// with the same score the one with the smaller name is the owner.
func Owner(key string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		s := score(key, m)
		if best == "" || s > bestScore || s == bestScore && m < best {
			best, bestScore = m, s
		}
	}
	return best
}

// Rank returns the members in descending order of their scores for key. The first
// one is the owner; the next one would be if those before it left.
func Rank(key string, members []string) []string {
	ranked := append([]string(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		si, sj := score(key, ranked[i]), score(key, ranked[j])
		return si > sj || si == sj && ranked[i] < ranked[j]
	})
	return ranked
}

// score returns the hash of a member's name and a key, separated by a zero byte.
func score(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
