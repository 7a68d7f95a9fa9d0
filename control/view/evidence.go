package view

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"amaranthfork.example/control"
	"amaranthfork.example/control/member"
	"amaranthfork.example/fleet"
)

// vmListInterval is the shortest time between two reads of the VM list while a
// member does not answer.
const vmListInterval = 2 * time.Second

// ErrNoEvidence means that neither the store nor the peers gave evidence that the
// view is current.
var ErrNoEvidence = errors.New("no evidence that the configuration is current")

// vmObservations holds the VMs that the VM list has shown as gone since the
// outage began.
type vmObservations struct {
	listNeeded bool            // a member does not answer, so the list must be read
	readAt     time.Time       // of the list, zero if it was not read in this outage
	gone       map[string]bool // by VM id
}

// probe asks a peer for its evidence and, in case it has none, for its consent to
// an outage agreement.
type probe struct {
	Suspects []string `cbor:"1,keyasint,omitempty"` // ids of members whose VM the sender knows to be gone
}

// probeAck answers a probe. If StoreDown is set and Coordinating is not, it is
// also a commitment: for one TTL the peer accepts no change unless the sender of
// the probe has confirmed that change.
type probeAck struct {
	Revision     fleet.Revision `cbor:"1,keyasint"`
	Proved       bool           `cbor:"2,keyasint,omitempty"` // the peer has unexpired evidence for Revision
	Age          time.Duration  `cbor:"3,keyasint,omitempty"` // of that evidence
	ListVersion  uint64         `cbor:"4,keyasint"`           // of the peer's member list
	StoreDown    bool           `cbor:"5,keyasint,omitempty"`
	Coordinating bool           `cbor:"6,keyasint,omitempty"` // the peer coordinates a change now
	Gone         []string       `cbor:"7,keyasint,omitempty"` // suspects whose VM the peer also knows to be gone
	// Agreed is set if the peer knows of an unexpired outage agreement on its
	// member list; AgreedAge is the time since that agreement started.
	Agreed    bool          `cbor:"8,keyasint,omitempty"`
	AgreedAge time.Duration `cbor:"9,keyasint,omitempty"`
	// StoreContact is a member that reached the store StoreContactAge ago, or ""
	// if the peer knows of none. Sessions can be renewed through it.
	StoreContact    string        `cbor:"10,keyasint,omitempty"`
	StoreContactAge time.Duration `cbor:"11,keyasint,omitempty"`
}

// handleProbe answers a probe and records the commitment that the answer makes.
func (v *View) handleProbe(_ context.Context, from string, req probe) (probeAck, error) {
	now := v.options.Clock.Now()
	list := v.options.Members.List()
	v.mu.Lock()
	defer v.mu.Unlock()
	ack := probeAck{Revision: v.revision, ListVersion: list.Version}
	ack.StoreContact, ack.StoreContactAge = v.options.Members.RenewalPeer()
	if !v.storeDown {
		ack.StoreContact, ack.StoreContactAge = v.options.Members.Self().ID, 0
	}
	ack.StoreDown, ack.Coordinating = v.storeDown, v.coordinating > 0
	ack.Age, ack.Proved = v.evidenceAgeAt(now)
	if v.agreedListVersion > 0 && v.agreedListVersion == list.Version {
		ack.AgreedAge = now.Sub(v.agreedAt)
		ack.Agreed = ack.AgreedAge < member.UsableTTL
	}
	if ack.StoreDown && !ack.Coordinating {
		v.grantedAt[from] = now
	}
	for _, id := range req.Suspects {
		v.observedVMs.listNeeded = true
		if e, ok := list.Find(id); ok && v.observedVMs.gone[e.Member.VM] {
			ack.Gone = append(ack.Gone, id)
		}
	}
	return ack, nil
}

func (v *View) handleList(context.Context, string, struct{}) (member.List, error) {
	return v.options.Members.List(), nil
}

// Goodbye announces a planned stop of an entry. From then on it stands for the
// entry's answers to probes in outage agreements.
type Goodbye struct {
	Revision    fleet.Revision `cbor:"1,keyasint"` // the last revision that the entry had
	ListVersion uint64         `cbor:"2,keyasint"` // of the entry's last member list
}

func (v *View) handleGoodbye(_ context.Context, from string, req Goodbye) (struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.goodbyes[from] = req
	return struct{}{}, nil
}

// SendGoodbye sends all members a Goodbye, once. The caller must not coordinate
// changes under this session from then on.
func (v *View) SendGoodbye(ctx context.Context) {
	list := v.options.Members.List()
	bye := Goodbye{Revision: v.Revision(), ListVersion: list.Version}
	forEachConcurrently(otherIDs(list, v.options.Members.Self().ID), func(id string) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = v.options.Caller.Call(ctx, id, methodGoodbye, bye, nil) // a member that misses it counts this entry as silent
	})
}

// evidenceSearch is one search for evidence among the peers.
type evidenceSearch struct {
	start    time.Time
	list     member.List // at the start
	self     control.Member
	suspects []string // members whose VM is known to be gone
	acks     map[string]probeAck
	probed   map[string]bool // also those that did not answer
}

// seekPeerEvidence probes the members of this entry's data centre, then one
// member of each other data centre, then all others, until the evidence is
// young enough. If none of them provides it, it tries to conclude an outage
// agreement.
func (v *View) seekPeerEvidence(ctx context.Context) error {
	search := &evidenceSearch{
		start:  v.options.Clock.Now(),
		list:   v.options.Members.List(),
		self:   v.options.Members.Self(),
		acks:   map[string]probeAck{},
		probed: map[string]bool{},
	}
	search.suspects = v.goneMembers(search.list)
	links := member.Links(search.self, search.list.Members().List)
	maxAge := maxRelayedAge
	if len(links.Local) == 0 || search.self.ID < slices.Min(links.Local) {
		maxAge = maxRelayedAgeFirst
	}
	for _, peers := range [][]string{links.Local, links.Relays, otherIDs(search.list, search.self.ID)} {
		v.probePeers(ctx, search, peers)
		if age, ok := v.evidenceAge(); ok && age < maxAge {
			return nil
		}
	}
	return v.concludeAgreement(search)
}

// goneMembers returns the ids of the members whose VM the VM list has shown as
// gone in this outage.
func (v *View) goneMembers(list member.List) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var gone []string
	for _, e := range list.Entries {
		if v.observedVMs.listNeeded && v.observedVMs.gone[e.Member.VM] {
			gone = append(gone, e.Member.ID)
		}
	}
	return gone
}

// probePeers probes those of the peers that were not probed in this search yet,
// and uses their answers.
func (v *View) probePeers(ctx context.Context, search *evidenceSearch, peers []string) {
	var unprobed []string
	for _, id := range peers {
		if !search.probed[id] {
			search.probed[id] = true
			unprobed = append(unprobed, id)
		}
	}
	sent := v.options.Clock.Now()
	var mu sync.Mutex
	forEachConcurrently(unprobed, func(id string) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var ack probeAck
		if err := v.options.Caller.Call(ctx, id, methodProbe, probe{Suspects: search.suspects}, &ack); err != nil {
			return // without an answer the peer counts as silent
		}
		mu.Lock()
		defer mu.Unlock()
		search.acks[id] = ack
	})
	for _, id := range unprobed {
		if ack, ok := search.acks[id]; ok {
			v.useAck(ctx, id, ack, sent)
		}
	}
}

// useAck uses what the answer of a peer offers: a newer member list, a newer
// revision, a member that reaches the store, evidence, or knowledge of an
// outage agreement. sent is the time just before the probe was sent; the ages
// in the answer count back from it.
func (v *View) useAck(ctx context.Context, peer string, ack probeAck, sent time.Time) {
	if ack.ListVersion > v.options.Members.List().Version {
		v.fetchList(ctx, peer)
	}
	if ack.Revision > v.Revision() {
		// If this fails, the view's revision stays lower and recordEvidence below has
		// no effect.
		_ = v.pull(ctx, peer)
	}
	if ack.StoreContact != "" {
		v.options.Members.SetRenewalPeer(ack.StoreContact, sent.Add(-ack.StoreContactAge))
	}
	if ack.Proved {
		v.recordEvidence(sent.Add(-ack.Age), ack.Revision)
	}
	if ack.Agreed && ack.ListVersion == v.options.Members.List().Version {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.recordAgreement(sent.Add(-ack.AgreedAge), ack.ListVersion)
	}
}

// recordAgreement records an outage agreement that started at a time on this
// entry's clock, on a version of the member list, and renews this entry's
// session as of that time: whichever member concluded the agreement, none of
// that list can have fenced another before its start. It has no effect if the
// member list does not contain this entry. v.mu is held.
func (v *View) recordAgreement(at time.Time, listVersion uint64) {
	if _, ok := v.options.Members.List().Find(v.options.Members.Self().ID); !ok {
		return
	}
	if v.agreedListVersion != listVersion || at.After(v.agreedAt) {
		v.agreedAt, v.agreedListVersion = at, listVersion
	}
	v.options.Members.ExtendLease(at)
}

// fetchList installs the member list of a peer.
func (v *View) fetchList(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list member.List
	if err := v.options.Caller.Call(ctx, peer, methodList, struct{}{}, &list); err != nil {
		return // the next answer shows the newer version again
	}
	v.options.Members.InstallList(list)
}

// concludeAgreement concludes an outage agreement if every member has agreed,
// by its answer or its Goodbye, or can be left out because its VM is gone. The
// agreement is evidence as of the start of the search.
func (v *View) concludeAgreement(search *evidenceSearch) error {
	listed := false
	if _, ok := search.list.Find(search.self.ID); ok {
		listed = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !listed || v.options.Members.List().Version != search.list.Version || v.coordinating > 0 || v.snapshot == nil {
		return ErrNoEvidence
	}
	silent, err := v.silentMembers(search)
	if err != nil {
		return err
	}
	if len(silent) > 0 {
		v.observedVMs.listNeeded = true
		if !v.canExclude(search, silent) {
			return fmt.Errorf("%w: %d members are silent, the first is %s", ErrNoEvidence, len(silent), silent[0])
		}
	}
	if !v.hasEvidence || search.start.After(v.evidenceAt) {
		v.evidenceAt, v.hasEvidence = search.start, true
	}
	v.recordAgreement(search.start, search.list.Version)
	return nil
}

// silentMembers returns the ids of the members that sent neither an answer nor
// a Goodbye that covers the view's revision and the list. An answer that does
// not agree is an error.
func (v *View) silentMembers(search *evidenceSearch) (silent []string, err error) {
	for _, e := range search.list.Entries {
		id := e.Member.ID
		if id == search.self.ID {
			continue
		}
		ack, answered := search.acks[id]
		bye, left := v.goodbyes[id]
		switch {
		case answered && (!ack.StoreDown || ack.Coordinating || ack.Revision != v.revision || ack.ListVersion != search.list.Version):
			return nil, fmt.Errorf("%w: %s did not agree to an outage agreement", ErrNoEvidence, id)
		case answered:
		case left && bye.Revision <= v.revision && bye.ListVersion <= search.list.Version:
		default:
			silent = append(silent, id)
		}
	}
	return silent, nil
}

// canExclude reports whether an agreement can leave out the silent members.
// This entry and all that answered must have read in the VM list that the VMs
// of the silent ones are gone, and these entries must be more than half of the
// settled members. A coordinator accepts no change that less than half of the
// settled members confirmed (member.List.SilentCanAgree), so a change that a
// silent member accepted is known to one that answered.
func (v *View) canExclude(search *evidenceSearch, silent []string) bool {
	for _, id := range silent {
		e, _ := search.list.Find(id)
		if !v.observedVMs.gone[e.Member.VM] {
			return false
		}
	}
	for _, ack := range search.acks {
		for _, id := range silent {
			if !slices.Contains(ack.Gone, id) {
				return false
			}
		}
	}
	settled := search.list.Settled()
	answered := 0
	for _, e := range settled {
		if _, ok := search.acks[e.Member.ID]; ok || e.Member.ID == search.self.ID {
			answered++
		}
	}
	return 2*answered > len(settled)
}

// readGoneVMs reads the VM list while a member is silent, at most once per
// vmListInterval, and records the ids of the VMs that are gone.
func (v *View) readGoneVMs(ctx context.Context) {
	now := v.options.Clock.Now()
	v.mu.Lock()
	due := v.observedVMs.listNeeded && (v.observedVMs.readAt.IsZero() || now.Sub(v.observedVMs.readAt) >= vmListInterval)
	v.mu.Unlock()
	if !due || v.options.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := v.options.VMs.List(ctx)
	if err != nil {
		return // the silent member still prevents an agreement
	}
	gone := map[string]bool{}
	for _, vm := range listing.Entries {
		if vm.State == fleet.VMGone {
			gone[vm.ID] = true
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observedVMs.readAt, v.observedVMs.gone = now, gone
}

// otherIDs returns the ids of all members of a list except self.
func otherIDs(list member.List, self string) []string {
	var others []string
	for _, e := range list.Entries {
		if e.Member.ID != self {
			others = append(others, e.Member.ID)
		}
	}
	return others
}

// forEachConcurrently calls fn for all ids concurrently and waits until all calls
// have returned.
func forEachConcurrently(ids []string, fn func(id string)) {
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() { fn(id) })
	}
	wg.Wait()
}
