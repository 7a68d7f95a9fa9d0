package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
)

const (
	// silenceLimit is the time without any answer of the table service, from the start of a
	// call that stays without one, after which the path to the service counts as lost.
	silenceLimit = 250 * time.Millisecond
	// probeInterval is the time between two probes of a lost path. A probe does not wait for
	// the one before, so that an answer is noticed soon after the path is back.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe. A service that is slow for the first time is found to
	// answer within it.
	probeTimeout = time.Second
	// pathWait is how long a request waits for a lost path to come back.
	pathWait = 450 * time.Millisecond
)

// storePath tells whether the table service answers this entry at all. An answer that refuses
// a call is an answer; the path is lost only while calls stay without one. What is sent on a
// lost path has no known outcome, so requests of callers are not sent on it.
type storePath struct {
	clock Clock
	probe func(context.Context) error // makes a short call whose answer is passed to answered
	log   *zap.Logger

	mu         sync.Mutex
	ctx        context.Context // nil before start: until then the path is not judged
	answeredAt time.Duration   // of the latest answer, steady clock
	lost       bool
	lostAt     time.Duration // start of the call that has shown the loss
	probing    bool
	regained   chan struct{} // closed at the next end of a loss
	checked    chan struct{} // closed at the end of the check under way; nil without one
	onLoss     func()        // counts losses; may be nil
}

func newStorePath(clock Clock) *storePath {
	return &storePath{clock: clock, log: zap.NewNop(), regained: make(chan struct{})}
}

// start begins to judge the path. Probes end with ctx.
func (p *storePath) start(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ctx = ctx
}

// answered notes an answer of the table service.
func (p *storePath) answered() {
	now := p.clock.Now().Steady
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = now
	if p.lost {
		p.lost = false
		p.log.Info("table_path_regained", zap.Duration("lost_for", now-p.lostAt))
		close(p.regained)
		p.regained = make(chan struct{})
	}
}

// unanswered notes a call that ended without an answer. It proves a loss if no other call
// was answered since it was sent.
func (p *storePath) unanswered(sentAt time.Duration) {
	now := p.clock.Now().Steady
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost || p.ctx == nil || p.ctx.Err() != nil || p.answeredAt > sentAt || now-sentAt < silenceLimit {
		return
	}
	p.lost, p.lostAt = true, sentAt
	p.log.Warn("table_path_lost", zap.Duration("silent_for", now-sentAt), zap.Duration("answered_before", now-p.answeredAt))
	if p.onLoss != nil {
		p.onLoss()
	}
	if !p.probing {
		p.probing = true
		go p.probeUntilAnswered(p.ctx)
	}
}

// probeUntilAnswered probes a lost path until it is regained or ctx ends.
func (p *storePath) probeUntilAnswered(ctx context.Context) {
	for {
		go p.probeOnce(ctx)
		sleep(ctx, probeInterval)
		p.mu.Lock()
		if !p.lost || ctx.Err() != nil {
			p.probing = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
}

// probeOnce makes a call whose outcome the path notes.
func (p *storePath) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := p.probe(ctx); err != nil {
		p.log.Debug("table_path_probed", zap.Error(err))
	}
}

// check makes a call if no other was answered for the given time, and waits until its
// outcome or a loss is known. Checks at the same time share the call.
func (p *storePath) check(idle time.Duration) {
	now := p.clock.Now().Steady
	p.mu.Lock()
	if p.lost || p.ctx == nil || now-p.answeredAt <= idle {
		p.mu.Unlock()
		return
	}
	done := p.checked
	if done == nil {
		done = make(chan struct{})
		p.checked = done
		go func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, pathWait)
			defer cancel()
			err := p.probe(ctx)
			p.mu.Lock()
			p.checked = nil
			p.mu.Unlock()
			close(done)
			p.log.Debug("table_path_checked", zap.Error(err))
		}(p.ctx)
	}
	p.mu.Unlock()
	<-done
}

// isLost reports whether the path is lost.
func (p *storePath) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// await reports whether calls may be sent. On a lost path it waits for pathWait, so that a
// short stall of this process or of the service refuses nothing.
func (p *storePath) await(ctx context.Context) bool {
	p.mu.Lock()
	lost, regained, pathCtx := p.lost, p.regained, p.ctx
	p.mu.Unlock()
	if !lost {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, pathWait)
	defer cancel()
	select {
	case <-regained:
		return true
	case <-ctx.Done():
	case <-pathCtx.Done():
	}
	return false
}

// record passes the outcome of a call to the path. A call that its caller has cancelled
// proves nothing.
func (p *storePath) record(ctx context.Context, sentAt time.Duration, err error) {
	switch {
	case store.Answered(err):
		p.answered()
	case !errors.Is(context.Cause(ctx), context.Canceled):
		p.unanswered(sentAt)
	}
}
