// Package fleettest helps tests of packages that take a fleet.Clock.
package fleettest

import (
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// ManualClock is a clock that only moves when a test moves it.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

var _ fleet.Clock = (*ManualClock)(nil)

// NewManualClock returns a clock that stands at now.
func NewManualClock(now time.Time) *ManualClock { return &ManualClock{now: now} }

// Now returns the time at which the clock stands.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d and returns the new time.
func (c *ManualClock) Advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

// Set jumps to now, which may lie before the present time of the clock.
func (c *ManualClock) Set(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
}
