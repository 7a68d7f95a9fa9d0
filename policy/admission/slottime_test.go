package admission

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

// Guards against long batch tasks that take most of the slots from standard work
// because every start counts the same.
func TestWaitingClassesGetSlotTimeNotStarts(t *testing.T) {
	const jobs = 2000
	for _, ratio := range []time.Duration{1, 6, 30} {
		q := NewQueue(Settings{BatchBound: 20})
		for i := range jobs {
			q.Push(Item{ID: fleet.JobID(fmt.Sprint("s", i)), Class: fleet.ClassStandard, RunTime: time.Second})
			q.Push(Item{ID: fleet.JobID(fmt.Sprint("b", i)), Class: fleet.ClassBatch, RunTime: ratio * time.Second})
		}
		var standard, batch time.Duration
		for range jobs {
			item, ok := q.Next(Fair{Share: func(fleet.TeamName) int { return 1000 }, Running: func(fleet.TeamName) int { return 0 }})
			if !ok {
				t.Fatal("no job waits")
			}
			if item.Class == fleet.ClassBatch {
				batch += item.RunTime
			} else {
				standard += item.RunTime
			}
		}
		part := float64(batch) / float64(batch+standard)
		if part < 0.03 || part > 0.06 {
			t.Errorf("run time ratio %d: batch work got %.1f%% of the slot time, want about a twentieth", ratio, 100*part)
		}
	}
}
