package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Counts of the jobs that wait in pools which their queues have left.
const (
	movedQueuesInterval = 700 * time.Millisecond // between two publications of an owner
	movedQueuesTimeout  = 700 * time.Millisecond // of one transaction
	// movedQueuesAge is how long an entry uses what it has read of the counts, which
	// may be up to 2 s old with the interval of their publication.
	movedQueuesAge = 500 * time.Millisecond
)

// movedQueues publishes how many jobs wait in a pool for queues that have left it. The
// owner of a queue's present pool cannot count them. It is used by the goroutine of the
// pool's loop, except for the fields under mu.
type movedQueues struct {
	node *Node
	pool string
	log  *zap.Logger

	nextAt time.Duration // steady clock

	mu      sync.Mutex
	read    bool // rows holds what the table service has
	writing bool
	rows    map[string]movedRow // by queue: the rows of this pool
}

type movedRow struct {
	waiting int
	version int64 // 0 if the row does not exist
}

func newMovedQueues(n *Node, pool string, log *zap.Logger) *movedQueues {
	return &movedQueues{node: n, pool: pool, log: log, rows: map[string]movedRow{}}
}

// due reports whether the next publication is due, and begins the next interval if it is.
func (m *movedQueues) due(now time.Duration) bool {
	if now < m.nextAt {
		return false
	}
	m.nextAt = now + movedQueuesInterval
	return true
}

// publish begins to write the numbers of waiting jobs, by queue, if any has changed.
func (m *movedQueues) publish(ctx context.Context, waiting map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.writing || !m.differs(waiting) {
		return
	}
	m.writing = true
	m.node.spawn("moved queues", func() {
		defer func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.writing = false
		}()
		if err := m.write(ctx, waiting); err != nil {
			m.log.Info("moved_queues_not_written", zap.Error(err))
		}
	})
}

// differs reports whether the stored numbers are unknown or differ. The caller holds mu.
func (m *movedQueues) differs(waiting map[string]int) bool {
	if !m.read {
		return true
	}
	for queue, n := range waiting {
		if m.rows[queue].waiting != n {
			return true
		}
	}
	for queue, row := range m.rows {
		if row.waiting != waiting[queue] {
			return true
		}
	}
	return false
}

// write stores the numbers of waiting jobs; rows without waiting jobs are deleted. Each
// row is written on the condition of its version, so that a write that is carried out
// late changes nothing.
func (m *movedQueues) write(ctx context.Context, waiting map[string]int) error {
	ctx, cancel := context.WithTimeout(ctx, movedQueuesTimeout)
	defer cancel()
	m.mu.Lock()
	read := m.read
	m.mu.Unlock()
	if !read {
		if err := m.readRows(ctx); err != nil {
			return err
		}
	}
	m.mu.Lock()
	stored := maps.Clone(m.rows)
	m.mu.Unlock()
	for queue := range waiting {
		if _, ok := stored[queue]; !ok {
			stored[queue] = movedRow{}
		}
	}
	for queue, row := range stored {
		if row.waiting == waiting[queue] {
			continue
		}
		if err := m.writeRow(ctx, queue, row, waiting[queue]); err != nil {
			return err
		}
	}
	return nil
}

func (m *movedQueues) writeRow(ctx context.Context, queue string, row movedRow, waiting int) error {
	key := tables.MovedQueueKey(m.pool, queue)
	txn := store.Txn{Conditions: []store.Condition{{Key: key, Version: row.version}}}
	if waiting > 0 {
		value, err := job.EncodeMovedQueue(job.MovedQueue{Queue: queue, Pool: m.pool, Waiting: waiting})
		if err != nil {
			return err
		}
		txn.Puts = []store.Put{{Key: key, Value: value}}
	} else {
		txn.Deletes = []store.Key{key}
	}
	receipt, err := m.node.store.Commit(ctx, txn)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil:
		m.read = false // another owner has written the row, or this write may take effect
	case waiting > 0:
		m.rows[queue] = movedRow{waiting, receipt.Version}
	default:
		delete(m.rows, queue)
	}
	return err
}

// readRows reads the rows of this pool.
func (m *movedQueues) readRows(ctx context.Context) error {
	list, err := readMovedQueues(ctx, m.node.store, m.log)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.rows)
	for _, q := range list {
		if q.Pool == m.pool {
			m.rows[q.Queue] = movedRow{q.Waiting, q.version}
		}
	}
	m.read = true
	return nil
}

// storedMovedQueue is a row of a queue that has left a pool.
type storedMovedQueue struct {
	job.MovedQueue
	version int64
}

// readMovedQueues reads the rows of all queues that have left pools.
func readMovedQueues(ctx context.Context, s store.Store, log *zap.Logger) ([]storedMovedQueue, error) {
	page, err := store.All(ctx, s, tables.Queues, tables.MovedQueues())
	if err != nil {
		return nil, err
	}
	list := make([]storedMovedQueue, 0, len(page.Rows))
	for _, row := range page.Rows {
		q, err := job.DecodeMovedQueue(row.Value)
		if err != nil {
			log.Error("moved_queue_row_unreadable", zap.String("row", row.Name), zap.Error(err))
			continue
		}
		list = append(list, storedMovedQueue{q, row.Version})
	}
	return list, nil
}

// movedQueueCache holds what an entry has last read of the rows of moved queues.
type movedQueueCache struct {
	mu     sync.Mutex
	readAt time.Duration // steady clock; 0 if nothing has been read
	list   []storedMovedQueue
}

// waitingElsewhere returns how many jobs of a queue wait in pools that it has left. The
// error is one of the table service.
func (n *Node) waitingElsewhere(ctx context.Context, queue, pool string) (int, error) {
	c, now := &n.movedQueues, n.clock.Now().Steady
	c.mu.Lock()
	list, fresh := c.list, c.readAt != 0 && now-c.readAt <= movedQueuesAge
	c.mu.Unlock()
	if !fresh {
		var err error
		if list, err = readMovedQueues(ctx, n.store, n.log); err != nil {
			return 0, err
		}
		c.mu.Lock()
		c.list, c.readAt = list, max(now, 1)
		c.mu.Unlock()
	}
	waiting := 0
	for _, q := range list {
		if q.Queue == queue && q.Pool != pool {
			waiting += q.Waiting
		}
	}
	return waiting, nil
}
