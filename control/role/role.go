// Package role assigns a controller role to one entry session at a time.
//
// The table row role/<name> contains the holder. Every transaction of the role
// has the version of that row as a condition, and taking the role writes the
// row. Therefore a holder that lost the role while it was paused cannot commit.
package role

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/policy/sharding"
)

// Prefix is the key prefix of the rows of all roles.
const Prefix = "role/"

// ErrNotHeld means that this session does not hold the role.
var ErrNotHeld = errors.New("role is not held by this session")

// Options configures a role.
type Options struct {
	Name       string // the key of the role's row is Prefix and Name
	Table      backing.Table
	Membership control.Membership
}

// Role is an entry's handle for a controller role. Its methods are safe for
// concurrent use.
type Role struct {
	options     Options
	tickMu      sync.Mutex // held during Tick
	mu          sync.Mutex
	version     uint64 // of the role row while the role is held, otherwise 0
	epoch       uint64
	unconfirmed bool // a commit without an answer may have changed the holder
}

// holder is the value of a role row.
type holder struct {
	Session string `cbor:"1,keyasint"` // member id, "" after a release
	Epoch   uint64 `cbor:"2,keyasint"` // rises with each holder
	// Members is a version of the member list that contains the holder. Only
	// lists of this version or later show whether the holder was fenced.
	Members uint64 `cbor:"3,keyasint"`
}

// New returns a handle that does not hold the role.
func New(o Options) *Role { return &Role{options: o} }

// Tick takes the role if it is free or its holder was fenced, and detects its
// loss. Only the holder and the first candidate by rendezvous hashing read the
// row, so that the load on the table does not grow with the number of entries.
// Tick returns the refusal of an invalid session and errors of the table.
func (r *Role) Tick(ctx context.Context) error {
	r.tickMu.Lock()
	defer r.tickMu.Unlock()
	if err := r.options.Membership.Valid(); err != nil {
		return err
	}
	members := r.options.Membership.Members()
	if !r.mustRead(members) {
		return nil
	}
	row, current, err := r.read(ctx)
	if err != nil {
		return err
	}
	if current.Session == r.self() && row.Version != 0 {
		r.setHeld(row.Version, current.Epoch)
		return nil
	}
	r.setHeld(0, 0)
	if !contains(members, r.self()) || !isFree(current, members) {
		return nil
	}
	next := holder{Session: r.self(), Epoch: current.Epoch + 1, Members: members.Version}
	return r.take(ctx, row, next)
}

// Conditions returns the conditions that every transaction of the role must
// have. Its error is ErrNotHeld, wrapped, or the refusal of an invalid session.
func (r *Role) Conditions() ([]backing.Condition, error) {
	if err := r.options.Membership.Valid(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotHeld, r.options.Name)
	}
	return []backing.Condition{{Key: r.key(), Version: r.version}}, nil
}

// Held returns nil while this session holds the role, and otherwise the error of
// Conditions. Callers check it directly before side effects that no transaction
// protects.
func (r *Role) Held() error {
	_, err := r.Conditions()
	return err
}

// Epoch returns the epoch of the held role, 0 when it is not held.
func (r *Role) Epoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// Release gives up the role before a planned stop, so that the next holder need
// not wait for the session to be fenced. It returns the error of Conditions or
// an error of the table.
func (r *Role) Release(ctx context.Context) error {
	conditions, err := r.Conditions()
	if err != nil {
		return err
	}
	value, err := cbor.Marshal(holder{Epoch: r.Epoch()})
	if err != nil {
		return fmt.Errorf("encode role %q: %w", r.options.Name, err)
	}
	r.markUnconfirmed()
	_, err = r.commit(ctx, conditions, value)
	return err
}

func (r *Role) take(ctx context.Context, row backing.Row, next holder) error {
	value, err := cbor.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode role %q: %w", r.options.Name, err)
	}
	conditions := []backing.Condition{
		{Key: r.key(), Version: row.Version},
		r.options.Membership.Session(),
	}
	versions, err := r.commit(ctx, conditions, value)
	switch {
	case err == nil:
		r.setHeld(versions[0], next.Epoch)
	case errors.Is(err, backing.ErrConflict):
		return nil // another entry took the role, or this session was fenced
	case errors.Is(err, backing.ErrUnconfirmed):
		r.markUnconfirmed()
		return r.readBack(ctx)
	}
	return err
}

// readBack reads after an unconfirmed commit whether the role was taken.
func (r *Role) readBack(ctx context.Context) error {
	row, current, err := r.read(ctx)
	if err == nil && row.Version != 0 && current.Session == r.self() {
		r.setHeld(row.Version, current.Epoch)
	}
	return err
}

func (r *Role) commit(ctx context.Context, conditions []backing.Condition, value []byte) ([]uint64, error) {
	return r.options.Table.Commit(ctx, backing.Txn{
		ID:         uuid.NewString(),
		Conditions: conditions,
		Writes:     []backing.Write{{Key: r.key(), Value: value}},
	})
}

func (r *Role) read(ctx context.Context) (backing.Row, holder, error) {
	row, err := r.options.Table.Get(ctx, r.key())
	if err != nil {
		return row, holder{}, fmt.Errorf("read role %q: %w", r.options.Name, err)
	}
	var current holder
	if row.Version == 0 {
		return row, current, nil
	}
	if err := cbor.Unmarshal(row.Value, &current); err != nil {
		return row, current, fmt.Errorf("decode role %q: %w", r.options.Name, err)
	}
	return row, current, nil
}

// mustRead reports whether this entry holds the role, may hold it after a lost
// answer, or is the first candidate to take it over. A candidate that cannot act
// is itself fenced, and the next entry becomes the first candidate.
func (r *Role) mustRead(members control.Members) bool {
	r.mu.Lock()
	mayHold := r.epoch != 0 || r.unconfirmed
	r.mu.Unlock()
	if mayHold {
		return true
	}
	ids := make([]string, len(members.List))
	for i, m := range members.List {
		ids[i] = m.ID
	}
	return sharding.Owner(r.key(), ids) == r.self()
}

// setHeld records the version of the role row and the epoch while the role is
// held, zeros when it is not.
func (r *Role) setHeld(version, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.epoch, r.unconfirmed = version, epoch, false
}

// markUnconfirmed records that the role may or may not be held, until the row is
// read again. Until then it counts as not held.
func (r *Role) markUnconfirmed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.epoch, r.unconfirmed = 0, 0, true
}

func (r *Role) self() string { return r.options.Membership.Self().ID }
func (r *Role) key() string  { return Prefix + r.options.Name }

// isFree reports whether no session holds the role. A member list older than
// holder.Members does not show whether the holder was fenced.
func isFree(current holder, members control.Members) bool {
	if current.Session == "" {
		return true
	}
	return members.Version >= current.Members && !contains(members, current.Session)
}

func contains(members control.Members, id string) bool {
	for _, m := range members.List {
		if m.ID == id {
			return true
		}
	}
	return false
}
