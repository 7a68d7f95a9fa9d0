package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// ownerWatch follows the rows of the owners of pools. An owner rewrites its row with
// each transaction, so the row shows that it lives and can write.
type ownerWatch struct {
	store *timedStore
	clock Clock
	log   *zap.Logger
	pause func() time.Duration // between calls of the feed

	mu             sync.Mutex
	rows           map[string]watchedOwner // by pool
	feedAnsweredAt time.Duration           // steady clock; 0 if never
}

// minFormerBatches is the number of transactions that an earlier incarnation must have made
// for its pool to be claimed at once.
const minFormerBatches = 5

type watchedOwner struct {
	ownerRow
	version   int64
	changedAt time.Duration // when the row was last seen to change, steady clock
}

func newOwnerWatch(s *timedStore, clock Clock, log *zap.Logger, pause func() time.Duration) *ownerWatch {
	return &ownerWatch{store: s, clock: clock, log: log, pause: pause, rows: map[string]watchedOwner{}}
}

func (w *ownerWatch) update(u Update) {
	now := w.clock.Now().Steady
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.feedAnsweredAt > 0 && feedStalled(u, w.feedAnsweredAt, now, w.pause(), w.store.AverageCommitTime()) {
		// Nothing was received from any owner. Give all of them time to write.
		for pool, row := range w.rows {
			row.changedAt = now
			w.rows[pool] = row
		}
	}
	w.feedAnsweredAt = now
	for _, row := range u.Rows {
		owner, err := decodeOwner(row)
		if err != nil {
			w.log.Warn("owner_row_unreadable", zap.String("pool", row.Partition), zap.Error(err))
			continue
		}
		w.observe(row.Partition, owner, row.Version, now)
	}
}

// forget drops all rows. It must be called when the rows are not followed any more, so
// that an owner is not taken for lost whose row has changed unseen.
func (w *ownerWatch) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.rows)
	w.feedAnsweredAt = 0
}

// observe records the row of a pool's owner. The caller holds mu.
func (w *ownerWatch) observe(pool string, owner ownerRow, version int64, now time.Duration) {
	if known, ok := w.rows[pool]; !ok || version > known.version {
		w.rows[pool] = watchedOwner{owner, version, now}
	}
}

// hasLiveOwner reports whether a pool has an owner that writes its row, or is listed
// by a live member. An owner whose process has restarted is not live. The row of a
// pool that has not been seen yet is read.
func (w *ownerWatch) hasLiveOwner(ctx context.Context, pool string, live map[string]Member) bool {
	for _, m := range live {
		if slices.Contains(m.Pools, pool) {
			return true
		}
	}
	w.mu.Lock()
	owner, known := w.rows[pool]
	w.mu.Unlock()
	if !known {
		var ok bool
		if owner, ok = w.read(ctx, pool); !ok {
			return true // not known: the row could not be read
		}
	}
	if owner.Node == "" {
		return false
	}
	if m, ok := live[owner.Node]; ok && (m.Incarnation != owner.Incarnation || m.Stopping) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.feedAnsweredAt-w.rows[pool].changedAt < memberTimeout+memberTimeoutLatencyFactor*w.store.AverageCommitTime()
}

// hasFormerOwner reports whether the owner of a pool is an earlier incarnation of this entry,
// which has ended after some work. This entry then claims the pool before any other notices
// it. A process that ended right after its claim may have ended by it, so others come first.
// The row of a pool that has not been seen yet is read.
func (w *ownerWatch) hasFormerOwner(ctx context.Context, pool string, self Member) bool {
	w.mu.Lock()
	owner, known := w.rows[pool]
	w.mu.Unlock()
	if !known {
		owner, known = w.read(ctx, pool)
	}
	return known && owner.Node == self.Node && owner.Incarnation != self.Incarnation && owner.Batch >= minFormerBatches
}

// hasWritten reports whether the owner in a row that was just read has written since its row
// was last seen to change. It then lives, although the feed has not told so yet.
func (w *ownerWatch) hasWritten(pool string, owner ownerRow, version int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.rows[pool]
	if !ok || version <= known.version || owner.Node == "" {
		return false
	}
	w.observe(pool, owner, version, w.clock.Now().Steady)
	return true
}

// read reads the row of a pool's owner. The result is false if the read failed; a
// pool without a row has an empty one.
func (w *ownerWatch) read(ctx context.Context, pool string) (watchedOwner, bool) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	row, _, err := store.Get(ctx, w.store, tables.OwnerKey(pool))
	if err != nil {
		w.log.Info("owner_not_read", zap.String("pool", pool), zap.Error(err))
		return watchedOwner{}, false
	}
	var owner ownerRow
	if row.Version != 0 {
		if owner, err = decodeOwner(row); err != nil {
			w.log.Warn("owner_row_unreadable", zap.String("pool", pool), zap.Error(err))
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe(pool, owner, row.Version, w.clock.Now().Steady)
	return w.rows[pool], true
}
