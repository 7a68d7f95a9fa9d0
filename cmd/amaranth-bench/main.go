// Command amaranth-bench measures whole fleets of entries, with a stand-in for
// the platform, on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"amaranthfork.example/cmd/internal/bench"
	"amaranthfork.example/cmd/internal/envflag"
)

func main() {
	root := &cobra.Command{Use: "amaranth-bench", Short: "Measure entries, jobs and the direct path on one machine", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(idleCommand(), jobsCommand(), directCommand())
	for _, c := range root.Commands() {
		envflag.Describe(c.Flags())
	}
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// idleCommand returns the command that measures fleets without work. It
// measures one fleet for each value of --sizes; --vary selects the setting that
// takes these values.
func idleCommand() *cobra.Command {
	var sizes []int
	base := bench.Size{DataCentres: 4, Entries: 8, Workers: 48, Pools: 5, Teams: 6}
	window := 20 * time.Second
	vary := "entries"
	c := &cobra.Command{Use: "idle", Short: "Measure what an entry spends without work, over a range of sizes", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&vary, "vary", vary, "what to vary: entries, workers, pools, teams, files or data-centres")
	f.IntSliceVar(&sizes, "sizes", []int{4, 8, 16}, "the values")
	f.IntVar(&base.DataCentres, "data-centres", base.DataCentres, "data centres")
	f.IntVar(&base.Entries, "entries", base.Entries, "entries in the fleet, a multiple of the data centres")
	f.IntVar(&base.Workers, "workers", base.Workers, "workers in the fleet, a multiple of the data centres")
	f.IntVar(&base.Pools, "pools", base.Pools, "pools")
	f.IntVar(&base.Teams, "teams", base.Teams, "teams")
	f.IntVar(&base.Files, "files", base.Files, "additional small configuration files")
	f.DurationVar(&window, "window", window, "time of each measurement")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := envflag.Apply(f); err != nil {
			return err
		}
		var rows []bench.Idle
		for _, n := range sizes {
			size := base
			field, ok := map[string]*int{
				"entries": &size.Entries, "workers": &size.Workers, "pools": &size.Pools,
				"teams": &size.Teams, "files": &size.Files, "data-centres": &size.DataCentres,
			}[vary]
			if !ok {
				return fmt.Errorf("--vary: %q is not known", vary)
			}
			*field = n
			row, err := bench.MeasureIdle(c.Context(), size, window)
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
		bench.WriteIdle(c.OutOrStdout(), rows)
		return nil
	}
	return c
}

func jobsCommand() *cobra.Command {
	var entries []int
	var count, callers int
	c := &cobra.Command{Use: "jobs", Short: "Measure jobs a second with the store at 400 writes/s, 2,000 reads/s and 3 ms", Args: cobra.NoArgs}
	f := c.Flags()
	f.IntSliceVar(&entries, "entries", []int{1, 4}, "numbers of entries")
	f.IntVar(&count, "jobs", 4000, "jobs of each run")
	f.IntVar(&callers, "callers", 128, "callers at a time")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := envflag.Apply(f); err != nil {
			return err
		}
		var rows []bench.Throughput
		for _, n := range entries {
			row, err := bench.MeasureJobs(c.Context(), n, count, callers)
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
		bench.WriteJobs(c.OutOrStdout(), rows)
		return nil
	}
	return c
}

func directCommand() *cobra.Command {
	var requests int
	c := &cobra.Command{Use: "direct", Short: "Measure the delay that an entry adds to direct requests", Args: cobra.NoArgs}
	c.Flags().IntVar(&requests, "requests", 5000, "requests on each path")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := envflag.Apply(c.Flags()); err != nil {
			return err
		}
		result, err := bench.MeasureDirect(c.Context(), requests)
		if err != nil {
			return err
		}
		bench.WriteDirect(c.OutOrStdout(), result)
		return nil
	}
	return c
}
