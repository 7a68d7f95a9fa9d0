package peer

import "sync/atomic"

// Stats counts the events of a Node since its start. Bytes include the framing of
// the WebSocket protocol, but not TLS and TCP.
type Stats struct {
	Links             int64 `json:"links"` // open now
	LinksOpened       int64 `json:"linksOpened"`
	HandshakeFailures int64 `json:"handshakeFailures"`
	FramesIn          int64 `json:"framesIn"`
	FramesOut         int64 `json:"framesOut"`
	BytesIn           int64 `json:"bytesIn"`
	BytesOut          int64 `json:"bytesOut"`
	Overflows         int64 `json:"overflows"`     // links closed because of a full send queue
	BadFrames         int64 `json:"badFrames"`     // links closed because of an invalid frame
	UnknownKinds      int64 `json:"unknownKinds"`  // ignored frames
	LateResponses     int64 `json:"lateResponses"` // dropped answers that were late or duplicate
	Rejected          int64 `json:"rejected"`      // requests rejected because a limit of handlers was reached
	Unreachable       int64 `json:"unreachable"`   // calls by this node that were certainly not handled
	NoAnswer          int64 `json:"noAnswer"`      // calls by this node that may have been handled
}

// counters are the live values of Stats.
type counters struct {
	links, linksOpened, handshakeFailures          atomic.Int64
	framesIn, framesOut, bytesIn, bytesOut         atomic.Int64
	overflows, badFrames, unknownKinds             atomic.Int64
	lateResponses, rejected, unreachable, noAnswer atomic.Int64
}

func (c *counters) snapshot() Stats {
	return Stats{
		Links:             c.links.Load(),
		LinksOpened:       c.linksOpened.Load(),
		HandshakeFailures: c.handshakeFailures.Load(),
		FramesIn:          c.framesIn.Load(),
		FramesOut:         c.framesOut.Load(),
		BytesIn:           c.bytesIn.Load(),
		BytesOut:          c.bytesOut.Load(),
		Overflows:         c.overflows.Load(),
		BadFrames:         c.badFrames.Load(),
		UnknownKinds:      c.unknownKinds.Load(),
		LateResponses:     c.lateResponses.Load(),
		Rejected:          c.rejected.Load(),
		Unreachable:       c.unreachable.Load(),
		NoAnswer:          c.noAnswer.Load(),
	}
}

// wireSize returns the size in bytes of a WebSocket frame with a payload of n bytes.
func wireSize(n int, masked bool) int64 {
	size := n + 2
	switch {
	case n > 1<<16-1:
		size += 8
	case n > 125:
		size += 2
	}
	if masked {
		size += 4
	}
	return int64(size)
}
