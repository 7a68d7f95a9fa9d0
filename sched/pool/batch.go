package pool

import (
	"fmt"
	"maps"
	"slices"
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
	items       []item                 // what the rows are about
	jobParts    map[*jobState][]int    // the jobs with rows in the batch, and which of their parts
	obsolete    []obsoletePart
}

// durableEnds are the ends of one incarnation of a VM, up to a sequence number, that are
// durable with a batch.
type durableEnds struct {
	startedMS    int64 // of the incarnation, Unix milliseconds
	recorded     int64 // ends up to this sequence number are recorded
	acknowledged int64 // ends up to this sequence number may be acknowledged
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

// put adds a row about an item.
func (b *Batch) put(about item, k store.Key, value []byte) {
	b.Puts = append(b.Puts, store.Put{Key: k, Value: value})
	b.bytes += len(value)
	b.addItem(about)
}

// addItem adds an item. All rows about one item follow each other.
func (b *Batch) addItem(about item) {
	if n := len(b.items); n == 0 || b.items[n-1] != about {
		b.items = append(b.items, about)
	}
}

// Cycle places ready tasks and returns the changes to write. The caller passes
// the batch to Committed once it is durable, or to Refused if the table service rejects
// it, before the next call of Cycle. If the write fails for another reason, the caller
// must give up the pool.
func (p *Pool) Cycle() Batch {
	p.needsAnotherVM = false
	p.findCandidates()
	p.drainVMs()
	p.plan()
	for {
		b := p.collectBatch()
		if !b.Empty() || len(p.suspects) == 0 {
			return b
		}
		p.suspects = p.suspects[1:] // nothing is left to write about the group
	}
}

// collectBatch returns the changes to write.
func (p *Pool) collectBatch() Batch {
	b := Batch{endsDurable: map[string]durableEnds{}, jobParts: map[*jobState][]int{}}
	// The few rows that other processes wait for come first, so that many progress
	// rows do not displace them.
	p.addQueues(&b)
	p.addVMs(&b)
	p.addLeaseBounds(&b)
	p.addLoadReport(&b)
	p.addJobs(&b)
	if !b.full() && len(p.suspects) == 0 {
		// The batch holds all changes so far but those that are held back, so the other
		// ends that are processed become durable with it.
		for id, v := range p.vms {
			if ends := p.endsOfBatch(v); ends.recorded > v.endsRecorded || ends.acknowledged > v.endsDurable {
				b.endsDurable[id] = ends
			}
		}
	}
	p.deleteProgress(&b)
	return b
}

// addQueues publishes the numbers of waiting jobs that have changed.
func (p *Pool) addQueues(b *Batch) {
	if !p.mayWrite(queueItem) {
		return
	}
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
		b.put(queueItem, tables.QueueKey(p.settings.Pool, queue), value)
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

// leaseEntryBytes is the largest encoded size of a lease bound, beside the id of its VM:
// two headers and a number.
const leaseEntryBytes = 12

// LeaseBoundsDue returns the ids of the VMs whose lease bounds the next Cycle may store,
// sorted. The caller must grant no lease on them from before that Cycle on, until
// RenewalTargets permits it again after a call of Committed, and must pass the bounds of all
// leases granted before to SetLeaseBounds.
func (p *Pool) LeaseBoundsDue() []string {
	if !p.leaseBoundsChanged {
		return nil
	}
	var ids []string
	for _, v := range p.sortedVMs() {
		if v.boundDue {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

// addLeaseBounds records the lease bounds of VMs that have not answered, so that
// a later owner need not wait for a full lease again. Leases are not extended
// while a bound is recorded; see LeaseBoundsDue.
func (p *Pool) addLeaseBounds(b *Batch) {
	if !p.leaseBoundsChanged || b.full() || !p.mayWrite(leaseItem) {
		return
	}
	// A bound that does not fit is left out: a later owner then waits until
	// InheritedLeaseBound, which is later.
	bounds := map[string]int64{}
	size := 0
	for _, v := range p.sortedVMs() {
		if !v.boundDue {
			continue
		}
		if size += len(v.ID) + leaseEntryBytes; size <= p.rowBytes() {
			v.storedUntil = v.leasesEnd()
			bounds[v.ID] = (v.storedUntil + p.serviceClockOffset).Milliseconds()
		}
	}
	value, err := cbor.Marshal(bounds)
	if err != nil {
		p.log.Error("lease_bounds_not_encoded", zap.Error(err))
		return
	}
	runs, err := cbor.Marshal(p.runLeases(bounds))
	if err != nil {
		p.log.Error("run_leases_not_encoded", zap.Error(err))
		return
	}
	b.put(leaseItem, tables.LeaseKey(p.settings.Pool), value)
	b.put(leaseItem, tables.RunLeaseKey(p.settings.Pool), runs)
	b.leaseBounds = bounds
	for id, until := range bounds {
		if !p.storedLeaseBounds[id] {
			p.log.Info("lease_bound_stored", zap.String("vm", id), zap.Int64("until_ms", until), p.leaseField(p.vms[id]))
		}
		p.storedLeaseBounds[id] = true
	}
	p.leaseBoundsChanged = false
}

// RunLeases tells which runs on a VM end before its recorded lease bound.
type RunLeases struct {
	UntilMS int64    `cbor:"1,keyasint"`           // end of the leases of all runs but Later, ms on the table service's clock
	Later   []string `cbor:"2,keyasint,omitempty"` // names of the tasks with runs that may end as late as the bound
}

// runLeases returns the VMs among those with recorded bounds on which some runs end earlier. VMs
// that do not fit into a row are left out.
func (p *Pool) runLeases(bounds map[string]int64) map[string]RunLeases {
	leases := map[string]RunLeases{}
	size := 0
	for _, v := range p.sortedVMs() {
		if _, recorded := bounds[v.ID]; !recorded {
			continue
		}
		first := v.leasesEnd()
		for t := range v.tasks {
			first = min(first, v.leaseEnd(t))
		}
		r := RunLeases{UntilMS: (first + p.serviceClockOffset).Milliseconds() + 1} // rounded up
		bytes := len(v.ID) + 2*leaseEntryBytes
		for _, t := range v.sortedTasks() {
			if v.leaseEnd(t) > first {
				r.Later = append(r.Later, t.name)
				bytes += len(t.name) + 2
			}
		}
		if size += bytes; len(r.Later) > 0 && size <= p.rowBytes() {
			leases[v.ID] = r
		}
	}
	return leases
}

// DecodeRunLeases decodes what runLeases has recorded, by VM. It returns an error for a malformed
// row.
func DecodeRunLeases(b []byte) (map[string]RunLeases, error) {
	var leases map[string]RunLeases
	if err := cbor.Unmarshal(b, &leases); err != nil {
		return nil, fmt.Errorf("row of run leases: %w", err)
	}
	return leases, nil
}

// RestoreRunLeases sets which runs on a VM, whose lease bound has been restored, end by a time on
// the steady clock: all but those of the later tasks. It must be called before Restore.
func (p *Pool) RestoreRunLeases(id string, until time.Duration, later []string) {
	v := p.vms[id]
	if v == nil || !p.storedLeaseBounds[id] {
		return
	}
	v.runsUntil = min(until, v.leaseUntil)
	v.laterRuns = map[string]bool{}
	for _, task := range later {
		v.laterRuns[task] = true
	}
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

// SetServiceClockOffset sets the offset that converts a time on this process's steady clock to
// one on the table service's clock that is not too early. It may be too large by maxError.
func (p *Pool) SetServiceClockOffset(offset, maxError time.Duration) {
	p.serviceClockOffset, p.serviceClockError = offset, maxError
}

// localTimeBound returns the latest time on the steady clock to which a time on the table
// service's clock, in ms, can correspond.
func (p *Pool) localTimeBound(serviceMS int64) time.Duration {
	return time.Duration(serviceMS)*time.Millisecond - p.serviceClockOffset + p.serviceClockError
}

// RestoreLease sets the recorded lease bound, on the steady clock, of a VM that
// the earlier owner could not reach. It must be called before Restore.
func (p *Pool) RestoreLease(id string, until time.Duration) {
	v := p.inheritedVM(id)
	v.boundDue = true
	p.storedLeaseBounds[id] = true
	v.leaseUntil, v.storedUntil = until, until
	v.unanswered = true
	p.log.Info("lease_bound_restored", zap.String("vm", id), p.leaseField(v))
}

// inheritedVM returns the VM with the given id, which an earlier owner has used. An
// unknown VM is added with the lease bound of all inherited runs.
func (p *Pool) inheritedVM(id string) *vm {
	v := p.vms[id]
	if v == nil {
		v = &vm{VM: VM{ID: id}, recorded: p.storedVMs[id], tasks: map[*task]struct{}{}, lastAnswer: p.now.Steady}
		v.leaseUntil = p.settings.InheritedLeaseBound
		p.vms[id] = v
		p.vmsChanged()
		p.log.Info("lease_bound_inherited", zap.String("vm", id), p.leaseField(v))
	}
	return v
}

// addLoadReport publishes a load report every loadReportInterval, and earlier when
// loadReportDue is set, for example because a cordoned VM has become empty.
func (p *Pool) addLoadReport(b *Batch) {
	if b.full() || !p.mayWrite(loadItem) || !p.loadReportDue && p.now.Steady-p.loadPublishedAt < loadReportInterval {
		return
	}
	rows, err := encodeLoadRows(p.LoadReport(), p.rowBytes())
	if err != nil {
		p.log.Error("load_report_not_encoded", zap.Error(err))
		return
	}
	for i, row := range rows {
		b.put(loadItem, tables.LoadKey(p.settings.Pool, i), row)
	}
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

// DeleteProgress has the stored progress of a job that the scheduler does not know deleted
// with the next batches.
func (p *Pool) DeleteProgress(id string, stored *job.Progress) {
	p.deletableJobs = append(p.deletableJobs, id)
	p.deleteParts(id, slices.Collect(maps.Keys(stored.Parts)))
}

// deleteParts has parts of a job's progress deleted with the next batches.
func (p *Pool) deleteParts(id string, parts []int) {
	for _, part := range parts {
		p.deletableRows = append(p.deletableRows, tables.ProgressPartKey(p.settings.Pool, id, part))
	}
}

// deleteProgress deletes the progress of expired jobs whose requests are deleted, and
// parts that are not needed any more.
func (p *Pool) deleteProgress(b *Batch) {
	if !p.mayWrite(deleteItem) {
		return
	}
	for len(p.deletableRows) > 0 && !b.full() {
		b.Deletes = append(b.Deletes, p.deletableRows[0])
		p.deletableRows = p.deletableRows[1:]
		b.addItem(deleteItem)
	}
	for len(p.deletableJobs) > 0 && !b.full() {
		id := p.deletableJobs[0]
		p.deletableJobs = p.deletableJobs[1:]
		b.Deletes = append(b.Deletes, tables.ProgressKey(p.settings.Pool, id))
		b.addItem(deleteItem)
		p.forgetJob(id)
	}
}

// forgetJob drops a job whose progress is being deleted, and accepts the one that was
// submitted again under its id.
func (p *Pool) forgetJob(id string) {
	j := p.jobs[id]
	delete(p.jobs, id)
	if j == nil || j.resubmitted == nil {
		return
	}
	p.Accept(j.resubmitted)
	if j.resubmittedCancelled {
		p.Cancel(id)
	}
}

// Committed handles a batch that has become durable and returns the starts that
// depended on it.
func (p *Pool) Committed(b Batch) []Command {
	if len(p.suspects) > 0 {
		p.suspects = p.suspects[1:] // the group is written
	}
	p.deleteObsolete(&b)
	for id, durable := range b.endsDurable {
		if v := p.vms[id]; v != nil && v.StartedMS == durable.startedMS {
			v.endsRecorded = max(v.endsRecorded, durable.recorded)
			v.endsDurable = max(v.endsDurable, durable.acknowledged)
		}
	}
	if b.leaseBounds != nil {
		clear(p.storedLeaseBounds)
		for id := range b.leaseBounds {
			p.storedLeaseBounds[id] = true
		}
	}
	p.withdrawStarts(b.starts)
	var starts []Command
	for _, r := range b.starts {
		t := r.task
		if !t.awaitsSend() || t.run != r.run {
			continue
		}
		ticketValue, _ := p.adviceOf(t).ticketFor(t.vm, p.now.Steady)
		t.phase = starting
		p.noteCall(t)
		t.since = p.now.Steady
		p.stats.Starts++
		p.logStart(t)
		starts = append(starts, Command{Kind: Start, VM: t.vm.ID, Address: t.vm.Address, Task: t.name, Run: t.run,
			Payload: t.occ.job.spec.Payload, Checkpoint: t.startedFrom, Ticket: ticketValue, Gang: t.spec().Gang, IssuedAt: p.now.Steady})
	}
	return starts
}

// withdrawStarts returns the placed runs that may no longer start, and the rest of their
// gangs, to the waiting tasks.
func (p *Pool) withdrawStarts(starts []startRecord) {
	for _, r := range starts {
		t := r.task
		if !t.awaitsSend() || t.run != r.run {
			continue
		}
		if _, hasTicket := p.adviceOf(t).ticketFor(t.vm, p.now.Steady); !hasTicket || !p.stillAllowed(t) {
			p.withdrawStart(t)
		}
	}
}

// stillAllowed reports whether a placed run may still start. It checks what may
// have changed while the record was written.
func (p *Pool) stillAllowed(t *task) bool {
	v := t.vm
	// A start that had no answer may be carried out on a cordoned VM anyway, which is empty sooner
	// if it begins at once.
	cordoned := v.cordoned && t.late.calls == 0
	return !t.occ.job.state.Final() && !t.history.doneEarlier && p.orphans[t.name] == nil && v.listed && v.described() && !v.replaced && v.fenced && !v.Draining && !cordoned && !p.evacuated[v.DataCentre] && !p.leaseBoundPending(v)
}

// RestoreQueue sets, at takeover, the last published number of a queue's waiting
// jobs.
func (p *Pool) RestoreQueue(queue string, waiting int) { p.publishedWaiting[queue] = waiting }
