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

// Guards against a task that runs twice at a time, starts after it is done or after
// too many failures, or is lost. The faults are lost and delayed commands, workers
// that do not answer or restart under their id, and takeovers at any moment.
func TestAnyMixOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		for i := range 3 {
			h.addVM(fmt.Sprintf("vm%d", i), 4000)
		}
		delayed := []delayedStart{}
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for range steps {
			h.randomEvent(t, &delayed)
		}
		h.endFaults(t, delayed)
	})
}

func (h *harness) randomEvent(t *rapid.T, delayed *[]delayedStart) {
	switch rapid.IntRange(0, 14).Draw(t, "event") {
	case 0:
		h.submit(randomJob(t))
	case 1, 2:
		h.cycle()
	case 3:
		h.cycleWithFaults(t, delayed)
	case 4, 5:
		h.renew(h.pickWorker(t).vm.ID)
	case 6, 7:
		h.randomEnd(t)
	case 8:
		h.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case 9:
		worker := h.pickWorker(t)
		worker.down = !worker.down
	case 10:
		h.restartWorker(h.pickWorker(t))
	case 11:
		h.replaceOwner(t, delayed)
	case 12:
		h.replaceWorker(h.pickWorker(t), rapid.Bool().Draw(t, "still listed"))
	case 13:
		batch := h.nextBatch()
		h.eventsUnderWay(t)
		h.write(batch)
		for _, c := range h.confirm(batch) {
			h.execute(c)
		}
	case 14: // the answer to a transaction is lost, and the owner is replaced
		h.write(h.nextBatch())
		h.eventsUnderWay(t)
		h.replaceOwner(t, delayed)
	}
}

// eventsUnderWay lets workers fall silent, answer again and get renewals while a
// transaction is under way.
func (h *harness) eventsUnderWay(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "events under way") {
		worker := h.pickWorker(t)
		switch rapid.IntRange(0, 3).Draw(t, "event under way") {
		case 0:
			worker.down = !worker.down
		case 1:
			h.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		default:
			h.renew(worker.vm.ID)
		}
	}
}

func (h *harness) pickWorker(t *rapid.T) *worker {
	return h.sortedWorkers()[rapid.IntRange(0, len(h.workers)-1).Draw(t, "worker")]
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
func (h *harness) cycleWithFaults(t *rapid.T, delayed *[]delayedStart) {
	commands := append(h.commit(), h.scheduler.Commands()...)
	for _, c := range commands {
		switch rapid.IntRange(0, 3).Draw(t, "fate") {
		case 0: // executed; the answer to a start is lost
			h.setbacks[c.Task]++
			if worker := h.workers[c.VM]; c.Kind == pool.Start && worker != nil && !worker.down && h.grant(worker) {
				h.start(worker, c, h.now.Steady+testLease)
				h.scheduler.Started(c, pool.StartUnconfirmed, h.now.Steady)
				continue
			}
			h.execute(c)
		case 1: // lost; a start may arrive later
			if worker := h.workers[c.VM]; c.Kind == pool.Start && worker != nil && h.grant(worker) {
				h.setbacks[c.Task]++
				h.scheduler.Started(c, pool.StartUnconfirmed, h.now.Steady)
				*delayed = append(*delayed, delayedStart{c, h.now.Steady + testLease})
				continue
			}
			h.scheduler.Stopped(c, false, h.now.Steady)
		default:
			h.execute(c)
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
// passed or whose run has ended or was stopped are refused.
func (h *harness) executeDelayed(delayed []delayedStart) {
	for _, start := range delayed {
		c := start.Command
		if worker := h.workers[c.VM]; worker != nil && !worker.down && c.Run > worker.highestEndedRun[c.Task] && h.now.Steady < start.deadline {
			if _, there := worker.running[c.Task]; !there {
				h.start(worker, c, start.deadline)
			}
		}
	}
}

func (h *harness) randomEnd(t *rapid.T) {
	worker := h.pickWorker(t)
	names := sortedNames(worker.running)
	if len(names) == 0 || worker.down {
		return
	}
	name := names[rapid.IntRange(0, len(names)-1).Draw(t, "task")]
	cause := rapid.SampledFrom([]pool.EndCause{pool.EndDone, pool.EndDone, pool.EndDone, pool.EndFailed}).Draw(t, "cause")
	h.end(worker, name, cause)
}

// restartWorker starts a new incarnation of a worker. The runs and ends of the
// earlier one are lost.
func (h *harness) restartWorker(worker *worker) {
	h.loseRuns(worker)
	h.dropUnrecordedEnds(worker) // ends that are not durable are lost with the incarnation
	worker.vm.StartedMS++
	worker.restarted = true
	worker.ends, worker.lastSequence, worker.uncountedUpTo = nil, 0, 0
	worker.highestEndedRun = map[string]int{}
	worker.leaseUntil, worker.token = 0, 0
	h.renewalUnanswered(worker) // the pending renewal fails
}

// loseRuns removes the runs of a worker that crashes. Those that had ended unseen count as
// crashes too, since their owner cannot tell.
func (h *harness) loseRuns(worker *worker) {
	for name := range worker.running {
		delete(worker.running, name)
		h.setbacks[name]++
	}
	for _, e := range worker.ends {
		h.setbacks[e.Task]++
	}
}

// replaceWorker crashes a worker. Its machine comes back as another worker; discovery may
// still list the earlier one.
func (h *harness) replaceWorker(worker *worker, listed bool) {
	h.loseRuns(worker)
	h.dropUnrecordedEnds(worker)
	delete(h.workers, worker.vm.ID)
	h.scheduler.RenewalUnanswered(worker.vm.ID)
	if !listed {
		h.scheduler.ForgetVM(worker.vm.ID)
	}
	next := h.addVM(fmt.Sprintf("%s-%d", worker.vm.ID, worker.vm.StartedMS), worker.vm.Capacity.MilliCPU)
	next.vm.Machine, next.vm.StartedMS = worker.vm.Machine, worker.vm.StartedMS+1
	h.scheduler.ObserveVM(next.vm)
}

// recordedDone reports whether the named task is recorded as done.
func (h *harness) recordedDone(name string) bool {
	for _, spec := range h.specs {
		for s := range spec.Steps {
			for i := range spec.Steps[s].Count {
				if pool.TaskName(spec.ID, 0, s, i) == name {
					return h.taskDone(spec, s, i)
				}
			}
		}
	}
	return false
}

// replaceOwner replaces the owner. From the new owner's first renewal on, workers
// refuse the old owner's starts.
func (h *harness) replaceOwner(t *rapid.T, delayed *[]delayedStart) {
	if rapid.Bool().Draw(t, "late orders first") {
		h.executeDelayed(*delayed)
	}
	*delayed = nil
	h.takeover()
	h.renewAll()
}

// endFaults ends all faults and checks that every job succeeds or fails.
func (h *harness) endFaults(t *rapid.T, delayed []delayedStart) {
	h.executeDelayed(delayed)
	for _, worker := range h.workers {
		worker.down = false
	}
	for range 120 {
		h.settle()
		h.endAll(pool.EndDone)
		h.advance(700 * time.Millisecond)
	}
	for _, spec := range h.specs {
		if got := h.state(spec.ID); got != job.Succeeded && got != job.Failed {
			t.Fatalf("job %s is %v after all faults have ended", spec.ID, got)
		}
		if h.state(spec.ID) == job.Failed && !h.hasCauseToFail(spec) {
			t.Fatalf("job %s has failed, and no task of it has had three failures or crashes: %v", spec.ID, h.setbacks)
		}
	}
}

// hasCauseToFail reports whether a task of a job has failed three times, or VMs have
// crashed under it so often.
func (h *harness) hasCauseToFail(spec *job.Spec) bool {
	for s := range spec.Steps {
		for i := range spec.Steps[s].Count {
			if h.setbacks[pool.TaskName(spec.ID, 0, s, i)] >= 3 {
				return true
			}
		}
	}
	return false
}
