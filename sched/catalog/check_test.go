package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

func sound() *Declarations {
	return &Declarations{
		Version: 3,
		Queues: []*Queue{
			{Name: "quotes", Host: "a.example", Prefix: "/q/", Pool: "small", Stretch: 1.6, MaxAttempts: 2},
			{Name: "long", Host: "a.example", Prefix: "/q/long/", Pool: "large", Open: true, Advice: &Advice{CallTime: time.Second, Validity: time.Minute}},
		},
		Pools:      []*Pool{{Name: "small"}, {Name: "large"}, {Name: "off", Standby: true}},
		Workspaces: []*Workspace{{Name: "w1", Keys: []string{"k1"}, Weight: 2}, {Name: "w2", Keys: []string{"k2"}, Cap: fleet.Resources{MilliCPU: 4000}}},
		Limits:     Limits{BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Guards against declarations that are sent with a fault, that can never match a request or
// contradict each other, without a word; and against problems reported of sound ones.
func TestCheck(t *testing.T) {
	if problems := Check(sound()); len(problems) > 0 {
		t.Fatalf("problems of sound declarations: %+v", problems)
	}
	cases := []struct {
		change func(d *Declarations)
		want   string // place, error or warning, and a part of the message
	}{
		{func(d *Declarations) { d.Queues[1].Prefix = "/q/" }, "queue 1 prefix error: have the same host and prefix"},
		{func(d *Declarations) { d.Queues[1].Name = "quotes" }, "queue 1 name error: declared twice"},
		{func(d *Declarations) { d.Queues[0].Pool = "smal" }, "queue 0 pool error: not declared"},
		{func(d *Declarations) { d.Queues[0].Pool = "off" }, "pool 2  error: can never run"},
		{func(d *Declarations) { d.Queues[0].Host = "" }, "queue 0 host warning: can never match"},
		{func(d *Declarations) { d.Queues[0].Prefix = "q/" }, "queue 0 prefix warning: does not begin with a slash"},
		{func(d *Declarations) { d.Queues[0].Prefix = "/q?x/" }, "queue 0 prefix warning: ends a path"},
		{func(d *Declarations) { d.Queues[0].Stretch = 0.5 }, "queue 0 stretch warning: counts as 1"},
		{func(d *Declarations) { d.Queues[0].Priority = -1 }, "queue 0 priority warning: counts as 0"},
		{func(d *Declarations) { d.Queues[0].MaxAttempts = -1 }, "queue 0 max attempts error: negative"},
		{func(d *Declarations) { d.Queues[1].Advice.Validity = time.Second }, "queue 1 advice warning: can never start a task"},
		{func(d *Declarations) { d.Queues = d.Queues[:1] }, "pool 1  warning: no queue uses pool large"},
		{func(d *Declarations) { d.Workspaces[0].Keys = nil }, "workspace 0 keys warning: it has no key"},
		{func(d *Declarations) { d.Workspaces[1].Keys = []string{"k1"} }, "workspace 1 keys error: have the same key"},
		{func(d *Declarations) { d.Workspaces[1].Cap.MemoryMB = -1 }, "workspace 1 cap error: negative"},
		{func(d *Declarations) { d.Limits.BodyBytes = 100 }, "limits 0 body bytes warning: cannot hold"},
		{func(d *Declarations) { d.Limits.IdleTimeout = time.Second }, "limits 0 header timeout warning: before"},
	}
	for _, c := range cases {
		d := sound()
		c.change(d)
		place, message, _ := strings.Cut(c.want, ": ")
		if !slices.ContainsFunc(Check(d), func(p Problem) bool {
			kind := map[bool]string{true: "error", false: "warning"}[p.Error]
			got := fmt.Sprintf("%s %d %s %s", p.Place.Kind, p.Place.Index, p.Place.Field, kind)
			return got == place && strings.Contains(p.Message, message)
		}) {
			t.Errorf("want %s; got %+v", c.want, Check(d))
		}
	}
}

// Guards against differences that an operator is not shown before a version is sent, and
// against keys in them.
func TestCompare(t *testing.T) {
	after := sound()
	after.Queues[0].Pool, after.Queues[1].Advice = "large", nil
	after.Pools = after.Pools[:2]
	after.Workspaces[0].Keys = []string{"secret"}
	after.Workspaces[1].Cap = fleet.Resources{}
	after.Limits.BodyBytes = 4096
	var lines []string
	for _, d := range Compare(sound().Catalog(), after.Catalog()) {
		lines = append(lines, d.String())
	}
	want := []string{"queue long: advice 1s a call, 0s a VM, valid 1m0s -> none", "queue quotes: pool small -> large", "pool off: removed",
		"workspace w1: keys 1 -> 1 (added 1; removed 1)", "workspace w2: cap 4 cores, 0 MB, 0 accelerators -> none", "limits: body bytes 262144 -> 4096"}
	if !slices.Equal(lines, want) {
		t.Errorf("differences:\n%s\nwant:\n%s", strings.Join(lines, "\n"), strings.Join(want, "\n"))
	}
}
