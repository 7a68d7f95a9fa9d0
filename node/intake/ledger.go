// Package intake bounds what clients can hold of a process that answers requests: connections
// and bytes of requests. Ledger makes the decisions, Port applies them to an HTTP server.
package intake

import (
	"container/list"
	"time"
)

// Limits bound what the clients of one port hold together.
type Limits struct {
	Connections int
	Bytes       int64 // of requests that are being received or answered
	// Grace is how long a connection may be idle, or a request incomplete, before it can be
	// closed for another one.
	Grace time.Duration
}

// answerGraces is how long a request has been in hand, in multiples of the grace, before its
// connection can be closed for another one: the client does not take the answer.
const answerGraces = 10

type phase int

const (
	idle phase = iota
	receiving
	answering
	phases int = iota
)

// Entry is a connection in a Ledger.
type Entry struct {
	phase phase
	since time.Duration // when the phase began
	bytes int64         // charged for its request
	place *list.Element // nil once the connection is closed

	close func() // closes the connection; not used by Ledger
}

// Ledger counts the connections and the bytes of requests of a port, and decides who has to
// go when a limit is reached. Times are on a steady clock and never go back. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	byPhase [phases]list.List // of *Entry, in the order in which they came to the phase
	bytes   int64
}

// NewLedger returns a ledger without connections.
func NewLedger(l Limits) *Ledger { return &Ledger{limits: l} }

// Connections returns the number of open connections.
func (l *Ledger) Connections() int {
	n := 0
	for i := range l.byPhase {
		n += l.byPhase[i].Len()
	}
	return n
}

// Bytes returns the sum of what is charged.
func (l *Ledger) Bytes() int64 { return l.bytes }

// Open decides on a new connection. It returns nil if the connection is refused. The caller
// closes the victim, if there is one, which is no longer in the ledger: the connection that
// has been idle for longest; else the one whose request has been incomplete for longest; else
// one that has been answered for very long.
func (l *Ledger) Open(now time.Duration) (e, victim *Entry) {
	if l.Connections() >= l.limits.Connections {
		if victim = l.oldest(idle, now-l.limits.Grace); victim == nil {
			victim = l.oldest(receiving, now-l.limits.Grace)
		}
		if victim == nil {
			victim = l.oldest(answering, now-answerGraces*l.limits.Grace)
		}
		if victim == nil {
			return nil, nil
		}
		l.Close(victim)
	}
	e = &Entry{since: now}
	e.place = l.byPhase[idle].PushBack(e)
	return e, victim
}

// enter puts an open connection into a phase.
func (l *Ledger) enter(e *Entry, p phase, now time.Duration) {
	l.byPhase[e.phase].Remove(e.place)
	e.phase, e.since = p, now
	e.place = l.byPhase[p].PushBack(e)
}

// oldest returns the entry that has been in a phase for longest, nil if none has been in it
// since a time.
func (l *Ledger) oldest(p phase, since time.Duration) *Entry {
	first := l.byPhase[p].Front()
	if first == nil {
		return nil
	}
	if e := first.Value.(*Entry); e.since <= since {
		return e
	}
	return nil
}

// Receive charges received bytes to the request of a connection. It returns false if they
// are beyond the limit: the request is then refused. The caller closes the victims, which are
// no longer in the ledger: those whose requests have been incomplete for longest. Bytes that
// follow a whole request are few and are not refused.
func (l *Ledger) Receive(e *Entry, n int, now time.Duration) (victims []*Entry, ok bool) {
	if e.place == nil {
		return nil, false
	}
	if e.phase == answering {
		e.bytes += int64(n)
		l.bytes += int64(n)
		return nil, true
	}
	if e.phase == idle {
		l.enter(e, receiving, now)
	}
	return l.charge(e, int64(n), now)
}

// Answer notes that a whole request has been received, and sets what it takes until it is
// answered, at least what it has been charged. The results are those of Receive.
func (l *Ledger) Answer(e *Entry, bytes int64, now time.Duration) (victims []*Entry, ok bool) {
	if e.place == nil {
		return nil, false
	}
	if e.phase != answering {
		l.enter(e, answering, now)
	}
	return l.charge(e, max(0, bytes-e.bytes), now)
}

func (l *Ledger) charge(e *Entry, n int64, now time.Duration) (victims []*Entry, ok bool) {
	for l.bytes+n > l.limits.Bytes && n > 0 {
		victim := l.oldest(receiving, now-l.limits.Grace)
		if victim == nil || victim == e {
			return victims, false
		}
		l.Close(victim)
		victims = append(victims, victim)
	}
	e.bytes += n
	l.bytes += n
	return victims, true
}

// Idle notes that the request of a connection has been answered.
func (l *Ledger) Idle(e *Entry, now time.Duration) {
	if e.place == nil {
		return
	}
	l.bytes -= e.bytes
	e.bytes = 0
	l.enter(e, idle, now)
}

// Close removes a connection. A second call has no effect.
func (l *Ledger) Close(e *Entry) {
	if e.place == nil {
		return
	}
	l.bytes -= e.bytes
	e.bytes = 0
	l.byPhase[e.phase].Remove(e.place)
	e.place = nil
}
