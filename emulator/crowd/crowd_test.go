package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of the crowds. bodyCrowd bodies are more than the VM's memory, connCrowd connections
// more than the process's descriptors. All are fixed.
const (
	bodyCrowd   = 400
	connCrowd   = 700
	stepsCrowd  = 100
	attempts    = 2  // of a client whose connection is closed
	wholeOneIn  = 8  // clients that send their request to its end
	pieces      = 64 // of a body that is sent piece by piece
	largeChunk  = 32 << 10
	smallChunk  = 8
	headerBytes = 512 << 10
	// shortHeaderLines take some 60 KB, below what net/http accepts by default.
	shortHeaderLines = 8000
	holdTime         = 3 * time.Second // that the crowd stays open after it has sent its part
	returnCrowd      = 64
	restarts         = 3
	clientBuffer     = 4 << 10 // receive buffer of a client that takes no answers, in bytes
	slowBytes        = 60      // of a body that is sent byte by byte, with slowPause between them
	slowPause        = 100 * time.Millisecond
)

// client sends its part of a request on a new connection. Whole requests have no missing end.
type client func(conn net.Conn, whole bool) error

// crowd lets n clients send to an address, keeps their connections open and checks ordinary
// requests meanwhile and afterwards.
func (s *system) crowd(n int, address string, send client) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sent, all sync.WaitGroup
	for i := range n {
		sent.Add(1)
		all.Go(func() {
			once := sync.OnceFunc(sent.Done)
			defer once()
			for range attempts {
				if ctx.Err() != nil {
					return
				}
				s.play(ctx, address, i%wholeOneIn == 0, send, once)
			}
		})
	}
	settled := make(chan struct{})
	go func() { sent.Wait(); close(settled) }()
	select {
	case <-settled:
	case <-time.After(patience): // some clients still wait for the entry to read
	}
	s.ordinary("beside the crowd")
	time.Sleep(holdTime)
	s.ordinary("beside the crowd, later")
	cancel()
	all.Wait()
	s.ordinary("after the crowd")
	s.check()
}

// play is one attempt of a client. It ends when the entry closes the connection or the
// crowd ends.
func (s *system) play(ctx context.Context, address string, whole bool, send client, sent func()) {
	playTaking(ctx, address, whole, send, sent, s.takeFirst)
}

// playTaking is play for a client that takes so many bytes of answers; 0 for all.
func playTaking(ctx context.Context, address string, whole bool, send client, sent func(), takeFirst int64) {
	conn, err := net.DialTimeout("tcp", address, requestTime)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // no more is expected of it
	defer stop()
	defer conn.Close()
	answers := make(chan struct{})
	go func() {
		defer close(answers)
		if takeFirst == 0 {
			_, _ = io.Copy(io.Discard, conn) // until either side closes
			return
		}
		if _, err := io.CopyN(io.Discard, conn, takeFirst); err == nil {
			<-ctx.Done() // no more answers are taken
		}
	}()
	if tcp, ok := conn.(*net.TCPConn); ok && takeFirst > 0 {
		_ = tcp.SetReadBuffer(clientBuffer) // what the client's system holds does not count
	}
	if err := send(conn, whole); err == nil {
		sent()
		<-answers
	}
}

// head returns the header of a submission.
func (s *system) head(host, key, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Key: %s\r\nContent-Type: application/json\r\n%s\r\n\r\n", s.path(), host, key, framing)
}

// body is a job of the largest permitted size.
var body = []byte(smallJob + strings.Repeat(" ", maxBodyBytes-len(smallJob)))

// manySteps is a job of the largest permitted size that takes much memory when decoded.
var manySteps = func() []byte {
	const before, step, after = `{"steps":[{}`, `,{}`, `]}`
	b := before + strings.Repeat(step, (maxBodyBytes-len(before)-len(after))/len(step)) + after
	return []byte(b)
}()

func ofLength(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const chunked = "Transfer-Encoding: chunked"

// write sends b, without its last byte unless whole is true.
func write(conn net.Conn, b []byte, whole bool) error {
	if !whole {
		b = b[:len(b)-1]
	}
	_, err := conn.Write(b)
	return err
}

// inChunks returns a body in chunks of a size.
func inChunks(b []byte, size int) []byte {
	var out bytes.Buffer
	for len(b) > 0 {
		n := min(size, len(b))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, b[:n])
		b = b[n:]
	}
	out.WriteString("0\r\n\r\n")
	return out.Bytes()
}

var (
	inLargeChunks = sync.OnceValue(func() []byte { return inChunks(body, largeChunk) })
	inSmallChunks = sync.OnceValue(func() []byte { return inChunks(body, smallChunk) })
)

// sendBody returns a client that sends a header and a body at once.
func (s *system) sendBody(host, key, framing string, body []byte) client {
	return func(conn net.Conn, whole bool) error {
		if _, err := io.WriteString(conn, s.head(host, key, framing)); err != nil {
			return err
		}
		return write(conn, body, whole)
	}
}

// Guards against a process that ends for lack of memory when many large bodies arrive at once
// and stay without their last byte.
func TestBodiesWhole(t *testing.T) {
	s := startSystem(t)
	s.crowd(bodyCrowd, s.callers, s.sendBody(host, key, ofLength(len(body)), body))
}

// sendInPieces is a client that sends a body piece by piece.
func (s *system) sendInPieces(conn net.Conn, whole bool) error {
	if _, err := io.WriteString(conn, s.head(host, key, ofLength(len(body)))); err != nil {
		return err
	}
	for b := body; len(b) > 0; {
		n := min(len(b), len(body)/pieces)
		if err := write(conn, b[:n], whole || n < len(b)); err != nil {
			return err
		}
		b = b[n:]
		time.Sleep(time.Millisecond)
	}
	return nil
}

// Guards against the same when the bodies arrive piece by piece.
func TestBodiesInPieces(t *testing.T) {
	s := startSystem(t)
	s.crowd(bodyCrowd, s.callers, s.sendInPieces)
}

// sendSlowly is a client that sends most of a body at once and the rest byte by byte.
func (s *system) sendSlowly(conn net.Conn, _ bool) error {
	if _, err := io.WriteString(conn, s.head(host, key, ofLength(len(body)))); err != nil {
		return err
	}
	b := body
	if _, err := conn.Write(b[:len(b)-slowBytes]); err != nil {
		return err
	}
	for i := len(b) - slowBytes; i < len(b)-1; i++ {
		if _, err := conn.Write(b[i : i+1]); err != nil {
			return err
		}
		time.Sleep(slowPause)
	}
	return nil
}

// Guards against bodies that always make some progress and never end.
func TestBodiesSlow(t *testing.T) {
	s := startSystem(t)
	s.crowd(bodyCrowd, s.callers, s.sendSlowly)
}

// Guards against the same when the length of the bodies is not announced.
func TestChunksLarge(t *testing.T) {
	s := startSystem(t)
	s.crowd(bodyCrowd, s.callers, s.sendBody(host, key, chunked, inLargeChunks()))
}

// Guards against the same when most of what arrives is framing.
func TestChunksSmall(t *testing.T) {
	s := startSystem(t)
	s.crowd(bodyCrowd, s.callers, s.sendBody(host, key, chunked, inSmallChunks()))
}

// Guards against bodies that are small when received and large when decoded, all complete.
func TestBodiesOfManySteps(t *testing.T) {
	s := startSystem(t)
	send := s.sendBody(host, key, ofLength(len(manySteps)), manySteps)
	s.crowd(stepsCrowd, s.callers, func(conn net.Conn, _ bool) error { return send(conn, true) })
}

// Guards against requests that are refused by their header and hold their connections.
func TestBodiesWithoutKey(t *testing.T) {
	s := startSystem(t)
	s.crowd(connCrowd, s.callers, s.sendBody(host, "no-key", ofLength(len(body)), body))
}

// Guards against the same for a host that no queue has.
func TestBodiesForUnknownHost(t *testing.T) {
	s := startSystem(t)
	s.crowd(connCrowd, s.callers, s.sendBody("unknown.example", key, chunked, inLargeChunks()))
}

// sendLargeHeader is a client that sends a long header without its end.
func (s *system) sendLargeHeader(conn net.Conn, _ bool) error {
	head := strings.TrimSuffix(s.head(host, key, ofLength(len(body))), "\r\n\r\n")
	_, err := io.WriteString(conn, head+strings.Repeat("\r\nX-Filler: "+strings.Repeat("f", 1000), headerBytes/1000))
	return err
}

// Guards against memory that headers take, which come before any key is known.
func TestHeadersLarge(t *testing.T) {
	s := startSystem(t)
	s.crowd(bodyCrowd, s.callers, s.sendLargeHeader)
}

// shortHeaders are many header fields of which each takes more memory than its line.
var shortHeaders = sync.OnceValue(func() string {
	var b strings.Builder
	for i := range shortHeaderLines {
		fmt.Fprintf(&b, "\r\nH%x:", i)
	}
	return b.String()
})

// sendShortHeaders is a client that sends many short header fields without the header's end.
func (s *system) sendShortHeaders(conn net.Conn, _ bool) error {
	head := strings.TrimSuffix(s.head(host, key, ofLength(len(body))), "\r\n\r\n")
	_, err := io.WriteString(conn, head+shortHeaders())
	return err
}

// Guards against headers that are small when received and large when decoded.
func TestHeadersOfManyFields(t *testing.T) {
	s := startSystem(t)
	s.crowd(bodyCrowd, s.callers, s.sendShortHeaders)
}

// sendPartialHeader is a client that stops within its header.
func (s *system) sendPartialHeader(conn net.Conn, _ bool) error {
	return write(conn, []byte(s.head(host, key, ofLength(len(body)))), false)
}

// Guards against descriptors that half-open connections use up.
func TestHeadersHalfOpen(t *testing.T) {
	s := startSystem(t)
	s.crowd(connCrowd, s.callers, s.sendPartialHeader)
}

// sendAndStay returns a client that sends a whole request and keeps its connection.
func (s *system) sendAndStay(path string) client {
	return func(conn net.Conn, _ bool) error {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Key: %s\r\n\r\n", path, host, key)
		return err
	}
}

// Guards against descriptors that idle connections use up.
func TestIdleConnections(t *testing.T) {
	s := startSystem(t)
	s.crowd(connCrowd, s.callers, s.sendAndStay("/"+queue+"/"))
}

// Guards against descriptors that connections use up on which nothing is ever sent.
func TestSilentConnections(t *testing.T) {
	s := startSystem(t)
	s.crowd(connCrowd, s.callers, func(net.Conn, bool) error { return nil })
}

// Guards against an entry that a crowd on the port of the load balancer's check ends.
func TestReadinessPort(t *testing.T) {
	for name, send := range portClients() {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			s.crowd(connCrowd, s.readiness, send(s, "/v1/ready"))
		})
	}
}

// Guards against an entry that a crowd on the port of the metrics ends.
func TestInternalPort(t *testing.T) {
	for name, send := range portClients() {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			s.crowd(connCrowd, s.internal, send(s, "/metrics"))
		})
	}
}

func portClients() map[string]func(s *system, path string) client {
	return map[string]func(*system, string) client{
		"idle":         func(s *system, path string) client { return s.sendAndStay(path) },
		"half-open":    func(s *system, _ string) client { return s.sendPartialHeader },
		"large-header": func(s *system, _ string) client { return s.sendLargeHeader },
		"bodies": func(s *system, _ string) client {
			return s.sendBody(host, key, ofLength(len(body)), body)
		},
	}
}

// Guards against limits that a single request inside the declared limits meets.
func TestSingleRequestAtTheLimit(t *testing.T) {
	s := startSystem(t)
	for name, send := range map[string]client{
		"whole":        s.sendBody(host, key, ofLength(len(body)), body),
		"in pieces":    s.sendInPieces,
		"large chunks": s.sendBody(host, key, chunked, inLargeChunks()),
		"small chunks": s.sendBody(host, key, chunked, inSmallChunks()),
	} {
		if err := s.single(send); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	s.check()
}

// single sends one request and returns an error unless it is answered with 200.
func (s *system) single(send client) error {
	conn, err := net.DialTimeout("tcp", s.callers, requestTime)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	if err := send(conn, true); err != nil {
		return err
	}
	answer := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if want := fmt.Sprintf("HTTP/1.1 %d", http.StatusOK); string(answer) != want {
		return errors.New(string(answer))
	}
	return nil
}
