// Command amaranth-platform serves a stand-in for the platform over HTTP, for
// tests and for trying the product out: the table service, the object store,
// the VM list, the workers and their endpoints. All data is in memory and lost
// when the process ends.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"amaranthfork.example/backing/httpapi"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/cmd/internal/envflag"
	"amaranthfork.example/cmd/internal/process"
)

const (
	envPrefix       = "AMARANTH_PLATFORM_"
	shutdownTimeout = 5 * time.Second // also bounds the reading of request headers
)

type settings struct {
	listen    string
	fleet     string
	options   memory.Options
	rateLimit memory.RateLimit
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := newCommand().ExecuteContext(ctx)
	process.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, "amaranth-platform:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	return newCommandFor(&settings{rateLimit: memory.DefaultRateLimit, options: memory.Options{Runner: memory.CommandRunner}})
}

// newCommandFor returns the command, which sets s from its flags and
// environment variables.
func newCommandFor(s *settings) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "amaranth-platform",
		Short:         "Serve a stand-in for the platform over HTTP",
		Long:          "Serve a stand-in for the platform over HTTP.\n\nEach flag can be set by the environment variable " + envPrefix + "<FLAG>.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		PreRunE: func(cmd *cobra.Command, _ []string) error {
			return errors.Join(envflag.ApplyPrefix(cmd.Flags(), envPrefix), s.check())
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), *s) },
	}
	f := cmd.Flags()
	f.StringVar(&s.listen, "listen", "127.0.0.1:7070", "address of the HTTP server")
	f.StringVar(&s.fleet, "fleet", "", "JSON file of the VMs and entry VMs to add at the start")
	f.DurationVar(&s.options.ListLag, "list-lag", time.Second, "lag of the VM list")
	f.DurationVar(&s.options.UsageLag, "usage-lag", 2*time.Second, "lag of the reported usage of tasks")
	f.DurationVar(&s.options.RebootTime, "reboot-time", 2*time.Minute, "time that a reboot takes")
	f.Float64Var(&s.rateLimit.WritesPerSecond, "writes", s.rateLimit.WritesPerSecond, "writes/s of the table and of the object store, 0 for no limit")
	f.Float64Var(&s.rateLimit.ReadsPerSecond, "reads", s.rateLimit.ReadsPerSecond, "reads/s of the table and of the object store, 0 for no limit")
	f.DurationVar(&s.rateLimit.QueueTime, "queue-time", s.rateLimit.QueueTime, "longest wait of a call over the rate limit")
	return cmd
}

// check returns the errors of all invalid settings, joined.
func (s *settings) check() error {
	var errs []error
	durations := map[string]time.Duration{
		"list-lag": s.options.ListLag, "usage-lag": s.options.UsageLag,
		"reboot-time": s.options.RebootTime, "queue-time": s.rateLimit.QueueTime,
	}
	for _, name := range slices.Sorted(maps.Keys(durations)) {
		if d := durations[name]; d < 0 {
			errs = append(errs, fmt.Errorf("--%s: %v is negative", name, d))
		}
	}
	if s.rateLimit.ReadsPerSecond < 0 || s.rateLimit.WritesPerSecond < 0 {
		errs = append(errs, errors.New("--reads and --writes must not be negative"))
	}
	return errors.Join(errs...)
}

func run(ctx context.Context, s settings) error {
	log, err := process.Logger()
	if err != nil {
		return err
	}
	p := memory.New(s.options)
	p.SharedFaults.Table.SetRateLimit(s.rateLimit)
	p.SharedFaults.Objects.SetRateLimit(s.rateLimit)
	endpoints := httpapi.NewEndpoints(httpapi.EndpointOptions{Reachable: p.VMReachable})
	defer endpoints.Close()
	api := httpapi.NewServer(p, endpoints)
	if err := loadFleet(api, s.fleet); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	log.Info("serving", zap.String("address", listener.Addr().String()))
	return serve(ctx, &http.Server{Handler: api, ReadHeaderTimeout: shutdownTimeout}, listener)
}

func loadFleet(api *httpapi.Server, name string) error {
	if name == "" {
		return nil
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := api.LoadFleet(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// serve serves until ctx is done and then waits up to shutdownTimeout for open
// calls to end.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}
