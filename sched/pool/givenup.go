package pool

import "slices"

// earlierEnd is the end as done of a run that was given up, listed while a later run of its task,
// or of its gang, is active. The task is done once that one, which is stopped, has ended: until
// then it holds its room.
type earlierEnd struct {
	task      *task
	vm        string // id of the VM that has listed the end
	startedMS int64  // of its incarnation, Unix milliseconds
	sequence  int64
}

// findGivenUpRun returns the task of an end that v lists if the run was given up and the end counts
// nevertheless, and nil otherwise. An earlier owner may have given it up: its record does not tell
// on which VM, so only an end as done, which cannot have been recorded before, is taken for one.
// Such an end counts also if later runs are active, were given up or never sent. On a VM that has
// had no run of the task, it is that of an earlier job with the same id.
func (p *Pool) findGivenUpRun(v *vm, e RunEnd) *task {
	t := p.findTask(e.Task)
	if t == nil || t.phase == done || t.run < e.Run {
		return nil
	}
	doneHere := e.Cause == EndDone && (t.restored || slices.Contains(t.givenUpOn, v.ID))
	switch {
	case t.phase == waiting && (doneHere || t.run == e.Run && t.lostOn == v.ID):
		return t
	case t.active() && doneHere && t.run > e.Run && !t.spec().LongRunning:
		return t
	}
	return nil
}

// newestRun returns the tasks whose newest runs end together with that of t: t, or all members of
// its gang.
func (t *task) newestRun() []*task {
	if t.spec().Gang {
		return t.occ.tasks[t.step]
	}
	return []*task{t}
}

// newestRunActive reports whether the newest run of t, or of its gang, may be on a VM.
func (t *task) newestRunActive() bool { return slices.ContainsFunc(t.newestRun(), (*task).active) }

// doneByEarlierRun handles the end as done, with a sequence number of v, of a run of t that was
// given up, while a later one is active.
func (p *Pool) doneByEarlierRun(t *task, v *vm, sequence int64) {
	t.history.doneEarlier = true
	p.earlierEnds = append(p.earlierEnds, earlierEnd{t, v.ID, v.StartedMS, sequence})
}

// finishDoneEarlier ends the tasks of which an earlier run is done: it stops their active runs,
// and marks those without one as done.
func (p *Pool) finishDoneEarlier() {
	kept := p.earlierEnds[:0]
	for _, e := range p.earlierEnds {
		t := e.task
		if t.phase == done || t.occ.job.state.Final() {
			continue
		}
		for _, member := range t.newestRun() {
			if member.active() && !member.stopSentWithin(stopRetryInterval, p.now.Steady) {
				p.stopRun(member, "an earlier run is done")
			}
		}
		if t.newestRunActive() {
			kept = append(kept, e)
			continue
		}
		p.taskDone(t)
	}
	clear(p.earlierEnds[len(kept):])
	p.earlierEnds = kept
}

// maxHeldEnds is the largest number of recorded ends of a VM that are not acknowledged. A VM lists
// 500 ends at a time, so that it would show no newer ones.
const maxHeldEnds = 250

// endsOfBatch returns up to which sequence numbers the processed ends of v are recorded, and may be
// acknowledged, once the next batch, which is complete, is durable.
func (p *Pool) endsOfBatch(v *vm) durableEnds {
	upTo := v.endsProcessed
	if v.firstHeldEnd > 0 {
		upTo = min(upTo, v.firstHeldEnd-1)
	}
	for _, e := range p.earlierEnds {
		if e.vm == v.ID && e.startedMS == v.StartedMS {
			upTo = min(upTo, e.sequence-1)
		}
	}
	ends := durableEnds{startedMS: v.StartedMS, recorded: upTo, acknowledged: upTo}
	for _, e := range p.lateEnds {
		if e.vm == v.ID && e.startedMS == v.StartedMS {
			ends.acknowledged = min(ends.acknowledged, e.sequence-1)
		}
	}
	ends.acknowledged = max(ends.acknowledged, ends.recorded-maxHeldEnds)
	return ends
}
