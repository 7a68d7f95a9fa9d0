package estimate

import (
	"sort"

	"amaranthfork.example/fleet"
)

// Running describes a running task and its last reported usage.
type Running struct {
	ID        fleet.AttemptID
	Need      fleet.Resources // estimated
	Usage     fleet.Resources
	Throttled bool // throttled by an earlier decision, and its usage was reported since then
}

// ActionKind is the kind of an action on a task.
type ActionKind string

const (
	Throttle   ActionKind = "throttle"   // limit the task to its estimated processors
	Checkpoint ActionKind = "checkpoint" // checkpoint and stop the task, to continue on another VM
)

// Action is an action on one task.
type Action struct {
	Task     fleet.AttemptID
	Kind     ActionKind
	MilliCPU int64  // limit, for Throttle only
	Reason   string // for operators
}

// overfullRatio is the usage of a VM, as a fraction of its capacity, above which it is
// overfull. Up to it nothing is done, even if single tasks exceed their estimates.
const overfullRatio = 1.0

// Relieve returns the actions on the tasks of a VM that use more than its capacity,
// none if the VM is not overfull. First all tasks above their estimates are
// throttled. If the VM is still overfull when no task is left to throttle, the task
// that exceeds its estimate by the largest factor is checkpointed, one in each call:
// by memory if that is overfull, which throttling does not reduce, or else by
// processors.
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

// exceeds reports whether a quantity is overfull. A capacity of 0 means unlimited.
func exceeds(used, capacity int64) bool {
	return capacity > 0 && float64(used) > overfullRatio*float64(capacity)
}

// throttle throttles each task that exceeds its estimate and was not throttled yet.
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

// checkpoint checkpoints the task that exceeds its estimate of one quantity by the
// largest factor, if any does.
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
