package pool

import (
	"go.uber.org/zap"
)

// item is what rows of a batch are about: the id of a job, or one of the following.
type item = string

const (
	queueItem  item = "queues"
	leaseItem  item = "leases"
	loadItem   item = "load"
	vmItem     item = "vms"
	deleteItem item = "deletions"
)

// mayWrite reports whether the next batch may hold rows about an item.
func (p *Pool) mayWrite(about item) bool {
	if p.heldBack[about] {
		return false
	}
	if len(p.suspects) == 0 {
		return true
	}
	for _, suspect := range p.suspects[0] {
		if suspect == about {
			return true
		}
	}
	return false
}

// Refused handles a batch that the table service rejects and would reject again: nothing
// of it was written. The items of the batch are written in ever smaller groups until the
// one that is rejected is known. That one is held back: nothing more is written or started
// for it, and the pool goes on with all others. The result is false if the batch has no
// item, so that there is nothing to hold back.
func (p *Pool) Refused(b Batch, cause error) bool {
	if len(b.items) == 0 {
		return false
	}
	p.undo(b)
	if len(p.suspects) > 0 {
		p.suspects = p.suspects[1:]
	}
	if len(b.items) > 1 {
		half := len(b.items) / 2
		p.suspects = append([][]item{b.items[:half], b.items[half:]}, p.suspects...)
		p.log.Warn("batch_refused", zap.Int("items", len(b.items)), zap.Int("puts", len(b.Puts)), zap.Int("bytes", b.bytes), zap.Error(cause))
		return true
	}
	p.holdBack(b, cause)
	return true
}

// release has the record of a job that has ended written again, if it was held back: the
// row of such a job is small.
func (p *Pool) release(j *jobState) {
	if !p.heldBack[j.spec.ID] {
		return
	}
	delete(p.heldBack, j.spec.ID)
	for about := range p.heldBack {
		if p.jobs[about] != nil {
			return
		}
	}
	for _, v := range p.vms {
		v.firstHeldEnd = 0
	}
}

// unpublished stands for a number of waiting jobs that must be published again.
const unpublished = -1

// undo has the changes of a batch written again.
func (p *Pool) undo(b Batch) {
	for j, parts := range b.jobParts {
		j.dirty = true
		j.stoppingRecorded = false
		j.parts.row = nil
		for _, part := range parts {
			j.parts.markDirty(part)
		}
	}
	for _, about := range b.items {
		switch about {
		case queueItem:
			for queue := range p.publishedWaiting {
				p.publishedWaiting[queue] = unpublished
			}
		case leaseItem:
			p.leaseBoundsChanged = true
		case loadItem:
			p.loadReportDue = true
		case vmItem:
			clear(p.storedVMs)
		}
	}
	p.deletableRows = append(p.deletableRows, b.Deletes...)
}

// holdBack holds back the only item of a batch.
func (p *Pool) holdBack(b Batch, cause error) {
	about := b.items[0]
	p.heldBack[about] = true
	p.log.Error("record_held_back", zap.String("item", about), zap.Int("puts", len(b.Puts)), zap.Int("bytes", b.bytes), zap.Error(cause))
	j := p.jobs[about]
	if j == nil {
		return
	}
	for _, o := range j.open {
		for _, step := range o.tasks {
			for _, t := range step {
				if t.phase == placed { // the start depends on the record
					p.endRun(t, waiting)
				}
				t.late.repeatDue = false
			}
		}
	}
	// Ends of the job that are processed and not durable may be among these.
	for _, v := range p.vms {
		if v.endsProcessed > v.endsRecorded && v.firstHeldEnd == 0 {
			v.firstHeldEnd = v.endsRecorded + 1
		}
	}
}
