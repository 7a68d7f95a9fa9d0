package pool

import (
	"bytes"
	"maps"
	"slices"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

const (
	// defaultRowBytes is the largest value of a row unless the settings give another.
	defaultRowBytes = 64 << 10
	// tasksPerPart is the number of tasks in one part of a job's progress. A part with the
	// longest ids of VMs, 200 bytes, takes a quarter of a row.
	tasksPerPart = 64
)

// MaxRowBytes returns the largest value of a row.
func (s *Settings) MaxRowBytes() int {
	if s.RowBytes > 0 {
		return s.RowBytes
	}
	return defaultRowBytes
}

func (p *Pool) rowBytes() int { return p.settings.MaxRowBytes() }

// progressParts is how the progress of a job is stored: in one row, or if that would be
// too large, in one row without tasks and in parts. A part holds tasksPerPart tasks,
// counted over all occurrences.
type progressParts struct {
	used   bool         // the tasks are in parts
	dirty  []int        // parts to be recorded again, in the order in which they changed
	stored map[int]bool // parts that may exist in the table service
	row    []byte       // the row without tasks as it was last recorded; nil if unknown
}

func (s *progressParts) markDirty(part int) {
	if !slices.Contains(s.dirty, part) {
		s.dirty = append(s.dirty, part)
	}
}

// part returns the number of the part that holds t.
func (t *task) part() int {
	return (t.occ.number*t.occ.job.spec.Tasks() + t.position) / tasksPerPart
}

// markDirty has the progress of t recorded again.
func (t *task) markDirty() {
	j := t.occ.job
	j.dirty = true
	if j.parts.used {
		j.parts.markDirty(t.part())
	}
}

// addJobs adds the progress rows of changed jobs, and the starts that depend on
// them, while there is room.
func (p *Pool) addJobs(b *Batch) {
	for id, j := range p.jobs {
		if !j.dirty || !p.mayWrite(id) {
			continue
		}
		if b.full() {
			return
		}
		if err := p.addJob(b, j); err != nil {
			p.log.Error("progress_not_encoded", zap.String("job", id), zap.Error(err))
		}
	}
}

// addJob adds the rows of one job while there is room.
func (p *Pool) addJob(b *Batch, j *jobState) error {
	if j.parts.used && !j.state.Final() {
		return p.addParts(b, j)
	}
	if j.state.Final() {
		return p.addFinalJob(b, j)
	}
	value, err := job.EncodeProgress(p.progress(j))
	if err != nil {
		return err
	}
	if len(value) > p.rowBytes() {
		p.useParts(j)
		return p.addParts(b, j)
	}
	b.put(j.spec.ID, tables.ProgressKey(p.settings.Pool, j.spec.ID), value)
	b.jobParts[j] = nil
	j.dirty = false
	j.parts.dirty = nil
	if j.active == 0 {
		return nil
	}
	for _, o := range j.open {
		for _, step := range o.tasks {
			b.addStarts(step)
		}
	}
	return nil
}

// addFinalJob adds the row of a job that has ended. While runs of it are being stopped, a later
// owner has to count them: the row holds the tasks, or the parts are kept. The row is written
// once more when the last of them has ended.
func (p *Pool) addFinalJob(b *Batch, j *jobState) error {
	j.dirty = false
	j.parts.dirty = nil
	stopping := j.active > 0
	if stopping && j.stoppingRecorded {
		return nil
	}
	progress := p.progress(j)
	value, err := job.EncodeProgress(progress)
	if err == nil && len(value) > p.rowBytes() {
		// Without the tasks, a later owner learns of their runs when VMs list them.
		p.log.Info("runs_being_stopped_not_recorded", zap.String("job", j.spec.ID), zap.Int("runs", j.active), zap.Int("bytes", len(value)))
		progress.Occurrences, progress.Placements, progress.Settled, progress.Ended = nil, nil, nil, nil
		value, err = job.EncodeProgress(progress)
	}
	if err != nil {
		return err
	}
	b.put(j.spec.ID, tables.ProgressKey(p.settings.Pool, j.spec.ID), value)
	b.jobParts[j] = nil
	j.stoppingRecorded = stopping
	if stopping {
		return nil
	}
	for number := range j.parts.stored {
		b.obsolete = append(b.obsolete, obsoletePart{j, number})
	}
	return nil
}

// addStarts adds the starts of the tasks that have been placed.
func (b *Batch) addStarts(tasks []*task) {
	for _, t := range tasks {
		if t.awaitsSend() {
			b.starts = append(b.starts, startRecord{t, t.run})
		}
	}
}

// useParts stores the progress of a job in parts from now on.
func (p *Pool) useParts(j *jobState) {
	p.log.Info("progress_in_parts", zap.String("job", j.spec.ID), zap.Int("tasks", j.spec.Tasks()), zap.Int("occurrences", len(j.open)))
	j.parts.used = true
	if j.parts.stored == nil {
		j.parts.stored = map[int]bool{}
	}
	for _, o := range j.open {
		for _, step := range o.tasks {
			for _, t := range step {
				if !t.untouched() {
					t.markDirty()
				}
			}
		}
	}
}

// untouched reports whether the stored state of t is that of a task without a row.
func (t *task) untouched() bool {
	return t.phase == waiting && t.run == 0 && t.history.failures == 0 && t.crashes == 0 && t.history.checkpoint == ""
}

// addParts adds the changed parts of a job, and then its row without tasks, while there is
// room. That row comes last: it may replace one that holds the tasks.
func (p *Pool) addParts(b *Batch, j *jobState) error {
	b.jobParts[j] = nil
	var placedLater []*task // in steps that depend on others
	for len(j.parts.dirty) > 0 && !b.full() {
		number := j.parts.dirty[0]
		tasks := j.tasksOfPart(number)
		value, err := p.encodePart(j, tasks)
		if err != nil {
			return err
		}
		b.put(j.spec.ID, tables.ProgressPartKey(p.settings.Pool, j.spec.ID, number), value)
		b.jobParts[j] = append(b.jobParts[j], number)
		j.parts.dirty = j.parts.dirty[1:]
		j.parts.stored[number] = true
		for _, t := range tasks {
			if len(t.spec().After) > 0 {
				placedLater = append(placedLater, t)
			} else {
				b.addStarts([]*task{t})
			}
		}
	}
	if len(j.parts.dirty) > 0 {
		// The ends of the steps before them may be in the parts that are left.
		for _, t := range placedLater {
			if t.awaitsSend() {
				t.markDirty()
			}
		}
		return nil
	}
	b.addStarts(placedLater)
	if b.full() {
		return nil
	}
	value, err := job.EncodeProgress(&job.Progress{State: j.state, FirstOpen: j.firstOpen, NextOpen: j.nextOpen, Workspace: j.spec.Workspace,
		Address: tables.AddressOf(j.spec.Location)})
	if err != nil {
		return err
	}
	if !bytes.Equal(value, j.parts.row) {
		b.put(j.spec.ID, tables.ProgressKey(p.settings.Pool, j.spec.ID), value)
		j.parts.row = value
		for number := range j.parts.stored {
			if (number+1)*tasksPerPart <= j.firstOpen*j.spec.Tasks() {
				b.obsolete = append(b.obsolete, obsoletePart{j, number})
			}
		}
	}
	j.dirty = false
	return nil
}

// obsoletePart is a part whose tasks are all of complete occurrences, or of a job that has
// ended, once the row of the job is durable with its batch.
type obsoletePart struct {
	job    *jobState
	number int
}

// deleteObsolete has the parts deleted that a durable batch has made obsolete.
func (p *Pool) deleteObsolete(b *Batch) {
	for _, o := range b.obsolete {
		if o.job.parts.stored[o.number] {
			delete(o.job.parts.stored, o.number)
			p.deleteParts(o.job.spec.ID, []int{o.number})
		}
	}
}

// tasksOfPart returns the tasks of a part that belong to open occurrences, in order.
func (j *jobState) tasksOfPart(number int) []*task {
	perOccurrence := j.spec.Tasks()
	first, end := number*tasksPerPart, (number+1)*tasksPerPart
	var list []*task
	for n := first / perOccurrence; n*perOccurrence < end; n++ {
		o := j.occurrence(n)
		if o == nil {
			continue
		}
		for _, step := range o.tasks {
			before := n*perOccurrence + step[0].position // number of the step's first task
			from, to := max(0, first-before), min(len(step), end-before)
			if from < to {
				list = append(list, step[from:to]...)
			}
		}
	}
	return list
}

// encodePart returns the stored form of successive tasks.
func (p *Pool) encodePart(j *jobState, tasks []*task) ([]byte, error) {
	part := &job.ProgressPart{}
	for i, t := range tasks {
		if placement, ok := p.storedPlacement(t); ok {
			part.Placements = append(part.Placements, placement)
		}
		t.addRefs(&part.Settled, &part.Ended)
		if i == 0 || tasks[i-1].occ != t.occ {
			part.Ranges = append(part.Ranges, job.TaskRange{Occurrence: t.occ.number, First: t.position})
		}
		r := &part.Ranges[len(part.Ranges)-1]
		r.Tasks = append(r.Tasks, t.stored())
		if c, ok := t.storedCrashes(); ok {
			part.Crashes = append(part.Crashes, c)
		}
		if f, ok := t.storedGangFailure(); ok {
			part.GangFailures = append(part.GangFailures, f)
		}
	}
	value, err := job.EncodeProgressPart(part)
	if err != nil || len(value) <= p.rowBytes() {
		return value, err
	}
	// Only checkpoints have no limit of their own. Without them, tasks begin again after
	// the loss of their VM and of this owner.
	dropped := 0
	for i := range part.Ranges {
		for k := range part.Ranges[i].Tasks {
			if c := &part.Ranges[i].Tasks[k].Checkpoint; len(*c) > p.rowBytes()/(4*tasksPerPart) {
				*c = ""
				dropped++
			}
		}
	}
	p.log.Warn("checkpoints_not_recorded", zap.String("job", j.spec.ID), zap.Int("tasks", dropped), zap.Int("bytes", len(value)))
	return job.EncodeProgressPart(part)
}

// progress returns a job's state as its progress row holds it with all tasks.
func (p *Pool) progress(j *jobState) *job.Progress {
	r := &job.Progress{State: j.state, FirstOpen: j.firstOpen, FinishedMS: j.finishedAtMS, Workspace: j.spec.Workspace,
		Address: tables.AddressOf(j.spec.Location)}
	if j.state.Final() && (j.active == 0 || j.parts.used) {
		return r
	}
	for _, o := range j.open {
		stored := job.Occurrence{Number: o.number}
		for _, step := range o.tasks {
			for _, t := range step {
				if placement, ok := p.storedPlacement(t); ok {
					r.Placements = append(r.Placements, placement)
				}
				t.addRefs(&r.Settled, &r.Ended)
				if c, ok := t.storedCrashes(); ok {
					r.Crashes = append(r.Crashes, c)
				}
				if f, ok := t.storedGangFailure(); ok {
					r.GangFailures = append(r.GangFailures, f)
				}
				stored.Tasks = append(stored.Tasks, t.stored())
			}
		}
		r.Occurrences = append(r.Occurrences, stored)
	}
	return r
}

// stored returns a task's state as the progress row holds it.
func (t *task) stored() job.Task {
	s := job.Task{Run: t.run, Checkpoint: t.history.checkpoint}
	if t.leader() == t {
		s.Failures = t.history.failures
	}
	switch {
	case t.phase == done:
		s.State = job.TaskDone
		s.Checkpoint = ""
	case t.active():
		s.State = job.TaskActive
		s.VM = t.vm.ID
	}
	return s
}

// storedPlacement returns when the newest run of t was placed as the progress row holds it. The
// result is false if there is no run, or if an earlier build has recorded it.
func (p *Pool) storedPlacement(t *task) (job.TaskPlacement, bool) {
	if t.awaitsSend() {
		t.recorded, t.recordedAt = true, p.now.Steady
	}
	at := (t.recordedAt + p.serviceClockOffset).Milliseconds() + 1 // rounded up
	return job.TaskPlacement{Occurrence: t.occ.number, Task: t.position, AtMS: at}, t.active() && t.recorded
}

// addRefs adds t to the tasks that job.Progress tells more about.
func (t *task) addRefs(settled, ended *[]job.TaskRef) {
	ref := job.TaskRef{Occurrence: t.occ.number, Task: t.position}
	switch {
	case !t.active():
	case t.startSettled:
		*settled = append(*settled, ref)
	case t.late.ended:
		*ended = append(*ended, ref)
	}
}

// storedCrashes returns the numbers of crashes under a task as the progress row holds
// them. The result is false if the row does not need them.
func (t *task) storedCrashes() (job.TaskCrashes, bool) {
	return job.TaskCrashes{Occurrence: t.occ.number, Task: t.position, Crashes: t.crashes, Certain: t.certainCrashes, Likely: t.likelyCrashes},
		t.crashes > 0 && t.phase != done
}

// storedGangFailure returns the newest failed run of a gang as the progress row holds it. The
// result is false unless t is the gang's first member and the row needs it.
func (t *task) storedGangFailure() (job.GangFailure, bool) {
	return job.GangFailure{Occurrence: t.occ.number, Task: t.position, Run: t.history.lastRun},
		t.spec().Gang && t.leader() == t && t.history.lastRun > 0 && t.phase != done
}

// DecodeStoredProgress returns the progress of jobs, by id, from all rows of the table of
// progress. Rows that are malformed are logged and left out.
func DecodeStoredProgress(rows []store.Row, log *zap.Logger) map[string]*job.Progress {
	stored := map[string]*job.Progress{}
	parts := map[string]map[int]*job.ProgressPart{}
	for _, row := range rows {
		id, number, ok := tables.ParseProgress(row.Name)
		switch {
		case !ok:
			log.Error("progress_row_unreadable", zap.String("row", row.Name))
		case number < 0:
			progress, err := job.DecodeProgress(row.Value)
			if err != nil {
				log.Error("progress_row_unreadable", zap.String("job", id), zap.Error(err))
				continue
			}
			stored[id] = progress
		default:
			part, err := job.DecodeProgressPart(row.Value)
			if err != nil {
				log.Error("progress_row_unreadable", zap.String("job", id), zap.Int("part", number), zap.Error(err))
				continue
			}
			if parts[id] == nil {
				parts[id] = map[int]*job.ProgressPart{}
			}
			parts[id][number] = part
		}
	}
	for id := range parts {
		if stored[id] == nil {
			stored[id] = &job.Progress{} // its row was to follow the parts
		}
		stored[id].Parts = parts[id]
	}
	return stored
}

// Restore adds a job with its stored progress at takeover. progress is nil for a
// job that no owner has recorded yet.
func (p *Pool) Restore(spec *job.Spec, progress *job.Progress) {
	if p.knows(spec) {
		return
	}
	j := p.add(spec)
	if progress == nil {
		j.dirty = true
		if spec.Cancelled {
			p.finish(j, job.Cancelled, "cancelled before it was stored")
		}
		return
	}
	j.state = progress.State
	j.started = progress.State != job.Queued
	j.firstOpen = progress.FirstOpen
	j.nextOpen = progress.FirstOpen
	j.finishedAtMS = progress.FinishedMS
	if j.state.Final() {
		p.finishedJobs = append(p.finishedJobs, j)
		p.restoreStopping(j, progress)
		return
	}
	p.restoreOpen(j, progress)
	if progress.NextOpen > 0 || len(progress.Parts) > 0 {
		j.parts = progressParts{used: true, stored: map[int]bool{}}
		for number := range progress.Parts {
			j.parts.stored[number] = true
		}
		if len(progress.Occurrences) > 0 {
			p.useParts(j) // the row with tasks has not been replaced yet
		}
	}
	p.closeCompleted(j) // the tasks may have been recorded before the row
}

// restoreOpen restores the open occurrences of a job with their tasks.
func (p *Pool) restoreOpen(j *jobState, progress *job.Progress) {
	for _, stored := range mergeParts(j.spec, progress) {
		o := p.newOccurrence(j, stored.Number, j.spec.Due(stored.Number))
		j.open = append(j.open, o)
		p.restoreTasks(o, stored)
		j.nextOpen = stored.Number + 1
	}
}

// restoreStopping restores the runs of a job that has ended which may still be on their VMs, so
// that what they hold counts until their ends are listed. The listings have them stopped.
func (p *Pool) restoreStopping(j *jobState, progress *job.Progress) {
	if len(progress.Occurrences)+len(progress.Parts) == 0 {
		return
	}
	p.restoreOpen(j, progress)
	if j.active == 0 {
		j.open = nil
		p.deleteParts(j.spec.ID, slices.Collect(maps.Keys(progress.Parts)))
		return
	}
	j.stoppingRecorded = true
	p.log.Info("runs_being_stopped", zap.String("job", j.spec.ID), zap.Stringer("state", j.state), zap.Int("runs", j.active))
	if len(progress.Parts) > 0 {
		j.parts = progressParts{used: true, stored: map[int]bool{}}
		for number := range progress.Parts {
			j.parts.stored[number] = true
		}
	}
}

// storedOccurrence is the stored progress of an occurrence.
type storedOccurrence struct {
	Number  int
	tasks   []job.Task
	crashes map[int]job.TaskCrashes // by position of the task
	failed  map[int]int             // newest failed run of a gang, by position of its first member
	placed  map[int]int64           // by position of the task: job.TaskPlacement.AtMS

	settled, ended map[int]bool // by position of the task, as in job.Progress
}

func newStoredOccurrence(number, tasks int) storedOccurrence {
	return storedOccurrence{Number: number, tasks: make([]job.Task, tasks), crashes: map[int]job.TaskCrashes{}, failed: map[int]int{}, placed: map[int]int64{}, settled: map[int]bool{}, ended: map[int]bool{}}
}

// mergeParts returns the stored progress of the open occurrences, in order. Parts are
// newer than what the row of the job holds.
func mergeParts(spec *job.Spec, progress *job.Progress) []storedOccurrence {
	next := progress.NextOpen
	for _, o := range progress.Occurrences {
		next = max(next, o.Number+1)
	}
	for _, part := range progress.Parts {
		for _, r := range part.Ranges {
			next = max(next, r.Occurrence+1)
		}
	}
	var open []storedOccurrence
	for n := progress.FirstOpen; n < min(next, spec.Occurrences(), progress.FirstOpen+spec.MaxOpen()); n++ {
		open = append(open, newStoredOccurrence(n, spec.Tasks()))
	}
	find := func(number int) *storedOccurrence {
		if i := number - progress.FirstOpen; i >= 0 && i < len(open) {
			return &open[i]
		}
		other := newStoredOccurrence(number, 0) // complete, or not one of the job
		return &other
	}
	for _, o := range progress.Occurrences {
		copy(find(o.Number).tasks, o.Tasks)
	}
	for _, c := range progress.Crashes {
		find(c.Occurrence).crashes[c.Task] = c
	}
	for _, f := range progress.GangFailures {
		find(f.Occurrence).failed[f.Task] = f.Run
	}
	for _, placement := range progress.Placements {
		find(placement.Occurrence).placed[placement.Task] = placement.AtMS
	}
	restoreRefs := func(settled, ended []job.TaskRef) {
		for _, ref := range settled {
			find(ref.Occurrence).settled[ref.Task] = true
		}
		for _, ref := range ended {
			find(ref.Occurrence).ended[ref.Task] = true
		}
	}
	restoreRefs(progress.Settled, progress.Ended)
	for _, part := range progress.Parts {
		for _, r := range part.Ranges {
			o := find(r.Occurrence)
			if r.First < 0 || r.First > len(o.tasks) {
				continue
			}
			copy(o.tasks[r.First:], r.Tasks)
			for i := range r.Tasks {
				delete(o.crashes, r.First+i)
				delete(o.failed, r.First+i)
				delete(o.placed, r.First+i)
				delete(o.settled, r.First+i)
				delete(o.ended, r.First+i)
			}
		}
		for _, c := range part.Crashes {
			find(c.Occurrence).crashes[c.Task] = c
		}
		for _, f := range part.GangFailures {
			find(f.Occurrence).failed[f.Task] = f.Run
		}
		for _, placement := range part.Placements {
			find(placement.Occurrence).placed[placement.Task] = placement.AtMS
		}
		restoreRefs(part.Settled, part.Ended)
	}
	return open
}

func (p *Pool) restoreTasks(o *occurrence, stored storedOccurrence) {
	for _, step := range o.tasks {
		for _, t := range step {
			p.restoreTask(t, stored.tasks[t.position], stored.placed[t.position], stored.settled[t.position], stored.ended[t.position])
			if t.leader() == t {
				t.history.failures, t.history.lastRun = stored.tasks[t.position].Failures, stored.failed[t.position]
			}
			c := stored.crashes[t.position]
			t.crashes, t.certainCrashes, t.likelyCrashes = c.Crashes, c.Certain, c.Likely
		}
	}
}

// restoreTask restores the stored state of a task. placedMS is when its newest run was placed,
// as in job.TaskPlacement; 0 if unknown. settled and ended are explained at
// job.Progress.
func (p *Pool) restoreTask(t *task, s job.Task, placedMS int64, settled, ended bool) {
	t.run, t.restored = s.Run, s.Run > 0
	if t.history.checkpoint == "" { // of the first member that has one; each is valid for all
		t.history.checkpoint = s.Checkpoint
	}
	switch s.State {
	case job.TaskDone:
		t.phase = done
		t.occ.remaining[t.step]--
	case job.TaskActive:
		// The run may be on a later incarnation of the worker than the one that it
		// was placed on, since a start names only the id. The listing shows it.
		v := p.inheritedVM(s.VM)
		p.assign(t, v)
		t.phase = unconfirmed
		t.inherited = true
		if placedMS > 0 {
			t.recorded, t.recordedAt = true, p.localTimeBound(placedMS)
		}
		t.startSettled, t.late.ended = settled, ended
		p.inheritStart(t)
		t.inheritedUntil = p.inheritedLeaseEnd(t)
		t.throttlePercent = unknownThrottle
		t.since = p.now.Steady
	}
}
