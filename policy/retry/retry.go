// Package retry decides whether a task is started again after a failed attempt, and
// when. It does no I/O and takes the current time as an argument.
package retry

import (
	"math/rand/v2"
	"time"

	"amaranthfork.example/fleet"
)

// windowBuckets is the number of buckets of the budget's window. Successes and
// retries leave the window one bucket at a time.
const windowBuckets = 10

// Settings are the parameters of a Policy. Fields that are not positive, except
// Seed, take the values of DefaultSettings.
type Settings struct {
	RetriesPerSuccess float64       // retries allowed for each success of a team in the window
	MinRetries        int           // retries of a team allowed in the window in addition
	Window            time.Duration // time after which a success or a retry no longer counts
	MaxAttempts       int           // starts of one step, including the first
	BaseDelay         time.Duration // mean delay before the first retry
	MaxDelay          time.Duration // upper bound of the delay
	Seed              uint64        // of the random delays
}

// DefaultSettings returns the default settings. Retries are limited to 10% of the
// recent successes, so that they add at most a tenth to the load of a failing fleet.
func DefaultSettings() Settings {
	return Settings{
		RetriesPerSuccess: 0.1, MinRetries: 3, Window: time.Minute, MaxAttempts: 4,
		BaseDelay: 100 * time.Millisecond, MaxDelay: 10 * time.Second, Seed: 1,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	if s.RetriesPerSuccess <= 0 {
		s.RetriesPerSuccess = d.RetriesPerSuccess
	}
	if s.MinRetries <= 0 {
		s.MinRetries = d.MinRetries
	}
	if s.Window <= 0 {
		s.Window = d.Window
	}
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = d.MaxAttempts
	}
	if s.BaseDelay <= 0 {
		s.BaseDelay = d.BaseDelay
	}
	if s.MaxDelay <= 0 {
		s.MaxDelay = d.MaxDelay
	}
	return s
}

// Failure describes an attempt that did not complete.
type Failure struct {
	Team       fleet.TeamName
	Idempotent bool
	Attempts   int // starts of the step so far, including the failed one
}

// Decision says whether to retry.
type Decision struct {
	Retry      bool
	RetryAfter time.Duration // delay of the retry
	Reason     fleet.Reason  // why there is no retry; empty if Retry is true
	Detail     string        // the reason in words
}

// Policy holds the retry budgets of the teams. It is not safe for concurrent use.
type Policy struct {
	settings Settings
	rand     *rand.Rand
	teams    map[fleet.TeamName]*window
}

// New returns a policy without successes or retries.
func New(s Settings) *Policy {
	s = s.withDefaults()
	return &Policy{settings: s, rand: rand.New(rand.NewPCG(s.Seed, s.Seed)), teams: map[fleet.TeamName]*window{}}
}

// Success counts a completed task of a team.
func (p *Policy) Success(now time.Time, team fleet.TeamName) {
	p.window(now, team).current().successes++
}

// Decide decides whether the step of a failed attempt is retried. A retry counts
// against the team's budget.
func (p *Policy) Decide(now time.Time, f Failure) Decision {
	if !f.Idempotent {
		return Decision{Reason: fleet.ReasonTaskFailed, Detail: "the job is not idempotent"}
	}
	if f.Attempts >= p.settings.MaxAttempts {
		return Decision{Reason: fleet.ReasonTaskFailed, Detail: "attempts are used up"}
	}
	w := p.window(now, f.Team)
	if w.retries() >= p.maxRetries(w) {
		return Decision{Reason: fleet.ReasonRetryBudget, Detail: "the team's retries are used up for now"}
	}
	w.current().retries++
	return Decision{Retry: true, RetryAfter: p.Backoff(f.Attempts)}
}

// maxRetries returns the retry budget of a team for the window.
func (p *Policy) maxRetries(w *window) int {
	return p.settings.MinRetries + int(p.settings.RetriesPerSuccess*float64(w.successes()))
}

// Backoff returns the delay before the retry after the given number of starts. The
// mean doubles with each start; the delay is a random value between half and one
// and a half times the mean, at most MaxDelay, so that the retries after one
// incident do not happen at the same time.
func (p *Policy) Backoff(attempts int) time.Duration {
	mean := p.settings.BaseDelay
	for i := 1; i < attempts && mean < p.settings.MaxDelay; i++ {
		mean *= 2
	}
	delay := time.Duration(float64(mean) * (0.5 + p.rand.Float64()))
	return min(delay, p.settings.MaxDelay)
}

// window returns the counts of a team, advanced to the time now.
func (p *Policy) window(now time.Time, team fleet.TeamName) *window {
	w := p.teams[team]
	if w == nil {
		w = &window{width: max(p.settings.Window/windowBuckets, 1)}
		p.teams[team] = w
	}
	w.advance(now)
	return w
}

// window counts the successes and retries of a team in a ring of buckets.
type window struct {
	width time.Duration // of a bucket
	index int64         // number of the current bucket, counted from the Unix epoch
	ring  [windowBuckets]counts
}

type counts struct{ successes, retries int }

// advance clears the buckets that begin between the last call and now.
func (w *window) advance(now time.Time) {
	index := now.UnixNano() / int64(w.width)
	if index <= w.index {
		return
	}
	steps := min(index-w.index, windowBuckets)
	for i := index - steps + 1; i <= index; i++ {
		w.ring[i%windowBuckets] = counts{}
	}
	w.index = index
}

func (w *window) current() *counts { return &w.ring[w.index%windowBuckets] }

func (w *window) successes() int {
	sum := 0
	for _, c := range w.ring {
		sum += c.successes
	}
	return sum
}

func (w *window) retries() int {
	sum := 0
	for _, c := range w.ring {
		sum += c.retries
	}
	return sum
}
