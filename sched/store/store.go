// Package store defines the interface of the table service in which the scheduler
// keeps its state: rows in tables and partitions, conditional transactions, and a
// feed of changes.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of the table service.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrInvalid means that the service rejects the call and will reject it again.
	ErrInvalid = errors.New("table service rejects the call")
	// ErrUnconfirmed means that a transaction had no answer: it may have taken effect
	// or take effect later.
	ErrUnconfirmed = errors.New("outcome of transaction unknown")
	// ErrHistoryGone means that changes after the given version are no longer kept.
	ErrHistoryGone = errors.New("history of changes no longer available")
)

// ErrBusy means that the call had no effect because the service's rate limit was
// exceeded. It wraps ErrUnavailable.
var ErrBusy = fmt.Errorf("%w: rate limit exceeded", ErrUnavailable)

// ErrRefused means that the service has answered that the call had no effect. It wraps
// ErrUnavailable.
var ErrRefused = fmt.Errorf("%w: call was refused", ErrUnavailable)

// Answered reports whether the error of a call, or its absence, shows that the service has
// answered it.
func Answered(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.Is(err, ErrRefused) || errors.Is(err, ErrBusy) || errors.Is(err, ErrInvalid) ||
		errors.Is(err, ErrHistoryGone) || errors.As(err, &conflict)
}

// ConflictError means that a condition of a transaction did not hold and
// nothing was written.
type ConflictError struct {
	Current []Row // current rows of all conditions, as far as they exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition of transaction failed; %d of the rows in its conditions exist", len(e.Current))
}

// Find returns the current row of a condition's key. The result is false if the row
// does not exist.
func (e *ConflictError) Find(k Key) (Row, bool) {
	for _, row := range e.Current {
		if row.Key == k {
			return row, true
		}
	}
	return Row{}, false
}

// Key names a row.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a version of a row. Versions come from one counter of the service, which
// rises with each transaction.
type Row struct {
	Key
	Value   []byte
	Version int64
	Removed bool // the row was deleted; set only in the answers of Changes
}

// Condition requires that a row has a version, or with version 0 that it does not
// exist.
type Condition struct {
	Key     Key
	Version int64
}

// Put writes a row.
type Put struct {
	Key   Key
	Value []byte
}

// MaxTxnEntries is the largest number of conditions, puts and deletes together in
// one transaction.
const MaxTxnEntries = 100

// Txn is an atomic transaction. All its keys must be in one partition.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// Limits of the service.
const (
	MaxTxnBytes  = 1_000_000 // of a transaction, encoded as text
	MaxNameBytes = 200       // of the name of a table, a partition or a row
)

// entryBytes is what a condition, a put or a delete takes beside its names and its value,
// when it is encoded as text.
const entryBytes = 60

// Check returns an error that wraps ErrInvalid if the transaction breaks a limit of a
// service whose rows hold at most rowBytes, or nil.
func (t *Txn) Check(rowBytes int) error {
	entries := len(t.Conditions) + len(t.Puts) + len(t.Deletes)
	if entries > MaxTxnEntries {
		return fmt.Errorf("%w: %d entries, at most %d", ErrInvalid, entries, MaxTxnEntries)
	}
	keys := make([]Key, 0, entries)
	for _, c := range t.Conditions {
		keys = append(keys, c.Key)
	}
	size := 0
	for _, p := range t.Puts {
		if len(p.Value) > rowBytes {
			return fmt.Errorf("%w: row %s has %d bytes, at most %d", ErrInvalid, p.Key.Name, len(p.Value), rowBytes)
		}
		size += (len(p.Value) + 2) / 3 * 4 // base64
		keys = append(keys, p.Key)
	}
	keys = append(keys, t.Deletes...)
	for _, k := range keys {
		if max(len(k.Table), len(k.Partition), len(k.Name)) > MaxNameBytes || k.Table == "" {
			return fmt.Errorf("%w: a name in key %v is empty or over %d bytes", ErrInvalid, k, MaxNameBytes)
		}
		if k.Partition != keys[0].Partition {
			return fmt.Errorf("%w: partitions %q and %q in one transaction", ErrInvalid, k.Partition, keys[0].Partition)
		}
		size += len(k.Table) + len(k.Partition) + len(k.Name) + entryBytes
	}
	if size > MaxTxnBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrInvalid, size, MaxTxnBytes)
	}
	return nil
}

// Receipt is the answer to a transaction that took effect.
type Receipt struct {
	Version int64         // of all rows that it wrote
	Time    time.Duration // on the monotonic clock of the service
}

// Page is the answer to a read of a range or of changes.
type Page struct {
	Rows    []Row
	More    bool          // the range has more rows
	Version int64         // latest version of the service at the time of the read, or of the last row if Changes has not returned all rows
	Time    time.Duration // of the read, on the monotonic clock of the service
}

// Store is the table service. Calls return ErrUnavailable, ErrInvalid, ErrUnconfirmed
// (Commit only), ErrHistoryGone (Changes only), *ConflictError (Commit only) or an
// error of the context. Implementations that read from a network end a call that exceeds
// the ProgressLimit of its context.
type Store interface {
	// Commit applies a transaction if all its conditions hold.
	Commit(ctx context.Context, txn Txn) (Receipt, error)
	// Range reads the rows of a partition of a table whose names are at least from
	// and, unless to is empty, less than to, in ascending order of their names.
	Range(ctx context.Context, table, partition, from, to string) (Page, error)
	// Changes returns the rows of a table that changed after a version, in the order
	// of the changes. If there are none, it waits for the first change, at most for
	// wait. An answer with rows may hold only the first of the changes; nothing in it
	// tells.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// ProgressLimit bounds how long a call may go without a byte of its answer. Unlike a
// deadline it does not depend on the size of the answer and the speed of the link.
type ProgressLimit struct {
	First time.Duration // until the answer begins
	Next  time.Duration // between two parts of it
}

type progressLimitKey struct{}

// WithProgressLimit returns a context under which a call ends when its answer makes no
// progress.
func WithProgressLimit(ctx context.Context, limit ProgressLimit) context.Context {
	return context.WithValue(ctx, progressLimitKey{}, limit)
}

// ProgressLimitOf returns the limit of a context. The result is false if it has none.
func ProgressLimitOf(ctx context.Context) (ProgressLimit, bool) {
	limit, ok := ctx.Value(progressLimitKey{}).(ProgressLimit)
	return limit, ok
}

// Get reads one row. The second result is false if the row does not exist. Errors are
// those of Store.
func Get(ctx context.Context, s Store, k Key) (Row, bool, error) {
	page, err := s.Range(ctx, k.Table, k.Partition, k.Name, k.Name+"\x00")
	if err != nil || len(page.Rows) == 0 {
		return Row{}, false, err
	}
	return page.Rows[0], true, nil
}

// Span is a range of the rows of a partition, by their names.
type Span struct {
	Partition string
	From, To  string // To is excluded; empty means no limit
}

// Partitions returns the spans of whole partitions.
func Partitions(names ...string) []Span {
	spans := make([]Span, len(names))
	for i, name := range names {
		spans[i].Partition = name
	}
	return spans
}

// All reads every row of a span of a table. The version is that of the first page, so
// that a feed of the changes after it misses none. Errors are those of Store.
func All(ctx context.Context, s Store, table string, span Span) (Page, error) {
	var all Page
	from := span.From
	for {
		page, err := s.Range(ctx, table, span.Partition, from, span.To)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			all.Version, all.Time = page.Version, page.Time
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}
