// Package dev runs the sample fleet of package entry/local in one process, to
// try the product out.
package dev

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/entry/local"
)

const (
	readyTimeout  = 30 * time.Second
	retryInterval = 100 * time.Millisecond
	keyFile       = "00000002-key.yaml"
)

// Fleet is the running sample fleet with its configuration in force.
type Fleet struct {
	*local.Fleet
	Key string // of the team booking, as callers present it
}

// Start starts the sample fleet and applies its configuration with a new key.
// It fails if the configuration is not in force within 30 s. The caller must
// call Stop.
func Start(ctx context.Context, log *zap.Logger) (*Fleet, error) {
	o := local.DefaultOptions()
	o.Log = log
	inner, err := local.New(o)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Fleet: inner}
	if err := f.configure(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) configure(ctx context.Context) error {
	key, presented, err := config.NewKey(rand.Reader, "demo", "booking")
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	f.Key = presented
	folder := local.SampleFolder()
	folder[keyFile] = config.KeyFile(key)
	change := client.Change{ID: "dev-start"}
	for _, file := range folder.Files() {
		change.Put = append(change.Put, client.File{Name: file.Name, Content: file.Content})
	}
	operator, err := client.New(client.Options{BaseURL: f.Entries[0].URL, Token: f.Token})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return f.apply(ctx, operator, change)
}

// apply repeats the change until it is in force. That is safe, because a change
// takes effect once for its id.
func (f *Fleet) apply(ctx context.Context, operator *client.Client, change client.Change) error {
	for {
		applied, err := operator.Apply(ctx, change)
		if err == nil && !applied.Pending {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("apply the sample folder: %w", errors.Join(err, ctx.Err()))
		case <-time.After(retryInterval):
		}
	}
}
