package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
)

// repeated is a job with one task on VM "a": the first call of its start had no answer and may be
// carried out late, and the second one was answered.
type repeated struct {
	*harness
	a     *worker
	spec  *job.Spec
	task  string
	first lateOrder
}

func newRepeated(t *testing.T) *repeated {
	r := &repeated{harness: newHarness(t)}
	r.a = r.addVM("a", 8000)
	r.settle()
	r.spec = shortJob(1)
	r.submit(r.spec)
	r.task = r.spec.ID + ".0.0.0"
	r.first = r.loseStart(r.commit()[0])
	return r
}

// repeat has the start sent again.
func (r *repeated) repeat() *repeated {
	r.advance(100 * time.Millisecond)
	r.settle()
	if r.vmOf(r.task) != "a" {
		r.t.Fatalf("the start was not repeated")
	}
	return r
}

// runUntil runs the scheduler until a time on the steady clock.
func (h *harness) runUntil(at time.Duration) {
	for h.now.Steady < at {
		h.advance(min(200*time.Millisecond, at-h.now.Steady))
		h.renewAll()
		h.cycle()
	}
}

// lastMoment is shortly before an order can no longer be carried out.
func (o *lateOrder) lastMoment() time.Duration { return o.sentAt + orderDelay - 100*time.Millisecond }

// repeatUnderWay has the first call carried out and listed while the second one is under way, which
// then has no answer.
func (r *repeated) repeatUnderWay() (second lateOrder) {
	r.advance(100 * time.Millisecond)
	r.renew("a")
	r.advance(time.Second)
	r.renew("a")
	starts := r.commit()
	if len(starts) != 1 {
		r.t.Fatalf("%d starts, want the second call", len(starts))
	}
	r.grant(r.a)
	second = lateOrder{Command: starts[0], token: r.token(r.a), startedMS: r.a.vm.StartedMS, deadline: r.now.Steady + testLease, sentAt: r.now.Steady + orderTimeout}
	r.advance(50 * time.Millisecond)
	r.carryOutLate(r.first)
	r.renew("a")
	r.cycle()
	if r.vmOf(r.task) != "a" {
		r.t.Fatalf("the first call was not carried out")
	}
	r.advance(orderTimeout - 50*time.Millisecond)
	r.a.client.lastUnanswered = r.now.Steady
	r.scheduler.Started(starts[0], pool.StartUnconfirmed, r.now.Steady)
	return second
}

// Guards against two runs of a task (TWICE): the run is found while a repeated call of its start is
// under way. That call has no answer and is carried out by a later incarnation.
func TestCallUnderWayWhileItsRunIsFoundIsCounted(t *testing.T) {
	r := newRepeated(t)
	second := r.repeatUnderWay()
	r.addVM("b", 8000)
	r.runUntil(r.first.sentAt + orderDelay + 100*time.Millisecond)
	r.nextIncarnation(r.a)
	r.runUntil(second.lastMoment())
	r.nextIncarnation(r.a) // has seen no fencing token
	r.carryOutLate(second)
}

// Guards against work that is done twice (TWICE): the same, and the end of the run is acknowledged
// while the repeated call may be carried out.
func TestEndIsNotAcknowledgedWhileACallUnderWayMayBeginItsRun(t *testing.T) {
	r := newRepeated(t)
	second := r.repeatUnderWay()
	r.end(r.a, r.task, pool.EndDone)
	r.runUntil(second.lastMoment())
	if !r.a.listsDone(r.task) {
		t.Error("the end is acknowledged")
	}
}

// Guards against two runs of a task (TWICE): a run has failed while a call of its start was left. Its
// VM restarts and is silent, and the call is carried out at the last moment.
func TestTaskThatHasFailedWhileACallIsLeftStaysOnItsVM(t *testing.T) {
	for _, nextOwner := range []bool{false, true} {
		r := newRepeated(t).repeat()
		r.runUntil(r.now.Steady + time.Second)
		r.end(r.a, r.task, pool.EndFailed)
		r.runUntil(r.now.Steady + time.Second)
		r.addVM("b", 8000)
		r.a.down = true
		r.nextIncarnation(r.a)
		if nextOwner {
			r.runUntil(r.now.Steady + time.Second)
			r.takeover()
		}
		r.runUntil(r.first.lastMoment())
		r.a.down = false
		r.carryOutLate(r.first)
		r.a.down = true
		if r.vmOf(r.task) != "a" {
			t.Fatalf("next owner %v: the call was not carried out", nextOwner)
		}
		r.runUntil(r.now.Steady + orderDelay + 2*leaseBound + 2*time.Second)
		if r.vmOf(r.task) != "b" {
			t.Errorf("next owner %v: the task does not run on b", nextOwner)
		}
	}
}

// Guards against a task that waits for a call that was answered (LOST, sabz-sched-grown scale-2):
// the first call of its start had no answer, the second one came much later and was answered, and
// the run has failed. Only the first call may be carried out late.
func TestAnsweredCallIsNotAwaited(t *testing.T) {
	r := newRepeated(t)
	r.a.down = true
	r.runUntil(r.now.Steady + 7*time.Second)
	r.a.down = false
	r.runUntil(r.now.Steady + time.Second)
	if r.vmOf(r.task) != "a" {
		t.Fatal("the start was not repeated")
	}
	r.addVM("b", 8000)
	r.end(r.a, r.task, pool.EndFailed)
	r.runUntil(r.first.lastMoment())
	if on := r.vmOf(r.task); on != "" {
		t.Errorf("the task runs on %s while its first call may be carried out", on)
	}
	r.runUntil(r.first.sentAt + orderDelay + 2*time.Second)
	if r.vmOf(r.task) == "" {
		t.Error("the task does not run 2 s after its first call can no longer be carried out")
	}
}

// Guards against two runs of a task (TWICE): a late call begins the run on a later incarnation of
// its VM, and a late renewal extends its lease there.
func TestLateRenewalOfALateStartIsCounted(t *testing.T) {
	for _, nextOwner := range []bool{false, true} {
		r := newRepeated(t).repeat()
		r.runUntil(r.now.Steady + 7*time.Second)
		r.addVM("b", 8000)
		r.runUntil(r.now.Steady + time.Second)
		r.a.down = true
		r.advance(200 * time.Millisecond)
		r.renew("a")
		renewedAt := r.now.Steady
		if r.a.client.lastUnanswered != renewedAt {
			t.Fatal("the renewal has granted no lease")
		}
		r.nextIncarnation(r.a)
		if nextOwner {
			r.takeover()
		}
		r.runUntil(r.first.lastMoment())
		r.a.down = false
		r.carryOutLate(r.first)
		r.a.down = true
		if r.vmOf(r.task) != "a" {
			t.Fatal("the first call was not carried out")
		}
		r.runUntil(min(r.a.leaseUntil-300*time.Millisecond, renewedAt+orderDelay))
		r.a.leaseUntil = r.now.Steady + testLease
		r.runUntil(r.a.leaseUntil + time.Second)
	}
}

// Guards against work that is done twice (TWICE): the owner that holds the acknowledgement of an end
// is replaced, and the next one finds the task done.
func TestNextOwnerHoldsTheAcknowledgementOfAnEnd(t *testing.T) {
	r := newRepeated(t).repeat()
	r.end(r.a, r.task, pool.EndDone)
	r.runUntil(r.now.Steady + time.Second)
	if !r.taskDone(r.spec, 0, 0) || !r.a.listsDone(r.task) {
		t.Fatal("the end is not recorded, or acknowledged")
	}
	r.takeover()
	r.runUntil(r.first.lastMoment())
	if !r.a.listsDone(r.task) {
		t.Error("the next owner has acknowledged the end")
	}
	r.runUntil(r.now.Steady + orderDelay)
	if r.a.listsDone(r.task) {
		t.Error("the end is not acknowledged once no call is left")
	}
}

// Guards against a start after the last attempt (BUDGET): its end as failed is acknowledged while a
// call of its start may be carried out.
func TestLastFailedEndIsNotAcknowledgedWhileACallIsLeft(t *testing.T) {
	r := newRepeated(t)
	for i := 0; i < 200 && r.failuresByTask[r.task] < 2; i++ {
		r.advance(200 * time.Millisecond)
		r.renewAll()
		r.cycle()
		if _, ok := r.a.running[r.task]; ok {
			r.end(r.a, r.task, pool.EndFailed)
		}
	}
	var starts []pool.Command
	for i := 0; i < 200 && len(starts) == 0; i++ {
		r.advance(200 * time.Millisecond)
		r.renewAll()
		starts = r.commit()
		for _, c := range r.scheduler.Commands() {
			r.execute(c)
		}
	}
	if len(starts) != 1 || starts[0].Run != 3 {
		t.Fatalf("starts %v, want run 3", starts)
	}
	r.first = r.loseStart(starts[0])
	r.repeat()
	r.end(r.a, r.task, pool.EndFailed)
	r.runUntil(r.first.lastMoment())
	if r.state(r.spec.ID) != job.Failed || len(r.a.ends) == 0 {
		t.Errorf("state %v, ends %v; want a failed job and its last end not acknowledged", r.state(r.spec.ID), r.a.ends)
	}
}

// Guards against a job that fails although its attempts are not used up (LOST): the end of a run that
// a call may begin again is not acknowledged, and each next owner lists and counts it once more.
func TestFailedEndThatIsHeldIsCountedOnce(t *testing.T) {
	r := newRepeated(t).repeat()
	r.end(r.a, r.task, pool.EndFailed)
	for range 4 {
		r.runUntil(r.now.Steady + time.Second)
		r.takeover()
	}
	r.runUntil(r.first.lastMoment())
	if len(r.a.ends) == 0 {
		t.Error("the end is acknowledged")
	}
	if state := r.state(r.spec.ID); state == job.Failed {
		t.Error("the job has failed after one failed run")
	}
	r.runUntil(r.now.Steady + orderDelay)
	if _, ok := r.a.running[r.task]; !ok {
		t.Error("the task has not started again")
	}
}

// Guards against a task that waits although its VM answers: calls that were not sent are taken for
// calls without an answer.
func TestStartThatWasNotSentIsNoCall(t *testing.T) {
	r := newRepeated(t)
	notSent := 0
	for r.now.Steady < r.first.sentAt+3*time.Second {
		r.advance(200 * time.Millisecond)
		r.renewAll()
		for _, c := range r.commit() {
			if notSent < 2 {
				notSent++
				r.scheduler.NotSent(c)
				continue
			}
			return
		}
	}
	t.Error("the start was not repeated within 3 s")
}

// Guards against a run that is stopped and started at the same time: its gang is dissolved while the
// record of its repeated start is being written.
func TestStoppedRunIsNotStartedAgain(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b"} {
		h.addVM(id, 1000)
	}
	h.settle()
	spec := shortJob(2)
	spec.Steps[0].Gang = true
	h.submit(spec)
	starts := h.commit()
	late := h.loseStart(starts[0])
	h.advance(100 * time.Millisecond)
	h.renew(late.VM)
	batch := h.nextBatch()
	h.write(batch)
	h.scheduler.NotSent(starts[1])
	if sent := h.confirm(batch); len(sent) > 0 {
		t.Errorf("%s run %d is started", sent[0].Task, sent[0].Run)
	}
}

// Guards against a member of a gang that starts alone: its start had no answer, and the other member
// has ended meanwhile.
func TestGangMemberIsNotRepeatedAlone(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b"} {
		h.addVM(id, 1000)
	}
	h.settle()
	spec := shortJob(2)
	spec.Steps[0].Gang = true
	h.submit(spec)
	starts := h.commit()
	h.loseStart(starts[0])
	h.execute(starts[1])
	silent, other := h.workers[starts[0].VM], h.workers[starts[1].VM]
	silent.down = true
	h.runUntil(h.now.Steady + time.Second)
	h.end(other, starts[1].Task, pool.EndGangTimeout)
	h.runUntil(h.now.Steady + time.Second)
	silent.down = false
	h.runUntil(h.now.Steady + time.Second)
	if h.startsByTask[starts[0].Task] > 0 {
		t.Error("the member has started alone")
	}
}

// Guards against a task that waits for a VM from which it was about to be moved: it could start on no
// other VM while a call of its start is left.
func TestTaskIsNotMovedWhileACallIsLeft(t *testing.T) {
	r := &repeated{harness: newHarness(t)}
	r.a = r.addVM("a", 8000)
	r.settle()
	r.spec = longRunningJob(1, 0, 0)
	r.submit(r.spec)
	r.task = r.spec.ID + ".0.0.0"
	r.first = r.loseStart(r.commit()[0])
	r.repeat()
	b := r.addVM("b", 8000)
	r.scheduler.SetCordons(map[string]pool.Cordon{"m-a": {VM: "a", Version: 1}})
	r.runUntil(r.first.lastMoment())
	if r.vmOf(r.task) != "a" {
		t.Fatal("the task was stopped")
	}
	r.runUntil(r.now.Steady + 5*time.Second)
	if len(b.running) != 1 {
		t.Error("the task was not moved once no call was left")
	}
}
