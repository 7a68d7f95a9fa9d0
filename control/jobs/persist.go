package jobs

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
)

// maxRecordsPerAppend bounds the records that Flush passes to one Append.
const maxRecordsPerAppend = 512

// persist journals the current progress of jobs and wakes the callers that wait
// for results that have become visible. It returns the errors of
// Journal.AppendIn.
func (m *Manager) persist(ctx context.Context, entries ...*jobEntry) error {
	session := m.self()
	records, sequences, err := m.encodeRecords(session, entries)
	if err != nil {
		return err
	}
	err = m.options.Journal.AppendIn(ctx, session, records...)
	outage := errors.Is(err, backing.ErrUnavailable) && ctx.Err() == nil
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, e := range entries {
		if e.appendingSequence == sequences[i] {
			e.appendingSequence = 0
		}
		switch {
		case err == nil:
			m.setDurable(e, sequences[i])
		case outage && e.phase == phaseEnded && m.options.Shards.Acting(e.shard) == nil:
			e.unrecorded = true
		}
		m.notifyWaiters(e)
	}
	return err
}

// encodeRecords returns the records and sequences of jobs. It fails with
// backing.ErrFenced unless all of them belong to shards that the given session
// has loaded.
func (m *Manager) encodeRecords(session string, entries []*jobEntry) ([]control.Record, []uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := make([]control.Record, 0, len(entries))
	sequences := make([]uint64, 0, len(entries))
	for _, e := range entries {
		s := m.shards[e.shard]
		if s == nil || s.session != session {
			return nil, nil, fmt.Errorf("%w: job %s belongs to another session", backing.ErrFenced, e.job.ID)
		}
		r, err := encodeRecord(e.shard, e.record())
		if err != nil {
			return nil, nil, err
		}
		records = append(records, r)
		sequences = append(sequences, e.sequence)
		e.appendingSequence = e.sequence
		s.changed = true
	}
	return records, sequences, nil
}

// setDurable records that the progress up to a sequence is durable. The first
// record of a job that becomes durable contains the job itself. The caller
// holds mu.
func (m *Manager) setDurable(e *jobEntry, sequence uint64) {
	e.durableSequence = max(e.durableSequence, sequence)
	e.jobDurable = true
	if !e.dirty() && m.dirty[e.job.ID] == e {
		delete(m.dirty, e.job.ID)
	}
}

// notifyWaiters wakes the callers that wait for the end of a job once its
// result is visible. The caller holds mu.
func (m *Manager) notifyWaiters(e *jobEntry) {
	if e.endedOrMoved != nil && e.resultVisible() {
		close(e.endedOrMoved)
		e.endedOrMoved = nil
	}
}

// Flush journals all changes that are not durable yet, such as ended claims and
// results from a store outage.
func (m *Manager) Flush(ctx context.Context) error {
	dirty := m.dirtyJobs()
	for len(dirty) > 0 {
		n := min(len(dirty), maxRecordsPerAppend)
		if err := m.persist(ctx, dirty[:n]...); err != nil {
			return fmt.Errorf("journal %d job changes: %w", len(dirty), err)
		}
		dirty = dirty[n:]
	}
	return nil
}

// dirtyJobs returns the jobs, ordered by id, that have changes to journal and
// whose shards this entry may act on. It leaves out jobs whose changes another
// call is journaling.
func (m *Manager) dirtyJobs() []*jobEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make([]*jobEntry, 0, len(m.dirty))
	for _, e := range m.dirty {
		if _, err := m.actingShard(e.shard); err == nil && e.appendingSequence != e.sequence && e.phase != phaseSubmitting && e.phase != phaseStarting {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, k int) bool { return entries[i].job.ID < entries[k].job.ID })
	return entries
}
