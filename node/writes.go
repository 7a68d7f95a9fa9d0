package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthfork.example/sched/store"
)

const (
	// maxWriteBytesInBatch bounds the values in one transaction, so that it stays under
	// store.MaxTxnBytes once it is encoded as text.
	maxWriteBytesInBatch = 600 << 10
)

// pendingWrite is a caller's request that is not stored yet. Its rows must not
// exist yet.
type pendingWrite struct {
	txn  store.Txn
	done chan error // buffered; receives the answer

	// answerKnown returns the answer if one of the rows exists already, given the first of
	// them; nil if the answer is then the same as after a write.
	answerKnown func(store.Row) error

	inFlight    bool // a try is under way
	unconfirmed bool // a try had no certain outcome and may take effect later
	abandoned   bool // its caller no longer waits
	alone       bool // must not share a transaction: one that it shared was rejected
}

// size returns the size of the values to write, in bytes.
func (w *pendingWrite) size() int {
	n := 0
	for _, put := range w.txn.Puts {
		n += len(put.Value)
	}
	return n
}

// entries returns the number of entries that the request takes in a transaction.
func (w *pendingWrite) entries() int { return len(w.txn.Conditions) + len(w.txn.Puts) }

// writeBatcher stores callers' requests in one partition. Requests that arrive
// while a transaction is under way share the next one, so that a slow table
// service stores many requests with one transaction.
type writeBatcher struct {
	store *timedStore

	mu      sync.Mutex
	pending []*pendingWrite
	running bool
}

// submit stores a request. It returns nil once its rows exist, *NotRunError if
// they were certainly not written, ErrUnconfirmed, or an error of answerKnown.
func (b *writeBatcher) submit(ctx context.Context, txn store.Txn, answerKnown func(store.Row) error) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	w := &pendingWrite{txn: txn, done: make(chan error, 1), answerKnown: answerKnown}
	if !b.store.path.await(ctx) {
		return errPathLost()
	}
	b.mu.Lock()
	b.pending = append(b.pending, w)
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return b.abandon(w)
	}
}

// errPathLost returns the error of a request that is not sent because the table service does
// not answer.
func errPathLost() error {
	return &NotRunError{"table service does not answer", refusalRetryAfter}
}

// abandon ends the wait for a request and returns what is known of its outcome.
func (b *writeBatcher) abandon(w *pendingWrite) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	w.abandoned = true
	if w.inFlight || w.unconfirmed {
		return ErrUnconfirmed
	}
	return &NotRunError{"table service is too slow", refusalRetryAfter}
}

// run commits the pending requests until none is left.
func (b *writeBatcher) run() {
	for try := 0; ; try++ {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		if b.commitBatch(batch, try) {
			try = -1
		}
	}
}

// nextBatch takes the requests of the next transaction. It drops requests whose
// callers no longer wait.
func (b *writeBatcher) nextBatch() []*pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*pendingWrite
	bytes, entries := 0, 0
	lost := b.store.path.isLost()
	for _, w := range b.pending {
		switch {
		case w.abandoned:
		case lost && !w.unconfirmed:
			// It would have no known outcome either.
			w.done <- errPathLost()
		case len(batch) == 0 || entries+w.entries() <= store.MaxTxnEntries && bytes+w.size() <= maxWriteBytesInBatch && !w.alone && !batch[0].alone:
			w.inFlight = true
			batch = append(batch, w)
			bytes += w.size()
			entries += w.entries()
		default:
			rest = append(rest, w)
		}
	}
	b.pending = rest
	b.running = len(batch) > 0
	return batch
}

// commitBatch tries one transaction and reports whether its outcome is certain.
func (b *writeBatcher) commitBatch(batch []*pendingWrite, try int) bool {
	var txn store.Txn
	for _, w := range batch {
		txn.Conditions = append(txn.Conditions, w.txn.Conditions...)
		txn.Puts = append(txn.Puts, w.txn.Puts...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.store.TxnTimeout(try, &txn))
	defer cancel()
	_, err := b.store.Commit(ctx, txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		answerAll(batch, nil)
	case errors.As(err, &conflict):
		b.requeue(answerExisting(batch, conflict))
	case errors.Is(err, store.ErrBusy):
		b.requeue(batch)
		time.Sleep(retryPause)
	case errors.Is(err, store.ErrInvalid) && len(batch) > 1:
		// One of the requests is at fault.
		for _, w := range batch {
			w.alone = true
		}
		b.requeue(batch)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrInvalid):
		b.answerRefused(batch)
	default:
		for _, w := range batch {
			w.unconfirmed = true
		}
		b.requeue(batch)
		return false
	}
	return true
}

// answerExisting answers the requests of whose rows one exists, written by this or an
// earlier request with the same id, and returns the others.
func answerExisting(batch []*pendingWrite, conflict *store.ConflictError) []*pendingWrite {
	var rest []*pendingWrite
	for _, w := range batch {
		row, exists := w.existing(conflict)
		switch {
		case !exists:
			rest = append(rest, w)
		case w.answerKnown == nil:
			w.done <- nil
		default:
			w.done <- w.answerKnown(row)
		}
	}
	return rest
}

// existing returns the first row of a request that exists.
func (w *pendingWrite) existing(conflict *store.ConflictError) (store.Row, bool) {
	for _, c := range w.txn.Conditions {
		if row, exists := conflict.Find(c.Key); exists {
			return row, true
		}
	}
	return store.Row{}, false
}

func answerAll(batch []*pendingWrite, err error) {
	for _, w := range batch {
		w.done <- err
	}
}

// answerRefused answers the requests that were certainly not written, and
// requeues those for which an earlier try may still take effect.
func (b *writeBatcher) answerRefused(batch []*pendingWrite) {
	var rest []*pendingWrite
	for _, w := range batch {
		if w.unconfirmed {
			rest = append(rest, w)
			continue
		}
		w.done <- &NotRunError{"table service refuses writes", refusalRetryAfter}
	}
	b.requeue(rest)
	if len(rest) > 0 {
		time.Sleep(retryPause)
	}
}

// requeue puts requests back in front of the others after a try.
func (b *writeBatcher) requeue(batch []*pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range batch {
		w.inFlight = false
	}
	b.pending = append(batch, b.pending...)
}
