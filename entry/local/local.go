// Package local runs a small fleet in one process: the platform's stand-in,
// entries in several data centres and their workers. It serves trials and
// tests; entries talk to each other over loopback as in separate processes.
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
		panic(err) // the file is part of the program
	}
	return config.Folder{name: content}
}

const (
	loopback          = "127.0.0.1:0"
	readHeaderTimeout = 5 * time.Second

	stopTimeout = 30 * time.Second
)

// Options describes a fleet.
type Options struct {
	DataCentres          []fleet.DataCentreName
	EntriesPerDataCentre int
	WorkersPerDataCentre int
	Worker               fleet.VM // slots, connections and capacity of each worker
	Platform             memory.Options
	DrainDelay           time.Duration
	// OverHTTP, if it is set, makes the entries reach the platform over HTTP on
	// loopback, through the handler that it returns.
	OverHTTP func(http.Handler) http.Handler
	Log      *zap.Logger
}

// DefaultOptions describes the fleet of the sample folder.
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
	Token     string // of operators
	Entries   []*Entry

	o      Options
	secret string
	number int // of entries started
	links  *links
	http   *httpPlatform // nil unless Options.OverHTTP is set
}

// Entry is one entry of the fleet.
type Entry struct {
	*entry.Entry
	VM         string
	DataCentre fleet.DataCentreName
	URL        string           // of the API
	Platform   *memory.Platform // the path to the platform, with its fault switches

	links *links
	stop  context.CancelFunc
	over  chan struct{}
	err   error
}

// New opens the workers and starts the entries. Stop must be called after it
// has returned without an error.
func New(o Options) (*Fleet, error) {
	f := &Fleet{
		Platform:  memory.New(o.Platform),
		Endpoints: httpapi.NewEndpoints(httpapi.EndpointOptions{}),
		Token:     randomText(),
		o:         o,
		secret:    randomText(),
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
	number := 0
	for _, dc := range f.o.DataCentres {
		for i := range f.o.WorkersPerDataCentre {
			number++
			vm := f.o.Worker
			vm.ID = fleet.VMID(fmt.Sprintf("w-%02d", number))
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

// StartEntry starts one more entry.
func (f *Fleet) StartEntry(dc fleet.DataCentreName) (*Entry, error) {
	f.number++
	s := entry.DefaultSettings()
	s.DataCentre, s.VM = dc, fmt.Sprintf("entry-%d", f.number)
	s.APIAddress, s.PeerAddress = loopback, loopback
	s.PlatformURL = "http://in-process.invalid" // the platform is not reached over HTTP here
	s.PeerSecret, s.OperatorToken = f.secret, f.Token
	s.DrainDelay = f.o.DrainDelay
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	f.Platform.SetEntry(backing.EntryVM{ID: s.VM, DataCentre: dc, State: fleet.VMLive})
	p, services := f.connect(s.VM)
	inner, err := entry.New(entry.Options{
		Settings: s, Clock: fleet.SystemClock{}, Log: f.o.Log.With(zap.String("vm", s.VM)),
		Platform: services,
		DialPeer: f.links.dialFrom(s.VM),
	})
	if err != nil {
		return nil, err
	}
	f.links.add(s.VM, inner.PeerAddress())
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{Entry: inner, VM: s.VM, DataCentre: dc, URL: "http://" + inner.APIAddress(), Platform: p, links: f.links, stop: stop, over: make(chan struct{})}
	f.Entries = append(f.Entries, e)
	go func() {
		defer close(e.over)
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
	return f.http.api.Node(vm), entry.Platform{Table: c.Table(), Objects: c.Objects(), VMFeed: c.VMFeed(), Workers: c.Workers(), VMs: c.VMs()}
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

// Stop stops an entry gracefully and returns its error.
func (e *Entry) Stop() error {
	e.stop()
	<-e.over
	return e.err
}

// CutPeers interrupts all links between this entry and the others, or mends
// them. Nothing is closed: what is sent meanwhile arrives late.
func (e *Entry) CutPeers(cut bool) { e.links.cut(e.VM, cut) }

// Isolate cuts the entry off from the platform and from all other entries, or
// ends that. Callers still reach it.
func (e *Entry) Isolate(cut bool) {
	e.Platform.Path.Partition(cut)
	e.CutPeers(cut)
}

// Kill ends an entry as a crash would. The platform still lists its VM.
func (e *Entry) Kill() {
	e.Abort()
	<-e.over
}

// Ready reports whether the entry answers that it is ready.
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

// Stop stops all entries and endpoints and returns their errors.
func (f *Fleet) Stop() error {
	for _, e := range f.Entries {
		e.stop()
	}
	var faults error
	for _, e := range f.Entries {
		select {
		case <-e.over:
			if !errors.Is(e.err, entry.ErrAborted) {
				faults = errors.Join(faults, e.err)
			}
		case <-time.After(stopTimeout):
			faults = errors.Join(faults, fmt.Errorf("entry %s has not stopped after %s", e.VM, stopTimeout))
		}
	}
	if f.http != nil {
		faults = errors.Join(faults, f.http.server.Close())
	}
	return errors.Join(faults, f.Endpoints.Close())
}

func randomText() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails since Go 1.24
	return hex.EncodeToString(b)
}
