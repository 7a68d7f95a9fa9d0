package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"amaranthfork.example/control/rpc"
)

// States of an outgoing frame. A frame that is canceled while queued is
// certainly not written.
const (
	stateQueued int32 = iota
	stateWriting
	stateCanceled
)

// outgoing is a frame in the send queue.
type outgoing struct {
	data    []byte
	state   *atomic.Int32 // nil for responses, which are never canceled
	flushed chan struct{} // closed when all frames before it are written; then there is no data
}

// pending is a request that waits for its response.
type pending struct {
	state  atomic.Int32
	answer chan frame // holds one
}

// link is one authenticated connection to a peer.
type link struct {
	node   *Node
	peer   *remote
	conn   *websocket.Conn
	dialed bool

	queue    chan outgoing
	queued   atomic.Int64 // bytes in queue
	received atomic.Int64 // frames, for the keepalive

	ctx    context.Context // done when the link has failed
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]*pending
}

var errOverflow = errors.New("send queue is full")

func newLink(n *Node, p *remote, conn *websocket.Conn, dialed bool) *link {
	conn.SetReadLimit(MaxFrame)
	l := &link{
		node: n, peer: p, conn: conn, dialed: dialed,
		queue:   make(chan outgoing, n.options.QueueFrames),
		waiting: map[uint64]*pending{},
	}
	l.ctx, l.cancel = context.WithCancelCause(n.ctx)
	return l
}

// run serves the link until it fails or its node is closed.
func (l *link) run() {
	var loops sync.WaitGroup
	loops.Go(l.writeLoop)
	loops.Go(l.keepAlive)
	l.readLoop()
	l.conn.CloseNow()
	loops.Wait()
}

// finish sends the frames in the queue and closes the connection, after which
// the peer has read them.
func (l *link) finish(ctx context.Context) {
	flushed := make(chan struct{})
	if l.enqueue(outgoing{flushed: flushed}) != nil {
		return
	}
	select {
	case <-flushed:
	case <-l.ctx.Done():
		return
	case <-ctx.Done():
		return
	}
	stop := context.AfterFunc(ctx, func() { l.conn.CloseNow() })
	defer stop()
	l.conn.Close(websocket.StatusGoingAway, "shutdown")
}

func (l *link) fail(err error) { l.cancel(err) }

func (l *link) alive() bool { return l.ctx.Err() == nil }

func (l *link) readLoop() {
	for {
		messageType, data, err := l.conn.Read(l.ctx)
		if err != nil {
			l.fail(err)
			return
		}
		l.received.Add(1)
		l.node.stats.framesIn.Add(1)
		l.node.stats.bytesIn.Add(wireSize(len(data), !l.dialed))
		f, err := decodeFrame(data)
		if err == nil && messageType != websocket.MessageBinary {
			err = errors.New("unexpected text message")
		}
		if err != nil {
			l.node.stats.badFrames.Add(1)
			l.fail(err)
			return
		}
		l.handle(f)
	}
}

func (l *link) handle(f frame) {
	switch f.Kind {
	case kindRequest:
		l.serve(f)
	case kindResponse, kindError, kindReject:
		l.deliver(f)
	default:
		l.node.stats.unknownKinds.Add(1)
	}
}

// deliver hands an answer to its request. Only the first one counts.
func (l *link) deliver(f frame) {
	l.mu.Lock()
	p, ok := l.waiting[f.ID]
	delete(l.waiting, f.ID)
	l.mu.Unlock()
	if !ok {
		l.node.stats.lateResponses.Add(1)
		return
	}
	p.answer <- f
}

func (l *link) writeLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case out := <-l.queue:
			if err := l.write(out); err != nil {
				l.fail(err)
				return
			}
		}
	}
}

func (l *link) write(out outgoing) error {
	l.queued.Add(-int64(len(out.data)))
	if out.flushed != nil {
		close(out.flushed)
		return nil
	}
	if out.state != nil && !out.state.CompareAndSwap(stateQueued, stateWriting) {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.node.options.HandshakeTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, out.data); err != nil {
		return err
	}
	l.node.stats.framesOut.Add(1)
	l.node.stats.bytesOut.Add(wireSize(len(out.data), l.dialed))
	return nil
}

// enqueue puts a frame into the send queue. A full queue closes the link: a peer
// that does not keep up is treated as failed.
func (l *link) enqueue(out outgoing) error {
	size := int64(len(out.data))
	if l.queued.Add(size) <= int64(l.node.options.QueueBytes) {
		select {
		case l.queue <- out:
			return nil
		default:
		}
	}
	l.queued.Add(-size)
	if l.alive() {
		l.node.stats.overflows.Add(1)
		l.fail(errOverflow)
	}
	return errOverflow
}

// keepAlive fails the link when the peer has sent nothing for a time and does
// not answer a ping either.
func (l *link) keepAlive() {
	ticker := time.NewTicker(l.node.options.KeepAlive)
	defer ticker.Stop()
	seen := l.received.Load()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		now := l.received.Load()
		if now == seen {
			if err := l.ping(); err != nil {
				l.fail(fmt.Errorf("keepalive: %w", err))
				return
			}
		}
		seen = now
	}
}

func (l *link) ping() error {
	ctx, cancel := context.WithTimeout(l.ctx, l.node.options.KeepAlive)
	defer cancel()
	return l.conn.Ping(ctx)
}

// roundTrip sends a request and waits for its answer.
func (l *link) roundTrip(ctx context.Context, method string, body []byte) (frame, error) {
	id, p := l.register()
	defer l.forget(id)
	data, err := encodeFrame(frame{
		Kind: kindRequest, ID: id, Method: method, Body: body, Timeout: timeoutMillis(ctx),
	})
	if err != nil {
		return frame{}, fmt.Errorf("%w: %w", rpc.ErrUnreachable, err)
	}
	if err := l.enqueue(outgoing{data: data, state: &p.state}); err != nil {
		return frame{}, fmt.Errorf("%w: %w", rpc.ErrUnreachable, err)
	}
	select {
	case answer := <-p.answer:
		return answer, nil
	case <-ctx.Done():
		return p.abandon(ctx.Err())
	case <-l.ctx.Done():
		return p.abandon(context.Cause(l.ctx))
	}
}

func (l *link) register() (uint64, *pending) {
	p := &pending{answer: make(chan frame, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	l.waiting[l.nextID] = p
	return l.nextID, p
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// abandon returns the error of a request whose wait ended because of cause,
// unless its answer has arrived.
func (p *pending) abandon(cause error) (frame, error) {
	select {
	case answer := <-p.answer:
		return answer, nil
	default:
	}
	if p.state.CompareAndSwap(stateQueued, stateCanceled) {
		return frame{}, fmt.Errorf("%w: %w", rpc.ErrUnreachable, cause)
	}
	return frame{}, fmt.Errorf("%w: %w", rpc.ErrNoAnswer, cause)
}

// timeoutMillis returns the time to the deadline, at least 1 ms if there is one.
func timeoutMillis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	left := time.Until(deadline).Milliseconds()
	return uint32(min(max(left, 1), 1<<31))
}

// serve handles a request in a goroutine of its own, or rejects it.
func (l *link) serve(f frame) {
	if !l.admit(f) {
		l.node.stats.rejected.Add(1)
		l.answer(failureFrame(f.ID, kindReject, codeBusy, ""))
		return
	}
	go func() {
		defer l.node.handlers.leave()
		defer l.peer.release(f)
		ctx, cancel := l.handlerContext(f)
		defer cancel()
		l.answer(l.node.handle(ctx, l.peer.id, f))
	}()
}

func (l *link) admit(f frame) bool {
	if !l.peer.admit(f) {
		return false
	}
	if !l.node.handlers.enter() {
		l.peer.release(f)
		return false
	}
	return true
}

// handlerContext ends when the link fails or the caller no longer waits.
func (l *link) handlerContext(f frame) (context.Context, context.CancelFunc) {
	if f.Timeout == 0 {
		return context.WithCancel(l.ctx)
	}
	return context.WithTimeout(l.ctx, time.Duration(f.Timeout)*time.Millisecond)
}

// answer queues the answer to a request. If the queue is full the link has
// failed, and the caller learns that there is no answer.
func (l *link) answer(f frame) {
	if !l.alive() {
		return
	}
	data, err := encodeFrame(f)
	if err != nil {
		l.fail(err)
		return
	}
	_ = l.enqueue(outgoing{data: data})
}
