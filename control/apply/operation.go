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

// Operation is a committed change on its way to acceptance.
type Operation struct {
	c       *Coordinator
	change  config.Change
	started time.Time
	session backing.Condition
	end     func() // ends the mark that prevents outage agreements

	mu        sync.Mutex
	revision  fleet.Revision
	list      member.List
	known     time.Time // when the change was known here to be committed
	spread    bool      // the first round has been sent
	confirmed map[string]bool
	accepted  bool
	took      time.Duration

	remote *remote // set if another member coordinates
}

// committed takes up a change that has been committed and installed here.
func (o *Operation) committed(revision fleet.Revision, list member.List) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revision, o.list = revision, list
	o.known = o.c.o.Clock.Now()
	o.confirmed[o.c.o.Members.Self().ID] = true
}

// Close ends the work on the operation here. A change that is not accepted yet
// stays committed; a later Begin with its id takes it up.
func (o *Operation) Close() {
	if o.end != nil {
		o.end()
	}
}

// Step sends notices to the members that have not confirmed the change and
// reports where it stands. It is called every StepEvery until Accepted is set.
func (o *Operation) Step(ctx context.Context) (Result, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.remote != nil {
		return o.stepRemote(ctx)
	}
	if o.accepted {
		return o.result(), nil
	}
	o.notify(ctx)
	if !o.settled(ctx) {
		return o.result(), nil
	}
	// The last check is against a pause of this process: once its session may
	// have been fenced, the others could agree without it.
	if o.c.o.Members.Valid() != nil || o.c.o.Members.Session() != o.session {
		return o.result(), nil
	}
	o.accepted = true
	o.took = o.c.o.Clock.Now().Sub(o.started)
	o.end()
	if o.revision%view.SnapshotEvery == 0 {
		// A missing snapshot only makes a newcomer read more changes.
		_ = o.c.o.View.SaveSnapshot(ctx)
	}
	return o.result(), nil
}

func (o *Operation) notify(ctx context.Context) {
	for _, direct := range []bool{false, true} {
		if direct == o.spread && len(o.waiting()) > 0 {
			for _, id := range o.c.o.View.Spread(ctx, o.revision, o.list, o.confirmed, direct) {
				o.confirmed[id] = true
			}
		}
	}
	o.spread = true
}

// settled reports whether every member has confirmed the change or can have no
// evidence from before it.
func (o *Operation) settled(ctx context.Context) bool {
	silent := len(o.waiting()) > 0
	if silent && o.c.o.Clock.Now().Sub(o.known) < view.TTL {
		return false
	}
	if !silent && len(o.list.Fenced) == 0 {
		return true
	}
	list := o.list
	if newer, err := o.c.o.Members.Refresh(ctx); err == nil {
		list = newer // sessions may have been fenced meanwhile
	}
	// Without the heartbeats the silent members are taken to know only the list
	// version that brought them.
	known, _ := o.c.o.Members.Known(ctx)
	return !list.Outvoted(o.confirmed, known)
}

// waiting returns those that have not confirmed: members, and entries with an
// answer for an outage agreement that may still count.
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

func (o *Operation) result() Result {
	took := o.took
	if !o.accepted {
		took = o.c.o.Clock.Now().Sub(o.started)
	}
	return Result{Revision: o.revision, Accepted: o.accepted, Took: took, Waiting: o.waiting()}
}
