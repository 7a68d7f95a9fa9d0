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

// checkpointRetryAfter is the time after which a checkpoint is requested again if the
// task still counts as running. It is longer than the lag of the workers' reports.
const checkpointRetryAfter = 10 * time.Second

// checkpointExcess checkpoints and stops running tasks of teams whose limit was
// lowered below the number of their running tasks. The tasks continue from their
// checkpoints when the team is below its limit again.
func (p *plane) checkpointExcess(ctx context.Context) error {
	snapshot := p.view.Snapshot()
	if snapshot == nil {
		return nil
	}
	now := p.entry.options.Clock.Now()
	for attempt, requestedAt := range p.checkpointRequested {
		if now.Sub(requestedAt) > checkpointRetryAfter {
			delete(p.checkpointRequested, attempt)
		}
	}
	var errs error
	for team := range snapshot.Teams {
		if excess := p.limits.Excess(team); excess > 0 {
			errs = errors.Join(errs, p.checkpointTeam(ctx, team, excess, now))
		}
	}
	return errs
}

// checkpointTeam requests checkpoints of up to excess running tasks of a team, except
// those for which one was requested within checkpointRetryAfter.
func (p *plane) checkpointTeam(ctx context.Context, team fleet.TeamName, excess int, now time.Time) error {
	var errs error
	for _, a := range p.jobs.Preemptible(team, excess) {
		if _, requested := p.checkpointRequested[a.Attempt]; requested {
			continue
		}
		p.checkpointRequested[a.Attempt] = now
		err := p.slots.Checkpoint(ctx, a.VM, a.Attempt)
		if err != nil && !errors.Is(err, backing.ErrNotFound) {
			errs = errors.Join(errs, fmt.Errorf("checkpoint %s on %s: %w", a.Attempt, a.VM, err))
			continue
		}
		p.entry.metrics.Add("checkpoints_over_limit", 1)
		p.entry.options.Log.Info("task_over_limit", zap.String("team", string(team)), zap.String("attempt", string(a.Attempt)))
	}
	return errs
}
