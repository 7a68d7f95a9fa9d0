package retry

import (
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

var origin = time.Unix(1_000_000, 0)

// Guards against retries that multiply the load of a failing fleet, against a budget
// that is never restored, and against teams with few successes that get no retries.
func TestBudget(t *testing.T) {
	p := New(Settings{MinRetries: 2, Window: time.Minute})
	retries := func(now time.Time, team fleet.TeamName) int {
		n := 0
		for range 1000 {
			if p.Decide(now, Failure{Team: team, Idempotent: true, Attempts: 1}).Retry {
				n++
			}
		}
		return n
	}
	if n := retries(origin, "quiet"); n != 2 {
		t.Errorf("%d retries without successes, want the minimum of 2", n)
	}
	for range 100 {
		p.Success(origin, "busy")
	}
	if n := retries(origin, "busy"); n != 12 {
		t.Errorf("%d retries after 100 successes, want 12", n)
	}
	if n := retries(origin.Add(50*time.Second), "busy"); n != 0 {
		t.Errorf("%d retries although the budget of the window is used up", n)
	}
	if n := retries(origin.Add(2*time.Minute), "busy"); n != 2 {
		t.Errorf("%d retries after the successes have left the window, want the minimum of 2", n)
	}
}

// Guards against retries of work that may have side effects, against endless
// retries, and against many retries at the same time.
func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		failure Failure
		want    bool
		reason  fleet.Reason
	}{
		{"first failure", Failure{Team: "a", Idempotent: true, Attempts: 1}, true, ""},
		{"not idempotent", Failure{Team: "a", Attempts: 1}, false, fleet.ReasonTaskFailed},
		{"last attempt", Failure{Team: "a", Idempotent: true, Attempts: 4}, false, fleet.ReasonTaskFailed},
	}
	for _, tt := range tests {
		d := New(Settings{}).Decide(origin, tt.failure)
		if d.Retry != tt.want || d.Reason != tt.reason {
			t.Errorf("%s: unexpected decision %+v", tt.name, d)
		}
	}
	p, same := New(Settings{Seed: 7}), New(Settings{Seed: 7})
	distinct := map[time.Duration]bool{}
	for attempts := 1; attempts < 20; attempts++ {
		d := p.Backoff(attempts)
		if d != same.Backoff(attempts) {
			t.Fatal("the same seed gives different delays")
		}
		mean := min(100*time.Millisecond<<(attempts-1), 10*time.Second)
		if attempts < 8 && (d < mean/2 || d > mean*3/2) || d > 10*time.Second {
			t.Errorf("delay of %v after %d attempts is out of bounds", d, attempts)
		}
	}
	for range 10 {
		distinct[p.Backoff(1)] = true
	}
	if len(distinct) < 5 {
		t.Error("the delays have too little jitter")
	}
}
