package node

import (
	"sync"
	"time"
)

// arrivals knows which machines are on their way to a pool, so that its owner
// looks for them more often just when they may come.
type arrivals struct {
	clock    Clock
	moveTime time.Duration // a move, from its order on

	mu       sync.Mutex
	expected map[string]time.Duration // by machine, when it may come
}

const (
	// arrivalLeadTime covers the way of an order's row to the pool's owner.
	arrivalLeadTime = 200 * time.Millisecond
	// arrivalSearchTime is how long a machine that has not come is looked for.
	arrivalSearchTime = time.Second
)

func newArrivals(clock Clock, takes time.Duration) *arrivals {
	return &arrivals{clock: clock, moveTime: takes, expected: map[string]time.Duration{}}
}

// expect notes that the order for a machine is being sent.
func (a *arrivals) expect(machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.expected[machine]; !known {
		a.expected[machine] = a.clock.Now().Steady + a.moveTime
	}
}

// forget tells that the machine has come, or does not.
func (a *arrivals) forget(machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.expected, machine)
}

// imminent reports whether a machine may come now.
func (a *arrivals) imminent() bool {
	now := a.clock.Now().Steady
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.expected {
		if now > at-arrivalLeadTime && now < at+arrivalSearchTime {
			return true
		}
	}
	return false
}
