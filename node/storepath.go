package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
)

const (
	// silenceLimit is the time without any answer of the table service, from the start of a
	// call that stays without one, after which the path to the service counts as lost. The
	// usual answer takes 10 ms.
	silenceLimit = 250 * time.Millisecond
	// probeTimeout bounds a probe. The service answers in 4 ms; when it is 60 times slower, in
	// 240 ms.
	probeTimeout = 400 * time.Millisecond
	// probePause is the time between two probes of a lost path.
	probePause = 100 * time.Millisecond
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
	probed     chan struct{} // closed at the end of the next probe, or by an answer
	onLoss     func()        // counts losses; may be nil
}

func newStorePath(clock Clock) *storePath {
	return &storePath{clock: clock, log: zap.NewNop(), probed: make(chan struct{})}
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
		p.wake()
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

// wake tells those who wait in await that a probe has ended. The caller holds mu.
func (p *storePath) wake() {
	close(p.probed)
	p.probed = make(chan struct{})
}

func (p *storePath) probeUntilAnswered(ctx context.Context) {
	for {
		err := p.probe(ctx)
		p.mu.Lock()
		if !p.lost || ctx.Err() != nil {
			p.probing, p.lost = false, false
			p.wake()
			p.mu.Unlock()
			return
		}
		p.wake()
		p.mu.Unlock()
		p.log.Debug("table_path_probed", zap.Error(err))
		sleep(ctx, probePause)
	}
}

// isLost reports whether the path is lost.
func (p *storePath) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// idleFor returns the time since the latest answer.
func (p *storePath) idleFor() time.Duration {
	now := p.clock.Now().Steady
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - p.answeredAt
}

// await reports whether calls may be sent. On a lost path it waits for the end of a probe, so
// that a short stall of this process refuses nothing.
func (p *storePath) await(ctx context.Context) bool {
	p.mu.Lock()
	lost, probed := p.lost, p.probed
	p.mu.Unlock()
	if !lost {
		return true
	}
	select {
	case <-probed:
	case <-ctx.Done():
	}
	return !p.isLost()
}

// record passes the outcome of a call to the path. A call that its caller has cancelled
// proves nothing.
func (p *storePath) record(ctx context.Context, sentAt time.Duration, err error) {
	switch {
	case store.Answered(err):
		p.answered()
	case context.Cause(ctx) != context.Canceled:
		p.unanswered(sentAt)
	}
}
