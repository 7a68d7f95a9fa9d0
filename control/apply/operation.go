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
	coordinator     *Coordinator
	change          config.Change
	started         time.Time
	session         backing.Condition
	endCoordinating func() // ends View.MarkCoordinating; nil for a remote operation

	mu               sync.Mutex
	revision         fleet.Revision
	list             member.List     // member list at the commit
	knownCommittedAt time.Time       // when this entry learned that the change is committed
	firstRoundSent   bool            // the first round of notices has been sent
	confirmed        map[string]bool // members that have confirmed the change, by id
	accepted         bool
	took             time.Duration // from begin to acceptance

	remote *remoteOperation // set if another member coordinates
}

// setCommitted records that the change has been committed as a revision, which
// this entry has installed, and that the members of list must confirm it.
func (op *Operation) setCommitted(revision fleet.Revision, list member.List) {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.revision, op.list = revision, list
	op.knownCommittedAt = op.coordinator.options.Clock.Now()
	op.confirmed[op.coordinator.options.Members.Self().ID] = true
}

// Close ends the operation on this entry. A change that is not accepted yet stays
// committed; a later Begin with the same change id continues it.
func (op *Operation) Close() {
	if op.endCoordinating != nil {
		op.endCoordinating()
	}
}

// Step sends a notice to the members that have not confirmed the change and
// returns the state of the change. The caller runs it every StepInterval until
// Accepted is set in the result.
func (op *Operation) Step(ctx context.Context) (Result, error) {
	op.mu.Lock()
	defer op.mu.Unlock()
	if op.remote != nil {
		return op.stepRemote(ctx)
	}
	if op.accepted {
		return op.result(), nil
	}
	op.sendNotices(ctx)
	if !op.mayAccept(ctx) {
		return op.result(), nil
	}
	// This must be the last check. If this process was paused, its session may
	// have been fenced, and then the other members can conclude an outage
	// agreement without it.
	if op.coordinator.options.Members.Valid() != nil || op.coordinator.options.Members.Session() != op.session {
		return op.result(), nil
	}
	op.accepted = true
	op.took = op.coordinator.options.Clock.Now().Sub(op.started)
	op.endCoordinating()
	if op.revision%view.RevisionsPerSnapshot == 0 {
		// Without the snapshot, a new entry only has to read more changes.
		_ = op.coordinator.options.View.SaveSnapshot(ctx)
	}
	return op.result(), nil
}

// sendNotices sends one round of notices: the first along the links, later ones
// directly to each member that has not confirmed the change.
func (op *Operation) sendNotices(ctx context.Context) {
	for _, direct := range []bool{false, true} {
		if direct == op.firstRoundSent && len(op.waiting()) > 0 {
			for _, id := range op.coordinator.options.View.Spread(ctx, op.revision, op.list, op.confirmed, direct) {
				op.confirmed[id] = true
			}
		}
	}
	op.firstRoundSent = true
}

// mayAccept reports whether the change can be accepted: every member has
// confirmed it or can have no evidence from before it any more, and the members
// that have not confirmed it cannot conclude an outage agreement on a lower
// revision.
func (op *Operation) mayAccept(ctx context.Context) bool {
	silent := len(op.waiting()) > 0
	if silent && op.coordinator.options.Clock.Now().Sub(op.knownCommittedAt) < view.TTL {
		return false
	}
	if !silent && len(op.list.Fenced) == 0 {
		return true
	}
	list := op.list
	if newer, err := op.coordinator.options.Members.Refresh(ctx); err == nil {
		list = newer // sessions may have been fenced since the commit
	}
	// If the heartbeats cannot be read, the silent members count as knowing only
	// the list version with which they joined.
	known, _ := op.coordinator.options.Members.KnownVersions(ctx)
	return !list.SilentCanAgree(op.confirmed, known)
}

// waiting returns the ids of the members that have not confirmed the change,
// and of former members that may still hold evidence because this entry agreed
// to their outage agreement.
func (op *Operation) waiting() []string {
	var waiting []string
	for _, e := range op.list.Entries {
		if !op.confirmed[e.Member.ID] {
			waiting = append(waiting, e.Member.ID)
		}
	}
	for id := range op.coordinator.options.View.Granted() {
		if _, listed := op.list.Find(id); !listed && !op.confirmed[id] {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	return waiting
}

// result returns the present state of the change.
func (op *Operation) result() Result {
	took := op.took
	if !op.accepted {
		took = op.coordinator.options.Clock.Now().Sub(op.started)
	}
	return Result{Revision: op.revision, Accepted: op.accepted, Took: took, Waiting: op.waiting()}
}
