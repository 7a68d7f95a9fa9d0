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

// vmListEvery is the time between reads of the VM list while a member is silent.
const vmListEvery = 2 * time.Second

// ErrNoEvidence means that neither the store nor the peers could prove that the
// view is current.
var ErrNoEvidence = errors.New("no evidence that the configuration is current")

// vmNotes holds what the VM list, read since the outage began, shows as gone.
type vmNotes struct {
	wanted bool // a member is silent
	read   time.Time
	gone   map[string]bool // by VM id
}

// probe asks a peer for its evidence and, if it has none, for its part in an
// outage agreement.
type probe struct {
	Suspects []string `cbor:"1,keyasint,omitempty"` // silent members
}

// probeAck answers a probe. If StoreDown is set and Coordinating is not, it is
// also a commitment: the peer completes no acceptance of a change within one TTL
// unless the asker confirms the change.
type probeAck struct {
	Revision     fleet.Revision `cbor:"1,keyasint"`
	Proved       bool           `cbor:"2,keyasint,omitempty"`
	Age          time.Duration  `cbor:"3,keyasint,omitempty"`
	ListVersion  uint64         `cbor:"4,keyasint"`
	StoreDown    bool           `cbor:"5,keyasint,omitempty"`
	Coordinating bool           `cbor:"6,keyasint,omitempty"`
	Gone         []string       `cbor:"7,keyasint,omitempty"` // suspects whose VM is gone
	// Agreed is set if the peer knows of an agreement of the members of its list.
	Agreed    bool          `cbor:"8,keyasint,omitempty"`
	AgreedAge time.Duration `cbor:"9,keyasint,omitempty"`
	// Via is a member that reached the store lately, which may renew sessions.
	Via    string        `cbor:"10,keyasint,omitempty"`
	ViaAge time.Duration `cbor:"11,keyasint,omitempty"`
}

func (v *View) handleProbe(_ context.Context, from string, req probe) (probeAck, error) {
	now := v.o.Clock.Now()
	list := v.o.Members.List()
	v.mu.Lock()
	defer v.mu.Unlock()
	ack := probeAck{Revision: v.revision, ListVersion: list.Version}
	ack.Via, ack.ViaAge = v.o.Members.Via()
	if !v.storeDown {
		ack.Via, ack.ViaAge = v.o.Members.Self().ID, 0
	}
	ack.StoreDown, ack.Coordinating = v.storeDown, v.coordinating > 0
	ack.Age, ack.Proved = v.ageAt(now)
	if v.agreedList > 0 && v.agreedList == list.Version {
		ack.AgreedAge = now.Sub(v.agreed)
		ack.Agreed = ack.AgreedAge < member.UsableTTL
	}
	if ack.StoreDown && !ack.Coordinating {
		v.grants[from] = now
	}
	for _, id := range req.Suspects {
		v.vms.wanted = true
		if e, ok := list.Find(id); ok && v.vms.gone[e.Member.VM] {
			ack.Gone = append(ack.Gone, id)
		}
	}
	return ack, nil
}

func (v *View) handleList(context.Context, string, struct{}) (member.List, error) {
	return v.o.Members.List(), nil
}

// Goodbye is the last word of an entry that stops as planned. It stands for its
// answer in outage agreements from then on.
type Goodbye struct {
	Revision    fleet.Revision `cbor:"1,keyasint"`
	ListVersion uint64         `cbor:"2,keyasint"`
}

func (v *View) handleGoodbye(_ context.Context, from string, req Goodbye) (struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.goodbyes[from] = req
	return struct{}{}, nil
}

// SayGoodbye tells all members that this entry stops. The caller must not
// coordinate changes under this session from then on.
func (v *View) SayGoodbye(ctx context.Context) {
	list := v.o.Members.List()
	bye := Goodbye{Revision: v.Revision(), ListVersion: list.Version}
	each(ids(list, v.o.Members.Self().ID), func(id string) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = v.o.Caller.Call(ctx, id, methodBye, bye, nil) // who misses it sees a silent member
	})
}

// round is one search for evidence among the peers.
type round struct {
	start    time.Time
	list     member.List
	self     control.Member
	suspects []string
	acks     map[string]probeAck
	asked    map[string]bool
}

// askPeers looks for evidence of peers: first in the own data centre, then at
// one member of each other, then at all. It seeks an agreement last.
func (v *View) askPeers(ctx context.Context) error {
	r := &round{
		start: v.o.Clock.Now(),
		list:  v.o.Members.List(),
		self:  v.o.Members.Self(),
		acks:  map[string]probeAck{},
		asked: map[string]bool{},
	}
	r.suspects = v.silent(r.list)
	links := member.Links(r.self, r.list.Members().List)
	wanted := relayAge
	if len(links.Local) == 0 || r.self.ID < slices.Min(links.Local) {
		wanted = relayAgeFirst
	}
	for _, peers := range [][]string{links.Local, links.Relays, ids(r.list, r.self.ID)} {
		v.ask(ctx, r, peers)
		if age, ok := v.age(); ok && age < wanted {
			return nil
		}
	}
	return v.agree(r)
}

// silent returns the members whose VM the notes of this outage show as gone, and
// those that did not answer in the last round.
func (v *View) silent(list member.List) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var silent []string
	for _, e := range list.Entries {
		if v.vms.wanted && v.vms.gone[e.Member.VM] {
			silent = append(silent, e.Member.ID)
		}
	}
	return silent
}

// ask probes the peers that were not asked in this round and takes what they
// offer: newer lists, newer revisions and evidence.
func (v *View) ask(ctx context.Context, r *round, peers []string) {
	var todo []string
	for _, id := range peers {
		if !r.asked[id] {
			r.asked[id] = true
			todo = append(todo, id)
		}
	}
	sent := v.o.Clock.Now()
	var mu sync.Mutex
	each(todo, func(id string) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var ack probeAck
		if err := v.o.Caller.Call(ctx, id, methodProbe, probe{Suspects: r.suspects}, &ack); err != nil {
			return // the peer counts as silent
		}
		mu.Lock()
		defer mu.Unlock()
		r.acks[id] = ack
	})
	for _, id := range todo {
		if ack, ok := r.acks[id]; ok {
			v.take(ctx, id, ack, sent)
		}
	}
}

func (v *View) take(ctx context.Context, peer string, ack probeAck, sent time.Time) {
	if ack.ListVersion > v.o.Members.List().Version {
		v.pullList(ctx, peer)
	}
	if ack.Revision > v.Revision() {
		// On failure the revision stays lower and the evidence is not taken.
		_ = v.pull(ctx, peer)
	}
	if ack.Via != "" {
		v.o.Members.RenewVia(ack.Via, sent.Add(-ack.ViaAge))
	}
	if ack.Proved {
		v.prove(sent.Add(-ack.Age), ack.Revision)
	}
	if ack.Agreed && ack.ListVersion == v.o.Members.List().Version {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.noteAgreement(sent.Add(-ack.AgreedAge), ack.ListVersion)
	}
}

// noteAgreement extends the own session by an agreement on a list that names it.
// No member of that list can have fenced another at the start of the agreement,
// whichever of them concluded it.
func (v *View) noteAgreement(at time.Time, list uint64) {
	if _, ok := v.o.Members.List().Find(v.o.Members.Self().ID); !ok {
		return
	}
	if v.agreedList != list || at.After(v.agreed) {
		v.agreed, v.agreedList = at, list
	}
	v.o.Members.Extend(at)
}

func (v *View) pullList(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list member.List
	if err := v.o.Caller.Call(ctx, peer, methodList, struct{}{}, &list); err != nil {
		return // the next probe shows the difference again
	}
	v.o.Members.Install(list)
}

// agree concludes an outage agreement if every member agrees.
func (v *View) agree(r *round) error {
	listed := false
	if _, ok := r.list.Find(r.self.ID); ok {
		listed = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !listed || v.o.Members.List().Version != r.list.Version || v.coordinating > 0 || v.snapshot == nil {
		return ErrNoEvidence
	}
	silent, err := v.count(r)
	if err != nil {
		return err
	}
	if len(silent) > 0 {
		v.vms.wanted = true
		if !v.allGone(r, silent) {
			return fmt.Errorf("%w: %d members are silent, the first is %s", ErrNoEvidence, len(silent), silent[0])
		}
	}
	if !v.proved || r.start.After(v.evidence) {
		v.evidence, v.proved = r.start, true
	}
	v.noteAgreement(r.start, r.list.Version)
	return nil
}

// count checks the answers and returns the members without one.
func (v *View) count(r *round) (silent []string, err error) {
	for _, e := range r.list.Entries {
		id := e.Member.ID
		if id == r.self.ID {
			continue
		}
		ack, answered := r.acks[id]
		bye, left := v.goodbyes[id]
		switch {
		case answered && (!ack.StoreDown || ack.Coordinating || ack.Revision != v.revision || ack.ListVersion != r.list.Version):
			return nil, fmt.Errorf("%w: %s does not agree", ErrNoEvidence, id)
		case answered:
		case left && bye.Revision <= v.revision && bye.ListVersion <= r.list.Version:
		default:
			silent = append(silent, id)
		}
	}
	return silent, nil
}

// allGone reports whether the silent members can be left out: the VM list shows
// the VM of each as gone to all that answered, and those that answered are more
// than half of the settled members. A coordinator that is not confirmed by half
// of them accepts no change (member.List.Outvoted), so a change that the silent
// ones accepted is known to one that answered.
func (v *View) allGone(r *round, silent []string) bool {
	for _, id := range silent {
		e, _ := r.list.Find(id)
		if !v.vms.gone[e.Member.VM] {
			return false
		}
	}
	for _, ack := range r.acks {
		for _, id := range silent {
			if !slices.Contains(ack.Gone, id) {
				return false
			}
		}
	}
	settled := r.list.Settled()
	answered := 0
	for _, e := range settled {
		if _, ok := r.acks[e.Member.ID]; ok || e.Member.ID == r.self.ID {
			answered++
		}
	}
	return 2*answered > len(settled)
}

// noteGone reads the VM list while a member is silent.
func (v *View) noteGone(ctx context.Context) {
	now := v.o.Clock.Now()
	v.mu.Lock()
	due := v.vms.wanted && (v.vms.read.IsZero() || now.Sub(v.vms.read) >= vmListEvery)
	v.mu.Unlock()
	if !due || v.o.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := v.o.VMs.List(ctx)
	if err != nil {
		return // the silent member goes on preventing agreement
	}
	gone := map[string]bool{}
	for _, vm := range listing.Entries {
		if vm.State == fleet.VMGone {
			gone[vm.ID] = true
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms.read, v.vms.gone = now, gone
}

// ids returns the members but one.
func ids(list member.List, but string) []string {
	var others []string
	for _, e := range list.Entries {
		if e.Member.ID != but {
			others = append(others, e.Member.ID)
		}
	}
	return others
}

// each calls fn for all ids at once and waits.
func each(ids []string, fn func(id string)) {
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() { fn(id) })
	}
	wg.Wait()
}
