// Package fleettest helps tests of packages that take a fleet.Clock.
package fleettest

import (
	"sync"
	"time"

	"amaranthfork.example/fleet"
)

// ManualClock is a clock that moves only when a test moves it. It is safe for
// concurrent use.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

var _ fleet.Clock = (*ManualClock)(nil)

// NewManualClock returns a clock whose time is now.
func NewManualClock(now time.Time) *ManualClock { return &ManualClock{now: now} }

// Now returns the time of the clock.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock by d and returns its new time.
func (c *ManualClock) Advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

// Set changes the time of the clock to now, which may be an earlier one.
func (c *ManualClock) Set(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
}
