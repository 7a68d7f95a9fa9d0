package memory

import (
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Options sets up a Platform. Zero values give the defaults named below.
type Options struct {
	Clock      fleet.Clock   // the system clock
	Runner     Runner        // EchoRunner
	UsageLag   time.Duration // 0
	ListLag    time.Duration // 0
	RebootTime time.Duration // 2 minutes
}

const defaultRebootTime = 2 * time.Minute

// Path holds the fault switches of one node's paths to the services.
type Path struct {
	Table   *Faults
	Objects *Faults
	Workers *Faults
	VMs     *Faults
	VMList  *Faults
}

// Partition cuts the node off from every service, or heals the path. It sets
// the down switch of each.
func (p *Path) Partition(cut bool) {
	for _, f := range p.all() {
		f.SetDown(cut)
	}
}

// StoreDown sets the down switch of the table service and the object store.
func (p *Path) StoreDown(down bool) {
	p.Table.SetDown(down)
	p.Objects.SetDown(down)
}

func (p *Path) all() []*Faults {
	return []*Faults{p.Table, p.Objects, p.Workers, p.VMs, p.VMList}
}

// Platform bundles the services as reached over one path.
type Platform struct {
	Table   *Table
	Objects *Objects
	Workers *Workers
	VMs     *VMs
	VMList  *VMList

	// Path holds the switches of this path, Service those that all paths share.
	Path    *Path
	Service *Path

	data *inventory
}

// New returns an empty platform. Its own path is for the operators of a test.
func New(o Options) *Platform {
	data := newInventory(o)
	service := &Path{&Faults{}, &Faults{}, &Faults{}, &Faults{}, &Faults{}}
	for _, f := range service.all() {
		f.Clock = data.clock
	}
	p := &Platform{
		Table:   NewTable(nil),
		Objects: NewObjects(nil),
		Workers: &Workers{data: data},
		VMs:     &VMs{data: data},
		VMList:  &VMList{data: data},
		Service: service,
		data:    data,
	}
	return p.Node()
}

func newInventory(o Options) *inventory {
	if o.Clock == nil {
		o.Clock = fleet.SystemClock{}
	}
	if o.Runner == nil {
		o.Runner = EchoRunner
	}
	if o.RebootTime == 0 {
		o.RebootTime = defaultRebootTime
	}
	return &inventory{
		clock: o.Clock, runner: o.Runner,
		usageLag: o.UsageLag, listLag: o.ListLag, rebootTime: o.RebootTime,
		vms:         map[fleet.VMID]*vm{},
		entries:     map[string]*entryVM{},
		checkpoints: map[stepKey]time.Duration{},
		placed:      map[stepKey]*vm{},
		starts:      map[stepKey]int{},
	}
}

// Node returns the same platform as reached by another node, over a path with
// switches of its own behind which the service's switches apply.
func (p *Platform) Node() *Platform {
	s := p.Service
	return p.Via(&Path{
		Table:   &Faults{Service: s.Table, Clock: s.Table.Clock},
		Objects: &Faults{Service: s.Objects, Clock: s.Table.Clock},
		Workers: &Faults{Service: s.Workers, Clock: s.Table.Clock},
		VMs:     &Faults{Service: s.VMs, Clock: s.Table.Clock},
		VMList:  &Faults{Service: s.VMList, Clock: s.Table.Clock},
	})
}

// Via returns the same platform as reached over a path. The service's switches
// apply only if the path's switches refer to them.
func (p *Platform) Via(path *Path) *Platform {
	return &Platform{
		Table:   p.Table.Via(path.Table),
		Objects: p.Objects.Via(path.Objects),
		Workers: p.Workers.Via(path.Workers),
		VMs:     p.VMs.Via(path.VMs),
		VMList:  p.VMList.Via(path.VMList),
		Path:    path,
		Service: p.Service,
		data:    p.data,
	}
}

// AddVM adds a VM as live, or in its State if that is set, and replaces a VM of
// the same id. Slots of 0 mean 8, Connections of 0 mean 64.
func (p *Platform) AddVM(info fleet.VM) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	if info.Slots == 0 {
		info.Slots = defaultSlots
	}
	if info.Connections == 0 {
		info.Connections = defaultConnections
	}
	state := info.State
	if state == "" {
		state = fleet.VMLive
	}
	m := &vm{info: info, worker: worker{tasks: map[fleet.AttemptID]*task{}}}
	m.states.set(p.data.clock.Now(), state)
	p.data.vms[info.ID] = m
}

// SetVMState sets the state of a VM as the platform itself would. A VM that
// becomes gone loses its running tasks.
func (p *Platform) SetVMState(id fleet.VMID, state fleet.VMState) error {
	return p.onVM(id, func(m *vm, now time.Time) {
		if state == fleet.VMGone {
			m.worker.stopAll(now, "the VM was lost")
			m.worker.expires = time.Time{}
		}
		m.rebootEnds = time.Time{}
		m.states.set(now, state)
	})
}

// SetFailsAll makes every task that starts on the VM fail at once.
func (p *Platform) SetFailsAll(id fleet.VMID, fails bool) error {
	return p.onVM(id, func(m *vm, _ time.Time) { m.failsAll = fails })
}

// SetUnreachable cuts the worker of a VM off from all callers. Its tasks go on
// until the dispatch lease lapses.
func (p *Platform) SetUnreachable(id fleet.VMID, unreachable bool) error {
	return p.onVM(id, func(m *vm, _ time.Time) { m.unreached = unreachable })
}

// SetNoReturn makes reboots of the VM never end, or lets them end again.
func (p *Platform) SetNoReturn(id fleet.VMID, noReturn bool) error {
	return p.onVM(id, func(m *vm, _ time.Time) { m.noReturn = noReturn })
}

func (p *Platform) onVM(id fleet.VMID, fn func(*vm, time.Time)) error {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	now := p.data.advance()
	m, ok := p.data.vms[id]
	if !ok {
		return backing.ErrNotFound
	}
	fn(m, now)
	return nil
}

// SetEntry adds an entry VM to the VM list or changes its state. An empty State
// means live.
func (p *Platform) SetEntry(e backing.EntryVM) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	if e.State == "" {
		e.State = fleet.VMLive
	}
	known, ok := p.data.entries[e.ID]
	if !ok {
		known = &entryVM{}
		p.data.entries[e.ID] = known
	}
	known.info = e
	known.states.set(p.data.clock.Now(), e.State)
}

// VMState returns the present state of a VM, without the lag of the VM list. ok
// is false for a VM that does not exist.
func (p *Platform) VMState(id fleet.VMID) (state fleet.VMState, ok bool) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	m, ok := p.data.vms[id]
	if !ok {
		return "", false
	}
	p.data.advanceVM(m, p.data.clock.Now())
	return m.states.last(), true
}

// VMReachable reports whether a VM answers: it exists, runs and is not cut off.
func (p *Platform) VMReachable(id fleet.VMID) bool {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	m, ok := p.data.vms[id]
	if !ok {
		return false
	}
	p.data.advanceVM(m, p.data.clock.Now())
	return m.reachable()
}

// SetRunner replaces the runner for tasks that start from now on.
func (p *Platform) SetRunner(r Runner) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	p.data.runner = r
}

// SetRebootTime sets how long reboots take that begin from now on.
func (p *Platform) SetRebootTime(d time.Duration) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	p.data.rebootTime = d
}

// NextEvent returns the time of the next change that no call causes: the end of
// a task, of a dispatch lease with running tasks, or of a reboot.
func (p *Platform) NextEvent() (time.Time, bool) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	p.data.advance()
	return p.data.nextEvent()
}

// Starts returns how many tasks were ever started on a VM, for checks that no
// task runs twice.
func (p *Platform) Starts(id fleet.VMID) int {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	if m, ok := p.data.vms[id]; ok {
		return m.worker.starts
	}
	return 0
}

// StepStarts tells how often a step of a job was started on any worker.
type StepStarts struct {
	Job    fleet.JobID `json:"job"`
	Step   int         `json:"step"`
	Starts int         `json:"starts"`
}

// StepStarts returns the starts of every step that was started, in no order.
func (p *Platform) StepStarts() []StepStarts {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	list := make([]StepStarts, 0, len(p.data.starts))
	for key, n := range p.data.starts {
		list = append(list, StepStarts{key.job, key.step, n})
	}
	return list
}

// RunningTasks returns the running tasks of all VMs, for checks of a test.
func (p *Platform) RunningTasks() map[fleet.VMID][]backing.Task {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	p.data.advance()
	running := map[fleet.VMID][]backing.Task{}
	for id, m := range p.data.vms {
		for _, t := range m.worker.running() {
			running[id] = append(running[id], t.task)
		}
	}
	return running
}
