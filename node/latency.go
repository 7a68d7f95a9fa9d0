package node

import (
	"context"
	"sync/atomic"
	"time"

	"amaranthfork.example/sched/store"
)

// Time limits of tries of a transaction. A try that reaches its limit is
// followed by another.
const (
	minCommitTimeout = 300 * time.Millisecond // the usual answer takes 10 ms
	maxCommitTimeout = 2500 * time.Millisecond
	// commitTimeoutFactor is the limit of a first try, relative to the usual
	// time.
	commitTimeoutFactor = 4
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.2
)

// timedStore keeps a moving average of the time that transactions take.
type timedStore struct {
	store.Store
	clock           Clock
	averageCommitNS atomic.Int64
}

// Commit implements store.Store. A try that is cut off counts with the time
// that it took, so that time limits grow while the service is slow.
func (t *timedStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	began := t.clock.Now().Steady
	receipt, err := t.Store.Commit(ctx, txn)
	took := t.clock.Now().Steady - began
	average := time.Duration(t.averageCommitNS.Load())
	t.averageCommitNS.Store(int64(average + time.Duration(latencyGain*float64(took-average))))
	return receipt, err
}

// AverageCommitTime returns the usual time of a transaction.
func (t *timedStore) AverageCommitTime() time.Duration {
	return time.Duration(t.averageCommitNS.Load())
}

// CommitTimeout returns the time limit of a try, where 0 is the first one. The
// limit doubles with each of the first three further tries, up to
// maxCommitTimeout.
func (t *timedStore) CommitTimeout(try int) time.Duration {
	limit := max(minCommitTimeout, commitTimeoutFactor*t.AverageCommitTime()) << min(try, 3)
	return min(maxCommitTimeout, limit)
}
