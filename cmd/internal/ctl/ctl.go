// Package ctl implements the commands of amaranthctl. It reads and writes the
// configuration folder on disk, and calls entries only through package client.
package ctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// Exit codes of amaranthctl.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the folder has findings, or the job or command failed
	ExitUsage    = 2 // the command line or the environment is wrong
	ExitConflict = 3 // another operator's change was accepted first
	ExitNotRun   = 4 // the request was refused or no entry answered: nothing was done
	ExitUnknown  = 5 // the request may have taken effect
)

const exitCodeHelp = `Exit codes:
  0  done
  1  the folder has findings, or the work failed
  2  wrong command line or environment
  3  conflict: another change was accepted first
  4  not run: the request was refused or no entry answered
  5  unknown: the request may have taken effect`

const (
	defaultPollInterval = 500 * time.Millisecond
	defaultTimeout      = time.Minute
)

// Env holds the arguments, streams and other dependencies of a command.
type Env struct {
	Args         []string // without the name of the program
	Stdin        io.Reader
	Stdout       io.Writer
	Stderr       io.Writer
	Getenv       func(string) string
	Random       io.Reader         // source of key secrets, normally crypto/rand.Reader
	NewID        func() string     // returns a new unique id for a change or job
	Transport    http.RoundTripper // nil for the client's default
	PollInterval time.Duration     // between two checks whether a change is in force; 500 ms if 0
	RetryPause   time.Duration     // mean pause before the first retry of a request; the client's default if 0
}

// Run runs one command, prints its error if there is one, and returns the exit code.
func Run(ctx context.Context, env Env) int {
	env.PollInterval = cmp.Or(env.PollInterval, defaultPollInterval)
	a := &app{Env: env}
	root := a.root()
	root.SetArgs(env.Args)
	root.SetIn(env.Stdin)
	root.SetOut(env.Stdout)
	root.SetErr(env.Stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	var failure *runError
	if !errors.As(err, &failure) {
		err = &usageError{err}
	} else {
		err = failure.err
	}
	a.printError(err)
	return exitCode(err)
}

// app is one invocation of amaranthctl with its global flags.
type app struct {
	Env
	server, key, token, caFile string
	folder, output             string
	timeout                    time.Duration
}

// root returns the command tree.
func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "amaranthctl",
		Short:         "Operate a fleet of amaranthd entries",
		Long:          "Operate a fleet of amaranthd entries: check and apply configuration folders, show the state of the fleet and submit jobs.\n\n" + exitCodeHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return cmd.Help()
		},
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return a.checkFlags()
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	flags := root.PersistentFlags()
	flags.StringVar(&a.server, "server", a.Getenv("AMARANTH_SERVER"), "base URL of the entries (AMARANTH_SERVER)")
	flags.StringVar(&a.key, "key", "", "key of a team, keyid.secret (AMARANTH_KEY, which other users of the host cannot see)")
	flags.StringVar(&a.token, "token", "", "operator token (AMARANTH_TOKEN, which other users of the host cannot see)")
	flags.StringVar(&a.caFile, "ca-file", a.Getenv("AMARANTH_CA_FILE"), "PEM certificates to trust instead of the system's (AMARANTH_CA_FILE)")
	flags.StringVar(&a.folder, "folder", cmp.Or(a.Getenv("AMARANTH_FOLDER"), "."), "configuration folder (AMARANTH_FOLDER)")
	flags.StringVarP(&a.output, "output", "o", "table", "output: table or json")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of the command, 0 for none; without this flag, submit and watch have none")
	root.AddCommand(
		a.validateCommand(), a.checkCommand(), a.diffCommand(), a.applyCommand(), a.pullCommand(), a.compactCommand(),
		a.dataCentreCommand(), a.keyCommand(),
		a.statusCommand(), a.poolsCommand(), a.teamsCommand(), a.drainCommand(), a.undrainCommand(), a.maintenanceCommand(),
		a.submitCommand(), a.watchCommand(), a.cancelCommand(),
	)
	return root
}

// checkFlags checks the global flags.
func (a *app) checkFlags() error {
	if a.output != "table" && a.output != "json" {
		return fmt.Errorf("--output must be table or json, not %q", a.output)
	}
	if a.timeout < 0 {
		return errors.New("--timeout must not be negative")
	}
	return nil
}

// client returns an API client for the global flags and the environment. All
// its errors are usage errors.
func (a *app) client() (*client.Client, error) {
	if a.server == "" {
		return nil, &usageError{errors.New("no server: pass --server or set AMARANTH_SERVER")}
	}
	c, err := client.New(client.Options{
		BaseURL:   a.server,
		Key:       cmp.Or(a.key, a.Getenv("AMARANTH_KEY")),
		Token:     cmp.Or(a.token, a.Getenv("AMARANTH_TOKEN")),
		CAFile:    a.caFile,
		Transport: a.Transport,
		MinPause:  a.RetryPause,
	})
	if err != nil {
		return nil, &usageError{err}
	}
	return c, nil
}

// local returns the RunE function of a command that needs no server.
func (a *app) local(run func(args []string) error) func(*cobra.Command, []string) error {
	return func(_ *cobra.Command, args []string) error {
		return wrapRun(run(args))
	}
}

// remote returns the RunE function of a command that calls the server. The
// context of run ends after --timeout.
func (a *app) remote(run func(ctx context.Context, c *client.Client, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		c, err := a.client()
		if err != nil {
			return wrapRun(err)
		}
		ctx, cancel := a.limit(cmd.Context())
		defer cancel()
		return wrapRun(run(ctx, c, args))
	}
}

// limit returns a context that ends after --timeout.
func (a *app) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.timeout > 0 {
		return context.WithTimeout(ctx, a.timeout)
	}
	return ctx, func() {}
}

// remoteWithoutTimeout is remote for commands that wait for jobs: the default
// of --timeout doesn't apply to them.
func (a *app) remoteWithoutTimeout(run func(ctx context.Context, c *client.Client, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if !cmd.Flags().Changed("timeout") {
			a.timeout = 0
		}
		return a.remote(run)(cmd, args)
	}
}

// group returns a command that only has sub-commands.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fmt.Errorf("%q needs a sub-command", cmd.CommandPath())
		},
	}
	cmd.AddCommand(commands...)
	return cmd
}

// runError wraps an error of a command that has started. It distinguishes such
// errors from the others that cobra returns, which are usage errors.
type runError struct{ err error }

func (e *runError) Error() string { return e.err.Error() }

// wrapRun wraps an error in a runError; it returns nil for nil.
func wrapRun(err error) error {
	if err == nil {
		return nil
	}
	return &runError{err}
}

// usageError is an error in the command line or environment.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

// outcomeError reports a job that ended without being completed.
type outcomeError struct{ result fleet.Result }

func (e *outcomeError) Error() string {
	text := fmt.Sprintf("job %s: %s", e.result.Job, e.result.Outcome)
	if e.result.Reason != "" {
		text += fmt.Sprintf(" (%s)", e.result.Reason)
	}
	if e.result.Detail != "" {
		text += ": " + e.result.Detail
	}
	return text
}

// pendingError means that the command stopped waiting before a change was in
// force or a job's result was known.
type pendingError struct{ text string }

func (e *pendingError) Error() string { return e.text }

// conflictError means that the folder is not based on the accepted revision.
type conflictError struct {
	text     string
	accepted fleet.Revision
}

func (e *conflictError) Error() string { return e.text }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var (
		usage       *usageError
		outcome     *outcomeError
		pending     *pendingError
		conflict    *conflictError
		refusal     *client.Error
		unknown     *client.UnknownError
		unavailable *client.UnavailableError
		notRead     *notReadError
	)
	switch {
	case errors.As(err, &notRead):
		return ExitNotRun
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &outcome):
		return outcomeCode(outcome.result.Outcome)
	case errors.As(err, &pending), errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unavailable):
		return ExitNotRun
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &refusal):
		return refusalCode(refusal)
	default:
		return ExitFailed
	}
}

// refusalCode returns the exit code for a request that an entry refused.
func refusalCode(refusal *client.Error) int {
	switch refusal.Status {
	case http.StatusConflict:
		return ExitConflict
	case http.StatusUnprocessableEntity:
		return ExitFailed
	default:
		return ExitNotRun
	}
}

// outcomeCode returns the exit code for the outcome of a job.
func outcomeCode(outcome fleet.Outcome) int {
	switch outcome {
	case fleet.OutcomeCompleted:
		return ExitOK
	case fleet.OutcomeFailed:
		return ExitFailed
	case fleet.OutcomeNotRun:
		return ExitNotRun
	default:
		return ExitUnknown
	}
}

// findingsOf returns the findings that an error carries.
func findingsOf(err error) config.Findings {
	var findings config.Findings
	if errors.As(err, &findings) {
		return findings
	}
	var refusal *client.Error
	if errors.As(err, &refusal) {
		return convertFindings(refusal.Findings)
	}
	return nil
}

// convertFindings converts findings of the API to those of package config.
func convertFindings(list []client.Finding) config.Findings {
	findings := make(config.Findings, len(list))
	for i, f := range list {
		findings[i] = config.Finding(f)
	}
	return findings
}
