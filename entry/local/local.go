// Package local runs a small fleet in one process, for development and tests: the
// in-memory platform, entries in several data centres, and their workers. The entries
// communicate over loopback connections as separate processes do.
package local

import (
	"context"
	"crypto/rand"
	"embed"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/httpapi"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/config"
	"amaranthfork.example/entry"
	"amaranthfork.example/fleet"
)

//go:embed fleet/*.yaml
var sample embed.FS

// SampleFolder returns the declarations of a fleet with the data centres dc-a
// and dc-b and the workers w-01 to w-08.
func SampleFolder() config.Folder {
	const name = "00000001-fleet.yaml"
	content, err := sample.ReadFile("fleet/" + name)
	if err != nil {
		panic(err) // the file is embedded, so it cannot be missing
	}
	return config.Folder{name: content}
}

const (
	loopback          = "127.0.0.1:0"
	readHeaderTimeout = 5 * time.Second

	stopTimeout = 30 * time.Second // for each entry in Fleet.Stop
)

// Options describes a fleet.
type Options struct {
	DataCentres          []fleet.DataCentreName
	EntriesPerDataCentre int
	WorkersPerDataCentre int
	Worker               fleet.VM // slots, connections and capacity of each worker
	Platform             memory.Options
	DrainDelay           time.Duration // of each entry, see entry.Settings
	// OverHTTP, if set, makes the entries reach the platform over HTTP on loopback.
	// It gets the platform's handler and returns the one that is served.
	OverHTTP func(http.Handler) http.Handler
	Log      *zap.Logger
}

// DefaultOptions returns the options that match SampleFolder.
func DefaultOptions() Options {
	return Options{
		DataCentres:          []fleet.DataCentreName{"dc-a", "dc-b"},
		EntriesPerDataCentre: 1,
		WorkersPerDataCentre: 4,
		Worker: fleet.VM{
			Slots: 8, Connections: 64, Capacity: fleet.Resources{MilliCPU: 16_000, MemoryMB: 64 << 10},
		},
		Platform: memory.Options{Runner: memory.CommandRunner},
		Log:      zap.NewNop(),
	}
}

// Fleet is a running fleet.
type Fleet struct {
	Platform  *memory.Platform
	Endpoints *httpapi.Endpoints
	Token     string   // bearer token of operators
	Entries   []*Entry // all that were started, also those that have stopped

	options        Options
	secret         string // of the peer links
	entriesStarted int
	links          *links
	http           *httpPlatform // nil unless Options.OverHTTP is set
}

// Entry is one entry of the fleet.
type Entry struct {
	*entry.Entry
	VM         string
	DataCentre fleet.DataCentreName
	URL        string           // of the API
	Platform   *memory.Platform // the platform as this entry reaches it; its PathFaults can inject faults

	links *links
	stop  context.CancelFunc
	done  chan struct{} // closed when Run has returned
	err   error         // of Run
}

// New registers the workers and starts the entries. If it returns no error, the
// caller must call Stop.
func New(o Options) (*Fleet, error) {
	f := &Fleet{
		Platform:  memory.New(o.Platform),
		Endpoints: httpapi.NewEndpoints(httpapi.EndpointOptions{}),
		Token:     randomHex(),
		options:   o,
		secret:    randomHex(),
		links:     newLinks(),
	}
	if err := f.addWorkers(); err != nil {
		return nil, errors.Join(err, f.Endpoints.Close())
	}
	if o.OverHTTP != nil {
		var err error
		if f.http, err = serveHTTP(f.Platform, o.OverHTTP); err != nil {
			return nil, errors.Join(err, f.Endpoints.Close())
		}
	}
	for range o.EntriesPerDataCentre {
		for _, dc := range o.DataCentres {
			if _, err := f.StartEntry(dc); err != nil {
				return nil, errors.Join(err, f.Stop())
			}
		}
	}
	return f, nil
}

func (f *Fleet) addWorkers() error {
	worker := 0
	for _, dc := range f.options.DataCentres {
		for i := range f.options.WorkersPerDataCentre {
			worker++
			vm := f.options.Worker
			vm.ID = fleet.VMID(fmt.Sprintf("w-%02d", worker))
			vm.DataCentre = dc
			vm.Rack = fleet.RackName(fmt.Sprintf("%s-rack-%d", dc, i/vmsPerRack+1))
			address, err := f.Endpoints.Open(vm.ID)
			if err != nil {
				return fmt.Errorf("open endpoint %s: %w", vm.ID, err)
			}
			vm.Address = address
			f.Platform.AddVM(vm)
		}
	}
	return nil
}

const vmsPerRack = 4

// StartEntry starts one more entry in a data centre. It doesn't wait until the entry
// is ready.
func (f *Fleet) StartEntry(dc fleet.DataCentreName) (*Entry, error) {
	f.entriesStarted++
	s := entry.DefaultSettings()
	s.DataCentre, s.VM = dc, fmt.Sprintf("entry-%d", f.entriesStarted)
	s.APIAddress, s.PeerAddress = loopback, loopback
	s.PlatformURL = "http://in-process.invalid" // required but not used: the services are passed to entry.New
	s.PeerSecret, s.OperatorToken = f.secret, f.Token
	s.DrainDelay = f.options.DrainDelay
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	f.Platform.SetEntry(backing.EntryVM{ID: s.VM, DataCentre: dc, State: fleet.VMLive})
	p, services := f.connect(s.VM)
	inner, err := entry.New(entry.Options{
		Settings: s, Clock: fleet.SystemClock{}, Log: f.options.Log.With(zap.String("vm", s.VM)),
		Platform: services,
		DialPeer: f.links.dialFrom(s.VM),
	})
	if err != nil {
		return nil, err
	}
	f.links.add(s.VM, inner.PeerAddress())
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{Entry: inner, VM: s.VM, DataCentre: dc, URL: "http://" + inner.APIAddress(), Platform: p, links: f.links, stop: stop, done: make(chan struct{})}
	f.Entries = append(f.Entries, e)
	go func() {
		defer close(e.done)
		e.err = inner.Run(ctx)
	}()
	return e, nil
}

// connect returns an entry's path to the platform, and the services over it.
func (f *Fleet) connect(vm string) (*memory.Platform, entry.Platform) {
	if f.http == nil {
		p := f.Platform.Node()
		return p, entry.Platform{Table: p.Table, Objects: p.Objects, VMFeed: p.VMList, Workers: p.Workers, VMs: p.VMs}
	}
	c := httpapi.NewClient(httpapi.ClientOptions{URL: f.http.url, Caller: vm})
	return f.http.api.ForCaller(vm), entry.Platform{Table: c.Table(), Objects: c.Objects(), VMFeed: c.VMFeed(), Workers: c.Workers(), VMs: c.VMs()}
}

// httpPlatform serves the platform over HTTP.
type httpPlatform struct {
	api    *httpapi.Server
	server *http.Server
	url    string
}

func serveHTTP(p *memory.Platform, wrap func(http.Handler) http.Handler) (*httpPlatform, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	h := &httpPlatform{api: httpapi.NewServer(p, nil), url: "http://" + l.Addr().String()}
	h.server = &http.Server{Handler: wrap(h.api), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = h.server.Serve(l) }() // ends with Close
	return h, nil
}

// Stop stops an entry gracefully and returns the error of its Run.
func (e *Entry) Stop() error {
	e.stop()
	<-e.done
	return e.err
}

// CutPeers cuts the entry off from all other entries, or ends that. No connection is
// closed: data sent during the cut arrives after it.
func (e *Entry) CutPeers(cut bool) { e.links.setCut(e.VM, cut) }

// Isolate cuts the entry off from the platform and from all other entries, or
// ends that. Callers still reach it.
func (e *Entry) Isolate(cut bool) {
	e.Platform.PathFaults.Partition(cut)
	e.CutPeers(cut)
}

// Kill ends an entry like a crash of its process. The platform still lists its VM.
func (e *Entry) Kill() {
	e.Abort()
	<-e.done
}

// Ready reports whether the readiness check of the entry succeeds.
func (e *Entry) Ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop stops all entries and endpoints and returns their errors, joined. Entries that
// were killed count as stopped without an error.
func (f *Fleet) Stop() error {
	for _, e := range f.Entries {
		e.stop()
	}
	var errs error
	for _, e := range f.Entries {
		select {
		case <-e.done:
			if !errors.Is(e.err, entry.ErrAborted) {
				errs = errors.Join(errs, e.err)
			}
		case <-time.After(stopTimeout):
			errs = errors.Join(errs, fmt.Errorf("entry %s has not stopped after %s", e.VM, stopTimeout))
		}
	}
	if f.http != nil {
		errs = errors.Join(errs, f.http.server.Close())
	}
	return errors.Join(errs, f.Endpoints.Close())
}

func randomHex() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails since Go 1.24
	return hex.EncodeToString(b)
}
