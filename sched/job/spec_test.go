package job

import (
	"math"
	"testing"
	"time"
)

// Guards against due times that overflow, so that an occurrence in the far future is due
// at once.
func TestDueTimesDoNotOverflow(t *testing.T) {
	s := &Spec{Repetitions: math.MaxInt, FirstRunMS: 1_700_000_000_000, Interval: math.MaxInt64}
	last := int64(0)
	for _, occurrence := range []int{0, 1, 2, 1 << 20, 1 << 40, math.MaxInt} {
		due := s.Due(occurrence)
		if due < last {
			t.Errorf("occurrence %d is due at %d, before an earlier one", occurrence, due)
		}
		last = due
	}
	s.Interval = time.Minute
	if got, want := s.Due(3), s.FirstRunMS+180_000; got != want {
		t.Errorf("due at %d, want %d", got, want)
	}
}
