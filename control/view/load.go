package view

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/fleet"
)

// changePage is the number of change rows read at once.
const changePage = 64

// ReadHead reads the head row and loads the revision that it names. Its success
// is evidence from before the read.
func (v *View) ReadHead(ctx context.Context) (Head, error) {
	sent := v.o.Clock.Now()
	head, err := v.readHead(ctx)
	v.noteStore(err)
	if err != nil {
		return Head{}, err
	}
	if err := v.load(ctx, head.Revision); err != nil {
		return head, err
	}
	v.prove(sent, head.Revision)
	return head, nil
}

func (v *View) readHead(ctx context.Context) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := v.o.Table.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, fmt.Errorf("read head: %w", err)
	}
	var head Head
	if row.Version == 0 {
		return head, nil
	}
	if err := cbor.Unmarshal(row.Value, &head); err != nil {
		return head, fmt.Errorf("decode head: %w", err)
	}
	head.RowVersion = row.Version
	return head, nil
}

// noteStore notes whether the store answered.
func (v *View) noteStore(err error) {
	now := v.o.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if err == nil {
		v.storeDown = false
		return
	}
	if !v.storeDown {
		v.storeDown, v.outage = true, now
		v.vms = vmNotes{}
	}
}

// load brings the view to a revision from the store.
func (v *View) load(ctx context.Context, target fleet.Revision) error {
	v.loading.Lock()
	defer v.loading.Unlock()
	own := v.Revision()
	if own >= target {
		return nil
	}
	var missing error
	if target-own > SnapshotEvery {
		missing = v.loadSnapshot(ctx, target)
	}
	if err := v.loadChanges(ctx, target); err != nil {
		return errors.Join(missing, err)
	}
	return nil
}

// loadSnapshot loads the newest snapshot up to a revision, if there is one.
func (v *View) loadSnapshot(ctx context.Context, target fleet.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keys, err := v.o.Objects.List(ctx, snapshotBase)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	for i := len(keys) - 1; i >= 0; i-- {
		number, err := strconv.ParseUint(strings.TrimPrefix(keys[i], snapshotBase), 10, 64)
		if err != nil || fleet.Revision(number) > target {
			continue
		}
		value, err := v.o.Objects.Get(ctx, keys[i])
		if errors.Is(err, backing.ErrNotFound) {
			continue
		}
		if err != nil {
			return fmt.Errorf("read snapshot %d: %w", number, err)
		}
		var s stored
		if err := cbor.Unmarshal(value, &s); err != nil {
			return fmt.Errorf("decode snapshot %d: %w", number, err)
		}
		return v.replace(s)
	}
	return nil
}

// loadChanges applies the change rows up to a revision.
func (v *View) loadChanges(ctx context.Context, target fleet.Revision) error {
	for v.Revision() < target {
		before := v.Revision()
		if err := v.loadPage(ctx, before); err != nil {
			return err
		}
		if v.Revision() == before {
			return fmt.Errorf("load revision %d: the change after revision %d is missing", target, before)
		}
	}
	return nil
}

func (v *View) loadPage(ctx context.Context, after fleet.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := v.o.Table.Range(ctx, changeBase, ChangeKey(after), changePage)
	if err != nil {
		return fmt.Errorf("read changes after revision %d: %w", after, err)
	}
	for _, row := range rows {
		var change config.Change
		if err := cbor.Unmarshal(row.Value, &change); err != nil {
			return fmt.Errorf("decode %s: %w", row.Key, err)
		}
		if _, err := v.apply(change.Base+1, change); err != nil {
			return err
		}
	}
	return nil
}

// SaveSnapshot writes the folder to the object store.
func (v *View) SaveSnapshot(ctx context.Context) error {
	folder, revision := v.Folder()
	value, err := cbor.Marshal(newStored(revision, folder))
	if err != nil {
		return fmt.Errorf("encode snapshot %d: %w", revision, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := v.o.Objects.Put(ctx, snapshotKey(revision), value); err != nil {
		return fmt.Errorf("write snapshot %d: %w", revision, err)
	}
	return nil
}

// pullRequest asks a peer for what follows a revision.
type pullRequest struct {
	After fleet.Revision `cbor:"1,keyasint"`
}

// pullResponse holds the changes after the requested revision, or the whole
// folder if the peer no longer has all of them.
type pullResponse struct {
	Changes []applied `cbor:"1,keyasint,omitempty"`
	Whole   *stored   `cbor:"2,keyasint,omitempty"`
}

func (v *View) handlePull(_ context.Context, _ string, req pullRequest) (pullResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.revision <= req.After {
		return pullResponse{}, nil
	}
	if len(v.changes) > 0 && v.changes[0].Revision <= req.After+1 {
		from := req.After + 1 - v.changes[0].Revision
		return pullResponse{Changes: v.changes[from:]}, nil
	}
	whole := newStored(v.revision, v.folder)
	return pullResponse{Whole: &whole}, nil
}

// pull brings the view up to what a peer has.
func (v *View) pull(ctx context.Context, peer string) error {
	v.loading.Lock()
	defer v.loading.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var resp pullResponse
	if err := v.o.Caller.Call(ctx, peer, methodPull, pullRequest{After: v.Revision()}, &resp); err != nil {
		return fmt.Errorf("fetch configuration from %s: %w", peer, err)
	}
	if resp.Whole != nil {
		return v.replace(*resp.Whole)
	}
	for _, a := range resp.Changes {
		if _, err := v.apply(a.Revision, a.Change); err != nil {
			return err
		}
	}
	return nil
}

// Peer methods of the view.
const (
	methodProbe  = "view.probe"
	methodPull   = "view.pull"
	methodList   = "view.members"
	methodChange = "view.change"
	methodBye    = "view.goodbye"
)

// Register registers the peer methods of the view.
func (v *View) Register(router *rpc.Router) {
	rpc.Handle(router, methodProbe, v.handleProbe)
	rpc.Handle(router, methodPull, v.handlePull)
	rpc.Handle(router, methodList, v.handleList)
	rpc.Handle(router, methodChange, v.handleChange)
	rpc.Handle(router, methodBye, v.handleGoodbye)
}
