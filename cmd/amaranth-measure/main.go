// Command amaranth-measure prints the measures of the capacity policy and its
// baselines on simulated demand.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"

	"amaranthfork.example/cmd/internal/measure"
	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o measure.Options
	var f measure.Format
	var seeds string
	var bound bool
	c := &cobra.Command{
		Use:          "amaranth-measure",
		Short:        "Measure the capacity policy against its baselines",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Seeds, err = parseSeeds(seeds); err != nil {
				return err
			}
			if bound {
				return measure.WriteBounds(c.OutOrStdout(), o)
			}
			results, err := measure.Run(c.Context(), o)
			if err != nil {
				return err
			}
			return measure.Write(c.OutOrStdout(), results, f)
		},
	}
	c.Flags().StringSliceVar(&o.Users, "user", measure.Users(), "users to measure")
	c.Flags().StringVar(&o.Size, "size", "today", "size of the fleet: today or target")
	c.Flags().StringVar(&seeds, "seeds", "tune", "tune, holdout, or numbers separated by commas")
	c.Flags().StringSliceVar(&o.Policies, "policy", nil, "policies to run; all when empty")
	c.Flags().BoolVar(&bound, "bound", false, "print the offline bound on idle VMs and moves instead")
	c.Flags().IntVar(&o.Parallel, "parallel", 4, "runs at a time")
	c.Flags().StringVar(&f.Kind, "format", "table", "table, csv or json")
	c.Flags().BoolVar(&f.Timing, "timing", false, "print the time per decision")
	return c
}

func parseSeeds(s string) ([]uint64, error) {
	switch s {
	case "tune":
		return measure.TuneSeeds, nil
	case "holdout":
		return measure.HoldoutSeeds, nil
	}
	var seeds []uint64
	for _, field := range strings.Split(s, ",") {
		n, err := strconv.ParseUint(strings.TrimSpace(field), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q is not a number", field)
		}
		seeds = append(seeds, n)
	}
	return seeds, nil
}
