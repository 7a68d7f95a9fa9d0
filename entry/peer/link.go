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

// States of an outgoing request. One that is canceled while it is queued is
// certainly never written.
const (
	stateQueued int32 = iota
	stateWriting
	stateCanceled
)

// outgoing is a frame in the send queue.
type outgoing struct {
	data  []byte
	state *atomic.Int32 // nil for answers, which are never canceled
}

// pending is a request that waits for its answer.
type pending struct {
	state  atomic.Int32 // of the frame in the send queue
	answer chan frame   // holds one
}

// link is one authenticated connection to a peer.
type link struct {
	node   *Node
	peer   *remote
	conn   *websocket.Conn
	dialed bool // by this node; false if accepted

	queue          chan outgoing
	queuedBytes    atomic.Int64 // in queue
	framesReceived atomic.Int64 // for the keepalive

	ctx    context.Context // done when the link has failed
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]*pending // by request id
}

var errOverflow = errors.New("send queue is full")

func newLink(n *Node, p *remote, conn *websocket.Conn, dialed bool) *link {
	conn.SetReadLimit(MaxFrameBytes)
	l := &link{
		node: n, peer: p, conn: conn, dialed: dialed,
		queue:   make(chan outgoing, n.options.MaxQueuedFrames),
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

// finish sends the queued frames and a goodbye, and waits until the peer has read
// them and closed the link, or ctx is done. It is called once no request is handled
// any more: the peer learns from the goodbye that its requests without an answer
// were not handled.
func (l *link) finish(ctx context.Context) {
	goodbye, err := encodeFrame(frame{Kind: kindGoodbye})
	if err != nil {
		l.fail(err)
		return
	}
	if l.enqueue(outgoing{data: goodbye}) != nil {
		return
	}
	select {
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
}

// errGoodbye ends a link whose peer shuts down.
var errGoodbye = errors.New("the peer shuts down")

// fail ends the link with err as its cause; only the first cause counts.
func (l *link) fail(err error) { l.cancel(err) }

func (l *link) alive() bool { return l.ctx.Err() == nil }

func (l *link) readLoop() {
	for {
		messageType, data, err := l.conn.Read(l.ctx)
		if err != nil {
			l.fail(err)
			return
		}
		l.framesReceived.Add(1)
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
	case kindGoodbye:
		l.fail(errGoodbye)
	default:
		l.node.stats.unknownKinds.Add(1)
	}
}

// deliver passes an answer to the request that waits for it. Later answers to the
// same request are dropped.
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

// write writes a queued frame, unless its request was canceled.
func (l *link) write(out outgoing) error {
	l.queuedBytes.Add(-int64(len(out.data)))
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
	if l.queuedBytes.Add(size) <= int64(l.node.options.MaxQueuedBytes) {
		select {
		case l.queue <- out:
			return nil
		default:
		}
	}
	l.queuedBytes.Add(-size)
	if l.alive() {
		l.node.stats.overflows.Add(1)
		l.fail(errOverflow)
	}
	return errOverflow
}

// keepAlive fails the link when no frame has arrived for KeepAliveInterval and the
// peer does not answer a ping within the same time either.
func (l *link) keepAlive() {
	ticker := time.NewTicker(l.node.options.KeepAliveInterval)
	defer ticker.Stop()
	lastCount := l.framesReceived.Load()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		count := l.framesReceived.Load()
		if count == lastCount {
			if err := l.ping(); err != nil {
				l.fail(fmt.Errorf("keepalive: %w", err))
				return
			}
		}
		lastCount = count
	}
}

func (l *link) ping() error {
	ctx, cancel := context.WithTimeout(l.ctx, l.node.options.KeepAliveInterval)
	defer cancel()
	return l.conn.Ping(ctx)
}

// roundTrip sends a request and waits for its answer. It returns rpc.ErrUnreachable
// if the request was certainly not sent, and rpc.ErrNoAnswer if it may have been.
func (l *link) roundTrip(ctx context.Context, method string, body []byte) (frame, error) {
	id, p := l.register()
	defer l.unregister(id)
	data, err := encodeFrame(frame{
		Kind: kindRequest, ID: id, Method: method, Body: body, TimeoutMS: timeoutMillis(ctx),
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

// register adds a pending request under a new id.
func (l *link) register() (uint64, *pending) {
	p := &pending{answer: make(chan frame, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	l.waiting[l.nextID] = p
	return l.nextID, p
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// abandon ends the wait for an answer because of cause. It returns the answer if it
// has arrived, ErrUnreachable if the request was still queued and is now canceled or
// the peer has shut down without handling it, and ErrNoAnswer otherwise.
func (p *pending) abandon(cause error) (frame, error) {
	select {
	case answer := <-p.answer:
		return answer, nil
	default:
	}
	if p.state.CompareAndSwap(stateQueued, stateCanceled) || errors.Is(cause, errGoodbye) {
		return frame{}, fmt.Errorf("%w: %w", rpc.ErrUnreachable, cause)
	}
	return frame{}, fmt.Errorf("%w: %w", rpc.ErrNoAnswer, cause)
}

// timeoutMillis returns the time until the deadline of ctx in milliseconds: at least
// 1, or 0 if there is no deadline.
func timeoutMillis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	remainingMS := time.Until(deadline).Milliseconds()
	return uint32(min(max(remainingMS, 1), 1<<31))
}

// serve handles a request in a new goroutine, or rejects it.
func (l *link) serve(f frame) {
	if !l.admit(f) {
		l.node.stats.rejected.Add(1)
		l.respond(failureFrame(f.ID, kindReject, codeBusy, ""))
		return
	}
	go func() {
		defer l.node.handlers.leave()
		defer l.peer.release(f)
		ctx, cancel := l.handlerContext(f)
		defer cancel()
		l.respond(l.node.handle(ctx, l.peer.id, f))
	}()
}

// admit reports whether a request may be handled now, and if so counts it.
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

// handlerContext returns a context that ends when the link fails or when the caller
// has stopped waiting.
func (l *link) handlerContext(f frame) (context.Context, context.CancelFunc) {
	if f.TimeoutMS == 0 {
		return context.WithCancel(l.ctx)
	}
	return context.WithTimeout(l.ctx, time.Duration(f.TimeoutMS)*time.Millisecond)
}

// respond queues the answer to a request. If the queue is full, enqueue fails the
// link, so that the caller gets ErrNoAnswer.
func (l *link) respond(f frame) {
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
