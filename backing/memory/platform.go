package memory

import (
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Options configures a Platform.
type Options struct {
	Clock      fleet.Clock   // nil means the system clock
	Runner     Runner        // nil means EchoRunner
	UsageLag   time.Duration // age of the usage in task statuses
	ListLag    time.Duration // age of the listings of the VM list
	RebootTime time.Duration // duration of a reboot; 0 means 2 minutes
}

const defaultRebootTime = 2 * time.Minute

// ServiceFaults holds a set of fault switches for each service: those of one node's
// paths to the services, or those of the services themselves.
type ServiceFaults struct {
	Table   *Faults
	Objects *Faults
	Workers *Faults
	VMs     *Faults
	VMList  *Faults
}

// Partition cuts the node off from every service, or reconnects it. It sets the
// down switch of each service, so calls fail at once.
func (s *ServiceFaults) Partition(cut bool) {
	for _, f := range s.faults() {
		f.SetDown(cut)
	}
}

// StoreDown sets the down switch of the table service and of the object store.
func (s *ServiceFaults) StoreDown(down bool) {
	s.Table.SetDown(down)
	s.Objects.SetDown(down)
}

func (s *ServiceFaults) faults() []*Faults {
	return []*Faults{s.Table, s.Objects, s.Workers, s.VMs, s.VMList}
}

// Platform provides the services as reached over one path.
type Platform struct {
	Table   *Table
	Objects *Objects
	Workers *Workers
	VMs     *VMs
	VMList  *VMList

	// PathFaults holds the switches of this path, SharedFaults those of the services,
	// which apply to all paths.
	PathFaults   *ServiceFaults
	SharedFaults *ServiceFaults

	data *inventory
}

// New returns a platform without VMs, rows and objects. Its own path is meant for
// the test itself; Node returns the paths of the nodes under test.
func New(o Options) *Platform {
	data := newInventory(o)
	shared := &ServiceFaults{&Faults{}, &Faults{}, &Faults{}, &Faults{}, &Faults{}}
	for _, f := range shared.faults() {
		f.Clock = data.clock
	}
	p := &Platform{
		Table:        NewTable(nil),
		Objects:      NewObjects(nil),
		Workers:      &Workers{data: data},
		VMs:          &VMs{data: data},
		VMList:       &VMList{data: data},
		SharedFaults: shared,
		data:         data,
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
		lastRanOn:   map[stepKey]*vm{},
		stepStarts:  map[stepKey]int{},
	}
}

// Node returns the same platform as reached by another node: over a new path, to
// whose calls first the path's own switches apply and then those of the services.
func (p *Platform) Node() *Platform {
	shared := p.SharedFaults
	return p.Via(&ServiceFaults{
		Table:   &Faults{Shared: shared.Table, Clock: shared.Table.Clock},
		Objects: &Faults{Shared: shared.Objects, Clock: shared.Table.Clock},
		Workers: &Faults{Shared: shared.Workers, Clock: shared.Table.Clock},
		VMs:     &Faults{Shared: shared.VMs, Clock: shared.Table.Clock},
		VMList:  &Faults{Shared: shared.VMList, Clock: shared.Table.Clock},
	})
}

// Via returns the same platform as reached over a path with the given switches. Those
// of the services apply only where Faults.Shared of the path refers to them.
func (p *Platform) Via(pathFaults *ServiceFaults) *Platform {
	return &Platform{
		Table:        p.Table.Via(pathFaults.Table),
		Objects:      p.Objects.Via(pathFaults.Objects),
		Workers:      p.Workers.Via(pathFaults.Workers),
		VMs:          p.VMs.Via(pathFaults.VMs),
		VMList:       p.VMList.Via(pathFaults.VMList),
		PathFaults:   pathFaults,
		SharedFaults: p.SharedFaults,
		data:         p.data,
	}
}

// AddVM adds a VM and replaces a VM of the same id. An empty State means live,
// Slots of 0 mean 8, and Connections of 0 mean 64.
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
	v := &vm{info: info, worker: worker{tasks: map[fleet.AttemptID]*task{}}}
	v.states.set(p.data.clock.Now(), state)
	p.data.vms[info.ID] = v
}

// SetVMState changes the state of a VM as if the platform had done so, and ends a
// reboot. The running tasks of a VM that becomes gone end as stopped. It returns
// ErrNotFound for a VM that does not exist.
func (p *Platform) SetVMState(id fleet.VMID, state fleet.VMState) error {
	return p.onVM(id, func(v *vm, now time.Time) {
		if state == fleet.VMGone {
			v.worker.stopAll(now, "the VM was lost")
			v.worker.leaseExpiresAt = time.Time{}
		}
		v.rebootEndsAt = time.Time{}
		v.states.set(now, state)
	})
}

// SetFailsAll makes every task that starts on the VM from now on fail at once, or
// stops doing so. It returns ErrNotFound for a VM that does not exist.
func (p *Platform) SetFailsAll(id fleet.VMID, fails bool) error {
	return p.onVM(id, func(v *vm, _ time.Time) { v.failsAll = fails })
}

// SetUnreachable cuts the worker of a VM off from all callers, or reconnects it.
// Its tasks continue until the dispatch lease expires. It returns ErrNotFound for a VM
// that does not exist.
func (p *Platform) SetUnreachable(id fleet.VMID, unreachable bool) error {
	return p.onVM(id, func(v *vm, _ time.Time) { v.unreachable = unreachable })
}

// SetNoReturn makes reboots of the VM never end, or lets them end again. A reboot
// whose time has passed by then ends at the next call. It returns ErrNotFound for a VM
// that does not exist.
func (p *Platform) SetNoReturn(id fleet.VMID, noReturn bool) error {
	return p.onVM(id, func(v *vm, _ time.Time) { v.noReturn = noReturn })
}

// onVM applies fn to a VM, also to one that is gone.
func (p *Platform) onVM(id fleet.VMID, fn func(*vm, time.Time)) error {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	now := p.data.advance()
	v, ok := p.data.vms[id]
	if !ok {
		return backing.ErrNotFound
	}
	fn(v, now)
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

// VMState returns the current state of a VM, without the lag of the VM list. ok
// is false for a VM that does not exist.
func (p *Platform) VMState(id fleet.VMID) (state fleet.VMState, ok bool) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	v, ok := p.data.vms[id]
	if !ok {
		return "", false
	}
	p.data.advanceVM(v, p.data.clock.Now())
	return v.states.last(), true
}

// VMReachable reports whether a VM answers: it exists and is neither gone, nor
// rebooting, nor cut off by SetUnreachable.
func (p *Platform) VMReachable(id fleet.VMID) bool {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	v, ok := p.data.vms[id]
	if !ok {
		return false
	}
	p.data.advanceVM(v, p.data.clock.Now())
	return v.reachable()
}

// SetRunner replaces the runner of tasks that start from now on.
func (p *Platform) SetRunner(r Runner) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	p.data.runner = r
}

// SetRebootTime sets the duration of reboots that begin from now on.
func (p *Platform) SetRebootTime(d time.Duration) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	p.data.rebootTime = d
}

// NextEvent returns the time of the next change that no call causes: the end of
// a task, of a dispatch lease with running tasks, or of a reboot. It returns false
// if there is none.
func (p *Platform) NextEvent() (time.Time, bool) {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	p.data.advance()
	return p.data.nextEvent()
}

// Starts returns the number of tasks that were ever started on a VM, so that tests
// can check that no task runs twice.
func (p *Platform) Starts(id fleet.VMID) int {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	if v, ok := p.data.vms[id]; ok {
		return v.worker.starts
	}
	return 0
}

// StepStarts holds the number of starts of a step of a job, on all workers together.
type StepStarts struct {
	Job    fleet.JobID `json:"job"`
	Step   int         `json:"step"`
	Starts int         `json:"starts"`
}

// StepStarts returns the number of starts of every step that was started, in no
// particular order.
func (p *Platform) StepStarts() []StepStarts {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	list := make([]StepStarts, 0, len(p.data.stepStarts))
	for key, n := range p.data.stepStarts {
		list = append(list, StepStarts{key.job, key.step, n})
	}
	return list
}

// RunningTasks returns the running tasks of each VM, for the checks of a test.
func (p *Platform) RunningTasks() map[fleet.VMID][]backing.Task {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	p.data.advance()
	running := map[fleet.VMID][]backing.Task{}
	for id, v := range p.data.vms {
		for _, t := range v.worker.running() {
			running[id] = append(running[id], t.spec)
		}
	}
	return running
}
