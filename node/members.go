package node

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Timing of membership. A member that fails is noticed after memberTimeout.
// Together with the takeover, this takes less time than the lease of runs on
// VMs (5 s), so that runs continue while their owner is replaced.
const (
	heartbeatInterval = 500 * time.Millisecond
	memberTimeout     = 1200 * time.Millisecond // two heartbeats, the pause of the feed and a slow write
	// memberSilence is the time after which a member that has not renewed its row leaves
	// the first places of claimOrder to others.
	memberSilence = heartbeatInterval + memberPause + 100*time.Millisecond
	// feedStallLimit is the delay of a feed's answer from which the ages of the rows prove
	// nothing: this entry or the table service has stalled, and the writers of the rows may
	// have waited as well.
	feedStallLimit = 400 * time.Millisecond
	// feedStallLatencyFactor, times the usual time of a transaction, is added to it, so
	// that lost owners are noticed while the table service is slow as well.
	feedStallLatencyFactor = 2
	// memberTimeoutLatencyFactor, times the usual time of a transaction, is
	// added to memberTimeout.
	memberTimeoutLatencyFactor = 6
	memberWait                 = time.Second // of a feed call
	memberPause                = 350 * time.Millisecond
	// memberFeedGap, plus memberWait, is the time without an answer of the
	// table service after which the ages of the members' rows prove nothing.
	memberFeedGap    = 1200 * time.Millisecond
	heartbeatTimeout = 600 * time.Millisecond // of one write
)

// Bystanders are the entries that are not among those which would claim the next
// pools. They renew their rows and read those of others less often, so that the
// traffic of membership does not grow with the square of the fleet.
const (
	// maxCandidates is the number of entries that watch all members closely, in order
	// to claim pools. It leaves enough of them after the loss of a data centre.
	maxCandidates = 12
	// candidateHysteresis is the number of places behind maxCandidates that an entry
	// may fall back to before it becomes a bystander.
	candidateHysteresis = 2

	bystanderInterval = 4 * time.Second                     // between renewals of a bystander's row
	bystanderTimeout  = 3*bystanderInterval + memberTimeout // as memberTimeout, for the row of a bystander
	bystanderPause    = 2500 * time.Millisecond             // between feed calls of a bystander
)

// Member is the row that an entry publishes about itself.
type Member struct {
	Node        string   `cbor:"1,keyasint"`
	Incarnation string   `cbor:"2,keyasint"` // differs at each start of the process
	Heartbeats  int64    `cbor:"3,keyasint"` // rises with each write of the row
	Stopping    bool     `cbor:"4,keyasint,omitempty"`
	Pools       []string `cbor:"5,keyasint,omitempty"` // pools that the entry schedules
	Address     string   `cbor:"6,keyasint,omitempty"` // host:port for other entries
	Weight      float64  `cbor:"7,keyasint,omitempty"` // processor share; 0 if unknown
	DataCentre  string   `cbor:"8,keyasint,omitempty"`
	Bystander   bool     `cbor:"9,keyasint,omitempty"` // the row is renewed each bystanderInterval only

	silent bool // not stored: the row is late, as this entry sees it; see memberSilence
}

type memberState struct {
	Member
	changedAt time.Duration // when the row was last seen to change, steady clock
}

// members follows the rows of all entries and renews the row of this one.
type members struct {
	store *timedStore
	clock Clock
	log   *zap.Logger
	self  Member // Pools, Stopping and Heartbeats are guarded by mu

	mu             sync.Mutex
	known          map[string]*memberState // by node
	feedAnsweredAt time.Duration           // when the feed last answered, steady clock; 0 if never
	version        int64                   // of this entry's row, as last written or read
	placed         bool                    // the own row has been read back
	formerPools    []string                // pools that the last incarnation of this entry has listed
	changed        chan struct{}           // closed at the next change of a row
	renewNow       chan struct{}           // makes heartbeatLoop write the row at once
}

// newMembers returns a view without members. This entry is a bystander until it has
// read its own row back, so that entries that start together write few rows.
func newMembers(s *timedStore, clock Clock, log *zap.Logger, self Member) *members {
	self.Bystander = true
	return &members{store: s, clock: clock, log: log, self: self, known: map[string]*memberState{},
		changed: make(chan struct{}), renewNow: make(chan struct{}, 1)}
}

// SetPools sets the pools that this process schedules, and publishes them at
// once.
func (m *members) SetPools(pools []string) {
	m.mu.Lock()
	m.self.Pools = pools
	m.updateRole()
	m.mu.Unlock()
	m.requestRenewal()
}

// updateRole decides whether this entry is a bystander. The caller holds mu.
func (m *members) updateRole() {
	live := m.live()
	if _, known := live[m.self.Node]; known {
		m.placed = true
	}
	place := candidatePlace(m.self.Node, live)
	limit := maxCandidates
	if !m.self.Bystander {
		limit += candidateHysteresis
	}
	bystander := len(m.self.Pools) == 0 && !m.self.Stopping && place >= limit
	if bystander == m.self.Bystander {
		return
	}
	m.self.Bystander = bystander
	m.log.Info("member_role", zap.Bool("bystander", bystander), zap.Int("place", place), zap.Int("known", len(m.known)))
	m.requestRenewal()
}

// candidatePlace returns the place of an entry, from 0, among the live members that
// could claim pools: those with the most processor share come first, and a hash
// decides between equals. All entries agree on it as far as they know the same
// members. An entry whose own row has not been read back comes last.
func candidatePlace(node string, live map[string]Member) int {
	self, ok := live[node]
	if !ok {
		return math.MaxInt // its row has not been read back yet
	}
	place := 0
	for name, other := range live {
		if name == node || other.Stopping {
			continue
		}
		if other.Weight > self.Weight || other.Weight == self.Weight && hash64("candidate", name) < hash64("candidate", node) {
			place++
		}
	}
	return place
}

// mayClaim reports whether this entry claims pools without an owner. A bystander does
// not: it becomes a candidate first when candidates are lost. An entry whose row has
// not been read back yet may turn out to be a candidate.
func (m *members) mayClaim() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.self.Bystander || !m.placed
}

// feedPause returns the pause between two feed calls of this entry.
func (m *members) feedPause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pause()
}

func (m *members) pause() time.Duration {
	if m.self.Bystander && m.placed {
		return bystanderPause
	}
	return memberPause
}

// maxFeedAge returns the time without an answer of the table service after which the
// ages of the members' rows prove nothing. The caller holds mu.
func (m *members) maxFeedAge() time.Duration {
	return memberFeedGap + memberWait + m.pause() - memberPause
}

// AnnounceStop publishes at once that this process is stopping.
func (m *members) AnnounceStop() {
	m.mu.Lock()
	m.self.Stopping = true
	m.mu.Unlock()
	m.requestRenewal()
}

func (m *members) requestRenewal() {
	select {
	case m.renewNow <- struct{}{}:
	default:
	}
}

// Live returns the live members. current is false if the rows were read too long
// ago to tell which members are live.
func (m *members) Live() (live map[string]Member, current bool) {
	now := m.clock.Now().Steady
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live(), m.feedAnsweredAt > 0 && now-m.feedAnsweredAt < m.maxFeedAge()
}

// live returns the members whose rows were renewed in time when the feed last
// answered. The caller holds mu.
func (m *members) live() map[string]Member {
	margin := memberTimeoutLatencyFactor * m.store.AverageCommitTime()
	live := make(map[string]Member, len(m.known))
	for name, state := range m.known {
		timeout := memberTimeout
		if state.Bystander {
			timeout = bystanderTimeout
		}
		if age := m.feedAnsweredAt - state.changedAt; age < timeout+margin {
			member := state.Member
			member.silent = !state.Bystander && age > memberSilence
			live[name] = member
		}
	}
	if _, ok := live[m.self.Node]; ok {
		live[m.self.Node] = m.self
	}
	return live
}

// Changed returns a channel that is closed when a row changes.
func (m *members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *members) update(u Update) {
	now := m.clock.Now().Steady
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.feedAnsweredAt > 0 && (now-m.feedAnsweredAt > m.maxFeedAge() || feedStalled(u, m.feedAnsweredAt, now, m.pause(), m.store.AverageCommitTime())) {
		// Nothing was received from any member. Give all of them time to renew.
		for _, state := range m.known {
			state.changedAt = now
		}
	}
	m.feedAnsweredAt = now
	defer m.updateRole()
	if len(u.Rows) == 0 {
		return
	}
	for _, row := range u.Rows {
		m.applyRow(row, now, u.Whole)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// feedStalled reports whether an update of a feed came later than the feed alone explains:
// its call was sent later than pause after the last answer, or was answered later than
// memberWait. usual is the usual time of a transaction.
func feedStalled(u Update, lastAnswer, now, pause, usual time.Duration) bool {
	if u.SentAt == 0 {
		return false
	}
	limit := feedStallLimit + feedStallLatencyFactor*usual
	return u.SentAt-lastAnswer > pause+limit || now-u.SentAt > memberWait+limit
}

func (m *members) applyRow(row store.Row, now time.Duration, whole bool) {
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
		m.noteFormerPools(member)
	}
	known := m.known[row.Name]
	if known == nil {
		m.known[row.Name] = &memberState{member, now}
		return
	}
	if known.Incarnation != member.Incarnation {
		m.log.Info("member_restarted", zap.String("member", row.Name), zap.String("incarnation", member.Incarnation))
	}
	if !whole || known.Heartbeats != member.Heartbeats || known.Incarnation != member.Incarnation {
		known.changedAt = now
	}
	known.Member = member
}

// heartbeatLoop renews this entry's row until ctx ends.
func (m *members) heartbeatLoop(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := m.writeRow(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			m.log.Warn("member_renewal_failed", zap.Error(err))
		}
		failing = err != nil
		pause := m.renewalInterval()
		if err != nil {
			pause = retryPause
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-m.renewNow:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (m *members) renewalInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Bystander {
		return bystanderInterval
	}
	return heartbeatInterval
}

// leaveTimeout bounds the last write of this entry's row.
const leaveTimeout = 1500 * time.Millisecond

// leave publishes that this process owns nothing any more, so that its pools
// are claimed without waiting for its row to expire.
func (m *members) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if err := m.writeRow(ctx); err == nil {
			return
		}
		sleep(ctx, retryPause)
	}
}

// writeRow renews this entry's row. The condition keeps a write that is carried
// out late from undoing a newer one. After errMemberChanged the next call uses
// the current version.
func (m *members) writeRow(ctx context.Context) error {
	m.mu.Lock()
	m.self.Heartbeats++
	value, err := cbor.Marshal(m.self)
	version := m.version
	m.mu.Unlock()
	if err != nil {
		return err
	}
	key := tables.MemberKey(m.self.Node)
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
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
		m.noteFormer(row)
		err = errMemberChanged
	}
	if err == nil || errors.Is(err, errMemberChanged) {
		m.mu.Lock()
		m.version = written
		m.mu.Unlock()
	}
	return err
}

// noteFormer notes the pools of an earlier incarnation of this entry from its row.
func (m *members) noteFormer(row store.Row) {
	var member Member
	if err := cbor.Unmarshal(row.Value, &member); err != nil {
		return // logged when the row is followed
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteFormerPools(member)
}

// noteFormerPools is noteFormer for a decoded row. The caller holds mu.
func (m *members) noteFormerPools(member Member) {
	if member.Incarnation != m.self.Incarnation && len(member.Pools) > 0 {
		m.formerPools = member.Pools
	}
}

// wasOwner reports whether an earlier incarnation of this entry has listed a pool.
func (m *members) wasOwner(pool string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.formerPools, pool)
}

var errMemberChanged = errors.New("own member row was changed by an earlier write or incarnation")
