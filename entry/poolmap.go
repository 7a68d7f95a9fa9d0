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
	// poolMapTick is the time between calls of Tick, and the least time between
	// two reads of a served data centre.
	poolMapTick = 250 * time.Millisecond
	// servedEvery is the age at which the assignments of VMs that this entry may
	// own are read again.
	servedEvery = 2 * time.Second
	// otherEvery is the same for other data centres, of which only the sums are
	// needed: 57 KB for 2,300 VMs would be 28 KB/s at servedEvery.
	otherEvery = 30 * time.Second
	// wantedServed and wantedOther are the ages at which they are read again
	// while an assignment is missing.
	wantedServed = time.Second
	wantedOther  = 2 * time.Second
)

// poolMap answers the VM dispatcher from the assignments of all data centres.
// It keeps those close to the present that this entry serves: its own data
// centre, and those that have no entries.
type poolMap struct {
	table   backing.Table
	clock   fleet.Clock
	members control.Membership
	view    control.View

	mu      sync.Mutex
	centres map[fleet.DataCentreName]*centreMap
	version uint64    // of the member list
	since   time.Time // when that version was first seen here
	sorted  uint64    // version for which served was computed
	wanted  bool      // an assignment was asked for that is not known
}

// centreMap holds the assignments of one data centre.
type centreMap struct {
	cache  *pools.Cache
	readAt time.Time // start of the last read
	served bool
}

func newPoolMap(table backing.Table, clock fleet.Clock, members control.Membership, view control.View) *poolMap {
	return &poolMap{table: table, clock: clock, members: members, view: view, centres: map[fleet.DataCentreName]*centreMap{}}
}

// Tick reads the rows of the data centres that are due.
func (m *poolMap) Tick(ctx context.Context) error {
	m.noteVersion()
	m.noteCentres()
	var faults error
	for _, cache := range m.due() {
		faults = errors.Join(faults, cache.Tick(ctx))
	}
	return faults
}

func (m *poolMap) noteVersion() {
	version := m.members.Members().Version
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.version {
		m.version, m.since = version, m.clock.Now()
	}
}

// noteCentres finds out which data centres there are and which this entry serves.
func (m *poolMap) noteCentres() {
	self := m.members.Self().DataCentre
	members := m.members.Members()
	staffed := map[fleet.DataCentreName]bool{}
	for _, member := range members.List {
		staffed[member.DataCentre] = true
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
		c, ok := m.centres[name]
		if !ok {
			c = &centreMap{cache: pools.NewCache(pools.CacheOptions{Table: m.table, Clock: m.clock, DataCentre: name})}
			m.centres[name] = c
		}
		c.served = name == self || !staffed[name]
	}
	m.sorted = members.Version
}

// due returns the caches that must be read now, and notes the reads.
func (m *poolMap) due() []*pools.Cache {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var list []*pools.Cache
	for _, c := range m.centres {
		if m.isDue(c, now.Sub(c.readAt)) {
			c.readAt = now
			list = append(list, c.cache)
		}
	}
	if len(list) > 0 {
		m.wanted = false
	}
	return list
}

func (m *poolMap) isDue(c *centreMap, age time.Duration) bool {
	if !c.served {
		return age >= otherEvery || m.wanted && age >= wantedOther
	}
	return age >= servedEvery || !c.readAt.After(m.since) || m.wanted && age >= wantedServed
}

// Assignment returns the pool of a VM. After a change of the member list the
// entry may own VMs that another owner has let go for a move, so assignments of
// served data centres that were read before the change do not count.
func (m *poolMap) Assignment(vm fleet.VMID) (slots.Assignment, bool) {
	m.noteVersion()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.centres {
		pool, state := c.cache.Pool(vm)
		if pool == "" {
			continue
		}
		current := c.cache.ReadAt().After(m.since) || !c.served && m.sorted == m.version
		return slots.Assignment{Pool: pool, State: placementState(state)}, current
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
