package httpapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
)

// Server serves a platform in memory over HTTP. Each caller has its own path, and
// so its own fault switches.
type Server struct {
	platform  *memory.Platform
	endpoints *Endpoints
	echo      *echo.Echo

	mu               sync.Mutex
	platformByCaller map[string]*memory.Platform // as reached over the path of each caller
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a handler of the services of p and of the admin calls that
// control it. VMs that are added with an admin call get an HTTP server of
// endpoints; if endpoints is nil, they keep the address with which they are added.
func NewServer(p *memory.Platform, endpoints *Endpoints) *Server {
	s := &Server{
		platform:         p,
		endpoints:        endpoints,
		echo:             echo.New(),
		platformByCaller: map[string]*memory.Platform{},
	}
	s.routeTable()
	s.routeObjects()
	s.routeVMs()
	s.routeWorkers()
	s.routeAdmin()
	return s
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// ForCaller returns the platform as reached by a caller, over a path that the first
// call for the caller creates.
func (s *Server) ForCaller(caller string) *memory.Platform {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.platformByCaller[caller]
	if !ok {
		p = s.platform.Node()
		s.platformByCaller[caller] = p
	}
	return p
}

// route registers fn as the handler of the calls to path. fn gets the platform as
// reached by the caller that the request names.
func route[Req, Resp any](s *Server, path string, fn func(context.Context, *memory.Platform, Req) (Resp, error)) {
	s.echo.POST(path, func(c *echo.Context) error {
		p := s.ForCaller(c.Request().Header.Get(CallerHeader))
		return answer(c, func(ctx context.Context, req Req) (Resp, error) { return fn(ctx, p, req) })
	})
}

// answer decodes the request, calls fn and writes its result or error.
func answer[Req, Resp any](c *echo.Context, fn func(context.Context, Req) (Resp, error)) error {
	r := c.Request()
	r.Body = http.MaxBytesReader(c.Response(), r.Body, MaxBodyBytes)
	var req Req
	if err := decodeJSON(r.Body, &req); err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{codeInvalid, fmt.Sprintf("decode request: %v", err)})
	}
	resp, err := fn(r.Context(), req)
	switch {
	case errors.Is(err, backing.ErrUnconfirmed):
		panic(http.ErrAbortHandler) // close the connection without a response
	case err != nil:
		status, body := encodeError(err)
		return c.JSON(status, body)
	}
	return c.JSON(http.StatusOK, resp)
}

// withoutResult adapts a function without a result to route.
func withoutResult[Req any](fn func(context.Context, *memory.Platform, Req) error) func(context.Context, *memory.Platform, Req) (empty, error) {
	return func(ctx context.Context, p *memory.Platform, req Req) (empty, error) {
		return empty{}, fn(ctx, p, req)
	}
}

func (s *Server) routeTable() {
	route(s, "/v1/table/get", func(ctx context.Context, p *memory.Platform, r keyRequest) (backing.Row, error) {
		return p.Table.Get(ctx, r.Key)
	})
	route(s, "/v1/table/get-newer", func(ctx context.Context, p *memory.Platform, r newerRequest) (newerResponse, error) {
		row, changed, err := p.Table.GetNewer(ctx, r.Key, r.Version)
		return newerResponse{row, changed}, err
	})
	route(s, "/v1/table/range", func(ctx context.Context, p *memory.Platform, r rangeRequest) (rowsResponse, error) {
		rows, err := p.Table.Range(ctx, r.Prefix, r.After, r.Limit)
		return rowsResponse{rows}, err
	})
	route(s, "/v1/table/commit", func(ctx context.Context, p *memory.Platform, t backing.Txn) (versionsResponse, error) {
		versions, err := p.Table.Commit(ctx, t)
		return versionsResponse{versions}, err
	})
}

func (s *Server) routeObjects() {
	route(s, "/v1/objects/put", withoutResult(func(ctx context.Context, p *memory.Platform, r putRequest) error {
		return p.Objects.Put(ctx, r.Key, r.Value)
	}))
	route(s, "/v1/objects/get", func(ctx context.Context, p *memory.Platform, r keyRequest) (valueResponse, error) {
		value, err := p.Objects.Get(ctx, r.Key)
		return valueResponse{value}, err
	})
	route(s, "/v1/objects/list", func(ctx context.Context, p *memory.Platform, r keyRequest) (keysResponse, error) {
		keys, err := p.Objects.List(ctx, r.Key)
		return keysResponse{keys}, err
	})
	route(s, "/v1/objects/delete", withoutResult(func(ctx context.Context, p *memory.Platform, r keyRequest) error {
		return p.Objects.Delete(ctx, r.Key)
	}))
}

func (s *Server) routeVMs() {
	route(s, "/v1/vms/list", func(ctx context.Context, p *memory.Platform, _ empty) (backing.VMListing, error) {
		return p.VMList.List(ctx)
	})
	route(s, "/v1/vms/changes", func(ctx context.Context, p *memory.Platform, r changesRequest) (backing.VMChanges, error) {
		return p.VMList.Changes(ctx, r.Token)
	})
	route(s, "/v1/vms/drain", withoutResult(func(ctx context.Context, p *memory.Platform, r vmRequest) error {
		return p.VMs.Drain(ctx, r.VM)
	}))
	route(s, "/v1/vms/reboot", withoutResult(func(ctx context.Context, p *memory.Platform, r vmRequest) error {
		return p.VMs.Reboot(ctx, r.VM)
	}))
	route(s, "/v1/vms/release", withoutResult(func(ctx context.Context, p *memory.Platform, r vmRequest) error {
		return p.VMs.Release(ctx, r.VM)
	}))
}

func (s *Server) routeWorkers() {
	route(s, "/v1/workers/tasks", func(ctx context.Context, p *memory.Platform, r workerRequest) (tasksResponse, error) {
		tasks, err := p.Workers.Tasks(ctx, r.VM, r.Lease)
		return tasksResponse{tasks}, err
	})
	calls := map[string]func(context.Context, backing.Workers, workerRequest) error{
		"acquire": func(ctx context.Context, w backing.Workers, r workerRequest) error {
			return w.Acquire(ctx, r.VM, r.Lease, time.Duration(r.TTL))
		},
		"start": func(ctx context.Context, w backing.Workers, r workerRequest) error {
			if r.Task == nil {
				return errors.New("field task is missing")
			}
			return w.Start(ctx, r.VM, r.Lease, *r.Task)
		},
		"forget": func(ctx context.Context, w backing.Workers, r workerRequest) error {
			return w.Forget(ctx, r.VM, r.Lease, r.Attempts)
		},
		"checkpoint": func(ctx context.Context, w backing.Workers, r workerRequest) error {
			return w.Checkpoint(ctx, r.VM, r.Lease, r.Attempt)
		},
		"throttle": func(ctx context.Context, w backing.Workers, r workerRequest) error {
			return w.Throttle(ctx, r.VM, r.Lease, r.Attempt, r.MilliCPU)
		},
		"stop": func(ctx context.Context, w backing.Workers, r workerRequest) error {
			return w.Stop(ctx, r.VM, r.Lease, r.Attempt)
		},
	}
	for name, call := range calls {
		route(s, "/v1/workers/"+name, withoutResult(func(ctx context.Context, p *memory.Platform, r workerRequest) error {
			return call(ctx, p.Workers, r)
		}))
	}
}
