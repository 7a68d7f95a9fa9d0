package shards

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/policy/sharding"
)

// Take names a shard that the own entry now owns and the sessions that hold
// its state.
type Take struct {
	Shard   int
	Sources []string
}

// Handoff moves the state of shards. Its methods are called by Tick only, and
// again until they succeed.
type Handoff interface {
	// Takeover rebuilds the state of shards from their sources, starts to act on
	// them, and copies the state under the own session. It returns the shards
	// whose state is copied; shards without sources are new.
	Takeover(ctx context.Context, takes []Take) (copied []int, err error)
	// Release stores the state of a shard and forgets it. After an error the
	// own entry goes on acting on the shard.
	Release(ctx context.Context, shard int) error
	// Drop forgets the state of all shards for which keep is false.
	Drop(keep func(shard int) bool)
}

// Options of a Manager. Zero numbers take defaults.
type Options struct {
	Table      backing.Table
	Membership control.Membership
	Handoff    Handoff
	Count      int // shards, when the map is made for the first time
	MaxMoving  int // shards that move between live members at a time
	TxnID      func() string
}

func (o Options) withDefaults() Options {
	if o.Count <= 0 {
		o.Count = DefaultCount
	}
	if o.MaxMoving <= 0 {
		o.MaxMoving = 16
	}
	if o.TxnID == nil {
		o.TxnID = uuid.NewString
	}
	return o
}

// maxDelay bounds the ticks that a member waits for those before it to write a
// new map.
const maxDelay = 3

// Manager reads the map, writes a new one when the members change, and moves
// the state of the own shards. Owner, Owned and Acting are safe for concurrent
// use; Tick is called by one goroutine.
type Manager struct {
	options Options

	mu       sync.Mutex
	current  Map
	version  uint64 // of the row
	released map[int]bool

	waited int // ticks since the map was first seen to be out of date
}

// New returns a manager without a map.
func New(options Options) *Manager {
	return &Manager{options: options.withDefaults(), released: map[int]bool{}}
}

// SetHandoff sets the handoff. It must be called before the first Tick, by
// wiring that makes the manager before the owner of the jobs.
func (m *Manager) SetHandoff(h Handoff) { m.options.Handoff = h }

// Count returns the number of shards.
func (m *Manager) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(m.current.Assignments); n > 0 {
		return n
	}
	return m.options.Count
}

// Owner returns the member that owns a shard in the known map, "" before there
// is one.
func (m *Manager) Owner(shard int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner(shard)
}

func (m *Manager) owner(shard int) string {
	if shard < 0 || shard >= len(m.current.Assignments) {
		return ""
	}
	return m.current.Assignments[shard].Owner
}

// Owned returns the number of shards that the own entry owns.
func (m *Manager) Owned() int {
	self := m.options.Membership.Self().ID
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := 0
	for _, a := range m.current.Assignments {
		if a.Owner == self {
			owned++
		}
	}
	return owned
}

// Acting returns nil while the own entry may act on a shard: the known map
// names it, it has not released the shard, and its session is valid.
func (m *Manager) Acting(shard int) error {
	self := m.options.Membership.Self().ID
	m.mu.Lock()
	acting := m.owner(shard) == self && !m.released[shard]
	m.mu.Unlock()
	if !acting {
		return fmt.Errorf("shard %d: %w", shard, ErrNotOwner)
	}
	return m.options.Membership.Valid()
}

// ErrNotOwner means that another entry owns the shard, or none.
var ErrNotOwner = errors.New("shard is not owned here")

// Tick reads the map, hands over and takes over what it says, and writes a new
// one if the members have changed. While the store is unavailable the known map
// stays in force.
func (m *Manager) Tick(ctx context.Context) error {
	if err := m.read(ctx); err != nil {
		return err
	}
	m.options.Handoff.Drop(m.owns)
	if err := m.options.Membership.Valid(); err != nil {
		return err
	}
	if err := m.follow(ctx); err != nil {
		return err
	}
	return errors.Join(m.release(ctx), m.takeover(ctx))
}

// Referenced reads from the store which sessions' journals are needed.
func (m *Manager) Referenced(ctx context.Context) (map[string]bool, error) {
	if err := m.read(ctx); err != nil {
		return nil, err
	}
	referenced := map[string]bool{}
	for _, a := range m.snapshot().Assignments {
		referenced[a.Owner] = true
		for _, s := range a.Sources {
			referenced[s] = true
		}
	}
	return referenced, nil
}

func (m *Manager) owns(shard int) bool {
	self := m.options.Membership.Self().ID
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner(shard) == self
}

func (m *Manager) snapshot() Map {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.clone()
}

func (m *Manager) read(ctx context.Context) error {
	row, err := m.options.Table.Get(ctx, Key)
	if err != nil {
		return fmt.Errorf("read shard map: %w", err)
	}
	next := Map{Assignments: make([]Assignment, m.options.Count)}
	if row.Version > 0 {
		next = Map{}
		if err := cbor.Unmarshal(row.Value, &next); err != nil {
			return fmt.Errorf("decode shard map: %w", err)
		}
	}
	m.adopt(next, row.Version)
	return nil
}

// adopt puts a map in force unless a later one already is.
func (m *Manager) adopt(next Map, version uint64) {
	self := m.options.Membership.Self().ID
	m.mu.Lock()
	defer m.mu.Unlock()
	if version < m.version {
		return
	}
	m.current, m.version = next, version
	for shard := range m.released {
		if m.owner(shard) != self || m.current.Assignments[shard].Next == "" {
			delete(m.released, shard)
		}
	}
}

// follow writes a new map when the members ask for one. Members wait in the
// order of their rank so that one of them usually writes alone.
func (m *Manager) follow(ctx context.Context) error {
	members := m.options.Membership.Members()
	next, changed := plan(m.snapshot(), members, m.options.MaxMoving)
	if !changed {
		m.waited = 0
		return nil
	}
	rank := slices.Index(sharding.Rank(Key, memberIDs(members)), m.options.Membership.Self().ID)
	if rank < 0 {
		return nil
	}
	m.waited++
	if m.waited <= min(rank, maxDelay) {
		return nil
	}
	return m.write(ctx, next)
}

// write commits a map made from the known one. After a lost answer the row is
// read again, which shows whether the map was written.
func (m *Manager) write(ctx context.Context, next Map) error {
	value, err := cbor.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode shard map: %w", err)
	}
	m.mu.Lock()
	version := m.version
	m.mu.Unlock()
	versions, err := m.options.Table.Commit(ctx, backing.Txn{
		ID:         m.options.TxnID(),
		Conditions: []backing.Condition{m.options.Membership.Session(), {Key: Key, Version: version}},
		Writes:     []backing.Write{{Key: Key, Value: value}},
	})
	if errors.Is(err, backing.ErrConflict) || errors.Is(err, backing.ErrUnknown) {
		return m.read(ctx)
	}
	if err != nil {
		return fmt.Errorf("write shard map: %w", err)
	}
	m.adopt(next, versions[0])
	return nil
}

// release hands the own shards that are marked as moving to their next owners.
func (m *Manager) release(ctx context.Context) error {
	self := m.options.Membership.Self().ID
	next := m.snapshot()
	handed := 0
	var failed error
	for shard, a := range next.Assignments {
		if a.Owner != self || a.Next == "" {
			continue
		}
		m.setReleased(shard, true)
		if err := m.options.Handoff.Release(ctx, shard); err != nil {
			m.setReleased(shard, false)
			failed = errors.Join(failed, fmt.Errorf("release shard %d: %w", shard, err))
			continue
		}
		next.Assignments[shard] = Assignment{Owner: a.Next, Sources: addSource(a.Sources, self)}
		handed++
	}
	if handed == 0 {
		return failed
	}
	return errors.Join(failed, m.write(ctx, next))
}

func (m *Manager) setReleased(shard int, released bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if released {
		m.released[shard] = true
		return
	}
	delete(m.released, shard)
}

// takeover rebuilds the own shards and removes the sources that are copied.
func (m *Manager) takeover(ctx context.Context) error {
	self := m.options.Membership.Self().ID
	next := m.snapshot()
	var takes []Take
	for shard, a := range next.Assignments {
		if a.Owner == self && a.Next == "" {
			takes = append(takes, Take{Shard: shard, Sources: a.Sources})
		}
	}
	copied, err := m.options.Handoff.Takeover(ctx, takes)
	cleared := 0
	for _, shard := range copied {
		if len(next.Assignments[shard].Sources) > 0 {
			next.Assignments[shard].Sources = nil
			cleared++
		}
	}
	if cleared == 0 {
		return err
	}
	return errors.Join(err, m.write(ctx, next))
}
