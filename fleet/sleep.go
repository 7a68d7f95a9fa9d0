package fleet

import (
	"context"
	"time"
)

// Sleep waits for d in real time. It returns the error of ctx if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
