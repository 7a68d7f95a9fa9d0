package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"amaranthfork.example/cmd/internal/envflag"
	"amaranthfork.example/cmd/internal/process"
	"amaranthfork.example/node/intake"
	"amaranthfork.example/platform"
	"amaranthfork.example/sched/pool"
)

// memoryLimitFraction is the fraction of the VM's memory that is set as the
// soft memory limit of the Go runtime. Near the limit the garbage collector
// runs more often. The rest is left for the runtime and for received bytes
// that the process has not read yet.
const memoryLimitFraction = 0.6

// platformCommand returns the command that runs an entry on the users'
// platform, configured by a settings file.
func platformCommand() *cobra.Command {
	path := ""
	o := platform.Options{Clients: intake.DefaultSettings()}
	options := pflag.NewFlagSet("options", pflag.ContinueOnError)
	addClientFlags(options, &o.Clients)
	addLookAheadFlags(options, &o.LookAhead)
	envflag.Describe(options)
	c := &cobra.Command{
		Use:   "platform",
		Short: "Entry process on the users' platform, from its settings file",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return fmt.Errorf("settings: neither --settings nor %s is given", platform.SettingsVariable)
			}
			if err := envflag.Apply(options); err != nil {
				return err
			}
			return runOnPlatform(path, o)
		},
	}
	c.Flags().StringVar(&path, "settings", os.Getenv(platform.SettingsVariable), "settings file; "+platform.SettingsVariable+" by default")
	c.Flags().AddFlagSet(options)
	return c
}

// addLookAheadFlags adds the flags of placement that looks ahead.
func addLookAheadFlags(f *pflag.FlagSet, l *pool.LookAhead) {
	f.IntVar(&l.MaxVMs, "look-ahead-vms", l.MaxVMs, "VMs of each pool on which room may be reserved for large tasks that wait; 0 reserves none")
	f.DurationVar(&l.Age, "look-ahead-age", l.Age, "time after which a large task that waits has room reserved before all others of its priority; 0 means never")
	f.BoolVar(&l.Pack, "look-ahead-pack", l.Pack, "place tasks on the VM with the least room that they fit on, so that whole VMs stay free")
}

// addClientFlags adds the flags of the limits on clients.
func addClientFlags(f *pflag.FlagSet, s *intake.Settings) {
	f.IntVar(&s.Connections, "caller-connections", s.Connections, "connections of callers; 0 for half of max_fds less 200, or one for each 512 KB of memory_mb if that is fewer")
	f.IntVar(&s.PortConnections, "port-connections", s.PortConnections, "connections of the readiness port, and as many of the internal port; 0 for a sixteenth of max_fds less 200, at most 64")
	f.Int64Var(&s.RequestMemoryMB, "request-memory-mb", s.RequestMemoryMB, "memory for callers' requests that are received or answered, MB; 0 for an eighth of memory_mb")
	f.IntVar(&s.HeaderBytes, "header-bytes", s.HeaderBytes, "largest header of a caller's request, bytes")
	f.DurationVar(&s.HeaderTimeout, "header-timeout", s.HeaderTimeout, "time until a request's header is complete")
	f.DurationVar(&s.StallTimeout, "body-stall-timeout", s.StallTimeout, "time without a byte of an incomplete body")
	f.DurationVar(&s.BodyTimeout, "body-timeout", s.BodyTimeout, "time until a body is complete")
	f.DurationVar(&s.AnswerTimeout, "answer-timeout", s.AnswerTimeout, "time until a client takes a part of its answer")
	f.DurationVar(&s.IdleTimeout, "idle-timeout", s.IdleTimeout, "time that an unused connection is kept")
	f.DurationVar(&s.Grace, "shortage-grace", s.Grace, "time after which an idle connection, an incomplete request or an answer that is not taken may be closed for another one, when connections or memory are short; a new connection waits for room as long")
}

func runOnPlatform(path string, o platform.Options) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // an entry VM has a fraction of one core
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Limits.MemoryMB<<20)))
	log, err := process.Logger()
	if err != nil {
		return err
	}
	e, err := platform.NewEntry(path, o, log)
	if err != nil {
		return err
	}
	return process.Run(e, log)
}
