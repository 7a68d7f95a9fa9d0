package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
)

// Operations on the table service, as they are counted.
const (
	opCommit = "commit"
	opRead   = "read"
	opFeed   = "feed"
)

// TableLoad is the load that this entry has put on one table of the table service
// since it started. Transactions count with the table of their first change, but rows
// and bytes with their own.
type TableLoad struct {
	Operation string `json:"operation"`
	Table     string `json:"table"`
	Calls     int64  `json:"calls"`
	Rows      int64  `json:"rows"`
	Bytes     int64  `json:"bytes"` // of values
}

type tableLoadKey struct{ operation, table string }

// tableLoads counts the calls of one entry to the table service.
type tableLoads struct {
	mu     sync.Mutex
	tables map[tableLoadKey]*TableLoad
}

func newTableLoads() *tableLoads { return &tableLoads{tables: map[tableLoadKey]*TableLoad{}} }

// of returns the counts of an operation on a table. The caller holds l.mu.
func (l *tableLoads) of(operation, table string) *TableLoad {
	k := tableLoadKey{operation, table}
	if l.tables[k] == nil {
		l.tables[k] = &TableLoad{Operation: operation, Table: table}
	}
	return l.tables[k]
}

func (l *tableLoads) addCommit(txn store.Txn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, put := range txn.Puts {
		counts := l.of(opCommit, put.Key.Table)
		if i == 0 {
			counts.Calls++
		}
		counts.Rows++
		counts.Bytes += int64(len(put.Value))
	}
	if len(txn.Puts) == 0 && len(txn.Deletes) > 0 {
		l.of(opCommit, txn.Deletes[0].Table).Calls++
	}
}

func (l *tableLoads) addRead(operation, table string, rows []store.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.of(operation, table)
	counts.Calls++
	counts.Rows += int64(len(rows))
	for _, row := range rows {
		counts.Bytes += int64(len(row.Value))
	}
}

// list returns the counts, the tables with the most calls first.
func (l *tableLoads) list() []TableLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]TableLoad, 0, len(l.tables))
	for _, counts := range l.tables {
		list = append(list, *counts)
	}
	slices.SortFunc(list, func(a, b TableLoad) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Table, b.Table))
	})
	return list
}

const (
	// tableLoadInterval is the time between two log entries on the load of the table
	// service.
	tableLoadInterval = 20 * time.Second
	// maxLoggedTables bounds the lines of one log entry.
	maxLoggedTables = 8
)

// logTableLoads logs from time to time what this entry has asked of the table service.
func (n *Node) logTableLoads(ctx context.Context) {
	for sleep(ctx, tableLoadInterval); ctx.Err() == nil; sleep(ctx, tableLoadInterval) {
		for i, counts := range n.store.loads.list() {
			if i == maxLoggedTables {
				break
			}
			n.log.Info("table_load", zap.String("operation", counts.Operation), zap.String("table", counts.Table),
				zap.Int64("calls", counts.Calls), zap.Int64("rows", counts.Rows), zap.Int64("bytes", counts.Bytes))
		}
	}
}
