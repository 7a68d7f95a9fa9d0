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

// plane is the control plane of one session. A session that was fenced is over
// for good, so the entry then builds a new plane with a new session id.
type plane struct {
	entry *Entry
	id    string

	router   *rpc.Router
	node     *peer.Node
	members  *member.Registry
	view     *view.View
	applier  *apply.Coordinator
	poolMap  *poolMap
	ledger   *pools.Ledger
	slots    *slots.Slots
	limits   *limits.Limits
	shards   *shards.Manager
	journal  *journal.Journal
	jobs     *jobs.Manager
	poolRole *role.Role
	pools    *pools.Controller
	upRole   *role.Role
	upkeep   *upkeep.Executor
	capRole  *role.Role
	balance  *balance.Controller
	load     *load.Collector
	estimate *estimates
	direct   *direct.Forwarder
	asked    map[fleet.AttemptID]time.Time // checkpoints that shedExcess asked for
	api      *api.Server
}

// newPlane builds all parts; none of them acts before the session has begun.
func newPlane(e *Entry) (*plane, error) {
	p := &plane{entry: e, id: uuid.NewString(), router: rpc.NewRouter(), estimate: newEstimates(), asked: map[fleet.AttemptID]time.Time{}}
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
		OperatorToken: e.o.Settings.OperatorToken,
		Clock:         e.o.Clock,
		Metrics:       e.metrics,
		Log:           e.o.Log,
	})
	return p, nil
}

func (p *plane) buildMembership() error {
	e, o := p.entry, p.entry.o
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

// isLivenessMethod tells the calls that must not wait behind ordinary work.
func isLivenessMethod(method string) bool {
	return !strings.HasPrefix(method, "jobs.") && !strings.HasPrefix(method, "slots.")
}

func (p *plane) buildDispatch() {
	o := p.entry.o
	p.poolMap = newPoolMap(p.entry.table, o.Clock, p.members, p.view)
	p.shards = shards.New(shards.Options{Table: p.entry.table, Membership: p.members, Count: o.Settings.Shards})
	p.limits = limits.New(limits.Options{
		View: p.view, Membership: p.members, Table: p.entry.table, Caller: p.node, Clock: o.Clock,
		Recovered: newRecovered(o.Clock, p.shards.References).of, FloorPart: limitFloorPart,
	}, p.router)
	p.slots = slots.New(slots.Options{
		View: p.view, Membership: p.members, Workers: o.Platform.Workers, List: p.entry.vmList,
		Pools: p.poolMap, Caller: p.node, Clock: o.Clock,
		OnTaskEnd: func(ctx context.Context, end control.TaskEnd) error { return p.jobs.TaskEnded(ctx, end) },
		OnEvent:   p.onSlotEvent,
	}, p.router)
}

// limitFloorPart keeps a quarter of each limit spread over the entries while a
// team is idle. At today's limits of 80 to 200 and 9 entries each entry keeps 2
// to 5 units; at 100 entries and limits of 120 it keeps none, which saves 98
// rows for each entry.
const limitFloorPart = 4

func (p *plane) onSlotEvent(ev slots.Event) {
	p.entry.metrics.Add("vm_"+string(ev.Kind), 1)
	p.entry.o.Log.Info(string(ev.Kind), zap.String("worker", string(ev.VM)),
		zap.String("attempt", string(ev.Attempt)), zap.String("detail", ev.Detail))
}

func (p *plane) buildJobs() {
	o := p.entry.o
	p.journal = journal.New(journal.Options{
		Table: p.entry.table, Objects: o.Platform.Objects, Membership: p.members, Clock: o.Clock,
	})
	p.jobs = jobs.New(jobs.Options{
		Clock: o.Clock, Membership: p.members, View: p.view, Limits: teamLimits{p.limits},
		Dispatcher: p.slots, Journal: p.journal, Shards: p.shards, Caller: p.node,
		Estimate: p.estimate.of,
		OnStart:  p.onStart,
		OnTask:   p.onTask,
		OnEnd:    p.onEnd,
	})
	p.shards.SetHandoff(p.jobs)
	p.jobs.Register(p.router)
}

func (p *plane) buildControllers() {
	o := p.entry.o
	p.ledger = pools.NewLedger(pools.LedgerOptions{Table: p.entry.table, View: p.view, Clock: o.Clock})
	dispatch := &vmDispatch{slots: p.slots}
	p.poolRole = role.New(role.Options{Name: pools.Name, Table: p.entry.table, Membership: p.members})
	p.pools = pools.NewController(pools.Options{
		Ledger: p.ledger, Role: p.poolRole, View: p.view, VMList: p.entry.vmList, VMs: o.Platform.VMs,
		Dispatch: dispatch, Clock: o.Clock,
	})
	p.upRole = role.New(role.Options{Name: upkeep.Name, Table: p.entry.table, Membership: p.members})
	p.upkeep = upkeep.New(upkeep.Options{
		Table: p.entry.table, Ledger: p.ledger, Role: p.upRole, View: p.view, VMList: p.entry.vmList,
		VMs: o.Platform.VMs, Dispatch: dispatch, Clock: o.Clock,
	})
}

func (p *plane) buildBalance() {
	o := p.entry.o
	p.load = load.New(load.Options{
		Membership: p.members, Caller: p.node, Clock: o.Clock, Local: p.report,
	}, p.router)
	p.capRole = role.New(role.Options{Name: balance.Name, Table: p.entry.table, Membership: p.members})
	p.balance = balance.New(balance.Options{
		Table: p.entry.table, VMList: p.entry.vmList, Ledger: p.ledger, Role: p.capRole,
		View: p.view, Load: p.load, Clock: o.Clock, OnMove: p.onMove,
	})
}

// report tells the other entries what this one knows of work and delays.
func (p *plane) report() load.Report {
	report := load.Report{Work: p.jobs.Load(), VMs: p.slots.Loads()}
	for _, q := range p.entry.metrics.Summaries() {
		if q.Kind == metrics.StartDelay && q.RecentCount > 0 {
			report.Delays = append(report.Delays, load.Delay{
				Team: q.Team, Class: q.Class, P99: time.Duration(q.RecentP99) * time.Millisecond, Samples: int(q.RecentCount),
			})
		}
	}
	return report
}

func (p *plane) onMove(m capacity.Move) {
	p.entry.metrics.Add("moves_"+string(m.Reason), 1)
	p.entry.o.Log.Info("move_begun", zap.String("worker", string(m.VM)), zap.String("from", string(m.From)),
		zap.String("to", string(m.To)), zap.String("reason", m.Explains))
}

func (p *plane) onStart(job *fleet.Job, delay time.Duration) {
	p.entry.metrics.Observe(metrics.StartDelay, job.Team, job.Class, delay)
}

func (p *plane) onTask(job *fleet.Job, end control.TaskEnd, ran time.Duration) {
	p.entry.metrics.Observe(metrics.RunTime, job.Team, job.Class, ran)
	p.estimate.observe(job, end.Usage, ran)
}

func (p *plane) onEnd(job *fleet.Job, result fleet.Result) {
	p.entry.metrics.Add("jobs_"+string(result.Outcome), 1)
	if result.Outcome != fleet.OutcomeCompleted {
		p.entry.o.Log.Info("job_ended", zap.String("job", string(job.ID)), zap.String("team", string(job.Team)),
			zap.String("outcome", string(result.Outcome)), zap.String("reason", string(result.Reason)), zap.String("detail", result.Detail))
	}
}

// errSessionOver ends the loops of a plane whose session was fenced.
var errSessionOver = errors.New("session fenced by another entry")

// run joins the fleet and acts until ctx ends or the session is fenced.
func (p *plane) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := p.join(ctx); err != nil {
		return err
	}
	l := &loops{log: p.entry.o.Log, metrics: p.entry.metrics}
	l.start(ctx, p.tasks(cancel)...)
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
	p.entry.o.Log.Info("session_started", zap.String("member", p.id))
	return nil
}

// tasks lists the periodic work of all parts.
func (p *plane) tasks(cancel context.CancelCauseFunc) []task {
	second := time.Second
	void := func(fn func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error { fn(ctx); return nil }
	}
	return []task{
		{name: "membership", every: member.TickEvery, run: func(ctx context.Context) error { return p.tickMembers(ctx, cancel) }},
		{name: "view", every: view.TickEvery, run: p.view.Tick},
		{name: "shards", every: 500 * time.Millisecond, run: p.shards.Tick},
		{name: "sweep", every: time.Minute, timeout: time.Minute, run: p.sweep},
		{name: "journal", every: second, run: void(p.journal.Tick)},
		{name: "jobs", every: 20 * time.Millisecond, run: p.jobs.Tick},
		{name: "jobs_maintain", every: 250 * time.Millisecond, run: p.jobs.Maintain},
		{name: "vm_list", every: second, run: p.slots.TickList},
		{name: "vm_leases", every: second, run: void(p.slots.TickLeases)},
		{name: "tasks", every: 50 * time.Millisecond, run: void(p.slots.TickTasks)},
		{name: "task_ends", every: 50 * time.Millisecond, run: void(p.slots.TickEnds)},
		{name: "digests", every: second, run: void(p.slots.TickDigests)},
		{name: "limits", every: second, run: p.limits.Tick},
		{name: "excess", every: second, run: p.shedExcess},
		{name: "endpoints", every: second, run: p.updateEndpoints},
		{name: "pool_map", every: poolMapTick, run: p.poolMap.Tick},
		{name: "pools", every: second, run: p.pools.Tick},
		{name: "maintenance", every: 5 * second, run: p.upkeep.Tick},
		{name: "pools_role", every: second, run: p.poolRole.Tick},
		{name: "capacity", every: 2 * second, run: p.balance.Tick},
		{name: "capacity_role", every: second, run: p.capRole.Tick},
		{name: "maintenance_role", every: second, run: p.upRole.Tick},
	}
}

// sweep deletes journals that nobody needs any more; one entry does it for all.
func (p *plane) sweep(ctx context.Context) error {
	if p.poolRole.Held() != nil {
		return nil
	}
	o := p.entry.o.Platform
	sweeper := journal.Sweeper{Table: p.entry.table, Objects: o.Objects, Referenced: p.shards.Referenced, TxnID: uuid.NewString}
	_, err := sweeper.Sweep(ctx)
	return err
}

func (p *plane) tickMembers(ctx context.Context, cancel context.CancelCauseFunc) error {
	err := p.members.Tick(ctx)
	if errors.Is(err, member.ErrFenced) {
		cancel(errSessionOver)
		return err
	}
	p.linkPeers()
	return err
}

// linkPeers keeps links to the members of the present list.
func (p *plane) linkPeers() {
	addresses := map[string]string{}
	for _, m := range p.members.Members().List {
		addresses[m.ID] = m.Address
	}
	p.node.SetMembers(addresses)
}

func (p *plane) dispatchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.jobs.Ready():
			_ = p.jobs.Dispatch(ctx) // its errors are reported by the periodic task
		}
	}
}

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

// leave ends the session of a planned stop: the state of the own shards is
// stored, and the others take it over as soon as the session is gone.
func (p *plane) leave(ctx context.Context) error {
	p.applier.Stop()
	p.view.SayGoodbye(ctx)
	err := errors.Join(p.jobs.Flush(ctx), p.jobs.Checkpoint(ctx))
	for _, r := range []*role.Role{p.poolRole, p.upRole, p.capRole} {
		if releaseErr := r.Release(ctx); !errors.Is(releaseErr, role.ErrNotHeld) {
			err = errors.Join(err, releaseErr)
		}
	}
	return errors.Join(err, p.members.Leave(ctx))
}

func (p *plane) close() {
	p.node.Close()
	p.direct.Close()
}

// ServeHTTP serves callers and operators.
func (p *plane) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.api.ServeHTTP(w, r) }
