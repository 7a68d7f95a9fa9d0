// Package rpctest provides an in-memory network between entries for tests, with
// cut connections and lost answers.
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
	mu            sync.Mutex
	routers       map[string]*rpc.Router
	cut           map[[2]string]bool // by calling and called member
	answersToLose map[[2]string]int  // by calling and called member
}

// NewNetwork returns a network without members.
func NewNetwork() *Network {
	return &Network{routers: map[string]*rpc.Router{}, cut: map[[2]string]bool{}, answersToLose: map[[2]string]int{}}
}

// Join attaches a member and returns the Caller for its calls.
func (n *Network) Join(member string, router *rpc.Router) rpc.Caller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routers[member] = router
	return &caller{network: n, self: member}
}

// Leave detaches a member; calls to it return rpc.ErrUnreachable.
func (n *Network) Leave(member string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.routers, member)
}

// SetCut cuts the connection between two members, or restores it.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

// LoseAnswers makes the given number of next calls from one member to another
// take effect and return rpc.ErrNoAnswer.
func (n *Network) LoseAnswers(from, to string, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answersToLose[[2]string{from, to}] = calls
}

// route returns the router of a member, and whether to lose the answer of the
// call; ok is false if the member cannot be reached.
func (n *Network) route(from, to string) (router *rpc.Router, lose bool, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := [2]string{from, to}
	router, ok = n.routers[to]
	if n.cut[path] {
		return nil, false, false
	}
	if ok && n.answersToLose[path] > 0 {
		n.answersToLose[path]--
		lose = true
	}
	return router, lose, ok
}

type caller struct {
	network *Network
	self    string
}

// Call handles the request in the caller's goroutine.
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
