package crowd

import (
	"io"
	"net"
	"strings"
	"testing"
)

// endless are the bytes that a client without an end sends, unless its connection is closed
// before. All clients together send far more than the VM's memory.
const endless = 8 << 20

// sendEndless returns a client that sends a beginning and then the same bytes again and again.
func sendEndless(beginning, repeated string) client {
	block := []byte(strings.Repeat(repeated, max(1, (4<<10)/len(repeated))))
	return func(conn net.Conn, _ bool) error {
		if _, err := io.WriteString(conn, beginning); err != nil {
			return err
		}
		for n := 0; n < endless; n += len(block) {
			if _, err := conn.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
}

// endlessHeads are clients whose requests never get beyond their header, by name.
func (s *system) endlessHeads() map[string]client {
	head := strings.TrimSuffix(s.head(host, key, ofLength(len(body))), "\r\n")
	return map[string]client{
		"request line":           sendEndless("POST /"+queue+"/", "0"),
		"field value":            sendEndless(head+"X-Filler: ", "f"),
		"fields without a value": sendEndless(head, "h:\r\n"),
		"folded lines":           sendEndless(head+"X-Filler: f\r\n", " f\r\n"),
	}
}

// Guards against memory and descriptors that heads without an end take.
func TestHeadsWithoutEnd(t *testing.T) {
	names := (&system{environment: &environment{}}).endlessHeads()
	for name := range names {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			s.crowd(bodyCrowd, s.callers, s.endlessHeads()[name])
		})
	}
}

// sendHeadOverLimit is a client that sends a whole request whose header is over the limit.
func (s *system) sendHeadOverLimit(conn net.Conn, _ bool) error {
	head := strings.TrimSuffix(s.head(host, key, ofLength(len(smallJob))), "\r\n\r\n")
	_, err := io.WriteString(conn, head+strings.Repeat("\r\nX-Filler: "+strings.Repeat("f", 1000), headerBytes/1000)+"\r\n\r\n"+smallJob)
	return err
}

// Guards against the same when the heads come to their end, over the limit.
func TestHeadsOverLimit(t *testing.T) {
	s := startSystem(t)
	s.crowd(bodyCrowd, s.callers, s.sendHeadOverLimit)
}

// emptyLines are clients that send empty lines without end where a request begins, by name.
func (s *system) emptyLines() map[string]client {
	status := "GET /" + queue + "/ HTTP/1.1\r\nHost: " + host + "\r\nX-Key: " + key + "\r\n\r\n"
	submission := s.head(host, key, ofLength(len(smallJob))) + smallJob
	return map[string]client{
		"before a request":                 sendEndless("", "\r\n"),
		"bare line feeds":                  sendEndless("", "\n"),
		"after a request":                  sendEndless(status, "\r\n"),
		"after a submission":               sendEndless(submission, "\r\n"),
		"between requests of a connection": sendEndless("", status+"\r\n\r\n\r\n"),
	}
}

// Guards against memory, descriptors and processor time that empty lines take.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	for name := range (&system{environment: &environment{}}).emptyLines() {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			s.crowd(connCrowd, s.callers, s.emptyLines()[name])
		})
	}
}
