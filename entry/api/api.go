// Package api serves the HTTP API for callers and operators.
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

// MaxBody is the largest request body in bytes.
const MaxBody = 1 << 20

const (
	keyHeader   = "Amaranth-Key"
	maxWait     = 60 * time.Second
	defaultWait = 30 * time.Second
)

// Direct forwards a request to an endpoint of a workspace; path is escaped. After
// an error nothing has been written: a *fleet.Refusal if the request was not run.
type Direct func(w http.ResponseWriter, r *http.Request, workspace fleet.Workspace, path string) error

// Options configures a Server.
type Options struct {
	View     control.View
	Jobs     control.Jobs
	Operator Operator
	Direct   Direct
	JobID    func(team fleet.TeamName, id string) fleet.JobID
	// OperatorToken is the bearer token of operators; empty refuses them all.
	OperatorToken string
	Clock         fleet.Clock
	Metrics       *metrics.Registry
	Log           *zap.Logger
}

// Server is the HTTP API of one entry.
type Server struct {
	Options
	echo     *echo.Echo
	unready  atomic.Bool
	stopping atomic.Bool
	stop     context.CancelFunc // ends waits when the entry stops
	stopped  context.Context
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

// Drain makes the server unready so that the load balancer sends callers
// elsewhere. Requests that still arrive are served.
func (s *Server) Drain() { s.unready.Store(true) }

// Stop refuses new work and ends waits with the present status. Requests in
// flight go on.
func (s *Server) Stop() {
	s.unready.Store(true)
	s.stopping.Store(true)
	s.stop()
}

// Ready returns nil when the load balancer should send callers here.
func (s *Server) Ready() error {
	if s.unready.Load() {
		return &fleet.Refusal{Reason: fleet.ReasonStopping}
	}
	return s.accepting()
}

// accepting returns nil when new work may be taken.
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

// requireOperator admits holders of the operator token. Hashes of equal length
// are compared so that the time taken tells nothing about the token.
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

// errorBody is the JSON form of every error.
type errorBody struct {
	Outcome      fleet.Outcome `json:"outcome"`
	Reason       fleet.Reason  `json:"reason,omitempty"`
	Detail       string        `json:"detail,omitempty"`
	RetryAfterMS int64         `json:"retryAfterMS,omitempty"`
}

// statusOf gives the HTTP status of each reason; others are 503.
var statusOf = map[fleet.Reason]int{
	fleet.ReasonInvalid:      http.StatusBadRequest,
	fleet.ReasonUnauthorized: http.StatusUnauthorized,
	fleet.ReasonNoQueue:      http.StatusNotFound,
	fleet.ReasonQueueFull:    http.StatusTooManyRequests,
	fleet.ReasonTeamLimit:    http.StatusTooManyRequests,
	fleet.ReasonDeadline:     http.StatusUnprocessableEntity,
	fleet.ReasonTooLarge:     http.StatusUnprocessableEntity,
}

// writeError answers a handler's error. A refusal is proof that nothing ran;
// every other error of a handler that may have acted is unknown.
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
		// Errors of the router: no handler was reached.
		return code, errorBody{Outcome: fleet.OutcomeNotRun, Reason: fleet.ReasonInvalid, Detail: err.Error()}
	}
	return http.StatusGatewayTimeout, errorBody{Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
}
