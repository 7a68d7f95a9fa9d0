package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// Finding is a fault of a configuration, with its place.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// ApplyResult tells what became of a change.
type ApplyResult struct {
	Revision fleet.Revision
	InForce  time.Duration // from commit until in force everywhere
	Pending  bool          // committed, not yet confirmed to be in force everywhere
	Conflict bool          // another change was accepted; Revision is the newest
	Detail   string
	Findings []Finding // the change is faulty and was not committed
}

// Warning tells an operator of trouble ahead and what to do about it.
type Warning struct {
	Subject string `json:"subject"`
	Message string `json:"message"`
	Action  string `json:"action"`
}

// DataCentreStatus is the state of a data centre.
type DataCentreStatus struct {
	Name       fleet.DataCentreName  `json:"name"`
	State      fleet.DataCentreState `json:"state"`
	FreeSlots  int                   `json:"freeSlots"`
	TotalSlots int                   `json:"totalSlots"`
}

// Status is the state of the fleet as one entry sees it.
type Status struct {
	Revision       fleet.Revision     `json:"revision"`
	Fresh          bool               `json:"fresh"`
	StoreReachable bool               `json:"storeReachable"`
	Members        []MemberStatus     `json:"members"`
	DataCentres    []DataCentreStatus `json:"dataCentres"`
	Warnings       []Warning          `json:"warnings"`
}

// MemberStatus names one entry.
type MemberStatus struct {
	ID         string               `json:"id"`
	DataCentre fleet.DataCentreName `json:"dataCentre"`
	Address    string               `json:"address"`
}

// PoolStatus is the state of a pool.
type PoolStatus struct {
	Name        fleet.PoolName `json:"name"`
	Spare       bool           `json:"spare"`
	VMs         int            `json:"vms"`
	Unavailable int            `json:"unavailable"`
	Budget      int            `json:"budget"` // VMs that may be unavailable at a time
	FreeSlots   int            `json:"freeSlots"`
	TotalSlots  int            `json:"totalSlots"`
}

// TeamStatus is the state of a team.
type TeamStatus struct {
	Name    fleet.TeamName `json:"name"`
	Share   int            `json:"share"` // thousandths
	Limit   int            `json:"limit"`
	Running int            `json:"running"`
	Queued  int            `json:"queued"`
}

// MaintenanceStatus is the progress of maintenance.
type MaintenanceStatus struct {
	Paused       bool            `json:"paused"`
	Stopped      bool            `json:"stopped"` // nothing starts, for the reason in Detail
	Detail       string          `json:"detail,omitempty"`
	Due          int             `json:"due"`
	Done         int             `json:"done"`
	Failed       int             `json:"failed"`
	Waiting      map[string]int  `json:"waiting,omitempty"` // due VMs by the reason why they wait
	ProjectedEnd time.Time       `json:"projectedEnd"`      // zero while nothing may start
	VMs          []MaintenanceVM `json:"vms"`
}

// MaintenanceVM is a VM that is not in ordinary service.
type MaintenanceVM struct {
	VM         fleet.VMID           `json:"vm"`
	Pool       fleet.PoolName       `json:"pool"`
	DataCentre fleet.DataCentreName `json:"dataCentre"`
	State      string               `json:"state"`
}

// Operator carries out what operators ask for.
type Operator interface {
	// Folder returns the configuration in force.
	Folder() (fleet.Revision, config.Folder)
	// Validate returns the findings of a whole folder.
	Validate(folder config.Folder) []Finding
	// Apply returns once the change is in force everywhere, or a *fleet.Refusal
	// if it was not committed.
	Apply(ctx context.Context, change config.Change) (ApplyResult, error)
	Status(ctx context.Context) Status
	Pools(ctx context.Context) ([]PoolStatus, error)
	Teams(ctx context.Context) ([]TeamStatus, error)
	// Drain takes a VM out of service; it is refused when the availability
	// budget is spent.
	Drain(ctx context.Context, vm fleet.VMID) error
	Undrain(ctx context.Context, vm fleet.VMID) error
	Maintenance(ctx context.Context) (MaintenanceStatus, error)
	PauseMaintenance(ctx context.Context, paused bool) error
}

type applyBody struct {
	Revision     fleet.Revision `json:"revision"`
	InForceAfter int64          `json:"inForceAfterMS,omitempty"`
	Pending      bool           `json:"pending,omitempty"`
	Reason       string         `json:"reason,omitempty"`
	Detail       string         `json:"detail,omitempty"`
	Findings     []Finding      `json:"findings,omitempty"`
}

func (s *Server) configValidate(c *echo.Context) error {
	var change config.Change
	if err := decodeStrict(c, &change); err != nil {
		return err
	}
	folder := config.Folder{}
	for _, file := range change.Put {
		folder[file.Name] = file.Content
	}
	return c.JSON(http.StatusOK, applyBody{Findings: s.Operator.Validate(folder)})
}

func (s *Server) configGet(c *echo.Context) error {
	revision, folder := s.Operator.Folder()
	files := []config.File{}
	for name, content := range folder {
		files = append(files, config.File{Name: name, Content: content})
	}
	return c.JSON(http.StatusOK, map[string]any{"revision": revision, "files": files})
}

func (s *Server) configApply(c *echo.Context) error {
	var change config.Change
	if err := decodeStrict(c, &change); err != nil {
		return err
	}
	if change.ID == "" {
		return invalid("id: change id is missing")
	}
	result, err := s.Operator.Apply(c.Request().Context(), change)
	if err != nil {
		return err
	}
	body := applyBody{Revision: result.Revision, InForceAfter: result.InForce.Milliseconds(), Pending: result.Pending, Detail: result.Detail, Findings: result.Findings}
	switch {
	case len(result.Findings) > 0:
		return c.JSON(http.StatusUnprocessableEntity, body)
	case result.Conflict:
		body.Reason = "conflict"
		return c.JSON(http.StatusConflict, body)
	case result.Pending:
		return c.JSON(http.StatusAccepted, body)
	}
	return c.JSON(http.StatusOK, body)
}

func (s *Server) status(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.Operator.Status(c.Request().Context()))
}

func (s *Server) pools(c *echo.Context) error {
	list, err := s.Operator.Pools(c.Request().Context())
	if err != nil {
		return storeRefusal(err)
	}
	return c.JSON(http.StatusOK, map[string]any{"pools": list})
}

func (s *Server) teams(c *echo.Context) error {
	list, err := s.Operator.Teams(c.Request().Context())
	if err != nil {
		return storeRefusal(err)
	}
	return c.JSON(http.StatusOK, map[string]any{"teams": list})
}

func (s *Server) drain(c *echo.Context) error {
	return done(c, s.Operator.Drain(c.Request().Context(), fleet.VMID(c.Param("vm"))))
}

func (s *Server) undrain(c *echo.Context) error {
	return done(c, s.Operator.Undrain(c.Request().Context(), fleet.VMID(c.Param("vm"))))
}

func (s *Server) maintenance(c *echo.Context) error {
	progress, err := s.Operator.Maintenance(c.Request().Context())
	if err != nil {
		return storeRefusal(err)
	}
	return c.JSON(http.StatusOK, progress)
}

func (s *Server) maintenancePause(c *echo.Context) error {
	return done(c, s.Operator.PauseMaintenance(c.Request().Context(), true))
}

func (s *Server) maintenanceResume(c *echo.Context) error {
	return done(c, s.Operator.PauseMaintenance(c.Request().Context(), false))
}

func done(c *echo.Context, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]bool{"done": true})
}

// storeRefusal answers a failed read of the store.
func storeRefusal(err error) error {
	return &fleet.Refusal{Reason: fleet.ReasonStoreUnavailable, Detail: err.Error(), RetryAfter: time.Second}
}
