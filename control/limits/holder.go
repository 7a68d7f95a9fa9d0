package limits

import (
	"context"
	"fmt"

	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
)

const (
	methodAsk   = "limits.ask"
	methodGiven = "limits.given"
)

// gift names an entry that was handed units which it had asked for before.
type gift struct {
	to   string
	team fleet.TeamName
}

type givenMessage struct {
	Team fleet.TeamName `cbor:"1,keyasint"`
}

// tell lets the entries that were handed units know at once. An entry that is
// not reached finds the units at its next round.
func (l *Limits) tell(ctx context.Context, gifts []gift) {
	for _, g := range gifts {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_ = l.o.Caller.Call(callCtx, g.to, methodGiven, givenMessage{g.team}, nil)
		cancel()
	}
}

func (l *Limits) register(router *rpc.Router) {
	rpc.Handle(router, methodAsk, func(ctx context.Context, from string, req askRequest) (askResponse, error) {
		given, err := l.give(ctx, from, req)
		return askResponse{Given: given}, err
	})
	rpc.Handle(router, methodGiven, func(ctx context.Context, _ string, msg givenMessage) (struct{}, error) {
		return struct{}{}, l.read(ctx, msg.Team)
	})
}

// give moves idle units to an entry that is short. Units in use that the asker
// should have are not used again for owedFor, so that they are idle when it
// asks again.
func (l *Limits) give(ctx context.Context, to string, req askRequest) (int, error) {
	if err := l.o.Membership.Valid(); err != nil {
		return 0, err
	}
	if !l.isMember(to) {
		return 0, fmt.Errorf("%s is not a member", to)
	}
	l.round.Lock()
	defer l.round.Unlock()
	if l.allot(to, req) == 0 {
		return 0, nil
	}
	given := 0
	err := l.change(ctx, []fleet.TeamName{req.Team}, func(name fleet.TeamName, t *team) (Row, bool) {
		row := t.row.clone()
		limit, _ := l.limitNow(name, t)
		idle := row.Units[l.self] - t.running
		given = max(0, min(idle, share(row.Units[l.self], t.need(), req)))
		if given == 0 || t.sum > limit {
			given = 0
			return row, false
		}
		row.add(l.self, -given)
		row.add(to, given)
		return row, true
	})
	if err != nil {
		return 0, ignoreConflict(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(req.Team)
	t.owed = max(0, t.owed-given)
	return given, nil
}

func (l *Limits) isMember(id string) bool {
	for _, member := range l.o.Membership.Members().List {
		if member.ID == id {
			return true
		}
	}
	return false
}

// allot returns how many units can be given now, and keeps those that are in
// use but owed from being used again.
func (l *Limits) allot(to string, req askRequest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(req.Team)
	now := l.o.Clock.Now()
	if now.Before(t.owedUntil) && t.owed > 0 && t.owedTo != to {
		return 0 // one at a time
	}
	held := t.row.Units[l.self]
	due := share(held, t.need(), req)
	if due == 0 {
		return 0
	}
	t.owed, t.owedTo, t.owedUntil = due, to, now.Add(owedFor)
	return max(0, min(due, held-t.running))
}
