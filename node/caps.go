package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/capshare"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Transactions on the cap shares of workspaces.
const (
	capRequestInterval = 60 * time.Millisecond // least time between two writes of one workspace's row
	capWriteTimeout    = 700 * time.Millisecond
	capWait            = 2 * time.Second       // of a feed call
	capPause           = 20 * time.Millisecond // between feed calls
	// capWaitLogAfter is how long tasks of a workspace wait for a share of its cap before
	// that is logged. A share that is free is there sooner.
	capWaitLogAfter = 500 * time.Millisecond
	// capWaitLogInterval is the least time between two log lines about such waits.
	capWaitLogInterval = 2 * time.Second
	// maxLoggedHolders bounds the pools that such a line names.
	maxLoggedHolders = 8
)

// capState is what a pool's owner knows of one workspace's cap shares.
type capState struct {
	account      *capshare.Account
	writing      bool          // a write is under way
	lastWriteAt  time.Duration // steady clock
	cappedSince  time.Duration // since when this owner knows that the workspace has a cap, steady clock; 0 if it has none
	waitingSince time.Duration // since when tasks wait for nothing but a share, steady clock; 0 if none does
	waitLoggedAt time.Duration // when such a wait was last logged, steady clock; 0 if never
}

// capShares manages one pool's cap shares of all workspaces.
type capShares struct {
	node *Node
	pool string
	log  *zap.Logger

	mu        sync.Mutex
	catalog   *catalog.Catalog
	pools     []string             // that are declared
	states    map[string]*capState // by workspace
	tableRead bool
}

func newCapShares(n *Node, pool string, log *zap.Logger) *capShares {
	return &capShares{node: n, pool: pool, log: log, states: map[string]*capState{}}
}

func (c *capShares) configure(cat *catalog.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog, c.pools = cat, cat.PoolNames()
	now := max(1, c.node.clock.Now().Steady)
	for name, w := range cat.Workspaces {
		switch s := c.stateOf(name); {
		case w.Cap == (fleet.Resources{}):
			s.cappedSince = 0
		case s.cappedSince == 0:
			s.cappedSince = now
		}
	}
	c.node.setCapHolders(c.undeclaredHolders())
}

func (c *capShares) follow(ctx context.Context) {
	f := &follower{store: c.node.store, clock: c.node.clock, log: c.log, table: tables.Caps, spans: store.Partitions(tables.Caps),
		wait: capWait, pause: capPause, deliver: c.update}
	f.run(ctx)
}

func (c *capShares) update(u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range u.Rows {
		c.applyRow(row)
	}
	if c.catalog != nil {
		c.node.setCapHolders(c.undeclaredHolders())
	}
	if !c.tableRead && u.Whole {
		c.tableRead = true
		for _, s := range c.states {
			s.account.Observe(nil, 0) // of workspaces without a row
		}
	}
}

// undeclaredHolders returns the names of the pools that have a share of some workspace's cap
// and are not declared.
func (c *capShares) undeclaredHolders() map[string]bool {
	names := map[string]bool{}
	for workspace, s := range c.states {
		if w := c.catalog.Workspaces[workspace]; w == nil || w.Cap == (fleet.Resources{}) {
			continue
		}
		for name := range s.account.Division() {
			if c.catalog.Pools[name] == nil {
				names[name] = true
			}
		}
	}
	return names
}

// setCapHolders takes note of the undeclared pools that have shares of caps, as an owner has
// read them.
func (n *Node) setCapHolders(names map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.capHolders = names
}

func (c *capShares) applyRow(row store.Row) {
	account := c.stateOf(row.Name).account
	if row.Removed {
		account.Removed()
		return
	}
	var division capshare.Division
	if err := cbor.Unmarshal(row.Value, &division); err != nil {
		c.log.Warn("cap_row_unreadable", zap.String("workspace", row.Name), zap.Error(err))
		return
	}
	account.Observe(division, row.Version)
}

func (c *capShares) stateOf(workspace string) *capState {
	s := c.states[workspace]
	if s == nil {
		s = &capState{account: capshare.NewAccount(c.pool)}
		if c.tableRead {
			s.account.Observe(nil, 0)
		}
		c.states[workspace] = s
	}
	return s
}

// applyTo passes the cap shares to the scheduler. No task of a workspace starts
// while its shares are unknown or their sum exceeds its cap, or while a pool may have runs
// that are not in the division of a new cap.
func (c *capShares) applyTo(p *pool.Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil {
		return
	}
	now := c.node.clock.Now().Steady
	for name, w := range c.catalog.Workspaces {
		if w.Cap == (fleet.Resources{}) {
			continue
		}
		s := c.stateOf(name)
		usable, blocked := s.account.Usable(w.Cap, c.pools, p.CapWork(name).Used, now-s.cappedSince < c.uncappedRunsBound())
		p.SetCapShare(name, usable, blocked)
	}
}

// uncappedRunsBound returns how long a pool that has not joined the division of a new cap may
// still have runs: an owner that does not follow the declarations renews no leases after
// renewAgeLimit, and then they end.
func (c *capShares) uncappedRunsBound() time.Duration {
	settings := &c.node.settings.Scheduler
	return renewAgeLimit + leaseBound(max(settings.Lease, settings.MaxLease))
}

// requestShares requests the cap shares that the scheduler needs after its cycle, and gives
// back what it does not need.
func (c *capShares) requestShares(ctx context.Context, p *pool.Pool, now time.Duration) {
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
		work := p.CapWork(name)
		c.logWait(s, w, work, now)
		if s.writing || now-s.lastWriteAt < capRequestInterval {
			continue
		}
		write, ok := s.account.Next(w.Cap, c.pools, work, now)
		if !ok {
			continue
		}
		s.writing, s.lastWriteAt = true, now
		c.node.spawn("cap share", func() { c.write(ctx, name, write) })
	}
}

// logWait logs that a task waits for nothing but a share of its workspace's cap.
func (c *capShares) logWait(s *capState, w *catalog.Workspace, work capshare.Work, now time.Duration) {
	switch {
	case work.Unit == (fleet.Resources{}):
		s.waitingSince = 0
		return
	case s.waitingSince == 0:
		s.waitingSince = now
	}
	if now-s.waitingSince < capWaitLogAfter || s.waitLoggedAt > 0 && now-s.waitLoggedAt < capWaitLogInterval {
		return
	}
	s.waitLoggedAt = now
	division := s.account.Division()
	first, _ := division.First(w.Cap)
	c.log.Info("cap_share_wait", zap.String("workspace", w.Name), zap.Duration("for", now-s.waitingSince), zap.String("needs", amount(work.Unit)), zap.String("used", amount(work.Used)),
		zap.String("share", amount(s.account.Share())), zap.String("cap", amount(w.Cap)), zap.String("first_claim", first), zap.String("holders", c.holders(division)))
}

// holders describes the shares of other pools, of at most maxLoggedHolders.
func (c *capShares) holders(d capshare.Division) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(d)) {
		if share := d[name].Resources; name != c.pool && share != (fleet.Resources{}) && len(list) < maxLoggedHolders {
			list = append(list, name+":"+amount(share))
		}
	}
	return strings.Join(list, ",")
}

// amount formats resources as thousandths of a processor, MB and accelerators.
func amount(r fleet.Resources) string {
	return fmt.Sprintf("%d/%d/%d", r.MilliCPU, r.MemoryMB, r.Accelerators)
}

// write carries out a write of a workspace's row.
func (c *capShares) write(ctx context.Context, workspace string, w capshare.Write) {
	key := tables.CapKey(workspace)
	var receipt store.Receipt
	value, err := cbor.Marshal(w.Division)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, capWriteTimeout)
		defer cancel()
		receipt, err = c.node.store.Commit(ctx, store.Txn{
			Conditions: []store.Condition{{Key: key, Version: w.Version}},
			Puts:       []store.Put{{Key: key, Value: value}},
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateOf(workspace)
	s.writing = false
	share := w.Division[c.pool]
	var conflict *store.ConflictError
	switch {
	case err == nil:
		s.account.Finish(w, capshare.Done, receipt.Version)
		c.log.Info("cap_share", zap.String("workspace", workspace), zap.String("reason", string(w.Reason)), zap.String("share", amount(share.Resources)),
			zap.Bool("claim", share.Claim != nil), zap.Int64("version", receipt.Version))
	case errors.As(err, &conflict):
		// Another pool has written, or an earlier try of this write has taken effect.
		c.log.Debug("cap_share_not_written", zap.String("workspace", workspace), zap.Error(err))
		s.account.Finish(w, capshare.Refused, 0)
		if row, ok := conflict.Find(key); ok {
			c.applyRow(row)
		} else {
			s.account.Removed()
		}
	case errors.Is(err, store.ErrInvalid):
		c.log.Warn("cap_share_not_written", zap.String("workspace", workspace), zap.Error(err))
		s.account.Finish(w, capshare.Refused, 0)
	default:
		c.log.Info("cap_share_not_written", zap.String("workspace", workspace), zap.Error(err))
		s.account.Finish(w, capshare.Unknown, 0)
	}
}
