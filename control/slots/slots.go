// Package slots gives out the slots of VMs. Each VM has one owner among the
// entries, which holds the VM's dispatch lease and keeps its slots and
// reservations in memory. The package is both the owner's side and the
// Dispatcher through which job owners reach the owners of all VMs.
//
// # Ownership
//
// The owner of a VM is chosen by rendezvous hashing among the members of the
// VM's data centre. A data centre without members is served by the members of
// one other data centre, chosen by rendezvous hashing among the data centres
// that have members. Both depend on the member list only, so that all entries
// with the same list agree.
//
// # Epochs
//
// An epoch is the version of the member list shifted by epochBits, plus a
// counter. A change of owner follows a change of the list, so a later owner has
// a higher epoch. The counter rises whenever the owner has to prove that an
// earlier start of its own cannot take effect any more: the worker refuses the
// lower epoch from then on.
package slots

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
	"amaranthfork.example/policy/quarantine"
)

// Times of the protocol.
const (
	// LeaseTTL is the life of a dispatch lease on the worker.
	LeaseTTL = 15 * time.Second
	// RenewEvery is the interval of renewals.
	RenewEvery = 5 * time.Second
	// leaseUse is the part of the TTL, counted from before the call, after which
	// the lease is not used; the rest is for pauses and clock drift.
	leaseUse = LeaseTTL * 7 / 10
	// lostAfter is the time after the last renewal that may have taken effect
	// at which the worker has stopped all tasks.
	lostAfter = LeaseTTL + 5*time.Second
	// ReservationTTL is the life of a reservation that is not started.
	ReservationTTL = 3 * time.Second
	// listUse is the age of the VM list, from before the request, after which
	// nothing starts. With callTimeout it stays below the 4 s after which a
	// leaving VM must not get work.
	listUse = 2500 * time.Millisecond
	// callTimeout bounds each call of a worker and each message to a peer.
	callTimeout = time.Second
	// tombstoneTTL is the time for which an attempt that was proved not started,
	// or whose end was acknowledged, is remembered. A request of a job owner
	// lives for seconds.
	tombstoneTTL = 2 * time.Minute
	// epochBits is the width of the counter below the member list's version.
	epochBits = 20
)

// Assignment is the pool of a VM.
type Assignment struct {
	Pool  fleet.PoolName
	State placement.State
	// MaintenanceAt is the start of the next planned maintenance, zero if none.
	MaintenanceAt time.Time
}

// Pools tells which pool each VM is in.
type Pools interface {
	// Assignment returns the pool of a VM. ok is false if the VM is in no pool
	// or if it is not certain that the assignment is still current; no task
	// starts on the VM then.
	Assignment(vm fleet.VMID) (a Assignment, ok bool)
}

// EventKind names what happened to a VM or task.
type EventKind string

const (
	EventAcquired    EventKind = "lease_acquired"
	EventFenced      EventKind = "lease_lost"
	EventLost        EventKind = "worker_lost"
	EventUnknown     EventKind = "start_unknown"
	EventThrottled   EventKind = "task_throttled"
	EventCheckpoint  EventKind = "task_checkpoint"
	EventQuarantined EventKind = "worker_quarantined"
	EventProbation   EventKind = "worker_probation"
	EventHealthy     EventKind = "worker_healthy"
	EventFull        EventKind = "worker_refused"
)

// Event is for operators.
type Event struct {
	Kind    EventKind
	VM      fleet.VMID
	Attempt fleet.AttemptID
	Detail  string
}

// Options are the parts and settings of a Slots.
type Options struct {
	View       control.View
	Membership control.Membership
	Workers    backing.Workers
	List       backing.VMList
	Pools      Pools
	Caller     rpc.Caller
	Clock      fleet.Clock
	// OnTaskEnd passes an end to the owner of its job. It is called again until
	// it returns nil, which means that the end is durable there.
	OnTaskEnd func(ctx context.Context, end control.TaskEnd) error
	// OnEvent may be nil. It must not call the Slots.
	OnEvent    func(Event)
	Placement  placement.Settings
	Quarantine quarantine.Settings
	// Parallel bounds the calls that one tick makes at a time; 0 means 16.
	Parallel int
}

// Slots implements control.Dispatcher. All methods are safe for concurrent use.
type Slots struct {
	o      Options
	self   string
	placer *placement.Placer

	mu         sync.Mutex
	shards     *shardMap
	vms        map[fleet.VMID]*ownedVM // VMs that this entry owns
	known      map[fleet.VMID]knownVM  // all VMs of the listing, and those gone lately
	missing    map[fleet.VMID]time.Time
	listedAt   time.Time // start of the last successful listing
	totals     map[totalKey]total
	floors     map[fleet.VMID]uint64 // lowest epoch for the next acquisition
	ends       map[fleet.AttemptID]*pendingEnd
	tombstones map[fleet.AttemptID]tombstone
	health     *quarantine.Tracker
	digests    digests
	seq        uint64 // orders starts and task lists
	stats      Stats
	events     []Event // raised under mu, delivered after it is released
}

var _ control.Dispatcher = (*Slots)(nil)

// Stats counts what the entry did since its start.
type Stats struct {
	Owned          int    // VMs
	Leased         int    // owned VMs with a usable lease
	Running        int    // tasks on owned VMs
	Reserved       int    // reservations and starts that are not settled
	Started        uint64 // tasks
	UnknownStarts  uint64
	LostTasks      uint64
	WorkerCalls    uint64
	DigestMessages uint64
	DigestBytes    uint64 // sent, with method name and frame header
}

// New returns a Slots that owns nothing until the first TickList and
// TickLeases, and registers its methods with router.
func New(o Options, router *rpc.Router) *Slots {
	if o.Parallel <= 0 {
		o.Parallel = 16
	}
	if o.Quarantine.MaxJobs == 0 {
		o.Quarantine = quarantine.DefaultSettings()
	}
	s := &Slots{
		o:          o,
		self:       o.Membership.Self().ID,
		placer:     placement.New(o.Placement),
		vms:        map[fleet.VMID]*ownedVM{},
		known:      map[fleet.VMID]knownVM{},
		missing:    map[fleet.VMID]time.Time{},
		floors:     map[fleet.VMID]uint64{},
		ends:       map[fleet.AttemptID]*pendingEnd{},
		tombstones: map[fleet.AttemptID]tombstone{},
		health:     quarantine.New(o.Quarantine),
		digests:    newDigests(),
	}
	s.register(router)
	return s
}

// Stats returns the present counts.
func (s *Slots) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	now := s.o.Clock.Now()
	for _, v := range s.vms {
		stats.Owned++
		if v.leased(now) {
			stats.Leased++
		}
		for _, sl := range v.slots {
			if sl.phase == running {
				stats.Running++
			} else {
				stats.Reserved++
			}
		}
	}
	return stats
}

// VMStatus is what the owner knows of a VM, for the pool controller.
type VMStatus struct {
	VM       fleet.VMID `cbor:"1,keyasint"`
	Leased   bool       `cbor:"2,keyasint"`
	Running  int        `cbor:"3,keyasint"`
	Reserved int        `cbor:"4,keyasint"` // reservations and starts that are not settled
}

// Status returns the state of a VM that this entry owns.
func (s *Slots) Status(vm fleet.VMID) (VMStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.vms[vm]
	if !ok {
		return VMStatus{}, false
	}
	status := VMStatus{VM: vm, Leased: v.leased(s.o.Clock.Now()) && v.ready}
	for _, sl := range v.slots {
		if sl.phase == running {
			status.Running++
		} else {
			status.Reserved++
		}
	}
	return status, true
}

// event queues an event; s.mu is held.
func (s *Slots) event(kind EventKind, vm fleet.VMID, attempt fleet.AttemptID, format string, args ...any) {
	if s.o.OnEvent != nil {
		s.events = append(s.events, Event{Kind: kind, VM: vm, Attempt: attempt, Detail: fmt.Sprintf(format, args...)})
	}
}

// unlock releases s.mu and then delivers the queued events.
func (s *Slots) unlock() {
	events := s.events
	s.events = nil
	s.mu.Unlock()
	for _, event := range events {
		s.o.OnEvent(event)
	}
}

// each calls fn for all items, at most Parallel at a time, and returns when all
// calls have returned.
func each[T any](parallel int, items []T, fn func(T)) {
	if parallel <= 1 || len(items) <= 1 {
		for _, item := range items {
			fn(item)
		}
		return
	}
	var group sync.WaitGroup
	limit := make(chan struct{}, parallel)
	for _, item := range items {
		limit <- struct{}{}
		group.Go(func() {
			fn(item)
			<-limit
		})
	}
	group.Wait()
}
