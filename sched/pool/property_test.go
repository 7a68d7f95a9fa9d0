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

// Guards against sequences of events after which a task runs twice at a time,
// starts after it is done or after too many failures, or is lost. The faults are
// lost and delayed commands, workers that do not answer or restart under their id,
// and owners that are replaced at any moment.
func TestAnyMixOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for i := range 3 {
			w.addVM(fmt.Sprintf("vm%d", i), 4000)
		}
		delayed := []delayedStart{}
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for range steps {
			w.randomEvent(t, &delayed)
		}
		w.endFaults(t, delayed)
	})
}

func (w *world) randomEvent(t *rapid.T, delayed *[]delayedStart) {
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		w.submit(randomJob(t))
	case 1, 2:
		w.cycle()
	case 3:
		w.cycleWithFaults(t, delayed)
	case 4, 5:
		w.renew(w.pickWorker(t).vm.ID)
	case 6, 7:
		w.randomEnd(t)
	case 8:
		w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case 9:
		worker := w.pickWorker(t)
		worker.down = !worker.down
	case 10:
		w.restartWorker(w.pickWorker(t))
	case 11:
		w.replaceOwner(t, delayed)
	}
}

func (w *world) pickWorker(t *rapid.T) *worker {
	return w.sortedWorkers()[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
}

func randomJob(t *rapid.T) *job.Spec {
	spec := shortJob(rapid.IntRange(1, 4).Draw(t, "tasks"))
	if rapid.Bool().Draw(t, "two steps") {
		spec.Steps = append(spec.Steps, job.Step{Count: 2, Need: fleet.Resources{MilliCPU: 500}, Estimate: time.Second, After: []int{0}})
	}
	return spec
}

// cycleWithFaults is cycle with faults: some answers and stops are lost, and some
// starts are lost or delayed.
func (w *world) cycleWithFaults(t *rapid.T, delayed *[]delayedStart) {
	commands := append(w.commit(), w.p.Commands()...)
	for _, c := range commands {
		switch rapid.IntRange(0, 3).Draw(t, "fate") {
		case 0: // executed; the answer to a start is lost
			if worker := w.workers[c.VM]; c.Kind == pool.Start && !worker.down {
				w.p.LeaseGranted(c.VM, w.now.Steady+testLease+120*time.Millisecond)
				w.start(worker, c)
				w.p.Started(c, pool.StartUnconfirmed, w.now.Steady)
				continue
			}
			w.execute(c)
		case 1: // lost; a start may arrive later
			if c.Kind == pool.Start {
				w.p.LeaseGranted(c.VM, w.now.Steady+testLease+120*time.Millisecond)
				w.p.Started(c, pool.StartUnconfirmed, w.now.Steady)
				*delayed = append(*delayed, delayedStart{c, w.now.Steady + testLease})
				continue
			}
			w.p.Stopped(c, false, w.now.Steady)
		default:
			w.execute(c)
		}
	}
}

// delayedStart is a start that may reach its worker later. Workers refuse it after
// its lease deadline.
type delayedStart struct {
	pool.Command
	deadline time.Duration
}

// executeDelayed lets delayed starts reach their workers. Those whose deadline has
// passed or whose run was superseded are refused.
func (w *world) executeDelayed(delayed []delayedStart) {
	for _, start := range delayed {
		c := start.Command
		if worker := w.workers[c.VM]; !worker.down && c.Run > worker.highestEndedRun[c.Task] && w.now.Steady < start.deadline {
			if _, there := worker.running[c.Task]; !there {
				w.start(worker, c)
			}
		}
	}
}

func (w *world) randomEnd(t *rapid.T) {
	worker := w.pickWorker(t)
	names := sortedNames(worker.running)
	if len(names) == 0 || worker.down {
		return
	}
	name := names[rapid.IntRange(0, len(names)-1).Draw(t, "task")]
	cause := rapid.SampledFrom([]pool.EndCause{pool.EndDone, pool.EndDone, pool.EndDone, pool.EndFailed}).Draw(t, "cause")
	w.end(worker, name, cause)
}

// restartWorker starts a new incarnation of a worker. The runs and ends of the
// earlier one are gone.
func (w *world) restartWorker(worker *worker) {
	for name := range worker.running {
		delete(worker.running, name)
	}
	w.dropUnrecordedEnds(worker) // ends that are not durable are lost with the incarnation
	worker.vm.StartedMS++
	worker.ends, worker.lastSequence, worker.uncountedUpTo = nil, 0, 0
	worker.highestEndedRun = map[string]int{}
	worker.leaseUntil = 0
	w.p.RenewalUnanswered(worker.vm.ID) // the pending renewal fails
}

// recordedDone reports whether the named task is recorded as done.
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

// replaceOwner replaces the owner. From the new owner's first renewal on, workers
// refuse the old owner's starts.
func (w *world) replaceOwner(t *rapid.T, delayed *[]delayedStart) {
	if rapid.Bool().Draw(t, "late orders first") {
		w.executeDelayed(*delayed)
	}
	*delayed = nil
	w.takeOver()
	w.renewAll()
}

// endFaults ends all faults and checks that every job succeeds or fails.
func (w *world) endFaults(t *rapid.T, delayed []delayedStart) {
	w.executeDelayed(delayed)
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
