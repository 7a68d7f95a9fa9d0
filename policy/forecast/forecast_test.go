package forecast

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const step = 500 * time.Millisecond

// turns feeds n rounds in which the keys burst one after the other for 10 s.
func turns(f *Forecaster, keys []string, n int) time.Time {
	now := start
	for turn := range n * len(keys) {
		for range int(10 * time.Second / step) {
			now = now.Add(step)
			for k, key := range keys {
				level := 1.0
				if k == turn%len(keys) {
					level = 100
				}
				f.Observe(key, now, level)
			}
		}
	}
	return now
}

// Guards against a forecast that sees a burst only once it has begun.
func TestTurnsAreForeseen(t *testing.T) {
	f := New(DefaultOptions())
	keys := []string{"a", "b", "c"}
	now := turns(f, keys, 8)
	if o := f.Outlook("a", now, 2*time.Second); !o.Imminent || o.Expected < 60 {
		t.Errorf("a, whose turn is next: %+v", o)
	}
	if o := f.Outlook("b", now, 2*time.Second); o.Imminent {
		t.Errorf("b, whose turn is later: %+v", o)
	}
	if o := f.Outlook("c", now, 2*time.Second); !o.Bursting || o.Ends > 4*time.Second {
		t.Errorf("c, whose turn ends: %+v", o)
	}
	if o := f.Outlook("a", now.Add(30*time.Second), 2*time.Second); o.Imminent {
		t.Errorf("a turn that is long overdue is still expected: %+v", o)
	}
}

func TestSteadyDemandIsNoBurst(t *testing.T) {
	f := New(DefaultOptions())
	for i := range 1000 {
		f.Observe("a", start.Add(time.Duration(i)*step), 50)
	}
	o := f.Outlook("a", start.Add(1000*step), 2*time.Second)
	if o.Bursting || o.Peak != 0 || o.Mean != 50 || o.Expected != 50 {
		t.Errorf("%+v", o)
	}
}

// Guards against memory that grows with names that come and go.
func TestMemoryIsBounded(t *testing.T) {
	o := DefaultOptions()
	o.MaxKeys = 4
	f := New(o)
	for i := range 100 {
		kept := f.Observe(fmt.Sprint(i), start, 1)
		if kept != (i < 4) {
			t.Fatalf("key %d kept: %v", i, kept)
		}
	}
	f.Forget("0")
	if !f.Observe("new", start, 1) {
		t.Error("a forgotten key left no room")
	}
	if o := f.Outlook("99", start, time.Second); o != (Outlook{}) {
		t.Errorf("a key that is not followed has %+v", o)
	}
}
