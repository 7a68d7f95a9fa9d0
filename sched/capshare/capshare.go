// Package capshare divides the cap of a workspace among the pools. Each pool decides on its
// own share, and writes the division on the condition that nobody else has: the sum of the
// shares stays within the cap, and a pool runs no more than its share.
//
// Half of a cap is at first divided evenly, the other half goes to the pools that request
// it. A pool in which a task or a gang waits for more than that puts a claim into the
// division. The claims are served in the order of their tickets: while the first one is
// not met, the other pools give back what they do not use, and take nothing that it lacks.
// A claim that makes no progress for claimTurn, or is the first one for maxClaimTurn, loses
// its place, so that one that cannot be met now, or whose pool has no owner, holds the others
// up for a bounded time.
package capshare

import (
	"maps"
	"time"

	"amaranthfork.example/fleet"
)

const (
	headroomRatio = 1.2                     // requested share relative to the need, so that few writes are needed
	surplusRatio  = 1.6                     // share relative to the need, above which a part of it is given back
	surplusHold   = 1500 * time.Millisecond // how long a surplus lasts before it is given back
	// claimTurn is how long the first claim may make no progress before it loses its
	// place. The other pools need some writes to give back what they do not use.
	claimTurn = time.Second
	// maxClaimTurn is how long the first claim keeps its place while it makes progress.
	maxClaimTurn = 2 * time.Second
)

// Share is one pool's share of a cap.
type Share struct {
	fleet.Resources
	Claim *Claim `cbor:"4,keyasint,omitempty"` // nil if the pool waits for nothing; earlier builds drop it
}

// Claim says what a pool waits for.
type Claim struct {
	Target fleet.Resources `cbor:"1,keyasint"` // share with which its first waiting task or gang can run
	Ticket int64           `cbor:"2,keyasint"` // the lowest ticket comes first
}

// Division divides the cap of one workspace, by pool.
type Division map[string]Share

// Total returns the sum of all shares.
func (d Division) Total() fleet.Resources {
	var sum fleet.Resources
	for _, share := range d {
		sum = sum.Add(share.Resources)
	}
	return sum
}

// with returns a copy of d in which a pool has another share.
func (d Division) with(pool string, s Share) Division {
	next := maps.Clone(d)
	if next == nil {
		next = Division{}
	}
	next[pool] = s
	return next
}

// First returns the pool whose claim comes first among those that are not met; the result
// is false if there is none.
func (d Division) First(limit fleet.Resources) (string, bool) {
	first, ticket := "", int64(0)
	for pool, s := range d {
		if !s.unmet(limit) {
			continue
		}
		if first == "" || s.Claim.Ticket < ticket || s.Claim.Ticket == ticket && pool < first {
			first, ticket = pool, s.Claim.Ticket
		}
	}
	return first, first != ""
}

func (s Share) unmet(limit fleet.Resources) bool {
	return s.Claim != nil && ExceedsShare(s.Claim.Target, s.Resources, limit)
}

// lastTicket returns the highest ticket of a claim, 0 if there is none.
func (d Division) lastTicket() int64 {
	last := int64(0)
	for _, s := range d {
		if s.Claim != nil {
			last = max(last, s.Claim.Ticket)
		}
	}
	return last
}

// Known reports whether each of the pools has a share. What a pool without one may still run
// from before the workspace had a cap is not known; it starts nothing.
func (d Division) Known(pools []string) bool {
	for _, pool := range pools {
		if _, ok := d[pool]; !ok {
			return false
		}
	}
	return true
}

// ExceedsCap reports whether an amount exceeds a cap, in which 0 means no limit.
func ExceedsCap(amount, limit fleet.Resources) bool {
	return limit.MilliCPU > 0 && amount.MilliCPU > limit.MilliCPU ||
		limit.MemoryMB > 0 && amount.MemoryMB > limit.MemoryMB ||
		limit.Accelerators > 0 && amount.Accelerators > limit.Accelerators
}

// ExceedsShare reports whether a need exceeds a cap share. Unlike in a cap, 0 in a share
// allows nothing. Resources that the cap does not limit are ignored.
func ExceedsShare(need, share, limit fleet.Resources) bool {
	return limit.MilliCPU > 0 && need.MilliCPU > share.MilliCPU ||
		limit.MemoryMB > 0 && need.MemoryMB > share.MemoryMB ||
		limit.Accelerators > 0 && need.Accelerators > share.Accelerators
}

// Work is what the runs and the waiting tasks of a workspace in one pool ask for.
type Work struct {
	Used fleet.Resources // held by runs
	Need fleet.Resources // Used, and what waiting tasks could use now
	Unit fleet.Resources // of the first task or gang that waits for nothing but a share; zero if none does
}

// Reason says why a pool changes the division.
type Reason string

// Reasons of changes.
const (
	Keep      Reason = ""          // nothing changes
	Lowered   Reason = "lowered"   // all shares together exceed the cap
	InUse     Reason = "in use"    // the runs hold more than the share
	Joined    Reason = "joined"    // the pool had no share
	Requested Reason = "requested" // waiting tasks need more
	Given     Reason = "given"     // the first claim lacks what the pool does not use
	Claimed   Reason = "claimed"   // the pool begins or changes its claim
	Withdrawn Reason = "withdrawn" // its claim is met, or nothing waits any more
	Passed    Reason = "passed"    // the first claim of another pool has lost its place
	Left      Reason = "left"      // the pool is not declared any more and runs nothing
	Surplus   Reason = "surplus"   // the pool has had more than it needs for some time
	Confirmed Reason = "confirmed" // nothing but the version changes; see Account
)

// Holder decides on one pool's share of one workspace's cap.
type Holder struct {
	Pool string

	surplusSince time.Duration // since when the share exceeds the need, steady clock; 0 if it does not
	first        firstClaim
}

// firstClaim is the first claim of a division as a pool has seen it last.
type firstClaim struct {
	pool   string
	ticket int64
	lacks  fleet.Resources
	began  time.Duration // when it was first seen, steady clock
	since  time.Duration // since when it has made no progress, steady clock
}

// Next returns the division that the pool should write, given the newest one, the cap and
// the number of declared pools. Only the pool's own share, and a claim that loses its place,
// differ from d. now is on the steady clock.
func (h *Holder) Next(d Division, limit fleet.Resources, pools int, w Work, now time.Duration) (Division, Reason) {
	own, present := d[h.Pool]
	free := limit.Sub(d.Total())
	first, claimed := d.First(limit)
	stalled := h.observeFirst(d, first, limit, free, now)
	base := even(limit, pools)
	w.Need = maxEach(w.Need, w.Used.Add(w.Unit))

	if exceeds := ExceedsCap(d.Total(), limit); exceeds || !present || ExceedsShare(w.Used, own.Resources, limit) {
		return h.cover(d, limit, free, base, w, exceeds, present)
	}
	available := maxEach(free, fleet.Resources{})
	if claimed && first != h.Pool {
		lacks := d.lacks(first, limit, free)
		if given := h.give(own.Resources, base, lacks, limit, w); given != (fleet.Resources{}) {
			own.Resources = own.Sub(given)
			own.Claim = h.claim(d, own, limit, w)
			return d.with(h.Pool, own), Given
		}
		available = maxEach(free.Sub(d.shortfall(first, limit)), fleet.Resources{})
	}
	if ExceedsShare(w.Used.Add(w.Unit), own.Add(available), limit) {
		w.Need = w.Need.Sub(w.Unit) // its claim comes first; a part of it would be of no use
	}
	requested := request(w, base, own.Add(available))
	next, reason := own, Keep
	if ExceedsShare(w.Need, own.Resources, limit) && ExceedsShare(requested, own.Resources, limit) {
		next.Resources, reason = maxEach(requested, own.Resources), Requested
	} else if h.surplus(own.Resources, base, limit, w, now) {
		next.Resources, reason = maxEach(requested, w.Used), Surplus
	}
	next.Claim = h.claim(d, next, limit, w)
	if reason == Keep {
		switch {
		case next.Claim != nil && next.Claim != own.Claim:
			reason = Claimed
		case next.Claim != own.Claim:
			reason = Withdrawn
		}
	}
	division := d
	if reason != Keep {
		division = d.with(h.Pool, next)
	}
	if stalled && first != h.Pool && next.unmet(limit) {
		passed := division[first]
		passed.Claim = nil // its pool, if it has an owner, claims again after all others
		return division.with(first, passed), Passed
	}
	return division, reason
}

// give returns what a pool gives back while the first claim lacks something: of what its runs
// do not use, as much as is lacking, and all that it does not need either.
func (h *Holder) give(own, base, lacks, limit fleet.Resources, w Work) fleet.Resources {
	if lacks == (fleet.Resources{}) {
		return lacks
	}
	base.Accelerators = 0
	surplus := own.Sub(maxEach(w.Need.Scale(headroomRatio), base))
	return limited(minEach(own.Sub(w.Used), maxEach(lacks, surplus)), limit)
}

// cover returns the division if the pool has no share, or less than its runs hold, or if all
// shares together exceed the cap. The share is at least what the runs hold, so that no other
// pool can take it.
func (h *Holder) cover(d Division, limit, free, base fleet.Resources, w Work, exceeds, present bool) (Division, Reason) {
	own := d[h.Pool]
	next, reason := own, InUse
	switch {
	case exceeds:
		next.Resources, reason = maxEach(w.Used, minEach(own.Resources, own.Add(free))), Lowered
	case !present:
		next.Resources, reason = maxEach(w.Used, request(w, base, maxEach(free, fleet.Resources{}))), Joined
	default:
		next.Resources = maxEach(w.Used, own.Resources)
	}
	if next.Resources == own.Resources && present {
		return d, Keep
	}
	return d.with(h.Pool, next), reason
}

// Limit returns what a pool may run of its share: while the first claim wants no more than
// its even part of the cap, the others replace no runs beyond theirs.
func (d Division) Limit(pool string, limit fleet.Resources, pools int) fleet.Resources {
	own := d[pool].Resources
	base := even(limit, pools)
	first, claimed := d.First(limit)
	if !claimed || first == pool || ExceedsShare(d[first].Claim.Target, base, limit) {
		return own
	}
	lacks := d.lacks(first, limit, limit.Sub(d.Total()))
	return minEach(own, maxEach(base, own.Sub(lacks)))
}

// observeFirst reports whether the first claim has made no progress for claimTurn, or has been
// the first one for maxClaimTurn.
func (h *Holder) observeFirst(d Division, first string, limit, free fleet.Resources, now time.Duration) bool {
	if first == "" {
		h.first = firstClaim{}
		return false
	}
	seen := firstClaim{pool: first, ticket: d[first].Claim.Ticket, lacks: d.lacks(first, limit, free), began: now, since: now}
	if known := h.first; known.pool == seen.pool && known.ticket == seen.ticket {
		seen.began = known.began
		if known.lacks.Fits(seen.lacks) {
			seen.since = known.since
		}
	}
	h.first = seen
	return now-seen.since > claimTurn || now-seen.began > maxClaimTurn
}

// shortfall returns what a pool's share is short of its claim.
func (d Division) shortfall(pool string, limit fleet.Resources) fleet.Resources {
	s := d[pool]
	return limited(maxEach(s.Claim.Target.Sub(s.Resources), fleet.Resources{}), limit)
}

// lacks returns what the other pools must give back so that a claim can be met.
func (d Division) lacks(pool string, limit, free fleet.Resources) fleet.Resources {
	return limited(maxEach(d.shortfall(pool, limit).Sub(maxEach(free, fleet.Resources{})), fleet.Resources{}), limit)
}

// claim returns the claim that a pool should have, given its share: nil if its first waiting
// task can run, or could not run with the whole cap. A claim keeps its ticket, and its target
// until that is too low.
func (h *Holder) claim(d Division, share Share, limit fleet.Resources, w Work) *Claim {
	target := limited(w.Used.Add(w.Unit), limit)
	if w.Unit == (fleet.Resources{}) || !ExceedsShare(target, share.Resources, limit) || ExceedsCap(target, limit) {
		return nil
	}
	known := d[h.Pool].Claim
	switch {
	case known == nil:
		return &Claim{Target: target, Ticket: d.lastTicket() + 1}
	case ExceedsShare(target, known.Target, limit) || !ExceedsShare(known.Target, share.Resources, limit):
		return &Claim{Target: target, Ticket: known.Ticket}
	}
	return known
}

// surplus reports whether the share has exceeded the need by surplusRatio, and the pool's even
// part, for surplusHold. Accelerators are few and are not divided evenly.
func (h *Holder) surplus(own, base, limit fleet.Resources, w Work, now time.Duration) bool {
	base.Accelerators = 0
	enough := maxEach(w.Need.Scale(surplusRatio), base)
	if !ExceedsShare(own, enough, limit) {
		h.surplusSince = 0
		return false
	}
	if h.surplusSince == 0 {
		h.surplusSince = now
	}
	return now-h.surplusSince > surplusHold
}

// Written must be called after a try to write a division.
func (h *Holder) Written() { h.surplusSince = 0 }

// request returns the share that a pool asks for, at most available.
func request(w Work, base, available fleet.Resources) fleet.Resources {
	requested := minEach(maxEach(w.Need.Scale(headroomRatio), base), available)
	requested.Accelerators = max(0, min(w.Need.Accelerators, available.Accelerators))
	return requested
}

// even returns a pool's part of the half of a cap that is divided evenly.
func even(limit fleet.Resources, pools int) fleet.Resources {
	base := limit.Scale(0.5 / float64(max(1, pools)))
	base.Accelerators = 0
	return base
}

// limited returns r without the resources that the cap does not limit.
func limited(r, limit fleet.Resources) fleet.Resources {
	if limit.MilliCPU <= 0 {
		r.MilliCPU = 0
	}
	if limit.MemoryMB <= 0 {
		r.MemoryMB = 0
	}
	if limit.Accelerators <= 0 {
		r.Accelerators = 0
	}
	return r
}

// minEach returns the smaller amount of each resource, at least 0.
func minEach(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: max(0, min(a.MilliCPU, b.MilliCPU)), MemoryMB: max(0, min(a.MemoryMB, b.MemoryMB)), Accelerators: max(0, min(a.Accelerators, b.Accelerators))}
}

// maxEach returns the larger amount of each resource.
func maxEach(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}
