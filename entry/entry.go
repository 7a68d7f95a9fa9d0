package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/cached"
	"amaranthfork.example/entry/certs"
	"amaranthfork.example/entry/metrics"
	"amaranthfork.example/entry/peer"
	"amaranthfork.example/fleet"
	"amaranthfork.example/node/intake"
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Table   backing.ConditionalTable
	Objects backing.Objects
	VMFeed  backing.VMFeed
	Workers backing.Workers
	VMs     backing.VMs
}

// Options configures an Entry. All fields but DialPeer are required.
type Options struct {
	Settings Settings
	Platform Platform
	Clock    fleet.Clock
	Log      *zap.Logger
	// DialPeer opens connections to other entries. If it is nil, TCP is used.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
}

// Entry is one entry process. It serves while Run is running.
type Entry struct {
	options Options
	table   backing.Table
	vmList  backing.VMList
	metrics *metrics.Registry
	certs   *certs.Reloader
	peerTLS *tls.Config

	api  *listener // for callers and operators
	peer *listener // for other entries

	plane atomic.Pointer[plane] // of the current session, nil between sessions

	draining  atomic.Bool   // a planned stop has begun
	aborted   chan struct{} // closed by Abort
	abortOnce sync.Once
}

// New creates an entry and opens its listeners. Requests are served once Run has begun
// a session. It returns an error if a certificate cannot be loaded or an address
// cannot be listened on.
func New(o Options) (*Entry, error) {
	e := &Entry{
		options: o,
		table:   cached.NewTable(o.Platform.Table),
		vmList:  cached.NewVMList(o.Platform.VMFeed),
		metrics: metrics.New(o.Clock),
		aborted: make(chan struct{}),
	}
	serverTLS, err := e.loadTLS()
	if err != nil {
		return nil, err
	}
	e.peer, err = listenForPeers(o.Settings.PeerAddress, http.HandlerFunc(e.servePeer), serverTLS)
	if err != nil {
		return nil, err
	}
	clients := o.Settings.Clients.Derive(o.Settings.MemoryMB, o.Settings.MaxFDs)
	callers := intake.NewPort("callers", clients, clients.Callers(), o.Log)
	e.api, err = listenForCallers(o.Settings.APIAddress, callers, http.HandlerFunc(e.serveAPI), serverTLS)
	if err != nil {
		return nil, errors.Join(err, e.peer.inner.Close())
	}
	o.Log.Info("client_limits", clients.Fields()...)
	e.publish()
	callers.Publish(func(name string, v expvar.Var) {
		e.metrics.Publish(name, func() any { return json.RawMessage(v.String()) })
	})
	return e, nil
}

// loadTLS loads the certificates of the settings and returns the configuration of the
// listeners, or nil if TLS is not set.
func (e *Entry) loadTLS() (*tls.Config, error) {
	s := e.options.Settings
	if s.TLSCert == "" {
		return nil, nil
	}
	var err error
	if e.certs, err = certs.NewReloader(s.TLSCert, s.TLSKey); err != nil {
		return nil, err
	}
	if e.peerTLS, err = certs.ClientConfig(s.TLSCA); err != nil {
		return nil, err
	}
	return e.certs.ServerConfig(), nil
}

// Reload reads the files of the server certificate again. On error the previous
// certificate stays in use. Without TLS it does nothing.
func (e *Entry) Reload() error {
	if e.certs == nil {
		return nil
	}
	return e.certs.Reload()
}

// APIAddress returns the host:port at which the entry listens for callers.
func (e *Entry) APIAddress() string { return e.api.address() }

// PeerAddress returns the host:port at which other entries reach this one.
func (e *Entry) PeerAddress() string {
	if e.options.Settings.AdvertisedPeerAddress != "" {
		return e.options.Settings.AdvertisedPeerAddress
	}
	return e.peer.address()
}

func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	p := e.plane.Load()
	if p == nil || r.URL.Path != peer.Path {
		http.Error(w, "no session", http.StatusServiceUnavailable)
		return
	}
	p.node.ServeHTTP(w, r)
}

// serveAPI serves one request of a caller or operator. While the entry drains, each
// response closes its connection: if the shutdown closed a connection on which a
// caller was sending its next request, the caller would not know whether it ran.
func (e *Entry) serveAPI(w http.ResponseWriter, r *http.Request) {
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	p := e.plane.Load()
	switch {
	case p != nil:
		p.ServeHTTP(w, r)
	case r.URL.Path == "/livez":
		_, _ = fmt.Fprintln(w, "ok")
	default:
		// No session, hence no handler: the request was not run.
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"outcome":%q,"reason":%q,"detail":"no session yet","retryAfterMS":1000}`+"\n",
			fleet.OutcomeNotRun, fleet.ReasonStaleView)
	}
}

// publish adds the variables of the process and of the session's parts to the
// metrics. Those of a part are null while there is no session.
func (e *Entry) publish() {
	publishPart := func(name string, value func(*plane) any) {
		e.metrics.Publish(name, func() any {
			if p := e.plane.Load(); p != nil {
				return value(p)
			}
			return nil
		})
	}
	e.metrics.Publish("process", func() any { return metrics.ReadProcess() })
	publishPart("jobs", func(p *plane) any { return p.jobs.Stats() })
	publishPart("slots", func(p *plane) any { return p.slots.Stats() })
	publishPart("limits", func(p *plane) any { return p.limits.Stats() })
	publishPart("journal", func(p *plane) any { return p.journal.Stats() })
	publishPart("peers", func(p *plane) any { return p.node.Stats() })
	publishPart("direct", func(p *plane) any { return p.direct.Stats() })
	publishPart("revision", func(p *plane) any { return p.view.Revision() })
	publishPart("members", func(p *plane) any { return len(p.members.Members().List) })
}

const (
	minRejoinDelay = 200 * time.Millisecond // before a new session; doubled with each one that ends early
	maxRejoinDelay = 5 * time.Second        // a session that lasted longer resets the delay
	leaveTimeout   = 10 * time.Second       // of the handover at a planned stop
)

// Run serves until ctx ends and then stops gracefully: the readiness check fails, the
// entry waits for the load balancer and for running requests, and hands its state over
// to the other entries. It returns the errors of the stop, the error of a listener
// that failed, or ErrAborted.
func (e *Entry) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	go func() { failed <- e.api.serve() }()
	go func() { failed <- e.peer.serve() }()
	e.options.Log.Info("listening", zap.String("api", e.api.address()), zap.String("peers", e.PeerAddress()))

	sessionsCtx, endSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer endSessions()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.runSessions(sessionsCtx)
	}()
	var err error
	select {
	case <-ctx.Done():
		err = errors.Join(e.stopServing(), e.leave())
	case err = <-failed:
		err = errors.Join(err, e.leave())
	case <-e.aborted:
		err = ErrAborted
	}
	endSessions()
	<-ended
	if p := e.plane.Load(); p != nil {
		if !errors.Is(err, ErrAborted) {
			p.shutdownPeers()
		}
		p.close()
	}
	_ = e.peer.server.Close()
	_ = e.api.server.Close()
	e.options.Log.Info("stopped", zap.Error(err))
	return err
}

// ErrAborted is the error of Run after Abort.
var ErrAborted = errors.New("entry aborted")

// Abort ends the entry at once, like a crash: open requests are cut off and no state
// is handed over. Run returns ErrAborted.
func (e *Entry) Abort() { e.abortOnce.Do(func() { close(e.aborted) }) }

// runSessions runs sessions one after another until ctx ends. A session ends early
// when it cannot join the fleet or when another entry fences it.
func (e *Entry) runSessions(ctx context.Context) {
	delay := minRejoinDelay
	for ctx.Err() == nil {
		began := e.options.Clock.Now()
		err := e.runSession(ctx)
		if ctx.Err() != nil {
			return
		}
		if e.options.Clock.Now().Sub(began) > maxRejoinDelay {
			delay = minRejoinDelay
		}
		e.options.Log.Warn("session_ended", zap.Error(err), zap.Duration("retry_in", delay))
		e.metrics.Add("sessions_ended", 1)
		_ = fleet.Sleep(ctx, delay) // the loop condition checks ctx
		delay = min(2*delay, maxRejoinDelay)
	}
}

// runSession runs one session until it is over or ctx ends. If ctx ends, the plane
// stays in e.plane, and Run closes it.
func (e *Entry) runSession(ctx context.Context) error {
	p, err := newPlane(e)
	if err != nil {
		return err
	}
	e.plane.Store(p)
	err = p.run(ctx)
	if ctx.Err() == nil {
		// The session is over, but the process continues with the next one.
		p.api.Stop()
		e.plane.CompareAndSwap(p, nil)
		p.close()
	}
	return err
}

// stopServing fails the readiness check, waits for the drain delay, refuses new work,
// and waits for running requests, for StopTimeout at most.
func (e *Entry) stopServing() error {
	p := e.plane.Load()
	e.draining.Store(true)
	if p != nil {
		p.api.Drain()
	}
	e.options.Log.Info("draining", zap.Duration("delay", e.options.Settings.DrainDelay))
	_ = fleet.Sleep(context.Background(), e.options.Settings.DrainDelay)
	if p != nil {
		p.api.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.options.Settings.StopTimeout)
	defer cancel()
	return e.api.shutdown(ctx)
}

// leave ends the session, if there is one, and hands its state over to the other
// entries.
func (e *Entry) leave() error {
	p := e.plane.Load()
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.leave(ctx); err != nil {
		return fmt.Errorf("leave the fleet: %w", err)
	}
	return nil
}
