package entry

import (
	"testing"
	"time"
)

type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time { return c.now }

// TestRecoveredWaitsForAdoption guards against limit units of a fenced session that
// are given to others before its running tasks are counted by their new owners, so
// that a team runs more tasks than its limit.
func TestRecoveredWaitsForAdoption(t *testing.T) {
	clock := &stepClock{now: time.Unix(1_000_000, 0)}
	referenced := true
	r := newRecoveryTracker(clock, func(string) bool { return referenced })
	steps := []struct {
		name       string
		referenced bool
		advance    time.Duration
		want       bool
	}{
		{"state not copied", true, time.Hour, false},
		{"copied now", false, time.Second, false},
		{"adoption may be under way", false, adoptionTime - time.Second, false},
		{"adopted", false, time.Second, true},
		{"referenced again", true, time.Second, false},
		{"the wait starts again", false, adoptionTime, false},
		{"adopted again", false, adoptionTime, true},
	}
	for _, step := range steps {
		clock.now = clock.now.Add(step.advance)
		referenced = step.referenced
		if got := r.isRecovered("session"); got != step.want {
			t.Errorf("%s: recovered = %t, want %t", step.name, got, step.want)
		}
	}
}
