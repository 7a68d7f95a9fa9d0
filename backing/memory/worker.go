package memory

import (
	"slices"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// maxForgottenTasks bounds the ids of forgotten tasks that a worker still knows, so
// that it does not run them again. With 8 slots and tasks of 1 s it covers more
// than 8 minutes.
const maxForgottenTasks = 4096

// worker holds the dispatch lease and the tasks of one VM.
type worker struct {
	holder         string    // last holder of the dispatch lease
	epoch          uint64    // highest epoch seen
	leaseExpiresAt time.Time // end of the dispatch lease, zero without a lease
	tasks          map[fleet.AttemptID]*task
	order          []fleet.AttemptID // keys of tasks, in the order of their starts
	forgotten      []fleet.AttemptID // ids of forgotten tasks, oldest first
	starts         int               // tasks ever started
}

// task is a running or ended task.
type task struct {
	spec             backing.Task
	run              Run
	state            backing.TaskState
	detail           string
	startedAt        time.Time
	endedAt          time.Time
	remainingAsOf    time.Time     // time at which remaining was last computed
	remaining        time.Duration // run time at full speed that was left at remainingAsOf
	throttleMilliCPU int64         // thousandths of a processor, 0 without a throttle
}

// acquire obtains or renews the dispatch lease until now plus ttl. It returns
// ErrFenced for a lower epoch than the highest one seen, and for another holder at
// the same epoch while the lease has not expired.
func (w *worker) acquire(now time.Time, lease backing.Lease, ttl time.Duration) error {
	held := w.leaseExpiresAt.After(now)
	if lease.Epoch < w.epoch || (lease.Epoch == w.epoch && held && lease.Holder != w.holder) {
		return backing.ErrFenced
	}
	w.holder, w.epoch, w.leaseExpiresAt = lease.Holder, lease.Epoch, now.Add(ttl)
	return nil
}

// checkLease returns ErrFenced unless lease is the current, unexpired one.
func (w *worker) checkLease(now time.Time, lease backing.Lease) error {
	if lease.Epoch != w.epoch || lease.Holder != w.holder || !w.leaseExpiresAt.After(now) {
		return backing.ErrFenced
	}
	return nil
}

// knows reports whether a task with the id has been started, running or not. It
// remembers the last maxForgottenTasks forgotten ones.
func (w *worker) knows(id fleet.AttemptID) bool {
	_, ok := w.tasks[id]
	return ok || slices.Contains(w.forgotten, id)
}

// running returns the running tasks in the order of their starts.
func (w *worker) running() []*task {
	var list []*task
	for _, id := range w.order {
		if t := w.tasks[id]; t.state == backing.TaskRunning {
			list = append(list, t)
		}
	}
	return list
}

// forget drops the ended tasks among ids.
func (w *worker) forget(ids []fleet.AttemptID) {
	for _, id := range ids {
		t, ok := w.tasks[id]
		if !ok || t.state == backing.TaskRunning {
			continue
		}
		delete(w.tasks, id)
		w.order = slices.DeleteFunc(w.order, func(o fleet.AttemptID) bool { return o == id })
		w.forgotten = append(w.forgotten, id)
	}
	if over := len(w.forgotten) - maxForgottenTasks; over > 0 {
		w.forgotten = slices.Delete(w.forgotten, 0, over)
	}
}

// stopAll ends all running tasks without a checkpoint.
func (w *worker) stopAll(now time.Time, detail string) {
	for _, t := range w.running() {
		t.end(now, backing.TaskStopped, detail)
	}
}

func (w *worker) statuses(now time.Time, usageLag time.Duration) []backing.TaskStatus {
	list := make([]backing.TaskStatus, 0, len(w.order))
	for _, id := range w.order {
		list = append(list, w.tasks[id].status(now.Add(-usageLag)))
	}
	return list
}

// startTask starts a task. The caller has checked the dispatch lease. It returns
// nil without effect for a known id, and ErrRefused unless the VM is live with a
// free slot and room for the need of the task.
func (i *inventory) startTask(v *vm, now time.Time, spec backing.Task) error {
	w := &v.worker
	if w.knows(spec.ID) {
		return nil
	}
	if v.states.last() != fleet.VMLive || len(w.running()) >= v.info.Slots || !v.hasRoom(spec.Need) {
		return backing.ErrRefused
	}
	spec.Payload = slices.Clone(spec.Payload)
	t := &task{spec: spec, state: backing.TaskRunning, startedAt: now, remainingAsOf: now}
	t.run = i.planRun(v, spec, now)
	t.remaining = t.run.Time
	if left, ok := i.placeStep(stepKey{spec.Job, spec.Step}, v, now); ok {
		t.remaining = min(left, t.remaining)
	}
	w.tasks[spec.ID] = t
	w.order = append(w.order, spec.ID)
	w.starts++
	i.stepStarts[stepKey{spec.Job, spec.Step}]++
	return nil
}

// placeStep records that v starts a step, and returns the remaining run time of the
// step if it was checkpointed. It first advances the VM that last ran the step: if
// the lease there has expired since, the checkpoint is not written yet.
func (i *inventory) placeStep(key stepKey, v *vm, now time.Time) (time.Duration, bool) {
	if last := i.lastRanOn[key]; last != nil {
		i.advanceVM(last, now)
	}
	i.lastRanOn[key] = v
	left, ok := i.checkpoints[key]
	return left, ok
}

// hasRoom reports whether need fits into the capacity that the needs of the running
// tasks leave. A VM without a declared capacity has room for every task.
func (v *vm) hasRoom(need fleet.Resources) bool {
	free := v.info.Capacity
	if free == (fleet.Resources{}) {
		return true
	}
	for _, t := range v.worker.running() {
		free = free.Sub(t.spec.Need)
	}
	return need.Fits(free)
}

// planRun returns how a task that starts now runs: as the runner decides, unless
// the VM fails every task or runs out of memory.
func (i *inventory) planRun(v *vm, spec backing.Task, now time.Time) Run {
	run := i.runner(v.info.ID, spec, now)
	switch {
	case v.failsAll:
		return Run{Failed: true, Detail: "the worker fails every task"}
	case v.exceedsMemory(run.Usage):
		run.Failed, run.Detail = true, "out of memory"
	}
	return run
}

// exceedsMemory reports whether usage and the usage of the running tasks together
// exceed the memory of the VM. A VM without a declared capacity has no limit.
func (v *vm) exceedsMemory(usage fleet.Resources) bool {
	if v.info.Capacity == (fleet.Resources{}) {
		return false
	}
	used := usage.MemoryMB
	for _, t := range v.worker.running() {
		used += t.run.Usage.MemoryMB
	}
	return used > v.info.Capacity.MemoryMB
}

// advanceTasks ends the tasks that are done by now. At the expiry of the dispatch
// lease it checkpoints the running tasks, and stops those without checkpoints.
func (i *inventory) advanceTasks(v *vm, now time.Time) {
	w := &v.worker
	expired := !w.leaseExpiresAt.After(now)
	until := now
	if expired {
		until = w.leaseExpiresAt
	}
	for _, t := range w.running() {
		switch ends := t.endsAt(); {
		case !ends.After(until):
			i.endTask(t, ends)
		case expired && t.run.NoCheckpoint:
			t.end(until, backing.TaskStopped, "the dispatch lease expired")
		case expired:
			i.checkpointTask(t, until, "the dispatch lease expired")
		}
	}
}

// endTask ends a task whose run time is over. The checkpoint of a completed step
// is no longer needed.
func (i *inventory) endTask(t *task, at time.Time) {
	if t.run.Failed {
		t.end(at, backing.TaskFailed, t.run.Detail)
		return
	}
	t.end(at, backing.TaskCompleted, t.run.Detail)
	delete(i.checkpoints, stepKey{t.spec.Job, t.spec.Step})
	delete(i.lastRanOn, stepKey{t.spec.Job, t.spec.Step})
}

// checkpointTask ends a task and stores the remaining run time of its step.
func (i *inventory) checkpointTask(t *task, now time.Time, detail string) {
	t.advance(now)
	i.checkpoints[stepKey{t.spec.Job, t.spec.Step}] = t.remaining
	t.end(now, backing.TaskCheckpointed, detail)
}

func (t *task) end(at time.Time, state backing.TaskState, detail string) {
	t.endedAt, t.state, t.detail = at, state, detail
}

// speed returns the fraction of full speed at which the task runs: the throttle
// relative to the processor usage, 1 without a throttle.
func (t *task) speed() float64 {
	if t.throttleMilliCPU <= 0 || t.throttleMilliCPU >= t.run.Usage.MilliCPU {
		return 1
	}
	return float64(t.throttleMilliCPU) / float64(t.run.Usage.MilliCPU)
}

// endsAt returns when the task ends if its throttle does not change.
func (t *task) endsAt() time.Time {
	return t.remainingAsOf.Add(time.Duration(float64(t.remaining) / t.speed()))
}

// advance subtracts the work done since remainingAsOf from remaining.
func (t *task) advance(now time.Time) {
	t.remaining -= time.Duration(float64(now.Sub(t.remainingAsOf)) * t.speed())
	t.remainingAsOf = now
}

func (t *task) throttle(now time.Time, milliCPU int64) {
	t.advance(now)
	t.throttleMilliCPU = milliCPU
}

// status returns the status of the task. Its usage is as of usageAt, or of the end
// of the task if that is earlier, and zero before the start.
func (t *task) status(usageAt time.Time) backing.TaskStatus {
	s := backing.TaskStatus{
		ID: t.spec.ID, Job: t.spec.Job, Step: t.spec.Step,
		State: t.state, Detail: t.detail, Need: t.spec.Need,
	}
	if t.state == backing.TaskCompleted {
		s.Body = slices.Clone(t.run.Body)
	}
	if t.state != backing.TaskRunning && t.endedAt.Before(usageAt) {
		usageAt = t.endedAt
	}
	if !usageAt.After(t.startedAt) {
		return s
	}
	s.Usage, s.UsageAt = t.run.Usage, usageAt
	if t.throttleMilliCPU > 0 {
		s.Usage.MilliCPU = min(s.Usage.MilliCPU, t.throttleMilliCPU)
	}
	return s
}
