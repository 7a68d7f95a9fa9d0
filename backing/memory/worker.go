package memory

import (
	"slices"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// maxForgotten bounds the ids of forgotten tasks that a worker still refuses to
// run again. At 8 slots and tasks of a second it covers more than 8 minutes.
const maxForgotten = 4096

// worker is the task state of one VM.
type worker struct {
	holder    string
	epoch     uint64    // highest epoch seen
	expires   time.Time // end of the dispatch lease, zero without a lease
	tasks     map[fleet.AttemptID]*task
	order     []fleet.AttemptID // of tasks, by start
	forgotten []fleet.AttemptID // oldest first
	starts    int               // tasks ever started
}

// task is a running or ended task.
type task struct {
	task      backing.Task
	run       Run
	state     backing.TaskState
	detail    string
	started   time.Time
	ended     time.Time
	since     time.Time     // time at which remaining was computed
	remaining time.Duration // run time at full speed from since on
	limit     int64         // thousandths of a processor, 0 without a throttle
}

func (w *worker) acquire(now time.Time, lease backing.Lease, ttl time.Duration) error {
	held := w.expires.After(now)
	if lease.Epoch < w.epoch || (lease.Epoch == w.epoch && held && lease.Holder != w.holder) {
		return backing.ErrFenced
	}
	w.holder, w.epoch, w.expires = lease.Holder, lease.Epoch, now.Add(ttl)
	return nil
}

func (w *worker) check(now time.Time, lease backing.Lease) error {
	if lease.Epoch != w.epoch || lease.Holder != w.holder || !w.expires.After(now) {
		return backing.ErrFenced
	}
	return nil
}

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
	if over := len(w.forgotten) - maxForgotten; over > 0 {
		w.forgotten = slices.Delete(w.forgotten, 0, over)
	}
}

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

// start starts a task on a worker whose lease was checked.
func (i *inventory) start(m *vm, now time.Time, pt backing.Task) error {
	w := &m.worker
	if w.knows(pt.ID) {
		return nil
	}
	if m.states.last() != fleet.VMLive || len(w.running()) >= m.info.Slots || !m.hasRoom(pt.Need) {
		return backing.ErrRefused
	}
	pt.Payload = slices.Clone(pt.Payload)
	t := &task{task: pt, state: backing.TaskRunning, started: now, since: now}
	t.run = i.runOf(m, pt)
	t.remaining = t.run.Time
	if left, ok := i.resume(stepKey{pt.Job, pt.Step}, m, now); ok {
		t.remaining = min(left, t.remaining)
	}
	w.tasks[pt.ID] = t
	w.order = append(w.order, pt.ID)
	w.starts++
	i.starts[stepKey{pt.Job, pt.Step}]++
	return nil
}

// resume returns the remaining run time of a checkpointed step that starts on m.
// The VM where the step ran last may be behind the clock, with a lapsed lease.
func (i *inventory) resume(key stepKey, m *vm, now time.Time) (time.Duration, bool) {
	if last := i.placed[key]; last != nil {
		i.advanceVM(last, now)
	}
	i.placed[key] = m
	left, ok := i.checkpoints[key]
	return left, ok
}

// hasRoom reports whether need fits beside the needs of the running tasks. A VM
// without a declared capacity has room for everything.
func (m *vm) hasRoom(need fleet.Resources) bool {
	free := m.info.Capacity
	if free == (fleet.Resources{}) {
		return true
	}
	for _, t := range m.worker.running() {
		free = free.Sub(t.task.Need)
	}
	return need.Fits(free)
}

// runOf asks the runner and applies the faults of the VM.
func (i *inventory) runOf(m *vm, pt backing.Task) Run {
	run := i.runner(m.info.ID, pt)
	switch {
	case m.failsAll:
		return Run{Failed: true, Detail: "the worker fails every task"}
	case m.exhausted(run.Usage):
		run.Failed, run.Detail = true, "out of memory"
	}
	return run
}

// exhausted reports whether the real usage of all tasks exceeds the memory of
// the VM.
func (m *vm) exhausted(usage fleet.Resources) bool {
	if m.info.Capacity == (fleet.Resources{}) {
		return false
	}
	used := usage.MemoryMB
	for _, t := range m.worker.running() {
		used += t.run.Usage.MemoryMB
	}
	return used > m.info.Capacity.MemoryMB
}

// advanceTasks ends the tasks that are done by now, and stops all tasks at the
// end of the dispatch lease.
func (i *inventory) advanceTasks(m *vm, now time.Time) {
	w := &m.worker
	lapsed := !w.expires.After(now)
	limit := now
	if lapsed {
		limit = w.expires
	}
	for _, t := range w.running() {
		switch ends := t.ends(); {
		case !ends.After(limit):
			i.finish(t, ends)
		case lapsed && t.run.NoCheckpoint:
			t.end(limit, backing.TaskStopped, "the dispatch lease lapsed")
		case lapsed:
			i.checkpoint(t, limit, "the dispatch lease lapsed")
		}
	}
}

func (i *inventory) finish(t *task, at time.Time) {
	if t.run.Failed {
		t.end(at, backing.TaskFailed, t.run.Detail)
		return
	}
	t.end(at, backing.TaskCompleted, t.run.Detail)
	delete(i.checkpoints, stepKey{t.task.Job, t.task.Step})
	delete(i.placed, stepKey{t.task.Job, t.task.Step})
}

func (i *inventory) checkpoint(t *task, now time.Time, detail string) {
	t.progress(now)
	i.checkpoints[stepKey{t.task.Job, t.task.Step}] = t.remaining
	t.end(now, backing.TaskCheckpointed, detail)
}

func (t *task) end(at time.Time, state backing.TaskState, detail string) {
	t.ended, t.state, t.detail = at, state, detail
}

// speed is the fraction of full speed at which a throttled task runs.
func (t *task) speed() float64 {
	if t.limit <= 0 || t.limit >= t.run.Usage.MilliCPU {
		return 1
	}
	return float64(t.limit) / float64(t.run.Usage.MilliCPU)
}

func (t *task) ends() time.Time {
	return t.since.Add(time.Duration(float64(t.remaining) / t.speed()))
}

// progress accounts for the run time up to now.
func (t *task) progress(now time.Time) {
	t.remaining -= time.Duration(float64(now.Sub(t.since)) * t.speed())
	t.since = now
}

func (t *task) throttle(now time.Time, milliCPU int64) {
	t.progress(now)
	t.limit = milliCPU
}

// status reports the task with its usage as it was at usageAt, or at its end.
func (t *task) status(usageAt time.Time) backing.TaskStatus {
	s := backing.TaskStatus{
		ID: t.task.ID, Job: t.task.Job, Step: t.task.Step,
		State: t.state, Detail: t.detail, Need: t.task.Need,
	}
	if t.state == backing.TaskCompleted {
		s.Body = slices.Clone(t.run.Body)
	}
	if t.state != backing.TaskRunning && t.ended.Before(usageAt) {
		usageAt = t.ended
	}
	if !usageAt.After(t.started) {
		return s
	}
	s.Usage, s.UsageAt = t.run.Usage, usageAt
	if t.limit > 0 {
		s.Usage.MilliCPU = min(s.Usage.MilliCPU, t.limit)
	}
	return s
}
