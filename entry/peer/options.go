// Package peer is the link between entries: WebSocket connections that carry
// CBOR frames with requests and responses in both directions.
//
// A link is authenticated in both directions with an HMAC over the member ids
// and fresh nonces. The frames themselves are protected only if the link uses
// TLS.
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

// Path is the path of the URL at which a Node accepts links.
const Path = "/peer/v1"

// Defaults of Options.
const (
	DefaultQueueFrames      = 1024
	DefaultQueueBytes       = 8 << 20 // keeps a queue of large frames below 32 MB of overhead
	DefaultMaxHandlers      = 1024
	DefaultReservedHandlers = 64
	DefaultHandlerBytes     = 16 << 20
	DefaultRequestTimeout   = 5 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultKeepAlive        = 2 * time.Second
	DefaultMinBackoff       = 100 * time.Millisecond
	DefaultMaxBackoff       = 2 * time.Second // below the session TTL of 6 s
)

const minSecret = 16 // bytes

// Options sets up a Node. Zero values give the defaults.
type Options struct {
	Self   string // own member id
	Secret []byte // shared by the fleet, at least 16 bytes
	Router *rpc.Router

	// TLS makes links use TLS with this client configuration; nil means none.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	QueueFrames int // frames that wait to be sent on a link; one more closes the link
	QueueBytes  int // bytes that wait to be sent on a link

	MaxHandlers  int // requests of one peer that are handled at a time
	HandlerBytes int // bytes of the requests of one peer that are handled at a time
	// Priority tells methods that may use the handlers that are reserved for
	// them, so that waiting requests cannot hold up liveness checks.
	Priority         func(method string) bool
	ReservedHandlers int

	RequestTimeout   time.Duration // of calls whose context has no deadline
	HandshakeTimeout time.Duration // also of each write
	KeepAlive        time.Duration // idle time before a ping, and the wait for its answer
	MinBackoff       time.Duration // before the second attempt to connect
	MaxBackoff       time.Duration
}

// check returns all faults of the options.
func (o *Options) check() error {
	var errs []error
	if o.Self == "" {
		errs = append(errs, errors.New("peer link: own member id is empty"))
	}
	if len(o.Secret) < minSecret {
		errs = append(errs, fmt.Errorf("peer link: secret of %d bytes is shorter than %d", len(o.Secret), minSecret))
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
	if o.Priority == nil {
		o.Priority = func(string) bool { return false }
	}
	setDefault(&o.QueueFrames, DefaultQueueFrames)
	setDefault(&o.QueueBytes, DefaultQueueBytes)
	setDefault(&o.MaxHandlers, DefaultMaxHandlers)
	setDefault(&o.HandlerBytes, DefaultHandlerBytes)
	setDefault(&o.ReservedHandlers, DefaultReservedHandlers)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
}

func setDefault[T int | time.Duration](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}
