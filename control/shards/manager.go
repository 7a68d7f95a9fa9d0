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

// Takeover identifies a shard to take over: one that this entry owns, and the
// sessions that hold its state.
type Takeover struct {
	Shard   int
	Sources []string // session ids
}

// Handover moves the state of shards between entries. Its methods are called by
// Tick only, and again until they succeed.
type Handover interface {
	// Takeover rebuilds the state of shards from their sources, starts to act on
	// them, and stores a copy of the state under this entry's session. It is
	// called with all shards that this entry owns and does not hand over. It
	// returns the shards whose state is copied; shards without sources are new.
	Takeover(ctx context.Context, takeovers []Takeover) (copied []int, err error)
	// Release stores the state of a shard for its next owner and drops it. After
	// an error this entry continues to act on the shard.
	Release(ctx context.Context, shard int) error
	// Drop drops the state of all shards for which owned returns false.
	Drop(owned func(shard int) bool)
}

// Options are the dependencies and settings of a Manager. Zero numbers take
// defaults.
type Options struct {
	Table      backing.Table
	Membership control.Membership
	Handover   Handover
	Count      int           // number of shards of a new map; default DefaultCount
	MaxMoving  int           // maximum number of shards that move between live members at a time; default 16
	TxnID      func() string // returns a new transaction id; default random UUIDs
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

// maxWriteDelayTicks is the maximum number of ticks that a member waits for
// members that rank before it to write a new map.
const maxWriteDelayTicks = 3

// Manager reads the map, writes a new one when the members change, and moves the
// state of the shards of this entry. Tick must be called by one goroutine only;
// the other methods, apart from SetHandover, are safe for concurrent use.
type Manager struct {
	options Options

	mu       sync.Mutex
	current  Map
	version  uint64       // of the row of current
	released map[int]bool // shards of this entry that are being handed over

	outdatedTicks int // since the map was first seen to be out of date
}

// New returns a manager without a map.
func New(options Options) *Manager {
	return &Manager{options: options.withDefaults(), released: map[int]bool{}}
}

// SetHandover sets the Handover, which may be built after the manager. It must be
// called before the first Tick.
func (m *Manager) SetHandover(h Handover) { m.options.Handover = h }

// Count returns the number of shards.
func (m *Manager) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(m.current.Assignments); n > 0 {
		return n
	}
	return m.options.Count
}

// Owner returns the member id of the owner of a shard in the known map, "" if
// there is none.
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

// Owned returns the number of shards that this entry owns.
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

// Acting returns nil while this entry may act on a shard: it owns the shard in
// the known map, has not released it, and its session is valid. Otherwise it
// returns ErrNotOwner, wrapped, or the refusal of an invalid session.
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

// ErrNotOwner means that another entry, or none, owns the shard.
var ErrNotOwner = errors.New("shard is not owned here")

// Tick reads the map, writes a new one if the members have changed, and hands
// over and takes over shards as the map says. While the store is unavailable the
// known map stays in force. Tick returns the errors of the store and of Handover,
// and the refusal of an invalid session.
func (m *Manager) Tick(ctx context.Context) error {
	if err := m.read(ctx); err != nil {
		return err
	}
	m.options.Handover.Drop(m.owns)
	if err := m.options.Membership.Valid(); err != nil {
		return err
	}
	if err := m.updateMap(ctx); err != nil {
		return err
	}
	return errors.Join(m.release(ctx), m.takeover(ctx))
}

// Referenced reads the map and returns the sessions whose journals are needed:
// owners of shards, and sources whose state has not been copied. It returns
// errors of the store.
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
	m.install(next, row.Version)
	return nil
}

// install puts a map in force unless a later version is in force. It clears the
// release of shards that are no longer handed over by this entry.
func (m *Manager) install(next Map, version uint64) {
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

// updateMap writes a new map if the member list requires one. Members wait in
// the order of their rank, so that usually only one of them writes.
func (m *Manager) updateMap(ctx context.Context) error {
	members := m.options.Membership.Members()
	next, changed := plan(m.snapshot(), members, m.options.MaxMoving)
	if !changed {
		m.outdatedTicks = 0
		return nil
	}
	rank := slices.Index(sharding.Rank(Key, memberIDs(members)), m.options.Membership.Self().ID)
	if rank < 0 {
		return nil
	}
	m.outdatedTicks++
	if m.outdatedTicks <= min(rank, maxWriteDelayTicks) {
		return nil
	}
	return m.write(ctx, next)
}

// write commits a map that was made from the known one. After a conflict or an
// unconfirmed commit it reads the row again, which shows whether the map was
// written.
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
	if errors.Is(err, backing.ErrConflict) || errors.Is(err, backing.ErrUnconfirmed) {
		return m.read(ctx)
	}
	if err != nil {
		return fmt.Errorf("write shard map: %w", err)
	}
	m.install(next, versions[0])
	return nil
}

// release hands over the shards of this entry that are marked as moving. The
// entry stops acting on a shard before it stores the shard's state.
func (m *Manager) release(ctx context.Context) error {
	self := m.options.Membership.Self().ID
	next := m.snapshot()
	handedOver := 0
	var failed error
	for shard, a := range next.Assignments {
		if a.Owner != self || a.Next == "" {
			continue
		}
		m.setReleased(shard, true)
		if err := m.options.Handover.Release(ctx, shard); err != nil {
			m.setReleased(shard, false)
			failed = errors.Join(failed, fmt.Errorf("release shard %d: %w", shard, err))
			continue
		}
		next.Assignments[shard] = Assignment{Owner: a.Next, Sources: addSource(a.Sources, self)}
		handedOver++
	}
	if handedOver == 0 {
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

// takeover takes over the shards of this entry and removes from the map the
// sources whose state is copied.
func (m *Manager) takeover(ctx context.Context) error {
	self := m.options.Membership.Self().ID
	next := m.snapshot()
	var takeovers []Takeover
	for shard, a := range next.Assignments {
		if a.Owner == self && a.Next == "" {
			takeovers = append(takeovers, Takeover{Shard: shard, Sources: a.Sources})
		}
	}
	copied, err := m.options.Handover.Takeover(ctx, takeovers)
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
