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
	"amaranthfork.example/platform"
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
	var o platform.Options
	options := pflag.NewFlagSet("options", pflag.ContinueOnError)
	options.IntVar(&o.LookAhead.MaxVMs, "look-ahead-vms", 0, "VMs of each pool on which room may be reserved for large tasks that wait; 0 reserves none")
	options.DurationVar(&o.LookAhead.Age, "look-ahead-age", 0, "time after which a large task that waits has room reserved before all others of its priority; 0 means never")
	options.BoolVar(&o.LookAhead.Pack, "look-ahead-pack", false, "place tasks on the VM with the least room that they fit on, so that whole VMs stay free")
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
			if o.LookAhead.MaxVMs < 0 || o.LookAhead.Age < 0 {
				return fmt.Errorf("look-ahead-vms and look-ahead-age must not be negative: %d, %v", o.LookAhead.MaxVMs, o.LookAhead.Age)
			}
			return runOnPlatform(path, o)
		},
	}
	c.Flags().StringVar(&path, "settings", os.Getenv(platform.SettingsVariable), "settings file; "+platform.SettingsVariable+" by default")
	c.Flags().AddFlagSet(options)
	return c
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
