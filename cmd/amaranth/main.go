// Command amaranth runs a small fleet in one process, to try amaranthfork out.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"amaranthfork.example/client"
	"amaranthfork.example/cmd/internal/dev"
	"amaranthfork.example/cmd/internal/envflag"
	"amaranthfork.example/cmd/internal/process"
	"amaranthfork.example/fleet"
)

const demoTimeout = 60 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := command().ExecuteContext(ctx)
	process.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "amaranth",
		Short:         "Try amaranthfork out",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var exit, verbose bool
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run a platform stand-in, entries in two data centres and eight workers, and send a job through",
		Args:  cobra.NoArgs,
	}
	c.Flags().BoolVar(&exit, "exit", false, "stop after the job instead of serving until interrupted")
	c.Flags().BoolVar(&verbose, "verbose", false, "write the log to standard error")
	envflag.Describe(c.Flags())
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := envflag.Apply(c.Flags()); err != nil {
			return err
		}
		log := zap.NewNop()
		if verbose {
			var err error
			if log, err = process.Logger(); err != nil {
				return err
			}
		}
		return runDev(c.Context(), c.OutOrStdout(), log, exit)
	}
	root.AddCommand(c)
	return root
}

// runDev starts the fleet, runs the demo job and, unless exit is set, serves
// until ctx is done.
func runDev(ctx context.Context, out io.Writer, log *zap.Logger, exit bool) error {
	f, err := dev.Start(ctx, log)
	if err != nil {
		return err
	}
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
	for _, e := range f.Entries {
		printf("entry in %s: %s\n", e.DataCentre, e.URL)
	}
	err = runDemoJob(ctx, f, printf)
	if err == nil && !exit {
		printf("serving; for example:\n  export AMARANTH_SERVER=%s AMARANTH_TOKEN=%s AMARANTH_KEY=%s\n  amaranthctl status\n", f.Entries[0].URL, f.Token, f.Key)
		<-ctx.Done()
	}
	err = errors.Join(err, f.Stop())
	if err == nil {
		printf("stopped\n")
	}
	return err
}

// runDemoJob submits a job with two steps at the last entry, waits for its
// result and prints it. It returns an error unless the job is completed.
func runDemoJob(ctx context.Context, f *dev.Fleet, printf func(string, ...any)) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	caller, err := client.New(client.Options{BaseURL: f.Entries[len(f.Entries)-1].URL, Key: f.Key})
	if err != nil {
		return err
	}
	began := time.Now()
	job, err := caller.Submit(ctx, "quotes", client.SubmitRequest{
		ID: "demo-quote", Class: fleet.ClassUrgent,
		Steps: []fleet.Step{
			{Command: "measure?time=50ms", Payload: []byte("booth 12")},
			{Command: "price?time=50ms", Payload: []byte("quote for booth 12")},
		},
		Declared: fleet.Resources{MilliCPU: 500, MemoryMB: 256}, RunTimeMS: 100, DeadlineMS: 30_000, Idempotent: true,
	})
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	printf("job %s: %s\n", job.ID, job.State)
	job, err = caller.Wait(ctx, job.ID)
	if err != nil {
		return fmt.Errorf("wait: %w", err)
	}
	if job.Result == nil || job.Result.Outcome != fleet.OutcomeCompleted {
		return fmt.Errorf("job ended as %+v", job.Result)
	}
	printf("job %s: %s after %d ms: %s\n", job.ID, job.Result.Outcome, time.Since(began).Milliseconds(), job.Result.Body)
	return nil
}
