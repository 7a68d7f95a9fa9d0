package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthfork.example/control"
	"amaranthfork.example/control/limits"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/control/slots"
	"amaranthfork.example/fleet"
	"amaranthfork.example/platform"
	"amaranthfork.example/policy/estimate"
	"amaranthfork.example/policy/placement"
)

// teamLimits leaves work of open queues, which belongs to no team, unlimited.
type teamLimits struct{ *limits.Limits }

func (l teamLimits) Take(team fleet.TeamName) error {
	if team == "" {
		return nil
	}
	return l.Limits.Take(team)
}

func (l teamLimits) Return(team fleet.TeamName) {
	if team != "" {
		l.Limits.Return(team)
	}
}

func (l teamLimits) Adopt(team fleet.TeamName, from string) {
	if team != "" {
		l.Limits.Adopt(team, from)
	}
}

func (l teamLimits) Demand(team fleet.TeamName, running, queued int) {
	if team != "" {
		l.Limits.Demand(team, running, queued)
	}
}

// estimates shares one estimator between the goroutines of an entry.
type estimates struct {
	mu        sync.Mutex
	estimator *estimate.Estimator
}

func newEstimates() *estimates { return &estimates{estimator: estimate.New(0)} }

func (e *estimates) of(job *fleet.Job) (fleet.Resources, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	got := e.estimator.Estimate(estimate.Key{Queue: job.Queue, Class: job.Class}, job.Declared, job.RunTime)
	return got.Need, got.RunTime
}

// poolMap answers the VM dispatcher from the assignments of the data centres
// that this entry serves: its own, and those that have no entries.
type poolMap struct {
	table   platform.Table
	clock   fleet.Clock
	members control.Membership
	view    control.View

	mu      sync.Mutex
	caches  map[fleet.DataCentreName]*pools.Cache
	version uint64    // of the member list
	since   time.Time // when that version was first seen here
	wanted  bool      // an assignment was asked for that is not known
	readAt  time.Time // start of the last read
}

const (
	// poolMapEvery is the age at which the assignments are read again.
	poolMapEvery = 2 * time.Second
	// poolMapTick is the age at which they are read again when an assignment is
	// missing or the members have changed.
	poolMapTick = 250 * time.Millisecond
)

func newPoolMap(table platform.Table, clock fleet.Clock, members control.Membership, view control.View) *poolMap {
	return &poolMap{table: table, clock: clock, members: members, view: view, caches: map[fleet.DataCentreName]*pools.Cache{}}
}

// Tick reads the rows of the served data centres if that is due. It is called
// every poolMapTick.
func (m *poolMap) Tick(ctx context.Context) error {
	m.noteVersion()
	if !m.due() {
		return nil
	}
	var faults error
	for _, dc := range m.served() {
		faults = errors.Join(faults, m.cacheOf(dc).Tick(ctx))
	}
	return faults
}

// due reports whether the rows must be read now, and notes the read.
func (m *poolMap) due() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if now.Sub(m.readAt) < poolMapEvery && !m.wanted && m.readAt.After(m.since) {
		return false
	}
	m.readAt, m.wanted = now, false
	return true
}

// served returns the own data centre and those without entries.
func (m *poolMap) served() []fleet.DataCentreName {
	list := []fleet.DataCentreName{m.members.Self().DataCentre}
	snapshot := m.view.Snapshot()
	if snapshot == nil {
		return list
	}
	staffed := map[fleet.DataCentreName]bool{list[0]: true}
	for _, member := range m.members.Members().List {
		staffed[member.DataCentre] = true
	}
	for name := range snapshot.DataCentres {
		if !staffed[name] {
			list = append(list, name)
		}
	}
	return list
}

func (m *poolMap) noteVersion() {
	version := m.members.Members().Version
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.version {
		m.version, m.since = version, m.clock.Now()
	}
}

func (m *poolMap) cacheOf(dc fleet.DataCentreName) *pools.Cache {
	m.mu.Lock()
	defer m.mu.Unlock()
	cache, ok := m.caches[dc]
	if !ok {
		cache = pools.NewCache(pools.CacheOptions{Table: m.table, Clock: m.clock, DataCentre: dc})
		m.caches[dc] = cache
	}
	return cache
}

// Assignment returns the pool of a VM. After a change of the member list the
// entry may own VMs that another owner has let go for a move, so assignments
// read before the change do not count.
func (m *poolMap) Assignment(vm fleet.VMID) (slots.Assignment, bool) {
	m.noteVersion()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cache := range m.caches {
		pool, state := cache.Pool(vm)
		if pool == "" {
			continue
		}
		return slots.Assignment{Pool: pool, State: placementState(state)}, cache.ReadAt().After(m.since)
	}
	m.wanted = true
	return slots.Assignment{}, false
}

// placementState returns what a pool state means for new work.
func placementState(state pools.State) placement.State {
	switch state {
	case pools.StateActive:
		return placement.Active
	case pools.StateMaintenance:
		return placement.Maintenance
	default:
		return placement.Draining
	}
}
