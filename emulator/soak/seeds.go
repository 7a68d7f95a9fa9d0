package soak

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Regressions are seeds that have failed with the default options, with the cause.
var Regressions = map[int64]string{
	200: "an owner that was suspended for longer than its leases started ten tasks again that were done (reruns)",
}

// CutRegressions are seeds that have failed with the default options and Cuts.
var CutRegressions = map[int64]string{
	208: "an owner stored a lease bound without regard to leases that an earlier, cut-off owner still granted (twice)",
}

// RestartRegressions are seeds that have failed with the default options and Restarts.
var RestartRegressions = map[int64]string{
	204: "a worker that was cut off kept runs under a lease deadline on its former clock, and extended it by late orders, for longer than its owner counted (twice)",
	208: "the next owner inherited a lease bound shorter than the lease under a deadline on the worker's former clock (twice)",
}

// RunSeeds runs a soak for each seed and prints what was found. Logs are left in
// dir, or in a new folder if dir is empty. It returns an error if a guarantee was broken.
func RunSeeds(ctx context.Context, o Options, seeds []int64, dir string, shrink bool) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "amaranth-soak-"); err != nil {
			return err
		}
	}
	failed := 0
	for _, seed := range seeds {
		o.Seed = seed
		o.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", o.Seed))
		report, err := runIn(ctx, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		fmt.Fprintf(o.Log, "seed %d: %d jobs, %d accepted, %d refused, %d starts, %d reruns, %d violations, logs in %s\n",
			o.Seed, report.Jobs, report.Accepted, report.Refused, report.Starts, report.Reruns, len(report.Violations), o.Dir)
		if len(report.Violations) > 0 {
			failed++
			printFailure(o, report)
			if shrink {
				shrinkSchedule(ctx, o, report)
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d seeds with broken guarantees", failed)
	}
	return nil
}

func runIn(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	return Run(ctx, o)
}

// maxPrinted bounds the violations and log lines that are printed.
const maxPrinted = 20

// printFailure prints the schedule, the first violations and the log lines on the job of
// the first one.
func printFailure(o Options, r *Report) {
	for _, f := range r.Schedule {
		fmt.Fprintf(o.Log, "  fault %s\n", f)
	}
	for _, v := range r.Violations[:min(maxPrinted, len(r.Violations))] {
		fmt.Fprintf(o.Log, "  BROKEN %s\n", v)
	}
	if id := r.Violations[0].ID; id != "" {
		for _, line := range logLines(o.Dir, id) {
			fmt.Fprintf(o.Log, "  log %s\n", line)
		}
	}
}

// logLines returns the first lines of all logs that contain a text, in order of their
// times.
func logLines(dir, text string) []string {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil // the pattern is constant
	}
	var lines []string
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if strings.Contains(scanner.Text(), text) {
				lines = append(lines, scanner.Text())
			}
		}
		_ = file.Close() // it was only read
	}
	slices.Sort(lines)
	return lines[:min(2*maxPrinted, len(lines))]
}

// shrinkSchedule drops faults as long as a guarantee is still broken, and prints what is
// left.
func shrinkSchedule(ctx context.Context, o Options, r *Report) {
	schedule := r.Schedule
	dir := o.Dir
	for i := 0; i < len(schedule) && ctx.Err() == nil; {
		o.Schedule = slices.Delete(slices.Clone(schedule), i, i+1)
		o.Dir = filepath.Join(dir, fmt.Sprintf("without-%d-%d", len(schedule), i))
		smaller, err := runIn(ctx, o)
		if err != nil || len(smaller.Violations) == 0 {
			i++
			continue
		}
		schedule = o.Schedule
	}
	fmt.Fprintf(o.Log, "seed %d fails with %d faults:\n", o.Seed, len(schedule))
	for _, f := range schedule {
		fmt.Fprintf(o.Log, "  fault %s\n", f)
	}
}
