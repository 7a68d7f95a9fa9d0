package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// Finding is a problem of a configuration, with its position.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// ApplyResult is the outcome of a change to the configuration.
type ApplyResult struct {
	Revision     fleet.Revision
	InForceAfter time.Duration // from the start of applying until the revision was in force on all entries
	Pending      bool          // committed, but not yet confirmed to be in force on all entries
	Conflict     bool          // not committed, because another change was; Revision is that of the other change
	Detail       string
	Findings     []Finding // if any, the change is invalid and was not committed
}

// Warning describes a condition that needs an operator, and the recommended action.
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
	Revision       fleet.Revision     `json:"revision"`       // of the configuration in force
	Fresh          bool               `json:"fresh"`          // the configuration is known to be current
	StoreReachable bool               `json:"storeReachable"` // the table service answers this entry
	Members        []MemberStatus     `json:"members"`
	DataCentres    []DataCentreStatus `json:"dataCentres"`
	Warnings       []Warning          `json:"warnings"`
}

// MemberStatus describes an entry that is a member of the fleet.
type MemberStatus struct {
	ID         string               `json:"id"`
	DataCentre fleet.DataCentreName `json:"dataCentre"`
	Address    string               `json:"address"` // host:port for other entries
}

// PoolStatus is the state of a pool over all data centres.
type PoolStatus struct {
	Name        fleet.PoolName `json:"name"`
	Spare       bool           `json:"spare"`
	VMs         int            `json:"vms"`
	Unavailable int            `json:"unavailable"` // VMs that use the availability budget
	Budget      int            `json:"budget"`      // VMs that planned actions may make unavailable at a time
	FreeSlots   int            `json:"freeSlots"`
	TotalSlots  int            `json:"totalSlots"`
}

// TeamStatus is the state of a team over all entries.
type TeamStatus struct {
	Name             fleet.TeamName `json:"name"`
	ShareThousandths int            `json:"share"` // of the fleet that the team is entitled to
	Limit            int            `json:"limit"` // of running tasks
	Running          int            `json:"running"`
	Queued           int            `json:"queued"`
}

// MaintenanceStatus is the progress of maintenance. Counts are VMs.
type MaintenanceStatus struct {
	Paused       bool            `json:"paused"`  // by an operator
	Stopped      bool            `json:"stopped"` // no maintenance starts, for the reason in Detail
	Detail       string          `json:"detail,omitempty"`
	Due          int             `json:"due"`
	Done         int             `json:"done"`
	Failed       int             `json:"failed"`
	Waiting      map[string]int  `json:"waiting,omitempty"` // due VMs by the reason why they wait
	ProjectedEnd time.Time       `json:"projectedEnd"`      // zero while no maintenance may start
	VMs          []MaintenanceVM `json:"vms"`
}

// MaintenanceVM is a VM that maintenance or an operator has taken out of service.
type MaintenanceVM struct {
	VM         fleet.VMID           `json:"vm"`
	Pool       fleet.PoolName       `json:"pool"`
	DataCentre fleet.DataCentreName `json:"dataCentre"`
	State      string               `json:"state"`
}

// Operator implements the requests of operators.
type Operator interface {
	// Folder returns the configuration in force.
	Folder() (fleet.Revision, config.Folder)
	// Validate returns the findings of a complete folder.
	Validate(folder config.Folder) []Finding
	// Apply applies a change and waits until it is in force on all entries. It
	// returns a *fleet.Refusal if the change was certainly not committed.
	Apply(ctx context.Context, change config.Change) (ApplyResult, error)
	// Status returns the state of the fleet as this entry sees it.
	Status(ctx context.Context) Status
	// Pools returns the state of all pools, or an error of the table service.
	Pools(ctx context.Context) ([]PoolStatus, error)
	// Teams returns the state of all teams, or an error if no configuration is known.
	Teams(ctx context.Context) ([]TeamStatus, error)
	// Drain takes a VM out of service. It returns a *fleet.Refusal if the
	// availability budget of its pool does not allow it.
	Drain(ctx context.Context, vm fleet.VMID) error
	// Undrain returns a drained VM to service.
	Undrain(ctx context.Context, vm fleet.VMID) error
	// Maintenance returns the progress of maintenance, or an error of the table service.
	Maintenance(ctx context.Context) (MaintenanceStatus, error)
	// PauseMaintenance pauses maintenance if paused is true and resumes it otherwise.
	PauseMaintenance(ctx context.Context, paused bool) error
}

// applyBody is the response to a validation or an application of a change.
type applyBody struct {
	Revision       fleet.Revision `json:"revision"`
	InForceAfterMS int64          `json:"inForceAfterMS,omitempty"`
	Pending        bool           `json:"pending,omitempty"`
	Reason         string         `json:"reason,omitempty"`
	Detail         string         `json:"detail,omitempty"`
	Findings       []Finding      `json:"findings,omitempty"`
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
	body := applyBody{Revision: result.Revision, InForceAfterMS: result.InForceAfter.Milliseconds(), Pending: result.Pending, Detail: result.Detail, Findings: result.Findings}
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
	return writeDone(c, s.Operator.Drain(c.Request().Context(), fleet.VMID(c.Param("vm"))))
}

func (s *Server) undrain(c *echo.Context) error {
	return writeDone(c, s.Operator.Undrain(c.Request().Context(), fleet.VMID(c.Param("vm"))))
}

func (s *Server) maintenance(c *echo.Context) error {
	progress, err := s.Operator.Maintenance(c.Request().Context())
	if err != nil {
		return storeRefusal(err)
	}
	return c.JSON(http.StatusOK, progress)
}

func (s *Server) maintenancePause(c *echo.Context) error {
	return writeDone(c, s.Operator.PauseMaintenance(c.Request().Context(), true))
}

func (s *Server) maintenanceResume(c *echo.Context) error {
	return writeDone(c, s.Operator.PauseMaintenance(c.Request().Context(), false))
}

func writeDone(c *echo.Context, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]bool{"done": true})
}

// storeRefusal converts a failed read of the table service to a refusal; the request
// has changed nothing.
func storeRefusal(err error) error {
	return &fleet.Refusal{Reason: fleet.ReasonStoreUnavailable, Detail: err.Error(), RetryAfter: time.Second}
}
