package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) {
	os.Exit(fleettest.RunSeeded(m, nil))
}

const second = time.Second

// Guards against closing the wrong connection: an idle one goes first, the newest ones and
// those whose request is being answered stay.
func TestWhoGoesWhenConnectionsAreShort(t *testing.T) {
	type connection struct {
		phase phase
		age   time.Duration
	}
	for name, c := range map[string]struct {
		open   []connection
		victim int // -1 if the new connection is refused
	}{
		"longest idle":                 {[]connection{{receiving, 9 * second}, {idle, 2 * second}, {idle, 3 * second}}, 2},
		"oldest incomplete":            {[]connection{{answering, 9 * second}, {receiving, 3 * second}, {receiving, 2 * second}}, 1},
		"none within the grace":        {[]connection{{idle, second / 2}, {receiving, second / 2}, {answering, 9 * second}}, -1},
		"answer that nobody takes":     {[]connection{{answering, 9 * second}, {answering, 11 * second}, {receiving, 0}}, 1},
		"incomplete before unanswered": {[]connection{{answering, 11 * second}, {receiving, second}, {idle, 0}}, 1},
	} {
		l := NewLedger(Limits{Connections: len(c.open), Bytes: 100, Grace: second})
		var entries []*Entry
		const now = 20 * second
		for range c.open {
			e, _ := l.Open(0)
			entries = append(entries, e)
		}
		for at := time.Duration(0); at <= now; at += second / 2 {
			for i, o := range c.open {
				if now-o.age != at {
					continue
				}
				l.Idle(entries[i], at)
				if o.phase != idle {
					l.Receive(entries[i], 1, at)
				}
				if o.phase == answering {
					l.Answer(entries[i], 1, at)
				}
			}
		}
		e, victim := l.Open(now)
		switch {
		case c.victim < 0 && (e != nil || victim != nil):
			t.Errorf("%s: the new connection was not refused", name)
		case c.victim >= 0 && (e == nil || victim != entries[c.victim]):
			t.Errorf("%s: another victim than %d", name, c.victim)
		}
	}
}

// Guards against a fast request that is refused for the sake of slow ones: the oldest
// incomplete request goes, also if it is the one that asks for more.
func TestWhoGoesWhenMemoryIsShort(t *testing.T) {
	l := NewLedger(Limits{Connections: 9, Bytes: 100, Grace: second})
	slow, _ := l.Open(0)
	l.Receive(slow, 60, 0)
	fast, _ := l.Open(second)
	if victims, ok := l.Receive(fast, 40, 2*second); !ok || len(victims) != 0 {
		t.Fatal("refused within the limit")
	}
	if _, ok := l.Receive(slow, 1, 2*second); ok {
		t.Error("the slowest request got more at the cost of others")
	}
	if victims, ok := l.Receive(fast, 1, 2*second); !ok || len(victims) != 1 || victims[0] != slow {
		t.Error("the slowest request was not closed")
	}
	if _, ok := l.Answer(fast, 101, 2*second); ok {
		t.Error("a request that is larger than the limit was taken")
	}
	l.Idle(fast, 2*second)
	if l.Bytes() != 0 {
		t.Errorf("%d bytes without a request", l.Bytes())
	}
}

// Guards against new connections that wait for as long as others are always in use: they get
// room from those that have been open for longer, more of them if they keep coming.
func TestConnectionsInUseMakeRoom(t *testing.T) {
	l := NewLedger(Limits{Connections: 8, Bytes: 100, Grace: second})
	var open []*Entry
	for range 8 {
		e, _ := l.Open(0)
		l.Answer(e, 1, 0)
		open = append(open, e)
	}
	closed := func(now time.Duration) (n int) {
		for _, e := range open {
			if l.LastAnswer(e, now) {
				n++
			}
		}
		return n
	}
	now := second
	if n := closed(now); n != 0 {
		t.Errorf("%d closed although none waits", n)
	}
	for i, want := range []int{1, 2, 2} {
		if e, _ := l.Open(now); e != nil {
			t.Fatal("a connection was opened beyond the limit")
		}
		l.Wait(now)
		if n := closed(now); n != want {
			t.Errorf("wait %d: %d are closed, want %d", i+1, n, want)
		}
	}
	now += 2 * second
	l.Wait(now)
	if n := closed(now - 2*second - 1); n != 0 {
		t.Errorf("%d closed within the grace", n)
	}
	if n := closed(now); n != 1 {
		t.Errorf("%d are closed for the first that waits, want 1", n)
	}
	l.Wait(now)
	l.GiveUp()
	if n := closed(now); n != 0 {
		t.Errorf("%d closed for one that has given up", n)
	}
}

// Guards against an answer that nobody takes and that keeps its connection, and against one
// that is closed for having taken long before it could be sent.
func TestAnswersThatAreNotTakenMakeRoom(t *testing.T) {
	l := NewLedger(Limits{Connections: 2, Bytes: 100, Grace: second})
	silent, _ := l.Open(0)
	working, _ := l.Open(0)
	for _, e := range []*Entry{silent, working} {
		l.Answer(e, 1, 0)
	}
	l.Write(silent, 2*second)
	l.Written(silent, 2*second)
	l.Write(silent, 3*second)
	if next := l.NextVictim(3 * second); next != second {
		t.Errorf("room after %s, want %s", next, second)
	}
	if e, _ := l.Open(4*second - 1); e != nil {
		t.Error("an answer was closed within the grace")
	}
	if _, victim := l.Open(4 * second); victim != silent {
		t.Error("the answer that is not taken was not closed")
	}
}

// Guards against a listener that cannot be closed while a connection waits for room, and
// against one that waits for room although none has come for the grace.
func TestWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPort("test", DefaultSettings(), Limits{Connections: 1, Bytes: 100, Grace: second}, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		connection := func() net.Conn { c, _ := net.Pipe(); return c }
		held := p.open(ctx, connection())
		p.ledger.Answer(held.(*conn).entry, 1, p.now())
		for _, want := range []time.Duration{second, 0} {
			began := time.Now()
			if p.open(ctx, connection()) != nil || time.Since(began) != want {
				t.Errorf("waited %s, want %s and a refusal", time.Since(began), want)
			}
		}
		_ = held.Close() // a pipe
		if held = p.open(ctx, connection()); held == nil {
			t.Fatal("refused although there is room")
		}
		p.ledger.Answer(held.(*conn).entry, 1, p.now())
		time.AfterFunc(second/4, cancel)
		began := time.Now()
		if p.open(ctx, connection()) != nil || time.Since(began) != second/4 {
			t.Errorf("waited %s beside a listener that was closed after %s", time.Since(began), second/4)
		}
	})
}

// Guards against small requests that are refused while large ones that are being answered hold
// all memory: each connection has some of its own.
func TestSmallRequestsBesideLargeOnes(t *testing.T) {
	l := NewLedger(Limits{Connections: 9, Bytes: 100, Reserved: 10, Grace: second})
	large, _ := l.Open(0)
	if _, ok := l.Answer(large, 110, 0); !ok {
		t.Fatal("refused within the limit")
	}
	small, _ := l.Open(0)
	if _, ok := l.Receive(small, 4, 2*second); !ok {
		t.Error("a small request was refused when it was received")
	}
	if _, ok := l.Answer(small, 10, 2*second); !ok {
		t.Error("a small request was refused when it was to be answered")
	}
	if _, ok := l.Answer(small, 11, 2*second); ok {
		t.Error("a larger request was taken without memory")
	}
	slow, _ := l.Open(0)
	l.Receive(slow, 10, 0)
	other, _ := l.Open(0)
	if victims, ok := l.Receive(other, 11, 2*second); ok || len(victims) != 0 {
		t.Error("a small request was closed although that gives no memory")
	}
	l.Idle(large, 2*second)
	if _, ok := l.Answer(small, 110, 2*second); !ok || l.Bytes() != 100 {
		t.Errorf("refused within the limit, or %d bytes counted", l.Bytes())
	}
}

// Guards against bytes that stay charged, or are given back twice, after any mix of readers.
func TestAnyMixOfReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Bytes: rapid.Int64Range(1, 200).Draw(t, "bytes"), Reserved: rapid.Int64Range(0, 40).Draw(t, "reserved"), Grace: second}
		l := NewLedger(limits)
		var all []*Entry
		now, extra := time.Duration(0), int64(0) // extra: bytes that cannot be refused
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if len(all) == 0 || rapid.Bool().Draw(t, "new") {
				if e, _ := l.Open(now); e != nil {
					all = append(all, e)
				}
				continue
			}
			e := rapid.SampledFrom(all).Draw(t, "connection")
			n := rapid.IntRange(0, 90).Draw(t, "n")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				if e.place != nil && e.phase >= answering {
					extra += int64(n)
				}
				l.Receive(e, n, now)
			case 1:
				l.Answer(e, int64(n), now)
			case 2:
				l.Idle(e, now)
			case 3:
				l.Close(e)
			case 4:
				l.Write(e, now)
			case 5:
				l.Written(e, now)
			case 6:
				l.Wait(now)
				l.LastAnswer(e, now)
			}
			var sum int64
			for _, e := range all {
				sum += max(0, e.bytes-limits.Reserved)
			}
			if sum != l.Bytes() || sum > limits.Bytes+extra || l.Connections() > limits.Connections {
				t.Fatalf("%d bytes charged, %d counted, %d connections, limits %+v", sum, l.Bytes(), l.Connections(), limits)
			}
		}
		for _, e := range all {
			l.Close(e)
		}
		if l.Bytes() != 0 || l.Connections() != 0 {
			t.Fatalf("%d bytes and %d connections are left", l.Bytes(), l.Connections())
		}
	})
}

// Guards against defaults that the smallest machine of the platform cannot bear, or that use
// all descriptors.
func TestDerivedLimits(t *testing.T) {
	for _, vm := range []struct{ memoryMB, maxFDs int64 }{{184, 4100}, {184, 8192}, {284, 4100}, {536, 8192}, {96, 700}, {0, 0}} {
		s := DefaultSettings().Derive(vm.memoryMB, vm.maxFDs)
		memory, fds := vm.memoryMB, vm.maxFDs
		if memory == 0 {
			memory, fds = defaultMemoryMB, defaultMaxFDs
		}
		held := s.RequestMemoryMB<<20 + int64(s.Connections)*connectionBytes
		if held > memory<<20*6/10 || int64(s.Connections+2*s.PortConnections) > (fds-fileDescriptors)*2/3 || s.Check() != nil {
			t.Errorf("%+v: %+v, clients hold up to %d MB", vm, s, held>>20)
		}
	}
}

// pipes is a listener whose connections need no network.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return nil }

// serve answers requests on a port with the number of bytes of their body, or 503. It returns
// what opens a connection.
func serve(t *testing.T, p *Port) func() net.Conn {
	listening := make(pipes)
	server := p.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		body, err := ReadBody(w, r, 1<<20)
		if errors.Is(err, ErrNoMemory) || errors.Is(err, ErrStalled) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err == nil {
			err = body.Decode(r.Context(), func(b []byte) error { _, err := fmt.Fprint(w, len(b)); return err })
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	go func() { _ = server.Serve(newListener(listening, p)) }() // ends with the listener
	t.Cleanup(func() { _ = server.Close() })
	return func() net.Conn {
		client, served := net.Pipe()
		listening <- served
		return client
	}
}

// exchange sends a request and returns the answer.
func exchange(t *testing.T, c net.Conn, request string) *http.Response {
	t.Helper()
	go func() { _, _ = io.WriteString(c, request) }() // fails if the server closes first
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func post(path string, announced, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, announced, strings.Repeat("b", sent))
}

// Guards against a caller that is told that its request is not valid, and does not come back,
// because there is no memory for its header: nothing is promised.
func TestNoMemoryForAHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPort("test", DefaultSettings(), Limits{Connections: 2, Bytes: 100_000, Grace: second}, zap.NewNop())
		client := serve(t, p)()
		go func() {
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 50_000)+"\r\n\r\n") // the server closes it
		}()
		if answer, _ := io.ReadAll(client); len(answer) > 0 {
			t.Errorf("answered with %.40q", answer)
		}
		_ = client.Close() // a pipe
	})
}

// Guards against declared limits that have no effect.
func TestDeclaredLimits(t *testing.T) {
	port := func(t *testing.T, declared Declared) (*Port, func() net.Conn) {
		p := NewPort("test", DefaultSettings(), Limits{Connections: 9, Bytes: 8 << 20, Grace: second}, zap.NewNop())
		p.Follow(func() Declared { return declared })
		return p, serve(t, p)
	}
	// closedAfter is how long the server keeps a connection after the given bytes.
	closedAfter := func(c net.Conn, pause time.Duration, parts ...string) time.Duration {
		go func() {
			for _, part := range parts {
				if _, err := io.WriteString(c, part); err != nil {
					return // the server has closed it
				}
				time.Sleep(pause)
			}
		}()
		began := time.Now()
		_, _ = io.Copy(io.Discard, c) // until the server closes it
		_ = c.Close()                 // a pipe
		return time.Since(began)
	}
	const begun, whole = "GET /unread HTTP/1.1\r\nHost: h\r\n", "GET /unread HTTP/1.1\r\nHost: h\r\n\r\n"
	slow := []string{begun, "A: 1\r\n", "B: 2\r\n", "C: 3\r\n", "D: 4\r\n", "E: 5\r\n", "F: 6\r\n", "G: 7\r\n", "H: 8\r\n", "I: 9\r\n", "J: 0\r\n", "K: 1\r\n"}
	for name, c := range map[string]struct {
		declared Declared
		parts    []string
		want     time.Duration
	}{
		"silent, nothing declared":        {Declared{}, nil, 10 * second},
		"slow header, nothing declared":   {Declared{}, slow, 10 * second},
		"idle, nothing declared":          {Declared{}, []string{whole}, 60 * second},
		"silent":                          {Declared{HeaderTimeout: 3 * second, IdleTimeout: 15 * second}, nil, 10 * second},
		"slow header":                     {Declared{HeaderTimeout: 3 * second, IdleTimeout: 15 * second}, slow, 3 * second},
		"idle":                            {Declared{HeaderTimeout: 3 * second, IdleTimeout: 15 * second}, []string{whole}, 15 * second},
		"declared above the settings":     {Declared{HeaderTimeout: 30 * second, IdleTimeout: 90 * second}, slow, 10 * second},
		"silent, short idle time":         {Declared{IdleTimeout: 5 * second}, nil, 5 * second},
		"idle, then a slow second header": {Declared{HeaderTimeout: 3 * second, IdleTimeout: 15 * second}, append([]string{whole, "", "", ""}, slow...), 7 * second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, open := port(t, c.declared)
				if took := closedAfter(open(), second, c.parts...).Truncate(second); took != c.want {
					t.Errorf("closed after %s, want %s", took, c.want)
				}
				time.Sleep(time.Minute)
				if p.ledger.Bytes() != 0 || p.ledger.Connections() != 0 {
					t.Errorf("%d bytes and %d connections are left", p.ledger.Bytes(), p.ledger.Connections())
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ limit, filler, status int }{
			{0, 20_000, http.StatusUnauthorized}, {16 << 10, 20_000, http.StatusRequestHeaderFieldsTooLarge}, {16 << 10, 16_000, http.StatusUnauthorized},
			{1 << 20, 60_000, http.StatusUnauthorized}, {30_000, 20_000, http.StatusUnauthorized},
		} {
			_, open := port(t, Declared{HeaderBytes: c.limit})
			client := open()
			answer := exchange(t, client, begun+"A: "+strings.Repeat("a", c.filler)+"\r\n\r\n")
			if answer.StatusCode != c.status {
				t.Errorf("header of %d bytes, %d declared: status %d, want %d", c.filler, c.limit, answer.StatusCode, c.status)
			}
			_ = client.Close() // the answer has been read
			time.Sleep(time.Minute)
		}
	})
}

// Guards against bodies that hold their connection for ever, and against bytes that stay
// charged after any of the ways in which a request can end.
func TestBodiesOnAPort(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		bytes   int64 // limit
		status  int
	}{
		"complete":              {post("/", 9000, 9000), 1 << 20, http.StatusOK},
		"stalled":               {post("/", 9000, 8999), 1 << 20, http.StatusServiceUnavailable},
		"over the memory":       {post("/", 9000, 9000), 6000, http.StatusServiceUnavailable},
		"too large to decode":   {post("/", 9000, 9000), 20_000, http.StatusServiceUnavailable},
		"refused, incomplete":   {post("/unread", 9000, 8999), 1 << 20, http.StatusUnauthorized},
		"chunked with trailers": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nbb\r\n0\r\nT: v\r\n\r\n", 1 << 20, http.StatusOK},
		"long chunk extension":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=" + strings.Repeat("y", 9000), 1 << 20, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPort("test", DefaultSettings(), Limits{Connections: 2, Bytes: c.bytes, Grace: second}, zap.NewNop())
				client := serve(t, p)()
				answer := exchange(t, client, c.request)
				if answer.StatusCode != c.status {
					t.Errorf("status %d, want %d", answer.StatusCode, c.status)
				}
				_ = client.Close() // the answer has been read
				synctest.Wait()
				time.Sleep(time.Minute)
				if p.ledger.Bytes() != 0 || p.ledger.Connections() != 0 {
					t.Errorf("%d bytes and %d connections are left", p.ledger.Bytes(), p.ledger.Connections())
				}
			})
		})
	}
}

// Guards against bodies that are awaited although their announced length already tells that
// they can't be taken.
func TestAnnouncedLengthIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		announced, status int
		bytes             int64 // limit
	}{
		"over the limit of a body":    {1<<20 + 1, http.StatusBadRequest, 8 << 20},
		"over the memory of the port": {9000, http.StatusServiceUnavailable, 20_000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPort("test", DefaultSettings(), Limits{Connections: 2, Bytes: c.bytes, Grace: second}, zap.NewNop())
				began := time.Now()
				client := serve(t, p)()
				answer := exchange(t, client, post("/", c.announced, 0))
				if took := time.Since(began); answer.StatusCode != c.status || took > leftoverTime {
					t.Errorf("status %d after %s, want %d at once", answer.StatusCode, took, c.status)
				}
				_ = client.Close() // the answer has been read
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a body whose sender is closed for others while it is read.
func TestSlowBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPort("test", DefaultSettings(), Limits{Connections: 4, Bytes: 40_000, Grace: second}, zap.NewNop())
		open := serve(t, p)
		slow := open()
		go func() { _, _ = io.WriteString(slow, post("/", 9000, 8999)) }() // it is closed meanwhile
		time.Sleep(2 * second)
		if answer := exchange(t, open(), post("/", 9000, 9000)); answer.StatusCode != http.StatusOK {
			t.Errorf("status %d beside a slow body", answer.StatusCode)
		}
		if _, err := http.ReadResponse(bufio.NewReader(slow), nil); err == nil {
			t.Error("the slow body was answered")
		}
		if n := p.counters[closedIncomplete].Value(); n != 1 {
			t.Errorf("%d connections closed, want 1", n)
		}
	})
}
