package limits

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/sharding"
)

// Tick adapts the held units to the demand: it takes and returns units, moves
// the units of adopted tasks here, and asks other holders for missing units.
// The caller runs it every second.
func (l *Limits) Tick(ctx context.Context) error {
	l.mu.Lock()
	l.setFloors()
	names := l.teamsDue()
	l.refusedTeams = map[fleet.TeamName]bool{}
	l.mu.Unlock()
	return l.runRound(ctx, names)
}

// setFloors sets the units that this entry keeps of each team without demand,
// so that the team's tasks can start while the store is unreachable and no
// entry can take units. If a limit is small for the number of entries, the
// floor is 0. l.mu is held.
func (l *Limits) setFloors() {
	snapshot := l.options.View.Snapshot()
	if snapshot == nil || l.options.FloorDivisor <= 0 {
		return
	}
	members := max(1, len(l.options.Membership.Members().List))
	for _, t := range l.teams {
		t.floor = 0
	}
	for name, declared := range snapshot.Teams {
		if floor := declared.Limit / (l.options.FloorDivisor * members); floor > 0 {
			l.team(name).floor = floor
		}
	}
}

// Urgent runs a round for the teams whose Take was refused since the last
// round. The caller runs it when Wake is signalled.
func (l *Limits) Urgent(ctx context.Context) error {
	l.mu.Lock()
	now := l.options.Clock.Now()
	names := sortedTeams(l.refusedTeams)
	names = slices.DeleteFunc(names, func(name fleet.TeamName) bool { return !l.teams[name].retryDue(l.self, now) })
	l.refusedTeams = map[fleet.TeamName]bool{}
	l.mu.Unlock()
	return l.runRound(ctx, names[:min(len(names), maxTeamsPerRound)])
}

// teamsDue returns up to maxTeamsPerRound teams that need a round, the ones
// whose row was read longest ago first. l.mu is held.
func (l *Limits) teamsDue() []fleet.TeamName {
	now := l.options.Clock.Now()
	var names []fleet.TeamName
	for _, name := range sortedTeams(l.teams) {
		if l.needsRound(name, l.teams[name], now) {
			names = append(names, name)
		}
	}
	sort.SliceStable(names, func(i, j int) bool {
		return l.teams[names[i]].lastRead.Before(l.teams[names[j]].lastRead)
	})
	return names[:min(len(names), maxTeamsPerRound)]
}

// needsRound reports whether a round has to do anything for a team, and tracks
// since when the team has a surplus. l.mu is held.
func (l *Limits) needsRound(name fleet.TeamName, t *team, now time.Time) bool {
	desired, held := t.desired(), t.row.Units[l.self]
	l.trackSurplus(t, desired, held, now)
	if t.commitPending || len(t.adopting) > 0 {
		return true
	}
	limit, current := l.currentLimit(name, t)
	if desired == 0 && held == 0 {
		return false
	}
	return !t.rowRead || !current || t.sum > limit || t.retryDue(l.self, now) || t.surplusDue(now) || t.transferable(held, now) > 0
}

// retryDue reports whether the team wants more units and its pause since the
// last attempt is over.
func (t *team) retryDue(self string, now time.Time) bool {
	held := t.row.Units[self]
	if held < t.need() {
		return !now.Before(t.nextTry)
	}
	return t.wantsMore(held) && !now.Before(t.nextSlackTry)
}

// transferable returns how many of the reserved units are idle and can be
// transferred.
func (t *team) transferable(held int, now time.Time) int {
	if !now.Before(t.reservedUntil) {
		return 0
	}
	return max(0, min(t.reserved, held-t.running))
}

// trackSurplus records since when more units are held than desired.
func (l *Limits) trackSurplus(t *team, desired, held int, now time.Time) {
	if held <= desired {
		t.surplusSince = time.Time{}
	} else if t.surplusSince.IsZero() {
		t.surplusSince = now
	}
}

// surplusDue reports whether a surplus has lasted long enough to be returned.
func (t *team) surplusDue(now time.Time) bool {
	return !t.surplusSince.IsZero() && now.Sub(t.surplusSince) >= returnDelay
}

// wantsMore reports whether to take more units. While the held units cover the
// need and half of the slack none are taken, so that small changes of the
// demand cause no writes.
func (t *team) wantsMore(held int) bool {
	need := t.need()
	return held < need+(t.desired()-need+1)/2
}

// runRound changes the rows of the teams and then asks other holders for the
// units that are still missing.
func (l *Limits) runRound(ctx context.Context, names []fleet.TeamName) error {
	if len(names) == 0 || l.options.Membership.Valid() != nil {
		return nil
	}
	l.roundMu.Lock()
	var errs []error
	for chunk := range slices.Chunk(names, maxTeamsPerTxn) {
		errs = append(errs, ignoreConflict(l.changeRows(ctx, chunk, l.followDemand)))
	}
	transfers := l.transfers
	l.transfers = nil
	l.roundMu.Unlock()
	l.notifyTransfers(ctx, transfers)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	err := l.askHolders(ctx, names)
	l.scheduleRetries(names)
	return err
}

// scheduleRetries sets when each team may next attempt to take units.
func (l *Limits) scheduleRetries(names []fleet.TeamName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	for _, name := range names {
		t := l.team(name)
		held := t.row.Units[l.self]
		if held >= t.need() {
			t.backoff = 0
			t.nextSlackTry = now.Add(maxBackoff)
			continue
		}
		t.backoff = min(max(minBackoff, 2*t.backoff), maxBackoff)
		t.nextTry = now.Add(t.backoff)
	}
}

// proposal computes the new row of a team. It returns false if nothing has to be
// written. l.mu is held.
type proposal func(name fleet.TeamName, t *team) (Row, bool)

// changeRows reads the rows of teams and commits the proposals for them in one
// transaction. After a conflict it commits each team separately. l.roundMu is
// held.
func (l *Limits) changeRows(ctx context.Context, names []fleet.TeamName, propose proposal) error {
	err := l.tryChangeRows(ctx, names, propose)
	for i := 1; i < maxCommitAttempts && errors.Is(err, backing.ErrConflict) && len(names) == 1; i++ {
		err = l.tryChangeRows(ctx, names, propose)
	}
	if !errors.Is(err, backing.ErrConflict) || len(names) == 1 {
		return err
	}
	var errs []error
	for _, name := range names {
		errs = append(errs, ignoreConflict(l.changeRows(ctx, []fleet.TeamName{name}, propose)))
	}
	return errors.Join(errs...)
}

// ignoreConflict returns err, or nil if another entry changed a row first: the
// next round repeats the change.
func ignoreConflict(err error) error {
	if errors.Is(err, backing.ErrConflict) {
		return nil
	}
	return err
}

// edit is the new row of a team in a transaction.
type edit struct {
	name fleet.TeamName
	row  Row
}

// tryChangeRows reads the rows of teams and makes one attempt to commit the
// proposals for them.
func (l *Limits) tryChangeRows(ctx context.Context, names []fleet.TeamName, propose proposal) error {
	for _, name := range names {
		if err := l.readRow(ctx, name); err != nil {
			return err
		}
	}
	txn, edits, err := l.buildTxn(names, propose)
	if err != nil || len(edits) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := l.options.Table.Commit(ctx, txn)
	l.recordOutcome(edits, versions, err)
	return err
}

// readRow reads the row of a team into its state.
func (l *Limits) readRow(ctx context.Context, name fleet.TeamName) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := l.options.Table.Get(ctx, Key(name))
	if err != nil {
		return fmt.Errorf("read %s: %w", Key(name), err)
	}
	content, err := decodeRow(row.Value)
	if err != nil {
		return fmt.Errorf("decode %s: %w", Key(name), err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reads++
	t := l.team(name)
	t.lastRead = l.options.Clock.Now()
	if row.Version < t.version {
		return nil
	}
	t.setRow(content, row.Version)
	if t.commitPending && row.Version != t.pendingBaseVersion {
		// The row has a newer version, so the commit has taken effect or never
		// will.
		t.commitPending, t.unconfirmed = false, false
	}
	l.trackSessions(content)
	return nil
}

// trackSessions records since when each holder of units is no longer a member.
// l.mu is held.
func (l *Limits) trackSessions(row Row) {
	now := l.options.Clock.Now()
	members := map[string]bool{l.self: true}
	for _, member := range l.options.Membership.Members().List {
		members[member.ID] = true
	}
	for session := range l.absentSince {
		if members[session] {
			delete(l.absentSince, session)
		}
	}
	for session := range row.Units {
		if _, recorded := l.absentSince[session]; !recorded && !members[session] {
			l.absentSince[session] = now
		}
	}
}

// reclaimable reports whether the units of a former member can be reclaimed.
func (l *Limits) reclaimable(session string) bool {
	since, absent := l.absentSince[session]
	if !absent || l.options.Clock.Now().Sub(since) < reclaimDelay {
		return false
	}
	return l.options.Recovered == nil || l.options.Recovered(session)
}

// buildTxn returns the transaction for the proposals, and the rows that it
// writes. It ends the use of the units that the transaction gives up.
func (l *Limits) buildTxn(names []fleet.TeamName, propose proposal) (backing.Txn, []edit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.txnNumber++
	txn := backing.Txn{
		ID:         fmt.Sprintf("%s/limits/%d", l.options.TxnPrefix, l.txnNumber),
		Conditions: []backing.Condition{l.options.Membership.Session()},
	}
	var edits []edit
	for _, name := range names {
		t := l.team(name)
		row, write := propose(name, t)
		if !write && !t.commitPending {
			continue
		}
		l.setRowLimit(name, t, &row)
		value, err := encodeRow(row)
		if err != nil {
			return backing.Txn{}, nil, err
		}
		txn.Conditions = append(txn.Conditions, backing.Condition{Key: Key(name), Version: t.version})
		txn.Writes = append(txn.Writes, backing.Write{Key: Key(name), Value: value})
		edits = append(edits, edit{name, row})
		own := row.Units[l.self]
		if t.commitPending {
			own = min(own, t.pendingUnits)
		}
		t.commitPending, t.pendingBaseVersion, t.pendingUnits = true, t.version, own
	}
	if len(edits) > 0 {
		l.stats.Writes++
	}
	return txn, edits, nil
}

// setRowLimit sets the row's limit and revision to those that this entry knows,
// unless the row has those of a newer configuration.
func (l *Limits) setRowLimit(name fleet.TeamName, t *team, row *Row) {
	snapshot := l.options.View.Snapshot()
	if snapshot != nil && snapshot.Revision >= row.Revision {
		row.Limit, row.Revision = snapshot.Teams[name].Limit, snapshot.Revision
	}
}

// recordOutcome updates the teams' states after a commit that returned err.
func (l *Limits) recordOutcome(edits []edit, versions []uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
	case errors.Is(err, backing.ErrConflict), errors.Is(err, backing.ErrUnavailable):
		l.stats.Conflicts++
		l.clearPending(edits)
		return
	default:
		// The next round reads the row. A newer version shows the outcome; otherwise
		// a further commit on the same version decides it.
		l.stats.Unknown++
		for _, e := range edits {
			l.team(e.name).unconfirmed = true
		}
		return
	}
	for i, e := range edits {
		t := l.team(e.name)
		t.commitPending, t.unconfirmed = false, false
		if versions[i] >= t.version {
			t.setRow(e.row, versions[i])
		}
	}
}

// clearPending ends the pending state after a commit that had no effect. The
// state stays pending if an earlier commit on the same version is unconfirmed.
func (l *Limits) clearPending(edits []edit) {
	for _, e := range edits {
		t := l.team(e.name)
		t.commitPending = t.unconfirmed
	}
}

// followDemand is the proposal of a round: it moves the units of adopted tasks
// here, reclaims units of former members, transfers reserved units and adapts
// this entry's units to the demand.
func (l *Limits) followDemand(name fleet.TeamName, t *team) (Row, bool) {
	row := t.row.clone()
	limit, current := l.currentLimit(name, t)
	changed := !current
	changed = l.moveAdopted(t, &row) || changed
	changed = l.dropReclaimable(&row) || changed
	changed = l.transferReserved(name, t, &row) || changed
	if delta := l.ownDelta(t, row, limit); delta != 0 {
		row.add(l.self, delta)
		changed = true
	}
	return row, changed
}

// moveAdopted moves units of adopted tasks here, at most as many as this entry
// has running tasks without a unit. Because of this bound it can be repeated
// after an unconfirmed commit without moving units twice.
func (l *Limits) moveAdopted(t *team, row *Row) bool {
	moved := false
	for session, n := range t.adopting {
		n = min(n, row.Units[session], t.running-row.Units[l.self])
		if n > 0 {
			row.add(session, -n)
			row.add(l.self, n)
			moved = true
		}
	}
	if !moved {
		t.adopting = map[string]int{} // any units still missing are taken from the free ones
	}
	return moved
}

// dropReclaimable removes the holdings that can be reclaimed from the row,
// which makes their units free.
func (l *Limits) dropReclaimable(row *Row) bool {
	dropped := false
	for session := range row.Units {
		if l.reclaimable(session) {
			delete(row.Units, session)
			dropped = true
		}
	}
	return dropped
}

// transferReserved moves reserved units that are idle to the entry that they are
// reserved for.
func (l *Limits) transferReserved(name fleet.TeamName, t *team, row *Row) bool {
	n := t.transferable(row.Units[l.self], l.options.Clock.Now())
	if n == 0 || !l.isMember(t.reservedFor) {
		return false
	}
	row.add(l.self, -n)
	row.add(t.reservedFor, n)
	// If the commit fails, the other entry asks again.
	t.reserved -= n
	l.transfers = append(l.transfers, transfer{t.reservedFor, name})
	return true
}

// ownDelta returns by how many units this entry's holding in row should grow
// or, if negative, shrink.
func (l *Limits) ownDelta(t *team, row Row, limit int) int {
	now := l.options.Clock.Now()
	held, desired, sum := row.Units[l.self], t.desired(), row.Sum()
	idle := max(0, held-t.running)
	switch {
	case sum > limit:
		return -min(idle, sum-limit)
	case t.wantsMore(held) && !now.Before(t.reservedUntil):
		return l.growth(t.need()-held, desired-t.need(), limit-sum)
	case t.surplusDue(now):
		return -min(idle, max(0, held-desired))
	}
	return 0
}

// growth returns how many of the free units to take for the need and for slack.
// Slack is limited to this entry's equal share of the units that are free after
// the need, so that the last units of a limit are not held idle while another
// entry needs them.
func (l *Limits) growth(need, slack, free int) int {
	need = min(need, free)
	if need < 0 {
		slack += need
		need = 0
	}
	members := max(1, len(l.options.Membership.Members().List))
	return max(0, need+min(slack, (free-need)/members))
}

// askRequest asks a holder for units of a team. Held and Need are those of the
// sender.
type askRequest struct {
	Team fleet.TeamName `cbor:"1,keyasint"`
	Held int            `cbor:"2,keyasint"`
	Need int            `cbor:"3,keyasint"` // for running and queued tasks, without slack
}

// askResponse answers an askRequest.
type askResponse struct {
	Transferred int `cbor:"1,keyasint"` // units that were moved to the sender of the request
}

// askHolders asks other holders for units of the teams that need more than are
// held here.
func (l *Limits) askHolders(ctx context.Context, names []fleet.TeamName) error {
	var errs []error
	for _, name := range names {
		if l.askForTeam(ctx, name) { // units were transferred, or may have been although the answer was lost
			errs = append(errs, l.readRow(ctx, name))
		}
	}
	return errors.Join(errs...)
}

// askForTeam asks other holders for units of a team and reports whether its row
// may have changed.
func (l *Limits) askForTeam(ctx context.Context, name fleet.TeamName) bool {
	holders, request := l.holdersToAsk(name)
	changed := false
	for _, holder := range holders {
		if request.Held >= request.Need || !l.askLimiter.AllowN(l.options.Clock.Now(), 1) {
			break
		}
		transferred, err := l.askHolder(ctx, holder, request)
		changed = changed || transferred > 0 || errors.Is(err, rpc.ErrNoAnswer)
		request.Held += transferred
	}
	return changed
}

func (l *Limits) askHolder(ctx context.Context, holder string, request askRequest) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.mu.Lock()
	l.stats.Asks++
	l.mu.Unlock()
	var response askResponse
	err := l.options.Caller.Call(ctx, holder, methodAsk, request, &response)
	return response.Transferred, err
}

// holdersToAsk returns the members to ask for units of a team, and the request.
// There are none if the units here cover the running and queued tasks: slack is
// taken from free units only.
func (l *Limits) holdersToAsk(name fleet.TeamName) ([]string, askRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	request := askRequest{Team: name, Held: t.row.Units[l.self], Need: t.need()}
	limit, current := l.currentLimit(name, t)
	if !current || t.commitPending || t.sum > limit || request.Held >= request.Need {
		t.holdersAsked = 0
		return nil, request
	}
	var holders []string
	for _, member := range l.options.Membership.Members().List {
		if member.ID != l.self && t.row.Units[member.ID] > 0 {
			holders = append(holders, member.ID)
		}
	}
	// Each entry ranks holders of the same number of units in a different order,
	// so that entries that need units at the same time ask different ones.
	rank := sharding.Rank(string(name)+"/"+l.self, holders)
	sort.SliceStable(rank, func(i, j int) bool { return t.row.Units[rank[i]] > t.row.Units[rank[j]] })
	return t.nextHolders(rank), request
}

// nextHolders returns the holders to ask in this round, given all holders from
// the largest to the smallest. As long as the team needs units, each round
// continues where the previous one ended, because a small holder may have the
// only idle unit.
func (t *team) nextHolders(rank []string) []string {
	next := make([]string, 0, asksPerRound)
	for i := range min(len(rank), asksPerRound) {
		next = append(next, rank[(t.holdersAsked+i)%len(rank)])
	}
	t.holdersAsked += len(next)
	return next
}

// unitsToTransfer returns how many of its held units a holder should give to an
// entry that asks for units: those that it does not need itself and, if there
// are not enough for both, so many that both then hold the same fraction of
// their need.
func unitsToTransfer(held, need int, request askRequest) int {
	missing := request.Need - request.Held
	if spare := held - need; spare >= missing {
		return max(0, missing)
	}
	totalHeld, totalNeed := held+request.Held, need+request.Need
	if totalNeed == 0 {
		return 0
	}
	fairHolding := int(math.Ceil(float64(totalHeld) * float64(need) / float64(totalNeed)))
	return max(0, min(missing, held-min(fairHolding, need)))
}
