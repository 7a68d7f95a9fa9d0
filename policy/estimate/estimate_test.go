package estimate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

var key = Key{"cuts", fleet.ClassStandard}

func observe(e *Estimator, n int, milliCPU, memory int64, runTime time.Duration) {
	for range n {
		e.Observe(key, Sample{Usage: fleet.Resources{MilliCPU: milliCPU, MemoryMB: memory}, RunTime: runTime})
	}
}

// TestEstimate checks how samples and the declaration are combined, the headroom,
// the p90, the slow decrease and the limit of the keys.
func TestEstimate(t *testing.T) {
	declared := fleet.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	cases := []struct {
		name    string
		observe func(*Estimator)
		want    fleet.Resources
		runTime time.Duration
	}{
		{"no samples", func(*Estimator) {}, fleet.Resources{MilliCPU: 1150, MemoryMB: 1150, Accelerators: 1}, time.Second},
		{"half of the samples for full trust", func(e *Estimator) { observe(e, 10, 3000, 200, 3*time.Second) },
			fleet.Resources{MilliCPU: 2300, MemoryMB: 690, Accelerators: 1}, 2 * time.Second},
		{"full trust", func(e *Estimator) { observe(e, 20, 3000, 200, 3*time.Second) },
			fleet.Resources{MilliCPU: 3450, MemoryMB: 230, Accelerators: 1}, 3 * time.Second},
		{"p90 ignores one outlier", func(e *Estimator) { observe(e, 30, 1000, 1000, time.Second); observe(e, 1, 9000, 9000, time.Hour) },
			fleet.Resources{MilliCPU: 1150, MemoryMB: 1150, Accelerators: 1}, time.Second},
		{"decreases slowly", func(e *Estimator) {
			observe(e, 64, 2000, 2000, 2*time.Second)
			observe(e, 60, 1000, 1000, time.Second) // the p90 of the samples is 1000 for the last three of these
		}, fleet.Resources{MilliCPU: 1972, MemoryMB: 1972, Accelerators: 1}, 1714 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := New(0)
			c.observe(e)
			got := e.Estimate(key, declared, time.Second)
			if !near(got.Need.MilliCPU, c.want.MilliCPU) || !near(got.Need.MemoryMB, c.want.MemoryMB) ||
				got.Need.Accelerators != 1 || !near(int64(got.RunTime), int64(c.runTime)) {
				t.Errorf("got %+v, want %+v and %s", got, c.want, c.runTime)
			}
		})
	}
	e := New(4)
	for i := range 100 {
		e.Observe(Key{fleet.QueueName(fmt.Sprint(i)), fleet.ClassBatch}, Sample{})
	}
	if e.Keys() != 4 {
		t.Errorf("%d keys kept, want 4", e.Keys())
	}
}

func near(got, want int64) bool { return got >= want-want/100-1 && got <= want+want/100+1 }

// TestRelieve checks that tasks of an overfull VM are throttled before one of them is
// checkpointed, and which one that is.
func TestRelieve(t *testing.T) {
	capacity := fleet.Resources{MilliCPU: 4000, MemoryMB: 4000}
	running := func(id string, cpu, memory int64, throttled bool) Running {
		return Running{
			ID: fleet.AttemptID(id), Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 1000},
			Usage: fleet.Resources{MilliCPU: cpu, MemoryMB: memory}, Throttled: throttled,
		}
	}
	cases := []struct {
		name  string
		tasks []Running
		want  []Action
	}{
		{"within capacity", []Running{running("a", 3000, 1000, false), running("b", 1000, 1000, false)}, nil},
		{"throttle first", []Running{running("a", 3000, 1000, false), running("b", 1100, 900, false), running("c", 900, 900, false)},
			[]Action{{"a", Throttle, 1000, "VM overfull"}, {"b", Throttle, 1000, "VM overfull"}}},
		{"then checkpoint the task furthest above its estimate", []Running{running("a", 2500, 100, true), running("b", 3000, 100, true)},
			[]Action{{"b", Checkpoint, 0, "VM overfull: processors"}}},
		{"memory still overfull after throttling", []Running{running("a", 100, 3500, true), running("b", 100, 1500, true)},
			[]Action{{"a", Checkpoint, 0, "VM overfull: memory"}}},
		{"no task above its estimate", slices.Repeat([]Running{running("a", 1000, 1000, true)}, 5), nil},
	}
	for _, c := range cases {
		if got := Relieve(capacity, c.tasks); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
