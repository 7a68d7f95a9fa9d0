package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// lateTxnBound is above the time after which the table service still carries out a transaction
// that had no answer.
const lateTxnBound = 12 * time.Second

// maxTombstonesPerTxn bounds the tombstones that one transaction deletes: each takes a
// condition and two deletes.
const maxTombstonesPerTxn = store.MaxTxnEntries / 3

// tombstoneExpiry has the owner of a pool delete the tombstones that were left for its queues.
// It is used by the goroutine of the pool's loop.
type tombstoneExpiry struct {
	stored  map[store.Key]storedTombstone // by the key of the row that names the tombstone
	running bool
	nextAt  time.Duration // of the next round, steady clock
}

type storedTombstone struct {
	key     store.Key
	version int64         // of the row that names it
	dueAt   time.Duration // when it may be deleted, steady clock
}

// applyTombstone takes note of a row that names a tombstone. It returns false for other rows.
// An owner does not know the age of the rows that it finds, and keeps all for the whole time.
func (r *poolController) applyTombstone(row store.Row) bool {
	t := &r.tombstones
	if known, ok := t.stored[row.Key]; ok && (row.Removed || known.version == row.Version) {
		if row.Removed {
			delete(t.stored, row.Key)
		}
		return true
	}
	key, ok := tables.ParseTombstoneExpiry(r.name, row)
	if !ok || row.Removed {
		return false
	}
	if t.stored == nil {
		t.stored = map[store.Key]storedTombstone{}
	}
	dueAt := r.node.clock.Now().Steady + r.node.settings.Scheduler.StatusRetention + lateTxnBound
	t.stored[row.Key] = storedTombstone{key, row.Version, dueAt}
	return true
}

// deleteTombstones begins a round of deletions if one is due.
func (r *poolController) deleteTombstones(ctx context.Context, now time.Duration) {
	t := &r.tombstones
	if t.running || now < t.nextAt || len(t.stored) == 0 {
		return
	}
	t.nextAt = now + expiryInterval
	due := map[string][]store.Condition{} // rows that name tombstones, by partition
	tombstones, n := map[store.Key]store.Key{}, 0
	for key, stored := range t.stored {
		if now < stored.dueAt || n == maxExpiredJobs {
			continue
		}
		due[key.Partition] = append(due[key.Partition], store.Condition{Key: key, Version: stored.version})
		tombstones[key] = stored.key
		n++
	}
	if n == 0 {
		return
	}
	t.running = true
	r.node.spawn("tombstones", func() {
		var deleted []store.Condition
		for _, rows := range due {
			for len(rows) > 0 {
				batch := rows[:min(len(rows), maxTombstonesPerTxn)]
				rows = rows[len(batch):]
				deleted = append(deleted, r.deleteTombstoneBatch(ctx, batch, tombstones)...)
			}
		}
		r.deliver(func(*pool.Pool) {
			t.running = false
			for _, row := range deleted {
				if t.stored[row.Key].version == row.Version {
					delete(t.stored, row.Key)
				}
			}
		})
	})
}

// deleteTombstoneBatch deletes tombstones and the rows that name them in one transaction. The
// conditions keep one that is carried out late from deleting a later tombstone. It returns the
// rows that no longer exist.
func (r *poolController) deleteTombstoneBatch(ctx context.Context, rows []store.Condition, tombstones map[store.Key]store.Key) []store.Condition {
	txn := store.Txn{Conditions: rows}
	for _, row := range rows {
		txn.Deletes = append(txn.Deletes, row.Key, tombstones[row.Key])
	}
	ctx, cancel := context.WithTimeout(ctx, expiryTimeout)
	defer cancel()
	_, err := r.node.store.Commit(ctx, txn)
	if err == nil {
		return rows
	}
	r.log.Info("tombstones_not_deleted", zap.Int("tombstones", len(rows)), zap.Error(err))
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return nil
	}
	var gone []store.Condition
	for _, row := range rows {
		if current, exists := conflict.Find(row.Key); !exists || current.Version != row.Version {
			gone = append(gone, row)
		}
	}
	return gone
}
