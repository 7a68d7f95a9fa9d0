package capshare

import (
	"maps"
	"slices"
	"time"

	"amaranthfork.example/fleet"
)

// Account is what a pool's owner knows of the division of one workspace's cap, and what the
// pool may use of it. It is not safe for concurrent use.
type Account struct {
	holder  Holder
	read    bool
	current Division
	version int64 // of current; 0 if there is no row

	// unconfirmed is set until the row has changed since this owner read it first: a write
	// of an earlier owner may still take effect, and lower the share, while the row has the
	// version that it was made for.
	unconfirmed bool
	pending     *Write // a write that may still take effect; nil if there is none
}

// Write is a division to be written on the condition that the present one still has a version.
type Write struct {
	Division Division
	Version  int64 // of the division that it replaces; 0 if there is no row
	Reason   Reason
}

// Outcome is what is known of a write.
type Outcome uint8

// Outcomes of writes.
const (
	Done    Outcome = iota // it has taken effect
	Refused                // it has not, and never will
	Unknown                // it may have taken effect, or may later
)

// NewAccount returns the account of a pool whose owner has read nothing yet.
func NewAccount(pool string) *Account { return &Account{holder: Holder{Pool: pool}} }

// Observe takes note of a division with its version, which is 0 if there is no row. Older
// ones are ignored.
func (a *Account) Observe(d Division, version int64) {
	switch {
	case version < a.version:
		return
	case !a.read:
		a.read, a.unconfirmed = true, true
	case version > a.version:
		a.unconfirmed = false
	}
	a.current, a.version = d, version
}

// Removed takes note that the row does not exist any more.
func (a *Account) Removed() {
	a.read, a.unconfirmed = true, false
	a.current, a.version = nil, 0
}

// Division returns the newest division. The caller must not change it.
func (a *Account) Division() Division { return a.current }

// Share returns the pool's share in the newest division.
func (a *Account) Share() fleet.Resources { return a.current[a.holder.Pool].Resources }

// Usable returns what the pool may run, given the cap, the declared pools and what its runs
// hold. While blocked is true, no run may start: the shares are not known, or exceed the cap.
// recent tells that a pool without a share may have runs from before the workspace had a cap.
func (a *Account) Usable(limit fleet.Resources, pools []string, used fleet.Resources, recent bool) (usable fleet.Resources, blocked bool) {
	own := a.current.Limit(a.holder.Pool, limit, len(pools))
	switch {
	case a.unconfirmed:
		own = minEach(own, used)
	case a.inFlight():
		// The write may lower the share, and another pool may take the rest at once.
		own = minEach(own, a.pending.Division[a.holder.Pool].Resources)
	}
	return own, !a.read || recent && !a.current.Known(pools) || ExceedsCap(a.current.Total(), limit)
}

// inFlight reports whether a write may still take effect.
func (a *Account) inFlight() bool { return a.pending != nil && a.pending.Version == a.version }

// Next returns the write that the owner should make now; the result is false if there is
// none. now is on the steady clock. The caller passes the outcome to Finish before the next
// call.
func (a *Account) Next(limit fleet.Resources, pools []string, w Work, now time.Duration) (Write, bool) {
	if !a.read {
		return Write{}, false
	}
	if a.inFlight() {
		return *a.pending, true // the same write again tells its outcome
	}
	next, reason := a.next(limit, pools, w, now)
	if reason == Keep && a.unconfirmed && ExceedsShare(w.Need, w.Used, limit) {
		next, reason = a.current, Confirmed
	}
	if reason == Keep {
		return Write{}, false
	}
	a.pending = &Write{next, a.version, reason}
	return *a.pending, true
}

// next returns the division that the owner should write. A pool that is not declared has no
// share unless it runs something.
func (a *Account) next(limit fleet.Resources, pools []string, w Work, now time.Duration) (Division, Reason) {
	_, present := a.current[a.holder.Pool]
	if slices.Contains(pools, a.holder.Pool) || w.Used != (fleet.Resources{}) || w.Unit != (fleet.Resources{}) {
		return a.holder.Next(a.current, limit, len(pools), w, now)
	}
	if !present {
		return a.current, Keep
	}
	d := maps.Clone(a.current)
	delete(d, a.holder.Pool)
	return d, Left
}

// Finish takes note of the outcome of a write. version is that of the new row, if it has
// taken effect.
func (a *Account) Finish(w Write, outcome Outcome, version int64) {
	a.holder.Written()
	if outcome != Unknown {
		a.pending = nil
	}
	if outcome == Done {
		a.Observe(w.Division, version)
	}
}
