package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// segmentBytes is the size of the buffers that hold a body while it arrives.
const segmentBytes = 4 << 10

// answerFactor is what a request takes until it is answered, in multiples of its body: the
// body in one piece, what it is decoded to, and that encoded for the table service.
const answerFactor = 4

// ErrStalled means that a body made no progress for too long, or was not complete in time.
var ErrStalled = errors.New("body did not arrive in time")

// awaited is a body with time limits.
type awaited struct {
	io.ReadCloser
	conn  *conn
	until time.Time
	whole bool
}

// Read implements io.Reader.
func (a *awaited) Read(b []byte) (int, error) {
	deadline := time.Now().Add(a.conn.port.settings.StallTimeout)
	if deadline.After(a.until) {
		deadline = a.until
	}
	if err := a.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := a.ReadCloser.Read(b)
	if err == io.EOF {
		a.whole = true
		// The server watches the connection while the request is answered.
		if failed := a.conn.SetReadDeadline(time.Time{}); failed != nil {
			return n, failed
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.conn.port.count(stalledRequests, 1)
		return n, ErrStalled
	}
	return n, err
}

// Body is a whole body that has been received.
type Body struct {
	segments [][]byte
	size     int
	conn     *conn // nil if its connection is not counted
}

// ReadBody reads the body of a request of at most limit bytes. It takes memory for what has
// arrived only, and reads nothing of a body whose announced length is too large. The error is
// *http.MaxBytesError, ErrNoMemory, ErrStalled, or that of the connection. After an error the
// connection is closed with the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	b := &Body{conn: connOf(r)}
	if err := b.expect(r.ContentLength, limit); err != nil {
		w.Header().Set("Connection", "close")
		return nil, err
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	size := segmentBytes
	if r.ContentLength >= 0 && r.ContentLength < segmentBytes {
		size = int(r.ContentLength) + 1 // the end is read with the last byte
	}
	segment := make([]byte, 0, size)
	for {
		n, err := reader.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			return nil, err
		}
		if len(segment) == cap(segment) {
			b.segments, b.size = append(b.segments, segment), b.size+len(segment)
			segment = make([]byte, 0, segmentBytes)
		}
	}
	b.segments, b.size = append(b.segments, segment), b.size+len(segment)
	if b.conn != nil && !b.conn.charge(func(l *Ledger, now time.Duration) ([]*Entry, bool) {
		return l.Answer(b.conn.entry, answerFactor*int64(b.size), now)
	}) {
		w.Header().Set("Connection", "close")
		return nil, ErrNoMemory
	}
	return b, nil
}

// Hold charges bytes that a request takes beyond its body until it is answered, such as a
// buffered answer. The error is ErrNoMemory, which does not end the request.
func Hold(r *http.Request, bytes int64) error {
	c := connOf(r)
	if c == nil || c.charge(func(l *Ledger, now time.Duration) ([]*Entry, bool) {
		return l.Hold(c.entry, bytes, now)
	}) {
		return nil
	}
	return ErrNoMemory
}

// expect returns the error of a body of an announced length that can't be taken, whatever else
// the port holds; nil if it can, or if the length is not known.
func (b *Body) expect(length, limit int64) error {
	if length > limit {
		return &http.MaxBytesError{Limit: limit}
	}
	if b.conn != nil && b.conn.port.ledger.limits.beyond(answerFactor*length) > b.conn.port.ledger.limits.Bytes {
		b.conn.port.count(refusedRequests, 1)
		return ErrNoMemory
	}
	return nil
}

// ErrBusy means that a large body waited for others to be decoded until its request ended.
var ErrBusy = errors.New("other large requests are being decoded")

// NotReceived reports whether the error of a request means that its body was not received or
// not decoded for lack of memory or time: nothing of it was carried out.
func NotReceived(err error) bool {
	return errors.Is(err, ErrNoMemory) || errors.Is(err, ErrStalled) || errors.Is(err, ErrBusy)
}

// Decode calls f with the body, which is no longer kept afterwards. The large bodies of a port
// are decoded one at a time, so that only one takes the memory for it. The error is ErrBusy if
// ctx ends before, or that of f.
func (b *Body) Decode(ctx context.Context, f func([]byte) error) error {
	defer func() { b.segments = nil }()
	if len(b.segments) == 1 {
		return f(b.segments[0])
	}
	if b.conn != nil {
		select {
		case b.conn.port.decoding <- struct{}{}:
			defer func() { <-b.conn.port.decoding }()
		case <-ctx.Done():
			return ErrBusy
		}
	}
	whole := make([]byte, 0, b.size)
	for _, s := range b.segments {
		whole = append(whole, s...)
	}
	b.segments = nil
	return f(whole)
}
