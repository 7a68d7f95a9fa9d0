package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"amaranthfork.example/control/rpc"
)

// remote is a peer with its links.
type remote struct {
	node *Node
	id   string

	// address and stop belong to the dial loop, accepted counts the links that
	// the peer has opened. They are guarded by node.mu.
	address  string
	stop     context.CancelFunc
	accepted int

	mu         sync.Mutex
	links      []*link       // oldest first
	connecting bool          // the first attempt since the last link has not ended
	changed    chan struct{} // closed and replaced when links or connecting change
	handlers   int
	bytes      int // of the requests that are handled
}

func newRemote(n *Node, id string) *remote {
	return &remote{node: n, id: id, changed: make(chan struct{})}
}

// stopDialing ends the dial loop and its link. The caller holds node.mu.
func (r *remote) stopDialing() {
	if r.stop != nil {
		r.stop()
	}
	r.address, r.stop = "", nil
}

// notify wakes up the calls that wait for a link. The caller holds r.mu.
func (r *remote) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *remote) setConnecting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connecting = true
	r.notify()
}

func (r *remote) setFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connecting = false
	r.notify()
}

func (r *remote) add(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.links) == maxLinks {
		r.links[0].fail(fmt.Errorf("the peer has opened more than %d links", maxLinks))
	}
	r.links = append(r.links, l)
	r.connecting = false
	r.notify()
}

func (r *remote) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = slices.DeleteFunc(r.links, func(o *link) bool { return o == l })
	r.notify()
}

// link returns the newest link that has not failed, nil without one.
func (r *remote) link() *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest()
}

func (r *remote) newest() *link {
	for _, l := range slices.Backward(r.links) {
		if l.alive() {
			return l
		}
	}
	return nil
}

func (r *remote) all() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.links)
}

// wait returns a link, for which it waits only while the first attempt to
// connect is under way.
func (r *remote) wait(ctx context.Context) (*link, error) {
	for {
		r.mu.Lock()
		l, connecting, changed := r.newest(), r.connecting, r.changed
		r.mu.Unlock()
		if l != nil {
			return l, nil
		}
		if !connecting {
			return nil, fmt.Errorf("%w: no link to member %q", rpc.ErrUnreachable, r.id)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", rpc.ErrUnreachable, ctx.Err())
		}
	}
}

// admit counts a request as handled, unless the peer has too many.
func (r *remote) admit(f frame) bool {
	o := &r.node.options
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := o.MaxHandlers
	if !o.Priority(f.Method) {
		limit -= o.ReservedHandlers
	}
	if r.handlers >= limit || r.bytes+len(f.Body) > o.HandlerBytes {
		return false
	}
	r.handlers++
	r.bytes += len(f.Body)
	return true
}

func (r *remote) release(f frame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handlers--
	r.bytes -= len(f.Body)
}
