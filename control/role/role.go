// Package role gives a controller role to one entry session at a time.
//
// The row role/<name> names the holder. Every action of the role commits with
// the version of that row as a condition, and taking the role writes the row.
// A holder that was paused and has lost the role can therefore write nothing.
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

// Prefix of the rows of all roles.
const Prefix = "role/"

// ErrNotHeld means that the own session does not hold the role.
var ErrNotHeld = errors.New("role is not held by this session")

// Options configures a role.
type Options struct {
	Name       string
	Table      backing.Table
	Membership control.Membership
}

// Role is one entry's handle of a controller role. Its methods may be called
// from several goroutines.
type Role struct {
	options Options
	ticking sync.Mutex // one Tick at a time
	mu      sync.Mutex
	version uint64 // of the role row while the role is held, otherwise 0
	epoch   uint64
	unsure  bool // a commit may have changed who holds the role
}

// holder is the value of a role row.
type holder struct {
	Session string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	// Members is a version of the member list that contains the holder. Only a
	// list of at least this version can prove that the holder was fenced.
	Members uint64 `cbor:"3,keyasint"`
}

// New returns a role that is not held.
func New(o Options) *Role { return &Role{options: o} }

// Tick takes the role if it is free or its holder was fenced, and notices its
// loss. Only the holder and the first candidate by rendezvous hashing read the
// row, so the load does not grow with the number of entries. It returns the
// refusal of an invalid session and the errors of the table.
func (r *Role) Tick(ctx context.Context) error {
	r.ticking.Lock()
	defer r.ticking.Unlock()
	if err := r.options.Membership.Valid(); err != nil {
		return err
	}
	members := r.options.Membership.Members()
	if !r.concerned(members) {
		return nil
	}
	row, current, err := r.read(ctx)
	if err != nil {
		return err
	}
	if current.Session == r.self() && row.Version != 0 {
		r.set(row.Version, current.Epoch)
		return nil
	}
	r.set(0, 0)
	if !contains(members, r.self()) || !free(current, members) {
		return nil
	}
	next := holder{Session: r.self(), Epoch: current.Epoch + 1, Members: members.Version}
	return r.take(ctx, row, next)
}

// Conditions returns what every transaction of the role must require. It
// returns ErrNotHeld, or the refusal of an invalid session.
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

// Held returns nil while the role may be used. Calls that no transaction
// protects are made directly after it.
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

// Release gives the role up before a planned stop, so that the next holder
// need not wait for the session to be fenced. It returns errors of the table.
func (r *Role) Release(ctx context.Context) error {
	conditions, err := r.Conditions()
	if err != nil {
		return err
	}
	value, err := cbor.Marshal(holder{Epoch: r.Epoch()})
	if err != nil {
		return fmt.Errorf("encode role %q: %w", r.options.Name, err)
	}
	r.doubt()
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
		r.set(versions[0], next.Epoch)
	case errors.Is(err, backing.ErrConflict):
		return nil // another entry was faster
	case errors.Is(err, backing.ErrUnknown):
		r.doubt()
		return r.readBack(ctx)
	}
	return err
}

// readBack finds out after a lost answer whether the role was taken.
func (r *Role) readBack(ctx context.Context) error {
	row, current, err := r.read(ctx)
	if err == nil && row.Version != 0 && current.Session == r.self() {
		r.set(row.Version, current.Epoch)
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

// concerned reports whether this entry holds the role, may hold it after a lost
// answer, or is the one that takes it over. A candidate that cannot act is fenced itself, and the next follows.
func (r *Role) concerned(members control.Members) bool {
	r.mu.Lock()
	known := r.epoch != 0 || r.unsure
	r.mu.Unlock()
	if known {
		return true
	}
	ids := make([]string, len(members.List))
	for i, m := range members.List {
		ids[i] = m.ID
	}
	return sharding.Owner(r.key(), ids) == r.self()
}

func (r *Role) set(version, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.epoch, r.unsure = version, epoch, false
}

func (r *Role) doubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.epoch, r.unsure = 0, 0, true
}

func (r *Role) self() string { return r.options.Membership.Self().ID }
func (r *Role) key() string  { return Prefix + r.options.Name }

// free reports whether nobody holds the role. A member list older than the one
// that the holder was in says nothing about the holder.
func free(current holder, members control.Members) bool {
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
