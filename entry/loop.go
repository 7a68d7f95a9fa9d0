package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/entry/metrics"
)

// periodicTask is a function that an entry runs periodically. Its name appears in
// logs and metrics.
type periodicTask struct {
	name     string
	interval time.Duration
	timeout  time.Duration // of one run; 0 means defaultTaskTimeout
	run      func(ctx context.Context) error
}

const defaultTaskTimeout = 5 * time.Second

// taskLoops runs periodic tasks, each in its own goroutine, so that one that waits for
// the table service does not delay the others.
type taskLoops struct {
	log     *zap.Logger
	metrics *metrics.Registry
	wg      sync.WaitGroup
}

func (l *taskLoops) start(ctx context.Context, tasks ...periodicTask) {
	for _, t := range tasks {
		l.wg.Go(func() { l.repeat(ctx, t) })
	}
}

func (l *taskLoops) wait() { l.wg.Wait() }

func (l *taskLoops) repeat(ctx context.Context, t periodicTask) {
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	failing := false
	for {
		err := l.runOnce(ctx, t)
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

func (l *taskLoops) runOnce(ctx context.Context, t periodicTask) error {
	timeout := t.timeout
	if timeout == 0 {
		timeout = defaultTaskTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.run(ctx)
}

// report counts the failures of a task and logs only the first of a series and the
// recovery, so that an outage of the table service does not fill the log. failing says
// whether the previous run failed; report returns whether this one did.
func (l *taskLoops) report(t periodicTask, err error, failing bool) bool {
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
