package direct

import (
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// Limits of a team's retries within a window. Without the minimum, a team with
// little traffic could not retry when a single endpoint is down.
const (
	retryFraction       = 0.1 // of the successes in the window
	minRetriesPerWindow = 3
	retryWindowSeconds  = 10
)

// retryBudget limits the retries of each team to a fraction of its recent
// successes, so that retries do not amplify an overload.
type retryBudget struct {
	mu    sync.Mutex
	teams map[fleet.TeamName]*retryCounts
}

// retryCounts is a ring of the last seconds of one team.
type retryCounts struct {
	buckets [retryWindowSeconds]secondCounts // by Unix second modulo the window
}

// secondCounts counts successes and retries within one second.
type secondCounts struct {
	second             int64 // Unix time
	successes, retries int
}

func newRetryBudget() *retryBudget {
	return &retryBudget{teams: map[fleet.TeamName]*retryCounts{}}
}

func (b *retryBudget) recordSuccess(now time.Time, team fleet.TeamName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now, team).successes++
}

// allow reports whether the team may retry now, and if so counts the retry.
func (b *retryBudget) allow(now time.Time, team fleet.TeamName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now, team)
	successes, retries := 0, 0
	for _, s := range b.teams[team].buckets {
		if age := now.Unix() - s.second; age >= 0 && age < retryWindowSeconds {
			successes += s.successes
			retries += s.retries
		}
	}
	if float64(retries) >= max(minRetriesPerWindow, retryFraction*float64(successes)) {
		return false
	}
	current.retries++
	return true
}

// bucket returns the counts of the current second, cleared if they are those of an
// earlier one. The caller holds b.mu.
func (b *retryBudget) bucket(now time.Time, team fleet.TeamName) *secondCounts {
	counts, ok := b.teams[team]
	if !ok {
		counts = &retryCounts{}
		b.teams[team] = counts
	}
	second := now.Unix()
	s := &counts.buckets[second%retryWindowSeconds]
	if s.second != second {
		*s = secondCounts{second: second}
	}
	return s
}
