package node

import (
	"sync"
	"time"
)

// arrivals knows which machines are on their way to a pool, so that its owner
// looks for them more often just when they may come.
type arrivals struct {
	clock Clock
	takes time.Duration // a move, from its order on

	mu       sync.Mutex
	expected map[string]time.Duration // by machine, when it may come
}

const (
	// arrivalEarly covers the way of an order's row to the pool's owner.
	arrivalEarly = 200 * time.Millisecond
	// arrivalLate is how long a machine that has not come is looked for.
	arrivalLate = time.Second
)

func newArrivals(clock Clock, takes time.Duration) *arrivals {
	return &arrivals{clock: clock, takes: takes, expected: map[string]time.Duration{}}
}

// expect notes that the order for a machine is being sent.
func (a *arrivals) expect(machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.expected[machine]; !known {
		a.expected[machine] = a.clock.Now().Steady + a.takes
	}
}

// forget tells that the machine has come, or does not.
func (a *arrivals) forget(machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.expected, machine)
}

// near reports whether a machine may come now.
func (a *arrivals) near() bool {
	now := a.clock.Now().Steady
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.expected {
		if now > at-arrivalEarly && now < at+arrivalLate {
			return true
		}
	}
	return false
}
