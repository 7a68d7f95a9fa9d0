package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against methods other than POST that come with large bodies, most without an end.
func TestBodiesOfOtherMethods(t *testing.T) {
	for method, framing := range map[string]string{"GET": ofLength(len(body)), "DELETE": chunked, "BREW": ofLength(len(body))} {
		t.Run(method, func(t *testing.T) {
			s := startSystem(t)
			sent := body
			if framing == chunked {
				sent = inLargeChunks()
			}
			s.crowd(bodyCrowd, s.callers, func(conn net.Conn, whole bool) error {
				head := strings.Replace(s.head(host, key, framing), "POST", method, 1)
				if _, err := io.WriteString(conn, head); err != nil {
					return err
				}
				return write(conn, sent, whole)
			})
		})
	}
}

// Guards against clients that announce a body, are told to go on and do not.
func TestExpectContinue(t *testing.T) {
	s := startSystem(t)
	s.crowd(connCrowd, s.callers, func(conn net.Conn, whole bool) error {
		if _, err := io.WriteString(conn, s.head(host, key, ofLength(len(body))+"\r\nExpect: 100-continue")); err != nil || !whole {
			return err
		}
		return write(conn, body, false)
	})
}

// returning is a client that sends a request, takes the answer and comes back at once on a new
// connection, until ctx ends.
func (s *system) returning(ctx context.Context, request func() []byte) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", s.callers, requestTime)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // no more is expected of it
		if _, err := conn.Write(request()); err == nil {
			_, _ = io.CopyN(io.Discard, conn, 1) // the beginning of an answer, or the end of the connection
		}
		stop()
		_ = conn.Close() // the answer has been taken
	}
}

// Guards against clients that come back at once after each refusal.
func TestClientsThatReturnAtOnce(t *testing.T) {
	for name, request := range map[string]func(s *system) []byte{
		"without a key": func(s *system) []byte { return append([]byte(s.head(host, "no-key", ofLength(len(body)))), body...) },
		"not valid": func(s *system) []byte {
			return append([]byte(s.head(host, key, ofLength(len(body)))), bytes.Repeat([]byte(" "), len(body))...)
		},
		"head over the limit": func(s *system) []byte {
			return []byte("GET /" + strings.Repeat("x", headerBytes) + " HTTP/1.1\r\n\r\n")
		},
		"incomplete": func(s *system) []byte { return []byte("\r\n\r\n\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			ctx, cancel := context.WithCancel(context.Background())
			for range returnCrowd {
				s.sampled.Go(func() { s.returning(ctx, func() []byte { return request(s) }) })
			}
			time.Sleep(holdTime)
			s.ordinary("beside the crowd")
			cancel()
			s.ordinary("after the crowd")
			s.check()
		})
	}
}

// Guards against a stop that clients hold up: the process ends, and the next one serves,
// whatever connections are kept open.
func TestStopsBesideCrowd(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{"planned": syscall.SIGTERM, "killed": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			clients := []client{
				s.sendBody(host, key, ofLength(len(body)), body), s.sendBody(host, key, chunked, inSmallChunks()), s.sendSlowly,
				s.sendLargeHeader, sendEndless("", "\r\n"), s.sendAndStay("/" + queue + "/"), s.sendPartialHeader,
			}
			for i := range connCrowd {
				s.sampled.Go(func() {
					for ctx.Err() == nil {
						s.play(ctx, s.callers, i%wholeOneIn == 0, clients[i%len(clients)], func() {})
						time.Sleep(answerPause)
					}
				})
			}
			for range restarts {
				s.ordinary("beside the crowd")
				if err := s.restart(sig); err != nil {
					t.Fatal(err)
				}
			}
			s.ordinary("beside the crowd, after the last start")
			cancel()
			s.ordinary("after the crowd")
			s.check()
		})
	}
}

// Guards against a planned stop that is cut short, with the requests in progress, by signals
// that come in series.
func TestSignalsInSeries(t *testing.T) {
	s := startSystem(t)
	for _, signals := range [][]os.Signal{
		{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		if err := s.stop(signals...); err != nil {
			t.Fatal(err)
		}
		if code := s.entry.ProcessState.ExitCode(); code != 0 {
			t.Errorf("after %v: exit code %d, want that of a planned stop", signals, code)
		}
		if err := s.start(); err != nil {
			t.Fatal(err)
		}
		s.ordinary("after the next start")
	}
	s.check()
}

// Guards against requests on kept connections that are refused in the last part of a planned
// stop, because the entry no longer knows that its declarations are current.
func TestPlannedStopServesKeptConnections(t *testing.T) {
	s := startSystem(t)
	client := &http.Client{Timeout: requestTime}
	defer client.CloseIdleConnections()
	if err := s.entry.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	served := 0
	for ended := false; !ended; {
		select {
		case <-s.ended:
			ended = true
		case <-time.After(answerPause / 4):
		}
		switch err := s.request(client, http.MethodPost, s.callers, s.path(), strings.NewReader(smallJob)); {
		case err == nil:
			served++
		case strings.Contains(err.Error(), "declarations were last confirmed"):
			t.Fatalf("after %d requests: %v", served, err)
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
}

// Guards against declared limits of headers that have no effect, or none before the next start.
func TestDeclaredHeaderLimit(t *testing.T) {
	s := startSystem(t)
	const declared = 16 << 10
	long := func() error {
		conn, err := net.DialTimeout("tcp", s.callers, requestTime)
		if err != nil {
			return err
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(requestTime)); err != nil {
			return err
		}
		head := strings.TrimSuffix(get("/"+queue+"/"), "\r\n") + "X-Filler: " + strings.Repeat("f", declared) + "\r\n\r\n"
		if _, err := io.WriteString(conn, head); err != nil {
			return err
		}
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		if answer.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			return fmt.Errorf("status %d", answer.StatusCode)
		}
		return nil
	}
	if err := long(); err == nil {
		t.Error("a long header was refused before a limit was declared")
	}
	row := declarations(2)
	row["value"].(map[string]any)["limits"] = map[string]any{"max_body_bytes": maxBodyBytes, "max_header_bytes": declared, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	s.await("declared limit", func() error { return postJSON(s.admin, "/row", row) })
	s.await("header over the declared limit", long)
	s.ordinary("with the declared limit")
	s.check()
}

// Guards against requests that pile up while the table service refuses all calls.
func TestCrowdWithoutTableService(t *testing.T) {
	s := startSystem(t)
	small := s.sendBody(host, key, ofLength(len(smallJob)), []byte(smallJob))
	large := s.sendBody(host, key, ofLength(len(body)), body)
	s.await("outage", func() error { return postJSON(s.admin, "/faults", map[string]any{"down": true}) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range bodyCrowd {
		s.sampled.Go(func() {
			for ctx.Err() == nil {
				send := small
				if i%2 == 0 {
					send = large
				}
				s.play(ctx, s.callers, true, send, func() {})
			}
		})
	}
	time.Sleep(2 * holdTime)
	s.await("end of the outage", func() error { return postJSON(s.admin, "/faults", map[string]any{}) })
	s.ordinary("beside the crowd")
	cancel()
	s.ordinary("after the crowd")
	s.check()
}
