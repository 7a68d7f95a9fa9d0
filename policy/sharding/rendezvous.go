// Package sharding assigns keys to members.
package sharding

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member with the highest rendezvous score for key, "" if
// there are no members. Ties go to the smaller name.
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

// Rank returns the members in the order in which they would own key.
func Rank(key string, members []string) []string {
	ranked := append([]string(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		si, sj := score(key, ranked[i]), score(key, ranked[j])
		return si > sj || si == sj && ranked[i] < ranked[j]
	})
	return ranked
}

func score(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
