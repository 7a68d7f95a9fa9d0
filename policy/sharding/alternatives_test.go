package sharding

import (
	"fmt"
	"sort"
	"strings"
	"testing"
)

// virtualNodes is the number of points of each member on the ring. With more points
// the keys are balanced better, but lookups and joins take longer.
const virtualNodes = 128

// ring is consistent hashing with virtual nodes, for comparison with rendezvous
// hashing.
type ring struct {
	points []uint64
	owners map[uint64]string
}

func newRing(members []string) *ring {
	r := &ring{owners: map[uint64]string{}}
	for _, m := range members {
		for i := range virtualNodes {
			p := score(fmt.Sprint(i), m)
			r.points = append(r.points, p)
			r.owners[p] = m
		}
	}
	sort.Slice(r.points, func(i, j int) bool { return r.points[i] < r.points[j] })
	return r
}

func (r *ring) owner(key string) string {
	h := score(key, "")
	i := sort.Search(len(r.points), func(i int) bool { return r.points[i] >= h })
	return r.owners[r.points[i%len(r.points)]]
}

// modulo assigns a key by the remainder of its hash, divided by the number of members.
func modulo(key string, members []string) string {
	return members[score(key, "")%uint64(len(members))]
}

// scheme is a way to assign keys. make returns the owner function for a list of
// members.
type scheme struct {
	name string
	make func(members []string) func(key string) string
}

var schemes = []scheme{
	{"rendezvous", func(m []string) func(string) string { return func(key string) string { return Owner(key, m) } }},
	{fmt.Sprintf("ring, %d points", virtualNodes), func(m []string) func(string) string { return newRing(m).owner }},
	{"modulo", func(m []string) func(string) string { return func(key string) string { return modulo(key, m) } }},
}

var sizes = []struct {
	name          string
	keys, members int
}{
	{"today: 64 shards, 9 entries", 64, 9},
	{"today: 48 VMs, 9 entries", 48, 9},
	{"today: 12 VMs of a data centre, 2 entries", 12, 2},
	{"target: 256 shards, 100 entries", 256, 100},
	{"target: 2,300 VMs, 100 entries", 2300, 100},
	{"target: 115 VMs of a data centre, 5 entries", 115, 5},
}

// names returns n names, which differ from those of other draws.
func names(prefix string, draw, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d-%d", prefix, draw, i)
	}
	return list
}

// figures are the results of a scheme, as means over a number of draws, which are
// sets of names.
type figures struct {
	join, leave float64 // fraction of the keys that change owner when a member joins or leaves
	balance     float64 // keys of the member with most keys, divided by the mean
}

// measure returns the figures of a scheme, as means over the given number of draws.
func measure(s scheme, keys, members, draws int) figures {
	var f figures
	for draw := range draws {
		m := names("entry", draw, members+1)
		before, after := s.make(m[:members]), s.make(m)
		moved, load := 0, map[string]int{}
		for _, key := range names("key", draw, keys) {
			load[before(key)]++
			if before(key) != after(key) {
				moved++
			}
		}
		fullest := 0
		for _, n := range load {
			fullest = max(fullest, n)
		}
		f.join += float64(moved) / float64(keys) / float64(draws)
		f.balance += float64(fullest) * float64(members) / float64(keys) / float64(draws)
		f.leave += leaveMoves(s, m[:members], names("key", draw, keys)) / float64(draws)
	}
	return f
}

// leaveMoves returns the fraction of the keys that change owner when the middle
// member leaves.
func leaveMoves(s scheme, members, keys []string) float64 {
	leaver := len(members) / 2
	rest := append(append([]string(nil), members[:leaver]...), members[leaver+1:]...)
	before, after := s.make(members), s.make(rest)
	moved := 0
	for _, key := range keys {
		if before(key) != after(key) {
			moved++
		}
	}
	return float64(moved) / float64(len(keys))
}

// Checks the reasons for which rendezvous hashing is used: when a member joins, it
// moves far fewer keys than the remainder of a hash, and it balances the keys about
// as well as a ring.
func TestCompareSchemes(t *testing.T) {
	for _, size := range sizes[:3] {
		var all []figures
		for _, s := range schemes {
			all = append(all, measure(s, size.keys, size.members, 30))
		}
		rendezvous, ring, modulo := all[0], all[1], all[2]
		if 1.5*rendezvous.join > modulo.join || rendezvous.balance > 1.1*ring.balance {
			t.Errorf("%s: rendezvous %+v, ring %+v, modulo %+v", size.name, rendezvous, ring, modulo)
		}
	}
}

// BenchmarkCompareSchemes prints the figures of all schemes as a table.
func BenchmarkCompareSchemes(b *testing.B) {
	for b.Loop() {
		var table strings.Builder
		fmt.Fprintf(&table, "| size | scheme | moves at join | least possible | moves at leave | least possible | fullest/mean |\n|---|---|---|---|---|---|---|\n")
		for _, size := range sizes {
			for _, s := range schemes {
				f := measure(s, size.keys, size.members, 200)
				fmt.Fprintf(&table, "| %s | %s | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.2f |\n", size.name, s.name,
					100*f.join, 100/float64(size.members+1), 100*f.leave, 100/float64(size.members), f.balance)
			}
		}
		fmt.Println(table.String()) // the log of a benchmark is cut after ten lines
	}
}

// Guards against a key that moves from one member to another although both stay
// when a third one leaves.
func TestOnlyKeysOfTheChangedMemberMove(t *testing.T) {
	members := names("entry", 0, 100)
	for _, key := range names("key", 0, 2300) {
		owner := Owner(key, members)
		ranked := Rank(key, members)
		if ranked[0] != owner {
			t.Fatalf("the first of Rank is not the Owner of %s", key)
		}
		rest := append(append([]string(nil), members[:50]...), members[51:]...)
		if got := Owner(key, rest); owner != members[50] && got != owner || owner == members[50] && got != ranked[1] {
			t.Fatalf("%s moved from %s to %s when another member left", key, owner, got)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, members := range []int{2, 5, 9, 100} {
		list := names("entry", 0, members)
		keys := names("key", 0, 1024)
		for _, s := range schemes {
			owner := s.make(list)
			b.Run(fmt.Sprintf("%s/%d members", s.name, members), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					owner(keys[i%len(keys)])
				}
			})
		}
		b.Run(fmt.Sprintf("build ring/%d members", members), func(b *testing.B) {
			for b.Loop() {
				newRing(list)
			}
		})
	}
}
