// Package intake bounds what clients can hold of a process that answers requests: connections
// and bytes of requests. Ledger makes the decisions, Port applies them to an HTTP server.
package intake

import (
	"container/list"
	"math"
	"time"
)

// Limits bound what the clients of one port hold together.
type Limits struct {
	Connections int
	Bytes       int64 // of requests that are being received or answered, beyond Reserved of each
	// Reserved are the bytes that each connection can always be charged, so that a small request
	// is not refused for the sake of large ones.
	Reserved int64
	// Grace is how long a connection may be idle, or a request incomplete, before it can be
	// closed for another one.
	Grace time.Duration
}

// answerGraces is how long a request has been in hand, in multiples of the grace, before its
// connection can be closed for another one.
const answerGraces = 10

// turnFraction limits the connections that are closed for those that wait, in one turn, to a
// fraction of all.
const turnFraction = 4

type phase int

const (
	idle phase = iota
	receiving
	answering
	writing     // a part of the answer is being taken by the client
	phases  int = iota
)

// Entry is a connection in a Ledger.
type Entry struct {
	phase  phase
	since  time.Duration // when the phase began
	opened time.Duration
	bytes  int64         // charged for its request
	before phase         // while it is writing: the phase before
	place  *list.Element // nil once the connection is closed

	close func() // closes the connection; not used by Ledger
}

// Ledger counts the connections and the bytes of requests of a port, and decides who has to
// go when a limit is reached. Times are on a steady clock and never go back. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	byPhase [phases]list.List // of *Entry, in the order in which they came to the phase
	bytes   int64

	// While new connections wait for room.
	wanted   int           // connections that are still to be closed with their answers
	turn     int           // what wanted was at the beginning of the newest wait
	waitedAt time.Duration // beginning of the newest wait
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

// Bytes returns the sum of what is charged beyond what is reserved.
func (l *Ledger) Bytes() int64 { return l.bytes }

// beyond returns the part of what is charged to a connection that counts toward Bytes.
func (l *Limits) beyond(bytes int64) int64 { return max(0, bytes-l.Reserved) }

// set sets what is charged to a connection.
func (l *Ledger) set(e *Entry, bytes int64) {
	l.bytes += l.limits.beyond(bytes) - l.limits.beyond(e.bytes)
	e.bytes = bytes
}

// closingOrder is the order in which connections are closed for a new one, each once it has
// been in its phase for a number of graces.
var closingOrder = [...]struct {
	phase  phase
	graces time.Duration
}{{idle, 1}, {receiving, 1}, {writing, 1}, {answering, answerGraces}}

// Open decides on a new connection. It returns nil if there is no room for it now. The caller
// closes the victim, if there is one, which is no longer in the ledger: the connection that
// has been idle for longest; else the one whose request has been incomplete for longest; else
// one whose client does not take its answer; else one that has been answered for very long.
func (l *Ledger) Open(now time.Duration) (e, victim *Entry) {
	if l.Connections() >= l.limits.Connections {
		for _, o := range closingOrder {
			if victim = l.oldest(o.phase, now-o.graces*l.limits.Grace); victim != nil {
				break
			}
		}
		if victim == nil {
			return nil, nil
		}
		l.Close(victim)
	}
	l.wanted = 0
	e = &Entry{since: now, opened: now}
	e.place = l.byPhase[idle].PushBack(e)
	return e, victim
}

// NextVictim returns how long it takes until a connection can be closed for a new one, unless
// its phase changes before; a very long time if there is none.
func (l *Ledger) NextVictim(now time.Duration) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, o := range closingOrder {
		if first := l.byPhase[o.phase].Front(); first != nil {
			next = min(next, max(0, first.Value.(*Entry).since+o.graces*l.limits.Grace-now))
		}
	}
	return next
}

// Wait notes that a new connection for which there is no room begins to wait. Until it is
// opened or gives up, other connections are closed with their answers: one if this is the first
// to wait since the grace, else twice as many as for the one before, at most a part of all.
func (l *Ledger) Wait(now time.Duration) {
	if l.turn == 0 || now-l.waitedAt > l.limits.Grace {
		l.turn = 1
	} else {
		l.turn = min(2*l.turn, max(1, l.limits.Connections/turnFraction))
	}
	l.wanted, l.waitedAt = l.turn, now
}

// GiveUp notes that the new connection for which there was no room does not wait any more.
func (l *Ledger) GiveUp() { l.wanted = 0 }

// LastAnswer reports whether a connection has to be closed after its present answer: a new one
// waits for room, and this one has been open for the grace.
func (l *Ledger) LastAnswer(e *Entry, now time.Duration) bool {
	if l.wanted == 0 || now-e.opened < l.limits.Grace {
		return false
	}
	l.wanted--
	return true
}

// Write notes that a part of an answer is being sent, and Written that the client's machine
// has taken it.
func (l *Ledger) Write(e *Entry, now time.Duration) {
	if e.place != nil && e.phase != writing {
		e.before = e.phase
		l.enter(e, writing, now)
	}
}

// Written notes the end of Write.
func (l *Ledger) Written(e *Entry, now time.Duration) {
	if e.place != nil && e.phase == writing {
		l.enter(e, e.before, now)
	}
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

// oldestBeyond returns the entry that has been in a phase for longest, of those that are
// charged more than what is reserved; nil if none has been in it since a time.
func (l *Ledger) oldestBeyond(p phase, since time.Duration) *Entry {
	for place := l.byPhase[p].Front(); place != nil; place = place.Next() {
		e := place.Value.(*Entry)
		if e.since > since {
			return nil
		}
		if l.limits.beyond(e.bytes) > 0 {
			return e
		}
	}
	return nil
}

// Receive charges received bytes to the request of a connection. It returns false if they
// are beyond the limit: the request is then refused. The caller closes the victims, which are
// no longer in the ledger: those whose requests have been incomplete for longest, and those
// whose clients do not take their answers. Bytes that follow a whole request are few and are
// not refused.
func (l *Ledger) Receive(e *Entry, n int, now time.Duration) (victims []*Entry, ok bool) {
	if e.place == nil {
		return nil, false
	}
	if e.phase >= answering {
		l.set(e, e.bytes+int64(n))
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
	if e.phase < answering {
		l.enter(e, answering, now)
	}
	return l.charge(e, max(0, bytes-e.bytes), now)
}

// Hold charges more bytes to a request that has been received. The results are those of
// Receive.
func (l *Ledger) Hold(e *Entry, bytes int64, now time.Duration) (victims []*Entry, ok bool) {
	if e.place == nil {
		return nil, false
	}
	return l.charge(e, bytes, now)
}

func (l *Ledger) charge(e *Entry, n int64, now time.Duration) (victims []*Entry, ok bool) {
	more := l.limits.beyond(e.bytes+n) - l.limits.beyond(e.bytes)
	for l.bytes+more > l.limits.Bytes && more > 0 {
		victim := l.oldestBeyond(receiving, now-l.limits.Grace)
		if victim == nil {
			victim = l.oldestBeyond(writing, now-l.limits.Grace)
		}
		if victim == nil || victim == e {
			return victims, false
		}
		l.Close(victim)
		victims = append(victims, victim)
	}
	l.set(e, e.bytes+n)
	return victims, true
}

// Idle notes that the request of a connection has been answered.
func (l *Ledger) Idle(e *Entry, now time.Duration) {
	if e.place == nil {
		return
	}
	l.set(e, 0)
	l.enter(e, idle, now)
}

// Close removes a connection. A second call has no effect.
func (l *Ledger) Close(e *Entry) {
	if e.place == nil {
		return
	}
	l.set(e, 0)
	l.byPhase[e.phase].Remove(e.place)
	e.place = nil
}
