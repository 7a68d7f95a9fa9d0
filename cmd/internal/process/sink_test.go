package process

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks writes until block is closed.
type blockedWriter struct {
	mu    sync.Mutex
	block chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.block
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(b)
}

// Guards against a process that blocks because the reader of its standard
// output has stopped reading: the writer's pipe is then full.
func TestSinkNeverBlocks(t *testing.T) {
	w := &blockedWriter{block: make(chan struct{})}
	s := NewSink(w)
	line := []byte(strings.Repeat("x", 999) + "\n")
	done := make(chan struct{})
	go func() {
		for range 2000 {
			_, _ = s.Write(line)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked while the output was blocked")
	}
	if s.Dropped() == 0 {
		t.Error("no line was dropped when 2 MB were written to a sink that holds 1 MB")
	}
	close(w.block)
	s.Close()
	if !strings.Contains(w.String(), "log_lines_dropped") {
		t.Error("dropped lines are not reported")
	}
}

// Guards against logging that takes the whole processor under load: lines
// above maxLinesPerSecond must be dropped, and their number logged.
func TestSinkBoundsRate(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	at := time.Unix(1000, 0)
	s.mu.Lock()
	s.now = func() time.Time { return at }
	s.mu.Unlock()
	for range maxLinesPerSecond + 10 {
		_, _ = s.Write([]byte("a\n"))
	}
	s.Close()
	if got := strings.Count(out.String(), "a\n"); got != maxLinesPerSecond {
		t.Errorf("%d lines in one second, want %d", got, maxLinesPerSecond)
	}
	if !strings.Contains(out.String(), "count=10") {
		t.Error("the count of dropped lines is missing")
	}
}
