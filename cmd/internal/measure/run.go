package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"amaranthfork.example/fleet"
)

// TuneSeeds are the seeds for tuning the policies. HoldoutSeeds are reserved
// for the final report.
var (
	TuneSeeds    = []uint64{1, 2, 3, 4, 5}
	HoldoutSeeds = []uint64{101, 102, 103, 104, 105}
)

// Result holds the measures of one policy on one seed.
type Result struct {
	Scenario          string         `json:"scenario"`
	Policy            string         `json:"policy"`
	Seed              uint64         `json:"seed"`
	HeldIdleVMHours   float64        `json:"heldIdleVMHours"`   // of idle VMs outside of the spare pool or leaving it
	HeldFreeVMHours   float64        `json:"heldFreeVMHours"`   // of free slots outside of the spare pool, 8 to a VM
	IdleVMHours       float64        `json:"idleVMHours"`       // of idle VMs in all pools
	RollOutSeconds    float64        `json:"rollOutSeconds"`    // duration of the maintenance wave
	WaveUnfinished    float64        `json:"waveUnfinished"`    // 1 if the wave was not complete at the end of the run
	Moves             float64        `json:"moves"`             // number of moves begun
	BelowSharePercent float64        `json:"belowSharePercent"` // slots that teams lack to their entitlements, of all slots, over spans of 10 s in which the fleet is full
	WorstTeamPercent  float64        `json:"worstTeamPercent"`  // largest fraction of its entitlement that a team lacks
	UndonePercent     float64        `json:"undonePercent"`     // fraction not done in time of the work offered from the loss of a data centre to the end of its ramp-up
	Delays            []Delay        `json:"delays"`
	Violations        int            `json:"violations"`
	ViolationsByRule  map[string]int `json:"broken,omitempty"` // number of violations by rule
	DecideMeanMillis  float64        `json:"decideMeanMillis"`
	DecideMaxMillis   float64        `json:"decideMaxMillis"`
}

// Delay is the start delay of a class in seconds.
type Delay struct {
	Class      fleet.Class `json:"class"`
	P50Seconds float64     `json:"p50"`
	P99Seconds float64     `json:"p99"`
}

// Options select the runs.
type Options struct {
	Users    []string
	Size     string
	Seeds    []uint64
	Policies []string // empty means all
	Parallel int      // runs at a time; 0 means 1
}

// Run runs every selected policy on every seed of every user and returns the
// results in the order of user, policy and seed. Unknown names and the end of
// ctx are errors.
func Run(ctx context.Context, o Options) ([]Result, error) {
	chosen, err := selectPolicies(o.Policies)
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, user := range o.Users {
		s, err := NewScenario(user, o.Size)
		if err != nil {
			return nil, err
		}
		ofScenario, err := runScenario(ctx, s, chosen, o)
		if err != nil {
			return nil, err
		}
		results = append(results, ofScenario...)
	}
	return results, nil
}

func selectPolicies(names []string) ([]*policy, error) {
	all := policies()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []*policy
	for _, name := range names {
		i := slices.IndexFunc(all, func(p *policy) bool { return p.name == name })
		if i < 0 {
			return nil, fmt.Errorf("policy %q does not exist", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

func runScenario(ctx context.Context, s *Scenario, chosen []*policy, o Options) ([]Result, error) {
	results := make([]Result, len(chosen)*len(o.Seeds))
	semaphore := make(chan struct{}, max(1, o.Parallel))
	var wait sync.WaitGroup
	for k, seed := range o.Seeds {
		d := generateDemand(s, seed)
		for i, p := range chosen {
			semaphore <- struct{}{}
			wait.Go(func() {
				defer func() { <-semaphore }()
				results[i*len(o.Seeds)+k] = runPolicy(ctx, s, d, p, seed)
			})
		}
	}
	wait.Wait()
	return results, ctx.Err()
}

func runPolicy(ctx context.Context, s *Scenario, d *demand, p *policy, seed uint64) Result {
	if p.pooled {
		s = asOnePool(s)
	}
	sim := newSimulation(s, d, p)
	for sim.nowTick < s.lengthTicks && ctx.Err() == nil {
		sim.step()
	}
	return sim.result(seed)
}

// result computes the result from the meter and the checker.
func (sim *simulation) result(seed uint64) Result {
	m := sim.meter
	r := Result{
		Scenario: sim.scenario.Name, Policy: sim.policy.name, Seed: seed,
		HeldIdleVMHours: secondsIn(float64(m.heldIdleVMTicks)) / 3600, HeldFreeVMHours: secondsIn(float64(m.heldFreeSlotTicks)) / 8 / 3600, IdleVMHours: secondsIn(float64(m.idleVMTicks)) / 3600,
		RollOutSeconds: secondsIn(float64(m.rollOutTicks)),
		Moves:          float64(m.moves),
		UndonePercent:  100 * (1 - float64(m.workDone)/float64(max(1, m.workOffered))),
		Violations:     sim.checker.total(), ViolationsByRule: sim.checker.violations,
		DecideMeanMillis: m.decisionTimes.Mean() / 1e6, DecideMaxMillis: float64(m.decisionTimes.Max()) / 1e6,
	}
	if m.rollOutTicks < 0 {
		r.RollOutSeconds = secondsIn(float64(sim.scenario.lengthTicks - sim.scenario.waveTick))
		r.WaveUnfinished = 1
	}
	if m.fullSlotTicks > 0 {
		r.BelowSharePercent = 100 * m.shortfall / m.fullSlotTicks
	}
	for i := range m.teamShortfall {
		if m.teamEntitled[i] > 0 {
			r.WorstTeamPercent = max(r.WorstTeamPercent, 100*m.teamShortfall[i]/m.teamEntitled[i])
		}
	}
	for c, h := range m.startDelays {
		r.Delays = append(r.Delays, Delay{
			Class:      classes[c].name,
			P50Seconds: secondsIn(float64(h.ValueAtQuantile(50))), P99Seconds: secondsIn(float64(h.ValueAtQuantile(99))),
		})
	}
	return r
}
