package node

import (
	"context"
	"maps"
	"slices"
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

	mu      sync.Mutex
	rows    map[store.Key]loadRow
	reports map[string]pool.LoadReport // by pool
	change  chan struct{}              // closed at the next change
}

// loadRow is a row of a load report.
type loadRow struct {
	report  pool.LoadReport
	version int64
}

func newLoadReportTable(n *Node, log *zap.Logger) *loadReportTable {
	return &loadReportTable{node: n, log: log, rows: map[store.Key]loadRow{}, reports: map[string]pool.LoadReport{}, change: make(chan struct{})}
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
	name := row.Partition
	if row.Removed {
		delete(l.rows, row.Key)
		delete(l.reports, name)
		return
	}
	report, err := pool.DecodeLoadReport(row.Value)
	if err != nil {
		l.log.Error("load_row_unreadable", zap.String("pool", name), zap.String("row", row.Name), zap.Error(err))
		return
	}
	if row.Version == l.rows[row.Key].version {
		return
	}
	l.rows[row.Key] = loadRow{report, row.Version}
	l.assemble(name)
}

// assemble puts the report of a pool in force if all its rows are known. They are written
// in one transaction and have one version.
func (l *loadReportTable) assemble(name string) {
	first, ok := l.rows[tables.LoadKey(name, 0)]
	if !ok {
		return
	}
	report := first.report
	for i := range report.MoreRows {
		more := l.rows[tables.LoadKey(name, i+1)]
		if more.version != first.version {
			return
		}
		report.VMs = append(slices.Clip(report.VMs), more.report.VMs...)
	}
	// The time of arrival replaces the report's time, which is on the clock of
	// another VM: decisions use a single clock.
	report.AtMS = l.node.clock.Now().Wall
	l.reports[name] = report
}
