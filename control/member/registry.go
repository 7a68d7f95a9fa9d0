package member

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
)

// Times and limits of sessions.
const (
	// TTL is the time since the last observed renewal after which other members
	// may fence a session.
	TTL = 6 * time.Second
	// UsableTTL is the time since a renewal was sent for which the holder uses its
	// session. The rest of the TTL is the margin for pauses and clock drift.
	UsableTTL = TTL * 7 / 10
	// DefaultMajorityTTL is longer than most partitions. In a partition, the
	// majority of the members may continue under an outage agreement, while a few
	// members that reach the store, but not the majority, see no renewals.
	DefaultMajorityTTL = time.Minute
	// RenewInterval is the interval between renewals.
	RenewInterval = 2 * time.Second
	// TickInterval is the interval between calls of Tick.
	TickInterval = 500 * time.Millisecond
	// callTimeout bounds each call to the platform or to a peer.
	callTimeout = 400 * time.Millisecond
	// joinAttempts bounds the commits of a call of Join or Leave. Each conflict
	// costs one. Few are needed, because the commit that wins adds all sessions
	// that wait to join.
	joinAttempts = 16
)

// ErrFenced means that another entry has ended this entry's session. The entry
// may call Join, which starts a new session under a new id.
var ErrFenced = errors.New("session fenced by another entry")

// ErrNoSession means that there is no session: Join has not succeeded yet, or
// the session has ended.
var ErrNoSession = errors.New("no session")

// Options configures a Registry.
type Options struct {
	Self   control.Member // Join replaces the ID by one from NewID
	NewID  func() string
	Table  backing.Table
	VMs    backing.VMList // optional; without it, fenced members count as dead
	Caller rpc.Caller     // optional; for renewals through peers while the store is unreachable
	Clock  fleet.Clock
	// MajorityTTL is the time without renewal after which members may be fenced
	// even if they may be the majority and the VM list shows their VMs as live.
	// 0 means DefaultMajorityTTL.
	MajorityTTL time.Duration
}

// Registry holds this entry's session and the last known member list. It is
// safe for concurrent use.
type Registry struct {
	options Options

	mu              sync.Mutex
	self            control.Member
	sessionVersion  uint64    // 0 while there is no session
	leaseRenewedAt  time.Time // when the last renewal was sent, or the start of a later outage agreement
	hasLease        bool      // leaseRenewedAt is set
	storeRenewedAt  time.Time // when the last renewal that this entry wrote itself was sent
	sequence        uint64    // number of the last renewal
	list            List
	settledSince    time.Time // when this member was first seen as settled
	nextPeer        int       // position in the rotation of linked peers that are asked to renew
	renewalPeerHint storeHint

	watch watchState
}

var _ control.Membership = (*Registry)(nil)

// New returns a registry without a session.
func New(o Options) *Registry {
	if o.MajorityTTL == 0 {
		o.MajorityTTL = DefaultMajorityTTL
	}
	return &Registry{options: o, self: o.Self, watch: watchState{rows: map[string]observation{}}}
}

// heartbeat is the value of a heartbeat row.
type heartbeat struct {
	Sequence    uint64 `cbor:"1,keyasint"`
	ListVersion uint64 `cbor:"2,keyasint"` // of the list that the holder knows
}

// Self returns this entry as a member. Its ID changes with each session.
func (r *Registry) Self() control.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Members returns the last known member list.
func (r *Registry) Members() control.Members { return r.List().Members() }

// List returns the last known member list with the details of each member.
func (r *Registry) List() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// Session returns the condition that holds until the session is fenced or
// ended.
func (r *Registry) Session() backing.Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.condition()
}

func (r *Registry) condition() backing.Condition {
	if r.sessionVersion == 0 {
		// No session row has this version, so the condition never holds.
		return backing.Condition{Key: sessionPrefix + r.self.ID, Version: ^uint64(0)}
	}
	return backing.Condition{Key: sessionPrefix + r.self.ID, Version: r.sessionVersion}
}

// Valid returns nil while this entry's clock allows the use of the session, and
// a *fleet.Refusal otherwise.
func (r *Registry) Valid() error {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.sessionVersion == 0:
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "this entry has no session", RetryAfter: RenewInterval}
	case !r.hasLease || now.Sub(r.leaseRenewedAt) >= UsableTTL:
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "the session of this entry was not renewed in time", RetryAfter: RenewInterval}
	}
	return nil
}

// MayCoordinate reports whether this member is settled and so may coordinate
// changes.
func (r *Registry) MayCoordinate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.list.Find(r.self.ID)
	return ok && e.SettledVersion > 0 && r.sessionVersion > 0
}

// ExtendLease extends the lease as a renewal would that was sent at a time of
// this entry's clock. It is called for an outage agreement: at the time of the
// agreement, nobody can fence a session within its lease.
func (r *Registry) ExtendLease(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessionVersion > 0 && (!r.hasLease || at.After(r.leaseRenewedAt)) {
		r.leaseRenewedAt, r.hasLease = at, true
	}
}

// ResetObservations discards the observations of other sessions, so that their
// TTL starts again. It is called when a read of the store fails: the others may
// have extended their leases by an outage agreement since then.
func (r *Registry) ResetObservations() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.reset()
}

// hintTTL is how long a member is assumed to reach the store. Members pass
// hints on with their age; without a limit, a wrong hint would circulate
// forever.
const hintTTL = TTL / 2

// storeHint is a member that reached the store, and the time on this entry's
// clock at which it did.
type storeHint struct {
	id        string
	reachedAt time.Time
}

// RenewalPeer returns a member that reached the store recently and how long ago
// it did, or "" if none is known.
func (r *Registry) RenewalPeer() (id string, age time.Duration) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	age = now.Sub(r.renewalPeerHint.reachedAt)
	if r.renewalPeerHint.id == "" || age >= hintTTL {
		return "", 0
	}
	return r.renewalPeerHint.id, age
}

// SetRenewalPeer records that a member reached the store at a time of this
// entry's clock. The member is asked first for renewals while this entry does
// not reach the store.
func (r *Registry) SetRenewalPeer(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != r.self.ID && (r.renewalPeerHint.id == "" || at.After(r.renewalPeerHint.reachedAt)) {
		r.renewalPeerHint = storeHint{id: id, reachedAt: at}
	}
}

// clearRenewalPeer discards the hint to a member that could not renew when it
// was asked.
func (r *Registry) clearRenewalPeer(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.renewalPeerHint.id == id {
		r.renewalPeerHint = storeHint{}
	}
}

// InstallList replaces the known member list by a newer one that was read from
// the store, here or by a peer. It has no effect if the list is not newer.
func (r *Registry) InstallList(list List) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if list.Version <= r.list.Version {
		return
	}
	r.list = list
	e, ok := list.Find(r.self.ID)
	if ok && e.SettledVersion > 0 && r.settledSince.IsZero() {
		r.settledSince = now
	}
}

// Join starts a session under a new id and adds it to the member list. After an
// error, the next call continues with the same id if the session row was
// written. Errors: those of the table, and backing.ErrConflict after
// joinAttempts attempts.
func (r *Registry) Join(ctx context.Context) error {
	r.newSessionID()
	if err := r.createSession(ctx); err != nil {
		return err
	}
	for range joinAttempts {
		list, err := r.Refresh(ctx)
		if err != nil {
			return err
		}
		if _, ok := list.Find(r.Self().ID); ok {
			return nil
		}
		if err := r.addToList(ctx, list); err != nil && !retryable(err) {
			return err
		}
	}
	return fmt.Errorf("join: %w after %d attempts", backing.ErrConflict, joinAttempts)
}

// newSessionID prepares a session under a new id, unless an earlier Join has
// created a session that is not in the list yet.
func (r *Registry) newSessionID() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, listed := r.list.Find(r.self.ID)
	if r.sessionVersion > 0 && !listed {
		return
	}
	r.self.ID = r.options.NewID()
	r.sessionVersion, r.hasLease, r.storeRenewedAt, r.sequence = 0, false, time.Time{}, 0
	r.settledSince = time.Time{}
	r.watch.reset()
}

// createSession writes the session row and the heartbeat row, unless they have
// been written. After a lost answer it reads the session row to learn whether
// the write took effect.
func (r *Registry) createSession(ctx context.Context) error {
	r.mu.Lock()
	done, self := r.sessionVersion > 0, r.self
	r.mu.Unlock()
	if done {
		return nil
	}
	value, err := cbor.Marshal(self)
	if err != nil {
		return fmt.Errorf("encode session: %w", err)
	}
	beat, err := cbor.Marshal(heartbeat{})
	if err != nil {
		return fmt.Errorf("encode heartbeat: %w", err)
	}
	key := sessionPrefix + self.ID
	sent := r.options.Clock.Now()
	versions, err := r.commit(ctx, backing.Txn{
		ID:         "join/" + self.ID,
		Conditions: []backing.Condition{{Key: key}},
		Writes:     []backing.Write{{Key: key, Value: value}, {Key: heartbeatPrefix + self.ID, Value: beat}},
	})
	if errors.Is(err, backing.ErrUnconfirmed) || errors.Is(err, backing.ErrConflict) {
		row, getErr := r.get(ctx, key)
		if getErr == nil && row.Version > 0 {
			versions, err = []uint64{row.Version}, nil
		}
	}
	if err != nil {
		return fmt.Errorf("create session: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessionVersion = versions[0]
	r.leaseRenewedAt, r.hasLease, r.storeRenewedAt = sent, true, sent
	return nil
}

// addToList adds all sessions that the list does not contain, so that one
// commit serves all entries that join at the same time.
func (r *Registry) addToList(ctx context.Context, list List) error {
	rows, err := r.rangeAll(ctx, sessionPrefix)
	if err != nil {
		return err
	}
	var added []control.Member
	var conditions []backing.Condition
	for _, row := range rows {
		var m control.Member
		if err := cbor.Unmarshal(row.Value, &m); err != nil {
			return fmt.Errorf("decode session %s: %w", row.Key, err)
		}
		if _, ok := list.Find(m.ID); !ok {
			added = append(added, m)
			conditions = append(conditions, backing.Condition{Key: row.Key, Version: row.Version})
		}
	}
	return r.commitList(ctx, "enter/"+r.Self().ID, list, list.with(added), conditions, nil)
}

// commitList replaces the list in the store and installs the new one.
func (r *Registry) commitList(ctx context.Context, id string, list, next List, conditions []backing.Condition, writes []backing.Write) error {
	own, err := next.encode()
	if err != nil {
		return err
	}
	txn := backing.Txn{
		ID:         fmt.Sprintf("%s/%d", id, next.Version),
		Conditions: append([]backing.Condition{list.Condition()}, conditions...),
		Writes:     append(own, writes...),
	}
	versions, err := r.commit(ctx, txn)
	if err != nil {
		return err
	}
	next.RowVersion = versions[0]
	r.InstallList(next)
	return nil
}

// Refresh reads the member list from the store and installs it.
func (r *Registry) Refresh(ctx context.Context) (List, error) {
	row, err := r.get(ctx, listKey)
	if err != nil {
		return List{}, fmt.Errorf("read member list: %w", err)
	}
	list, err := decodeList(row)
	if err != nil {
		return List{}, err
	}
	r.InstallList(list)
	return list, nil
}

// KnownVersions returns, by member id, the list version in the last renewal of
// each member.
func (r *Registry) KnownVersions(ctx context.Context) (map[string]uint64, error) {
	rows, err := r.rangeAll(ctx, heartbeatPrefix)
	if err != nil {
		return nil, fmt.Errorf("read heartbeats: %w", err)
	}
	return listVersions(rows)
}

// Leave ends the session and removes it from the list in one transaction.
// Errors: those of the table, and backing.ErrConflict after joinAttempts
// attempts.
func (r *Registry) Leave(ctx context.Context) error {
	self := r.Self()
	for range joinAttempts {
		row, err := r.get(ctx, sessionPrefix+self.ID)
		if err != nil {
			return fmt.Errorf("leave: %w", err)
		}
		if row.Version == 0 {
			r.dropSession()
			return nil
		}
		list, err := r.Refresh(ctx)
		if err != nil {
			return err
		}
		err = r.removeSessions(ctx, list, []string{self.ID}, []backing.Condition{{Key: row.Key, Version: row.Version}}, nil)
		if err != nil && !retryable(err) {
			return fmt.Errorf("leave: %w", err)
		}
	}
	return fmt.Errorf("leave: %w after %d attempts", backing.ErrConflict, joinAttempts)
}

// removeSessions deletes sessions and removes them from the list. fenced holds
// the list versions that the members knew; it is nil for members that leave by
// themselves.
func (r *Registry) removeSessions(ctx context.Context, list List, ids []string, conditions []backing.Condition, fenced map[string]uint64) error {
	gone := map[string]bool{}
	var writes []backing.Write
	for _, id := range ids {
		gone[id] = true
		writes = append(writes, backing.Write{Key: sessionPrefix + id, Delete: true}, backing.Write{Key: heartbeatPrefix + id, Delete: true})
	}
	return r.commitList(ctx, "remove/"+r.Self().ID, list, list.without(gone, fenced != nil, fenced), conditions, writes)
}

// dropSession marks this entry's session as ended.
func (r *Registry) dropSession() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessionVersion, r.hasLease = 0, false
}

// retryable reports whether a commit may succeed with newly read rows.
func retryable(err error) bool {
	return errors.Is(err, backing.ErrConflict) || errors.Is(err, backing.ErrUnconfirmed)
}

func (r *Registry) get(ctx context.Context, key string) (backing.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.options.Table.Get(ctx, key)
}

func (r *Registry) commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := r.options.Table.Commit(ctx, txn)
	return versions, CommitError(err)
}

// CommitError converts the error of a commit: if the context has ended, the
// table may have received the transaction, so the error becomes
// backing.ErrUnconfirmed.
func CommitError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return fmt.Errorf("%w: %w", backing.ErrUnconfirmed, err)
	}
	return err
}

// rangeAll reads all rows with a prefix, page by page.
func (r *Registry) rangeAll(ctx context.Context, prefix string) ([]backing.Row, error) {
	const pageSize = 500
	var all []backing.Row
	after := ""
	for {
		rows, err := r.rangePage(ctx, prefix, after, pageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < pageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (r *Registry) rangePage(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.options.Table.Range(ctx, prefix, after, limit)
}
