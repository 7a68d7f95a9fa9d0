package load

import (
	"context"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/control/jobs"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/rpc/rpctest"
	"amaranthfork.example/control/slots"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

// members is a fixed member list as one of its members sees it.
type members struct {
	self string
	ids  []string
}

func (m members) Self() control.Member       { return control.Member{ID: m.self} }
func (m members) Valid() error               { return nil }
func (m members) Session() backing.Condition { return backing.Condition{} }
func (m members) Members() control.Members {
	var list control.Members
	for _, id := range m.ids {
		list.List = append(list.List, control.Member{ID: id})
	}
	return list
}

// TestCollect guards against work that is counted twice or left out, arrival
// rates of members that restarted, and members that do not answer and are not
// counted: the capacity policy would take their missing work for a surplus.
func TestCollect(t *testing.T) {
	clock := fleettest.NewManualClock(time.Unix(1_000_000, 0))
	network := rpctest.NewNetwork()
	ids := []string{"a", "b", "c"}
	key := jobs.LoadKey{Pool: "fast", Team: "booking", Class: fleet.ClassUrgent}
	reports := map[string]*Report{}
	collectors := map[string]*Collector{}
	for _, id := range ids {
		report := &Report{
			Work:   []jobs.Load{{LoadKey: key, Running: 1, Queued: 1, RunTime: 4 * time.Second, Arrived: 10}},
			Delays: []Delay{{Team: "booking", Class: fleet.ClassUrgent, P99: time.Second, Samples: 5}},
			VMs:    []slots.VMLoad{{VM: fleet.VMID("w-" + id), Tasks: 1}},
		}
		reports[id] = report
		router := rpc.NewRouter()
		collectors[id] = New(Options{
			Membership: members{id, ids}, Caller: network.Join(id, router), Clock: clock,
			Local: func() Report { return *report },
		}, router)
	}
	reports["b"].Work[0].RunTime = 10 * time.Second
	reports["c"].Delays[0].P99 = 3 * time.Second

	first := collectors["a"].Collect(context.Background())
	if len(first.Work) != 1 || first.Unanswered != 0 || len(first.VMs) != 3 {
		t.Fatalf("got %+v, want one kind of work, three VMs and no member without an answer", first)
	}
	if w := first.Work[0]; w.Running != 3 || w.Queued != 3 || w.RunTime != 6*time.Second || w.ArrivalsPerSecond != 0 {
		t.Errorf("got %+v, want 3 running, 3 queued, a mean of 6s and no rate yet", w)
	}
	if d := first.Delays[0]; d.P99 != 3*time.Second || d.Samples != 15 {
		t.Errorf("got %+v, want the worst delay and all samples", d)
	}

	clock.Advance(2 * time.Second)
	reports["a"].Work[0].Arrived = 20
	reports["b"].Work[0].Arrived = 14
	reports["c"].Work[0].Arrived = 1 // restarted
	if w := collectors["a"].Collect(context.Background()).Work[0]; w.ArrivalsPerSecond != 7 {
		t.Errorf("got %v arrivals a second, want (10+4)/2", w.ArrivalsPerSecond)
	}

	network.SetCut("a", "b", true)
	cut := collectors["a"].Collect(context.Background())
	if cut.Unanswered != 1 || cut.Work[0].Running != 2 {
		t.Errorf("got %d members without an answer and %+v, want 1 and the work of two", cut.Unanswered, cut.Work[0])
	}
	running, queued := cut.ByTeam()
	if running["booking"] != 2 || queued["booking"] != 2 {
		t.Errorf("got %d running, %d queued by team, want 2 and 2", running["booking"], queued["booking"])
	}
}
