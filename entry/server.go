package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"amaranthfork.example/node/intake"
)

// Limits of the listener for other entries.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// listener is one HTTP server of an entry.
type listener struct {
	name   string
	server *http.Server
	inner  net.Listener // a TLS listener if TLS is configured
}

// listenForPeers opens the listener for other entries, with TLS if config is not nil.
func listenForPeers(address string, handler http.Handler, config *tls.Config) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &listener{name: "peers", inner: withTLS(l, config), server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

// listenForCallers opens the listener for callers and operators, with TLS if config is not
// nil. The port bounds what they can hold.
func listenForCallers(address string, port *intake.Port, handler http.Handler, config *tls.Config) (*listener, error) {
	l, err := port.Listen(context.Background(), address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	return &listener{name: "callers", inner: withTLS(l, config), server: port.Server(handler)}, nil
}

func withTLS(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}

// address returns the host:port at which the listener listens.
func (l *listener) address() string { return l.inner.Addr().String() }

// serve serves until shutdown.
func (l *listener) serve() error {
	if err := l.server.Serve(l.inner); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.name, err)
	}
	return nil
}

// shutdown stops accepting connections and waits until running requests are answered.
// If ctx is done first, it closes the connections that are left and returns an error.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
		return fmt.Errorf("shut down %s: %w", l.name, err)
	}
	return nil
}
