package entry

import (
	"sync"
	"time"

	"amaranthfork.example/control/limits"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/estimate"
)

// teamLimits applies limits to the work of teams only. Work of open queues that was
// submitted without a key belongs to no team and has no limit.
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

func (l teamLimits) SetDemand(team fleet.TeamName, running, queued int) {
	if team != "" {
		l.Limits.SetDemand(team, running, queued)
	}
}

// estimates makes an estimator safe for concurrent use.
type estimates struct {
	mu        sync.Mutex
	estimator *estimate.Estimator
}

func newEstimates() *estimates { return &estimates{estimator: estimate.New(0)} }

// observe adds a completed task to the estimates. Workers report usage with a lag, so
// a short task may end before any is reported; its declared need is used then.
func (e *estimates) observe(job *fleet.Job, usage fleet.Resources, ran time.Duration) {
	if usage == (fleet.Resources{}) {
		usage = job.Declared
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimator.Observe(estimate.Key{Queue: job.Queue, Class: job.Class}, estimate.Sample{Usage: usage, RunTime: ran})
}

// estimate returns the expected need and run time of a task of the job.
func (e *estimates) estimate(job *fleet.Job) (fleet.Resources, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	got := e.estimator.Estimate(estimate.Key{Queue: job.Queue, Class: job.Class}, job.Declared, job.RunTime)
	return got.Need, got.RunTime
}
