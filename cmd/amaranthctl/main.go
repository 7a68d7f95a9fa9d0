// Command amaranthctl operates a fleet of amaranthd entries.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/uuid"

	"amaranthfork.example/cmd/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, ctl.Env{
		Args:   os.Args[1:],
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
		Random: rand.Reader,
		NewID:  uuid.NewString,
	})
	stop()
	os.Exit(code)
}
