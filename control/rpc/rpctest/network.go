// Package rpctest is an in-memory network between entries for tests, with cuts
// and lost answers.
package rpctest

import (
	"context"
	"errors"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/control/rpc"
)

// Network connects routers by member id.
type Network struct {
	mu      sync.Mutex
	routers map[string]*rpc.Router
	cut     map[[2]string]bool
	lose    map[[2]string]int
}

// NewNetwork returns a network without members.
func NewNetwork() *Network {
	return &Network{routers: map[string]*rpc.Router{}, cut: map[[2]string]bool{}, lose: map[[2]string]int{}}
}

// Join attaches a member and returns its caller.
func (n *Network) Join(member string, router *rpc.Router) rpc.Caller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routers[member] = router
	return &caller{network: n, self: member}
}

// Leave detaches a member; calls to it are unreachable.
func (n *Network) Leave(member string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.routers, member)
}

// SetCut cuts or heals both directions between two members.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

// LoseAnswers makes the next calls from one member to another take effect
// without an answer.
func (n *Network) LoseAnswers(from, to string, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose[[2]string{from, to}] = calls
}

func (n *Network) route(from, to string) (router *rpc.Router, lose bool, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := [2]string{from, to}
	router, ok = n.routers[to]
	if n.cut[path] {
		return nil, false, false
	}
	if ok && n.lose[path] > 0 {
		n.lose[path]--
		lose = true
	}
	return router, lose, ok
}

type caller struct {
	network *Network
	self    string
}

// Call serves the request in the caller's goroutine.
func (c *caller) Call(ctx context.Context, member, method string, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	router, lose, ok := c.network.route(c.self, member)
	if !ok {
		return rpc.ErrUnreachable
	}
	answer, err := router.Serve(ctx, c.self, method, body)
	if lose {
		return rpc.ErrNoAnswer
	}
	if err != nil {
		var remote *rpc.RemoteError
		if errors.As(err, &remote) || errors.Is(err, rpc.ErrUnknownMethod) {
			return err
		}
		return &rpc.RemoteError{Code: "error", Message: err.Error()}
	}
	if resp == nil {
		return nil
	}
	return cbor.Unmarshal(answer, resp)
}
