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

// Tick follows the demand: it takes and returns units, moves adopted units
// here, and asks holders with a surplus. The caller runs it every second.
func (l *Limits) Tick(ctx context.Context) error {
	l.mu.Lock()
	l.setFloors()
	names := l.due()
	l.refused = map[fleet.TeamName]bool{}
	l.mu.Unlock()
	return l.runRound(ctx, names)
}

// setFloors sets the units that each entry keeps of a team without demand, so
// that its work can start while the store is out of reach and no holding can
// grow. A limit that is small for the number of entries has no floor. l.mu is
// held.
func (l *Limits) setFloors() {
	snapshot := l.o.View.Snapshot()
	if snapshot == nil || l.o.FloorPart <= 0 {
		return
	}
	members := max(1, len(l.o.Membership.Members().List))
	for _, t := range l.teams {
		t.floor = 0
	}
	for name, declared := range snapshot.Teams {
		if floor := declared.Limit / (l.o.FloorPart * members); floor > 0 {
			l.team(name).floor = floor
		}
	}
}

// Urgent makes a round for the teams whose Take was refused since the last
// round. The caller runs it when Wake is signalled.
func (l *Limits) Urgent(ctx context.Context) error {
	l.mu.Lock()
	now := l.o.Clock.Now()
	names := sortedTeams(l.refused)
	names = slices.DeleteFunc(names, func(name fleet.TeamName) bool { return !l.teams[name].tryNow(l.self, now) })
	l.refused = map[fleet.TeamName]bool{}
	l.mu.Unlock()
	return l.runRound(ctx, names[:min(len(names), roundTeams)])
}

// due returns the teams that need a round, those that waited longest first.
func (l *Limits) due() []fleet.TeamName {
	now := l.o.Clock.Now()
	var names []fleet.TeamName
	for _, name := range sortedTeams(l.teams) {
		if l.needsRound(name, l.teams[name], now) {
			names = append(names, name)
		}
	}
	sort.SliceStable(names, func(i, j int) bool {
		return l.teams[names[i]].lastRound.Before(l.teams[names[j]].lastRound)
	})
	return names[:min(len(names), roundTeams)]
}

func (l *Limits) needsRound(name fleet.TeamName, t *team, now time.Time) bool {
	desired, held := t.desired(), t.row.Units[l.self]
	l.trackSurplus(t, desired, held, now)
	if t.pending || len(t.adopting) > 0 {
		return true
	}
	limit, current := l.limitNow(name, t)
	if desired == 0 && held == 0 {
		return false
	}
	return !t.read || !current || t.sum > limit || t.tryNow(l.self, now) || t.surplusDue(now) || t.handOver(held, now) > 0
}

// tryNow reports whether more units are wanted and the pause of a failed try
// is over.
func (t *team) tryNow(self string, now time.Time) bool {
	held := t.row.Units[self]
	if held < t.need() {
		return !now.Before(t.nextTry)
	}
	return t.short(held) && !now.Before(t.slackTry)
}

// handOver returns how many units can be moved to the entry that is owed them.
func (t *team) handOver(held int, now time.Time) int {
	if !now.Before(t.owedUntil) {
		return 0
	}
	return max(0, min(t.owed, held-t.running))
}

func (l *Limits) trackSurplus(t *team, desired, held int, now time.Time) {
	if held <= desired {
		t.surplusAt = time.Time{}
	} else if t.surplusAt.IsZero() {
		t.surplusAt = now
	}
}

func (t *team) surplusDue(now time.Time) bool {
	return !t.surplusAt.IsZero() && now.Sub(t.surplusAt) >= returnAfter
}

// short reports whether more units are wanted. A holding within half of the
// slack is left alone, so that small changes of the demand cause no writes.
func (t *team) short(held int) bool {
	need := t.need()
	return held < need+(t.desired()-need+1)/2
}

// runRound changes the rows of the teams and then asks other holders for what
// is still short.
func (l *Limits) runRound(ctx context.Context, names []fleet.TeamName) error {
	if len(names) == 0 || l.o.Membership.Valid() != nil {
		return nil
	}
	l.round.Lock()
	var errs []error
	for chunk := range slices.Chunk(names, batch) {
		errs = append(errs, ignoreConflict(l.change(ctx, chunk, l.followDemand)))
	}
	given := l.given
	l.given = nil
	l.round.Unlock()
	l.tell(ctx, given)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	err := l.ask(ctx, names)
	l.pause(names)
	return err
}

// pause sets when the teams that are still short are tried again.
func (l *Limits) pause(names []fleet.TeamName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Clock.Now()
	for _, name := range names {
		t := l.team(name)
		held := t.row.Units[l.self]
		if held >= t.need() {
			t.backoff = 0
			t.slackTry = now.Add(longestBackoff)
			continue
		}
		t.backoff = min(max(firstBackoff, 2*t.backoff), longestBackoff)
		t.nextTry = now.Add(t.backoff)
	}
}

// proposal computes the new row of a team; l.mu is held. It returns false if
// nothing has to be written.
type proposal func(name fleet.TeamName, t *team) (Row, bool)

// change reads the rows of teams and commits their proposals in one
// transaction. After a conflict each team is tried by itself. l.round is held.
func (l *Limits) change(ctx context.Context, names []fleet.TeamName, propose proposal) error {
	err := l.tryChange(ctx, names, propose)
	for i := 1; i < attempts && errors.Is(err, backing.ErrConflict) && len(names) == 1; i++ {
		err = l.tryChange(ctx, names, propose)
	}
	if !errors.Is(err, backing.ErrConflict) || len(names) == 1 {
		return err
	}
	var errs []error
	for _, name := range names {
		errs = append(errs, ignoreConflict(l.change(ctx, []fleet.TeamName{name}, propose)))
	}
	return errors.Join(errs...)
}

// ignoreConflict drops the error of a lost race; the next round tries again.
func ignoreConflict(err error) error {
	if errors.Is(err, backing.ErrConflict) {
		return nil
	}
	return err
}

type edit struct {
	name fleet.TeamName
	row  Row
}

func (l *Limits) tryChange(ctx context.Context, names []fleet.TeamName, propose proposal) error {
	for _, name := range names {
		if err := l.read(ctx, name); err != nil {
			return err
		}
	}
	txn, edits, err := l.prepare(names, propose)
	if err != nil || len(edits) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := l.o.Table.Commit(ctx, txn)
	l.settle(edits, versions, err)
	return err
}

// read brings the cached row of a team up to date.
func (l *Limits) read(ctx context.Context, name fleet.TeamName) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := l.o.Table.Get(ctx, Key(name))
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
	t.lastRound = l.o.Clock.Now()
	if row.Version < t.version {
		return nil
	}
	t.setRow(content, row.Version)
	if t.pending && row.Version != t.pendingBase {
		// The row has moved on, so the commit has taken effect or never will.
		t.pending, t.unknown = false, false
	}
	l.trackSessions(content)
	return nil
}

// trackSessions notes which holders are not members any more.
func (l *Limits) trackSessions(row Row) {
	now := l.o.Clock.Now()
	members := map[string]bool{l.self: true}
	for _, member := range l.o.Membership.Members().List {
		members[member.ID] = true
	}
	for session := range l.absent {
		if members[session] {
			delete(l.absent, session)
		}
	}
	for session := range row.Units {
		if _, noted := l.absent[session]; !noted && !members[session] {
			l.absent[session] = now
		}
	}
}

// settled reports whether the units of a session that is gone may be given out.
func (l *Limits) settled(session string) bool {
	since, absent := l.absent[session]
	if !absent || l.o.Clock.Now().Sub(since) < settleAfter {
		return false
	}
	return l.o.Recovered == nil || l.o.Recovered(session)
}

// prepare builds the transaction. From here on, units that it gives away are
// not usable.
func (l *Limits) prepare(names []fleet.TeamName, propose proposal) (backing.Txn, []edit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.txns++
	txn := backing.Txn{
		ID:         fmt.Sprintf("%s/limits/%d", l.o.TxnPrefix, l.txns),
		Conditions: []backing.Condition{l.o.Membership.Session()},
	}
	var edits []edit
	for _, name := range names {
		t := l.team(name)
		row, write := propose(name, t)
		if !write && !t.pending {
			continue
		}
		l.stamp(name, t, &row)
		value, err := encodeRow(row)
		if err != nil {
			return backing.Txn{}, nil, err
		}
		txn.Conditions = append(txn.Conditions, backing.Condition{Key: Key(name), Version: t.version})
		txn.Writes = append(txn.Writes, backing.Write{Key: Key(name), Value: value})
		edits = append(edits, edit{name, row})
		own := row.Units[l.self]
		if t.pending {
			own = min(own, t.pendingOwn)
		}
		t.pending, t.pendingBase, t.pendingOwn = true, t.version, own
	}
	if len(edits) > 0 {
		l.stats.Writes++
	}
	return txn, edits, nil
}

// stamp writes the limit that is known here into the row, unless the row
// carries a later one.
func (l *Limits) stamp(name fleet.TeamName, t *team, row *Row) {
	snapshot := l.o.View.Snapshot()
	if snapshot != nil && snapshot.Revision >= row.Revision {
		row.Limit, row.Revision = snapshot.Teams[name].Limit, snapshot.Revision
	}
}

func (l *Limits) settle(edits []edit, versions []uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
	case errors.Is(err, backing.ErrConflict), errors.Is(err, backing.ErrUnavailable):
		l.stats.Conflicts++
		l.abandon(edits)
		return
	default:
		// The outcome is read back at the next round: a row above the base
		// version tells it, and otherwise a further commit decides it.
		l.stats.Unknown++
		for _, e := range edits {
			l.team(e.name).unknown = true
		}
		return
	}
	for i, e := range edits {
		t := l.team(e.name)
		t.pending, t.unknown = false, false
		if versions[i] >= t.version {
			t.setRow(e.row, versions[i])
		}
	}
}

// abandon forgets commits that are proved to have had no effect. An earlier
// commit with unknown outcome had the same base version, so it stays open.
func (l *Limits) abandon(edits []edit) {
	for _, e := range edits {
		t := l.team(e.name)
		t.pending = t.unknown
	}
}

// followDemand is the proposal of a round: adopted units move here, units of
// settled sessions are dropped, and the own units follow the demand.
func (l *Limits) followDemand(name fleet.TeamName, t *team) (Row, bool) {
	row := t.row.clone()
	limit, current := l.limitNow(name, t)
	changed := !current
	changed = l.moveAdopted(t, &row) || changed
	changed = l.dropSettled(&row) || changed
	changed = l.payOwed(name, t, &row) || changed
	if delta := l.delta(t, row, limit); delta != 0 {
		row.add(l.self, delta)
		changed = true
	}
	return row, changed
}

// moveAdopted moves units for adopted tasks that the own units do not cover.
// Deciding by what is covered makes it safe to repeat after a commit with
// unknown outcome.
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
		t.adopting = map[string]int{} // the demand covers what was not left to move
	}
	return moved
}

func (l *Limits) dropSettled(row *Row) bool {
	dropped := false
	for session := range row.Units {
		if l.settled(session) {
			delete(row.Units, session)
			dropped = true
		}
	}
	return dropped
}

// payOwed moves idle units to the entry that is owed them.
func (l *Limits) payOwed(name fleet.TeamName, t *team, row *Row) bool {
	n := t.handOver(row.Units[l.self], l.o.Clock.Now())
	if n == 0 || !l.isMember(t.owedTo) {
		return false
	}
	row.add(l.self, -n)
	row.add(t.owedTo, n)
	// If the commit fails, the asker asks again.
	t.owed -= n
	l.given = append(l.given, gift{t.owedTo, name})
	return true
}

// delta returns by how much the own units should change.
func (l *Limits) delta(t *team, row Row, limit int) int {
	now := l.o.Clock.Now()
	held, desired, sum := row.Units[l.self], t.desired(), row.Sum()
	idle := max(0, held-t.running)
	switch {
	case sum > limit:
		return -min(idle, sum-limit)
	case t.short(held) && !now.Before(t.owedUntil):
		return l.growth(t.need()-held, desired-t.need(), limit-sum)
	case t.surplusDue(now):
		return -min(idle, max(0, held-desired))
	}
	return 0
}

// growth takes what is needed of the free units. Slack is taken only as far as
// as much would be left for every member, so that the last units of a limit
// are not held idle while another entry needs them.
func (l *Limits) growth(need, slack, free int) int {
	need = min(need, free)
	if need < 0 {
		slack += need
		need = 0
	}
	members := max(1, len(l.o.Membership.Members().List))
	return max(0, need+min(slack, (free-need)/members))
}

// askRequest asks a holder for units of a team.
type askRequest struct {
	Team fleet.TeamName `cbor:"1,keyasint"`
	Held int            `cbor:"2,keyasint"`
	Need int            `cbor:"3,keyasint"` // running and queued, without slack
}

type askResponse struct {
	Given int `cbor:"1,keyasint"` // units moved to the asker
}

// ask asks the holders of teams that are short here.
func (l *Limits) ask(ctx context.Context, names []fleet.TeamName) error {
	var errs []error
	for _, name := range names {
		if l.askFor(ctx, name) { // units came, or may have come if the answer was lost
			errs = append(errs, l.read(ctx, name))
		}
	}
	return errors.Join(errs...)
}

// askFor asks for the units of one team and reports whether its row may have
// changed.
func (l *Limits) askFor(ctx context.Context, name fleet.TeamName) bool {
	holders, request := l.asks(name)
	changed := false
	for _, holder := range holders {
		if request.Held >= request.Need || !l.asking.AllowN(l.o.Clock.Now(), 1) {
			break
		}
		given, err := l.askHolder(ctx, holder, request)
		changed = changed || given > 0 || errors.Is(err, rpc.ErrNoAnswer)
		request.Held += given
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
	err := l.o.Caller.Call(ctx, holder, methodAsk, request, &response)
	return response.Given, err
}

// asks returns the members to ask for a team's units, if the units here
// do not cover the running and queued tasks. Slack is taken from free units only.
func (l *Limits) asks(name fleet.TeamName) ([]string, askRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	request := askRequest{Team: name, Held: t.row.Units[l.self], Need: t.need()}
	limit, current := l.limitNow(name, t)
	if !current || t.pending || t.sum > limit || request.Held >= request.Need {
		t.askFrom = 0
		return nil, request
	}
	var holders []string
	for _, member := range l.o.Membership.Members().List {
		if member.ID != l.self && t.row.Units[member.ID] > 0 {
			holders = append(holders, member.ID)
		}
	}
	// Holders of the same size are ranked differently by each asker, so that
	// entries that are short at the same time ask different ones.
	rank := sharding.Rank(string(name)+"/"+l.self, holders)
	sort.SliceStable(rank, func(i, j int) bool { return t.row.Units[rank[i]] > t.row.Units[rank[j]] })
	return t.nextHolders(rank), request
}

// nextHolders returns the holders of the next round. The largest come first; a
// smaller one may hold the only idle unit, so each round of a team that stays
// short goes on to the next ones.
func (t *team) nextHolders(rank []string) []string {
	next := make([]string, 0, asksPerRound)
	for i := range min(len(rank), asksPerRound) {
		next = append(next, rank[(t.askFrom+i)%len(rank)])
	}
	t.askFrom += len(next)
	return next
}

// share returns how many of its units a holder should give to an asker: what it
// does not need itself and, if both are short, so many that both hold the same
// part of their need.
func share(held, need int, request askRequest) int {
	short := request.Need - request.Held
	if spare := held - need; spare >= short {
		return max(0, short)
	}
	all, wanted := held+request.Held, need+request.Need
	if wanted == 0 {
		return 0
	}
	fair := int(math.Ceil(float64(all) * float64(need) / float64(wanted)))
	return max(0, min(short, held-min(fair, need)))
}
