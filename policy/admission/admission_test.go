package admission

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

var origin = time.Unix(1_000_000, 0)

// Guards against refusing jobs that can be done in time and accepting jobs that
// cannot.
func TestAdmit(t *testing.T) {
	large := []fleet.Resources{{MilliCPU: 16000, MemoryMB: 64000}}
	tests := []struct {
		name string
		r    Request
		want fleet.Reason
	}{
		{"fits", Request{Need: fleet.Resources{MilliCPU: 16000}, LargestVMs: large}, ""},
		{"too large for every VM", Request{Need: fleet.Resources{Accelerators: 1}, LargestVMs: large}, fleet.ReasonTooLarge},
		{"capacity not known", Request{Need: fleet.Resources{Accelerators: 1}}, ""},
		{"queue full", Request{Queued: 5, MaxQueued: 5}, fleet.ReasonQueueFull},
		{"queue not full", Request{Queued: 4, MaxQueued: 5}, ""},
		{"deadline passed", Request{Deadline: origin.Add(-1)}, fleet.ReasonDeadline},
		{"longer than the deadline", Request{Deadline: origin.Add(time.Second), RunTime: 2 * time.Second}, fleet.ReasonDeadline},
		{"rate not known", Request{Deadline: origin.Add(time.Second), Load: Load{TotalAhead: 1000}}, ""},
		{"free slots", Request{Deadline: origin.Add(time.Second), Load: Load{TotalAhead: 7, FreeSlots: 8, StartsPerSecond: 0.1}}, ""},
		{"long queue", Request{Deadline: origin.Add(9 * time.Second), Load: Load{TeamAhead: 100, TotalAhead: 100, StartsPerSecond: 10, TeamFraction: 1}}, fleet.ReasonDeadline},
		{"long queue of others", Request{Deadline: origin.Add(9 * time.Second), Load: Load{TeamAhead: 10, TotalAhead: 1000, StartsPerSecond: 10, TeamFraction: 0.5}}, ""},
	}
	for _, tt := range tests {
		tt.r.Now = origin
		got := fleet.Reason("")
		refusal := Admit(tt.r)
		if refusal != nil {
			got = refusal.Reason
		}
		if got != tt.want {
			t.Errorf("%s: refusal %v, want %q", tt.name, refusal, tt.want)
		}
		if got == fleet.ReasonQueueFull && refusal.RetryAfter < minRetryAfter {
			t.Errorf("%s: retry after %v is below the minimum", tt.name, refusal.RetryAfter)
		}
	}
}

func teamState(shares, running map[fleet.TeamName]int) TeamState {
	return TeamState{
		Share:   func(t fleet.TeamName) int { return shares[t] },
		Running: func(t fleet.TeamName) int { return running[t] },
	}
}

// Guards against starts that are not in proportion to the teams' shares while
// all teams have waiting jobs.
func TestFairSharing(t *testing.T) {
	q := NewQueue(Settings{})
	shares := map[fleet.TeamName]int{"a": 500, "b": 250, "c": 125}
	for team := range shares {
		for i := range 1000 {
			q.Push(Item{ID: fleet.JobID(fmt.Sprint(team, i)), Team: team, Class: fleet.ClassStandard})
		}
	}
	running := map[fleet.TeamName]int{}
	for range 875 {
		item, _ := q.Next(teamState(shares, running))
		running[item.Team]++
	}
	for team, share := range shares {
		if d := running[team] - share; d < -2 || d > 2 {
			t.Errorf("team %s has %d running tasks, want its share of %d within 2", team, running[team], share)
		}
	}
}

// Guards against batch and standard jobs that never start under a constant
// urgent load, and against urgent jobs that get fewer starts than the bounds of
// the other classes leave them.
func TestUrgentFirstWithinBounds(t *testing.T) {
	q := NewQueue(Settings{StandardBoundRuns: 4, BatchBoundRuns: 10})
	for _, class := range fleet.Classes {
		for i := range 1000 {
			q.Push(Item{ID: fleet.JobID(fmt.Sprint(class, i)), Team: "a", Class: class})
		}
	}
	started := map[fleet.Class]int{}
	for range 110 {
		item, _ := q.Next(teamState(nil, nil))
		started[item.Class]++
	}
	if started[fleet.ClassBatch] < 9 || started[fleet.ClassStandard] < 18 || started[fleet.ClassUrgent] < 75 {
		t.Errorf("starts by class: %v, want at least 75 urgent, 18 standard and 9 batch", started)
	}
}

// Guards against lost, repeated or misordered jobs under pushes, removals,
// expiries and starts in any order. The queue is compared with a map that holds
// the jobs that should be waiting.
func TestQueueAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Settings{})
		waiting := map[fleet.JobID]Item{}
		serial := 0
		remove := func(item Item) {
			if waiting[item.ID] != item {
				t.Fatalf("queue returned %+v, want %+v", item, waiting[item.ID])
			}
			delete(waiting, item.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				serial++
				item := Item{
					ID: fleet.JobID(fmt.Sprint(serial)), Team: rapid.SampledFrom([]fleet.TeamName{"a", "b"}).Draw(t, "team"),
					Class: rapid.SampledFrom(fleet.Classes).Draw(t, "class"), Submitted: origin.Add(time.Duration(serial)),
				}
				if d := rapid.IntRange(0, 20).Draw(t, "deadline"); d > 0 {
					item.Deadline = origin.Add(time.Duration(d) * time.Second)
				}
				q.Push(item)
				waiting[item.ID] = item
			},
			"remove": func(t *rapid.T) {
				id := fleet.JobID(fmt.Sprint(rapid.IntRange(1, serial+1).Draw(t, "id")))
				_, known := waiting[id]
				if q.Remove(id) != known {
					t.Fatalf("Remove(%s) did not return %v", id, known)
				}
				delete(waiting, id)
			},
			"expire": func(t *rapid.T) {
				now := origin.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "now")) * time.Second)
				for _, item := range q.Expired(now) {
					remove(item)
				}
				for _, item := range waiting {
					if !item.Deadline.IsZero() && !item.Deadline.After(now) {
						t.Fatalf("%+v is still waiting after its deadline, at %v", item, now)
					}
				}
			},
			"next": func(t *rapid.T) {
				teams := teamState(nil, nil)
				skipped := rapid.SampledFrom([]fleet.TeamName{"", "a"}).Draw(t, "skip")
				teams.Skip = func(team fleet.TeamName) bool { return team == skipped }
				item, ok := q.Next(teams)
				for _, other := range waiting {
					if !ok && other.Team != skipped {
						t.Fatalf("no job was started although %+v is waiting", other)
					}
					if ok && other.Team == item.Team && other.Class == item.Class && less(&node{item: other}, &node{item: item}) {
						t.Fatalf("%+v started before %+v", item, other)
					}
				}
				if ok {
					remove(item)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("queue has %d jobs, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

// BenchmarkNext measures the time of one start and one arrival by the number of
// waiting jobs, with 98 teams, and the memory that a waiting job takes.
func BenchmarkNext(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			teams := make([]fleet.TeamName, 98)
			shares, running := map[fleet.TeamName]int{}, map[fleet.TeamName]int{}
			for i := range teams {
				teams[i] = fleet.TeamName(fmt.Sprint("team", i))
				shares[teams[i]] = 1 + i%20
			}
			item := func(i int) Item {
				return Item{
					ID: fleet.JobID(fmt.Sprintf("%032d", i)), Team: teams[i%98], Class: fleet.Classes[i%3],
					Deadline: origin.Add(time.Duration(i*7919%100_000) * time.Millisecond),
				}
			}
			before := heapInUse()
			q := NewQueue(Settings{})
			for i := range size {
				q.Push(item(i))
			}
			perJob := float64(heapInUse()-before) / float64(size)
			i := size
			for b.Loop() {
				started, _ := q.Next(teamState(shares, running))
				running[started.Team]++
				q.Push(item(i))
				i++
			}
			b.ReportMetric(perJob, "B/job")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
