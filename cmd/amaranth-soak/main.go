// Command amaranth-soak runs the entries of the users' platform as separate processes
// beside an emulated platform, disturbs them by a schedule that a seed determines, and
// checks what callers and workers see.
package main

import (
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"amaranthfork.example/emulator/soak"
)

func main() {
	root := &cobra.Command{Use: "amaranth-soak", Short: "Randomized soak of the real programs with faults from outside", SilenceUsage: true}
	root.AddCommand(runCommand(), serviceCommand(), workerCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// restartJobs are the jobs handed in each second with --restarts, which has long tasks while
// up to half of the workers are away.
const restartJobs = 4

func runCommand() *cobra.Command {
	var o soak.Options
	count, shrink, regressions, dir := 1, false, false, ""
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the soak for one or more seeds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			if o.Daemon == "" {
				o.Daemon = filepath.Join(filepath.Dir(self), "amaranthd")
			}
			if o.Restarts && !cmd.Flags().Changed("jobs") {
				o.JobsPerSecond = restartJobs
			}
			o.Self, o.Log = []string{self}, cmd.OutOrStdout()
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			var seeds []int64
			if known := soak.Regressions; regressions {
				if o.Cuts {
					known = soak.CutRegressions
				}
				if o.Restarts {
					known = soak.RestartRegressions
				}
				seeds = slices.Sorted(maps.Keys(known))
			}
			for i := range count {
				seeds = append(seeds, o.Seed+int64(i))
			}
			return soak.RunSeeds(ctx, o, seeds, dir, shrink)
		},
	}
	f := c.Flags()
	f.Int64Var(&o.Seed, "seed", 1, "first seed")
	f.IntVar(&count, "seeds", 1, "number of consecutive seeds")
	f.BoolVar(&regressions, "regressions", false, "run the seeds that have failed before, too")
	f.BoolVar(&o.Cuts, "cuts", false, "cut data centres off twice in succession, with faults of owners and of the table service meanwhile, in place of the mixed faults")
	f.BoolVar(&o.Restarts, "restarts", false, "restart workers under their ids and cut them off right after, while calls for the former process reach the next one, in place of the mixed faults")
	c.MarkFlagsMutuallyExclusive("cuts", "restarts")
	f.DurationVar(&o.MaxLateCall, "max-late-call", 5*time.Second, "longest delay of an order that is sent about the time of a restart; for --restarts")
	f.DurationVar(&o.Duration, "duration", 20*time.Second, "time in which faults begin")
	f.IntVar(&o.Entries, "entries", 4, "number of entries")
	f.IntVar(&o.WorkersPerPool, "workers", 5, "workers of each of the two pools")
	f.Float64Var(&o.JobsPerSecond, "jobs", 12, "jobs handed in each second")
	f.StringVar(&o.Daemon, "daemon", "", "path of amaranthd; by default beside this program")
	f.StringVar(&dir, "logs", "", "folder for logs; by default a new one among the temporary files")
	f.BoolVar(&shrink, "shrink", false, "after a failure, drop faults while it still fails")
	return c
}

func serviceCommand() *cobra.Command {
	var o soak.ServiceOptions
	c := &cobra.Command{Use: "service", Short: "Emulated table service", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return soak.ServiceMain(o) }}
	f := c.Flags()
	f.StringSliceVar(&o.Listen, "listen", nil, "addresses for entries, by data centre")
	f.StringVar(&o.Admin, "admin", "", "address for the soak")
	f.Int64Var(&o.Seed, "seed", 0, "seed of the service's faults")
	return c
}

func workerCommand() *cobra.Command {
	var o soak.WorkerOptions
	c := &cobra.Command{Use: "worker", Short: "Emulated worker", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return soak.WorkerMain(o) }}
	f := c.Flags()
	f.StringVar(&o.ID, "id", "", "id in the discovery table")
	f.StringVar(&o.Pool, "pool", "", "pool")
	f.StringVar(&o.Zone, "zone", "", "data centre")
	f.StringVar(&o.Listen, "listen", "", "address for entries")
	f.StringVar(&o.Control, "control", "", "address for the soak")
	f.StringSliceVar(&o.Advertise, "advertise", nil, "addresses in the discovery table, by the data centre of the caller")
	f.StringVar(&o.Service, "service", "", "address of the table service for workers")
	f.Float64Var(&o.Rate, "rate", 1, "rate of the clock for leases")
	f.DurationVar(&o.MaxLease, "max-lease", 0, "longest lease, on the worker's clock")
	f.DurationVar(&o.RegisterAfter, "register-after", 0, "time until the first row in the discovery table")
	f.Int64Var(&o.Seed, "seed", 0, "seed of the worker's faults")
	return c
}
