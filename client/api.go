package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"

	"amaranthfork.example/fleet"
)

// Submit submits a job to a queue and returns once the job is durable. If the
// request has no ID, one is chosen at random, so that tries after a lost answer
// do not submit a second job.
func (c *Client) Submit(ctx context.Context, queue fleet.QueueName, request SubmitRequest) (Job, error) {
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	var job Job
	err := c.do(ctx, call{method: http.MethodPost, path: []string{"queues", string(queue), "jobs"}, body: request, changes: true, into: &job})
	return job, err
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id fleet.JobID) (Job, error) {
	var job Job
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"jobs", string(id)}, into: &job})
	return job, err
}

// Wait waits until a job has ended or ctx is done. With the error of ctx, it
// returns the last known status.
func (c *Client) Wait(ctx context.Context, id fleet.JobID) (Job, error) {
	return c.Watch(ctx, id, func(Job) {})
}

// Watch is Wait, and calls each with every status that an entry sends: the first
// at once, then whenever a wait at the entry ends.
func (c *Client) Watch(ctx context.Context, id fleet.JobID, each func(Job)) (Job, error) {
	job, err := c.Job(ctx, id)
	if err != nil {
		return job, err
	}
	each(job)
	query := url.Values{"timeoutMS": {strconv.FormatInt(waitTimeout.Milliseconds(), 10)}}
	for job.State != JobEnded {
		// An entry that does not hold a wait must not be asked without a break.
		if err := fleet.Sleep(ctx, c.options.MinWait); err != nil {
			return job, err
		}
		var next Job
		err := c.do(ctx, call{method: http.MethodGet, path: []string{"jobs", string(id), "wait"}, query: query, into: &next})
		if ctx.Err() != nil {
			return job, ctx.Err()
		}
		if err != nil {
			return job, err
		}
		job = next
		each(job)
	}
	return job, nil
}

// Cancel cancels a job and returns its status.
func (c *Client) Cancel(ctx context.Context, id fleet.JobID) (Job, error) {
	var job Job
	err := c.do(ctx, call{method: http.MethodDelete, path: []string{"jobs", string(id)}, changes: true, into: &job})
	return job, err
}

// Validate checks a whole folder and returns its faults.
func (c *Client) Validate(ctx context.Context, files []File) ([]Finding, error) {
	var answer struct {
		Findings []Finding `json:"findings"`
	}
	body := Change{Put: files}
	err := c.do(ctx, call{method: http.MethodPost, path: []string{"config", "validate"}, body: body, into: &answer})
	var refusal *Error
	if errors.As(err, &refusal) && refusal.Status == http.StatusUnprocessableEntity {
		return refusal.Findings, nil
	}
	return answer.Findings, err
}

// Configuration returns the accepted configuration.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var answer Configuration
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"config"}, into: &answer})
	return answer, err
}

// Apply changes the configuration. It fails without an ID. The error is an
// *Error with ReasonConflict if the base is not the accepted revision, and with
// Findings if the changed folder would be faulty.
func (c *Client) Apply(ctx context.Context, change Change) (Applied, error) {
	if change.ID == "" {
		return Applied{}, fmt.Errorf("a change needs an id, so that a lost answer does not apply it twice")
	}
	var answer Applied
	err := c.do(ctx, call{method: http.MethodPost, path: []string{"config", "apply"}, body: change, changes: true, into: &answer})
	return answer, err
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var answer Status
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"status"}, into: &answer})
	return answer, err
}

// Pools returns the state of all pools.
func (c *Client) Pools(ctx context.Context) ([]Pool, error) {
	var answer struct {
		Pools []Pool `json:"pools"`
	}
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"pools"}, into: &answer})
	return answer.Pools, err
}

// Teams returns the state of all teams.
func (c *Client) Teams(ctx context.Context) ([]Team, error) {
	var answer struct {
		Teams []Team `json:"teams"`
	}
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"teams"}, into: &answer})
	return answer.Teams, err
}

// Drain takes a VM out of service gracefully.
func (c *Client) Drain(ctx context.Context, vm fleet.VMID) error {
	return c.do(ctx, call{method: http.MethodPost, path: []string{"vms", string(vm), "drain"}, changes: true})
}

// Undrain brings a drained VM back into service.
func (c *Client) Undrain(ctx context.Context, vm fleet.VMID) error {
	return c.do(ctx, call{method: http.MethodPost, path: []string{"vms", string(vm), "undrain"}, changes: true})
}

// Maintenance returns the state of maintenance.
func (c *Client) Maintenance(ctx context.Context) (Maintenance, error) {
	var answer Maintenance
	err := c.do(ctx, call{method: http.MethodGet, path: []string{"maintenance"}, into: &answer})
	return answer, err
}

// PauseMaintenance starts no further maintenance; VMs under maintenance finish.
func (c *Client) PauseMaintenance(ctx context.Context) error {
	return c.do(ctx, call{method: http.MethodPost, path: []string{"maintenance", "pause"}, changes: true})
}

// ResumeMaintenance ends a pause.
func (c *Client) ResumeMaintenance(ctx context.Context) error {
	return c.do(ctx, call{method: http.MethodPost, path: []string{"maintenance", "resume"}, changes: true})
}
