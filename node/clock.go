package node

import (
	"time"

	"golang.org/x/sys/unix"

	"amaranthfork.example/sched/pool"
)

// Clock returns the steady time and the time of day.
type Clock interface {
	Now() pool.Time
}

// BootClock reads the clock that continues while the VM is suspended, so that a
// bound on the age of a lease holds across a suspension. The time of day is
// read once; later adjustments of it are ignored.
type BootClock struct {
	start       time.Duration
	startWallMS int64 // time of day at start, Unix ms
}

// NewBootClock returns a clock whose steady time starts at 0 now.
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
