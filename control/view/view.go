// Package view keeps an entry's copy of the accepted configuration up to date
// and decides whether that copy, the view, is current.
//
// The view is current while the entry holds evidence, younger than UsableTTL,
// that no revision above its own had been accepted. Evidence comes from the
// table service (the store), from peers, or from an outage agreement: all members
// have confirmed to one of them that they have the same revision and member list,
// cannot reach the store and coordinate no change.
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

// Durations that concern evidence.
const (
	// TTL is how long the coordinator of a change waits for an entry that does not
	// confirm the change. After that, the entry's evidence has expired.
	TTL = 2500 * time.Millisecond
	// maxClockDrift is the largest difference between the clocks of two
	// entries that may build up over one TTL: 1%.
	maxClockDrift = TTL / 100
	// safetyMargin covers the time between a check of the evidence and the action
	// that relies on it.
	safetyMargin = 200 * time.Millisecond
	// UsableTTL is the age, by the entry's own clock, at which evidence expires.
	UsableTTL = TTL - maxClockDrift - safetyMargin
	// TickInterval is the interval at which Tick is called.
	TickInterval = 500 * time.Millisecond
	// callTimeout bounds each call to the platform or to a peer.
	callTimeout = 400 * time.Millisecond
	// An entry does not start an outage agreement if, after it has asked its
	// peers, its evidence is younger than maxRelayedAge. The first member of each
	// data centre, by id, uses the shorter maxRelayedAgeFirst: it renews its
	// evidence earlier, and the others receive it from there.
	maxRelayedAge      = 1200 * time.Millisecond
	maxRelayedAgeFirst = 600 * time.Millisecond
)

// Builder builds the configuration from the files of its folder.
type Builder interface {
	// Build returns an error that lists all findings if the folder is invalid.
	Build(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error)
}

// BuilderFunc is an adapter that makes a function a Builder.
type BuilderFunc func(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error)

// Build calls f.
func (f BuilderFunc) Build(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error) {
	return f(folder, revision)
}

// Members is the part of the membership that the view uses. Times are on the
// entry's own clock.
type Members interface {
	control.Membership
	// List returns the last known member list.
	List() member.List
	// InstallList replaces the member list by a newer one from a peer.
	InstallList(list member.List)
	// ExtendLease counts this entry's session as renewed at a time, after an
	// outage agreement.
	ExtendLease(at time.Time)
	// ResetObservations discards what was observed of other sessions. It is called
	// when the store cannot be read: the others may renew by outage agreement,
	// which leaves no trace in the store.
	ResetObservations()
	// RenewalPeer returns a member that reached the store recently and how long
	// ago, or "" if none is known.
	RenewalPeer() (id string, age time.Duration)
	// SetRenewalPeer records that a member reached the store at a time, so that
	// this entry's session can be renewed through it.
	SetRenewalPeer(id string, at time.Time)
}

// Options are the dependencies of a View.
type Options struct {
	Members Members
	Table   backing.Table
	Objects backing.Objects
	VMs     backing.VMList // optional; without it, a silent member prevents outage agreements
	Caller  rpc.Caller
	Clock   fleet.Clock
	Builder Builder
}

// View implements control.View. Its methods are safe for concurrent use.
type View struct {
	options Options

	mu                sync.Mutex
	folder            config.Folder
	snapshot          *config.Snapshot
	revision          fleet.Revision
	changes           []appliedChange      // the newest consecutive changes, up to revision; served to peers
	evidenceAt        time.Time            // no revision above revision had been accepted at this time
	hasEvidence       bool                 // evidenceAt is set
	agreedAt          time.Time            // start of the latest outage agreement that this entry knows of
	agreedListVersion uint64               // member list version of that agreement, 0 before the first
	storeDown         bool                 // the last read of the store failed
	outageStart       time.Time            // start of the latest outage
	coordinating      int                  // changes that this entry coordinates now
	grantedAt         map[string]time.Time // by member: when this entry last agreed to its outage agreement
	goodbyes          map[string]Goodbye   // by member that has stopped as planned
	observedVMs       vmObservations

	loadMu sync.Mutex // serializes loads from the store and from peers
}

// appliedChange is a change with the revision that it created.
type appliedChange struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Change   config.Change  `cbor:"2,keyasint"`
}

var _ control.View = (*View)(nil)

// New returns a View that has no snapshot yet.
func New(o Options) *View {
	return &View{options: o, grantedAt: map[string]time.Time{}, goodbyes: map[string]Goodbye{}}
}

// Snapshot returns the newest known configuration, or nil if there is none yet.
func (v *View) Snapshot() *config.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot
}

// Revision returns the revision of the snapshot, or 0 if there is none yet.
func (v *View) Revision() fleet.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Folder returns the files and the revision of the snapshot. The caller must not
// modify the files.
func (v *View) Folder() (config.Folder, fleet.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.folder, v.revision
}

// StoreReachable reports whether the last read of the store succeeded and the
// view has had evidence.
func (v *View) StoreReachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasEvidence && !v.storeDown
}

// Fresh returns nil while there is evidence that the snapshot is current, and a
// *fleet.Refusal with ReasonStaleView otherwise.
func (v *View) Fresh() error {
	now := v.options.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.snapshot == nil:
		return staleRefusal("this entry has no configuration yet")
	case !v.hasEvidence || now.Sub(v.evidenceAt) >= UsableTTL:
		return staleRefusal("this entry cannot prove that its configuration is current")
	}
	return nil
}

func staleRefusal(detail string) error {
	return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: detail, RetryAfter: TickInterval}
}

// evidenceAge returns the age of the evidence, and false if there is none or it
// has expired.
func (v *View) evidenceAge() (time.Duration, bool) {
	now := v.options.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.evidenceAgeAt(now)
}

func (v *View) evidenceAgeAt(now time.Time) (time.Duration, bool) {
	age := now.Sub(v.evidenceAt)
	return age, v.hasEvidence && age < UsableTTL
}

// recordEvidence records that no revision above covers had been accepted at a
// time on this entry's clock. It has no effect if the view's revision is below
// covers.
func (v *View) recordEvidence(at time.Time, covers fleet.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.revision < covers {
		return
	}
	if !v.hasEvidence || at.After(v.evidenceAt) {
		v.evidenceAt, v.hasEvidence = at, true
	}
}

// Tick renews the evidence, from the store or else from peers. The caller runs
// it every TickInterval. An error says why the evidence was not renewed; the
// next call tries again.
func (v *View) Tick(ctx context.Context) error {
	_, err := v.ReadHead(ctx)
	if err == nil {
		return nil
	}
	v.options.Members.ResetObservations()
	v.readGoneVMs(ctx)
	return v.seekPeerEvidence(ctx)
}

// MarkCoordinating marks this entry as coordinating a change until the returned
// function is called. Until then it agrees to no outage agreement.
func (v *View) MarkCoordinating() (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.coordinating++
	return sync.OnceFunc(func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.coordinating--
	})
}

// Granted returns the members whose outage agreement this entry agreed to within
// the last TTL, and when. Their evidence may last for one TTL after that time.
func (v *View) Granted() map[string]time.Time {
	now := v.options.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	granted := map[string]time.Time{}
	for id, at := range v.grantedAt {
		if now.Sub(at) >= TTL {
			delete(v.grantedAt, id)
			continue
		}
		granted[id] = at
	}
	return granted
}

// Install applies a committed change that created revision. It returns an error
// if the change does not follow the revision of the view.
func (v *View) Install(revision fleet.Revision, change config.Change) error {
	ok, err := v.apply(revision, change)
	if err == nil && !ok {
		return fmt.Errorf("install revision %d: the view is at revision %d", revision, v.Revision())
	}
	return err
}

// apply installs a change on top of the view's revision. It returns true if the
// view then has at least the given revision, and false if the change does not
// follow the view's revision.
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
	snapshot, err := v.options.Builder.Build(next, revision)
	if err != nil {
		return false, fmt.Errorf("build revision %d: %w", revision, err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.revision != own {
		return v.revision >= revision, nil
	}
	v.folder, v.snapshot, v.revision = next, snapshot, revision
	v.changes = append(v.changes, appliedChange{Revision: revision, Change: change})
	if len(v.changes) > RevisionsPerSnapshot {
		v.changes = append([]appliedChange(nil), v.changes[1:]...)
	}
	return true, nil
}

// replaceFolder installs a whole folder. It has no effect if the folder is not
// of a higher revision than the view.
func (v *View) replaceFolder(s storedFolder) error {
	folder := s.folder()
	snapshot, err := v.options.Builder.Build(folder, s.Revision)
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
