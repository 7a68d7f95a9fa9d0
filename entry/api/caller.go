package api

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/node/intake"
)

const (
	maxIDBytes = 128 // of an idempotency id
	maxSteps   = 64  // of a job
	maxRunTime = 30 * 24 * time.Hour
)

// JobRequest is the body of a submission.
type JobRequest struct {
	ID         string          `json:"id"` // idempotency id, chosen by the caller
	Class      fleet.Class     `json:"class"`
	Steps      []fleet.Step    `json:"steps"`
	Declared   fleet.Resources `json:"declared"`
	RunTimeMS  int64           `json:"runTimeMS"`  // expected time of each step; 0 means not declared
	DeadlineMS int64           `json:"deadlineMS"` // from the submission; 0 means none
	Idempotent bool            `json:"idempotent"`
}

// problems returns one text for each field whose value is not accepted.
func (r *JobRequest) problems() []string {
	var list []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	check(r.ID != "" && len(r.ID) <= maxIDBytes, "id: needs 1 to %d bytes, has %d", maxIDBytes, len(r.ID))
	check(slices.Contains(fleet.Classes, r.Class), "class: %q is none of %v", r.Class, fleet.Classes)
	check(len(r.Steps) > 0 && len(r.Steps) <= maxSteps, "steps: needs 1 to %d, has %d", maxSteps, len(r.Steps))
	for i, step := range r.Steps {
		check(step.Command != "", "steps[%d].command: is empty", i)
	}
	d := r.Declared
	check(d.MilliCPU >= 0 && d.MemoryMB >= 0 && d.Accelerators >= 0, "declared: must not be negative")
	check(r.RunTimeMS >= 0 && r.RunTimeMS <= maxRunTime.Milliseconds(), "runTimeMS: must be from 0 to %d", maxRunTime.Milliseconds())
	check(r.DeadlineMS >= 0, "deadlineMS: %d is in the past", r.DeadlineMS)
	return list
}

// scopedID returns the idempotency id within the namespace of a team. Callers
// without a key share one namespace, so a hash of the request is added to their ids:
// two callers that chose the same id for different work must not share a job.
func (r *JobRequest) scopedID(team fleet.TeamName) string {
	if team != "" {
		return r.ID
	}
	digest := sha256.New()
	_ = json.NewEncoder(digest).Encode(r) // all field types can be encoded
	sum := digest.Sum(nil)
	return r.ID + "/" + hex.EncodeToString(sum)
}

// job converts the request to a job that is submitted now.
func (r *JobRequest) job(id fleet.JobID, team fleet.TeamName, queue fleet.QueueName, now time.Time) fleet.Job {
	job := fleet.Job{
		ID: id, Team: team, Queue: queue, Class: r.Class, Steps: r.Steps, Declared: r.Declared,
		RunTime: time.Duration(r.RunTimeMS) * time.Millisecond, Submitted: now, Idempotent: r.Idempotent,
	}
	if r.DeadlineMS > 0 {
		job.Deadline = now.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	return job
}

func (s *Server) submit(c *echo.Context) error {
	if err := s.accepting(); err != nil {
		return err
	}
	// Nothing of a body is read that is refused by the header.
	snapshot := s.View.Snapshot()
	queue, ok := snapshot.Queues[fleet.QueueName(c.Param("queue"))]
	if !ok {
		return &fleet.Refusal{Reason: fleet.ReasonNoQueue, Detail: fmt.Sprintf("queue %q does not exist", c.Param("queue"))}
	}
	key := c.Request().Header.Get(keyHeader)
	team, err := s.authorizeQueue(snapshot, queue, key)
	if err != nil {
		return err
	}
	var req JobRequest
	if err := decodeStrict(c, &req); err != nil {
		return err
	}
	if problems := req.problems(); len(problems) > 0 {
		return invalid(strings.Join(problems, "; "))
	}
	job := req.job(s.JobID(team, req.scopedID(team)), team, queue.Name, s.Clock.Now())
	if team != "" {
		job.Key, _, _ = config.ParseKey(key) // authorizeQueue has parsed it without an error
	}
	status, err := s.Jobs.Submit(c.Request().Context(), job)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, status)
}

// authorizeQueue returns the team of a submission to a queue; it is empty on an open
// queue without a key. Work with a key is refused unless the configuration is known
// to be current, since the key may have been withdrawn.
func (s *Server) authorizeQueue(snapshot *config.Snapshot, queue fleet.Queue, key string) (fleet.TeamName, error) {
	if queue.Open && key == "" {
		return "", nil
	}
	if err := s.View.Fresh(); err != nil {
		return "", err
	}
	team, err := s.authenticate(snapshot, key)
	if err != nil {
		return "", err
	}
	if !queue.Open && !slices.Contains(queue.Teams, team) {
		return "", unauthorized(fmt.Sprintf("team %q may not use queue %q", team, queue.Name))
	}
	return team, nil
}

// authenticate returns the team of a key.
func (s *Server) authenticate(snapshot *config.Snapshot, key string) (fleet.TeamName, error) {
	if key == "" {
		return "", unauthorized("header " + keyHeader + " is missing")
	}
	id, secret, err := config.ParseKey(key)
	if err != nil {
		return "", err
	}
	return snapshot.Authenticate(id, secret)
}

func (s *Server) jobStatus(c *echo.Context) error {
	return s.writeJobStatus(c, s.Jobs.Status)
}

func (s *Server) jobCancel(c *echo.Context) error {
	if _, err := s.visibleJob(c); err != nil {
		return err
	}
	return s.writeJobStatus(c, s.Jobs.Cancel)
}

// jobWait answers when the job has ended or the timeout is over, with the last known
// status.
func (s *Server) jobWait(c *echo.Context) error {
	timeout, err := waitTimeout(c.QueryParam("timeoutMS"))
	if err != nil {
		return err
	}
	status, err := s.visibleJob(c)
	if err != nil || status.State == control.JobEnded {
		return writeStatus(c, status, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
	defer cancel()
	defer context.AfterFunc(s.stopped, cancel)()
	latest, err := s.Jobs.Wait(ctx, status.ID)
	if err != nil && ctx.Err() != nil && c.Request().Context().Err() == nil {
		// The wait ended before the job: the caller gets the last known status.
		return writeStatus(c, status, nil)
	}
	return writeStatus(c, latest, err)
}

// waitTimeout parses the timeout of a wait in milliseconds; empty means defaultWait.
func waitTimeout(text string) (time.Duration, error) {
	if text == "" {
		return defaultWait, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxWait.Milliseconds() {
		return 0, invalid(fmt.Sprintf("timeoutMS: %q is not from 0 to %d", text, maxWait.Milliseconds()))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// visibleJob returns the status of the requested job. It refuses callers without a
// key of the job's team; jobs of no team are visible to all.
func (s *Server) visibleJob(c *echo.Context) (control.JobStatus, error) {
	snapshot := s.View.Snapshot()
	if snapshot == nil {
		return control.JobStatus{}, &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "no configuration known"}
	}
	status, err := s.Jobs.Status(c.Request().Context(), fleet.JobID(c.Param("job")))
	if err != nil || status.Team == "" {
		return status, err
	}
	team, err := s.authenticate(snapshot, c.Request().Header.Get(keyHeader))
	if err != nil {
		return control.JobStatus{}, err
	}
	if team != status.Team {
		return control.JobStatus{}, unauthorized("the job belongs to another team")
	}
	return status, nil
}

// writeJobStatus applies call to the requested job, if it is visible to the caller,
// and writes the resulting status.
func (s *Server) writeJobStatus(c *echo.Context, call func(context.Context, fleet.JobID) (control.JobStatus, error)) error {
	visible, err := s.visibleJob(c)
	if err != nil {
		return err
	}
	status, err := call(c.Request().Context(), visible.ID)
	return writeStatus(c, status, err)
}

func writeStatus(c *echo.Context, status control.JobStatus, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, status)
}

// direct forwards a request to an endpoint of the workspace's pool.
func (s *Server) direct(c *echo.Context) error {
	if err := s.accepting(); err != nil {
		return err
	}
	snapshot := s.View.Snapshot()
	workspace, ok := snapshot.Workspaces[fleet.WorkspaceName(c.Param("workspace"))]
	if !ok {
		return &fleet.Refusal{Reason: fleet.ReasonNoQueue, Detail: fmt.Sprintf("workspace %q does not exist", c.Param("workspace"))}
	}
	if err := s.authorizeWorkspace(snapshot, workspace, c.Request().Header.Get(keyHeader)); err != nil {
		return err
	}
	r := c.Request()
	r.Header.Del(keyHeader) // endpoints must not see the keys of callers
	_, path, _ := strings.Cut(r.URL.EscapedPath(), "/direct/")
	return s.Direct(c.Response(), r, workspace, "/"+path)
}

// authorizeWorkspace returns nil if the key gives access to the workspace. As in
// authorizeQueue, a key counts only if the configuration is known to be current.
func (s *Server) authorizeWorkspace(snapshot *config.Snapshot, w fleet.Workspace, key string) error {
	if w.Open {
		return nil
	}
	if err := s.View.Fresh(); err != nil {
		return err
	}
	team, err := s.authenticate(snapshot, key)
	if err != nil {
		return err
	}
	if team != w.Team {
		return unauthorized(fmt.Sprintf("team %q may not use workspace %q", team, w.Name))
	}
	return nil
}

// decodeStrict decodes the body, which must be one JSON value of at most
// MaxBodyBytes without unknown fields.
func decodeStrict(c *echo.Context, into any) error {
	body, err := intake.ReadBody(c.Response(), c.Request(), MaxBodyBytes)
	if err == nil {
		err = body.Decode(c.Request().Context(), func(b []byte) error { return decodeJSON(b, into) })
	}
	var tooLarge *http.MaxBytesError
	var refusal *fleet.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &tooLarge):
		return invalid(fmt.Sprintf("body: larger than %d bytes", MaxBodyBytes))
	case intake.NotReceived(err):
		return &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: err.Error(), RetryAfter: notReceivedRetryAfter}
	}
	return invalid("body: " + err.Error())
}

// notReceivedRetryAfter is the time after which a caller may send a request again that was not
// received.
const notReceivedRetryAfter = time.Second

// decodeJSON decodes one JSON value without unknown fields.
func decodeJSON(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalid("body: " + err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("body: data after the JSON value")
	}
	return nil
}

func invalid(detail string) error {
	return &fleet.Refusal{Reason: fleet.ReasonInvalid, Detail: detail}
}

func unauthorized(detail string) error {
	return &fleet.Refusal{Reason: fleet.ReasonUnauthorized, Detail: detail}
}

// retryAfterSeconds rounds up to whole seconds, for the Retry-After header.
func retryAfterSeconds(ms int64) string {
	return strconv.FormatInt((ms+999)/1000, 10)
}
