package soak

import (
	"bytes"
	"context"
	"math/rand"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// buildPrograms builds the daemon and the soak and returns their paths.
func buildPrograms(t *testing.T) (daemon, self string) {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "amaranthfork.example/cmd/amaranthd", "amaranthfork.example/cmd/amaranth-soak")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(dir, "amaranthd"), filepath.Join(dir, "amaranth-soak")
}

// Guards against faults of the wired programs that no test of one module shows: entries
// are suspended, killed and stopped while connections are cut and answers are lost.
func TestShortSoak(t *testing.T) {
	daemon, self := buildPrograms(t)
	var log bytes.Buffer
	o := Options{Seed: 42, Duration: 8 * time.Second, Entries: 3, WorkersPerPool: 3, JobsPerSecond: 8, Daemon: daemon, Self: []string{self}, Log: &log}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	dir := t.TempDir()
	if err := RunSeeds(ctx, o, []int64{o.Seed}, dir, false); err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	t.Log(log.String())
}

// Guards against runs that overlap (TWICE) after the owners of a data centre that is cut off,
// and those that have taken over from them, are lost one after the other (review/1).
func TestShortSoakOfCuts(t *testing.T) {
	daemon, self := buildPrograms(t)
	var log bytes.Buffer
	o := Options{Seed: 208, Duration: 10 * time.Second, Entries: 4, WorkersPerPool: 5, JobsPerSecond: 4, Cuts: true, Daemon: daemon, Self: []string{self}, Log: &log}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	if err := RunSeeds(ctx, o, []int64{o.Seed}, t.TempDir(), false); err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	t.Log(log.String())
}

// Guards against runs that overlap (TWICE) after a worker has restarted under its id, has
// carried out a start with a lease deadline on its former clock, and is cut off: the owner
// (seed 413) or the next one (seed 406) counted a shorter lease than the worker (issue 41).
func TestShortSoakOfRestarts(t *testing.T) {
	daemon, self := buildPrograms(t)
	var log bytes.Buffer
	o := Options{Duration: 8 * time.Second, Entries: 4, WorkersPerPool: 5, JobsPerSecond: 4, Restarts: true, Daemon: daemon, Self: []string{self}, Log: &log}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	if err := RunSeeds(ctx, o, []int64{406, 413}, t.TempDir(), false); err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	t.Log(log.String())
}

// Guards against a schedule of cuts without the faults that it is for.
func TestCutSchedule(t *testing.T) {
	for seed := range int64(20) {
		a := NewCutSchedule(rand.New(rand.NewSource(seed)), time.Minute, 4)
		cuts, owners := 0, 0
		for _, f := range a {
			switch f.Kind {
			case DataCentreCut:
				cuts++
			case EntryKill, EntryPause, EntryStop:
				owners++
			}
		}
		if cuts < 2*2*dataCentres || owners < cuts {
			t.Errorf("seed %d: %d cuts and %d faults of entries", seed, cuts, owners)
		}
		if b := NewCutSchedule(rand.New(rand.NewSource(seed)), time.Minute, 4); !slices.Equal(a, b) {
			t.Errorf("seed %d gives two schedules", seed)
		}
	}
}

// Guards against a schedule of restarts without the faults that it is for.
func TestRestartSchedule(t *testing.T) {
	const entries, workers = 4, 10
	draw := func(seed int64) []Fault {
		return NewRestartSchedule(rand.New(rand.NewSource(seed)), 20*time.Second, entries, workers)
	}
	ofEntries, isolated := 0, 0
	for seed := range int64(20) {
		a := draw(seed)
		restarts := 0
		for i, f := range a {
			switch f.Kind {
			case EntryKill, EntryPause:
				ofEntries++
			case WorkerIsolated:
				isolated++
			case WorkerRestart:
				restarts++
				late := slices.IndexFunc(a[:i], func(o Fault) bool {
					return o.Kind == WorkerLateCalls && o.Target == f.Target && o.At+o.For > f.At+f.For
				})
				cut := slices.IndexFunc(a[i:], func(o Fault) bool {
					return o.Kind != WorkerLateCalls && o.Target == f.Target && o.At > f.At+f.For && o.For >= 8*time.Second
				})
				if late < 0 || cut < 0 || a[i+cut].At > f.At+f.For+2*time.Second {
					t.Errorf("seed %d: no late calls before or no cut after %s", seed, f)
				}
				again := slices.ContainsFunc(a[i+1:], func(o Fault) bool {
					return o.Kind == WorkerRestart && o.Target == f.Target && o.At < a[i+max(cut, 0)].At+8*time.Second+minUpTime
				})
				if f.At < firstRestartAt || again {
					t.Errorf("seed %d: %s comes before the worker's clock is ahead of a lease", seed, f)
				}
			}
		}
		if restarts < 4 {
			t.Errorf("seed %d: %d restarts", seed, restarts)
		}
		if !slices.Equal(a, draw(seed)) {
			t.Errorf("seed %d gives two schedules", seed)
		}
	}
	if ofEntries < 20 || isolated < 20 {
		t.Errorf("%d faults of entries and %d isolated workers in 20 schedules", ofEntries, isolated)
	}
}

func scheduleOf(seed int64) []Fault {
	return NewSchedule(rand.New(rand.NewSource(seed)), 20*time.Second, 4, 10)
}

// Guards against a schedule that differs between runs of one seed, so that a failure
// could not be played again.
func TestScheduleRepeats(t *testing.T) {
	a, b := scheduleOf(7), scheduleOf(7)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d and %d faults, want as many, and some", len(a), len(b))
	}
	kinds := map[FaultKind]bool{}
	for i := range a {
		if a[i] != b[i] {
			t.Errorf("fault %d is %v and %v", i, a[i], b[i])
		}
	}
	for seed := range int64(40) {
		for _, f := range scheduleOf(seed) {
			kinds[f.Kind] = true
		}
	}
	for _, k := range kindWeights {
		if !kinds[k.kind] {
			t.Errorf("no fault of kind %s in 40 schedules", k.kind)
		}
	}
}
