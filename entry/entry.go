package entry

import (
	"context"
	"crypto/tls"
	"errors"
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
)

// Platform bundles the platform's services.
type Platform struct {
	Table   backing.ConditionalTable
	Objects backing.Objects
	VMFeed  backing.VMFeed
	Workers backing.Workers
	VMs     backing.VMs
}

// Options are the parts of an entry.
type Options struct {
	Settings Settings
	Platform Platform
	Clock    fleet.Clock
	Log      *zap.Logger
	// DialPeer opens connections to other entries; nil means TCP.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
}

// Entry is one entry process.
type Entry struct {
	o       Options
	table   backing.Table
	vmList  backing.VMList
	metrics *metrics.Registry
	certs   *certs.Reloader
	peerTLS *tls.Config

	api  *listener
	peer *listener

	plane atomic.Pointer[plane] // of the present session, nil between sessions

	draining  atomic.Bool
	aborted   chan struct{}
	abortOnce sync.Once
}

// New opens the listeners. Callers are answered once Run has begun a session.
func New(o Options) (*Entry, error) {
	e := &Entry{
		o:       o,
		table:   cached.NewTable(o.Platform.Table),
		vmList:  cached.NewVMList(o.Platform.VMFeed),
		metrics: metrics.New(o.Clock),
		aborted: make(chan struct{}),
	}
	serverTLS, err := e.loadTLS()
	if err != nil {
		return nil, err
	}
	e.peer, err = listen("peers", o.Settings.PeerAddress, http.HandlerFunc(e.servePeer), serverTLS)
	if err != nil {
		return nil, err
	}
	e.api, err = listen("callers", o.Settings.APIAddress, http.HandlerFunc(e.serveAPI), serverTLS)
	if err != nil {
		return nil, errors.Join(err, e.peer.net.Close())
	}
	e.publish()
	return e, nil
}

func (e *Entry) loadTLS() (*tls.Config, error) {
	s := e.o.Settings
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

// Reload reads the certificate files again.
func (e *Entry) Reload() error {
	if e.certs == nil {
		return nil
	}
	return e.certs.Reload()
}

// APIAddress returns the host:port that callers use.
func (e *Entry) APIAddress() string { return e.api.address() }

// PeerAddress returns the host:port that other entries use.
func (e *Entry) PeerAddress() string {
	if e.o.Settings.AdvertisePeer != "" {
		return e.o.Settings.AdvertisePeer
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

// serveAPI serves one request. While the entry drains, each answer ends its
// connection: a caller that sent its next request on a connection that the
// shutdown closes at that moment would not know whether it ran.
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
		// Nothing was looked at, so the request was not run.
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"outcome":%q,"reason":%q,"detail":"no session yet","retryAfterMS":1000}`+"\n",
			fleet.OutcomeNotRun, fleet.ReasonStaleView)
	}
}

// publish adds variables that are computed when the metrics are read.
func (e *Entry) publish() {
	ofPlane := func(name string, value func(*plane) any) {
		e.metrics.Publish(name, func() any {
			if p := e.plane.Load(); p != nil {
				return value(p)
			}
			return nil
		})
	}
	e.metrics.Publish("process", func() any { return metrics.ReadProcess() })
	ofPlane("jobs", func(p *plane) any { return p.jobs.Stats() })
	ofPlane("slots", func(p *plane) any { return p.slots.Stats() })
	ofPlane("limits", func(p *plane) any { return p.limits.Stats() })
	ofPlane("journal", func(p *plane) any { return p.journal.Stats() })
	ofPlane("peers", func(p *plane) any { return p.node.Stats() })
	ofPlane("direct", func(p *plane) any { return p.direct.Stats() })
	ofPlane("revision", func(p *plane) any { return p.view.Revision() })
	ofPlane("members", func(p *plane) any { return len(p.members.Members().List) })
}

const (
	minRejoin = 200 * time.Millisecond
	maxRejoin = 5 * time.Second
	leaveTime = 10 * time.Second
)

// Run serves until ctx ends and then stops gracefully: the entry becomes
// unready, waits for the load balancer, lets running requests end, and hands
// its state over.
func (e *Entry) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	go func() { failed <- e.api.serve() }()
	go func() { failed <- e.peer.serve() }()
	e.o.Log.Info("listening", zap.String("api", e.api.address()), zap.String("peers", e.PeerAddress()))

	sessions, endSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer endSessions()
	over := make(chan struct{})
	go func() {
		defer close(over)
		e.keepSession(sessions)
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
	<-over
	if p := e.plane.Load(); p != nil {
		p.close()
	}
	_ = e.peer.server.Close()
	_ = e.api.server.Close()
	e.o.Log.Info("stopped", zap.Error(err))
	return err
}

// ErrAborted is the error of Run after Abort.
var ErrAborted = errors.New("entry aborted")

// Abort ends the entry at once, as a crash would: requests are cut and nothing
// is handed over.
func (e *Entry) Abort() { e.abortOnce.Do(func() { close(e.aborted) }) }

// keepSession begins a session and a new one whenever it was fenced.
func (e *Entry) keepSession(ctx context.Context) {
	wait := minRejoin
	for ctx.Err() == nil {
		began := e.o.Clock.Now()
		err := e.oneSession(ctx)
		if ctx.Err() != nil {
			return
		}
		if e.o.Clock.Now().Sub(began) > maxRejoin {
			wait = minRejoin
		}
		e.o.Log.Warn("session_ended", zap.Error(err), zap.Duration("retry_in", wait))
		e.metrics.Add("sessions_ended", 1)
		_ = fleet.Sleep(ctx, wait) // the loop looks at ctx
		wait = min(2*wait, maxRejoin)
	}
}

func (e *Entry) oneSession(ctx context.Context) error {
	p, err := newPlane(e)
	if err != nil {
		return err
	}
	e.plane.Store(p)
	err = p.run(ctx)
	if ctx.Err() == nil {
		// The session is over while the process goes on.
		p.api.Stop()
		e.plane.CompareAndSwap(p, nil)
		p.close()
	}
	return err
}

// stopServing ends the service for callers without cutting a request.
func (e *Entry) stopServing() error {
	p := e.plane.Load()
	e.draining.Store(true)
	if p != nil {
		p.api.Drain()
	}
	e.o.Log.Info("draining", zap.Duration("delay", e.o.Settings.DrainDelay))
	_ = fleet.Sleep(context.Background(), e.o.Settings.DrainDelay)
	if p != nil {
		p.api.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.o.Settings.StopTimeout)
	defer cancel()
	return e.api.shutdown(ctx)
}

// leave hands the state of the session over to the other entries.
func (e *Entry) leave() error {
	p := e.plane.Load()
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := p.leave(ctx); err != nil {
		return fmt.Errorf("leave the fleet: %w", err)
	}
	return nil
}
