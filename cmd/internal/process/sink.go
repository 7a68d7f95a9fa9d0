package process

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// A log line costs a few microseconds, so maxLinesPerSecond bounds the
// processor time that logging takes on a small VM.
const (
	maxLinesPerSecond = 3000
	maxPendingBytes   = 1 << 20
	flushInterval     = 100 * time.Millisecond
	flushBytes        = 32 << 10
)

// Sink writes log lines in the background, so that a slow output never blocks
// callers. Lines above maxLinesPerSecond, or for which maxPendingBytes leaves
// no room, are dropped and counted. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	now  func() time.Time
	wake chan struct{}
	done chan struct{}

	mu                 sync.Mutex
	pending            []byte
	currentSecond      int64 // Unix time
	linesThisSecond    int
	droppedSinceReport int
	closed             bool

	droppedTotal atomic.Int64
}

// NewSink starts a sink that writes to out until Close is called.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int64 { return s.droppedTotal.Load() }

// Write queues one line. It never fails: a dropped line counts as written.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := s.now().Unix()
	if second != s.currentSecond {
		s.reportDropped()
		s.currentSecond, s.linesThisSecond = second, 0
	}
	s.linesThisSecond++
	if s.linesThisSecond > maxLinesPerSecond || len(s.pending)+len(line) > maxPendingBytes || s.closed {
		s.droppedSinceReport++
		s.droppedTotal.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	if len(s.pending) >= flushBytes {
		s.wakeUp()
	}
	return len(line), nil
}

// reportDropped adds a line with the number of lines dropped since the last
// such line, if any. The caller holds s.mu.
func (s *Sink) reportDropped() {
	if s.droppedSinceReport == 0 {
		return
	}
	s.pending = fmt.Appendf(s.pending, "level=warn event=log_lines_dropped count=%d\n", s.droppedSinceReport)
	s.droppedSinceReport = 0
}

func (s *Sink) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Sync requests that the pending lines are written soon; it doesn't wait until they are.
func (s *Sink) Sync() error {
	s.wakeUp()
	return nil
}

// Close writes the pending lines and ends the sink. Lines written afterwards
// are dropped.
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
			_, _ = s.out.Write(lines) // a failure of the log cannot be logged
		}
		spare = lines
		if closed {
			return
		}
	}
}
