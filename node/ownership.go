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

// Claims of pools without an owner.
const (
	// firstClaimDelay is the time between the start of an entry and its first
	// claim of a pool that it did not own before, so that entries that start together
	// share the pools.
	firstClaimDelay = 900 * time.Millisecond
	// claimStagger is the head start of each entry over the next one in
	// claimOrder.
	claimStagger = 500 * time.Millisecond
	// rowTimeout bounds the read of an owner's row, and the publication of a
	// wave's status.
	rowTimeout = 1500 * time.Millisecond
	// claimTimeout bounds a claim. It is retried until its outcome is certain,
	// since a claim that takes effect after it was given up leaves the pool
	// without a scheduler.
	claimTimeout = 6 * time.Second
	// claimLatencyFactor, times the usual time of a transaction, is added to
	// claimStagger.
	claimLatencyFactor = 4
)

// ownerRow records which entry schedules a pool. Each transaction of the owner
// rewrites it on the condition that its version has not changed. A transaction
// that is carried out late, or was sent by an earlier owner, therefore fails.
type ownerRow struct {
	Node        string `cbor:"1,keyasint"` // empty if released
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Epoch       int64  `cbor:"3,keyasint"` // rises with each claim; the fencing tokens are made from it
	Batch       int64  `cbor:"4,keyasint"` // number of the owner's transactions since its claim
	SentAtMS    int64  `cbor:"5,keyasint"` // latest time at which the row can have been sent, ms on the table service's clock

	// EarlierRenewalsMS is the time by which all earlier owners have certainly stopped
	// renewing leases, ms on the table service's clock. One that is cut off from the
	// service renews for some time after it was replaced, also after later owners have
	// been replaced or have released the pool.
	EarlierRenewalsMS int64 `cbor:"6,keyasint,omitempty"`
}

// renewalsEndMS returns the time by which the owner in the row and all earlier ones have
// certainly stopped renewing leases, in ms on the table service's clock. An owner that has
// released the pool has stopped before; the result is 0 if there was no other.
func (r *ownerRow) renewalsEndMS() int64 {
	if r.Node == "" || r.SentAtMS == 0 {
		return r.EarlierRenewalsMS
	}
	return max(r.EarlierRenewalsMS, r.SentAtMS+job.Millis(renewAgeLimit))
}

// ownership is a claim of a pool, and the state of the chain of the owner's
// transactions.
type ownership struct {
	store   *timedStore
	pool    string
	row     ownerRow
	version int64 // of the owner's row
	clock   Clock
	service serviceClock
}

// serviceClock relates the steady clock of the table service to that of this
// process. It is based on one answer of the service.
type serviceClock struct {
	sentAt, answeredAt time.Duration // of the request and its answer, on this process's clock
	serviceTime        time.Duration // service's clock, read between the two
}

// serviceTimeBound returns the latest time on the service's clock that a time
// on this process's clock can correspond to.
func (c serviceClock) serviceTimeBound(local time.Duration) time.Duration {
	return c.serviceTime + local - c.sentAt
}

// localTimeBound returns the latest time on this process's clock that a time on
// the service's clock can correspond to.
func (c serviceClock) localTimeBound(service time.Duration) time.Duration {
	return c.answeredAt + service - c.serviceTime
}

// errDeposed means that another process owns the pool.
var errDeposed = errors.New("pool has another owner")

// readOwner reads the owner's row of a pool. It returns an ownership that is
// not claimed yet; its version is 0 if the row does not exist.
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

// claim makes this process the owner. It returns errDeposed if the row has
// changed since it was read.
func (o *ownership) claim(ctx context.Context, self Member) error {
	next := ownerRow{Node: self.Node, Incarnation: self.Incarnation, Epoch: o.row.Epoch + 1, EarlierRenewalsMS: o.row.renewalsEndMS()}
	return o.commitWithRow(ctx, next, store.Txn{})
}

// renewedUntil returns the time on this process's clock by which the owner in
// the row and all earlier ones have certainly stopped renewing leases.
func (o *ownership) renewedUntil() time.Duration {
	until := o.service.localTimeBound(time.Duration(o.row.renewalsEndMS()) * time.Millisecond)
	if o.row.Node == "" {
		until = max(until, o.clock.Now().Steady) // the last owner has renewed until its release
	}
	return until
}

// commit carries out a transaction of the owner. It retries until the outcome
// is certain, the pool has another owner (errDeposed), or ctx ends.
func (o *ownership) commit(ctx context.Context, txn store.Txn) error {
	next := o.row
	next.Batch++
	return o.commitWithRow(ctx, next, txn)
}

// release gives up the pool, so that another process can claim it at once.
func (o *ownership) release(ctx context.Context) error {
	next := o.row
	next.Node, next.Incarnation = "", ""
	next.Batch++
	return o.commitWithRow(ctx, next, store.Txn{})
}

// commitRetryPause is the pause after a try without a certain outcome, or one
// that the service refused.
const commitRetryPause = 100 * time.Millisecond

// commitWithRow commits txn together with the owner's new row next. The
// condition is that the row still has the version that was last read or
// written.
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
		receipt, err := o.tryCommit(ctx, txn, o.store.TxnTimeout(try, &txn))
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

func (o *ownership) tryCommit(ctx context.Context, txn store.Txn, timeout time.Duration) (store.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := o.clock.Now().Steady
	receipt, err := o.store.Commit(ctx, txn)
	if err == nil {
		o.service = serviceClock{sentAt, o.clock.Now().Steady, receipt.Time}
	}
	return receipt, err
}

// resolveConflict returns nil if the conflict shows that an earlier try of the
// same transaction was carried out, and errDeposed otherwise.
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

// minWeight is the least processor share that is assumed for a member, also if
// its share is unknown.
const minWeight = 0.1

// claimOrder returns the position of a node among the live members that may claim a pool:
// bystanders and members whose rows are late come last, those with the fewest pools per
// processor share first, then those whose data centre has the fewest, and a hash decides
// between equals. It is -1 if the node may not claim the pool.
func claimOrder(pool, node string, live map[string]Member) int {
	type candidate struct {
		name      string
		bystander bool    // or late
		load      float64 // pools per processor share, including the new one
		nearby    int     // pools owned in its data centre
		hash      uint64
	}
	nearby := map[string]int{}
	for _, m := range live {
		nearby[m.DataCentre] += len(m.Pools)
	}
	var list []candidate
	for name, m := range live {
		if !m.Stopping {
			list = append(list, candidate{name, m.Bystander || m.silent, float64(len(m.Pools)+1) / max(m.Weight, minWeight), nearby[m.DataCentre], hash64(pool, name)})
		}
	}
	sort.Slice(list, func(i, k int) bool {
		if list[i].bystander != list[k].bystander {
			return !list[i].bystander
		}
		if list[i].load != list[k].load {
			return list[i].load < list[k].load
		}
		if list[i].nearby != list[k].nearby {
			return list[i].nearby < list[k].nearby
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

// readOwnPartition reads this pool's partition of a table; see readSpans.
func (o *ownership) readOwnPartition(ctx context.Context, table string, log *zap.Logger) (store.Page, error) {
	return o.readSpans(ctx, table, store.Partitions(o.pool), log)
}

// readSpans reads spans of a table as of the claim or later. It retries while
// the service fails, and returns an error only if ctx ends.
func (o *ownership) readSpans(ctx context.Context, table string, spans []store.Span, log *zap.Logger) (store.Page, error) {
	for {
		page, err := readSpans(ctx, o.store, table, spans)
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
