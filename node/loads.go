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

// loadTable follows the loads that pool owners publish.
type loadTable struct {
	node *Node
	log  *zap.Logger

	mu       sync.Mutex
	loads    map[string]pool.Load
	versions map[string]int64 // of the rows, by pool
	news     chan struct{}
}

func newLoadTable(n *Node, log *zap.Logger) *loadTable {
	return &loadTable{node: n, log: log, loads: map[string]pool.Load{}, versions: map[string]int64{}, news: make(chan struct{})}
}

func (l *loadTable) all() map[string]pool.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.loads)
}

func (l *loadTable) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.news
}

// follow keeps up with the table. Loads are published again within a second, so
// nothing needs to be read at first.
func (l *loadTable) follow(ctx context.Context) {
	f := l.node.follower()
	f.log, f.table, f.wait, f.pause, f.deliver = l.log, tables.Loads, loadWait, loadPause, l.update
	f.run(ctx)
}

func (l *loadTable) update(u Update) {
	if len(u.Rows) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range u.Rows {
		l.take(row)
	}
	close(l.news)
	l.news = make(chan struct{})
}

func (l *loadTable) take(row store.Row) {
	if row.Removed {
		delete(l.loads, row.Partition)
		return
	}
	load, err := pool.DecodeLoad(row.Value)
	if err != nil {
		l.log.Error("load_row_unreadable", zap.String("pool", row.Partition), zap.Error(err))
		return
	}
	if row.Version == l.versions[row.Partition] {
		return
	}
	l.versions[row.Partition] = row.Version
	// Its arrival takes the place of its time, which is on the clock of another
	// VM: decisions use one clock.
	load.At = l.node.clock.Now().Wall
	l.loads[row.Partition] = load
}
