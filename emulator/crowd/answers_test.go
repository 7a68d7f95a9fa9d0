package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	silentCrowd = 100
	// takenAnswers are the bytes of answers that a client takes before it stops: the system
	// lets more be under way to a client that has taken much.
	takenAnswers = 1 << 20
	// pipelined are the requests that a client sends whose answers it does not take.
	pipelined = 20_000
)

// silent lets n clients send requests again and again without taking the answers after the
// first ones, and checks as crowd does.
func (s *system) silent(n int, address, request string) {
	s.t.Helper()
	s.crowd(n, address, repeat(request))
}

// repeat returns a client that sends the same request again and again.
func repeat(request string) client {
	block := []byte(strings.Repeat(request, 100))
	return func(conn net.Conn, _ bool) error {
		for range pipelined / 100 {
			if _, err := conn.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
}

// get returns a request without a body.
func get(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Key: %s\r\n\r\n", path, host, key)
}

// Guards against answers that fill the memory of the VM because nobody takes them. The
// answers of the metrics are the largest.
func TestAnswersNotTaken(t *testing.T) {
	for name, play := range map[string]func(*system){
		"metrics":      func(s *system) { s.silent(silentCrowd, s.internal, get("/metrics")) },
		"readiness":    func(s *system) { s.silent(silentCrowd, s.readiness, get("/v1/ready")) },
		"no queue":     func(s *system) { s.silent(bodyCrowd, s.callers, get("/unknown/")) },
		"waiting jobs": func(s *system) { s.silent(silentCrowd, s.callers, get("/"+queue+"/")) },
		"refused bodies": func(s *system) {
			s.silent(silentCrowd, s.callers, fmt.Sprintf("POST /unknown/0000000000000001 HTTP/1.1\r\nHost: %s\r\nX-Key: %s\r\nContent-Length: 2\r\n\r\n{}", host, key))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			s.takeFirst = takenAnswers
			play(s)
		})
	}
}

// busy is a client that asks again and again on one connection, and comes back at once when
// it is closed, until ctx ends.
func (s *system) busy(ctx context.Context, request []byte) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", s.callers, requestTime)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // no more is expected of it
		answers := bufio.NewReader(conn)
		for {
			if _, err := conn.Write(request); err != nil {
				break
			}
			answer, err := http.ReadResponse(answers, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
				break
			}
		}
		stop()
		_ = conn.Close() // the answer has been taken
	}
}

// Guards against new callers that are kept out for as long as others use all connections
// without a pause.
func TestConnectionsAlwaysInUse(t *testing.T) {
	s := startSystem(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range connCrowd {
		s.sampled.Go(func() { s.busy(ctx, []byte(get("/"+queue+"/"))) })
	}
	time.Sleep(holdTime)
	s.ordinary("beside the crowd")
	cancel()
	s.ordinary("after the crowd")
	s.check()
}
