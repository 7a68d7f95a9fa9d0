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

// memoryShare is the part of the VM's memory from which the collector works
// harder; the rest is for the runtime and for bytes that are not read yet.
const memoryShare = 0.6

// platformCommand runs an entry on the users' platform, from its settings file.
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
	runtime.GOMAXPROCS(1) // the VM has part of one core
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
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
