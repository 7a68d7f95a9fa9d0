// Package bench measures the wired product on one machine: what an idle entry
// spends, how many jobs pass, and what the direct path adds.
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
	Files       int // additional small files
}

const (
	readyTimeout = 60 * time.Second
	pollEvery    = 100 * time.Millisecond
	teamLimit    = 100_000
)

// running is a fleet under measurement.
type running struct {
	*local.Fleet
	size Size
	key  string
}

// start starts a fleet and waits until every entry has the configuration and
// all VMs are leased.
func start(ctx context.Context, size Size, o local.Options) (*running, error) {
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
	r := &running{Fleet: inner, size: size}
	if err := r.configure(ctx); err != nil {
		return nil, errors.Join(err, inner.Stop())
	}
	return r, nil
}

func (r *running) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	key, presented, err := config.NewKey(rand.Reader, "bench", "team-001")
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	r.key = presented
	change := client.Change{ID: "bench", Put: []client.File{
		{Name: "00000001-fleet.yaml", Content: []byte(r.declarations())},
		{Name: "00000002-key.yaml", Content: config.KeyFile(key)},
	}}
	for i := range r.size.Files {
		content := fmt.Sprintf("teams:\n  team-001: {limit: %d}\n", teamLimit-1-i)
		change.Put = append(change.Put, client.File{Name: fmt.Sprintf("%08d-limit.yaml", i+3), Content: []byte(content)})
	}
	operator, err := client.New(client.Options{BaseURL: r.Entries[0].URL, Token: r.Token})
	if err != nil {
		return err
	}
	err = wait(ctx, func() error {
		applied, err := operator.Apply(ctx, change)
		if err == nil && applied.Pending {
			err = errors.New("configuration not in force yet")
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	return wait(ctx, r.leased)
}

// leased returns an error until the entries own all workers.
func (r *running) leased() error {
	owned := 0
	for i := range r.Entries {
		v, err := r.vars(i)
		if err != nil {
			return err
		}
		owned += v.Slots.Leased
	}
	if owned != r.size.Workers {
		return fmt.Errorf("%d of %d workers leased", owned, r.size.Workers)
	}
	return nil
}

func wait(ctx context.Context, ready func() error) error {
	for {
		err := ready()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollEvery):
		}
	}
}

// declarations returns the folder of the fleet as one file. Worker numbers are
// dealt out to the pools in turn.
func (r *running) declarations() string {
	var b strings.Builder
	b.WriteString("dataCentres:\n")
	for i := range r.size.DataCentres {
		fmt.Fprintf(&b, "  dc-%02d: {region: local}\n", i+1)
	}
	b.WriteString("pools:\n")
	for p := range r.size.Pools {
		fmt.Fprintf(&b, "  pool-%02d:\n    maxUnavailable: 1\n    vms:\n", p+1)
		for w := p; w < r.size.Workers; w += r.size.Pools {
			fmt.Fprintf(&b, "      - w-%02d\n", w+1)
		}
	}
	b.WriteString("teams:\n")
	for t := range r.size.Teams {
		fmt.Fprintf(&b, "  team-%03d: {share: %d, limit: %d}\n", t+1, 1000/r.size.Teams, teamLimit)
	}
	b.WriteString("queues:\n  work: {pool: pool-01, teams: [team-001], maxQueued: 1000000}\n")
	b.WriteString("workspaces:\n  direct: {pool: pool-01, open: true}\n")
	return b.String()
}

// vars is the part of an entry's metrics that is measured here.
type vars struct {
	Process metrics.Process `json:"process"`
	Peers   peer.Stats      `json:"peers"`
	Slots   struct{ Leased, Running int }
	Journal struct{ Pages, Records, Bytes uint64 }
	Members int `json:"members"`
}

func (r *running) vars(i int) (vars, error) {
	var v vars
	request, err := http.NewRequest(http.MethodGet, r.Entries[i].URL+"/debug/vars", nil)
	if err != nil {
		return v, err
	}
	request.Header.Set("Authorization", "Bearer "+r.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return v, err
	}
	defer response.Body.Close()
	return v, json.NewDecoder(response.Body).Decode(&v)
}
