package node

import (
	"context"
	"maps"
	"sync"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// loadReportTable follows the load reports that the owners of pools publish.
type loadReportTable struct {
	node *Node
	log  *zap.Logger

	mu       sync.Mutex
	reports  map[string]pool.LoadReport // by pool
	versions map[string]int64           // of the rows, by pool
	change   chan struct{}              // closed at the next change
}

func newLoadReportTable(n *Node, log *zap.Logger) *loadReportTable {
	return &loadReportTable{node: n, log: log, reports: map[string]pool.LoadReport{}, versions: map[string]int64{}, change: make(chan struct{})}
}

func (l *loadReportTable) all() map[string]pool.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.reports)
}

func (l *loadReportTable) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.change
}

// follow follows the table until ctx ends. Owners publish their reports again
// within a second, so the present rows need not be read first.
func (l *loadReportTable) follow(ctx context.Context) {
	f := l.node.newFollower()
	f.log, f.table, f.wait, f.pause, f.deliver = l.log, tables.Loads, loadWait, loadPause, l.update
	f.run(ctx)
}

func (l *loadReportTable) update(u Update) {
	if len(u.Rows) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range u.Rows {
		l.applyRow(row)
	}
	close(l.change)
	l.change = make(chan struct{})
}

func (l *loadReportTable) applyRow(row store.Row) {
	if row.Removed {
		delete(l.reports, row.Partition)
		return
	}
	report, err := pool.DecodeLoadReport(row.Value)
	if err != nil {
		l.log.Error("load_row_unreadable", zap.String("pool", row.Partition), zap.Error(err))
		return
	}
	if row.Version == l.versions[row.Partition] {
		return
	}
	l.versions[row.Partition] = row.Version
	// The time of arrival replaces the report's time, which is on the clock of
	// another VM: decisions use a single clock.
	report.AtMS = l.node.clock.Now().Wall
	l.reports[row.Partition] = report
}
