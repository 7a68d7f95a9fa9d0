package admission

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

// Guards against batch tasks that get more than about a twentieth of the slot
// time because they run longer than standard tasks. This happens when starts are
// counted instead of slot time.
func TestWaitingClassesGetSlotTimeNotStarts(t *testing.T) {
	const jobs = 2000
	for _, ratio := range []time.Duration{1, 6, 30} {
		q := NewQueue(Settings{BatchBoundRuns: 20})
		for i := range jobs {
			q.Push(Item{ID: fleet.JobID(fmt.Sprint("s", i)), Class: fleet.ClassStandard, RunTime: time.Second})
			q.Push(Item{ID: fleet.JobID(fmt.Sprint("b", i)), Class: fleet.ClassBatch, RunTime: ratio * time.Second})
		}
		var standard, batch time.Duration
		for range jobs {
			item, ok := q.Next(TeamState{Share: func(fleet.TeamName) int { return 1000 }, Running: func(fleet.TeamName) int { return 0 }})
			if !ok {
				t.Fatal("no job is waiting")
			}
			if item.Class == fleet.ClassBatch {
				batch += item.RunTime
			} else {
				standard += item.RunTime
			}
		}
		fraction := float64(batch) / float64(batch+standard)
		if fraction < 0.03 || fraction > 0.06 {
			t.Errorf("run time ratio %d: batch work got %.1f%% of the slot time, want 3%% to 6%%", ratio, 100*fraction)
		}
	}
}
