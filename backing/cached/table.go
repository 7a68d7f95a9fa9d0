// Package cached keeps what was read from the platform, so that reading the same
// rows and the list of VMs again and again transfers only what has changed.
// Every read still asks the service: nothing is answered from memory alone.
package cached

import (
	"context"
	"slices"
	"sync"

	"amaranthfork.example/backing"
)

const (
	// maxRows bounds the rows that are kept. An entry polls about 30.
	maxRows = 256
	// maxValue is the size in bytes up to which a value is kept.
	maxValue = 256 << 10
)

// Table is a table whose Get transfers only rows that have changed. It is safe
// for concurrent use.
type Table struct {
	backing.ConditionalTable

	mu   sync.Mutex
	rows map[string]backing.Row
}

// NewTable returns a table that reads through inner.
func NewTable(inner backing.ConditionalTable) *Table {
	return &Table{ConditionalTable: inner, rows: map[string]backing.Row{}}
}

// Get returns a row.
func (t *Table) Get(ctx context.Context, key string) (backing.Row, error) {
	kept := t.kept(key)
	row, changed, err := t.GetNewer(ctx, key, kept.Version)
	if err != nil {
		return backing.Row{}, err
	}
	if !changed {
		kept.Value = slices.Clone(kept.Value)
		return kept, nil
	}
	t.keep(row)
	return row, nil
}

func (t *Table) kept(key string) backing.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	row.Key = key
	return row
}

// keep stores a row unless a later read has stored a newer one.
func (t *Table) keep(row backing.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.rows[row.Key]
	switch {
	case row.Version == 0 || len(row.Value) > maxValue:
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

// evict drops some row; which one does not matter as long as polled rows are far
// fewer than maxRows.
func (t *Table) evict() {
	for key := range t.rows {
		delete(t.rows, key)
		return
	}
}
