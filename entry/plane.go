package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/apply"
	"amaranthfork.example/control/balance"
	"amaranthfork.example/control/jobs"
	"amaranthfork.example/control/journal"
	"amaranthfork.example/control/limits"
	"amaranthfork.example/control/load"
	"amaranthfork.example/control/member"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/control/role"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/shards"
	"amaranthfork.example/control/slots"
	"amaranthfork.example/control/upkeep"
	"amaranthfork.example/control/view"
	"amaranthfork.example/entry/api"
	"amaranthfork.example/entry/direct"
	"amaranthfork.example/entry/metrics"
	"amaranthfork.example/entry/peer"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
)

// plane holds the parts of an entry that belong to one session: its share of the
// control plane, the direct path and the API. A fenced session cannot be resumed, so
// the entry then builds a new plane with a new session id.
type plane struct {
	entry *Entry
	id    string // session id, which is also the member id

	router              *rpc.Router      // methods that this entry serves to others
	node                *peer.Node       // links to other entries
	members             *member.Registry // session of this entry, and the member list
	view                *view.View
	applier             *apply.Coordinator // of changes to the configuration
	poolMap             *poolMap
	ledger              *pools.Ledger // assignments of VMs to pools, and availability budgets
	slots               *slots.Slots  // VM dispatcher
	limits              *limits.Limits
	shards              *shards.Manager  // of jobs
	journal             *journal.Journal // of the state of jobs
	jobs                *jobs.Manager
	poolRole            *role.Role
	pools               *pools.Controller
	maintenanceRole     *role.Role
	upkeep              *upkeep.Executor // maintenance of VMs
	capacityRole        *role.Role
	balance             *balance.Controller // moves VMs between pools
	load                *load.Collector     // load reports of all entries
	estimates           *estimates
	direct              *direct.Forwarder
	checkpointRequested map[fleet.AttemptID]time.Time // when checkpointExcess requested a checkpoint
	api                 *api.Server
}

// newPlane builds all parts. None of them acts before run has joined the fleet.
func newPlane(e *Entry) (*plane, error) {
	p := &plane{entry: e, id: uuid.NewString(), router: rpc.NewRouter(), estimates: newEstimates(), checkpointRequested: map[fleet.AttemptID]time.Time{}}
	if err := p.buildMembership(); err != nil {
		return nil, err
	}
	p.buildDispatch()
	p.buildJobs()
	p.buildControllers()
	p.buildBalance()
	if err := p.buildDirect(); err != nil {
		return nil, err
	}
	p.api = api.New(api.Options{
		View:          p.view,
		Direct:        p.serveDirect,
		Jobs:          p.jobs,
		Operator:      &operator{p},
		JobID:         jobs.ID,
		OperatorToken: e.options.Settings.OperatorToken,
		Clock:         e.options.Clock,
		Metrics:       e.metrics,
		Log:           e.options.Log,
	})
	return p, nil
}

func (p *plane) buildMembership() error {
	e, o := p.entry, p.entry.options
	node, err := peer.New(peer.Options{
		Self:       p.id,
		Secret:     []byte(o.Settings.PeerSecret),
		Router:     p.router,
		TLS:        e.peerTLS,
		Dial:       o.DialPeer,
		IsPriority: isLivenessMethod,
	})
	if err != nil {
		return fmt.Errorf("peer link: %w", err)
	}
	p.node = node
	self := control.Member{ID: p.id, DataCentre: o.Settings.DataCentre, Address: e.PeerAddress(), VM: o.Settings.VM}
	p.members = member.New(member.Options{
		Self:   self,
		NewID:  func() string { return p.id },
		Table:  p.entry.table,
		VMs:    p.entry.vmList,
		Caller: node,
		Clock:  o.Clock,
	})
	builder := &snapshotBuilder{builder: config.NewBuilder(nil)}
	p.view = view.New(view.Options{
		Members: p.members, Table: p.entry.table, Objects: o.Platform.Objects, VMs: p.entry.vmList,
		Caller: node, Clock: o.Clock, Builder: builder,
	})
	p.applier = apply.New(apply.Options{
		View: p.view, Members: p.members, Table: p.entry.table, Caller: node, Clock: o.Clock, Builder: builder,
	})
	p.members.Register(p.router)
	p.view.Register(p.router)
	p.applier.Register(p.router)
	return nil
}

// isLivenessMethod reports whether calls of a method must not be delayed by ordinary
// work: all but those about jobs and tasks.
func isLivenessMethod(method string) bool {
	return !strings.HasPrefix(method, "jobs.") && !strings.HasPrefix(method, "slots.")
}

func (p *plane) buildDispatch() {
	o := p.entry.options
	p.poolMap = newPoolMap(p.entry.table, o.Clock, p.members, p.view)
	p.shards = shards.New(shards.Options{Table: p.entry.table, Membership: p.members, Count: o.Settings.Shards})
	p.limits = limits.New(limits.Options{
		View: p.view, Membership: p.members, Table: p.entry.table, Caller: p.node, Clock: o.Clock,
		Recovered: newRecoveryTracker(o.Clock, p.shards.References).isRecovered, FloorDivisor: limitFloorDivisor,
	}, p.router)
	p.slots = slots.New(slots.Options{
		View: p.view, Membership: p.members, Workers: o.Platform.Workers, VMList: p.entry.vmList,
		Pools: p.poolMap, Caller: p.node, Clock: o.Clock,
		OnTaskEnd: func(ctx context.Context, end control.TaskEnd) error { return p.jobs.TaskEnded(ctx, end) },
		OnEvent:   p.onSlotEvent,
	}, p.router)
}

// limitFloorDivisor sets how many units of a limit the entries together keep while a
// team is idle: the limit divided by it. With limits of 80 to 200 and 9 entries, each
// entry keeps 2 to 5 units; with limits of 120 and 100 entries it keeps none, which
// saves 98 rows per entry.
const limitFloorDivisor = 4

// onSlotEvent counts and logs an event of the VM dispatcher.
func (p *plane) onSlotEvent(ev slots.Event) {
	p.entry.metrics.Add("vm_"+string(ev.Kind), 1)
	p.entry.options.Log.Info(string(ev.Kind), zap.String("worker", string(ev.VM)),
		zap.String("attempt", string(ev.Attempt)), zap.String("detail", ev.Detail))
}

func (p *plane) buildJobs() {
	o := p.entry.options
	p.journal = journal.New(journal.Options{
		Table: p.entry.table, Objects: o.Platform.Objects, Membership: p.members, Clock: o.Clock,
	})
	p.jobs = jobs.New(jobs.Options{
		Clock: o.Clock, Membership: p.members, View: p.view, Limits: teamLimits{p.limits},
		Dispatcher: p.slots, Journal: p.journal, Shards: p.shards, Caller: p.node,
		Estimate:        p.estimates.estimate,
		OnStart:         p.onStart,
		OnTaskCompleted: p.onTaskCompleted,
		OnEnd:           p.onEnd,
	})
	p.shards.SetHandover(p.jobs)
	p.jobs.Register(p.router)
}

func (p *plane) buildControllers() {
	o := p.entry.options
	p.ledger = pools.NewLedger(pools.LedgerOptions{Table: p.entry.table, View: p.view, Clock: o.Clock})
	dispatch := &vmDispatch{slots: p.slots}
	p.poolRole = role.New(role.Options{Name: pools.RoleName, Table: p.entry.table, Membership: p.members})
	p.pools = pools.NewController(pools.Options{
		Ledger: p.ledger, Role: p.poolRole, View: p.view, VMList: p.entry.vmList, VMs: o.Platform.VMs,
		Dispatch: dispatch, Clock: o.Clock,
	})
	p.maintenanceRole = role.New(role.Options{Name: upkeep.RoleName, Table: p.entry.table, Membership: p.members})
	p.upkeep = upkeep.New(upkeep.Options{
		Table: p.entry.table, Ledger: p.ledger, Role: p.maintenanceRole, View: p.view, VMList: p.entry.vmList,
		VMs: o.Platform.VMs, Dispatch: dispatch, Clock: o.Clock,
	})
}

func (p *plane) buildBalance() {
	o := p.entry.options
	p.load = load.New(load.Options{
		Membership: p.members, Caller: p.node, Clock: o.Clock, Local: p.loadReport,
	}, p.router)
	p.capacityRole = role.New(role.Options{Name: balance.RoleName, Table: p.entry.table, Membership: p.members})
	p.balance = balance.New(balance.Options{
		Table: p.entry.table, VMList: p.entry.vmList, Ledger: p.ledger, Role: p.capacityRole,
		View: p.view, Load: p.load, Clock: o.Clock, OnMove: p.onMove,
	})
}

// loadReport returns the work, VMs and start delays that this entry knows of, for the
// other entries.
func (p *plane) loadReport() load.Report {
	report := load.Report{Work: p.jobs.Load(), VMs: p.slots.Loads()}
	for _, s := range p.entry.metrics.Summaries() {
		if s.Kind == metrics.StartDelay && s.RecentCount > 0 {
			report.Delays = append(report.Delays, load.Delay{
				Team: s.Team, Class: s.Class, P99: time.Duration(s.RecentP99) * time.Millisecond, Samples: int(s.RecentCount),
			})
		}
	}
	return report
}

func (p *plane) onMove(m capacity.Move) {
	p.entry.metrics.Add("moves_"+string(m.Reason), 1)
	p.entry.options.Log.Info("move_begun", zap.String("worker", string(m.VM)), zap.String("from", string(m.From)),
		zap.String("to", string(m.To)), zap.String("reason", m.Explanation))
}

func (p *plane) onStart(job *fleet.Job, delay time.Duration) {
	p.entry.metrics.Observe(metrics.StartDelay, job.Team, job.Class, delay)
}

func (p *plane) onTaskCompleted(job *fleet.Job, end control.TaskEnd, ran time.Duration) {
	p.entry.metrics.Observe(metrics.RunTime, job.Team, job.Class, ran)
	p.estimates.observe(job, end.Usage, ran)
}

func (p *plane) onEnd(job *fleet.Job, result fleet.Result) {
	p.entry.metrics.Add("jobs_"+string(result.Outcome), 1)
	if result.Outcome != fleet.OutcomeCompleted {
		p.entry.options.Log.Info("job_ended", zap.String("job", string(job.ID)), zap.String("team", string(job.Team)),
			zap.String("outcome", string(result.Outcome)), zap.String("reason", string(result.Reason)), zap.String("detail", result.Detail))
	}
}

// errSessionOver ends the loops of a plane whose session was fenced.
var errSessionOver = errors.New("session fenced by another entry")

// run joins the fleet and runs all periodic tasks until ctx ends or the session is
// fenced, which returns errSessionOver.
func (p *plane) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := p.join(ctx); err != nil {
		return err
	}
	l := &taskLoops{log: p.entry.options.Log, metrics: p.entry.metrics}
	l.start(ctx, p.periodicTasks(cancel)...)
	l.wg.Go(func() { p.dispatchLoop(ctx) })
	l.wg.Go(func() { p.limitsLoop(ctx) })
	<-ctx.Done()
	l.wait()
	if errors.Is(context.Cause(ctx), errSessionOver) {
		return errSessionOver
	}
	return nil
}

const joinTimeout = 5 * time.Second

func (p *plane) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := p.members.Join(ctx); err != nil {
		return fmt.Errorf("join the fleet: %w", err)
	}
	p.linkPeers()
	p.entry.options.Log.Info("session_started", zap.String("member", p.id))
	return nil
}

// periodicTasks returns the periodic tasks of all parts. cancel ends the session.
func (p *plane) periodicTasks(cancel context.CancelCauseFunc) []periodicTask {
	second := time.Second
	withoutError := func(fn func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error { fn(ctx); return nil }
	}
	return []periodicTask{
		{name: "membership", interval: member.TickInterval, run: func(ctx context.Context) error { return p.tickMembers(ctx, cancel) }},
		{name: "view", interval: view.TickInterval, run: p.view.Tick},
		{name: "shards", interval: 500 * time.Millisecond, run: p.shards.Tick},
		{name: "sweep", interval: time.Minute, timeout: time.Minute, run: p.sweepJournals},
		{name: "journal", interval: second, run: withoutError(p.journal.Tick)},
		{name: "jobs", interval: 20 * time.Millisecond, run: p.jobs.Tick},
		{name: "jobs_maintain", interval: 250 * time.Millisecond, run: p.jobs.Maintain},
		{name: "vm_list", interval: second, run: p.slots.TickList},
		{name: "vm_leases", interval: second, run: withoutError(p.slots.TickLeases)},
		{name: "tasks", interval: 50 * time.Millisecond, run: withoutError(p.slots.TickTasks)},
		{name: "task_ends", interval: 50 * time.Millisecond, run: withoutError(p.slots.TickEnds)},
		{name: "digests", interval: second, run: withoutError(p.slots.TickDigests)},
		{name: "limits", interval: second, run: p.limits.Tick},
		{name: "excess", interval: second, run: p.checkpointExcess},
		{name: "endpoints", interval: second, run: p.updateEndpoints},
		{name: "pool_map", interval: poolMapInterval, run: p.poolMap.Tick},
		{name: "pools", interval: second, run: p.pools.Tick},
		{name: "maintenance", interval: 5 * second, run: p.upkeep.Tick},
		{name: "pools_role", interval: second, run: p.poolRole.Tick},
		{name: "capacity", interval: 2 * second, run: p.balance.Tick},
		{name: "capacity_role", interval: second, run: p.capacityRole.Tick},
		{name: "maintenance_role", interval: second, run: p.maintenanceRole.Tick},
	}
}

// sweepJournals deletes journals that no shard refers to any more. Only the holder of
// the pool role does it, for all entries.
func (p *plane) sweepJournals(ctx context.Context) error {
	if p.poolRole.Held() != nil {
		return nil
	}
	platform := p.entry.options.Platform
	sweeper := journal.Sweeper{Table: p.entry.table, Objects: platform.Objects, ReferencedSessions: p.shards.Referenced, TxnID: uuid.NewString}
	_, err := sweeper.Sweep(ctx)
	return err
}

// tickMembers renews the session and updates the links to the members. It ends the
// session if it has been fenced.
func (p *plane) tickMembers(ctx context.Context, cancel context.CancelCauseFunc) error {
	err := p.members.Tick(ctx)
	if errors.Is(err, member.ErrFenced) {
		cancel(errSessionOver)
		return err
	}
	p.linkPeers()
	return err
}

// linkPeers makes the node keep links to the members of the current member list.
func (p *plane) linkPeers() {
	addresses := map[string]string{}
	for _, m := range p.members.Members().List {
		addresses[m.ID] = m.Address
	}
	p.node.SetMembers(addresses)
}

// dispatchLoop dispatches jobs as soon as there are any that can start.
func (p *plane) dispatchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.jobs.Ready():
			_ = p.jobs.Dispatch(ctx) // the periodic task tries again and reports errors
		}
	}
}

// limitsLoop obtains units of limits as soon as a team lacks them, and dispatches the
// jobs that waited for them.
func (p *plane) limitsLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.limits.Wake():
			if err := p.limits.Urgent(ctx); err == nil {
				_ = p.jobs.Dispatch(ctx)
			}
		}
	}
}

// leave ends the session at a planned stop. It stores the state of this entry's
// shards, so that other entries can take them over as soon as the session has ended.
func (p *plane) leave(ctx context.Context) error {
	p.applier.Stop()
	p.view.SendGoodbye(ctx)
	err := p.drainPeers(ctx)
	err = errors.Join(err, p.jobs.Flush(ctx), p.jobs.Checkpoint(ctx))
	for _, r := range []*role.Role{p.poolRole, p.maintenanceRole, p.capacityRole} {
		if releaseErr := r.Release(ctx); !errors.Is(releaseErr, role.ErrNotHeld) {
			err = errors.Join(err, releaseErr)
		}
	}
	return errors.Join(err, p.members.Leave(ctx))
}

// drainPeers answers the open calls of other entries and rejects new ones, which
// their callers then send to the next owner. Calls that were cut when the links
// close would have an unknown outcome.
func (p *plane) drainPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerDrainTimeout)
	defer cancel()
	p.jobs.EndWaits()
	if err := p.node.Drain(ctx); err != nil {
		return fmt.Errorf("calls of other entries are still open: %w", err)
	}
	return nil
}

// peerDrainTimeout bounds the time to answer the open calls of other entries. It is
// longer than a submission takes while the table service answers slowly.
const peerDrainTimeout = 3 * time.Second

// closeLinksTimeout bounds the time to send the last answers to other entries.
const closeLinksTimeout = time.Second

// shutdownPeers sends the answers that are still queued and closes the links.
func (p *plane) shutdownPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLinksTimeout)
	defer cancel()
	if err := p.node.Shutdown(ctx); err != nil {
		p.entry.options.Log.Warn("peer_links_cut", zap.Error(err))
	}
}

func (p *plane) close() {
	p.node.Close()
	p.direct.Close()
}

// ServeHTTP serves callers and operators.
func (p *plane) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.api.ServeHTTP(w, r) }
