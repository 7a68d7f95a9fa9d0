package node

import (
	"context"
	"errors"
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

// Division of the workspaces' caps among the pools. Half of a cap is at first
// divided evenly, the other half goes to the pools that request it.
const (
	capHeadroomRatio   = 1.2                     // requested share relative to the need, so that few writes are needed
	capSurplusRatio    = 1.6                     // share relative to the need, above which a part of it is given back
	capSurplusHold     = 1500 * time.Millisecond // how long a surplus lasts before it is given back
	capRequestInterval = 60 * time.Millisecond   // least time between two writes of one workspace's row
	capWriteTimeout    = 700 * time.Millisecond
	capWait            = 2 * time.Second       // of a feed call
	capPause           = 20 * time.Millisecond // between feed calls
)

// capRow divides the cap of one workspace into the cap shares of the pools, by
// pool.
type capRow map[string]fleet.Resources

func (c capRow) total() fleet.Resources {
	var sum fleet.Resources
	for _, share := range c {
		sum = sum.Add(share)
	}
	return sum
}

// capState is the division of one workspace's cap, and the state of this pool's
// share of it.
type capState struct {
	shares       capRow
	version      int64         // of the row of the cap shares
	writing      bool          // a write is under way
	pending      *pendingShare // a write that may still take effect; nil if there is none
	lastWriteAt  time.Duration // steady clock
	surplusSince time.Duration // since when the share exceeds the need, steady clock; 0 if it does not
}

// pendingShare is a write of a share on the condition of a version of the row. Until its
// outcome is known, or the row has another version, it may take effect at any moment.
type pendingShare struct {
	share   fleet.Resources
	version int64
}

// usable returns the share of a pool that is certain: a write that may take effect may
// lower it, and another pool may take the rest at once.
func (s *capState) usable(pool string) fleet.Resources {
	own := s.shares[pool]
	if s.pending != nil && s.pending.version == s.version {
		return minEach(own, s.pending.share)
	}
	return own
}

// capShares manages one pool's cap shares of all workspaces.
type capShares struct {
	node *Node
	pool string
	log  *zap.Logger

	mu        sync.Mutex
	catalog   *catalog.Catalog
	states    map[string]*capState // by workspace
	tableRead bool
	used      map[string]fleet.Resources // resources in use in this pool, by workspace
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
	f := &follower{store: c.node.store, clock: c.node.clock, log: c.log, table: tables.Caps, spans: store.Partitions(tables.Caps),
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
	shares := capRow{}
	if !row.Removed {
		if err := cbor.Unmarshal(row.Value, &shares); err != nil {
			c.log.Warn("cap_row_unreadable", zap.String("workspace", row.Name), zap.Error(err))
			return
		}
	}
	s.shares, s.version = shares, row.Version
	if row.Removed {
		s.version = 0
	}
}

func (c *capShares) stateOf(workspace string) *capState {
	s := c.states[workspace]
	if s == nil {
		s = &capState{shares: capRow{}}
		c.states[workspace] = s
	}
	return s
}

// applyTo passes the cap shares to the scheduler. No task of a workspace starts
// while its shares are unknown or their sum exceeds its cap.
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
		p.SetCapShare(name, s.usable(c.pool), !c.tableRead || exceedsCap(s.shares.total(), w.Cap))
		c.used[name] = p.Used(name)
	}
}

// exceedsCap reports whether an amount exceeds a cap, in which 0 means no
// limit.
func exceedsCap(amount, limit fleet.Resources) bool {
	return limit.MilliCPU > 0 && amount.MilliCPU > limit.MilliCPU ||
		limit.MemoryMB > 0 && amount.MemoryMB > limit.MemoryMB ||
		limit.Accelerators > 0 && amount.Accelerators > limit.Accelerators
}

// exceedsShare reports whether a need exceeds a cap share. Unlike in a cap, 0
// in a share allows nothing. Resources that the cap does not limit are ignored.
func exceedsShare(need, share, limit fleet.Resources) bool {
	return limit.MilliCPU > 0 && need.MilliCPU > share.MilliCPU ||
		limit.MemoryMB > 0 && need.MemoryMB > share.MemoryMB ||
		limit.Accelerators > 0 && need.Accelerators > share.Accelerators
}

// requestShares requests the cap shares that the scheduler needs, and gives
// back what it does not need.
func (c *capShares) requestShares(ctx context.Context, needs map[string]fleet.Resources, now time.Duration) {
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
		next, change := c.nextShare(s, w, needs[name], c.used[name], now)
		if s.pending != nil && s.pending.version == s.version {
			next, change = s.pending.share, true // the same write again tells its outcome
		}
		if !change || s.writing || now-s.lastWriteAt < capRequestInterval {
			continue
		}
		s.writing, s.lastWriteAt = true, now
		s.pending = &pendingShare{next, s.version}
		shares, version := s.shares, s.version
		c.node.spawn("cap share", func() { c.writeShare(ctx, name, shares, version, next) })
	}
}

// nextShare returns the cap share that this pool should have, and whether to
// write it. If all shares together exceed the cap, the pool reduces its share
// to what the others leave, but not below its use. Otherwise it requests a
// higher share if its need exceeds the share. A surplus of any resource beyond its part
// of the evenly divided half is given back after capSurplusHold. Accelerators are few and
// are not divided evenly.
func (c *capShares) nextShare(s *capState, w *catalog.Workspace, need, used fleet.Resources, now time.Duration) (fleet.Resources, bool) {
	own, present := s.shares[c.pool]
	otherShares := s.shares.total().Sub(own)
	free := w.Cap.Sub(otherShares)
	if exceedsCap(s.shares.total(), w.Cap) {
		reduced := maxEach(used, minEach(own, free))
		return reduced, reduced != own
	}
	base := w.Cap.Scale(0.5 / float64(max(1, len(c.catalog.Pools))))
	requested := minEach(maxEach(need.Scale(capHeadroomRatio), base), free)
	base.Accelerators = 0
	requested.Accelerators = max(0, min(need.Accelerators, free.Accelerators))
	if !present || exceedsShare(need, own, w.Cap) && (requested.MilliCPU > own.MilliCPU || requested.MemoryMB > own.MemoryMB || requested.Accelerators > own.Accelerators) {
		return maxEach(requested, minEach(own, free)), true
	}
	enough := maxEach(need.Scale(capSurplusRatio), base)
	enough.Accelerators = need.Accelerators
	if !exceedsShare(own, enough, w.Cap) {
		s.surplusSince = 0
		return own, false
	}
	if s.surplusSince == 0 {
		s.surplusSince = now
	}
	return maxEach(requested, used), now-s.surplusSince > capSurplusHold
}

// minEach returns the smaller amount of each resource, at least 0.
func minEach(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: max(0, min(a.MilliCPU, b.MilliCPU)), MemoryMB: max(0, min(a.MemoryMB, b.MemoryMB)), Accelerators: max(0, min(a.Accelerators, b.Accelerators))}
}

// maxEach returns the larger amount of each resource.
func maxEach(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// writeShare writes this pool's share, on the condition that the division still
// has the given version.
func (c *capShares) writeShare(ctx context.Context, workspace string, division capRow, version int64, share fleet.Resources) {
	newDivision := capRow{c.pool: share}
	for pool, other := range division {
		if pool != c.pool {
			newDivision[pool] = other
		}
	}
	key := tables.CapKey(workspace)
	value, err := cbor.Marshal(newDivision)
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
	var conflict *store.ConflictError
	if err == nil || errors.Is(err, store.ErrInvalid) || errors.As(err, &conflict) {
		s.pending = nil
	}
	switch {
	case conflict != nil:
		// Another pool has written, or an earlier try of this write has taken effect.
		c.log.Debug("cap_share_not_written", zap.String("workspace", workspace), zap.Error(err))
		if row, ok := conflict.Find(key); ok {
			c.applyRow(row)
		}
		return
	case err != nil:
		c.log.Info("cap_share_not_written", zap.String("workspace", workspace), zap.Error(err))
		return
	}
	if version > s.version {
		s.shares, s.version = newDivision, version
	}
	c.log.Info("cap_share", zap.String("workspace", workspace), zap.Int64("milli_cpu", share.MilliCPU), zap.Int64("memory_mb", share.MemoryMB), zap.Int64("version", version))
}
