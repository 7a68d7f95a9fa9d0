package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/pools"
	"amaranthfork.example/control/slots"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
)

const (
	// poolMapInterval is the time between calls of Tick, and thereby the minimum
	// between two reads of a served data centre.
	poolMapInterval = 250 * time.Millisecond
	// servedReadInterval is the time between reads of the assignments in served data
	// centres, whose VMs this entry may own.
	servedReadInterval = 2 * time.Second
	// otherReadInterval is the same for other data centres, of which only sums are
	// needed: reading the 57 KB of 2,300 VMs every servedReadInterval would be 28 KB/s.
	otherReadInterval = 30 * time.Second
	// servedRetryInterval and otherRetryInterval replace the two intervals while an
	// assignment that was requested is missing.
	servedRetryInterval = time.Second
	otherRetryInterval  = 2 * time.Second
)

// poolMap holds the assignments of VMs to pools in all data centres, for the VM
// dispatcher. It reads those of served data centres more often.
type poolMap struct {
	table   backing.Table
	clock   fleet.Clock
	members control.Membership
	view    control.View

	mu                sync.Mutex
	dataCentres       map[fleet.DataCentreName]*dataCentreMap
	version           uint64    // of the member list
	versionSeenAt     time.Time // when that version was first seen here
	servedVersion     uint64    // version of the member list for which served was computed
	assignmentMissing bool      // an unknown assignment was requested since the last read
}

// dataCentreMap holds the assignments of one data centre.
type dataCentreMap struct {
	cache  *pools.Cache
	readAt time.Time // start of the last read
	served bool      // this entry may own its VMs; see updateDataCentres
}

func newPoolMap(table backing.Table, clock fleet.Clock, members control.Membership, view control.View) *poolMap {
	return &poolMap{table: table, clock: clock, members: members, view: view, dataCentres: map[fleet.DataCentreName]*dataCentreMap{}}
}

// Tick reads the assignments of the data centres that are due.
func (m *poolMap) Tick(ctx context.Context) error {
	m.updateVersion()
	m.updateDataCentres()
	var errs error
	for _, cache := range m.due() {
		errs = errors.Join(errs, cache.Tick(ctx))
	}
	return errs
}

// updateVersion records the version of the member list and the time of its change.
func (m *poolMap) updateVersion() {
	version := m.members.Members().Version
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.version {
		m.version, m.versionSeenAt = version, m.clock.Now()
	}
}

// updateDataCentres adds the data centres of the configuration and decides which of
// them are served: the data centre of this entry, and those without entries.
func (m *poolMap) updateDataCentres() {
	self := m.members.Self().DataCentre
	members := m.members.Members()
	hasEntries := map[fleet.DataCentreName]bool{}
	for _, member := range members.List {
		hasEntries[member.DataCentre] = true
	}
	names := map[fleet.DataCentreName]bool{self: true}
	if snapshot := m.view.Snapshot(); snapshot != nil {
		for name := range snapshot.DataCentres {
			names[name] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range names {
		c, ok := m.dataCentres[name]
		if !ok {
			c = &dataCentreMap{cache: pools.NewCache(pools.CacheOptions{Table: m.table, Clock: m.clock, DataCentre: name})}
			m.dataCentres[name] = c
		}
		c.served = name == self || !hasEntries[name]
	}
	m.servedVersion = members.Version
}

// due returns the caches that must be read now, and sets the times of their reads.
func (m *poolMap) due() []*pools.Cache {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var list []*pools.Cache
	for _, c := range m.dataCentres {
		if m.isDue(c, now.Sub(c.readAt)) {
			c.readAt = now
			list = append(list, c.cache)
		}
	}
	if len(list) > 0 {
		m.assignmentMissing = false
	}
	return list
}

// isDue reports whether a data centre must be read, given the age of its last read.
func (m *poolMap) isDue(c *dataCentreMap, age time.Duration) bool {
	if !c.served {
		return age >= otherReadInterval || m.assignmentMissing && age >= otherRetryInterval
	}
	return age >= servedReadInterval || !c.readAt.After(m.versionSeenAt) || m.assignmentMissing && age >= servedRetryInterval
}

// Assignment returns the pool of a VM and whether that is known to be current. After a
// change of the member list this entry may own VMs that their previous owner has
// released for a move, so assignments of served data centres that were read before
// the change are not current.
func (m *poolMap) Assignment(vm fleet.VMID) (slots.Assignment, bool) {
	m.updateVersion()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.dataCentres {
		pool, state := c.cache.Pool(vm)
		if pool == "" {
			continue
		}
		current := c.cache.ReadAt().After(m.versionSeenAt) || !c.served && m.servedVersion == m.version
		return slots.Assignment{Pool: pool, State: placementState(state)}, current
	}
	m.assignmentMissing = true
	return slots.Assignment{}, false
}

// placementState converts the state of a VM in its pool to that for placement.
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
