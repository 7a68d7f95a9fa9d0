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
	// queueInterval is the least time between two publications of a queue's
	// figures, half of the 2 s that they may be old.
	queueInterval = 700 * time.Millisecond
	// maxForgotten bounds the finished jobs that one batch deletes.
	maxForgotten = 10
)

// Batch is one transaction's worth of changes and what follows from it.
type Batch struct {
	Puts    []store.Put
	Deletes []store.Key

	starts []startRecord
	seen   map[string]int64 // numbers of recorded ends, by VM
	bytes  int
	leases map[string]int64 // recorded lease bounds; nil if they are not in the batch
}

type startRecord struct {
	task *task
	run  int
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Puts) == 0 && len(b.Deletes) == 0 }

func (b *Batch) full() bool {
	return len(b.Puts)+len(b.Deletes) >= maxBatchEntries || b.bytes >= maxBatchBytes
}

func (b *Batch) put(k store.Key, value []byte) {
	b.Puts = append(b.Puts, store.Put{Key: k, Value: value})
	b.bytes += len(value)
}

// Cycle plans and returns the changes to write. The next call must follow
// Committed, or the pool must be given up.
func (p *Pool) Cycle() Batch {
	p.stuck = false
	p.vacate()
	p.plan()
	b := Batch{seen: map[string]int64{}}
	// The few rows that others wait for come first, so that no number of jobs
	// keeps them out.
	p.addQueues(&b)
	p.addLeases(&b)
	p.addLoad(&b)
	p.addJobs(&b)
	if !b.full() {
		// Every change up to here is in the batch, so all ends are recorded.
		for id, v := range p.vms {
			if v.seen > v.durable {
				b.seen[id] = v.seen
			}
		}
	}
	p.forget(&b)
	return b
}

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

// progress returns the stored form of a job's state.
func (p *Pool) progress(j *jobState) *job.Progress {
	r := &job.Progress{State: j.state, FirstOpen: j.firstOpen, FinishedAt: j.finishedAt, Workspace: j.spec.Workspace}
	if j.state.Final() {
		return r
	}
	for _, o := range j.open {
		stored := job.Occurrence{Number: o.number}
		for _, step := range o.tasks {
			for _, t := range step {
				stored.Tasks = append(stored.Tasks, t.stored())
			}
		}
		r.Occurrences = append(r.Occurrences, stored)
	}
	return r
}

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

func (p *Pool) addQueues(b *Batch) {
	counts := p.waitingJobs()
	for queue := range p.queueCounts {
		if _, ok := counts[queue]; !ok {
			counts[queue] = 0
		}
	}
	for queue, n := range counts {
		last, published := p.queueCounts[queue]
		if published && last == n || p.now.Steady-p.queueAt[queue] < queueInterval && published || b.full() {
			continue
		}
		value, err := job.EncodeQueueStatus(job.QueueStatus{Waiting: n, AsOf: p.now.Wall})
		if err != nil {
			p.log.Error("queue_status_not_encoded", zap.String("queue", queue), zap.Error(err))
			continue
		}
		b.put(tables.QueueKey(p.settings.Pool, queue), value)
		p.queueCounts[queue] = n
		p.queueAt[queue] = p.now.Steady
	}
}

// addLeases records when the runs on silent VMs lapse, so that a later owner
// need not wait anew. Their leases are not extended while a bound is recorded.
func (p *Pool) addLeases(b *Batch) {
	if !p.leaseNews || b.full() {
		return
	}
	bounds := map[string]int64{}
	for id, v := range p.vms {
		if v.recorded > 0 {
			bounds[id] = (v.recorded + p.serviceOffset).Milliseconds()
		}
	}
	value, err := cbor.Marshal(bounds)
	if err != nil {
		p.log.Error("leases_not_encoded", zap.Error(err))
		return
	}
	b.put(tables.LeaseKey(p.settings.Pool), value)
	b.leases = bounds
	for id := range bounds {
		p.storedLeases[id] = true
	}
	p.leaseNews = false
}

// DecodeLeases reads recorded lease bounds, on the clock of the table service.
func DecodeLeases(b []byte) (map[string]time.Duration, error) {
	var stored map[string]int64
	if err := cbor.Unmarshal(b, &stored); err != nil {
		return nil, fmt.Errorf("lease row: %w", err)
	}
	bounds := make(map[string]time.Duration, len(stored))
	for vm, ms := range stored {
		bounds[vm] = time.Duration(ms+1) * time.Millisecond
	}
	return bounds, nil
}

// SetServiceClock tells what to add to this process's steady clock to get a
// time of the table service that is not too early.
func (p *Pool) SetServiceClock(offset time.Duration) { p.serviceOffset = offset }

// RestoreLease tells, before jobs are restored, when the runs on a VM lapse that
// the earlier owner could not reach.
func (p *Pool) RestoreLease(id string, until time.Duration) {
	v := p.inheritedVM(id)
	v.recorded = max(until, 1)
	p.storedLeases[id] = true
	v.leaseUntil = until
	v.silent = true
}

// inheritedVM returns a VM that an earlier owner has used.
func (p *Pool) inheritedVM(id string) *vm {
	v := p.vms[id]
	if v == nil {
		v = &vm{VM: VM{ID: id}, tasks: map[*task]struct{}{}, lastAnswer: p.now.Steady}
		v.leaseUntil = p.settings.InheritedLease
		p.vms[id] = v
	}
	return v
}

// addLoad publishes the pool's load from time to time, and at once when a
// cordoned VM has become empty.
func (p *Pool) addLoad(b *Batch) {
	if b.full() || !p.loadNews && p.now.Steady-p.loadAt < loadInterval {
		return
	}
	value, err := EncodeLoad(p.Load())
	if err != nil {
		p.log.Error("load_not_encoded", zap.Error(err))
		return
	}
	b.put(tables.LoadKey(p.settings.Pool), value)
	p.loadAt = p.now.Steady
	p.publishedWork = p.acceptedWork
	p.loadNews = false
}

// forget deletes jobs whose state need not be known any more.
func (p *Pool) forget(b *Batch) {
	for n := 0; n < maxForgotten && len(p.finished) > 0; n++ {
		j := p.finished[0]
		age := time.Duration(p.now.Wall-j.finishedAt) * time.Millisecond
		if age < p.settings.StatusKept || j.active > 0 || len(b.Puts)+len(b.Deletes)+3 > maxBatchEntries {
			return
		}
		id := j.spec.ID
		b.Deletes = append(b.Deletes, tables.JobKey(p.settings.Pool, id), tables.CancelKey(p.settings.Pool, id), tables.ProgressKey(p.settings.Pool, id))
		delete(p.jobs, id)
		p.finished = p.finished[1:]
	}
}

// Committed releases what waited for a batch to be durable.
func (p *Pool) Committed(b Batch) []Command {
	for id, seen := range b.seen {
		if v := p.vms[id]; v != nil {
			v.durable = max(v.durable, seen)
		}
	}
	if b.leases != nil {
		clear(p.storedLeases)
		for id := range b.leases {
			p.storedLeases[id] = true
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
			p.close(t, waiting)
			continue
		}
		t.phase = starting
		t.since = p.now.Steady
		p.stats.Starts++
		p.logPlaced(t)
		starts = append(starts, Command{Kind: Start, VM: t.vm.ID, Address: t.vm.Address, Task: t.name, Run: t.run,
			Payload: t.occ.job.spec.Payload, Checkpoint: t.checkpoint, Ticket: ticketValue, IssuedAt: p.now.Steady})
	}
	return starts
}

// stillAllowed checks what may have changed while the record was written.
func (p *Pool) stillAllowed(t *task) bool {
	v := t.vm
	return !t.occ.job.state.Final() && v.listed && v.fenced && !v.Draining && !v.cordoned && !p.evacuated[v.DataCentre]
}

// Restore adds a job with its stored progress, at takeover. A nil progress is
// that of a job which no owner has seen yet.
func (p *Pool) Restore(spec *job.Spec, progress *job.Progress) {
	if _, known := p.jobs[spec.ID]; known {
		return
	}
	j := p.add(spec)
	if progress == nil {
		j.dirty = true
		return
	}
	j.state = progress.State
	j.begun = progress.State != job.Queued
	j.firstOpen = progress.FirstOpen
	j.nextOpen = progress.FirstOpen
	j.finishedAt = progress.FinishedAt
	if j.state.Final() {
		p.finished = append(p.finished, j)
		return
	}
	for _, stored := range progress.Occurrences {
		o := p.newOccurrence(j, stored.Number, spec.Due(stored.Number))
		p.restoreTasks(o, stored.Tasks)
		j.open = append(j.open, o)
		j.nextOpen = max(j.nextOpen, stored.Number+1)
	}
}

func (p *Pool) restoreTasks(o *occurrence, stored []job.Task) {
	i := 0
	for s := range o.tasks {
		for _, t := range o.tasks[s] {
			if i >= len(stored) {
				return
			}
			p.restoreTask(t, stored[i])
			i++
		}
	}
}

func (p *Pool) restoreTask(t *task, s job.Task) {
	t.run, t.failures, t.checkpoint = s.Run, s.Failures, s.Checkpoint
	switch s.State {
	case job.TaskDone:
		t.phase = done
		t.occ.left[t.step]--
	case job.TaskActive:
		// The run may be of a later life of the worker than the one that it was
		// placed on, since orders name the id: its listing tells.
		v := p.inheritedVM(s.VM)
		p.attach(t, v)
		t.phase = unsettled
		t.inherited = true
		t.pace = unknownPace
		t.since = p.now.Steady
	}
}

// RestoreQueue tells the figure that was published last, at takeover.
func (p *Pool) RestoreQueue(queue string, waiting int) { p.queueCounts[queue] = waiting }
