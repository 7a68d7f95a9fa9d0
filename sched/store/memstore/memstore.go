// Package memstore implements the table service in memory for tests, which can
// inject outages and lost answers.
package memstore

import (
	"context"
	"sort"
	"sync"
	"time"

	"amaranthfork.example/sched/store"
)

// Store keeps rows in memory. The zero value is not usable; call New.
type Store struct {
	mu          sync.Mutex
	rows        map[store.Key]store.Row
	history     []store.Row // history of changes, oldest first
	version     int64
	droppedUpTo int64         // the history has no changes up to this version
	changed     chan struct{} // closed by the next commit

	down          bool
	answersToLose int // of the next commits
	startedAt     time.Time

	txnTime time.Duration        // of each transaction; a partition carries them out one after another
	idleAt  map[string]time.Time // by partition: when its last transaction ends
}

// maxRowBytes is the largest value of a row.
const maxRowBytes = 64 << 10

// Limits of one answer of Range and Changes.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20 // of the values
)

// pageLength returns how many of rows, the first ones, fit into one answer: at least
// one.
func pageLength(rows []store.Row) int {
	size := 0
	for i, row := range rows {
		size += len(row.Value)
		if i == maxPageRows || i > 0 && size > maxPageBytes {
			return i
		}
	}
	return len(rows)
}

// wholeTransactions returns the largest number of the first rows that ends a transaction
// and is at most n, or the length of the first transaction if that is longer.
func wholeTransactions(rows []store.Row, n int) int {
	endsTxn := func(n int) bool { return n == len(rows) || rows[n].Version != rows[n-1].Version }
	for shorter := n; shorter > 0; shorter-- {
		if endsTxn(shorter) {
			return shorter
		}
	}
	for n < len(rows) && !endsTxn(max(1, n)) {
		n++
	}
	return n
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[store.Key]store.Row{}, changed: make(chan struct{}), startedAt: time.Now(), idleAt: map[string]time.Time{}}
}

// SetDown sets whether every call returns ErrUnavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetTxnTime sets how long each transaction takes. A partition carries out its
// transactions one after another.
func (s *Store) SetTxnTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnTime = d
}

// awaitTurn waits until the partition of a transaction has carried out the earlier
// ones and this one.
func (s *Store) awaitTurn(txn store.Txn) {
	s.mu.Lock()
	if s.txnTime == 0 {
		s.mu.Unlock()
		return
	}
	partition := partitionOf(txn)
	now := time.Now()
	endsAt := s.idleAt[partition]
	if endsAt.Before(now) {
		endsAt = now
	}
	endsAt = endsAt.Add(s.txnTime)
	s.idleAt[partition] = endsAt
	s.mu.Unlock()
	time.Sleep(endsAt.Sub(now))
}

func partitionOf(txn store.Txn) string {
	switch {
	case len(txn.Conditions) > 0:
		return txn.Conditions[0].Key.Partition
	case len(txn.Puts) > 0:
		return txn.Puts[0].Key.Partition
	case len(txn.Deletes) > 0:
		return txn.Deletes[0].Partition
	}
	return ""
}

// LoseAnswers makes the next n commits that take effect return ErrUnconfirmed.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// DropHistory drops the history of changes, so that Changes returns ErrHistoryGone
// for earlier versions.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedUpTo = s.version
	s.history = nil
}

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, txn store.Txn) (store.Receipt, error) {
	s.awaitTurn(txn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Receipt{}, store.ErrUnavailable
	}
	if err := txn.Check(maxRowBytes); err != nil {
		return store.Receipt{}, err
	}
	if conflict := s.findConflict(txn); conflict != nil {
		return store.Receipt{}, conflict
	}
	s.version++
	for _, put := range txn.Puts {
		row := store.Row{Key: put.Key, Value: append([]byte(nil), put.Value...), Version: s.version}
		s.rows[put.Key] = row
		s.history = append(s.history, row)
	}
	for _, key := range txn.Deletes {
		delete(s.rows, key)
		s.history = append(s.history, store.Row{Key: key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.answersToLose > 0 {
		s.answersToLose--
		return store.Receipt{}, store.ErrUnconfirmed
	}
	return store.Receipt{Version: s.version, Time: time.Since(s.startedAt)}, nil
}

func (s *Store) findConflict(txn store.Txn) error {
	failed := false
	var current []store.Row
	for _, c := range txn.Conditions {
		row, ok := s.rows[c.Key]
		if ok {
			current = append(current, row)
		}
		if row.Version != c.Version {
			failed = true
		}
	}
	if failed {
		return &store.ConflictError{Current: current}
	}
	return nil
}

// Range implements store.Store.
func (s *Store) Range(_ context.Context, table, partition, from, to string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Page{}, store.ErrUnavailable
	}
	page := store.Page{Version: s.version, Time: time.Since(s.startedAt)}
	for key, row := range s.rows {
		if key.Table == table && key.Partition == partition && key.Name >= from && (to == "" || key.Name < to) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Name < page.Rows[j].Name })
	if n := pageLength(page.Rows); n < len(page.Rows) {
		page.Rows, page.More = page.Rows[:n], true
	}
	return page, nil
}

// Changes implements store.Store.
func (s *Store) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := s.changesSince(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
	}
}

func (s *Store) changesSince(table string, after int64) (store.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Page{}, nil, store.ErrUnavailable
	}
	if after < s.droppedUpTo {
		return store.Page{}, nil, store.ErrHistoryGone
	}
	page := store.Page{Version: s.version, Time: time.Since(s.startedAt)}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, row := range s.history[first:] {
		if row.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	if n := wholeTransactions(page.Rows, pageLength(page.Rows)); n < len(page.Rows) {
		page.Rows = page.Rows[:n]
		page.Version = page.Rows[n-1].Version
	}
	return page, s.changed, nil
}
