package direct

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthfork.example/fleet"
)

// DefaultConnections is the number of connections of an endpoint.
const DefaultConnections = 64

// Ejection of endpoints that fail.
const (
	ejectAfter   = 3 // failures in a row
	ejectTime    = 2 * time.Second
	maxEjectTime = 30 * time.Second
	returnTime   = 10 * time.Second // from one request at a time to the whole portion
)

// Endpoint is the HTTP server of a VM.
type Endpoint struct {
	VM          fleet.VMID
	DataCentre  fleet.DataCentreName
	Address     string // host:port
	Leaving     bool   // gets no new requests
	Connections int    // that the endpoint accepts; 0 means 64
	// Entries is the number of live entries among which the connections are
	// divided. 0 means that this entry has no portion.
	Entries int
}

func (e Endpoint) portion() int {
	if e.Entries <= 0 {
		return 0
	}
	if e.Connections == 0 {
		return DefaultConnections / e.Entries
	}
	return e.Connections / e.Entries
}

// endpointState is what the forwarder knows of an endpoint.
type endpointState struct {
	info      Endpoint
	known     bool // in the last update
	transport *http.Transport
	portion   int       // connections that may be open
	wanted    int       // portion by the last update
	wantedAt  time.Time // since when wanted has its value
	open      int       // connections
	busy      int       // requests
	freed     chan struct{}

	failures     int           // in a row
	ejectedUntil time.Time     // zero unless ejected or returning
	ejectedFor   time.Duration // last time of ejection
}

// endpointSet chooses endpoints and keeps their portions of connections.
type endpointSet struct {
	dataCentre fleet.DataCentreName
	growDelay  time.Duration
	random     func(int) int
	ejections  atomic.Int64

	mu     sync.Mutex
	states map[fleet.VMID]*endpointState
}

// lease is the right to have one request at an endpoint.
type lease struct {
	vm        fleet.VMID
	address   string
	transport *http.Transport
	state     *endpointState
}

func newEndpointSet(dc fleet.DataCentreName, growDelay time.Duration, random func(int) int) *endpointSet {
	return &endpointSet{dataCentre: dc, growDelay: growDelay, random: random, states: map[fleet.VMID]*endpointState{}}
}

func (s *endpointSet) update(now time.Time, endpoints []Endpoint) {
	// Closing a connection takes s.mu, so it is done after the update.
	for _, t := range s.replace(now, endpoints) {
		t.CloseIdleConnections()
	}
}

// replace sets the known endpoints and returns the transports whose idle
// connections must be closed.
func (s *endpointSet) replace(now time.Time, endpoints []Endpoint) []*http.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var surplus []*http.Transport
	for _, e := range s.states {
		e.known = false
	}
	for _, info := range endpoints {
		if e := s.updateOne(now, info); e != nil {
			surplus = append(surplus, e.transport)
		}
	}
	for id, e := range s.states {
		if !e.known && e.busy == 0 {
			delete(s.states, id)
		}
		if !e.usable() || e.open > e.portion {
			surplus = append(surplus, e.transport)
		}
	}
	return surplus
}

// updateOne returns the state if the endpoint has moved to another address.
func (s *endpointSet) updateOne(now time.Time, info Endpoint) *endpointState {
	e, ok := s.states[info.VM]
	if !ok {
		e = s.newState(now)
		s.states[info.VM] = e
	}
	moved := ok && e.info.Address != info.Address
	e.info, e.known = info, true
	e.resize(now, info.portion(), s.growDelay)
	if moved {
		return e
	}
	return nil
}

func (s *endpointSet) newState(now time.Time) *endpointState {
	e := &endpointState{wantedAt: now, freed: make(chan struct{}, 1)}
	e.transport = newTransport(
		func(ctx context.Context) error { return s.open(ctx, e) },
		func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			e.open--
			e.signal()
		})
	return e
}

// open counts a connection. There are never more requests than connections in
// the portion, so that the wait for a connection that is being closed is short.
func (s *endpointSet) open(ctx context.Context, e *endpointState) error {
	for {
		if s.tryOpen(e) {
			return nil
		}
		select {
		case <-e.freed:
		case <-ctx.Done():
			return errNoSlot
		}
	}
}

func (s *endpointSet) tryOpen(e *endpointState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.open >= e.portion {
		return false
	}
	e.open++
	e.signal()
	return true
}

// signal wakes up one that waits for a connection, if there is one left.
func (e *endpointState) signal() {
	if e.open >= e.portion {
		return
	}
	select {
	case e.freed <- struct{}{}:
	default:
	}
}

// resize shrinks the portion at once and lets it grow only after the other
// entries have had the time to shrink theirs. A new endpoint starts at 0.
func (e *endpointState) resize(now time.Time, wanted int, delay time.Duration) {
	if wanted != e.wanted {
		e.wanted, e.wantedAt = wanted, now
	}
	if wanted < e.portion || now.Sub(e.wantedAt) >= delay {
		e.portion = wanted
		e.signal()
	}
}

func (e *endpointState) usable() bool { return e.known && !e.info.Leaving }

func (e *endpointState) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// room returns how many more requests the endpoint may get. An endpoint that
// returns after an ejection gets its portion back bit by bit.
func (e *endpointState) room(now time.Time) int {
	limit := e.portion
	if since := now.Sub(e.ejectedUntil); !e.ejectedUntil.IsZero() && since < returnTime {
		limit = min(limit, max(1, int(int64(limit)*int64(since)/int64(returnTime))))
	}
	return limit - e.busy
}

// acquire chooses an endpoint and counts the request. It avoids the endpoint of
// the last attempt and prefers the own data centre. It returns a *fleet.Refusal
// if no endpoint has room.
func (s *endpointSet) acquire(now time.Time, candidates []fleet.VMID, last fleet.VMID) (*lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.choose(now, candidates, last)
	if e == nil {
		return nil, &fleet.Refusal{
			Reason: fleet.ReasonNoCapacity, Detail: "no endpoint has a free connection",
			RetryAfter: noCapacityRetry,
		}
	}
	e.busy++
	return &lease{vm: e.info.VM, address: e.info.Address, transport: e.transport, state: e}, nil
}

// choose tries the endpoints by rank: in the own data centre, elsewhere, the one
// that has just failed, and, rather than none, those that are ejected.
func (s *endpointSet) choose(now time.Time, candidates []fleet.VMID, last fleet.VMID) *endpointState {
	var ranks [4][]*endpointState
	for _, id := range candidates {
		e, ok := s.states[id]
		if !ok || !e.usable() || e.room(now) <= 0 {
			continue
		}
		rank := s.rank(now, e, last)
		ranks[rank] = append(ranks[rank], e)
	}
	for _, rank := range ranks {
		if len(rank) > 0 {
			return s.lessBusy(rank)
		}
	}
	return nil
}

func (s *endpointSet) rank(now time.Time, e *endpointState, last fleet.VMID) int {
	switch {
	case e.ejected(now):
		return 3
	case e.info.VM == last:
		return 2
	case e.info.DataCentre != s.dataCentre:
		return 1
	}
	return 0
}

// lessBusy returns the less busy of two random endpoints.
func (s *endpointSet) lessBusy(from []*endpointState) *endpointState {
	i := s.random(len(from))
	if len(from) == 1 {
		return from[0]
	}
	j := s.random(len(from) - 1)
	if j >= i {
		j++
	}
	if from[j].busy < from[i].busy {
		return from[j]
	}
	return from[i]
}

// release ends a request and counts its success or failure.
func (s *endpointSet) release(now time.Time, l *lease, ok bool) {
	s.mu.Lock()
	e := l.state
	e.busy--
	if ok {
		e.succeeded(now)
	} else {
		s.failed(now, e)
	}
	over := !e.usable() || e.open > e.portion
	if !e.known && e.busy == 0 && s.states[e.info.VM] == e {
		delete(s.states, e.info.VM)
	}
	s.mu.Unlock()
	if over {
		e.transport.CloseIdleConnections()
	}
}

func (e *endpointState) succeeded(now time.Time) {
	e.failures = 0
	if !e.ejectedUntil.IsZero() && now.Sub(e.ejectedUntil) >= returnTime {
		e.ejectedUntil, e.ejectedFor = time.Time{}, 0
	}
}

// failed ejects an endpoint after some failures in a row, or after one while it
// returns, each time for longer.
func (s *endpointSet) failed(now time.Time, e *endpointState) {
	e.failures++
	returning := !e.ejectedUntil.IsZero()
	if e.ejected(now) || e.failures < ejectAfter && !returning {
		return
	}
	e.ejectedFor = min(max(2*e.ejectedFor, ejectTime), maxEjectTime)
	e.ejectedUntil = now.Add(e.ejectedFor)
	e.failures = 0
	s.ejections.Add(1)
}

func (s *endpointSet) connections() map[fleet.VMID][2]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := map[fleet.VMID][2]int{}
	for id, e := range s.states {
		list[id] = [2]int{e.open, e.portion}
	}
	return list
}

func (s *endpointSet) closeIdle() {
	s.mu.Lock()
	states := make([]*endpointState, 0, len(s.states))
	for _, e := range s.states {
		states = append(states, e)
	}
	s.mu.Unlock()
	for _, e := range states {
		e.transport.CloseIdleConnections()
	}
}
