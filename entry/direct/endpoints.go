package direct

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthfork.example/fleet"
)

// DefaultConnections is the number of connections that an endpoint accepts unless
// Endpoint.Connections is set.
const DefaultConnections = 64

// Ejection of failing endpoints. An ejected endpoint gets requests only if no other
// one is available.
const (
	ejectAfterFailures = 3               // consecutive failures
	minEjectTime       = 2 * time.Second // doubled with each further ejection
	maxEjectTime       = 30 * time.Second
	rampUpTime         = 10 * time.Second // after an ejection, from one request at a time to the full quota
)

// Endpoint is the HTTP server of a VM.
type Endpoint struct {
	VM          fleet.VMID
	DataCentre  fleet.DataCentreName
	Address     string // host:port
	Leaving     bool   // gets no new requests
	Connections int    // that the endpoint accepts; 0 means DefaultConnections
	// Entries is the number of live entries among which the connections are
	// divided. 0 means that this entry may open none.
	Entries int
}

// quota returns the number of connections that this entry may open.
func (e Endpoint) quota() int {
	if e.Entries <= 0 {
		return 0
	}
	if e.Connections == 0 {
		return DefaultConnections / e.Entries
	}
	return e.Connections / e.Entries
}

// endpointState is the forwarder's state for one endpoint.
type endpointState struct {
	info           Endpoint
	known          bool // in the last update
	transport      *http.Transport
	quota          int       // connections that may be open
	targetQuota    int       // quota by the last update; a larger one takes effect after the grow delay
	targetSince    time.Time // when targetQuota got its value
	openConns      int
	activeRequests int
	connFreed      chan struct{} // wakes one waiter for a connection; holds one

	consecutiveFailures int
	ejectedUntil        time.Time     // end of the last ejection; zero again after a success past its ramp-up
	lastEjection        time.Duration // length of the last ejection
}

// endpointSet chooses endpoints for requests and keeps the connections to each
// within its quota.
type endpointSet struct {
	dataCentre fleet.DataCentreName // of this entry
	growDelay  time.Duration
	random     func(int) int // returns a number from 0 to n-1
	ejections  atomic.Int64

	mu     sync.Mutex
	states map[fleet.VMID]*endpointState
}

// reservation is the right to have one request at an endpoint until release.
type reservation struct {
	vm        fleet.VMID
	address   string
	transport *http.Transport
	state     *endpointState
}

func newEndpointSet(dc fleet.DataCentreName, growDelay time.Duration, random func(int) int) *endpointSet {
	return &endpointSet{dataCentre: dc, growDelay: growDelay, random: random, states: map[fleet.VMID]*endpointState{}}
}

// update replaces the known endpoints and closes idle connections that they no longer
// need or allow.
func (s *endpointSet) update(now time.Time, endpoints []Endpoint) {
	// Closing a connection locks s.mu, so it is done after replace has unlocked it.
	for _, t := range s.replace(now, endpoints) {
		t.CloseIdleConnections()
	}
}

// replace sets the known endpoints and returns the transports whose idle
// connections are to be closed.
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
		if !e.known && e.activeRequests == 0 {
			delete(s.states, id)
		}
		if !e.usable() || e.openConns > e.quota {
			surplus = append(surplus, e.transport)
		}
	}
	return surplus
}

// updateOne sets the state of one endpoint. It returns the state if the address has
// changed, so that connections to the old address are closed, and nil otherwise.
// The caller holds s.mu.
func (s *endpointSet) updateOne(now time.Time, info Endpoint) *endpointState {
	e, ok := s.states[info.VM]
	if !ok {
		e = s.newState(now)
		s.states[info.VM] = e
	}
	addressChanged := ok && e.info.Address != info.Address
	e.info, e.known = info, true
	e.resizeQuota(now, info.quota(), s.growDelay)
	if addressChanged {
		return e
	}
	return nil
}

func (s *endpointSet) newState(now time.Time) *endpointState {
	e := &endpointState{targetSince: now, connFreed: make(chan struct{}, 1)}
	e.transport = newTransport(
		func(ctx context.Context) error { return s.reserveConnection(ctx, e) },
		func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			e.openConns--
			e.wakeWaiter()
		})
	return e
}

// reserveConnection waits until the quota allows one more connection and counts it.
// It returns errNoConnection if ctx ends before. Requests are limited to the quota
// as well, so it only waits for a connection that is being closed, which is short.
func (s *endpointSet) reserveConnection(ctx context.Context, e *endpointState) error {
	for {
		if s.tryReserveConnection(e) {
			return nil
		}
		select {
		case <-e.connFreed:
		case <-ctx.Done():
			return errNoConnection
		}
	}
}

// tryReserveConnection counts one more connection if the quota allows it. It also
// wakes the next waiter, since a wakeup may stand for several free connections.
func (s *endpointSet) tryReserveConnection(e *endpointState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.openConns >= e.quota {
		return false
	}
	e.openConns++
	e.wakeWaiter()
	return true
}

// wakeWaiter wakes one waiting reserveConnection if the quota allows another
// connection. The caller holds the lock of the set.
func (e *endpointState) wakeWaiter() {
	if e.openConns >= e.quota {
		return
	}
	select {
	case e.connFreed <- struct{}{}:
	default:
	}
}

// resizeQuota reduces the quota at once, but lets it grow only after delay, when the
// other entries have reduced theirs. A new endpoint starts with a quota of 0.
func (e *endpointState) resizeQuota(now time.Time, targetQuota int, delay time.Duration) {
	if targetQuota != e.targetQuota {
		e.targetQuota, e.targetSince = targetQuota, now
	}
	if targetQuota < e.quota || now.Sub(e.targetSince) >= delay {
		e.quota = targetQuota
		e.wakeWaiter()
	}
}

func (e *endpointState) usable() bool { return e.known && !e.info.Leaving }

func (e *endpointState) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// room returns how many more requests the endpoint may get now. After an ejection
// the limit rises linearly to the full quota over rampUpTime.
func (e *endpointState) room(now time.Time) int {
	limit := e.quota
	if since := now.Sub(e.ejectedUntil); !e.ejectedUntil.IsZero() && since < rampUpTime {
		limit = min(limit, max(1, int(int64(limit)*int64(since)/int64(rampUpTime))))
	}
	return limit - e.activeRequests
}

// acquire chooses an endpoint among the candidates and reserves one request on it.
// It avoids last, the endpoint of the previous attempt, and prefers the data centre
// of this entry. It returns a *fleet.Refusal if no endpoint has room.
func (s *endpointSet) acquire(now time.Time, candidates []fleet.VMID, last fleet.VMID) (*reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.choose(now, candidates, last)
	if e == nil {
		return nil, &fleet.Refusal{
			Reason: fleet.ReasonNoCapacity, Detail: "no endpoint has a free connection",
			RetryAfter: noCapacityRetryAfter,
		}
	}
	e.activeRequests++
	return &reservation{vm: e.info.VM, address: e.info.Address, transport: e.transport, state: e}, nil
}

// choose returns an endpoint of the best rank that has room, or nil. The ranks are:
// in this data centre, in another one, the endpoint of the previous attempt, and
// ejected endpoints, which are better than none. The caller holds s.mu.
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
			return s.lessBusyOfTwo(rank)
		}
	}
	return nil
}

// rank returns the rank of an endpoint for choose; lower is better.
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

// lessBusyOfTwo picks two random endpoints and returns the one with fewer active
// requests.
func (s *endpointSet) lessBusyOfTwo(from []*endpointState) *endpointState {
	i := s.random(len(from))
	if len(from) == 1 {
		return from[0]
	}
	j := s.random(len(from) - 1)
	if j >= i {
		j++
	}
	if from[j].activeRequests < from[i].activeRequests {
		return from[j]
	}
	return from[i]
}

// release ends the request of a reservation and records its success or failure.
func (s *endpointSet) release(now time.Time, r *reservation, ok bool) {
	s.mu.Lock()
	e := r.state
	e.activeRequests--
	if ok {
		e.succeeded(now)
	} else {
		s.failed(now, e)
	}
	over := !e.usable() || e.openConns > e.quota
	if !e.known && e.activeRequests == 0 && s.states[e.info.VM] == e {
		delete(s.states, e.info.VM)
	}
	s.mu.Unlock()
	if over {
		e.transport.CloseIdleConnections()
	}
}

// succeeded resets the failures and, once the ramp-up is over, the ejection.
func (e *endpointState) succeeded(now time.Time) {
	e.consecutiveFailures = 0
	if !e.ejectedUntil.IsZero() && now.Sub(e.ejectedUntil) >= rampUpTime {
		e.ejectedUntil, e.lastEjection = time.Time{}, 0
	}
}

// failed ejects an endpoint after consecutive failures, or after a single one during
// its ramp-up, each time for longer.
func (s *endpointSet) failed(now time.Time, e *endpointState) {
	e.consecutiveFailures++
	rampingUp := !e.ejectedUntil.IsZero()
	if e.ejected(now) || e.consecutiveFailures < ejectAfterFailures && !rampingUp {
		return
	}
	e.lastEjection = min(max(2*e.lastEjection, minEjectTime), maxEjectTime)
	e.ejectedUntil = now.Add(e.lastEjection)
	e.consecutiveFailures = 0
	s.ejections.Add(1)
}

func (s *endpointSet) connections() map[fleet.VMID][2]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := map[fleet.VMID][2]int{} // open connections and quota
	for id, e := range s.states {
		list[id] = [2]int{e.openConns, e.quota}
	}
	return list
}

// closeIdle closes all idle connections. It calls the transports without holding s.mu,
// because closing a connection locks it.
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
