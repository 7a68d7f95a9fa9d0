// Package cached caches rows and the list of VMs, so that repeated reads transfer
// only what has changed. Every read still calls the service, which confirms that
// the cached value is current.
package cached

import (
	"context"
	"slices"
	"sync"

	"amaranthfork.example/backing"
)

const (
	// maxRows is the largest number of cached rows. An entry polls about 30 rows.
	maxRows = 256
	// maxValueBytes is the size up to which a value is cached.
	maxValueBytes = 256 << 10
)

// Table is a table whose Get transfers a row only if it differs from the cached
// one. It is safe for concurrent use.
type Table struct {
	backing.ConditionalTable

	mu   sync.Mutex
	rows map[string]backing.Row
}

// NewTable returns a table that reads through inner.
func NewTable(inner backing.ConditionalTable) *Table {
	return &Table{ConditionalTable: inner, rows: map[string]backing.Row{}}
}

// Get returns a copy of a row; a row that does not exist has Version 0. Errors are
// those of the service, also for a cached row.
func (t *Table) Get(ctx context.Context, key string) (backing.Row, error) {
	cached := t.cachedRow(key)
	row, changed, err := t.GetNewer(ctx, key, cached.Version)
	if err != nil {
		return backing.Row{}, err
	}
	if !changed {
		cached.Value = slices.Clone(cached.Value)
		return cached, nil
	}
	t.store(row)
	return row, nil
}

// cachedRow returns the cached row, or a row with Version 0.
func (t *Table) cachedRow(key string) backing.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	row.Key = key
	return row
}

// store caches a row unless a concurrent read has cached a newer one. If the row does
// not exist or its value is too large, it removes the cached row instead.
func (t *Table) store(row backing.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.rows[row.Key]
	switch {
	case row.Version == 0 || len(row.Value) > maxValueBytes:
		delete(t.rows, row.Key)
		return
	case known.Version > row.Version:
		return
	case !ok && len(t.rows) >= maxRows:
		t.evict()
	}
	row.Value = slices.Clone(row.Value)
	t.rows[row.Key] = row
}

// evict removes an arbitrary row. Which one does not matter as long as far fewer
// rows than maxRows are polled.
func (t *Table) evict() {
	for key := range t.rows {
		delete(t.rows, key)
		return
	}
}
