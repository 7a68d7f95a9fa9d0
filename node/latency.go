package node

import (
	"context"
	"sync/atomic"
	"time"

	"amaranthfork.example/sched/store"
)

// Timeouts of the tries of a transaction. A try that times out is followed by
// another.
const (
	minCommitTimeout = 300 * time.Millisecond // the usual answer takes 10 ms
	maxCommitTimeout = 2500 * time.Millisecond
	// commitTimeoutFactor is the timeout of the first try, relative to the usual
	// time of a transaction.
	commitTimeoutFactor = 4
	// slowLinkBytesPerS is the rate that the timeout of a try allows for its values: a link
	// of 10 Mbit/s with base64 and other traffic.
	slowLinkBytesPerS = 800_000
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.2
)

// timedStore keeps a moving average of the time that transactions take, and counts
// the calls.
type timedStore struct {
	store.Store
	clock           Clock
	averageCommitNS atomic.Int64
	loads           *tableLoads
	path            *storePath
}

func newTimedStore(s store.Store, clock Clock) *timedStore {
	return &timedStore{Store: s, clock: clock, loads: newTableLoads(), path: newStorePath(clock)}
}

// Commit implements store.Store. A try that is cut off counts with the time
// that it took, so that timeouts grow while the service is slow.
func (t *timedStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	began := t.clock.Now().Steady
	t.loads.addCommit(txn)
	receipt, err := t.Store.Commit(ctx, txn)
	took := t.clock.Now().Steady - began
	t.path.record(ctx, began, err)
	average := time.Duration(t.averageCommitNS.Load())
	t.averageCommitNS.Store(int64(average + time.Duration(latencyGain*float64(took-average))))
	return receipt, err
}

// Range implements store.Store.
func (t *timedStore) Range(ctx context.Context, table, partition, from, to string) (store.Page, error) {
	began := t.clock.Now().Steady
	page, err := t.Store.Range(ctx, table, partition, from, to)
	t.path.record(ctx, began, err)
	t.loads.addRead(opRead, table, page.Rows)
	return page, err
}

// Changes implements store.Store.
func (t *timedStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	began := t.clock.Now().Steady
	page, err := t.Store.Changes(ctx, table, after, wait)
	t.path.record(ctx, began, err)
	t.loads.addRead(opFeed, table, page.Rows)
	return page, err
}

// AverageCommitTime returns the usual time of a transaction.
func (t *timedStore) AverageCommitTime() time.Duration {
	return time.Duration(t.averageCommitNS.Load())
}

// TxnTimeout returns the timeout of a try of a transaction, with the time that a narrow
// link takes for its values.
func (t *timedStore) TxnTimeout(try int, txn *store.Txn) time.Duration {
	bytes := 0
	for _, put := range txn.Puts {
		bytes += len(put.Value)
	}
	return t.CommitTimeout(try) + time.Duration(bytes)*time.Second/slowLinkBytesPerS
}

// CommitTimeout returns the timeout of a try, where 0 is the first one. It
// doubles with each of the next three tries, up to maxCommitTimeout.
func (t *timedStore) CommitTimeout(try int) time.Duration {
	timeout := max(minCommitTimeout, commitTimeoutFactor*t.AverageCommitTime()) << min(try, 3)
	return min(maxCommitTimeout, timeout)
}
