package upkeep

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/maintenance"
)

const (
	// listingMargin is added to the time at which a reboot was accepted, to
	// allow for the difference between the clocks of the entry and of the VM
	// list.
	listingMargin = 10 * time.Second
	// maxTaskLookups is the number of due VMs whose running tasks are looked up in
	// a round. If one VM in four is idle, about 64 of them can be taken out of
	// service, four times as many as one plan starts.
	maxTaskLookups = 256
	// callTimeout bounds a call to the platform that no transaction protects. It
	// is shorter than the margin between the end of the use of the lease (70% of
	// 6 s) and the time at which another entry may acquire the role.
	callTimeout = 1500 * time.Millisecond
)

// RunningTask is a task that runs on a VM, as its dispatcher knows it.
type RunningTask struct {
	ID            fleet.AttemptID
	End           time.Time // estimated
	Deadline      time.Time // zero means none
	CanCheckpoint bool
}

// Dispatch asks the owners of the VMs' dispatch about tasks.
type Dispatch interface {
	pools.Dispatch
	// Running returns the tasks that run on a VM, or an error if the owner
	// cannot be asked.
	Running(vm fleet.VMID) ([]RunningTask, error)
	// Checkpoint asks the worker to checkpoint a task and to stop it. It is
	// idempotent. Running omits the task once it has stopped.
	Checkpoint(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) error
}

// Options configures an Executor.
type Options struct {
	Table    backing.Table
	Ledger   *pools.Ledger
	Role     pools.Role
	View     control.View
	VMList   backing.VMList
	VMs      backing.VMs
	Dispatch Dispatch
	Clock    fleet.Clock
	// Duration is the usual length of one VM's maintenance, from which the
	// planner computes the rate of starts; 0 means 20 minutes.
	Duration time.Duration
}

// Executor carries out maintenance while its entry holds the role RoleName. It
// also accepts the requests of operators, on any entry.
type Executor struct {
	options Options
	mu      sync.Mutex
	// drained holds, by VM, the start (in Unix seconds) of the phase for which the
	// platform has accepted the drain. It prevents repeated requests.
	drained map[fleet.VMID]int64
}

// New returns an executor.
func New(o Options) *Executor {
	return &Executor{options: o, drained: map[fleet.VMID]int64{}}
}

// roundState holds the rows and the VM listing that one round has read.
type roundState struct {
	listing  backing.VMListing
	listed   map[fleet.VMID]fleet.VM
	assigned map[fleet.DataCentreName]map[fleet.VMID]pools.Assignment
	byPool   map[fleet.PoolName]pools.Budget
	byDC     map[fleet.DataCentreName]pools.Budget
	progress map[fleet.DataCentreName]progress
	wave     wave
	dcOf     map[fleet.VMID]fleet.DataCentreName
}

// Tick does one round: it reads the rows and the VM listing, plans, and
// executes the decisions. A round that starts VMs reads 250 KB at 2,300 VMs, so
// an interval of 30 s is suitable; the role itself must be ticked every second.
// Tick does nothing while another session holds the role. It returns the errors
// of all steps that failed; the next round repeats them.
func (x *Executor) Tick(ctx context.Context) error {
	if err := x.options.Role.Tick(ctx); err != nil {
		return err
	}
	if x.options.Role.Held() != nil {
		return nil
	}
	if err := x.options.View.Fresh(); err != nil {
		return err
	}
	s, err := x.read(ctx)
	if err != nil {
		return err
	}
	if err := x.register(ctx, s); err != nil {
		return err
	}
	if err := x.rollOver(ctx, s); err != nil {
		return err
	}
	now := x.options.Clock.Now()
	decisions, _ := maintenance.Plan(x.plannerInput(s, now), now)
	return errors.Join(x.drainVMs(ctx, s), x.carryOut(ctx, s, decisions))
}

// read reads the rows and the VM listing.
func (x *Executor) read(ctx context.Context) (*roundState, error) {
	s, err := x.readRows(ctx)
	if err != nil {
		return nil, err
	}
	if s.listing, err = x.options.VMList.List(ctx); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	s.listed = make(map[fleet.VMID]fleet.VM, len(s.listing.VMs))
	for _, vm := range s.listing.VMs {
		s.listed[vm.ID] = vm
	}
	return s, nil
}

func (x *Executor) readRows(ctx context.Context) (*roundState, error) {
	s := &roundState{progress: map[fleet.DataCentreName]progress{}, dcOf: map[fleet.VMID]fleet.DataCentreName{}}
	var err error
	if s.assigned, err = x.options.Ledger.Assignments(ctx); err != nil {
		return nil, err
	}
	for dc, vms := range s.assigned {
		for vm := range vms {
			s.dcOf[vm] = dc
		}
	}
	if s.byPool, s.byDC, err = x.options.Ledger.Budgets(ctx); err != nil {
		return nil, err
	}
	err = pools.ReadRows(ctx, x.options.Table, ProgressPrefix, func(name string, value []byte) error {
		p, err := decodeProgress(value)
		s.progress[fleet.DataCentreName(name)] = p
		return err
	})
	if err != nil {
		return nil, err
	}
	s.wave, err = x.readWave(ctx)
	return s, err
}

func (x *Executor) readWave(ctx context.Context) (wave, error) {
	var w wave
	row, err := x.options.Table.Get(ctx, WaveKey)
	if err != nil {
		return w, fmt.Errorf("read row %q: %w", WaveKey, err)
	}
	if row.Version == 0 {
		return w, nil
	}
	if err := cbor.Unmarshal(row.Value, &w); err != nil {
		return w, fmt.Errorf("decode row %q: %w", WaveKey, err)
	}
	return w, nil
}

// register creates the progress of new VMs, so that their maintenance period
// starts when they are first seen, and drops that of removed VMs.
func (x *Executor) register(ctx context.Context, s *roundState) error {
	var errs []error
	for dc, vms := range s.assigned {
		if sameVMs(vms, s.progress[dc].VMs) {
			continue
		}
		errs = append(errs, x.update(ctx, dc, func(c *pools.Change) error { return registerAll(c, s, dc) }))
	}
	return errors.Join(errs...)
}

// sameVMs reports whether the progress contains exactly the assigned VMs.
func sameVMs(vms map[fleet.VMID]pools.Assignment, tracked map[fleet.VMID]vmProgress) bool {
	if len(vms) != len(tracked) {
		return false
	}
	for vm := range vms {
		if _, ok := tracked[vm]; !ok {
			return false
		}
	}
	return true
}

// registerAll is register for one data centre.
func registerAll(c *pools.Change, s *roundState, dc fleet.DataCentreName) error {
	vms, err := c.VMs()
	if err != nil {
		return err
	}
	p, err := loadProgress(c)
	if err != nil {
		return err
	}
	for vm := range p.VMs {
		if _, ok := vms[vm]; !ok {
			delete(p.VMs, vm)
		}
	}
	for vm := range vms {
		if _, ok := p.VMs[vm]; !ok {
			p.VMs[vm] = vmProgress{LastDoneUnix: c.Now().Unix()}
		}
	}
	c.Store(progressKey(c))
	s.progress[dc] = *p
	return nil
}

// rollOver begins a new wave when the present one has lasted waveDuration. A
// stopped wave does not end, and a pause stays in force in the new wave.
func (x *Executor) rollOver(ctx context.Context, s *roundState) error {
	if x.options.Clock.Now().Sub(unixTime(s.wave.StartedUnix)) < waveDuration {
		return nil
	}
	return x.update(ctx, "", func(c *pools.Change) error {
		w, err := pools.Load[wave](c, WaveKey)
		if err != nil {
			return err
		}
		s.wave = *w
		if c.Now().Sub(unixTime(w.StartedUnix)) < waveDuration || w.Stopped != "" {
			return nil
		}
		*w = wave{Number: w.Number + 1, StartedUnix: c.Now().Unix(), Paused: w.Paused, PausedBy: w.PausedBy}
		c.Store(WaveKey)
		s.wave = *w
		return nil
	})
}

// plannerInput returns the input of the planner.
func (x *Executor) plannerInput(s *roundState, now time.Time) maintenance.Snapshot {
	snapshot := x.options.View.Snapshot()
	input := maintenance.Snapshot{
		Pools:          map[fleet.PoolName]maintenance.Pool{},
		DataCentresOut: map[fleet.DataCentreName]bool{},
		Paused:         s.wave.Paused,
		Stopped:        s.wave.Stopped,
		Failures:       len(s.wave.Failed),
		Duration:       x.options.Duration,
	}
	if snapshot != nil {
		input.Plan = snapshot.Maintenance
		for name, pool := range snapshot.Pools {
			input.Pools[name] = maintenance.Pool{MaxUnavailable: pool.MaxUnavailable, LostRecords: s.byPool[name].Lost()}
		}
		for name, dc := range snapshot.DataCentres {
			input.DataCentresOut[name] = dc.State == fleet.DataCentreOut
		}
	}
	input.VMs = s.plannerVMs()
	x.addTasks(&input, now)
	return input
}

// plannerVMs returns the assigned VMs as the planner needs them, without their
// tasks, ordered by id.
func (s *roundState) plannerVMs() []maintenance.VM {
	var out []maintenance.VM
	for dc, vms := range s.assigned {
		for id, a := range vms {
			e := s.progress[dc].VMs[id]
			listed, present := s.listed[id]
			record, recorded := s.byDC[dc].VMs[id]
			out = append(out, maintenance.VM{
				ID: id, DataCentre: dc, Rack: a.Rack, Pool: a.Pool,
				LastMaintained: unixTime(e.LastDoneUnix), Phase: e.Phase, PhaseSince: unixTime(e.SinceUnix),
				RebootAcceptedAt: unixTime(e.RebootedUnix), NotBefore: unixTime(e.NotBeforeUnix),
				Active:          a.State == pools.StateActive,
				HasBudgetRecord: recorded,
				RecordedFailed:  recorded && record.Cause == pools.CauseFailed,
				Live:            present && listed.State == fleet.VMLive,
				ListedAt:        s.listing.AsOf,
			})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// addTasks looks up the running tasks of VMs that are draining and of those
// whose maintenance may start next.
func (x *Executor) addTasks(input *maintenance.Snapshot, now time.Time) {
	lookUp := map[fleet.VMID]bool{}
	for _, id := range maintenance.Candidates(*input, now, maxTaskLookups) {
		lookUp[id] = true
	}
	for i := range input.VMs {
		v := &input.VMs[i]
		draining := v.Phase == maintenance.PhaseDraining
		if !draining && !lookUp[v.ID] {
			continue
		}
		tasks, err := x.options.Dispatch.Running(v.ID)
		if err != nil {
			continue // the planner starts no maintenance of a VM whose tasks are not known
		}
		v.TasksKnown = true
		for _, t := range tasks {
			v.Tasks = append(v.Tasks, maintenance.Task{ID: t.ID, End: t.End, Deadline: t.Deadline, CanCheckpoint: t.CanCheckpoint})
		}
		if draining {
			idle, err := x.options.Dispatch.Idle(v.ID)
			v.Idle = idle && err == nil
		}
	}
}

// update runs fn in a transaction that requires the role to be held.
func (x *Executor) update(ctx context.Context, dc fleet.DataCentreName, fn func(*pools.Change) error) error {
	return x.options.Ledger.Update(ctx, dc, x.options.Role.Conditions, fn)
}

func progressKey(c *pools.Change) string { return ProgressPrefix + string(c.DataCentre()) }

// loadProgress loads the progress row of the data centre with a map that is not
// nil.
func loadProgress(c *pools.Change) (*progress, error) {
	p, err := pools.Load[progress](c, progressKey(c))
	if err != nil {
		return nil, err
	}
	if p.VMs == nil {
		p.VMs = map[fleet.VMID]vmProgress{}
	}
	return p, nil
}
