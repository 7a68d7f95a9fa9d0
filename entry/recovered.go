package entry

import (
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// adoptTime is the time after the state of a session was copied within which the
// new owners have moved the holdings of its running tasks to themselves.
const adoptTime = 5 * time.Second

// recovered tells when nothing of a former session is left to take over, so that
// its holdings may be given out again.
type recovered struct {
	clock      fleet.Clock
	references func(session string) bool

	mu    sync.Mutex
	since map[string]time.Time // when a session was first seen without references
}

func newRecovered(clock fleet.Clock, references func(string) bool) *recovered {
	return &recovered{clock: clock, references: references, since: map[string]time.Time{}}
}

// of reports whether a session has been recovered. It is asked every second
// while holdings of the session remain.
func (r *recovered) of(session string) bool {
	referenced := r.references(session)
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	since, known := r.since[session]
	switch {
	case referenced:
		delete(r.since, session)
		return false
	case !known:
		r.since[session] = now
		return false
	}
	return now.Sub(since) >= adoptTime
}
