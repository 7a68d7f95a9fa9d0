// Package node implements an entry: the process that takes the requests of
// callers and schedules the pools that it owns. Everything that must survive a
// restart is stored in the table service; entries keep no state of their own.
//
// The scheduling decisions are those of sched/pool and sched/fleetplan. The
// platform is reached only through store.Store and the interfaces Workers,
// Machines, Rows and Advisor.
package node

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// fleetPool is the name of the fleet role, whose holder orders maintenance and
// moves of VMs. The role is owned like a pool; the names of operators' pools do
// not start with a colon.
const fleetPool = ":fleet"

// claimInterval is the time between two checks for pools without an owner.
const claimInterval = 150 * time.Millisecond

// Settings configures an entry.
type Settings struct {
	Self       Member        // initial row of this entry
	Scheduler  pool.Settings // of each owned pool; Pool and the lease bounds are set for each claim
	Fleet      FleetSettings
	MaxViewAge time.Duration // age at which the view of the declarations is too old to act on; 0 means defaultMaxViewAge
}

// Options holds the settings of an entry and the services that it uses.
type Options struct {
	Settings Settings
	Store    store.Store
	Workers  Workers
	Machines Machines
	Advisor  Advisor // nil if none is configured
	Rows     Rows
	Clock    Clock
	Log      *zap.Logger
}

// Node is one entry process.
type Node struct {
	settings    Settings
	store       *timedStore
	workers     Workers
	machines    Machines
	advisor     Advisor
	advisorSlot chan struct{} // holds an element during a call to the advisor
	rows        Rows
	clock       Clock
	log         *zap.Logger
	metrics     *metrics
	operator    *operatorView
	members     *members
	owners      *ownerWatch
	stopping    atomic.Bool

	mu           sync.Mutex
	owned        map[string]bool          // pools that this entry owns
	unownedSince map[string]time.Duration // by pool: when it was first seen without a live owner, steady clock
	batchers     map[string]*writeBatcher // callers' requests that are not stored yet, by partition
	tombstones   map[string]*rate.Limiter // of cancellations that leave tombstones, by workspace
	movedQueues  movedQueueCache
	capHolders   map[string]bool      // undeclared pools that have shares of caps, as an owner of this process has read them
	seenClaims   map[string]seenClaim // by pool: claims that the claimers' member rows may not show yet; for claimLoop only
	controllers  sync.WaitGroup       // of the owned pools and the fleet role
	unsettled    chan struct{}        // holds an element for each cancellation that is repeated
}

// seenClaim is a claim of another entry that was read from an owner's row.
type seenClaim struct {
	epoch       int64
	firstSeenAt time.Duration // steady clock
}

// New returns an entry. Run starts it.
func New(o Options) *Node {
	timed := newTimedStore(o.Store, o.Clock)
	n := &Node{
		settings: o.Settings, store: timed, workers: o.Workers, machines: o.Machines, rows: o.Rows,
		advisor: o.Advisor, advisorSlot: make(chan struct{}, 1),
		clock: o.Clock, log: o.Log, metrics: newMetrics(timed.loads),
		operator: newOperatorView(o.Rows, o.Log),
		members:  newMembers(timed, o.Clock, o.Log, o.Settings.Self),
		owned:    map[string]bool{}, unownedSince: map[string]time.Duration{}, seenClaims: map[string]seenClaim{}, batchers: map[string]*writeBatcher{},
		tombstones: map[string]*rate.Limiter{}, unsettled: make(chan struct{}, maxUnsettled),
	}
	n.owners = newOwnerWatch(timed, o.Clock, o.Log, n.members.feedPause)
	timed.path.log, timed.path.probe, timed.path.onLoss = o.Log, n.probeStore, func() { n.metrics.add("table_path_losses") }
	return n
}

// probeStore reads this entry's own row, to learn whether the table service answers.
func (n *Node) probeStore(ctx context.Context) error {
	_, _, err := store.Get(ctx, n.store, tables.MemberKey(n.settings.Self.Node))
	return err
}

// Metrics returns the handler that serves the counters and histograms as JSON.
func (n *Node) Metrics() http.Handler { return n.metrics }

// Run serves until ctx ends, then hands its pools over and returns. The error
// is always nil.
func (n *Node) Run(ctx context.Context) error {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	return n.RunUntil(ctx, serving)
}

// RunUntil is Run for a node that answers requests of callers until serving ends, after it has
// handed its pools over: until then it knows whether its declarations are current, and
// whether the table service answers.
func (n *Node) RunUntil(ctx, serving context.Context) error {
	n.log.Info("started", zap.String("incarnation", n.settings.Self.Incarnation), zap.String("data_centre", n.settings.Self.DataCentre))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.store.path.start(serving)
	var wg sync.WaitGroup
	wg.Go(func() {
		n.keepRunning(serving, "operator rows", func(ctx context.Context) { n.operator.run(ctx, n.newFollower()) })
	})
	for task, loop := range map[string]func(context.Context){
		"heartbeats": n.members.heartbeatLoop,
		"members":    n.followMembers,
		"owners":     n.followOwners,
		"table load": n.logTableLoads,
	} {
		wg.Go(func() { n.keepRunning(background, task, loop) })
	}
	n.claimLoop(ctx)
	n.stopping.Store(true)
	n.members.AnnounceStop()
	n.controllers.Wait()
	n.members.leave(background)
	n.log.Info("pools_handed_over")
	return nil
}

func (n *Node) newFollower() follower {
	return follower{store: n.store, clock: n.clock, log: n.log}
}

func (n *Node) followMembers(ctx context.Context) {
	f := n.newFollower()
	f.table, f.spans, f.wait, f.pauseNow, f.deliver = tables.Members, tables.MemberSpans(), memberWait, n.members.feedPause, n.members.update
	f.run(ctx)
}

func (n *Node) followOwners(ctx context.Context) {
	f := n.newFollower()
	f.table, f.wait, f.pauseNow, f.deliver = tables.Owners, memberWait, n.members.feedPause, n.owners.update
	f.active = func() bool {
		if n.members.mayClaim() {
			return true
		}
		n.owners.forget()
		return false
	}
	f.run(ctx)
}

// claimLoop claims pools that have no owner, until ctx ends.
func (n *Node) claimLoop(ctx context.Context) {
	startedAt := n.clock.Now().Steady
	for ctx.Err() == nil {
		n.claimUnowned(ctx, n.clock.Now().Steady-startedAt < firstClaimDelay)
		timer := time.NewTimer(claimInterval)
		select {
		case <-timer.C:
		case <-n.members.Changed():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// claimUnowned tries to claim each pool without a live owner that this entry
// should claim now, or only those that it owned before it was restarted. It does nothing
// without a current view of the members, and in a bystander, which does not follow the owners.
func (n *Node) claimUnowned(ctx context.Context, onlyFormer bool) {
	view, _ := n.operator.Get()
	live, current := n.members.Live()
	if view.Catalog == nil || !current || !n.members.mayClaim() {
		n.mu.Lock()
		clear(n.unownedSince)
		n.mu.Unlock()
		return
	}
	for _, name := range n.claimable(view.Catalog) {
		if ctx.Err() != nil {
			return
		}
		former := n.members.wasOwner(name) && !n.owns(name) && n.owners.hasFormerOwner(ctx, name, n.settings.Self)
		if former || !onlyFormer && n.shouldClaim(name, n.owners.hasLiveOwner(ctx, name, live), live) {
			n.tryClaim(ctx, name, live)
		}
	}
}

// claimable returns the names of the pools that need an owner, and the fleet role: those that
// are declared, and others that still have a share of a cap, which nobody else can give back.
func (n *Node) claimable(c *catalog.Catalog) []string {
	names := c.PoolNames()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(n.capHolders)) {
		if c.Pools[name] == nil {
			names = append(names, name)
		}
	}
	return append(names, fleetPool)
}

// shouldClaim reports whether this entry should try to claim a pool now. An
// entry waits longer the later it is in claimOrder, and the slower the table
// service is.
func (n *Node) shouldClaim(name string, hasOwner bool, live map[string]Member) bool {
	now := n.clock.Now().Steady
	n.mu.Lock()
	defer n.mu.Unlock()
	if hasOwner || n.owned[name] {
		delete(n.unownedSince, name)
		return false
	}
	since, known := n.unownedSince[name]
	if !known {
		since = now
		n.unownedSince[name] = now
	}
	order := claimOrder(name, n.settings.Self.Node, n.withOwnPools(live))
	return order >= 0 && now-since >= time.Duration(order)*(claimStagger+claimLatencyFactor*n.store.AverageCommitTime())
}

// owns reports whether this entry owns a pool.
func (n *Node) owns(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned[name]
}

// withOwnPools sets the pools of this entry in live to those that it owns now,
// since its row may not have been read back yet. The caller holds n.mu.
func (n *Node) withOwnPools(live map[string]Member) map[string]Member {
	self, ok := live[n.settings.Self.Node]
	if !ok {
		return live
	}
	self.Pools = n.ownedNames()
	live[n.settings.Self.Node] = self
	return live
}

// ownedNames returns the sorted names of the pools that this entry owns. The
// caller holds n.mu.
func (n *Node) ownedNames() []string {
	names := make([]string, 0, len(n.owned))
	for name := range n.owned {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// claimGrace is the time within which a claim should appear in the claimer's
// member row, in addition to several times the usual time of a transaction.
const claimGrace = 2 * time.Second

// claimedRecently reports whether another live member has claimed a pool so
// recently that its member row may not show it yet.
func (n *Node) claimedRecently(name string, owner ownerRow, live map[string]Member) bool {
	holder, ok := live[owner.Node]
	if !ok || holder.Incarnation != owner.Incarnation || owner.Node == n.settings.Self.Node {
		return false
	}
	now := n.clock.Now().Steady
	seen := n.seenClaims[name]
	if seen.epoch != owner.Epoch {
		n.seenClaims[name] = seenClaim{owner.Epoch, now}
		return true
	}
	return now-seen.firstSeenAt < claimGrace+2*claimLatencyFactor*n.store.AverageCommitTime()
}

// tryClaim claims a pool and starts its controller, unless another live member
// has just claimed it.
func (n *Node) tryClaim(ctx context.Context, name string, live map[string]Member) {
	o, err := readOwner(ctx, n.store, name)
	if err != nil {
		n.log.Info("owner_not_read", zap.String("pool", name), zap.Error(err))
		return
	}
	if o.row.Node != n.settings.Self.Node && n.owners.hasWritten(name, o.row, o.version) || n.claimedRecently(name, o.row, live) {
		return
	}
	formerOwner, renewedUntil, sentAt := o.row.Node, o.renewedUntil(), n.clock.Now().Steady
	graceCtx, cancelGrace := withGracePeriod(ctx, releaseTimeout)
	defer cancelGrace()
	callCtx, cancel := context.WithTimeout(graceCtx, claimTimeout)
	defer cancel()
	if err := o.claim(callCtx, n.settings.Self); err != nil {
		n.log.Info("claim_failed", zap.String("pool", name), zap.Error(err))
		return
	}
	if ctx.Err() != nil {
		// This entry is stopping. Release the pool, so that another entry can claim
		// it without waiting for this one to expire.
		err := o.release(callCtx)
		n.log.Info("claim_given_back", zap.String("pool", name), zap.Error(err))
		return
	}
	n.log.Info("pool_claimed", zap.String("pool", name), zap.Int64("epoch", o.row.Epoch), zap.String("owner_was", formerOwner), zap.Duration("renewed_for", renewedUntil-sentAt),
		zap.Int64("earlier_renewals_end_ms", o.row.EarlierRenewalsMS), zap.Int64("version", o.version))
	n.runController(ctx, o, renewedUntil, sentAt)
}

// withGracePeriod returns a context that ends d after ctx does, or when the
// returned function is called.
func withGracePeriod(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	graceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopAfterFunc := context.AfterFunc(ctx, func() { time.AfterFunc(d, cancel) })
	return graceCtx, func() {
		stopAfterFunc()
		cancel()
	}
}

// runController starts the controller of a claimed pool or of the fleet role.
// It runs until ctx ends or there is another owner. The earlier owner may have
// renewed leases until renewedUntil; the claim was sent at sentAt. Both are on
// the steady clock.
func (n *Node) runController(ctx context.Context, o *ownership, renewedUntil, sentAt time.Duration) {
	n.setOwned(o.pool, true)
	n.controllers.Go(func() {
		err := n.protect("pool "+o.pool, func() error {
			if o.pool == fleetPool {
				return newFleetController(n, o, sentAt).run(ctx)
			}
			return newPoolController(n, o, renewedUntil, sentAt).run(ctx)
		})
		n.setOwned(o.pool, false)
		if err != nil && !errors.Is(err, context.Canceled) {
			n.log.Warn("pool_lost", zap.String("pool", o.pool), zap.Int64("epoch", o.row.Epoch), zap.Error(err))
		}
	})
}

func (n *Node) setOwned(name string, owned bool) {
	n.mu.Lock()
	if owned {
		n.owned[name] = true
	} else {
		delete(n.owned, name)
	}
	delete(n.unownedSince, name)
	names := n.ownedNames()
	n.mu.Unlock()
	n.members.SetPools(names)
}
