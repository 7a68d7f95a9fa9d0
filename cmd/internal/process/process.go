// Package process holds what the daemons share: logging and signal handling.
package process

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logger returns a logger that writes one line of key=value pairs for each
// event to standard output. The environment variable AMARANTH_LOG_LEVEL sets
// the lowest level that is written, info by default; an unknown level is an error.
func Logger() (*zap.Logger, error) {
	level := zapcore.InfoLevel
	if text, ok := os.LookupEnv("AMARANTH_LOG_LEVEL"); ok {
		parsed, err := zapcore.ParseLevel(text)
		if err != nil {
			return nil, err
		}
		level = parsed
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	config.MessageKey = "event"
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(config), logSink(), level)), nil
}

// logSink returns the sink to standard output that all loggers of the process share.
var logSink = sync.OnceValue(func() *Sink { return NewSink(os.Stdout) })

// Flush writes the pending log lines and closes the log. Call it once, at the
// end of the process; later lines are dropped.
func Flush() { logSink().Close() }

// Daemon is a process that serves until its context ends and then stops gracefully.
type Daemon interface {
	Run(ctx context.Context) error
	// Reload reads again the files that may change while the daemon runs.
	Reload() error
}

// errInterrupted is returned by Run when SIGINT interrupts a planned stop.
var errInterrupted = errors.New("SIGINT during a planned stop: stopped at once")

// Run runs a daemon and returns its error. The first SIGTERM or SIGINT begins
// a planned stop by ending the daemon's context. A further SIGTERM changes nothing:
// supervisors repeat it, and requests are in progress. At a further SIGINT, Run returns
// without waiting for the daemon. SIGHUP calls Reload; its error is only logged.
func Run(d Daemon, log *zap.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	for {
		select {
		case err := <-done:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(d, log)
				continue
			}
			if ctx.Err() != nil && sig == syscall.SIGINT {
				return errInterrupted
			}
			log.Info("stop_requested", zap.String("signal", sig.String()), zap.Bool("repeated", ctx.Err() != nil))
			cancel()
		}
	}
}

func reload(d Daemon, log *zap.Logger) {
	if err := d.Reload(); err != nil {
		log.Error("reload_failed", zap.Error(err))
		return
	}
	log.Info("reloaded")
}
