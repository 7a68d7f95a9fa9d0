package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

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
	c := &cobra.Command{
		Use:   "platform",
		Short: "Entry process on the users' platform, from its settings file",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return fmt.Errorf("settings: neither --settings nor %s is given", platform.SettingsVariable)
			}
			return runOnPlatform(path)
		},
	}
	c.Flags().StringVar(&path, "settings", os.Getenv(platform.SettingsVariable), "settings file; "+platform.SettingsVariable+" by default")
	return c
}

func runOnPlatform(path string) error {
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
	e, err := platform.NewEntry(path, log)
	if err != nil {
		return err
	}
	return process.Run(e, log)
}
