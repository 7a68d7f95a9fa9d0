package config

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/fleet/compare"
	"pgregory.net/rapid"
)

// Guards against values that are read in a wrong unit, values that overflow, and
// invalid text that is accepted.
func TestUnits(t *testing.T) {
	duration := func(text string) (int64, error) {
		d, err := ParseDuration(text)
		return int64(d), err
	}
	share := func(text string) (int64, error) {
		n, err := ParseThousandths(text)
		return int64(n), err
	}
	const bad = -1 // want of a text that must be refused
	cases := []struct {
		parse func(string) (int64, error)
		text  string
		want  int64
	}{
		{duration, "14d", int64(14 * 24 * time.Hour)},
		{duration, "1h30m", int64(90 * time.Minute)},
		{duration, "500ms", int64(500 * time.Millisecond)},
		{duration, "0s", 0},
		{duration, "", bad},
		{duration, "14", bad},
		{duration, "1.5h", bad},
		{duration, "30m1h", bad},
		{duration, "-1h", bad},
		{duration, "999999999d", bad},
		{ParseMemoryMB, "512MB", 512},
		{ParseMemoryMB, "64GB", 64 << 10},
		{ParseMemoryMB, "2TB", 2 << 20},
		{ParseMemoryMB, "64", bad},
		{ParseMemoryMB, "64gb", bad},
		{ParseMemoryMB, "64 GB", bad},
		{share, "5%", 50},
		{share, "12.5%", 125},
		{share, "12.50%", 125},
		{share, "100%", 1000},
		{share, "50", 50},
		{share, "0.05%", bad},
		{share, "%", bad},
		{share, "5 %", bad},
		{share, "0x10", bad},
	}
	for _, c := range cases {
		got, err := c.parse(c.text)
		if (err != nil) != (c.want == bad) || (err == nil && got != c.want) {
			t.Errorf("%q: %d, %v; want %d", c.text, got, err, c.want)
		}
	}
}

// Guards against durations, shares and ranges that are shown to operators in a form
// which is read back as another value.
func TestUnitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(1000*24*time.Hour/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
		if got, err := ParseDuration(FormatDuration(d)); err != nil || got != d {
			t.Fatalf("%v is written as %q and read as %v, %v", d, FormatDuration(d), got, err)
		}
		n := rapid.IntRange(0, 1000).Draw(t, "thousandths")
		if got, err := ParseThousandths(FormatThousandths(n)); err != nil || got != n {
			t.Fatalf("%d is written as %q and read as %v, %v", n, FormatThousandths(n), got, err)
		}
		low := rapid.IntRange(0, 999).Draw(t, "low")
		high := rapid.IntRange(low, 999).Draw(t, "high")
		text := compare.FormatRange(fmt.Sprintf("w-%03d", low), fmt.Sprintf("w-%03d", high))
		ids, err := ExpandVMs(text)
		if err != nil || len(ids) != high-low+1 {
			t.Fatalf("%s expands to %v, %v", text, ids, err)
		}
		names := make([]string, len(ids))
		for i, id := range ids {
			names[i] = string(id)
		}
		if got := compare.JoinRanges(names); got != text {
			t.Fatalf("the VMs of %s are written as %s", text, got)
		}
	})
}
