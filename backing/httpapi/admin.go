package httpapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/fleet"
)

// Values of FaultSettings.Service.
const (
	ServiceTable   = "table"
	ServiceObjects = "objects"
	ServiceWorkers = "workers"
	ServiceVMs     = "vms"
	ServiceVMList  = "vmlist"
	ServiceAll     = "all"
)

// FaultSettings changes the fault switches of a service. Nil fields change nothing.
type FaultSettings struct {
	// Caller is the node to whose path the switches apply; if it is empty they
	// apply to all nodes.
	Caller      string                        `json:"caller,omitempty"`
	Service     string                        `json:"service"`
	Down        *bool                         `json:"down,omitempty"`        // calls fail at once
	Hang        *bool                         `json:"hang,omitempty"`        // calls have no effect and end without an answer at their timeout
	Latency     *Duration                     `json:"latency,omitempty"`     // added to each call
	LoseAnswers *int                          `json:"loseAnswers,omitempty"` // number of next writes that take effect without an answer
	Cut         map[fleet.DataCentreName]bool `json:"cut,omitempty"`         // true makes the workers of a data centre unreachable
	Rate        *RateSettings                 `json:"rate,omitempty"`
}

// RateSettings limits the rates of calls; a rate of 0 means no limit.
type RateSettings struct {
	WritesPerSecond float64  `json:"writesPerSecond"`
	ReadsPerSecond  float64  `json:"readsPerSecond"`
	QueueTime       Duration `json:"queueTime"` // longest wait of a call; 0 refuses at once
}

// VMSettings changes the state and faults of a VM. Nil fields change nothing.
type VMSettings struct {
	VM          fleet.VMID     `json:"vm"`
	State       *fleet.VMState `json:"state,omitempty"`
	FailsAll    *bool          `json:"failsAll,omitempty"`    // every task that starts fails at once
	Unreachable *bool          `json:"unreachable,omitempty"` // the worker does not answer
	NoReturn    *bool          `json:"noReturn,omitempty"`    // reboots do not end
}

// ListSettings changes the lag of the VM list and the duration of reboots. Nil
// fields change nothing.
type ListSettings struct {
	Lag        *Duration `json:"lag,omitempty"`
	RebootTime *Duration `json:"rebootTime,omitempty"`
}

// Counts are the numbers of calls to a service of the platform from all callers.
type Counts struct {
	Reads   int `json:"reads"`   // that the switches let pass
	Writes  int `json:"writes"`  // that the switches let pass
	Refused int `json:"refused"` // over the rate limit
}

type addVMsRequest struct {
	VMs     []fleet.VM        `json:"vms"`
	Entries []backing.EntryVM `json:"entries"`
}

type addVMsResponse struct {
	VMs []fleet.VM `json:"vms"` // with the addresses of their endpoints
}

func (s *Server) routeAdmin() {
	routeSetter(s, "/admin/faults", s.setFaults)
	routeSetter(s, "/admin/vm", s.setVM)
	routeSetter(s, "/admin/list", s.setList)
	s.echo.POST("/admin/vms", func(c *echo.Context) error { return answer(c, s.addVMs) })
	s.echo.GET("/admin/endpoints", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.endpointReport()) })
	s.echo.GET("/admin/starts", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.platform.StepStarts()) })
	s.echo.GET("/admin/counts", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.counts()) })
}

// routeSetter registers an admin call without a result.
func routeSetter[Req any](s *Server, path string, fn func(Req) error) {
	s.echo.POST(path, func(c *echo.Context) error {
		return answer(c, func(_ context.Context, req Req) (empty, error) { return empty{}, fn(req) })
	})
}

// faultsByService returns the switches by the name of the service.
func faultsByService(s *memory.ServiceFaults) map[string]*memory.Faults {
	return map[string]*memory.Faults{
		ServiceTable:   s.Table,
		ServiceObjects: s.Objects,
		ServiceWorkers: s.Workers,
		ServiceVMs:     s.VMs,
		ServiceVMList:  s.VMList,
	}
}

func (s *Server) setFaults(f FaultSettings) error {
	faults := s.platform.SharedFaults
	if f.Caller != "" {
		faults = s.ForCaller(f.Caller).PathFaults
	}
	byService := faultsByService(faults)
	if f.Service == ServiceAll {
		for _, serviceFaults := range byService {
			f.apply(serviceFaults)
		}
		return nil
	}
	serviceFaults, ok := byService[f.Service]
	if !ok {
		return fmt.Errorf("service %q does not exist", f.Service)
	}
	f.apply(serviceFaults)
	return nil
}

func (f FaultSettings) apply(to *memory.Faults) {
	ifSet(f.Down, to.SetDown)
	ifSet(f.Hang, to.SetHang)
	ifSet(f.Latency, func(d Duration) { to.SetLatency(time.Duration(d)) })
	ifSet(f.LoseAnswers, to.LoseAnswers)
	ifSet(f.Rate, func(r RateSettings) {
		to.SetRateLimit(memory.RateLimit{
			WritesPerSecond: r.WritesPerSecond,
			ReadsPerSecond:  r.ReadsPerSecond,
			QueueTime:       time.Duration(r.QueueTime),
		})
	})
	for dc, cut := range f.Cut {
		to.SetCut(dc, cut)
	}
}

// ifSet calls fn with the value unless it is nil.
func ifSet[T any](value *T, fn func(T)) {
	if value != nil {
		fn(*value)
	}
}

func (s *Server) setVM(v VMSettings) error {
	if _, ok := s.platform.VMState(v.VM); !ok {
		return fmt.Errorf("VM %q does not exist", v.VM)
	}
	var errs []error
	ifSet(v.State, func(state fleet.VMState) { errs = append(errs, s.platform.SetVMState(v.VM, state)) })
	ifSet(v.FailsAll, func(on bool) { errs = append(errs, s.platform.SetFailsAll(v.VM, on)) })
	ifSet(v.Unreachable, func(on bool) { errs = append(errs, s.platform.SetUnreachable(v.VM, on)) })
	ifSet(v.NoReturn, func(on bool) { errs = append(errs, s.platform.SetNoReturn(v.VM, on)) })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) setList(l ListSettings) error {
	ifSet(l.Lag, func(d Duration) { s.platform.VMList.SetLag(time.Duration(d)) })
	ifSet(l.RebootTime, func(d Duration) { s.platform.SetRebootTime(time.Duration(d)) })
	return nil
}

// LoadFleet adds the VMs and entry VMs that r lists in the form of a request to
// /admin/vms: {"vms": [...], "entries": [...]}.
func (s *Server) LoadFleet(r io.Reader) error {
	var req addVMsRequest
	if err := decodeJSON(r, &req); err != nil {
		return fmt.Errorf("decode fleet: %w", err)
	}
	_, err := s.addVMs(context.Background(), req)
	return err
}

// addVMs adds VMs and entry VMs. It opens the endpoint of each VM, unless the
// server hosts none.
func (s *Server) addVMs(_ context.Context, r addVMsRequest) (addVMsResponse, error) {
	for i, vm := range r.VMs {
		if s.endpoints != nil {
			address, err := s.endpoints.Open(vm.ID)
			if err != nil {
				return addVMsResponse{}, err
			}
			r.VMs[i].Address = address
		}
		s.platform.AddVM(r.VMs[i])
	}
	for _, e := range r.Entries {
		s.platform.SetEntry(e)
	}
	return addVMsResponse{r.VMs}, nil
}

func (s *Server) counts() map[string]Counts {
	counts := map[string]Counts{}
	for name, f := range faultsByService(s.platform.SharedFaults) {
		reads, writes := f.Counts()
		counts[name] = Counts{reads, writes, f.Refused()}
	}
	return counts
}

// EndpointReport summarizes the requests and connections of all endpoints.
type EndpointReport struct {
	VMs        map[fleet.VMID]EndpointStats `json:"vms"`
	Duplicates []string                     `json:"duplicates"` // ids that arrived more than once, in no particular order
}

func (s *Server) endpointReport() EndpointReport {
	if s.endpoints == nil {
		return EndpointReport{}
	}
	return EndpointReport{VMs: s.endpoints.Stats(), Duplicates: s.endpoints.DuplicateArrivals()}
}

// Admin controls the faults and the VMs of a platform over HTTP. Its calls return the
// errors of writes; see Client.
type Admin struct {
	c *Client
}

// Admin returns the admin calls of the platform.
func (c *Client) Admin() Admin { return Admin{c} }

// SetFaults changes the fault switches of a service.
func (a Admin) SetFaults(ctx context.Context, f FaultSettings) error {
	_, err := write[empty](ctx, a.c, "/admin/faults", f)
	return err
}

// Partition cuts a caller off from all services, or reconnects it. While it is cut
// off, its calls wait until their timeout and have no effect.
func (a Admin) Partition(ctx context.Context, caller string, cut bool) error {
	return a.SetFaults(ctx, FaultSettings{Caller: caller, Service: ServiceAll, Hang: &cut})
}

// SetVM changes the state and faults of a VM.
func (a Admin) SetVM(ctx context.Context, v VMSettings) error {
	_, err := write[empty](ctx, a.c, "/admin/vm", v)
	return err
}

// SetList changes the lag of the VM list and the duration of reboots.
func (a Admin) SetList(ctx context.Context, l ListSettings) error {
	_, err := write[empty](ctx, a.c, "/admin/list", l)
	return err
}

// AddVMs adds VMs and entry VMs, and returns the VMs with the addresses of
// their endpoints. The state of an entry VM that exists already is changed.
func (a Admin) AddVMs(ctx context.Context, vms []fleet.VM, entries []backing.EntryVM) ([]fleet.VM, error) {
	resp, err := write[addVMsResponse](ctx, a.c, "/admin/vms", addVMsRequest{vms, entries})
	return resp.VMs, err
}
