package memory

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Default rate limits of the table service and the object store.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	DefaultQueueTime       = time.Second // a call that would wait longer is refused
)

// RateLimit bounds the calls that a service handles. A rate of 0 means no limit.
type RateLimit struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	QueueTime       time.Duration // longest wait of a call; 0 refuses at once
}

// DefaultRateLimit is the limit of the table service and the object store.
var DefaultRateLimit = RateLimit{
	WritesPerSecond: DefaultWritesPerSecond,
	ReadsPerSecond:  DefaultReadsPerSecond,
	QueueTime:       DefaultQueueTime,
}

// Faults holds the fault switches of one caller's path to a service. The zero
// value lets every call pass. The fields are set before the first call.
type Faults struct {
	// Service holds the switches of the service itself, which all paths share.
	// It is nil when there are none.
	Service *Faults
	// Clock drives the rate limits; nil means the system clock. Waiting is
	// always done in real time.
	Clock fleet.Clock

	mu          sync.Mutex
	down        bool
	hang        bool
	cut         map[fleet.DataCentreName]bool
	latency     time.Duration
	loseAnswers int
	queueTime   time.Duration
	readLimit   *rate.Limiter
	writeLimit  *rate.Limiter
	reads       int
	writes      int
	refused     int
}

// SetDown makes every call fail with ErrUnavailable.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetHang makes every call wait until its context is done, without effect.
func (f *Faults) SetHang(hang bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hang = hang
}

// SetLatency delays every call.
func (f *Faults) SetLatency(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = d
}

// SetCut makes the workers of a data centre unreachable over this path. Other
// services belong to no data centre and are not affected.
func (f *Faults) SetCut(dc fleet.DataCentreName, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut == nil {
		f.cut = map[fleet.DataCentreName]bool{}
	}
	f.cut[dc] = cut
}

// SetRateLimit replaces the rate limits.
func (f *Faults) SetRateLimit(l RateLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queueTime = l.QueueTime
	f.readLimit = newLimiter(l.ReadsPerSecond)
	f.writeLimit = newLimiter(l.WritesPerSecond)
}

// newLimiter allows bursts of a tenth of a second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// LoseAnswers makes the next n writes take effect and return ErrUnknown.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// Counts returns the reads and writes that passed the switches.
func (f *Faults) Counts() (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.writes
}

// Refused returns the calls that were over the rate limits.
func (f *Faults) Refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

func (f *Faults) read(ctx context.Context) error  { return f.pass(ctx, false) }
func (f *Faults) write(ctx context.Context) error { return f.pass(ctx, true) }

// pass waits as the switches of the path and the service say, and returns
// ErrUnavailable if the call must have no effect.
func (f *Faults) pass(ctx context.Context, write bool) error {
	if f == nil {
		return nil
	}
	wait, err := f.admit(ctx, write)
	if err != nil {
		return err
	}
	if wait > 0 && fleet.Sleep(ctx, wait) != nil {
		return backing.ErrUnavailable
	}
	f.mu.Lock()
	down := f.down
	if !down {
		f.count(write)
	}
	f.mu.Unlock()
	if down {
		return backing.ErrUnavailable
	}
	return f.Service.pass(ctx, write)
}

// admit returns how long the call waits.
func (f *Faults) admit(ctx context.Context, write bool) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hang {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return 0, backing.ErrUnavailable
	}
	if f.down {
		return f.latency, nil
	}
	queued, ok := f.reserve(write)
	if !ok {
		f.refused++
		return 0, backing.ErrUnavailable
	}
	return f.latency + queued, nil
}

// reserve takes a token of the rate limit. The caller holds f.mu.
func (f *Faults) reserve(write bool) (time.Duration, bool) {
	limiter := f.readLimit
	if write {
		limiter = f.writeLimit
	}
	if limiter == nil {
		return 0, true
	}
	now := f.now()
	r := limiter.ReserveN(now, 1)
	delay := r.DelayFrom(now)
	if delay > f.queueTime {
		r.CancelAt(now)
		return 0, false
	}
	return delay, true
}

func (f *Faults) now() time.Time {
	if f.Clock == nil {
		return time.Now()
	}
	return f.Clock.Now()
}

func (f *Faults) count(write bool) {
	if write {
		f.writes++
		return
	}
	f.reads++
}

// loseAnswer reports whether the answer of a write that took effect is lost.
func (f *Faults) loseAnswer() bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	lose := f.loseAnswers > 0
	if lose {
		f.loseAnswers--
	}
	f.mu.Unlock()
	return lose || f.Service.loseAnswer()
}

// isCut reports whether the workers of dc are unreachable over this path.
func (f *Faults) isCut(dc fleet.DataCentreName) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	cut := f.cut[dc]
	f.mu.Unlock()
	return cut || f.Service.isCut(dc)
}
