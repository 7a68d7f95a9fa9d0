package estimate

import (
	"sort"

	"amaranthfork.example/fleet"
)

// Running is a task on a VM with its last reported usage.
type Running struct {
	ID        fleet.AttemptID
	Need      fleet.Resources // estimated
	Usage     fleet.Resources
	Throttled bool // an earlier decision throttled it and usage was reported since
}

// ActionKind says what to do with a task.
type ActionKind string

const (
	Throttle   ActionKind = "throttle"   // limit to its estimated processors
	Checkpoint ActionKind = "checkpoint" // stop it and go on elsewhere
)

// Action is a decision on one task.
type Action struct {
	Task     fleet.AttemptID
	Kind     ActionKind
	MilliCPU int64  // limit of a throttle
	Reason   string // for operators
}

// Limits of a VM's use, as parts of its capacity. Below overfull nothing is
// done, even if single tasks exceed their estimates.
const overfull = 1.0

// Relieve decides what to do on a VM whose tasks use more than its capacity.
// Tasks above their estimate are throttled first, all at once. If the VM is
// still overfull after that, or if memory (which cannot be throttled) is, the
// task furthest above its estimate is checkpointed, one for each call.
func Relieve(capacity fleet.Resources, tasks []Running) []Action {
	var used fleet.Resources
	for _, task := range tasks {
		used = used.Add(task.Usage)
	}
	cpuOver := exceeds(used.MilliCPU, capacity.MilliCPU)
	memoryOver := exceeds(used.MemoryMB, capacity.MemoryMB)
	if !cpuOver && !memoryOver {
		return nil
	}
	if actions := throttle(tasks); len(actions) > 0 {
		return actions
	}
	if memoryOver {
		return checkpoint(tasks, "memory", func(r fleet.Resources) int64 { return r.MemoryMB })
	}
	return checkpoint(tasks, "processors", func(r fleet.Resources) int64 { return r.MilliCPU })
}

func exceeds(used, capacity int64) bool {
	return capacity > 0 && float64(used) > overfull*float64(capacity)
}

func throttle(tasks []Running) []Action {
	var actions []Action
	for _, task := range tasks {
		above := task.Usage.MilliCPU > task.Need.MilliCPU || task.Usage.MemoryMB > task.Need.MemoryMB
		if above && !task.Throttled && task.Need.MilliCPU > 0 {
			actions = append(actions, Action{Task: task.ID, Kind: Throttle, MilliCPU: task.Need.MilliCPU, Reason: "VM overfull"})
		}
	}
	return actions
}

func checkpoint(tasks []Running, name string, of func(fleet.Resources) int64) []Action {
	sorted := append([]Running(nil), tasks...)
	excess := func(t Running) float64 { return float64(of(t.Usage)) / float64(max(1, of(t.Need))) }
	sort.Slice(sorted, func(i, j int) bool {
		ei, ej := excess(sorted[i]), excess(sorted[j])
		return ei > ej || ei == ej && sorted[i].ID < sorted[j].ID
	})
	if len(sorted) == 0 || excess(sorted[0]) <= 1 {
		return nil
	}
	return []Action{{Task: sorted[0].ID, Kind: Checkpoint, Reason: "VM overfull: " + name}}
}
