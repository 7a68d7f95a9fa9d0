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

// changeRowsPerPage is the number of change rows that one call reads.
const changeRowsPerPage = 64

// ReadHead reads the head row and loads the revision that it names. If it
// succeeds, the view has evidence as of the start of the read.
func (v *View) ReadHead(ctx context.Context) (Head, error) {
	sent := v.options.Clock.Now()
	head, err := v.readHead(ctx)
	v.recordStoreState(err)
	if err != nil {
		return Head{}, err
	}
	if err := v.load(ctx, head.Revision); err != nil {
		return head, err
	}
	v.recordEvidence(sent, head.Revision)
	return head, nil
}

func (v *View) readHead(ctx context.Context) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := v.options.Table.Get(ctx, HeadKey)
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

// recordStoreState records whether a read of the store succeeded (err is nil).
// The first failure starts an outage and clears the VM observations of the last
// one.
func (v *View) recordStoreState(err error) {
	now := v.options.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if err == nil {
		v.storeDown = false
		return
	}
	if !v.storeDown {
		v.storeDown, v.outageStart = true, now
		v.observedVMs = vmObservations{}
	}
}

// load loads changes from the store until the view has a revision. Far behind
// it, load begins with a snapshot.
func (v *View) load(ctx context.Context, target fleet.Revision) error {
	v.loadMu.Lock()
	defer v.loadMu.Unlock()
	own := v.Revision()
	if own >= target {
		return nil
	}
	var snapshotErr error
	if target-own > RevisionsPerSnapshot {
		snapshotErr = v.loadSnapshot(ctx, target)
	}
	if err := v.loadChanges(ctx, target); err != nil {
		return errors.Join(snapshotErr, err)
	}
	return nil
}

// loadSnapshot loads the newest snapshot that is not above a revision, if there
// is one.
func (v *View) loadSnapshot(ctx context.Context, target fleet.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keys, err := v.options.Objects.List(ctx, snapshotPrefix)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	for i := len(keys) - 1; i >= 0; i-- {
		number, err := strconv.ParseUint(strings.TrimPrefix(keys[i], snapshotPrefix), 10, 64)
		if err != nil || fleet.Revision(number) > target {
			continue
		}
		value, err := v.options.Objects.Get(ctx, keys[i])
		if errors.Is(err, backing.ErrNotFound) {
			continue
		}
		if err != nil {
			return fmt.Errorf("read snapshot %d: %w", number, err)
		}
		var s storedFolder
		if err := cbor.Unmarshal(value, &s); err != nil {
			return fmt.Errorf("decode snapshot %d: %w", number, err)
		}
		return v.replaceFolder(s)
	}
	return nil
}

// loadChanges applies change rows until the view has a revision.
func (v *View) loadChanges(ctx context.Context, target fleet.Revision) error {
	for v.Revision() < target {
		before := v.Revision()
		if err := v.loadChangePage(ctx, before); err != nil {
			return err
		}
		if v.Revision() == before {
			return fmt.Errorf("load revision %d: the table holds no change that follows revision %d", target, before)
		}
	}
	return nil
}

// loadChangePage applies the next changeRowsPerPage change rows after a revision.
func (v *View) loadChangePage(ctx context.Context, after fleet.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := v.options.Table.Range(ctx, changePrefix, ChangeKey(after), changeRowsPerPage)
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

// SaveSnapshot writes the folder of the view's revision to the object store.
func (v *View) SaveSnapshot(ctx context.Context) error {
	folder, revision := v.Folder()
	value, err := cbor.Marshal(newStoredFolder(revision, folder))
	if err != nil {
		return fmt.Errorf("encode snapshot %d: %w", revision, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := v.options.Objects.Put(ctx, snapshotKey(revision), value); err != nil {
		return fmt.Errorf("write snapshot %d: %w", revision, err)
	}
	return nil
}

// pullRequest asks a peer for the changes after a revision.
type pullRequest struct {
	After fleet.Revision `cbor:"1,keyasint"`
}

// pullResponse holds the changes after the requested revision, or the whole
// folder if the peer no longer has all of them.
type pullResponse struct {
	Changes []appliedChange `cbor:"1,keyasint,omitempty"`
	Whole   *storedFolder   `cbor:"2,keyasint,omitempty"`
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
	whole := newStoredFolder(v.revision, v.folder)
	return pullResponse{Whole: &whole}, nil
}

// pull brings the view up to the revision of a peer.
func (v *View) pull(ctx context.Context, peer string) error {
	v.loadMu.Lock()
	defer v.loadMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var resp pullResponse
	if err := v.options.Caller.Call(ctx, peer, methodPull, pullRequest{After: v.Revision()}, &resp); err != nil {
		return fmt.Errorf("fetch configuration from %s: %w", peer, err)
	}
	if resp.Whole != nil {
		return v.replaceFolder(*resp.Whole)
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
	methodProbe   = "view.probe"
	methodPull    = "view.pull"
	methodList    = "view.members"
	methodChange  = "view.change"
	methodGoodbye = "view.goodbye"
)

// Register registers the peer methods of the view.
func (v *View) Register(router *rpc.Router) {
	rpc.Handle(router, methodProbe, v.handleProbe)
	rpc.Handle(router, methodPull, v.handlePull)
	rpc.Handle(router, methodList, v.handleList)
	rpc.Handle(router, methodChange, v.handleChange)
	rpc.Handle(router, methodGoodbye, v.handleGoodbye)
}
