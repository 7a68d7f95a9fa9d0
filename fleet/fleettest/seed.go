package fleettest

import (
	"flag"
	"maps"
	"testing"
)

// RunSeeded runs the tests of a package that uses rapid and returns the exit code.
// Property tests get the seed 1, so that every run gives the same result, write no
// files for failures, and get the given flags of rapid. Flags on the command line
// take precedence.
func RunSeeded(m *testing.M, flags map[string]string) int {
	defaults := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}
	maps.Copy(defaults, flags)
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package does not use rapid
		}
	}
	return m.Run()
}
