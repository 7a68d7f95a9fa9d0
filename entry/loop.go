package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/entry/metrics"
)

// task is a piece of work that an entry repeats.
type task struct {
	name    string
	every   time.Duration
	timeout time.Duration // of one run; zero means 5 s
	run     func(ctx context.Context) error
}

const defaultTaskTimeout = 5 * time.Second

// loops runs tasks, each in a goroutine of its own so that a slow store does
// not hold up the others.
type loops struct {
	log     *zap.Logger
	metrics *metrics.Registry
	wg      sync.WaitGroup
}

func (l *loops) start(ctx context.Context, tasks ...task) {
	for _, t := range tasks {
		l.wg.Go(func() { l.repeat(ctx, t) })
	}
}

func (l *loops) wait() { l.wg.Wait() }

func (l *loops) repeat(ctx context.Context, t task) {
	ticker := time.NewTicker(t.every)
	defer ticker.Stop()
	failing := false
	for {
		err := l.once(ctx, t)
		if ctx.Err() != nil {
			return
		}
		failing = l.report(t, err, failing)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *loops) once(ctx context.Context, t task) error {
	timeout := t.timeout
	if timeout == 0 {
		timeout = defaultTaskTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.run(ctx)
}

// report counts failures and logs only the first and the last of a series, so
// that an outage of the store does not fill the log.
func (l *loops) report(t task, err error, failing bool) bool {
	switch {
	case err != nil:
		l.metrics.Add("task_errors_"+t.name, 1)
		if !failing {
			l.log.Warn("task_failing", zap.String("task", t.name), zap.Error(err))
		}
	case failing:
		l.log.Info("task_recovered", zap.String("task", t.name))
	}
	return err != nil
}
