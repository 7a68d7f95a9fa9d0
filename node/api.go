package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Limits of callers' requests.
const (
	// defaultMaxViewAge is the age at which the view of the operators'
	// declarations is too old to act on, unless the settings give another.
	defaultMaxViewAge = 3 * time.Second
	// readyAgeFraction is the fraction of that age from which Ready reports
	// false, so that this entry gets no new connections. At 3 s this leaves time
	// for more than two feed calls of 1 s.
	readyAgeFraction = 0.9
	// submitTimeout bounds the time until a request to store something is
	// answered. It is half of what callers usually wait.
	submitTimeout = 1400 * time.Millisecond
	// statusTimeout bounds the reads for a status request.
	statusTimeout = 1200 * time.Millisecond
	// readyIdleLimit is the time without an answer of the table service after which a
	// readiness check asks it.
	readyIdleLimit = 600 * time.Millisecond
	// refusalRetryAfter is the time after which a caller may try again if the
	// table service has failed or the view is too old.
	refusalRetryAfter = time.Second
)

// NotRunError is the error of a request that certainly had no effect.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration // when the caller may try again
}

// Error implements error.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// Errors of requests.
var (
	// ErrUnconfirmed means that the request is unconfirmed: it may take effect.
	ErrUnconfirmed = errors.New("outcome is not known yet")
	// ErrNoQueue means that no queue matches the request.
	ErrNoQueue = errors.New("no such queue")
	// ErrNoJob means that no such job exists.
	ErrNoJob = errors.New("no such job")
	// ErrIDInUse means that the job was not stored and never runs: its id belongs to a job
	// that the caller may not access, or to one of another queue of the pool.
	ErrIDInUse = errors.New("id is in use by another job")
	// ErrTooLarge means that the description of a job is too large to be stored.
	ErrTooLarge = errors.New("job description is too large")
	// ErrUnauthorized means that the key is not in force.
	ErrUnauthorized = errors.New("key is not in force")
)

// Caller is the queue and the workspace of an authorized request, with the
// declarations by which it was judged.
type Caller struct {
	Queue          *catalog.Queue
	Workspace      string        // empty on open queues if the request has no key
	PathSuffix     string        // path after the queue's prefix
	CatalogVersion int64         // 0 if no declarations have been read yet
	ViewAge        time.Duration // since the declarations were last proved to be current
}

// Admit finds the queue of a request and checks its key. The error is
// *NotRunError, ErrNoQueue or ErrUnauthorized; CatalogVersion and ViewAge are set
// with each error too.
func (n *Node) Admit(host, path, key string) (Caller, error) {
	view, _ := n.operator.Get()
	if view.Catalog == nil {
		return Caller{}, &NotRunError{"no declarations have been read yet", refusalRetryAfter}
	}
	c := Caller{CatalogVersion: view.Catalog.Version, ViewAge: n.clock.Now().Steady - view.CurrentAt}
	if c.ViewAge > n.maxViewAge() {
		n.metrics.add("refused_stale_view")
		return c, &NotRunError{fmt.Sprintf("declarations were last confirmed %d ms ago", c.ViewAge.Milliseconds()), refusalRetryAfter}
	}
	c.Queue, c.PathSuffix = view.Catalog.Match(host, path)
	if c.Queue == nil {
		return c, ErrNoQueue
	}
	if w := view.Catalog.Authorize(key); w != nil {
		c.Workspace = w.Name
	} else if !c.Queue.Open || key != "" { // a key that was withdrawn opens nothing
		n.metrics.add("refused_key")
		return c, ErrUnauthorized
	}
	return c, nil
}

func (n *Node) maxViewAge() time.Duration {
	if n.settings.MaxViewAge > 0 {
		return n.settings.MaxViewAge
	}
	return defaultMaxViewAge
}

// Limits returns the limits on requests that the operators declare. What they do not declare
// is 0, but for the size of a body, for which there is a default.
func (n *Node) Limits() catalog.Limits {
	var limits catalog.Limits
	if view, _ := n.operator.Get(); view.Catalog != nil {
		limits = view.Catalog.Limits
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	return limits
}

// defaultBodyBytes is the limit while none is declared.
const defaultBodyBytes = 256 << 10

// Submit stores a job. It returns nil once the job is stored, also if it was
// stored before; *NotRunError if this request will certainly not store it; ErrIDInUse;
// ErrTooLarge; or ErrUnconfirmed.
func (n *Node) Submit(ctx context.Context, c Caller, spec *job.Spec) error {
	began := n.clock.Now()
	spec.Queue = c.Queue.Name
	spec.Workspace = c.Workspace
	spec.AcceptedMS = began.Wall
	spec.Terms = termsOf(c.Queue)
	txn, err := submissionTxn(c.Queue, spec)
	if err != nil {
		return err
	}
	if err := txn.Check(n.settings.Scheduler.MaxRowBytes()); err != nil {
		n.log.Info("submit", zap.String("job", spec.ID), zap.String("queue", c.Queue.Name), zap.String("outcome", ErrTooLarge.Error()), zap.Error(err))
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	answerKnown := func(row store.Row) error { return n.answerKnown(c, spec.ID, row) }
	err = n.storeRequest(ctx, txn, answerKnown)
	if errors.Is(err, errCancelledFirst) {
		err = n.submitCancelled(ctx, c.Queue, spec, answerKnown)
	}
	took := n.clock.Now().Steady - began.Steady
	n.metrics.observe(metricSubmit, c.Queue.Name, took)
	n.log.Info("submit", zap.String("job", spec.ID), zap.String("queue", c.Queue.Name), zap.String("pool", c.Queue.Pool),
		zap.String("workspace", c.Workspace), zap.String("outcome", outcomeOf(err)), zap.Duration("took", took))
	return err
}

// owns reports whether a job that was accepted for a workspace belongs to the caller. A job
// that was accepted without a key has no workspace, and belongs to every caller of its queue.
func (c *Caller) owns(workspace string) bool { return workspace == "" || workspace == c.Workspace }

// mayAccess reports whether the caller may see and cancel a job of its queue that was accepted
// for a workspace. The job keeps its workspace; whether the queue is open follows the newest
// declarations.
func (c *Caller) mayAccess(workspace string) bool { return c.Queue.Open || c.owns(workspace) }

// locate returns the pool that holds a job of the caller's queue, and the job's state. The
// error is ErrNoJob if no pool holds it, or *NotRunError if a read failed. A job of another
// workspace is found too; see mayAccess.
func (n *Node) locate(ctx context.Context, c Caller, id string) (string, job.StateView, error) {
	q := c.Queue
	// The progress in the queue's current pool answers most requests with one read.
	state, err := n.recordedState(ctx, q.Pool, id)
	if err != nil && !errors.Is(err, ErrNoJob) {
		return q.Pool, state, err
	}
	recorded := err == nil
	if recorded && (isAt(state, q) || state.Address == "" && c.owns(state.Workspace)) {
		return q.Pool, state, nil
	}
	// A job that is recorded may be one of another queue with the same id.
	location, err := readDecoded(ctx, n, tables.LocationKey(q.Host, q.Prefix, id), job.DecodeLocation)
	if errors.Is(err, ErrNoJob) {
		return n.locateByProgress(ctx, c, id)
	}
	if err != nil {
		return "", job.StateView{}, err
	}
	if location.Pool != q.Pool {
		state, err = n.recordedState(ctx, location.Pool, id)
		if err != nil && !errors.Is(err, ErrNoJob) {
			return location.Pool, state, err
		}
		recorded = err == nil
	}
	if recorded && (isAt(state, q) || state.Address == "") {
		return location.Pool, state, nil
	}
	// The pool's owner has not recorded the job's progress yet.
	return location.Pool, job.StateView{State: job.Queued, Workspace: location.Workspace}, nil
}

// isAt reports whether a recorded job was submitted at the address of a queue.
func isAt(state job.StateView, q *catalog.Queue) bool {
	return state.Address == tables.Address(q.Host, q.Prefix)
}

// locateByProgress searches all pools for a job without a location at the queue's address: an
// earlier build has accepted it, or the address of the queue has changed since. Its results
// are those of locate.
func (n *Node) locateByProgress(ctx context.Context, c Caller, id string) (string, job.StateView, error) {
	view, _ := n.operator.Get()
	for _, pool := range view.Catalog.PoolNames() {
		state, err := n.recordedState(ctx, pool, id)
		if errors.Is(err, ErrNoJob) {
			continue
		}
		if err != nil || state.Address == "" && c.owns(state.Workspace) {
			return pool, state, err
		}
		if !c.mayAccess(state.Workspace) {
			n.logHidden(c, id, "progress", pool, state.Workspace)
			continue
		}
		// The job may be one of another queue.
		accepted, err := n.acceptedAt(ctx, c.Queue, pool, id)
		if err != nil || accepted {
			return pool, state, err
		}
	}
	return "", job.StateView{}, ErrNoJob
}

// acceptedAt reports whether the job with the given id in a pool was accepted at a queue of
// the given one's name. The error is *NotRunError if a read failed.
func (n *Node) acceptedAt(ctx context.Context, q *catalog.Queue, pool, id string) (bool, error) {
	for _, key := range tables.JobKeys(pool, id) {
		spec, err := readDecoded(ctx, n, key, job.DecodeSpec)
		if errors.Is(err, ErrNoJob) {
			continue
		}
		return err == nil && spec.Queue == q.Name, err
	}
	return false, nil
}

// logHidden logs that a job is not shown to a caller of another workspace. source is the
// row that names the job's workspace.
func (n *Node) logHidden(c Caller, id, source, pool, workspace string) {
	n.log.Info("job_hidden", zap.String("job", id), zap.String("queue", c.Queue.Name), zap.Bool("open", c.Queue.Open), zap.String("pool", pool),
		zap.String("row", source), zap.String("job_workspace", workspace), zap.String("caller_workspace", c.Workspace),
		zap.Int64("catalog_version", c.CatalogVersion), zap.Duration("view_age", c.ViewAge))
}

// recordedState returns the state of a job as the owner of a pool has recorded it. The
// errors are those of locate.
func (n *Node) recordedState(ctx context.Context, pool, id string) (job.StateView, error) {
	return readDecoded(ctx, n, tables.ProgressKey(pool, id), job.DecodeState)
}

// readDecoded reads a row about a job and decodes it. The error is ErrNoJob if the row
// does not exist, or *NotRunError.
func readDecoded[T any](ctx context.Context, n *Node, key store.Key, decode func([]byte) (T, error)) (T, error) {
	var decoded T
	row, ok, err := n.getRow(ctx, key)
	if err != nil {
		return decoded, &NotRunError{"table service does not answer", refusalRetryAfter}
	}
	if !ok {
		return decoded, ErrNoJob
	}
	if decoded, err = decode(row.Value); err != nil {
		return decoded, &NotRunError{err.Error(), refusalRetryAfter}
	}
	return decoded, nil
}

// callerJob returns the pool that holds a job, and the job's state. Jobs that the caller may
// not access are not found.
func (n *Node) callerJob(ctx context.Context, c Caller, id string) (string, job.StateView, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	pool, view, err := n.locate(ctx, c, id)
	if err != nil {
		return "", job.StateView{}, err
	}
	if !c.mayAccess(view.Workspace) {
		n.logHidden(c, id, "location", pool, view.Workspace)
		return "", view, ErrNoJob
	}
	return pool, view, nil
}

// termsOf returns the declarations of a queue that its jobs keep.
func termsOf(q *catalog.Queue) *job.QueueTerms {
	terms := &job.QueueTerms{Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target}
	if a := q.Advice; a != nil {
		terms.Advice = &job.AdviceTerms{CallTime: a.CallTime, TimePerVM: a.TimePerVM, Validity: a.Validity}
	}
	return terms
}

// submissionTxn returns the transaction that stores a job in the pool of its queue, on the
// condition that no pool holds it, that the pool holds no job of another queue with the
// same id, since workers know tasks by the id, and that the job was not cancelled first. A job
// with Spec.Cancelled is stored with its cancellation.
func submissionTxn(q *catalog.Queue, spec *job.Spec) (store.Txn, error) {
	location, request := tables.LocationKey(q.Host, q.Prefix, spec.ID), tables.JobKey(q.Pool, spec.ID)
	spec.Location = location.Name
	value, err := job.EncodeSpec(spec)
	if err != nil {
		return store.Txn{}, err
	}
	locationValue, err := job.EncodeLocation(job.Location{Pool: q.Pool, Workspace: spec.Workspace})
	if err != nil {
		return store.Txn{}, err
	}
	txn := store.Txn{
		Conditions: []store.Condition{{Key: location}, {Key: request}},
		Puts:       []store.Put{{Key: location, Value: locationValue}, {Key: request, Value: value}},
	}
	if spec.Cancelled {
		// Owners of earlier builds do not know Spec.Cancelled.
		txn.Puts = append(txn.Puts, store.Put{Key: tables.CancelKey(q.Pool, spec.ID), Value: []byte{1}})
		return txn, nil
	}
	txn.Conditions = append(txn.Conditions, store.Condition{Key: tables.CommonTombstoneKey(q.Host, q.Prefix, spec.ID)},
		store.Condition{Key: tables.TombstoneKey(q.Host, q.Prefix, spec.ID, spec.Workspace)})
	return txn, nil
}

// answerKnown returns the answer to a submission whose id is stored, given the first of the
// job's rows that exists: its location, the request of a job that was submitted elsewhere, or
// a tombstone, for which the error is errCancelledFirst.
func (n *Node) answerKnown(c Caller, id string, row store.Row) error {
	if tables.IsTombstone(row.Key) {
		return errCancelledFirst
	}
	if row.Table != tables.Jobs {
		spec, err := job.DecodeSpec(row.Value)
		if err != nil {
			n.log.Error("job_row_unreadable", zap.String("job", id), zap.Error(err))
			return ErrUnconfirmed
		}
		if spec.Queue != c.Queue.Name {
			n.log.Info("id_in_use", zap.String("job", id), zap.String("queue", c.Queue.Name), zap.String("job_queue", spec.Queue))
			return ErrIDInUse
		}
		return n.answerAccess(c, id, "request", spec.Workspace)
	}
	location, err := job.DecodeLocation(row.Value)
	if err != nil {
		n.log.Error("location_row_unreadable", zap.String("job", id), zap.Error(err))
		return ErrUnconfirmed
	}
	return n.answerAccess(c, id, "location", location.Workspace)
}

// answerAccess returns the answer to a repeated submission of a job that was accepted for a
// workspace. source is the row that names it.
func (n *Node) answerAccess(c Caller, id, source, workspace string) error {
	if c.mayAccess(workspace) {
		return nil
	}
	n.logHidden(c, id, source, c.Queue.Pool, workspace)
	return ErrIDInUse
}

// storeRequest stores a caller's request in the partition of its condition. Its
// results are those of writeBatcher.submit.
func (n *Node) storeRequest(ctx context.Context, txn store.Txn, answerKnown func(store.Row) error) error {
	partition := txn.Conditions[0].Key.Partition
	n.mu.Lock()
	b := n.batchers[partition]
	if b == nil {
		b = &writeBatcher{store: n.store}
		n.batchers[partition] = b
	}
	n.mu.Unlock()
	return b.submit(ctx, txn, answerKnown)
}

func outcomeOf(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// Status returns a job's state. The error is ErrNoJob, or *NotRunError if the
// state cannot be read now.
func (n *Node) Status(ctx context.Context, c Caller, id string) (job.State, error) {
	began := n.clock.Now().Steady
	_, view, err := n.callerJob(ctx, c, id)
	n.metrics.observe(metricStatus, c.Queue.Name, n.clock.Now().Steady-began)
	if err != nil {
		n.log.Info("status_not_read", zap.String("job", id), zap.String("queue", c.Queue.Name), zap.Error(err))
	}
	return view.State, err
}

// getRow reads a row, and tries a second time after a failure.
func (n *Node) getRow(ctx context.Context, key store.Key) (store.Row, bool, error) {
	if !n.store.path.await(ctx) {
		return store.Row{}, false, errPathLost()
	}
	tryCtx, cancel := context.WithTimeout(ctx, n.store.CommitTimeout(0))
	row, ok, err := store.Get(tryCtx, n.store, key)
	cancel()
	if err == nil || ctx.Err() != nil {
		return row, ok, err
	}
	if !n.store.path.await(ctx) {
		return row, ok, err
	}
	return store.Get(ctx, n.store, key)
}

// Waiting returns how many jobs of a queue have not started any task. The error
// is *NotRunError if the number cannot be read now.
func (n *Node) Waiting(ctx context.Context, c Caller) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	row, ok, err := n.getRow(ctx, tables.QueueKey(c.Queue.Pool, c.Queue.Name))
	if err != nil {
		return 0, &NotRunError{"table service does not answer", refusalRetryAfter}
	}
	waiting, err := n.waitingElsewhere(ctx, c.Queue.Name, c.Queue.Pool)
	if err != nil {
		return 0, &NotRunError{"table service does not answer", refusalRetryAfter}
	}
	if !ok {
		return waiting, nil
	}
	status, err := job.DecodeQueueStatus(row.Value)
	return waiting + status.Waiting, err
}

// Ready reports whether this entry can take requests now.
// It makes a call to the table service if none was answered for a while.
func (n *Node) Ready() bool {
	n.store.path.check(readyIdleLimit)
	view, _ := n.operator.Get()
	return !n.stopping.Load() && !n.store.path.isLost() && view.Catalog != nil && n.clock.Now().Steady-view.CurrentAt < time.Duration(readyAgeFraction*float64(n.maxViewAge()))
}
