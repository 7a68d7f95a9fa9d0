package node

import (
	"sync"
	"time"
)

// arrivals tracks the machines that are being moved to a pool, so that its
// owner reads the discovery table more often only while they may arrive.
type arrivals struct {
	clock    Clock
	moveTime time.Duration // duration of a move, from its order on

	mu       sync.Mutex
	expected map[string]time.Duration // by machine: when it may arrive, steady clock
}

const (
	// arrivalLeadTime covers the time that an order's row takes to reach the
	// pool's owner.
	arrivalLeadTime = 200 * time.Millisecond
	// arrivalSearchTime is how long an overdue machine is still expected.
	arrivalSearchTime = time.Second
)

func newArrivals(clock Clock, moveTime time.Duration) *arrivals {
	return &arrivals{clock: clock, moveTime: moveTime, expected: map[string]time.Duration{}}
}

// expect starts the tracking of a machine when its order is sent. Further calls
// for the machine have no effect.
func (a *arrivals) expect(machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.expected[machine]; !known {
		a.expected[machine] = a.clock.Now().Steady + a.moveTime
	}
}

// forget ends the tracking of a machine, because it has arrived or will not
// arrive.
func (a *arrivals) forget(machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.expected, machine)
}

// imminent reports whether a machine may arrive now.
func (a *arrivals) imminent() bool {
	now := a.clock.Now().Steady
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, expectedAt := range a.expected {
		if now > expectedAt-arrivalLeadTime && now < expectedAt+arrivalSearchTime {
			return true
		}
	}
	return false
}
