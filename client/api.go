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

// Submit submits a job to a queue and returns once the job is durable, or accepted
// with Unrecorded set. If the request has no ID, Submit chooses one at random, so
// that tries after a lost answer do not submit a second job.
func (c *Client) Submit(ctx context.Context, queue fleet.QueueName, request SubmitRequest) (Job, error) {
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	var job Job
	err := c.do(ctx, apiCall{method: http.MethodPost, path: []string{"queues", string(queue), "jobs"}, body: request, mutating: true, response: &job})
	return job, err
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id fleet.JobID) (Job, error) {
	var job Job
	err := c.do(ctx, apiCall{method: http.MethodGet, path: []string{"jobs", string(id)}, response: &job})
	return job, err
}

// Wait waits until a job has ended or ctx is done. If ctx is done, it returns the
// last known status with the error of ctx.
func (c *Client) Wait(ctx context.Context, id fleet.JobID) (Job, error) {
	return c.Watch(ctx, id, func(Job) {})
}

// Watch is like Wait and also calls onStatus with every status that an entry sends:
// the first without delay, then one whenever a wait request is answered.
func (c *Client) Watch(ctx context.Context, id fleet.JobID, onStatus func(Job)) (Job, error) {
	job, err := c.Job(ctx, id)
	if err != nil {
		return job, err
	}
	onStatus(job)
	query := url.Values{"timeoutMS": {strconv.FormatInt(jobWaitTimeout.Milliseconds(), 10)}}
	for job.State != JobEnded {
		// Without this pause, an entry that answers a wait at once would be asked
		// continuously.
		if err := fleet.Sleep(ctx, c.options.MinPause); err != nil {
			return job, err
		}
		var next Job
		err := c.do(ctx, apiCall{method: http.MethodGet, path: []string{"jobs", string(id), "wait"}, query: query, response: &next})
		if ctx.Err() != nil {
			return job, ctx.Err()
		}
		if err != nil {
			return job, err
		}
		job = next
		onStatus(job)
	}
	return job, nil
}

// Cancel cancels a job and returns its status.
func (c *Client) Cancel(ctx context.Context, id fleet.JobID) (Job, error) {
	var job Job
	err := c.do(ctx, apiCall{method: http.MethodDelete, path: []string{"jobs", string(id)}, mutating: true, response: &job})
	return job, err
}

// Validate returns the faults of a whole configuration folder.
func (c *Client) Validate(ctx context.Context, files []File) ([]Finding, error) {
	var answer struct {
		Findings []Finding `json:"findings"`
	}
	body := Change{Put: files}
	err := c.do(ctx, apiCall{method: http.MethodPost, path: []string{"config", "validate"}, body: body, response: &answer})
	var refusal *Error
	if errors.As(err, &refusal) && refusal.Status == http.StatusUnprocessableEntity {
		return refusal.Findings, nil
	}
	return answer.Findings, err
}

// Configuration returns the accepted configuration.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var answer Configuration
	err := c.do(ctx, apiCall{method: http.MethodGet, path: []string{"config"}, response: &answer})
	return answer, err
}

// Apply changes the accepted configuration. It returns an error if the change has no
// ID. The error is an *Error with ReasonConflict if the base is not the accepted
// revision, and an *Error with Findings if the changed folder would be faulty.
func (c *Client) Apply(ctx context.Context, change Change) (Applied, error) {
	if change.ID == "" {
		return Applied{}, fmt.Errorf("change has no id: it needs one, so that a try after a lost answer does not apply it twice")
	}
	var answer Applied
	err := c.do(ctx, apiCall{method: http.MethodPost, path: []string{"config", "apply"}, body: change, mutating: true, response: &answer})
	return answer, err
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var answer Status
	err := c.do(ctx, apiCall{method: http.MethodGet, path: []string{"status"}, response: &answer})
	return answer, err
}

// Pools returns the state of all pools.
func (c *Client) Pools(ctx context.Context) ([]Pool, error) {
	var answer struct {
		Pools []Pool `json:"pools"`
	}
	err := c.do(ctx, apiCall{method: http.MethodGet, path: []string{"pools"}, response: &answer})
	return answer.Pools, err
}

// Teams returns the state of all teams.
func (c *Client) Teams(ctx context.Context) ([]Team, error) {
	var answer struct {
		Teams []Team `json:"teams"`
	}
	err := c.do(ctx, apiCall{method: http.MethodGet, path: []string{"teams"}, response: &answer})
	return answer.Teams, err
}

// Drain starts draining a VM, which gets no new work until Undrain. An entry refuses
// it when the availability budget is spent.
func (c *Client) Drain(ctx context.Context, vm fleet.VMID) error {
	return c.do(ctx, apiCall{method: http.MethodPost, path: []string{"vms", string(vm), "drain"}, mutating: true})
}

// Undrain brings a drained VM back into service.
func (c *Client) Undrain(ctx context.Context, vm fleet.VMID) error {
	return c.do(ctx, apiCall{method: http.MethodPost, path: []string{"vms", string(vm), "undrain"}, mutating: true})
}

// Maintenance returns the state of maintenance.
func (c *Client) Maintenance(ctx context.Context) (Maintenance, error) {
	var answer Maintenance
	err := c.do(ctx, apiCall{method: http.MethodGet, path: []string{"maintenance"}, response: &answer})
	return answer, err
}

// PauseMaintenance pauses maintenance: it starts on no further VM, and VMs under
// maintenance finish.
func (c *Client) PauseMaintenance(ctx context.Context) error {
	return c.do(ctx, apiCall{method: http.MethodPost, path: []string{"maintenance", "pause"}, mutating: true})
}

// ResumeMaintenance ends the pause that PauseMaintenance began.
func (c *Client) ResumeMaintenance(ctx context.Context) error {
	return c.do(ctx, apiCall{method: http.MethodPost, path: []string{"maintenance", "resume"}, mutating: true})
}
