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
	capHeadroomRatio   = 1.2                     // asked for, relative to the need, so that few writes are needed
	capSurplusRatio    = 1.6                     // of the need, above which a part is given back
	capSurplusHold     = 1500 * time.Millisecond // of surplus before it is given back
	capRequestInterval = 60 * time.Millisecond   // between two requests for more
	capWriteTimeout    = 700 * time.Millisecond
	capWait            = 2 * time.Second // of a feed call
	capPause           = 20 * time.Millisecond
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
	row          capRow
	version      int64
	writing      bool
	lastWriteAt  time.Duration
	surplusSince time.Duration // since when the part is more than is needed
}

// capShares keeps one pool's parts of the caps.
type capShares struct {
	node *Node
	pool string
	log  *zap.Logger

	mu        sync.Mutex
	catalog   *catalog.Catalog
	states    map[string]*capState
	tableRead bool // the table has been read
	used      map[string]fleet.Resources
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
	c.tableRead = true
	for _, row := range u.Rows {
		c.applyRow(row)
	}
}

func (c *capShares) applyRow(row store.Row) {
	s := c.stateOf(row.Name)
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

func (c *capShares) stateOf(workspace string) *capState {
	s := c.states[workspace]
	if s == nil {
		s = &capState{row: capRow{}}
		c.states[workspace] = s
	}
	return s
}

// applyTo tells the scheduler its parts.
func (c *capShares) applyTo(p *pool.Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil {
		return
	}
	for name, w := range c.catalog.Workspaces {
		if w.Cap == (fleet.Resources{}) {
			continue
		}
		s := c.stateOf(name)
		p.SetAllotment(name, s.row[c.pool], !c.tableRead || exceedsCap(s.row.total(), w.Cap))
		c.used[name] = p.Used(name)
	}
}

// exceedsCap reports whether an amount is exceedsCap a cap, of which a part of 0 is no limit.
func exceedsCap(amount, limit fleet.Resources) bool {
	return limit.MilliCPU > 0 && amount.MilliCPU > limit.MilliCPU ||
		limit.MemoryMB > 0 && amount.MemoryMB > limit.MemoryMB ||
		limit.Accelerators > 0 && amount.Accelerators > limit.Accelerators
}

// exceedsShare reports whether a need is above a part of a cap. Unlike a cap, a part of
// 0 allows nothing; what the cap does not limit is never lacking.
func exceedsShare(need, part, limit fleet.Resources) bool {
	return limit.MilliCPU > 0 && need.MilliCPU > part.MilliCPU ||
		limit.MemoryMB > 0 && need.MemoryMB > part.MemoryMB ||
		limit.Accelerators > 0 && need.Accelerators > part.Accelerators
}

// requestShares asks for what the scheduler needs, and gives back what it does not.
func (c *capShares) requestShares(ctx context.Context, wants map[string]fleet.Resources, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil || !c.tableRead {
		return
	}
	for name, w := range c.catalog.Workspaces {
		if w.Cap == (fleet.Resources{}) {
			continue
		}
		s := c.stateOf(name)
		next, change := c.nextShare(s, w, wants[name], c.used[name], now)
		if !change || s.writing || now-s.lastWriteAt < capRequestInterval {
			continue
		}
		s.writing, s.lastWriteAt = true, now
		go c.writeShare(ctx, name, s.row, s.version, next)
	}
}

// nextShare returns the part that this pool should have, and whether to write it.
func (c *capShares) nextShare(s *capState, w *catalog.Workspace, need, used fleet.Resources, now time.Duration) (fleet.Resources, bool) {
	own, present := s.row[c.pool]
	others := s.row.total().Sub(own)
	free := w.Cap.Sub(others)
	if exceedsCap(s.row.total(), w.Cap) {
		reduced := maxEach(used, minEach(own, free))
		return reduced, reduced != own
	}
	base := w.Cap.Scale(0.5 / float64(max(1, len(c.catalog.Pools))))
	asked := minEach(maxEach(need.Scale(capHeadroomRatio), base), free)
	asked.Accelerators = min(max(need.Accelerators, own.Accelerators), free.Accelerators)
	if !present || exceedsShare(need, own, w.Cap) && (asked.MilliCPU > own.MilliCPU || asked.MemoryMB > own.MemoryMB || asked.Accelerators > own.Accelerators) {
		return maxEach(asked, minEach(own, free)), true
	}
	if own.MilliCPU <= maxEach(need.Scale(capSurplusRatio), base).MilliCPU {
		s.surplusSince = 0
		return own, false
	}
	if s.surplusSince == 0 {
		s.surplusSince = now
	}
	return maxEach(asked, used), now-s.surplusSince > capSurplusHold
}

func minEach(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: max(0, min(a.MilliCPU, b.MilliCPU)), MemoryMB: max(0, min(a.MemoryMB, b.MemoryMB)), Accelerators: max(0, min(a.Accelerators, b.Accelerators))}
}

func maxEach(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

func (c *capShares) writeShare(ctx context.Context, workspace string, before capRow, version int64, part fleet.Resources) {
	after := capRow{c.pool: part}
	for pool, share := range before {
		if pool != c.pool {
			after[pool] = share
		}
	}
	key := tables.CapKey(workspace)
	value, err := cbor.Marshal(after)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, capWriteTimeout)
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
	s := c.stateOf(workspace)
	s.writing = false
	s.surplusSince = 0
	if err != nil {
		c.log.Debug("cap_share_not_written", zap.String("workspace", workspace), zap.Error(err))
		return
	}
	if version > s.version {
		s.row, s.version = after, version
	}
	c.log.Info("cap_share", zap.String("workspace", workspace), zap.Int64("milli_cpu", part.MilliCPU), zap.Int64("memory_mb", part.MemoryMB), zap.Int64("version", version))
}
