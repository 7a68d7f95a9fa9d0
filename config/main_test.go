package config

import (
	"os"
	"testing"

	"amaranthfork.example/fleet/fleettest"
)

// TestMain fixes the seed of the property tests unless the command line sets it.
func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }
