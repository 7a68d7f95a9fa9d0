// Package bench measures fleets of entries with a stand-in for the platform in
// one process: the resources that an entry uses without work, the throughput of
// jobs, and the delay that an entry adds to direct requests.
package bench

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/entry/local"
	"amaranthfork.example/entry/metrics"
	"amaranthfork.example/entry/peer"
	"amaranthfork.example/fleet"
)

// Size describes a fleet.
type Size struct {
	DataCentres int
	Entries     int // in the whole fleet, a multiple of DataCentres
	Workers     int // in the whole fleet, a multiple of DataCentres
	Pools       int
	Teams       int
	Files       int // additional small configuration files
}

const (
	readyTimeout = 60 * time.Second
	pollInterval = 100 * time.Millisecond
	teamLimit    = 100_000
)

// benchFleet is a running fleet that is measured.
type benchFleet struct {
	*local.Fleet
	size Size
	key  string
}

// start starts a fleet, applies its configuration and waits until the entries
// have leased all workers. It fails after readyTimeout.
func start(ctx context.Context, size Size, o local.Options) (*benchFleet, error) {
	o.DataCentres = nil
	for i := range size.DataCentres {
		o.DataCentres = append(o.DataCentres, fleet.DataCentreName(fmt.Sprintf("dc-%02d", i+1)))
	}
	o.EntriesPerDataCentre = size.Entries / size.DataCentres
	o.WorkersPerDataCentre = size.Workers / size.DataCentres
	inner, err := local.New(o)
	if err != nil {
		return nil, err
	}
	f := &benchFleet{Fleet: inner, size: size}
	if err := f.configure(ctx); err != nil {
		return nil, errors.Join(err, inner.Stop())
	}
	return f, nil
}

func (f *benchFleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	key, presented, err := config.NewKey(rand.Reader, "bench", "team-001")
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	f.key = presented
	change := client.Change{ID: "bench", Put: []client.File{
		{Name: "00000001-fleet.yaml", Content: []byte(f.fleetFile())},
		{Name: "00000002-key.yaml", Content: config.KeyFile(key)},
	}}
	for i := range f.size.Files {
		content := fmt.Sprintf("teams:\n  team-001: {limit: %d}\n", teamLimit-1-i)
		change.Put = append(change.Put, client.File{Name: fmt.Sprintf("%08d-limit.yaml", i+3), Content: []byte(content)})
	}
	operator, err := client.New(client.Options{BaseURL: f.Entries[0].URL, Token: f.Token})
	if err != nil {
		return err
	}
	err = waitUntil(ctx, func() error {
		applied, err := operator.Apply(ctx, change)
		if err == nil && applied.Pending {
			err = errors.New("configuration not in force yet")
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	return waitUntil(ctx, f.checkAllLeased)
}

// checkAllLeased returns an error unless the entries have leased all workers.
func (f *benchFleet) checkAllLeased() error {
	leased := 0
	for i := range f.Entries {
		v, err := f.readMetrics(i)
		if err != nil {
			return err
		}
		leased += v.Slots.Leased
	}
	if leased != f.size.Workers {
		return fmt.Errorf("%d of %d workers leased", leased, f.size.Workers)
	}
	return nil
}

// waitUntil calls ready until it succeeds. When ctx is done, it returns the
// last error of ready.
func waitUntil(ctx context.Context, ready func() error) error {
	for {
		err := ready()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// fleetFile returns the configuration of the fleet as one file. It assigns the
// workers to the pools in turn.
func (f *benchFleet) fleetFile() string {
	var b strings.Builder
	b.WriteString("dataCentres:\n")
	for i := range f.size.DataCentres {
		fmt.Fprintf(&b, "  dc-%02d: {region: local}\n", i+1)
	}
	b.WriteString("pools:\n")
	for p := range f.size.Pools {
		fmt.Fprintf(&b, "  pool-%02d:\n    maxUnavailable: 1\n    vms:\n", p+1)
		for w := p; w < f.size.Workers; w += f.size.Pools {
			fmt.Fprintf(&b, "      - w-%02d\n", w+1)
		}
	}
	b.WriteString("teams:\n")
	for t := range f.size.Teams {
		fmt.Fprintf(&b, "  team-%03d: {share: %d, limit: %d}\n", t+1, 1000/f.size.Teams, teamLimit)
	}
	b.WriteString("queues:\n  work: {pool: pool-01, teams: [team-001], maxQueued: 1000000}\n")
	b.WriteString("workspaces:\n  direct: {pool: pool-01, open: true}\n")
	return b.String()
}

// entryMetrics holds the metrics of an entry that this package reads.
type entryMetrics struct {
	Process metrics.Process `json:"process"`
	Peers   peer.Stats      `json:"peers"`
	Slots   struct{ Leased, Running int }
	Journal struct{ Pages, Records, Bytes uint64 }
	Members int `json:"members"`
}

// readMetrics reads the metrics of the entry with index i.
func (f *benchFleet) readMetrics(i int) (entryMetrics, error) {
	var v entryMetrics
	request, err := http.NewRequest(http.MethodGet, f.Entries[i].URL+"/debug/vars", nil)
	if err != nil {
		return v, err
	}
	request.Header.Set("Authorization", "Bearer "+f.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return v, err
	}
	defer response.Body.Close()
	return v, json.NewDecoder(response.Body).Decode(&v)
}
