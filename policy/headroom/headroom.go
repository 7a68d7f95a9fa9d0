// Package headroom warns operators of capacity problems before work is late.
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
	P99     time.Duration
	Samples int
}

// TeamDemand is what a team demands and has.
type TeamDemand struct {
	Team    fleet.TeamName
	Share   int     // thousandths of the fleet
	Limit   int     // tasks
	Running int     // tasks
	Demand  float64 // tasks that run or wait
}

// PoolLoad is the load of one pool.
type PoolLoad struct {
	Pool  fleet.PoolName
	Slots int     // of the VMs that serve
	Load  float64 // slots in demand, averaged over some seconds
}

// Domain is a failure domain: a rack or a data centre.
type Domain struct {
	Name  string
	Slots int // of its VMs that serve
}

// Snapshot is what the warnings are computed from.
type Snapshot struct {
	Now     time.Time
	Delays  []Delay
	Teams   []TeamDemand
	Pools   []PoolLoad
	Domains []Domain
	Slots   int     // of all VMs that serve
	Load    float64 // slots in demand in the whole fleet
}

// Kind classes warnings.
type Kind string

const (
	KindDelay    Kind = "start_delay"
	KindShare    Kind = "below_share"
	KindLimit    Kind = "at_limit"
	KindPool     Kind = "pool_load"
	KindHeadroom Kind = "headroom"
)

// Warning tells an operator what is about to go wrong and what to do.
type Warning struct {
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject"` // team, team and class, pool, or "fleet"
	Message string    `json:"message"`
	Action  string    `json:"action"`
	Since   time.Time `json:"since"` // when the condition was first seen
}

// Settings are the thresholds. A warning is raised above a threshold for the
// time Raise and is withdrawn below Clear times the threshold for the time Lower.
type Settings struct {
	Target     map[fleet.Class]time.Duration // start delay (p99) that a class should keep
	DelayPart  float64                       // part of the target at which a warning is due
	MinSamples int                           // delays with fewer samples are not judged
	SharePart  float64                       // part of its share below which a team with demand is warned of
	LimitPart  float64                       // part of its limit at which a team is warned of
	PoolPart   float64                       // load of a pool, as a part of its slots
	FleetPart  float64                       // load after loss of the largest domain, as a part of what remains
	Clear      float64
	Raise      time.Duration
	Lower      time.Duration
}

// DefaultSettings returns thresholds for the classes' usual targets.
func DefaultSettings() Settings {
	return Settings{
		Target: map[fleet.Class]time.Duration{
			fleet.ClassUrgent:   1700 * time.Millisecond,
			fleet.ClassStandard: 10 * time.Second,
			fleet.ClassBatch:    10 * time.Minute,
		},
		DelayPart: 0.7, MinSamples: 20,
		SharePart: 0.7, LimitPart: 0.9, PoolPart: 1, FleetPart: 0.9,
		Clear: 0.8,
		Raise: 10 * time.Second,
		Lower: 30 * time.Second,
	}
}

// signal is one measured condition; Severity 1 is its threshold.
type signal struct {
	warning  Warning
	severity float64
}

type key struct {
	kind    Kind
	subject string
}

// state is the hysteresis of one condition.
type state struct {
	raised bool
	since  time.Time // first time above the threshold
	below  time.Time // first time below the clearing level; zero while above
}

// Monitor turns snapshots into warnings that do not flap. It is not safe for
// concurrent use.
type Monitor struct {
	set    Settings
	states map[key]*state
}

// NewMonitor returns a Monitor without warnings.
func NewMonitor(set Settings) *Monitor {
	return &Monitor{set: set, states: make(map[key]*state)}
}

// Check returns the warnings in force after a snapshot, ordered by kind and
// subject. Snapshots must come in the order of their times.
func (m *Monitor) Check(s Snapshot) []Warning {
	var warnings []Warning
	seen := make(map[key]bool)
	for _, sig := range m.signals(s) {
		k := key{sig.warning.Kind, sig.warning.Subject}
		seen[k] = true
		if st := m.advance(k, sig.severity, s.Now); st != nil && st.raised {
			sig.warning.Since = st.since
			warnings = append(warnings, sig.warning)
		}
	}
	m.forget(seen)
	sort.Slice(warnings, func(i, j int) bool {
		a, b := warnings[i], warnings[j]
		return a.Kind < b.Kind || a.Kind == b.Kind && a.Subject < b.Subject
	})
	return warnings
}

// forget drops conditions whose subject no longer exists.
func (m *Monitor) forget(seen map[key]bool) {
	for k := range m.states {
		if !seen[k] {
			delete(m.states, k)
		}
	}
}

// advance applies the hysteresis to one condition.
func (m *Monitor) advance(k key, severity float64, now time.Time) *state {
	st := m.states[k]
	if st == nil {
		if severity < 1 {
			return nil
		}
		st = &state{since: now}
		m.states[k] = st
	}
	switch {
	case severity >= 1:
		st.below = time.Time{}
		st.raised = st.raised || now.Sub(st.since) >= m.set.Raise
	case !st.raised:
		delete(m.states, k)
		return nil
	case severity >= m.set.Clear:
		st.below = time.Time{}
	case st.below.IsZero():
		st.below = now
	case now.Sub(st.below) >= m.set.Lower:
		delete(m.states, k)
		return nil
	}
	return st
}

func (m *Monitor) signals(s Snapshot) []signal {
	signals := m.delays(s)
	signals = append(signals, m.teams(s)...)
	signals = append(signals, m.pools(s)...)
	return append(signals, m.fleet(s)...)
}

func (m *Monitor) delays(s Snapshot) []signal {
	var signals []signal
	for _, d := range s.Delays {
		target := m.set.Target[d.Class]
		if target <= 0 {
			continue
		}
		severity := d.P99.Seconds() / (target.Seconds() * m.set.DelayPart)
		if d.Samples < m.set.MinSamples {
			severity = 0
		}
		signals = append(signals, signal{severity: severity, warning: Warning{
			Kind:    KindDelay,
			Subject: fmt.Sprintf("%s/%s", d.Team, d.Class),
			Message: fmt.Sprintf("%s work of team %s starts after %s (p99); the target is %s",
				d.Class, d.Team, d.P99.Round(time.Millisecond), target),
			Action: fmt.Sprintf("add VMs to the pools of team %s, or lower the limits of teams above their share", d.Team),
		}})
	}
	return signals
}

// teams warns of teams that are below their share while they have demand and
// the fleet is full, and of teams that are near their limit.
func (m *Monitor) teams(s Snapshot) []signal {
	var signals []signal
	for _, t := range s.Teams {
		signals = append(signals, m.share(s, t), m.limit(t))
	}
	return signals
}

func (m *Monitor) share(s Snapshot, t TeamDemand) signal {
	entitled := min(t.Demand, float64(t.Share)/1000*float64(s.Slots))
	severity := 0.0
	if s.Load >= float64(s.Slots) && entitled > 0 {
		severity = m.set.SharePart * entitled / max(0.5, float64(t.Running))
	}
	return signal{severity: severity, warning: Warning{
		Kind:    KindShare,
		Subject: string(t.Team),
		Message: fmt.Sprintf("team %s runs %d tasks; its share is %.0f while the fleet is full", t.Team, t.Running, entitled),
		Action:  fmt.Sprintf("move VMs to the pools of team %s, or lower the limits of the teams above their share", t.Team),
	}}
}

func (m *Monitor) limit(t TeamDemand) signal {
	severity := 0.0
	if t.Limit > 0 && t.Demand > float64(t.Limit) {
		severity = float64(t.Running) / (float64(t.Limit) * m.set.LimitPart)
	}
	return signal{severity: severity, warning: Warning{
		Kind:    KindLimit,
		Subject: string(t.Team),
		Message: fmt.Sprintf("team %s runs %d tasks of its limit of %d and asks for %.0f", t.Team, t.Running, t.Limit, t.Demand),
		Action:  fmt.Sprintf("raise the limit of team %s, or ask the team to spread its work", t.Team),
	}}
}

func (m *Monitor) pools(s Snapshot) []signal {
	var signals []signal
	for _, p := range s.Pools {
		severity := p.Load / (max(1, float64(p.Slots)) * m.set.PoolPart)
		signals = append(signals, signal{severity: severity, warning: Warning{
			Kind:    KindPool,
			Subject: string(p.Pool),
			Message: fmt.Sprintf("pool %s has demand for %.0f slots and has %d", p.Pool, p.Load, p.Slots),
			Action:  fmt.Sprintf("add VMs to pool %s or to the spare pool", p.Pool),
		}})
	}
	return signals
}

// fleet warns when the demand would not fit after the loss of the largest
// failure domain.
func (m *Monitor) fleet(s Snapshot) []signal {
	largest, ok := largestDomain(s.Domains)
	if !ok {
		return nil
	}
	left := s.Slots - largest.Slots
	severity := s.Load / (max(1, float64(left)) * m.set.FleetPart)
	return []signal{{severity: severity, warning: Warning{
		Kind:    KindHeadroom,
		Subject: "fleet",
		Message: fmt.Sprintf("demand for %.0f slots would not fit into the %d that remain after the loss of %s", s.Load, left, largest.Name),
		Action:  "add VMs outside " + largest.Name + ", or postpone batch work",
	}}}
}

// largestDomain returns the domain with most slots, the first by name of equals.
func largestDomain(domains []Domain) (Domain, bool) {
	var largest Domain
	for _, d := range domains {
		if d.Slots > largest.Slots || d.Slots == largest.Slots && d.Name < largest.Name {
			largest = d
		}
	}
	return largest, largest.Slots > 0
}
