package jobs

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
)

// flushBatch bounds the records of one Append.
const flushBatch = 512

// persist journals the present progress of jobs and lets waiting callers see
// the results that have become durable. Its errors are those of Append.
func (m *Manager) persist(ctx context.Context, entries ...*entry) error {
	session := m.self()
	records, sequences, err := m.records(session, entries)
	if err != nil {
		return err
	}
	err = m.options.Journal.AppendIn(ctx, session, records...)
	outage := errors.Is(err, backing.ErrUnavailable) && ctx.Err() == nil
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, e := range entries {
		if e.appending == sequences[i] {
			e.appending = 0
		}
		switch {
		case err == nil:
			m.setDurable(e, sequences[i])
		case outage && e.phase == phaseEnded && m.options.Shards.Acting(e.shard) == nil:
			e.unrecorded = true
		}
		m.deliver(e)
	}
	return err
}

// records encodes jobs, all of which must belong to shards of the session.
func (m *Manager) records(session string, entries []*entry) ([]control.Record, []uint64, error) {
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
		e.appending = e.sequence
		s.touched = true
	}
	return records, sequences, nil
}

// setDurable notes that the progress at a sequence is durable. The first record
// of a job that becomes durable contains the job. The caller holds mu.
func (m *Manager) setDurable(e *entry, sequence uint64) {
	e.durable = max(e.durable, sequence)
	e.recorded = true
	if !e.dirty() && m.dirty[e.job.ID] == e {
		delete(m.dirty, e.job.ID)
	}
}

// deliver wakes the callers that wait for a job whose result they may see. The
// caller holds mu.
func (m *Manager) deliver(e *entry) {
	if e.done != nil && e.visible() {
		close(e.done)
		e.done = nil
	}
}

// Flush journals all changes that are not durable yet, such as releases of
// claims, and results from the time of an outage.
func (m *Manager) Flush(ctx context.Context) error {
	waiting := m.dirtyEntries()
	for len(waiting) > 0 {
		n := min(len(waiting), flushBatch)
		if err := m.persist(ctx, waiting[:n]...); err != nil {
			return fmt.Errorf("journal %d job changes: %w", len(waiting), err)
		}
		waiting = waiting[n:]
	}
	return nil
}

// dirtyEntries returns the jobs of shards that may be acted on and whose changes
// nobody else is appending, in the order of their ids.
func (m *Manager) dirtyEntries() []*entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make([]*entry, 0, len(m.dirty))
	for _, e := range m.dirty {
		if _, err := m.acting(e.shard); err == nil && e.appending != e.sequence && e.phase != phaseSubmitting && e.phase != phaseStarting {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, k int) bool { return entries[i].job.ID < entries[k].job.ID })
	return entries
}
