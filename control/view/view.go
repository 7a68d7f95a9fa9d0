// Package view decides whether an entry's view of the accepted configuration is
// current, and keeps that view up to date.
//
// The view is current while the entry holds evidence, younger than the TTL, that
// no revision above its own had been accepted. Evidence comes from the store,
// from peers, or from an agreement of all members that none reaches the store.
package view

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/member"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
)

// Times of evidence.
const (
	// TTL is the time for which a coordinator of a change waits for an entry
	// that does not confirm it.
	TTL = 2500 * time.Millisecond
	// clockAllowance is the part of the TTL by which the clocks of two entries
	// may differ over that time.
	clockAllowance = TTL / 100
	// margin covers the time between the check of the evidence and the act that
	// rests on it.
	margin = 200 * time.Millisecond
	// UsableTTL is the age, by the own clock, at which evidence ends.
	UsableTTL = TTL - clockAllowance - margin
	// TickEvery is the time between calls of Tick.
	TickEvery = 500 * time.Millisecond
	// callTimeout bounds each call of the platform or of a peer.
	callTimeout = 400 * time.Millisecond
	// relayAge is the age of relayed evidence that is young enough to save an
	// agreement. The first member of each data centre seeks an agreement
	// earlier, so that the others find its evidence.
	relayAge      = 1200 * time.Millisecond
	relayAgeFirst = 600 * time.Millisecond
)

// Builder builds the configuration from a folder.
type Builder interface {
	// Build returns an error that tells the operator all findings of a faulty
	// folder.
	Build(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error)
}

// BuilderFunc is a function that is a Builder.
type BuilderFunc func(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error)

// Build calls the function.
func (f BuilderFunc) Build(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error) {
	return f(folder, revision)
}

// Members is what the view needs of the membership.
type Members interface {
	control.Membership
	List() member.List
	Install(list member.List)
	Extend(at time.Time)
	Outage()
	Via() (id string, age time.Duration)
	RenewVia(id string, at time.Time)
}

// Options configure a View.
type Options struct {
	Members Members
	Table   backing.Table
	Objects backing.Objects
	VMs     backing.VMList // optional; without it a silent member prevents agreement
	Caller  rpc.Caller
	Clock   fleet.Clock
	Builder Builder
}

// View implements control.View. It is safe for concurrent use.
type View struct {
	o Options

	mu           sync.Mutex
	folder       config.Folder
	snapshot     *config.Snapshot
	revision     fleet.Revision
	changes      []applied // the newest ones, for peers
	evidence     time.Time
	proved       bool      // evidence is set
	agreed       time.Time // start of the last agreement that this entry knows of
	agreedList   uint64    // list version of that agreement, 0 before the first
	storeDown    bool
	outage       time.Time // start of the present outage
	coordinating int
	grants       map[string]time.Time // when an answer for an agreement was given
	goodbyes     map[string]Goodbye
	vms          vmNotes

	loading sync.Mutex // one load at a time
}

// applied is a change and the revision that it made.
type applied struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Change   config.Change  `cbor:"2,keyasint"`
}

var _ control.View = (*View)(nil)

// New returns a view without a snapshot.
func New(o Options) *View {
	return &View{o: o, grants: map[string]time.Time{}, goodbyes: map[string]Goodbye{}}
}

// Snapshot returns the newest known configuration, nil before the first.
func (v *View) Snapshot() *config.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot
}

// Revision returns the revision of the snapshot, 0 before the first.
func (v *View) Revision() fleet.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Folder returns the files and revision of the snapshot. They must not be changed.
func (v *View) Folder() (config.Folder, fleet.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.folder, v.revision
}

// StoreReachable reports whether the last read of the store succeeded.
func (v *View) StoreReachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.proved && !v.storeDown
}

// Fresh returns nil while the snapshot is proved to be current, and a
// *fleet.Refusal otherwise.
func (v *View) Fresh() error {
	now := v.o.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.snapshot == nil:
		return stale("this entry has no configuration yet")
	case !v.proved || now.Sub(v.evidence) >= UsableTTL:
		return stale("this entry cannot prove that its configuration is current")
	}
	return nil
}

func stale(detail string) error {
	return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: detail, RetryAfter: TickEvery}
}

// age returns the age of the evidence, or false if it has ended.
func (v *View) age() (time.Duration, bool) {
	now := v.o.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ageAt(now)
}

func (v *View) ageAt(now time.Time) (time.Duration, bool) {
	age := now.Sub(v.evidence)
	return age, v.proved && age < UsableTTL
}

// prove notes that at a time of the own clock no revision above covers had been
// accepted. The evidence is of use if the own revision is not lower.
func (v *View) prove(at time.Time, covers fleet.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.revision < covers {
		return
	}
	if !v.proved || at.After(v.evidence) {
		v.evidence, v.proved = at, true
	}
}

// Tick seeks evidence. It is called every TickEvery. Errors tell why the
// evidence was not renewed; they pass.
func (v *View) Tick(ctx context.Context) error {
	_, err := v.ReadHead(ctx)
	if err == nil {
		return nil
	}
	v.o.Members.Outage()
	v.noteGone(ctx)
	return v.askPeers(ctx)
}

// Coordinate marks a change as being coordinated here until the returned
// function is called. Meanwhile this entry prevents outage agreements.
func (v *View) Coordinate() (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.coordinating++
	return sync.OnceFunc(func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.coordinating--
	})
}

// Granted returns the members that got an answer for an outage agreement within
// the last TTL. Their evidence may last until TTL after that answer.
func (v *View) Granted() map[string]time.Time {
	now := v.o.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	granted := map[string]time.Time{}
	for id, at := range v.grants {
		if now.Sub(at) >= TTL {
			delete(v.grants, id)
			continue
		}
		granted[id] = at
	}
	return granted
}

// Install installs a committed change on top of the own revision.
func (v *View) Install(revision fleet.Revision, change config.Change) error {
	ok, err := v.apply(revision, change)
	if err == nil && !ok {
		return fmt.Errorf("install revision %d: the view is at revision %d", revision, v.Revision())
	}
	return err
}

// apply installs a change on top of the own revision. It returns false if the
// change does not follow the own revision.
func (v *View) apply(revision fleet.Revision, change config.Change) (bool, error) {
	v.mu.Lock()
	folder, own := v.folder, v.revision
	v.mu.Unlock()
	if own >= revision {
		return true, nil
	}
	if change.Base != own || own+1 != revision {
		return false, nil
	}
	next := Patch(folder, change)
	snapshot, err := v.o.Builder.Build(next, revision)
	if err != nil {
		return false, fmt.Errorf("build revision %d: %w", revision, err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.revision != own {
		return v.revision >= revision, nil
	}
	v.folder, v.snapshot, v.revision = next, snapshot, revision
	v.changes = append(v.changes, applied{Revision: revision, Change: change})
	if len(v.changes) > SnapshotEvery {
		v.changes = append([]applied(nil), v.changes[1:]...)
	}
	return true, nil
}

// replace installs a whole folder of a higher revision.
func (v *View) replace(s stored) error {
	folder := s.folder()
	snapshot, err := v.o.Builder.Build(folder, s.Revision)
	if err != nil {
		return fmt.Errorf("build revision %d: %w", s.Revision, err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Revision <= v.revision {
		return nil
	}
	v.folder, v.snapshot, v.revision = folder, snapshot, s.Revision
	v.changes = nil
	return nil
}
