// Package apply coordinates changes of the configuration: it commits a change,
// spreads it to all members and reports it as accepted once no entry can act on
// an older revision any more.
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
	// StepEvery is the time between two rounds of notices to members that have
	// not confirmed a change.
	StepEvery = 250 * time.Millisecond
	// DefaultMaxWait is the time after which Apply answers that a committed
	// change is pending.
	DefaultMaxWait = 10 * time.Second
	// commitAttempts bounds the commits of one Begin. An attempt is lost by a
	// change of the member list or by a lost answer.
	commitAttempts = 8
	// maxID is the length of a change id in bytes. Every entry reads the last one
	// twice a second with the head row.
	maxID = 128
	// callTimeout bounds each call of the platform or of a peer.
	callTimeout = 400 * time.Millisecond
)

// ConflictError tells the loser of a race which revision has won.
type ConflictError struct {
	Base   fleet.Revision // of the refused change
	Winner fleet.Revision // of the head
	Change string         // id of the change that made the head, if known
}

// Error returns both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d (change %q) has been committed", e.Base, e.Winner, e.Change)
}

// InvalidError holds the findings of a folder that was refused.
type InvalidError struct{ Findings error }

// Error returns the findings.
func (e *InvalidError) Error() string { return e.Findings.Error() }

// Unwrap returns the findings.
func (e *InvalidError) Unwrap() error { return e.Findings }

// Errors of Begin besides ConflictError, InvalidError and those of the platform.
var (
	// ErrNoCoordinator means that no member that may coordinate was reached.
	ErrNoCoordinator = errors.New("no member that may coordinate changes was reached")
	// ErrStopping means that this entry leaves and coordinates nothing any more.
	ErrStopping = errors.New("this entry is stopping")
)

// Result is the answer to an apply.
type Result struct {
	Revision fleet.Revision `cbor:"1,keyasint" json:"revision"`
	// Accepted is set once no entry can act on a lower revision. Until then the
	// change is pending: it is committed and will be in force.
	Accepted bool `cbor:"2,keyasint" json:"accepted"`
	// Took is the time since Begin was called, by the coordinator's clock.
	Took time.Duration `cbor:"3,keyasint" json:"took"`
	// Waiting names the members that have not confirmed the revision. For an
	// accepted change their evidence has ended.
	Waiting []string `cbor:"4,keyasint,omitempty" json:"waiting,omitempty"`
}

// Members is what the coordinator needs of the membership.
type Members interface {
	view.Members
	MayCoordinate() bool
	Refresh(ctx context.Context) (member.List, error)
	Known(ctx context.Context) (map[string]uint64, error)
}

// Options configure a Coordinator.
type Options struct {
	View    *view.View
	Members Members
	Table   backing.Table
	Caller  rpc.Caller
	Clock   fleet.Clock
	Builder view.Builder
	MaxWait time.Duration // 0 means DefaultMaxWait
}

// Coordinator applies changes. It is safe for concurrent use.
type Coordinator struct {
	o Options

	mu       sync.Mutex
	stopping bool
	running  map[string]*Operation // by change id
}

// New returns a coordinator.
func New(o Options) *Coordinator {
	if o.MaxWait == 0 {
		o.MaxWait = DefaultMaxWait
	}
	return &Coordinator{o: o, running: map[string]*Operation{}}
}

// Stop makes this entry refuse to coordinate. It is called before the goodbye
// and the end of the session.
func (c *Coordinator) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// Apply applies a change and returns when it is accepted or MaxWait or ctx ends.
// A second call with the same change id, at any entry, returns the same revision.
// After backing.ErrUnknown the change may have been committed; repeating the
// call with the same change id tells.
func (c *Coordinator) Apply(ctx context.Context, change config.Change) (Result, error) {
	op, err := c.Begin(ctx, change)
	if err != nil {
		return Result{}, err
	}
	defer op.Close()
	deadline := time.NewTimer(c.o.MaxWait)
	defer deadline.Stop()
	ticker := time.NewTicker(StepEvery)
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

// Begin commits a change, or finds it committed, here or at a member that may
// coordinate. The returned operation must be closed.
func (c *Coordinator) Begin(ctx context.Context, change config.Change) (*Operation, error) {
	if change.ID == "" || len(change.ID) > maxID {
		return nil, &InvalidError{Findings: fmt.Errorf("the change id has %d bytes, want 1 to %d", len(change.ID), maxID)}
	}
	if !c.o.Members.MayCoordinate() {
		return c.forward(ctx, change)
	}
	return c.begin(ctx, change)
}

func (c *Coordinator) begin(ctx context.Context, change config.Change) (*Operation, error) {
	c.mu.Lock()
	stopping := c.stopping
	c.mu.Unlock()
	if stopping {
		return nil, ErrStopping
	}
	op := &Operation{
		c:         c,
		change:    change,
		started:   c.o.Clock.Now(),
		session:   c.o.Members.Session(),
		end:       c.o.View.Coordinate(),
		confirmed: map[string]bool{},
	}
	if err := op.commit(ctx); err != nil {
		op.Close()
		return nil, err
	}
	return op, nil
}

// commit brings the change into the head row.
func (o *Operation) commit(ctx context.Context) error {
	var last error
	for range commitAttempts {
		list, head, err := o.read(ctx)
		if err != nil {
			return errors.Join(err, last)
		}
		// The id is looked up after the head was read, so that the own change
		// never counts as the winner of a race.
		revision, err := o.lookup(ctx)
		if err != nil {
			return errors.Join(err, last)
		}
		if revision > head.Revision {
			last = backing.ErrConflict // committed since the head was read
			continue
		}
		if revision > 0 {
			o.committed(revision, list)
			return nil
		}
		if head.Revision != o.change.Base {
			return &ConflictError{Base: o.change.Base, Winner: head.Revision, Change: head.Change}
		}
		last = o.write(ctx, list, head)
		if last == nil {
			o.committed(head.Revision+1, list)
			return nil
		}
		if !errors.Is(last, backing.ErrConflict) && !errors.Is(last, backing.ErrUnknown) {
			return last
		}
		// Reading back tells whether a commit without an answer took effect, and
		// which condition of a refused one failed.
	}
	return fmt.Errorf("commit change %s: %w", o.change.ID, last)
}

// read reads the member list and the head, and checks the own session.
func (o *Operation) read(ctx context.Context) (member.List, view.Head, error) {
	list, err := o.c.o.Members.Refresh(ctx)
	if err != nil {
		return list, view.Head{}, err
	}
	e, ok := list.Find(o.c.o.Members.Self().ID)
	if !ok || e.SettledAt == 0 {
		return list, view.Head{}, member.ErrFenced
	}
	if err := o.c.o.Members.Valid(); err != nil {
		return list, view.Head{}, err
	}
	head, err := o.c.o.View.ReadHead(ctx)
	return list, head, err
}

// lookup returns the revision that the change has made, 0 for none.
func (o *Operation) lookup(ctx context.Context) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := o.c.o.Table.Get(ctx, view.IDKey(o.change.ID))
	if err != nil || row.Version == 0 {
		return 0, err
	}
	var revision fleet.Revision
	if err := cbor.Unmarshal(row.Value, &revision); err != nil {
		return 0, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return revision, nil
}

// write commits the change on top of a head. The conditions make sure that the
// coordinator waits for exactly the members of the list.
func (o *Operation) write(ctx context.Context, list member.List, head view.Head) error {
	folder, revision := o.c.o.View.Folder()
	if revision != head.Revision {
		return backing.ErrConflict // a newer revision has come in from a peer
	}
	if err := o.validate(folder, head.Revision+1); err != nil {
		return err
	}
	value, err := head.Next(o.change.ID, o.c.o.Members.Self().ID).Encode()
	if err != nil {
		return err
	}
	row, err := cbor.Marshal(o.change)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	made, err := cbor.Marshal(head.Revision + 1)
	if err != nil {
		return fmt.Errorf("encode revision: %w", err)
	}
	key, id := view.ChangeKey(head.Revision+1), view.IDKey(o.change.ID)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = o.c.o.Table.Commit(ctx, backing.Txn{
		ID: "apply/" + o.change.ID,
		Conditions: []backing.Condition{
			{Key: view.HeadKey, Version: head.RowVersion},
			{Key: key},
			{Key: id},
			list.Condition(), // also fails if this session has been fenced
		},
		Writes: []backing.Write{{Key: key, Value: row}, {Key: id, Value: made}, {Key: view.HeadKey, Value: value}},
	})
	if err != nil {
		return member.CommitError(err)
	}
	return o.c.o.View.Install(head.Revision+1, o.change)
}

func (o *Operation) validate(folder config.Folder, revision fleet.Revision) error {
	if _, err := o.c.o.Builder.Build(view.Patch(folder, o.change), revision); err != nil {
		return &InvalidError{Findings: err}
	}
	return nil
}
