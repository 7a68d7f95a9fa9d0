package node

import (
	"context"
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// protect calls f and returns its error. A panic of f is logged with its stack and
// returned as an error, so that unexpected input ends one task of the process and not
// all of them.
func (n *Node) protect(task string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			n.metrics.add("panics")
			n.log.Error("panic", zap.String("task", task), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
			err = fmt.Errorf("panic in %s: %v", task, cause)
		}
	}()
	return f()
}

// spawn runs f in a goroutine of its own. A panic of f ends that goroutine only.
func (n *Node) spawn(task string, f func()) {
	go func() {
		_ = n.protect(task, func() error { f(); return nil }) // protect logs a panic
	}()
}

// keepRunning runs a loop until ctx ends, and starts it again after a panic.
func (n *Node) keepRunning(ctx context.Context, task string, loop func(context.Context)) {
	for ctx.Err() == nil {
		_ = n.protect(task, func() error { loop(ctx); return nil }) // protect logs a panic
		sleep(ctx, retryPause)
	}
}
