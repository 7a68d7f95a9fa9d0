// Package apply coordinates changes of the configuration: it commits a change to
// the table service, sends it to all members and reports it as accepted once no
// entry can act on a lower revision any more.
package apply

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control/member"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/view"
	"amaranthfork.example/fleet"
)

const (
	// StepInterval is the interval between two rounds of notices to the members
	// that have not confirmed a change.
	StepInterval = 250 * time.Millisecond
	// DefaultMaxWait is the time after which Apply answers that a committed
	// change is pending.
	DefaultMaxWait = 10 * time.Second
	// maxCommitAttempts bounds the commits of one Begin. A change of the member
	// list or a lost answer costs one attempt.
	maxCommitAttempts = 8
	// maxChangeIDBytes is the largest length of a change id. It is bounded because
	// every entry reads the id of the latest change twice a second, in the head
	// row.
	maxChangeIDBytes = 128
	// callTimeout bounds each call to the platform, and is the unit of the
	// timeouts of calls to peers.
	callTimeout = 400 * time.Millisecond
)

// ConflictError means that a change was refused because its base is not the
// newest committed revision.
type ConflictError struct {
	Base         fleet.Revision // of the refused change
	HeadRevision fleet.Revision // the newest committed revision
	ChangeID     string         // id of the change that created HeadRevision, if known
}

// Error returns a text with both revisions and the id of the committed change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d (change %q) has been committed", e.Base, e.HeadRevision, e.ChangeID)
}

// InvalidError means that a change was refused because it, or the folder with it,
// is invalid.
type InvalidError struct{ Findings error }

// Error returns the findings.
func (e *InvalidError) Error() string { return e.Findings.Error() }

// Unwrap returns the findings.
func (e *InvalidError) Unwrap() error { return e.Findings }

// Errors of Begin, apart from ConflictError, InvalidError and those of the
// platform.
var (
	// ErrNoCoordinator means that each member that may coordinate changes was
	// unreachable or did not accept this one.
	ErrNoCoordinator = errors.New("no member that may coordinate changes was reached")
	// ErrStopping means that Stop was called, so this entry coordinates no more
	// changes.
	ErrStopping = errors.New("this entry is stopping")
)

// Result is the state of a committed change.
type Result struct {
	Revision fleet.Revision `cbor:"1,keyasint" json:"revision"`
	// Accepted is set once no entry can act on a lower revision. Until then the
	// change is pending: it is committed and will come into force.
	Accepted bool `cbor:"2,keyasint" json:"accepted"`
	// Took is the time from the call of Begin until the acceptance, or until now
	// while the change is pending, on the coordinator's clock.
	Took time.Duration `cbor:"3,keyasint" json:"took"`
	// Waiting lists the ids of the members that have not confirmed the revision.
	// If the change is accepted, their evidence has expired.
	Waiting []string `cbor:"4,keyasint,omitempty" json:"waiting,omitempty"`
}

// Members is the part of the membership that the coordinator uses.
type Members interface {
	view.Members
	// MayCoordinate reports whether this member may coordinate changes.
	MayCoordinate() bool
	// Refresh reads the member list from the store.
	Refresh(ctx context.Context) (member.List, error)
	// KnownVersions returns the version of the member list that each member had at
	// its last renewal, by member id.
	KnownVersions(ctx context.Context) (map[string]uint64, error)
}

// Options are the dependencies and settings of a Coordinator.
type Options struct {
	View    *view.View
	Members Members
	Table   backing.Table
	Caller  rpc.Caller
	Clock   fleet.Clock
	Builder view.Builder
	MaxWait time.Duration // 0 means DefaultMaxWait
}

// Coordinator applies changes. Its methods are safe for concurrent use.
type Coordinator struct {
	options Options

	mu         sync.Mutex
	stopping   bool
	operations map[string]*Operation // begun on behalf of other entries, by change id
}

// New returns a Coordinator.
func New(o Options) *Coordinator {
	if o.MaxWait == 0 {
		o.MaxWait = DefaultMaxWait
	}
	return &Coordinator{options: o, operations: map[string]*Operation{}}
}

// Stop makes this entry refuse to coordinate further changes. It must be called
// before the entry sends its Goodbye and ends its session.
func (c *Coordinator) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// Apply applies a change. It returns when the change is accepted, after MaxWait
// or when ctx is done; in the last two cases the change is committed and the
// result has Accepted unset. A repeated call with the same change id, at any
// entry, returns the same revision. After backing.ErrUnconfirmed the change may
// have been committed; a repeated call with the same change id resolves this.
func (c *Coordinator) Apply(ctx context.Context, change config.Change) (Result, error) {
	op, err := c.Begin(ctx, change)
	if err != nil {
		return Result{}, err
	}
	defer op.Close()
	deadline := time.NewTimer(c.options.MaxWait)
	defer deadline.Stop()
	ticker := time.NewTicker(StepInterval)
	defer ticker.Stop()
	for {
		result, err := op.Step(ctx)
		if err != nil || result.Accepted {
			return result, err
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return result, nil
		case <-ctx.Done():
			return result, nil
		}
	}
}

// Begin commits a change unless it has been committed before. If this entry may
// not coordinate changes, a member that may does it. The caller must close the
// returned operation.
func (c *Coordinator) Begin(ctx context.Context, change config.Change) (*Operation, error) {
	if change.ID == "" || len(change.ID) > maxChangeIDBytes {
		return nil, &InvalidError{Findings: fmt.Errorf("the change id has %d bytes, want 1 to %d", len(change.ID), maxChangeIDBytes)}
	}
	if !c.options.Members.MayCoordinate() {
		return c.forward(ctx, change)
	}
	return c.begin(ctx, change)
}

// begin is Begin for an entry that may coordinate changes.
func (c *Coordinator) begin(ctx context.Context, change config.Change) (*Operation, error) {
	c.mu.Lock()
	stopping := c.stopping
	c.mu.Unlock()
	if stopping {
		return nil, ErrStopping
	}
	op := &Operation{
		coordinator:     c,
		change:          change,
		started:         c.options.Clock.Now(),
		session:         c.options.Members.Session(),
		endCoordinating: c.options.View.MarkCoordinating(),
		confirmed:       map[string]bool{},
	}
	if err := op.commit(ctx); err != nil {
		op.Close()
		return nil, err
	}
	return op, nil
}

// commit makes the change the newest revision, unless it has been committed
// before.
func (op *Operation) commit(ctx context.Context) error {
	var lastErr error
	for range maxCommitAttempts {
		list, head, err := op.readListAndHead(ctx)
		if err != nil {
			return errors.Join(err, lastErr)
		}
		// The id is looked up after the head was read. In the other order, an earlier
		// attempt of this change could be committed in between and look like the
		// winner of a conflict.
		revision, err := op.lookupRevision(ctx)
		if err != nil {
			return errors.Join(err, lastErr)
		}
		if revision > head.Revision {
			lastErr = backing.ErrConflict // committed since the head was read
			continue
		}
		if revision > 0 {
			op.setCommitted(revision, list)
			return nil
		}
		if head.Revision != op.change.Base {
			return &ConflictError{Base: op.change.Base, HeadRevision: head.Revision, ChangeID: head.ChangeID}
		}
		lastErr = op.commitOn(ctx, list, head)
		if lastErr == nil {
			op.setCommitted(head.Revision+1, list)
			return nil
		}
		if !errors.Is(lastErr, backing.ErrConflict) && !errors.Is(lastErr, backing.ErrUnconfirmed) {
			return lastErr
		}
		// The next attempt reads whether a commit without an answer took effect,
		// or which condition of a refused one failed.
	}
	return fmt.Errorf("commit change %s: %w", op.change.ID, lastErr)
}

// readListAndHead reads the member list and the head, and checks that this
// entry's session is valid and may coordinate changes.
func (op *Operation) readListAndHead(ctx context.Context) (member.List, view.Head, error) {
	list, err := op.coordinator.options.Members.Refresh(ctx)
	if err != nil {
		return list, view.Head{}, err
	}
	e, ok := list.Find(op.coordinator.options.Members.Self().ID)
	if !ok || e.SettledVersion == 0 {
		return list, view.Head{}, member.ErrFenced
	}
	if err := op.coordinator.options.Members.Valid(); err != nil {
		return list, view.Head{}, err
	}
	head, err := op.coordinator.options.View.ReadHead(ctx)
	return list, head, err
}

// lookupRevision returns the revision that the change created, or 0 if it has not
// been committed.
func (op *Operation) lookupRevision(ctx context.Context) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := op.coordinator.options.Table.Get(ctx, view.ChangeIDKey(op.change.ID))
	if err != nil || row.Version == 0 {
		return 0, err
	}
	var revision fleet.Revision
	if err := cbor.Unmarshal(row.Value, &revision); err != nil {
		return 0, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return revision, nil
}

// commitOn commits the change on top of a head. The commit is conditional on
// the version of the member list, so that the coordinator waits for exactly the
// members at the time of the commit.
func (op *Operation) commitOn(ctx context.Context, list member.List, head view.Head) error {
	folder, revision := op.coordinator.options.View.Folder()
	if revision != head.Revision {
		return backing.ErrConflict // the view got a newer revision from a peer
	}
	if err := op.validate(folder, head.Revision+1); err != nil {
		return err
	}
	headValue, err := head.Next(op.change.ID, op.coordinator.options.Members.Self().ID).Encode()
	if err != nil {
		return err
	}
	changeValue, err := cbor.Marshal(op.change)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	revisionValue, err := cbor.Marshal(head.Revision + 1)
	if err != nil {
		return fmt.Errorf("encode revision: %w", err)
	}
	changeKey, idKey := view.ChangeKey(head.Revision+1), view.ChangeIDKey(op.change.ID)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = op.coordinator.options.Table.Commit(ctx, backing.Txn{
		ID: "apply/" + op.change.ID,
		Conditions: []backing.Condition{
			{Key: view.HeadKey, Version: head.RowVersion},
			{Key: changeKey},
			{Key: idKey},
			list.Condition(), // also fails if this session has been fenced
		},
		Writes: []backing.Write{{Key: changeKey, Value: changeValue}, {Key: idKey, Value: revisionValue}, {Key: view.HeadKey, Value: headValue}},
	})
	if err != nil {
		return member.CommitError(err)
	}
	return op.coordinator.options.View.Install(head.Revision+1, op.change)
}

// validate returns an InvalidError if the folder with the change is invalid.
func (op *Operation) validate(folder config.Folder, revision fleet.Revision) error {
	if _, err := op.coordinator.options.Builder.Build(view.Patch(folder, op.change), revision); err != nil {
		return &InvalidError{Findings: err}
	}
	return nil
}
