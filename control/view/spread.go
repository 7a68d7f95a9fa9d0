package view

import (
	"context"
	"sync"

	"amaranthfork.example/config"
	"amaranthfork.example/control/member"
	"amaranthfork.example/fleet"
)

// changeNotice tells of an accepted or committed change.
type changeNotice struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Change   *config.Change `cbor:"2,keyasint,omitempty"`
	// Forward asks the receiver to pass the notice on in its data centre.
	Forward bool `cbor:"3,keyasint,omitempty"`
}

// changeAck names the members that have the revision.
type changeAck struct {
	Confirmed []string `cbor:"1,keyasint"`
}

// handleChange installs a change, fetching what lies before it if needed.
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
		ack.Confirmed = append(ack.Confirmed, v.o.Members.Self().ID)
	}
	if req.Forward {
		links := member.Links(v.o.Members.Self(), v.o.Members.List().Members().List)
		ack.Confirmed = append(ack.Confirmed, v.notify(ctx, req.Revision, links.Local, false)...)
	}
	return ack, nil
}

// Spread tells the members of a list about a revision that this view has and
// returns those that confirmed it. The first time it goes along the links, where
// relays pass it on in their data centres; with direct set it goes to each
// member that is not in confirmed.
func (v *View) Spread(ctx context.Context, revision fleet.Revision, list member.List, confirmed map[string]bool, direct bool) []string {
	self := v.o.Members.Self()
	if direct {
		var missing []string
		for _, id := range ids(list, self.ID) {
			if !confirmed[id] {
				missing = append(missing, id)
			}
		}
		return v.notify(ctx, revision, missing, false)
	}
	links := member.Links(self, list.Members().List)
	var mu sync.Mutex
	var all []string
	each([]string{"local", "relays"}, func(part string) {
		var got []string
		if part == "local" {
			got = v.notify(ctx, revision, links.Local, false)
		} else {
			got = v.notify(ctx, revision, links.Relays, true)
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, got...)
	})
	return all
}

// notify sends a notice to members and returns those that have the revision.
func (v *View) notify(ctx context.Context, revision fleet.Revision, members []string, forward bool) []string {
	notice := changeNotice{Revision: revision, Change: v.change(revision), Forward: forward}
	var mu sync.Mutex
	var confirmed []string
	each(members, func(id string) {
		timeout := callTimeout
		if forward {
			timeout *= 2 // the relay waits for the members of its data centre
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var ack changeAck
		if err := v.o.Caller.Call(ctx, id, methodChange, notice, &ack); err != nil {
			return // not confirmed
		}
		mu.Lock()
		defer mu.Unlock()
		confirmed = append(confirmed, ack.Confirmed...)
	})
	return confirmed
}

// change returns the change that made a revision, nil if it is no longer kept.
func (v *View) change(revision fleet.Revision) *config.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.changes {
		if v.changes[i].Revision == revision {
			return &v.changes[i].Change
		}
	}
	return nil
}
