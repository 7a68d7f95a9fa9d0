package measure

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// column is one measure of the report; its title contains the unit.
type column struct {
	title string
	value func(Result) float64
	timed bool // depends on the machine that runs the simulation, not only on the seed
}

func delayColumn(class int, title string, p99 bool) column {
	return column{title: title, value: func(r Result) float64 {
		if p99 {
			return r.Delays[class].P99Seconds
		}
		return r.Delays[class].P50Seconds
	}}
}

var columns = []column{
	{title: "held idle VMh", value: func(r Result) float64 { return r.HeldIdleVMHours }},
	{title: "held free VMh", value: func(r Result) float64 { return r.HeldFreeVMHours }},
	{title: "idle VMh", value: func(r Result) float64 { return r.IdleVMHours }},
	{title: "roll-out s", value: func(r Result) float64 { return r.RollOutSeconds }},
	{title: "wave unfinished", value: func(r Result) float64 { return r.WaveUnfinished }},
	{title: "moves", value: func(r Result) float64 { return r.Moves }},
	{title: "below share %", value: func(r Result) float64 { return r.BelowSharePercent }},
	{title: "worst team %", value: func(r Result) float64 { return r.WorstTeamPercent }},
	{title: "undone %", value: func(r Result) float64 { return r.UndonePercent }},
	delayColumn(0, "urgent p50 s", false), delayColumn(0, "urgent p99 s", true),
	delayColumn(1, "standard p50 s", false), delayColumn(1, "standard p99 s", true),
	delayColumn(2, "batch p50 s", false), delayColumn(2, "batch p99 s", true),
	{title: "violations", value: func(r Result) float64 { return float64(r.Violations) }},
	{title: "decide ms", value: func(r Result) float64 { return r.DecideMeanMillis }, timed: true},
	{title: "decide max ms", value: func(r Result) float64 { return r.DecideMaxMillis }, timed: true},
}

// Format selects what a report contains.
type Format struct {
	Kind   string // "table", "csv" or "json"
	Timing bool   // include the decision times, which differ between runs; JSON always has them
}

// Write writes the results in the given format. An unknown format is an error.
func Write(w io.Writer, results []Result, f Format) error {
	switch f.Kind {
	case "table":
		return writeTable(w, results, f)
	case "csv":
		return writeCSV(w, results, f)
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(results)
	}
	return fmt.Errorf("format %q is none of table, csv and json", f.Kind)
}

func (f Format) columns() []column {
	var chosen []column
	for _, c := range columns {
		if f.Timing || !c.timed {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// writeTable prints the mean over the seeds and, with several seeds, the
// smallest and largest value.
func writeTable(w io.Writer, results []Result, f Format) error {
	for _, scenario := range groupBy(results, func(r Result) string { return r.Scenario }) {
		fmt.Fprintf(w, "%s\n", scenario[0].Scenario)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		byPolicy := groupBy(scenario, func(r Result) string { return r.Policy })
		fmt.Fprint(t, "measure")
		for _, p := range byPolicy {
			fmt.Fprintf(t, "\t%s", p[0].Policy)
		}
		fmt.Fprintln(t)
		for _, c := range f.columns() {
			fmt.Fprint(t, c.title)
			for _, p := range byPolicy {
				fmt.Fprintf(t, "\t%s", meanWithRange(p, c))
			}
			fmt.Fprintln(t)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	return nil
}

// meanWithRange formats the mean of a measure, and its smallest and largest
// value if they differ.
func meanWithRange(results []Result, c column) string {
	sum, low, high := 0.0, math.Inf(1), math.Inf(-1)
	for _, r := range results {
		v := c.value(r)
		sum += v
		low, high = min(low, v), max(high, v)
	}
	mean := sum / float64(len(results))
	if len(results) == 1 || low == high {
		return formatNumber(mean)
	}
	return fmt.Sprintf("%s (%s-%s)", formatNumber(mean), formatNumber(low), formatNumber(high))
}

func formatNumber(v float64) string {
	if v == math.Trunc(v) || v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2f", v)
}

// groupBy groups results by key, in the order of each group's first result.
func groupBy(results []Result, key func(Result) string) [][]Result {
	var groups [][]Result
	index := make(map[string]int)
	for _, r := range results {
		i, ok := index[key(r)]
		if !ok {
			i = len(groups)
			index[key(r)] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	return groups
}

func writeCSV(w io.Writer, results []Result, f Format) error {
	c := csv.NewWriter(w)
	header := []string{"scenario", "policy", "seed"}
	for _, col := range f.columns() {
		header = append(header, col.title)
	}
	if err := c.Write(header); err != nil {
		return err
	}
	for _, r := range results {
		row := []string{r.Scenario, r.Policy, fmt.Sprint(r.Seed)}
		for _, col := range f.columns() {
			row = append(row, fmt.Sprintf("%g", col.value(r)))
		}
		if err := c.Write(row); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}
