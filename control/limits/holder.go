package limits

import (
	"context"
	"fmt"

	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
)

// Peer methods of Limits.
const (
	methodAsk         = "limits.ask"
	methodTransferred = "limits.given"
)

// transfer is a transfer of units of a team to an entry that had asked for
// them.
type transfer struct {
	to   string
	team fleet.TeamName
}

// transferNotice tells an entry that it received units of a team.
type transferNotice struct {
	Team fleet.TeamName `cbor:"1,keyasint"`
}

// notifyTransfers notifies the entries that received units, so that they can
// use them at once. An entry that misses the notice finds the units in its next
// round.
func (l *Limits) notifyTransfers(ctx context.Context, transfers []transfer) {
	for _, t := range transfers {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_ = l.options.Caller.Call(callCtx, t.to, methodTransferred, transferNotice{t.team}, nil)
		cancel()
	}
}

func (l *Limits) register(router *rpc.Router) {
	rpc.Handle(router, methodAsk, func(ctx context.Context, from string, req askRequest) (askResponse, error) {
		transferred, err := l.transferIdle(ctx, from, req)
		return askResponse{Transferred: transferred}, err
	})
	rpc.Handle(router, methodTransferred, func(ctx context.Context, _ string, msg transferNotice) (struct{}, error) {
		return struct{}{}, l.readRow(ctx, msg.Team)
	})
}

// transferIdle moves idle units to an entry that asked for them, and returns
// how many. Units that the entry should get but that are in use are reserved
// for it for reservationTTL: no other task uses them, and later rounds transfer
// them as their tasks end.
func (l *Limits) transferIdle(ctx context.Context, to string, req askRequest) (int, error) {
	if err := l.options.Membership.Valid(); err != nil {
		return 0, err
	}
	if !l.isMember(to) {
		return 0, fmt.Errorf("%s is not a member", to)
	}
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	if l.reserveUnits(to, req) == 0 {
		return 0, nil
	}
	transferred := 0
	err := l.changeRows(ctx, []fleet.TeamName{req.Team}, func(name fleet.TeamName, t *team) (Row, bool) {
		row := t.row.clone()
		limit, _ := l.currentLimit(name, t)
		idle := row.Units[l.self] - t.running
		transferred = max(0, min(idle, unitsToTransfer(row.Units[l.self], t.need(), req)))
		if transferred == 0 || t.sum > limit {
			transferred = 0
			return row, false
		}
		row.add(l.self, -transferred)
		row.add(to, transferred)
		return row, true
	})
	if err != nil {
		return 0, ignoreConflict(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(req.Team)
	t.reserved = max(0, t.reserved-transferred)
	return transferred, nil
}

// isMember reports whether an entry is in the member list.
func (l *Limits) isMember(id string) bool {
	for _, member := range l.options.Membership.Members().List {
		if member.ID == id {
			return true
		}
	}
	return false
}

// reserveUnits reserves the units that the asking entry should get, so that no
// other task uses them, and returns how many of them are idle and can be
// transferred now.
func (l *Limits) reserveUnits(to string, req askRequest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(req.Team)
	now := l.options.Clock.Now()
	if now.Before(t.reservedUntil) && t.reserved > 0 && t.reservedFor != to {
		return 0 // units of a team are reserved for one entry at a time
	}
	held := t.row.Units[l.self]
	amount := unitsToTransfer(held, t.need(), req)
	if amount == 0 {
		return 0
	}
	t.reserved, t.reservedFor, t.reservedUntil = amount, to, now.Add(reservationTTL)
	return max(0, min(amount, held-t.running))
}
