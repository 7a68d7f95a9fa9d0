package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// submitOptions are the flags of the submit command.
type submitOptions struct {
	id, class, command, payload, file string
	memory, runTime, deadline         string
	cpu                               float64
	accelerators                      int64
	idempotent, wait                  bool
}

func (a *app) submitCommand() *cobra.Command {
	var o submitOptions
	cmd := &cobra.Command{
		Use:   "submit QUEUE",
		Short: "Submit a job of one step, or the job of a file",
		Long: `Submit a job of one step, or the job of a file.

The file holds the JSON body of POST /v1/queues/QUEUE/jobs. With --wait, the
command waits for the end of the job and writes the body of its result.`,
		Args: cobra.ExactArgs(1),
		RunE: a.remoteWithoutTimeout(func(ctx context.Context, c *client.Client, args []string) error {
			request, err := a.submitRequest(o)
			if err != nil {
				return &usageError{err}
			}
			return a.submit(ctx, c, fleet.QueueName(args[0]), request, o.wait)
		}),
	}
	flags := cmd.Flags()
	flags.StringVar(&o.id, "id", "", "idempotency id; the same id is not submitted twice")
	flags.StringVar(&o.class, "class", string(fleet.ClassStandard), "urgent, standard or batch")
	flags.StringVar(&o.command, "command", "", "command of the step")
	flags.StringVar(&o.payload, "payload", "", "payload of the step; @FILE reads a file and @- standard input")
	flags.StringVar(&o.file, "file", "", "file with the whole job instead of the other flags; - for standard input")
	flags.Float64Var(&o.cpu, "cpu", 1, "declared processors, such as 0.5")
	flags.StringVar(&o.memory, "memory", "1GB", "declared memory, such as 512MB or 64GB")
	flags.Int64Var(&o.accelerators, "accelerators", 0, "declared accelerators")
	flags.StringVar(&o.runTime, "run-time", "1m", "declared run time of the step, such as 30s or 20m")
	flags.StringVar(&o.deadline, "deadline", "0s", "time until the deadline, such as 5m; 0s for none")
	flags.BoolVar(&o.idempotent, "idempotent", false, "the step may run more than once")
	flags.BoolVar(&o.wait, "wait", false, "wait for the end of the job")
	cmd.MarkFlagsOneRequired("command", "file")
	cmd.MarkFlagsMutuallyExclusive("command", "file")
	return cmd
}

// submitRequest returns the request that the flags describe, with an id and a
// known class.
func (a *app) submitRequest(o submitOptions) (client.SubmitRequest, error) {
	request, err := a.requestFromFlags(o)
	if err != nil {
		return request, err
	}
	if o.id != "" {
		request.ID = o.id
	}
	if request.ID == "" {
		request.ID = a.NewID()
	}
	if !slices.Contains(fleet.Classes, request.Class) {
		return request, fmt.Errorf("class %q is none of %v", request.Class, fleet.Classes)
	}
	return request, nil
}

// requestFromFlags returns the request in the file that --file names, or else
// the one that the other flags describe. Its id may be empty.
func (a *app) requestFromFlags(o submitOptions) (client.SubmitRequest, error) {
	if o.file != "" {
		return a.readJobFile(o.file)
	}
	memory, memoryErr := config.ParseMemoryMB(o.memory)
	runTime, runTimeErr := config.ParseDuration(o.runTime)
	deadline, deadlineErr := config.ParseDuration(o.deadline)
	payload, payloadErr := a.readPayload(o.payload)
	if err := errors.Join(memoryErr, runTimeErr, deadlineErr, payloadErr, checkAmounts(o)); err != nil {
		return client.SubmitRequest{}, err
	}
	return client.SubmitRequest{
		Class:      fleet.Class(o.class),
		Steps:      []fleet.Step{{Command: o.command, Payload: payload}},
		Declared:   fleet.Resources{MilliCPU: int64(math.Round(o.cpu * 1000)), MemoryMB: memory, Accelerators: o.accelerators},
		RunTimeMS:  runTime.Milliseconds(),
		DeadlineMS: deadline.Milliseconds(),
		Idempotent: o.idempotent,
	}, nil
}

// maxCPU is the most processors that --cpu accepts, so that a typing error is
// not sent.
const maxCPU = 10_000

// checkAmounts checks the range of --cpu and --accelerators.
func checkAmounts(o submitOptions) error {
	if !(o.cpu >= 0.001 && o.cpu <= maxCPU) {
		return fmt.Errorf("--cpu must be from 0.001 to %d", maxCPU)
	}
	if o.accelerators < 0 {
		return errors.New("--accelerators must not be negative")
	}
	return nil
}

// readJobFile reads a request from a file, or from standard input for "-".
// Fields that the API doesn't have are errors.
func (a *app) readJobFile(name string) (client.SubmitRequest, error) {
	var request client.SubmitRequest
	file, closeFile, err := a.open(name)
	if err != nil {
		return request, err
	}
	defer closeFile()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, fmt.Errorf("read job %s: %w", name, err)
	}
	return request, nil
}

// readPayload returns the payload that --payload gives: the text itself, the
// content of FILE for "@FILE", or standard input for "@-".
func (a *app) readPayload(text string) ([]byte, error) {
	if len(text) < 2 || text[0] != '@' {
		return []byte(text), nil
	}
	file, closeFile, err := a.open(text[1:])
	if err != nil {
		return nil, err
	}
	defer closeFile()
	return io.ReadAll(file)
}

// open opens a file, or standard input for "-".
func (a *app) open(name string) (io.Reader, func(), error) {
	if name == "-" {
		return a.Stdin, func() {}, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, nil, err
	}
	return file, func() { _ = file.Close() }, nil // no data is lost when closing a file that was only read fails
}

// submit submits a job and, with wait, waits for its end.
func (a *app) submit(ctx context.Context, c *client.Client, queue fleet.QueueName, request client.SubmitRequest, wait bool) error {
	job, err := c.Submit(ctx, queue, request)
	if err != nil {
		var unknown *client.UnknownError
		if errors.As(err, &unknown) {
			return fmt.Errorf("%w; submit again with --id %s to find out", err, request.ID)
		}
		return err
	}
	if !wait {
		return a.print(job, func() { a.showJob(job) })
	}
	a.progress("job %s is %s", job.ID, job.State)
	return a.follow(ctx, c, job.ID, func(client.Job) {})
}

// showJob prints the status of a job as text.
func (a *app) showJob(job client.Job) {
	if job.Result == nil {
		a.printLine("job %s is %s, step %d", job.ID, job.State, job.Step+1)
		return
	}
	a.printLine("job %s: %s", job.ID, job.Result.Outcome)
	if job.Result.Unrecorded {
		a.printLine("the job was not recorded, because the store was not available")
	}
	if len(job.Result.Body) > 0 {
		a.printLine("%s", job.Result.Body)
	}
}

// follow waits for the end of a job, prints it and returns an error unless the
// job was completed. It calls onStatus with every status that it receives.
func (a *app) follow(ctx context.Context, c *client.Client, id fleet.JobID, onStatus func(client.Job)) error {
	job, err := c.Watch(ctx, id, onStatus)
	if err != nil {
		return explainWait(err, id)
	}
	return errors.Join(a.print(job, func() { a.showJob(job) }), jobError(job))
}

// explainWait replaces the error of an ended context by one that says that the
// job has not ended.
func explainWait(err error, id fleet.JobID) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &pendingError{fmt.Sprintf("job %s has not ended; run \"amaranthctl watch %s\" to wait for it", id, id)}
	}
	return err
}

// jobError returns nil for a completed job and an error for every other end.
func jobError(job client.Job) error {
	if job.Result == nil {
		return &pendingError{fmt.Sprintf("job %s has ended without a result", job.ID)}
	}
	if job.Result.Outcome == fleet.OutcomeCompleted {
		return nil
	}
	result := *job.Result
	result.Job = job.ID
	return &outcomeError{result}
}

func (a *app) watchCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "watch JOB",
		Short: "Follow a job until it ends",
		Args:  cobra.ExactArgs(1),
		RunE: a.remoteWithoutTimeout(func(ctx context.Context, c *client.Client, args []string) error {
			var last string
			return a.follow(ctx, c, fleet.JobID(args[0]), func(job client.Job) {
				line := fmt.Sprintf("job %s is %s, step %d", job.ID, job.State, job.Step+1)
				if job.State != client.JobEnded && line != last {
					a.progress("%s", line)
				}
				last = line
			})
		}),
	}
}

func (a *app) cancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job",
		Args:  cobra.ExactArgs(1),
		RunE: a.remote(func(ctx context.Context, c *client.Client, args []string) error {
			job, err := c.Cancel(ctx, fleet.JobID(args[0]))
			if err != nil {
				return err
			}
			return a.print(job, func() { a.showJob(job) })
		}),
	}
}
