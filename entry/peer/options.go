// Package peer implements the links between entries: WebSocket connections that
// carry CBOR frames with requests and responses in both directions.
//
// When a link is opened, both sides authenticate with an HMAC over the member ids
// and fresh nonces. The frames are protected against eavesdropping and modification
// only if the link uses TLS.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"amaranthfork.example/control/rpc"
)

// Path is the URL path at which a Node accepts links.
const Path = "/peer/v1"

// Defaults of Options.
const (
	DefaultMaxQueuedFrames   = 1024
	DefaultMaxQueuedBytes    = 8 << 20 // keeps the memory overhead of a queue of large frames below 32 MB
	DefaultMaxHandlers       = 1024
	DefaultReservedHandlers  = 64
	DefaultMaxHandlerBytes   = 16 << 20
	DefaultRequestTimeout    = 5 * time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultKeepAliveInterval = 2 * time.Second
	DefaultMinBackoff        = 100 * time.Millisecond
	DefaultMaxBackoff        = 2 * time.Second // below the session TTL of 6 s
)

const minSecretBytes = 16

// Options configures a Node. Self, Secret and Router are required; zero values of
// the other fields select the defaults.
type Options struct {
	Self   string      // member id of this node
	Secret []byte      // shared by all members, at least 16 bytes
	Router *rpc.Router // handles the requests of peers

	// TLS is the client configuration of links over TLS; nil means links without TLS.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Limits of the send queue of a link. A frame that exceeds one closes the link.
	MaxQueuedFrames int
	MaxQueuedBytes  int

	MaxHandlers     int // requests of one peer that are handled at a time
	MaxHandlerBytes int // total size of the bodies of these requests
	// IsPriority reports whether a method may use the reserved handlers, so that
	// slow requests cannot delay liveness checks.
	IsPriority       func(method string) bool
	ReservedHandlers int // part of MaxHandlers that only priority methods may use

	RequestTimeout    time.Duration // of calls whose context has no deadline
	HandshakeTimeout  time.Duration // of a handshake, and of each write on a link
	KeepAliveInterval time.Duration // time without frames before a ping, and timeout of the ping
	MinBackoff        time.Duration // before the second attempt to connect
	MaxBackoff        time.Duration // between two attempts to connect
}

// check returns all problems of the required options, joined.
func (o *Options) check() error {
	var errs []error
	if o.Self == "" {
		errs = append(errs, errors.New("peer link: member id is empty"))
	}
	if len(o.Secret) < minSecretBytes {
		errs = append(errs, fmt.Errorf("peer link: secret of %d bytes is shorter than %d", len(o.Secret), minSecretBytes))
	}
	if o.Router == nil {
		errs = append(errs, errors.New("peer link: router is missing"))
	}
	return errors.Join(errs...)
}

func (o *Options) setDefaults() {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.IsPriority == nil {
		o.IsPriority = func(string) bool { return false }
	}
	setDefault(&o.MaxQueuedFrames, DefaultMaxQueuedFrames)
	setDefault(&o.MaxQueuedBytes, DefaultMaxQueuedBytes)
	setDefault(&o.MaxHandlers, DefaultMaxHandlers)
	setDefault(&o.MaxHandlerBytes, DefaultMaxHandlerBytes)
	setDefault(&o.ReservedHandlers, DefaultReservedHandlers)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&o.KeepAliveInterval, DefaultKeepAliveInterval)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
}

func setDefault[T int | time.Duration](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}
