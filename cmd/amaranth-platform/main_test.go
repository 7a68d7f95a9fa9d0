package main

import (
	"strings"
	"testing"
	"time"

	"amaranthfork.example/backing/memory"
)

// Guards against environment variables that override flags, and against
// reporting only the first of several invalid settings.
func TestSettings(t *testing.T) {
	t.Setenv(envPrefix+"LIST_LAG", "7s")
	t.Setenv(envPrefix+"USAGE_LAG", "9s")
	s := settings{rateLimit: memory.DefaultRateLimit}
	cmd := newCommandFor(&s)
	if err := cmd.ParseFlags([]string{"--list-lag=3s"}); err != nil {
		t.Fatal(err)
	}
	if err := cmd.PreRunE(cmd, nil); err != nil {
		t.Fatal(err)
	}
	if s.options.ListLag != 3*time.Second || s.options.UsageLag != 9*time.Second {
		t.Errorf("settings %+v", s)
	}
	t.Setenv(envPrefix+"USAGE_LAG", "soon")
	cmd = newCommandFor(&s)
	if err := cmd.ParseFlags([]string{"--reads=-1", "--queue-time=-1s"}); err != nil {
		t.Fatal(err)
	}
	err := cmd.PreRunE(cmd, nil)
	for _, want := range []string{"USAGE_LAG", "--reads", "--queue-time"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in %v", want, err)
		}
	}
}
