package direct

import (
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// Limits of retries. Without the minimum, a team with little traffic could not
// get past a single endpoint that is down.
const (
	retryShare  = 0.1 // of the recent successes
	minRetries  = 3   // in a window
	retryWindow = 10  // seconds
)

// retryBudget bounds the retries of each team by its recent successes, so that
// retries cannot multiply the load of an overload.
type retryBudget struct {
	mu    sync.Mutex
	teams map[fleet.TeamName]*retryCounts
}

type retryCounts struct {
	slots [retryWindow]retrySlot // by second
}

type retrySlot struct {
	second             int64
	successes, retries int
}

func newRetryBudget() *retryBudget {
	return &retryBudget{teams: map[fleet.TeamName]*retryCounts{}}
}

func (b *retryBudget) succeeded(now time.Time, team fleet.TeamName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now, team).successes++
}

// take reports whether the team may retry now, and counts the retry.
func (b *retryBudget) take(now time.Time, team fleet.TeamName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(now, team)
	successes, retries := 0, 0
	for _, s := range b.teams[team].slots {
		if age := now.Unix() - s.second; age >= 0 && age < retryWindow {
			successes += s.successes
			retries += s.retries
		}
	}
	if float64(retries) >= max(minRetries, retryShare*float64(successes)) {
		return false
	}
	current.retries++
	return true
}

func (b *retryBudget) slot(now time.Time, team fleet.TeamName) *retrySlot {
	counts, ok := b.teams[team]
	if !ok {
		counts = &retryCounts{}
		b.teams[team] = counts
	}
	second := now.Unix()
	s := &counts.slots[second%retryWindow]
	if s.second != second {
		*s = retrySlot{second: second}
	}
	return s
}
