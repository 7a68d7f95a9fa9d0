package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Membership. A member that fails is noticed after memberTimeout; together with
// the takeover this stays below the lease of runs on VMs (5 s), so that they go
// on while their owner is replaced.
const (
	memberBeat    = 500 * time.Millisecond
	memberTimeout = 1700 * time.Millisecond // three beats and a slow write
	// memberSlow is added to the timeout, relative to the usual time of a
	// transaction.
	memberSlow  = 6
	memberWait  = time.Second // of a feed call
	memberPause = 350 * time.Millisecond
	// memberGap is the time without an answer of the table service after which
	// the ages of members say nothing.
	memberGap = 1200 * time.Millisecond
	beatLimit = 600 * time.Millisecond // of one write
)

// Member is the row of an entry.
type Member struct {
	Node        string   `cbor:"1,keyasint"`
	Incarnation string   `cbor:"2,keyasint"` // different at each start of the process
	Beat        int64    `cbor:"3,keyasint"`
	Stopping    bool     `cbor:"4,keyasint,omitempty"`
	Pools       []string `cbor:"5,keyasint,omitempty"` // that it schedules
	Address     string   `cbor:"6,keyasint,omitempty"` // host:port for other entries
	Weight      float64  `cbor:"7,keyasint,omitempty"` // processor share
	Zone        string   `cbor:"8,keyasint,omitempty"`
}

type memberState struct {
	Member
	changedAt time.Duration
}

// members follows and renews the rows of the entries.
type members struct {
	store *timedStore
	clock Clock
	log   *zap.Logger
	self  Member

	mu      sync.Mutex
	known   map[string]*memberState
	freshAt time.Duration // last answer of the feed
	version int64         // of the own row, as last written or read
	changed chan struct{}
	poke    chan struct{}
}

func newMembers(s *timedStore, clock Clock, log *zap.Logger, self Member) *members {
	return &members{store: s, clock: clock, log: log, self: self, known: map[string]*memberState{},
		changed: make(chan struct{}), poke: make(chan struct{}, 1)}
}

// SetPools tells which pools this process schedules, and publishes it at once.
func (m *members) SetPools(pools []string) {
	m.mu.Lock()
	m.self.Pools = pools
	m.mu.Unlock()
	m.wake()
}

// Stop tells the others that this process ends.
func (m *members) Stop() {
	m.mu.Lock()
	m.self.Stopping = true
	m.mu.Unlock()
	m.wake()
}

func (m *members) wake() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// Live returns the members that are alive, and whether the view is recent
// enough to tell.
func (m *members) Live() (live map[string]Member, current bool) {
	now := m.clock.Now().Steady
	m.mu.Lock()
	defer m.mu.Unlock()
	live = make(map[string]Member, len(m.known))
	for name, state := range m.known {
		if now-state.changedAt < memberTimeout+memberSlow*m.store.Usual() {
			live[name] = state.Member
		}
	}
	if _, ok := live[m.self.Node]; ok {
		live[m.self.Node] = m.self
	}
	return live, m.freshAt > 0 && now-m.freshAt < memberGap+memberWait
}

// Changed returns a channel that is closed at the next news.
func (m *members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *members) update(u Update) {
	now := m.clock.Now().Steady
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freshAt > 0 && now-m.freshAt > memberGap+memberWait {
		// Nothing was heard of anyone: give all members time to renew.
		for _, state := range m.known {
			state.changedAt = now
		}
	}
	m.freshAt = now
	if len(u.Rows) == 0 {
		return
	}
	for _, row := range u.Rows {
		m.take(row, now, u.Whole)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *members) take(row store.Row, now time.Duration, whole bool) {
	if row.Removed {
		delete(m.known, row.Name)
		return
	}
	var member Member
	if err := cbor.Unmarshal(row.Value, &member); err != nil {
		m.log.Warn("member_row_unreadable", zap.String("row", row.Name), zap.Error(err))
		return
	}
	if row.Name == m.self.Node {
		m.version = max(m.version, row.Version)
	}
	known := m.known[row.Name]
	if known == nil {
		m.known[row.Name] = &memberState{member, now}
		return
	}
	if known.Incarnation != member.Incarnation {
		m.log.Info("member_restarted", zap.String("member", row.Name), zap.String("incarnation", member.Incarnation))
	}
	if !whole || known.Beat != member.Beat || known.Incarnation != member.Incarnation {
		known.changedAt = now
	}
	known.Member = member
}

// beat renews the own row until ctx ends.
func (m *members) beat(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := m.write(ctx)
		if err != nil && !lost && ctx.Err() == nil {
			m.log.Warn("member_renewal_failed", zap.Error(err))
		}
		lost = err != nil
		pause := memberBeat
		if err != nil {
			pause = followRetry
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-m.poke:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// leaveLimit bounds the last write of the own row.
const leaveLimit = 1500 * time.Millisecond

// leave publishes that this process owns nothing any more, so that its pools
// are claimed without waiting for its row to grow old.
func (m *members) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	for ctx.Err() == nil {
		if err := m.write(ctx); err == nil {
			return
		}
		sleep(ctx, followRetry)
	}
}

// write renews the own row. The condition keeps a write that is carried out
// late from undoing a newer one.
func (m *members) write(ctx context.Context) error {
	m.mu.Lock()
	m.self.Beat++
	value, err := cbor.Marshal(m.self)
	version := m.version
	m.mu.Unlock()
	if err != nil {
		return err
	}
	key := tables.MemberKey(m.self.Node)
	ctx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	receipt, err := m.store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: version}},
		Puts:       []store.Put{{Key: key, Value: value}},
	})
	written := receipt.Version
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		row, _ := conflict.Find(key)
		written = row.Version
		err = errMemberChanged
	}
	if err == nil || errors.Is(err, errMemberChanged) {
		m.mu.Lock()
		m.version = written
		m.mu.Unlock()
	}
	return err
}

var errMemberChanged = errors.New("own row was written by an earlier request or start")
