// Package lookahead decides on which VMs room is kept for tasks that fit on none yet, and
// which other tasks may run there until the room is free. Its functions are pure: they
// take a snapshot of the VMs with the expected ends of their runs, and hold no state.
//
// All times are on the scheduler's steady clock.
package lookahead

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthfork.example/fleet"
)

// Never is the expected end of a run that is not expected to end.
const Never = time.Duration(math.MaxInt64)

// Run is a run on a VM.
type Run struct {
	Room fleet.Resources // that it occupies
	End  time.Duration   // when it is expected to end
}

// VM is a VM in a snapshot.
type VM struct {
	Free      fleet.Resources // at the time of the snapshot
	Runs      []Run           // in any order; FreeAt and Plan sort them by their ends
	MaxTasks  int             // of the step that waits, which may run here besides those that do; 0 means no bound
	Preferred bool            // taken first among VMs whose room is free at the same time
}

// Reservation is room on a VM that is kept for tasks of one step.
type Reservation struct {
	Need  fleet.Resources // of one task
	Tasks int
	At    time.Duration // when the room is expected to be free
}

// Slot is the place of one task in a plan.
type Slot struct {
	VM int           // index in the snapshot
	At time.Duration // when the room is expected to be free
}

// Request describes the tasks that Plan finds room for.
type Request struct {
	Need   fleet.Resources // of one task
	Tasks  int
	Gang   bool // the tasks start at the same time or not at all
	MaxVMs int  // largest number of VMs on which room is reserved
}

// FreeAt returns the time from which v is expected to have room for need, at the earliest
// now. It is Never if the runs that are expected to end do not leave enough.
func (v *VM) FreeAt(need fleet.Resources, now time.Duration) time.Duration {
	at := Never
	v.frees(need, 1, now, func(t time.Duration) { at = t })
	return at
}

// frees calls found with the times at which v has room for one, two and more tasks that need
// the same, at most count, in ascending order.
func (v *VM) frees(need fleet.Resources, count int, now time.Duration, found func(time.Duration)) {
	if v.MaxTasks > 0 {
		count = min(count, v.MaxTasks)
	}
	slices.SortFunc(v.Runs, func(a, b Run) int { return cmp.Compare(a.End, b.End) })
	free, at, given := v.Free, now, 0
	for i := 0; ; i++ {
		for n := need.CountIn(free, count); given < n; given++ {
			found(at)
		}
		if given >= count || i >= len(v.Runs) || v.Runs[i].End == Never {
			return
		}
		free = free.Add(v.Runs[i].Room)
		at = max(now, v.Runs[i].End)
	}
}

// Plan returns the VMs on which the tasks of a request are expected to find room first, in
// the order of the times. Fewer than all tasks get a slot if the VMs or their number do not
// suffice; a gang then gets none.
func Plan(vms []VM, r Request, now time.Duration) []Slot {
	var slots []Slot
	for i := range vms {
		vms[i].frees(r.Need, r.Tasks, now, func(at time.Duration) { slots = append(slots, Slot{i, at}) })
	}
	slices.SortStableFunc(slots, func(a, b Slot) int {
		if a.At != b.At {
			return cmp.Compare(a.At, b.At)
		}
		if vms[a.VM].Preferred != vms[b.VM].Preferred {
			if vms[a.VM].Preferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.VM, b.VM)
	})
	kept := slots[:0]
	chosen := map[int]bool{}
	for _, s := range slots {
		if len(kept) == r.Tasks {
			break
		}
		if !chosen[s.VM] && len(chosen) == r.MaxVMs {
			continue
		}
		chosen[s.VM] = true
		kept = append(kept, s)
	}
	if r.Gang && len(kept) < r.Tasks {
		return nil
	}
	return kept
}

// Beside returns what is expected to be free on v at the time of a reservation once its tasks
// have their room. A run that is not over by then, and needs more, delays them.
func (v *VM) Beside(r Reservation) fleet.Resources {
	free := v.Free.Sub(r.Need.Times(r.Tasks))
	for _, run := range v.Runs {
		if run.End <= r.At {
			free = free.Add(run.Room)
		}
	}
	return free
}
