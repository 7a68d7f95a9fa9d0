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

// Services that FaultSettings names.
const (
	ServiceTable   = "table"
	ServiceObjects = "objects"
	ServiceWorkers = "workers"
	ServiceVMs     = "vms"
	ServiceVMList  = "vmlist"
	ServiceAll     = "all"
)

// FaultSettings sets switches of a service. Fields that are nil change nothing.
type FaultSettings struct {
	// Caller is the node whose path the switches apply to. They apply to all
	// nodes if it is empty.
	Caller      string                        `json:"caller,omitempty"`
	Service     string                        `json:"service"`
	Down        *bool                         `json:"down,omitempty"`        // calls fail at once
	Hang        *bool                         `json:"hang,omitempty"`        // calls get no answer and have no effect
	Latency     *Duration                     `json:"latency,omitempty"`     // of each call
	LoseAnswers *int                          `json:"loseAnswers,omitempty"` // next writes that take effect without an answer
	Cut         map[fleet.DataCentreName]bool `json:"cut,omitempty"`         // data centres whose workers are unreachable
	Rate        *RateSettings                 `json:"rate,omitempty"`
}

// RateSettings limits the rate of calls; 0 means no limit.
type RateSettings struct {
	WritesPerSecond float64  `json:"writesPerSecond"`
	ReadsPerSecond  float64  `json:"readsPerSecond"`
	QueueTime       Duration `json:"queueTime"` // longest wait of a call
}

// VMSettings sets the state and faults of a VM. Fields that are nil change
// nothing.
type VMSettings struct {
	VM          fleet.VMID     `json:"vm"`
	State       *fleet.VMState `json:"state,omitempty"`
	FailsAll    *bool          `json:"failsAll,omitempty"`    // every task fails at once
	Unreachable *bool          `json:"unreachable,omitempty"` // the worker does not answer
	NoReturn    *bool          `json:"noReturn,omitempty"`    // reboots do not end
}

// ListSettings sets the lag of the VM list and the time of reboots.
type ListSettings struct {
	Lag        *Duration `json:"lag,omitempty"`
	RebootTime *Duration `json:"rebootTime,omitempty"`
}

// Counts are the calls that reached the services of the platform.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
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
	routeSwitch(s, "/admin/faults", s.setFaults)
	routeSwitch(s, "/admin/vm", s.setVM)
	routeSwitch(s, "/admin/list", s.setList)
	s.echo.POST("/admin/vms", func(c *echo.Context) error { return answer(c, s.addVMs) })
	s.echo.GET("/admin/endpoints", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.endpointReport()) })
	s.echo.GET("/admin/starts", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.platform.StepStarts()) })
	s.echo.GET("/admin/counts", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.counts()) })
}

func routeSwitch[Req any](s *Server, path string, fn func(Req) error) {
	s.echo.POST(path, func(c *echo.Context) error {
		return answer(c, func(_ context.Context, req Req) (empty, error) { return empty{}, fn(req) })
	})
}

func services(p *memory.Path) map[string]*memory.Faults {
	return map[string]*memory.Faults{
		ServiceTable:   p.Table,
		ServiceObjects: p.Objects,
		ServiceWorkers: p.Workers,
		ServiceVMs:     p.VMs,
		ServiceVMList:  p.VMList,
	}
}

func (s *Server) setFaults(f FaultSettings) error {
	path := s.platform.Service
	if f.Caller != "" {
		path = s.Node(f.Caller).Path
	}
	known := services(path)
	if f.Service == ServiceAll {
		for _, faults := range known {
			f.apply(faults)
		}
		return nil
	}
	faults, ok := known[f.Service]
	if !ok {
		return fmt.Errorf("service %q does not exist", f.Service)
	}
	f.apply(faults)
	return nil
}

func (f FaultSettings) apply(to *memory.Faults) {
	set(f.Down, to.SetDown)
	set(f.Hang, to.SetHang)
	set(f.Latency, func(d Duration) { to.SetLatency(time.Duration(d)) })
	set(f.LoseAnswers, to.LoseAnswers)
	set(f.Rate, func(r RateSettings) {
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

// set calls fn if the value is present.
func set[T any](value *T, fn func(T)) {
	if value != nil {
		fn(*value)
	}
}

func (s *Server) setVM(v VMSettings) error {
	if _, ok := s.platform.VMState(v.VM); !ok {
		return fmt.Errorf("VM %q does not exist", v.VM)
	}
	var errs []error
	set(v.State, func(state fleet.VMState) { errs = append(errs, s.platform.SetVMState(v.VM, state)) })
	set(v.FailsAll, func(on bool) { errs = append(errs, s.platform.SetFailsAll(v.VM, on)) })
	set(v.Unreachable, func(on bool) { errs = append(errs, s.platform.SetUnreachable(v.VM, on)) })
	set(v.NoReturn, func(on bool) { errs = append(errs, s.platform.SetNoReturn(v.VM, on)) })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) setList(l ListSettings) error {
	set(l.Lag, func(d Duration) { s.platform.VMList.SetLag(time.Duration(d)) })
	set(l.RebootTime, func(d Duration) { s.platform.SetRebootTime(time.Duration(d)) })
	return nil
}

// LoadFleet adds the VMs and entry VMs of a JSON object in the form of a request
// to /admin/vms: {"vms": [...], "entries": [...]}.
func (s *Server) LoadFleet(r io.Reader) error {
	var req addVMsRequest
	if err := decodeJSON(r, &req); err != nil {
		return fmt.Errorf("decode fleet: %w", err)
	}
	_, err := s.addVMs(context.Background(), req)
	return err
}

// addVMs adds VMs and entry VMs, and opens the endpoint of each VM.
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
	for name, f := range services(s.platform.Service) {
		reads, writes := f.Counts()
		counts[name] = Counts{reads, writes, f.Refused()}
	}
	return counts
}

// EndpointReport tells what the endpoints have seen.
type EndpointReport struct {
	VMs        map[fleet.VMID]EndpointStats `json:"vms"`
	Duplicates []string                     `json:"duplicates"` // request ids that arrived more than once
}

func (s *Server) endpointReport() EndpointReport {
	if s.endpoints == nil {
		return EndpointReport{}
	}
	return EndpointReport{VMs: s.endpoints.Stats(), Duplicates: s.endpoints.DuplicateArrivals()}
}

// Admin sets the switches of a platform over HTTP.
type Admin struct {
	c *Client
}

// Admin returns the switches of the platform.
func (c *Client) Admin() Admin { return Admin{c} }

// SetFaults sets switches of a service.
func (a Admin) SetFaults(ctx context.Context, f FaultSettings) error {
	_, err := write[empty](ctx, a.c, "/admin/faults", f)
	return err
}

// Partition cuts a caller off from all services, whose calls then get no answer
// until their timeout, or heals the partition.
func (a Admin) Partition(ctx context.Context, caller string, cut bool) error {
	return a.SetFaults(ctx, FaultSettings{Caller: caller, Service: ServiceAll, Hang: &cut})
}

// SetVM sets the state and faults of a VM.
func (a Admin) SetVM(ctx context.Context, v VMSettings) error {
	_, err := write[empty](ctx, a.c, "/admin/vm", v)
	return err
}

// SetList sets the lag of the VM list and the time of reboots.
func (a Admin) SetList(ctx context.Context, l ListSettings) error {
	_, err := write[empty](ctx, a.c, "/admin/list", l)
	return err
}

// AddVMs adds VMs and entry VMs, and returns the VMs with the addresses of
// their endpoints. An entry VM that exists gets the given state.
func (a Admin) AddVMs(ctx context.Context, vms []fleet.VM, entries []backing.EntryVM) ([]fleet.VM, error) {
	resp, err := write[addVMsResponse](ctx, a.c, "/admin/vms", addVMsRequest{vms, entries})
	return resp.VMs, err
}
