package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless the command line sets it.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		mustSet("rapid.seed", "1")
	}
	mustSet("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func mustSet(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
