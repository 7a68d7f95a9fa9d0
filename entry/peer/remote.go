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

	// address and cancelDial belong to the dial loop and are empty without one.
	// accepted counts the open links that the peer has dialed. All three are
	// guarded by node.mu.
	address    string
	cancelDial context.CancelFunc
	accepted   int

	mu           sync.Mutex
	links        []*link       // oldest first
	connecting   bool          // the first attempt to connect after a change of the address has not ended
	linksChanged chan struct{} // closed and replaced when links or connecting change
	handlers     int           // requests that are being handled
	handlerBytes int           // total size of their bodies
}

func newRemote(n *Node, id string) *remote {
	return &remote{node: n, id: id, linksChanged: make(chan struct{})}
}

// stopDialing ends the dial loop and the link that it opened. The caller holds
// node.mu.
func (r *remote) stopDialing() {
	if r.cancelDial != nil {
		r.cancelDial()
	}
	r.address, r.cancelDial = "", nil
}

// notify wakes the calls in waitForLink. The caller holds r.mu.
func (r *remote) notify() {
	close(r.linksChanged)
	r.linksChanged = make(chan struct{})
}

// setConnecting makes calls wait for the first attempt to connect.
func (r *remote) setConnecting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connecting = true
	r.notify()
}

// setFailed ends the wait of calls after a failed attempt or the end of a link.
func (r *remote) setFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connecting = false
	r.notify()
}

// add adds a link. If the peer has too many, the oldest one is failed.
func (r *remote) add(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.links) == maxLinksPerPeer {
		r.links[0].fail(fmt.Errorf("the peer has opened more than %d links", maxLinksPerPeer))
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

// link returns the newest link that has not failed, or nil.
func (r *remote) link() *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestLink()
}

// newestLink is link for callers that hold r.mu.
func (r *remote) newestLink() *link {
	for _, l := range slices.Backward(r.links) {
		if l.alive() {
			return l
		}
	}
	return nil
}

func (r *remote) allLinks() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.links)
}

// waitForLink returns a link. It waits only while the first attempt to connect is
// under way, and otherwise fails at once with ErrUnreachable.
func (r *remote) waitForLink(ctx context.Context) (*link, error) {
	for {
		r.mu.Lock()
		l, connecting, changed := r.newestLink(), r.connecting, r.linksChanged
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

// admit reports whether another request of the peer may be handled, and if so counts
// it until release.
func (r *remote) admit(f frame) bool {
	o := &r.node.options
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := o.MaxHandlers
	if !o.IsPriority(f.Method) {
		limit -= o.ReservedHandlers
	}
	if r.handlers >= limit || r.handlerBytes+len(f.Body) > o.MaxHandlerBytes {
		return false
	}
	r.handlers++
	r.handlerBytes += len(f.Body)
	return true
}

func (r *remote) release(f frame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handlers--
	r.handlerBytes -= len(f.Body)
}
