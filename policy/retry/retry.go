// Package retry decides whether the task of a failed attempt is started again,
// and when. It does no I/O and takes the time as an argument.
package retry

import (
	"math/rand/v2"
	"time"

	"amaranthfork.example/fleet"
)

// buckets divides the budget's window; successes leave it one bucket at a time.
const buckets = 10

// Settings of a Policy. Zero fields take the values of Defaults.
type Settings struct {
	Ratio       float64       // retries allowed for each success in the window
	Floor       int           // retries allowed in each window without any success
	Window      time.Duration // time after which a success or retry no longer counts
	MaxAttempts int           // starts of one step, the first included
	Base        time.Duration // mean delay before the first retry
	Max         time.Duration // upper bound of the delay
	Seed        uint64        // of the jitter
}

// Defaults returns the settings of the design: 10% of the recent successes, so
// that retries add at most a tenth to the load of a fleet that fails.
func Defaults() Settings {
	return Settings{
		Ratio: 0.1, Floor: 3, Window: time.Minute, MaxAttempts: 4,
		Base: 100 * time.Millisecond, Max: 10 * time.Second, Seed: 1,
	}
}

func (s Settings) withDefaults() Settings {
	d := Defaults()
	if s.Ratio <= 0 {
		s.Ratio = d.Ratio
	}
	if s.Floor <= 0 {
		s.Floor = d.Floor
	}
	if s.Window <= 0 {
		s.Window = d.Window
	}
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = d.MaxAttempts
	}
	if s.Base <= 0 {
		s.Base = d.Base
	}
	if s.Max <= 0 {
		s.Max = d.Max
	}
	return s
}

// Failure describes an attempt that did not complete.
type Failure struct {
	Team       fleet.TeamName
	Idempotent bool
	Attempts   int // starts of the step so far, the failed one included
}

// Decision says whether to retry. Reason is set when Retry is false.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason fleet.Reason
	Detail string
}

// Policy holds the retry budgets by team. It is not safe for concurrent use.
type Policy struct {
	settings Settings
	rand     *rand.Rand
	teams    map[fleet.TeamName]*window
}

// New returns a policy with full budgets.
func New(s Settings) *Policy {
	s = s.withDefaults()
	return &Policy{settings: s, rand: rand.New(rand.NewPCG(s.Seed, s.Seed)), teams: map[fleet.TeamName]*window{}}
}

// Success counts a completed task of a team.
func (p *Policy) Success(now time.Time, team fleet.TeamName) {
	p.window(now, team).current().successes++
}

// Decide draws a retry from the team's budget, or says why there is none.
func (p *Policy) Decide(now time.Time, f Failure) Decision {
	if !f.Idempotent {
		return Decision{Reason: fleet.ReasonTaskFailed, Detail: "the job is not idempotent"}
	}
	if f.Attempts >= p.settings.MaxAttempts {
		return Decision{Reason: fleet.ReasonTaskFailed, Detail: "attempts are used up"}
	}
	w := p.window(now, f.Team)
	if w.retries() >= p.allowed(w) {
		return Decision{Reason: fleet.ReasonRetryBudget, Detail: "the team's retries are used up for now"}
	}
	w.current().retries++
	return Decision{Retry: true, After: p.Backoff(f.Attempts)}
}

func (p *Policy) allowed(w *window) int {
	return p.settings.Floor + int(p.settings.Ratio*float64(w.successes()))
}

// Backoff returns the delay after the given number of starts: exponential, with
// a jitter between half and one and a half times the mean so that the retries
// of one incident spread.
func (p *Policy) Backoff(attempts int) time.Duration {
	mean := p.settings.Base
	for i := 1; i < attempts && mean < p.settings.Max; i++ {
		mean *= 2
	}
	delay := time.Duration(float64(mean) * (0.5 + p.rand.Float64()))
	return min(delay, p.settings.Max)
}

func (p *Policy) window(now time.Time, team fleet.TeamName) *window {
	w := p.teams[team]
	if w == nil {
		w = &window{width: max(p.settings.Window/buckets, 1)}
		p.teams[team] = w
	}
	w.advance(now)
	return w
}

// window counts successes and retries in a ring of buckets.
type window struct {
	width time.Duration
	index int64 // of the current bucket since the zero of Unix time
	ring  [buckets]counts
}

type counts struct{ successes, retries int }

func (w *window) advance(now time.Time) {
	index := now.UnixNano() / int64(w.width)
	if index <= w.index {
		return
	}
	steps := min(index-w.index, buckets)
	for i := index - steps + 1; i <= index; i++ {
		w.ring[i%buckets] = counts{}
	}
	w.index = index
}

func (w *window) current() *counts { return &w.ring[w.index%buckets] }

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
