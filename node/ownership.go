package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Claims of pools that have no owner.
const (
	// firstClaimDelay is the time after a start before the first claim, so that
	// entries that start together share the pools.
	firstClaimDelay = 900 * time.Millisecond
	// claimStagger is the head start of each better placed entry.
	claimStagger = 500 * time.Millisecond
	rowTimeout   = 1500 * time.Millisecond // of one read
	// claimTimeout bounds a claim. It is tried until its outcome is certain, since
	// one that takes effect after it was given up leaves the pool without a
	// scheduler.
	claimTimeout = 6 * time.Second
	// claimLatencyFactor is added to the head start, relative to the usual time of a
	// transaction.
	claimLatencyFactor = 4
)

// ownerRow tells who schedules a pool. It is rewritten by each transaction of
// the owner, so that its version orders them: a transaction that is carried out
// late, or by an earlier owner, fails its condition.
type ownerRow struct {
	Node        string `cbor:"1,keyasint"` // empty if released
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Epoch       int64  `cbor:"3,keyasint"` // rises with each claim; the fencing token on VMs
	Batch       int64  `cbor:"4,keyasint"` // counts the owner's transactions
	SentAtMS    int64  `cbor:"5,keyasint"` // when it was sent, ms on the service's clock, not too early
}

// ownership is a claim of a pool and the state of its chain of transactions.
type ownership struct {
	store   *timedStore
	pool    string
	row     ownerRow
	version int64 // of the owner's row
	clock   Clock
	service serviceClock
}

// serviceClock relates the steady clock of the table service to that of this
// process, by one answer.
type serviceClock struct {
	sentAt, answeredAt time.Duration // of this process
	serviceTime        time.Duration // of the service, read between the two
}

// serviceTimeBound returns the service's time by which a moment has passed for certain.
func (c serviceClock) serviceTimeBound(local time.Duration) time.Duration {
	return c.serviceTime + local - c.sentAt
}

// localTimeBound returns this process's time by which a moment of the service has passed
// for certain.
func (c serviceClock) localTimeBound(service time.Duration) time.Duration {
	return c.answeredAt + service - c.serviceTime
}

// errDeposed means that another process owns the pool.
var errDeposed = errors.New("pool has another owner")

// readOwner reads who owns a pool, as an ownership that is not claimed yet; a row
// that does not exist has version 0.
func readOwner(ctx context.Context, s *timedStore, pool string) (*ownership, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	key := tables.OwnerKey(pool)
	sentAt := s.clock.Now().Steady
	page, err := s.Range(ctx, key.Table, key.Partition, key.Name, key.Name+"\x00")
	if err != nil {
		return nil, err
	}
	o := &ownership{store: s, pool: pool, clock: s.clock, service: serviceClock{sentAt, s.clock.Now().Steady, page.Time}}
	if len(page.Rows) == 0 {
		return o, nil
	}
	o.version = page.Rows[0].Version
	o.row, err = decodeOwner(page.Rows[0])
	return o, err
}

func decodeOwner(row store.Row) (ownerRow, error) {
	var owner ownerRow
	if err := cbor.Unmarshal(row.Value, &owner); err != nil {
		return ownerRow{}, fmt.Errorf("owner row: %w", err)
	}
	return owner, nil
}

// claim makes this process the owner of a pool whose row was read.
func (o *ownership) claim(ctx context.Context, self Member) error {
	return o.commitWithRow(ctx, ownerRow{Node: self.Node, Incarnation: self.Incarnation, Epoch: o.row.Epoch + 1}, store.Txn{})
}

// renewedUntil returns when the owner of the row stops renewing leases for
// certain, on this process's clock.
func (o *ownership) renewedUntil() time.Duration {
	if o.row.Node == "" || o.row.SentAtMS == 0 {
		return o.clock.Now().Steady // released, or never owned
	}
	return o.service.localTimeBound(time.Duration(o.row.SentAtMS)*time.Millisecond) + renewAgeLimit
}

// commit writes a transaction of the owner. It tries until the outcome is
// certain, the pool has another owner (errDeposed), or ctx ends.
func (o *ownership) commit(ctx context.Context, txn store.Txn) error {
	next := o.row
	next.Batch++
	return o.commitWithRow(ctx, next, txn)
}

// release gives the pool up, so that another process claims it at once.
func (o *ownership) release(ctx context.Context) error {
	next := o.row
	next.Node, next.Incarnation = "", ""
	next.Batch++
	return o.commitWithRow(ctx, next, store.Txn{})
}

// commitRetryPause is the pause after a refused try.
const commitRetryPause = 100 * time.Millisecond

func (o *ownership) commitWithRow(ctx context.Context, next ownerRow, txn store.Txn) error {
	next.SentAtMS = job.Millis(o.service.serviceTimeBound(o.clock.Now().Steady))
	value, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	key := tables.OwnerKey(o.pool)
	txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Version: o.version})
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
	for try := 0; ; try++ {
		receipt, err := o.tryCommit(ctx, txn, o.store.CommitTimeout(try))
		var conflict *store.ConflictError
		switch {
		case err == nil:
			o.row, o.version = next, receipt.Version
			return nil
		case errors.As(err, &conflict):
			return o.resolveConflict(conflict, next)
		case errors.Is(err, store.ErrInvalid):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		sleep(ctx, commitRetryPause)
	}
}

func (o *ownership) tryCommit(ctx context.Context, txn store.Txn, limit time.Duration) (store.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sentAt := o.clock.Now().Steady
	receipt, err := o.store.Commit(ctx, txn)
	if err == nil {
		o.service = serviceClock{sentAt, o.clock.Now().Steady, receipt.Time}
	}
	return receipt, err
}

// resolveConflict tells whether an earlier try of the same transaction was carried out.
func (o *ownership) resolveConflict(conflict *store.ConflictError, next ownerRow) error {
	row, ok := conflict.Find(tables.OwnerKey(o.pool))
	if !ok {
		return errDeposed
	}
	current, err := decodeOwner(row)
	if err != nil || current != next {
		return errDeposed
	}
	o.row, o.version = next, row.Version
	return nil
}

// minWeight stands for members whose processor share is not known.
const minWeight = 0.1

// claimOrder returns the position of a node among the live members that may
// claim a pool: fewest pools for its processor share first, then by hash. It is
// -1 if the node may not.
func claimOrder(pool, node string, live map[string]Member) int {
	type candidate struct {
		name string
		load float64 // pools for each processor share, with the new one
		hash uint64
	}
	var list []candidate
	for name, m := range live {
		if !m.Stopping {
			list = append(list, candidate{name, float64(len(m.Pools)+1) / max(m.Weight, minWeight), hash64(pool, name)})
		}
	}
	sort.Slice(list, func(i, k int) bool {
		if list[i].load != list[k].load {
			return list[i].load < list[k].load
		}
		return list[i].hash < list[k].hash
	})
	for i, c := range list {
		if c.name == node {
			return i
		}
	}
	return -1
}

func hash64(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// readOwnPartition reads the owner's partition of a table.
func (o *ownership) readOwnPartition(ctx context.Context, table string, log *zap.Logger) (store.Page, error) {
	return o.readPartition(ctx, table, o.pool, log)
}

// readPartition reads a partition of a table as it is after the claim, and tries
// again while the service fails. The error is that of the context.
func (o *ownership) readPartition(ctx context.Context, table, partition string, log *zap.Logger) (store.Page, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, 2*readTimeout)
		page, err := store.All(callCtx, o.store, table, partition)
		cancel()
		if err == nil && page.Version < o.version {
			err = errStaleRead
		}
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		log.Info("recovery_read_failed", zap.String("table", table), zap.Error(err))
		sleep(ctx, retryPause)
	}
}
