// Package slots assigns the task slots of VMs. Each VM has one owner among the
// entries, which holds the VM's dispatch lease and keeps its slots and
// reservations in memory. The package implements both the owner of VMs and the
// control.Dispatcher through which job owners reach the owners of all VMs.
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
// An epoch is the version of the member list, shifted left by epochCounterBits,
// plus a counter. The owner changes only when the list changes, so a later owner
// has a higher epoch. The owner increments the counter when it must be certain
// that one of its earlier starts can no longer take effect: the worker rejects
// lower epochs from then on.
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

const (
	// LeaseTTL is the time to live of a dispatch lease on the worker.
	LeaseTTL = 15 * time.Second
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = 5 * time.Second
	// leaseUsableFor is how long a lease is used, counted from before the
	// Acquire call. The rest of the TTL is a margin for process pauses and clock
	// drift.
	leaseUsableFor = LeaseTTL * 7 / 10
	// leaseBound is the time after the last renewal that may have taken effect
	// by which the lease has expired and the worker has stopped all tasks.
	leaseBound = LeaseTTL + 5*time.Second
	// ReservationTTL is the time after which a reservation that was not started
	// expires.
	ReservationTTL = 3 * time.Second
	// listMaxAge is the age of the VM list, counted from before the request,
	// above which no task starts. Together with callTimeout it stays below the
	// 4 s after which a leaving VM must not get work.
	listMaxAge = 2500 * time.Millisecond
	// callTimeout bounds each call of a worker and each message to a peer.
	callTimeout = time.Second
	// tombstoneTTL is how long an attempt is remembered that certainly did not
	// start, or whose end was acknowledged. It is far longer than a request of a
	// job owner, which lasts seconds.
	tombstoneTTL = 2 * time.Minute
	// epochCounterBits is the width of the counter below the member list's
	// version in an epoch.
	epochCounterBits = 20
)

// Assignment says which pool a VM belongs to and in what state.
type Assignment struct {
	Pool  fleet.PoolName
	State placement.State
	// MaintenanceAt is the start of the next planned maintenance, zero if none.
	MaintenanceAt time.Time
}

// Pools looks up the pool of each VM.
type Pools interface {
	// Assignment returns the pool assignment of a VM. ok is false if the VM is
	// in no pool or if the assignment may be out of date; no task starts on the
	// VM then.
	Assignment(vm fleet.VMID) (a Assignment, ok bool)
}

// EventKind classifies an Event.
type EventKind string

const (
	EventLeaseAcquired     EventKind = "lease_acquired"     // under a new epoch
	EventLeaseLost         EventKind = "lease_lost"         // another entry holds the lease
	EventWorkerLost        EventKind = "worker_lost"        // the lease has expired; running tasks are reported as lost
	EventStartUnconfirmed  EventKind = "start_unknown"      // a start has no answer
	EventTaskThrottled     EventKind = "task_throttled"     // to relieve an overloaded VM
	EventTaskCheckpoint    EventKind = "task_checkpoint"    // to relieve an overloaded VM
	EventWorkerQuarantined EventKind = "worker_quarantined" // gets no tasks
	EventWorkerProbation   EventKind = "worker_probation"   // gets one task at a time
	EventWorkerHealthy     EventKind = "worker_healthy"
	EventWorkerRefused     EventKind = "worker_refused" // refused a start
)

// Event reports something that happened to a VM or a task, for logs and metrics.
type Event struct {
	Kind    EventKind
	VM      fleet.VMID
	Attempt fleet.AttemptID
	Detail  string
}

// Options are the dependencies and settings of a Slots.
type Options struct {
	View       control.View
	Membership control.Membership
	Workers    backing.Workers
	VMList     backing.VMList
	Pools      Pools
	Caller     rpc.Caller
	Clock      fleet.Clock
	// OnTaskEnd reports the end of a task to the owner of its job. It is called
	// again until it returns nil, which means that the owner has made the end
	// durable.
	OnTaskEnd func(ctx context.Context, end control.TaskEnd) error
	// OnEvent receives events and may be nil. It must not call the Slots.
	OnEvent    func(Event)
	Placement  placement.Settings
	Quarantine quarantine.Settings
	// MaxParallelCalls is the maximum number of concurrent calls of one tick; 0 means 16.
	MaxParallelCalls int
}

// Slots implements control.Dispatcher. All methods are safe for concurrent use.
type Slots struct {
	options Options
	self    string
	placer  *placement.Placer

	mu            sync.Mutex
	owners        *ownerMap                // cached, see currentOwners
	vms           map[fleet.VMID]*ownedVM  // VMs that this entry owns
	knownVMs      map[fleet.VMID]knownVM   // all VMs of the VM list, and those that are gone for less than goneVMRetention
	unlistedSince map[fleet.VMID]time.Time // first lookup of a VM that is not known
	listedAt      time.Time                // start of the last successful request of the VM list
	totals        map[totalKey]total
	epochFloors   map[fleet.VMID]uint64 // lowest epoch for the next new lease
	ends          map[fleet.AttemptID]*pendingEnd
	tombstones    map[fleet.AttemptID]tombstone
	health        *quarantine.Tracker
	digests       digests
	seq           uint64 // last sequence number, which orders outcomes of starts and requests of task lists
	stats         Stats
	queuedEvents  []Event // queued while mu is held, delivered after its release
}

var _ control.Dispatcher = (*Slots)(nil)

// Stats describes the VMs that the entry owns now (the int fields) and counts
// what it did since its start (the uint64 fields).
type Stats struct {
	Owned          int    // VMs
	Leased         int    // owned VMs with a usable lease
	Running        int    // tasks on owned VMs
	Reserved       int    // reservations, and starts without a confirmed outcome
	Started        uint64 // tasks
	UnknownStarts  uint64 // starts that were unconfirmed when their call returned
	LostTasks      uint64
	WorkerCalls    uint64
	DigestMessages uint64 // sent
	DigestBytes    uint64 // sent, with method names and frame overhead
}

// New returns a Slots that owns nothing until the first TickList and
// TickLeases, and registers its methods with router.
func New(o Options, router *rpc.Router) *Slots {
	if o.MaxParallelCalls <= 0 {
		o.MaxParallelCalls = 16
	}
	if o.Quarantine.MaxJobs == 0 {
		o.Quarantine = quarantine.DefaultSettings()
	}
	s := &Slots{
		options:       o,
		self:          o.Membership.Self().ID,
		placer:        placement.New(o.Placement),
		vms:           map[fleet.VMID]*ownedVM{},
		knownVMs:      map[fleet.VMID]knownVM{},
		unlistedSince: map[fleet.VMID]time.Time{},
		epochFloors:   map[fleet.VMID]uint64{},
		ends:          map[fleet.AttemptID]*pendingEnd{},
		tombstones:    map[fleet.AttemptID]tombstone{},
		health:        quarantine.New(o.Quarantine),
		digests:       newDigests(),
	}
	s.register(router)
	return s
}

// Stats returns the current counts.
func (s *Slots) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	now := s.options.Clock.Now()
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

// VMStatus is the state of a VM as its owner reports it to the pool controller.
type VMStatus struct {
	VM       fleet.VMID `cbor:"1,keyasint"`
	Leased   bool       `cbor:"2,keyasint"`
	Running  int        `cbor:"3,keyasint"`
	Reserved int        `cbor:"4,keyasint"` // reservations, and starts without a confirmed outcome
}

// Status returns the state of a VM, and false if this entry does not own it.
func (s *Slots) Status(vm fleet.VMID) (VMStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.vms[vm]
	if !ok {
		return VMStatus{}, false
	}
	status := VMStatus{VM: vm, Leased: v.leased(s.options.Clock.Now()) && v.listRead}
	for _, sl := range v.slots {
		if sl.phase == running {
			status.Running++
		} else {
			status.Reserved++
		}
	}
	return status, true
}

// queueEvent queues an event; s.mu is held.
func (s *Slots) queueEvent(kind EventKind, vm fleet.VMID, attempt fleet.AttemptID, format string, args ...any) {
	if s.options.OnEvent != nil {
		s.queuedEvents = append(s.queuedEvents, Event{Kind: kind, VM: vm, Attempt: attempt, Detail: fmt.Sprintf(format, args...)})
	}
}

// unlock releases s.mu and then delivers the queued events.
func (s *Slots) unlock() {
	events := s.queuedEvents
	s.queuedEvents = nil
	s.mu.Unlock()
	for _, event := range events {
		s.options.OnEvent(event)
	}
}

// forEach calls fn for each item, with at most parallel concurrent calls, and
// returns when all calls have returned.
func forEach[T any](parallel int, items []T, fn func(T)) {
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
