// Package dev runs a small fleet in one process: the platform's stand-in,
// entries in two data centres and a few workers.
package dev

import (
	"context"
	"crypto/rand"
	"embed"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/entry"
	"amaranthfork.example/fleet"
	"amaranthfork.example/platform"
	"amaranthfork.example/platform/httpapi"
	"amaranthfork.example/platform/memory"
)

//go:embed fleet/*.yaml
var sample embed.FS

// DataCentres of the fleet, each with one entry and four workers.
var DataCentres = []fleet.DataCentreName{"dc-a", "dc-b"}

const (
	workersPerDataCentre = 4
	readyTimeout         = 30 * time.Second
	loopback             = "127.0.0.1:0"
)

// Fleet is a running fleet.
type Fleet struct {
	Platform *memory.Platform
	URLs     []string // of the entries' APIs
	Token    string   // of operators
	Key      string   // of the team booking

	endpoints *httpapi.Endpoints
	entries   []*entry.Entry
	stop      context.CancelFunc
	running   sync.WaitGroup
	mu        sync.Mutex
	faults    []error
}

// Start starts a fleet and applies its configuration. Stop must be called after
// it has returned without an error.
func Start(ctx context.Context, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{
		Platform:  memory.New(memory.Options{Runner: memory.CommandRunner}),
		endpoints: httpapi.NewEndpoints(httpapi.EndpointOptions{}),
		Token:     randomText(),
	}
	if err := f.addWorkers(); err != nil {
		return nil, err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	f.stop = stop
	secret := randomText()
	for _, dc := range DataCentres {
		if err := f.startEntry(run, dc, secret, log); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	if err := f.configure(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) addWorkers() error {
	number := 0
	for _, dc := range DataCentres {
		for range workersPerDataCentre {
			number++
			id := fleet.VMID(fmt.Sprintf("w-%02d", number))
			address, err := f.endpoints.Open(id)
			if err != nil {
				return fmt.Errorf("open endpoint %s: %w", id, err)
			}
			f.Platform.AddVM(fleet.VM{
				ID: id, DataCentre: dc, Rack: fleet.RackName("rack-" + dc), Slots: 8, Connections: 64,
				Capacity: fleet.Resources{MilliCPU: 16_000, MemoryMB: 64 << 10}, Address: address,
			})
		}
	}
	return nil
}

func (f *Fleet) startEntry(ctx context.Context, dc fleet.DataCentreName, secret string, log *zap.Logger) error {
	s := entry.DefaultSettings()
	s.DataCentre, s.VM = dc, "entry-"+string(dc)
	s.APIAddress, s.PeerAddress = loopback, loopback
	s.PlatformURL = "http://embedded"
	s.PeerSecret, s.OperatorToken = secret, f.Token
	s.DrainDelay = 0
	if err := s.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	f.Platform.SetEntry(platform.EntryVM{ID: s.VM, DataCentre: dc, State: fleet.VMLive})
	p := f.Platform.Node()
	e, err := entry.New(entry.Options{
		Settings: s, Clock: fleet.SystemClock{}, Log: log.With(zap.String("vm", s.VM)),
		Platform: entry.Platform{Table: p.Table, Objects: p.Objects, VMList: p.VMList, Workers: p.Workers, VMs: p.VMs},
	})
	if err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	f.URLs = append(f.URLs, "http://"+e.APIAddress())
	f.running.Go(func() {
		if err := e.Run(ctx); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.faults = append(f.faults, err)
		}
	})
	return nil
}

// configure applies the sample folder with a new key.
func (f *Fleet) configure(ctx context.Context) error {
	key, presented, err := config.NewKey(rand.Reader, "demo", "booking")
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	f.Key = presented
	change := client.Change{ID: "dev-start"}
	content, err := fs.ReadFile(sample, "fleet/00000001-fleet.yaml")
	if err != nil {
		return err
	}
	change.Put = []client.File{
		{Name: "00000001-fleet.yaml", Content: content},
		{Name: "00000002-key.yaml", Content: config.KeyFile(key)},
	}
	operator, err := client.New(client.Options{BaseURL: f.URLs[0], Token: f.Token})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return retry(ctx, func() error {
		applied, err := operator.Apply(ctx, change)
		if err != nil {
			return fmt.Errorf("apply the sample folder: %w", err)
		}
		if applied.Pending {
			return errors.New("the sample folder is not in force yet")
		}
		return nil
	})
}

const retryEvery = 200 * time.Millisecond

func retry(ctx context.Context, fn func() error) error {
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryEvery):
		}
	}
}

// Stop stops all entries gracefully.
func (f *Fleet) Stop() error {
	f.stop()
	f.running.Wait()
	return errors.Join(append(f.faults, f.endpoints.Close())...)
}

func randomText() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails since Go 1.24
	return hex.EncodeToString(b)
}
