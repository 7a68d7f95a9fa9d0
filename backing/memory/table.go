// Package memory implements the platform services of package backing in memory,
// for tests and local runs. Fault switches simulate outages, partitions, latency
// and lost answers, for a single node or for a service as a whole.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"amaranthfork.example/backing"
)

// Table is a transactional table in memory.
type Table struct {
	Faults *Faults // of the path to the table service; nil means none
	data   *tableData
}

type tableData struct {
	mu       sync.Mutex
	rows     map[string]backing.Row
	keys     []string          // keys of rows, sorted
	versions map[string]uint64 // last version of each key; kept after a delete so that versions are never reused
}

var _ backing.ConditionalTable = (*Table)(nil)

// NewTable returns an empty table whose calls are subject to faults; nil means
// no faults.
func NewTable(faults *Faults) *Table {
	data := &tableData{rows: map[string]backing.Row{}, versions: map[string]uint64{}}
	return &Table{Faults: faults, data: data}
}

// Via returns the same table as reached over another path, with faults of its own.
func (t *Table) Via(faults *Faults) *Table {
	return &Table{Faults: faults, data: t.data}
}

// Get returns a copy of a row; a row that does not exist has Version 0.
func (t *Table) Get(ctx context.Context, key string) (backing.Row, error) {
	if err := t.Faults.read(ctx); err != nil {
		return backing.Row{}, err
	}
	t.data.mu.Lock()
	defer t.data.mu.Unlock()
	row := t.data.rows[key]
	row.Key = key
	row.Value = append([]byte(nil), row.Value...)
	return row, nil
}

// GetNewer returns a row unless its version is still the given one. The bool
// result reports whether the version differs.
func (t *Table) GetNewer(ctx context.Context, key string, version uint64) (backing.Row, bool, error) {
	row, err := t.Get(ctx, key)
	if err != nil || row.Version == version {
		return backing.Row{Key: key, Version: version}, false, err
	}
	return row, true, nil
}

// Range returns up to limit rows whose keys start with prefix and are greater
// than after, in key order.
func (t *Table) Range(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	if err := t.Faults.read(ctx); err != nil {
		return nil, err
	}
	t.data.mu.Lock()
	defer t.data.mu.Unlock()
	keys := t.data.find(prefix, after, limit)
	rows := make([]backing.Row, 0, len(keys))
	for _, key := range keys {
		row := t.data.rows[key]
		row.Value = append([]byte(nil), row.Value...)
		rows = append(rows, row)
	}
	return rows, nil
}

// find returns up to limit keys that start with prefix and are greater than
// after.
func (d *tableData) find(prefix, after string, limit int) []string {
	from, found := slices.BinarySearch(d.keys, max(prefix, after))
	if found && after >= prefix {
		from++
	}
	to := from
	for to < len(d.keys) && to-from < limit && strings.HasPrefix(d.keys[to], prefix) {
		to++
	}
	return d.keys[from:to]
}

// Commit applies a transaction and returns the new versions of its writes. It
// returns ErrConflict if a condition fails, and ErrUnconfirmed if the transaction
// took effect but its answer was lost.
func (t *Table) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	if err := t.Faults.write(ctx); err != nil {
		return nil, err
	}
	versions, err := t.data.commit(txn)
	if err != nil {
		return nil, err
	}
	if t.Faults.loseAnswer() {
		return nil, backing.ErrUnconfirmed
	}
	return versions, nil
}

func (d *tableData) commit(txn backing.Txn) ([]uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range txn.Conditions {
		if d.rows[c.Key].Version != c.Version {
			return nil, backing.ErrConflict
		}
	}
	versions := make([]uint64, len(txn.Writes))
	for n, w := range txn.Writes {
		d.versions[w.Key]++
		versions[n] = d.versions[w.Key]
		i, found := slices.BinarySearch(d.keys, w.Key)
		if w.Delete {
			delete(d.rows, w.Key)
			if found {
				d.keys = slices.Delete(d.keys, i, i+1)
			}
			continue
		}
		if !found {
			d.keys = slices.Insert(d.keys, i, w.Key)
		}
		value := append([]byte(nil), w.Value...)
		d.rows[w.Key] = backing.Row{Key: w.Key, Value: value, Version: versions[n]}
	}
	return versions, nil
}
