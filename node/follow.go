package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"amaranthfork.example/sched/store"
)

// Following of tables.
const (
	// feedTimeoutMargin is added to the wait of a feed call to get the time in which its
	// answer must begin. It covers two round trips and a slow answer.
	feedTimeoutMargin = 700 * time.Millisecond
	// readProgressTimeout bounds the time until the answer to a read begins, and that
	// between two parts of an answer. The service answers in 4 ms; when it is 60 times
	// slower, in 240 ms. Reads that share a narrow link wait for each other.
	readProgressTimeout = 1400 * time.Millisecond
	// readTimeout bounds a read as a whole: a link of 1 Mbit/s carries 3 MB in it.
	readTimeout = 30 * time.Second
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// inactivePause is the time between two checks whether a follower is active.
	inactivePause = 350 * time.Millisecond
)

// Update is an answer about a followed table.
type Update struct {
	Rows  []store.Row // the changed rows, or all of them if Whole
	Whole bool        // Rows has all rows of the partition
	// SentAt is when the call was sent, steady clock; 0 if unknown.
	SentAt time.Duration
	// CurrentAt is a time on the steady clock: this update and the earlier ones hold
	// all changes until then. It is 0 if more changes may be waiting.
	CurrentAt time.Duration
}

// follower reads spans of a table and then follows the changes of the table.
type follower struct {
	store        store.Store
	clock        Clock
	log          *zap.Logger
	table        string
	spans        []store.Span         // read as a whole first; none means the partition without a name
	wait         time.Duration        // how long a feed call waits for the first change
	pause        time.Duration        // between feed calls, so that changes accumulate
	pauseNow     func() time.Duration // replaces pause if it is set
	confirm      bool                 // after an answer with rows, ask at once for more: only an answer without rows shows that there are none
	rereadAfter  time.Duration        // after this time without an answer the spans are read again instead of all missed changes; 0 means never
	expectChange func() bool          // while it returns true, the pause is at most expectedChangePause; may be nil
	active       func() bool          // while it returns false, nothing is read, and the next read is one of the whole spans; may be nil
	deliver      func(Update)
	version      int64         // of the last answer; older answers are rejected
	answeredAt   time.Duration // of the last answer, steady clock
	failing      bool          // the last call failed
	incomplete   bool          // the last answer had rows, and more changes may be waiting
}

// run follows the table until ctx ends.
func (f *follower) run(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		if f.active != nil && !f.active() {
			whole = true
			sleep(ctx, inactivePause)
			continue
		}
		err := f.poll(ctx, whole)
		switch {
		case err == nil:
			whole = false
			f.answeredAt = f.clock.Now().Steady
			f.recordSuccess()
			if !f.confirm || !f.incomplete {
				sleep(ctx, f.currentPause())
			}
		case errors.Is(err, store.ErrHistoryGone):
			f.log.Info("feed_history_gone", zap.String("table", f.table), zap.Int64("after", f.version))
			whole = true
		default:
			f.recordFailure(ctx, err)
			whole = whole || f.rereadAfter > 0 && f.clock.Now().Steady-f.answeredAt > f.rereadAfter
			sleep(ctx, retryPause)
		}
	}
}

// expectedChangePause is the pause while a change is expected: a twentieth of
// the time that a VM takes to move.
const expectedChangePause = 50 * time.Millisecond

func (f *follower) currentPause() time.Duration {
	if f.pauseNow != nil {
		return f.pauseNow()
	}
	if f.expectChange != nil && f.expectChange() {
		return min(f.pause, expectedChangePause)
	}
	return f.pause
}

// poll makes one read of the whole spans, or one feed call, and delivers
// the answer. It returns errStaleRead if the answer is older than an earlier
// one.
func (f *follower) poll(ctx context.Context, whole bool) error {
	sentAt := f.clock.Now().Steady
	if whole {
		page, err := readSpans(ctx, f.store, f.table, f.spans)
		if err != nil {
			return err
		}
		if page.Version < f.version {
			return errStaleRead
		}
		f.version, f.incomplete = page.Version, false
		f.deliver(Update{Rows: page.Rows, Whole: true, SentAt: sentAt, CurrentAt: sentAt})
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait+readTimeout)
	defer cancel()
	ctx = store.WithProgressLimit(ctx, store.ProgressLimit{First: f.wait + feedTimeoutMargin, Next: readProgressTimeout})
	wait := f.wait
	if f.confirm && f.incomplete {
		wait = 0
	}
	page, err := f.store.Changes(ctx, f.table, f.version, wait)
	if err != nil {
		return err
	}
	if page.Version < f.version {
		return errStaleRead
	}
	f.version, f.incomplete = page.Version, len(page.Rows) > 0
	update := Update{Rows: page.Rows, SentAt: sentAt}
	if !f.incomplete {
		update.CurrentAt = sentAt
	}
	f.deliver(update)
	return nil
}

// maxParallelReads bounds the reads of spans at the same time, so that connections to the
// table service are left for other calls.
const maxParallelReads = 13

// readSpans reads spans of a table as a whole. The version is the lowest of the reads, so
// that a feed of the changes after it misses none.
func readSpans(ctx context.Context, s store.Store, table string, spans []store.Span) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ctx = store.WithProgressLimit(ctx, store.ProgressLimit{First: readProgressTimeout, Next: readProgressTimeout})
	switch len(spans) {
	case 0:
		return store.All(ctx, s, table, store.Span{})
	case 1:
		return store.All(ctx, s, table, spans[0])
	}
	pages := make([]store.Page, len(spans))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, span := range spans {
		group.Go(func() (err error) {
			defer func() {
				if cause := recover(); cause != nil {
					err = fmt.Errorf("panic while reading %s of table %s: %v", span.Partition, table, cause)
				}
			}()
			pages[i], err = store.All(ctx, s, table, span)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return store.Page{}, err
	}
	all := pages[0]
	for _, page := range pages[1:] {
		all.Rows = append(all.Rows, page.Rows...)
		if page.Version < all.Version {
			all.Version, all.Time = page.Version, page.Time
		}
	}
	return all, nil
}

var errStaleRead = errors.New("answer is older than an earlier one")

func (f *follower) recordFailure(ctx context.Context, err error) {
	if f.failing || ctx.Err() != nil {
		return
	}
	f.failing = true
	f.log.Warn("dependency_lost", zap.String("dependency", "table "+f.table), zap.Error(err))
}

func (f *follower) recordSuccess() {
	if f.failing {
		f.failing = false
		f.log.Info("dependency_regained", zap.String("dependency", "table "+f.table), zap.Int64("version", f.version))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
