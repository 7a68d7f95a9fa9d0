package memory

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Default rate limits; the table service and the object store have one each.
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

// Faults holds the fault switches of one path from a caller to a service. The
// zero value lets every call pass, and so does a nil *Faults. The exported fields
// must be set before the first call; the methods may be called at any time.
type Faults struct {
	// Shared holds the switches of the service itself, which apply to the calls
	// of all paths. It may be nil.
	Shared *Faults
	// Clock is the clock of the rate limits; nil means the system clock. Calls
	// always wait in real time.
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

// SetHang makes every call wait until its context is done and then fail with
// ErrUnavailable, without effect.
func (f *Faults) SetHang(hang bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hang = hang
}

// SetLatency delays every call by d before it takes effect.
func (f *Faults) SetLatency(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = d
}

// SetCut makes the workers of a data centre unreachable over this path, or
// reachable again. It has no effect on the other services, which belong to no
// data centre.
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

// newLimiter returns a limiter that allows bursts of a tenth of a second's calls,
// or nil for a rate without a limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// LoseAnswers makes the next n writes that succeed take effect and return
// ErrUnconfirmed.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// Counts returns the numbers of reads and writes that the switches let pass.
func (f *Faults) Counts() (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.writes
}

// Refused returns the number of calls that were refused because their wait for
// the rate limit would have exceeded the queue time.
func (f *Faults) Refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

func (f *Faults) read(ctx context.Context) error  { return f.pass(ctx, false) }
func (f *Faults) write(ctx context.Context) error { return f.pass(ctx, true) }

// pass applies the switches of the path and then those of the service. It waits
// as long as they require, and returns ErrUnavailable if the call must have no
// effect.
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
	return f.Shared.pass(ctx, write)
}

// admit returns how long the call must wait for the latency and the rate limit. It
// returns ErrUnavailable for a call over the rate limit, and for a hanging one
// once its context is done. A service that is down refuses after the latency,
// without use of the rate limit.
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
	queued, ok := f.reserveToken(write)
	if !ok {
		f.refused++
		return 0, backing.ErrUnavailable
	}
	return f.latency + queued, nil
}

// reserveToken reserves a token of the rate limit and returns the time until it may
// be used. It returns false, without a reservation, if that exceeds the queue time.
// The caller holds f.mu.
func (f *Faults) reserveToken(write bool) (time.Duration, bool) {
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

// loseAnswer reports whether the answer of a write that took effect is lost, and
// counts the loss.
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
	return lose || f.Shared.loseAnswer()
}

// isCut reports whether the workers of dc are unreachable over this path.
func (f *Faults) isCut(dc fleet.DataCentreName) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	cut := f.cut[dc]
	f.mu.Unlock()
	return cut || f.Shared.isCut(dc)
}
