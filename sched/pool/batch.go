package pool

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

const (
	// maxBatchEntries leaves room for the owner's row in a transaction.
	maxBatchEntries = store.MaxTxnEntries - 4
	// maxBatchBytes keeps a transaction under 1 MB once it is encoded as text.
	maxBatchBytes = 600 << 10
	// queueStatusInterval is the minimum time between two publications of a
	// queue's status, which may be up to 2 s old.
	queueStatusInterval = 700 * time.Millisecond
)

// Batch holds the changes of one transaction and what depends on its commit.
type Batch struct {
	Puts    []store.Put
	Deletes []store.Key

	starts      []startRecord
	endsDurable map[string]durableEnds // by VM
	bytes       int                    // total size of the values in Puts
	leaseBounds map[string]int64       // by VM: lease bound in ms on the table service's clock; nil if the batch has none
}

// durableEnds are the ends of one incarnation of a VM, up to a sequence number, that are
// durable with a batch.
type durableEnds struct {
	startedMS int64 // of the incarnation, Unix milliseconds
	upTo      int64
}

// startRecord is a start that waits for its batch to become durable.
type startRecord struct {
	task *task
	run  int
}

// Empty reports whether the batch has nothing to write.
func (b *Batch) Empty() bool { return len(b.Puts) == 0 && len(b.Deletes) == 0 }

func (b *Batch) full() bool {
	return len(b.Puts)+len(b.Deletes) >= maxBatchEntries || b.bytes >= maxBatchBytes
}

func (b *Batch) put(k store.Key, value []byte) {
	b.Puts = append(b.Puts, store.Put{Key: k, Value: value})
	b.bytes += len(value)
}

// Cycle places ready tasks and returns the changes to write. The caller passes
// the batch to Committed once it is durable, before the next call of Cycle. If
// the write fails, the caller must give up the pool.
func (p *Pool) Cycle() Batch {
	p.needsAnotherVM = false
	p.findCandidates()
	p.drainVMs()
	p.plan()
	b := Batch{endsDurable: map[string]durableEnds{}}
	// The few rows that other processes wait for come first, so that many progress
	// rows do not displace them.
	p.addQueues(&b)
	p.addLeaseBounds(&b)
	p.addLoadReport(&b)
	p.addJobs(&b)
	if !b.full() {
		// The batch holds all changes so far, so all processed ends become durable
		// with it.
		for id, v := range p.vms {
			if v.endsProcessed > v.endsDurable {
				b.endsDurable[id] = durableEnds{v.StartedMS, v.endsProcessed}
			}
		}
	}
	p.deleteProgress(&b)
	return b
}

// addJobs adds the progress rows of changed jobs, and the starts that depend on
// them, while there is room.
func (p *Pool) addJobs(b *Batch) {
	for _, j := range p.jobs {
		if !j.dirty {
			continue
		}
		if b.full() {
			return
		}
		value, err := job.EncodeProgress(p.progress(j))
		if err != nil {
			p.log.Error("progress_not_encoded", zap.String("job", j.spec.ID), zap.Error(err))
			continue
		}
		b.put(tables.ProgressKey(p.settings.Pool, j.spec.ID), value)
		j.dirty = false
		p.addStarts(b, j)
	}
}

func (p *Pool) addStarts(b *Batch, j *jobState) {
	if j.active == 0 {
		return
	}
	for _, o := range j.open {
		for _, step := range o.tasks {
			for _, t := range step {
				if t.phase == placed {
					b.starts = append(b.starts, startRecord{t, t.run})
				}
			}
		}
	}
}

// progress returns a job's state as its progress row holds it.
func (p *Pool) progress(j *jobState) *job.Progress {
	r := &job.Progress{State: j.state, FirstOpen: j.firstOpen, FinishedMS: j.finishedAtMS, Workspace: j.spec.Workspace}
	if j.state.Final() {
		return r
	}
	for _, o := range j.open {
		stored := job.Occurrence{Number: o.number}
		for _, step := range o.tasks {
			for _, t := range step {
				if t.crashes > 0 && t.phase != done {
					r.Crashes = append(r.Crashes, job.TaskCrashes{Occurrence: o.number, Task: len(stored.Tasks), Crashes: t.crashes, Certain: t.certainCrashes, Likely: t.likelyCrashes})
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
	s := job.Task{Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint}
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

// addQueues publishes the numbers of waiting jobs that have changed.
func (p *Pool) addQueues(b *Batch) {
	counts := p.waitingJobs()
	for queue := range p.publishedWaiting {
		if _, ok := counts[queue]; !ok {
			counts[queue] = 0
		}
	}
	for queue, n := range counts {
		last, published := p.publishedWaiting[queue]
		if published && last == n || p.now.Steady-p.queuePublishedAt[queue] < queueStatusInterval && published || b.full() {
			continue
		}
		value, err := job.EncodeQueueStatus(job.QueueStatus{Waiting: n, AsOf: p.now.Wall})
		if err != nil {
			p.log.Error("queue_status_not_encoded", zap.String("queue", queue), zap.Error(err))
			continue
		}
		b.put(tables.QueueKey(p.settings.Pool, queue), value)
		p.publishedWaiting[queue] = n
		p.queuePublishedAt[queue] = p.now.Steady
	}
}

// WaitingElsewhere returns the numbers of waiting jobs of the queues that are no longer
// assigned to this pool, by queue. Queues without waiting jobs are left out.
func (p *Pool) WaitingElsewhere() map[string]int {
	counts := map[string]int{}
	for queue, n := range p.waitingJobs() {
		if q := p.catalog.queue(queue); n > 0 && (q == nil || q.Pool != p.settings.Pool) {
			counts[queue] = n
		}
	}
	return counts
}

// addLeaseBounds records the lease bounds of VMs that have not answered, so that
// a later owner need not wait for a full lease again. Leases are not extended
// while a bound is recorded.
func (p *Pool) addLeaseBounds(b *Batch) {
	if !p.leaseBoundsChanged || b.full() {
		return
	}
	bounds := map[string]int64{}
	for id, v := range p.vms {
		if v.leaseBound > 0 {
			bounds[id] = (v.leaseBound + p.serviceClockOffset).Milliseconds()
		}
	}
	value, err := cbor.Marshal(bounds)
	if err != nil {
		p.log.Error("lease_bounds_not_encoded", zap.Error(err))
		return
	}
	b.put(tables.LeaseKey(p.settings.Pool), value)
	b.leaseBounds = bounds
	for id := range bounds {
		p.storedLeaseBounds[id] = true
	}
	p.leaseBoundsChanged = false
}

// DecodeLeases decodes recorded lease bounds, by VM, on the clock of the table
// service. It returns an error for a malformed row.
func DecodeLeases(b []byte) (map[string]time.Duration, error) {
	var stored map[string]int64
	if err := cbor.Unmarshal(b, &stored); err != nil {
		return nil, fmt.Errorf("lease row: %w", err)
	}
	bounds := make(map[string]time.Duration, len(stored))
	for vm, ms := range stored {
		bounds[vm] = time.Duration(ms+1) * time.Millisecond // stored bounds are rounded down
	}
	return bounds, nil
}

// SetServiceClockOffset sets the offset that converts a time on this process's
// steady clock to one on the table service's clock that is not too early.
func (p *Pool) SetServiceClockOffset(offset time.Duration) { p.serviceClockOffset = offset }

// RestoreLease sets the recorded lease bound, on the steady clock, of a VM that
// the earlier owner could not reach. It must be called before Restore.
func (p *Pool) RestoreLease(id string, until time.Duration) {
	v := p.inheritedVM(id)
	v.leaseBound = max(until, 1)
	p.storedLeaseBounds[id] = true
	v.leaseUntil = until
	v.unanswered = true
}

// inheritedVM returns the VM with the given id, which an earlier owner has used. An
// unknown VM is added with the lease bound of all inherited runs.
func (p *Pool) inheritedVM(id string) *vm {
	v := p.vms[id]
	if v == nil {
		v = &vm{VM: VM{ID: id}, tasks: map[*task]struct{}{}, lastAnswer: p.now.Steady}
		v.leaseUntil = p.settings.InheritedLeaseBound
		p.vms[id] = v
		p.vmsChanged()
	}
	return v
}

// addLoadReport publishes a load report every loadReportInterval, and earlier when
// loadReportDue is set, for example because a cordoned VM has become empty.
func (p *Pool) addLoadReport(b *Batch) {
	if b.full() || !p.loadReportDue && p.now.Steady-p.loadPublishedAt < loadReportInterval {
		return
	}
	value, err := EncodeLoadReport(p.LoadReport())
	if err != nil {
		p.log.Error("load_report_not_encoded", zap.Error(err))
		return
	}
	b.put(tables.LoadKey(p.settings.Pool), value)
	p.loadPublishedAt = p.now.Steady
	p.publishedCoreSeconds = p.acceptedCoreSeconds
	p.loadReportDue = false
}

// ExpiredJobs removes and returns the descriptions of at most limit jobs that finished
// before StatusRetention. The caller deletes their requests and then passes the jobs
// to RequestsDeleted. A job's progress must not be deleted first: a later owner would
// run the job again.
func (p *Pool) ExpiredJobs(limit int) []*job.Spec {
	var expired []*job.Spec
	for len(expired) < limit && len(p.finishedJobs) > 0 {
		j := p.finishedJobs[0]
		age := time.Duration(p.now.Wall-j.finishedAtMS) * time.Millisecond
		if age < p.settings.StatusRetention || j.active > 0 {
			break
		}
		p.finishedJobs = p.finishedJobs[1:]
		expired = append(expired, j.spec)
	}
	return expired
}

// RequestsDeleted records that the requests of an expired job no longer exist. Its
// progress is deleted with one of the next batches.
func (p *Pool) RequestsDeleted(id string) {
	if p.jobs[id] != nil {
		p.deletableJobs = append(p.deletableJobs, id)
	}
}

// RequestsNotDeleted returns an expired job whose requests may still exist to the
// finished ones.
func (p *Pool) RequestsNotDeleted(id string) {
	if j := p.jobs[id]; j != nil {
		p.finishedJobs = append(p.finishedJobs, j)
	}
}

// DeleteProgress has the progress of a job that the scheduler does not know deleted
// with one of the next batches.
func (p *Pool) DeleteProgress(id string) { p.deletableJobs = append(p.deletableJobs, id) }

// deleteProgress deletes the progress of expired jobs whose requests are deleted.
func (p *Pool) deleteProgress(b *Batch) {
	for len(p.deletableJobs) > 0 && !b.full() {
		id := p.deletableJobs[0]
		p.deletableJobs = p.deletableJobs[1:]
		b.Deletes = append(b.Deletes, tables.ProgressKey(p.settings.Pool, id))
		delete(p.jobs, id)
	}
}

// Committed handles a batch that has become durable and returns the starts that
// depended on it.
func (p *Pool) Committed(b Batch) []Command {
	for id, durable := range b.endsDurable {
		if v := p.vms[id]; v != nil && v.StartedMS == durable.startedMS {
			v.endsDurable = max(v.endsDurable, durable.upTo)
		}
	}
	if b.leaseBounds != nil {
		clear(p.storedLeaseBounds)
		for id := range b.leaseBounds {
			p.storedLeaseBounds[id] = true
		}
	}
	var starts []Command
	for _, r := range b.starts {
		t := r.task
		if t.phase != placed || t.run != r.run {
			continue
		}
		ticketValue, hasTicket := p.adviceOf(t).ticketFor(t.vm, p.now.Steady)
		if !p.stillAllowed(t) || !hasTicket {
			p.endRun(t, waiting)
			continue
		}
		t.phase = starting
		t.since = p.now.Steady
		p.stats.Starts++
		p.logStart(t)
		starts = append(starts, Command{Kind: Start, VM: t.vm.ID, Address: t.vm.Address, Task: t.name, Run: t.run,
			Payload: t.occ.job.spec.Payload, Checkpoint: t.checkpoint, Ticket: ticketValue, IssuedAt: p.now.Steady})
	}
	return starts
}

// stillAllowed reports whether a placed run may still start. It checks what may
// have changed while the record was written.
func (p *Pool) stillAllowed(t *task) bool {
	v := t.vm
	return !t.occ.job.state.Final() && v.listed && !v.replaced && v.fenced && !v.Draining && !v.cordoned && !p.evacuated[v.DataCentre] && !p.leaseBoundPending(v)
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
		return
	}
	j.state = progress.State
	j.started = progress.State != job.Queued
	j.firstOpen = progress.FirstOpen
	j.nextOpen = progress.FirstOpen
	j.finishedAtMS = progress.FinishedMS
	if j.state.Final() {
		p.finishedJobs = append(p.finishedJobs, j)
		return
	}
	for _, stored := range progress.Occurrences {
		o := p.newOccurrence(j, stored.Number, spec.Due(stored.Number))
		p.restoreTasks(o, stored.Tasks, progress.Crashes)
		j.open = append(j.open, o)
		j.nextOpen = max(j.nextOpen, stored.Number+1)
	}
}

func (p *Pool) restoreTasks(o *occurrence, stored []job.Task, crashes []job.TaskCrashes) {
	crashesByTask := map[int]job.TaskCrashes{}
	for _, c := range crashes {
		if c.Occurrence == o.number {
			crashesByTask[c.Task] = c
		}
	}
	i := 0
	for s := range o.tasks {
		for _, t := range o.tasks[s] {
			if i >= len(stored) {
				return
			}
			p.restoreTask(t, stored[i])
			stored := crashesByTask[i]
			t.crashes, t.certainCrashes, t.likelyCrashes = stored.Crashes, stored.Certain, stored.Likely
			i++
		}
	}
}

func (p *Pool) restoreTask(t *task, s job.Task) {
	t.run, t.failures, t.checkpoint = s.Run, s.Failures, s.Checkpoint
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
		t.throttlePercent = unknownThrottle
		t.since = p.now.Steady
	}
}

// RestoreQueue sets, at takeover, the last published number of a queue's waiting
// jobs.
func (p *Pool) RestoreQueue(queue string, waiting int) { p.publishedWaiting[queue] = waiting }
