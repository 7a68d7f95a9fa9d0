package entry

import (
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// adoptionTime is how long the new owners of a former session's shards may need, after
// they have copied its state, to take over the limit units of its running tasks.
const adoptionTime = 5 * time.Second

// recoveryTracker determines when all state of a former session has been taken over,
// so that the limit units that it held may be given to others.
type recoveryTracker struct {
	clock      fleet.Clock
	references func(session string) bool // whether state of the session has yet to be copied

	mu                sync.Mutex
	unreferencedSince map[string]time.Time // by session: when it was first seen without references
}

func newRecoveryTracker(clock fleet.Clock, references func(string) bool) *recoveryTracker {
	return &recoveryTracker{clock: clock, references: references, unreferencedSince: map[string]time.Time{}}
}

// isRecovered reports whether a session has been taken over completely: it has had no
// references for adoptionTime. It must be called every second while the session holds
// limit units.
func (r *recoveryTracker) isRecovered(session string) bool {
	referenced := r.references(session)
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	since, known := r.unreferencedSince[session]
	switch {
	case referenced:
		delete(r.unreferencedSince, session)
		return false
	case !known:
		r.unreferencedSince[session] = now
		return false
	}
	return now.Sub(since) >= adoptionTime
}
