package node

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Division of workspaces' caps among pools. Half of a cap is divided evenly at
// first, the other half goes to the pools that ask.
const (
	capHeadroom  = 1.2                     // asked for, relative to the need, so that few writes are needed
	capSurplus   = 1.6                     // of the need, above which a part is given back
	capReturn    = 1500 * time.Millisecond // of surplus before it is given back
	capRetry     = 60 * time.Millisecond   // between two requests for more
	capWriteTime = 700 * time.Millisecond
	capWait      = 2 * time.Second // of a feed call
	capPause     = 20 * time.Millisecond
)

// capRow divides the cap of one workspace: what each pool may have running.
type capRow map[string]fleet.Resources

func (c capRow) total() fleet.Resources {
	var sum fleet.Resources
	for _, part := range c {
		sum = sum.Add(part)
	}
	return sum
}

type capState struct {
	row       capRow
	version   int64
	writing   bool
	triedAt   time.Duration
	surplusAt time.Duration // since when the part is more than is needed
}

// capShares keeps one pool's parts of the caps.
type capShares struct {
	node *Node
	pool string
	log  *zap.Logger

	mu      sync.Mutex
	catalog *catalog.Catalog
	states  map[string]*capState
	known   bool // the table has been read
	used    map[string]fleet.Resources
}

func newCapShares(n *Node, pool string, log *zap.Logger) *capShares {
	return &capShares{node: n, pool: pool, log: log, states: map[string]*capState{}, used: map[string]fleet.Resources{}}
}

func (c *capShares) configure(cat *catalog.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog = cat
}

func (c *capShares) follow(ctx context.Context) {
	f := &follower{store: c.node.store, clock: c.node.clock, log: c.log, table: tables.Caps, partition: tables.Caps,
		wait: capWait, pause: capPause, deliver: c.update}
	f.run(ctx)
}

func (c *capShares) update(u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = true
	for _, row := range u.Rows {
		c.take(row)
	}
}

func (c *capShares) take(row store.Row) {
	s := c.state(row.Name)
	if row.Version < s.version {
		return
	}
	parts := capRow{}
	if !row.Removed {
		if err := cbor.Unmarshal(row.Value, &parts); err != nil {
			c.log.Warn("cap_row_unreadable", zap.String("workspace", row.Name), zap.Error(err))
			return
		}
	}
	s.row, s.version = parts, row.Version
	if row.Removed {
		s.version = 0
	}
}

func (c *capShares) state(workspace string) *capState {
	s := c.states[workspace]
	if s == nil {
		s = &capState{row: capRow{}}
		c.states[workspace] = s
	}
	return s
}

// apply tells the scheduler its parts.
func (c *capShares) apply(p *pool.Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil {
		return
	}
	for name, w := range c.catalog.Workspaces {
		if w.Cap == (fleet.Resources{}) {
			continue
		}
		s := c.state(name)
		p.SetAllotment(name, s.row[c.pool], !c.known || over(s.row.total(), w.Cap))
		c.used[name] = p.Used(name)
	}
}

// over reports whether an amount is over a cap, of which a part of 0 is no limit.
func over(amount, limit fleet.Resources) bool {
	return limit.MilliCPU > 0 && amount.MilliCPU > limit.MilliCPU ||
		limit.MemoryMB > 0 && amount.MemoryMB > limit.MemoryMB ||
		limit.Accelerators > 0 && amount.Accelerators > limit.Accelerators
}

// lacks reports whether a need is above a part of a cap. Unlike a cap, a part of
// 0 allows nothing; what the cap does not limit is never lacking.
func lacks(need, part, limit fleet.Resources) bool {
	return limit.MilliCPU > 0 && need.MilliCPU > part.MilliCPU ||
		limit.MemoryMB > 0 && need.MemoryMB > part.MemoryMB ||
		limit.Accelerators > 0 && need.Accelerators > part.Accelerators
}

// want asks for what the scheduler needs, and gives back what it does not.
func (c *capShares) want(ctx context.Context, wants map[string]fleet.Resources, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil || !c.known {
		return
	}
	for name, w := range c.catalog.Workspaces {
		if w.Cap == (fleet.Resources{}) {
			continue
		}
		s := c.state(name)
		next, change := c.next(s, w, wants[name], c.used[name], now)
		if !change || s.writing || now-s.triedAt < capRetry {
			continue
		}
		s.writing, s.triedAt = true, now
		go c.write(ctx, name, s.row, s.version, next)
	}
}

// next returns the part that this pool should have, and whether to write it.
func (c *capShares) next(s *capState, w *catalog.Workspace, need, used fleet.Resources, now time.Duration) (fleet.Resources, bool) {
	mine, present := s.row[c.pool]
	others := s.row.total().Sub(mine)
	free := w.Cap.Sub(others)
	if over(s.row.total(), w.Cap) {
		reduced := atLeast(used, least(mine, free))
		return reduced, reduced != mine
	}
	base := w.Cap.Scale(0.5 / float64(max(1, len(c.catalog.Pools))))
	asked := least(atLeast(need.Scale(capHeadroom), base), free)
	asked.Accelerators = min(max(need.Accelerators, mine.Accelerators), free.Accelerators)
	if !present || lacks(need, mine, w.Cap) && (asked.MilliCPU > mine.MilliCPU || asked.MemoryMB > mine.MemoryMB || asked.Accelerators > mine.Accelerators) {
		return atLeast(asked, least(mine, free)), true
	}
	if mine.MilliCPU <= atLeast(need.Scale(capSurplus), base).MilliCPU {
		s.surplusAt = 0
		return mine, false
	}
	if s.surplusAt == 0 {
		s.surplusAt = now
	}
	return atLeast(asked, used), now-s.surplusAt > capReturn
}

func least(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: max(0, min(a.MilliCPU, b.MilliCPU)), MemoryMB: max(0, min(a.MemoryMB, b.MemoryMB)), Accelerators: max(0, min(a.Accelerators, b.Accelerators))}
}

func atLeast(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

func (c *capShares) write(ctx context.Context, workspace string, before capRow, version int64, part fleet.Resources) {
	after := capRow{c.pool: part}
	for pool, share := range before {
		if pool != c.pool {
			after[pool] = share
		}
	}
	key := tables.CapKey(workspace)
	value, err := cbor.Marshal(after)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, capWriteTime)
		defer cancel()
		var receipt store.Receipt
		receipt, err = c.node.store.Commit(ctx, store.Txn{
			Conditions: []store.Condition{{Key: key, Version: version}},
			Puts:       []store.Put{{Key: key, Value: value}},
		})
		version = receipt.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(workspace)
	s.writing = false
	s.surplusAt = 0
	if err != nil {
		c.log.Debug("cap_share_not_written", zap.String("workspace", workspace), zap.Error(err))
		return
	}
	if version > s.version {
		s.row, s.version = after, version
	}
	c.log.Info("cap_share", zap.String("workspace", workspace), zap.Int64("milli_cpu", part.MilliCPU), zap.Int64("memory_mb", part.MemoryMB), zap.Int64("version", version))
}
