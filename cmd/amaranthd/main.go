// Command amaranthd runs an entry of amaranthfork.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"amaranthfork.example/backing/httpapi"
	"amaranthfork.example/cmd/internal/envflag"
	"amaranthfork.example/cmd/internal/process"
	"amaranthfork.example/entry"
	"amaranthfork.example/fleet"
)

func main() {
	err := command().Execute()
	process.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	s := entry.DefaultSettings()
	c := &cobra.Command{
		Use:           "amaranthd",
		Short:         "Entry process: takes requests and jobs, dispatches them to the VMs of its data centre",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := c.Flags()
	f.StringVar((*string)(&s.DataCentre), "data-centre", "", "data centre of this VM")
	f.StringVar(&s.VM, "vm", "", "id of this VM in the platform's VM list")
	f.StringVar(&s.APIAddress, "api-address", s.APIAddress, "host:port to listen on for callers and operators")
	f.StringVar(&s.PeerAddress, "peer-address", s.PeerAddress, "host:port to listen on for other entries")
	f.StringVar(&s.AdvertisedPeerAddress, "advertise-peer", "", "host:port under which other entries reach this one (peer-address if empty)")
	f.StringVar(&s.PlatformURL, "platform-url", "", "base URL of the platform's services")
	f.StringVar(&s.PeerSecret, "peer-secret", "", "secret that all entries share, at least 16 bytes")
	f.StringVar(&s.OperatorToken, "operator-token", "", "bearer token of operators")
	f.StringVar(&s.TLSCert, "tls-cert", "", "certificate file (PEM) for all listeners; read again on SIGHUP")
	f.StringVar(&s.TLSKey, "tls-key", "", "key file (PEM)")
	f.StringVar(&s.TLSCA, "tls-ca", "", "authorities (PEM) trusted on the peer link")
	f.DurationVar(&s.DrainDelay, "drain-delay", s.DrainDelay, "time between reporting not ready and closing the listeners at a planned stop")
	f.DurationVar(&s.StopTimeout, "stop-timeout", s.StopTimeout, "time for running requests after the drain delay")
	f.Int64Var(&s.MemoryMB, "memory-mb", s.MemoryMB, "memory of this VM, for the limits on clients, MB; 0 for 184")
	f.Int64Var(&s.MaxFDs, "max-fds", s.MaxFDs, "descriptors of this process, for the limits on clients; 0 for 4100")
	addClientFlags(f, &s.Clients)
	f.IntVar(&s.Shards, "shards", s.Shards, "job shards of the fleet, the same on every entry")
	envflag.Describe(f)
	c.AddCommand(platformCommand())
	c.RunE = func(*cobra.Command, []string) error {
		if err := envflag.Apply(f); err != nil {
			return err
		}
		return run(s)
	}
	return c
}

func run(s entry.Settings) error {
	if err := s.Check(); err != nil {
		return fmt.Errorf("settings:\n%w", err)
	}
	log, err := process.Logger()
	if err != nil {
		return err
	}
	log = log.With(zap.String("vm", s.VM), zap.String("data_centre", string(s.DataCentre)))
	p := httpapi.NewClient(httpapi.ClientOptions{URL: s.PlatformURL, Caller: s.VM})
	e, err := entry.New(entry.Options{
		Settings: s,
		Platform: entry.Platform{Table: p.Table(), Objects: p.Objects(), VMFeed: p.VMFeed(), Workers: p.Workers(), VMs: p.VMs()},
		Clock:    fleet.SystemClock{},
		Log:      log,
	})
	if err != nil {
		return err
	}
	return process.Run(e, log)
}
