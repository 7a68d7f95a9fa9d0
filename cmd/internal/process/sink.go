package process

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the log. A line costs a few microseconds, so the rate bounds what
// logging may take of a small VM's processor.
const (
	maxLinesPerSecond = 3000
	maxPendingBytes   = 1 << 20
	flushInterval     = 100 * time.Millisecond
	flushBytes        = 32 << 10
)

// Sink writes log lines without ever blocking its callers. Lines over the rate
// or over the pending bytes are dropped and counted.
type Sink struct {
	out  io.Writer
	now  func() time.Time
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	second  int64
	lines   int
	dropped int
	closed  bool

	lost atomic.Int64
}

// NewSink starts a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int64 { return s.lost.Load() }

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := s.now().Unix()
	if second != s.second {
		s.reportDropped()
		s.second, s.lines = second, 0
	}
	s.lines++
	if s.lines > maxLinesPerSecond || len(s.pending)+len(line) > maxPendingBytes || s.closed {
		s.dropped++
		s.lost.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	if len(s.pending) >= flushBytes {
		s.wakeUp()
	}
	return len(line), nil
}

// reportDropped adds a line that tells how many were dropped before it.
func (s *Sink) reportDropped() {
	if s.dropped == 0 {
		return
	}
	s.pending = fmt.Appendf(s.pending, "level=warn event=log_lines_dropped count=%d\n", s.dropped)
	s.dropped = 0
}

func (s *Sink) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Sync asks for what is pending to be written soon.
func (s *Sink) Sync() error {
	s.wakeUp()
	return nil
}

// Close writes what is pending and ends the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.reportDropped()
	s.mu.Unlock()
	s.wakeUp()
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var spare []byte
	for {
		select {
		case <-ticker.C:
		case <-s.wake:
		}
		s.mu.Lock()
		lines, closed := s.pending, s.closed
		s.pending = spare[:0]
		s.mu.Unlock()
		if len(lines) > 0 {
			_, _ = s.out.Write(lines) // there is nowhere to report a log that cannot be written
		}
		spare = lines
		if closed {
			return
		}
	}
}
