package entry

import (
	"testing"
	"time"
)

type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time { return c.now }

// TestRecoveredWaitsForAdoption guards C5: holdings of a fenced session must not
// be given out before its running tasks are counted at their new owners.
func TestRecoveredWaitsForAdoption(t *testing.T) {
	clock := &stepClock{now: time.Unix(1_000_000, 0)}
	referenced := true
	r := newRecovered(clock, func(string) bool { return referenced })
	steps := []struct {
		name       string
		referenced bool
		advance    time.Duration
		want       bool
	}{
		{"state not copied", true, time.Hour, false},
		{"copied now", false, time.Second, false},
		{"adoption may be under way", false, adoptTime - time.Second, false},
		{"adopted", false, time.Second, true},
		{"referenced again", true, time.Second, false},
		{"the wait starts again", false, adoptTime, false},
		{"adopted again", false, adoptTime, true},
	}
	for _, s := range steps {
		clock.now = clock.now.Add(s.advance)
		referenced = s.referenced
		if got := r.of("session"); got != s.want {
			t.Errorf("%s: recovered = %t, want %t", s.name, got, s.want)
		}
	}
}
