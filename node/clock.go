package node

import (
	"time"

	"golang.org/x/sys/unix"

	"amaranthfork.example/sched/pool"
)

// Clock tells the time to the parts of a node.
type Clock interface {
	Now() pool.Time
}

// BootClock reads the clock that goes on while the VM is suspended, so that a
// bound on the age of a lease holds across a suspension. The time of day is
// read once: later steps of it are ignored.
type BootClock struct {
	start       time.Duration
	startWallMS int64 // Unix milliseconds at start
}

// NewBootClock reads both clocks.
func NewBootClock() *BootClock {
	return &BootClock{start: bootTime(), startWallMS: time.Now().UnixMilli()}
}

// Now implements Clock.
func (c *BootClock) Now() pool.Time {
	steady := bootTime() - c.start
	return pool.Time{Steady: steady, Wall: c.startWallMS + steady.Milliseconds()}
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
