package entry

import (
	"sync"
	"time"

	"amaranthfork.example/control/limits"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/estimate"
)

// teamLimits leaves work of open queues, which belongs to no team, unlimited.
type teamLimits struct{ *limits.Limits }

func (l teamLimits) Take(team fleet.TeamName) error {
	if team == "" {
		return nil
	}
	return l.Limits.Take(team)
}

func (l teamLimits) Return(team fleet.TeamName) {
	if team != "" {
		l.Limits.Return(team)
	}
}

func (l teamLimits) Adopt(team fleet.TeamName, from string) {
	if team != "" {
		l.Limits.Adopt(team, from)
	}
}

func (l teamLimits) Demand(team fleet.TeamName, running, queued int) {
	if team != "" {
		l.Limits.Demand(team, running, queued)
	}
}

// estimates shares one estimator between the goroutines of an entry.
type estimates struct {
	mu        sync.Mutex
	estimator *estimate.Estimator
}

func newEstimates() *estimates { return &estimates{estimator: estimate.New(0)} }

// observe learns from a completed task. Usage lags, so a short task may end
// before any was reported; its declaration is all that is known then.
func (e *estimates) observe(job *fleet.Job, usage fleet.Resources, ran time.Duration) {
	if usage == (fleet.Resources{}) {
		usage = job.Declared
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimator.Observe(estimate.Key{Queue: job.Queue, Class: job.Class}, estimate.Sample{Usage: usage, RunTime: ran})
}

func (e *estimates) of(job *fleet.Job) (fleet.Resources, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	got := e.estimator.Estimate(estimate.Key{Queue: job.Queue, Class: job.Class}, job.Declared, job.RunTime)
	return got.Need, got.RunTime
}
