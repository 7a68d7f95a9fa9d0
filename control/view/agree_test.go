package view

import (
	"context"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/member"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/rpc/rpctest"
	"amaranthfork.example/fleet"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// fixedMembers is a membership whose member list does not change. It records
// the time to which the session was extended.
type fixedMembers struct {
	list     member.List
	extended time.Time
}

func (f *fixedMembers) Self() control.Member                 { return f.list.Entries[0].Member }
func (f *fixedMembers) Members() control.Members             { return f.list.Members() }
func (f *fixedMembers) List() member.List                    { return f.list }
func (f *fixedMembers) Valid() error                         { return nil }
func (f *fixedMembers) Session() backing.Condition           { return backing.Condition{} }
func (f *fixedMembers) InstallList(member.List)              {}
func (f *fixedMembers) ExtendLease(at time.Time)             { f.extended = at }
func (f *fixedMembers) ResetObservations()                   {}
func (f *fixedMembers) RenewalPeer() (string, time.Duration) { return "", 0 }
func (f *fixedMembers) SetRenewalPeer(string, time.Time)     {}

// goneVMs is a VM list that shows the given VMs as gone.
type goneVMs struct{ gone []string }

func (v goneVMs) List(context.Context) (backing.VMListing, error) {
	listing := backing.VMListing{}
	for _, id := range v.gone {
		listing.Entries = append(listing.Entries, backing.EntryVM{ID: id, State: fleet.VMGone})
	}
	return listing, nil
}

// outage is a view of member m0, at revision 5, that cannot reach the store.
// Its peers m1 to m4 give the answers in acks; a peer without an answer there
// is silent. All members but m4 are settled.
type outage struct {
	view    *View
	members *fixedMembers
	clock   *clock
	acks    map[string]probeAck
}

func newOutage(t *testing.T, gone ...string) *outage {
	t.Helper()
	o := &outage{clock: &clock{now: time.Unix(1000, 0)}, members: &fixedMembers{list: member.List{Version: 7}}, acks: map[string]probeAck{}}
	network := rpctest.NewNetwork()
	for _, id := range []string{"m0", "m1", "m2", "m3", "m4"} {
		e := member.ListEntry{Member: control.Member{ID: id, VM: "vm-" + id}, JoinedVersion: 1, SettledVersion: 1}
		if id == "m4" {
			e.SettledVersion = 0
		}
		o.members.list.Entries = append(o.members.list.Entries, e)
		if id == "m0" {
			continue
		}
		o.acks[id] = probeAck{Revision: 5, ListVersion: 7, StoreDown: true, Gone: []string{"m1", "m2", "m3", "m4"}}
		router := rpc.NewRouter()
		rpc.Handle(router, methodProbe, func(context.Context, string, probe) (probeAck, error) {
			ack, ok := o.acks[id]
			if !ok {
				return ack, &rpc.RemoteError{Code: "silent"}
			}
			return ack, nil
		})
		network.Join(id, router)
	}
	faults := &memory.Faults{}
	faults.SetDown(true)
	o.view = New(Options{Members: o.members, Table: memory.NewTable(faults), VMs: goneVMs{gone}, Clock: o.clock,
		Caller: network.Join("m0", rpc.NewRouter()),
		Builder: BuilderFunc(func(_ config.Folder, r fleet.Revision) (*config.Snapshot, error) {
			return &config.Snapshot{Revision: r}, nil
		})})
	if err := o.view.replaceFolder(storedFolder{Revision: 5}); err != nil {
		t.Fatal(err)
	}
	return o
}

// edit changes the answer of a member.
func (o *outage) edit(id string, fn func(*probeAck)) {
	ack := o.acks[id]
	fn(&ack)
	o.acks[id] = ack
}

// Guards each condition of an outage agreement. If one of them is not checked, an
// entry can act on a revision that is no longer current.
func TestAgreement(t *testing.T) {
	silent := func(ids ...string) func(*outage) {
		return func(o *outage) {
			for _, id := range ids {
				delete(o.acks, id)
			}
		}
	}
	for _, tt := range []struct {
		name   string
		gone   []string
		change func(*outage)
		want   bool
	}{
		{"all agree", nil, func(*outage) {}, true},
		{"one is silent", nil, silent("m2"), false},
		{"one reaches the store", nil, func(o *outage) { o.edit("m2", func(a *probeAck) { a.StoreDown = false }) }, false},
		{"one coordinates", nil, func(o *outage) { o.edit("m2", func(a *probeAck) { a.Coordinating = true }) }, false},
		{"one has a lower revision", nil, func(o *outage) { o.edit("m2", func(a *probeAck) { a.Revision = 4 }) }, false},
		{"one has a higher revision", nil, func(o *outage) { o.edit("m2", func(a *probeAck) { a.Revision = 6 }) }, false},
		{"one has an older list", nil, func(o *outage) { o.edit("m2", func(a *probeAck) { a.ListVersion = 6 }) }, false},
		{"one has a newer list", nil, func(o *outage) { o.edit("m2", func(a *probeAck) { a.ListVersion = 8 }) }, false},
		{"this entry coordinates", nil, func(o *outage) { o.view.MarkCoordinating() }, false},
		{"this entry coordinated", nil, func(o *outage) { o.view.MarkCoordinating()() }, true},
		{"the VM of the silent one is gone", []string{"vm-m2"}, silent("m2"), true},
		{"another VM is gone", []string{"vm-m3"}, silent("m2"), false},
		{"one does not see that the VM is gone", []string{"vm-m2"}, func(o *outage) {
			silent("m2")(o)
			o.edit("m3", func(a *probeAck) { a.Gone = nil })
		}, false},
		{"half of the settled ones are gone", []string{"vm-m2", "vm-m3"}, silent("m2", "m3"), false},
		{"one has left", nil, func(o *outage) {
			silent("m2")(o)
			o.view.goodbyes["m2"] = Goodbye{Revision: 5, ListVersion: 7}
		}, true},
		{"one has left with a higher revision", nil, func(o *outage) {
			silent("m2")(o)
			o.view.goodbyes["m2"] = Goodbye{Revision: 6, ListVersion: 7}
		}, false},
		{"one has left with a newer list", nil, func(o *outage) {
			silent("m2")(o)
			o.view.goodbyes["m2"] = Goodbye{Revision: 5, ListVersion: 8}
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := newOutage(t, tt.gone...)
			tt.change(o)
			var began time.Time
			for range 5 { // the VM list is read only after a member was found silent
				o.clock.now = o.clock.now.Add(TickInterval)
				began = o.clock.now
				_ = o.view.Tick(t.Context())
			}
			if got := o.view.Fresh() == nil; got != tt.want {
				t.Fatalf("fresh: %v, want %v", got, tt.want)
			}
			if extended := !o.members.extended.IsZero(); extended != tt.want {
				t.Errorf("session extended: %v, want %v", extended, tt.want)
			}
			if !tt.want {
				return
			}
			o.acks = nil
			o.clock.now = began.Add(UsableTTL)
			if o.view.Fresh() == nil {
				t.Error("fresh after the evidence has expired")
			}
		})
	}
}

// Guards against a view that returns to a lower revision because an older
// folder or change arrives late.
func TestRevisionNeverFalls(t *testing.T) {
	o := newOutage(t)
	if err := o.view.replaceFolder(storedFolder{Revision: 4}); err != nil || o.view.Revision() != 5 {
		t.Errorf("after a folder of revision 4: revision %d, %v; want 5", o.view.Revision(), err)
	}
	if ok, err := o.view.apply(5, config.Change{Base: 4}); !ok || err != nil || o.view.Revision() != 5 {
		t.Errorf("after a change of revision 5: revision %d, %v; want 5", o.view.Revision(), err)
	}
	if ok, _ := o.view.apply(7, config.Change{Base: 6}); ok || o.view.Revision() != 5 {
		t.Errorf("after a change that does not follow: revision %d, want 5", o.view.Revision())
	}
}
