// Package headroom computes warnings that tell operators of a lack of capacity
// before work starts late. It does no I/O: the caller collects the snapshots and
// publishes the warnings.
package headroom

import (
	"fmt"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// Delay is the observed start delay of one team and class.
type Delay struct {
	Team    fleet.TeamName
	Class   fleet.Class
	P99     time.Duration // 99th percentile
	Samples int           // number of starts behind P99
}

// TeamDemand describes the demand, the running tasks and the limits of a team.
type TeamDemand struct {
	Team    fleet.TeamName
	Share   int     // in thousandths of the fleet
	Limit   int     // upper limit of Running; 0 means no limit
	Running int     // running tasks
	Demand  float64 // running and waiting tasks
}

// PoolLoad is the load of one pool.
type PoolLoad struct {
	Pool  fleet.PoolName
	Slots int     // slots of the VMs that serve
	Load  float64 // demand in slots, averaged over some seconds
}

// Domain is a failure domain: a rack or a data centre.
type Domain struct {
	Name  string
	Slots int // slots of its VMs that serve
}

// Snapshot is the observed state from which the warnings are computed.
type Snapshot struct {
	Now     time.Time
	Delays  []Delay
	Teams   []TeamDemand
	Pools   []PoolLoad
	Domains []Domain
	Slots   int     // slots of all VMs that serve
	Load    float64 // demand of the whole fleet in slots
}

// Kind is the kind of a warning.
type Kind string

const (
	KindDelay    Kind = "start_delay" // tasks start late
	KindShare    Kind = "below_share" // a team gets less than its share
	KindLimit    Kind = "at_limit"    // a team is at its limit
	KindPool     Kind = "pool_load"   // the demand exceeds a pool
	KindHeadroom Kind = "headroom"    // the demand would exceed the fleet after the loss of a failure domain
)

// Warning describes a lack of capacity and what an operator can do about it.
type Warning struct {
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject"` // team, team/class, pool, or "fleet"
	Message string    `json:"message"`
	Action  string    `json:"action"`
	Since   time.Time `json:"since"` // when the condition was first seen
}

// Settings are the thresholds of the warnings. A warning is raised when its
// threshold has been reached for RaiseAfter. It is withdrawn when the value has
// been below ClearFraction of the threshold for WithdrawAfter.
type Settings struct {
	Target        map[fleet.Class]time.Duration // p99 start delay that a class should not exceed; a class without one is not checked
	DelayFraction float64                       // threshold of the start delay, as a fraction of Target
	MinSamples    int                           // start delays with fewer samples are ignored
	ShareFraction float64                       // threshold of a team's running tasks, as a fraction of its share; the warning is for fewer
	LimitFraction float64                       // threshold of a team's running tasks, as a fraction of its limit
	PoolFraction  float64                       // threshold of the load of a pool, as a fraction of its slots
	FleetFraction float64                       // threshold of the load, as a fraction of the slots that remain after the loss of the largest domain
	ClearFraction float64                       // fraction of a threshold below which its warning may be withdrawn
	RaiseAfter    time.Duration
	WithdrawAfter time.Duration
}

// DefaultSettings returns settings with the usual targets of the classes.
func DefaultSettings() Settings {
	return Settings{
		Target: map[fleet.Class]time.Duration{
			fleet.ClassUrgent:   1700 * time.Millisecond,
			fleet.ClassStandard: 10 * time.Second,
			fleet.ClassBatch:    10 * time.Minute,
		},
		DelayFraction: 0.7, MinSamples: 20,
		ShareFraction: 0.7, LimitFraction: 0.9, PoolFraction: 1, FleetFraction: 0.9,
		ClearFraction: 0.8,
		RaiseAfter:    10 * time.Second,
		WithdrawAfter: 30 * time.Second,
	}
}

// condition is the value of one warning's condition; it is at its threshold at
// severity 1.
type condition struct {
	warning  Warning
	severity float64
}

type conditionKey struct {
	kind    Kind
	subject string
}

// hysteresis is the state of one condition, which keeps its warning from being raised
// and withdrawn repeatedly.
type hysteresis struct {
	raised bool
	since  time.Time // first time at or above the threshold
	below  time.Time // first time below ClearFraction of the threshold; zero while not below
}

// Monitor computes warnings from successive snapshots, with hysteresis. It is not
// safe for concurrent use.
type Monitor struct {
	settings Settings
	states   map[conditionKey]*hysteresis
}

// NewMonitor returns a Monitor without warnings.
func NewMonitor(settings Settings) *Monitor {
	return &Monitor{settings: settings, states: make(map[conditionKey]*hysteresis)}
}

// Check returns the warnings that are in force after a snapshot, ordered by kind and
// subject. Snapshots must be passed in the order of their times.
func (m *Monitor) Check(s Snapshot) []Warning {
	var warnings []Warning
	seen := make(map[conditionKey]bool)
	for _, c := range m.conditions(s) {
		k := conditionKey{c.warning.Kind, c.warning.Subject}
		seen[k] = true
		if st := m.applyHysteresis(k, c.severity, s.Now); st != nil && st.raised {
			c.warning.Since = st.since
			warnings = append(warnings, c.warning)
		}
	}
	m.dropUnseen(seen)
	sort.Slice(warnings, func(i, j int) bool {
		a, b := warnings[i], warnings[j]
		return a.Kind < b.Kind || a.Kind == b.Kind && a.Subject < b.Subject
	})
	return warnings
}

// dropUnseen drops conditions whose subject no longer exists.
func (m *Monitor) dropUnseen(seen map[conditionKey]bool) {
	for k := range m.states {
		if !seen[k] {
			delete(m.states, k)
		}
	}
}

// applyHysteresis updates the state of one condition. It returns nil if the condition
// is neither raised nor at its threshold.
func (m *Monitor) applyHysteresis(k conditionKey, severity float64, now time.Time) *hysteresis {
	st := m.states[k]
	if st == nil {
		if severity < 1 {
			return nil
		}
		st = &hysteresis{since: now}
		m.states[k] = st
	}
	switch {
	case severity >= 1:
		st.below = time.Time{}
		st.raised = st.raised || now.Sub(st.since) >= m.settings.RaiseAfter
	case !st.raised:
		delete(m.states, k)
		return nil
	case severity >= m.settings.ClearFraction:
		st.below = time.Time{}
	case st.below.IsZero():
		st.below = now
	case now.Sub(st.below) >= m.settings.WithdrawAfter:
		delete(m.states, k)
		return nil
	}
	return st
}

func (m *Monitor) conditions(s Snapshot) []condition {
	conditions := m.delays(s)
	conditions = append(conditions, m.teams(s)...)
	conditions = append(conditions, m.pools(s)...)
	return append(conditions, m.fleet(s)...)
}

// delays warns of teams and classes whose start delay comes near the target.
func (m *Monitor) delays(s Snapshot) []condition {
	var conditions []condition
	for _, d := range s.Delays {
		target := m.settings.Target[d.Class]
		if target <= 0 {
			continue
		}
		severity := d.P99.Seconds() / (target.Seconds() * m.settings.DelayFraction)
		if d.Samples < m.settings.MinSamples {
			severity = 0
		}
		conditions = append(conditions, condition{severity: severity, warning: Warning{
			Kind:    KindDelay,
			Subject: fmt.Sprintf("%s/%s", d.Team, d.Class),
			Message: fmt.Sprintf("%s work of team %s starts after %s (p99); the target is %s",
				d.Class, d.Team, d.P99.Round(time.Millisecond), target),
			Action: fmt.Sprintf("add VMs to the pools of team %s, or lower the limits of teams above their share", d.Team),
		}})
	}
	return conditions
}

// teams warns of teams that run less than their share while they have demand and
// the fleet is full, and of teams that are near their limit and have more demand.
func (m *Monitor) teams(s Snapshot) []condition {
	var conditions []condition
	for _, t := range s.Teams {
		conditions = append(conditions, m.share(s, t), m.limit(t))
	}
	return conditions
}

func (m *Monitor) share(s Snapshot, t TeamDemand) condition {
	entitled := min(t.Demand, float64(t.Share)/1000*float64(s.Slots))
	severity := 0.0
	if s.Load >= float64(s.Slots) && entitled > 0 {
		severity = m.settings.ShareFraction * entitled / max(0.5, float64(t.Running))
	}
	return condition{severity: severity, warning: Warning{
		Kind:    KindShare,
		Subject: string(t.Team),
		Message: fmt.Sprintf("team %s runs %d tasks; its share is %.0f while the fleet is full", t.Team, t.Running, entitled),
		Action:  fmt.Sprintf("move VMs to the pools of team %s, or lower the limits of the teams above their share", t.Team),
	}}
}

func (m *Monitor) limit(t TeamDemand) condition {
	severity := 0.0
	if t.Limit > 0 && t.Demand > float64(t.Limit) {
		severity = float64(t.Running) / (float64(t.Limit) * m.settings.LimitFraction)
	}
	return condition{severity: severity, warning: Warning{
		Kind:    KindLimit,
		Subject: string(t.Team),
		Message: fmt.Sprintf("team %s runs %d tasks of its limit of %d and asks for %.0f", t.Team, t.Running, t.Limit, t.Demand),
		Action:  fmt.Sprintf("raise the limit of team %s, or ask the team to spread its work", t.Team),
	}}
}

// pools warns of pools whose demand exceeds their slots.
func (m *Monitor) pools(s Snapshot) []condition {
	var conditions []condition
	for _, p := range s.Pools {
		severity := p.Load / (max(1, float64(p.Slots)) * m.settings.PoolFraction)
		conditions = append(conditions, condition{severity: severity, warning: Warning{
			Kind:    KindPool,
			Subject: string(p.Pool),
			Message: fmt.Sprintf("pool %s has demand for %.0f slots and has %d", p.Pool, p.Load, p.Slots),
			Action:  fmt.Sprintf("add VMs to pool %s or to the spare pool", p.Pool),
		}})
	}
	return conditions
}

// fleet warns when the demand would not fit into the slots that remain after the
// loss of the largest failure domain.
func (m *Monitor) fleet(s Snapshot) []condition {
	largest, ok := largestDomain(s.Domains)
	if !ok {
		return nil
	}
	remaining := s.Slots - largest.Slots
	severity := s.Load / (max(1, float64(remaining)) * m.settings.FleetFraction)
	return []condition{{severity: severity, warning: Warning{
		Kind:    KindHeadroom,
		Subject: "fleet",
		Message: fmt.Sprintf("demand for %.0f slots would not fit into the %d that remain after the loss of %s", s.Load, remaining, largest.Name),
		Action:  "add VMs outside " + largest.Name + ", or postpone batch work",
	}}}
}

// largestDomain returns the domain with most slots, of equal ones the first by name,
// and false if no domain has slots.
func largestDomain(domains []Domain) (Domain, bool) {
	var largest Domain
	for _, d := range domains {
		if d.Slots > largest.Slots || d.Slots == largest.Slots && d.Name < largest.Name {
			largest = d
		}
	}
	return largest, largest.Slots > 0
}
