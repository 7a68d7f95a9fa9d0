package apply

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control/member"
	"amaranthfork.example/control/view"
	"amaranthfork.example/fleet"
)

// Operation is a change that is committed and may not yet be accepted.
type Operation struct {
	c               *Coordinator
	change          config.Change
	started         time.Time
	session         backing.Condition
	endCoordinating func() // ends View.MarkCoordinating; nil for a remote operation

	mu               sync.Mutex
	revision         fleet.Revision
	list             member.List     // at the commit
	knownCommittedAt time.Time       // when this entry learned that the change is committed
	firstRoundSent   bool            // the first round of notices has been sent
	confirmed        map[string]bool // by member id
	accepted         bool
	took             time.Duration // from begin to acceptance

	remote *remoteOperation // set if another member coordinates
}

// setCommitted records that the change has been committed as a revision, which
// this entry has installed, and that the members of list must confirm it.
func (o *Operation) setCommitted(revision fleet.Revision, list member.List) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revision, o.list = revision, list
	o.knownCommittedAt = o.c.o.Clock.Now()
	o.confirmed[o.c.o.Members.Self().ID] = true
}

// Close ends the operation on this entry. A change that is not accepted yet stays
// committed; a later Begin with the same change id continues it.
func (o *Operation) Close() {
	if o.endCoordinating != nil {
		o.endCoordinating()
	}
}

// Step sends a notice to the members that have not confirmed the change and
// returns the state of the change. The caller runs it every StepInterval until
// Accepted is set in the result.
func (o *Operation) Step(ctx context.Context) (Result, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.remote != nil {
		return o.stepRemote(ctx)
	}
	if o.accepted {
		return o.result(), nil
	}
	o.sendNotices(ctx)
	if !o.mayAccept(ctx) {
		return o.result(), nil
	}
	// This must be the last check. If this process was paused, its session may
	// have been fenced, and then the other members can conclude an outage
	// agreement without asking this one.
	if o.c.o.Members.Valid() != nil || o.c.o.Members.Session() != o.session {
		return o.result(), nil
	}
	o.accepted = true
	o.took = o.c.o.Clock.Now().Sub(o.started)
	o.endCoordinating()
	if o.revision%view.RevisionsPerSnapshot == 0 {
		// Without the snapshot a new entry only has more changes to read.
		_ = o.c.o.View.SaveSnapshot(ctx)
	}
	return o.result(), nil
}

// sendNotices sends one round of notices: the first along the links, later ones
// directly to each member that has not confirmed the change.
func (o *Operation) sendNotices(ctx context.Context) {
	for _, direct := range []bool{false, true} {
		if direct == o.firstRoundSent && len(o.waiting()) > 0 {
			for _, id := range o.c.o.View.Spread(ctx, o.revision, o.list, o.confirmed, direct) {
				o.confirmed[id] = true
			}
		}
	}
	o.firstRoundSent = true
}

// mayAccept reports whether the change can be accepted: every member has
// confirmed it or can have no evidence from before it any more, and the members
// that have not confirmed it cannot conclude an outage agreement on a lower
// revision.
func (o *Operation) mayAccept(ctx context.Context) bool {
	silent := len(o.waiting()) > 0
	if silent && o.c.o.Clock.Now().Sub(o.knownCommittedAt) < view.TTL {
		return false
	}
	if !silent && len(o.list.Fenced) == 0 {
		return true
	}
	list := o.list
	if newer, err := o.c.o.Members.Refresh(ctx); err == nil {
		list = newer // sessions may have been fenced since the commit
	}
	// If the heartbeats cannot be read, the silent members count as knowing only
	// the list version with which they joined.
	known, _ := o.c.o.Members.KnownVersions(ctx)
	return !list.SilentCanAgree(o.confirmed, known)
}

// waiting returns the ids of the members that have not confirmed the change,
// and of former members that may still hold evidence because this entry agreed
// to their outage agreement.
func (o *Operation) waiting() []string {
	var waiting []string
	for _, e := range o.list.Entries {
		if !o.confirmed[e.Member.ID] {
			waiting = append(waiting, e.Member.ID)
		}
	}
	for id := range o.c.o.View.Granted() {
		if _, listed := o.list.Find(id); !listed && !o.confirmed[id] {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	return waiting
}

// result returns the present state of the change.
func (o *Operation) result() Result {
	took := o.took
	if !o.accepted {
		took = o.c.o.Clock.Now().Sub(o.started)
	}
	return Result{Revision: o.revision, Accepted: o.accepted, Took: took, Waiting: o.waiting()}
}
