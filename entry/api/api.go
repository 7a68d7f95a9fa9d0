// Package api serves the HTTP API of an entry for callers and operators.
package api

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"go.uber.org/zap"

	"amaranthfork.example/control"
	"amaranthfork.example/entry/metrics"
	"amaranthfork.example/fleet"
)

// MaxBodyBytes is the size of the largest request body with JSON.
const MaxBodyBytes = 1 << 20

const (
	keyHeader   = "Amaranth-Key"   // key of the caller's team
	maxWait     = 60 * time.Second // of a request that waits for the end of a job
	defaultWait = 30 * time.Second
)

// Direct forwards a request to an endpoint of a workspace. path is escaped and has a
// leading slash. If it returns an error, nothing has been written to w; the error is
// a *fleet.Refusal if the request was not run.
type Direct func(w http.ResponseWriter, r *http.Request, workspace fleet.Workspace, path string) error

// Options configures a Server.
type Options struct {
	View     control.View
	Jobs     control.Jobs
	Operator Operator
	Direct   Direct
	// JobID returns the id of a team's job with an idempotency id.
	JobID func(team fleet.TeamName, id string) fleet.JobID
	// OperatorToken is the bearer token of operators. If it is empty, all operator
	// requests are refused.
	OperatorToken string
	Clock         fleet.Clock
	Metrics       *metrics.Registry
	Log           *zap.Logger
}

// Server is the HTTP API of one entry during one session.
type Server struct {
	Options
	echo     *echo.Echo
	notReady atomic.Bool        // the readiness check fails
	stopping atomic.Bool        // new work is refused
	stop     context.CancelFunc // cancels stopped
	stopped  context.Context    // ends the waits for jobs
}

// New returns a server with all routes.
func New(o Options) *Server {
	s := &Server{Options: o, echo: echo.New()}
	s.stopped, s.stop = context.WithCancel(context.Background())
	s.echo.HTTPErrorHandler = s.writeError
	s.routes()
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Drain makes the readiness check fail, so that the load balancer sends callers to
// other entries. Requests that still arrive are served.
func (s *Server) Drain() { s.notReady.Store(true) }

// Stop makes the server refuse new work, and answers requests that wait for a job
// with its last known status. Other open requests continue.
func (s *Server) Stop() {
	s.notReady.Store(true)
	s.stopping.Store(true)
	s.stop()
}

// Ready returns nil if the load balancer may send callers to this entry, and a
// *fleet.Refusal otherwise.
func (s *Server) Ready() error {
	if s.notReady.Load() {
		return &fleet.Refusal{Reason: fleet.ReasonStopping}
	}
	return s.accepting()
}

// accepting returns nil if new work is accepted, and a *fleet.Refusal otherwise.
func (s *Server) accepting() error {
	if s.stopping.Load() {
		return &fleet.Refusal{Reason: fleet.ReasonStopping, RetryAfter: time.Second}
	}
	if s.View.Snapshot() == nil {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "no configuration known", RetryAfter: time.Second}
	}
	return nil
}

func (s *Server) routes() {
	e := s.echo
	e.GET("/livez", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)

	e.POST("/v1/queues/:queue/jobs", s.submit)
	e.GET("/v1/jobs/:job", s.jobStatus)
	e.GET("/v1/jobs/:job/wait", s.jobWait)
	e.DELETE("/v1/jobs/:job", s.jobCancel)
	e.Any("/v1/workspaces/:workspace/direct/*", s.direct)

	operator := func(method, path string, handler echo.HandlerFunc) {
		e.Add(method, path, handler, s.requireOperator)
	}
	operator("POST", "/v1/config/validate", s.configValidate)
	operator("GET", "/v1/config", s.configGet)
	operator("POST", "/v1/config/apply", s.configApply)
	operator("GET", "/v1/status", s.status)
	operator("GET", "/v1/pools", s.pools)
	operator("GET", "/v1/teams", s.teams)
	operator("POST", "/v1/vms/:vm/drain", s.drain)
	operator("POST", "/v1/vms/:vm/undrain", s.undrain)
	operator("GET", "/v1/maintenance", s.maintenance)
	operator("POST", "/v1/maintenance/pause", s.maintenancePause)
	operator("POST", "/v1/maintenance/resume", s.maintenanceResume)
	operator("GET", "/debug/vars", func(c *echo.Context) error {
		s.Metrics.ServeHTTP(c.Response(), c.Request())
		return nil
	})
}

func (s *Server) ready(c *echo.Context) error {
	if err := s.Ready(); err != nil {
		return err
	}
	return c.String(http.StatusOK, "ready\n")
}

// requireOperator refuses requests without the operator token. It compares hashes of
// equal length in constant time, so that the duration reveals nothing about the
// token.
func (s *Server) requireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	want := sha256.Sum256([]byte(s.OperatorToken))
	return func(c *echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if !ok || s.OperatorToken == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			return &fleet.Refusal{Reason: fleet.ReasonUnauthorized, Detail: "operator token required"}
		}
		return next(c)
	}
}

// errorBody is the JSON body of every error response.
type errorBody struct {
	Outcome      fleet.Outcome `json:"outcome"`
	Reason       fleet.Reason  `json:"reason,omitempty"`
	Detail       string        `json:"detail,omitempty"`
	RetryAfterMS int64         `json:"retryAfterMS,omitempty"`
}

// statusOf maps reasons of refusals to HTTP statuses. Reasons that are not listed
// give 503.
var statusOf = map[fleet.Reason]int{
	fleet.ReasonInvalid:      http.StatusBadRequest,
	fleet.ReasonUnauthorized: http.StatusUnauthorized,
	fleet.ReasonNoQueue:      http.StatusNotFound,
	fleet.ReasonQueueFull:    http.StatusTooManyRequests,
	fleet.ReasonTeamLimit:    http.StatusTooManyRequests,
	fleet.ReasonDeadline:     http.StatusUnprocessableEntity,
	fleet.ReasonTooLarge:     http.StatusUnprocessableEntity,
}

// writeError writes the response to a request that failed with err, unless the
// handler has begun to write one.
func (s *Server) writeError(c *echo.Context, err error) {
	if resp, unwrapErr := echo.UnwrapResponse(c.Response()); unwrapErr == nil && resp.Committed {
		return
	}
	status, body := s.errorResponse(c, err)
	s.Metrics.Add("errors_"+string(body.Outcome)+"_"+string(body.Reason), 1)
	if status == http.StatusInternalServerError || status == http.StatusGatewayTimeout {
		s.Log.Warn("request_failed", zap.String("path", c.Request().URL.Path), zap.Error(err))
	}
	if body.RetryAfterMS > 0 {
		c.Response().Header().Set("Retry-After", retryAfterSeconds(body.RetryAfterMS))
	}
	_ = c.JSON(status, body)
}

// errorResponse returns the status and body for an error. A refusal proves that
// nothing was run; after any other error of a handler the outcome is unknown.
func (s *Server) errorResponse(_ *echo.Context, err error) (int, errorBody) {
	var refusal *fleet.Refusal
	if errors.As(err, &refusal) {
		status, ok := statusOf[refusal.Reason]
		if !ok {
			status = http.StatusServiceUnavailable
		}
		return status, errorBody{fleet.OutcomeNotRun, refusal.Reason, refusal.Detail, refusal.RetryAfter.Milliseconds()}
	}
	if code := echo.StatusCode(err); code != 0 {
		// An error of the router: no handler was called.
		return code, errorBody{Outcome: fleet.OutcomeNotRun, Reason: fleet.ReasonInvalid, Detail: err.Error()}
	}
	return http.StatusGatewayTimeout, errorBody{Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
}
