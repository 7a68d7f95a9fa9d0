package forecast

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const step = 500 * time.Millisecond

// observePeaksInTurn observes n rounds in which each key has a peak of 10 s, one
// after the other, and returns the time of the last observation.
func observePeaksInTurn(f *Forecaster, keys []string, n int) time.Time {
	now := start
	for peak := range n * len(keys) {
		for range int(10 * time.Second / step) {
			now = now.Add(step)
			for k, key := range keys {
				level := 1.0
				if k == peak%len(keys) {
					level = 100
				}
				f.Observe(key, now, level)
			}
		}
	}
	return now
}

// Guards against a forecast that expects a peak only after it has begun: the peaks
// of several pools often follow each other in the same order.
func TestSuccessivePeaksAreForecast(t *testing.T) {
	f := New(DefaultOptions())
	keys := []string{"a", "b", "c"}
	now := observePeaksInTurn(f, keys, 8)
	if o := f.Outlook("a", now, 2*time.Second); !o.PeakImminent || o.ExpectedLevel < 60 {
		t.Errorf("a, whose peak is next: %+v", o)
	}
	if o := f.Outlook("b", now, 2*time.Second); o.PeakImminent {
		t.Errorf("b, whose peak is after that of a: %+v", o)
	}
	if o := f.Outlook("c", now, 2*time.Second); !o.InPeak || o.PeakRemaining > 4*time.Second {
		t.Errorf("c, whose peak is about to end: %+v", o)
	}
	if o := f.Outlook("a", now.Add(30*time.Second), 2*time.Second); o.PeakImminent {
		t.Errorf("a peak that is long overdue is still expected: %+v", o)
	}
}

// Guards against constant demand that is taken for a peak.
func TestSteadyDemandIsNoPeak(t *testing.T) {
	f := New(DefaultOptions())
	for i := range 1000 {
		f.Observe("a", start.Add(time.Duration(i)*step), 50)
	}
	o := f.Outlook("a", start.Add(1000*step), 2*time.Second)
	if o.InPeak || o.PeakLevel != 0 || o.Mean != 50 || o.ExpectedLevel != 50 {
		t.Errorf("outlook %+v, want a level of 50 and no peak", o)
	}
}

// Guards against memory that grows with each new key, as pools are added and
// removed.
func TestMemoryIsBounded(t *testing.T) {
	o := DefaultOptions()
	o.MaxKeys = 4
	f := New(o)
	for i := range 100 {
		kept := f.Observe(fmt.Sprint(i), start, 1)
		if kept != (i < 4) {
			t.Fatalf("key %d followed: %v, want only the first 4 keys", i, kept)
		}
	}
	f.Forget("0")
	if !f.Observe("new", start, 1) {
		t.Error("no new key is followed after one was forgotten")
	}
	if o := f.Outlook("99", start, time.Second); o != (Outlook{}) {
		t.Errorf("a key that is not followed has the outlook %+v, want none", o)
	}
}
