package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Cancellations of jobs that are not stored. Each leaves a tombstone in the table service, which
// stays for the time for which finished jobs stay known.
const (
	tombstonesPerSecond = 4   // of one workspace at one entry, on average
	maxTombstoneBurst   = 100 // of one workspace at one entry, at a time

	// cancelTries bounds how often a cancellation begins again because its job has been stored
	// in between. A job is stored once, so that a second try finds it.
	cancelTries = 3
)

// Cancellations without a known outcome are repeated after their callers were told so.
const (
	settleTimeout    = 10 * time.Second // longest time after the answer
	settlePause      = 500 * time.Millisecond
	maxUnsettled     = 256 // at the same time; further ones are not repeated
	settleTryTimeout = 2 * time.Second
)

var (
	// errCancelledFirst means that a job has a tombstone: it was cancelled before it was stored.
	errCancelledFirst = errors.New("job was cancelled before it was stored")
	// errStoredMeanwhile means that a job has been stored since it was looked for.
	errStoredMeanwhile = errors.New("job has been stored meanwhile")
)

// Cancel ends a job. It returns nil once the cancellation is stored; ErrNoJob once it is
// certain that the job does not exist and that no submission of the caller that was sent before
// will run; *NotRunError or ErrUnconfirmed. One that is unconfirmed is repeated for a while.
func (n *Node) Cancel(ctx context.Context, c Caller, id string) error {
	err := n.cancel(ctx, c, id)
	n.log.Info("cancel", zap.String("job", id), zap.String("queue", c.Queue.Name), zap.String("outcome", outcomeOf(err)))
	if errors.Is(err, ErrUnconfirmed) {
		n.settleCancel(c, id)
	}
	return err
}

func (n *Node) cancel(ctx context.Context, c Caller, id string) error {
	for range cancelTries {
		pool, _, err := n.callerJob(ctx, c, id)
		if errors.Is(err, ErrNoJob) {
			err = n.storeTombstone(ctx, c, id)
			if errors.Is(err, errStoredMeanwhile) {
				continue
			}
			return err
		}
		if err != nil {
			return err
		}
		return n.storeRequest(ctx, store.Txn{
			Conditions: []store.Condition{{Key: tables.CancelKey(pool, id)}},
			Puts:       []store.Put{{Key: tables.CancelKey(pool, id), Value: []byte{1}}},
		}, nil)
	}
	return &NotRunError{"job is being stored", refusalRetryAfter}
}

// storeTombstone keeps a job that is not stored from being stored: a submission of it may still
// be on its way to the table service. It returns ErrNoJob once the tombstone exists, or if the
// id belongs to a job that the caller may not access, beside which no other is stored;
// errStoredMeanwhile; *NotRunError or ErrUnconfirmed.
func (n *Node) storeTombstone(ctx context.Context, c Caller, id string) error {
	if err := n.takeTombstone(c.Workspace); err != nil {
		return err
	}
	q := c.Queue
	location, tombstone := tables.LocationKey(q.Host, q.Prefix, id), tombstoneKey(c, id)
	err := n.storeRequest(ctx, store.Txn{
		Conditions: []store.Condition{{Key: tombstone}, {Key: location}},
		Puts: []store.Put{
			{Key: tombstone, Value: []byte{1}},
			{Key: tables.TombstoneExpiryKey(q.Pool, tombstone), Value: []byte(tombstone.Name)},
		},
	}, func(row store.Row) error {
		if row.Key != location {
			return nil
		}
		stored, err := job.DecodeLocation(row.Value)
		if err != nil {
			n.log.Error("location_row_unreadable", zap.String("job", id), zap.Error(err))
			return ErrUnconfirmed
		}
		if !c.mayAccess(stored.Workspace) {
			return nil
		}
		return errStoredMeanwhile
	})
	if err == nil {
		return ErrNoJob
	}
	return err
}

// tombstoneKey returns the key of the tombstone that a caller may leave: it holds for the
// submissions of which the caller could cancel the job, see mayAccess.
func tombstoneKey(c Caller, id string) store.Key {
	if c.Queue.Open {
		return tables.CommonTombstoneKey(c.Queue.Host, c.Queue.Prefix, id)
	}
	return tables.TombstoneKey(c.Queue.Host, c.Queue.Prefix, id, c.Workspace)
}

// takeTombstone returns a *NotRunError if a workspace has left too many tombstones lately.
func (n *Node) takeTombstone(workspace string) error {
	now := time.Unix(0, int64(n.clock.Now().Steady))
	n.mu.Lock()
	limiter := n.tombstones[workspace]
	if limiter == nil {
		limiter = rate.NewLimiter(tombstonesPerSecond, maxTombstoneBurst)
		n.tombstones[workspace] = limiter
	}
	n.mu.Unlock()
	reservation := limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	n.metrics.add("refused_tombstones")
	return &NotRunError{"too many cancellations of jobs that do not exist", delay}
}

// submitCancelled stores a job that was cancelled first, as a cancelled one: a submission that
// arrives again is one job with those before.
func (n *Node) submitCancelled(ctx context.Context, q *catalog.Queue, spec *job.Spec, answerKnown func(store.Row) error) error {
	spec.Cancelled = true
	txn, err := submissionTxn(q, spec)
	if err != nil {
		return err
	}
	return n.storeRequest(ctx, txn, answerKnown)
}

// settleCancel repeats a cancellation without a known outcome until it has one, so that it
// holds although its caller does not ask again.
func (n *Node) settleCancel(c Caller, id string) {
	select {
	case n.unsettled <- struct{}{}:
	default:
		n.log.Info("cancel_not_repeated", zap.String("job", id), zap.Int("unsettled", maxUnsettled))
		return
	}
	n.spawn("cancellation of "+id, func() {
		defer func() { <-n.unsettled }()
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for {
			sleep(ctx, settlePause)
			tryCtx, cancelTry := context.WithTimeout(ctx, settleTryTimeout)
			err := n.cancel(tryCtx, c, id)
			cancelTry()
			if err == nil || errors.Is(err, ErrNoJob) || ctx.Err() != nil {
				n.log.Info("cancel_settled", zap.String("job", id), zap.String("outcome", outcomeOf(err)))
				return
			}
		}
	})
}
