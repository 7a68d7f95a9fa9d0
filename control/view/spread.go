package view

import (
	"context"
	"sync"

	"amaranthfork.example/config"
	"amaranthfork.example/control/member"
	"amaranthfork.example/fleet"
)

// changeNotice announces a committed change to a peer.
type changeNotice struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Change   *config.Change `cbor:"2,keyasint,omitempty"` // nil if the sender no longer holds it
	// Forward asks the receiver to send the notice to the other members of its
	// data centre and to return their confirmations with its own.
	Forward bool `cbor:"3,keyasint,omitempty"`
}

// changeAck lists the ids of the members that have the revision.
type changeAck struct {
	Confirmed []string `cbor:"1,keyasint"`
}

// handleChange installs a change. If earlier changes are missing here, it fetches
// them from the sender.
func (v *View) handleChange(ctx context.Context, from string, req changeNotice) (changeAck, error) {
	if req.Change != nil {
		if _, err := v.apply(req.Revision, *req.Change); err != nil {
			return changeAck{}, err
		}
	}
	if v.Revision() < req.Revision {
		if err := v.pull(ctx, from); err != nil {
			return changeAck{}, err
		}
	}
	var ack changeAck
	if v.Revision() >= req.Revision {
		ack.Confirmed = append(ack.Confirmed, v.options.Members.Self().ID)
	}
	if req.Forward {
		links := member.Links(v.options.Members.Self(), v.options.Members.List().Members().List)
		ack.Confirmed = append(ack.Confirmed, v.notify(ctx, req.Revision, links.Local, false)...)
	}
	return ack, nil
}

// Spread sends the members of a list a notice of a revision that this view has,
// and returns the ids of those that confirmed it. Without direct, the notice
// goes to the members of this entry's data centre and to one relay in each
// other data centre, which forwards it there. With direct set, it goes to each
// member that is not in confirmed.
func (v *View) Spread(ctx context.Context, revision fleet.Revision, list member.List, confirmed map[string]bool, direct bool) []string {
	self := v.options.Members.Self()
	if direct {
		var missing []string
		for _, id := range otherIDs(list, self.ID) {
			if !confirmed[id] {
				missing = append(missing, id)
			}
		}
		return v.notify(ctx, revision, missing, false)
	}
	links := member.Links(self, list.Members().List)
	var mu sync.Mutex
	var newlyConfirmed []string
	forEachConcurrently([]string{"local", "relays"}, func(group string) {
		var ids []string
		if group == "local" {
			ids = v.notify(ctx, revision, links.Local, false)
		} else {
			ids = v.notify(ctx, revision, links.Relays, true)
		}
		mu.Lock()
		defer mu.Unlock()
		newlyConfirmed = append(newlyConfirmed, ids...)
	})
	return newlyConfirmed
}

// notify sends a notice of a revision to members and returns the ids of those
// that confirmed it.
func (v *View) notify(ctx context.Context, revision fleet.Revision, members []string, forward bool) []string {
	notice := changeNotice{Revision: revision, Change: v.recentChange(revision), Forward: forward}
	var mu sync.Mutex
	var confirmed []string
	forEachConcurrently(members, func(id string) {
		timeout := callTimeout
		if forward {
			timeout *= 2 // the relay in turn waits for the members of its data centre
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var ack changeAck
		if err := v.options.Caller.Call(ctx, id, methodChange, notice, &ack); err != nil {
			return // the member counts as not having confirmed
		}
		mu.Lock()
		defer mu.Unlock()
		confirmed = append(confirmed, ack.Confirmed...)
	})
	return confirmed
}

// recentChange returns the change that created a revision, or nil if the view
// no longer holds it.
func (v *View) recentChange(revision fleet.Revision) *config.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.changes {
		if v.changes[i].Revision == revision {
			return &v.changes[i].Change
		}
	}
	return nil
}
