package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"amaranthfork.example/fleet"
)

// Seeds of the tuning rounds and those kept aside for the final report.
var (
	TuneSeeds    = []uint64{1, 2, 3, 4, 5}
	HoldoutSeeds = []uint64{101, 102, 103, 104, 105}
)

// Result holds the measures of one policy on one seed.
type Result struct {
	Scenario   string         `json:"scenario"`
	Policy     string         `json:"policy"`
	Seed       uint64         `json:"seed"`
	HeldIdle   float64        `json:"heldIdleVMHours"`   // idle VMs in pools other than the spare
	HeldFree   float64        `json:"heldFreeVMHours"`   // free slots in pools other than the spare, 8 to a VM
	Idle       float64        `json:"idleVMHours"`       // idle VMs in all pools
	RollOut    float64        `json:"rollOutSeconds"`    // of the maintenance wave
	Unfinished float64        `json:"waveUnfinished"`    // 1 when the wave had not ended with the run
	Moves      float64        `json:"moves"`             // begun
	BelowShare float64        `json:"belowSharePercent"` // slots that teams lack to their entitlement, of all slots, over 10 s, while the fleet is full
	WorstTeam  float64        `json:"worstTeamPercent"`  // part of its entitlement that the worst-off team lacks
	Undone     float64        `json:"undonePercent"`     // work offered while a data centre left and returned that was not done by its end
	Delay      []Delay        `json:"delays"`
	Violations int            `json:"violations"`
	Broken     map[string]int `json:"broken,omitempty"` // violations by rule
	DecideMean float64        `json:"decideMeanMillis"`
	DecideMax  float64        `json:"decideMaxMillis"`
}

// Delay is the start delay of a class in seconds.
type Delay struct {
	Class fleet.Class `json:"class"`
	P50   float64     `json:"p50"`
	P99   float64     `json:"p99"`
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
// results in that order of user, policy and seed.
func Run(ctx context.Context, o Options) ([]Result, error) {
	chosen, err := choose(o.Policies)
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, user := range o.Users {
		s, err := NewScenario(user, o.Size)
		if err != nil {
			return nil, err
		}
		part, err := runScenario(ctx, s, chosen, o)
		if err != nil {
			return nil, err
		}
		results = append(results, part...)
	}
	return results, nil
}

func choose(names []string) ([]*policy, error) {
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
	turns := make(chan struct{}, max(1, o.Parallel))
	var wait sync.WaitGroup
	for k, seed := range o.Seeds {
		d := generate(s, seed)
		for i, p := range chosen {
			turns <- struct{}{}
			wait.Go(func() {
				defer func() { <-turns }()
				results[i*len(o.Seeds)+k] = runOne(ctx, s, d, p, seed)
			})
		}
	}
	wait.Wait()
	return results, ctx.Err()
}

func runOne(ctx context.Context, s *Scenario, d *demand, p *policy, seed uint64) Result {
	if p.pooled {
		s = asOnePool(s)
	}
	w := newWorld(s, d, p)
	for w.now < s.length && ctx.Err() == nil {
		w.step()
	}
	return w.result(seed)
}

func (w *world) result(seed uint64) Result {
	m := w.m
	r := Result{
		Scenario: w.s.Name, Policy: w.p.name, Seed: seed,
		HeldIdle: secondsOf(float64(m.held)) / 3600, HeldFree: secondsOf(float64(m.free)) / 8 / 3600, Idle: secondsOf(float64(m.idle)) / 3600,
		RollOut:    secondsOf(float64(m.rollOut)),
		Moves:      float64(m.moves),
		Undone:     100 * (1 - float64(m.work)/float64(max(1, m.offered))),
		Violations: w.check.total(), Broken: w.check.violations,
		DecideMean: m.decide.Mean() / 1e6, DecideMax: float64(m.decide.Max()) / 1e6,
	}
	if m.rollOut < 0 {
		r.RollOut = secondsOf(float64(w.s.length - w.s.wave))
		r.Unfinished = 1
	}
	if m.full > 0 {
		r.BelowShare = 100 * m.below / m.full
	}
	for i := range m.worst {
		if m.entitled[i] > 0 {
			r.WorstTeam = max(r.WorstTeam, 100*m.worst[i]/m.entitled[i])
		}
	}
	for c, h := range m.delays {
		r.Delay = append(r.Delay, Delay{
			Class: classes[c].name,
			P50:   secondsOf(float64(h.ValueAtQuantile(50))), P99: secondsOf(float64(h.ValueAtQuantile(99))),
		})
	}
	return r
}
