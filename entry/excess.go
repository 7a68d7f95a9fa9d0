package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// checkpointAgain is the time after which a checkpoint is asked for again when
// the task still runs; workers report with a lag.
const checkpointAgain = 10 * time.Second

// shedExcess checkpoints running tasks of teams whose limit was lowered below
// what they have running. The tasks go on from their checkpoints once the team
// is below its limit again.
func (p *plane) shedExcess(ctx context.Context) error {
	snapshot := p.view.Snapshot()
	if snapshot == nil {
		return nil
	}
	now := p.entry.o.Clock.Now()
	for attempt, at := range p.asked {
		if now.Sub(at) > checkpointAgain {
			delete(p.asked, attempt)
		}
	}
	var faults error
	for team := range snapshot.Teams {
		if excess := p.limits.Excess(team); excess > 0 {
			faults = errors.Join(faults, p.shed(ctx, team, excess, now))
		}
	}
	return faults
}

func (p *plane) shed(ctx context.Context, team fleet.TeamName, excess int, now time.Time) error {
	var faults error
	for _, a := range p.jobs.Preemptible(team, excess) {
		if _, asked := p.asked[a.Attempt]; asked {
			continue
		}
		p.asked[a.Attempt] = now
		err := p.slots.Checkpoint(ctx, a.VM, a.Attempt)
		if err != nil && !errors.Is(err, backing.ErrNotFound) {
			faults = errors.Join(faults, fmt.Errorf("checkpoint %s on %s: %w", a.Attempt, a.VM, err))
			continue
		}
		p.entry.metrics.Add("checkpoints_over_limit", 1)
		p.entry.o.Log.Info("task_over_limit", zap.String("team", string(team)), zap.String("attempt", string(a.Attempt)))
	}
	return faults
}
