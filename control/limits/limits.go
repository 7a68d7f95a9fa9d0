// Package limits hands out units of the teams' fleet-wide upper limits. Each
// entry holds units of a team's limit in the table row limit/<team> and lets at
// most as many tasks run as it holds. The sum of all holdings never exceeds the
// limit, so neither do the running tasks.
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
	// prefix of the rows.
	prefix = "limit/"
	// slackPart of the wanted units is held in addition, so that most starts
	// need no transaction.
	slackPart = 0.1
	// returnAfter is the time for which a surplus is kept without being asked.
	// Demand often comes back within seconds, and each change is a write.
	returnAfter = 3 * time.Second
	// settleAfter is the time after which a session that left the member list
	// has no tasks that its successors have not adopted: worker leases last
	// 15 s, and 5 s are for clocks and the lag of the member list.
	settleAfter = 20 * time.Second
	// roundTeams bounds the teams of one round, those that waited longest first.
	// 100 entries then make at most 1,600 reads/s.
	roundTeams = 16
	// batch is the largest number of teams in a transaction. More teams make a
	// conflict with another entry more likely.
	batch = 8
	// attempts bounds the transactions for one change within a round.
	attempts = 3
	// asksPerRound bounds the holders that are asked for a team in one round.
	asksPerRound = 2
	// asksPerSecond bounds the messages of an entry: at about 150 bytes each
	// they stay below 1 KB/s.
	asksPerSecond = 6
	// firstBackoff and longestBackoff pause the rounds of a team that is short
	// and got nothing, which is the normal state of a team at its limit.
	firstBackoff   = 500 * time.Millisecond
	longestBackoff = 4 * time.Second
	// owedFor is the time for which units that another entry has asked for are
	// not used again, but handed over as their tasks end.
	owedFor = 5 * time.Second
	// DefaultUrgentRate is the number of immediate rounds a second and entry.
	DefaultUrgentRate = 5
	// retryLimit is the retry-after of a refusal.
	retryLimit = 500 * time.Millisecond
	// callTimeout bounds each call of the table and each message to a peer.
	callTimeout = time.Second
)

// Options are the parts and settings of a Limits.
type Options struct {
	View       control.View
	Membership control.Membership
	Table      backing.Table
	Caller     rpc.Caller
	Clock      fleet.Clock
	// Recovered reports whether the jobs of a session that left the member
	// list have all been adopted. If it is set, holdings of the session are
	// not given out again before; nil means that the time alone decides.
	Recovered func(session string) bool
	// FloorPart bounds the units that entries keep of a team without demand, for
	// the time of a store outage: all of them together keep at most this part of
	// the limit, in inverse form (4 means a quarter). 0 means that idle teams
	// return everything.
	FloorPart int
	// TxnPrefix makes the ids of transactions unique; empty means the own
	// member id.
	TxnPrefix string
	// UrgentRate is the number of immediate rounds a second; 0 means
	// DefaultUrgentRate.
	UrgentRate float64
}

// Row is the content of a table row limit/<team>.
type Row struct {
	// Limit and Revision are the limit under which the row was last raised and
	// the configuration that set it. An entry with an older configuration does
	// not raise the sum of units above Limit.
	Limit    int            `cbor:"1,keyasint"`
	Revision fleet.Revision `cbor:"2,keyasint"`
	Units    map[string]int `cbor:"3,keyasint"` // by session
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

func (r *Row) add(session string, n int) {
	r.Units[session] += n
	if r.Units[session] <= 0 {
		delete(r.Units, session)
	}
}

// Key returns the key of a team's row.
func Key(team fleet.TeamName) string { return prefix + string(team) }

// Limits implements control.Limits. All methods are safe for concurrent use.
type Limits struct {
	o    Options
	self string

	round  sync.Mutex    // held during a round, so that one changes rows at a time
	given  []gift        // by the present round
	urgent *rate.Limiter // immediate rounds
	asking *rate.Limiter // messages
	wake   chan struct{}

	mu      sync.Mutex
	teams   map[fleet.TeamName]*team
	absent  map[string]time.Time // sessions in rows that are not members, since when
	txns    uint64               // numbers the transactions
	stats   Stats
	refused map[fleet.TeamName]bool // teams for an immediate round
}

var _ control.Limits = (*Limits)(nil)

// team is what an entry knows of a team.
type team struct {
	row     Row
	sum     int // of all units of row
	version uint64
	read    bool // row was read at least once

	seen     fleet.Revision // configuration looked at last
	limit    int            // its limit
	required fleet.Revision // least revision of a row that is bounded by limit

	floor   int // units kept without demand
	running int
	queued  int
	wanted  int // running as told by Demand

	// pending is a commit with unknown outcome: until the row is seen above
	// version base, only the smaller of the old and the new units are usable.
	pending     bool
	unknown     bool // an outcome is unknown, not only outstanding
	pendingBase uint64
	pendingOwn  int

	adopting map[string]int // units to move here, by session

	owed      int // units that another entry has asked for
	owedTo    string
	owedUntil time.Time
	surplusAt time.Time // since when more is held than desired, zero if not
	lastRound time.Time
	nextTry   time.Time     // rounds for needed units pause until then
	slackTry  time.Time     // rounds for slack pause until then
	backoff   time.Duration // length of the last pause
	askFrom   int           // holders that were asked since the team became short
}

// Stats counts the work of an entry.
type Stats struct {
	Reads     uint64
	Writes    uint64 // transactions that were sent
	Conflicts uint64
	Unknown   uint64
	Asks      uint64 // messages sent
	Refused   uint64 // Take calls
	Taken     uint64
}

// New returns a Limits that holds nothing, and registers its method with router.
func New(o Options, router *rpc.Router) *Limits {
	if o.UrgentRate <= 0 {
		o.UrgentRate = DefaultUrgentRate
	}
	self := o.Membership.Self().ID
	if o.TxnPrefix == "" {
		o.TxnPrefix = self
	}
	l := &Limits{
		o: o, self: self,
		urgent:  rate.NewLimiter(rate.Limit(o.UrgentRate), 1),
		asking:  rate.NewLimiter(asksPerSecond, asksPerSecond),
		wake:    make(chan struct{}, 1),
		teams:   map[fleet.TeamName]*team{},
		absent:  map[string]time.Time{},
		refused: map[fleet.TeamName]bool{},
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

// Wake is signalled when a Take was refused and the caller should run Urgent
// without waiting for the next Tick. Signals are bounded in rate.
func (l *Limits) Wake() <-chan struct{} { return l.wake }

func (t *team) setRow(row Row, version uint64) {
	t.row, t.version, t.read, t.sum = row, version, true, row.Sum()
}

func (l *Limits) team(name fleet.TeamName) *team {
	t, ok := l.teams[name]
	if !ok {
		t = &team{adopting: map[string]int{}}
		l.teams[name] = t
	}
	return t
}

// usable returns the units that tasks may run on.
func (t *team) usable(self string, now time.Time) int {
	units := t.row.Units[self]
	if t.pending {
		units = min(units, t.pendingOwn)
	}
	if now.Before(t.owedUntil) {
		units -= t.owed
	}
	return units
}

// limitNow returns the team's limit and whether the row is known to be bounded
// by it. An entry that has not heard of a lowered limit yet may go on raising
// the row, until the row carries the lowered limit. So after a decrease, and
// after revisions that were skipped here, the row must carry at least the
// revision in which this entry saw the limit.
func (l *Limits) limitNow(name fleet.TeamName, t *team) (limit int, current bool) {
	snapshot := l.o.View.Snapshot()
	if snapshot == nil {
		return 0, false
	}
	limit = snapshot.Teams[name].Limit
	if snapshot.Revision != t.seen {
		if limit < t.limit || snapshot.Revision > t.seen+1 {
			t.required = snapshot.Revision
		}
		t.seen, t.limit = snapshot.Revision, limit
	}
	if t.row.Revision > snapshot.Revision {
		return t.row.Limit, true
	}
	return limit, t.row.Revision >= t.required
}

// Take implements control.Limits. It changes memory only.
func (l *Limits) Take(name fleet.TeamName) error {
	if err := l.o.Membership.Valid(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	if detail := l.blocked(name, t); detail != "" {
		l.stats.Refused++
		l.wakeFor(name)
		return &fleet.Refusal{Reason: fleet.ReasonTeamLimit, Detail: detail, RetryAfter: retryLimit}
	}
	t.running++
	l.stats.Taken++
	return nil
}

// blocked returns why no task of a team may start here, "" if one may.
func (l *Limits) blocked(name fleet.TeamName, t *team) string {
	limit, current := l.limitNow(name, t)
	now := l.o.Clock.Now()
	usable := t.usable(l.self, now)
	switch {
	case !current:
		return fmt.Sprintf("team %s: limit %d is being applied", name, limit)
	case t.sum > limit:
		return fmt.Sprintf("team %s: %d units are held above the limit of %d", name, t.sum-limit, limit)
	case t.running >= usable:
		return fmt.Sprintf("team %s: %d running on %d units held here", name, t.running, usable)
	}
	return ""
}

func (l *Limits) wakeFor(name fleet.TeamName) {
	l.refused[name] = true
	if !l.urgent.AllowN(l.o.Clock.Now(), 1) {
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

// Adopt implements control.Limits. The unit moves here in the next round; until
// then it stays counted for the session that held it.
func (l *Limits) Adopt(name fleet.TeamName, from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	t.running++
	if from != l.self {
		t.adopting[from]++
	}
}

// Demand implements control.Limits.
func (l *Limits) Demand(name fleet.TeamName, running, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	t.wanted, t.queued = running, queued
}

// Held returns the units held here and those in use.
func (l *Limits) Held(name fleet.TeamName) (units, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	return t.row.Units[l.self], t.running
}

// Excess returns how many of the tasks that run here should be checkpointed
// because the team's limit was lowered below its running tasks: the part of the
// excess that falls on the units held here.
func (l *Limits) Excess(name fleet.TeamName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(name)
	limit, _ := l.limitNow(name, t)
	if t.sum <= limit {
		return 0
	}
	allowed := limit * t.row.Units[l.self] / t.sum
	return max(0, t.running-allowed)
}

// need returns the units for all running and queued tasks.
func (t *team) need() int { return max(t.running, t.wanted) + t.queued }

// desired returns the units that an entry wants to hold.
func (t *team) desired() int {
	need := t.need()
	if need == 0 {
		return t.floor
	}
	return max(t.floor, need+max(1, int(math.Ceil(slackPart*float64(need)))))
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

func sortedTeams[V any](m map[fleet.TeamName]V) []fleet.TeamName {
	names := make([]fleet.TeamName, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
