package node

import (
	"context"
	"sync/atomic"
	"time"

	"amaranthfork.example/sched/store"
)

// Patience with the table service: how long a try of a transaction may take
// before it is sent again.
const (
	leastPatience = 300 * time.Millisecond // a usual answer takes 10 ms
	mostPatience  = 2500 * time.Millisecond
	// patienceFactor is the limit of a try, relative to the usual time.
	patienceFactor = 4
	// latencyGain is the weight of a new sample in the usual time.
	latencyGain = 0.2
)

// timedStore measures how long transactions take.
type timedStore struct {
	store.Store
	clock Clock
	usual atomic.Int64 // ns
}

// Commit implements store.Store. A try that is cut off counts with the time that
// it took, so that patience grows while the service is slow.
func (t *timedStore) Commit(ctx context.Context, txn store.Txn) (store.Receipt, error) {
	began := t.clock.Now().Steady
	receipt, err := t.Store.Commit(ctx, txn)
	took := t.clock.Now().Steady - began
	usual := time.Duration(t.usual.Load())
	t.usual.Store(int64(usual + time.Duration(latencyGain*float64(took-usual))))
	return receipt, err
}

// Usual returns the usual time of a transaction.
func (t *timedStore) Usual() time.Duration { return time.Duration(t.usual.Load()) }

// Patience returns the time limit of a try, longer for each try before it.
func (t *timedStore) Patience(try int) time.Duration {
	limit := max(leastPatience, patienceFactor*t.Usual()) << min(try, 3)
	return min(mostPatience, limit)
}
