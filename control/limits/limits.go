// Package limits enforces the teams' fleet-wide upper limits of running tasks.
// A limit is divided into units. The table row limit/<team> records how many
// units each entry holds, and an entry lets at most as many tasks of the team
// run as it holds units. The sum of the units is never raised above the limit,
// so neither is the number of running tasks.
//
// Entries take free units from the row as their demand grows and return surplus
// ones. An entry that finds too few free units asks other holders for theirs.
package limits

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
)

const (
	// keyPrefix is the common prefix of the keys of the rows.
	keyPrefix = "limit/"
	// slackFraction is the fraction of the needed units that is held in
	// addition, as slack, so that most starts need no transaction.
	slackFraction = 0.1
	// returnDelay is how long a surplus is held before it is returned. Demand
	// often rises again within seconds, and each change costs a write.
	returnDelay = 3 * time.Second
	// reclaimDelay is the time from the removal of a session from the member
	// list until all its tasks have ended or been adopted by other entries, so
	// that its units can be reclaimed: worker leases last 15 s, and 5 s allow
	// for clock differences and the lag of the member list.
	reclaimDelay = 20 * time.Second
	// maxTeamsPerRound bounds the teams of one round. 100 entries then make at
	// most 1,600 reads/s.
	maxTeamsPerRound = 16
	// maxTeamsPerTxn bounds the teams whose rows one transaction changes. More
	// teams make a conflict with another entry more likely.
	maxTeamsPerTxn = 8
	// maxCommitAttempts bounds the transactions for the change of one row within
	// a round.
	maxCommitAttempts = 3
	// asksPerRound bounds the holders that are asked for units of one team in
	// one round.
	asksPerRound = 2
	// asksPerSecond bounds the messages by which an entry asks for units. At
	// about 150 bytes each they stay below 1 KB/s.
	asksPerSecond = 6
	// minBackoff and maxBackoff are the shortest and the longest pause between
	// rounds of a team that needs units and did not get enough, which is the
	// normal state of a team at its limit.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// reservationTTL is how long units are reserved for an entry that asked for
	// them: they are not used again, but transferred as their tasks end.
	reservationTTL = 5 * time.Second
	// DefaultUrgentRoundsPerSecond is the default of
	// Options.UrgentRoundsPerSecond.
	DefaultUrgentRoundsPerSecond = 5
	// refusalRetryAfter is the time after which a refused caller should retry.
	refusalRetryAfter = 500 * time.Millisecond
	// callTimeout bounds each call to the table and each message to a peer.
	callTimeout = time.Second
)

// Options are the dependencies and settings of a Limits.
type Options struct {
	View       control.View
	Membership control.Membership
	Table      backing.Table
	Caller     rpc.Caller
	Clock      fleet.Clock
	// Recovered reports whether all jobs of a session that is no longer in the
	// member list have been adopted. The session's units are reclaimed only
	// after that. If it is nil, only reclaimDelay has to pass.
	Recovered func(session string) bool
	// FloorDivisor sets the units that the entries keep of a team without demand,
	// so that its tasks can start during a store outage. All entries together keep
	// at most the limit divided by FloorDivisor (4 means a quarter). 0 means that
	// they keep none.
	FloorDivisor int
	// TxnPrefix is the first part of the ids of transactions, which must be
	// unique to this Limits; empty means the id of the entry.
	TxnPrefix string
	// UrgentRoundsPerSecond bounds the signals on Wake; 0 means
	// DefaultUrgentRoundsPerSecond.
	UrgentRoundsPerSecond float64
}

// Row is the content of a table row limit/<team>.
type Row struct {
	// Limit and Revision are the newest limit under which the row was written,
	// and the revision of the configuration that it is from. An entry with an
	// older configuration does not raise the sum of the units above Limit.
	Limit    int            `cbor:"1,keyasint"`
	Revision fleet.Revision `cbor:"2,keyasint"`
	Units    map[string]int `cbor:"3,keyasint"` // by session (member id)
}

// Sum returns the units held by all sessions.
func (r Row) Sum() int {
	sum := 0
	for _, units := range r.Units {
		sum += units
	}
	return sum
}

func (r Row) clone() Row {
	units := make(map[string]int, len(r.Units))
	for session, n := range r.Units {
		units[session] = n
	}
	return Row{Limit: r.Limit, Revision: r.Revision, Units: units}
}

// add adds n, which may be negative, to the units of a session.
func (r *Row) add(session string, n int) {
	r.Units[session] += n
	if r.Units[session] <= 0 {
		delete(r.Units, session)
	}
}

// Key returns the key of a team's row.
func Key(team fleet.TeamName) string { return keyPrefix + string(team) }

// Limits implements control.Limits. All methods are safe for concurrent use.
type Limits struct {
	options Options
	self    string

	roundMu       sync.Mutex    // held while rows are changed, so that one goroutine does it at a time
	transfers     []transfer    // made in the current round; guarded by roundMu
	urgentLimiter *rate.Limiter // of signals on wake
	askLimiter    *rate.Limiter // of messages that ask for units
	wake          chan struct{}

	mu           sync.Mutex
	teams        map[fleet.TeamName]*team
	absentSince  map[string]time.Time // sessions that hold units but are not members, since when
	txnNumber    uint64               // number of the last transaction, part of its id
	stats        Stats
	refusedTeams map[fleet.TeamName]bool // teams with a refused Take since the last round
}

var _ control.Limits = (*Limits)(nil)

// team is the state that an entry keeps for a team.
type team struct {
	row     Row    // as last read or written
	sum     int    // of all units of row
	version uint64 // of row
	rowRead bool   // row was read at least once

	seenRevision     fleet.Revision // of the configuration that was last seen
	seenLimit        int            // the team's limit in that configuration
	requiredRevision fleet.Revision // lowest Row.Revision with which row is known to be bounded by seenLimit

	floor           int // units kept without demand
	running         int // tasks counted by Take, Adopt and Return
	queued          int // queued tasks in the last call of SetDemand
	reportedRunning int // running tasks in the last call of SetDemand

	// commitPending is set while a commit is outstanding or unconfirmed. Until row
	// has a version other than pendingBaseVersion, at most pendingUnits may be
	// used: the smaller of the old and the new units of this entry.
	commitPending      bool
	unconfirmed        bool // a commit got no answer; the row shows whether it took effect
	pendingBaseVersion uint64
	pendingUnits       int

	adopting map[string]int // units of adopted tasks to move here, by session

	reserved      int // units reserved for reservedFor until reservedUntil
	reservedFor   string
	reservedUntil time.Time
	surplusSince  time.Time // since when more units are held than desired; zero if they are not
	lastRead      time.Time
	nextTry       time.Time     // earliest next round for needed units
	nextSlackTry  time.Time     // earliest next round for slack only
	backoff       time.Duration // last pause between rounds for needed units
	holdersAsked  int           // holders asked since the held units last covered the need
}

// Stats counts the operations of a Limits since New.
type Stats struct {
	Reads     uint64 // of rows
	Writes    uint64 // transactions sent
	Conflicts uint64 // transactions that had no effect
	Unknown   uint64 // transactions that are unconfirmed
	Asks      uint64 // messages sent that ask for units
	Refused   uint64 // Take calls that were refused
	Taken     uint64 // Take calls that were accepted
}

// New returns a Limits that holds no units, and registers its peer methods with
// router.
func New(o Options, router *rpc.Router) *Limits {
	if o.UrgentRoundsPerSecond <= 0 {
		o.UrgentRoundsPerSecond = DefaultUrgentRoundsPerSecond
	}
	self := o.Membership.Self().ID
	if o.TxnPrefix == "" {
		o.TxnPrefix = self
	}
	l := &Limits{
		options: o, self: self,
		urgentLimiter: rate.NewLimiter(rate.Limit(o.UrgentRoundsPerSecond), 1),
		askLimiter:    rate.NewLimiter(asksPerSecond, asksPerSecond),
		wake:          make(chan struct{}, 1),
		teams:         map[fleet.TeamName]*team{},
		absentSince:   map[string]time.Time{},
		refusedTeams:  map[fleet.TeamName]bool{},
	}
	l.register(router)
	return l
}

// Stats returns the counts since New.
func (l *Limits) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Wake returns a channel that is signalled when a Take was refused and the
// caller should run Urgent before the next Tick. Options.UrgentRoundsPerSecond
// bounds the rate of the signals.
func (l *Limits) Wake() <-chan struct{} { return l.wake }

func (t *team) setRow(row Row, version uint64) {
	t.row, t.version, t.rowRead, t.sum = row, version, true, row.Sum()
}

// team returns the state of a team and creates it if needed. l.mu is held.
func (l *Limits) team(name fleet.TeamName) *team {
	t, ok := l.teams[name]
	if !ok {
		t = &team{adopting: map[string]int{}}
		l.teams[name] = t
	}
	return t
}

// usable returns how many of this entry's units tasks may use.
func (t *team) usable(self string, now time.Time) int {
	units := t.row.Units[self]
	if t.commitPending {
		units = min(units, t.pendingUnits)
	}
	if now.Before(t.reservedUntil) {
		units -= t.reserved
	}
	return units
}

// currentLimit returns the team's limit, and whether the row is known to be
// bounded by it. An entry that does not know of a lowered limit may raise the
// row above it until the row carries the lowered limit. Therefore, once this
// entry has seen a lower limit or has skipped revisions, the row must carry at
// least the revision in which this entry saw the limit. l.mu is held.
func (l *Limits) currentLimit(name fleet.TeamName, t *team) (limit int, current bool) {
	snapshot := l.options.View.Snapshot()
	if snapshot == nil {
		return 0, false
	}
	limit = snapshot.Teams[name].Limit
	if snapshot.Revision != t.seenRevision {
		if limit < t.seenLimit || snapshot.Revision > t.seenRevision+1 {
			t.requiredRevision = snapshot.Revision
		}
		t.seenRevision, t.seenLimit = snapshot.Revision, limit
	}
	if t.row.Revision > snapshot.Revision {
		return t.row.Limit, true
	}
	return limit, t.row.Revision >= t.requiredRevision
}

// Take implements control.Limits. It makes no calls.
func (l *Limits) Take(name fleet.TeamName) error {
	if err := l.options.Membership.Valid(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	if detail := l.refusalDetail(name, t); detail != "" {
		l.stats.Refused++
		l.requestUrgentRound(name)
		return &fleet.Refusal{Reason: fleet.ReasonTeamLimit, Detail: detail, RetryAfter: refusalRetryAfter}
	}
	t.running++
	l.stats.Taken++
	return nil
}

// refusalDetail returns why no task of a team may start here, or "" if one may.
// l.mu is held.
func (l *Limits) refusalDetail(name fleet.TeamName, t *team) string {
	limit, current := l.currentLimit(name, t)
	now := l.options.Clock.Now()
	usable := t.usable(l.self, now)
	switch {
	case !current:
		return fmt.Sprintf("team %s: limit %d is being applied", name, limit)
	case t.sum > limit:
		return fmt.Sprintf("team %s: %d units are held above the limit of %d", name, t.sum-limit, limit)
	case t.running >= usable:
		return fmt.Sprintf("team %s: %d tasks are running with %d units usable here", name, t.running, usable)
	}
	return ""
}

// requestUrgentRound marks a team for the next call of Urgent, and signals Wake
// unless urgentLimiter forbids it. l.mu is held.
func (l *Limits) requestUrgentRound(name fleet.TeamName) {
	l.refusedTeams[name] = true
	if !l.urgentLimiter.AllowN(l.options.Clock.Now(), 1) {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Return implements control.Limits.
func (l *Limits) Return(name fleet.TeamName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	t.running = max(0, t.running-1)
}

// Adopt implements control.Limits. The unit is moved here in the next round;
// until then the row counts it for session from.
func (l *Limits) Adopt(name fleet.TeamName, from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	t.running++
	if from != l.self {
		t.adopting[from]++
	}
}

// SetDemand implements control.Limits.
func (l *Limits) SetDemand(name fleet.TeamName, running, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	t.reportedRunning, t.queued = running, queued
}

// Held returns the units of a team that are held here and how many tasks use
// them.
func (l *Limits) Held(name fleet.TeamName) (units, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	return t.row.Units[l.self], t.running
}

// Excess returns how many of the tasks that run here should be checkpointed
// because the team's limit was lowered below the units that the entries hold.
// Each entry accounts for the excess in proportion to its units.
func (l *Limits) Excess(name fleet.TeamName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	limit, _ := l.currentLimit(name, t)
	if t.sum <= limit {
		return 0
	}
	allowed := limit * t.row.Units[l.self] / t.sum
	return max(0, t.running-allowed)
}

// need returns the units that all running and queued tasks need.
func (t *team) need() int { return max(t.running, t.reportedRunning) + t.queued }

// desired returns the units that the entry should hold: the need with slack,
// but at least the floor.
func (t *team) desired() int {
	need := t.need()
	if need == 0 {
		return t.floor
	}
	return max(t.floor, need+max(1, int(math.Ceil(slackFraction*float64(need)))))
}

func encodeRow(row Row) ([]byte, error) { return cbor.Marshal(row) }

func decodeRow(value []byte) (Row, error) {
	row := Row{}
	if len(value) > 0 {
		if err := cbor.Unmarshal(value, &row); err != nil {
			return Row{}, err
		}
	}
	if row.Units == nil {
		row.Units = map[string]int{}
	}
	return row, nil
}

// sortedTeams returns the keys of m in ascending order.
func sortedTeams[V any](m map[fleet.TeamName]V) []fleet.TeamName {
	names := make([]fleet.TeamName, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
