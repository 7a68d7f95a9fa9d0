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

// Times of sessions.
const (
	// TTL is the time after the last renewal at which others may fence a session.
	TTL = 6 * time.Second
	// UsableTTL is the time, from before the renewal was sent, for which the
	// holder uses its session. The rest is the margin for pauses and drift.
	UsableTTL = TTL * 7 / 10
	// DefaultMajorityTTL outlasts most partitions. Members that are the majority
	// may go on by an outage agreement while a few that reach the store, but not
	// them, see no renewals.
	DefaultMajorityTTL = time.Minute
	// RenewEvery is the time between renewals.
	RenewEvery = 2 * time.Second
	// TickEvery is the time between calls of Tick.
	TickEvery = 500 * time.Millisecond
	// callTimeout bounds each call of the platform or of a peer.
	callTimeout = 400 * time.Millisecond
	// joinAttempts bounds the commits of one call of Join or Leave. A lost race
	// costs one; a winner adds all waiting sessions, so few rounds suffice.
	joinAttempts = 16
)

// ErrFenced means that another entry has ended the own session. The entry may
// call Join again, which starts a new session under a new id.
var ErrFenced = errors.New("session fenced by another entry")

// ErrNoSession means that Join has not succeeded yet or Leave has.
var ErrNoSession = errors.New("no session")

// Options configure a Registry.
type Options struct {
	Self   control.Member // its ID is replaced by NewID at each Join
	NewID  func() string
	Table  backing.Table
	VMs    backing.VMList // optional; without it fenced members count as dead
	Caller rpc.Caller     // optional; renews through peers while the store is out of reach
	Clock  fleet.Clock
	// MajorityTTL is the time without renewal after which members are fenced that
	// together are the majority and whose VMs are still shown as live. 0 means
	// DefaultMajorityTTL.
	MajorityTTL time.Duration
}

// Registry keeps the own session and the known member list. It is safe for
// concurrent use.
type Registry struct {
	o Options

	mu             sync.Mutex
	self           control.Member
	sessionVersion uint64 // 0 while there is no session
	lease          time.Time
	leased         bool
	renewed        time.Time // start of the last renewal in the store
	sequence       uint64
	list           List
	settled        time.Time // when this member was first seen as settled
	peer           int       // rotates the linked peers asked to renew
	via            hint

	watch watch
}

var _ control.Membership = (*Registry)(nil)

// New returns a registry without a session.
func New(o Options) *Registry {
	if o.MajorityTTL == 0 {
		o.MajorityTTL = DefaultMajorityTTL
	}
	return &Registry{o: o, self: o.Self, watch: watch{rows: map[string]observation{}}}
}

// heartbeat is the content of a renewal row.
type heartbeat struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"` // of the member list that the holder knows
}

// Self returns the own member; its ID changes with each session.
func (r *Registry) Self() control.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Members returns the last known member list.
func (r *Registry) Members() control.Members { return r.List().Members() }

// List returns the last known member list with its details.
func (r *Registry) List() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// Session returns the condition that holds while the session is not fenced.
func (r *Registry) Session() backing.Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.condition()
}

func (r *Registry) condition() backing.Condition {
	if r.sessionVersion == 0 {
		// No session row has this version, so the condition never holds.
		return backing.Condition{Key: sessionBase + r.self.ID, Version: ^uint64(0)}
	}
	return backing.Condition{Key: sessionBase + r.self.ID, Version: r.sessionVersion}
}

// Valid returns nil while the session may be used, by the own clock.
func (r *Registry) Valid() error {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.sessionVersion == 0:
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "this entry has no session", RetryAfter: RenewEvery}
	case !r.leased || now.Sub(r.lease) >= UsableTTL:
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "the session of this entry was not renewed in time", RetryAfter: RenewEvery}
	}
	return nil
}

// MayCoordinate reports whether this member may coordinate changes.
func (r *Registry) MayCoordinate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.list.Find(r.self.ID)
	return ok && e.SettledAt > 0 && r.sessionVersion > 0
}

// Extend counts the lease as renewed at a time of the own clock. An outage
// agreement calls it: nobody can fence a session within its lease then.
func (r *Registry) Extend(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessionVersion > 0 && (!r.leased || at.After(r.lease)) {
		r.lease, r.leased = at, true
	}
}

// Outage forgets what was observed of other sessions. It is called when a read
// of the store fails: the others may have extended their leases by agreement
// since then, so the TTL starts again.
func (r *Registry) Outage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.reset()
}

// hintTTL is the time for which a member is believed to reach the store. Members
// pass hints on with their age, so a wrong one would go round without it.
const hintTTL = TTL / 2

// hint names a member that reached the store at a time of the own clock.
type hint struct {
	id string
	at time.Time
}

// Via returns a member that reached the store lately and how long ago, "" if none
// is known.
func (r *Registry) Via() (id string, age time.Duration) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	age = now.Sub(r.via.at)
	if r.via.id == "" || age >= hintTTL {
		return "", 0
	}
	return r.via.id, age
}

// RenewVia names a member that reached the store at a time of the own clock. It
// is asked first for renewals while the own path is down.
func (r *Registry) RenewVia(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != r.self.ID && (r.via.id == "" || at.After(r.via.at)) {
		r.via = hint{id: id, at: at}
	}
}

// notVia notes that a member did not reach the store when it was asked.
func (r *Registry) notVia(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via.id == id {
		r.via = hint{}
	}
}

// Install takes a newer member list that a peer has read from the store.
func (r *Registry) Install(list List) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if list.Version <= r.list.Version {
		return
	}
	r.list = list
	e, ok := list.Find(r.self.ID)
	if ok && e.SettledAt > 0 && r.settled.IsZero() {
		r.settled = now
	}
}

// Join starts a session under a new id and enters the member list.
func (r *Registry) Join(ctx context.Context) error {
	r.begin()
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
		if err := r.enter(ctx, list); err != nil && !retryable(err) {
			return err
		}
	}
	return fmt.Errorf("join: %w after %d attempts", backing.ErrConflict, joinAttempts)
}

// begin takes a new id unless an earlier Join of it has not been completed.
func (r *Registry) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, listed := r.list.Find(r.self.ID)
	if r.sessionVersion > 0 && !listed {
		return
	}
	r.self.ID = r.o.NewID()
	r.sessionVersion, r.leased, r.renewed, r.sequence = 0, false, time.Time{}, 0
	r.settled = time.Time{}
	r.watch.reset()
}

// createSession writes the session row; a lost answer is read back.
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
	key := sessionBase + self.ID
	sent := r.o.Clock.Now()
	versions, err := r.commit(ctx, backing.Txn{
		ID:         "join/" + self.ID,
		Conditions: []backing.Condition{{Key: key}},
		Writes:     []backing.Write{{Key: key, Value: value}, {Key: heartbeatKey + self.ID, Value: beat}},
	})
	if errors.Is(err, backing.ErrUnknown) || errors.Is(err, backing.ErrConflict) {
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
	r.lease, r.leased, r.renewed = sent, true, sent
	return nil
}

// enter adds all sessions that the list does not name, so that of many entries
// that join at once one commit serves all.
func (r *Registry) enter(ctx context.Context, list List) error {
	rows, err := r.rangeAll(ctx, sessionBase)
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
	return r.store(ctx, "enter/"+r.Self().ID, list, list.with(added), conditions, nil)
}

// store replaces the list and installs it.
func (r *Registry) store(ctx context.Context, id string, list, next List, conditions []backing.Condition, writes []backing.Write) error {
	own, err := next.writes()
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
	r.Install(next)
	return nil
}

// Refresh reads the member list from the store.
func (r *Registry) Refresh(ctx context.Context) (List, error) {
	row, err := r.get(ctx, listKey)
	if err != nil {
		return List{}, fmt.Errorf("read member list: %w", err)
	}
	list, err := decodeList(row)
	if err != nil {
		return List{}, err
	}
	r.Install(list)
	return list, nil
}

// Known returns the list version that each member had when it last renewed.
func (r *Registry) Known(ctx context.Context) (map[string]uint64, error) {
	rows, err := r.rangeAll(ctx, heartbeatKey)
	if err != nil {
		return nil, fmt.Errorf("read heartbeats: %w", err)
	}
	return listVersions(rows)
}

// Leave ends the session in one transaction with the removal from the list.
func (r *Registry) Leave(ctx context.Context) error {
	self := r.Self()
	for range joinAttempts {
		row, err := r.get(ctx, sessionBase+self.ID)
		if err != nil {
			return fmt.Errorf("leave: %w", err)
		}
		if row.Version == 0 {
			r.drop()
			return nil
		}
		list, err := r.Refresh(ctx)
		if err != nil {
			return err
		}
		err = r.remove(ctx, list, []string{self.ID}, []backing.Condition{{Key: row.Key, Version: row.Version}}, nil)
		if err != nil && !retryable(err) {
			return fmt.Errorf("leave: %w", err)
		}
	}
	return fmt.Errorf("leave: %w after %d attempts", backing.ErrConflict, joinAttempts)
}

// remove deletes sessions and takes them from the list. fenced holds the list
// versions that the members knew; it is nil for members that leave.
func (r *Registry) remove(ctx context.Context, list List, ids []string, conditions []backing.Condition, fenced map[string]uint64) error {
	gone := map[string]bool{}
	var writes []backing.Write
	for _, id := range ids {
		gone[id] = true
		writes = append(writes, backing.Write{Key: sessionBase + id, Delete: true}, backing.Write{Key: heartbeatKey + id, Delete: true})
	}
	return r.store(ctx, "remove/"+r.Self().ID, list, list.without(gone, fenced != nil, fenced), conditions, writes)
}

// drop forgets the session.
func (r *Registry) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessionVersion, r.leased = 0, false
}

func retryable(err error) bool {
	return errors.Is(err, backing.ErrConflict) || errors.Is(err, backing.ErrUnknown)
}

func (r *Registry) get(ctx context.Context, key string) (backing.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.o.Table.Get(ctx, key)
}

func (r *Registry) commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := r.o.Table.Commit(ctx, txn)
	return versions, CommitError(err)
}

// CommitError returns the error of a commit, where the end of a context counts as
// backing.ErrUnknown: the table may have got the transaction.
func CommitError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return fmt.Errorf("%w: %w", backing.ErrUnknown, err)
	}
	return err
}

// rangeAll reads all rows with a prefix.
func (r *Registry) rangeAll(ctx context.Context, prefix string) ([]backing.Row, error) {
	const page = 500
	var all []backing.Row
	after := ""
	for {
		rows, err := r.rangePage(ctx, prefix, after, page)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < page {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (r *Registry) rangePage(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.o.Table.Range(ctx, prefix, after, limit)
}
