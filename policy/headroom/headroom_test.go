package headroom

import (
	"strings"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// quietSnapshot returns a snapshot without any cause for a warning, taken at the
// given time after start.
func quietSnapshot(at time.Duration) Snapshot {
	return Snapshot{
		Now: start.Add(at), Slots: 100, Load: 20,
		Domains: []Domain{{"dc0", 30}, {"dc1", 40}, {"dc2", 30}},
		Delays:  []Delay{{"large", fleet.ClassUrgent, 100 * time.Millisecond, 500}},
		Teams:   []TeamDemand{{"large", 600, 80, 10, 10}},
		Pools:   []PoolLoad{{"p0", 50, 10}},
	}
}

// TestWarningForEachCondition checks that each lack of capacity leads to a warning of
// its kind, and that harmless states do not.
func TestWarningForEachCondition(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *Snapshot)
		kind   Kind
		text   string
	}{
		{"urgent work starts late", func(s *Snapshot) { s.Delays[0].P99 = 1500 * time.Millisecond }, KindDelay, "1.5s"},
		{"few samples are not judged", func(s *Snapshot) { s.Delays[0] = Delay{"large", fleet.ClassUrgent, time.Minute, 5} }, "", ""},
		{"a team is below its share in a full fleet", func(s *Snapshot) {
			s.Load = 120
			s.Domains = nil
			s.Teams[0] = TeamDemand{"large", 600, 80, 30, 75}
		}, KindShare, "its share is 60"},
		{"a team below its share without demand", func(s *Snapshot) { s.Load = 120; s.Domains = nil }, "", ""},
		{"a team is at its limit and asks for more", func(s *Snapshot) { s.Teams[0] = TeamDemand{"large", 600, 80, 80, 200} }, KindLimit, "80"},
		{"the demand of a pool exceeds its slots", func(s *Snapshot) { s.Pools[0].Load = 60 }, KindPool, "60 slots and has 50"},
		{"the demand does not fit without the largest data centre", func(s *Snapshot) { s.Load = 55 }, KindHeadroom, "60 that remain after the loss of dc1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := DefaultSettings()
			set.RaiseAfter = 0
			s := quietSnapshot(0)
			c.change(&s)
			got := NewMonitor(set).Check(s)
			if c.kind == "" {
				if len(got) > 0 {
					t.Errorf("unexpected warnings %+v", got)
				}
				return
			}
			if len(got) != 1 || got[0].Kind != c.kind || !strings.Contains(got[0].Message, c.text) || got[0].Action == "" {
				t.Errorf("got %+v, want %s with %q", got, c.kind, c.text)
			}
		})
	}
}

// Guards against warnings that are raised and withdrawn repeatedly. A load that
// alternates around the threshold must not raise one, and a warning in force must
// outlast a short fall of the load.
func TestWarningsDoNotFlap(t *testing.T) {
	set := DefaultSettings()
	m := NewMonitor(set)
	check := func(at time.Duration, load float64) int {
		s := quietSnapshot(at)
		s.Pools[0].Load = load
		return len(m.Check(s))
	}
	for i := range 101 {
		if n := check(time.Duration(i)*time.Second, float64(40+20*(i%2))); n != 0 {
			t.Fatalf("second %d: %d warnings although the load alternates around the threshold", i, n)
		}
	}
	raised := time.Duration(-1)
	for i := 101; i < 130; i++ {
		if check(time.Duration(i)*time.Second, 60) > 0 && raised < 0 {
			raised = time.Duration(i-101) * time.Second
		}
	}
	if raised < set.RaiseAfter || raised > set.RaiseAfter+time.Second {
		t.Errorf("the warning was raised after %v, want %v", raised, set.RaiseAfter)
	}
	for i := 130; i < 150; i++ {
		if check(time.Duration(i)*time.Second, 10) != 1 {
			t.Fatalf("second %d: the warning was withdrawn before %v had passed", i, set.WithdrawAfter)
		}
	}
	if check(170*time.Second, 10) != 0 {
		t.Error("the warning is still in force 40 s after the load fell")
	}
	if s := quietSnapshot(180 * time.Second); len(m.Check(s)) != 0 || len(m.states) != 0 {
		t.Errorf("%d conditions are still remembered", len(m.states))
	}
}
