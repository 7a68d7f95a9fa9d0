package pool_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// Guards against any mix of events that lets a task run twice at a time, start
// after it is done, start after too many failures, or be lost. Faults are lost
// and late orders, workers that are silent, crash and restart under their id,
// and owners that are replaced at any moment.
func TestAnyMixOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for i := range 3 {
			w.addVM(fmt.Sprintf("vm%d", i), 4000)
		}
		late := []lateOrder{}
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for range steps {
			w.randomEvent(t, &late)
		}
		w.heal(t, late)
	})
}

func (w *world) randomEvent(t *rapid.T, late *[]lateOrder) {
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		w.submit(randomJob(t))
	case 1, 2:
		w.cycle()
	case 3:
		w.cycleWithFaults(t, late)
	case 4, 5:
		w.renew(w.pick(t).vm.ID)
	case 6, 7:
		w.randomEnd(t)
	case 8:
		w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case 9:
		worker := w.pick(t)
		worker.down = !worker.down
	case 10:
		w.crash(w.pick(t))
	case 11:
		w.replaceOwner(t, late)
	}
}

func (w *world) pick(t *rapid.T) *worker {
	return w.sortedWorkers()[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
}

func randomJob(t *rapid.T) *job.Spec {
	spec := shortJob(rapid.IntRange(1, 4).Draw(t, "tasks"))
	if rapid.Bool().Draw(t, "two steps") {
		spec.Steps = append(spec.Steps, job.Step{Count: 2, Need: fleet.Resources{MilliCPU: 500}, Estimate: time.Second, After: []int{0}})
	}
	return spec
}

// cycleWithFaults loses some orders, and keeps some to be carried out late.
func (w *world) cycleWithFaults(t *rapid.T, late *[]lateOrder) {
	commands := append(w.commit(), w.p.Commands()...)
	for _, c := range commands {
		switch rapid.IntRange(0, 3).Draw(t, "fate") {
		case 0: // carried out, answer lost
			if worker := w.workers[c.VM]; c.Kind == pool.Start && !worker.down {
				w.p.LeaseGranted(c.VM, w.now.Steady+testLease+120*time.Millisecond)
				w.start(worker, c)
				w.p.Started(c, pool.StartUnknown, w.now.Steady)
				continue
			}
			w.carry(c)
		case 1: // lost or late
			if c.Kind == pool.Start {
				w.p.LeaseGranted(c.VM, w.now.Steady+testLease+120*time.Millisecond)
				w.p.Started(c, pool.StartUnknown, w.now.Steady)
				*late = append(*late, lateOrder{c, w.now.Steady + testLease})
				continue
			}
			w.p.Stopped(c, false, w.now.Steady)
		default:
			w.carry(c)
		}
	}
}

// lateOrder is a start that is held up. Workers refuse it after its lease
// deadline.
type lateOrder struct {
	pool.Command
	deadline time.Duration
}

// lateOrders carries out orders that were held up, where their lease deadline
// and their fencing token still hold.
func (w *world) lateOrders(late []lateOrder) {
	for _, order := range late {
		c := order.Command
		if worker := w.workers[c.VM]; !worker.down && c.Run > worker.highest[c.Task] && w.now.Steady < order.deadline {
			if _, there := worker.running[c.Task]; !there {
				w.start(worker, c)
			}
		}
	}
}

func (w *world) randomEnd(t *rapid.T) {
	worker := w.pick(t)
	names := sortedNames(worker.running)
	if len(names) == 0 || worker.down {
		return
	}
	name := names[rapid.IntRange(0, len(names)-1).Draw(t, "task")]
	cause := rapid.SampledFrom([]pool.EndCause{pool.EndDone, pool.EndDone, pool.EndDone, pool.EndFailed}).Draw(t, "cause")
	w.end(worker, name, cause)
}

// crash restarts a worker under its id: everything in its earlier life is gone.
func (w *world) crash(worker *worker) {
	for name := range worker.running {
		delete(worker.running, name)
	}
	w.unlisted(worker) // ends that were not recorded are lost with the worker
	worker.vm.Born++
	worker.ends, worker.next, worker.lifted = nil, 0, 0
	worker.highest = map[string]int{}
	worker.lease = 0
	w.p.Silent(worker.vm.ID) // the renewal that waits there is cut off
}

// recordedDone reports whether the end of a task is recorded.
func (w *world) recordedDone(name string) bool {
	for _, spec := range w.specs {
		for s := range spec.Steps {
			for i := range spec.Steps[s].Count {
				if pool.TaskName(spec.ID, 0, s, i) == name {
					return w.taskDone(spec, s, i)
				}
			}
		}
	}
	return false
}

// replaceOwner gives the pool to a new owner. Orders of the old one are refused
// from the new owner's first renewal on.
func (w *world) replaceOwner(t *rapid.T, late *[]lateOrder) {
	if rapid.Bool().Draw(t, "late orders first") {
		w.lateOrders(*late)
	}
	*late = nil
	w.restart()
	w.renewAll()
}

// heal ends all faults and checks that every job ends.
func (w *world) heal(t *rapid.T, late []lateOrder) {
	w.lateOrders(late)
	for _, worker := range w.workers {
		worker.down = false
	}
	for range 120 {
		w.settle()
		for _, worker := range w.sortedWorkers() {
			for _, name := range sortedNames(worker.running) {
				w.end(worker, name, pool.EndDone)
			}
		}
		w.advance(700 * time.Millisecond)
	}
	for _, spec := range w.specs {
		if got := w.state(spec.ID); got != job.Succeeded && got != job.Failed {
			t.Fatalf("job %s is %v after all faults have ended", spec.ID, got)
		}
	}
}
