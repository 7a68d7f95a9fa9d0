package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// listener is one HTTP server of an entry.
type listener struct {
	name   string
	server *http.Server
	net    net.Listener
}

// listen opens a listener, with TLS if config is not nil.
func listen(name, address string, handler http.Handler, config *tls.Config) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return &listener{name: name, net: l, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

// address returns the host:port that the listener has.
func (l *listener) address() string { return l.net.Addr().String() }

// serve serves until shutdown.
func (l *listener) serve() error {
	if err := l.server.Serve(l.net); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.name, err)
	}
	return nil
}

// shutdown stops accepting and waits until running requests have been answered
// or ctx is done, then closes what is left.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
		return fmt.Errorf("shut down %s: %w", l.name, err)
	}
	return nil
}
